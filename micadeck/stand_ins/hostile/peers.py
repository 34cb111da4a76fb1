"""What a hostile peer sends and reads, as data, and the connections that do it."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, cast

HOST = "127.0.0.1"
_WRITE_AT_ONCE = 64 << 10  # bytes of a flood that are handed to the event loop in one go
_HIGH_WATER = 256 << 10
_RECONNECT_S = 0.05
ID = b"{id}"  # in a flood of requests: it becomes one that no other request has
idents = itertools.count(1)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@dataclass(frozen=True, slots=True)
class Flood:
    """`first`, then `piece` again and again, as fast as the other side takes it.

    `pieces`: how often, None without end.  `every_s`: seconds between two pieces, 0 for none.
    """

    first: bytes = b""
    piece: bytes = b""
    pieces: int | None = 0
    every_s: float = 0.0


HANGS = Flood()
ANSWERS = Flood(OK)


class Flooding(asyncio.Protocol):
    """A connection that floods; what it writes waits for the other side to take it."""

    def __init__(self, *, reads: bool = True) -> None:
        self._reads = reads
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._flood: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None
        self.lost = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=_HIGH_WATER)
        if not self._reads:
            self.transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set()
        self._can_write.set()
        if self._flood is not None:
            self._flood.cancel()

    def pause_writing(self) -> None:
        self._can_write.clear()

    def resume_writing(self) -> None:
        self._can_write.set()

    def begin(self, flood: Flood) -> None:
        """Send it; one that is still being sent goes on no more."""
        if self._flood is not None:
            self._flood.cancel()
        self._flood = asyncio.get_running_loop().create_task(self._send(flood))

    async def _send(self, flood: Flood) -> None:
        assert self.transport is not None
        self.transport.write(flood.first)
        if not flood.piece:
            return
        at_once = 1 if flood.every_s else max(_WRITE_AT_ONCE // len(flood.piece), 1)
        left = flood.pieces
        while not self.transport.is_closing() and left != 0:
            count = at_once if left is None else min(at_once, left)
            self.transport.write(flood.piece * count)
            left = None if left is None else left - count
            await asyncio.sleep(flood.every_s)
            await self._can_write.wait()


class _ServerSide(Flooding):
    """Answers each head that came whole."""

    def __init__(self, server: HostileServer) -> None:
        super().__init__()
        self._server = server
        self._part = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self._part += data
        while b"\r\n\r\n" in self._part:
            head, _, self._part = self._part.partition(b"\r\n\r\n")
            self._server.heard += 1
            self.begin(self._server.answer(head.partition(b"\r\n")[0]))
        self._part = self._part[-_WRITE_AT_ONCE:]


class HostileServer:
    """A server of requests without bodies; `answer` says what a request, by its first line, gets."""

    def __init__(self, answer: Callable[[bytes], Flood]) -> None:
        self.answer = answer
        self.heard = 0
        self.connections: set[_ServerSide] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; give the address."""
        self._server = await asyncio.get_running_loop().create_server(lambda: _ServerSide(self), HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Cut every connection that is open."""
        for each in list(self.connections):
            if each.transport is not None:
                each.transport.abort()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()


@dataclass(frozen=True, slots=True)
class Crowd:
    """So many clients that each connect, flood, and connect anew when they are shut out."""

    count: int
    flood: Flood
    reads: bool = True
    leaves_after_s: float | None = None  # then it closes and connects anew; None: it stays


def _with_ids(flood: Flood) -> Flood:
    """The same; each of its requests has an id that no other request has."""
    first, *rest = flood.first.split(ID)
    return replace(flood, first=first + b"".join(b"h-%d" % next(idents) + each for each in rest))


def _giving(made: Flooding) -> Callable[[], Flooding]:
    return lambda: made


async def run_crowd(crowd: Crowd, port: int, seconds: float) -> None:
    """Play it for so long; every connection is closed at the end."""

    async def client() -> None:
        while True:
            made = Flooding(reads=crowd.reads)
            try:
                await asyncio.get_running_loop().create_connection(_giving(made), HOST, port)
                made.begin(_with_ids(crowd.flood))
                async with asyncio.timeout(crowd.leaves_after_s):
                    await made.lost.wait()
            except (OSError, TimeoutError):
                pass
            finally:
                if made.transport is not None:
                    made.transport.abort()
            await asyncio.sleep(_RECONNECT_S)

    tasks = [asyncio.create_task(client()) for _ in range(crowd.count)]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def listed(addresses: list[str]) -> dict[str, Any]:
    """A whole list of servers in discovery's form."""
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


def whole(body: bytes) -> Flood:
    """An answer with a body, in order."""
    return Flood(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def list_answer(listing: dict[str, Any]) -> Flood:
    return whole(json.dumps(listing).encode())


@contextlib.asynccontextmanager
async def running(server: HostileServer) -> Any:
    """A server from its start to its end; gives the address."""
    try:
        yield await server.start()
    finally:
        server.stop()
