"""Large and slow bodies: streamed in bounded memory, and never sent twice."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import pytest
from loopback import (
    HOST,
    WAIT_TIMEOUT_S,
    Client,
    Harness,
    async_test,
    read_head,
    request,
    reuse_delay_passed,
    run_harness,
    soon,
    until,
)

from micadeck.http.body_stream import BodyStream
from micadeck.http.buffer_budget import MAX_BUFFERED_BYTES, BufferBudget
from micadeck.http.client import ClientConnection
from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.downstream_connection import DownstreamConnection
from micadeck.http.h1 import RequestReader, ResponseReader
from micadeck.http.messages import Request, Response
from micadeck.network import MAX_TURN_BYTES

LARGE = 4 << 20
ADMIN = {"operator": f"{HOST}:0"}


# The body stream


class StreamEnds:
    """Records what a body stream does to its writer and reader."""

    def __init__(self, max_bytes: int = 1 << 20, length: int | None = None) -> None:
        self.budget = BufferBudget(max_bytes)
        self.paused = False
        self.out = b""
        self.ends = 0
        self.stream = BodyStream(self.budget, length, self._pause, self._resume)

    def _pause(self) -> None:
        assert not self.paused
        self.paused = True

    def _resume(self) -> None:
        assert self.paused
        self.paused = False

    def take(self, data: bytes) -> None:
        assert self.ends == 0
        self.out += data

    def ended(self) -> None:
        self.ends += 1


def test_a_stream_pauses_its_writer_and_keeps_the_order() -> None:
    ends = StreamEnds()
    given = [bytes([number]) * 20_000 for number in range(12)]
    for each in given[:4]:
        ends.stream.put(each)
    assert ends.paused  # it has no reader yet
    ends.stream.open(ends.take, ends.ended)
    assert not ends.paused and ends.out == b"".join(given[:4]) and ends.budget.held == 0
    ends.stream.block()
    for each in given[4:]:
        ends.stream.put(each)
    ends.stream.end()
    assert ends.paused and ends.ends == 0
    ends.stream.unblock()
    assert ends.out == b"".join(given) and ends.ends == 1
    assert (ends.budget.held, ends.budget.open_streams) == (0, 0)
    ends.stream.drop()
    assert (ends.budget.held, ends.budget.open_streams) == (0, 0)


def test_a_dropped_stream_frees_its_buffer_and_resumes_its_writer() -> None:
    ends = StreamEnds()
    ends.stream.put(b"x" * 100_000)
    assert ends.paused and ends.budget.held == 100_000
    ends.stream.drop()
    assert not ends.paused and (ends.budget.held, ends.budget.open_streams) == (0, 0)
    ends.stream.put(b"more")
    ends.stream.end()
    assert ends.budget.held == 0 and ends.ends == 0


def test_many_streams_share_one_budget() -> None:
    budget = BufferBudget(400_000)
    pipes = [BodyStream(budget, None, lambda: None, lambda: None) for _ in range(40)]
    for _ in range(100):
        for each in pipes:
            if not each.is_paused:
                each.put(b"x" * 1_000)
    assert budget.held <= 400_000 + 40 * 1_000
    for each in pipes:
        each.drop()
    assert (budget.held, budget.open_streams) == (0, 0)


# Parsing in pieces of any size


def read_cut(raw: bytes, size: int) -> list[tuple[bytes, bool]]:
    budget = BufferBudget(1 << 30)
    reader = RequestReader(1 << 24, lambda length: BodyStream(budget, length, lambda: None, lambda: None))
    for at in range(0, len(raw), size):
        reader.feed(raw[at : at + size])
    assert reader.error_status is None
    parsed_bodies = []
    for each in reader.requests:
        if each.stream is None:
            parsed_bodies.append((each.body, False))
        else:
            out: list[bytes] = []
            ended: list[bool] = []
            each.stream.open(out.append, partial(ended.append, True))
            assert ended == [True]
            parsed_bodies.append((b"".join(out), True))
    return parsed_bodies


@pytest.mark.parametrize("size", [1 << 20, 65_536, 4_096, 997, 64])
def test_bodies_are_read_in_pieces_of_any_size(size: int) -> None:
    small, large = b"s" * 900, bytes(range(256)) * 500
    chunks = b"".join(
        b"%x;name=value\r\n%b\r\n" % (len(large[at : at + 700]), large[at : at + 700])
        for at in range(0, len(large), 700)
    )
    raw = (
        request("lodge", body=small)
        + request("lodge", body=large)
        + request("lodge", Content_Length="", Transfer_Encoding="chunked")
        + chunks
        + b"0\r\nTrailer-Field: passed over\r\n\r\n"
        + request("lodge", body=small)
    )
    assert read_cut(raw, size) == [(small, False), (large, True), (large, True), (small, False)]


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_a_chunked_body_is_rejected_as_it_passes_the_limit() -> None:
    budget = BufferBudget(1 << 30)
    reader = RequestReader(100_000, lambda length: BodyStream(budget, length, lambda: None, lambda: None))
    reader.feed(request("lodge", Content_Length="", Transfer_Encoding="chunked"))
    for _ in range(10):
        reader.feed(b"2710\r\n" + b"x" * 10_000 + b"\r\n")
        assert reader.error_status is None
    reader.feed(b"1\r\nx\r\n")
    assert reader.error_status == 413
    reader.release()


ANSWERS: list[tuple[str, bytes, bytes | None]] = [
    ("length", b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", b"abc"),
    (
        "chunked",
        CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
        b"abc",
    ),
    (
        "trailer",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nLate: x\r\n\r\n",
        b"abc",
    ),
    ("1xx ahead", b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""),
    ("204", b"HTTP/1.1 204 None\r\n\r\n", b""),
    ("304", b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", b""),
    ("to the end", b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", b"abc"),
    ("to the end, 1.0", b"HTTP/1.0 200 OK\r\n\r\nabc", b"abc"),
    ("no frame", b"HTTP/1.1 200 OK\r\n\r\nabc", None),
    ("cut", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", None),
    ("cut chunk", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", None),
    ("two lengths", b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", None),
    ("3 GB", b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", None),
]


@pytest.mark.parametrize("cut", [1, 7, 1_000])
@pytest.mark.parametrize(("raw", "body"), [each[1:] for each in ANSWERS], ids=[each[0] for each in ANSWERS])
def test_each_framing_of_a_response(raw: bytes, body: bytes | None, cut: int) -> None:
    reader = ResponseReader(1 << 20)
    for at in range(0, len(raw), cut):
        reader.feed(raw[at : at + cut])
    reader.end()
    assert (None if reader.response is None or reader.is_malformed else reader.response.body) == body


def test_only_large_successful_responses_are_streamed() -> None:
    budget = BufferBudget(1 << 30)
    for status, size, passed in (
        (200, MAX_BUFFERED_BYTES, 0),
        (200, MAX_BUFFERED_BYTES + 1, 1),
        (500, MAX_BUFFERED_BYTES + 1, 0),
    ):
        begun: list[Response] = []

        def begin(response: Response, begun: list[Response] = begun) -> bool:
            begun.append(response)
            return True

        reader = ResponseReader(
            1 << 20, lambda length: BodyStream(budget, length, lambda: None, lambda: None)
        )
        reader.expect(begin)
        reader.feed(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, size) + b"x" * size)
        assert len(begun) == passed
        assert reader.is_malformed == (status == 500)
        if begun:
            assert begun[0].stream is not None and begun[0].stream.length == size
            begun[0].stream.drop()


# Over sockets


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


class CallbackServer:
    """Runs a function for each connection."""

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.connections = 0
        self.complete_digests: list[bytes] = []  # of bodies received to their last byte
        self._server: asyncio.Server | None = None

    async def start(self) -> CallbackServer:
        self._server = await asyncio.start_server(self._run, HOST, 0)
        return self

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number, self.connections = self.connections, self.connections + 1
        try:
            await self.serve(reader, writer, number)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    @property
    def entry(self) -> dict[str, Any]:
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        return {"id": "h-0", "addr": f"{HOST}:{port}", "zone": "a", "kind": "", "cell": 1, "state": "active"}

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


@asynccontextmanager
async def sidecar_with_server(
    serve: Serve, overrides: dict[str, Any] = ADMIN, **how: Any
) -> AsyncIterator[tuple[CallbackServer, Harness]]:
    """Run a sidecar with one server; at the end no body may be left in its buffers."""
    server = await CallbackServer(serve).start()
    async with run_harness(extra_entries=[server.entry], overrides=overrides, **how) as harness:
        yield server, harness
        await until(lambda: harness.sidecar.open_requests == 0)
        budget = harness.sidecar._runtime.buffer_budget
        assert (budget.held, budget.open_streams) == (0, 0)
    server.stop()


def answers(body: bytes = b"", expected: bytes | None = None) -> Serve:
    """Read each request to its end, compare its body with `expected` if given, then answer."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        while True:
            _, headers = await read_head(reader)
            assert "expect" not in headers
            body_received = await read_body(reader, headers)
            assert expected in (None, body_received)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()

    return serve


