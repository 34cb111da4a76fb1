"""Packets: a length of three bytes, a sequence number, a payload; long ones in pieces of 16 MiB - 1."""

from __future__ import annotations

from collections.abc import Iterator

from micadeck.mysql.protocol.constants import MOST_IN_PACKET
from micadeck.mysql.protocol.wire import ProtocolError

_HEAD = 4


class TooLarge(ProtocolError):
    """A payload is longer than the reader was told to take."""


class PacketReader:
    """Bytes in, whole payloads out.  It never holds more than `most` bytes of a payload and one chunk.

    `sequence` is the number the next packet must bear; whoever begins an exchange sets it to 0, whoever
    answers goes on from it.  A wrong number, and a payload that is too large, raise ProtocolError: after
    that nothing more can be read.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.sequence = 0
        self._buffer = bytearray()
        self._pieces = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether nothing lies here that was not given out."""
        return not self._buffer and not self._pieces

    @property
    def held(self) -> int:
        """Bytes that lie here."""
        return len(self._buffer) + len(self._pieces)

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def next(self, *, from_zero: bool = False) -> bytes | None:
        """The next payload, if it is whole; `from_zero` if it begins an exchange."""
        while len(self._buffer) >= _HEAD:
            length = int.from_bytes(self._buffer[:3], "little")
            if from_zero and not self._pieces:
                self.sequence = 0
            if self._buffer[3] != self.sequence:
                raise ProtocolError(f"packet: sequence: {self.sequence} is needed, not {self._buffer[3]}")
            if len(self._pieces) + length > self.most:
                raise TooLarge(f"packet: length: over {self.most} bytes")
            if len(self._buffer) < _HEAD + length:
                return None
            payload = bytes(memoryview(self._buffer)[_HEAD : _HEAD + length])
            del self._buffer[: _HEAD + length]
            self.sequence = (self.sequence + 1) & 0xFF
            if length == MOST_IN_PACKET:
                self._pieces += payload
                continue
            if self._pieces:
                payload = bytes(self._pieces) + payload
                self._pieces.clear()
            return payload
        return None

    def __iter__(self) -> Iterator[bytes]:
        while (payload := self.next()) is not None:
            yield payload


def frame(payload: bytes, sequence: int) -> tuple[bytes, int]:
    """The payload as packets that begin with this number, and the number after the last."""
    if len(payload) < MOST_IN_PACKET:
        return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload, (sequence + 1) & 0xFF
    out = bytearray()
    for at in range(0, len(payload) + 1, MOST_IN_PACKET):
        piece = payload[at : at + MOST_IN_PACKET]
        out += len(piece).to_bytes(3, "little") + bytes((sequence,)) + piece
        sequence = (sequence + 1) & 0xFF
    return bytes(out), sequence
