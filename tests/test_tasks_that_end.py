"""An exception that nobody foresaw costs one turn of a watch, a timer or a task, and never all later ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

import pytest
from loopback import OK, ScriptedDiscovery, async_test, list_entry, run_harness, until
from test_consul_source import Listener, put
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
    """What nobody foresaw."""


class FailingCall:
    """Counts the calls of a method, and raises in one of them."""

    def __init__(self, real: Callable[..., Any], failing: int) -> None:
        self._real = real
        self._failing = failing
        self.calls = 0

    def __call__(self, *given: Any, **named: Any) -> Any:
        self.calls += 1
        if self.calls == self._failing:
            raise DefectError
        return self._real(*given, **named)


@contextmanager
def failing(owner: Any, name: str, number: int) -> Iterator[FailingCall]:
    """Have the method's call of this number raise."""
    call = FailingCall(getattr(owner, name), number)

    def replaced(*given: Any, **named: Any) -> Any:
        return call(*given, **named)

    with mock.patch.object(owner, name, replaced):
        yield call


AWAITED = [(LoopNetwork, "sleep"), (LoopNetwork, "dial"), (ClientConnection, "exchange")]
"""What the watches await, by the call that begins it."""


@pytest.mark.parametrize("number", [2, 3, 4, 5])
@pytest.mark.parametrize(
    ("owner", "name"),
    [*AWAITED, (ServiceView, "take_change"), (EndpointMerge, "observe_changes")],
    ids=lambda each: each if isinstance(each, str) else "",
)
@async_test
async def test_a_watch_of_consul_goes_on(owner: Any, name: str, number: int) -> None:
    agent = await StandInConsul().start()
    put(agent, 1)
    with failing(owner, name, number) as call:
        listener = Listener(agent, wait_s=0.1)
        await until(lambda: call.calls > number or name == "dial")
        put(agent, 2)
        await until(lambda: len(listener.used()) == 2)
    listener.watch.close()
    agent.stop()


@pytest.mark.parametrize("number", [1, 2, 3])
@pytest.mark.parametrize(
    ("owner", "name"),
    [(LoopNetwork, "dial"), (ClientConnection, "exchange"), (DiscoveryWatcher, "_accept")],
    ids=lambda each: each if isinstance(each, str) else "",
)
@async_test
async def test_a_watch_of_discovery_goes_on(owner: Any, name: str, number: int) -> None:
    discovery = ScriptedDiscovery()
    await discovery.start()
    lists: list[EndpointUpdate] = []
    log: list[str] = []
    watcher = DiscoveryWatcher(
        LoopNetwork(), parse_address(discovery.address), 1, WatchOptions(is_pushed=True), log.append
    )
    with failing(owner, name, number):
        watcher.start(lists.append, lambda: None)
        await asyncio.sleep(0.05)
        for _ in range(3):
            discovery.publish(list_entry("s-0", "127.0.0.1:1"))
            await until(lambda: bool(lists) and lists[-1].version == discovery.version)
    watcher.close()
    discovery.stop()


@async_test
async def test_timers_and_tasks_of_a_sidecar_go_on() -> None:
    async with run_harness(OK) as harness:
        watch = mock.Mock(refresh=FailingCall(lambda: False, 2))
        watching = asyncio.create_task(harness.sidecar._watch_siblings(watch))
        with failing(TimeoutSweeper, "_abort_lingering", 2) as sweep:
            await until(lambda: sweep.calls > 3 and watch.refresh.calls > 3)
        watching.cancel()
        assert harness.log == ["internal error: siblings: DefectError()"]


@async_test
async def test_samples_of_memory_go_on() -> None:
    refresh = FailingCall(lambda: None, 2)
    monitor = MemoryMonitor(LoopNetwork(), MemoryBudget(1 << 30), lambda _: None, refresh)
    monitor.start()
    await until(lambda: refresh.calls > 3)
    monitor.close()


def test_a_member_of_the_fleet_goes_on() -> None:
    fleet = FleetHosts(3)

    async def work() -> None:
        with failing(FleetMember, "tick", 2):
            await asyncio.sleep(60.0)
        assert all(host.member.is_settled for host in fleet.hosts)
        assert not any("dead" in text for log in fleet.logs for text in log)

    fleet.play(work)
