"""The operators' door, the figures and the drain: the choices alone, and the daemon over loopback."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from loopback import (
    ERROR,
    FULL,
    HOST,
    OK,
    Client,
    Harness,
    ReceivedRequest,
    async_test,
    request,
    run_harness,
    soon,
    until,
)

from micadeck.operations.admin_protocol import MAX_COMMAND_BYTES, BadCommandError, CommandReader, execute
from micadeck.operations.lifecycle import ConnectionsToClose, Lifecycle, Phase

DOOR = {"operator": f"{HOST}:0"}


# The life of the process


def test_a_drain_can_be_taken_back_and_a_stop_can_not() -> None:
    life = Lifecycle()
    assert not life.can_serve and not life.is_healthy and not life.is_draining
    assert not life.undrain(0.0)
    assert life.mark_started(0.0) and life.is_healthy and life.can_serve
    assert life.drain(1.0) and not life.is_healthy and life.is_draining and life.can_serve
    assert not life.drain(2.0)  # a second call changes nothing, nor does its time begin again
    assert life.connections_to_close(1.1) is ConnectionsToClose.NONE
    assert life.connections_to_close(1.5) is ConnectionsToClose.SAFE_IDLE
    assert life.connections_to_close(4.5) is ConnectionsToClose.ALL_IDLE
    assert life.undrain(5.0) and life.is_healthy and life.connections_to_close(9.0) is ConnectionsToClose.NONE
    assert not life.undrain(5.5)
    assert life.stop(6.0) and life.is_draining and not life.can_serve
    assert not life.undrain(6.1) and not life.drain(6.2) and not life.stop(6.3)
    assert life.phase is Phase.STOPPING
    assert life.end(7.0) and not life.end(8.0) and not life.can_serve and not life.stop(9.0)
    assert life.phase is Phase.ENDED


def test_a_drain_before_the_start_holds_and_a_stop_within_it_keeps_its_time() -> None:
    life = Lifecycle()
    assert life.drain(0.0) and not life.mark_started(0.1)
    assert not life.is_healthy and life.can_serve
    assert life.stop(3.0) and life.connections_to_close(3.5) is ConnectionsToClose.ALL_IDLE


# The lines of the door


class Staff:
    def __init__(self) -> None:
        self.calls: list[str] = []
        self.why: str | None = None
        self.obeys = True

    def unready_reason(self) -> str | None:
        return self.why

    def statistics_report(self) -> bytes:
        return b"a:1|c\n"

    def drain(self) -> bool:
        self.calls.append("drain")
        return self.obeys

    def undrain(self) -> bool:
        self.calls.append("undrain")
        return self.obeys


def test_each_call_has_its_answer() -> None:
    staff = Staff()
    assert execute(b"READY", staff) == b"200 ready\n"
    assert execute(b"STATS", staff) == b"a:1|c\nEOF\n"
    assert execute(b"DRAIN", staff).startswith(b"200 ")
    assert execute(b"UNDRAIN", staff).startswith(b"200 ")
    assert staff.calls == ["drain", "undrain"]
    staff.why, staff.obeys = "starting", False
    assert execute(b"READY", staff) == b"400 not ready: starting\n"
    assert execute(b"DRAIN", staff).startswith(b"400 ")
    assert execute(b"UNDRAIN", staff).startswith(b"400 ")
    for nonsense in (b"", b"ready", b"READY ", b"STATS x", b"\xff\x00", b"GET / HTTP/1.1"):
        assert execute(nonsense, staff).startswith(b"400 ")


def test_a_line_may_come_in_any_pieces_and_only_one_may_come() -> None:
    for whole in (b"READY\n", b"READY\r\n"):
        for cut in range(len(whole)):
            reader = CommandReader()
            first = reader.feed(whole[:cut])
            assert first is None
            assert reader.feed(whole[cut:]) == b"READY"
    for bad in (b"READY\nSTATS\n", b"x" * (MAX_COMMAND_BYTES + 1), b"x" * 4_000 + b"\n"):
        with pytest.raises(BadCommandError):
            CommandReader().feed(bad)
    reader = CommandReader()
    for _ in range(MAX_COMMAND_BYTES):
        assert reader.feed(b"x") is None
    with pytest.raises(BadCommandError):
        reader.feed(b"x")


# The door of a daemon


async def call(harness: Harness, line: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, harness.sidecar.admin.port)
    writer.write(line)
    told = await soon(reader.read())
    writer.close()
    return told


async def figures(harness: Harness) -> dict[str, int]:
    lines = (await call(harness, b"STATS\n")).decode().splitlines()
    assert lines[-1] == "EOF"
    pairs = (each.partition(":") for each in lines[:-1])
    return {name.removeprefix("edge_balancer."): int(told.split("|")[0]) for name, _, told in pairs}


@async_test
async def test_the_door_answers_beside_callers_that_say_nothing() -> None:
    async with run_harness(OK, overrides=DOOR) as harness:
        port = harness.sidecar.admin.port
        silent = [await asyncio.open_connection(HOST, port) for _ in range(40)]
        for number, (_, writer) in enumerate(silent):
            writer.write(b"READ"[: number % 5])
        assert await call(harness, b"READY\n") == b"200 ready\n"
        assert (await call(harness, b"READY\nREADY\n")).startswith(b"400 ")
        assert (await call(harness, b"\x00\xff" * 200)).startswith(b"400 ")
        assert (await silent[0][0].read()) == b""  # the oldest went to make room
        for _, writer in silent:
            writer.close()


@async_test
async def test_the_door_answers_while_clients_hold_every_place_they_may() -> None:
    given = {**DOOR, "limits": {"sockets": 64, "memory_mb": 16}}

    async def silence(received: ReceivedRequest) -> None:
        return None

    async with run_harness(silence, overrides=given) as harness:
        most = harness.sidecar.listener.connections.max_connections
        crowd = [await harness.client() for _ in range(4 * most)]
        for each in crowd:
            each.send(request("lodge", timeout="3.0"))
        await until(lambda: len(harness.sidecar.listener.connections) >= most)
        for _ in range(20):
            assert await call(harness, b"READY\n") == b"200 ready\n"
        assert (await figures(harness))["in_progress"] <= most


@async_test
async def test_without_an_address_there_is_no_door() -> None:
    async with run_harness(OK) as harness:
        assert harness.sidecar.admin is None
        assert (await harness.exchange()).status == 200


# Figures against what the ends saw


@pytest.mark.parametrize("seed", [1, 2, 3])
@async_test
async def test_the_figures_are_what_clients_and_servers_saw(seed: int) -> None:
    chance = random.Random(seed)

    async def answers(received: ReceivedRequest) -> bytes | None:
        return chance.choice([OK, OK, OK, ERROR, FULL])

    async with run_harness(answers, answers, answers, overrides=DOOR) as harness:
        seen: dict[str, dict[str, int]] = {}

        async def client(kind: str) -> None:
            got = await harness.exchange(kind)
            end = {200: "passed", 429: "dropped", 503: "dropped"}.get(got.status, "bad_gateway")
            ends = seen.setdefault(kind, {"passed": 0, "dropped": 0, "bad_gateway": 0})
            ends[end] += 1

        for _ in range(8):
            kinds = [chance.choice(["check", "amend", "lodge"]) for _ in range(10)]
            await asyncio.gather(*(client(each) for each in kinds))
        await until(lambda: harness.sidecar.open_requests == 0)
        told = await figures(harness)
        for kind, ends in seen.items():
            for end, count in ends.items():
                assert told[f"handled.{kind}.{end}"] == count, (kind, end)
        assert told["upstream_tries"] == len(harness.received)
        assert told["in_progress"] == 0
        assert told["known_servers"] == 3


@pytest.mark.parametrize("seed", [4, 5, 6])
@async_test
async def test_the_figures_hold_through_disconnects_reloads_and_drains(seed: int) -> None:
    # Each request that was taken stands under one end, or its client had left; nothing is counted twice.
    chance = random.Random(seed)

    async def answers(received: ReceivedRequest) -> bytes | None:
        await asyncio.sleep(chance.random() * 0.02)
        return chance.choice([OK, OK, OK, ERROR, FULL])

    async with run_harness(answers, answers, answers, overrides=DOOR) as harness:
        sidecar = harness.sidecar
        running = sidecar._runtime.config
        kinds = {each.name: each for each in running.settings.classes}
        track = replace(kinds["check"], name="track")
        others = [
            replace(running.settings, classes=(*kinds.values(), track)),
            replace(running.settings, classes=(kinds["check"], kinds["lodge"])),
            running.settings,
        ]
        seen = {"passed": 0, "dropped": 0, "bad_gateway": 0}
        left = 0

        async def client() -> None:
            nonlocal left
            one = await harness.client()
            one.send(request(chance.choice(["check", "lodge"])))
            if chance.random() < 0.15:
                await asyncio.sleep(chance.random() * 0.01)
                left += 1
                one.close()
                return
            status = (await one.answer()).status
            seen[{200: "passed", 503: "dropped"}.get(status, "bad_gateway")] += 1
            one.close()

        for turn in range(12):
            asking = [asyncio.ensure_future(client()) for _ in range(8)]
            what = chance.randrange(4)
            if what == 0:
                sidecar.reload(replace(running, settings=others[turn % 3]))
            elif what == 1:
                assert sidecar.drain()
            elif what == 2:
                assert sidecar.undrain()
            await asyncio.gather(*asking)
        await until(lambda: sidecar.open_requests == 0)
        told = await figures(harness)
        for end, count in seen.items():
            counted = sum(v for k, v in told.items() if k.startswith("handled.") and k.endswith(end))
            assert count <= counted <= count + left, end
        ended = sum(v for k, v in told.items() if k.startswith("handled."))
        assert sum(seen.values()) <= ended <= sum(seen.values()) + left
        assert told["upstream_tries"] == len(harness.received)
        assert told["in_progress"] == 0


@async_test
async def test_a_reload_within_a_drain_is_taken_and_the_drain_goes_on() -> None:
    async with run_harness(OK, overrides=DOOR) as harness:
        sidecar = harness.sidecar
        assert (await harness.exchange()).status == 200
        assert sidecar.drain()
        sidecar.reload(sidecar._runtime.config)
        assert (await figures(harness))["loads"] == 1
        front = await harness.client()
        health(front)
        assert (await front.answer()).status == 503
        assert sidecar.undrain()


@async_test
async def test_ready_waits_for_a_list_and_not_for_ever() -> None:
    async with run_harness(OK, overrides={**DOOR, "discovery": f"{HOST}:9"}) as harness:  # nobody is there
        assert await call(harness, b"READY\n") == b"400 not ready: no list of servers yet\n"
        assert (await harness.exchange()).status == 200  # by the list that the configuration holds
        async with asyncio.timeout(20):
            while (await call(harness, b"READY\n")) != b"200 ready\n":
                await asyncio.sleep(0.05)


@async_test
async def test_a_request_that_waits_is_in_progress_and_one_whose_client_left_is_not() -> None:
    async def silence(received: ReceivedRequest) -> bytes | None:
        return None

    async with run_harness(silence, overrides=DOOR) as harness:
        client = await harness.client()
        client.send(request("lodge"))
        await until(lambda: len(harness.received) == 1)
        assert (await figures(harness))["in_progress"] == 1
        client.close()
        await until(lambda: harness.sidecar.open_requests == 0)
        told = await figures(harness)
        assert told["in_progress"] == 0
        assert sum(told[f"handled.lodge.{end}"] for end in ("passed", "dropped", "bad_gateway")) == 0


@async_test
async def test_a_draining_server_is_known_and_skipped() -> None:
    async with run_harness(OK, OK, overrides=DOOR) as harness:
        assert (await harness.exchange()).status == 200
        listed: dict[str, Any] = dict(harness.discovery.servers[0])
        harness.discovery.publish({**listed, "state": "leaving"})
        await until_figures(harness, lambda told: told["skipped_servers"] == 1)
        assert (await figures(harness))["known_servers"] == 2
        harness.discovery.publish({**listed, "state": "left"})
        await until_figures(harness, lambda told: told["known_servers"] == 1)
        assert (await figures(harness))["skipped_servers"] == 0


async def until_figures(harness: Harness, holds: Callable[[dict[str, int]], bool]) -> None:
    async with asyncio.timeout(20):
        while not holds(await figures(harness)):
            await asyncio.sleep(0.01)


# The drain over sockets


def health(client: Client) -> None:
    client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")


@async_test
async def test_a_drain_sends_clients_away_and_loses_nothing_and_ends() -> None:
    async def slow(received: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.3)
        return OK

    async with run_harness(slow, overrides=DOOR) as harness:
        resting, asking = await harness.client(), await harness.client()
        assert (await resting.exchange()).status == 200
        asking.send(request("lodge"))
        await until(lambda: len(harness.received) == 2)
        assert (await call(harness, b"DRAIN\n")).startswith(b"200 ")
        assert (await call(harness, b"DRAIN\n")).startswith(b"200 ")  # again: nothing more
        front = await harness.client()
        health(front)
        assert (await front.answer()).status == 503
        got = await asking.answer()  # what was open is answered, and closes
        assert (got.status, got.headers["connection"]) == (200, "close")
        late = await (await harness.client()).exchange()  # the front still sends clients for a moment
        assert (late.status, late.headers["connection"]) == (200, "close")
        assert await soon(resting.reader.read()) == b""  # at rest: closed
        await until(lambda: len(harness.sidecar.listener.connections) == 0)
        assert (await call(harness, b"READY\n")).startswith(b"200 ")
        assert (await call(harness, b"UNDRAIN\n")).startswith(b"200 ")
        back = await harness.client()
        health(back)
        assert (await back.answer()).status == 200
        kept = await back.exchange()
        assert kept.status == 200 and "connection" not in kept.headers


@async_test
async def test_a_stop_within_a_drain_stops_and_can_not_be_taken_back() -> None:
    async with run_harness(OK, overrides=DOOR) as harness:
        assert (await call(harness, b"DRAIN\n")).startswith(b"200 ")
        stopping = asyncio.ensure_future(harness.sidecar.stop())
        await until(lambda: harness.sidecar.lifecycle.phase is Phase.STOPPING)
        assert (await call(harness, b"UNDRAIN\n")).startswith(b"400 ")
        assert (await call(harness, b"READY\n")).startswith(b"400 ")
        await soon(stopping)


@async_test
async def test_a_drain_with_no_server_listed_still_ends() -> None:
    async with run_harness(listed=False, overrides=DOOR) as harness:
        resting = await harness.client()
        assert (await resting.exchange()).status in (502, 503, 504)
        assert (await call(harness, b"DRAIN\n")).startswith(b"200 ")
        assert await soon(resting.reader.read()) == b""
        assert (await call(harness, b"UNDRAIN\n")).startswith(b"200 ")
