"""A body that is passed on while it is received: bounded, with backpressure from its reader to its writer.

No input or output of its own: bytes go in at `put`, and out through the calls that `open` is given.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from micadeck.memory.budget import MemoryBudget, PressureLevel

MAX_BUFFERED_BYTES = 64 << 10  # of a body that is kept; a larger one is passed on while it is received
_MAX_BUFFERED_WHEN_SHORT_BYTES = 8 << 10
_MAX_EACH_BYTES = MAX_BUFFERED_BYTES  # in one stream before its writer is paused
_MIN_EACH_BYTES = 8 << 10


class BufferBudget:
    """What all body streams together may hold, and how large a body may be to be kept instead.

    Owns the count of open streams and of the bytes in them.
    """

    def __init__(self, max_bytes: int, memory: MemoryBudget | None = None) -> None:
        self.max_bytes = max_bytes
        self.memory = memory  # counts what is kept; None: nobody does
        self.open_streams = 0
        self.held = 0  # bytes in all of them

    def max_buffered(self) -> int:
        """The largest body, in bytes, that is kept: less where memory is short.

        No more than a stream may hold, since what was kept becomes the first that its stream holds.
        """
        is_short = self.memory is not None and self.memory.level >= PressureLevel.PASS_ON
        return _MAX_BUFFERED_WHEN_SHORT_BYTES if is_short else self.share()

    def share(self) -> int:
        """How many bytes one stream may hold now: the more streams, the less each."""
        return max(min(_MAX_EACH_BYTES, self.max_bytes // max(self.open_streams, 1)), _MIN_EACH_BYTES)


class BodyStream:
    """One body, between whoever receives it and whoever takes it.

    `pause` and `resume` are called to hold back its writer.
    """

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
        budget.open_streams += 1

    # The writer's side

    def put(self, data: bytes) -> None:
        """Take a piece of the body."""
        if self.is_over:
            return
        if self._write is not None and not self._is_blocked and not self._kept:
            self._write(data)
        else:
            self._kept.append(data)
            self._hold(len(data))
        self._apply_backpressure()

    def end(self) -> None:
        """The body is complete."""
        if not self.has_ended:
            self.has_ended = True
            self._flush()

    def drop(self) -> None:
        """Drop all that is held: nobody takes the rest, or there is none."""
        self._kept.clear()
        self._hold(-self._held)
        self._finish()
        self._write = self._end = None

    # The reader's side

    def open(self, write: Callable[[bytes], object], end: Callable[[], object]) -> None:
        """Take the body from here on: `write` for each piece, `end` once behind the last."""
        self.was_opened = True
        self._write, self._end = write, end
        self._flush()

    def block(self) -> None:
        """The reader takes nothing for now."""
        self._is_blocked = True

    def unblock(self) -> None:
        """The reader takes what there is again."""
        self._is_blocked = False
        self._flush()

    @property
    def is_paused(self) -> bool:
        """Whether its writer is held up."""
        return self._is_paused

    # Both sides

    def _flush(self) -> None:
        while self._kept and self._write is not None and not self._is_blocked:
            data = self._kept.popleft()
            self._hold(-len(data))
            self._write(data)
        if self.has_ended and not self._kept and self._end is not None and not self._is_blocked:
            end, self._end = self._end, None
            self._finish()
            end()
        self._apply_backpressure()

    def _hold(self, more: int) -> None:
        self._held += more
        self._budget.held += more

    def _apply_backpressure(self) -> None:
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
            self._budget.open_streams -= 1
            if self._is_paused:
                self._is_paused = False
                self._resume()
