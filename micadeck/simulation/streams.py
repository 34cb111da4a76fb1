"""One stream: two ends, and between them two pipes with a window, as TCP and asyncio show them.

A pipe's life: what the transport holds back (`queued`), what is on its way (`flying`), what lies in the other
end's socket (`unread`).  An end that closes with something unread, or that hears more after it closed,
resets the stream; a reset takes with it what lies unread.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

from micadeck.network import Address

if TYPE_CHECKING:
    from micadeck.simulation.wire import Machine, Wire

_HIGH = 64 << 10
_END = b""  # in `flying`: nothing follows


class Pipe:
    """One direction of a stream."""

    __slots__ = (
        "arrived", "breaks_at", "flying", "has_end", "is_dropped", "is_held", "queued", "source",
        "target", "unread", "wire", "written",
    )  # fmt: skip

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.source: VirtualTransport
        self.target: VirtualTransport
        self.queued = bytearray()
        self.flying: deque[bytes] = deque()
        self.unread = bytearray()
        self.has_end = False  # whether the end lies in the socket
        self.is_held = False  # what is first on its way was cut off
        self.is_dropped = False  # and is not sent again
        self.written = 0  # bytes that left the transport
        self.arrived = 0  # and that came to the other end's socket
        self.breaks_at: int | None = None  # the stream is reset once so many bytes were written

    def room(self) -> int:
        return self.wire.ways.window - sum(map(len, self.flying)) - len(self.unread)

    def push(self, data: bytes | bytearray) -> int:
        """Send off as much as there is room for; say how much."""
        most = min(len(data), max(self.room(), 0))
        breaks_at = self.breaks_at
        if breaks_at is not None and self.written + most >= breaks_at:
            most = max(breaks_at - self.written, 0)
            self._fly(bytes(data[:most]))
            self.breaks_at = None
            self.wire.loop.after_us(0, self.source.broken)
            return most
        self._fly(bytes(data[:most]))
        return most

    def _fly(self, data: bytes) -> None:
        wire = self.wire
        self.written += len(data)
        if data:
            wire.tap(self, data, False)
        while data:
            cut = len(data)
            if cut > 1 and wire.ways.in_pieces and wire.drawn.random() < wire.ways.in_pieces:
                cut = wire.drawn.randint(1, cut - 1)
            self._send(data[:cut])
            data = data[cut:]

    def end(self) -> None:
        self._send(_END)

    def _send(self, piece: bytes) -> None:
        self.flying.append(piece)
        self.wire.loop.after_us(self.wire.delay(), self._land)

    def _land(self) -> None:
        """The piece that left first arrives."""
        if not self.flying:
            return  # the stream was reset
        source, target = self.source.machine.host, self.target.machine.host
        is_cut = self.wire.is_cut(source, target)
        if self.is_dropped and (is_cut or self.is_held):
            self.flying.clear()
            return
        self.is_held = is_cut
        if is_cut:
            self.wire.hold(source, target, self._land)
            return
        piece = self.flying.popleft()
        if self.target.is_shut:
            self.wire.loop.after_us(self.wire.delay(), self.source.was_reset)
            self.flying.clear()
        elif piece is _END or not piece:
            self.has_end = True
            self.target.look()
        else:
            self.arrived += len(piece)
            self.unread += piece
            self.wire.tap(self, piece, True)
            self.target.look()

    def read(self, most: int) -> bytes:
        data = bytes(self.unread[:most])
        del self.unread[:most]
        self.wire.loop.after_us(0, self.source.pump)
        return data


class VirtualTransport(asyncio.Transport):
    """One end of a stream; what asyncio's transports do, and what `Stream` asks of their sockets."""

    def __init__(
        self, wire: Wire, machine: Machine, out: Pipe, into: Pipe, here: Address, there: Address
    ) -> None:
        super().__init__()
        self.wire = wire
        self.machine = machine
        self.out = out
        self.into = into
        self.here = here
        self.there = there
        self.number = 0
        self.begun_at = float("inf")  # when its owner took it up
        self.is_shut = False  # the socket is closed
        self._protocol: Any = None
        self._is_closing = False
        self._is_lost = False  # connection_lost was called, or is about to be
        self._is_reading = True
        self._reads_end = False  # the end was read: nothing more comes
        self._has_eof = False  # write_eof was called
        self._is_looking = False
        self._is_paused = False  # the protocol was told to pause
        self._high, self._low = _HIGH, _HIGH // 4

    # Its beginning and what comes in

    def begin(self, protocol: Any) -> None:
        self._protocol = protocol
        self.begun_at = self.wire.loop.time()
        protocol.connection_made(self)
        self.look()

    def look(self) -> None:
        """Something lies in the socket."""
        if not self._is_looking and self._protocol is not None and not self.is_shut:
            self._is_looking = True
            self.wire.loop.soon(self.machine.host, self._read)

    def _read(self) -> None:
        self._is_looking = False
        if not self._is_reading or self._is_closing or self._reads_end:
            return
        protocol = self._protocol
        if self.into.unread:
            if isinstance(protocol, asyncio.BufferedProtocol):
                buffer = memoryview(protocol.get_buffer(-1))
                data = self.into.read(len(buffer))
                buffer[: len(data)] = data
                protocol.buffer_updated(len(data))
            else:
                protocol.data_received(self.into.read(64 << 10))
            if self.into.unread or self.into.has_end:
                self.look()
        elif self.into.has_end:
            self._reads_end = True
            if not protocol.eof_received():
                self.close()

    def pause_reading(self) -> None:
        self._is_reading = False

    def resume_reading(self) -> None:
        if not self._is_reading:
            self._is_reading = True
            if self.into.unread or self.into.has_end:
                self.look()

    def is_reading(self) -> bool:
        return self._is_reading and not self._is_closing

    # What goes out

    def write(self, data: Any) -> None:
        if self._has_eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self.is_shut or self._is_lost:
            return
        out = self.out
        sent = 0 if out.queued else out.push(data)
        if sent < len(data):
            out.queued += data[sent:]
            if len(out.queued) > self._high and not self._is_paused:
                self._is_paused = True
                self._protocol.pause_writing()

    def pump(self) -> None:
        """There is room in the window."""
        out = self.out
        if self.is_shut or not out.queued:
            return
        del out.queued[: out.push(out.queued)]
        if len(out.queued) <= self._low and self._is_paused:
            self.wire.loop.soon(self.machine.host, self._unpause)
        if not out.queued:
            if self._has_eof:
                out.end()
            if self._is_closing:
                self._lose(None)

    def _unpause(self) -> None:
        if self._is_paused and len(self.out.queued) <= self._low and not self._is_lost:
            self._is_paused = False
            self._protocol.resume_writing()

    def write_eof(self) -> None:
        if not self._has_eof and not self._is_closing:
            self._has_eof = True
            if not self.out.queued:
                self.out.end()

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return len(self.out.queued)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = _HIGH if high is None else high
        self._low = self._high // 4 if low is None else low

    # Its end

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        if not self._is_closing:
            self._is_closing = True
            if not self.out.queued:
                self._lose(None)

    def abort(self) -> None:
        self._is_closing = True
        self.out.queued.clear()
        self._lose(None)

    def _lose(self, fault: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self.wire.loop.soon(self.machine.host, self._lost, fault)

    def _lost(self, fault: Exception | None) -> None:
        if self._protocol is not None:
            self._protocol.connection_lost(fault)
        self.end_at_once()

    def shutdown(self, *, discard_unsent: bool = False) -> None:
        """End both directions of the socket at once; the transport finds out in a later round."""
        if not self.is_shut:
            self.out.is_dropped = discard_unsent
            self._send_end(discard_unsent)
            self.is_shut = True

    def end_at_once(self) -> None:
        """Close the socket."""
        self.shutdown()
        self._is_closing = True
        if self in self.machine.streams:
            del self.machine.streams[self]
            self.machine.freed()

    def _send_end(self, drops: bool) -> None:
        out = self.out
        out.queued.clear()
        if drops or self.into.unread:  # the peer's bytes were not read
            if not self.wire.is_cut(self.machine.host, out.target.machine.host):  # a reset is not sent again
                self.wire.loop.after_us(self.wire.delay(), self._reset_other)
        elif not self._has_eof:
            out.end()

    def _reset_other(self) -> None:
        self.out.target.was_reset()

    def was_reset(self) -> None:
        """The other end reset the stream: what lies unread is lost with it."""
        if self.is_shut:
            return
        source, target = self.into.source.machine.host, self.machine.host
        if self.wire.is_cut(source, target):
            self.wire.hold(source, target, self.was_reset)
            return
        self.into.unread.clear()
        self.into.flying.clear()
        self.is_shut = True
        self.out.queued.clear()
        self.out.flying.clear()
        if self._protocol is None:
            self.end_at_once()
        else:
            self._is_closing = True
            self._lose(ConnectionResetError(104, "reset"))

    def broken(self) -> None:
        """Something on the way resets the stream, at both ends, once what left has arrived."""
        self.wire.loop.after_us(self.wire.delay() + 1, self.out.target.was_reset)
        self.wire.loop.after_us(self.wire.delay() + 1, self.was_reset)

    def has_unread(self) -> bool:
        return bool(self.into.unread or self.into.has_end or self.is_shut)

    def seconds_since_received(self) -> float:
        return 0.0  # the host is never late to read

    def has_ended(self) -> bool:
        return bool(self.into.has_end or self.is_shut)

    def shutdown_write(self) -> None:
        self.write_eof()

    # What else transports tell

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"peername": self.there, "sockname": self.here}.get(name, default)

    def get_protocol(self) -> Any:
        return self._protocol

    def set_protocol(self, protocol: Any) -> None:
        self._protocol = protocol
