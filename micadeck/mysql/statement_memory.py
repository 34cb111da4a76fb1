"""Bounds the bytes of statements that all clients together have in memory.  No I/O."""

from __future__ import annotations

from micadeck.memory.budget import MemoryBudget

_MEMORY_FRACTION = 0.2  # of the process's limit; a statement is in memory up to three times
_SMALL_BYTES = 1 << 14  # of a client, accepted whatever other clients have in memory


class StatementMemory:
    """What all clients hold: statements that are received or running, and long data.

    Attributes:
        held_bytes: The sum over all clients.
        process: The memory budget of the process; None: it has no limit.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start without clients; `max_bytes` is the configured bound."""
        self._configured_bytes = max_bytes
        self.held_bytes = 0
        self.process: MemoryBudget | None = None

    @property
    def max_bytes(self) -> int:
        """The bound on `held_bytes`."""
        if self.process is None:
            return self._configured_bytes
        return min(self._configured_bytes, int(self.process.limit_bytes * _MEMORY_FRACTION))


class ClientShare:
    """One client's part of the bytes."""

    __slots__ = ("_bytes", "_total")

    def __init__(self, total: StatementMemory) -> None:
        """Start with nothing held."""
        self._total = total
        self._bytes = 0

    def update(self, held_bytes: int) -> None:
        """Set how much this client holds; 0 as it closes."""
        self._total.held_bytes += held_bytes - self._bytes
        self._bytes = held_bytes

    def must_refuse(self, size: int) -> bool:
        """Whether the bound is exceeded, and `size`, of one statement, is more than a little."""
        return size > _SMALL_BYTES and self._total.held_bytes > self._total.max_bytes
