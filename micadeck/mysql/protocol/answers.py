"""Reads the response to one command, packet by packet, as a state machine that finds its end.

It reads text and binary resultsets, multi-resultsets and responses to COM_STMT_PREPARE.  Rows are passed on
unchanged: their encoding does not depend on the negotiated capabilities.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from micadeck.mysql.protocol.constants import LOCAL_INFILE, MAX_PAYLOAD_BYTES, Capability, Status
from micadeck.mysql.protocol.messages import Eof, Err, Ok, PrepareOk
from micadeck.mysql.protocol.wire import Cursor, ProtocolError, lenenc_int

_MAX_COLUMNS = 4_096  # MySQL's limit for a table


@unique
class ResponseKind(Enum):
    """Which response a command has."""

    RESULT = "result"  # OK, ERR or resultsets
    PREPARED = "prepared"  # to COM_STMT_PREPARE
    FETCHED = "fetched"  # to COM_STMT_FETCH: rows without column definitions
    TEXT = "text"  # to COM_STATISTICS: one packet of text


@unique
class ReaderState(Enum):
    """What is expected next."""

    FIRST = "head"
    COLUMNS = "columns"
    COLUMNS_END = "columns' end"
    ROWS = "rows"
    PARAMETERS = "parameters"
    PARAMETERS_END = "parameters' end"
    COMPLETE = "over"


# Parts of a response; how they are encoded depends on the capabilities of each connection.


@dataclass(frozen=True, slots=True)
class ResultsetHeader:
    """The column count that begins a resultset."""

    columns: int


@dataclass(frozen=True, slots=True)
class Definition:
    """Definition of a column or parameter."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class DefinitionsEnd:
    """The end of definitions; sent only without CLIENT_DEPRECATE_EOF."""

    status: Status = Status.AUTOCOMMIT
    warnings: int = 0


