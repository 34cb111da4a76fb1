"""The listener for MySQL clients, with their shared limits, password checks and engine."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from micadeck.engine import Engine
from micadeck.mysql.auth import AuthStep, PasswordCheck, Users
from micadeck.mysql.client_session import ClientSession
from micadeck.mysql.routes import Routes
from micadeck.mysql.statement_memory import StatementMemory
from micadeck.mysql.statements import StatementReader
from micadeck.mysql.transport import MysqlTransport
from micadeck.network import Address, Listener, Network

_MAX_ACCEPTS = 16
_MAX_PASSWORD_CHECKS = 2  # concurrent: each hash takes a core for tens of milliseconds


@dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits on clients."""

    max_clients: int
    max_packet_bytes: int
    max_unfinished_bytes: int  # of statements in memory, of all clients together
    max_handles: int
    max_long_data: int  # bytes, per session
    login_s: float
    stall_s: float  # how long a client may leave an answer unread
    idle_s: float  # between two commands
    idle_bound_s: float  # the same, while a server connection is bound to it


class MysqlListener:
    """All clients of a service."""

    def __init__(
        self,
        network: Network,
        engine: Engine,
        transport: MysqlTransport,
        users: Users,
        routes: Routes,
        limits: ListenerLimits,
        log: Callable[[str], None],
    ) -> None:
        self.network = network
        self.engine = engine
        self.transport = transport
        self.users = users
        self.routes = routes
        self.limits = limits
        self.log = log
        self.statement_reader = StatementReader()
        self._password_checks = asyncio.Semaphore(_MAX_PASSWORD_CHECKS)
        self.clients: set[ClientSession] = set()
        self.statement_memory = StatementMemory(limits.max_unfinished_bytes)
        self.is_draining = False
        self.tasks: set[asyncio.Task[None]] = set()
        self._next_client = 1
        self._listener: Listener | None = None

    def listen(self, address: Address) -> None:
        """Accept clients at this address.

        Raises:
            OSError: The address can't be bound.
        """
        # Shared with the other process during a hot restart.
        self._listener = self.network.listen(self._accept, address, _MAX_ACCEPTS, shared=True)

    @property
    def port(self) -> int:
        assert self._listener is not None
        return self._listener.port

    def _accept(self) -> ClientSession:
        number, self._next_client = self._next_client, self._next_client + 1
        return ClientSession(self, number)

    def drain(self) -> None:
        """Accept no clients; those without a bound connection are closed at their next command."""
        self.is_draining = True
        if self._listener is not None:
            self._listener.close()

    @property
    def busy_count(self) -> int:
        """The number of clients with a running statement, commands to be handled or a bound connection."""
        return sum(client.is_busy for client in self.clients)

    def statistics(self) -> str:
        """Open clients and connections, and why sessions hold connections."""
        reasons = Counter(
            pin.value for client in self.clients if client.session is not None for pin in client.session.pins
        )
        held = "; ".join(f"{reason}: {count}" for reason, count in reasons.most_common())
        return (
            f"Clients: {len(self.clients)}  Open: {self.engine.open_requests}"
            f"  Connections: {self.transport.pool.count}  Held bytes: {self.transport.held_bytes}"
            f"  Shapes read: {self.statement_reader.cache_misses}  Held for: {held or 'nothing'}"
        )

    def close(self) -> None:
        self.drain()
        for task in self.tasks:
            task.cancel()
        for client in list(self.clients):
            client.close()

    def check_password(self, work: AuthStep, client: ClientSession) -> None:
        """Run a check in a thread, a few at a time."""
        assert isinstance(work, PasswordCheck)

        async def check() -> None:
            async with self._password_checks:
                matches = await asyncio.to_thread(work.run)
            client.password_checked(matches)

        task = self.network.spawn(check())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
