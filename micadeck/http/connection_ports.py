"""What a client's connection needs of the listener and of the table of all connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from micadeck.engine import Engine
from micadeck.http.body_stream import BufferBudget
from micadeck.http.connection_limits import ConnectionState
from micadeck.http.h1 import Request
from micadeck.network import Network

if TYPE_CHECKING:
    from micadeck.http.downstream_connection import DownstreamConnection


class RequestTaker(Protocol):
    """What a connection needs of the listener that accepted it."""

    engine: Engine
    network: Network
    budget: BufferBudget
    buffer: memoryview  # for what is read; used up before the next read
    is_draining: bool
    is_healthy: bool
    linger_s: float
    upload_linger_s: float

    def take(self, request: Request, client: DownstreamConnection) -> int | None:
        """Bring a request to the engine; raise BadRequestError on what no server must see."""


class StateKeeper(Protocol):
    """What a connection reports to: the table of all connections."""

    def add(self, connection: DownstreamConnection) -> None:
        """Take a new connection in, or cut it where there is no room for it."""

    def move(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Put a connection into another state."""

    def remove(self, connection: DownstreamConnection) -> None:
        """Forget a connection that has ended."""

    def hold_memory(self, connection: DownstreamConnection, cost: int) -> None:
        """Count what a connection's requests cost of memory, in bytes."""

    def release_memory(self, connection: DownstreamConnection) -> None:
        """Count nothing for a connection any more."""
