"""The format of a segment file: magic bytes, then frames.  No input or output.

A frame is three little-endian words (the record's number within its start, its length, a CRC-32 of both and
of the record) and the record in MessagePack.  A truncated file is read up to its last complete frame.  A
corrupt frame is skipped, or ends the reading if its length exceeds the limit.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from struct import Struct

import msgspec

from micadeck.incidents.kinds import VERSION, Head, Record

MAGIC = b"micadeck records\n"
MAX_RECORD_BYTES = 1 << 20  # a longer length marks a corrupt frame
_FRAME = Struct("<III")
_CRC_OF = Struct("<II")


class SegmentError(ValueError):
    """The data is not a readable segment; the text says why."""


@dataclass(frozen=True, slots=True)
class Damage:
    """An unreadable part of a segment."""

    offset: int
    reason: str


@dataclass(frozen=True, slots=True)
class Segment:
    """The readable part of a segment: records with their numbers."""

    head: Head
    records: list[tuple[int, Record]]
    damages: list[Damage]
    length: int  # bytes up to the end of the last valid frame


class Encoder:
    """Numbers records and frames them."""

    def __init__(self) -> None:
        self._pack = msgspec.msgpack.Encoder()
        self.next_number = 0

    def frame(self, record: Record) -> bytes:
        data = self._pack.encode(record)
        number, self.next_number = self.next_number & 0xFFFFFFFF, self.next_number + 1
        crc = zlib.crc32(data, zlib.crc32(_CRC_OF.pack(number, len(data))))
        return _FRAME.pack(number, len(data), crc) + data


_unpack = msgspec.msgpack.Decoder(Record)


def read(data: bytes) -> Segment:
    """Read a segment; raises SegmentError if it has no valid head."""
    if not data.startswith(MAGIC):
        raise SegmentError("offset 0: it does not begin as records do")
    damages: list[Damage] = []
    records: list[tuple[int, Record]] = []
    frames = _frames(data, damages)
    first = next(frames, None)
    if first is None:
        raise SegmentError(f"offset {len(MAGIC)}: its head is not whole")
    head = _head(first[1])
    valid_bytes = len(MAGIC)
    for number, raw, end in _chain(first, frames):
        valid_bytes = end
        try:
            records.append((number, _unpack.decode(raw)))
        except msgspec.MsgspecError as error:
            damages.append(Damage(end - len(raw), f"record {number}: {error}"))
    return Segment(head, records, damages, valid_bytes)


def _chain(
    first: tuple[int, bytes, int], rest: Iterator[tuple[int, bytes, int]]
) -> Iterator[tuple[int, bytes, int]]:
    yield first
    yield from rest


def _head(raw: bytes) -> Head:
    try:
        tag, version, *_ = msgspec.msgpack.decode(raw)
    except (msgspec.MsgspecError, TypeError, ValueError):
        raise SegmentError(f"offset {len(MAGIC)}: its head can't be read") from None
    if tag != 0:
        raise SegmentError(f"offset {len(MAGIC)}: it does not begin with a head")
    if version != VERSION:
        raise SegmentError(f"offset {len(MAGIC)}: format {version!r:.20}, where this program reads {VERSION}")
    try:
        return msgspec.msgpack.decode(raw, type=Head)
    except msgspec.MsgspecError as error:
        raise SegmentError(f"offset {len(MAGIC)}: its head: {error}") from None


def _frames(data: bytes, damages: list[Damage]) -> Iterator[tuple[int, bytes, int]]:
    """Yield the number, record and end offset of each valid frame."""
    at = len(MAGIC)
    while at < len(data):
        if len(data) - at < _FRAME.size:
            damages.append(Damage(at, "it breaks off"))
            return
        number, length, crc = _FRAME.unpack_from(data, at)
        if length > MAX_RECORD_BYTES:
            damages.append(Damage(at, f"a length of {length} can't be; nothing behind it is read"))
            return
        end = at + _FRAME.size + length
        if end > len(data):
            damages.append(Damage(at, "it breaks off"))
            return
        raw = data[at + _FRAME.size : end]
        if zlib.crc32(raw, zlib.crc32(_CRC_OF.pack(number, length))) == crc:
            yield number, raw, end
        else:
            damages.append(Damage(at, "a record is spoilt"))
        at = end
