"""The minimal cost of a hop: a uvloop and httptools relay without balancing, limits or retries.

`python benchmarks/relay.py ADDRESS ...` prints its port and relays until it is killed.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from typing import Any

import httptools
import uvloop


class _Upstream(asyncio.Protocol):
    def __init__(self, client: _Client) -> None:
        self._client = client
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray()
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._client.transport.write(bytes(self._buffer))
        self._buffer.clear()


class _Client(asyncio.Protocol):
    def __init__(self, servers: itertools.cycle[tuple[str, int]]) -> None:
        self._address = next(servers)
        self._parser = httptools.HttpRequestParser(self)
        self._buffer = bytearray()
        self._upstream: _Upstream | None = None
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._upstream is not None:
            self._upstream.transport.close()

    def on_message_complete(self) -> None:
        request = bytes(self._buffer)
        self._buffer.clear()
        if self._upstream is not None:
            self._upstream.transport.write(request)
        else:
            self._task = asyncio.get_running_loop().create_task(self._dial(request))

    async def _dial(self, request: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, self._upstream = await loop.create_connection(lambda: _Upstream(self), *self._address)
        self._upstream.transport.write(request)


async def _serve(addresses: list[str]) -> None:
    servers = itertools.cycle((each.split(":")[0], int(each.split(":")[1])) for each in addresses)
    server = await asyncio.get_running_loop().create_server(lambda: _Client(servers), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(sys.argv[1:]))
