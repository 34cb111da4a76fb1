"""The transport to MySQL servers: attempts, probes and the connection pool that they use.

An attempt acquires a connection, applies its session's state, writes the statement and buffers the response.
A response over the buffer limit is streamed to the client from there on; then no retry is possible.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from micadeck.engine import AttemptCallback, EndpointUpdate, Request
from micadeck.mysql.auth import LoginFailed
from micadeck.mysql.pool import Full, Pool, PoolLimits, Use
from micadeck.mysql.protocol.answers import Definition, Part, ResponseKind, ResponseReader, Row, TextPacket
from micadeck.mysql.protocol.constants import Command
from micadeck.mysql.protocol.messages import Err, Ok, PrepareOk
from micadeck.mysql.server_connection import OVER_LIMIT_CODES, ConnectionLost, Credentials, ServerConnection
from micadeck.mysql.server_errors import SHUTDOWN_CODES, had_no_effect, is_server_state
from micadeck.mysql.session import Handle, Session, must_reset, state_commands
from micadeck.mysql.statement import Statement
from micadeck.network import Address, Network, Timer
from micadeck.network.dialing import is_local_error
from micadeck.network.scheduling_delay import wait_excluding_lag
from micadeck.policy.events import ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import Settings

_PING = bytes((Command.PING,))
_RESET = bytes((Command.RESET_CONNECTION,))
_PART_OVERHEAD = 64  # bytes that a buffered part takes in addition to its payload
_KILL_TIMEOUT_S = 1.0

# CLIENT_FOUND_ROWS was negotiated; a default schema is selected (a connection reset does not clear it).
_ConnectionKind = tuple[bool, bool]
_ANY_KIND: tuple[_ConnectionKind, ...] = ((False, False), (False, True), (True, False), (True, True))


class Sink(Protocol):
    """Receives a response that is too long to buffer."""

    def begin(self, attempt: Attempt) -> bool:
        """Start streaming, if the client can take the response; `part` gets each part."""

    def part(self, part: Part) -> None: ...


@dataclass(slots=True)
class StatementRequest(Request):
    """One command of one session, for a server."""

    session: Session
    statement: Statement
    command: bytes  # the payload; COM_STMT_EXECUTE gets its statement id when it is written
    kind: ResponseKind
    sink: Sink
    connection: ServerConnection | None = None  # that the session is bound to, if any
    handle: Handle | None = None  # for COM_STMT_EXECUTE
    error: Err | None = None  # a server's error while the session's state was applied


@dataclass(slots=True)
class Response:
    """A complete response, buffered or streamed to its sink."""

    connection: ServerConnection
    parts: list[Part]
    reader: ResponseReader
    is_kept: bool = field(default=False)  # set by the receiver: the session keeps the connection


class Attempt:
    """Calls `on_done` exactly once, never from within `start` or `cancel`."""

    __slots__ = (
        "connection",
        "ended",
        "held_bytes",
        "is_streaming",
        "is_written",
        "on_done",
        "parts",
        "request",
        "server",
        "timer",
        "transport",
    )

    def __init__(
        self, transport: MysqlTransport, server: str, request: StatementRequest, on_done: AttemptCallback
    ) -> None:
        self.transport = transport
        self.server = server
        self.request = request
        self.on_done = on_done
        self.ended = False
        self.is_written = False  # a byte of the statement may have reached the server
        self.is_streaming = False
        self.connection: ServerConnection | None = None
        self.parts: list[Part] = []
        self.held_bytes = 0
        self.timer: Timer | None = None

    def part(self, part: Part) -> None:
        """Handle a part of the statement's response."""
        if self.ended:
            return
        if self.is_streaming:
            self.request.sink.part(part)
            return
        self.parts.append(part)
        if type(part) is Row:
            added = _PART_OVERHEAD + len(part.payload)
        else:
            added = _PART_OVERHEAD + (len(part.payload) if isinstance(part, (Definition, TextPacket)) else 0)
        self.held_bytes += added
        self.transport.held_bytes += added
        if self.transport.exceeds_held_limit(self.held_bytes):
            self._stream()

    def _stream(self) -> None:
        if not self.request.sink.begin(self):
            assert self.connection is not None
            self.connection.close()  # the response can no longer be delivered
            return
        self.is_streaming = True
        parts, self.parts = self.parts, []
        self.release_held()
        for each in parts:
            self.request.sink.part(each)

    def release_held(self) -> None:
        """Return the buffered bytes to the limits."""
        self.transport.held_bytes -= self.held_bytes
        self.held_bytes = 0

    def abort(self) -> None:
        """Discard the rest of the response."""
        if not self.ended and self.connection is not None:
            self.connection.close()


