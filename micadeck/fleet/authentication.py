"""Authentication of datagrams: only holders of a key create them, and each is accepted once.

    version (1 byte), key number (1), MAC (10), then [sender, start, sequence, Unix second, message]

The MAC is keyed BLAKE2b over all other bytes.  Datagrams are not encrypted.  Any key in force is accepted and
the first one signs, so that keys are rotated by two reloads without a gap.  Rejected datagrams are counted by
their reason; neither keys nor parts of a datagram are logged.
"""

from __future__ import annotations

import hashlib
import hmac
from collections import Counter
from enum import Enum, unique
from typing import Any

import msgspec

from micadeck.fleet.member_records import MemberName, NonNegativeInt

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 256
_MAC_BYTES = 10
_HEADER_BYTES = 2 + _MAC_BYTES
_INTEGER_GROWTH_BYTES = 8  # the sequence and the second may take this much more than zeros do
_REPLAY_WINDOW = 64  # how far behind the highest sequence number arrivals are tracked
_MAX_SENDERS = 20_000
_MAX_AGE_S = 60
_MAX_KEY_NUMBER = 255
_MIN_KEY_BYTES = 16
_MAX_KEY_BYTES = 64
_DECODER = msgspec.msgpack.Decoder(tuple[MemberName, NonNegativeInt, NonNegativeInt, NonNegativeInt, Any])


@unique
class DropReason(Enum):
    """Why a datagram was rejected."""

    MALFORMED = "malformed"  # too short, too long or undecodable
    UNKNOWN_VERSION = "unknown version"
    UNKNOWN_KEY = "unknown key"  # of another fleet, or revoked
    BAD_MAC = "bad MAC"
    REPLAYED = "replayed"
    EXPIRED = "expired"  # its time differs by more than a minute: a late replay or a wrong clock
    SUPERSEDED = "superseded"  # of a process that a later one has replaced


class DatagramTooLongError(ValueError):
    """A message does not fit a datagram."""

    def __init__(self, size: int) -> None:
        """Name the size of the datagram, in bytes."""
        super().__init__(f"a datagram of {size} bytes exceeds the maximum of {MAX_DATAGRAM_BYTES}")


class Keys(msgspec.Struct, frozen=True):
    """The keys in force by their numbers (0 to 255); the first signs, all are accepted.

    Raises:
        ValueError: If there is no key, a number repeats, or a number or key is out of bounds.
    """

    by_number: tuple[tuple[int, bytes], ...]

    def __post_init__(self) -> None:
        """Check numbers and lengths."""
        error = self._find_error()
        if error is not None:
            raise ValueError(error)

    def __repr__(self) -> str:
        """Return the numbers, never the keys."""
        return f"Keys({[number for number, _ in self.by_number]})"

    def _find_error(self) -> str | None:
        if not self.by_number:
            return "keys: at least one is needed"
        if len({number for number, _ in self.by_number}) < len(self.by_number):
            return "keys: a number occurs twice"
        for number, key in self.by_number:
            if not 0 <= number <= _MAX_KEY_NUMBER:
                return f"keys: a number from 0 to 255 is needed, not {number}"
            if not _MIN_KEY_BYTES <= len(key) <= _MAX_KEY_BYTES:
                return f"keys: key {number} has {len(key)} bytes, from 16 to 64 are needed"
        return None


