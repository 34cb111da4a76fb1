"""Clients that send many requests at once on one connection."""

from __future__ import annotations

import asyncio

import pytest
from loopback import async_test, reply, run_harness, soon, until

HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"  # answered without a server


@async_test
async def test_clients_are_served_between_the_requests_that_another_pipelines() -> None:
    # Guards against an event loop that answers the requests of one client, and nothing else meanwhile.
    async with run_harness(reply(b"ok")) as harness:
        greedy = await harness.client()
        (connection,) = harness.sidecar.listener.connections
        buffer = connection.get_buffer(-1)
        count = len(buffer) // len(HEALTH)
        buffer[:] = (HEALTH * (count + 1))[: len(buffer)]
        connection.buffer_updated(len(buffer))
        assert not connection._transport.is_reading()  # the event loop may read many times before it goes on
        assert (await harness.exchange()).body == b"ok"
        assert connection.has_complete_request
        assert [(await greedy.answer()).status for _ in range(count)] == [200] * count
        await until(connection._transport.is_reading)


@pytest.mark.parametrize("is_stopping", [True, False])
@async_test
async def test_requests_that_wait_for_their_turn_are_answered_in_a_drain(is_stopping: bool) -> None:
    # Guards against a drain that closes the connection between two requests that were received.
    async with run_harness(reply(b"ok")) as harness:
        client = await harness.client()
        (connection,) = harness.sidecar.listener.connections
        buffer = connection.get_buffer(-1)
        count = len(buffer) // len(HEALTH)
        sent = HEALTH * count
        buffer[: len(sent)] = sent
        connection.buffer_updated(len(sent))
        stopping = asyncio.ensure_future(harness.sidecar.stop()) if is_stopping else None
        assert is_stopping or harness.sidecar.drain()
        answers = [await client.answer() for _ in range(count)]
        assert {answer.status for answer in answers} <= {200, 503}
        assert await soon(client.reader.read()) == b""
        if stopping is not None:
            await soon(stopping)


@async_test
async def test_many_requests_sent_at_once_are_all_answered() -> None:
    # Guards against a connection whose reading is paused for good behind requests that are answered at once.
    async with run_harness(reply(b"ok")) as harness:
        client = await harness.client()
        client.send(HEALTH * 10_000)
        for number in range(10_000):
            assert (await client.answer()).status == 200, number
