"""`Network` on the running asyncio event loop, with system clocks and sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import AbstractAsyncContextManager
from typing import Any, TypeVar

from micadeck.network.clock import Clock, wall
from micadeck.network.interfaces import Address, Reservation, ThreadNetwork
from micadeck.network.socket_listener import SocketListener, bind
from micadeck.network.stream_socket import open_stream_socket
from micadeck.network.thread_loop import ThreadLoop

P = TypeVar("P", bound=asyncio.BaseProtocol)
T = TypeVar("T")


class LoopScheduler:
    """The timers and tasks of a `Network` on an event loop, with any kind of clock and sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Use the timers of this event loop."""
        self._loop = loop
        self.time = loop.time
        self.call_later = loop.call_later
        self.call_soon = loop.call_soon
        self.call_soon_threadsafe = loop.call_soon_threadsafe

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine as a task."""
        return self._loop.create_task(work)

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time."""
        await asyncio.sleep(seconds)

    def timeout(self, seconds: float) -> AbstractAsyncContextManager[object]:
        """Raise TimeoutError in the body after the given time."""
        return asyncio.timeout(seconds)


class LoopNetwork(LoopScheduler):
    """`Network` on the event loop that is running when it is created."""

    def __init__(self) -> None:
        """Use the running event loop."""
        super().__init__(asyncio.get_running_loop())
        self.now = Clock().now
        self.wall = wall
        self.stream = open_stream_socket

    def start_thread(self, name: str) -> ThreadNetwork:
        """Start a thread with its own event loop and network."""
        return ThreadLoop(name, LoopNetwork)

    async def dial(self, make: Callable[[], P], address: Address) -> P:
        """Open a stream; raise OSError if that fails."""
        _, protocol = await self._loop.create_connection(make, *address)
        return protocol

    def listen(
        self,
        make: Callable[[], asyncio.BaseProtocol],
        address: Address,
        max_accepts: int,
        *,
        shared: bool = False,
    ) -> SocketListener:
        """Accept streams; raise OSError if it can't listen."""
        return SocketListener(self._loop, make, address, max_accepts, shared=shared)

    def reserve(self, address: Address) -> Reservation:
        """Bind an address that other processes may share; raise OSError if it can't be bound."""
        return bind(address, shared=True)

    async def datagrams(self, make: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        """Receive datagrams at an address that other processes may share."""
        await self._loop.create_datagram_endpoint(make, local_addr=address, reuse_port=True)
