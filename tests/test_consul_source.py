"""A watched service, from the stand-in Consul through parsing and merging to the published list."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from duplicating_proxy import DuplicatingProxy
from loopback import run_async, soon, until

from micadeck.membership.consul import (
    Agents,
    BlockingQuery,
    ConsulClient,
    RequestOptions,
    ServiceUpdate,
    ServiceWatch,
    WatchCallbacks,
    WatchTarget,
)
from micadeck.membership.endpoint_merge import EndpointMerge
from micadeck.membership.endpoint_observation import SourceTrust
from micadeck.network import LoopNetwork, parse_address
from micadeck.policy.events import ServerState
from micadeck.stand_ins.consul import NODE, Fault, StandInConsul

MS = 0.001


class PublishedStates:
    """A merge fed by one watched service; records when each server last changed its state."""

    def __init__(
        self,
        *agents: StandInConsul | DuplicatingProxy,
        wait_s: float = 10.0,
        trust: SourceTrust | None = None,
    ) -> None:
        self.network = LoopNetwork()
        self.merge = EndpointMerge()
        self.merge.add("consul", trust)
        self.states: dict[str, tuple[ServerState, float]] = {}
        self.starts: dict[str, int | None] = {}
        self.failures: list[str] = []
        self.list_count = 0
        client = ConsulClient(
            self.network, Agents(tuple(parse_address(agent.address) for agent in agents)), RequestOptions()
        )
        self.watch = ServiceWatch(
            self.network,
            client,
            WatchTarget("tariff"),
            BlockingQuery(random.Random(3), wait_s),
            WatchCallbacks(self._accepts_empty, self._updated, self.failures.append),
        )
        self.watch.start()

    def _accepts_empty(self, agent: str) -> bool:
        self.list_count += 1
        return self.merge.accepts_empty(self.network.now() / 1e6, "consul", agent)

    async def _updated(self, update: ServiceUpdate) -> None:
        self.list_count += update.change.count > 0
        now = self.network.now() / 1e6
        self.merge.observe_changes(
            now, "consul", update.change.observations, update.change.removed, lag_s=update.lag_s
        )
        changes = self.merge.take_changes(now)
        for entry in changes.entries if changes is not None else ():
            self.states[entry.endpoint.server] = (entry.endpoint.state, time.monotonic())
            self.starts[entry.endpoint.server] = entry.endpoint.started_at

    def used(self) -> set[str]:
        return {name for name, (state, _) in self.states.items() if state is ServerState.READY}


def put(agent: StandInConsul, port: int, status: str = "passing", ident: str = "") -> None:
    name = ident or f"t-{port}"

    def change(state: Any) -> None:
        if (NODE, name) not in state.services:
            state.put_service(NODE, {"Name": "tariff", "ID": name, "Address": "10.0.0.1", "Port": port})
        state.put_check(NODE, f"service:{name}", status, name)

    agent.change(change)


def run_with_agent(work: Callable[[StandInConsul], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        agent = await StandInConsul().start()
        try:
            await work(agent)
        finally:
            agent.stop()

    run_async(main)


def test_a_drain_is_published_within_the_grace_while_others_change_at_random() -> None:
    async def work(agent: StandInConsul) -> None:
        rng = random.Random(5)
        for port in range(1, 201):
            put(agent, port)
        published = PublishedStates(agent)
        await until(lambda: len(published.used()) == 200)
        drained_at: dict[str, float] = {}
        for _ in range(60):
            port = rng.randrange(1, 201)
            name = f"10.0.0.1:{port}"
            if name not in drained_at:
                drained_at[name] = time.monotonic()
                agent.change(
                    lambda state, port=port: state.put_check(  # type: ignore[misc]
                        NODE, f"_service_maintenance:t-{port}", "critical", f"t-{port}"
                    )
                )
            await asyncio.sleep(0.02)
        await until(lambda: not set(drained_at) & published.used())
        delays = [published.states[name][1] - at for name, at in drained_at.items()]
        assert len(delays) > 40 and max(delays) < 0.5
        published.watch.close()

    run_with_agent(work)


def test_drains_are_published_within_the_grace_although_responses_come_twice() -> None:
    # Guards against a list that lags behind, since an older response was taken for the newest.
    async def work(agent: StandInConsul) -> None:
        ports = range(1, 13)
        for port in ports:
            put(agent, port)
        proxy = await DuplicatingProxy(agent.address).start()
        published = PublishedStates(proxy)
        await until(lambda: len(published.used()) == len(ports))
        rng = random.Random(2)
        for port in ports:
            name, maintenance = f"10.0.0.1:{port}", f"_service_maintenance:t-{port}"
            drained_at = time.monotonic()
            agent.change(
                lambda state, check=maintenance, port=port: state.put_check(  # type: ignore[misc]
                    NODE, check, "critical", f"t-{port}"
                )
            )
            await until(lambda name=name: name not in published.used())  # type: ignore[misc]
            assert published.states[name][1] - drained_at < 0.5
            await asyncio.sleep(rng.uniform(0.0, 0.02))
        assert proxy.duplicates > 0 and not published.failures
        published.watch.close()
        proxy.stop()

    run_with_agent(work)


def test_an_unreachable_consul_keeps_the_list_and_is_read_again_after_its_restart() -> None:
    async def work(agent: StandInConsul) -> None:
        put(agent, 80)
        published = PublishedStates(agent)
        await until(lambda: published.used() == {"10.0.0.1:80"})
        port = int(agent.address.rpartition(":")[2])
        agent.stop()
        await until(lambda: len(published.failures) >= 2)
        assert published.used() == {"10.0.0.1:80"}
        restarted = await StandInConsul().start(port)  # with a lower index
        put(restarted, 80)
        put(restarted, 81)
        await until(lambda: published.used() == {"10.0.0.1:80", "10.0.0.1:81"})
        published.watch.close()
        restarted.stop()

    run_with_agent(work)


def test_an_agent_that_restarts_empty_removes_nothing_until_another_confirms_it() -> None:
    async def work(agent: StandInConsul) -> None:
        other = await StandInConsul().start()
        for stand_in in (agent, other):
            put(stand_in, 80)
        published = PublishedStates(agent, other, trust=SourceTrust(empty_confirm_s=60.0))
        await until(lambda: published.used() == {"10.0.0.1:80"})
        lists_before = published.list_count
        agent.restart_empty()
        # The empty list, and that of the other agent.
        await until(lambda: published.list_count >= lists_before + 2)
        assert published.used() == {"10.0.0.1:80"}
        other.restart_empty()
        agent_lists = published.list_count
        await until(lambda: published.list_count > agent_lists and not published.used())
        published.watch.close()
        other.stop()

    run_with_agent(work)


def test_a_server_that_passes_again_after_being_critical_is_cold() -> None:
    async def work(agent: StandInConsul) -> None:
        put(agent, 80)
        put(agent, 81)
        published = PublishedStates(agent)
        await until(lambda: len(published.used()) == 2)
        assert published.starts["10.0.0.1:80"] is None
        put(agent, 80, "critical")
        await until(lambda: published.used() == {"10.0.0.1:81"})
        put(agent, 80)
        await until(lambda: len(published.used()) == 2)
        started = published.starts["10.0.0.1:80"]
        assert started is not None and abs(published.network.now() - started) < 5_000_000
        assert published.starts["10.0.0.1:81"] is None
        published.watch.close()

    run_with_agent(work)


def test_agent_faults_are_reported_and_the_watch_continues() -> None:
    async def work(agent: StandInConsul) -> None:
        put(agent, 80)
        faults = [Fault("status"), Fault("status", status=429, text=""), Fault("reset"), Fault("truncated")]
        agent.faults.extend([*faults, Fault("index", index=3)])
        published = PublishedStates(agent)
        await until(lambda: published.used() == {"10.0.0.1:80"})
        assert len(published.failures) == 4
        put(agent, 81)
        await soon(_until_used(published, 2))
        published.watch.close()

    run_with_agent(work)


async def _until_used(published: PublishedStates, count: int) -> None:
    await until(lambda: len(published.used()) == count)


def test_an_invalid_redirect_fails_one_call_and_not_the_watch() -> None:
    """Guards against a watch that ends silently and leaves its last list in use forever."""

    async def work() -> None:
        agent = await StandInConsul().start()
        published = PublishedStates(agent)
        agent.faults.append(Fault("redirect", to="[::1"))
        await until(lambda: bool(published.failures))
        await until(lambda: published.list_count > 0)
        assert "cannot be called" in published.failures[0]
        published.watch.close()
        agent.stop()

    run_async(work)
