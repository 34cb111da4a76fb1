"""Ids of requests that may have run and whose client got no answer, for some time after they ended.  No I/O.

Servers take a request that comes again for a new one, so it must not be sent a second time.
"""

from __future__ import annotations

from collections import deque

MAX_RECENT_IDS = 4_096
RECENT_SPAN_US = 60_000_000


class RecentIds:
    """The ids in the order in which they ended, at most `MAX_RECENT_IDS`."""

    def __init__(self) -> None:
        """Start without ids."""
        self._ids: deque[tuple[int, bytes]] = deque()  # with the time when each is forgotten

    def add(self, now_us: int, request_id: bytes) -> list[bytes]:
        """Remember an id, and return those that are forgotten instead."""
        self._ids.append((now_us + RECENT_SPAN_US, request_id))
        forgotten = []
        while self._ids[0][0] <= now_us or len(self._ids) > MAX_RECENT_IDS:
            forgotten.append(self._ids.popleft()[1])
        return forgotten