@dataclass(slots=True)  # not frozen: that doubles the time of construction
class Row:
    """A row, unchanged."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class ResultsetEnd:
    """The end of a resultset."""

    status: Status
    warnings: int
    state: bytes = b""


@dataclass(frozen=True, slots=True)
class TextPacket:
    """A packet of plain text."""

    payload: bytes


Part = ResultsetHeader | Definition | DefinitionsEnd | Row | ResultsetEnd | TextPacket | Ok | Err | PrepareOk


_NO_FLAGS = Status(0)


class ResponseReader:
    """Turns payloads into parts until `is_complete`.

    Then `status` is that of the last OK or EOF, and `error` the ERR that ended the response, if any.
    """

    def __init__(self, kind: ResponseKind, capabilities: Capability) -> None:
        self._capabilities = capabilities
        self._deprecates_eof = bool(capabilities & Capability.DEPRECATE_EOF)
        self._kind = kind
        self._definitions_left = 0
        self._prepare_ok: PrepareOk | None = None
        self.state = ReaderState.ROWS if kind is ResponseKind.FETCHED else ReaderState.FIRST
        self.status: Status | None = None
        self.error: Err | None = None
        self.rows = 0

    @property
    def is_complete(self) -> bool:
        return self.state is ReaderState.COMPLETE

    def read(self, payload: bytes) -> Part:
        if self.state is ReaderState.ROWS and payload and payload[0] < 0xFE:
            self.rows += 1
            return Row(payload)
        if not payload and self.state is not ReaderState.ROWS and self._kind is not ResponseKind.TEXT:
            raise ProtocolError(f"response: {self.state.value}: an empty packet")
        if payload[:1] == b"\xff" and self.state in (ReaderState.FIRST, ReaderState.ROWS):
            self.error = Err.decode(payload)
            self.state = ReaderState.COMPLETE
            return self.error
        match self.state:
            case ReaderState.FIRST:
                return self._read_first(payload)
            case ReaderState.COLUMNS | ReaderState.PARAMETERS:
                return self._read_definition(payload)
            case ReaderState.COLUMNS_END | ReaderState.PARAMETERS_END:
                return self._read_definitions_end(payload)
            case ReaderState.ROWS:
                return self._read_row(payload)
            case ReaderState.COMPLETE:
                raise ProtocolError("response: a packet after its end")

    def _read_first(self, payload: bytes) -> Part:
        if self._kind is ResponseKind.TEXT:
            self.state = ReaderState.COMPLETE
            return TextPacket(payload)
        if self._kind is ResponseKind.PREPARED:
            return self._read_prepare_ok(payload)
        if payload[0] == 0x00:
            ok = Ok.decode(payload, self._capabilities)
            self._end_result(ok.status)
            return ok
        if payload[0] == 0xFE and len(payload) < 9:
            # COM_SET_OPTION is answered by an EOF packet in place of OK.
            is_ok = self._deprecates_eof
            status = Ok.decode(payload, self._capabilities).status if is_ok else Eof.decode(payload).status
            self._end_result(status)
            return ResultsetEnd(status, 0)
        if payload[0] == LOCAL_INFILE:
            raise ProtocolError("response: LOCAL INFILE was not negotiated")
        cursor = Cursor(payload, "result set")
        self._definitions_left = cursor.lenenc_int("column count")
        if not 0 < self._definitions_left <= _MAX_COLUMNS or cursor.remaining:
            raise cursor.error("column count", f"{self._definitions_left} columns")
        self.state = ReaderState.COLUMNS
        return ResultsetHeader(self._definitions_left)

    def _read_prepare_ok(self, payload: bytes) -> Part:
        if payload[0] != 0x00:
            raise ProtocolError(f"COM_STMT_PREPARE_OK: status: 0x{payload[0]:02x}")
        self._prepare_ok = prepared = PrepareOk.decode(payload)
        if prepared.parameter_count:
            self._definitions_left, self.state = prepared.parameter_count, ReaderState.PARAMETERS
        else:
            self._begin_prepared_columns(prepared)
        return prepared

    def _begin_prepared_columns(self, prepared: PrepareOk) -> None:
        self._definitions_left = prepared.column_count
        self.state = ReaderState.COLUMNS if prepared.column_count else ReaderState.COMPLETE

    def _read_definition(self, payload: bytes) -> Part:
        self._definitions_left -= 1
        if not self._definitions_left:
            if not self._deprecates_eof:
                is_column = self.state is ReaderState.COLUMNS
                self.state = ReaderState.COLUMNS_END if is_column else ReaderState.PARAMETERS_END
            else:
                self._end_definitions(self.state is ReaderState.PARAMETERS)
        return Definition(payload)

    def _read_definitions_end(self, payload: bytes) -> Part:
        if payload[0] != 0xFE or len(payload) != 5:
            raise ProtocolError(f"response: {self.state.value}: expected an EOF packet")
        eof = Eof.decode(payload)
        self._end_definitions(self.state is ReaderState.PARAMETERS_END)
        if self.state is ReaderState.ROWS and eof.status & Status.CURSOR_EXISTS:
            self._end_result(eof.status)  # rows follow on COM_STMT_FETCH
        return DefinitionsEnd(eof.status, eof.warnings)

    def _end_definitions(self, were_parameters: bool) -> None:
        if self._prepare_ok is not None and were_parameters:
            self._begin_prepared_columns(self._prepare_ok)
        else:
            self.state = ReaderState.COMPLETE if self._prepare_ok is not None else ReaderState.ROWS

    def _read_row(self, payload: bytes) -> Part:
        if payload[:1] == b"\xfe" and len(payload) < (MAX_PAYLOAD_BYTES if self._deprecates_eof else 9):
            if self._deprecates_eof:
                ok = Ok.decode(payload, self._capabilities)
                end = ResultsetEnd(ok.status, ok.warnings, ok.state)
            else:
                eof = Eof.decode(payload)
                end = ResultsetEnd(eof.status, eof.warnings)
            self._end_result(end.status)
            return end
        self.rows += 1
        return Row(payload)

    def _end_result(self, status: Status) -> None:
        self.status = status
        self.state = ReaderState.FIRST if status & Status.MORE_RESULTS else ReaderState.COMPLETE


def encode(part: Part, capabilities: Capability, cleared: Status = _NO_FLAGS) -> bytes | None:
    """Encode a part for a connection's capabilities; None if these leave it out.

    `cleared` are status flags to leave out.
    """
    if type(part) is Row:
        return part.payload
    deprecates_eof = bool(capabilities & Capability.DEPRECATE_EOF)
    match part:
        case ResultsetHeader():
            return lenenc_int(part.columns)
        case Row() | Definition() | TextPacket():
            return part.payload
        case DefinitionsEnd():
            # With an open cursor this EOF is the response's last packet, in place of the end of rows.
            if part.status & Status.CURSOR_EXISTS and deprecates_eof:
                return Ok(status=part.status & ~cleared, warnings=part.warnings).encode(capabilities, 0xFE)
            return None if deprecates_eof else Eof(part.status & ~cleared, part.warnings).encode()
        case ResultsetEnd():
            status = part.status & ~cleared
            if deprecates_eof:
                ok = Ok(status=status, warnings=part.warnings, state=part.state)
                return ok.encode(capabilities, 0xFE)
            return Eof(status & ~Status.SESSION_STATE_CHANGED, part.warnings).encode()
        case Ok():
            ok = Ok(
                part.affected,
                part.last_insert_id,
                part.status & ~cleared,
                part.warnings,
                part.info,
                part.state,
            )
            return ok.encode(capabilities)
        case Err() | PrepareOk():
            return part.encode()
