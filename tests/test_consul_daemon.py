"""A daemon that learns its servers from Consul, over loopback sockets: what servers hear is what counts."""

from __future__ import annotations

import asyncio
import json
import os
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    CLASSES,
    HOST,
    Client,
    ScriptedDiscovery,
    consul_config,
    list_entry,
    run_async,
    soon,
    until,
)

from micadeck.config import ConfigError, parse
from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.membership.consul.config import load
from micadeck.membership.sources import DiscoveryState, EndpointSources
from micadeck.network import LoopNetwork
from micadeck.policy.events import ListedServer, ServerState
from micadeck.sidecar import Sidecar
from micadeck.stand_ins.consul import NODE, Fault, StandInConsul, State
from micadeck.stand_ins.http_server import Mode, StandInServer

GRACE_S = 0.5
MAINTENANCE = "_service_maintenance:"


@dataclass
class Fleet:
    """Servers, the Consul (and the roster) that know them, and one daemon."""

    servers: list[StandInServer]
    consuls: list[StandInConsul]
    roster: ScriptedDiscovery | None
    sidecar: Sidecar
    log: list[str]
    config: dict[str, Any]
    clients: list[Client] = field(default_factory=list)
    idle: list[Client] = field(default_factory=list)

    def change(self, make: Callable[[State], object]) -> None:
        for each in self.consuls:
            each.change(make)

    def register(self, number: int, **meta: str) -> None:
        self.change(lambda state: register(state, number, self.servers[number].address, 1, **meta))

    def drain(self, number: int) -> None:
        ident = f"t-{number}"
        self.change(lambda state: state.put_check(NODE, MAINTENANCE + ident, "critical", ident))

    def undrain(self, number: int) -> None:
        self.change(lambda state: state.drop_check(NODE, f"{MAINTENANCE}t-{number}"))

    def check(self, number: int, status: str) -> None:
        ident = f"t-{number}"
        self.change(lambda state: state.put_check(NODE, f"service:{ident}", status, ident))

    def drop(self, number: int) -> None:
        self.change(lambda state: state.drop_service(NODE, f"t-{number}"))

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection(HOST, self.sidecar.listener.port))
        self.clients.append(client)
        return client

    async def statuses(self, count: int, kind: str = "check") -> list[int]:
        """Ask so often, one after the other."""
        client = self.idle.pop() if self.idle else await self.client()
        statuses = [(await client.exchange(kind)).status for _ in range(count)]
        self.idle.append(client)
        return statuses

    async def uses(self, *numbers: int) -> None:
        """Wait until new work goes to all of these servers, and to no other."""
        async with asyncio.timeout(20):
            while True:
                before = [len(each.received) for each in self.servers]
                # Side by side: one after the other, all go to the quickest.
                for each in await asyncio.gather(*(self.statuses(2) for _ in range(4 * len(self.servers)))):
                    assert set(each) <= {200, 503}
                got = [len(each.received) > old for each, old in zip(self.servers, before, strict=True)]
                if got == [number in numbers for number in range(len(self.servers))]:
                    return

    def reload(self, **changes: Any) -> None:
        self.config.update(changes)
        self.sidecar.reload(parse(self.config))


def register(state: State, number: int, address: str, weight: int = 1, **meta: str) -> None:
    host, _, port = address.rpartition(":")
    service: dict[str, Any] = {"Name": "tariff", "ID": f"t-{number}", "Address": host, "Port": int(port)}
    service["Weights"] = {"Passing": weight, "Warning": weight}
    state.put_service(NODE, {**service, "Meta": {"zone": "a", "started_ms": "1", **meta}})
    state.put_check(NODE, f"service:t-{number}", "passing", f"t-{number}")


