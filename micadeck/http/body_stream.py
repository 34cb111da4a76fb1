"""A body that is passed on while it still comes: bounded, with backpressure from its reader to its writer.

No input or output of its own: bytes go in at `put`, and out through the calls that `open` is given.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from micadeck.memory.budget import MemoryBudget, PressureLevel

MOST_KEPT = 64 << 10  # of a body, that is kept whole; a larger one is passed on while it comes
_MOST_KEPT_WHEN_SHORT = 8 << 10
_MOST_EACH = MOST_KEPT  # bytes that one pipe holds before its writer is paused
_LEAST_EACH = 8 << 10


class BufferBudget:
    """What all pipes together may hold, in bytes, and how large a body may be to be kept whole instead."""

    def __init__(self, most: int, memory: MemoryBudget | None = None) -> None:
        self.most = most
        self.memory = memory  # the account of what is kept; None: nobody counts it
        self.pipes = 0  # that are open
        self.held = 0  # bytes in all of them

    def most_kept(self) -> int:
        """The largest body, in bytes, that is kept whole: less where memory is short.

        No more than a pipe may hold, since what was kept becomes the first that its pipe holds.
        """
        is_short = self.memory is not None and self.memory.level >= PressureLevel.PASS_ON
        return _MOST_KEPT_WHEN_SHORT if is_short else self.share()

    def share(self) -> int:
        """How much one pipe may hold now: less each, the more there are."""
        return max(min(_MOST_EACH, self.most // max(self.pipes, 1)), _LEAST_EACH)


class BodyStream:
    """One body on its way.  `pause` and `resume` steer whoever writes it."""

    def __init__(
        self,
        budget: BufferBudget,
        length: int | None,
        pause: Callable[[], object],
        resume: Callable[[], object],
    ) -> None:
        self.length = length  # as announced; None: that is not known ahead
        self.has_ended = False  # the last byte was put in
        self.was_opened = False  # whether any of it may have gone out
        self.is_over = False  # all of it went out, or nobody takes the rest
        self._budget = budget
        self._pause = pause
        self._resume = resume
        self._kept: deque[bytes] = deque()
        self._held = 0
        self._is_paused = False
        self._write: Callable[[bytes], object] | None = None
        self._end: Callable[[], object] | None = None
        self._is_blocked = False  # the reader's side takes nothing for now
        budget.pipes += 1

    # The writer's side

    def put(self, data: bytes) -> None:
        if self.is_over:
            return
        if self._write is not None and not self._is_blocked and not self._kept:
            self._write(data)
        else:
            self._kept.append(data)
            self._hold(len(data))
        self._steer()

    def end(self) -> None:
        """The body is whole; no more comes."""
        if not self.has_ended:
            self.has_ended = True
            self._go_on()

    def drop(self) -> None:
        """Nobody takes the rest, or no rest comes: let go of all that is held."""
        self._kept.clear()
        self._hold(-self._held)
        self._finish()
        self._write = self._end = None

    # The reader's side

    def open(self, write: Callable[[bytes], object], end: Callable[[], object]) -> None:
        """Take the body from here on: `write` for each piece, `end` once behind the last."""
        self.was_opened = True
        self._write, self._end = write, end
        self._go_on()

    def block(self) -> None:
        """The reader takes nothing for now."""
        self._is_blocked = True

    def unblock(self) -> None:
        self._is_blocked = False
        self._go_on()

    @property
    def is_paused(self) -> bool:
        """Whether its writer is held up."""
        return self._is_paused

    # The rest

    def _go_on(self) -> None:
        while self._kept and self._write is not None and not self._is_blocked:
            data = self._kept.popleft()
            self._hold(-len(data))
            self._write(data)
        if self.has_ended and not self._kept and self._end is not None and not self._is_blocked:
            end, self._end = self._end, None
            self._finish()
            end()
        self._steer()

    def _hold(self, more: int) -> None:
        self._held += more
        self._budget.held += more

    def _steer(self) -> None:
        """Pause the writer while as much is held as may be, or while the reader is blocked."""
        full = not self.is_over and self._held >= self._budget.share()
        if full and not self._is_paused:
            self._is_paused = True
            self._pause()
        elif self._is_paused and self._held <= self._budget.share() // 2:
            self._is_paused = False
            self._resume()

    def _finish(self) -> None:
        if not self.is_over:
            self.is_over = True
            self._budget.pipes -= 1
            if self._is_paused:
                self._is_paused = False
                self._resume()
