"""OK, ERR, EOF and column definitions, read and written for what both ends agreed on."""

from __future__ import annotations

from dataclasses import dataclass

from micadeck.mysql.protocol.constants import UTF8MB4, Capability, Status
from micadeck.mysql.protocol.wire import Cursor, lenenc, lenenc_int


@dataclass(frozen=True, slots=True)
class Ok:
    """OK_Packet.  `state` is the session-state information, as it came."""

    affected: int = 0
    last_insert_id: int = 0
    status: Status = Status.AUTOCOMMIT
    warnings: int = 0
    info: bytes = b""
    state: bytes = b""

    def encode(self, capabilities: Capability, head: int = 0x00) -> bytes:
        """`head` is 0xFE where it stands for an EOF (CLIENT_DEPRECATE_EOF)."""
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
        read = Cursor(payload, "OK", 1)
        affected = read.lenenc_int("affected rows")
        last_insert_id = read.lenenc_int("last insert id")
        status = Status(read.integer(2, "status flags"))
        warnings = read.integer(2, "warnings")
        info = state = b""
        if not capabilities & Capability.SESSION_TRACK:
            info = read.rest()
        elif read.left:
            info = read.lenenc("info")
            if status & Status.SESSION_STATE_CHANGED:
                state = read.lenenc("session state info")
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
        read = Cursor(payload, "ERR", 1)
        code = read.integer(2, "error code")
        rest, state = read.rest(), "HY000"
        if rest[:1] == b"#" and len(rest) >= 6:  # not in errors from before the handshake
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
        read = Cursor(payload, "EOF", 1)
        warnings = read.integer(2, "warnings")
        return cls(Status(read.integer(2, "status flags")), warnings)


@dataclass(frozen=True, slots=True)
class Column:
    """Protocol::ColumnDefinition41."""

    name: bytes
    kind: int = 0xFD  # VAR_STRING
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
            + bytes((self.kind,))
            + self.flags.to_bytes(2, "little")
            + bytes((self.decimals, 0, 0))
        )

    @classmethod
    def decode(cls, payload: bytes) -> Column:
        read = Cursor(payload, "ColumnDefinition41")
        read.lenenc("catalog")
        schema, table = read.lenenc("schema"), read.lenenc("table")
        read.lenenc("org_table")
        name = read.lenenc("name")
        read.lenenc("org_name")
        read.lenenc_int("length of fixed fields")
        charset = read.integer(2, "character set")
        length = read.integer(4, "column length")
        kind = read.integer(1, "type")
        flags = read.integer(2, "flags")
        return cls(name, kind, length, charset, flags, read.integer(1, "decimals"), schema, table)


@dataclass(frozen=True, slots=True)
class Prepared:
    """COM_STMT_PREPARE_OK."""

    statement: int
    columns: int
    parameters: int
    warnings: int = 0

    def encode(self) -> bytes:
        return (
            b"\0"
            + self.statement.to_bytes(4, "little")
            + self.columns.to_bytes(2, "little")
            + self.parameters.to_bytes(2, "little")
            + b"\0"
            + self.warnings.to_bytes(2, "little")
        )

    @classmethod
    def decode(cls, payload: bytes) -> Prepared:
        read = Cursor(payload, "COM_STMT_PREPARE_OK", 1)
        statement, columns = read.integer(4, "statement id"), read.integer(2, "columns")
        parameters = read.integer(2, "parameters")
        read.take(1, "filler")
        return cls(statement, columns, parameters, read.integer(2, "warnings") if read.left else 0)
