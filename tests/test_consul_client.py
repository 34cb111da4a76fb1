"""The client against the stand-in Consul, and the stand-in against a client that nobody here wrote."""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import consul as pyconsul  # type: ignore[import-untyped]
import pytest
from loopback import HOST, run_async, soon

from micadeck.membership.consul import Agents, ConsulClient, ConsulError, RequestOptions, parse_health
from micadeck.network import LoopNetwork, parse_address
from micadeck.stand_ins.consul import NODE, Fault, StandInConsul

TARIFF = "/v1/health/service/tariff"


def _client(*agents: StandInConsul, **options: Any) -> ConsulClient:
    addresses = tuple(parse_address(each.address) for each in agents)
    return ConsulClient(LoopNetwork(), Agents(addresses), RequestOptions(**options))


def _register(agent: StandInConsul, ident: str = "t-1", port: int = 80, status: str = "passing") -> None:
    def change(state: Any) -> None:
        state.put_service(NODE, {"Name": "tariff", "ID": ident, "Address": "10.0.0.1", "Port": port})
        state.put_check(NODE, f"service:{ident}", status, ident)

    agent.change(change)


def _ids(given: Any) -> list[str]:
    instances, faults = parse_health(given)
    assert faults == []
    return [each.service_id for each in instances]


def played(work: Callable[[StandInConsul], Any], **how: Any) -> None:
    async def main() -> None:
        agent = await StandInConsul(**how).start()
        try:
            await work(agent)
        finally:
            agent.stop()

    run_async(main)


def test_a_list_is_read_and_a_blocking_query_wakes_by_a_change_and_by_that_alone() -> None:
    async def work(agent: StandInConsul) -> None:
        _register(agent)
        client = _client(agent)
        given, meta = await client.get(TARIFF)
        assert _ids(given) == ["t-1"] and meta.index > 0
        waiting = asyncio.ensure_future(client.get(TARIFF, index=meta.index, wait_s=10, timeout_s=15))
        agent.change(lambda state: state.put_service(NODE, {"Name": "other", "Port": 1}))
        await asyncio.sleep(0.05)
        assert not waiting.done()  # another service's change
        agent.change(lambda state: state.put_check(NODE, "service:t-1", "critical", "t-1"))
        given, later = await soon(waiting)
        assert given[0]["Checks"][0]["Status"] == "critical" and later.index > meta.index
        again, same = await client.get(TARIFF, index=later.index, wait_s=0.05)
        assert same.index == later.index and _ids(again) == ["t-1"]
        client.close()

    played(work)


def test_a_large_list_comes_packed() -> None:
    async def work(agent: StandInConsul) -> None:
        for number in range(200):
            _register(agent, f"t-{number}", 1 + number)
        client = _client(agent)
        given, _ = await client.get(TARIFF)
        assert len(_ids(given)) == 200
        client.close()

    played(work)


@pytest.mark.parametrize(
    ("fault", "text"),
    [
        (Fault("status", status=500), "500: No cluster leader"),
        (Fault("status", status=429, text="slow down"), "429"),
        (Fault("reset"), "lost|truncated"),
        (Fault("truncated"), "not JSON"),
        (Fault("huge"), "4 MiB"),
        (Fault("hang"), "no answer in time"),
        (Fault("trickle"), "no answer in time|truncated"),
        (Fault("redirect", to="consul.local:8500"), "redirect to a location that cannot be called"),
        # against a location that no URL parser takes
        (Fault("redirect", to="[::1"), "redirect to a location that cannot be called"),
    ],
    ids=lambda each: each.kind if isinstance(each, Fault) else "",
)
def test_a_fault_is_a_clear_error_that_names_the_agent_and_the_next_one_is_asked(
    fault: Fault, text: str
) -> None:
    async def work(agent: StandInConsul) -> None:
        other = await StandInConsul().start()
        _register(agent)
        _register(other, "t-other")
        agent.faults.append(fault)
        client = _client(agent, other)
        with pytest.raises(ConsulError, match=text) as caught:
            await client.get(TARIFF, timeout_s=0.5)
        assert str(caught.value).startswith(agent.address)
        assert _ids((await client.get(TARIFF))[0]) == ["t-other"]
        client.close()
        other.stop()

    played(work)


def test_the_nodes_and_who_the_agent_is_are_read() -> None:
    async def work(agent: StandInConsul) -> None:
        client = _client(agent)
        nodes, meta = await client.get("/v1/catalog/nodes")
        assert [each["Node"] for each in nodes] == [NODE] and meta.index > 0
        assert (await client.describe_agent()).startswith(f"{NODE} in dc1, Consul standin, leader ")
        agent.has_leader = False
        assert (await client.describe_agent()).endswith("without a leader")
        client.close()

    played(work)


