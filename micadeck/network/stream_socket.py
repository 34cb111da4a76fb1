"""The socket of an asyncio transport: its state, and shutdown in either direction."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios
from typing import Any

_PEER_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # reported even while bytes are unread
_NO_LINGER = struct.pack("ii", 1, 0)  # the last close resets the connection and drops unacknowledged data
_OPEN_ATTEMPTS = 5
_INT = struct.Struct("=i")
# Fields of Linux's struct tcp_info, which begins with eight bytes and 24 numbers of 32 bits.
_TCP_INFO_NUMBER = struct.Struct("=I")
_LAST_RECEIVED_OFFSET = 8 + 11 * 4  # tcpi_last_data_recv, in milliseconds
_MIN_ROUND_TRIP_OFFSET = 8 + 24 * 4 + 4 * 8 + 3 * 4  # tcpi_min_rtt, in microseconds
_UNKNOWN_ROUND_TRIP = 0xFFFF_FFFF  # until the first acknowledgement of data that was sent once


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

    def unread_bytes(self) -> int:
        """Return how many bytes wait in the socket; 0 if unknown."""
        try:
            answer = fcntl.ioctl(self._socket.fileno(), termios.FIONREAD, bytes(_INT.size))
        except OSError:
            return 0
        number: int = _INT.unpack(answer)[0]
        return number

    def seconds_since_received(self) -> float:
        """Return the age of the last bytes received, in seconds; 0 if unknown."""
        return (self._tcp_info(_LAST_RECEIVED_OFFSET) or 0) / 1e3

    def min_round_trip_s(self) -> float:
        """Return the shortest round trip of the last minutes, in seconds; 0 if unknown."""
        round_trip_us = self._tcp_info(_MIN_ROUND_TRIP_OFFSET)
        return 0.0 if round_trip_us in (None, _UNKNOWN_ROUND_TRIP) else round_trip_us / 1e6

    def _tcp_info(self, offset: int) -> int | None:
        """Return a number of the kernel's statistics; None if it is not available."""
        size = offset + _TCP_INFO_NUMBER.size
        try:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
        except OSError:
            return None  # it is closed, or the system does not support TCP_INFO
        if len(info) < size:
            return None
        number: int = _TCP_INFO_NUMBER.unpack_from(info, offset)[0]
        return number

    def shutdown_write(self) -> None:
        """Close the writing side synchronously."""
        self._shutdown(socket.SHUT_WR, discard_unsent=False)

    def shutdown(self, *, discard_unsent: bool) -> None:
        """Close both sides synchronously."""
        self._shutdown(socket.SHUT_RDWR, discard_unsent=discard_unsent)

    def _shutdown(self, how: int, *, discard_unsent: bool) -> None:
        descriptor = self._socket.fileno()
        if descriptor < 0:
            return  # it is closed
        # The event loop's transports allow only reads of their sockets' state.  With family, type and
        # protocol given, a second socket object makes no system call that could fail.
        family, kind, protocol = self._socket.family, self._socket.type, self._socket.proto
        shared = socket.socket(family, kind, protocol, fileno=descriptor)
        try:
            if discard_unsent:
                shared.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            shared.shutdown(how)
        except OSError:
            pass  # the peer has closed the connection
        finally:
            shared.detach()  # the descriptor belongs to the transport


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
