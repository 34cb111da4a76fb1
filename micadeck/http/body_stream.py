"""Streaming of a body while it is received, with a bounded buffer and backpressure.

No I/O of its own: bytes enter at `put` and leave through the functions that are given to `open`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from micadeck.memory.budget import MemoryBudget, PressureLevel

MAX_BUFFERED_BODY = 64 << 10  # bytes of a body that is buffered completely; larger ones are streamed
_MAX_BUFFERED_BODY_WHEN_SHORT = 8 << 10
_MAX_STREAM_SHARE = MAX_BUFFERED_BODY  # bytes that one stream holds before its writer is paused
_MIN_STREAM_SHARE = 8 << 10


class BufferBudget:
    """Owns the capacity that all streams share, and decides from which size on a body is streamed."""

    def __init__(self, capacity_bytes: int, memory: MemoryBudget | None = None) -> None:
        """Start without streams.

        Args:
            capacity_bytes: What all streams together may hold.
            memory: The memory budget of the process, if there is one.
        """
        self.capacity_bytes = capacity_bytes
        self.memory = memory
        self.open_streams = 0
        self.held_bytes = 0  # in all streams

    def max_buffered_body(self) -> int:
        """Return the largest body that is buffered completely, in bytes; less where memory is short.

        That is no more than a stream may hold, as its buffered part becomes the stream's first bytes.
        """
        is_short = self.memory is not None and self.memory.level >= PressureLevel.PASS_ON
        return _MAX_BUFFERED_BODY_WHEN_SHORT if is_short else self.stream_share()

    def stream_share(self) -> int:
        """Return how many bytes each stream may hold now."""
        share = self.capacity_bytes // max(self.open_streams, 1)
        return max(min(_MAX_STREAM_SHARE, share), _MIN_STREAM_SHARE)


class BodyStream:
    """Owns the buffer of one body between its writer and its reader."""

    def __init__(
        self,
        budget: BufferBudget,
        length: int | None,
        pause: Callable[[], object],
        resume: Callable[[], object],
    ) -> None:
        """Open a stream without a reader.

        Args:
            budget: What the buffered bytes count against.
            length: The announced length in bytes, or None.
            pause: Pauses the writer.
            resume: Resumes the writer.
        """
        self.length = length
        self.has_ended = False  # the last byte was put in
        self.was_opened = False  # whether any of it may have been sent
        self.is_finished = False  # all of it was sent, or the rest is discarded
        self._budget = budget
        self._pause = pause
        self._resume = resume
        self._buffer: deque[bytes] = deque()
        self._held_bytes = 0
        self._is_paused = False
        self._write: Callable[[bytes], object] | None = None
        self._end: Callable[[], object] | None = None
        self._is_blocked = False  # the reader accepts nothing for now
        budget.open_streams += 1

    # The writer's side

    def put(self, data: bytes) -> None:
        """Add received bytes."""
        if self.is_finished:
            return
        if self._write is not None and not self._is_blocked and not self._buffer:
            self._write(data)
        else:
            self._buffer.append(data)
            self._add_held(len(data))
        self._apply_backpressure()

    def end(self) -> None:
        """Record that the body is complete."""
        if not self.has_ended:
            self.has_ended = True
            self._flush()

    def drop(self) -> None:
        """Discard the rest: it is not received, or nobody reads it."""
        self._buffer.clear()
        self._add_held(-self._held_bytes)
        self._finish()
        self._write = self._end = None

    # The reader's side

    def open(self, write: Callable[[bytes], object], end: Callable[[], object]) -> None:
        """Start reading.

        Args:
            write: Called with each part of the body.
            end: Called once after the last part.
        """
        self.was_opened = True
        self._write, self._end = write, end
        self._flush()

    def block(self) -> None:
        """Write nothing to the reader until `unblock`."""
        self._is_blocked = True

    def unblock(self) -> None:
        """Continue to write to the reader."""
        self._is_blocked = False
        self._flush()

    @property
    def is_paused(self) -> bool:
        """Whether the writer is paused."""
        return self._is_paused

    # The buffer

    def _flush(self) -> None:
        while self._buffer and self._write is not None and not self._is_blocked:
            data = self._buffer.popleft()
            self._add_held(-len(data))
            self._write(data)
        if self.has_ended and not self._buffer and self._end is not None and not self._is_blocked:
            end, self._end = self._end, None
            self._finish()
            end()
        self._apply_backpressure()

    def _add_held(self, delta_bytes: int) -> None:
        self._held_bytes += delta_bytes
        self._budget.held_bytes += delta_bytes

    def _apply_backpressure(self) -> None:
        """Pause the writer at this stream's share, and resume it at the middle of that."""
        is_full = not self.is_finished and self._held_bytes >= self._budget.stream_share()
        if is_full and not self._is_paused:
            self._is_paused = True
            self._pause()
        elif self._is_paused and self._held_bytes <= self._budget.stream_share() // 2:
            self._is_paused = False
            self._resume()

    def _finish(self) -> None:
        if not self.is_finished:
            self.is_finished = True
            self._budget.open_streams -= 1
            if self._is_paused:
                self._is_paused = False
                self._resume()