def test_an_agent_that_is_down_is_passed_over() -> None:
    async def work(agent: StandInConsul) -> None:
        _register(agent)
        gone = await StandInConsul().start()
        client = _client(gone, agent)
        gone.stop()
        with pytest.raises(ConsulError):
            await client.get(TARIFF)
        assert _ids((await client.get(TARIFF))[0]) == ["t-1"]
        client.close()

    played(work)


def test_a_token_is_needed_and_is_in_no_error() -> None:
    async def work(agent: StandInConsul) -> None:
        _register(agent)
        good, bad = _client(agent, token="right"), _client(agent, token="s3cret")
        assert _ids((await good.get(TARIFF))[0]) == ["t-1"]
        with pytest.raises(ConsulError, match="403") as caught:
            await bad.get(TARIFF)
        assert caught.value.is_forbidden and "s3cret" not in str(caught.value)
        assert agent.tokens is not None
        agent.tokens.clear()  # revoked in service
        with pytest.raises(ConsulError, match="403"):
            await good.get(TARIFF)
        good.close()
        bad.close()

    played(work, tokens={"right"})


@pytest.mark.parametrize("is_agent", [True, False])
def test_a_redirect_is_followed_and_the_token_goes_to_agents_only(is_agent: bool) -> None:
    async def work(agent: StandInConsul) -> None:
        other = await StandInConsul(tokens={"right"}).start()
        _register(other, "t-other")
        agent.faults.append(Fault("redirect", to=other.address))
        client = _client(*((agent, other) if is_agent else (agent,)), token="right")
        if is_agent:
            assert _ids((await client.get(TARIFF))[0]) == ["t-other"]
        else:
            with pytest.raises(ConsulError, match="403"):
                await client.get(TARIFF)
        client.close()
        other.stop()

    played(work)


def test_a_leader_that_is_lost_fails_reads_but_stale_ones_and_those_say_so() -> None:
    async def work(agent: StandInConsul) -> None:
        _register(agent)
        agent.has_leader = False
        firm, loose = _client(agent), _client(agent, mode="stale")
        with pytest.raises(ConsulError, match="No cluster leader"):
            await firm.get(TARIFF)
        given, meta = await loose.get(TARIFF)
        assert _ids(given) == ["t-1"] and not meta.has_leader
        firm.close()
        loose.close()

    played(work)


def test_a_stale_server_lags_by_the_set_time_and_says_how_much() -> None:
    async def work(agent: StandInConsul) -> None:
        agent.stale_by_s = 0.3
        client, firm = _client(agent, mode="stale"), _client(agent)
        _register(agent)
        given, meta = await client.get(TARIFF)
        assert _ids(given) == [] and meta.last_contact_s == 0.3
        assert _ids((await firm.get(TARIFF))[0]) == ["t-1"]
        while not _ids(given):
            given, meta = await client.get(TARIFF, index=meta.index, wait_s=5.0)
        client.close()
        firm.close()

    played(work)


def test_an_agent_that_restarts_empty_answers_a_lower_index() -> None:
    async def work(agent: StandInConsul) -> None:
        for number in range(20):
            _register(agent, f"t-{number}", 1 + number)
        client = _client(agent)
        _, before = await client.get(TARIFF)
        agent.restart_empty()
        given, after = await client.get(TARIFF, index=before.index, wait_s=5.0)
        assert _ids(given) == [] and after.index < before.index
        client.close()

    played(work)


# ---------------------------------------------------------------------------------------------------
# The stand-in, by py-consul


@contextmanager
def standing() -> Iterator[tuple[pyconsul.Consul, StandInConsul]]:
    """A stand-in on a thread of its own, and py-consul's client of it: that one blocks."""
    agent = StandInConsul()
    ready = threading.Event()
    ends: list[Callable[[], object]] = []

    async def serve() -> None:
        over = asyncio.Event()
        loop = asyncio.get_running_loop()
        ends.append(lambda: loop.call_soon_threadsafe(over.set))
        await agent.start()
        ready.set()
        await over.wait()
        agent.stop()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    ready.wait()
    try:
        yield pyconsul.Consul(host=HOST, port=int(agent.address.rpartition(":")[2])), agent
    finally:
        ends[0]()
        thread.join()