class _ReplayWindow(msgspec.Struct):
    """The sequence numbers that arrived from one process."""

    start_us: int
    highest: int
    received: int = 1  # bit N: number `highest - N` arrived

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; False if it arrived before or is older than the window."""
        ahead = sequence - self.highest
        if ahead > 0:
            shifted = self.received << ahead if ahead < _REPLAY_WINDOW else 0
            self.received = (shifted | 1) & ((1 << _REPLAY_WINDOW) - 1)
            self.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= _REPLAY_WINDOW or self.received & bit:
            return False
        self.received |= bit
        return True


class DatagramAuthenticator:
    """Signs the datagrams of one process, and checks those of others; owns the replay windows."""

    def __init__(self, name: str, start_us: int, keys: Keys) -> None:
        """Create an authenticator.

        Args:
            name: The name of this member.
            start_us: Unix time at which this process started, in microseconds.
            keys: The keys in force.
        """
        self.dropped: Counter[DropReason] = Counter()
        self.start_us = start_us
        self._name = name
        self._sequence = 0
        self._windows: dict[str, _ReplayWindow] = {}  # by sender, least recently used first
        self.set_keys(keys)

    def set_keys(self, keys: Keys) -> None:
        """Sign with and accept these keys from now on."""
        self._keys = dict(keys.by_number)
        self._signing_key = keys.by_number[0][0]

    def max_message_bytes(self) -> int:
        """Return how many bytes an encoded message may have."""
        envelope_bytes = len(self._encode_body(0, 0, None))
        return MAX_DATAGRAM_BYTES - _HEADER_BYTES - envelope_bytes - _INTEGER_GROWTH_BYTES

    def encode(self, wall_us: int, message: Any) -> bytes:
        """Return the datagram with a message.

        Args:
            wall_us: Unix time in microseconds.
            message: What msgspec can encode.

        Raises:
            DatagramTooLongError: If it does not fit a datagram.
        """
        self._sequence += 1
        body = self._encode_body(self._sequence, wall_us // 1_000_000, message)
        size = _HEADER_BYTES + len(body)
        if size > MAX_DATAGRAM_BYTES:
            raise DatagramTooLongError(size)
        head = bytes((PROTOCOL_VERSION, self._signing_key))
        return head + self._mac(self._signing_key, head, body) + body

    def decode(self, wall_us: int, datagram: bytes) -> tuple[str, Any] | None:
        """Return the sender and its message; None if it is rejected, which is counted by its reason.

        Args:
            wall_us: Unix time in microseconds.
            datagram: The bytes received.
        """
        result = self._check(wall_us, datagram)
        if isinstance(result, DropReason):
            self.dropped[result] += 1
            return None
        return result

    def _encode_body(self, sequence: int, wall_s: int, message: Any) -> bytes:
        return msgspec.msgpack.encode([self._name, self.start_us, sequence, wall_s, message])

    def _mac(self, key_number: int, head: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(head + body, key=self._keys[key_number], digest_size=_MAC_BYTES).digest()

    def _check(self, wall_us: int, datagram: bytes) -> tuple[str, Any] | DropReason:
        reason = self._check_header(datagram)
        if reason is not None:
            return reason
        try:
            sender, start_us, sequence, wall_s, message = _DECODER.decode(datagram[_HEADER_BYTES:])
        except msgspec.DecodeError:
            return DropReason.MALFORMED
        if abs(wall_us // 1_000_000 - wall_s) > _MAX_AGE_S:
            return DropReason.EXPIRED
        return self._check_replay(sender, start_us, sequence) or (sender, message)

    def _check_header(self, datagram: bytes) -> DropReason | None:
        if not _HEADER_BYTES < len(datagram) <= MAX_DATAGRAM_BYTES:
            return DropReason.MALFORMED
        version, key_number = datagram[0], datagram[1]
        if version != PROTOCOL_VERSION:
            return DropReason.UNKNOWN_VERSION
        if key_number not in self._keys:
            return DropReason.UNKNOWN_KEY
        expected = self._mac(key_number, datagram[:2], datagram[_HEADER_BYTES:])
        if not hmac.compare_digest(datagram[2:_HEADER_BYTES], expected):
            return DropReason.BAD_MAC
        return None

    def _check_replay(self, sender: str, start_us: int, sequence: int) -> DropReason | None:
        reason = None
        window = self._windows.pop(sender, None)
        if window is None or start_us > window.start_us:
            window = _ReplayWindow(start_us, sequence)
        elif start_us < window.start_us:
            reason = DropReason.SUPERSEDED
        elif not window.accept(sequence):
            reason = DropReason.REPLAYED
        self._windows[sender] = window
        while len(self._windows) > _MAX_SENDERS:
            del self._windows[next(iter(self._windows))]
        return reason
