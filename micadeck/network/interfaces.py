"""The interfaces through which the rest of the program uses clocks, timers and sockets."""

from __future__ import annotations

import asyncio
import ipaddress
from collections.abc import Callable, Coroutine
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol, TypeVar

from micadeck.errors import OperatorError

Address = tuple[str, int]
MAX_PORT = 65_535

P = TypeVar("P", bound=asyncio.BaseProtocol)
T = TypeVar("T")


class InvalidAddressError(OperatorError, ValueError):
    """A value is not a valid `address:port`."""

    advice = "Write a numeric address and a port, as in 127.0.0.1:8080."


class AddressFormatError(InvalidAddressError):
    """The value does not have the form `address:port`."""

    def __init__(self, value: object) -> None:
        """Create the error for this value."""
        super().__init__(f"address:port is needed, not {value!r:.60}")


class PortRangeError(InvalidAddressError):
    """The port is out of range."""

    def __init__(self, port: int) -> None:
        """Create the error for this port."""
        super().__init__(f"a port from 0 to {MAX_PORT} is needed, not {port}")


def parse_address(value: object) -> Address:
    """Parse `address:port`.  The address must be numeric: there is no DNS.

    Raises:
        InvalidAddressError: The value is not such a string.
    """
    if not isinstance(value, str):
        raise AddressFormatError(value)
    host, _, port_text = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        port = int(port_text)
    except ValueError:
        raise AddressFormatError(value) from None
    if not 0 <= port <= MAX_PORT:
        raise PortRangeError(port)
    return host.strip("[]"), port


def format_address(address: Address) -> str:
    """Return an address in the form that `parse_address` reads."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class Stream(Protocol):
    """The socket of a stream transport, for state that the transport does not expose."""

    def has_unread(self) -> bool:
        """Return whether the socket holds bytes or an end of stream that the event loop has not read."""

    def has_ended(self) -> bool:
        """Return whether the peer closed its side or the stream broke, even if bytes are unread."""

    def unread_bytes(self) -> int:
        """Return how many bytes wait in the socket; 0 if unknown."""

    def seconds_since_received(self) -> float:
        """Return how long ago the last bytes arrived in the socket, in seconds; 0 if unknown."""

    def min_round_trip_s(self) -> float:
        """Return the shortest recent round trip to the peer, in seconds; 0 if unknown.

        It is measured by the kernel, so delays of this process don't count.
        """

    def shutdown_write(self) -> None:
        """Close the writing side synchronously; all written data must have been sent.

        The reading side stays open.
        """

    def shutdown(self, *, discard_unsent: bool) -> None:
        """Close both sides synchronously; no effect on a stream that has ended.

        Args:
            discard_unsent: Whether to drop data that is unacknowledged when the transport closes its socket;
                the peer may see a reset.
        """


class Listener(Protocol):
    """A listening stream socket."""

    @property
    def port(self) -> int:
        """The port that it listens on."""

    @property
    def is_accepting(self) -> bool:
        """Whether an accepted stream is not connected to its protocol yet."""

    def close(self) -> None:
        """Accept the connections in the backlog, then close."""


class Reservation(Protocol):
    """A shared address that is bound and does not accept streams."""

    def close(self) -> None:
        """Release the address."""


class ThreadNetwork(Protocol):
    """A thread with its own network."""

    @property
    def network(self) -> Network:
        """The thread's network, to be used only on that thread."""

    def run(self, work: Callable[[], T]) -> T:
        """Call `work` on the thread and return its result, or raise its exception."""

    def stop(self) -> None:
        """End the thread."""


class Network(Protocol):
    """A clock, timers, tasks, streams and datagrams.

    All methods but `call_soon_threadsafe` are called on one thread.
    """

    def now(self) -> int:
        """Return microseconds of Unix time that never steps back."""

    def wall(self) -> int:
        """Return the system clock in microseconds of Unix time; it may step."""

    def time(self) -> float:
        """Return seconds of a monotonic clock with an arbitrary origin."""

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Call `callback` after the delay."""

    def call_soon(self, callback: Callable[..., object], *args: Any) -> object:
        """Call `callback` in the next iteration of the event loop."""

    def call_soon_threadsafe(self, callback: Callable[..., object]) -> object:
        """Like `call_soon`, but from any thread; calls run in the order in which they were scheduled."""

    def start_thread(self, name: str) -> ThreadNetwork:
        """Start a thread of this name, for work that must not be delayed by this one."""

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine as a task."""

    async def sleep(self, seconds: float) -> None:
        """Wait for the given time."""

    def timeout(self, seconds: float) -> AbstractAsyncContextManager[object]:
        """Raise TimeoutError in the body after the given time."""

    async def dial(self, make: Callable[[], P], address: Address) -> P:
        """Open a stream; raise OSError if that fails."""

    def listen(
        self,
        make: Callable[[], asyncio.BaseProtocol],
        address: Address,
        max_accepts: int,
        *,
        shared: bool = False,
    ) -> Listener:
        """Accept streams.

        Args:
            make: Creates the protocol of a stream.
            address: The address to listen on.
            max_accepts: How many streams may be accepted and not yet connected to their protocols.
            shared: Whether other processes may listen on the address too.

        Raises:
            OSError: It can't listen.
        """

    def reserve(self, address: Address) -> Reservation:
        """Bind an address that other processes may share, without accepting streams.

        Raises:
            OSError: It can't be bound.
        """

    async def datagrams(self, make: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        """Receive datagrams at an address that other processes may share."""

    def stream(self, transport: asyncio.BaseTransport) -> Stream:
        """Return the socket of a transport; raise OSError if it is not available."""
