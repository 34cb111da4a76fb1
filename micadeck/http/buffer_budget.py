"""The bound on all buffered bytes of clients and servers together; no I/O.

It holds where bytes are taken on: a minimum is reserved for each connection that may be open, and beyond it
each buffer may take a part of what is left, so that all of them together approach the bound.
"""

from __future__ import annotations

from micadeck.memory.budget import MemoryBudget, PressureLevel

MAX_BUFFERED_BYTES = 64 << 10  # a larger body is streamed instead of buffered
_MAX_BUFFERED_UNDER_PRESSURE_BYTES = 8 << 10
_MIN_BYTES = 2 << 10  # of one buffer, and of one read, however little is left
_MAX_RESERVED_FRACTION = 0.5  # of the bound, for these minimums
_FREE_FRACTION = 8  # one buffer, or one read, takes this part of what is left


class BufferBudget:
    """Memory limit of all buffers together, and from it the size that a single one may have.

    Owns the count of open streams and the bytes of streams and of unsent data.
    """

    def __init__(self, max_bytes: int, memory: MemoryBudget | None = None) -> None:
        self.max_bytes = max_bytes
        self.max_connections = 0  # of clients; set by the runtime
        self.memory = memory  # accounts for buffered messages, which count too; None: no accounting
        self.open_streams = 0
        self.held = 0  # bytes in all open streams
        self.unsent = 0  # bytes that were written and are not in the kernel

    @property
    def _share(self) -> int:
        """How many bytes one more buffer may take."""
        messages = 0 if self.memory is None else self.memory.pressure_bytes
        reserved = min(2 * _MIN_BYTES * self.max_connections, int(_MAX_RESERVED_FRACTION * self.max_bytes))
        return (self.max_bytes - reserved - self.held - self.unsent - messages) // _FREE_FRACTION

    def max_buffered(self) -> int:
        """The largest body, in bytes, that is buffered: less under memory pressure.

        At most what a stream may hold, since the buffered part is moved into the stream.
        """
        is_short = self.memory is not None and self.memory.level >= PressureLevel.PASS_ON
        limit = _MAX_BUFFERED_UNDER_PRESSURE_BYTES if is_short else MAX_BUFFERED_BYTES
        return min(limit, self.max_per_stream())

    def max_per_stream(self) -> int:
        """How many bytes one stream may hold; shrinks with the number of streams and with what is left."""
        by_count = self.max_bytes // max(self.open_streams, 1)
        return max(min(MAX_BUFFERED_BYTES, by_count, self._share), _MIN_BYTES)

    def read_size(self, max_bytes: int) -> int:
        """How many bytes to read from a socket at once, up to `max_bytes`."""
        return max(min(max_bytes, self._share), _MIN_BYTES)


class UnsentData:
    """What one transport could not send yet, charged to the budget until all of it is sent.

    The transport keeps each written message whole until its last byte is sent.
    """

    __slots__ = ("_budget", "_bytes")

    def __init__(self, budget: BufferBudget | None) -> None:
        """Start without unsent data; without a budget nothing is charged."""
        self._budget = budget
        self._bytes = 0

    def add(self, size: int) -> None:
        """Charge a message that was not sent completely."""
        if self._budget is not None:
            self._bytes += size
            self._budget.unsent += size

    def clear(self) -> None:
        """Everything was sent or discarded."""
        if self._budget is not None:
            self._budget.unsent -= self._bytes
            self._bytes = 0
