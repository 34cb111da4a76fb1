"""Each request gets its final answer at most half a second after its deadline."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

import pytest
from loopback import (
    OK,
    Client,
    Harness,
    ReceivedRequest,
    async_test,
    raw_client,
    read_head,
    request,
    run_harness,
    soon,
    until,
)

MAX_LATE_S = 0.5
TIMEOUT_S = 0.4
BLOCKED_S = 0.35  # the event loop is blocked
PART = b"x" * 8_192
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
STALLED = {
    "chunked": CHUNKED + b"%x\r\n%b\r\n" % (len(PART), PART),
    "no length": UNTIL_CLOSE + PART,
}


async def assert_ends_in_time(client: Client, began: float) -> None:
    """Check that the connection ends within `MAX_LATE_S` of the deadline."""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while await soon(client.reader.read(65_536)):
            pass
    assert time.monotonic() - began <= TIMEOUT_S + MAX_LATE_S


@pytest.mark.parametrize(
    ("form", "every_s"), [("chunked", 0.0), ("no length", 0.0), ("chunked", 0.05), ("chunked", 0.2)]
)
@async_test
async def test_a_begun_answer_that_stalls_or_drips_ends_by_its_deadline(form: str, every_s: float) -> None:
    writers: list[asyncio.Task[None]] = []

    async def begin(received: ReceivedRequest) -> bytes:
        async def write_slowly() -> None:
            while every_s and not received.writer.is_closing():
                received.writer.write(b"1\r\nx\r\n")
                await asyncio.sleep(every_s)

        writers.append(asyncio.create_task(write_slowly()))
        return STALLED[form]

    async with run_harness(begin) as harness:
        client = await harness.client()
        began = time.monotonic()
        client.send(request("lodge", timeout=str(TIMEOUT_S)))
        first, _ = await soon(read_head(client.reader))
        assert first.split(" ")[1] == "200"  # the answer has begun
        await assert_ends_in_time(client, began)
        for each in writers:
            each.cancel()


@pytest.mark.parametrize("form", ["length", "chunked"])
@async_test
async def test_a_large_answer_that_goes_on_is_not_cut_at_its_deadline(form: str) -> None:
    # Of an answer over 64 KiB only the first bytes are bound by the deadline.
    pieces, piece = 12, b"y" * 16_384

    async def begin(received: ReceivedRequest) -> bytes:
        writer = received.writer
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (pieces * len(piece))
        writer.write(CHUNKED if form == "chunked" else head)
        for number in range(pieces):
            await asyncio.sleep(0.0 if number < 6 else 0.25)  # 96 KiB at once, then slowly
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if form == "chunked" else piece)
        return b"0\r\n\r\n" if form == "chunked" else b""

    async with run_harness(begin) as harness:
        client = await harness.client()
        client.send(request("lodge", timeout=str(TIMEOUT_S)))
        _, headers = await soon(read_head(client.reader))
        body = b""
        if form == "length":
            body = await soon(client.reader.readexactly(pieces * len(piece)))
        else:
            assert headers["transfer-encoding"] == "chunked"
            while size := int(await soon(client.reader.readline()), 16):
                body += await soon(client.reader.readexactly(size))
                await soon(client.reader.readline())
        assert body == pieces * piece
        await until(lambda: harness.sidecar.open_requests == 0)
        assert not harness.sidecar._engine.invariants.counts  # its first bytes were in time


@contextlib.asynccontextmanager
async def slow_first(takes_s: float) -> AsyncIterator[tuple[Harness, Callable[[], list[str]]]]:
    """Run a server that delays each `lodge`; yield the timeouts of the other requests it received."""

    async def work(received: ReceivedRequest) -> bytes:
        if received.headers["request-class"] == "lodge":
            await asyncio.sleep(takes_s)
        return OK

    async with run_harness(work) as harness:
        yield harness, lambda: [h.headers["request-timeout"] for h in harness.received if h.method == "GET"]


@async_test
async def test_the_deadline_of_a_pipelined_request_counts_from_its_arrival() -> None:
    async with slow_first(0.6) as (harness, checks):
        client = await harness.client()
        behind = request("check", timeout="1.0") + request("check", timeout="0.3") + request("check")
        client.send(request("lodge", timeout="2") + behind)
        # The third request expires before its turn: it is refused and not sent.
        assert [(await client.answer()).status for _ in range(4)] == [200, 200, 503, 200]
        assert [float(each) <= 0.4 + 0.15 for each in checks()] == [True, False]


@async_test
async def test_the_deadline_of_an_unread_request_counts_from_its_arrival() -> None:
    # The event loop is blocked while the request is unread in the socket, on a new or an open connection.
    async with slow_first(0.0) as (harness, checks):
        loop = asyncio.get_running_loop()
        with raw_client(harness) as client:
            client.setblocking(False)
            for timeout, status in ((0.60, b"200"), (0.25, b"503"), (2.0, b"200")):
                client.send(request(timeout=str(timeout)))
                time.sleep(BLOCKED_S)
                assert (await soon(loop.sock_recv(client, 4_096))).split(b" ")[1] == status
        remaining = [float(each) for each in checks()]
        assert len(remaining) == 2 and remaining[0] < 0.35 and remaining[1] < 1.75
        await until(lambda: harness.sidecar.open_requests == 0)
