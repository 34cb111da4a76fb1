"""Bounds on all of an HTTP/1.1 message that is no body: heads, chunk sizes and extensions, trailers.  No I/O.

A parser keeps a header until its end has come, so what has no end has to be counted while it comes; and a
header costs far more than its bytes: two objects, a pair and its place in a list.
"""

from __future__ import annotations

MOST_HEAD = 16 << 10  # bytes without a byte of a body, or a message's begin or end, between them
MOST_HEADERS = 100  # of one head, and trailers of one body


class TooManyHeaders(Exception):
    """A message has more headers, or trailers, than are kept."""


class FramingCount:
    """Counts bytes that were read in a row and brought a message no further."""

    __slots__ = ("_bytes", "_has_gone_on")

    def __init__(self) -> None:
        self._bytes = 0
        self._has_gone_on = False

    @property
    def pending(self) -> int:
        """Bytes read that brought the message no further: a header without its end, most of all."""
        return self._bytes

    def went_on(self) -> None:
        """Take note that, in the read at hand, a message began or ended, or brought a part of its body.

        Guards a peer that sends many messages ahead: those before the one at hand are no part of it.
        """
        self._has_gone_on = True

    def read(self, count: int) -> bool:
        """Take note of a read of so many bytes, once it is used up; say whether it is still bounded."""
        self._bytes = 0 if self._has_gone_on else self._bytes + count
        self._has_gone_on = False
        return self._bytes <= MOST_HEAD
