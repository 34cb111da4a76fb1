"""Datagrams that only members can make, and that count once.

    version (1 byte), key (1), MAC (10), then [sender, start, number, wall second, message]

The MAC is keyed BLAKE2b over all of that but itself.  Of two keys in force either is taken and the first is
used, so that keys are changed by two reloads without a gap.  Whatever is wrong is counted by its reason, and
changes nothing; no key and no part of a datagram goes to a log.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from enum import Enum, unique
from typing import Any

import msgspec

from micadeck.fleet.member_records import Name, Whole

VERSION = 1
MOST_BYTES = 256
_MAC_BYTES = 10
_HEAD = 2 + _MAC_BYTES
_WINDOW = 64  # numbers behind the highest that are told apart
_MOST_SENDERS = 20_000  # whose numbers are remembered
_DECODER = msgspec.msgpack.Decoder(tuple[Name, Whole, Whole, Whole, Any])
_AGED_S = 60  # a datagram that is older, or comes from so far ahead, is none of now


@unique
class Dropped(Enum):
    """Why a datagram changed nothing."""

    CUT = "cut"  # too short, too long, or not to be read
    VERSION = "version"  # of another version of the program
    FOREIGN = "foreign"  # of a key that is not in force: another fleet's, or one that was revoked
    FORGED = "forged"  # its MAC is wrong
    REPLAYED = "replayed"  # it was taken before
    AGED = "aged"  # it is from another time: replayed much later, or a clock is wrong
    STALE = "stale"  # of a process that another one has replaced


class Keys(msgspec.Struct, frozen=True):
    """The keys in force, by their numbers (0 to 255); the first is used, the others are taken as well."""

    by_number: tuple[tuple[int, bytes], ...]

    def __post_init__(self) -> None:
        if not self.by_number:
            raise ValueError("keys: at least one is needed")
        if len({number for number, _ in self.by_number}) < len(self.by_number):
            raise ValueError("keys: a number stands twice")
        for number, key in self.by_number:
            if not 0 <= number <= 255:
                raise ValueError(f"keys: a number from 0 to 255 is needed, not {number}")
            if not 16 <= len(key) <= 64:
                raise ValueError(f"keys: key {number} has {len(key)} bytes, from 16 to 64 are needed")

    def __repr__(self) -> str:
        return f"Keys({[number for number, _ in self.by_number]})"


class Seal:
    """Makes and reads the datagrams of one process."""

    def __init__(self, name: str, start: int, keys: Keys) -> None:
        self.dropped: Counter[Dropped] = Counter()
        self._name = name
        self.start = start
        self._number = 0
        self._seen: dict[str, tuple[int, int, int]] = {}  # start, highest number, and which below it came
        self.change(keys)

    def change(self, keys: Keys) -> None:
        """Use and take other keys from now on."""
        self._keys = dict(keys.by_number)
        self._current = keys.by_number[0][0]

    def room(self) -> int:
        """How many bytes a message may have."""
        return MOST_BYTES - _HEAD - len(self._packed(0, 0, None)) - 8  # numbers grow by as much

    def _packed(self, number: int, wall_s: int, message: Any) -> bytes:
        return msgspec.msgpack.encode([self._name, self.start, number, wall_s, message])

    def make(self, wall_us: int, message: Any) -> bytes:
        """A datagram; raises ValueError if it is too long."""
        self._number += 1
        packed = self._packed(self._number, wall_us // 1_000_000, message)
        if _HEAD + len(packed) > MOST_BYTES:
            raise ValueError(f"a datagram of {_HEAD + len(packed)} bytes: {MOST_BYTES} are the most")
        head = bytes((VERSION, self._current))
        return head + self._mac(self._current, head, packed) + packed

    def _mac(self, number: int, head: bytes, packed: bytes) -> bytes:
        return hashlib.blake2b(head + packed, key=self._keys[number], digest_size=_MAC_BYTES).digest()

    def read(self, wall_us: int, data: bytes) -> tuple[str, Any] | None:
        """The sender and what it says; None if it is dropped, and the reason is counted."""
        how = self._read(wall_us, data)
        if isinstance(how, Dropped):
            self.dropped[how] += 1
            return None
        return how

    def _read(self, wall_us: int, data: bytes) -> tuple[str, Any] | Dropped:
        if not _HEAD < len(data) <= MOST_BYTES:
            return Dropped.CUT
        if data[0] != VERSION:
            return Dropped.VERSION
        if data[1] not in self._keys:
            return Dropped.FOREIGN
        packed = data[_HEAD:]
        if not hmac.compare_digest(data[2:_HEAD], self._mac(data[1], data[:2], packed)):
            return Dropped.FORGED
        try:
            sender, start, number, wall_s, message = _DECODER.decode(packed)
        except msgspec.DecodeError:
            return Dropped.CUT
        if abs(wall_us // 1_000_000 - wall_s) > _AGED_S:
            return Dropped.AGED
        fault = self._counts(sender, start, number)
        return fault or (sender, message)

    def _counts(self, sender: str, start: int, number: int) -> Dropped | None:
        known = self._seen.pop(sender, None)
        if known is None or start > known[0]:
            known = (start, number, 1)
        elif start < known[0]:
            self._seen[sender] = known
            return Dropped.STALE
        else:
            _, highest, came = known
            if number > highest:
                came = (
                    (came << (number - highest) | 1) & ((1 << _WINDOW) - 1)
                    if number - highest < _WINDOW
                    else 1
                )
                highest = number
            else:
                bit = 1 << (highest - number)
                if highest - number >= _WINDOW or came & bit:
                    self._seen[sender] = known
                    return Dropped.REPLAYED
                came |= bit
            known = (start, highest, came)
        self._seen[sender] = known  # the last to be heard stands last
        while len(self._seen) > _MOST_SENDERS:
            del self._seen[next(iter(self._seen))]
        return None
