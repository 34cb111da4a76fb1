"""The stand-in's MySQL protocol: log-in, commands, result sets, and faults between packets."""

from __future__ import annotations

import asyncio
import functools
import re
import struct
from collections import Counter
from dataclasses import dataclass, field

from sqlglot import exp

from micadeck.mysql.auth import (
    AccessDenied,
    Authenticated,
    AuthStep,
    KeyPair,
    PasswordCheck,
    SendPacket,
    ServerAuthentication,
    User,
    Users,
    Verifier,
    native_stored,
    new_salt,
)
from micadeck.mysql.protocol.constants import Capability, Command, Status
from micadeck.mysql.protocol.handshake import ChangeUser, Handshake, HandshakeResponse
from micadeck.mysql.protocol.messages import Column, Eof, Err, Ok, PrepareOk
from micadeck.mysql.protocol.packets import PacketReader, frame
from micadeck.mysql.protocol.wire import Cursor, lenenc, lenenc_int
from micadeck.stand_ins.mysql.faults import Fault, FaultAction, Point
from micadeck.stand_ins.mysql.sql import Busy, Database, Result, SqlError, SqlSession, Value

HOST = "127.0.0.1"
_OFFERED = (
    Capability.LONG_PASSWORD
    | Capability.FOUND_ROWS
    | Capability.LONG_FLAG
    | Capability.CONNECT_WITH_DB
    | Capability.PROTOCOL_41
    | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION
    | Capability.MULTI_STATEMENTS
    | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH
    | Capability.CONNECT_ATTRS
    | Capability.PLUGIN_AUTH_LENENC_CLIENT_DATA
    | Capability.DEPRECATE_EOF
)
_SLEEP = re.compile(r"\bsleep\s*\(\s*([0-9.]+)\s*\)", re.IGNORECASE)
_LOCK_WAIT_S = 5.0


@functools.cache
def _key_pair() -> KeyPair:
    """One key pair for all servers, as generating one takes 0.1 s."""
    return KeyPair()


@dataclass(frozen=True, slots=True)
class Ran:
    """A statement that the server began to run."""

    at: float  # seconds on the event loop's clock
    thread: int
    text: str
    schema: str | None


class _ConnectionClosed(Exception):
    """Raised to close the connection."""


class _StatementRejected(Exception):
    """Raised to end a statement whose error was sent."""


@dataclass
class StandInMysql:
    """One server.  `read_only`, `is_full` and `is_shutting_down` reject as MySQL does."""

    name: str
    user: str = "sidecar"
    password: str = "server-secret"
    plugin: bytes = b"caching_sha2_password"
    capabilities: Capability = _OFFERED
    takes_s: float = 0.0
    read_only: bool = False
    is_full: bool = False
    is_shutting_down: bool = False
    faults: list[Fault] = field(default_factory=list)
    ran: list[Ran] = field(default_factory=list)
    commands: Counter[str] = field(default_factory=Counter)
    logins: int = 0
    canned: dict[str, list[bytes]] = field(default_factory=dict)  # response packets by statement
    defects: list[str] = field(default_factory=list)  # errors of the stand-in itself; tests expect none
    wide: bool = False  # rows of one column of 16 KiB for `SELECT * FROM wide`, as many as `wide_rows`
    wide_rows: int = 0

    def __post_init__(self) -> None:
        self.database = Database()
        user = User(self.user, Verifier.of(self.password.encode()), native_stored(self.password.encode()))
        self._users = Users({self.user: user}, _key_pair())
        self._server: asyncio.Server | None = None
        self.sessions: dict[int, _Session] = {}
        self._next_thread = 1

    async def start(self, port: int = 0) -> StandInMysql:
        self._server = await asyncio.get_running_loop().create_server(lambda: _Session(self), HOST, port)
        return self

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    @property
    def port(self) -> int:
        return int(self.address.rpartition(":")[2])

    def die(self) -> None:
        """Act as a killed process: reset every connection, roll back every transaction."""
        if self._server is not None:
            self._server.close()
        for session in list(self.sessions.values()):
            session.abort()

    def texts(self, part: str = "") -> list[str]:
        return [statement.text for statement in self.ran if part in statement.text]

    @property
    def has_repeats(self) -> bool:
        """Whether a response may have to be repeated."""
        return any(fault.action is FaultAction.REPEAT for fault in self.faults)

    def fault_for(self, text: str, point: Point, rows: int) -> Fault | None:
        for fault in self.faults:
            if fault.times and fault.point is point and fault.rows == rows and fault.match in text:
                fault.times -= 1
                return fault
        return None


