"""Sends attempts and health checks over a pool of connections to servers."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

from micadeck.engine import AttemptCallback, EndpointUpdate
from micadeck.engine.send_guard import SendDenial, send_denial
from micadeck.http.buffer_budget import MAX_BUFFERED_BYTES, BufferBudget
from micadeck.http.client import ClientConnection, Failure
from micadeck.http.exchange import Exchange
from micadeck.http.h1 import MAX_BODY_BYTES
from micadeck.http.messages import Request, Response
from micadeck.http.request_validation import ValidatedRequest
from micadeck.http.reuse_delay import ReuseDelay
from micadeck.network import Address, Network, Timer
from micadeck.network.dialing import dial_with_retries, is_local_error
from micadeck.policy.events import ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import ReportSource, Settings

_IDLE_MARGIN = 0.1  # share of the idle limit; this close to it, the server may have closed the connection
_MAX_REPORT_VALUE = 1e9  # larger values in a load report are ignored as implausible


@dataclass(slots=True, eq=False)
class _IdleConnection:
    connection: ClientConnection
    since: int


class _Server:
    """A server's address, and the idle connections to its current process."""

    __slots__ = ("address", "identity", "idle", "is_leaving", "round_trip_us")

    def __init__(self, address: Address, identity: tuple[object, ...]) -> None:
        self.address = address
        self.identity = identity  # a change means another process
        self.is_leaving = False
        self.idle: list[_IdleConnection] = []  # the most recently used last
        self.round_trip_us = 0  # of the last handshake, by the kernel


