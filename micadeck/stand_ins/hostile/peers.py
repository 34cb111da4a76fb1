"""What hostile peers send and read, and their connections."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, cast

HOST = "127.0.0.1"
_WRITE_BYTES = 64 << 10  # of a flood, in one write
_HIGH_WATER_BYTES = 256 << 10
_RECONNECT_S = 0.05
ID_PLACEHOLDER = b"{id}"  # replaced by a unique request id
request_ids = itertools.count(1)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@dataclass(frozen=True, slots=True)
class Flood:
    """`first`, then `piece` repeated as fast as the other side reads.

    `repeats`: the number of pieces, None for endless.  `interval_s`: seconds between pieces.
    """

    first: bytes = b""
    piece: bytes = b""
    repeats: int | None = 0
    interval_s: float = 0.0


NO_RESPONSE = Flood()
OK_RESPONSE = Flood(OK)


class FloodConnection(asyncio.Protocol):
    """A connection that sends floods, under flow control."""

    def __init__(self, *, reads: bool = True, read_rate: float | None = None) -> None:
        self._reads = reads
        self._read_rate = read_rate
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._flood: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.lost = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        if not self._reads:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set()
        self._can_write.set()
        if self._flood is not None:
            self._flood.cancel()

    def data_received(self, data: bytes) -> None:
        if self._read_rate is None or self.transport is None:
            return
        self.transport.pause_reading()
        asyncio.get_running_loop().call_later(len(data) / self._read_rate, self._read_on)

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()

    def begin(self, flood: Flood) -> None:
        """Send a flood instead of the current one."""
        if self._flood is not None:
            self._flood.cancel()
        self._flood = asyncio.get_running_loop().create_task(self._send(flood))

    async def _send(self, flood: Flood) -> None:
        assert self.transport is not None
        self.transport.write(flood.first)
        if not flood.piece:
            return
        batch = 1 if flood.interval_s else max(_WRITE_BYTES // len(flood.piece), 1)
        left = flood.repeats
        while not self.transport.is_closing() and left != 0:
            count = batch if left is None else min(batch, left)
            self.transport.write(flood.piece * count)
            left = None if left is None else left - count
            await asyncio.sleep(flood.interval_s)
            await self._can_write.wait()


class _ServerSide(FloodConnection):
    """Responds to each complete request head."""

    def __init__(self, server: HostileServer) -> None:
        super().__init__()
        self._server = server
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            self._server.requests += 1
            self.begin(self._server.respond(head.partition(b"\r\n")[0]))
        self._buffer = self._buffer[-_WRITE_BYTES:]


class HostileServer:
    """A server for requests without bodies; `respond` maps a request line to a response."""

    def __init__(self, respond: Callable[[bytes], Flood]) -> None:
        self.respond = respond
        self.requests = 0
        self.connections: set[_ServerSide] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.get_running_loop().create_server(lambda: _ServerSide(self), HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Reset every open connection."""
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()


@dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that connect, send a flood and reconnect when disconnected."""

    count: int
    flood: Flood
    reads: bool = True
    read_rate: float | None = None  # bytes per second; None: as fast as they come
    closes_after_s: float | None = None  # then a client reconnects; None: it stays connected


def _with_ids(flood: Flood) -> Flood:
    """The flood with a unique id in each request."""
    first, *rest = flood.first.split(ID_PLACEHOLDER)
    return replace(flood, first=first + b"".join(b"h-%d" % next(request_ids) + part for part in rest))


def _factory(connection: FloodConnection) -> Callable[[], FloodConnection]:
    return lambda: connection


async def run_crowd(crowd: Crowd, port: int, seconds: float) -> None:
    """Run a crowd for that long, then close its connections."""

    async def client() -> None:
        while True:
            connection = FloodConnection(reads=crowd.reads, read_rate=crowd.read_rate)
            try:
                await asyncio.get_running_loop().create_connection(_factory(connection), HOST, port)
                connection.begin(_with_ids(crowd.flood))
                async with asyncio.timeout(crowd.closes_after_s):
                    await connection.lost.wait()
            except (OSError, TimeoutError):
                pass
            finally:
                if connection.transport is not None:
                    connection.transport.abort()
            await asyncio.sleep(_RECONNECT_S)

    tasks = [asyncio.create_task(client()) for _ in range(crowd.count)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def server_list(addresses: list[str]) -> dict[str, Any]:
    """A full list of servers in discovery's format."""
    return {
        "version": 1,
        "full": True,
        "servers": [
            {
                "id": f"s-{number}",
                "addr": address,
                "zone": "a",
                "cell": 1,
                "state": "active",
                "started_ms": 1,  # long ago: no slow start
            }
            for number, address in enumerate(addresses)
        ],
    }


def ok_response(body: bytes) -> Flood:
    """A well-formed response."""
    return Flood(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def list_response(listing: dict[str, Any]) -> Flood:
    return ok_response(json.dumps(listing).encode())


@contextlib.asynccontextmanager
async def running(server: HostileServer) -> Any:
    """Run a server; yield its address."""
    try:
        yield await server.start()
    finally:
        server.stop()
