"""A proxy that sends every response twice."""

from __future__ import annotations

import asyncio
import random

from loopback import HOST

from micadeck.network import parse_address

MAX_LAG_S = 0.009  # from a response to its duplicate
_READ_BYTES = 1 << 16


class DuplicatingProxy:
    """Forwards connections to one server; the duplicates follow some milliseconds later."""

    def __init__(self, target: str) -> None:
        self._target = parse_address(target)
        self._rng = random.Random(1)
        self.duplicates = 0

    async def start(self) -> DuplicatingProxy:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    @property
    def address(self) -> str:
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        self._server.close()

    async def _serve(self, client_reader: asyncio.StreamReader, client: asyncio.StreamWriter) -> None:
        server_reader, server = await asyncio.open_connection(*self._target)
        requests = asyncio.ensure_future(_forward(client_reader, server))
        try:
            while data := await server_reader.read(_READ_BYTES):
                client.write(data)
                await asyncio.sleep(self._rng.uniform(0.0, MAX_LAG_S))
                if client.transport.is_closing():
                    return
                client.write(data)
                self.duplicates += 1
        finally:
            requests.cancel()
            client.close()
            server.close()


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(_READ_BYTES):
        writer.write(data)
    writer.close()
