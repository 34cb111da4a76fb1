"""Interfaces that a client connection needs of the listener and of the connection table."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from micadeck.engine import Engine
from micadeck.http.buffer_budget import BufferBudget
from micadeck.http.connection_limits import ConnectionState
from micadeck.http.messages import Request
from micadeck.network import Network

if TYPE_CHECKING:
    from micadeck.http.downstream_connection import DownstreamConnection


class ListenerPort(Protocol):
    """The listener that accepted a connection."""

    engine: Engine
    network: Network
    budget: BufferBudget
    buffer: memoryview  # for received data; each read is processed before the next
    is_draining: bool
    is_healthy: bool
    linger_s: float
    upload_linger_s: float

    def submit(self, request: Request, client: DownstreamConnection) -> int | None:
        """Submit a request to the engine; raise BadRequestError if it is invalid."""


class ConnectionRegistry(Protocol):
    """The table of all connections, which tracks state and memory."""

    def add(self, connection: DownstreamConnection) -> None:
        """Add a new connection, or abort it if the table is full."""

    def move(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Move a connection to another state."""

    def remove(self, connection: DownstreamConnection) -> None:
        """Remove a closed connection."""

    def hold_memory(self, connection: DownstreamConnection, cost: int) -> None:
        """Set the memory charged for a connection's requests, in bytes."""

    def release_memory(self, connection: DownstreamConnection) -> None:
        """Stop charging memory for a connection."""
