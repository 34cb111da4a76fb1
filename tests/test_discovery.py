"""Watching and fetching the list, over loopback sockets."""

from __future__ import annotations

import asyncio
import json

import pytest
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


class Ears:
    """What discovery reported."""

    def __init__(self, server: ScriptedServer, version: int = 41, pushed: bool = False) -> None:
        self.events: asyncio.Queue[EndpointUpdate | None] = asyncio.Queue()
        self.log: list[str] = []
        self.discovery = DiscoveryWatcher(
            LoopNetwork(),
            parse_address(server.address),
            version,
            WatchOptions(is_pushed=pushed),
            self.log.append,
        )
        self.discovery.start(self.events.put_nowait, lambda: self.events.put_nowait(None))

    async def next(self) -> EndpointUpdate | None:
        return await soon(self.events.get())


def test_a_watch_is_answered_at_once_then_waits_for_news() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [list_entry("s-1", "127.0.0.2:80")]
        await server.start()
        ears = Ears(server)
        ears.discovery.watch(True)
        first = await ears.next()
        assert first is not None and first.full and first.version == 1
        await until(lambda: len(server.received) == 2)
        assert server.received[0].target == "/catalog/members?after=41&wait_ms=0"
        assert server.received[1].target == "/catalog/members?after=1&wait_ms=2000"
        server.publish(list_entry("s-1", "127.0.0.2:80", state="leaving"))
        news = await ears.next()
        assert news is not None and not news.full and news.version == 2
        await until(lambda: len(server.received) == 3)
        ears.discovery.watch(False)
        await until(lambda: len(server.closed) == 0 or server.closed == [0])
        ears.discovery.close()
        server.stop()

    run_async(work)


GOOD = {"version": 7, "full": True, "servers": []}


@pytest.mark.parametrize(
    "answer",
    [
        reply(b"", "503 Busy"),
        reply(b"not json"),
        reply(b"[" * 100_000),
        reply(json.dumps({**GOOD, "version": "x"}).encode()),
        reply(json.dumps({**GOOD, "full": 1}).encode()),
        reply(json.dumps({**GOOD, "servers": [{"id": "a", "state": "odd"}]}).encode()),
        reply(json.dumps({**GOOD, "servers": [{"id": "a", "state": "active", "addr": "name:80"}]}).encode()),
        b"garbage\r\n\r\n",
        None,
    ],
    ids=str,
)
@pytest.mark.parametrize("how", ["follow", "fetch"])
def test_a_call_that_fails_is_one_failure_and_the_next_is_answered(answer: bytes | None, how: str) -> None:
    async def work() -> None:
        async def once(received: ReceivedRequest) -> bytes:
            server.script = reply(json.dumps(GOOD).encode())
            if answer is None:
                received.writer.transport.abort()
                return b""
            return answer

        server = await ScriptedServer(once).start()
        ears = Ears(server)

        def call() -> None:
            if how == "follow":
                ears.discovery.watch(True)
            else:
                ears.discovery.fetch()

        call()
        assert await ears.next() is None
        assert ears.events.empty()
        call()
        received = await ears.next()
        assert received is not None and received.version == 7
        ears.discovery.close()
        server.stop()

    run_async(work)


