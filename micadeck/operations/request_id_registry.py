"""Ids of open requests, held where another process of the same sidecar can look them up.

While one process takes over from another, a client may send a request again to the one that does not have
it.  Each process keeps a table of its own in the file that says that it is there, and reads the others'.  It
is the only one to write there, one slot at a time; a slot holds eight bytes, so no half of one is ever seen.

A table is buckets of a few slots, and an id's slot is any of its bucket's: a look reads one bucket.  What
can't be read (a file cut off, of another form, gone) holds nothing.  An id whose bucket is full is known
only to its own process.

Two like requests that reach both processes within the same few microseconds pass, as nothing is locked; a
client that sends again waits longer than that.
"""

from __future__ import annotations

import os
from collections.abc import Sequence
from hashlib import blake2b
from pathlib import Path

FORM = b"micadeck ids 1\n\0"  # the begin of the file; another form has another
_BUCKETS = 1024
_SLOTS = 8
_MARK = 8  # bytes that stand for an id
_BUCKET = _SLOTS * _MARK
_EMPTY = bytes(_MARK)


def _spot(ident: bytes) -> tuple[int, bytes]:
    """Where an id's bucket lies in the file, and what stands for it there."""
    digest = blake2b(ident, digest_size=_MARK + 2).digest()
    bucket = int.from_bytes(digest[_MARK:]) % _BUCKETS
    mark = digest[:_MARK]
    return len(FORM) + bucket * _BUCKET, mark if mark != _EMPTY else b"\1" + mark[1:]


class RequestIdRegistry(set[bytes]):
    """A set of ids: what is added is shown to others, and what others show counts as a member."""

    def __init__(self, own: int, others: Sequence[Path]) -> None:
        """`own` is the descriptor of this process's file; raises OSError if it can't be written."""
        super().__init__()
        self._own = own
        self._at: dict[bytes, int] = {}  # by id, where it stands in the file
        self._table = bytearray(_BUCKETS * _BUCKET)  # what the file holds behind its begin
        os.pwrite(own, FORM + self._table, 0)
        self._others: list[int] = []
        for each in others:
            try:
                self._others.append(os.open(each, os.O_RDONLY | os.O_CLOEXEC))
            except OSError:
                pass  # it ended meanwhile

    def add(self, ident: bytes) -> None:
        super().add(ident)
        if ident in self._at:
            return
        offset, mark = _spot(ident)
        for at in range(offset, offset + _BUCKET, _MARK):
            behind = at - len(FORM)
            if self._table[behind : behind + _MARK] == _EMPTY:
                self._write(at, mark)
                self._at[ident] = at
                return

    def discard(self, ident: object) -> None:
        super().discard(ident)
        at = self._at.pop(ident, None) if isinstance(ident, bytes) else None
        if at is not None:
            self._write(at, _EMPTY)

    def __contains__(self, ident: object) -> bool:
        if super().__contains__(ident):
            return True
        return isinstance(ident, bytes) and any(_holds(each, ident) for each in self._others)

    def close(self, *, keeps_file: bool) -> None:
        """Look at nobody any more; unless another table took its place in the file, show nothing."""
        while self._others:
            os.close(self._others.pop())
        if keeps_file:
            return
        try:
            os.ftruncate(self._own, 0)
        except OSError:
            pass  # nobody can read it either

    def _write(self, at: int, mark: bytes) -> None:
        behind = at - len(FORM)
        self._table[behind : behind + _MARK] = mark
        try:
            os.pwrite(self._own, mark, at)
        except OSError:
            pass  # a full disk: the others don't know of it, this process does


def _holds(fd: int, ident: bytes) -> bool:
    """Whether another process shows this id."""
    offset, mark = _spot(ident)
    try:
        if os.pread(fd, len(FORM), 0) != FORM:
            return False
        bucket = os.pread(fd, _BUCKET, offset)
    except OSError:
        return False
    return any(bucket[at : at + _MARK] == mark for at in range(0, len(bucket), _MARK))
