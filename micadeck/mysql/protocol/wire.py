"""Encodes and decodes the protocol's integers and strings, within a payload's bounds."""

from __future__ import annotations


class ProtocolError(Exception):
    """Malformed input; the text names the packet and the field."""


def lenenc_int(value: int) -> bytes:
    """Protocol::LengthEncodedInteger."""
    if value < 0xFB:
        return bytes((value,))
    if value < 1 << 16:
        return b"\xfc" + value.to_bytes(2, "little")
    if value < 1 << 24:
        return b"\xfd" + value.to_bytes(3, "little")
    return b"\xfe" + value.to_bytes(8, "little")


def lenenc(text: bytes) -> bytes:
    """Protocol::LengthEncodedString."""
    return lenenc_int(len(text)) + text


class Cursor:
    """Reads a payload from start to end; its errors name the packet."""

    __slots__ = ("_data", "_offset", "_packet")

    def __init__(self, data: bytes, packet: str, offset: int = 0) -> None:
        self._data = data
        self._packet = packet
        self._offset = offset

    def error(self, field: str, reason: str) -> ProtocolError:
        return ProtocolError(f"{self._packet}: {field}: {reason}")

    @property
    def remaining(self) -> int:
        return len(self._data) - self._offset

    def take(self, count: int, field: str) -> bytes:
        if count > self.remaining:
            raise self.error(field, f"{count} bytes are needed, {self.remaining} are left")
        data = self._data[self._offset : self._offset + count]
        self._offset += count
        return data

    def integer(self, width: int, field: str) -> int:
        return int.from_bytes(self.take(width, field), "little")

    def lenenc_int(self, field: str) -> int:
        first = self.integer(1, field)
        if first < 0xFB:
            return first
        width = {0xFC: 2, 0xFD: 3, 0xFE: 8}.get(first)
        if width is None:
            raise self.error(field, f"0x{first:02x} begins no length")
        return self.integer(width, field)

    def lenenc(self, field: str) -> bytes:
        return self.take(self.lenenc_int(field), field)

    def null_terminated(self, field: str) -> bytes:
        end = self._data.find(b"\0", self._offset)
        if end < 0:
            raise self.error(field, "no zero byte ends it")
        text = self._data[self._offset : end]
        self._offset = end + 1
        return text

    def rest(self) -> bytes:
        rest = self._data[self._offset :]
        self._offset = len(self._data)
        return rest
