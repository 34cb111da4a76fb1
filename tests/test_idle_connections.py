"""Which connections at rest are kept: the choice alone, and over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import OK, Client, Harness, request, run_async, run_harness, soon, until

from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.idle_connections import IdleConnections, idle_timeout_s

ROOM = 160


def _ask_once(resting: IdleConnections[int], numbers: range) -> None:
    """Each comes to rest after one request; what is too many is closed."""
    for number in numbers:
        resting.record_idle(number, 1, ROOM)
        for spare in list(resting.closable(ROOM))[: resting.excess(ROOM)]:
            resting.record_closed(spare)


def test_those_that_never_come_back_keep_a_quarter_of_the_room() -> None:
    resting: IdleConnections[int] = IdleConnections()
    for turn in range(5):  # the witnesses are closed by time, 20 in each turn
        _ask_once(resting, range(turn * 1_000, turn * 1_000 + 400))
        for number in range(turn * 1_000, turn * 1_000 + 400):
            resting.record_closed(number)
    assert resting.max_single_use(ROOM) == ROOM // 4


def test_those_that_come_back_keep_more_and_the_estimate_recovers() -> None:
    resting: IdleConnections[int] = IdleConnections()
    for number in range(800):
        resting.record_idle(number, 1, ROOM)
        resting.record_closed(number)
    assert resting.reuse_ratio < 0.01
    for number in range(800):
        resting.record_idle(number, 1, ROOM)
        resting.record_reuse(number)
    assert resting.reuse_ratio > 0.99
    assert resting.max_single_use(ROOM) >= 0.74 * ROOM


def test_closing_early_teaches_nothing() -> None:
    # Guards against a part that shrinks because it is small: whoever is closed early can't come back.
    resting: IdleConnections[int] = IdleConnections()
    resting.reuse_ratio = 0.5
    _ask_once(resting, range(5_000))  # all but the witnesses are closed
    assert resting.reuse_ratio == 0.5


def test_one_that_asked_twice_counts_against_nobody() -> None:
    resting: IdleConnections[int] = IdleConnections()
    for number in range(1_000):
        resting.record_idle(number, 2, ROOM)
    assert resting.excess(ROOM) == 0 and list(resting.closable(ROOM)) == []


@pytest.mark.parametrize(("used", "seconds"), [(0, 5.0), (80, 5.0), (120, 3.0), (160, 1.0), (200, 1.0)])
def test_the_time_to_rest_follows_how_full_the_room_is(used: int, seconds: float) -> None:
    assert idle_timeout_s(5.0, used, ROOM) == pytest.approx(seconds)


PATIENT = DownstreamLimits(idle_timeout_s=60.0)  # nothing here is closed by time
SMALL = {"limits": {"sockets": 112}}  # room for 32 clients


async def _once(harness: Harness) -> Client:
    client = await harness.client()
    assert (await client.exchange()).status == 200
    return client


def test_clients_that_ask_once_and_keep_leave_room_for_others() -> None:
    # Seen on a recorded day: all connections that clients may hold rested here, and no request could come.
    async def work() -> None:
        async with run_harness(OK, overrides=SMALL, client_limits=PATIENT) as harness:
            kept = [await _once(harness) for _ in range(28)]
            most = harness.sidecar.listener.connections.max_connections
            assert most == 32
            await until(lambda: len(harness.sidecar.listener.connections) <= most * 0.5)
            assert await soon(kept[0].reader.read()) == b""
            assert (await kept[3].exchange()).status == 200  # a witness
            assert (await kept[-1].exchange()).status == 200

    run_async(work)


def test_clients_that_reuse_keep_their_connections_beside_those_that_ask_once() -> None:
    async def work() -> None:
        async with run_harness(OK, overrides=SMALL, client_limits=PATIENT) as harness:
            reusing = []
            for _ in range(12):
                reusing.append(await _once(harness))
                assert (await reusing[-1].exchange()).status == 200
            for _ in range(40):
                await _once(harness)
            for client in reusing:
                assert (await client.exchange()).status == 200

    run_async(work)


def test_a_connection_with_a_request_unread_is_not_closed_for_room() -> None:
    async def work() -> None:
        async with run_harness(OK, overrides=SMALL, client_limits=PATIENT) as harness:
            kept = [await _once(harness) for _ in range(8)]
            for client in kept:
                client.send(request("lodge"))  # in the sidecar's sockets; the event loop has not run
            harness.sidecar.listener.connections.max_connections = (
                16  # less room, as after a reload: too many rest now
            )
            harness.sidecar.listener.connections._close_excess_idle()
            await asyncio.sleep(0)
            assert [(await client.answer()).status for client in kept] == [200] * 8

    run_async(work)
