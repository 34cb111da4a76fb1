"""Admin server, statistics and draining: their logic alone, and the daemon over loopback sockets."""

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

ADMIN = {"operator": f"{HOST}:0"}


# Lifecycle


def test_a_drain_can_be_undone_and_a_stop_can_not() -> None:
    lifecycle = Lifecycle()
    assert not lifecycle.can_serve and not lifecycle.is_healthy and not lifecycle.is_draining
    assert not lifecycle.undrain(0.0)
    assert lifecycle.mark_started(0.0) and lifecycle.is_healthy and lifecycle.can_serve
    assert lifecycle.drain(1.0) and not lifecycle.is_healthy and lifecycle.is_draining and lifecycle.can_serve
    assert not lifecycle.drain(2.0)  # a second call does not restart the drain
    assert lifecycle.connections_to_close(1.1) is ConnectionsToClose.NONE
    assert lifecycle.connections_to_close(1.5) is ConnectionsToClose.SAFE_IDLE
    assert lifecycle.connections_to_close(4.5) is ConnectionsToClose.ALL_IDLE
    assert (
        lifecycle.undrain(5.0)
        and lifecycle.is_healthy
        and lifecycle.connections_to_close(9.0) is ConnectionsToClose.NONE
    )
    assert not lifecycle.undrain(5.5)
    assert lifecycle.stop(6.0) and lifecycle.is_draining and not lifecycle.can_serve
    assert not lifecycle.undrain(6.1) and not lifecycle.drain(6.2) and not lifecycle.stop(6.3)
    assert lifecycle.phase is Phase.STOPPING
    assert (
        lifecycle.end(7.0) and not lifecycle.end(8.0) and not lifecycle.can_serve and not lifecycle.stop(9.0)
    )
    assert lifecycle.phase is Phase.ENDED


def test_a_drain_before_the_start_holds_and_a_stop_keeps_its_start_time() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.drain(0.0) and not lifecycle.mark_started(0.1)
    assert not lifecycle.is_healthy and lifecycle.can_serve
    assert lifecycle.stop(3.0) and lifecycle.connections_to_close(3.5) is ConnectionsToClose.ALL_IDLE


# Admin commands


class StubSidecar:
    def __init__(self) -> None:
        self.calls: list[str] = []
        self.why: str | None = None
        self.succeeds = True

    def unready_reason(self) -> str | None:
        return self.why

    def statistics_report(self) -> bytes:
        return b"a:1|c\n"

    def drain(self) -> bool:
        self.calls.append("drain")
        return self.succeeds

    def undrain(self) -> bool:
        self.calls.append("undrain")
        return self.succeeds


def test_each_command_has_its_reply() -> None:
    stub = StubSidecar()
    assert execute(b"READY", stub) == b"200 ready\n"
    assert execute(b"STATS", stub) == b"a:1|c\nEOF\n"
    assert execute(b"DRAIN", stub).startswith(b"200 ")
    assert execute(b"UNDRAIN", stub).startswith(b"200 ")
    assert stub.calls == ["drain", "undrain"]
    stub.why, stub.succeeds = "starting", False
    assert execute(b"READY", stub) == b"400 not ready: starting\n"
    assert execute(b"DRAIN", stub).startswith(b"400 ")
    assert execute(b"UNDRAIN", stub).startswith(b"400 ")
    for nonsense in (b"", b"ready", b"READY ", b"STATS x", b"\xff\x00", b"GET / HTTP/1.1"):
        assert execute(nonsense, stub).startswith(b"400 ")


def test_a_command_may_come_in_pieces_and_only_one_is_allowed() -> None:
    for command_line in (b"READY\n", b"READY\r\n"):
        for cut in range(len(command_line)):
            reader = CommandReader()
            first = reader.feed(command_line[:cut])
            assert first is None
            assert reader.feed(command_line[cut:]) == b"READY"
    for bad in (b"READY\nSTATS\n", b"x" * (MAX_COMMAND_BYTES + 1), b"x" * 4_000 + b"\n"):
        with pytest.raises(BadCommandError):
            CommandReader().feed(bad)
    reader = CommandReader()
    for _ in range(MAX_COMMAND_BYTES):
        assert reader.feed(b"x") is None
    with pytest.raises(BadCommandError):
        reader.feed(b"x")


# The admin server of a daemon


async def call(harness: Harness, command: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, harness.sidecar.admin.port)
    writer.write(command)
    reply = await soon(reader.read())
    writer.close()
    return reply


