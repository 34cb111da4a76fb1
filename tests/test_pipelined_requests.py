"""Clients that send many requests at once on one connection."""

from __future__ import annotations

from loopback import async_test, reply, run_harness, until

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


@async_test
async def test_many_requests_sent_at_once_are_all_answered() -> None:
    # Guards against a connection whose reading is paused for good behind requests that are answered at once.
    async with run_harness(reply(b"ok")) as harness:
        client = await harness.client()
        client.send(HEALTH * 10_000)
        for number in range(10_000):
            assert (await client.answer()).status == 200, number
