"""An unexpected exception fails one iteration of a watch, timer or task, and never ends the later ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import pytest
from loopback import OK, ScriptedDiscovery, async_test, list_entry, run_harness, until
from test_consul_source import PublishedStates, put
from test_fleet_host import FleetHosts

from micadeck.engine import EndpointUpdate
from micadeck.fleet.fleet_member import FleetMember
from micadeck.http.client import ClientConnection
from micadeck.http.connection_timeouts import TimeoutSweeper
from micadeck.membership.consul.view import ServiceView
from micadeck.membership.discovery_watcher import DiscoveryWatcher, WatchOptions
from micadeck.membership.endpoint_merge import EndpointMerge
from micadeck.memory.budget import MemoryBudget
from micadeck.memory.monitor import MemoryMonitor
from micadeck.network import LoopNetwork, parse_address
from micadeck.stand_ins.consul import StandInConsul


class DefectError(Exception):
    """An unexpected exception."""


class FailingCall:
    """Counts the calls of a method and raises in one of them."""

    def __init__(self, real: Callable[..., Any], failing: int) -> None:
        self._real = real
        self._failing_call = failing
        self.calls = 0

    def __call__(self, *args: Any, **kwargs: Any) -> Any:
        self.calls += 1
        if self.calls == self._failing_call:
            raise DefectError
        return self._real(*args, **kwargs)


@contextmanager
def failing(owner: Any, name: str, number: int) -> Iterator[FailingCall]:
    """Make the method's call with this number raise."""
    call = FailingCall(getattr(owner, name), number)

    def replacement(*args: Any, **kwargs: Any) -> Any:
        return call(*args, **kwargs)

    with mock.patch.object(owner, name, replacement):
        yield call


AWAITED = [(LoopNetwork, "sleep"), (LoopNetwork, "dial"), (ClientConnection, "exchange")]
"""The calls that watches await."""


@pytest.mark.parametrize("number", [2, 3, 4, 5])
@pytest.mark.parametrize(
    ("owner", "name"),
    [*AWAITED, (ServiceView, "take_change"), (EndpointMerge, "observe_changes")],
    ids=lambda each: each if isinstance(each, str) else "",
)
@async_test
async def test_a_watch_of_consul_continues(owner: Any, name: str, number: int) -> None:
    agent = await StandInConsul().start()
    put(agent, 1)
    with failing(owner, name, number) as call:
        published = PublishedStates(agent, wait_s=0.1)
        await until(lambda: call.calls > number or name == "dial")
        put(agent, 2)
        await until(lambda: len(published.used()) == 2)
    published.watch.close()
    agent.stop()


@pytest.mark.parametrize("number", [1, 2, 3])
@pytest.mark.parametrize(
    ("owner", "name"),
    [(LoopNetwork, "dial"), (ClientConnection, "exchange"), (DiscoveryWatcher, "_accept")],
    ids=lambda each: each if isinstance(each, str) else "",
)
@async_test
async def test_a_watch_of_discovery_continues(owner: Any, name: str, number: int) -> None:
    discovery = ScriptedDiscovery()
    await discovery.start()
    updates: list[EndpointUpdate] = []
    log: list[str] = []
    watcher = DiscoveryWatcher(
        LoopNetwork(), parse_address(discovery.address), 1, WatchOptions(is_pushed=True), log.append
    )
    with failing(owner, name, number):
        watcher.start(updates.append, lambda: None)
        await asyncio.sleep(0.05)
        for _ in range(3):
            discovery.publish(list_entry("s-0", "127.0.0.1:1"))
            await until(lambda: bool(updates) and updates[-1].version == discovery.version)
    watcher.close()
    discovery.stop()


@async_test
async def test_timers_and_tasks_of_a_sidecar_continue() -> None:
    async with run_harness(OK) as running:
        watch = mock.Mock(refresh=FailingCall(lambda: False, 2))
        watch_task = asyncio.create_task(running.sidecar._watch_siblings(watch))
        with failing(TimeoutSweeper, "_abort_lingering", 2) as sweep:
            await until(lambda: sweep.calls > 3 and watch.refresh.calls > 3)
        watch_task.cancel()
        assert running.log == ["internal error: siblings: DefectError()"]


@async_test
async def test_memory_sampling_continues() -> None:
    refresh = FailingCall(lambda: None, 2)
    monitor = MemoryMonitor(LoopNetwork(), MemoryBudget(1 << 30), lambda _: None, refresh)
    monitor.start()
    await until(lambda: refresh.calls > 3)
    monitor.close()


def test_a_member_of_the_fleet_continues() -> None:
    fleet = FleetHosts(3)

    async def work() -> None:
        with failing(FleetMember, "tick", 2):
            await asyncio.sleep(60.0)
        assert all(host.member.is_settled for host in fleet.hosts)
        assert not any("dead" in text for log in fleet.logs for text in log)

    fleet.run_settled(work)
