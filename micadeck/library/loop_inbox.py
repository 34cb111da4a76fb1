"""Passes calls from any thread to an event loop, in order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable
from typing import Any

_TIMEOUT_CHECK_INTERVAL_S = 0.25


class LoopInbox:
    """Owns the calls posted to one event loop, and the timeouts of its waits.

    The loop is woken once for all that is posted while it is busy.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Serve a loop."""
        self._loop = loop
        self._items: deque[tuple[Callable[..., object], tuple[Any, ...]]] = deque()
        self._is_wakeup_scheduled = False
        self._timeouts: dict[Hashable, tuple[float, Callable[[], object]]] = {}
        self._is_check_scheduled = False

    def post(self, work: Callable[..., object], *args: Any) -> bool:
        """Schedule a call on the loop; any thread may post.

        Returns:
            False if the loop is closed and won't call it.
        """
        self._items.append((work, args))
        if self._is_wakeup_scheduled:
            return True
        self._is_wakeup_scheduled = True
        try:
            self._loop.call_soon_threadsafe(self.run_posted)
        except RuntimeError:
            return False
        return True

    def run_posted(self) -> None:
        """Run the calls posted so far; on the loop's thread only."""
        # First, so that anything posted from now on wakes the loop again.
        self._is_wakeup_scheduled = False
        for _ in range(len(self._items)):
            work, args = self._items.popleft()
            try:
                work(*args)
            except Exception as error:
                # The remaining calls still have to run: nothing would wake the loop for them.
                context = {"message": "posted work failed", "exception": error}
                self._loop.call_exception_handler(context)

    def set_timeout(self, key: Hashable, timeout_s: float, on_timeout: Callable[[], object]) -> None:
        """Call `on_timeout` after this time, or a little later, unless the timeout is cleared.

        For the loop's thread only.  All timeouts share one timer, since a timer each would cost more than
        the rest of a request here.
        """
        self._timeouts[key] = (self._loop.time() + timeout_s, on_timeout)
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self._loop.call_later(_TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    def clear_timeout(self, key: Hashable) -> None:
        """Cancel a timeout, if it is set; on the loop's thread only."""
        self._timeouts.pop(key, None)

    def _check_timeouts(self) -> None:
        # After a stall of this loop, an awaited call may already be posted: that is in time.
        self.run_posted()
        now = self._loop.time()
        for key in [key for key, (due, _) in self._timeouts.items() if due <= now]:
            _, on_timeout = self._timeouts.pop(key)
            on_timeout()
        self._is_check_scheduled = bool(self._timeouts)
        if self._is_check_scheduled:
            self._loop.call_later(_TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
