"""Work handed from any thread to the one that runs an event loop, in order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable
from typing import Any

_LOOK_AGAIN_S = 0.25


class LoopInbox:
    """One loop's mailbox.  However much is posted while the loop is busy, it is woken once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._items: deque[tuple[Callable[..., object], tuple[Any, ...]]] = deque()
        self._is_woken = False
        self._awaited: dict[Hashable, tuple[float, Callable[[], object]]] = {}
        self._is_looking = False

    def post(self, work: Callable[..., object], *args: Any) -> bool:
        """Have the loop's thread call this; False if the loop is closed, and nothing will be called."""
        self._items.append((work, args))
        if self._is_woken:
            return True
        self._is_woken = True
        try:
            self._loop.call_soon_threadsafe(self.empty)
        except RuntimeError:
            return False
        return True

    def empty(self) -> None:
        """Do all that has been posted so far; on the loop's thread only."""
        # First, so that whatever is posted from here on wakes the loop again.
        self._is_woken = False
        for _ in range(len(self._items)):
            work, args = self._items.popleft()
            try:
                work(*args)
            except Exception as fault:
                # Guards against a defect that leaves the rest undone, with nothing to wake the loop for it.
                context = {"message": "posted work failed", "exception": fault}
                self._loop.call_exception_handler(context)

    # On the loop's thread only

    def expect(self, name: Hashable, within_s: float, overdue: Callable[[], object]) -> None:
        """Call `overdue` once this is not `came` in time, or a little later.

        One timer looks after all: a timer for each would cost more than all else that this does.
        """
        self._awaited[name] = (self._loop.time() + within_s, overdue)
        if not self._is_looking:
            self._is_looking = True
            self._loop.call_later(_LOOK_AGAIN_S, self._look)

    def came(self, name: Hashable) -> None:
        self._awaited.pop(name, None)

    def _look(self) -> None:
        # After a stall of this loop, what was awaited may lie in the mailbox: that counts.
        self.empty()
        now = self._loop.time()
        for name in [name for name, (due, _) in self._awaited.items() if due <= now]:
            _, overdue = self._awaited.pop(name)
            overdue()
        self._is_looking = bool(self._awaited)
        if self._is_looking:
            self._loop.call_later(_LOOK_AGAIN_S, self._look)
