"""Attempts and health checks, and the pool of connections to servers that carries them."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from micadeck.engine import AttemptCallback, EndpointUpdate
from micadeck.engine.send_guard import SendDenial, send_denial
from micadeck.http.body_stream import MAX_BUFFERED_BYTES, BufferBudget
from micadeck.http.client import BEYOND_TIME_S, ClientConnection, Failure
from micadeck.http.h1 import MAX_BODY_BYTES, Request, Response
from micadeck.http.request_validation import ValidatedRequest
from micadeck.http.reuse_delay import ReuseDelay
from micadeck.network import Address, Network, Timer
from micadeck.policy.events import ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import ReportSource, Settings

_IDLE_MARGIN = 0.1  # of the idle limit: a connection this near to it may be closed at the far end by now
_MAX_REPORT_VALUE = 1e9  # of a load report; what is larger is nonsense
# What says that this machine, not the server, had no room for a connection.
_LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class Exchange:
    """One request to one server: an attempt, or a health check.

    `on_done` is called exactly once, never from within `start` or `cancel`.
    """

    __slots__ = (
        "_network",
        "begin",
        "check_client",
        "connection",
        "deadline_us",
        "ended",
        "is_probe",
        "message",
        "on_done",
        "server",
        "timer",
        "write_deadline_us",
    )

    def __init__(
        self,
        network: Network,
        server: str,
        deadline_us: int,
        message: Callable[[int], Request],
        on_done: AttemptCallback,
        *,
        is_probe: bool = False,
        begin: Callable[[Response], bool] | None = None,
        write_deadline_us: int | None = None,
        check_client: Callable[[], None] | None = None,
    ) -> None:
        self._network = network
        self.server = server
        self.deadline_us = deadline_us
        self.message = message  # given the time left, in microseconds
        self.on_done = on_done
        self.is_probe = is_probe
        self.write_deadline_us = (
            write_deadline_us  # it is written whole by then, or not at all; None: any time
        )
        self.begin = begin  # takes an answer that is too large to be kept
        self.check_client = check_client  # sees whether who waits has left
        self.ended = False
        self.connection: ClientConnection | None = None  # once it is written
        self.timer: Timer | None = None

    @property
    def is_unwritten(self) -> bool:
        """Whether a part of it has not left: then no server has begun it."""
        return self.connection is None or self.connection.is_unwritten

    def end_by(self) -> float:
        """When an answer that is passed on has to be over, on the network's clock."""
        left_us = self.deadline_us - self._network.now()
        return self._network.time() + left_us / 1e6 + BEYOND_TIME_S

    def begin_answer(self, response: Response) -> bool:
        """An answer that is too large to be kept has begun; say whether anybody takes it."""
        connection = self.connection
        if self.ended or self.begin is None or connection is None or connection.is_unwritten:
            return False  # nobody waits, or it is no answer to a request that is not there yet
        if self.timer is not None:
            self.timer.cancel()  # from here on its connection sees to its time
        connection.end_by(self.end_by())
        response.abandon = connection.abandon
        return self.begin(response)


@dataclass(slots=True, eq=False)
class _Idle:
    connection: ClientConnection
    since: int


class _Server:
    """Where a server is reached, and the connections to the process that is there now."""

    __slots__ = ("address", "identity", "idle", "is_leaving")

    def __init__(self, address: Address, identity: tuple[object, ...]) -> None:
        self.address = address
        self.identity = identity  # it is another one if any of this changes
        self.is_leaving = False
        self.idle: list[_Idle] = []  # the most recently used last