@asynccontextmanager
async def fleet(
    count: int,
    *,
    agents: int = 1,
    in_consul: Callable[[int], bool] = lambda _: True,
    in_roster: Callable[[int], bool] | None = None,
    tokens: set[str] | None = None,
    token_file: Path | None = None,
    **service: Any,
) -> AsyncIterator[Fleet]:
    servers = [await StandInServer(f"s-{number}", takes_s=0.01).start() for number in range(count)]
    consuls = [await StandInConsul(tokens=tokens).start() for _ in range(agents)]
    roster = None
    config: dict[str, Any] = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "seed": "8c1f",
        "consul": consul_config(*(each.address for each in consuls), **service),
        "settings": {
            "lanes": CLASSES,
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "on_request",
            "bounds": {"sendCap": 3, "mayCancel": True, "dialTimeoutUs": 1_000_000},
        },
    }
    path = Path(config["consul"])
    if token_file is not None:
        given = json.loads(path.read_text())
        path.write_text(json.dumps({**given, "token_file": str(token_file)}))
    if in_roster is not None:
        roster = ScriptedDiscovery()
        roster.servers = [
            list_entry(f"s-{number}", each.address)
            for number, each in enumerate(servers)
            if in_roster(number)
        ]
        await roster.start()
        config["discovery"] = roster.address
    log: list[str] = []
    made = Fleet(servers, consuls, roster, Sidecar(parse(config), LoopNetwork(), log.append), log, config)
    for number in range(count):
        if in_consul(number):
            made.register(number)
    await made.sidecar.start()
    try:
        yield made
    finally:
        made.sidecar.close()
        for client in made.clients:
            client.close()
        for server in servers:
            server.die()
        for consul in consuls:
            consul.stop()
        if made.roster is not None:
            made.roster.stop()
        os.unlink(path)


