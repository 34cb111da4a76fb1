"""The Consul client against the stand-in Consul, and the stand-in against the py-consul library."""

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
    addresses = tuple(parse_address(agent.address) for agent in agents)
    return ConsulClient(LoopNetwork(), Agents(addresses), RequestOptions(**options))


def _register(agent: StandInConsul, ident: str = "t-1", port: int = 80, status: str = "passing") -> None:
    def change(state: Any) -> None:
        state.put_service(NODE, {"Name": "tariff", "ID": ident, "Address": "10.0.0.1", "Port": port})
        state.put_check(NODE, f"service:{ident}", status, ident)

    agent.change(change)


def _ids(entries: Any) -> list[str]:
    instances, errors = parse_health(entries)
    assert errors == []
    return [instance.service_id for instance in instances]


def run_with_agent(work: Callable[[StandInConsul], Any], **options: Any) -> None:
    async def main() -> None:
        agent = await StandInConsul(**options).start()
        try:
            await work(agent)
        finally:
            agent.stop()

    run_async(main)


def test_a_blocking_query_returns_only_on_a_change_of_its_service() -> None:
    async def work(agent: StandInConsul) -> None:
        _register(agent)
        client = _client(agent)
        entries, meta = await client.get(TARIFF)
        assert _ids(entries) == ["t-1"] and meta.index > 0
        waiting = asyncio.ensure_future(client.get(TARIFF, index=meta.index, wait_s=10, timeout_s=15))
        agent.change(lambda state: state.put_service(NODE, {"Name": "other", "Port": 1}))
        await asyncio.sleep(0.05)
        assert not waiting.done()  # the change was of another service
        agent.change(lambda state: state.put_check(NODE, "service:t-1", "critical", "t-1"))
        entries, later = await soon(waiting)
        assert entries[0]["Checks"][0]["Status"] == "critical" and later.index > meta.index
        repeated, same = await client.get(TARIFF, index=later.index, wait_s=0.05)
        assert same.index == later.index and _ids(repeated) == ["t-1"]
        client.close()

    run_with_agent(work)