def test_py_consul_registers_checks_and_reads_what_it_wrote() -> None:
    with standing() as (client, _):
        assert client.status.leader()
        assert client.agent.self()["Config"]["NodeName"] == NODE
        check = pyconsul.Check.ttl("30s")
        client.agent.service.register("tariff", service_id="t-1", address="10.0.0.1", port=80, check=check)
        _, entries = client.health.service("tariff")
        assert [each["Service"]["ID"] for each in entries] == ["t-1"]
        assert entries[0]["Checks"][0]["Status"] == "critical"
        assert client.health.service("tariff", passing=True)[1] == []
        client.agent.check.ttl_pass("service:t-1")
        index, entries = client.health.service("tariff", passing=True)
        assert len(entries) == 1
        _, listed = client.catalog.service("tariff")
        assert (listed[0]["ServiceAddress"], listed[0]["ServicePort"]) == ("10.0.0.1", 80)
        assert [each["Node"] for each in client.catalog.nodes()[1]] == [NODE]
        client.agent.service.maintenance("t-1", "true", "to be mended")
        _, entries = client.health.service("tariff")
        assert "_service_maintenance:t-1" in {each["CheckID"] for each in entries[0]["Checks"]}
        client.agent.service.maintenance("t-1", "false")
        began = time.monotonic()
        again, _ = client.health.service("tariff", index=client.health.service("tariff")[0], wait="200ms")
        assert int(again) > int(index) and 0.15 < time.monotonic() - began < 5.0
        client.agent.service.deregister("t-1")
        assert client.health.service("tariff")[1] == []


def test_py_consul_uses_the_catalogue_of_other_nodes() -> None:
    with standing() as (client, _):
        service = {"Service": "tariff", "ID": "t-2", "Port": 81, "Meta": {"zone": "b"}}
        assert client.catalog.register("far", "10.0.0.9", service=service)
        _, entries = client.health.service("tariff")
        instances, faults = parse_health(entries)
        assert faults == [] and (instances[0].address, instances[0].port) == ("10.0.0.9", 81)
        assert client.catalog.deregister("far", service_id="t-2")
        assert client.health.service("tariff")[1] == []


def test_py_consul_reads_whatever_else_real_clients_ask_for() -> None:
    with standing() as (client, _):
        check = pyconsul.Check.ttl("30s")
        client.agent.service.register("tariff", service_id="t-1", port=80, tags=["blue"], check=check)
        client.agent.check.ttl_pass("service:t-1")
        assert client.catalog.services()[1] == {"tariff": ["blue"]}
        assert list(client.catalog.node(NODE)[1]["Services"]) == ["t-1"]
        assert client.catalog.node("unheard-of")[1] is None
        assert client.catalog.datacenters() == ["dc1"]
        assert [each["CheckID"] for each in client.health.node(NODE)[1]] == ["service:t-1"]
        assert [each["Status"] for each in client.health.checks("tariff")[1]] == ["passing"]
        assert client.health.state("critical")[1] == [] and len(client.health.state("passing")[1]) == 1
        assert len(client.health.service("tariff", tag="blue")[1]) == 1
        assert client.health.service("tariff", tag="red")[1] == []
        assert list(client.agent.services()) == ["t-1"] and list(client.agent.checks()) == ["service:t-1"]
        client.agent.service.maintenance("t-1", True)  # sent as "True"
        assert len(client.health.state("critical")[1]) == 1
        client.agent.service.maintenance("t-1", False)
        assert client.health.state("critical")[1] == []
        with pytest.raises(pyconsul.ConsulException):
            client.agent.service.maintenance("t-1", "nonsense")


def test_py_consul_keeps_keys() -> None:
    with standing() as (client, _):
        assert client.kv.get("plan")[1] is None
        assert client.kv.put("plan", b"\x00raw") and client.kv.put("plans/a", "1")
        index, held = client.kv.get("plan")
        assert held["Value"] == b"\x00raw"
        assert client.kv.put("plan", "new", cas=0) is False
        assert client.kv.put("plan", "new", cas=held["ModifyIndex"]) is True
        assert [each["Key"] for each in client.kv.get("plan", recurse=True)[1]] == ["plan", "plans/a"]
        assert client.kv.get("plan", keys=True)[1] == ["plan", "plans/a"]
        again, held = client.kv.get("plan", index=index, wait="5s")  # it has changed since: no wait
        assert int(again) > int(index) and held["Value"] == b"new"
        assert client.kv.delete("plan", recurse=True) and client.kv.get("plans/a")[1] is None
