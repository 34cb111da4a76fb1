"""Drains and stops while a client has sent several requests at once on its connection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from loopback import Client, Harness, ReceivedRequest, async_test, reply, request, run_harness, soon, until

KINDS = ("check", "lodge", "amend", "lodge")


async def slow(received: ReceivedRequest) -> bytes:
    """Answer with the target of the request."""
    await asyncio.sleep(0.1)
    return reply(received.target.encode())


@asynccontextmanager
async def run_drain(
    sent: bytes, *, is_answered: bool = True, is_stopping: bool = False
) -> AsyncIterator[tuple[Harness, Client]]:
    """Send this on one connection, and drain or stop as the first request runs."""
    async with run_harness(slow if is_answered else None) as harness:
        client = await harness.client()
        client.send(sent)
        await until(lambda: len(harness.received) == 1)
        stopping = asyncio.ensure_future(harness.sidecar.stop()) if is_stopping else None
        assert is_stopping or harness.sidecar.drain()
        yield harness, client
        if stopping is not None:
            await soon(stopping)


@pytest.mark.parametrize("is_stopping", [True, False])
@async_test
async def test_requests_that_were_read_behind_another_are_answered(is_stopping: bool) -> None:
    # Guards against a drain that closes the connection with the answer to the first of them.
    sent = b"".join(request(kind, target=f"/api/{number}") for number, kind in enumerate(KINDS))
    async with run_drain(sent, is_stopping=is_stopping) as (_, client):
        answers = [await client.answer() for _ in KINDS]
        assert [each.body for each in answers] == [b"/api/%d" % number for number in range(len(KINDS))]
        assert ["connection" in each.headers for each in answers] == [False, False, False, True]
        assert await soon(client.reader.read()) == b""


@async_test
async def test_a_request_that_was_read_in_part_is_answered() -> None:
    # Guards against a drain that closes the connection while the rest of the next request is on its way.
    second = request("lodge", target="/api/second")
    async with run_drain(request("lodge", target="/api/first") + second[:20]) as (_, client):
        first = await client.answer()
        assert first.body == b"/api/first" and "connection" not in first.headers
        client.send(second[20:])
        answer = await client.answer()
        assert (answer.body, answer.headers["connection"]) == (b"/api/second", "close")


@async_test
async def test_requests_that_were_not_forwarded_in_time_are_refused() -> None:
    # Guards against the end of a stop that closes the connection on them.
    sent = b"".join(request(kind) for kind in KINDS)
    async with run_drain(sent, is_answered=False) as (harness, client):
        harness.sidecar._engine.fail_open_requests()
        harness.sidecar.listener.connections.close_all()
        answers = [await client.answer() for _ in KINDS]
        assert [each.status for each in answers] == [504, 503, 503, 503]
        assert ["connection" in each.headers for each in answers] == [False, False, False, True]
        assert await soon(client.reader.read()) == b""
        assert len(harness.received) == 1


@async_test
async def test_requests_behind_the_client_s_last_one_get_no_answer() -> None:
    # Guards against answers that the client, which asked for the close, would take for others.
    sent = request("lodge", target="/api/last", Connection="close") + request("lodge")
    async with run_drain(sent) as (harness, client):
        assert (await client.answer()).body == b"/api/last"
        assert await soon(client.reader.read()) == b""
        assert len(harness.received) == 1
