"""A TCP stream as asyncio presents it: two transports, and between them a pipe with a window each way.

Bytes pass the writer's buffer (`queued`), the network (`in_flight`) and the reader's socket (`unread`).  An
end that closes with unread bytes, or receives more after it closed, resets the stream; a reset discards what
is unread.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

from micadeck.network import Address

if TYPE_CHECKING:
    from micadeck.simulation.wire import Machine, Wire

_HIGH_WATER = 64 << 10
_FIN = b""  # in `in_flight`: the end of the stream


class Pipe:
    """One direction of a stream."""

    __slots__ = (
        "has_fin", "in_flight", "is_blocked", "is_never_resent", "queued", "received", "reset_at", "source",
        "target", "unread", "wire", "written",
    )  # fmt: skip

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.source: VirtualTransport
        self.target: VirtualTransport
        self.queued = bytearray()
        self.in_flight: deque[bytes] = deque()
        self.unread = bytearray()
        self.has_fin = False  # the end of the stream has arrived
        self.is_blocked = False  # a partition stopped the first piece in flight
        self.is_never_resent = False  # a piece that a partition stops is not retransmitted
        self.written = 0  # bytes that left the transport
        self.received = 0  # bytes that reached the other end's socket
        self.reset_at: int | None = None  # a fault: the stream is reset after so many bytes

    def window_left(self) -> int:
        return self.wire.conditions.window_bytes - sum(map(len, self.in_flight)) - len(self.unread)

    def send_available(self, data: bytes | bytearray) -> int:
        """Send as much as the window allows, and return that count."""
        limit = min(len(data), max(self.window_left(), 0))
        reset_at = self.reset_at
        if reset_at is not None and self.written + limit >= reset_at:
            limit = max(reset_at - self.written, 0)
            self._transmit(bytes(data[:limit]))
            self.reset_at = None
            self.wire.loop.call_after_us(0, self.source.reset_both_ends)
            return limit
        self._transmit(bytes(data[:limit]))
        return limit

    def _transmit(self, data: bytes) -> None:
        wire = self.wire
        self.written += len(data)
        if data:
            wire.tap(self, data, False)
        while data:
            size = len(data)
            if size > 1 and wire.conditions.split_rate and wire.rng.random() < wire.conditions.split_rate:
                size = wire.rng.randint(1, size - 1)
            self._send_piece(data[:size])
            data = data[size:]

    def send_fin(self) -> None:
        self._send_piece(_FIN)

    def _send_piece(self, piece: bytes) -> None:
        self.in_flight.append(piece)
        self.wire.loop.call_after_us(self.wire.delay(), self._deliver)

    def _deliver(self) -> None:
        """Deliver the first piece in flight."""
        if not self.in_flight:
            return  # the stream was reset
        source, target = self.source.machine.host, self.target.machine.host
        is_cut = self.wire.is_cut(source, target)
        if self.is_never_resent and (is_cut or self.is_blocked):
            self.in_flight.clear()
            return
        self.is_blocked = is_cut
        if is_cut:
            self.wire.retry_after_heal(source, target, self._deliver)
            return
        piece = self.in_flight.popleft()
        if self.target.is_shut_down:
            self.wire.loop.call_after_us(self.wire.delay(), self.source.on_reset)
            self.in_flight.clear()
        elif piece is _FIN or not piece:
            self.has_fin = True
            self.target.schedule_read()
        else:
            self.received += len(piece)
            self.target.received_at = self.wire.loop.time()
            self.unread += piece
            self.wire.tap(self, piece, True)
            self.target.schedule_read()

    def read(self, limit: int) -> bytes:
        data = bytes(self.unread[:limit])
        del self.unread[:limit]
        self.wire.loop.call_after_us(0, self.source.flush)
        return data


class VirtualTransport(asyncio.Transport):
    """One end of a stream: an asyncio transport that also implements `Stream`."""

    def __init__(
        self, wire: Wire, machine: Machine, outbound: Pipe, inbound: Pipe, local: Address, remote: Address
    ) -> None:
        super().__init__()
        self.wire = wire
        self.machine = machine
        self.outbound = outbound
        self.inbound = inbound
        self.local = local
        self.remote = remote
        self.number = 0
        self.attached_at = float("inf")  # when a protocol was attached
        self.handshake_us = 0  # of the end that connected
        self.received_at = 0.0  # when the last bytes arrived in the socket
        self.is_shut_down = False  # no more bytes pass in either direction
        self._protocol: Any = None
        self._is_closing = False
        self._is_lost = False  # connection_lost was called or is scheduled
        self._is_reading = True
        self._has_read_eof = False  # the end of the stream was read
        self._has_written_eof = False  # write_eof was called
        self._is_read_scheduled = False
        self._is_writing_paused = False  # pause_writing was called
        self._high_water, self._low_water = _HIGH_WATER, _HIGH_WATER // 4

    # Start and reading

    def attach(self, protocol: Any) -> None:
        self._protocol = protocol
        self.attached_at = self.wire.loop.time()
        protocol.connection_made(self)
        self.schedule_read()

    def schedule_read(self) -> None:
        """Schedule a read, unless one is scheduled."""
        if not self._is_read_scheduled and self._protocol is not None and not self.is_shut_down:
            self._is_read_scheduled = True
            self.wire.loop.call_soon_on(self.machine.host, self._read)

    def _read(self) -> None:
        self._is_read_scheduled = False
        if not self._is_reading or self._is_closing or self._has_read_eof:
            return
        protocol = self._protocol
        if self.inbound.unread:
            if isinstance(protocol, asyncio.BufferedProtocol):
                buffer = memoryview(protocol.get_buffer(-1))
                data = self.inbound.read(len(buffer))
                buffer[: len(data)] = data
                protocol.buffer_updated(len(data))
            else:
                protocol.data_received(self.inbound.read(64 << 10))
            if self.inbound.unread or self.inbound.has_fin:
                self.schedule_read()
        elif self.inbound.has_fin:
            self._has_read_eof = True
            if not protocol.eof_received():
                self.close()

    def pause_reading(self) -> None:
        self._is_reading = False

    def resume_reading(self) -> None:
        if not self._is_reading:
            self._is_reading = True
            if self.inbound.unread or self.inbound.has_fin:
                self.schedule_read()

    def is_reading(self) -> bool:
        return self._is_reading and not self._is_closing

    # Writing

    def write(self, data: Any) -> None:
        if self._has_written_eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self.is_shut_down or self._is_lost:
            return
        outbound = self.outbound
        sent = 0 if outbound.queued else outbound.send_available(data)
        if sent < len(data):
            outbound.queued += data[sent:]
            if len(outbound.queued) > self._high_water and not self._is_writing_paused:
                self._is_writing_paused = True
                self._protocol.pause_writing()

    def flush(self) -> None:
        """Send buffered bytes when the window has space."""
        outbound = self.outbound
        if self.is_shut_down or not outbound.queued:
            return
        del outbound.queued[: outbound.send_available(outbound.queued)]
        if len(outbound.queued) <= self._low_water and self._is_writing_paused:
            self.wire.loop.call_soon_on(self.machine.host, self._resume_writing)
        if not outbound.queued:
            if self._has_written_eof:
                outbound.send_fin()
            if self._is_closing:
                self._schedule_connection_lost(None)

    def _resume_writing(self) -> None:
        if self._is_writing_paused and len(self.outbound.queued) <= self._low_water and not self._is_lost:
            self._is_writing_paused = False
            self._protocol.resume_writing()

    def write_eof(self) -> None:
        if not self._has_written_eof and not self._is_closing:
            self._has_written_eof = True
            if not self.outbound.queued:
                self.outbound.send_fin()

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return len(self.outbound.queued)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high_water = _HIGH_WATER if high is None else high
        self._low_water = self._high_water // 4 if low is None else low

    # Closing

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        if not self._is_closing:
            self._is_closing = True
            if not self.outbound.queued:
                self._schedule_connection_lost(None)

    def abort(self) -> None:
        self._is_closing = True
        self.outbound.queued.clear()
        self._schedule_connection_lost(None)

    def _schedule_connection_lost(self, error: Exception | None) -> None:
        if not self._is_lost:
            self._is_lost = True
            self.wire.loop.call_soon_on(self.machine.host, self._connection_lost, error)

    def _connection_lost(self, error: Exception | None) -> None:
        if self._protocol is not None:
            self._protocol.connection_lost(error)
        self.close_socket()

    def shutdown(self, *, discard_unsent: bool = False) -> None:
        """Shut both directions down at once; the transport notices in a later iteration."""
        if not self.is_shut_down:
            self.outbound.is_never_resent = discard_unsent
            self._send_fin_or_reset(discard_unsent)
            self.is_shut_down = True

    def close_socket(self) -> None:
        """Close the socket."""
        self.shutdown()
        self._is_closing = True
        if self in self.machine.streams:
            del self.machine.streams[self]
            self.machine.descriptor_freed()

    def _send_fin_or_reset(self, discard_unsent: bool) -> None:
        outbound = self.outbound
        outbound.queued.clear()
        if discard_unsent or self.inbound.unread:  # unread bytes: TCP sends a reset
            # A reset that a partition stops is not retransmitted.
            if not self.wire.is_cut(self.machine.host, outbound.target.machine.host):
                self.wire.loop.call_after_us(self.wire.delay(), self._reset_remote)
        elif not self._has_written_eof:
            outbound.send_fin()

    def _reset_remote(self) -> None:
        self.outbound.target.on_reset()

    def on_reset(self) -> None:
        """Handle a reset by the other end; unread bytes are lost."""
        if self.is_shut_down:
            return
        source, target = self.inbound.source.machine.host, self.machine.host
        if self.wire.is_cut(source, target):
            self.wire.retry_after_heal(source, target, self.on_reset)
            return
        self.inbound.unread.clear()
        self.inbound.in_flight.clear()
        self.is_shut_down = True
        self.outbound.queued.clear()
        self.outbound.in_flight.clear()
        if self._protocol is None:
            self.close_socket()
        else:
            self._is_closing = True
            self._schedule_connection_lost(ConnectionResetError(104, "reset"))

    def reset_both_ends(self) -> None:
        """Reset both ends, as a middlebox would, after the bytes in flight have arrived."""
        self.wire.loop.call_after_us(self.wire.delay() + 1, self.outbound.target.on_reset)
        self.wire.loop.call_after_us(self.wire.delay() + 1, self.on_reset)

    def has_unread(self) -> bool:
        return bool(self.inbound.unread or self.inbound.has_fin or self.is_shut_down)

    def unread_bytes(self) -> int:
        return len(self.inbound.unread)

    def seconds_since_received(self) -> float:
        return self.wire.loop.time() - self.received_at

    def min_round_trip_s(self) -> float:
        return self.handshake_us / 1e6

    def has_ended(self) -> bool:
        return bool(self.inbound.has_fin or self.is_shut_down)

    def shutdown_write(self) -> None:
        self.write_eof()

    # Other transport methods

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"peername": self.remote, "sockname": self.local}.get(name, default)

    def get_protocol(self) -> Any:
        return self._protocol

    def set_protocol(self, protocol: Any) -> None:
        self._protocol = protocol
