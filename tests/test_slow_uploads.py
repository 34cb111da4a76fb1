"""Guards against answers after their time to large requests that a server reads slowly, or not to their end.

The kernel's buffers to servers are small here: otherwise they take a whole request from the sidecar at once.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, closing

import pytest
from loopback import HOST, Harness, async_test, raw_client, read_head, request, run_harness, soon, until
from test_bodies import CallbackServer, content

from micadeck.http.client import ClientConnection

SMALL_BUFFER_BYTES = 16 << 10
MAX_LATE_S = 0.5
READ_BYTES = 4 << 10


@pytest.fixture(autouse=True)
def _small_send_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    connection_made = ClientConnection.connection_made

    def with_small_buffer(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as own:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        connection_made(self, transport)

    monkeypatch.setattr(ClientConnection, "connection_made", with_small_buffer)


class SlowServer:
    """Reads each connection at a rate, up to a number of bytes, and answers at the end of a body."""

    def __init__(self, bytes_per_s: float, stops_at: int, size: int) -> None:
        self._interval_s = READ_BYTES / bytes_per_s
        self._stops_at = stops_at
        self._size = size
        self.requests = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._listener = socket.create_server((HOST, 0))
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self._listener.setblocking(False)
        self.entry = {
            "id": "h-0",
            "addr": f"{HOST}:{self._listener.getsockname()[1]}",
            "zone": "a",
            "kind": "",
            "cell": 1,
            "state": "active",
        }
        self._tasks.append(asyncio.create_task(self._accept()))

    async def _accept(self) -> None:
        while True:
            accepted, _ = await asyncio.get_running_loop().sock_accept(self._listener)
            accepted.setblocking(False)
            self._tasks.append(asyncio.create_task(self._serve(accepted)))

    async def _serve(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self.requests += 1
        received = 0
        with closing(accepted):
            while received < self._size:
                if received >= self._stops_at:
                    await asyncio.sleep(60.0)
                data = await loop.sock_recv(accepted, READ_BYTES)
                if not data:
                    return
                received += len(data)
                await asyncio.sleep(self._interval_s)
            await loop.sock_sendall(accepted, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await asyncio.sleep(1.0)

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._listener.close()


@asynccontextmanager
async def slow_server(bytes_per_s: float, stops_at: int, size: int) -> AsyncIterator[Harness]:
    server = SlowServer(bytes_per_s, stops_at, size)
    async with run_harness(extra_entries=[server.entry]) as harness:
        yield harness
        await until(lambda: harness.sidecar.open_requests == 0)
        assert server.requests == 1
        assert not harness.sidecar._engine.invariants.counts
    server.stop()


def chunks(body: bytes) -> Iterator[bytes]:
    for at in range(0, len(body), 20_000):
        part = body[at : at + 20_000]
        yield b"%x\r\n%b\r\n" % (len(part), part)
    yield b"0\r\n\r\n"


def large_request(framing: str, size: int, wait_s: float) -> bytes:
    body = content(size)
    if framing == "length":
        return request("lodge", timeout=str(wait_s), body=body)
    head = request("lodge", timeout=str(wait_s), Content_Length="", Transfer_Encoding="chunked")
    return head + b"".join(chunks(body))


async def status_and_lateness(harness: Harness, raw: bytes, wait_s: float) -> tuple[int, float]:
    """Send a request; return the status, and how late it came, counted from the last byte."""
    loop = asyncio.get_running_loop()
    with raw_client(harness) as client:
        client.setblocking(False)
        answer = asyncio.create_task(loop.sock_recv(client, 4_096))
        sending = asyncio.create_task(loop.sock_sendall(client, raw))
        await soon(asyncio.wait((answer, sending), return_when=asyncio.FIRST_COMPLETED))
        written_at = time.monotonic()
        first = await soon(answer)
        lateness_s = time.monotonic() - written_at - wait_s
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        return int(first.split(b" ")[1]), lateness_s


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("size", [150_000, 300_000, 900_000, 6_000_000])
@pytest.mark.parametrize("wait_s", [0.4, 1.2])
@async_test
async def test_a_large_request_whose_server_stops_reading_fails_in_time(
    wait_s: float, size: int, framing: str
) -> None:
    async with slow_server(1e9, 10_000, size) as harness:
        status, lateness_s = await status_and_lateness(harness, large_request(framing, size, wait_s), wait_s)
        assert status in (503, 504) and lateness_s <= MAX_LATE_S


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize(("bytes_per_s", "wait_s"), [(84e3, 0.6), (300e3, 0.4), (84e3, 2.0)])
@async_test
async def test_a_large_request_whose_server_reads_slowly_fails_in_time(
    bytes_per_s: float, wait_s: float, framing: str
) -> None:
    size = 930_000
    async with slow_server(bytes_per_s, size, size) as harness:
        status, lateness_s = await status_and_lateness(harness, large_request(framing, size, wait_s), wait_s)
        assert status in (503, 504) and lateness_s <= MAX_LATE_S


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_a_large_request_whose_server_reads_in_time_is_served(framing: str) -> None:
    size = 300_000
    async with slow_server(400e3, size, size) as harness:
        raw = large_request(framing, size, 2.0)
        assert (await status_and_lateness(harness, raw, 2.0))[0] == 200


@async_test
async def test_a_client_that_is_held_up_by_its_server_is_served() -> None:
    # It writes for longer than its wait, since what is sent is read no faster.
    size, wait_s = 12_000_000, 1.5
    async with slow_server(4e6, size, size) as harness:
        raw = large_request("length", size, wait_s)
        assert (await status_and_lateness(harness, raw, wait_s))[0] == 200


class HeadServer:
    """Reads a head, and then a whole body, without an answer."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.is_complete = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        _, self.headers = await read_head(reader)
        await reader.readexactly(int(self.headers["content-length"]))
        self.is_complete = True


@async_test
async def test_the_server_of_a_large_request_is_told_no_more_time_than_the_client_waits() -> None:
    server = HeadServer()
    callback_server = await CallbackServer(server.serve).start()
    async with run_harness(extra_entries=[callback_server.entry]) as harness:
        client = await harness.client()
        client.send(large_request("length", 300_000, 0.5)[:-1])
        await until(lambda: bool(server.headers))
        assert float(server.headers["request-timeout"]) <= 0.5
        client.close()
    callback_server.stop()


@async_test
async def test_the_end_of_a_large_request_whose_client_has_left_is_not_sent_on() -> None:
    server = HeadServer()
    callback_server = await CallbackServer(server.serve).start()
    async with run_harness(extra_entries=[callback_server.entry]) as harness:
        raw = large_request("length", 120_000, 2.0)
        with raw_client(harness) as client:
            client.sendall(raw[:100_000])
            await until(lambda: bool(server.headers))
            client.sendall(raw[100_000:])  # the sidecar reads this, and the close, once this returns
        await until(lambda: harness.sidecar.open_requests == 0)
        await asyncio.sleep(0.1)
        assert not server.is_complete
    callback_server.stop()
