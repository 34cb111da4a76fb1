"""The minimal cost of a hop for any protocol: uvloop copies bytes between sockets, unparsed.

`python benchmarks/byte_relay.py ADDRESS` prints its port and relays until it is killed.
"""

from __future__ import annotations

import asyncio
import sys

import uvloop


class _Side(asyncio.Protocol):
    def __init__(self) -> None:
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self._pending = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)
        else:
            self._pending += data

    def join(self, other: _Side) -> None:
        self.other, other.other = other, self
        for source, target in ((self, other), (other, self)):
            if source._pending and target.transport is not None:
                target.transport.write(source._pending)

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class _Client(_Side):
    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._address = (host, port)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        _, server = await asyncio.get_running_loop().create_connection(_Side, *self._address)
        self.join(server)


async def _serve(address: str) -> None:
    host, _, port = address.rpartition(":")
    server = await asyncio.get_running_loop().create_server(lambda: _Client(host, int(port)), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(sys.argv[1]))
