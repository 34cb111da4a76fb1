"""How long a connection to a server stays unused before its next request.  No I/O.

An HTTP/1.1 response doesn't identify its request.  If a server sends a second response some milliseconds
after the first, on a connection that was reused meanwhile, it goes to the wrong client, as does each later
response on that connection.  So every connection stays unused for a short time after a response, and data
received in that time closes it.  For a minute after such late data, the delay is longer.

The first late data after a longer time can't be distinguished from the next response.
"""

from __future__ import annotations

MIN_REUSE_DELAY_US = 10_000  # always applies, for every server
MIN_DELAY_AFTER_LATE_BYTES_US = 25_000  # after late data was seen, whatever its delay
MAX_REUSE_DELAY_US = 500_000
_DELAY_FACTOR = 2.0  # times the longest delay seen
_RETENTION_US = 60_000_000


class ReuseDelay:
    """Tracks the reuse delay; times are microseconds of one clock."""

    def __init__(self) -> None:
        self._longest_us = 0
        self._until = 0

    def record_late_bytes(self, now: int, delay_us: int) -> None:
        """Record unexpected data, received `delay_us` after a connection became idle."""
        if now >= self._until:
            self._longest_us = 0
        self._longest_us = max(self._longest_us, delay_us)
        self._until = now + _RETENTION_US

    def delay_us_at(self, now: int) -> int:
        """How long a connection has to stay unused, as of `now`."""
        if now >= self._until:
            return MIN_REUSE_DELAY_US
        return max(
            MIN_DELAY_AFTER_LATE_BYTES_US, min(int(self._longest_us * _DELAY_FACTOR), MAX_REUSE_DELAY_US)
        )