async def statistics(harness: Harness) -> dict[str, int]:
    lines = (await call(harness, b"STATS\n")).decode().splitlines()
    assert lines[-1] == "EOF"
    pairs = (each.partition(":") for each in lines[:-1])
    return {name.removeprefix("edge_balancer."): int(value.split("|")[0]) for name, _, value in pairs}


@async_test
async def test_the_admin_server_answers_despite_silent_connections() -> None:
    async with run_harness(OK, overrides=ADMIN) as harness:
        port = harness.sidecar.admin.port
        silent = [await asyncio.open_connection(HOST, port) for _ in range(40)]
        for number, (_, writer) in enumerate(silent):
            writer.write(b"READ"[: number % 5])
        assert await call(harness, b"READY\n") == b"200 ready\n"
        assert (await call(harness, b"READY\nREADY\n")).startswith(b"400 ")
        assert (await call(harness, b"\x00\xff" * 200)).startswith(b"400 ")
        assert (await silent[0][0].read()) == b""  # the oldest was closed for a new one
        for _, writer in silent:
            writer.close()


@async_test
async def test_the_admin_server_answers_while_clients_hold_all_connections() -> None:
    given = {**ADMIN, "limits": {"sockets": 64, "memory_mb": 16}}

    async def silence(received: ReceivedRequest) -> None:
        return None

    async with run_harness(silence, overrides=given) as harness:
        limit = harness.sidecar.listener.connections.max_connections
        crowd = [await harness.client() for _ in range(4 * limit)]
        for each in crowd:
            each.send(request("lodge", timeout="3.0"))
        await until(lambda: len(harness.sidecar.listener.connections) >= limit)
        for _ in range(20):
            assert await call(harness, b"READY\n") == b"200 ready\n"
        assert (await statistics(harness))["in_progress"] <= limit


@async_test
async def test_without_an_address_there_is_no_admin_server() -> None:
    async with run_harness(OK) as harness:
        assert harness.sidecar.admin is None
        assert (await harness.exchange()).status == 200


# Statistics compared with what clients and servers saw


@pytest.mark.parametrize("seed", [1, 2, 3])
@async_test
async def test_statistics_match_what_clients_and_servers_saw(seed: int) -> None:
    chance = random.Random(seed)

    async def answers(received: ReceivedRequest) -> bytes | None:
        return chance.choice([OK, OK, OK, ERROR, FULL])

    async with run_harness(answers, answers, answers, overrides=ADMIN) as harness:
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
        stats = await statistics(harness)
        for kind, ends in seen.items():
            for end, count in ends.items():
                assert stats[f"handled.{kind}.{end}"] == count, (kind, end)
        assert stats["upstream_tries"] == len(harness.received)
        assert stats["in_progress"] == 0
        assert stats["known_servers"] == 3


@pytest.mark.parametrize("seed", [4, 5, 6])
@async_test
async def test_statistics_hold_through_disconnects_reloads_and_drains(seed: int) -> None:
    # Each accepted request is counted under one result, or its client disconnected; none is counted twice.
    chance = random.Random(seed)

    async def answers(received: ReceivedRequest) -> bytes | None:
        await asyncio.sleep(chance.random() * 0.02)
        return chance.choice([OK, OK, OK, ERROR, FULL])

    async with run_harness(answers, answers, answers, overrides=ADMIN) as harness:
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
        stats = await statistics(harness)
        for end, count in seen.items():
            counted = sum(v for k, v in stats.items() if k.startswith("handled.") and k.endswith(end))
            assert count <= counted <= count + left, end
        ended = sum(v for k, v in stats.items() if k.startswith("handled."))
        assert sum(seen.values()) <= ended <= sum(seen.values()) + left
        assert stats["upstream_tries"] == len(harness.received)
        assert stats["in_progress"] == 0


@async_test
async def test_a_reload_during_a_drain_is_applied_and_the_drain_goes_on() -> None:
    async with run_harness(OK, overrides=ADMIN) as harness:
        sidecar = harness.sidecar
        assert (await harness.exchange()).status == 200
        assert sidecar.drain()
        sidecar.reload(sidecar._runtime.config)
        assert (await statistics(harness))["loads"] == 1
        health_check = await harness.client()
        health(health_check)
        assert (await health_check.answer()).status == 503
        assert sidecar.undrain()


