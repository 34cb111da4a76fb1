"""How long a connection to a server stays unused before its next request.  No I/O.

An HTTP/1.1 response doesn't identify its request.  If a server sends a second response some milliseconds
after the first, on a connection that was reused meanwhile, it goes to the wrong client, as does each later
response on that connection.  So every connection stays unused for a short time after a response, and data
received in that time closes it.

Two responses arrive as far apart as they were sent, plus whatever the link delays the second one more than
the first.  The delay covers both parts.  For a minute after late data, it is longer.

The first late data after a longer time can't be distinguished from the next response.
"""

from __future__ import annotations

MAX_DUPLICATE_LAG_US = 10_000  # from a response to its duplicate, where the server sends them
MIN_LINK_VARIATION_US = 20_000  # of a link's delay; a proxy may hide the round trip behind it
MIN_REUSE_DELAY_US = MAX_DUPLICATE_LAG_US + MIN_LINK_VARIATION_US
MAX_REUSE_DELAY_US = 500_000
_DELAY_FACTOR = 2  # after late data
_RETENTION_US = 60_000_000


class ReuseDelay:
    """Tracks the reuse delay; times are microseconds of one clock."""

    def __init__(self) -> None:
        """Start without late data."""
        self._longest_us = 0
        self._until = 0

    def record_late_bytes(self, now: int, delay_us: int) -> None:
        """Record unexpected data, received `delay_us` after a connection became idle."""
        if now >= self._until:
            self._longest_us = 0
        self._longest_us = max(self._longest_us, delay_us)
        self._until = now + _RETENTION_US

    def delay_us_at(self, now: int, round_trip_us: int) -> int:
        """How long a connection has to stay unused, as of `now`.

        Args:
            now: The current time.
            round_trip_us: The round-trip time to the server.  One-way delays vary by less than this, unless
                the longest is over three times the shortest.
        """
        delay_us = MAX_DUPLICATE_LAG_US + max(MIN_LINK_VARIATION_US, round_trip_us)
        if now < self._until:
            delay_us = _DELAY_FACTOR * max(delay_us, self._longest_us)
        return min(delay_us, MAX_REUSE_DELAY_US)