def test_a_changed_address_is_read_completely_without_a_failure_of_the_old_one() -> None:
    async def work() -> None:
        old, new = ScriptedDiscovery(), ScriptedDiscovery()
        new.version = 5
        await old.start()
        await new.start()
        ears = Ears(old)
        ears.discovery.watch(True)
        assert await ears.next() is not None
        await until(lambda: len(old.received) == 2)
        ears.discovery.change_address(parse_address(new.address))
        old.publish(list_entry("s-9", "127.0.0.2:80"))  # nobody hears it any more
        received = await ears.next()
        assert received is not None and received.version == 5
        await until(lambda: old.closed == [0])
        await until(lambda: len(new.received) == 2)
        assert new.received[0].target == "/catalog/members"
        assert ears.events.empty()
        ears.discovery.close()
        for each in (old, new):
            each.stop()

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
def test_nonsense_for_a_list_is_logged_once_by_its_field_and_changes_nothing(body: bytes, names: str) -> None:
    async def work() -> None:
        answers = [body, body, reply(json.dumps(GOOD).encode()), body]

        async def answer(received: ReceivedRequest) -> bytes:
            given = answers.pop(0)
            return given if given.startswith(b"HTTP") else reply(given)

        server = await ScriptedServer(answer).start()
        ears = Ears(server)
        for told in ("failed", "failed", "listed", "failed"):
            ears.discovery.fetch()
            received = await ears.next()
            assert (received is None) == (told == "failed")
        assert len(ears.log) == 2  # the first of a row, and the first after a list that could be read
        assert all(each.startswith("discovery: ") and names in each for each in ears.log)
        assert all(each.endswith("; its last list stays in use") for each in ears.log)
        ears.discovery.close()
        server.stop()

    run_async(work)


def test_a_fetch_that_was_overtaken_by_news_changes_nothing() -> None:
    # Guards against an old list that ends after newer changes: a draining server would be ready again.
    async def work() -> None:
        release = asyncio.Event()

        async def answer(received: ReceivedRequest) -> bytes | None:
            if "wait_ms=0" in received.target:
                return reply(json.dumps({**GOOD, "version": 42}).encode())
            if "wait_ms" in received.target:
                return None
            await release.wait()
            return reply(json.dumps({**GOOD, "version": 40}).encode())

        server = await ScriptedServer(answer).start()
        ears = Ears(server)
        ears.discovery.fetch()
        await until(lambda: len(server.received) == 1)
        ears.discovery.watch(True)
        news = await ears.next()
        assert news is not None and news.version == 42
        release.set()
        late = await ears.next()
        assert late == EndpointUpdate(42, False, ())
        ears.discovery.close()
        server.stop()

    run_async(work)


def test_discovery_that_is_down_fails_a_call() -> None:
    async def work() -> None:
        server = await ScriptedServer(None).start()
        ears = Ears(server)
        server.stop()
        ears.discovery.watch(True)
        assert await ears.next() is None
        ears.discovery.fetch()
        assert await ears.next() is None

    run_async(work)


def test_a_watch_wanted_again_before_its_answer_keeps_its_place() -> None:
    # Guards against calls that are restarted over and over while discovery is slow, and never answered.
    async def work() -> None:
        release = asyncio.Event()

        async def slow(received: ReceivedRequest) -> bytes:
            await release.wait()
            return reply(json.dumps(GOOD).encode())

        server = await ScriptedServer(slow).start()
        ears = Ears(server)
        for _ in range(3):
            ears.discovery.watch(True)
        await until(lambda: len(server.received) == 1)
        ears.discovery.watch(True)
        release.set()
        assert await ears.next() is not None
        assert server.connections == 1
        ears.discovery.close()
        server.stop()

    run_async(work)


def test_pushed_lists_are_received_unrequested_also_after_the_agent_was_away() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        await server.start()
        port = int(server.address.rpartition(":")[2])
        ears = Ears(server, pushed=True)
        assert await ears.next() is not None
        server.stop()
        again = ScriptedDiscovery()
        again.version = 9
        again.servers = [list_entry("s-1", f"{HOST}:80")]
        await again.start(port)
        again.publish(list_entry("s-2", f"{HOST}:80"))
        received = await ears.next()
        assert received is not None and received.version == 10
        assert ears.events.empty()
        ears.discovery.close()
        again.stop()

    run_async(work)


def test_a_listing_is_read_as_the_decisions_need_it() -> None:
    listing = parse_endpoint_update(
        {
            "version": 3,
            "full": False,
            "servers": [list_entry("a", "127.0.0.1:80", started_ms=1_700_000_000_123)],
        }
    )
    listed = listing.entries[0].endpoint
    assert listed.started_at == 1_700_000_000_123_000
    left = parse_endpoint_update({"version": 3, "full": False, "servers": [{"id": "a", "state": "left"}]})
    assert left.entries[0].address is None
