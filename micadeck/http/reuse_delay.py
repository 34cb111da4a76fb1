"""When a connection to a server may carry its next request.  No input or output.

Nothing in an HTTP/1.1 answer names its request.  A server that sends a second answer some milliseconds behind
one, on a connection that was handed on meanwhile, would have it served to the wrong client, and each further
answer on that connection with it.  So every connection rests for a while after its answer was heard: what
comes in that time closes it.  Where a second answer was seen, connections rest for longer, for a minute.

What comes later than the rest, and for the first time, can't be told from the next request's answer.
"""

from __future__ import annotations

LEAST_REST_US = 10_000  # from the first request on, at every server
SEEN_REST_US = 25_000  # at least, once a second answer was seen, however late
MOST_REST_US = 500_000
_BEYOND_SEEN = 2.0  # times the longest delay that was seen
_REMEMBERED_US = 60_000_000


class ReuseDelay:
    """How long connections rest before they are used again; times are microseconds of one clock."""

    def __init__(self) -> None:
        self._longest_us = 0
        self._until = 0

    def saw_late_bytes(self, now: int, delay_us: int) -> None:
        """Take note of bytes that nobody had asked for, so long after a connection came to rest."""
        if now >= self._until:
            self._longest_us = 0
        self._longest_us = max(self._longest_us, delay_us)
        self._until = now + _REMEMBERED_US

    def rest_us(self, now: int) -> int:
        """For how long a connection rests, by what was seen up to now."""
        if now >= self._until:
            return LEAST_REST_US
        return max(SEEN_REST_US, min(int(self._longest_us * _BEYOND_SEEN), MOST_REST_US))
