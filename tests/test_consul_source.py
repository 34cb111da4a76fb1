"""A watched service, from the stand-in Consul through the map and the merge to the list that comes of it."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

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


class Listener:
    """A merge fed by one watched service; it keeps when each server last changed its state."""

    def __init__(
        self, *agents: StandInConsul, wait_s: float = 10.0, trust: SourceTrust | None = None
    ) -> None:
        self.network = LoopNetwork()
        self.merge = EndpointMerge()
        self.merge.add("consul", trust)
        self.states: dict[str, tuple[ServerState, float]] = {}
        self.starts: dict[str, int | None] = {}
        self.failures: list[str] = []
        self.lists = 0
        client = ConsulClient(
            self.network, Agents(tuple(parse_address(each.address) for each in agents)), RequestOptions()
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
        self.lists += 1
        return self.merge.accepts_empty(self.network.now() / 1e6, "consul", agent)

    async def _updated(self, update: ServiceUpdate) -> None:
        self.lists += update.change.count > 0
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


def played(work: Callable[[StandInConsul], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        agent = await StandInConsul().start()
        try:
            await work(agent)
        finally:
            agent.stop()

    run_async(main)


def test_a_flip_is_published_within_the_grace_while_others_flip_at_random() -> None:
    async def work(agent: StandInConsul) -> None:
        chance = random.Random(5)
        for port in range(1, 201):
            put(agent, port)
        listener = Listener(agent)
        await until(lambda: len(listener.used()) == 200)
        flipped: dict[str, float] = {}
        for _ in range(60):
            port = chance.randrange(1, 201)
            name = f"10.0.0.1:{port}"
            if name not in flipped:
                flipped[name] = time.monotonic()
                agent.change(
                    lambda state, port=port: state.put_check(  # type: ignore[misc]
                        NODE, f"_service_maintenance:t-{port}", "critical", f"t-{port}"
                    )
                )
            await asyncio.sleep(0.02)
        await until(lambda: not set(flipped) & listener.used())
        spans = [listener.states[name][1] - at for name, at in flipped.items()]
        assert len(spans) > 40 and max(spans) < 0.5
        listener.watch.close()

    played(work)


def test_a_consul_that_is_away_keeps_the_list_and_is_found_again() -> None:
    async def work(agent: StandInConsul) -> None:
        put(agent, 80)
        listener = Listener(agent)
        await until(lambda: listener.used() == {"10.0.0.1:80"})
        port = int(agent.address.rpartition(":")[2])
        agent.stop()
        await until(lambda: len(listener.failures) >= 2)
        assert listener.used() == {"10.0.0.1:80"}
        again = await StandInConsul().start(port)  # and its index is lower
        put(again, 80)
        put(again, 81)
        await until(lambda: listener.used() == {"10.0.0.1:80", "10.0.0.1:81"})
        listener.watch.close()
        again.stop()

    played(work)


def test_an_agent_that_restarts_empty_removes_nothing_until_another_confirms_it() -> None:
    async def work(agent: StandInConsul) -> None:
        other = await StandInConsul().start()
        for each in (agent, other):
            put(each, 80)
        listener = Listener(agent, other, trust=SourceTrust(empty_confirm_s=60.0))
        await until(lambda: listener.used() == {"10.0.0.1:80"})
        seen = listener.lists
        agent.restart_empty()
        await until(lambda: listener.lists >= seen + 2)  # the empty one, and the other agent's
        assert listener.used() == {"10.0.0.1:80"}
        other.restart_empty()
        agent_lists = listener.lists
        await until(lambda: listener.lists > agent_lists and not listener.used())
        listener.watch.close()
        other.stop()

    played(work)


def test_one_that_was_critical_and_passes_again_is_cold() -> None:
    async def work(agent: StandInConsul) -> None:
        put(agent, 80)
        put(agent, 81)
        listener = Listener(agent)
        await until(lambda: len(listener.used()) == 2)
        assert listener.starts["10.0.0.1:80"] is None
        put(agent, 80, "critical")
        await until(lambda: listener.used() == {"10.0.0.1:81"})
        put(agent, 80)
        await until(lambda: len(listener.used()) == 2)
        started = listener.starts["10.0.0.1:80"]
        assert started is not None and abs(listener.network.now() - started) < 5_000_000
        assert listener.starts["10.0.0.1:81"] is None
        listener.watch.close()

    played(work)


def test_faults_in_service_are_reported_and_survived() -> None:
    async def work(agent: StandInConsul) -> None:
        put(agent, 80)
        kinds = [Fault("status"), Fault("status", status=429, text=""), Fault("reset"), Fault("truncated")]
        agent.faults.extend([*kinds, Fault("index", index=3)])
        listener = Listener(agent)
        await until(lambda: listener.used() == {"10.0.0.1:80"})
        assert len(listener.failures) == 4
        put(agent, 81)
        await soon(_until_used(listener, 2))
        listener.watch.close()

    played(work)


async def _until_used(listener: Listener, count: int) -> None:
    await until(lambda: len(listener.used()) == count)


def test_a_redirect_to_nowhere_costs_one_call_and_not_the_watch() -> None:
    """Against a watch that ends without a word, its last list in force for ever."""

    async def work() -> None:
        agent = await StandInConsul().start()
        listener = Listener(agent)
        agent.faults.append(Fault("redirect", to="[::1"))
        await until(lambda: bool(listener.failures))
        await until(lambda: listener.lists > 0)
        assert "cannot be called" in listener.failures[0]
        listener.watch.close()
        agent.stop()

    run_async(work)
