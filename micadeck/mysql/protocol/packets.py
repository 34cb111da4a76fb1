"""Packets: a 3-byte length, a sequence id and a payload, which is split at 16 MiB - 1."""

from __future__ import annotations

from collections.abc import Iterator

from micadeck.mysql.protocol.constants import MAX_PAYLOAD_BYTES
from micadeck.mysql.protocol.wire import ProtocolError

_HEADER_BYTES = 4


class PacketTooLargeError(ProtocolError):
    """A payload is over the reader's limit."""


class PacketReader:
    """Splits a byte stream into payloads; buffers at most `max_payload_bytes` and one chunk.

    `sequence` is the expected sequence id: 0 at the start of a command, else continued from the last packet.
    A wrong id and a payload over the limit raise ProtocolError; the reader is unusable afterwards.

    After `skip` the payload that is being received is not kept, and `next` returns its first byte alone, once
    it is received whole; `was_skipped` tells so of the last payload.
    """

    def __init__(self, max_payload_bytes: int) -> None:
        self.max_payload_bytes = max_payload_bytes
        self.sequence = 0
        self.was_skipped = False
        self._buffer = bytearray()
        self._pieces = bytearray()
        self._is_continued = False  # a packet of this payload was consumed, and another one follows
        self._is_skipping = False
        self._skipped_bytes = 0  # of the current packet

    @property
    def is_empty(self) -> bool:
        """Whether nothing is buffered."""
        return not self._buffer and not self._pieces

    @property
    def size(self) -> int:
        """Bytes buffered."""
        return len(self._buffer) + len(self._pieces)

    def clear(self) -> None:
        """Drop what is buffered; nothing is read afterwards."""
        self._buffer.clear()
        self._pieces.clear()

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def skip(self) -> None:
        """Do not keep the payload that is being received; to be called when `next` had none."""
        self._is_skipping = True
        del self._pieces[1:]
        if len(self._buffer) >= _HEADER_BYTES:
            self._skip_received(int.from_bytes(self._buffer[:3], "little"))

    def next(self, *, from_zero: bool = False) -> bytes | None:
        """The next payload, if complete; `from_zero` at the start of a command."""
        self.was_skipped = False
        while len(self._buffer) >= _HEADER_BYTES:
            length = int.from_bytes(self._buffer[:3], "little")
            if from_zero and not self._is_continued:
                self.sequence = 0
            if self._buffer[3] != self.sequence:
                raise ProtocolError(f"packet: sequence: {self.sequence} is needed, not {self._buffer[3]}")
            if len(self._pieces) + length > self.max_payload_bytes:
                raise PacketTooLargeError(f"packet: length: over {self.max_payload_bytes} bytes")
            if self._is_skipping:
                payload = self._skip_received(length)
                if payload is None:
                    return None
            elif len(self._buffer) < _HEADER_BYTES + length:
                return None
            else:
                payload = bytes(memoryview(self._buffer)[_HEADER_BYTES : _HEADER_BYTES + length])
                del self._buffer[: _HEADER_BYTES + length]
            self.sequence = (self.sequence + 1) & 0xFF
            self._is_continued = length == MAX_PAYLOAD_BYTES
            if self._is_continued:
                self._pieces += payload
                continue
            if self._pieces:
                payload = bytes(self._pieces) + payload
                self._pieces.clear()
            self.was_skipped, self._is_skipping = self._is_skipping, False
            return payload[:1] if self.was_skipped else payload
        return None

    def _skip_received(self, length: int) -> bytes | None:
        """Drop what was received of the current packet; its first byte once it is complete.

        The header stays in the buffer until then, and the first byte if it begins the payload.
        """
        first = 1 if length and not self._pieces else 0
        received = len(self._buffer) - _HEADER_BYTES
        dropped = min(received - first, length - first - self._skipped_bytes)
        if dropped > 0:
            start = _HEADER_BYTES + first
            del self._buffer[start : start + dropped]
            self._skipped_bytes += dropped
        if received < first or self._skipped_bytes < length - first:
            return None
        payload = bytes(self._buffer[_HEADER_BYTES : _HEADER_BYTES + first])
        del self._buffer[: _HEADER_BYTES + first]
        self._skipped_bytes = 0
        return payload

    def __iter__(self) -> Iterator[bytes]:
        while (payload := self.next()) is not None:
            yield payload


def frame(payload: bytes, sequence: int) -> tuple[bytes, int]:
    """The payload as packets from this sequence id on, and the next sequence id."""
    if len(payload) < MAX_PAYLOAD_BYTES:
        return len(payload).to_bytes(3, "little") + bytes((sequence,)) + payload, (sequence + 1) & 0xFF
    out = bytearray()
    for offset in range(0, len(payload) + 1, MAX_PAYLOAD_BYTES):
        piece = payload[offset : offset + MAX_PAYLOAD_BYTES]
        out += len(piece).to_bytes(3, "little") + bytes((sequence,)) + piece
        sequence = (sequence + 1) & 0xFF
    return bytes(out), sequence
