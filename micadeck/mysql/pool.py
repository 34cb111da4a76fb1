"""Which connection carries an attempt: one pass over the pool's state says what to do.  No I/O.

Connections are of a server and of a kind (what was agreed on at log-in can't be changed later).  Open ones
are in use or at rest; those at rest are used again the latest first, so that the oldest can close.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from typing import Generic, TypeVar

C = TypeVar("C", bound=Hashable)


@dataclass(frozen=True, slots=True)
class Limits:
    """How many connections there may be, and for how long one may rest."""

    most: int
    most_per_server: int
    idle_us: int


@dataclass(frozen=True, slots=True)
class Use(Generic[C]):
    """This one is at rest and fits."""

    connection: C


@dataclass(frozen=True, slots=True)
class Dial(Generic[C]):
    """Open one, and close these first."""

    close: tuple[C, ...] = ()


@unique
class Full(Enum):
    """There is room for none."""

    SERVER = "server"
    ALL = "all"


class _Server(Generic[C]):
    __slots__ = ("dialling", "in_use", "rest")

    def __init__(self) -> None:
        self.rest: list[tuple[C, Hashable, int]] = []  # with its kind and since when, the latest last
        self.in_use: set[C] = set()
        self.dialling = 0

    @property
    def count(self) -> int:
        return len(self.rest) + len(self.in_use) + self.dialling


class Pool(Generic[C]):
    """All connections to servers; times are microseconds."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self._servers: dict[str, _Server[C]] = {}
        self._owners: dict[C, str] = {}
        self._dialling = 0

    @property
    def count(self) -> int:
        return len(self._owners) + self._dialling

    def at_rest(self, server: str) -> int:
        held = self._servers.get(server)
        return len(held.rest) if held is not None else 0

    def in_use(self, server: str) -> int:
        held = self._servers.get(server)
        return len(held.in_use) if held is not None else 0

    def assign(self, server: str, kinds: Sequence[Hashable], now: int) -> Use[C] | Dial[C] | Full:
        """What carries an attempt now; of several kinds that will do, the first is wanted most.

        After `Use` the connection is in use; `Dial` is followed by `opened` or `failed`.
        """
        held = self._servers.setdefault(server, _Server())
        for kind in kinds:
            for at in range(len(held.rest) - 1, -1, -1):
                connection, its_kind, since = held.rest[at]
                if its_kind == kind and now - since < self.limits.idle_us:
                    del held.rest[at]
                    held.in_use.add(connection)
                    return Use(connection)
        close: list[C] = []
        if held.count >= self.limits.most_per_server:
            if not held.rest:
                return Full.SERVER
            close.append(held.rest[0][0])
        elif self.count >= self.limits.most:
            oldest = self._oldest()
            if oldest is None:
                self._forget_if_empty(server)
                return Full.ALL
            close.append(oldest)
        held.dialling += 1
        self._dialling += 1
        for each in close:
            self.closed(each)
        return Dial(tuple(close))

    def _oldest(self) -> C | None:
        resting = [each.rest[0] for each in self._servers.values() if each.rest]
        return min(resting, key=lambda each: each[2])[0] if resting else None

    def opened(self, server: str, connection: C) -> None:
        """A dial came up; the connection is in use."""
        self.failed(server)
        self._servers.setdefault(server, _Server()).in_use.add(connection)
        self._owners[connection] = server

    def failed(self, server: str) -> None:
        """A dial came to nothing."""
        held = self._servers[server]
        held.dialling -= 1
        self._dialling -= 1
        self._forget_if_empty(server)

    def freed(self, connection: C, kind: Hashable, now: int) -> bool:
        """It is clean and no longer in use; False: nothing holds it any more, and it must be closed."""
        server = self._owners.get(connection)
        if server is None:
            return False
        held = self._servers[server]
        held.in_use.discard(connection)
        held.rest.append((connection, kind, now))
        return True

    def closed(self, connection: C) -> None:
        """It is gone, or about to be."""
        server = self._owners.pop(connection, None)
        if server is None:
            return
        held = self._servers[server]
        held.in_use.discard(connection)
        held.rest = [each for each in held.rest if each[0] != connection]
        self._forget_if_empty(server)

    def resting(self, server: str) -> list[C]:
        """All that rest at a server; they are closed, or `closed` is called for each."""
        held = self._servers.get(server)
        return [each[0] for each in held.rest] if held is not None else []

    def old(self, now: int) -> list[C]:
        """Those that have rested for too long."""
        return [
            connection
            for held in self._servers.values()
            for connection, _, since in held.rest
            if now - since >= self.limits.idle_us
        ]

    def _forget_if_empty(self, server: str) -> None:
        if self._servers[server].count == 0:
            del self._servers[server]