def test_a_large_compressed_list_is_read() -> None:
    async def work(agent: StandInConsul) -> None:
        for number in range(200):
            _register(agent, f"t-{number}", 1 + number)
        client = _client(agent)
        entries, _ = await client.get(TARIFF)
        assert len(_ids(entries)) == 200
        client.close()

    run_with_agent(work)


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
        # a location that URL parsers reject
        (Fault("redirect", to="[::1"), "redirect to a location that cannot be called"),
    ],
    ids=lambda each: each.kind if isinstance(each, Fault) else "",
)
def test_a_fault_raises_an_error_naming_the_agent_and_the_next_agent_is_tried(
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

    run_with_agent(work)


def test_nodes_and_the_agents_description_are_read() -> None:
    async def work(agent: StandInConsul) -> None:
        client = _client(agent)
        nodes, meta = await client.get("/v1/catalog/nodes")
        assert [each["Node"] for each in nodes] == [NODE] and meta.index > 0
        assert (await client.describe_agent()).startswith(f"{NODE} in dc1, Consul standin, leader ")
        agent.has_leader = False
        assert (await client.describe_agent()).endswith("without a leader")
        client.close()

    run_with_agent(work)


def test_an_agent_that_is_down_is_skipped() -> None:
    async def work(agent: StandInConsul) -> None:
        _register(agent)
        stopped = await StandInConsul().start()
        client = _client(stopped, agent)
        stopped.stop()
        with pytest.raises(ConsulError):
            await client.get(TARIFF)
        assert _ids((await client.get(TARIFF))[0]) == ["t-1"]
        client.close()

    run_with_agent(work)


def test_a_token_is_required_and_appears_in_no_error() -> None:
    async def work(agent: StandInConsul) -> None:
        _register(agent)
        good, bad = _client(agent, token="right"), _client(agent, token="s3cret")
        assert _ids((await good.get(TARIFF))[0]) == ["t-1"]
        with pytest.raises(ConsulError, match="403") as caught:
            await bad.get(TARIFF)
        assert caught.value.is_forbidden and "s3cret" not in str(caught.value)
        assert agent.tokens is not None
        agent.tokens.clear()  # revoked while the client runs
        with pytest.raises(ConsulError, match="403"):
            await good.get(TARIFF)
        good.close()
        bad.close()

    run_with_agent(work, tokens={"right"})


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

    run_with_agent(work)


def test_without_a_leader_only_stale_reads_succeed_and_report_it() -> None:
    async def work(agent: StandInConsul) -> None:
        _register(agent)
        agent.has_leader = False
        consistent, stale = _client(agent), _client(agent, mode="stale")
        with pytest.raises(ConsulError, match="No cluster leader"):
            await consistent.get(TARIFF)
        entries, meta = await stale.get(TARIFF)
        assert _ids(entries) == ["t-1"] and not meta.has_leader
        consistent.close()
        stale.close()

    run_with_agent(work)


def test_a_stale_server_lags_by_the_set_time_and_reports_the_lag() -> None:
    async def work(agent: StandInConsul) -> None:
        agent.stale_by_s = 0.3
        client, consistent = _client(agent, mode="stale"), _client(agent)
        _register(agent)
        entries, meta = await client.get(TARIFF)
        assert _ids(entries) == [] and meta.last_contact_s == 0.3
        assert _ids((await consistent.get(TARIFF))[0]) == ["t-1"]
        while not _ids(entries):
            entries, meta = await client.get(TARIFF, index=meta.index, wait_s=5.0)
        client.close()
        consistent.close()

    run_with_agent(work)


def test_an_agent_that_restarts_empty_answers_a_lower_index() -> None:
    async def work(agent: StandInConsul) -> None:
        for number in range(20):
            _register(agent, f"t-{number}", 1 + number)
        client = _client(agent)
        _, before = await client.get(TARIFF)
        agent.restart_empty()
        entries, after = await client.get(TARIFF, index=before.index, wait_s=5.0)
        assert _ids(entries) == [] and after.index < before.index
        client.close()

    run_with_agent(work)


# ---------------------------------------------------------------------------------------------------
# The stand-in, called by py-consul


@contextmanager
def running_stand_in() -> Iterator[tuple[pyconsul.Consul, StandInConsul]]:
    """Run a stand-in in its own thread, since py-consul's client blocks."""
    agent = StandInConsul()
    ready = threading.Event()
    stop_callbacks: list[Callable[[], object]] = []

    async def serve() -> None:
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        stop_callbacks.append(lambda: loop.call_soon_threadsafe(stop_requested.set))
        await agent.start()
        ready.set()
        await stop_requested.wait()
        agent.stop()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    ready.wait()
    try:
        yield pyconsul.Consul(host=HOST, port=int(agent.address.rpartition(":")[2])), agent
    finally:
        stop_callbacks[0]()
        thread.join()


def test_py_consul_reads_back_its_services_and_checks() -> None:
    with running_stand_in() as (client, _):
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
        started_at = time.monotonic()
        next_index, _ = client.health.service(
            "tariff", index=client.health.service("tariff")[0], wait="200ms"
        )
        assert int(next_index) > int(index) and 0.15 < time.monotonic() - started_at < 5.0
        client.agent.service.deregister("t-1")
        assert client.health.service("tariff")[1] == []


def test_py_consul_registers_services_of_other_nodes_in_the_catalogue() -> None:
    with running_stand_in() as (client, _):
        service = {"Service": "tariff", "ID": "t-2", "Port": 81, "Meta": {"zone": "b"}}
        assert client.catalog.register("far", "10.0.0.9", service=service)
        _, entries = client.health.service("tariff")
        instances, errors = parse_health(entries)
        assert errors == [] and (instances[0].address, instances[0].port) == ("10.0.0.9", 81)
        assert client.catalog.deregister("far", service_id="t-2")
        assert client.health.service("tariff")[1] == []


def test_py_consul_uses_the_remaining_endpoints_of_real_clients() -> None:
    with running_stand_in() as (client, _):
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


def test_py_consul_reads_and_writes_keys() -> None:
    with running_stand_in() as (client, _):
        assert client.kv.get("plan")[1] is None
        assert client.kv.put("plan", b"\x00raw") and client.kv.put("plans/a", "1")
        index, stored = client.kv.get("plan")
        assert stored["Value"] == b"\x00raw"
        assert client.kv.put("plan", "new", cas=0) is False
        assert client.kv.put("plan", "new", cas=stored["ModifyIndex"]) is True
        assert [each["Key"] for each in client.kv.get("plan", recurse=True)[1]] == ["plan", "plans/a"]
        assert client.kv.get("plan", keys=True)[1] == ["plan", "plans/a"]
        # The key has changed since that index, so the query returns at once.
        next_index, stored = client.kv.get("plan", index=index, wait="5s")
        assert int(next_index) > int(index) and stored["Value"] == b"new"
        assert client.kv.delete("plan", recurse=True) and client.kv.get("plans/a")[1] is None