class _Session(asyncio.Protocol):
    """A connection, whose task handles commands in sequence."""

    def __init__(self, server: StandInMysql) -> None:
        self._server = server
        self._packets = PacketReader(1 << 26)
        self._packets.sequence = 1
        self._sequence = 0
        self._readable: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_closed = False
        self._prepared: dict[int, tuple[str, exp.Expr, int]] = {}
        self._types: dict[int, list[tuple[int, bool]]] = {}
        self._long_data: dict[tuple[int, int], bytearray] = {}
        self._cursors: dict[int, list[tuple[Value, ...]]] = {}
        self._next_statement = 1
        self._response = b""  # to the current command, if it may be repeated
        self.killed: asyncio.Event = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        server = self._server
        self.thread = server._next_thread
        server._next_thread += 1
        server.sessions[self.thread] = self
        self.sql = SqlSession(server.database, self.thread, server.user)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._server.sessions.pop(self.thread, None)
            self._task.cancel()
            self.sql.end()

    def abort(self) -> None:
        self._transport.abort()
        self.connection_lost(None)

    def data_received(self, data: bytes) -> None:
        self._packets.feed(data)
        if self._readable is not None and not self._readable.done():
            self._readable.set_result(None)

    def pause_writing(self) -> None:
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def _payload(self, *, from_zero: bool = False) -> bytes:
        while (payload := self._packets.next(from_zero=from_zero)) is None:
            self._readable = asyncio.get_running_loop().create_future()
            await self._readable
        self._sequence = self._packets.sequence
        return payload

    def _write(self, payload: bytes) -> None:
        data, self._sequence = frame(payload, self._sequence)
        if self._server.has_repeats:
            self._response += data
        self._transport.write(data)

    async def _serve(self) -> None:
        try:
            await self._log_in()
            while True:
                await self._command(await self._payload(from_zero=True))
        except _ConnectionClosed:
            self._transport.close()
            self.connection_lost(None)
        except Exception as error:
            self._server.defects.append(repr(error))
            self.abort()
            raise

    async def _log_in(self) -> None:
        server = self._server
        if server.is_full:
            self._write(Err(1040, "08004", "Too many connections").encode())
            raise _ConnectionClosed
        salt = new_salt()
        offered = server.capabilities
        self._write(Handshake(b"8.0.36-standin", self.thread, salt, offered, plugin=server.plugin).encode())
        reply = HandshakeResponse.decode(await self._payload())
        self._capabilities = reply.capabilities & offered
        gate = ServerAuthentication(server._users, salt, "localhost")
        await self._admit(gate, gate.begin(reply.user, reply.plugin, reply.auth_response), reply.schema)
        server.logins += 1

    async def _admit(self, gate: ServerAuthentication, step: AuthStep, schema: bytes) -> None:
        while not isinstance(step, Authenticated):
            match step:
                case SendPacket(payload):
                    self._write(payload)
                    self._packets.sequence = self._sequence
                    step = gate.read(await self._payload())
                case PasswordCheck(run):
                    step = gate.password_checked(run())
                case AccessDenied(error):
                    self._write(error.encode())
                    raise _ConnectionClosed
        if step.first is not None:
            self._write(step.first)
        try:
            if schema:
                self.sql.use(schema.decode())
        except SqlError as error:
            self._error(error)
            raise _ConnectionClosed from None
        self._ok(Result())

    # Commands

    async def _command(self, payload: bytes) -> None:
        command = Command(payload[0])
        self._response = b""
        self._server.commands[command.name] += 1
        match command:
            case Command.QUIT:
                raise _ConnectionClosed
            case Command.PING:
                self._ok(Result())
            case Command.QUERY:
                await self._query(payload[1:].decode("utf-8", "replace"))
            case Command.INIT_DB:
                try:
                    self._ok(self.sql.use(payload[1:].decode("utf-8", "replace")))
                except SqlError as error:
                    self._error(error)
            case Command.RESET_CONNECTION:
                self.sql.reset()
                self._prepared.clear()
                self._cursors.clear()
                self._ok(Result())
            case Command.CHANGE_USER:
                change = ChangeUser.decode(payload)
                self.sql.reset()
                gate = ServerAuthentication(self._server._users, new_salt(), "localhost")
                step = gate.begin(change.user, change.plugin, change.auth_response, switch=True)
                await self._admit(gate, step, change.schema)
            case Command.SET_OPTION:
                allows_several = payload[1] == 0
                self._capabilities &= ~Capability.MULTI_STATEMENTS
                if allows_several:
                    self._capabilities |= Capability.MULTI_STATEMENTS
                self._eof(Status(0))
            case Command.STATISTICS:
                self._write(b"Uptime: 1  Threads: 1")
            case Command.STMT_PREPARE:
                self._prepare(payload[1:].decode("utf-8", "replace"))
            case Command.STMT_EXECUTE:
                await self._execute(payload)
            case Command.STMT_FETCH:
                await self._fetch(payload)
            case Command.STMT_SEND_LONG_DATA:
                number, parameter = struct.unpack_from("<IH", payload, 1)
                self._long_data.setdefault((number, parameter), bytearray()).extend(payload[7:])
            case Command.STMT_CLOSE:
                self._prepared.pop(struct.unpack_from("<I", payload, 1)[0], None)
            case Command.STMT_RESET:
                self._cursors.pop(struct.unpack_from("<I", payload, 1)[0], None)
                self._ok(Result())
            case _:
                self._error(SqlError(1047, "08S01", "Unknown command"))

    async def _query(self, text: str) -> None:
        canned = self._server.canned.get(text)
        if canned is not None:
            out = b""
            for packet in canned:
                data, self._sequence = frame(packet, self._sequence)
                out += data
            self._transport.write(out)
            return
        if text.upper().startswith("KILL QUERY"):
            other = self._server.sessions.get(int(text.split()[-1]))
            if other is not None:
                other.killed.set()
            self._ok(Result())
            return
        try:
            trees = self.sql.parse(text)
            if len(trees) > 1 and not self._capabilities & Capability.MULTI_STATEMENTS:
                raise SqlError(1064, "42000", "several statements")
        except SqlError as error:
            self._error(error)
            return
        for number, tree in enumerate(trees):
            more = Status.MORE_RESULTS if number + 1 < len(trees) else Status(0)
            try:
                has_succeeded = await self._statement(text, tree, (), more, binary=False)
            except _StatementRejected:
                return
            if not has_succeeded:
                return

    async def _statement(
        self,
        text: str,
        tree: exp.Expr,
        parameters: tuple[Value, ...],
        more: Status,
        *,
        binary: bool,
        cursor: int | None = None,
    ) -> bool:
        server = self._server
        loop = asyncio.get_running_loop()
        is_write = isinstance(tree, (exp.Insert, exp.Update, exp.Delete, exp.Create, exp.Drop))
        self.killed.clear()
        await self._inject_fault(text, Point.START)
        if server.is_shutting_down:
            self._write(Err(1053, "08S01", "Server shutdown in progress").encode())
            raise _ConnectionClosed
        if server.read_only and is_write:
            self._error(SqlError(1290, "HY000", "running with the --read-only option"))
            return False
        server.ran.append(Ran(loop.time(), self.thread, text, self.sql.schema))
        try:
            sleep = _SLEEP.search(text)
            await self._wait(server.takes_s + (float(sleep[1]) if sleep else 0.0))
            result = await self._run(tree, parameters)
        except SqlError as error:
            self._error(error)
            return False
        await self._inject_fault(text, Point.RAN)
        if result.columns is None:
            self._ok(result, more)
        elif cursor is not None:
            self._cursors[cursor] = result.rows
            self._columns(result, Status.CURSOR_EXISTS)
            if self._capabilities & Capability.DEPRECATE_EOF:
                self._eof(Status.CURSOR_EXISTS)
        else:
            await self._rows(text, result, more, binary)
        await self._inject_fault(text, Point.END)
        return True

    async def _wait(self, seconds: float) -> None:
        if seconds:
            try:
                async with asyncio.timeout(seconds):
                    await self.killed.wait()
                raise SqlError(1317, "70100", "Query execution was interrupted")
            except TimeoutError:
                pass

    async def _run(self, tree: exp.Expr, parameters: tuple[Value, ...]) -> Result:
        loop = asyncio.get_running_loop()
        until = loop.time() + _LOCK_WAIT_S
        while True:
            try:
                return self.sql.run(tree, parameters)
            except Busy:
                if loop.time() > until:
                    raise SqlError(1205, "HY000", "Lock wait timeout exceeded") from None
                await asyncio.sleep(0.002)

    async def _inject_fault(self, text: str, point: Point, rows: int = 0) -> None:
        fault = self._server.fault_for(text, point, rows)
        if fault is None:
            return
        match fault.action:
            case FaultAction.REPEAT:
                loop = asyncio.get_running_loop()
                loop.call_later(fault.delay_s, self._transport.write, self._response)
                return
            case FaultAction.REJECT:
                self._error(SqlError(fault.code, "HY000", "rejected"))
                raise _StatementRejected
            case FaultAction.KILL_SERVER:
                await self._flush()
                self._server.die()
            case FaultAction.RESET:
                await self._flush()
                self.abort()
            case FaultAction.HANG:
                await asyncio.Event().wait()
            case FaultAction.SHUT_DOWN:
                self._write(Err(1053, "08S01", "Server shutdown in progress").encode())
            case FaultAction.CORRUPT:
                self._transport.write(b"\x05\x00\x00\x63spoil")
        raise _ConnectionClosed

    async def _flush(self) -> None:
        """Wait until the data is sent, as a reset would discard it."""
        while self._transport.get_write_buffer_size():
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.005)

    # Responses

    def _status(self) -> Status:
        status = Status.AUTOCOMMIT if self.sql.autocommit else Status(0)
        return status | (Status.IN_TRANS if self.sql.in_transaction else Status(0))

    def _ok(self, result: Result, more: Status | None = None) -> None:
        status = self._status() | (more or Status(0))
        self._write(Ok(result.affected, result.insert_id, status, result.warnings).encode(self._capabilities))

    def _eof(self, extra: Status, warnings: int = 0) -> None:
        status = self._status() | extra
        if self._capabilities & Capability.DEPRECATE_EOF:
            self._write(Ok(status=status, warnings=warnings).encode(self._capabilities, 0xFE))
        else:
            self._write(Eof(status, warnings).encode())

    def _error(self, error: SqlError) -> None:
        self._write(Err(error.code, error.state, error.text).encode())

    def _definitions(self, columns: list[str], rows: list[tuple[Value, ...]]) -> list[Column]:
        definitions = []
        for number, name in enumerate(columns):
            value = next((row[number] for row in rows if row[number] is not None), None)
            kind, charset = {int: (8, 63), float: (5, 63), bytes: (252, 63)}.get(type(value), (253, 45))
            definitions.append(Column(name.encode(), kind, 1_024, charset))
        return definitions

    def _columns(self, result: Result, status: Status) -> None:
        assert result.columns is not None
        self._write(lenenc_int(len(result.columns)))
        for each in self._definitions(result.columns, result.rows):
            self._write(each.encode())
        if not self._capabilities & Capability.DEPRECATE_EOF:
            self._write(Eof(self._status() | status).encode())

    async def _rows(self, text: str, result: Result, more: Status, binary: bool) -> None:
        assert result.columns is not None
        definitions = self._definitions(result.columns, result.rows)
        self._write(lenenc_int(len(definitions)))
        await self._inject_fault(text, Point.HEAD)
        for each in definitions:
            self._write(each.encode())
        if not self._capabilities & Capability.DEPRECATE_EOF:
            self._write(Eof(self._status() | more).encode())
        await self._inject_fault(text, Point.COLUMNS)
        if self._server.wide and "wide" in text:
            await self._wide_rows()
        for number, row in enumerate(result.rows):
            await self._inject_fault(text, Point.ROWS, number)
            self._write(_binary_row(row, definitions) if binary else _text_row(row))
            if self._drained is not None:
                await self._drained
        await self._inject_fault(text, Point.LAST)
        self._eof(more, result.warnings)

    async def _wide_rows(self) -> None:
        row = lenenc(b"w" * (16 << 10))
        for _ in range(self._server.wide_rows):
            self._write(row)
            if self._drained is not None:
                await self._drained

    # Prepared statements

    def _prepare(self, text: str) -> None:
        try:
            trees = self.sql.parse(text)
            if len(trees) != 1:
                raise SqlError(1064, "42000", "one statement is needed")
            parameters = len(list(trees[0].find_all(exp.Placeholder)))
            columns = self.sql.describe(trees[0], parameters)
        except SqlError as error:
            self._error(error)
            return
        number, self._next_statement = self._next_statement, self._next_statement + 1
        self._prepared[number] = (text, trees[0], parameters)
        self._write(PrepareOk(number, len(columns), parameters).encode())
        is_classic = not self._capabilities & Capability.DEPRECATE_EOF
        for names in (["?"] * parameters, columns):
            for each in names:
                self._write(Column(each.encode()).encode())
            if names and is_classic:
                self._write(Eof(self._status()).encode())

    async def _execute(self, payload: bytes) -> None:
        number, flags = struct.unpack_from("<IB", payload, 1)
        prepared = self._prepared.get(number)
        if prepared is None:
            self._error(SqlError(1243, "HY000", "Unknown prepared statement handler"))
            return
        text, tree, count = prepared
        parameters = self._parameters(number, count, Cursor(payload, "COM_STMT_EXECUTE", 10))
        cursor = number if flags & 1 and isinstance(tree, exp.Query) else None
        await self._statement(text, tree, parameters, Status(0), binary=True, cursor=cursor)

    def _parameters(self, number: int, count: int, read: Cursor) -> tuple[Value, ...]:
        if not count:
            return ()
        nulls = int.from_bytes(read.take((count + 7) // 8, "nulls"), "little")
        if read.integer(1, "bound"):
            types = [read.integer(2, "type") for _ in range(count)]
            self._types[number] = [(code & 0xFF, bool(code & 0x8000)) for code in types]
        values: list[Value] = []
        for position, (kind, unsigned) in enumerate(self._types[number]):
            long_data = self._long_data.pop((number, position), None)
            if long_data is not None:
                values.append(long_data.decode() if kind != 252 else bytes(long_data))
            elif nulls >> position & 1:
                values.append(None)
            else:
                values.append(_parameter(kind, unsigned, read))
        return tuple(values)

    async def _fetch(self, payload: bytes) -> None:
        number, count = struct.unpack_from("<II", payload, 1)
        rows = self._cursors.get(number)
        if rows is None:
            self._error(SqlError(1421, "HY000", "The statement has no open cursor"))
            return
        definitions = self._definitions(["?"] * (len(rows[0]) if rows else 0), rows)
        fetched, self._cursors[number] = rows[:count], rows[count:]
        for row in fetched:
            self._write(_binary_row(row, definitions))
        if self._cursors[number]:
            self._eof(Status.CURSOR_EXISTS)
        else:
            del self._cursors[number]
            self._eof(Status.LAST_ROW_SENT)


def _parameter(kind: int, unsigned: bool, read: Cursor) -> Value:
    widths = {1: 1, 2: 2, 3: 4, 8: 8, 9: 4, 13: 2}
    if kind in widths:
        return int.from_bytes(read.take(widths[kind], "integer"), "little", signed=not unsigned)
    if kind in (4, 5):
        width, code = (4, "<f") if kind == 4 else (8, "<d")
        number: float = struct.unpack(code, read.take(width, "float"))[0]
        return number
    if kind == 6:
        return None
    raw = read.lenenc("text")
    return raw if kind in (249, 250, 251, 252) else raw.decode()


def _text_row(row: tuple[Value, ...]) -> bytes:
    return b"".join(b"\xfb" if value is None else lenenc(_bytes(value)) for value in row)


def _bytes(value: Value) -> bytes:
    return value if isinstance(value, bytes) else str(value).encode()


def _binary_row(row: tuple[Value, ...], columns: list[Column]) -> bytes:
    nulls = bytearray((len(row) + 9) // 8)
    out = bytearray()
    for number, (value, column) in enumerate(zip(row, columns, strict=True)):
        if value is None:
            nulls[(number + 2) // 8] |= 1 << (number + 2) % 8
        elif column.column_type == 8:
            out += int(value).to_bytes(8, "little", signed=True)
        elif column.column_type == 5:
            out += struct.pack("<d", value)
        else:
            out += lenenc(_bytes(value))
    return b"\0" + bytes(nulls) + bytes(out)
