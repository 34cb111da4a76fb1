"""Limits on the framing of HTTP/1.1 messages: heads, chunk sizes and extensions, trailers.  No I/O.

A parser buffers a header until its end, so endless ones have to be counted while they are received.  A header
costs far more than its bytes: two objects, a pair and its slot in a list.
"""

from __future__ import annotations

from micadeck.errors import MicadeckError

MAX_HEAD_BYTES = 16 << 10  # in a row, without a byte of a body or the start or end of a message
MAX_HEADERS = 100  # of one head, and trailers of one body


class TooManyHeadersError(MicadeckError):
    """A message has more headers, or trailers, than are accepted."""

    advice = "Send fewer headers."

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(f"A message has more than {MAX_HEADERS} headers or trailers.")


class FramingCount:
    """Counts consecutive bytes received that did not advance the message.

    The reader sets `has_progressed` during a read when a message begins or ends or a part of a body is
    received.  It is an attribute because that happens several times per message.  Pipelined messages ahead of
    the current one don't count.
    """

    __slots__ = ("has_progressed", "pending_bytes")

    def __init__(self) -> None:
        """Start at zero."""
        self.has_progressed = False
        self.pending_bytes = 0  # read without progress, such as a header without its end

    def record_read(self, count: int) -> bool:
        """Record a read of so many bytes once it is parsed; return whether the limit holds."""
        if self.has_progressed:
            self.has_progressed = False
            self.pending_bytes = 0
            return True
        self.pending_bytes += count
        return self.pending_bytes <= MAX_HEAD_BYTES
