"""A listening socket that accepts a bounded number of connections at a time."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from micadeck.network.interfaces import Address

_BACKLOG = 1_024
# Errors of accept(2) when this machine lacks a resource; the connections stay in the backlog.
_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_FIRST_RETRY_S = 0.001
_MAX_RETRY_S = 0.02
_MAX_CONNECT_RETRY_S = 0.5
_CLOSING_RETRY_S = 0.005
_CLOSING_RETRIES = 40


def bind(address: Address, *, shared: bool) -> socket.socket:
    """Bind a stream socket to an address.

    Args:
        address: The address.
        shared: Whether other processes may bind it too.

    Raises:
        OSError: The address is in use or not local, or a resource is lacking.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound


class SocketListener:
    """`Listener` that accepts a few connections at a time; the others stay in the kernel's backlog.

    Event loops accept the whole backlog before any connection is counted, so hundreds at once would exceed a
    limit on descriptors.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make: Callable[[], asyncio.BaseProtocol],
        address: Address,
        max_accepts: int,
        *,
        shared: bool,
    ) -> None:
        """Start to listen.

        Args:
            loop: The event loop that serves the connections.
            make: Creates the protocol of a connection.
            address: The address to listen on.
            max_accepts: How many connections may be accepted and not yet connected to their protocols.
            shared: Whether other processes may listen on the address too.

        Raises:
            OSError: The address is in use or not local, or a resource is lacking.
        """
        self._loop = loop
        self._make = make
        self._max_accepts = max_accepts
        self._accepting: set[asyncio.Task[None]] = set()
        self._is_closing = False
        self._retry_s = _FIRST_RETRY_S
        self._socket = bind(address, shared=shared)
        try:
            self._socket.setblocking(False)
            self._socket.listen(_BACKLOG)
            self.port = int(self._socket.getsockname()[1])
            loop.add_reader(self._socket.fileno(), self._accept)
        except OSError:
            self._socket.close()
            raise

    @property
    def is_accepting(self) -> bool:
        """Whether the backlog is being drained, or an accepted connection has no protocol yet."""
        return bool(self._accepting) or self._is_closing

    def close(self) -> None:
        """Accept the backlog, then close: closing first would reset connections with unread requests."""
        if self._socket.fileno() < 0 or self._is_closing:
            return
        self._loop.remove_reader(self._socket.fileno())
        self._is_closing = True
        self._drain_backlog(_CLOSING_RETRIES)

    def _drain_backlog(self, retries: int) -> None:
        if self._accept_up_to(_BACKLOG) or retries <= 0:
            self._is_closing = False
            self._socket.close()
        else:
            self._loop.call_later(_CLOSING_RETRY_S, self._drain_backlog, retries - 1)

    def _accept(self) -> None:
        if not self._accept_up_to(self._max_accepts - len(self._accepting)):
            # The socket stays readable while a resource is lacking: without a pause, the loop would spin.
            self._loop.remove_reader(self._socket.fileno())
            self._loop.call_later(self._retry_s, self._resume_accepting)
            self._retry_s = min(self._retry_s * 2.0, _MAX_RETRY_S)

    def _resume_accepting(self) -> None:
        if self._socket.fileno() >= 0 and not self._is_closing:
            self._loop.add_reader(self._socket.fileno(), self._accept)

    def _accept_up_to(self, count: int) -> bool:
        """Accept up to `count` connections; return False if this machine lacks a resource."""
        for _ in range(count):
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in _RESOURCE_ERRORS:
                    return False
                continue  # a network error of that connection, which Linux reports through accept
            self._retry_s = _FIRST_RETRY_S
            accepted.setblocking(False)
            task = self._loop.create_task(self._connect(accepted))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
        return True

    async def _connect(self, accepted: socket.socket) -> None:
        """Connect an accepted socket to its protocol; retry while this machine lacks a resource."""
        retry_s = _FIRST_RETRY_S
        while True:
            try:
                await self._loop.connect_accepted_socket(self._make, accepted)
            except OSError as error:
                if error.errno not in _RESOURCE_ERRORS or retry_s > _MAX_CONNECT_RETRY_S:
                    accepted.close()  # the client has disconnected, or the retries took too long
                    return
                await asyncio.sleep(retry_s)
                retry_s *= 2.0
            else:
                return
