"""Calls to servers: attempts and probes, and the pool of connections that carries them."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from micadeck.engine import AttemptCallback, EndpointUpdate
from micadeck.engine.send_guard import SendDenial, send_denial
from micadeck.http.body_stream import MOST_KEPT, BufferBudget
from micadeck.http.client import BEYOND_TIME_S, ClientConnection, Failure
from micadeck.http.h1 import MOST_BODY, Request, Response
from micadeck.http.request_validation import ValidatedRequest
from micadeck.http.reuse_delay import ReuseDelay
from micadeck.network import Address, Network, Timer
from micadeck.policy.events import ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import ReportSource, Settings

_IDLE_MARGIN = 0.1  # of the idle limit: a connection this near to it may be closed at the far end by now
_LARGEST_FIGURE = 1e9  # of a load report; what is larger is nonsense
# What says that this machine, not the server, had no room for a connection.
_OWN_FAULTS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class Exchange:
    """One request to one server.  `done` is called exactly once, never from within `start` or `cancel`."""

    __slots__ = (
        "_network",
        "begin",
        "check_client",
        "connection",
        "done",
        "ended",
        "is_probe",
        "message",
        "server",
        "timer",
        "until",
        "write_by",
    )

    def __init__(
        self,
        network: Network,
        server: str,
        until: int,
        message: Callable[[int], Request],
        done: AttemptCallback,
        *,
        is_probe: bool = False,
        begin: Callable[[Response], bool] | None = None,
        write_by: int | None = None,
        check_client: Callable[[], None] | None = None,
    ) -> None:
        self._network = network
        self.server = server
        self.until = until
        self.message = message  # given the time left, in microseconds
        self.done = done
        self.is_probe = is_probe
        self.write_by = write_by  # it is written whole by then, or not at all; None: any time
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
        left_us = self.until - self._network.now()
        return self._network.time() + left_us / 1e6 + BEYOND_TIME_S

    def begun(self, response: Response) -> bool:
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

    __slots__ = ("address", "idle", "is_leaving", "what")

    def __init__(self, address: Address, what: tuple[object, ...]) -> None:
        self.address = address
        self.what = what  # it is another one if any of this changes
        self.is_leaving = False
        self.idle: list[_Idle] = []  # the most recently used last


class ConnectionPool:
    """All connections to servers, never more than `most`."""

    def __init__(self, network: Network, settings: Settings, budget: BufferBudget | None = None) -> None:
        self._budget = budget  # of answers that are passed on as they come; None: they are kept
        self._network = network
        self.retune(settings)
        self.most = 0  # connections; set by whoever knows how many descriptors there are
        self._servers: dict[str, _Server] = {}
        self._owners: dict[ClientConnection, _Server] = {}  # of every open connection
        self._dialling = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep: Timer | None = None
        self._reuse = ReuseDelay()
        self.denials: Counter[SendDenial] = Counter()
        self.tries = 0  # attempts written whole; probes are none

    def retune(self, settings: Settings) -> None:
        """Follow these settings from now on."""
        self._dial_within_s = settings.limits.dial_timeout_us / 1e6
        self._use_within_us = int(settings.limits.idle_close_us * (1.0 - _IDLE_MARGIN))
        self._columns = settings.report_columns
        self._probes_for_load = settings.report_source is not ReportSource.SILENT

    # The list

    def listed(self, listing: EndpointUpdate) -> None:
        """Take over a list or its changes, before any action that follows from it."""
        if listing.full:
            for name in self._servers.keys() - {each.listed.server for each in listing.entries}:
                self._forget(name)
        for entry in listing.entries:
            name, address = entry.listed.server, entry.address
            if address is None:
                self._forget(name)
                continue
            server = self._servers.get(name)
            what = (address, entry.listed.started_at, entry.listed.zone, entry.listed.cell)
            if server is None or server.what != what:
                # Guards against writing to what was there before under the same id, and rule 2: a repeat that
                # waits for its dial was decided on for the group that the server was in.
                self._forget(name)
                server = self._servers[name] = _Server(address, what)
            server.is_leaving = entry.listed.state is not ServerState.READY
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
        until: int,
        request: ValidatedRequest,
        done: AttemptCallback,
        write_by: int | None = None,
    ) -> Exchange:
        call = Exchange(
            self._network,
            server,
            until,
            request.message,
            done,
            begin=request.begin,
            write_by=write_by,
            check_client=request.check_client,
        )
        self._start(call)
        return call

    def probe(self, server: str, until: int, done: AttemptCallback) -> None:
        target = b"/_load" if self._probes_for_load else b"/ping"
        message = Request(b"GET", target, [(b"host", server.encode())])
        self._start(Exchange(self._network, server, until, lambda left_us: message, done, is_probe=True))

    def _start(self, call: Exchange) -> None:
        server = self._servers.get(call.server)
        left_us = call.until - self._network.now()
        if server is None or server.is_leaving or left_us <= 0:
            self._network.call_soon(self._end, call, Outcome.NOT_SENT)
            return
        if call.write_by is not None:
            left_us = min(left_us, max(call.write_by - self._network.now(), 0))
        call.timer = self._network.call_later(left_us / 1e6, self._expire, call)
        connection = self._take(server)
        if connection is not None:
            self._write_if_allowed(call, server, connection)
        elif self._has_room():
            self._dialling += 1
            task = self._network.spawn(self._dial_or_end(call, server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._network.call_soon(self._end, call, Outcome.NOT_SENT)

    def set_deadline(self, call: Exchange, until: int) -> None:
        """Give it up at another time."""
        call.until = until
        if call.timer is not None and not call.ended:
            call.timer.cancel()
            left_us = max(until - self._network.now(), 0)
            call.timer = self._network.call_later(left_us / 1e6, self._expire, call)

    def cancel(self, call: Exchange) -> None:
        """Stop waiting; the outcome follows."""
        self._drop(call, Outcome.CANCELLED)

    def withdraw(self, call: Exchange) -> None:
        """Write nothing for it that is not written yet."""
        if call.is_unwritten:
            self._drop(call, Outcome.NOT_SENT)

    def _drop(self, call: Exchange, outcome: Outcome) -> None:
        if call.ended:
            return
        call.ended = True  # from here on nothing is written for it, also when a dial comes up
        if call.timer is not None:
            call.timer.cancel()
        if call.connection is not None:
            call.connection.close()
        self._network.call_soon(call.done, outcome, None, None)

    def close_all_idle(self) -> None:
        """Close every connection at rest."""
        for server in list(self._servers.values()):
            self._close_idle(server)

    def close_idle(self, name: str) -> None:
        server = self._servers.get(name)
        if server is not None:
            self._close_idle(server)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self._owners):
            connection.close()

    def _expire(self, call: Exchange) -> None:
        outcome = (
            Outcome.CONNECT_FAILED if call.is_unwritten else Outcome.TIMED_OUT
        )  # unwritten, it never ran
        left_us = call.until - self._network.now()
        if call.write_by is not None and left_us > 0:
            if not call.is_unwritten:
                call.timer = self._network.call_later(left_us / 1e6, self._expire, call)
                return
            outcome = Outcome.NOT_SENT  # its time to be written is over, which is no fault of the server
        if call.connection is not None:
            call.connection.close()
        self._end(call, outcome)

    def _end(self, call: Exchange, outcome: Outcome, response: Response | None = None) -> None:
        if call.ended:
            return
        call.ended = True
        if call.timer is not None:
            call.timer.cancel()
        if response is None:
            call.done(outcome, None, None)
        else:
            in_body = call.is_probe and self._probes_for_load
            call.done(outcome, response, load_report(response, self._columns, in_body=in_body))

    def _write(self, call: Exchange, connection: ClientConnection) -> None:
        def ended(how: Response | Failure) -> None:
            self._end(call, _outcome(how), how if isinstance(how, Response) else None)

        call.connection = connection
        message = call.message(max(call.until - self._network.now(), 1_000))
        if call.is_probe:
            connection.exchange(
                message, ended, most_body=MOST_KEPT
            )  # its answer is kept: nobody waits for it
        else:
            connection.exchange(message, ended, self._count_try, call.begun if call.begin else None)

    def _count_try(self) -> None:
        self.tries += 1

    # Connections

    async def _dial_or_end(self, call: Exchange, server: _Server) -> None:
        """Guards against an attempt that never ends: a defect in its dial fails it, and is told."""
        try:
            await self._dial(call, server)
        except Exception:
            self._end(call, Outcome.CONNECT_FAILED)
            raise

    async def _dial(self, call: Exchange, server: _Server) -> None:
        outcome = Outcome.CONNECT_FAILED
        connection: ClientConnection | None = None
        try:
            async with self._network.timeout(self._dial_within_s):
                connection = await self._network.dial(
                    lambda: ClientConnection(
                        self._network, MOST_BODY, self._freed, self._closed, budget=self._budget
                    ),
                    server.address,
                )
        except (OSError, TimeoutError) as fault:
            if isinstance(fault, ConnectionRefusedError):
                outcome = Outcome.CONNECTION_REFUSED
            elif isinstance(fault, OSError) and fault.errno in _OWN_FAULTS:
                outcome = Outcome.NOT_SENT
        finally:
            self._dialling -= 1
        if connection is None:
            self._end(call, outcome)
            return
        self._owners[connection] = server
        if call.check_client is not None and not call.ended:
            call.check_client()
        self._write_if_allowed(call, server, connection)

    def _write_if_allowed(self, call: Exchange, server: _Server, connection: ClientConnection) -> None:
        """Ask the gate and write, in one step; what may not be written ends, its connection is kept."""
        denial = send_denial(
            self._network.now(),
            until=call.until,
            write_by=call.write_by,
            is_called_off=call.ended,
            is_server_leaving=server.is_leaving,
            is_connection_usable=connection.is_usable(),
        )
        if denial is None:
            self._write(call, connection)
            return
        self.denials[denial] += 1
        if denial is SendDenial.CONNECTION_ENDED:
            connection.close()
            self._network.call_soon(self._end, call, Outcome.CONNECT_FAILED)
        else:
            self._freed(connection)  # it is good; one to a server that leaves is closed
            self._network.call_soon(self._end, call, Outcome.NOT_SENT)

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
        rested = now - self._reuse.rest_us(now)
        for idle in [each for each in reversed(server.idle) if each.since <= rested]:
            if now - idle.since < self._use_within_us and idle.connection.is_usable():  # else it is closed
                server.idle.remove(idle)
                return idle.connection
            idle.connection.close()  # and so it is idle no more
        return None

    def _freed(self, connection: ClientConnection) -> None:
        server = self._owners.get(connection)
        if server is None or server.is_leaving:
            connection.close()
            return
        server.idle.append(_Idle(connection, self._network.now()))
        if self._sweep is None:
            self._sweep = self._network.call_later(self._use_within_us / 4e6, self._close_old)

    def _close_old(self) -> None:
        """Close what has been idle for nearly as long as servers allow."""
        self._sweep = None
        before = self._network.now() - self._use_within_us
        for server in self._servers.values():
            while server.idle and server.idle[0].since <= before:
                server.idle.pop(0).connection.close()
        if any(server.idle for server in self._servers.values()):
            self._sweep = self._network.call_later(self._use_within_us / 4e6, self._close_old)

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
    if how is Failure.SPOILT:
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
        name, _, figure = pair.partition("=")
        if name.strip() in columns:
            try:
                value = float(figure)
            except ValueError:
                continue
            if 0.0 <= value <= _LARGEST_FIGURE:  # and a number
                report[name.strip()] = value
    return report or None
