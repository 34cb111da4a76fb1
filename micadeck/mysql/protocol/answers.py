"""The answer to one command, packet by packet: a state machine that knows where it is, and when it is over.

The same machine reads text and binary result sets, several results, and the answer to a prepare.  It hands
rows on as they came: nothing in them depends on what the two ends agreed on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from micadeck.mysql.protocol.constants import LOCAL_INFILE, MOST_IN_PACKET, Capability, Status
from micadeck.mysql.protocol.messages import Eof, Err, Ok, Prepared
from micadeck.mysql.protocol.wire import Cursor, ProtocolError, lenenc_int

_MOST_COLUMNS = 4_096  # of a table, and so of a result


@unique
class Kind(Enum):
    """What is awaited of an answer."""

    RESULT = "result"  # OK, ERR or result sets
    PREPARED = "prepared"  # of COM_STMT_PREPARE
    FETCHED = "fetched"  # of COM_STMT_FETCH: rows, without their columns
    TEXT = "text"  # of COM_STATISTICS: one packet of words


@unique
class At(Enum):
    """Where the answer is."""

    HEAD = "head"
    COLUMNS = "columns"
    COLUMNS_END = "columns' end"
    ROWS = "rows"
    PARAMETERS = "parameters"
    PARAMETERS_END = "parameters' end"
    OVER = "over"


# Parts of an answer, as both ends may write them differently.


@dataclass(frozen=True, slots=True)
class Head:
    """A result set of so many columns begins."""

    columns: int


@dataclass(frozen=True, slots=True)
class Definition:
    """A column, or a parameter of a prepared statement."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class DefinitionsEnd:
    """Columns, or parameters, are all there; written only without CLIENT_DEPRECATE_EOF."""

    status: Status = Status.AUTOCOMMIT
    warnings: int = 0


