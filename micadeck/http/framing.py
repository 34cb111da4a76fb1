"""Bounds on all of an HTTP/1.1 message that is no body: heads, chunk sizes and extensions, trailers.  No I/O.

A parser keeps a header until its end has come, so what has no end has to be counted while it comes; and a
header costs far more than its bytes: two objects, a pair and its place in a list.
"""

from __future__ import annotations

MOST_HEAD = 16 << 10  # bytes without a byte of a body, or a message's begin or end, between them
MOST_HEADERS = 100  # of one head, and trailers of one body


class TooManyHeadersError(Exception):
    """A message has more headers, or trailers, than are kept."""


class FramingCount:
    """Counts bytes that were read in a row and brought a message no further.

    `has_gone_on` is set by whoever sees, in the read at hand, a message begin or end, or a part of a body: an
    attribute, since that is several times for each message.  Guards a peer that sends many messages ahead:
    those before the one at hand are no part of it.
    """

    __slots__ = ("has_gone_on", "pending")

    def __init__(self) -> None:
        self.has_gone_on = False
        self.pending = (
            0  # bytes read that brought the message no further: a header without its end, most of all
        )

    def read(self, count: int) -> bool:
        """Take note of a read of so many bytes, once it is used up; say whether it is still bounded."""
        if self.has_gone_on:
            self.has_gone_on = False
            self.pending = 0
            return True
        self.pending += count
        return self.pending <= MOST_HEAD