class ConnectionPool:
    """All connections to servers, at most `max_connections`."""

    def __init__(self, network: Network, settings: Settings, budget: BufferBudget | None = None) -> None:
        self._budget = budget  # for streamed answers; None: answers are always buffered
        self._network = network
        self.apply_settings(settings)
        self.max_connections = 0  # set by the runtime from the descriptor limit
        self._servers: dict[str, _Server] = {}
        self._owners: dict[ClientConnection, _Server] = {}  # server of every open connection
        self._dialling = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._sweep: Timer | None = None
        self._reuse_delay = ReuseDelay()
        self.denials: Counter[SendDenial] = Counter()
        self.attempts_written = 0  # attempts written completely; probes don't count

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._dial_timeout_s = settings.limits.dial_timeout_us / 1e6
        self._idle_limit_us = int(settings.limits.idle_close_us * (1.0 - _IDLE_MARGIN))
        self._columns = settings.report_columns
        self._probes_for_load = settings.report_source is not ReportSource.SILENT

    # The endpoint list

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Apply a list or its changes, before any action that follows from it."""
        if update.full:
            for name in self._servers.keys() - {entry.endpoint.server for entry in update.entries}:
                self._forget(name)
        for entry in update.entries:
            name, address = entry.endpoint.server, entry.address
            if address is None:
                self._forget(name)
                continue
            server = self._servers.get(name)
            identity = (address, entry.endpoint.started_at, entry.endpoint.zone, entry.endpoint.cell)
            if server is None or server.identity != identity:
                # Connections to the previous process under this id must not be used.  Also guards rule 2: a
                # retry waiting for its dial was decided for the group that the server was in.
                self._forget(name)
                server = self._servers[name] = _Server(address, identity)
            server.is_leaving = entry.endpoint.state is not ServerState.READY
            if server.is_leaving:
                self._close_idle(server)

    def _forget(self, name: str) -> None:
        server = self._servers.pop(name, None)
        if server is not None:
            server.is_leaving = True  # so that dials in progress close their connection
            self._close_idle(server)

    # Exchanges

    def start(
        self,
        server: str,
        deadline_us: int,
        request: ValidatedRequest,
        on_done: AttemptCallback,
        write_deadline_us: int | None = None,
    ) -> Exchange:
        """Start an attempt.

        Args:
            server: Its name on the endpoint list.
            deadline_us: When the attempt times out, in microseconds of the network's clock.
            request: What to send.
            on_done: Called once, with the outcome.
            write_deadline_us: When an unwritten request ends as not sent; None: no limit.
        """
        exchange = Exchange(
            self._network,
            server,
            deadline_us,
            request.message,
            on_done,
            request=request,
            write_deadline_us=write_deadline_us,
        )
        self._start(exchange)
        return exchange

    def probe(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None:
        """Send a health check."""
        target = b"/_load" if self._probes_for_load else b"/ping"
        message = Request(b"GET", target, [(b"host", server.encode())])
        self._start(Exchange(self._network, server, deadline_us, lambda _left_us: message, on_done))

    def _start(self, exchange: Exchange) -> None:
        server = self._servers.get(exchange.server)
        left_us = exchange.deadline_us - self._network.now()
        if server is None or server.is_leaving or left_us <= 0 or exchange.is_body_spent:
            self._network.call_soon(self._end, exchange, Outcome.NOT_SENT)
            return
        if exchange.write_deadline_us is not None:
            left_us = min(left_us, max(exchange.write_deadline_us - self._network.now(), 0))
        exchange.timer = self._network.call_later(left_us / 1e6, self._expire, exchange)
        connection = self._take_idle(server)
        if connection is not None:
            self._write_if_allowed(exchange, server, connection)
        elif self._can_open_connection():
            self._dialling += 1
            task = self._network.spawn(self._dial_or_end(exchange, server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._network.call_soon(self._end, exchange, Outcome.NOT_SENT)

    def set_deadline(self, exchange: Exchange, deadline_us: int) -> None:
        """Change the deadline."""
        exchange.deadline_us = deadline_us
        if exchange.timer is not None and not exchange.ended:
            exchange.timer.cancel()
            left_us = max(deadline_us - self._network.now(), 0)
            exchange.timer = self._network.call_later(left_us / 1e6, self._expire, exchange)

    def cancel(self, exchange: Exchange) -> None:
        """Stop waiting; the outcome follows."""
        self._drop(exchange, Outcome.CANCELLED)

    def withdraw(self, exchange: Exchange) -> None:
        """End it as not sent unless it was written completely."""
        if exchange.is_unwritten:
            self._drop(exchange, Outcome.NOT_SENT)

    def _drop(self, exchange: Exchange, outcome: Outcome) -> None:
        if exchange.ended:
            return
        exchange.ended = True  # from here on nothing is written for it, even if a dial in progress succeeds
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.connection is not None:
            exchange.connection.close()
        self._network.call_soon(exchange.on_done, outcome, None, None)

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for server in list(self._servers.values()):
            self._close_idle(server)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to a server."""
        server = self._servers.get(name)
        if server is not None:
            self._close_idle(server)

    def close(self) -> None:
        """Close all connections, which drops exchanges in progress."""
        for task in self._tasks:
            task.cancel()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self._owners):
            connection.close()

    def _expire(self, exchange: Exchange) -> None:
        # A request that was not written completely never ran.
        outcome = Outcome.CONNECT_FAILED if exchange.is_unwritten else Outcome.TIMED_OUT
        left_us = exchange.deadline_us - self._network.now()
        if exchange.write_deadline_us is not None and left_us > 0:
            if not exchange.is_unwritten:
                exchange.timer = self._network.call_later(left_us / 1e6, self._expire, exchange)
                return
            outcome = Outcome.NOT_SENT  # the write deadline passed, which says nothing about the server
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
        def on_end(result: Response | Failure) -> None:
            outcome = Outcome.CANCELLED if exchange.is_answer_unwanted else _outcome(result)
            self._end(exchange, outcome, result if isinstance(result, Response) else None)

        exchange.connection = connection
        message = exchange.message(max(exchange.deadline_us - self._network.now(), 1_000))
        if exchange.is_probe:
            # Always buffered: no client takes the answer of a probe.
            connection.exchange(message, on_end, max_body=MAX_BUFFERED_BYTES)
        else:
            start_streaming = exchange.start_streaming_answer if exchange.start_streaming else None
            connection.exchange(message, on_end, self._count_attempt, start_streaming, retry=exchange)

    def _count_attempt(self) -> None:
        self.attempts_written += 1

    # Connections

    async def _dial_or_end(self, exchange: Exchange, server: _Server) -> None:
        """Dial; an unexpected exception ends the attempt, and is raised to be reported."""
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
                connection = await dial_with_retries(
                    self._network,
                    lambda: ClientConnection(
                        self._network, MAX_BODY_BYTES, self._release, self._closed, budget=self._budget
                    ),
                    server.address,
                    lambda: not exchange.ended and not server.is_leaving,
                )
        except (OSError, TimeoutError) as error:
            if isinstance(error, ConnectionRefusedError):
                outcome = Outcome.CONNECTION_REFUSED
            elif is_local_error(error):
                outcome = Outcome.NOT_SENT
        finally:
            self._dialling -= 1
        if connection is None:
            self._end(exchange, outcome)
            return
        server.round_trip_us = connection.min_round_trip_us() or server.round_trip_us
        self._owners[connection] = server
        if not exchange.ended:
            exchange.check_client()
        self._write_if_allowed(exchange, server, connection)

    def _write_if_allowed(self, exchange: Exchange, server: _Server, connection: ClientConnection) -> None:
        """Check that sending is still allowed and write, in one step; else end the exchange as unsent."""
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
            self._release(connection)  # still usable; closed if its server is leaving
            self._network.call_soon(self._end, exchange, Outcome.NOT_SENT)

    def _can_open_connection(self) -> bool:
        """Whether another connection may be opened, closing the longest idle one if necessary."""
        return len(self._owners) + self._dialling < self.max_connections or self._close_longest_idle()

    def trim(self) -> None:
        """Close idle connections while there are more than `max_connections`."""
        while len(self._owners) > self.max_connections and self._close_longest_idle():
            pass

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        oldest = min(
            (server for server in self._servers.values() if server.idle),
            key=lambda server: server.idle[0].since,
            default=None,
        )
        if oldest is None:
            return False
        oldest.idle.pop(0).connection.close()
        return True

    def _take_idle(self, server: _Server) -> ClientConnection | None:
        """The most recently used idle connection past its reuse delay that is usable, if any."""
        now = self._network.now()
        delay_us = self._reuse_delay.delay_us_at(now, server.round_trip_us)
        candidates = [item for item in reversed(server.idle) if item.since <= now - delay_us]
        if not candidates:
            # Dials would slow down a process that is already late, so count the time in the socket as well.
            oldest = server.idle[:1]
            candidates = [item for item in oldest if item.connection.us_since_received() >= delay_us]
        for idle in candidates:
            if now - idle.since < self._idle_limit_us and idle.connection.is_usable():  # else it is closed
                server.idle.remove(idle)
                return idle.connection
            if idle.connection.has_unread_data():
                self._reuse_delay.record_late_bytes(now, now - idle.since)
            idle.connection.close()  # which removes it from the list
        return None

    def _release(self, connection: ClientConnection) -> None:
        server = self._owners.get(connection)
        if server is None or server.is_leaving:
            connection.close()
            return
        server.idle.append(_IdleConnection(connection, self._network.now()))
        if self._sweep is None:
            self._sweep = self._network.call_later(self._idle_limit_us / 4e6, self._close_expired)

    def _close_expired(self) -> None:
        """Close connections that have been idle for nearly as long as servers allow."""
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
        if connection.received_unexpected_bytes:
            now = self._network.now()
            since = next((item.since for item in server.idle if item.connection is connection), now)
            self._reuse_delay.record_late_bytes(now, now - since)
        server.idle = [item for item in server.idle if item.connection is not connection]

    def _close_idle(self, server: _Server) -> None:
        idle, server.idle = server.idle, []
        for item in idle:
            item.connection.close()


def _outcome(result: Response | Failure) -> Outcome:
    if result is Failure.UNWRITTEN:
        return Outcome.CONNECT_FAILED
    if result is Failure.BROKEN:
        return Outcome.CONNECTION_LOST
    if result is Failure.MALFORMED:
        return Outcome.MALFORMED
    if result is Failure.ABANDONED:
        return Outcome.CANCELLED
    if isinstance(result, Response):
        if result.status == 200:
            return Outcome.DELIVERED
        if result.status in (503, 504) and result.header(b"not-started") == b"1":
            return Outcome.FULL
        if 400 <= result.status < 500:
            return Outcome.REJECTED
    return Outcome.ERROR


def load_report(
    response: Response, columns: tuple[str, ...], *, in_body: bool = False
) -> dict[str, float] | None:
    """The load report of an answer, limited to known columns; invalid values are ignored."""
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
            if 0.0 <= value <= _MAX_REPORT_VALUE:  # also excludes NaN
                report[name.strip()] = value
    return report or None
