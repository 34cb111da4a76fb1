"""A sidecar that discovers its servers through Consul, checked by the requests that servers receive."""

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
class ConsulSetup:
    """Servers, the Consul agents (and roster) that list them, and one sidecar."""

    servers: list[StandInServer]
    consuls: list[StandInConsul]
    roster: ScriptedDiscovery | None
    sidecar: Sidecar
    log: list[str]
    config: dict[str, Any]
    clients: list[Client] = field(default_factory=list)
    idle: list[Client] = field(default_factory=list)

    def change(self, apply: Callable[[State], object]) -> None:
        for consul in self.consuls:
            consul.change(apply)

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
        """Send `count` requests in sequence."""
        client = self.idle.pop() if self.idle else await self.client()
        statuses = [(await client.exchange(kind)).status for _ in range(count)]
        self.idle.append(client)
        return statuses

    async def wait_until_used(self, *numbers: int) -> None:
        """Wait until new requests go to all of these servers and to no other."""
        async with asyncio.timeout(20):
            while True:
                before = [len(server.received) for server in self.servers]
                # Concurrent requests, since sequential ones would all go to the fastest server.
                for statuses in await asyncio.gather(
                    *(self.statuses(2) for _ in range(4 * len(self.servers)))
                ):
                    assert set(statuses) <= {200, 503}
                is_used = [
                    len(server.received) > old for server, old in zip(self.servers, before, strict=True)
                ]
                if is_used == [number in numbers for number in range(len(self.servers))]:
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
async def consul_setup(
    count: int,
    *,
    agents: int = 1,
    in_consul: Callable[[int], bool] = lambda _: True,
    in_roster: Callable[[int], bool] | None = None,
    tokens: set[str] | None = None,
    token_file: Path | None = None,
    **service: Any,
) -> AsyncIterator[ConsulSetup]:
    servers = [await StandInServer(f"s-{number}", takes_s=0.01).start() for number in range(count)]
    consuls = [await StandInConsul(tokens=tokens).start() for _ in range(agents)]
    roster = None
    config: dict[str, Any] = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "seed": "8c1f",
        "consul": consul_config(*(consul.address for consul in consuls), **service),
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
        consul_file = json.loads(path.read_text())
        path.write_text(json.dumps({**consul_file, "token_file": str(token_file)}))
    if in_roster is not None:
        roster = ScriptedDiscovery()
        roster.servers = [
            list_entry(f"s-{number}", server.address)
            for number, server in enumerate(servers)
            if in_roster(number)
        ]
        await roster.start()
        config["discovery"] = roster.address
    log: list[str] = []
    setup = ConsulSetup(
        servers, consuls, roster, Sidecar(parse(config), LoopNetwork(), log.append), log, config
    )
    for number in range(count):
        if in_consul(number):
            setup.register(number)
    await setup.sidecar.start()
    try:
        yield setup
    finally:
        setup.sidecar.close()
        for client in setup.clients:
            client.close()
        for server in servers:
            server.die()
        for consul in consuls:
            consul.stop()
        if setup.roster is not None:
            setup.roster.stop()
        os.unlink(path)


