"""Statements to servers: attempts and probes, and the pool of connections that carries them.

An attempt takes a connection, puts its session there, writes the statement and holds the answer until it is
whole or too long to hold; from there on the answer streams, and no other attempt may follow.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from micadeck.engine import AttemptCallback, EndpointUpdate, Request
from micadeck.mysql.auth import LoginFailed
from micadeck.mysql.pool import Full, Limits, Pool, Use
from micadeck.mysql.protocol.answers import AnswerReader, Definition, Kind, Part, Row, Words
from micadeck.mysql.protocol.constants import Command, ErrorCode
from micadeck.mysql.protocol.messages import Err, Ok, Prepared
from micadeck.mysql.server_connection import FULL_AT_LOGIN, Credentials, Lost, ServerConnection
from micadeck.mysql.session import Handle, Session, must_reset, put
from micadeck.mysql.statements import Statement
from micadeck.network import Address, Network, Timer
from micadeck.network.scheduling_delay import wait_excluding_lag
from micadeck.policy.events import ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import Settings

_OWN_FAULTS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
_PING = bytes((Command.PING,))
_RESET = bytes((Command.RESET_CONNECTION,))
_PART = 64  # bytes that a held part costs beside its payload
# The statement did not run, and another server may run it.
_ELSEWHERE = frozenset((ErrorCode.OPTION_PREVENTS_STATEMENT, 1836, 1461, 3032))
_GOING_DOWN = frozenset((ErrorCode.SERVER_SHUTDOWN, 1077, 1079, 1080, 3169))
_KILL_WITHIN_S = 1.0

_Kind = tuple[bool, bool]  # of a connection: counts found rows, and has a schema, which no reset takes away
_ANY: tuple[_Kind, ...] = ((False, False), (False, True), (True, False), (True, True))


class Sink(Protocol):
    """Where an answer goes that is too long to hold."""

    def begin(self, call: Call) -> bool:
        """Whether it may go there now; from then on each part follows by `part`."""

    def part(self, part: Part) -> None: ...


@dataclass(slots=True)
class StatementRequest(Request):
    """One command of one session, on its way to a server."""

    session: Session
    statement: Statement
    command: bytes  # as it is written; of an execution, what follows the statement's number
    kind: Kind
    sink: Sink
    link: ServerConnection | None = None  # the session's own, if it is bound to one
    handle: Handle | None = None  # of an execution
    error: Err | None = None  # why a server would not have the session


@dataclass(slots=True)
class Answer:
    """An answer that came whole, or whose last part has just gone to its sink."""

    link: ServerConnection
    parts: list[Part]
    reader: AnswerReader
    is_kept: bool = field(default=False)  # set by whoever takes it: the connection stays with the session


class Call:
    """One attempt.  `on_done` is called exactly once, never from within `start` or `cancel`."""

    __slots__ = (
        "carrier",
        "ended",
        "is_streaming",
        "is_written",
        "link",
        "on_done",
        "parts",
        "request",
        "server",
        "size",
        "timer",
    )

    def __init__(
        self, carrier: MysqlTransport, server: str, request: StatementRequest, on_done: AttemptCallback
    ) -> None:
        self.carrier = carrier
        self.server = server
        self.request = request
        self.on_done = on_done
        self.ended = False
        self.is_written = False  # a byte of the statement itself may be at the server
        self.is_streaming = False
        self.link: ServerConnection | None = None
        self.parts: list[Part] = []
        self.size = 0
        self.timer: Timer | None = None

    def part(self, part: Part) -> None:
        """A part of the answer to the statement itself came."""
        if self.ended:
            return
        if self.is_streaming:
            self.request.sink.part(part)
            return
        self.parts.append(part)
        if type(part) is Row:
            grown = _PART + len(part.payload)
        else:
            grown = _PART + (len(part.payload) if isinstance(part, (Definition, Words)) else 0)
        self.size += grown
        self.carrier.held += grown
        if self.carrier.holds_too_much(self.size):
            self._stream()

    def _stream(self) -> None:
        if not self.request.sink.begin(self):
            assert self.link is not None
            self.link.close()  # nobody may be given it any more
            return
        self.is_streaming = True
        parts, self.parts = self.parts, []
        self.let_go()
        for each in parts:
            self.request.sink.part(each)

    def let_go(self) -> None:
        """What was held is held no longer."""
        self.carrier.held -= self.size
        self.size = 0

    def abandon(self) -> None:
        """Nobody takes the rest."""
        if not self.ended and self.link is not None:
            self.link.close()


class _Server:
    """Where a server is reached, and whether it may have something new."""

    __slots__ = ("address", "is_leaving", "sessions_end_at", "started_at")

    def __init__(self, address: Address, started_at: int | None) -> None:
        self.address = address
        self.started_at = started_at
        self.is_leaving = False
        self.sessions_end_at: int | None = None  # when bound sessions must have left it


@dataclass(frozen=True, slots=True)
class TransportLimits:
    """What the carrier may hold."""

    pool: Limits
    hold: int  # bytes of one answer
    hold_all: int  # and of all
    most_in_packet: int
    may_kill: bool


class MysqlTransport:
    """All connections to MySQL servers; the engine's `Carrier`."""

    def __init__(
        self,
        network: Network,
        settings: Settings,
        credentials: Credentials,
        limits: TransportLimits,
        log: Callable[[str], None],
    ) -> None:
        self._network = network
        self._dial_within_s = settings.limits.dial_timeout_us / 1e6
        self._bound_grace_us = settings.rules.session_drain_grace_us
        self._credentials = credentials
        self._limits = limits
        self._log = log
        self.pool: Pool[ServerConnection] = Pool(limits.pool)
        self.held = 0
        self._servers: dict[str, _Server] = {}
        self._homes: dict[ServerConnection, _Server] = {}
        self._bound: dict[ServerConnection, Callable[[], None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep: Timer | None = None
        self._is_closed = False

    def holds_too_much(self, size: int) -> bool:
        return size > self._limits.hold or self.held > self._limits.hold_all

    # The list

    def update_endpoints(self, listing: EndpointUpdate) -> None:
        if listing.full:
            for name in self._servers.keys() - {each.endpoint.server for each in listing.entries}:
                self._drop(name)
        for entry in listing.entries:
            name, address = entry.endpoint.server, entry.address
            if address is None:
                self._drop(name)
                continue
            server = self._servers.get(name)
            if server is None or (server.address, server.started_at) != (address, entry.endpoint.started_at):
                self._drop(name)
                server = self._servers[name] = _Server(address, entry.endpoint.started_at)
            self._state_heard(name, server, entry.endpoint.state is not ServerState.READY)

    def _state_heard(self, name: str, server: _Server, is_leaving: bool) -> None:
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
        """Bound sessions between two statements lose their connections, and so their transactions, now.

        Closing is word enough: a server rolls back what its client left open, and nothing new is written.
        """
        if server.sessions_end_at is None or self._network.now() < server.sessions_end_at:
            return
        for link in list(self._bound):
            if self._homes.get(link) is server and link.is_usable():
                link.close()

    def _drop(self, name: str) -> None:
        server = self._servers.pop(name, None)
        if server is None:
            return
        self.close_idle(name)
        server.is_leaving = True
        server.sessions_end_at = self._network.now()
        self._end_sessions(server)

    # Sessions

    def bind(self, link: ServerConnection, on_lost: Callable[[], None]) -> bool:
        """The connection belongs to one session until `unbind`; False if its server takes nothing new."""
        if not link.is_open or not self.takes_bound(link):
            return False
        self._bound[link] = on_lost
        return True

    def takes_bound(self, link: ServerConnection) -> bool:
        """Whether the connection's server may still have statements of its session."""
        server = self._homes.get(link)
        if server is None:
            return False
        return server.sessions_end_at is None or self._network.now() < server.sessions_end_at

    def unbind(self, link: ServerConnection, *, is_good: bool = True) -> None:
        """The session has no more need of it, or can't trust it any more."""
        self._bound.pop(link, None)
        if is_good:
            self._release(link)
        else:
            link.close()

    # Attempts

    def start(
        self,
        server: str,
        deadline_us: int,
        request: StatementRequest,
        on_done: AttemptCallback,
        write_deadline_us: int | None = None,
    ) -> Call:
        assert write_deadline_us is None  # no class of statements is keyed
        call = Call(self, server, request, on_done)
        home = self._servers.get(server)
        left_us = deadline_us - self._network.now()
        if request.link is not None:
            may = request.link.is_usable() and self.takes_bound(request.link)
        else:
            may = home is not None and not home.is_leaving
        if not may or left_us <= 0:
            self._network.call_soon(self._end, call, Outcome.NOT_SENT)
            return call
        call.timer = self._network.call_later(left_us / 1e6, self._expire, call)
        self._spawn(self._carry(call, home))
        return call

    def set_deadline(self, attempt: Call, deadline_us: int) -> None:
        """Nothing to do: every statement is whole when it is taken."""

    def cancel(self, attempt: Call) -> None:
        self._give_up(attempt, Outcome.CANCELLED)

    def withdraw(self, attempt: Call) -> None:
        if not attempt.is_written:
            self._give_up(attempt, Outcome.NOT_SENT)

    def _give_up(self, attempt: Call, outcome: Outcome) -> None:
        if attempt.ended:
            return
        self._stop(attempt)
        self._network.call_soon(attempt.on_done, outcome, None, None)

    def probe(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None:
        self._spawn(self._ping(server, deadline_us, on_done))

    def close_idle(self, server: str) -> None:
        for link in self.pool.resting(server):
            link.close()

    def close(self) -> None:
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        if self._sweep is not None:
            self._sweep.cancel()
        for link in list(self._homes):
            link.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._network.spawn(work)
        self._tasks.add(task)
        task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self._log(f"internal error: mysql: {fault!r}")

    async def _carry(self, call: Call, home: _Server | None) -> None:
        request = call.request
        link = request.link
        if link is None:
            assert home is not None
            link = await self._obtain(call.server, home, _kinds(request.session), call)
            if link is None:
                return
        call.link = link
        try:
            if not await self._prepare(call, link):
                return
            reader = await self._run(call, link)
        except Lost as lost:
            self._lost(call, link, lost)
            return
        if not call.ended:
            self._answered(call, link, reader)

    async def _obtain(
        self, name: str, home: _Server, kinds: Sequence[_Kind], call: Call | None
    ) -> ServerConnection | None:
        """A connection for the attempt, or None: then it has ended."""
        what = self.pool.assign(name, kinds, self._network.now())
        while isinstance(what, Use):
            if what.connection.is_usable():
                return what.connection
            what.connection.close()
            what = self.pool.assign(name, kinds, self._network.now())
        if isinstance(what, Full):
            # Within `start` nobody may be told yet.
            await self._network.sleep(0)
            self._end(call, Outcome.NOT_SENT)
            return None
        for each in what.close:
            each.close()
        return await self._dial(name, home, kinds[0][0], call)

    async def _dial(
        self, name: str, home: _Server, found_rows: bool, call: Call | None
    ) -> ServerConnection | None:
        outcome, link = Outcome.CONNECT_FAILED, None
        try:
            opening = ServerConnection.open(
                lambda: self._new_link(name, found_rows), self._network, home.address
            )
            link = await wait_excluding_lag(self._network, self._dial_within_s, opening)
        except LoginFailed as fault:
            self._log(f"mysql: log-in at {name} failed: {fault}")
            if fault.error is not None and fault.error.code in FULL_AT_LOGIN:
                outcome = Outcome.FULL
        except (OSError, TimeoutError) as fault:
            if isinstance(fault, ConnectionRefusedError):
                outcome = Outcome.CONNECTION_REFUSED
            elif isinstance(fault, OSError) and fault.errno in _OWN_FAULTS:
                outcome = Outcome.NOT_SENT
        except asyncio.CancelledError:
            self.pool.failed(name)
            raise
        if link is None:
            self.pool.failed(name)
            self._end(call, outcome)
            return None
        self.pool.opened(name, link)
        self._homes[link] = home
        if not link.is_open or home.is_leaving or self._is_closed:
            # Guards rule 3: word of its drain came while the dial was under way.
            was_open = link.is_open
            link.close()
            self._closed(link)
            self._end(call, Outcome.NOT_SENT if was_open else Outcome.CONNECT_FAILED)
            return None
        if call is not None and call.ended:
            self._release(link)
            return None
        return link

    def _new_link(self, server: str, found_rows: bool) -> ServerConnection:
        return ServerConnection(
            self._network,
            server,
            self._credentials,
            found_rows=found_rows,
            most_in_packet=self._limits.most_in_packet,
            on_closed=self._closed,
        )

    async def _prepare(self, call: Call, link: ServerConnection) -> bool:
        """Put the session on the connection; False if the attempt has ended over it.

        Nothing of the statement is written yet: whatever goes wrong here, it did not run.
        """
        request = call.request
        session, statement = request.session, request.statement
        commands: list[bytes] = []
        if request.link is None and must_reset(link.state, session, statement):
            commands.append(_RESET)
            link.state.reset()
            link.forget_prepared()
        commands += put(link.state, session, statement)
        for command in commands:
            reader = await self._ask(call, link, command, Kind.RESULT)
            if call.ended or self._drains_by_now(call, link):
                return False
            if reader.error is not None:
                link.state.is_dirty = True  # what was taken for set is not
                request.error = reader.error
                self._log(f"mysql: {call.server} would not have a session: {reader.error.code}")
                self._end(call, Outcome.FULL)
                self._release_unless_bound(call, link)
                return False
        if request.handle is not None:
            return await self._prepare_statement(call, link, request.handle)
        return True

    async def _prepare_statement(self, call: Call, link: ServerConnection, handle: Handle) -> bool:
        key = (link.state.schema, handle.text)
        if key in link.prepared:
            link.prepared.move_to_end(key)
            return True
        parts: list[Part] = []
        command = bytes((Command.STMT_PREPARE,)) + handle.text
        try:
            reader = await link.exchange(command, Kind.PREPARED, parts.append)
        except Lost:
            raise Lost(written=False) from None
        if call.ended or self._drains_by_now(call, link):
            return False
        if reader.error is not None:
            if reader.error.code in _ELSEWHERE:
                self._end(call, Outcome.FULL)
                self._release_unless_bound(call, link)
                return False
            call.parts = [reader.error]  # it did not run, and this is why
            self._answered(call, link, reader)
            return False
        prepared = parts[0]
        assert isinstance(prepared, Prepared)
        link.remember(key, prepared)
        if prepared.parameters != handle.parameters:
            # The server has another schema than the one that described the statement to the client.
            self._end(call, Outcome.FULL)
            self._release_unless_bound(call, link)
            return False
        return True

    def _drains_by_now(self, call: Call, link: ServerConnection) -> bool:
        """Whether word of its server's drain came while the session was put there; that ends the attempt.

        Guards rule 3: what comes before a statement may take as long as the server likes.
        """
        home = self._homes.get(link)
        bound = call.request.link is not None
        if home is not None and (self.takes_bound(link) if bound else not home.is_leaving):
            return False
        self._end(call, Outcome.NOT_SENT)
        self._release_unless_bound(call, link)
        return True

    async def _ask(self, call: Call, link: ServerConnection, command: bytes, kind: Kind) -> AnswerReader:
        try:
            return await link.exchange(command, kind, _ignore)
        except Lost:
            raise Lost(written=False) from None

    async def _run(self, call: Call, link: ServerConnection) -> AnswerReader:
        request = call.request
        if call.ended:
            raise Lost(written=False)
        command = request.command
        if request.handle is not None:
            known = link.prepared[link.state.schema, request.handle.text]
            number = known.statement.to_bytes(4, "little")
            for parameter, data in request.handle.long_data.items():
                head = bytes((Command.STMT_SEND_LONG_DATA,)) + number + parameter.to_bytes(2, "little")
                link.tell(head + bytes(data))
            command = command[:1] + number + command[5:]
        call.is_written = True
        return await link.exchange(command, request.kind, call.part)

    # How attempts end

    def _answered(self, call: Call, link: ServerConnection, reader: AnswerReader) -> None:
        request, error = call.request, reader.error
        oks = [each for each in call.parts if isinstance(each, Ok)]
        link.state.ran(request.statement, reader.status, oks[-1] if oks else None, error is not None)
        if error is not None and not call.is_streaming:
            if error.code in _GOING_DOWN:
                self._end(call, Outcome.ERROR)
                link.close()
                return
            if error.code in _ELSEWHERE and request.link is None and reader.rows == 0:
                self._end(call, Outcome.FULL)
                self._release(link)
                return
        if request.kind is Kind.PREPARED and error is None:
            self._prepared(call, link)
        answer = Answer(link, call.parts, reader)
        self._end(call, Outcome.DELIVERED, answer)
        if not answer.is_kept:
            self._bound.pop(link, None)
            self._release(link)

    def _prepared(self, call: Call, link: ServerConnection) -> None:
        """A client's own prepare: the statement stays on the connection, for whoever executes it there."""
        key, prepared = (link.state.schema, call.request.command[1:]), call.parts[0]
        assert isinstance(prepared, Prepared)
        if key in link.prepared:
            link.tell(bytes((Command.STMT_CLOSE,)) + prepared.statement.to_bytes(4, "little"))
        else:
            link.remember(key, prepared)

    def _lost(self, call: Call, link: ServerConnection, lost: Lost) -> None:
        if not lost.written:
            self._end(call, Outcome.CONNECT_FAILED)
        elif link.fault is not None:
            self._log(f"mysql: {call.server} sent what can't be read: {link.fault}")
            self._end(call, Outcome.MALFORMED)
        else:
            self._end(call, Outcome.CONNECTION_LOST)

    def _expire(self, call: Call) -> None:
        if call.ended:
            return
        self._stop(call)
        call.on_done(Outcome.TIMED_OUT if call.is_written else Outcome.CONNECT_FAILED, None, None)

    def _stop(self, call: Call) -> None:
        """Nothing is written for it from here on."""
        call.ended = True
        call.let_go()
        if call.timer is not None:
            call.timer.cancel()
        if call.link is not None:
            if self._limits.may_kill and call.is_written and call.link.is_open:
                self._spawn(self._kill(call.server, call.link.thread))
            call.link.close()

    def _end(self, call: Call | None, outcome: Outcome, answer: Answer | None = None) -> None:
        if call is None or call.ended:
            return
        call.ended = True
        call.let_go()
        if call.timer is not None:
            call.timer.cancel()
        call.on_done(outcome, answer, None)

    # Connections

    def _release_unless_bound(self, call: Call, link: ServerConnection) -> None:
        if call.request.link is None:
            self._release(link)

    def _release(self, link: ServerConnection) -> None:
        """Back to rest, after a reset where somebody's locks, tables or transaction would stay."""
        server = self._homes.get(link)
        if server is None or server.is_leaving or not link.is_usable():
            link.close()
        elif link.state.in_transaction or link.state.is_dirty:
            self._spawn(self._reset(link))
        else:
            self._rest(link)

    async def _reset(self, link: ServerConnection) -> None:
        try:
            async with self._network.timeout(self._dial_within_s):
                reader = await link.exchange(_RESET, Kind.RESULT, _ignore)
        except (Lost, TimeoutError):
            link.close()
            return
        if reader.error is not None:
            link.close()  # a server older than 5.7.3 knows no reset
            return
        link.state.reset()
        link.forget_prepared()
        self._release(link)

    def _rest(self, link: ServerConnection) -> None:
        now = self._network.now()
        if not self.pool.freed(link, (link.found_rows, link.state.schema is not None), now):
            link.close()
        elif self._sweep is None:
            self._sweep = self._network.call_later(self._limits.pool.idle_us / 4e6, self._close_old)

    def _close_old(self) -> None:
        self._sweep = None
        for link in self.pool.old(self._network.now()):
            link.close()
        if self.pool.count:
            self._sweep = self._network.call_later(self._limits.pool.idle_us / 4e6, self._close_old)

    def _closed(self, link: ServerConnection) -> None:
        self.pool.closed(link)
        self._homes.pop(link, None)
        on_lost = self._bound.pop(link, None)
        if on_lost is not None:
            on_lost()

    # Beside statements

    async def _kill(self, server: str, thread: int) -> None:
        """End what goes on at the server though nobody waits: closing its connection does not."""
        home = self._servers.get(server)
        if home is None or home.is_leaving:
            return
        link = await self._obtain(server, home, _ANY, None)
        if link is None:
            return
        try:
            async with self._network.timeout(_KILL_WITHIN_S):
                await link.exchange(bytes((Command.QUERY,)) + b"KILL QUERY %d" % thread, Kind.RESULT, _ignore)
        except (Lost, TimeoutError):
            link.close()
        else:
            self._release(link)

    async def _ping(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None:
        home = self._servers.get(server)
        outcome = Outcome.CONNECT_FAILED
        await self._network.sleep(0)
        if home is not None and not home.is_leaving:
            link: ServerConnection | None = None
            try:
                async with self._network.timeout(max(deadline_us - self._network.now(), 0) / 1e6):
                    link = await self._obtain(server, home, _ANY, None)
                    if link is not None:
                        await link.exchange(_PING, Kind.RESULT, _ignore)
                        outcome = Outcome.DELIVERED
            except Lost:
                outcome = Outcome.CONNECTION_LOST
            except TimeoutError:
                outcome = Outcome.TIMED_OUT
            if link is not None:
                self._release(link)
        on_done(outcome, None, None)


def _kinds(session: Session) -> tuple[_Kind, ...]:
    counts = session.found_rows
    return ((counts, True), (counts, False)) if session.schema is not None else ((counts, False),)


def _ignore(part: Part) -> None:
    """Of an answer that only has to be without an error."""
