"""The delay before a connection to a server is reused.  No I/O.

Nothing in an HTTP/1.1 response names its request.  If a server sends a second response some milliseconds
after the first, and the connection was reused meanwhile, that response would go to the wrong client, and so
would each one after it.  So a connection is not reused for a while after its response: bytes received in that
time close it.  After such bytes, the delay is longer for a minute.

A first second response that is later than the delay can't be told from the response to the next request.
"""

from __future__ import annotations

MIN_REUSE_DELAY_US = 10_000  # for every server
MIN_DELAY_AFTER_LATE_BYTES_US = 25_000
MAX_REUSE_DELAY_US = 500_000
_LATE_BYTES_FACTOR = 2.0  # of the longest lateness seen
_MEMORY_US = 60_000_000  # how long late bytes are remembered


class ReuseDelay:
    """The reuse delay of one connection pool.  Times are microseconds of one clock."""

    def __init__(self) -> None:
        """Start without late bytes seen."""
        self._max_lateness_us = 0
        self._remembered_until = 0

    def record_late_bytes(self, now: int, lateness_us: int) -> None:
        """Record unsolicited bytes that were received so long after a connection became idle."""
        if now >= self._remembered_until:
            self._max_lateness_us = 0
        self._max_lateness_us = max(self._max_lateness_us, lateness_us)
        self._remembered_until = now + _MEMORY_US

    def delay_us(self, now: int) -> int:
        """Return how long a connection must be idle before it is reused, in microseconds."""
        if now >= self._remembered_until:
            return MIN_REUSE_DELAY_US
        delay_us = min(int(self._max_lateness_us * _LATE_BYTES_FACTOR), MAX_REUSE_DELAY_US)
        return max(MIN_DELAY_AFTER_LATE_BYTES_US, delay_us)
