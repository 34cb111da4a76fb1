"""What the program may ask of time and sockets."""

from __future__ import annotations

import asyncio
import ipaddress
from collections.abc import Callable, Coroutine
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol, TypeVar

Address = tuple[str, int]

P = TypeVar("P", bound=asyncio.BaseProtocol)
T = TypeVar("T")


def parse_address(value: object) -> Address:
    """Split `address:port`; there is no DNS, so the address must be a numeric one."""
    if not isinstance(value, str):
        raise ValueError(f"address:port is needed, not {value!r:.60}")
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"address:port is needed, not {value!r:.60}") from None
    if not 0 <= number <= 65_535:
        raise ValueError(f"a port from 0 to 65535 is needed, not {number}")
    return host.strip("[]"), number


def place(address: Address) -> str:
    """An address as `parse_address` takes it."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None: ...


class Stream(Protocol):
    """The socket under a stream transport, as far as the transport itself does not show it."""

    def has_unread(self) -> bool:
        """Whether bytes, or the peer's end, lie in the socket that the event loop has not read yet."""

    def has_ended(self) -> bool:
        """Whether the peer has ended its side, or the stream broke, whatever lies unread before that."""

    def unread_for_s(self) -> float:
        """How long ago the last bytes arrived in the socket, in seconds; 0 where that can't be told."""

    def end_writing(self) -> None:
        """End our side before the call returns; for when nothing that was written is still unsent.

        What comes after that can still be read.
        """

    def shut(self, *, drops: bool) -> None:
        """End both directions at once, before the call returns; nothing happens if it has ended.

        `drops`: what was written and has not arrived by the time the transport closes its socket is not sent
        on or again; the other end may hear of a reset.
        """


class Listener(Protocol):
    """A listening stream socket."""

    @property
    def port(self) -> int: ...

    @property
    def is_accepting(self) -> bool:
        """Whether a stream was accepted that its protocol has not heard of yet."""

    def close(self) -> None:
        """Accept what has connected by now, and nothing after."""


class ThreadNetwork(Protocol):
    """A thread that has a network of its own."""

    @property
    def network(self) -> Network: ...

    def run(self, work: Callable[[], T]) -> T:
        """Have the thread do this, and wait for what comes of it; raises what it raises."""

    def stop(self) -> None: ...


class Network(Protocol):
    """A clock, timers, tasks, streams and datagrams.

    Everything but `call_soon_threadsafe` is called on one thread.
    """

    def now(self) -> int:
        """Whole microseconds of Unix time that never step back."""

    def wall(self) -> int:
        """Whole microseconds of Unix time as the system's clock has it now; that may step."""

    def time(self) -> float:
        """Seconds, to measure spans with; where zero lies is not said."""

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: Any) -> Timer: ...

    def call_soon(self, callback: Callable[..., object], *args: Any) -> object: ...

    def call_soon_threadsafe(self, callback: Callable[..., object]) -> object:
        """As `call_soon`, by another thread; in order."""

    def start_thread(self, name: str) -> ThreadNetwork:
        """A thread of this name for what must not wait for its turn on this one."""

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]: ...

    async def sleep(self, seconds: float) -> None: ...

    def timeout(self, seconds: float) -> AbstractAsyncContextManager[object]:
        """Raise TimeoutError in the body once so much time has passed."""

    async def dial(self, make: Callable[[], P], address: Address) -> P:
        """Open a stream; raise OSError when it does not come up."""

    def listen(
        self,
        make: Callable[[], asyncio.BaseProtocol],
        address: Address,
        at_once: int,
        *,
        shared: bool = False,
    ) -> Listener:
        """Accept streams, so many new ones before others get their turn; raise OSError if it can't listen.

        A shared address may be another process's as well, if that one shares it too.
        """

    async def datagrams(self, make: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        """Hear datagrams at an address that a further process may share."""

    def stream(self, transport: asyncio.BaseTransport) -> Stream:
        """The socket under a transport; raise OSError where the system does not tell it."""
