"""Validation of Consul's configuration, and the command that shows the resulting servers."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import pytest
from child_process_peers import ROOT
from loopback import HOST, run_async, soon, until
from test_consul_source import put

from micadeck.membership.consul.config import ConsulConfigError, load, parse
from micadeck.stand_ins.consul import NODE, StandInConsul

VALID_CONFIG: dict[str, Any] = {"agents": [f"{HOST}:8500"], "services": [{"name": "tariff"}]}


def test_a_full_configuration_is_read(tmp_path: Path) -> None:
    token = tmp_path / "token"
    token.write_text("s3cret\n")
    service = {
        "name": "tariff",
        "datacenter": "dc2",
        "namespace": "team",
        "partition": "part",
        "mode": "stale",
        "tags": ["blue"],
        "filter": "a == b",
        "tagged_address": "wan",
        "meta": {"zone": "az"},
        "lent": "22:30-04:00",
        "keep_s": 60,
        "in_use": 0.25,
    }
    path = tmp_path / "consul.json"
    path.write_text(
        json.dumps({**VALID_CONFIG, "services": [service], "token_file": str(token), "wait_s": 5})
    )
    config = load(path)
    (only,) = config.services
    assert (only.request_options.token, only.request_options.mode, only.request_options.tags) == (
        "s3cret",
        "stale",
        ("blue",),
    )
    assert (only.mapping.zone_key, only.mapping.tagged_address) == ("az", "wan")
    assert (only.trust.max_silence_s, only.trust.panic_threshold) == (60, 0.25)
    assert config.wait_s == 5 and "s3cret" not in repr(config)
    lent = only.trust.is_available_at
    assert lent is not None
    day = 86_400 * 20_000
    assert [lent(day + hour * 3_600.0) for hour in (0, 3.9, 4, 22, 22.5, 23.9)] == [
        True,
        True,
        False,
        False,
        True,
        True,
    ]


@pytest.mark.parametrize(
    ("given", "key"),
    [
        ([], "the file"),
        ({}, "agents"),
        ({**VALID_CONFIG, "agents": []}, "agents"),
        ({**VALID_CONFIG, "agents": ["consul:8500"]}, "agents[0]"),
        ({**VALID_CONFIG, "services": []}, "services"),
        ({**VALID_CONFIG, "services": [{}]}, "services[0].name"),
        ({**VALID_CONFIG, "services": [{"name": "a b"}]}, "services[0].name"),
        ({**VALID_CONFIG, "services": [{"name": "a"}, {"name": "a"}]}, "services: duplicate name"),
        ({**VALID_CONFIG, "services": [{"name": "a", "mode": "fast"}]}, "services[0].mode"),
        ({**VALID_CONFIG, "services": [{"name": "a", "in_use": 2}]}, "services[0].in_use"),
        ({**VALID_CONFIG, "services": [{"name": "a", "lent": "9-5"}]}, "services[0].lent"),
        ({**VALID_CONFIG, "services": [{"name": "a", "meta": {"zonne": "x"}}]}, "services[0].meta.zonne"),
        ({**VALID_CONFIG, "services": [{"name": "a", "keeps_s": 5}]}, "services[0].keeps_s"),
        ({**VALID_CONFIG, "wait_s": 0}, "wait_s"),
        ({**VALID_CONFIG, "token_file": "/no/such/file"}, "token_file"),
        ({**VALID_CONFIG, "token": "s3cret"}, "token: there is no such key"),
    ],
    ids=lambda each: each if isinstance(each, str) else "",
)
def test_an_invalid_configuration_names_its_key(given: Any, key: str) -> None:
    with pytest.raises(ConsulConfigError) as caught:
        parse(given)
    assert str(caught.value).startswith(key) and "s3cret" not in str(caught.value)


async def _command(path: Path, *options: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "micadeck.membership",
        "show",
        str(path),
        *options,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


def test_the_command_shows_each_servers_state_and_reason(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await StandInConsul().start()
        put(agent, 80)
        put(agent, 81, "critical")
        put(agent, 82)
        agent.change(lambda state: state.put_check(NODE, "_service_maintenance:t-82", "critical", "t-82"))
        path = tmp_path / "consul.json"
        services = [{"name": "tariff", "in_use": 0}]
        path.write_text(json.dumps({**VALID_CONFIG, "agents": [agent.address], "services": services}))
        child = await _command(path)
        out, err = await soon(child.communicate())
        assert (child.returncode, err) == (0, b"")
        agent_line, header, *rows = out.decode().strip().splitlines()
        assert agent_line.startswith(f"# agent {agent.address}: agent-one in dc1, Consul standin, leader ")
        assert header.split() == ["NODE", "SOURCE", "STATE", "AGE", "WHY"]
        assert [row.split()[0:4] for row in rows] == [
            ["10.0.0.1:80", "tariff:", "ready", "ready"],
            ["10.0.0.1:81", "tariff:", "unhealthy", "draining"],
            ["10.0.0.1:82", "tariff:", "draining", "draining"],
        ]
        assert "critical: service:t-81" in rows[1] and "maintenance" in rows[2]
        agent.stop()

    run_async(work)


def test_the_command_with_watch_prints_changes(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await StandInConsul().start()
        put(agent, 80)
        path = tmp_path / "consul.json"
        path.write_text(json.dumps({**VALID_CONFIG, "agents": [agent.address]}))
        child = await _command(path, "--watch")
        assert child.stdout is not None
        while b"10.0.0.1:80" not in await soon(child.stdout.readline()):
            pass
        await until(lambda: agent.reads >= 2)
        put(agent, 81)
        while b"10.0.0.1:81" not in await soon(child.stdout.readline()):
            pass
        child.terminate()
        await soon(child.wait())
        agent.stop()

    run_async(work)


def test_an_unreachable_consul_and_an_invalid_file_have_distinct_exit_codes(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await StandInConsul().start()
        path = tmp_path / "consul.json"
        path.write_text(json.dumps({**VALID_CONFIG, "agents": [agent.address]}))
        agent.stop()
        child = await _command(path)
        out, _ = await soon(child.communicate())
        assert child.returncode == 1 and f"# tariff: {agent_address(path)}".encode() in out
        path.write_text("{}")
        child = await _command(path)
        _, err = await soon(child.communicate())
        assert child.returncode == 2 and err == b"micadeck: consul: agents: at least one address is needed\n"

    run_async(work)


def agent_address(path: Path) -> str:
    return str(json.loads(path.read_text())["agents"][0])


def test_the_example_is_valid_and_a_file_may_be_toml(tmp_path: Path) -> None:
    example = load(ROOT / "deploy" / "consul.json")
    (service,) = example.services
    assert (service.name, service.mapping.default_zone) == (
        "tariff",
        "other-site",
    ) and service.trust.is_available_at is not None
    path = tmp_path / "consul.toml"
    path.write_text('agents = ["127.0.0.1:8500"]\n[[services]]\nname = "tariff"\nfrom = "catalog"\n')
    assert load(path).services[0].is_catalog
    path.write_text('agents = "127.0.0.1:8500"\n')
    with pytest.raises(ConsulConfigError, match=r"^agents"):
        load(path)
