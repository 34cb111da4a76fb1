"""Integers and strings of the wire: writing them, and a cursor that reads them within a payload's bounds."""

from __future__ import annotations


class ProtocolError(Exception):
    """What came is not of the protocol; the text names the packet and the field."""


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
    """Reads a payload from its begin to its end; every complaint names the packet."""

    __slots__ = ("_at", "_data", "_packet")

    def __init__(self, data: bytes, packet: str, at: int = 0) -> None:
        self._data = data
        self._packet = packet
        self._at = at

    def fault(self, field: str, what: str) -> ProtocolError:
        return ProtocolError(f"{self._packet}: {field}: {what}")

    @property
    def left(self) -> int:
        return len(self._data) - self._at

    def take(self, count: int, field: str) -> bytes:
        if count > self.left:
            raise self.fault(field, f"{count} bytes are needed, {self.left} are left")
        taken = self._data[self._at : self._at + count]
        self._at += count
        return taken

    def integer(self, width: int, field: str) -> int:
        return int.from_bytes(self.take(width, field), "little")

    def lenenc_int(self, field: str) -> int:
        first = self.integer(1, field)
        if first < 0xFB:
            return first
        width = {0xFC: 2, 0xFD: 3, 0xFE: 8}.get(first)
        if width is None:
            raise self.fault(field, f"0x{first:02x} begins no length")
        return self.integer(width, field)

    def lenenc(self, field: str) -> bytes:
        return self.take(self.lenenc_int(field), field)

    def zero_ended(self, field: str) -> bytes:
        end = self._data.find(b"\0", self._at)
        if end < 0:
            raise self.fault(field, "no zero byte ends it")
        text = self._data[self._at : end]
        self._at = end + 1
        return text

    def rest(self) -> bytes:
        rest = self._data[self._at :]
        self._at = len(self._data)
        return rest
