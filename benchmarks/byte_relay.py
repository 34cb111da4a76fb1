"""The least that a hop can cost any protocol: bytes from one socket to another, on uvloop, unseen.

`python benchmarks/byte_relay.py ADDRESS` prints its port and relays until it is killed.
"""

from __future__ import annotations

import asyncio
import sys

import uvloop


class _End(asyncio.Protocol):
    def __init__(self) -> None:
        self.other: _End | None = None
        self.transport: asyncio.Transport | None = None
        self._early = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.write(data)
        else:
            self._early += data

    def join(self, other: _End) -> None:
        self.other, other.other = other, self
        for one, two in ((self, other), (other, self)):
            if one._early and two.transport is not None:
                two.transport.write(one._early)

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class _Client(_End):
    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self._address = (host, port)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        _, server = await asyncio.get_running_loop().create_connection(_End, *self._address)
        self.join(server)


async def _serve(address: str) -> None:
    host, _, port = address.rpartition(":")
    server = await asyncio.get_running_loop().create_server(lambda: _Client(host, int(port)), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(sys.argv[1]))
