"""Bounds on all of an HTTP/1.1 message that is no body: heads, chunk sizes and extensions, trailers.  No I/O.

A parser keeps a header until its end is received, so what has no end has to be counted meanwhile; and a
header costs far more than its bytes: two objects, a pair and its place in a list.
"""

from __future__ import annotations

MAX_HEAD_BYTES = 16 << 10  # bytes without a byte of a body, or a message's begin or end, between them
MAX_HEADERS = 100  # of one head, and trailers of one body


class TooManyHeadersError(Exception):
    """A message has more headers, or trailers, than are kept."""


class FramingCount:
    """Counts bytes that were read in a row and brought a message no further.

    `has_progressed` is set by whoever sees a message begin or end, or a part of a body, in this read.  It is
    an attribute, since that is several times for each message.  Guards against a peer that sends many
    messages ahead: those before the current one are no part of it.
    """

    __slots__ = ("has_progressed", "pending")

    def __init__(self) -> None:
        self.has_progressed = False
        self.pending = 0  # bytes read that brought the message no further

    def read(self, count: int) -> bool:
        """Count a read of so many bytes, once it is used up; say whether the message is still bounded."""
        if self.has_progressed:
            self.has_progressed = False
            self.pending = 0
            return True
        self.pending += count
        return self.pending <= MAX_HEAD_BYTES
