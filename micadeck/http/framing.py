"""Limits on the parts of an HTTP/1.1 message other than its body: heads, chunk framing, trailers.  No I/O.

The parser buffers a header until its end is received, so endless ones have to be counted meanwhile; and a
stored header takes far more memory than its bytes: two objects, a pair and a list slot.
"""

from __future__ import annotations

MAX_HEAD_BYTES = 16 << 10  # consecutive bytes without a body byte or the start or end of a message
MAX_HEADERS = 100  # in one head; also the limit on the trailers of one body


class TooManyHeadersError(Exception):
    """A message has more headers or trailers than allowed."""


class FramingCount:
    """Counts consecutive bytes read without progress of a message.

    The reader sets `has_progressed` when a message starts or ends, or a part of a body is received, in
    this read.  It is an attribute as it is set several times per message.  Progress resets the count, so
    that pipelined messages are not counted together.
    """

    __slots__ = ("has_progressed", "pending")

    def __init__(self) -> None:
        self.has_progressed = False
        self.pending = 0  # consecutive bytes without progress

    def read(self, count: int) -> bool:
        """Count the bytes of a processed read; return False once they exceed the limit."""
        if self.has_progressed:
            self.has_progressed = False
            self.pending = 0
            return True
        self.pending += count
        return self.pending <= MAX_HEAD_BYTES
