"""Ids in use, shared with sibling processes through files.

During a hot restart, a client may resend a request to the process that does not have it.  Each process keeps
a hash table in the file that it holds a lock on (`hot_restart`) and reads its siblings'.  Only the owner
writes to a table, one slot at a time; a slot is eight bytes, so no reader sees an incomplete one.

The table is made of buckets of a few slots, and an id may be in any slot of its bucket: a lookup reads one
bucket.  A file that can't be read (truncated, of another format, removed) counts as empty.  An id whose
bucket is full is known to its own process only.

There are no locks on the tables: a request that reaches two processes within the same few microseconds
passes both.  Clients wait longer than that before they resend.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable, Iterable, Sequence
from hashlib import blake2b
from pathlib import Path

_FILE_HEADER = b"micadeck ids 1\n\0"  # another format has another header
_BUCKETS = 1024
_SLOTS_PER_BUCKET = 8
_SLOT_BYTES = 8
_BUCKET_BYTES = _SLOTS_PER_BUCKET * _SLOT_BYTES
_EMPTY_SLOT = bytes(_SLOT_BYTES)
_BUCKET_DIGEST_BYTES = 2


class RequestIdRegistry(set[bytes]):
    """A set of request ids: additions are visible to siblings, and siblings' ids count as members.

    Iteration and length cover this process's ids only.  It owns the content of this process's file.
    """

    def __init__(self, own_fd: int, sibling_paths: Sequence[Path]) -> None:
        """Write an empty table and open the siblings' files.

        Args:
            own_fd: A descriptor of this process's file; its owner closes it.
            sibling_paths: The files of the siblings.

        Raises:
            OSError: This process's file can't be written.
        """
        super().__init__()
        self._own_fd = own_fd
        self._offsets: dict[bytes, int] = {}  # by id, the file offset of its slot
        self._table = bytearray(_BUCKETS * _BUCKET_BYTES)  # the file's content after the header
        os.pwrite(own_fd, _FILE_HEADER + self._table, 0)
        self._sibling_fds: dict[Path, int] = {}
        for path in sibling_paths:
            with contextlib.suppress(OSError):  # the sibling has exited in the meantime
                self._sibling_fds[path] = os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    def add(self, request_id: bytes) -> None:
        """Add an id, visible to siblings if its bucket has a free slot."""
        super().add(request_id)
        if request_id in self._offsets:
            return
        bucket_offset, fingerprint = _locate(request_id)
        for offset in range(bucket_offset, bucket_offset + _BUCKET_BYTES, _SLOT_BYTES):
            if self._read_slot(offset) == _EMPTY_SLOT:
                self._write_slot(offset, fingerprint)
                self._offsets[request_id] = offset
                return

    def discard(self, request_id: object) -> None:
        """Remove an id of this process; siblings' ids are not affected."""
        super().discard(request_id)
        offset = self._offsets.pop(request_id, None) if isinstance(request_id, bytes) else None
        if offset is not None:
            self._write_slot(offset, _EMPTY_SLOT)

    def __contains__(self, request_id: object) -> bool:
        """Return whether this process or a sibling has this request open."""
        if super().__contains__(request_id):
            return True
        fds = self._sibling_fds.values()
        return isinstance(request_id, bytes) and any(_contains(fd, request_id) for fd in fds)

    def tables_of_departed(self, running: Sequence[Path]) -> list[bytes]:
        """Return the last tables of the siblings that are not among the running ones."""
        tables = []
        for path, fd in self._sibling_fds.items():
            if path not in running:
                with contextlib.suppress(OSError):
                    tables.append(os.pread(fd, len(_FILE_HEADER) + _BUCKETS * _BUCKET_BYTES, 0))
        return tables

    def close(self, *, keep_file: bool) -> None:
        """Close the siblings' files.

        Args:
            keep_file: Whether to leave this process's file as it is, because another registry has replaced
                the content; else it is truncated.
        """
        while self._sibling_fds:
            os.close(self._sibling_fds.popitem()[1])
        if keep_file:
            return
        with contextlib.suppress(OSError):  # siblings can't read it either
            os.ftruncate(self._own_fd, 0)

    def _read_slot(self, offset: int) -> bytearray:
        start = offset - len(_FILE_HEADER)
        return self._table[start : start + _SLOT_BYTES]

    def _write_slot(self, offset: int, fingerprint: bytes) -> None:
        start = offset - len(_FILE_HEADER)
        self._table[start : start + _SLOT_BYTES] = fingerprint
        with contextlib.suppress(OSError):  # a full disk: siblings don't see the id, this process does
            os.pwrite(self._own_fd, fingerprint, offset)


def _locate(request_id: bytes) -> tuple[int, bytes]:
    """Return the file offset of an id's bucket, and the fingerprint that a slot holds for the id."""
    digest = blake2b(request_id, digest_size=_SLOT_BYTES + _BUCKET_DIGEST_BYTES).digest()
    bucket = int.from_bytes(digest[_SLOT_BYTES:]) % _BUCKETS
    fingerprint = digest[:_SLOT_BYTES]
    if fingerprint == _EMPTY_SLOT:
        fingerprint = b"\1" + fingerprint[1:]
    return len(_FILE_HEADER) + bucket * _BUCKET_BYTES, fingerprint


class DepartedIds:
    """The ids that were in use in siblings which have exited, for some time after that.

    A client that left without an answer may send its request again to the process that took over.
    """

    def __init__(self, clock: Callable[[], float], span_s: float) -> None:
        """Start without ids; those of a sibling are kept for `span_s` by this clock."""
        self._clock = clock
        self._span_s = span_s
        self._tables: list[tuple[float, bytes]] = []  # with the time when each is forgotten

    def add(self, tables: Iterable[bytes]) -> None:
        """Keep the last tables of siblings that have exited."""
        forget_at = self._clock() + self._span_s
        self._tables += [(forget_at, table) for table in tables if table.startswith(_FILE_HEADER)]

    def __contains__(self, request_id: object) -> bool:
        """Return whether a sibling that has exited had this request open, or knew that it may have run."""
        if not self._tables or not isinstance(request_id, bytes):
            return False
        now = self._clock()
        self._tables = [each for each in self._tables if each[0] > now]
        offset, fingerprint = _locate(request_id)
        buckets = (table[offset : offset + _BUCKET_BYTES] for _, table in self._tables)
        return any(_has_slot(bucket, fingerprint) for bucket in buckets)


def _contains(fd: int, request_id: bytes) -> bool:
    """Return whether a sibling's file contains this id."""
    offset, fingerprint = _locate(request_id)
    try:
        if os.pread(fd, len(_FILE_HEADER), 0) != _FILE_HEADER:
            return False
        return _has_slot(os.pread(fd, _BUCKET_BYTES, offset), fingerprint)
    except OSError:
        return False


def _has_slot(bucket: bytes, fingerprint: bytes) -> bool:
    return any(bucket[at : at + _SLOT_BYTES] == fingerprint for at in range(0, len(bucket), _SLOT_BYTES))
