"""The socket of one client connection: pausing its reads, and what the kernel holds of it."""

from __future__ import annotations

import asyncio

from micadeck.http.buffer_budget import BufferBudget, UnsentData
from micadeck.network import Network, ReadTurn, Stream

_MAX_UNREAD_S = 60.0  # a larger reported age of unread data is implausible and is capped


class DownstreamSocket(asyncio.BufferedProtocol):
    """Base class of client connections: owns the transport and whether it is read from."""

    def __init__(self, network: Network, budget: BufferBudget) -> None:
        self._network = network
        self._unsent = UnsentData(budget)
        self._is_writing_paused = False  # whether a part of the written data is unsent
        self._transport: asyncio.Transport | None = None
        self._stream: Stream | None = None
        self._is_reading_paused = False
        self._turn = ReadTurn(network)  # of a large body

    @property
    def unsent_bytes(self) -> int:
        """Written bytes that are still in the transport's send buffer."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def has_unsent(self) -> bool:
        """Whether the transport's send buffer holds data."""
        return bool(self.unsent_bytes)

    @property
    def has_unread_eof(self) -> bool:
        """Whether reading is paused and the client's EOF is waiting in the socket."""
        return self._is_reading_paused and self._stream is not None and self._stream.has_ended()

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)
        if self._is_writing_paused:
            self._unsent.add(len(data))

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._turn.is_over:
            return
        if self._transport is not None and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _arrived_at(self, now: float) -> float:
        """When the kernel received the bytes that arrived last, as far as it reports it."""
        assert self._stream is not None
        return now - min(self._stream.seconds_since_received(), _MAX_UNREAD_S)
