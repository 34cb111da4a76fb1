"""Connection pool: chooses the connection for an attempt.  No I/O.

Connections belong to a server and a kind (what was negotiated at log-in can't change later).  The most
recently used idle connection is reused first, so that the others can reach the idle timeout and close.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from typing import Generic, TypeVar

C = TypeVar("C", bound=Hashable)


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits on the number of connections and on their idle time."""

    max_connections: int
    max_connections_per_server: int
    idle_us: int


@dataclass(frozen=True, slots=True)
class Use(Generic[C]):
    """Reuse this idle connection."""

    connection: C


@dataclass(frozen=True, slots=True)
class Dial(Generic[C]):
    """Close these connections, then dial a new one."""

    close: tuple[C, ...] = ()


@unique
class Full(Enum):
    """Which connection limit is reached."""

    SERVER = "server"
    ALL = "all"


class _Server(Generic[C]):
    __slots__ = ("dialling", "idle", "in_use")

    def __init__(self) -> None:
        self.idle: list[tuple[C, Hashable, int]] = []  # connection, kind, idle since; latest last
        self.in_use: set[C] = set()
        self.dialling = 0

    @property
    def count(self) -> int:
        return len(self.idle) + len(self.in_use) + self.dialling


class Pool(Generic[C]):
    """All connections to servers; times are microseconds."""

    def __init__(self, limits: PoolLimits) -> None:
        self.limits = limits
        self._servers: dict[str, _Server[C]] = {}
        self._owners: dict[C, str] = {}
        self._dialling = 0

    @property
    def count(self) -> int:
        return len(self._owners) + self._dialling

    def idle_count(self, server: str) -> int:
        entry = self._servers.get(server)
        return len(entry.idle) if entry is not None else 0

    def in_use_count(self, server: str) -> int:
        entry = self._servers.get(server)
        return len(entry.in_use) if entry is not None else 0

    def assign(self, server: str, kinds: Sequence[Hashable], now: int) -> Use[C] | Dial[C] | Full:
        """Choose a connection for an attempt; `kinds` are in order of preference.

        After `Use` the connection is in use; after `Dial` call `opened`, or `end_dial` on failure.
        """
        entry = self._servers.setdefault(server, _Server())
        for kind in kinds:
            for index in range(len(entry.idle) - 1, -1, -1):
                connection, idle_kind, since = entry.idle[index]
                if idle_kind == kind and now - since < self.limits.idle_us:
                    del entry.idle[index]
                    entry.in_use.add(connection)
                    return Use(connection)
        close: list[C] = []
        if entry.count >= self.limits.max_connections_per_server:
            if not entry.idle:
                return Full.SERVER
            close.append(entry.idle[0][0])
        elif self.count >= self.limits.max_connections:
            oldest = self._oldest()
            if oldest is None:
                self._remove_if_empty(server)
                return Full.ALL
            close.append(oldest)
        entry.dialling += 1
        self._dialling += 1
        for each in close:
            self.closed(each)
        return Dial(tuple(close))

    def _oldest(self) -> C | None:
        idle = [each.idle[0] for each in self._servers.values() if each.idle]
        return min(idle, key=lambda each: each[2])[0] if idle else None

    def opened(self, server: str, connection: C) -> None:
        """Record a new connection as in use."""
        self.end_dial(server)
        self._servers.setdefault(server, _Server()).in_use.add(connection)
        self._owners[connection] = server

    def end_dial(self, server: str) -> None:
        """End a dial, which counted as a connection; call it if the dial failed."""
        entry = self._servers[server]
        entry.dialling -= 1
        self._dialling -= 1
        self._remove_if_empty(server)

    def release(self, connection: C, kind: Hashable, now: int) -> bool:
        """Make a clean connection idle; False if it is not in the pool and must be closed."""
        server = self._owners.get(connection)
        if server is None:
            return False
        entry = self._servers[server]
        entry.in_use.discard(connection)
        entry.idle.append((connection, kind, now))
        return True

    def closed(self, connection: C) -> None:
        """Remove a connection that is closed or about to be."""
        server = self._owners.pop(connection, None)
        if server is None:
            return
        entry = self._servers[server]
        entry.in_use.discard(connection)
        entry.idle = [each for each in entry.idle if each[0] != connection]
        self._remove_if_empty(server)

    def idle(self, server: str) -> list[C]:
        """Idle connections of a server, for the caller to close."""
        entry = self._servers.get(server)
        return [each[0] for each in entry.idle] if entry is not None else []

    def expired(self, now: int) -> list[C]:
        """Connections over the idle timeout."""
        return [
            connection
            for entry in self._servers.values()
            for connection, _, since in entry.idle
            if now - since >= self.limits.idle_us
        ]

    def _remove_if_empty(self, server: str) -> None:
        if self._servers[server].count == 0:
            del self._servers[server]
