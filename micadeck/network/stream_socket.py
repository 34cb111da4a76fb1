"""The socket of an asyncio transport: its state, and shutdown in either direction."""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import socket
import struct
from typing import Any

_PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # reported even while bytes are unread
_NO_LINGER = struct.pack("ii", 1, 0)  # the last close resets the connection and drops unacknowledged data
_OPEN_ATTEMPTS = 5
# `tcpi_last_data_recv` in Linux's struct tcp_info, after eight bytes and eleven 32-bit numbers.
_LAST_RECEIVED_OFFSET = 8 + 11 * 4
_LAST_RECEIVED_MS = struct.Struct("=I")
_TCP_INFO_SIZE = _LAST_RECEIVED_OFFSET + _LAST_RECEIVED_MS.size


class StreamSocket:
    """`Stream` for the socket of an asyncio transport."""

    __slots__ = ("_poll", "_socket")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        """Look up the transport's socket.

        Raises:
            OSError: The socket is not available.
        """
        self._socket = socket_of(transport)
        self._poll = select.poll()
        self._poll.register(self._socket.fileno(), select.POLLIN)

    def has_unread(self) -> bool:
        """Return whether the kernel holds bytes or an end of stream that the event loop has not read."""
        return bool(self._poll.poll(0))

    def has_ended(self) -> bool:
        """Return whether the peer closed its side or the stream broke, even if bytes are unread."""
        self._poll.modify(self._socket.fileno(), _PEER_CLOSED)
        has_ended = bool(self._poll.poll(0))
        self._poll.modify(self._socket.fileno(), select.POLLIN)
        return has_ended

    def seconds_since_received(self) -> float:
        """Return the age of the last bytes received, in seconds; 0 if unknown."""
        try:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE)
        except OSError:
            return 0.0  # it is closed, or the system does not support TCP_INFO
        if len(info) < _TCP_INFO_SIZE:
            return 0.0
        age_ms: int = _LAST_RECEIVED_MS.unpack_from(info, _LAST_RECEIVED_OFFSET)[0]
        return age_ms / 1e3

    def shutdown_write(self) -> None:
        """Close the writing side synchronously."""
        self._shutdown(socket.SHUT_WR, discard_unsent=False)

    def shutdown(self, *, discard_unsent: bool) -> None:
        """Close both sides synchronously."""
        self._shutdown(socket.SHUT_RDWR, discard_unsent=discard_unsent)

    def _shutdown(self, how: int, *, discard_unsent: bool) -> None:
        # Uses a duplicate descriptor: the event loop's transports allow only reads of their sockets' state.
        with (
            contextlib.suppress(OSError),  # the peer has closed the connection
            socket.socket(fileno=os.dup(self._socket.fileno())) as duplicate,
        ):
            if discard_unsent:
                duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            duplicate.shutdown(how)


def open_stream_socket(transport: asyncio.BaseTransport) -> StreamSocket:
    """Return the socket of a transport; retry temporary errors.

    Raises:
        OSError: The socket is not available.
    """
    for _ in range(_OPEN_ATTEMPTS - 1):
        with contextlib.suppress(OSError):
            return StreamSocket(transport)
    return StreamSocket(transport)


def socket_of(transport: asyncio.BaseTransport) -> Any:
    """Return the socket of a transport, to read its state; raise OSError if it is not available."""
    return transport.get_extra_info("socket")