@async_test
async def test_ready_waits_for_a_list_for_a_limited_time() -> None:
    # No discovery listens at this address.
    async with run_harness(OK, overrides={**ADMIN, "discovery": f"{HOST}:9"}) as harness:
        assert await call(harness, b"READY\n") == b"400 not ready: no list of servers yet\n"
        assert (await harness.exchange()).status == 200  # with the list of the configuration
        async with asyncio.timeout(20):
            while (await call(harness, b"READY\n")) != b"200 ready\n":
                await asyncio.sleep(0.05)


@async_test
async def test_a_waiting_request_is_in_progress_until_its_client_disconnects() -> None:
    async def silence(received: ReceivedRequest) -> bytes | None:
        return None

    async with run_harness(silence, overrides=ADMIN) as harness:
        client = await harness.client()
        client.send(request("lodge"))
        await until(lambda: len(harness.received) == 1)
        assert (await statistics(harness))["in_progress"] == 1
        client.close()
        await until(lambda: harness.sidecar.open_requests == 0)
        stats = await statistics(harness)
        assert stats["in_progress"] == 0
        assert sum(stats[f"handled.lodge.{end}"] for end in ("passed", "dropped", "bad_gateway")) == 0


@async_test
async def test_a_draining_server_is_known_and_skipped() -> None:
    async with run_harness(OK, OK, overrides=ADMIN) as harness:
        assert (await harness.exchange()).status == 200
        listed: dict[str, Any] = dict(harness.discovery.servers[0])
        harness.discovery.publish({**listed, "state": "leaving"})
        await until_statistics(harness, lambda stats: stats["skipped_servers"] == 1)
        assert (await statistics(harness))["known_servers"] == 2
        harness.discovery.publish({**listed, "state": "left"})
        await until_statistics(harness, lambda stats: stats["known_servers"] == 1)
        assert (await statistics(harness))["skipped_servers"] == 0


async def until_statistics(harness: Harness, holds: Callable[[dict[str, int]], bool]) -> None:
    async with asyncio.timeout(20):
        while not holds(await statistics(harness)):
            await asyncio.sleep(0.01)


# Draining over sockets


def health(client: Client) -> None:
    client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")


@async_test
async def test_a_drain_closes_connections_and_loses_no_request() -> None:
    async def slow(received: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.3)
        return OK

    async with run_harness(slow, overrides=ADMIN) as harness:
        idle, asking = await harness.client(), await harness.client()
        assert (await idle.exchange()).status == 200
        asking.send(request("lodge"))
        await until(lambda: len(harness.received) == 2)
        assert (await call(harness, b"DRAIN\n")).startswith(b"200 ")
        assert (await call(harness, b"DRAIN\n")).startswith(b"200 ")  # no further effect
        health_check = await harness.client()
        health(health_check)
        assert (await health_check.answer()).status == 503
        got = await asking.answer()  # the open request is answered, then its connection closes
        assert (got.status, got.headers["connection"]) == (200, "close")
        # The load balancer in front may still send clients for a moment.
        late = await (await harness.client()).exchange()
        assert (late.status, late.headers["connection"]) == (200, "close")
        assert await soon(idle.reader.read()) == b""  # idle connections are closed
        await until(lambda: len(harness.sidecar.listener.connections) == 0)
        assert (await call(harness, b"READY\n")).startswith(b"200 ")
        assert (await call(harness, b"UNDRAIN\n")).startswith(b"200 ")
        back = await harness.client()
        health(back)
        assert (await back.answer()).status == 200
        kept = await back.exchange()
        assert kept.status == 200 and "connection" not in kept.headers


@async_test
async def test_a_stop_during_a_drain_can_not_be_undone() -> None:
    async with run_harness(OK, overrides=ADMIN) as harness:
        assert (await call(harness, b"DRAIN\n")).startswith(b"200 ")
        stopping = asyncio.ensure_future(harness.sidecar.stop())
        await until(lambda: harness.sidecar.lifecycle.phase is Phase.STOPPING)
        assert (await call(harness, b"UNDRAIN\n")).startswith(b"400 ")
        assert (await call(harness, b"READY\n")).startswith(b"400 ")
        await soon(stopping)


@async_test
async def test_a_drain_with_no_server_listed_still_ends() -> None:
    async with run_harness(listed=False, overrides=ADMIN) as harness:
        idle = await harness.client()
        assert (await idle.exchange()).status in (502, 503, 504)
        assert (await call(harness, b"DRAIN\n")).startswith(b"200 ")
        assert await soon(idle.reader.read()) == b""
        assert (await call(harness, b"UNDRAIN\n")).startswith(b"200 ")
