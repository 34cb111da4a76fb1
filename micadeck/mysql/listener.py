"""The listener for MySQL clients, with what they share: limits, log-in checks and the engine."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from micadeck.engine import Engine
from micadeck.mysql.auth import AuthStep, PasswordCheck, Users
from micadeck.mysql.client_session import ClientSession
from micadeck.mysql.routes import Routes
from micadeck.mysql.statements import StatementReader
from micadeck.mysql.transport import MysqlTransport
from micadeck.network import Address, Listener, Network

_ACCEPT_AT_ONCE = 16
_CHECKS_AT_ONCE = 2  # salted hashes: each takes a core for tens of milliseconds


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """What clients may take."""

    most_clients: int
    most_in_packet: int
    most_read: int  # bytes of unfinished packets, of all clients together
    most_handles: int
    most_long_data: int
    login_s: float
    stall_s: float  # how long a client may leave what is written to it unread
    idle_s: float  # between two commands
    idle_bound_s: float  # the same, while a server connection is held for it


class MysqlListener:
    """All clients of one listener."""

    def __init__(
        self,
        network: Network,
        engine: Engine,
        carrier: MysqlTransport,
        users: Users,
        routes: Routes,
        limits: ListenerLimits,
        log: Callable[[str], None],
    ) -> None:
        self.network = network
        self.engine = engine
        self.carrier = carrier
        self.users = users
        self.routes = routes
        self.limits = limits
        self.log = log
        self.reader = StatementReader()
        self.checks = asyncio.Semaphore(_CHECKS_AT_ONCE)
        self.clients: set[ClientSession] = set()
        self.read = 0  # bytes of unfinished packets
        self.is_draining = False
        self.tasks: set[asyncio.Task[None]] = set()
        self._next_client = 1
        self._listener: Listener | None = None

    def listen(self, address: Address) -> None:
        self._listener = self.network.listen(self._accept, address, _ACCEPT_AT_ONCE)

    @property
    def port(self) -> int:
        assert self._listener is not None
        return self._listener.port

    def _accept(self) -> ClientSession:
        number, self._next_client = self._next_client, self._next_client + 1
        return ClientSession(self, number)

    def drain(self) -> None:
        """No new clients; where no transaction is open, the next statement is refused and the last."""
        self.is_draining = True
        if self._listener is not None:
            self._listener.close()

    @property
    def busy(self) -> int:
        """Clients that wait for an answer or hold a server connection."""
        return sum(each.is_busy for each in self.clients)

    def statistics(self) -> str:
        """A line on what is open, and why sessions hold server connections."""
        reasons = Counter(
            pin.value for each in self.clients if each.session is not None for pin in each.session.pins
        )
        held = "; ".join(f"{reason}: {count}" for reason, count in reasons.most_common())
        return (
            f"Clients: {len(self.clients)}  Open: {self.engine.open_requests}"
            f"  Connections: {self.carrier.pool.count}  Held bytes: {self.carrier.held_bytes}"
            f"  Shapes read: {self.reader.cache_misses}  Held for: {held or 'nothing'}"
        )

    def close(self) -> None:
        self.drain()
        for task in self.tasks:
            task.cancel()
        for each in list(self.clients):
            each.close()

    def spawn(self, work: AuthStep, client: ClientSession) -> None:
        """Run a check off the event loop, a few at a time."""
        assert isinstance(work, PasswordCheck)

        async def check() -> None:
            async with self.checks:
                fits = await asyncio.to_thread(work.run)
            client.checked(fits)

        task = self.network.spawn(check())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