@dataclass(slots=True)  # not frozen, which would take twice as long to make
class Row:
    """A row as it came."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class ResultEnd:
    """A result set is whole."""

    status: Status
    warnings: int
    state: bytes = b""


@dataclass(frozen=True, slots=True)
class Words:
    """A packet that is nothing but text."""

    payload: bytes


Part = Head | Definition | DefinitionsEnd | Row | ResultEnd | Words | Ok | Err | Prepared


_NOTHING = Status(0)


class AnswerReader:
    """Payloads in, parts out, until `is_over`.

    After that, `status` is that of the last OK or EOF, and `error` the ERR that ended it, if one did.
    """

    def __init__(self, kind: Kind, capabilities: Capability) -> None:
        self._capabilities = capabilities
        self._deprecates_eof = bool(capabilities & Capability.DEPRECATE_EOF)
        self._kind = kind
        self._left = 0  # definitions
        self._after: Prepared | None = None
        self.at = At.ROWS if kind is Kind.FETCHED else At.HEAD
        self.status: Status | None = None
        self.error: Err | None = None
        self.rows = 0

    @property
    def is_over(self) -> bool:
        return self.at is At.OVER

    def read(self, payload: bytes) -> Part:
        if self.at is At.ROWS and payload and payload[0] < 0xFE:
            self.rows += 1
            return Row(payload)
        if not payload and self.at is not At.ROWS and self._kind is not Kind.TEXT:
            raise ProtocolError(f"answer: {self.at.value}: an empty packet")
        if payload[:1] == b"\xff" and self.at in (At.HEAD, At.ROWS):
            self.error = Err.decode(payload)
            self.at = At.OVER
            return self.error
        match self.at:
            case At.HEAD:
                return self._head(payload)
            case At.COLUMNS | At.PARAMETERS:
                return self._definition(payload)
            case At.COLUMNS_END | At.PARAMETERS_END:
                return self._definitions_end(payload)
            case At.ROWS:
                return self._row(payload)
            case At.OVER:
                raise ProtocolError("answer: a packet behind its end")

    def _head(self, payload: bytes) -> Part:
        if self._kind is Kind.TEXT:
            self.at = At.OVER
            return Words(payload)
        if self._kind is Kind.PREPARED:
            return self._prepared(payload)
        if payload[0] == 0x00:
            ok = Ok.decode(payload, self._capabilities)
            self._result_over(ok.status)
            return ok
        if payload[0] == 0xFE and len(payload) < 9:
            # Of COM_SET_OPTION, whose OK is an EOF.
            is_ok = self._deprecates_eof
            status = Ok.decode(payload, self._capabilities).status if is_ok else Eof.decode(payload).status
            self._result_over(status)
            return ResultEnd(status, 0)
        if payload[0] == LOCAL_INFILE:
            raise ProtocolError("answer: LOCAL INFILE was not agreed on")
        read = Cursor(payload, "result set")
        self._left = read.lenenc_int("column count")
        if not 0 < self._left <= _MOST_COLUMNS or read.left:
            raise read.fault("column count", f"{self._left} columns")
        self.at = At.COLUMNS
        return Head(self._left)

    def _prepared(self, payload: bytes) -> Part:
        if payload[0] != 0x00:
            raise ProtocolError(f"COM_STMT_PREPARE_OK: status: 0x{payload[0]:02x}")
        self._after = prepared = Prepared.decode(payload)
        if prepared.parameters:
            self._left, self.at = prepared.parameters, At.PARAMETERS
        else:
            self._columns_of_prepared(prepared)
        return prepared

    def _columns_of_prepared(self, prepared: Prepared) -> None:
        self._left, self.at = prepared.columns, At.COLUMNS if prepared.columns else At.OVER

    def _definition(self, payload: bytes) -> Part:
        self._left -= 1
        if not self._left:
            if not self._deprecates_eof:
                self.at = At.COLUMNS_END if self.at is At.COLUMNS else At.PARAMETERS_END
            else:
                self._definitions_over(self.at is At.PARAMETERS)
        return Definition(payload)

    def _definitions_end(self, payload: bytes) -> Part:
        if payload[0] != 0xFE or len(payload) != 5:
            raise ProtocolError(f"answer: {self.at.value}: an EOF is needed")
        eof = Eof.decode(payload)
        self._definitions_over(self.at is At.PARAMETERS_END)
        if self.at is At.ROWS and eof.status & Status.CURSOR_EXISTS:
            self._result_over(eof.status)  # the rows come when they are fetched
        return DefinitionsEnd(eof.status, eof.warnings)

    def _definitions_over(self, were_parameters: bool) -> None:
        if self._after is not None and were_parameters:
            self._columns_of_prepared(self._after)
        else:
            self.at = At.OVER if self._after is not None else At.ROWS

    def _row(self, payload: bytes) -> Part:
        if payload[:1] == b"\xfe" and len(payload) < (MOST_IN_PACKET if self._deprecates_eof else 9):
            if self._deprecates_eof:
                ok = Ok.decode(payload, self._capabilities)
                end = ResultEnd(ok.status, ok.warnings, ok.state)
            else:
                eof = Eof.decode(payload)
                end = ResultEnd(eof.status, eof.warnings)
            self._result_over(end.status)
            return end
        self.rows += 1
        return Row(payload)

    def _result_over(self, status: Status) -> None:
        self.status = status
        self.at = At.HEAD if status & Status.MORE_RESULTS else At.OVER


def encode(part: Part, capabilities: Capability, cleared: Status = _NOTHING) -> bytes | None:
    """A part as the other end agreed to read it; None where it is not written there at all.

    `cleared` are the status flags that are not to be told.
    """
    if type(part) is Row:
        return part.payload
    deprecates_eof = bool(capabilities & Capability.DEPRECATE_EOF)
    match part:
        case Head():
            return lenenc_int(part.columns)
        case Row() | Definition() | Words():
            return part.payload
        case DefinitionsEnd():
            # Where a cursor was opened this EOF is the answer's last packet, and stands for the rows' end.
            if part.status & Status.CURSOR_EXISTS and deprecates_eof:
                return Ok(status=part.status & ~cleared, warnings=part.warnings).encode(capabilities, 0xFE)
            return None if deprecates_eof else Eof(part.status & ~cleared, part.warnings).encode()
        case ResultEnd():
            status = part.status & ~cleared
            if deprecates_eof:
                ok = Ok(status=status, warnings=part.warnings, state=part.state)
                return ok.encode(capabilities, 0xFE)
            return Eof(status & ~Status.SESSION_STATE_CHANGED, part.warnings).encode()
        case Ok():
            told = Ok(
                part.affected,
                part.last_insert_id,
                part.status & ~cleared,
                part.warnings,
                part.info,
                part.state,
            )
            return told.encode(capabilities)
        case Err() | Prepared():
            return part.encode()
