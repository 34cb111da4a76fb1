"""Which idle connections are kept: the policy alone, and over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import OK, Client, Harness, request, run_async, run_harness, soon, until

from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.idle_connections import IdleConnections, idle_timeout_s

LIMIT = 160


def _record_single_use(idle: IdleConnections[int], numbers: range) -> None:
    """Record connections as idle after one request, and close the excess."""
    for number in numbers:
        idle.record_idle(number, 1, LIMIT)
        for spare in list(idle.closable(LIMIT))[: idle.excess(LIMIT)]:
            idle.record_closed(spare)


def test_connections_that_are_never_reused_keep_a_quarter_of_the_limit() -> None:
    idle: IdleConnections[int] = IdleConnections()
    for turn in range(5):  # the 20 sampled in each turn are closed by timeout
        _record_single_use(idle, range(turn * 1_000, turn * 1_000 + 400))
        for number in range(turn * 1_000, turn * 1_000 + 400):
            idle.record_closed(number)
    assert idle.max_single_use(LIMIT) == LIMIT // 4


def test_reused_connections_raise_the_share_and_the_estimate_recovers() -> None:
    idle: IdleConnections[int] = IdleConnections()
    for number in range(800):
        idle.record_idle(number, 1, LIMIT)
        idle.record_closed(number)
    assert idle.reuse_ratio < 0.01
    for number in range(800):
        idle.record_idle(number, 1, LIMIT)
        idle.record_reuse(number)
    assert idle.reuse_ratio > 0.99
    assert idle.max_single_use(LIMIT) >= 0.74 * LIMIT


def test_connections_closed_early_do_not_change_the_estimate() -> None:
    # Guards against a share that shrinks because it is small: a connection closed early can't be reused.
    idle: IdleConnections[int] = IdleConnections()
    idle.reuse_ratio = 0.5
    _record_single_use(idle, range(5_000))  # all but the sampled ones are closed
    assert idle.reuse_ratio == 0.5


def test_connections_with_two_requests_are_no_excess() -> None:
    idle: IdleConnections[int] = IdleConnections()
    for number in range(1_000):
        idle.record_idle(number, 2, LIMIT)
    assert idle.excess(LIMIT) == 0 and list(idle.closable(LIMIT)) == []


@pytest.mark.parametrize(("used", "seconds"), [(0, 5.0), (80, 5.0), (120, 3.0), (160, 1.0), (200, 1.0)])
def test_the_idle_timeout_falls_as_connections_approach_the_limit(used: int, seconds: float) -> None:
    assert idle_timeout_s(5.0, used, LIMIT) == pytest.approx(seconds)


NO_TIMEOUT = DownstreamLimits(idle_timeout_s=60.0)  # longer than the tests
SMALL = {"limits": {"sockets": 112}}  # 32 client connections


async def _client_after_one_request(harness: Harness) -> Client:
    client = await harness.client()
    assert (await client.exchange()).status == 200
    return client


def test_single_use_connections_do_not_shut_out_other_clients() -> None:
    # Guards against idle connections that use up the limit, so that no client with a request can connect.
    async def work() -> None:
        async with run_harness(OK, overrides=SMALL, client_limits=NO_TIMEOUT) as harness:
            kept = [await _client_after_one_request(harness) for _ in range(28)]
            limit = harness.sidecar.listener.connections.max_connections
            assert limit == 32
            await until(lambda: len(harness.sidecar.listener.connections) <= limit * 0.5)
            assert await soon(kept[0].reader.read()) == b""
            assert (await kept[3].exchange()).status == 200  # kept as a sample
            assert (await kept[-1].exchange()).status == 200

    run_async(work)


def test_reused_connections_are_kept_among_single_use_ones() -> None:
    async def work() -> None:
        async with run_harness(OK, overrides=SMALL, client_limits=NO_TIMEOUT) as harness:
            reusing = []
            for _ in range(12):
                reusing.append(await _client_after_one_request(harness))
                assert (await reusing[-1].exchange()).status == 200
            for _ in range(40):
                await _client_after_one_request(harness)
            for client in reusing:
                assert (await client.exchange()).status == 200

    run_async(work)


def test_an_excess_connection_with_an_unread_request_is_kept() -> None:
    async def work() -> None:
        async with run_harness(OK, overrides=SMALL, client_limits=NO_TIMEOUT) as harness:
            kept = [await _client_after_one_request(harness) for _ in range(8)]
            for client in kept:
                client.send(request("lodge"))  # unread in the sidecar's sockets: the event loop has not run
            # A lower limit, as after a reload: too many are idle now.
            harness.sidecar.listener.connections.max_connections = 16
            harness.sidecar.listener.connections._close_excess_idle()
            await asyncio.sleep(0)
            assert [(await client.answer()).status for client in kept] == [200] * 8

    run_async(work)
