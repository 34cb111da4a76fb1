"""Watching and fetching the endpoint list over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import random
import time

import pytest
from duplicating_proxy import DuplicatingProxy
from loopback import (
    HOST,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    list_entry,
    reply,
    run_async,
    soon,
    until,
)

from micadeck.engine import EndpointUpdate
from micadeck.membership.discovery_watcher import DiscoveryWatcher, WatchOptions
from micadeck.membership.endpoint_list import parse_endpoint_update
from micadeck.network import LoopNetwork, parse_address
from micadeck.policy.events import ServerState
from micadeck.stand_ins.discovery_server import StandInRoster


class WatcherEvents:
    """Records what a `DiscoveryWatcher` reports; `None` stands for a failure."""

    def __init__(
        self, server: ScriptedServer | DuplicatingProxy, version: int = 41, pushed: bool = False
    ) -> None:
        self.events: asyncio.Queue[EndpointUpdate | None] = asyncio.Queue()
        self.log: list[str] = []
        self.watcher = DiscoveryWatcher(
            LoopNetwork(),
            parse_address(server.address),
            version,
            WatchOptions(is_pushed=pushed),
            self.log.append,
        )
        self.watcher.start(self.events.put_nowait, lambda: self.events.put_nowait(None))

    async def next(self) -> EndpointUpdate | None:
        return await soon(self.events.get())


def test_a_watch_is_answered_at_once_then_waits_for_changes() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [list_entry("s-1", "127.0.0.2:80")]
        await server.start()
        watched = WatcherEvents(server)
        watched.watcher.watch(True)
        first = await watched.next()
        assert first is not None and first.full and first.version == 1
        await until(lambda: len(server.received) == 2)
        assert server.received[0].target == "/catalog/members?after=41&wait_ms=0"
        assert server.received[1].target == "/catalog/members?after=1&wait_ms=2000"
        server.publish(list_entry("s-1", "127.0.0.2:80", state="leaving"))
        changes = await watched.next()
        assert changes is not None and not changes.full and changes.version == 2
        await until(lambda: len(server.received) == 3)
        watched.watcher.watch(False)
        await until(lambda: len(server.closed) == 0 or server.closed == [0])
        watched.watcher.close()
        server.stop()

    run_async(work)


def test_drains_are_known_within_the_grace_although_responses_come_twice() -> None:
    # Guards against a list that lags behind, since an older response was taken for the newest.
    async def work() -> None:
        roster = await StandInRoster().start()
        names = [f"s-{number}" for number in range(12)]
        for name in names:
            roster.put(name, "127.0.0.2:80")
        proxy = await DuplicatingProxy(roster.address).start()
        watched = WatcherEvents(proxy)
        watched.watcher.watch(True)
        first = await watched.next()
        assert first is not None and len(first.entries) == len(names)
        rng = random.Random(2)
        for name in names:
            roster.put(name, "127.0.0.2:80", "leaving")
            drained_at, draining = time.monotonic(), False
            while not draining:
                update = await watched.next()
                assert update is not None  # no call failed
                states = {entry.endpoint.server: entry.endpoint.state for entry in update.entries}
                draining = states.get(name) is ServerState.DRAINING
            assert time.monotonic() - drained_at < 0.5
            await asyncio.sleep(rng.uniform(0.0, 0.02))
        assert proxy.duplicates > 0
        watched.watcher.close()
        proxy.stop()
        roster.close()

    run_async(work)


VALID_LIST = {"version": 7, "full": True, "servers": []}


@pytest.mark.parametrize(
    "answer",
    [
        reply(b"", "503 Busy"),
        reply(b"not json"),
        reply(b"[" * 100_000),
        reply(json.dumps({**VALID_LIST, "version": "x"}).encode()),
        reply(json.dumps({**VALID_LIST, "full": 1}).encode()),
        reply(json.dumps({**VALID_LIST, "servers": [{"id": "a", "state": "odd"}]}).encode()),
        reply(
            json.dumps(
                {**VALID_LIST, "servers": [{"id": "a", "state": "active", "addr": "name:80"}]}
            ).encode()
        ),
        b"garbage\r\n\r\n",
        None,
    ],
    ids=str,
)
@pytest.mark.parametrize("how", ["follow", "fetch"])
def test_a_call_that_fails_is_one_failure_and_the_next_is_answered(answer: bytes | None, how: str) -> None:
    async def work() -> None:
        async def once(received: ReceivedRequest) -> bytes:
            server.script = reply(json.dumps(VALID_LIST).encode())
            if answer is None:
                received.writer.transport.abort()
                return b""
            return answer

        server = await ScriptedServer(once).start()
        watched = WatcherEvents(server)

        def call() -> None:
            if how == "follow":
                watched.watcher.watch(True)
            else:
                watched.watcher.fetch()

        call()
        assert await watched.next() is None
        assert watched.events.empty()
        call()
        update = await watched.next()
        assert update is not None and update.version == 7
        watched.watcher.close()
        server.stop()

    run_async(work)


def test_a_changed_address_is_read_completely_without_a_failure_of_the_old_one() -> None:
    async def work() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        new.version = 5
        await old.start()
        await new.start()
        watched = WatcherEvents(old)
        watched.watcher.watch(True)
        assert await watched.next() is not None
        await until(lambda: len(old.received) == 2)
        watched.watcher.change_address(parse_address(new.address))
        old.publish(list_entry("s-9", "127.0.0.2:80"))  # no sidecar watches the old discovery any more
        update = await watched.next()
        assert update is not None and update.version == 5
        await until(lambda: old.closed == [0])
        await until(lambda: len(new.received) == 2)
        assert new.received[0].target == "/catalog/members"
        assert watched.events.empty()
        watched.watcher.close()
        for stopped in (old, new):
            stopped.stop()

    run_async(work)


@pytest.mark.parametrize(
    ("body", "names"),
    [
        (b"no list", "Expecting value"),
        (b"[" * 100_000, ""),
        (b'{"version": -1, "full": true, "servers": []}', "version: "),
        (b'{"version": 2, "full": 1, "servers": []}', "full: "),
        (b'{"version": 2, "full": true, "servers": {}}', "servers: "),
        (b'{"version": 2, "full": true, "servers": [{"id": "s-1", "state": "asleep"}]}', "'asleep' of s-1"),
        (b'{"version": 2, "full": true, "servers": [{"id": "", "state": "left"}]}', "an id "),
        (b'{"version": 2, "full": true, "servers": [{"id": "s-1", "state": "active"}]}', "addr"),
        (b'{"version": 2, "full": true, "servers": [' + b"{}," * 90_000 + b"{}]}", "values are more than"),
    ],
)
def test_a_malformed_list_is_logged_once_with_its_field_and_changes_nothing(body: bytes, names: str) -> None:
    async def work() -> None:
        answers = [body, body, reply(json.dumps(VALID_LIST).encode()), body]

        async def answer(received: ReceivedRequest) -> bytes:
            body_or_response = answers.pop(0)
            return body_or_response if body_or_response.startswith(b"HTTP") else reply(body_or_response)

        server = await ScriptedServer(answer).start()
        watched = WatcherEvents(server)
        for expected in ("failed", "failed", "listed", "failed"):
            watched.watcher.fetch()
            update = await watched.next()
            assert (update is None) == (expected == "failed")
        assert len(watched.log) == 2  # the first of consecutive failures, and the first after a valid list
        assert all(text.startswith("discovery: ") and names in text for text in watched.log)
        assert all(text.endswith("; its last list stays in use") for text in watched.log)
        watched.watcher.close()
        server.stop()

    run_async(work)


def test_a_fetch_overtaken_by_newer_changes_changes_nothing() -> None:
    # An old list that arrives after newer changes would make a draining server ready again.
    async def work() -> None:
        release = asyncio.Event()

        async def answer(received: ReceivedRequest) -> bytes | None:
            if "wait_ms=0" in received.target:
                return reply(json.dumps({**VALID_LIST, "version": 42}).encode())
            if "wait_ms" in received.target:
                return None
            await release.wait()
            return reply(json.dumps({**VALID_LIST, "version": 40}).encode())

        server = await ScriptedServer(answer).start()
        watched = WatcherEvents(server)
        watched.watcher.fetch()
        await until(lambda: len(server.received) == 1)
        watched.watcher.watch(True)
        changes = await watched.next()
        assert changes is not None and changes.version == 42
        release.set()
        late = await watched.next()
        assert late == EndpointUpdate(42, False, ())
        watched.watcher.close()
        server.stop()

    run_async(work)


def test_a_call_fails_while_discovery_is_down() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        watched = WatcherEvents(server)
        server.stop()
        watched.watcher.watch(True)
        assert await watched.next() is None
        watched.watcher.fetch()
        assert await watched.next() is None

    run_async(work)


def test_a_watch_requested_again_before_its_answer_keeps_its_call() -> None:
    # While discovery is slow, calls that are restarted over and over would never be answered.
    async def work() -> None:
        release = asyncio.Event()

        async def slow(received: ReceivedRequest) -> bytes:
            await release.wait()
            return reply(json.dumps(VALID_LIST).encode())

        server = await ScriptedServer(slow).start()
        watched = WatcherEvents(server)
        for _ in range(3):
            watched.watcher.watch(True)
        await until(lambda: len(server.received) == 1)
        watched.watcher.watch(True)
        release.set()
        assert await watched.next() is not None
        assert server.connections == 1
        watched.watcher.close()
        server.stop()

    run_async(work)


def test_pushed_lists_are_received_unrequested_also_after_an_agent_restart() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        watched = WatcherEvents(server, pushed=True)
        assert await watched.next() is not None
        server.stop()
        restarted = ScriptedDiscovery()
        restarted.version = 9
        restarted.servers = [list_entry("s-1", f"{HOST}:80")]
        await restarted.start(port)
        restarted.publish(list_entry("s-2", f"{HOST}:80"))
        update = await watched.next()
        assert update is not None and update.version == 10
        assert watched.events.empty()
        watched.watcher.close()
        restarted.stop()

    run_async(work)


def test_a_list_is_parsed_into_endpoint_updates() -> None:
    update = parse_endpoint_update(
        {
            "version": 3,
            "full": False,
            "servers": [list_entry("a", "127.0.0.1:80", started_ms=1_700_000_000_123)],
        }
    )
    listed = update.entries[0].endpoint
    assert listed.started_at == 1_700_000_000_123_000
    left = parse_endpoint_update({"version": 3, "full": False, "servers": [{"id": "a", "state": "left"}]})
    assert left.entries[0].address is None
