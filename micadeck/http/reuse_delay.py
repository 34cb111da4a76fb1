"""When a connection to a server may carry its next request.  No input or output.

Nothing in an HTTP/1.1 response names its request.  A server that sends a second response some milliseconds
behind one, on a connection that was used again meanwhile, would have it served to the wrong client, and each
further response on that connection with it.  So every connection is left unused for a while after a response:
what is received in that time closes it.  Where a second response was seen, that lasts longer, for a minute.

What is received later than that, and for the first time, can't be told from the next request's response.
"""

from __future__ import annotations

MIN_REUSE_DELAY_US = 10_000  # from the first request on, at every server
MIN_DELAY_ONCE_SEEN_US = 25_000  # once a second response was seen, however late
MAX_REUSE_DELAY_US = 500_000
_DELAY_FACTOR = 2.0  # of the longest delay that was seen
_MEMORY_US = 60_000_000


class ReuseDelay:
    """How long connections are left unused; times are microseconds of one clock."""

    def __init__(self) -> None:
        self._longest_us = 0
        self._until = 0

    def saw_late_bytes(self, now: int, delay_us: int) -> None:
        """Record bytes that were received unasked, so long after a connection became idle."""
        if now >= self._until:
            self._longest_us = 0
        self._longest_us = max(self._longest_us, delay_us)
        self._until = now + _MEMORY_US

    def delay_us_at(self, now: int) -> int:
        """For how long a connection is left unused, by what was seen up to now."""
        if now >= self._until:
            return MIN_REUSE_DELAY_US
        return max(MIN_DELAY_ONCE_SEEN_US, min(int(self._longest_us * _DELAY_FACTOR), MAX_REUSE_DELAY_US))
