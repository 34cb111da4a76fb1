"""OK, ERR, EOF and column definition packets, encoded for the negotiated capabilities."""

from __future__ import annotations

from dataclasses import dataclass

from micadeck.mysql.protocol.constants import UTF8MB4, Capability, Status
from micadeck.mysql.protocol.wire import Cursor, lenenc, lenenc_int


@dataclass(frozen=True, slots=True)
class Ok:
    """OK_Packet; `state` is the raw session tracking information."""

    affected: int = 0
    last_insert_id: int = 0
    status: Status = Status.AUTOCOMMIT
    warnings: int = 0
    info: bytes = b""
    state: bytes = b""

    def encode(self, capabilities: Capability, head: int = 0x00) -> bytes:
        """`head` is 0xFE in place of an EOF packet (CLIENT_DEPRECATE_EOF)."""
        status, tail = self.status, self.info
        if capabilities & Capability.SESSION_TRACK:
            if not self.state:
                status &= ~Status.SESSION_STATE_CHANGED
            tail = b""
            if self.info or self.state:
                tail = lenenc(self.info) + (lenenc(self.state) if self.state else b"")
        else:
            status &= ~Status.SESSION_STATE_CHANGED
        return (
            bytes((head,))
            + lenenc_int(self.affected)
            + lenenc_int(self.last_insert_id)
            + int(status).to_bytes(2, "little")
            + self.warnings.to_bytes(2, "little")
            + tail
        )

    @classmethod
    def decode(cls, payload: bytes, capabilities: Capability) -> Ok:
        cursor = Cursor(payload, "OK", 1)
        affected = cursor.lenenc_int("affected rows")
        last_insert_id = cursor.lenenc_int("last insert id")
        status = Status(cursor.integer(2, "status flags"))
        warnings = cursor.integer(2, "warnings")
        info = state = b""
        if not capabilities & Capability.SESSION_TRACK:
            info = cursor.rest()
        elif cursor.remaining:
            info = cursor.lenenc("info")
            if status & Status.SESSION_STATE_CHANGED:
                state = cursor.lenenc("session state info")
        return cls(affected, last_insert_id, status, warnings, info, state)


@dataclass(frozen=True, slots=True)
class Err:
    """ERR_Packet."""

    code: int
    sqlstate: str
    text: str

    def encode(self) -> bytes:
        text = self.text.encode("utf-8", "surrogateescape")
        return b"\xff" + self.code.to_bytes(2, "little") + b"#" + self.sqlstate.encode() + text

    @classmethod
    def decode(cls, payload: bytes) -> Err:
        cursor = Cursor(payload, "ERR", 1)
        code = cursor.integer(2, "error code")
        rest, state = cursor.rest(), "HY000"
        if rest[:1] == b"#" and len(rest) >= 6:  # errors before the handshake have no SQL state
            state, rest = rest[1:6].decode("latin-1"), rest[6:]
        return cls(code, state, rest.decode("utf-8", "surrogateescape"))


@dataclass(frozen=True, slots=True)
class Eof:
    """EOF_Packet."""

    status: Status = Status.AUTOCOMMIT
    warnings: int = 0

    def encode(self) -> bytes:
        return b"\xfe" + self.warnings.to_bytes(2, "little") + int(self.status).to_bytes(2, "little")

    @classmethod
    def decode(cls, payload: bytes) -> Eof:
        cursor = Cursor(payload, "EOF", 1)
        warnings = cursor.integer(2, "warnings")
        return cls(Status(cursor.integer(2, "status flags")), warnings)


@dataclass(frozen=True, slots=True)
class Column:
    """Protocol::ColumnDefinition41."""

    name: bytes
    column_type: int = 0xFD  # VAR_STRING
    length: int = 1_024
    charset: int = UTF8MB4
    flags: int = 0
    decimals: int = 0
    schema: bytes = b""
    table: bytes = b""

    def encode(self) -> bytes:
        texts = (b"def", self.schema, self.table, self.table, self.name, self.name)
        return (
            b"".join(lenenc(each) for each in texts)
            + b"\x0c"
            + self.charset.to_bytes(2, "little")
            + self.length.to_bytes(4, "little")
            + bytes((self.column_type,))
            + self.flags.to_bytes(2, "little")
            + bytes((self.decimals, 0, 0))
        )

    @classmethod
    def decode(cls, payload: bytes) -> Column:
        cursor = Cursor(payload, "ColumnDefinition41")
        cursor.lenenc("catalog")
        schema, table = cursor.lenenc("schema"), cursor.lenenc("table")
        cursor.lenenc("org_table")
        name = cursor.lenenc("name")
        cursor.lenenc("org_name")
        cursor.lenenc_int("length of fixed fields")
        charset = cursor.integer(2, "character set")
        length = cursor.integer(4, "column length")
        column_type = cursor.integer(1, "type")
        flags = cursor.integer(2, "flags")
        return cls(name, column_type, length, charset, flags, cursor.integer(1, "decimals"), schema, table)


@dataclass(frozen=True, slots=True)
class PrepareOk:
    """COM_STMT_PREPARE_OK."""

    statement_id: int
    column_count: int
    parameter_count: int
    warnings: int = 0

    def encode(self) -> bytes:
        return (
            b"\0"
            + self.statement_id.to_bytes(4, "little")
            + self.column_count.to_bytes(2, "little")
            + self.parameter_count.to_bytes(2, "little")
            + b"\0"
            + self.warnings.to_bytes(2, "little")
        )

    @classmethod
    def decode(cls, payload: bytes) -> PrepareOk:
        cursor = Cursor(payload, "COM_STMT_PREPARE_OK", 1)
        statement_id, columns = cursor.integer(4, "statement id"), cursor.integer(2, "columns")
        parameters = cursor.integer(2, "parameters")
        cursor.take(1, "filler")
        warnings = cursor.integer(2, "warnings") if cursor.remaining else 0
        return cls(statement_id, columns, parameters, warnings)