def content(size: int) -> bytes:
    return (hashlib.sha256(b"%d" % size).digest() * (size // 32 + 1))[:size]


@pytest.mark.parametrize("framing", ["length", "chunked"])
@async_test
async def test_large_bodies_are_forwarded_unchanged_both_ways(framing: str) -> None:
    answer, body = content(LARGE), content(LARGE + 7)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        while True:
            _, headers = await read_head(reader)
            server.complete_digests.append(hashlib.sha256(await read_body(reader, headers)).digest())
            if framing == "length":
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                for at in range(0, len(answer), 50_000):
                    part = answer[at : at + 50_000]
                    writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                writer.write(b"0\r\n\r\n")
            await writer.drain()

    async with sidecar_with_server(serve) as (server, harness):
        client = await harness.client()
        for _ in range(2):  # on one connection
            if framing == "length":
                client.send(request("lodge", body=body))
            else:
                client.send(request("lodge", Content_Length="", Transfer_Encoding="chunked"))
                for at in range(0, len(body), 70_000):
                    part = body[at : at + 70_000]
                    client.send(b"%x\r\n%b\r\n" % (len(part), part))
                client.send(b"0\r\n\r\n")
            first, headers = await soon(read_head(client.reader))
            assert first.split(" ")[1] == "200"
            assert ("content-length" in headers) == (framing == "length")
            assert await soon(read_body(client.reader, headers)) == answer
            await reuse_delay_passed()
        assert server.complete_digests == [hashlib.sha256(body).digest()] * 2
        assert server.connections == 1  # it was reused
        await until(lambda: harness.sidecar.open_requests == 0)
        assert b"handled.lodge.passed:2|c" in harness.sidecar.statistics_report()


@pytest.mark.parametrize("stop_after", [0, 1_000, 100_000, LARGE])
@async_test
async def test_a_large_request_whose_server_breaks_is_refused_before_its_last_byte_and_failed_after(
    stop_after: int,
) -> None:
    # Rule 2: a server starts work at the last byte. What was sent is not kept, so there is no retry.
    body = content(LARGE)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_head(reader)
        await reader.readexactly(stop_after)
        writer.transport.abort()

    async with sidecar_with_server(serve) as (server, harness):
        client = await harness.client()
        client.send(request("lodge", body=body))
        answer = await client.answer()
        assert answer.status == (502 if stop_after == LARGE else 503)
        assert server.connections == 1


@async_test
async def test_a_large_request_is_retried_while_nothing_of_it_was_sent() -> None:
    body = content(LARGE)
    server = await CallbackServer(answers()).start()
    with socket.socket() as not_listening:  # a port that refuses
        not_listening.bind((HOST, 0))
        refusing = {**server.entry, "id": "h-1", "addr": f"{HOST}:{not_listening.getsockname()[1]}"}
        async with run_harness(extra_entries=[server.entry, refusing], overrides=ADMIN) as harness:
            for _ in range(6):
                client = await harness.client()
                client.send(request("lodge", body=body))
                assert (await client.answer()).status == 200
    server.stop()


@async_test
async def test_a_truncated_response_is_never_taken_for_complete() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_head(reader)
        if number % 2:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 200_000)
        else:
            writer.write(CHUNKED + b"30d40\r\n" + b"x" * 200_000)
        await writer.drain()
        await asyncio.sleep(0.05)

    async with sidecar_with_server(serve) as (server, harness):
        for _ in range(2):
            client = await harness.client()
            client.send(request("check"))
            _, headers = await soon(read_head(client.reader))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await soon(read_body(client.reader, headers))
        await until(lambda: harness.sidecar.open_requests == 0)
        assert server.connections == 2  # an answer that has begun is not retried
        assert b"handled.check.bad_gateway:2|c" in harness.sidecar.statistics_report()


@async_test
async def test_a_slow_reader_delays_only_its_own_answer_in_bounded_memory() -> None:
    answer = content(LARGE)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        while True:
            line, _ = await read_head(reader)
            size = LARGE if "large" in line else 6
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + answer[:size])
            await writer.drain()

    async with sidecar_with_server(serve, client_limits=DownstreamLimits(write_stall_s=1.5)) as (_, harness):
        budget = harness.sidecar._runtime.buffer_budget
        slow: list[Client] = []
        for _ in range(10):
            small_buffer = socket.socket()
            small_buffer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            small_buffer.setblocking(False)
            await asyncio.get_running_loop().sock_connect(small_buffer, (HOST, harness.sidecar.listener.port))
            client = Client(*await asyncio.open_connection(sock=small_buffer, limit=1_024))
            client.send(request("check", target="/large"))
            slow.append(client)
        await until(lambda: budget.open_streams == 10)
        for _ in range(20):
            assert (await harness.exchange("check")).status == 200  # other clients do not wait
        assert budget.held <= 10 * (96 << 10)
        # After the stall timeout each is disconnected, and its client can detect the truncation.
        await until(lambda: budget.open_streams == 0)
        for client in slow:
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await soon(read_head(client.reader))
                await soon(client.reader.readexactly(LARGE))
            client.close()


