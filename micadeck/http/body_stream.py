"""A body that is forwarded while it is received: bounded, with backpressure from reader to writer.

No I/O: bytes enter through `put` and leave through the callbacks given to `open`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from micadeck.http.buffer_budget import BufferBudget


class BodyStream:
    """One body between the side that receives it (the writer) and the side that sends it on (the reader).

    `pause` and `resume` apply backpressure to the writer.
    """

    def __init__(
        self,
        budget: BufferBudget,
        length: int | None,
        pause: Callable[[], object],
        resume: Callable[[], object],
    ) -> None:
        self.length = length  # as announced; None: unknown
        self.has_ended = False  # whether the writer has put the last byte
        self.was_opened = False  # whether some of it may have been sent
        self.is_over = False  # whether all of it was sent, or the rest was dropped
        self._budget = budget
        self._pause = pause
        self._resume = resume
        self.received = 0  # bytes that the writer has put
        self._buffered: deque[bytes] = deque()
        self._held = 0
        self._is_paused = False
        self._write: Callable[[bytes], object] | None = None
        self._end: Callable[[], object] | None = None
        self._is_blocked = False  # whether the reader accepts no data
        budget.open_streams += 1

    # The writer's side

    def put(self, data: bytes) -> None:
        """Add a piece of the body."""
        self.received += len(data)
        if self.is_over:
            return
        if self._write is not None and not self._is_blocked and not self._buffered:
            self._write(data)
        else:
            self._buffered.append(data)
            self._hold(len(data))
        self._apply_backpressure()

    def end(self) -> None:
        """Mark the body as complete."""
        if not self.has_ended:
            self.has_ended = True
            self._flush()

    def drop(self) -> None:
        """Discard the rest of the body."""
        self._buffered.clear()
        self._hold(-self._held)
        self._finish()
        self._write = self._end = None

    # The reader's side

    def open(self, write: Callable[[bytes], object], end: Callable[[], object]) -> None:
        """Start reading: `write` is called for each piece, `end` once after the last."""
        self.was_opened = True
        self._write, self._end = write, end
        self._flush()

    def block(self) -> None:
        """Stop writing to the reader."""
        self._is_blocked = True

    def unblock(self) -> None:
        """Resume writing to the reader."""
        self._is_blocked = False
        self._flush()

    @property
    def held(self) -> int:
        """Bytes that wait for the reader."""
        return self._held

    @property
    def is_paused(self) -> bool:
        """Whether the writer is paused."""
        return self._is_paused

    # Both sides

    def _flush(self) -> None:
        while self._buffered and self._write is not None and not self._is_blocked:
            data = self._buffered.popleft()
            self._hold(-len(data))
            self._write(data)
        if self.has_ended and not self._buffered and self._end is not None and not self._is_blocked:
            end, self._end = self._end, None
            self._finish()
            end()
        self._apply_backpressure()

    def _hold(self, more: int) -> None:
        self._held += more
        self._budget.held += more

    def _apply_backpressure(self) -> None:
        """Pause the writer at the limit; resume it at half of that."""
        full = not self.is_over and self._held >= self._budget.max_per_stream()
        if full and not self._is_paused:
            self._is_paused = True
            self._pause()
        elif self._is_paused and self._held <= self._budget.max_per_stream() // 2:
            self._is_paused = False
            self._resume()

    def _finish(self) -> None:
        if not self.is_over:
            self.is_over = True
            self._budget.open_streams -= 1
            if self._is_paused:
                self._is_paused = False
                self._resume()
