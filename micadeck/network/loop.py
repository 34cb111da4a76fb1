"""The system's clocks and sockets, on the running asyncio event loop."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import select
import socket
import struct
import time
from collections.abc import Callable, Coroutine
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar

from micadeck.network.interfaces import Address, ThreadNetwork

_BACKLOG = 1_024
_ENDS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # also behind bytes that nobody has read
_NO_LINGER = struct.pack("ii", 1, 0)  # the last close resets, and drops what is not acknowledged
# accept(2): this machine has nothing to accept with for now; those that wait go on waiting.
_NOTHING_TO_ACCEPT_WITH = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_FIRST_RETRY_S = 0.001
_LONGEST_RETRY_S = 0.02
_RETRY_CLOSING_S = 0.005
_LAST_TRIES = 40
_STREAM_TRIES = 5
# Of Linux's struct tcp_info: `tcpi_last_data_recv`, behind eight bytes and eleven numbers of 32 bits.
_LAST_RECEIVED_AT = 8 + 11 * 4
_LAST_RECEIVED_MS = struct.Struct("=I")
_TCP_INFO_SIZE = _LAST_RECEIVED_AT + _LAST_RECEIVED_MS.size

P = TypeVar("P", bound=asyncio.BaseProtocol)
T = TypeVar("T")


class Clock:
    """Whole microseconds of Unix time, read once; from there on only the monotonic clock moves it.

    Servers' start times compare with it, and no step of the system's clock disturbs a timer or a deadline.
    """

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self._offset_ns) // 1_000


def wall() -> int:
    return time.time_ns() // 1_000


def socket_of(transport: asyncio.BaseTransport) -> Any:
    """The socket of a transport, to look at; raise OSError where the system does not tell it."""
    return transport.get_extra_info("socket")


class LoopStream:
    """The socket of an asyncio transport."""

    __slots__ = ("_poll", "_socket")

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._socket = socket_of(transport)
        self._poll = select.poll()
        self._poll.register(self._socket.fileno(), select.POLLIN)

    def has_unread(self) -> bool:
        return bool(self._poll.poll(0))

    def has_ended(self) -> bool:
        self._poll.modify(self._socket.fileno(), _ENDS)
        ended = bool(self._poll.poll(0))
        self._poll.modify(self._socket.fileno(), select.POLLIN)
        return ended

    def unread_for_s(self) -> float:
        try:
            info = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE)
        except OSError:
            return 0.0  # it ended, or the system does not tell
        if len(info) < _TCP_INFO_SIZE:
            return 0.0
        age_ms: int = _LAST_RECEIVED_MS.unpack_from(info, _LAST_RECEIVED_AT)[0]
        return age_ms / 1e3

    def end_writing(self) -> None:
        self._shutdown(socket.SHUT_WR, drops=False)

    def shut(self, *, drops: bool) -> None:
        self._shutdown(socket.SHUT_RDWR, drops=drops)

    def _shutdown(self, how: int, *, drops: bool) -> None:
        try:
            # By a descriptor of its own: the loop's transports lend their sockets only to look at.
            with socket.socket(fileno=os.dup(self._socket.fileno())) as own:
                if drops:
                    own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
                own.shutdown(how)
        except OSError:
            pass  # the peer was quicker


def _stream(transport: asyncio.BaseTransport) -> LoopStream:
    """The socket of a transport; it is asked for anew where the system fails to tell it for a moment."""
    for _ in range(_STREAM_TRIES - 1):
        with contextlib.suppress(OSError):
            return LoopStream(transport)
    return LoopStream(transport)


class LoopListener:
    """Accepts a few connections at a time; the rest wait in the kernel.

    Guards a limit on descriptors: event loops accept all that is there before any of it is counted, so
    hundreds that connect at once would take every one.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make: Callable[[], asyncio.BaseProtocol],
        address: Address,
        at_once: int,
        shared: bool,
    ) -> None:
        self._loop = loop
        self._make = make
        self._at_once = at_once
        self._accepting: set[asyncio.Task[None]] = set()
        self._is_closing = False
        self._retry_s = _FIRST_RETRY_S
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            self._socket.bind(address)
            self._socket.setblocking(False)
            self._socket.listen(_BACKLOG)
            self.port = int(self._socket.getsockname()[1])
            loop.add_reader(self._socket.fileno(), self._accept)
        except OSError:
            self._socket.close()
            raise

    @property
    def is_accepting(self) -> bool:
        return bool(self._accepting) or self._is_closing

    def close(self) -> None:
        """Accept all that wait in the kernel first: closing resets them, their requests unheard."""
        if self._socket.fileno() < 0 or self._is_closing:
            return
        self._loop.remove_reader(self._socket.fileno())
        self._is_closing = True
        self._accept_the_last(_LAST_TRIES)

    def _accept_the_last(self, tries: int) -> None:
        if self._take(_BACKLOG) or tries <= 0:
            self._is_closing = False
            self._socket.close()
        else:
            self._loop.call_later(_RETRY_CLOSING_S, self._accept_the_last, tries - 1)

    def _accept(self) -> None:
        if not self._take(self._at_once - len(self._accepting)):
            # Guards against spinning: the socket stays readable while there is nothing to accept with.
            # The first wait is short: most such failures last for a moment, and others wait in the kernel.
            self._loop.remove_reader(self._socket.fileno())
            self._loop.call_later(self._retry_s, self._accept_again)
            self._retry_s = min(self._retry_s * 2.0, _LONGEST_RETRY_S)

    def _accept_again(self) -> None:
        if self._socket.fileno() >= 0 and not self._is_closing:
            self._loop.add_reader(self._socket.fileno(), self._accept)

    def _take(self, most: int) -> bool:
        """Accept up to so many; say whether this machine could, which is so too when none are left."""
        for _ in range(most):
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except OSError as fault:
                if fault.errno in _NOTHING_TO_ACCEPT_WITH:
                    return False
                continue  # it was that connection's: Linux passes on what already became of it
            self._retry_s = _FIRST_RETRY_S
            accepted.setblocking(False)
            task = self._loop.create_task(self._connect(accepted))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
        return True

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._make, accepted)
        except OSError:
            accepted.close()  # the client was quicker


class OnLoop:
    """What a `Network` has of an event loop, whatever its clock and its sockets are."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.time = loop.time
        self.call_later = loop.call_later
        self.call_soon = loop.call_soon
        self.call_soon_threadsafe = loop.call_soon_threadsafe

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        return self._loop.create_task(work)

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    def timeout(self, seconds: float) -> AbstractAsyncContextManager[object]:
        return asyncio.timeout(seconds)


class LoopNetwork(OnLoop):
    """`Network` on the event loop that runs as it is made."""

    def __init__(self) -> None:
        super().__init__(asyncio.get_running_loop())
        self.now = Clock().now
        self.wall = wall
        self.stream = _stream

    def start_thread(self, name: str) -> ThreadNetwork:
        from micadeck.network.thread_loop import (
            ThreadLoop,  # nothing of it is loaded where it is not asked for
        )

        return ThreadLoop(name)

    async def dial(self, make: Callable[[], P], address: Address) -> P:
        _, protocol = await self._loop.create_connection(make, *address)
        return protocol

    def listen(
        self,
        make: Callable[[], asyncio.BaseProtocol],
        address: Address,
        at_once: int,
        *,
        shared: bool = False,
    ) -> LoopListener:
        return LoopListener(self._loop, make, address, at_once, shared)

    async def datagrams(self, make: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        await self._loop.create_datagram_endpoint(make, local_addr=address, reuse_port=True)