class ConnectionPool:
    """All connections to servers, never more than `most`."""

    def __init__(self, network: Network, settings: Settings, budget: BufferBudget | None = None) -> None:
        self._budget = budget  # of answers that are passed on as they come; None: they are kept
        self._network = network
        self.apply_settings(settings)
        self.most = 0  # connections; set by whoever knows how many descriptors there are
        self._servers: dict[str, _Server] = {}
        self._owners: dict[ClientConnection, _Server] = {}  # of every open connection
        self._dialling = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep: Timer | None = None
        self._reuse = ReuseDelay()
        self.denials: Counter[SendDenial] = Counter()
        self.tries = 0  # attempts written whole; probes are none

    def apply_settings(self, settings: Settings) -> None:
        """Follow these settings from now on."""
        self._dial_timeout_s = settings.limits.dial_timeout_us / 1e6
        self._idle_limit_us = int(settings.limits.idle_close_us * (1.0 - _IDLE_MARGIN))
        self._columns = settings.report_columns
        self._probes_for_load = settings.report_source is not ReportSource.SILENT

    # The list

    def update_endpoints(self, listing: EndpointUpdate) -> None:
        """Take over a list or its changes, before any action that follows from it."""
        if listing.full:
            for name in self._servers.keys() - {each.endpoint.server for each in listing.entries}:
                self._forget(name)
        for entry in listing.entries:
            name, address = entry.endpoint.server, entry.address
            if address is None:
                self._forget(name)
                continue
            server = self._servers.get(name)
            identity = (address, entry.endpoint.started_at, entry.endpoint.zone, entry.endpoint.cell)
            if server is None or server.identity != identity:
                # Guards against writing to what was there before under the same id, and rule 2: a repeat that
                # waits for its dial was decided on for the group that the server was in.
                self._forget(name)
                server = self._servers[name] = _Server(address, identity)
            server.is_leaving = entry.endpoint.state is not ServerState.READY
            if server.is_leaving:
                self._close_idle(server)

    def _forget(self, name: str) -> None:
        server = self._servers.pop(name, None)
        if server is not None:
            server.is_leaving = True  # for dials under way
            self._close_idle(server)

    # Calls

    def start(
        self,
        server: str,
        deadline_us: int,
        request: ValidatedRequest,
        on_done: AttemptCallback,
        write_deadline_us: int | None = None,
    ) -> Exchange:
        """Begin an attempt.

        Args:
            server: Its name on the endpoint list.
            deadline_us: When the attempt is given up, in microseconds of the network's clock.
            request: What to send.
            on_done: Called once, with how it ended.
            write_deadline_us: What is not written completely by then ends unsent; None: any time.
        """
        exchange = Exchange(
            self._network,
            server,
            deadline_us,
            request.message,
            on_done,
            begin=request.begin,
            write_deadline_us=write_deadline_us,
            check_client=request.check_client,
        )
        self._start(exchange)
        return exchange

    def probe(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None:
        """Send a health check."""
        target = b"/_load" if self._probes_for_load else b"/ping"
        message = Request(b"GET", target, [(b"host", server.encode())])
        self._start(
            Exchange(self._network, server, deadline_us, lambda _left_us: message, on_done, is_probe=True)
        )

    def _start(self, exchange: Exchange) -> None:
        server = self._servers.get(exchange.server)
        left_us = exchange.deadline_us - self._network.now()
        if server is None or server.is_leaving or left_us <= 0:
            self._network.call_soon(self._end, exchange, Outcome.NOT_SENT)
            return
        if exchange.write_deadline_us is not None:
            left_us = min(left_us, max(exchange.write_deadline_us - self._network.now(), 0))
        exchange.timer = self._network.call_later(left_us / 1e6, self._expire, exchange)
        connection = self._take(server)
        if connection is not None:
            self._write_if_allowed(exchange, server, connection)
        elif self._has_room():
            self._dialling += 1
            task = self._network.spawn(self._dial_or_end(exchange, server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._network.call_soon(self._end, exchange, Outcome.NOT_SENT)

    def set_deadline(self, exchange: Exchange, deadline_us: int) -> None:
        """Give it up at another time."""
        exchange.deadline_us = deadline_us
        if exchange.timer is not None and not exchange.ended:
            exchange.timer.cancel()
            left_us = max(deadline_us - self._network.now(), 0)
            exchange.timer = self._network.call_later(left_us / 1e6, self._expire, exchange)

    def cancel(self, exchange: Exchange) -> None:
        """Stop waiting; the outcome follows."""
        self._drop(exchange, Outcome.CANCELLED)

    def withdraw(self, exchange: Exchange) -> None:
        """Write nothing for it that is not written yet."""
        if exchange.is_unwritten:
            self._drop(exchange, Outcome.NOT_SENT)

    def _drop(self, exchange: Exchange, outcome: Outcome) -> None:
        if exchange.ended:
            return
        exchange.ended = True  # from here on nothing is written for it, also when a dial comes up
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.connection is not None:
            exchange.connection.close()
        self._network.call_soon(exchange.on_done, outcome, None, None)

    def close_all_idle(self) -> None:
        """Close every connection at rest."""
        for server in list(self._servers.values()):
            self._close_idle(server)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a server."""
        server = self._servers.get(name)
        if server is not None:
            self._close_idle(server)

    def close(self) -> None:
        """Close every connection; what is out ends as broken."""
        for task in self._tasks:
            task.cancel()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self._owners):
            connection.close()

    def _expire(self, exchange: Exchange) -> None:
        # What was not written completely never ran.
        outcome = Outcome.CONNECT_FAILED if exchange.is_unwritten else Outcome.TIMED_OUT
        left_us = exchange.deadline_us - self._network.now()
        if exchange.write_deadline_us is not None and left_us > 0:
            if not exchange.is_unwritten:
                exchange.timer = self._network.call_later(left_us / 1e6, self._expire, exchange)
                return
            outcome = Outcome.NOT_SENT  # its time to be written is over, which is no fault of the server
        if exchange.connection is not None:
            exchange.connection.close()
        self._end(exchange, outcome)

    def _end(self, exchange: Exchange, outcome: Outcome, response: Response | None = None) -> None:
        if exchange.ended:
            return
        exchange.ended = True
        if exchange.timer is not None:
            exchange.timer.cancel()
        if response is None:
            exchange.on_done(outcome, None, None)
        else:
            in_body = exchange.is_probe and self._probes_for_load
            exchange.on_done(outcome, response, load_report(response, self._columns, in_body=in_body))

    def _write(self, exchange: Exchange, connection: ClientConnection) -> None:
        def ended(how: Response | Failure) -> None:
            self._end(exchange, _outcome(how), how if isinstance(how, Response) else None)

        exchange.connection = connection
        message = exchange.message(max(exchange.deadline_us - self._network.now(), 1_000))
        if exchange.is_probe:
            connection.exchange(
                message, ended, max_body=MAX_BUFFERED_BYTES
            )  # kept: nobody waits for its answer
        else:
            begin = exchange.begin_answer if exchange.begin else None
            connection.exchange(message, ended, self._count_attempt, begin)

    def _count_attempt(self) -> None:
        self.tries += 1

    # Connections

    async def _dial_or_end(self, exchange: Exchange, server: _Server) -> None:
        """Guards against an attempt that never ends: a defect in its dial fails it, and is told."""
        try:
            await self._dial(exchange, server)
        except Exception:
            self._end(exchange, Outcome.CONNECT_FAILED)
            raise

    async def _dial(self, exchange: Exchange, server: _Server) -> None:
        outcome = Outcome.CONNECT_FAILED
        connection: ClientConnection | None = None
        try:
            async with self._network.timeout(self._dial_timeout_s):
                connection = await self._network.dial(
                    lambda: ClientConnection(
                        self._network, MAX_BODY_BYTES, self._release, self._closed, budget=self._budget
                    ),
                    server.address,
                )
        except (OSError, TimeoutError) as fault:
            if isinstance(fault, ConnectionRefusedError):
                outcome = Outcome.CONNECTION_REFUSED
            elif isinstance(fault, OSError) and fault.errno in _LOCAL_ERRORS:
                outcome = Outcome.NOT_SENT
        finally:
            self._dialling -= 1
        if connection is None:
            self._end(exchange, outcome)
            return
        self._owners[connection] = server
        if exchange.check_client is not None and not exchange.ended:
            exchange.check_client()
        self._write_if_allowed(exchange, server, connection)

    def _write_if_allowed(self, exchange: Exchange, server: _Server, connection: ClientConnection) -> None:
        """Ask the gate and write, in one step; what may not be written ends, its connection is kept."""
        denial = send_denial(
            self._network.now(),
            exchange,
            is_server_leaving=server.is_leaving,
            is_connection_usable=connection.is_usable(),
        )
        if denial is None:
            self._write(exchange, connection)
            return
        self.denials[denial] += 1
        if denial is SendDenial.CONNECTION_ENDED:
            connection.close()
            self._network.call_soon(self._end, exchange, Outcome.CONNECT_FAILED)
        else:
            self._release(connection)  # it is good; one to a server that leaves is closed
            self._network.call_soon(self._end, exchange, Outcome.NOT_SENT)

    def _has_room(self) -> bool:
        """Whether one more connection may be opened, at the price of the one that is idle for longest."""
        return len(self._owners) + self._dialling < self.most or self._close_oldest()

    def trim(self) -> None:
        """Close what is idle beyond `most`."""
        while len(self._owners) > self.most and self._close_oldest():
            pass

    def _close_oldest(self) -> bool:
        """Close the connection that is idle for longest; say whether there was one."""
        oldest = min(
            (server for server in self._servers.values() if server.idle),
            key=lambda server: server.idle[0].since,
            default=None,
        )
        if oldest is None:
            return False
        oldest.idle.pop(0).connection.close()
        return True

    def _take(self, server: _Server) -> ClientConnection | None:
        """The most recently used idle connection that is good and has rested, if there is one."""
        now = self._network.now()
        rested = now - self._reuse.delay_us_at(now)
        for idle in [each for each in reversed(server.idle) if each.since <= rested]:
            if now - idle.since < self._idle_limit_us and idle.connection.is_usable():  # else it is closed
                server.idle.remove(idle)
                return idle.connection
            idle.connection.close()  # and so it is idle no more
        return None

    def _release(self, connection: ClientConnection) -> None:
        server = self._owners.get(connection)
        if server is None or server.is_leaving:
            connection.close()
            return
        server.idle.append(_Idle(connection, self._network.now()))
        if self._sweep is None:
            self._sweep = self._network.call_later(self._idle_limit_us / 4e6, self._close_expired)

    def _close_expired(self) -> None:
        """Close what has been idle for nearly as long as servers allow."""
        self._sweep = None
        before = self._network.now() - self._idle_limit_us
        for server in self._servers.values():
            while server.idle and server.idle[0].since <= before:
                server.idle.pop(0).connection.close()
        if any(server.idle for server in self._servers.values()):
            self._sweep = self._network.call_later(self._idle_limit_us / 4e6, self._close_expired)

    def _closed(self, connection: ClientConnection) -> None:
        server = self._owners.pop(connection, None)
        if server is None:
            return
        if connection.brought_more:
            now = self._network.now()
            since = next((each.since for each in server.idle if each.connection is connection), now)
            self._reuse.saw_late_bytes(now, now - since)
        server.idle = [each for each in server.idle if each.connection is not connection]

    def _close_idle(self, server: _Server) -> None:
        idle, server.idle = server.idle, []
        for each in idle:
            each.connection.close()


def _outcome(how: Response | Failure) -> Outcome:
    if how is Failure.UNWRITTEN:
        return Outcome.CONNECT_FAILED
    if how is Failure.BROKEN:
        return Outcome.CONNECTION_LOST
    if how is Failure.MALFORMED:
        return Outcome.MALFORMED
    if how is Failure.ABANDONED:
        return Outcome.CANCELLED
    if isinstance(how, Response):
        if how.status == 200:
            return Outcome.DELIVERED
        if how.status in (503, 504) and how.header(b"not-started") == b"1":
            return Outcome.FULL
        if 400 <= how.status < 500:
            return Outcome.REJECTED
    return Outcome.ERROR


def load_report(
    response: Response, columns: tuple[str, ...], *, in_body: bool = False
) -> dict[str, float] | None:
    """The load report of an answer, as far as the settings name its figures; nonsense counts as none."""
    text = response.header(b"server-load") or (response.body if in_body else None)
    if not text:
        return None
    report: dict[str, float] = {}
    for pair in text.decode("latin-1").removeprefix("TEXT ").split(","):
        name, _, value_text = pair.partition("=")
        if name.strip() in columns:
            try:
                value = float(value_text)
            except ValueError:
                continue
            if 0.0 <= value <= _MAX_REPORT_VALUE:  # and a number
                report[name.strip()] = value
    return report or None