@async_test
async def test_connections_of_clients_that_do_not_read_are_closed_for_a_new_one() -> None:
    # Guards against a few clients that hold all connections and shut out all others.

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        line, _ = await read_head(reader)
        size = LARGE if "large" in line else 6
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))
        await reader.read()  # until the sidecar closes the connection

    limits = DownstreamLimits(stall_s=0.4)
    async with sidecar_with_server(serve, overrides={"limits": {"sockets": 64}}, client_limits=limits) as (
        _,
        harness,
    ):
        connections = harness.sidecar.listener.connections
        stalled_clients = [await connect_without_reading(harness) for _ in range(connections.max_connections)]
        began = time.monotonic()
        while not await is_served(harness):
            assert time.monotonic() - began < 5.0
            await asyncio.sleep(0.05)
        assert len(connections) >= connections.max_connections - 1  # at most one had to be closed
        for each in stalled_clients:
            each.close()


async def connect_without_reading(harness: Harness) -> socket.socket:
    """Connect a client that requests a large answer and never reads."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, (HOST, harness.sidecar.listener.port))
    await loop.sock_sendall(client, request("check", timeout="3.0", target="/large"))
    return client


async def is_served(harness: Harness) -> bool:
    """Whether a request on a new connection is served."""
    client = await harness.client()
    try:
        client.send(request("check"))
        return (await client.answer()).status == 200
    except (ConnectionError, asyncio.IncompleteReadError):
        return False
    finally:
        client.close()


@async_test
async def test_a_client_disconnect_amid_its_answer_ends_the_attempt() -> None:
    ended = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n")
        try:
            for _ in range(300):
                writer.write(b"x" * 100_000)
                await writer.drain()
        finally:
            ended.set()

    async with sidecar_with_server(serve) as (_, harness):
        client = await harness.client()
        client.send(request("check"))
        await soon(read_head(client.reader))
        client.writer.transport.abort()
        await soon(ended.wait())


@async_test
async def test_the_deadline_of_a_slow_body_counts_from_its_last_byte() -> None:
    body = content(150_000)
    async with sidecar_with_server(answers(expected=body)) as (_, harness):
        client = await harness.client()
        raw = request("lodge", timeout="0.3", body=body)
        head, rest = raw[:80_000], raw[80_000:]
        client.send(head)
        for at in range(0, len(rest), 10_000):
            await asyncio.sleep(0.1)  # 0.8 s in all, far beyond its timeout
            client.send(rest[at : at + 10_000])
        assert (await client.answer()).status == 200


@async_test
async def test_a_stalled_body_gets_408_and_reaches_no_server_complete() -> None:
    broken = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        _, headers = await read_head(reader)
        try:
            await read_body(reader, headers)
        except (asyncio.IncompleteReadError, ConnectionError):
            broken.set()

    async with sidecar_with_server(serve, client_limits=DownstreamLimits(stall_s=0.3, sweep_s=0.02)) as (
        _,
        harness,
    ):
        client = await harness.client()
        client.send(request("lodge", body=content(LARGE))[:200_000])
        assert (await client.answer()).status == 408
        await soon(broken.wait())


@async_test
async def test_a_client_with_a_large_body_gets_100_continue() -> None:
    body = content(200_000)
    async with sidecar_with_server(answers(expected=body)) as (_, harness):
        client = await harness.client()
        raw = request("lodge", body=body, Expect="100-continue")
        head = raw[: len(raw) - len(body)]
        client.send(head)
        assert (await soon(client.reader.readuntil(b"\r\n\r\n"))).startswith(b"HTTP/1.1 100 ")
        client.send(body)
        assert (await client.answer()).status == 200


@async_test
async def test_requests_pipelined_after_a_large_body_are_answered_in_order() -> None:
    body = content(300_000)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        while True:
            _, headers = await read_head(reader)
            size = len(await read_body(reader, headers))
            await asyncio.sleep(0.02)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"y" * size)
            await writer.drain()

    async with sidecar_with_server(serve) as (_, harness):
        client = await harness.client()
        client.send(request("lodge", body=body) + request("check") + request("lodge", body=b"end"))
        sizes = []
        for _ in range(3):
            answer = await client.answer()
            assert answer.status == 200
            sizes.append(len(answer.body))
        assert sizes == [300_000, 0, 3]


@async_test
async def test_a_client_of_http_1_0_gets_no_chunks() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + b"x" * 100_000)
        writer.write(b"\r\n0\r\n\r\n")
        await writer.drain()

    async with sidecar_with_server(serve) as (_, harness):
        client = await harness.client()
        client.send(request("check").replace(b"HTTP/1.1", b"HTTP/1.0"))
        _, headers = await soon(read_head(client.reader))
        assert headers["connection"] == "close" and "transfer-encoding" not in headers
        assert await soon(client.reader.read()) == b"x" * 100_000


@async_test
async def test_ten_bodies_each_way_at_once_take_little_memory() -> None:
    size = 8 << 20

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        _, headers = await read_head(reader)
        left = int(headers["content-length"])
        while left:
            left -= len(await reader.read(min(left, 1 << 16)))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // 65_536):
            writer.write(b"x" * 65_536)
            await writer.drain()

    async def client(harness: Harness) -> None:
        one = await harness.client()
        one.send(request("lodge", body=b"", Content_Length=str(size)))
        for _ in range(size // 65_536):
            one.send(b"y" * 65_536)
            await one.writer.drain()
        _, headers = await soon(read_head(one.reader))
        left = int(headers["content-length"])
        while left:
            left -= len(await asyncio.wait_for(one.reader.read(1 << 16), WAIT_TIMEOUT_S))

    async with sidecar_with_server(serve) as (_, harness):
        budget = harness.sidecar._runtime.buffer_budget
        most = 0

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, budget.held)
                await asyncio.sleep(0.001)

        watching = asyncio.ensure_future(watch())
        await asyncio.gather(*(client(harness) for _ in range(10)))
        watching.cancel()
        assert most <= budget.max_bytes


def test_the_encoded_head_of_a_streamed_request_has_no_body() -> None:
    budget = BufferBudget(1)
    for length, body in ((5, b""), (None, b"")):
        stream = BodyStream(budget, length, lambda: None, lambda: None)
        made = Request(b"POST", b"/", [(b"host", b"x")], b"", True, stream)
        assert made.encode() == b"POST / HTTP/1.1\r\nhost: x\r\n\r\n" + body
        stream.drop()


@async_test
async def test_a_request_whose_response_is_shorter_than_declared_is_retried() -> None:
    # Guards against beginning an answer on its head alone: once it has begun, no retry is possible.
    async def truncates(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n" + b"x" * 1_000)
        await asyncio.sleep(WAIT_TIMEOUT_S)

    truncating, other = await CallbackServer(truncates).start(), await CallbackServer(answers(b"ok")).start()
    async with run_harness(
        extra_entries=[truncating.entry, {**other.entry, "id": "h-1"}], overrides=ADMIN
    ) as harness:
        assert [(await harness.exchange("check")).status for _ in range(6)] == [200] * 6
    assert truncating.connections > 0
    truncating.stop()
    other.stop()


@async_test
async def test_endless_bodies_do_not_shut_out_a_new_client() -> None:
    given = {**ADMIN, "limits": {"sockets": 80, "memory_mb": 16}}
    async with sidecar_with_server(answers(b"ok"), given) as (_, harness):
        frontend = harness.sidecar.listener
        for _ in range(frontend.connections.max_connections):
            client = await harness.client()
            client.send(request("lodge", body=content(LARGE))[:100_000])
        await until(lambda: harness.sidecar.open_requests == frontend.connections.max_connections)
        # 503 if connections to servers are exhausted.
        assert (await harness.exchange("check")).status in (200, 503)
        assert len(frontend.connections) <= frontend.connections.max_connections


@pytest.mark.parametrize("side", ["client", "server"])
@async_test
async def test_a_large_body_is_read_in_turns(side: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an event loop that is held up for as long as many peers send at full speed."""
    read_by_turn: dict[tuple[object, int], int] = {}
    turn = 0
    protocol = DownstreamConnection if side == "client" else ClientConnection
    buffer_updated = protocol.buffer_updated

    def counting(self: Any, nbytes: int) -> None:
        read_by_turn[self, turn] = read_by_turn.get((self, turn), 0) + nbytes
        buffer_updated(self, nbytes)

    def next_turn() -> None:
        nonlocal turn
        turn += 1
        asyncio.get_running_loop().call_soon(next_turn)

    monkeypatch.setattr(protocol, "buffer_updated", counting)
    body = content(LARGE) if side == "client" else b""
    answer = content(LARGE) if side == "server" else b"ok"
    async with sidecar_with_server(answers(answer, expected=body)) as (_, harness):
        next_turn()
        client = await harness.client()
        client.send(request("lodge", body=body))
        assert (await client.answer()).body == answer
    assert max(read_by_turn.values()) < 2 * MAX_TURN_BYTES + MAX_BUFFERED_BYTES