class _Server:
    """A server's address, and whether it may get new statements."""

    __slots__ = ("address", "is_leaving", "sessions_end_at", "started_at")

    def __init__(self, address: Address, started_at: int | None) -> None:
        self.address = address
        self.started_at = started_at
        self.is_leaving = False
        self.sessions_end_at: int | None = None  # deadline for bound sessions to end


@dataclass(frozen=True, slots=True)
class TransportLimits:
    """Limits on connections and buffers."""

    pool: PoolLimits
    max_held_bytes: int  # of one response
    max_total_held_bytes: int  # of all responses together
    max_packet_bytes: int
    can_kill: bool


class MysqlTransport:
    """All connections to MySQL servers, for the engine."""

    def __init__(
        self,
        network: Network,
        settings: Settings,
        credentials: Credentials,
        limits: TransportLimits,
        log: Callable[[str], None],
    ) -> None:
        self._network = network
        self._dial_timeout_s = settings.limits.dial_timeout_us / 1e6
        self._bound_grace_us = settings.rules.session_drain_grace_us
        self._credentials = credentials
        self._limits = limits
        self._log = log
        self.pool: Pool[ServerConnection] = Pool(limits.pool)
        self.held_bytes = 0
        self._servers: dict[str, _Server] = {}
        self._server_of: dict[ServerConnection, _Server] = {}
        self._bound: dict[ServerConnection, Callable[[], None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle_timer: Timer | None = None
        self._is_closed = False

    def exceeds_held_limit(self, response_bytes: int) -> bool:
        return (
            response_bytes > self._limits.max_held_bytes
            or self.held_bytes > self._limits.max_total_held_bytes
        )

    # The endpoint list

    def update_endpoints(self, update: EndpointUpdate) -> None:
        if update.full:
            for name in self._servers.keys() - {each.endpoint.server for each in update.entries}:
                self._remove_server(name)
        for entry in update.entries:
            name, address = entry.endpoint.server, entry.address
            if address is None:
                self._remove_server(name)
                continue
            server = self._servers.get(name)
            if server is None or (server.address, server.started_at) != (address, entry.endpoint.started_at):
                self._remove_server(name)
                server = self._servers[name] = _Server(address, entry.endpoint.started_at)
            self._update_state(name, server, entry.endpoint.state is not ServerState.READY)

    def _update_state(self, name: str, server: _Server, is_leaving: bool) -> None:
        if is_leaving == server.is_leaving:
            return
        server.is_leaving = is_leaving
        if not is_leaving:
            server.sessions_end_at = None
            return
        server.sessions_end_at = self._network.now() + self._bound_grace_us
        self.close_idle(name)
        self._network.call_later(self._bound_grace_us / 1e6, self._end_sessions, server)

    def _end_sessions(self, server: _Server) -> None:
        """Close the idle connections of bound sessions; the server then rolls back what they left open."""
        if server.sessions_end_at is None or self._network.now() < server.sessions_end_at:
            return
        for connection in list(self._bound):
            if self._server_of.get(connection) is server and connection.is_usable():
                connection.close()

    def _remove_server(self, name: str) -> None:
        server = self._servers.pop(name, None)
        if server is None:
            return
        self.close_idle(name)
        server.is_leaving = True
        server.sessions_end_at = self._network.now()
        self._end_sessions(server)

    # Sessions

    def bind(self, connection: ServerConnection, on_lost: Callable[[], None]) -> bool:
        """Reserve it for one session until `unbind`; False if it is closed or its server drains."""
        if not connection.is_open or not self.accepts_bound(connection):
            return False
        self._bound[connection] = on_lost
        return True

    def accepts_bound(self, connection: ServerConnection) -> bool:
        """Whether the connection's server still takes statements of bound sessions."""
        server = self._server_of.get(connection)
        if server is None:
            return False
        return server.sessions_end_at is None or self._network.now() < server.sessions_end_at

    def unbind(self, connection: ServerConnection, *, is_good: bool = True) -> None:
        """End the reservation; close the connection if its state is not trusted."""
        self._bound.pop(connection, None)
        if is_good:
            self._release(connection)
        else:
            connection.close()

    # Attempts

    def start(
        self,
        server: str,
        deadline_us: int,
        request: StatementRequest,
        on_done: AttemptCallback,
        write_deadline_us: int | None = None,
    ) -> Attempt:
        assert write_deadline_us is None  # no class of MySQL statements is keyed
        attempt = Attempt(self, server, request, on_done)
        target = self._servers.get(server)
        remaining_us = deadline_us - self._network.now()
        if request.connection is not None:
            can_start = request.connection.is_usable() and self.accepts_bound(request.connection)
        else:
            can_start = target is not None and not target.is_leaving
        if not can_start or remaining_us <= 0:
            self._network.call_soon(self._end, attempt, Outcome.NOT_SENT)
            return attempt
        attempt.timer = self._network.call_later(remaining_us / 1e6, self._expire, attempt)
        self._spawn(self._run_attempt(attempt, target))
        return attempt

    def set_deadline(self, attempt: Attempt, deadline_us: int) -> None:
        """Do nothing: every statement is complete when it is submitted."""

    def cancel(self, attempt: Attempt) -> None:
        self._give_up(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        if not attempt.is_written:
            self._give_up(attempt, Outcome.NOT_SENT)

    def _give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.ended:
            return
        self._abort(attempt)
        self._network.call_soon(attempt.on_done, outcome, None, None)

    def probe(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None:
        self._spawn(self._ping(server, deadline_us, on_done))

    def close_idle(self, server: str) -> None:
        for connection in self.pool.idle(server):
            connection.close()

    def close(self) -> None:
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for connection in list(self._server_of):
            connection.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._network.spawn(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log(f"internal error: mysql: {error!r}")

    async def _run_attempt(self, attempt: Attempt, target: _Server | None) -> None:
        request = attempt.request
        connection = request.connection
        if connection is None:
            assert target is not None
            kinds = _connection_kinds(request.session)
            connection = await self._acquire(attempt.server, target, kinds, attempt)
            if connection is None:
                return
        attempt.connection = connection
        try:
            if not await self._apply_session(attempt, connection):
                return
            reader = await self._exchange_statement(attempt, connection)
        except ConnectionLost as lost:
            self._fail_lost(attempt, connection, lost)
            return
        if not attempt.ended:
            self._complete(attempt, connection, reader)

    async def _acquire(
        self, name: str, target: _Server, kinds: Sequence[_ConnectionKind], attempt: Attempt | None
    ) -> ServerConnection | None:
        """Get a connection from the pool or dial; None if the attempt has ended."""
        assigned = self.pool.assign(name, kinds, self._network.now())
        while isinstance(assigned, Use):
            if assigned.connection.is_usable():
                return assigned.connection
            assigned.connection.close()
            assigned = self.pool.assign(name, kinds, self._network.now())
        if isinstance(assigned, Full):
            # `on_done` must not be called within `start`.
            await self._network.sleep(0)
            self._end(attempt, Outcome.NOT_SENT)
            return None
        for each in assigned.close:
            each.close()
        return await self._dial(name, target, kinds[0][0], attempt)

    async def _dial(
        self, name: str, target: _Server, found_rows: bool, attempt: Attempt | None
    ) -> ServerConnection | None:
        outcome, connection = Outcome.CONNECT_FAILED, None
        try:
            dial = ServerConnection.open(
                lambda: self._new_connection(name, found_rows), self._network, target.address
            )
            connection = await wait_excluding_lag(self._network, self._dial_timeout_s, dial)
        except LoginFailed as error:
            self._log(f"mysql: log-in at {name} failed: {error}")
            if error.error is not None and error.error.code in OVER_LIMIT_CODES:
                outcome = Outcome.FULL
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError):
                outcome = Outcome.CONNECTION_REFUSED
            elif is_local_error(error):
                outcome = Outcome.NOT_SENT
        except asyncio.CancelledError:
            self.pool.end_dial(name)
            raise
        if connection is None:
            self.pool.end_dial(name)
            self._end(attempt, outcome)
            return None
        self.pool.opened(name, connection)
        self._server_of[connection] = target
        if not connection.is_open or target.is_leaving or self._is_closed:
            # A draining server gets no new statements (rule 3), also if the drain began during the dial.
            was_open = connection.is_open
            connection.close()
            self._connection_closed(connection)
            self._end(attempt, Outcome.NOT_SENT if was_open else Outcome.CONNECT_FAILED)
            return None
        if attempt is not None and attempt.ended:
            self._release(connection)
            return None
        return connection

    def _new_connection(self, server: str, found_rows: bool) -> ServerConnection:
        return ServerConnection(
            self._network,
            server,
            self._credentials,
            found_rows=found_rows,
            max_packet_bytes=self._limits.max_packet_bytes,
            on_closed=self._connection_closed,
        )

    async def _apply_session(self, attempt: Attempt, connection: ServerConnection) -> bool:
        """Apply the session's state to the connection; False if that ended the attempt.

        The statement is not written yet: after a failure here it has not run.
        """
        request = attempt.request
        session, statement = request.session, request.statement
        commands: list[bytes] = []
        if request.connection is None and must_reset(connection.state, session, statement):
            commands.append(_RESET)
            connection.state.reset()
            connection.forget_prepared()
        commands += state_commands(connection.state, session, statement)
        for command in commands:
            reader = await self._exchange_setup(connection, command)
            if attempt.ended or self._ended_by_drain(attempt, connection):
                return False
            if reader.error is not None:
                connection.state.is_dirty = True  # the state that was recorded as applied is not
                request.error = reader.error
                self._log(f"mysql: {attempt.server} rejected a session's state: {reader.error.code}")
                self._end(attempt, Outcome.FULL)
                self._release_unless_bound(attempt, connection)
                return False
        if request.handle is not None:
            return await self._prepare_handle(attempt, connection, request.handle)
        return True

    async def _prepare_handle(self, attempt: Attempt, connection: ServerConnection, handle: Handle) -> bool:
        key = (connection.state.schema, handle.text)
        if key in connection.prepared:
            connection.prepared.move_to_end(key)
            return True
        parts: list[Part] = []
        command = bytes((Command.STMT_PREPARE,)) + handle.text
        try:
            reader = await connection.exchange(command, ResponseKind.PREPARED, parts.append)
        except ConnectionLost:
            raise ConnectionLost(written=False) from None
        if attempt.ended or self._ended_by_drain(attempt, connection):
            return False
        if reader.error is not None:
            if is_server_state(reader.error.code):
                self._end(attempt, Outcome.FULL)
                self._release_unless_bound(attempt, connection)
                return False
            attempt.parts = [reader.error]  # the statement did not run
            self._complete(attempt, connection, reader)
            return False
        prepared = parts[0]
        assert isinstance(prepared, PrepareOk)
        connection.add_prepared(key, prepared)
        if prepared.parameter_count != handle.parameters:
            # The schema differs from that of the server whose parameter count the client got.
            self._end(attempt, Outcome.FULL)
            self._release_unless_bound(attempt, connection)
            return False
        return True

    def _ended_by_drain(self, attempt: Attempt, connection: ServerConnection) -> bool:
        """End the attempt if its server began to drain during the setup, which may take long (rule 3)."""
        target = self._server_of.get(connection)
        bound = attempt.request.connection is not None
        if target is not None and (self.accepts_bound(connection) if bound else not target.is_leaving):
            return False
        self._end(attempt, Outcome.NOT_SENT)
        self._release_unless_bound(attempt, connection)
        return True

    async def _exchange_setup(self, connection: ServerConnection, command: bytes) -> ResponseReader:
        try:
            return await connection.exchange(command, ResponseKind.RESULT, _ignore)
        except ConnectionLost:
            raise ConnectionLost(written=False) from None

    async def _exchange_statement(self, attempt: Attempt, connection: ServerConnection) -> ResponseReader:
        request = attempt.request
        if attempt.ended:
            raise ConnectionLost(written=False)
        command = request.command
        if request.handle is not None:
            prepared = connection.prepared[connection.state.schema, request.handle.text]
            statement_id = prepared.statement_id.to_bytes(4, "little")
            for parameter, data in request.handle.long_data.items():
                head = bytes((Command.STMT_SEND_LONG_DATA,)) + statement_id + parameter.to_bytes(2, "little")
                connection.send(head + bytes(data))
            command = command[:1] + statement_id + command[5:]
        attempt.is_written = True
        return await connection.exchange(command, request.kind, attempt.part)

    # The end of attempts

    def _complete(self, attempt: Attempt, connection: ServerConnection, reader: ResponseReader) -> None:
        request, error = attempt.request, reader.error
        oks = [each for each in attempt.parts if isinstance(each, Ok)]
        connection.state.record(request.statement, reader.status, oks[-1] if oks else None, error is not None)
        if error is not None and not attempt.is_streaming:
            if error.code in SHUTDOWN_CODES:
                self._end(attempt, Outcome.ERROR)
                connection.close()
                return
            is_repeatable = had_no_effect(error.code, request.statement, request.kind)
            if is_repeatable and request.connection is None and reader.rows == 0:
                self._end(attempt, Outcome.FULL)
                self._release(connection)
                return
        if request.kind is ResponseKind.PREPARED and error is None:
            self._keep_prepared(attempt, connection)
        response = Response(connection, attempt.parts, reader)
        self._end(attempt, Outcome.DELIVERED, response)
        if not response.is_kept:
            self._bound.pop(connection, None)
            self._release(connection)

    def _keep_prepared(self, attempt: Attempt, connection: ServerConnection) -> None:
        """Keep a statement that a client prepared on the connection, for later executions."""
        key, prepared = (connection.state.schema, attempt.request.command[1:]), attempt.parts[0]
        assert isinstance(prepared, PrepareOk)
        if key in connection.prepared:
            connection.send(bytes((Command.STMT_CLOSE,)) + prepared.statement_id.to_bytes(4, "little"))
        else:
            connection.add_prepared(key, prepared)

    def _fail_lost(self, attempt: Attempt, connection: ServerConnection, lost: ConnectionLost) -> None:
        if not lost.written:
            self._end(attempt, Outcome.CONNECT_FAILED)
        elif connection.protocol_error is not None:
            self._log(f"mysql: {attempt.server} broke the protocol: {connection.protocol_error}")
            self._end(attempt, Outcome.MALFORMED)
        else:
            self._end(attempt, Outcome.CONNECTION_LOST)

    def _expire(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        self._abort(attempt)
        attempt.on_done(Outcome.TIMED_OUT if attempt.is_written else Outcome.CONNECT_FAILED, None, None)

    def _abort(self, attempt: Attempt) -> None:
        """End the attempt and close its connection."""
        attempt.ended = True
        attempt.release_held()
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.connection is not None:
            if self._limits.can_kill and attempt.is_written and attempt.connection.is_open:
                self._spawn(self._kill(attempt.server, attempt.connection.thread_id))
            attempt.connection.close()

    def _end(self, attempt: Attempt | None, outcome: Outcome, response: Response | None = None) -> None:
        if attempt is None or attempt.ended:
            return
        attempt.ended = True
        attempt.release_held()
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.on_done(outcome, response, None)

    # Connections

    def _release_unless_bound(self, attempt: Attempt, connection: ServerConnection) -> None:
        if attempt.request.connection is None:
            self._release(connection)

    def _release(self, connection: ServerConnection) -> None:
        """Return it to the pool; reset it first if locks, tables or a transaction may be left."""
        server = self._server_of.get(connection)
        if server is None or server.is_leaving or not connection.is_usable():
            connection.close()
        elif connection.state.in_transaction or connection.state.is_dirty:
            self._spawn(self._reset(connection))
        else:
            self._return_to_pool(connection)

    async def _reset(self, connection: ServerConnection) -> None:
        try:
            async with self._network.timeout(self._dial_timeout_s):
                reader = await connection.exchange(_RESET, ResponseKind.RESULT, _ignore)
        except (ConnectionLost, TimeoutError):
            connection.close()
            return
        if reader.error is not None:
            connection.close()  # servers before 5.7.3 lack COM_RESET_CONNECTION
            return
        connection.state.reset()
        connection.forget_prepared()
        self._release(connection)

    def _return_to_pool(self, connection: ServerConnection) -> None:
        kind = (connection.found_rows, connection.state.schema is not None)
        if not self.pool.release(connection, kind, self._network.now()):
            connection.close()
        elif self._idle_timer is None:
            self._idle_timer = self._network.call_later(self._limits.pool.idle_us / 4e6, self._close_expired)

    def _close_expired(self) -> None:
        self._idle_timer = None
        for connection in self.pool.expired(self._network.now()):
            connection.close()
        if self.pool.count:
            self._idle_timer = self._network.call_later(self._limits.pool.idle_us / 4e6, self._close_expired)

    def _connection_closed(self, connection: ServerConnection) -> None:
        self.pool.closed(connection)
        self._server_of.pop(connection, None)
        on_lost = self._bound.pop(connection, None)
        if on_lost is not None:
            on_lost()

    # Commands of the transport itself

    async def _kill(self, server: str, thread_id: int) -> None:
        """Stop an abandoned statement at the server: closing its connection does not."""
        target = self._servers.get(server)
        if target is None or target.is_leaving:
            return
        connection = await self._acquire(server, target, _ANY_KIND, None)
        if connection is None:
            return
        try:
            async with self._network.timeout(_KILL_TIMEOUT_S):
                command = bytes((Command.QUERY,)) + b"KILL QUERY %d" % thread_id
                await connection.exchange(command, ResponseKind.RESULT, _ignore)
        except (ConnectionLost, TimeoutError):
            connection.close()
        else:
            self._release(connection)

    async def _ping(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None:
        target = self._servers.get(server)
        outcome = Outcome.CONNECT_FAILED
        await self._network.sleep(0)
        if target is not None and not target.is_leaving:
            connection: ServerConnection | None = None
            try:
                async with self._network.timeout(max(deadline_us - self._network.now(), 0) / 1e6):
                    connection = await self._acquire(server, target, _ANY_KIND, None)
                    if connection is not None:
                        await connection.exchange(_PING, ResponseKind.RESULT, _ignore)
                        outcome = Outcome.DELIVERED
            except ConnectionLost:
                outcome = Outcome.CONNECTION_LOST
            except TimeoutError:
                outcome = Outcome.TIMED_OUT
            if connection is not None:
                self._release(connection)
        on_done(outcome, None, None)


def _connection_kinds(session: Session) -> tuple[_ConnectionKind, ...]:
    counts = session.found_rows
    return ((counts, True), (counts, False)) if session.schema is not None else ((counts, False),)


def _ignore(part: Part) -> None:
    """Discard a part of a response of which only the status matters."""
