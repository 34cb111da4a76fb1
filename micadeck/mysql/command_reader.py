"""Reads one MySQL client's payloads and hands them on one at a time, within bounds on memory and on time."""

from __future__ import annotations

import asyncio
from typing import Protocol

from micadeck.mysql.protocol.constants import Command
from micadeck.mysql.protocol.packets import PacketReader
from micadeck.mysql.protocol.wire import ProtocolError
from micadeck.mysql.statement_memory import ClientShare, StatementMemory
from micadeck.network import DeferredCall, Network

_MAX_LOGIN_PACKET_BYTES = 1 << 16
_MAX_PIPELINED_BYTES = 1 << 16  # that a client may send ahead while no command can be handled
_LONG_DATA = bytes((Command.STMT_SEND_LONG_DATA,))


class CommandHandler(Protocol):
    """The session that the payloads are for."""

    @property
    def is_ready(self) -> bool:
        """Whether a payload can be handled: none is running, and the client takes its answers."""

    @property
    def is_logged_in(self) -> bool:
        """Whether the next payload begins a command."""

    @property
    def statement_bytes(self) -> int:
        """Bytes of the running statement."""

    @property
    def long_data_bytes(self) -> int:
        """Bytes that are kept for prepared statements."""

    def handle_payload(self, payload: bytes) -> None:
        """Handle one payload."""

    def refuse_for_memory(self, payload: bytes) -> None:
        """Reject a payload that exceeds the share of memory; only its first byte may have been kept."""

    def reading_failed(self, error: ProtocolError) -> None:
        """End the connection: what follows can't be read."""


class CommandReader:
    """Reads payloads while the session is ready, and leaves bytes to the kernel while it is not.

    Attributes:
        transport: The client's connection, once there is one.
        packets: The payloads received, and the sequence number of the exchange.
    """

    def __init__(self, handler: CommandHandler, network: Network, memory: StatementMemory) -> None:
        """Start before the log-in, with nothing received."""
        self.transport: asyncio.Transport | None = None
        self.packets = PacketReader(_MAX_LOGIN_PACKET_BYTES)
        self._handler = handler
        self._share = ClientShare(memory)
        self._is_paused = False  # until payloads are handled again
        self._deferred_read = DeferredCall(network)
        self._is_closed = False

    @property
    def has_deferred(self) -> bool:
        """Whether payloads were received that the next iteration of the event loop handles."""
        return self._deferred_read.is_scheduled and not self._is_closed

    def feed(self, data: bytes) -> None:
        """Take received bytes, and handle what is complete."""
        self.packets.feed(data)
        self.read()
        if self.packets.size > _MAX_PIPELINED_BYTES and not self._can_read:
            self._pause()

    def read(self) -> None:
        """Handle a payload if the session is ready, and the next one after the event loop has gone on."""
        self._count()
        if not self._can_read:
            return
        if self._read_payload() and not self.packets.is_empty:
            self.read_soon()
        elif not self._is_closed:
            self._resume()
        self._count()

    def read_soon(self) -> None:
        """Handle payloads in the next iteration of the event loop."""
        self._deferred_read.schedule(self.read)

    def close(self) -> None:
        """Handle nothing more, and keep nothing."""
        self._is_closed = True
        self.packets.clear()
        self._share.update(0)

    @property
    def _can_read(self) -> bool:
        """Whether a payload may be handled now."""
        return not self._is_closed and not self._deferred_read.is_scheduled and self._handler.is_ready

    def _read_payload(self) -> bool:
        """Handle the next payload; False if it is not complete."""
        try:
            payload = self.packets.next(from_zero=self._handler.is_logged_in)
            if payload is None:
                if self._share.must_refuse(self.packets.size):
                    self.packets.skip()
                return False
            if self.packets.was_skipped or self._share.must_refuse(self._size_with_long_data(payload)):
                self._handler.refuse_for_memory(payload)
            else:
                self._handler.handle_payload(payload)
        except ProtocolError as error:
            # From log-in or packet framing: errors in commands are answered by the session.
            self._handler.reading_failed(error)
        return True

    def _size_with_long_data(self, payload: bytes) -> int:
        """The bytes that are in memory if this payload is accepted."""
        is_long_data = payload.startswith(_LONG_DATA)
        return len(payload) + (self._handler.long_data_bytes if is_long_data else 0)

    def _count(self) -> None:
        """Count what is received and not handled, the running statement and long data."""
        if not self._is_closed:
            handler = self._handler
            self._share.update(self.packets.size + handler.statement_bytes + handler.long_data_bytes)

    def _pause(self) -> None:
        if self.transport is not None and not self._is_closed:
            self._is_paused = True
            self.transport.pause_reading()

    def _resume(self) -> None:
        if self._is_paused and self.transport is not None and not self.transport.is_closing():
            self._is_paused = False
            self.transport.resume_reading()