def played(work: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await work()

    run_async(main)


def test_health_that_flips_at_random_among_200_nodes_lets_nothing_reach_a_drained_one() -> None:
    async def work() -> None:
        async with fleet(200, in_use=0.0) as scene:
            loop, chance = asyncio.get_running_loop(), random.Random(7)
            await until(lambda: len(scene.sidecar._runtime.sources.merge.snapshot().entries) == 200)  # type: ignore[union-attr]
            out: dict[int, float] = {}  # who is drained, and since when
            spans: list[tuple[int, float, float]] = []
            answers: list[int] = []
            is_over = False

            async def ask() -> None:
                client = await scene.client()
                while not is_over:
                    answers.append((await client.exchange()).status)
                    await asyncio.sleep(0.01)

            async def flip() -> None:
                for _ in range(150):
                    number = chance.randrange(200)
                    if number in out:
                        spans.append((number, out.pop(number), loop.time()))
                        scene.undrain(number) if scene.consuls[0].state.services.get(
                            (NODE, f"t-{number}")
                        ) else scene.register(number)
                    else:
                        out[number] = loop.time()
                        scene.drain(number) if chance.random() < 0.7 else scene.drop(number)
                    await asyncio.sleep(0.02)

            askers = [loop.create_task(ask()) for _ in range(6)]
            await flip()
            await asyncio.sleep(GRACE_S)
            spans += [(number, since, loop.time()) for number, since in out.items()]
            is_over = True
            await soon(asyncio.gather(*askers))
            late = [
                (each.server, each.at - since)
                for number, since, until_ in spans
                for each in scene.servers[number].received
                if since + GRACE_S < each.at < until_
            ]
            assert late == []
            assert answers.count(200) > 0.98 * len(answers) > 300
            assert len(spans) > 100 and sum(until_ - since > GRACE_S for _, since, until_ in spans) > 50

    played(work)


def test_a_server_of_consul_that_lags_by_5_s_cannot_undo_a_drain() -> None:
    async def work() -> None:
        async with fleet(3, agents=2, mode="stale") as scene:
            fresh, lagging = scene.consuls
            await scene.uses(0, 1, 2)
            lagging.stale_by_s = 5.0
            if not fresh.reads:  # the other one was drawn first
                scene.consuls[0], scene.consuls[1] = lagging, fresh = fresh, lagging
                fresh.stale_by_s, lagging.stale_by_s = 0.0, 5.0
            scene.drain(0)
            await scene.uses(1, 2)
            fresh.stop()
            seen = lagging.reads
            await until(lambda: lagging.reads > seen + 1)  # it was read, and says that all is well
            before = len(scene.servers[0].received)
            assert set(await scene.statuses(40)) == {200}
            assert len(scene.servers[0].received) == before

    played(work)


def test_a_consul_that_answers_nothing_and_comes_back_with_a_lower_index() -> None:
    async def work() -> None:
        async with fleet(3) as scene:
            (consul,) = scene.consuls
            await scene.uses(0, 1, 2)
            port = int(consul.address.rpartition(":")[2])
            consul.faults.append(Fault("hang", 1_000))
            consul.stop()
            await until(lambda: any("its last list stays in use" in each for each in scene.log))
            assert set(await scene.statuses(20)) == {200}
            again = scene.consuls[0] = await StandInConsul().start(port)
            scene.register(0)
            scene.register(2)
            assert again.state.index < consul.state.index
            await scene.uses(0, 2)
            assert any(each.endswith("answers") for each in scene.log)

    played(work)


def test_an_agent_that_restarts_empty_takes_nobody_away() -> None:
    async def work() -> None:
        async with fleet(3, doubt_s=60) as scene:
            await scene.uses(0, 1, 2)
            reads = scene.consuls[0].reads
            scene.consuls[0].restart_empty()
            await until(lambda: scene.consuls[0].reads >= reads + 2)
            assert set(await scene.statuses(30)) == {200}
            scene.register(1)
            await scene.uses(1)

    played(work)


def test_a_node_marked_passing_that_answers_nothing_is_ejected_and_consul_does_not_bring_it_back() -> None:
    async def work() -> None:
        async with fleet(4) as scene:
            await scene.uses(0, 1, 2, 3)
            hung = scene.servers[2]
            hung.mode = Mode.HANGS
            askers = [asyncio.ensure_future(scene.statuses(60)) for _ in range(4)]
            await until(lambda: any(each.startswith("ejected") for each in scene.log))
            await soon(asyncio.gather(*askers))
            heard = len(hung.received)
            merge = scene.sidecar._runtime.sources.merge  # type: ignore[union-attr]
            for weight in (
                2,
                3,
                4,
                5,
            ):  # its word is told anew to the decisions, each time with another weight
                scene.change(lambda state, weight=weight: register(state, 2, hung.address, weight))  # type: ignore[misc]
                await until(
                    lambda weight=weight: weight in [e.endpoint.nominal for e in merge.snapshot().entries]  # type: ignore[misc]
                )
                assert set(await scene.statuses(5)) == {200}
            assert len(hung.received) <= heard + 1  # a trial, if one fell due
            assert not any(each.startswith("readmitted") for each in scene.log)

    played(work)


@pytest.mark.parametrize("who", ["critical in consul", "leaving in the roster", "gone from the roster"])
def test_of_roster_and_consul_the_more_cautious_word_holds(who: str) -> None:
    async def work() -> None:
        async with fleet(3, in_roster=lambda _: True, in_use=0.0) as scene:
            await scene.uses(0, 1, 2)
            assert scene.roster is not None
            if who == "critical in consul":
                scene.check(0, "critical")
            else:
                state = "leaving" if who.startswith("leaving") else "left"
                scene.roster.publish(list_entry("s-0", scene.servers[0].address, state=state))
            await scene.uses(1, 2)
            # The other source's word, told anew, changes nothing.
            scene.roster.publish(list_entry("s-1", scene.servers[1].address))
            if who != "critical in consul":
                scene.register(0)
            assert set(await scene.statuses(30)) == {200}
            await scene.uses(1, 2)

    played(work)


def test_nodes_of_both_sources_are_used_and_one_known_to_both_is_one() -> None:
    async def work() -> None:
        async with fleet(4, in_roster=lambda n: n < 3, in_consul=lambda n: n > 1) as scene:
            await scene.uses(0, 1, 2, 3)
            entries = scene.sidecar._runtime.sources.merge.snapshot().entries  # type: ignore[union-attr]
            last = scene.servers[3].address
            assert sorted(each.endpoint.server for each in entries) == sorted(["s-0", "s-1", "s-2", last])

    played(work)


def test_a_roster_that_is_down_is_asked_on_while_consul_has_news() -> None:
    async def work() -> None:
        async with fleet(3, in_roster=lambda n: n < 2, in_consul=lambda n: n == 2, flaps=1_000) as scene:
            await scene.uses(0, 1, 2)
            assert scene.roster is not None
            port = int(scene.roster.address.rpartition(":")[2])
            scene.roster.stop()
            for turn in range(30):  # news of Consul alone must not look as if all were well
                scene.undrain(2) if turn % 2 else scene.drain(2)
                await asyncio.sleep(0.02)
            again = ScriptedDiscovery()
            again.servers = [list_entry("s-0", scene.servers[0].address)]
            scene.roster = again
            await again.start(port)
            await scene.uses(0, 2)

    played(work)


def test_a_node_deregistered_while_it_holds_an_unsafe_request_still_answers_it_once() -> None:
    async def work() -> None:
        async with fleet(1, doubt_s=0) as scene:
            await scene.uses(0)
            server = scene.servers[0]
            server.takes_s = 0.8
            client = await scene.client()
            received = len(server.received)
            asking = asyncio.ensure_future(client.exchange("lodge"))
            await until(lambda: len(server.received) == received + 1)
            scene.drop(0)
            await until(lambda: scene.sidecar._runtime.sources.merge.snapshot().entries == ())  # type: ignore[union-attr]
            assert (await soon(asking)).status == 200
            assert len(server.received) == received + 1
            assert (await (await scene.client()).exchange()).status == 503

    played(work)


def test_a_token_revoked_in_service_keeps_the_list_and_stands_in_no_line(tmp_path: Path) -> None:
    async def work() -> None:
        token = tmp_path / "token"
        token.write_text("s3cret")
        async with fleet(2, tokens={"s3cret"}, token_file=token) as scene:
            await scene.uses(0, 1)
            consul = scene.consuls[0]
            consul.tokens = {"an0ther"}
            scene.check(0, "warning")  # wakes the call that waits; the next one is denied
            await until(lambda: any("403" in each for each in scene.log))
            assert set(await scene.statuses(20)) == {200}
            token.write_text("an0ther")
            scene.reload()
            scene.drain(1)
            await scene.uses(0)
            assert "s3cret" not in "".join(scene.log) and "an0ther" not in "".join(scene.log)

    played(work)


def test_a_service_without_checks_is_read_from_the_catalogue() -> None:
    async def work() -> None:
        how: dict[str, Any] = {"from": "catalog"}
        async with fleet(3, **how) as scene:
            scene.check(0, "critical")  # the catalogue does not tell
            await scene.uses(0, 1, 2)
            scene.drop(0)
            await scene.uses(1, 2)
            assert any(each.startswith("consul: agent agent-one in dc1") for each in scene.log)

    played(work)


def test_a_reload_takes_services_up_and_lets_them_go_and_a_bad_file_changes_nothing() -> None:
    async def work() -> None:
        async with fleet(3, in_roster=lambda n: n == 0, in_consul=lambda n: n == 1) as scene:
            await scene.uses(0, 1)
            third = scene.servers[2].address

            def lend(state: State) -> None:
                host, _, port = third.rpartition(":")
                state.put_service(NODE, {"Name": "lent", "ID": "l", "Address": host, "Port": int(port)})

            scene.change(lend)
            path = Path(scene.config["consul"])
            given = json.loads(path.read_text())
            path.write_text("{}")
            with pytest.raises(ConfigError, match="consul: agents"):
                scene.reload()
            path.write_text(json.dumps({**given, "services": [*given["services"], {"name": "lent"}]}))
            scene.reload()
            await scene.uses(0, 1, 2)
            path.write_text(json.dumps({**given, "services": [{"name": "lent"}]}))
            scene.reload()
            await scene.uses(0, 2)
            path.write_text(json.dumps({**given, "services": [{"name": "lent", "lent": "00:00-00:00"}]}))
            scene.reload()  # never lent
            await scene.uses(0)
            scene.reload(consul=None)
            assert "a restart is needed for consul" in scene.log[-1]

    played(work)


class NotedNetwork(LoopNetwork):
    """Notes how long each first pause was asked to be."""

    def __init__(self, pauses: list[float]) -> None:
        super().__init__()
        self._pauses = pauses
        self._has_paused = False

    async def sleep(self, seconds: float) -> None:
        if not self._has_paused:
            self._has_paused = True
            self._pauses.append(seconds)
        await super().sleep(seconds)


def test_a_hundred_sidecars_that_start_at_once_do_not_ask_in_step() -> None:
    async def work() -> None:
        consul = await StandInConsul().start()
        consul.change(lambda state: register(state, 0, f"{HOST}:1"))
        path = consul_config(consul.address)
        config = replace(load(path), spread_s=1.0)
        os.unlink(path)
        pauses: list[float] = []
        lists: list[int] = [0] * 100
        made = [
            EndpointSources(
                NotedNetwork(pauses),
                DiscoveryState(None, EndpointUpdate(0, True, ())),
                config,
                f"5 n-{n}",
                lambda _: None,
            )
            for n in range(100)
        ]

        def heard(number: int) -> Callable[[EndpointUpdate], None]:
            return lambda listing: lists.__setitem__(number, lists[number] + len(listing.entries))

        for number, each in enumerate(made):  # of one seed; their names alone set them apart
            each.start(heard(number), lambda: None)
        await until(lambda: all(lists))
        assert len(pauses) == 100
        tenths = [sum(0.1 * n <= each < 0.1 * (n + 1) for each in pauses) for n in range(10)]
        assert min(tenths) >= 2 and max(tenths) <= 22
        consul.change(lambda state: state.put_check(NODE, f"{MAINTENANCE}t-0", "critical", "t-0"))
        await until(lambda: all(each == 2 for each in lists))
        for each in made:
            each.close()
        consul.stop()

    played(work)


def test_a_restart_without_a_roster_holds_the_last_list_until_every_service_was_heard() -> None:
    async def work() -> None:
        consul = await StandInConsul().start()
        consul.change(lambda state: register(state, 0, f"{HOST}:1"))
        path = consul_config(consul.address)
        config = load(path)
        os.unlink(path)
        (tariff,) = config.services
        # A service may have any name, also that of a roster.
        config = replace(config, services=(tariff, replace(tariff, name="roster")))
        known = [EndpointEntry(ListedServer(f"{HOST}:{port}"), (HOST, port)) for port in (1, 2, 3)]
        states: dict[str, ServerState] = {each.endpoint.server: each.endpoint.state for each in known}
        lists: list[EndpointUpdate] = []

        def heard(listing: EndpointUpdate) -> None:
            lists.append(listing)
            states.update({each.endpoint.server: each.endpoint.state for each in listing.entries})

        sources = EndpointSources(
            LoopNetwork(),
            DiscoveryState(None, EndpointUpdate(1, True, tuple(known))),
            config,
            "1 n",
            lambda _: None,
        )
        consul.faults.append(Fault("status", 2))  # one of both is heard later, whichever it is
        consul.change(lambda state: state.put_service(NODE, {"Name": "roster", "Address": HOST, "Port": 2}))
        sources.start(heard, lambda: None)
        await until(lambda: len(sources.unanswered) == 1)
        assert set(states.values()) == {ServerState.READY}
        await until(lambda: not sources.unanswered and states[f"{HOST}:3"] is ServerState.REMOVED)
        assert states[f"{HOST}:1"] is states[f"{HOST}:2"] is ServerState.READY
        sources.close()
        consul.stop()

    played(work)
