"""Guards against cutting off an answer that pauses, where no other server can answer."""

from __future__ import annotations

import asyncio
import time
from itertools import pairwise

import pytest
from loopback import ReceivedRequest, Script, async_test, read_head, request, run_harness, soon, until
from test_bodies import content

LARGE, SMALL = 200_000, 3_500
FORMS = {
    "length": b"Content-Length: %d\r\n\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n",
    "until close": b"Connection: close\r\n\r\n",
}
MAX_LATE_S = 0.5


def encoded(form: str, body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\n" + FORMS[form]
    if form == "length":
        return head % len(body) + body
    return head + (b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body) if form == "chunked" else body)


def pausing(form: str, body: bytes, pauses: dict[int, float]) -> Script:
    """Answer in pieces: before the byte at each offset (from the end of the head), pause for so long."""

    async def script(received: ReceivedRequest) -> bytes:
        raw = encoded(form, body)
        start = raw.index(b"\r\n\r\n") + 4
        cuts = [0, *(start + offset for offset in sorted(pauses)), len(raw)]
        for begin, end in pairwise(cuts):
            if begin:
                await asyncio.sleep(pauses[begin - start])
            if received.writer.is_closing():
                break
            received.writer.write(raw[begin:end])
        if form == "until close":
            await received.writer.drain()
            received.writer.close()
        return b""

    return script


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Read an answer of any framing to its end."""
    first, headers = await soon(read_head(reader))
    if "content-length" in headers:
        body = await soon(reader.readexactly(int(headers["content-length"])))
    elif headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await soon(reader.readline()), 16):
            body += await soon(reader.readexactly(size))
            await soon(reader.readline())
    else:
        body = await soon(reader.read())
    return int(first.split(" ")[1]), body


@pytest.mark.parametrize("kind", ["lodge", "check"])
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("pauses", [{0: 0.8}, {3_000: 0.4}, {0: 0.4, 2_000: 0.4, 50_000: 0.4}], ids=str)
@async_test
async def test_a_large_answer_that_pauses_is_passed_on_whole(
    kind: str, form: str, pauses: dict[int, float]
) -> None:
    body = content(LARGE)
    script = pausing(form, body, pauses)
    async with run_harness(script, script, script) as harness:
        client = await harness.client()
        client.send(request(kind, timeout="2.5"))
        assert await read_answer(client.reader) == (200, body)


@async_test
async def test_the_first_bytes_of_a_large_answer_that_pauses_are_in_time() -> None:
    body = content(LARGE)
    script = pausing("length", body, {0: 0.9})
    async with run_harness(script, script, script) as harness:
        client = await harness.client()
        began = time.monotonic()
        client.send(request("check", timeout="0.6"))
        first, headers = await soon(read_head(client.reader))
        assert (first.split(" ")[1], time.monotonic() - began < 0.6) == ("200", True)
        assert await soon(client.reader.readexactly(int(headers["content-length"]))) == body


@pytest.mark.parametrize("kind", ["lodge", "check"])
@pytest.mark.parametrize("offset", [-10, 0, 1_000], ids=["in the head", "after the head", "in the body"])
@async_test
async def test_a_small_answer_that_pauses_is_served(kind: str, offset: int) -> None:
    body = content(SMALL)
    script = pausing("length", body, {offset: 0.5})
    async with run_harness(script, script, script) as harness:
        client = await harness.client()
        client.send(request(kind, timeout="2.0"))
        assert await read_answer(client.reader) == (200, body)


@pytest.mark.parametrize("form", ["length", "chunked"])
@async_test
async def test_an_unsafe_request_whose_answer_never_ends_fails_in_time(form: str) -> None:
    body = content(SMALL)
    script = pausing(form, body, {1_000: 20.0})
    async with run_harness(script, script) as harness:
        client = await harness.client()
        began = time.monotonic()
        client.send(request("lodge", timeout="0.8", Connection="close"))
        answer = await soon(client.reader.read())  # to the close
        assert time.monotonic() - began <= 0.8 + MAX_LATE_S
        assert not answer.endswith(b"\r\n0\r\n\r\n") and body not in answer
        assert len(harness.received) == 1
        await until(lambda: harness.sidecar.open_requests == 0)


@async_test
async def test_an_answer_that_pauses_in_a_long_trailer_is_not_begun() -> None:
    async def script(received: ReceivedRequest) -> bytes:
        received.writer.write(b"HTTP/1.1 200 OK\r\n" + FORMS["chunked"] + b"2\r\nok\r\n")
        await asyncio.sleep(0.05)
        return b"0\r\nx: " + b"v" * 200

    async with run_harness(script) as harness:
        assert (await harness.exchange("lodge", timeout="0.6")).status == 504