def run(work: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await work()

    run_async(main)


def test_random_health_changes_of_200_nodes_send_nothing_to_drained_ones() -> None:
    async def work() -> None:
        async with consul_setup(200, in_use=0.0) as setup:
            loop, rng = asyncio.get_running_loop(), random.Random(7)
            await until(lambda: len(setup.sidecar._runtime.sources.merge.snapshot().entries) == 200)  # type: ignore[union-attr]
            drained_since: dict[int, float] = {}  # start of the drain, by server
            drains: list[tuple[int, float, float]] = []
            answers: list[int] = []
            is_done = False

            async def send_requests() -> None:
                client = await setup.client()
                while not is_done:
                    answers.append((await client.exchange()).status)
                    await asyncio.sleep(0.01)

            async def change_health() -> None:
                for _ in range(150):
                    number = rng.randrange(200)
                    if number in drained_since:
                        drains.append((number, drained_since.pop(number), loop.time()))
                        setup.undrain(number) if setup.consuls[0].state.services.get(
                            (NODE, f"t-{number}")
                        ) else setup.register(number)
                    else:
                        drained_since[number] = loop.time()
                        setup.drain(number) if rng.random() < 0.7 else setup.drop(number)
                    await asyncio.sleep(0.02)

            clients = [loop.create_task(send_requests()) for _ in range(6)]
            await change_health()
            await asyncio.sleep(GRACE_S)
            drains += [(number, since, loop.time()) for number, since in drained_since.items()]
            is_done = True
            await soon(asyncio.gather(*clients))
            late = [
                (each.server, each.at - since)
                for number, since, until_ in drains
                for each in setup.servers[number].received
                if since + GRACE_S < each.at < until_
            ]
            assert late == []
            assert answers.count(200) > 0.98 * len(answers) > 300
            assert len(drains) > 100 and sum(until_ - since > GRACE_S for _, since, until_ in drains) > 50

    run(work)


def test_a_consul_server_that_lags_by_5_s_cannot_undo_a_drain() -> None:
    async def work() -> None:
        async with consul_setup(3, agents=2, mode="stale") as setup:
            fresh, lagging = setup.consuls
            await setup.wait_until_used(0, 1, 2)
            lagging.stale_by_s = 5.0
            if not fresh.reads:  # the sidecar chose the other agent first
                setup.consuls[0], setup.consuls[1] = lagging, fresh = fresh, lagging
                fresh.stale_by_s, lagging.stale_by_s = 0.0, 5.0
            setup.drain(0)
            await setup.wait_until_used(1, 2)
            fresh.stop()
            seen = lagging.reads
            # The lagging agent was read, and still reports the server as passing.
            await until(lambda: lagging.reads > seen + 1)
            before = len(setup.servers[0].received)
            assert set(await setup.statuses(40)) == {200}
            assert len(setup.servers[0].received) == before

    run(work)


def test_a_consul_outage_keeps_the_list_and_a_lower_index_afterwards_is_accepted() -> None:
    async def work() -> None:
        async with consul_setup(3) as setup:
            (consul,) = setup.consuls
            await setup.wait_until_used(0, 1, 2)
            port = int(consul.address.rpartition(":")[2])
            consul.faults.append(Fault("hang", 1_000))
            consul.stop()
            await until(lambda: any("its last list stays in use" in each for each in setup.log))
            assert set(await setup.statuses(20)) == {200}
            restarted = setup.consuls[0] = await StandInConsul().start(port)
            setup.register(0)
            setup.register(2)
            assert restarted.state.index < consul.state.index
            await setup.wait_until_used(0, 2)
            assert any(each.endswith("answers") for each in setup.log)

    run(work)


def test_an_agent_that_restarts_empty_removes_no_server() -> None:
    async def work() -> None:
        async with consul_setup(3, doubt_s=60) as setup:
            await setup.wait_until_used(0, 1, 2)
            reads = setup.consuls[0].reads
            setup.consuls[0].restart_empty()
            await until(lambda: setup.consuls[0].reads >= reads + 2)
            assert set(await setup.statuses(30)) == {200}
            setup.register(1)
            await setup.wait_until_used(1)

    run(work)


def test_a_hanging_node_marked_passing_is_ejected_and_consul_does_not_readmit_it() -> None:
    async def work() -> None:
        async with consul_setup(4) as setup:
            await setup.wait_until_used(0, 1, 2, 3)
            hung = setup.servers[2]
            hung.mode = Mode.HANGS
            clients = [asyncio.ensure_future(setup.statuses(60)) for _ in range(4)]
            await until(lambda: any(each.startswith("ejected") for each in setup.log))
            await soon(asyncio.gather(*clients))
            heard = len(hung.received)
            merge = setup.sidecar._runtime.sources.merge  # type: ignore[union-attr]
            # Each new weight makes Consul report the node to the policy again.
            for weight in (2, 3, 4, 5):
                setup.change(lambda state, weight=weight: register(state, 2, hung.address, weight))  # type: ignore[misc]
                await until(
                    lambda weight=weight: weight in [e.endpoint.nominal for e in merge.snapshot().entries]  # type: ignore[misc]
                )
                assert set(await setup.statuses(5)) == {200}
            assert len(hung.received) <= heard + 1  # at most one probation request
            assert not any(each.startswith("readmitted") for each in setup.log)

    run(work)


@pytest.mark.parametrize("report", ["critical in consul", "leaving in the roster", "gone from the roster"])
def test_the_more_cautious_of_roster_and_consul_applies(report: str) -> None:
    async def work() -> None:
        async with consul_setup(3, in_roster=lambda _: True, in_use=0.0) as setup:
            await setup.wait_until_used(0, 1, 2)
            assert setup.roster is not None
            if report == "critical in consul":
                setup.check(0, "critical")
            else:
                state = "leaving" if report.startswith("leaving") else "left"
                setup.roster.publish(list_entry("s-0", setup.servers[0].address, state=state))
            await setup.wait_until_used(1, 2)
            # A repeated report of the other source changes nothing.
            setup.roster.publish(list_entry("s-1", setup.servers[1].address))
            if report != "critical in consul":
                setup.register(0)
            assert set(await setup.statuses(30)) == {200}
            await setup.wait_until_used(1, 2)

    run(work)


def test_nodes_of_both_sources_are_used_and_a_shared_one_is_listed_once() -> None:
    async def work() -> None:
        async with consul_setup(4, in_roster=lambda n: n < 3, in_consul=lambda n: n > 1) as setup:
            await setup.wait_until_used(0, 1, 2, 3)
            entries = setup.sidecar._runtime.sources.merge.snapshot().entries  # type: ignore[union-attr]
            last = setup.servers[3].address
            assert sorted(each.endpoint.server for each in entries) == sorted(["s-0", "s-1", "s-2", last])

    run(work)


def test_an_unreachable_roster_is_retried_while_consul_reports_changes() -> None:
    async def work() -> None:
        async with consul_setup(
            3, in_roster=lambda n: n < 2, in_consul=lambda n: n == 2, flaps=1_000
        ) as setup:
            await setup.wait_until_used(0, 1, 2)
            assert setup.roster is not None
            port = int(setup.roster.address.rpartition(":")[2])
            setup.roster.stop()
            for round_number in range(30):  # changes from Consul must not hide the failure of the roster
                setup.undrain(2) if round_number % 2 else setup.drain(2)
                await asyncio.sleep(0.02)
            restarted = ScriptedDiscovery()
            restarted.servers = [list_entry("s-0", setup.servers[0].address)]
            setup.roster = restarted
            await restarted.start(port)
            await setup.wait_until_used(0, 2)

    run(work)


def test_a_node_deregistered_during_a_non_idempotent_request_still_answers_it_once() -> None:
    async def work() -> None:
        async with consul_setup(1, doubt_s=0) as setup:
            await setup.wait_until_used(0)
            server = setup.servers[0]
            server.takes_s = 0.8
            client = await setup.client()
            heard = len(server.received)
            answer = asyncio.ensure_future(client.exchange("lodge"))
            await until(lambda: len(server.received) == heard + 1)
            setup.drop(0)
            await until(lambda: setup.sidecar._runtime.sources.merge.snapshot().entries == ())  # type: ignore[union-attr]
            assert (await soon(answer)).status == 200
            assert len(server.received) == heard + 1
            assert (await (await setup.client()).exchange()).status == 503

    run(work)


def test_a_token_revoked_at_runtime_keeps_the_list_and_is_in_no_log_line(tmp_path: Path) -> None:
    async def work() -> None:
        token = tmp_path / "token"
        token.write_text("s3cret")
        async with consul_setup(2, tokens={"s3cret"}, token_file=token) as setup:
            await setup.wait_until_used(0, 1)
            consul = setup.consuls[0]
            consul.tokens = {"an0ther"}
            setup.check(0, "warning")  # ends the blocking query; the next one is denied
            await until(lambda: any("403" in each for each in setup.log))
            assert set(await setup.statuses(20)) == {200}
            token.write_text("an0ther")
            setup.reload()
            setup.drain(1)
            await setup.wait_until_used(0)
            assert "s3cret" not in "".join(setup.log) and "an0ther" not in "".join(setup.log)

    run(work)


def test_a_service_without_checks_is_read_from_the_catalogue() -> None:
    async def work() -> None:
        options: dict[str, Any] = {"from": "catalog"}
        async with consul_setup(3, **options) as setup:
            setup.check(0, "critical")  # the catalogue has no health checks
            await setup.wait_until_used(0, 1, 2)
            setup.drop(0)
            await setup.wait_until_used(1, 2)
            assert any(each.startswith("consul: agent agent-one in dc1") for each in setup.log)

    run(work)


def test_a_reload_adds_and_removes_services_and_an_invalid_file_changes_nothing() -> None:
    async def work() -> None:
        async with consul_setup(3, in_roster=lambda n: n == 0, in_consul=lambda n: n == 1) as setup:
            await setup.wait_until_used(0, 1)
            third = setup.servers[2].address

            def register_lent(state: State) -> None:
                host, _, port = third.rpartition(":")
                state.put_service(NODE, {"Name": "lent", "ID": "l", "Address": host, "Port": int(port)})

            setup.change(register_lent)
            path = Path(setup.config["consul"])
            consul_file = json.loads(path.read_text())
            path.write_text("{}")
            with pytest.raises(ConfigError, match="consul: agents"):
                setup.reload()
            path.write_text(
                json.dumps({**consul_file, "services": [*consul_file["services"], {"name": "lent"}]})
            )
            setup.reload()
            await setup.wait_until_used(0, 1, 2)
            path.write_text(json.dumps({**consul_file, "services": [{"name": "lent"}]}))
            setup.reload()
            await setup.wait_until_used(0, 2)
            path.write_text(
                json.dumps({**consul_file, "services": [{"name": "lent", "lent": "00:00-00:00"}]})
            )
            setup.reload()  # never lent
            await setup.wait_until_used(0)
            setup.reload(consul=None)
            assert "a restart is needed for consul" in setup.log[-1]

    run(work)


class RecordingNetwork(LoopNetwork):
    """Records the duration of its first sleep."""

    def __init__(self, delays: list[float]) -> None:
        super().__init__()
        self._delays = delays
        self._has_slept = False

    async def sleep(self, seconds: float) -> None:
        if not self._has_slept:
            self._has_slept = True
            self._delays.append(seconds)
        await super().sleep(seconds)


def test_a_hundred_sidecars_that_start_at_once_spread_their_first_requests() -> None:
    async def work() -> None:
        consul = await StandInConsul().start()
        consul.change(lambda state: register(state, 0, f"{HOST}:1"))
        path = consul_config(consul.address)
        config = replace(load(path), spread_s=1.0)
        os.unlink(path)
        delays: list[float] = []
        received: list[int] = [0] * 100
        all_sources = [
            EndpointSources(
                RecordingNetwork(delays),
                DiscoveryState(None, EndpointUpdate(0, True, ())),
                config,
                f"5 n-{n}",
                lambda _: None,
            )
            for n in range(100)
        ]

        def count_entries(number: int) -> Callable[[EndpointUpdate], None]:
            return lambda update: received.__setitem__(number, received[number] + len(update.entries))

        for number, sources in enumerate(all_sources):  # they share a seed and differ only in their names
            sources.start(count_entries(number), lambda: None)
        await until(lambda: all(received))
        assert len(delays) == 100
        tenths = [sum(0.1 * n <= delay < 0.1 * (n + 1) for delay in delays) for n in range(10)]
        assert min(tenths) >= 2 and max(tenths) <= 22
        consul.change(lambda state: state.put_check(NODE, f"{MAINTENANCE}t-0", "critical", "t-0"))
        await until(lambda: all(each == 2 for each in received))
        for sources in all_sources:
            sources.close()
        consul.stop()

    run(work)


def test_a_restart_without_a_roster_keeps_the_last_list_until_every_service_has_answered() -> None:
    async def work() -> None:
        consul = await StandInConsul().start()
        consul.change(lambda state: register(state, 0, f"{HOST}:1"))
        path = consul_config(consul.address)
        config = load(path)
        os.unlink(path)
        (tariff,) = config.services
        # A service may have any name, even "roster".
        config = replace(config, services=(tariff, replace(tariff, name="roster")))
        known = [EndpointEntry(ListedServer(f"{HOST}:{port}"), (HOST, port)) for port in (1, 2, 3)]
        states: dict[str, ServerState] = {entry.endpoint.server: entry.endpoint.state for entry in known}
        received: list[EndpointUpdate] = []

        def record(update: EndpointUpdate) -> None:
            received.append(update)
            states.update({entry.endpoint.server: entry.endpoint.state for entry in update.entries})

        sources = EndpointSources(
            LoopNetwork(),
            DiscoveryState(None, EndpointUpdate(1, True, tuple(known))),
            config,
            "1 n",
            lambda _: None,
        )
        consul.faults.append(Fault("status", 2))  # one of the two services, either one, answers later
        consul.change(lambda state: state.put_service(NODE, {"Name": "roster", "Address": HOST, "Port": 2}))
        sources.start(record, lambda: None)
        await until(lambda: len(sources.unanswered) == 1)
        assert set(states.values()) == {ServerState.READY}
        await until(lambda: not sources.unanswered and states[f"{HOST}:3"] is ServerState.REMOVED)
        assert states[f"{HOST}:1"] is states[f"{HOST}:2"] is ServerState.READY
        sources.close()
        consul.stop()

    run(work)
