"""Settings that change at SIGHUP: whole or not at all, and each request under its own."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from loopback import CLASSES, HOST, OK, ReceivedRequest, async_test, request, run_harness, until

from micadeck.config import ConfigError, load, parse
from micadeck.http.settings_versions import SettingsVersions
from micadeck.policy import Balancer, Settings
from micadeck.policy.actions import Send
from micadeck.policy.events import (
    AttemptEnded,
    ListedServer,
    ListKind,
    RequestArrived,
    ServersListed,
    SettingsChanged,
)
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import Idempotency
from micadeck.simulator_adapter import settings_from_wire


def settings(*lanes: dict[str, Any], cap: int = 3) -> Settings:
    return settings_from_wire(
        {"lanes": list(lanes) or CLASSES, "quantumUs": 5_000, "bounds": {"sendCap": cap}}
    )


CHECK, AMEND, LODGE = CLASSES
TRACK = {**CHECK, "name": "track"}


# Which settings a request falls under


def test_new_settings_wait_until_clients_follow_or_a_request_needs_them() -> None:
    old, new = settings(), settings(CHECK, {**AMEND, "repeat": "non_idempotent"}, TRACK)
    asked = SettingsVersions(old)
    due = asked.announce(new, 1_000_000)
    assert due == 2_200_000
    assert not asked.apply_due(due - 1)
    found = asked.find("lodge", Idempotency.NON_IDEMPOTENT, due - 1)
    assert found is not None and found[0].name == "lodge" and asked.settings is old
    assert asked.find("track", Idempotency.IDEMPOTENT, due - 1) == (
        new.classes[2],
        False,
    )  # the first that needs them
    assert asked.settings is new and not asked.apply_due(due)
    # What only the old ones explain is served by them for a moment more.
    assert asked.find("amend", Idempotency.KEYED, due) == (old.classes[1], True)
    assert asked.find("amend", Idempotency.NON_IDEMPOTENT, due) == (new.classes[1], False)
    assert asked.find("lodge", Idempotency.NON_IDEMPOTENT, due) == (old.classes[2], True)
    late = due + 300_000
    assert asked.find("lodge", Idempotency.NON_IDEMPOTENT, late) is None  # dropped
    assert asked.find("amend", Idempotency.KEYED, late) == (
        new.classes[1],
        False,
    )  # does not go with the class


def test_of_two_reloads_in_a_row_the_second_counts() -> None:
    asked = SettingsVersions(settings())
    asked.announce(settings(TRACK), 0)
    last = settings(CHECK)
    due = asked.announce(last, 500_000)
    assert not asked.apply_due(1_200_000)
    assert asked.apply_due(due) and asked.settings is last
    # Also where it takes the first one back.
    asked.announce(settings(TRACK), due)
    due = asked.announce(settings(CHECK), due + 1)
    assert not asked.apply_due(due) and asked.settings is last
    assert asked.find("track", Idempotency.IDEMPOTENT, due) is None


# The module


def arrived(number: int, name: str = "check") -> RequestArrived:
    return RequestArrived(number, name, None, None, 2_000_000)


def sends(actions: list[Any]) -> list[Send]:
    return [each for each in actions if isinstance(each, Send)]


def balancer(cap: int) -> Balancer:
    made = Balancer(settings(cap=cap), 7)
    listed = [ListedServer(f"s-{number}") for number in range(6)]
    made.handle(1_000, ServersListed(ListKind.COMPLETE, listed, 1))
    return made


def failed(sent: Send, attempt: int) -> AttemptEnded:
    return AttemptEnded(sent.request, attempt, sent.server, Outcome.ERROR, 500, False)


@pytest.mark.parametrize(("before", "after", "most"), [(2, 3, 2), (3, 2, 2), (3, 3, 3)])
def test_an_open_request_has_no_more_attempts_than_either_settings_allow(
    before: int, after: int, most: int
) -> None:
    made = balancer(before)
    (sent,) = sends(made.handle(2_000, arrived(1)))
    made.handle(2_500, SettingsChanged(settings(cap=after)))
    attempts = 1
    while True:
        again = sends(made.handle(3_000 + attempts, failed(sent, attempts - 1)))
        if not again:
            break
        (sent,) = again
        attempts += 1
    assert attempts == most


def test_an_open_request_keeps_its_class_and_a_new_one_has_the_new() -> None:
    made = balancer(3)
    (old,) = sends(made.handle(2_000, arrived(1, "check")))
    made.handle(2_100, SettingsChanged(settings({**CHECK, "repeat": "non_idempotent"})))
    (new,) = sends(made.handle(2_200, arrived(2, "check")))
    assert sends(made.handle(2_300, failed(old, 0)))  # safe when it came: made again
    assert not sends(made.handle(2_400, failed(new, 0)))  # unsafe by now


def test_what_is_known_of_servers_survives() -> None:
    made = balancer(3)
    (sent,) = sends(made.handle(2_000, arrived(1)))
    made.handle(2_100, SettingsChanged(settings(TRACK)))
    assert made.known() == 6
    assert made._endpoints.by_name[sent.server].in_flight == 1
    assert not sends(made.handle(2_200, AttemptEnded(1, 0, sent.server, Outcome.DELIVERED, 200, True)))
    assert made._endpoints.by_name[sent.server].in_flight == 0


# The file


def whole() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{HOST}:8081",
        "discovery": f"{HOST}:9",
        "seed": "8c1f",
        "limits": {"memory_mb": 64, "sockets": 512},
        "settings": {"lanes": CLASSES, "bounds": {"sendCap": 3, "mayCancel": True}},
    }


def test_a_file_cut_off_anywhere_is_turned_down(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    good = json.dumps(whole()).encode()
    for length in range(len(good)):
        path.write_bytes(good[:length])
        with pytest.raises(ConfigError):
            load({"BALANCER_CONFIG": str(path)})


def without(*path: Any) -> dict[str, Any]:
    given: Any = json.loads(json.dumps(whole()))
    part = given
    for key in path[:-1]:
        part = part[key]
    del part[path[-1]]
    changed: dict[str, Any] = given
    return changed


def put(value: Any, *path: Any) -> dict[str, Any]:
    given: Any = json.loads(json.dumps(whole()))
    part = given
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    changed: dict[str, Any] = given
    return changed


@pytest.mark.parametrize(
    ("given", "key"),
    [
        (without("settings"), "settings"),
        (without("limits"), "limits"),
        (without("limits", "sockets"), "limits.sockets"),
        (without("settings", "bounds"), "settings.bounds"),
        (without("settings", "bounds", "sendCap"), "settings.bounds.sendCap"),
        (without("settings", "lanes"), "settings.classes"),
        (without("settings", "lanes", 0, "repeat"), "settings.lanes[].repeat"),
        (without("settings", "lanes", 1, "giveUpUs"), "settings.classes[1].deadline_us"),
        (put(0, "settings", "lanes", 2, "giveUpUs"), "settings.classes[2].deadline_us"),
        (put(-5, "settings", "lanes", 2, "giveUpUs"), "settings.classes[2].deadline_us"),
        (put(0, "settings", "bounds", "sendCap"), "settings.limits.max_attempts"),
        (put("check", "settings", "lanes", 2, "name"), "settings.classes"),
        (put([], "settings", "lanes"), "settings.classes"),
    ],
    ids=str,
)
def test_a_broken_file_changes_nothing_and_its_key_is_named(given: dict[str, Any], key: str) -> None:
    running = parse(whole())
    with pytest.raises(ConfigError) as fault:
        parse(given).check_replaces(running)
    assert str(fault.value).startswith(key)


# The daemon


@async_test
async def test_a_reload_brings_classes_and_drops_them_while_requests_are_open() -> None:
    async def slow(received: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.2 if received.headers["request-class"] == "lodge" else 0.0)
        return OK

    async with run_harness(slow, overrides={"operator": f"{HOST}:0"}) as harness:
        sidecar = harness.sidecar
        running = sidecar._runtime.config
        changed = replace(running, settings=settings(CHECK, TRACK))
        open_one = await harness.client()
        open_one.send(request("lodge"))
        await until(lambda: len(harness.received) == 1)
        sidecar.reload(changed)
        assert (await harness.exchange("amend")).status == 200  # clients have not learnt of it yet
        track = request("check").replace(b"Request-Class: check", b"Request-Class: track")
        asking = await harness.client()
        asking.send(track)
        assert (await asking.answer()).status == 200
        assert (await open_one.answer()).status == 200  # its class is dropped meanwhile
        assert (await harness.exchange("lodge")).status == 200  # by the old rules, for a moment
        with pytest.raises(ConfigError):
            sidecar.reload(replace(changed, keys=frozenset()))
        sidecar.count_rejected_config()
        told = sidecar.statistics_report().decode()
        assert "edge_balancer.loads:1|c" in told and "edge_balancer.load_errors:1|c" in told
        assert "edge_balancer.handled.track.passed:1|c" in told
        await asyncio.sleep(0.35)
        gone = await harness.exchange("lodge")
        assert (gone.status, gone.body) == (400, b"request-class is unknown\n")
        assert (await harness.exchange("check")).status == 200


@async_test
async def test_without_a_request_that_needs_them_they_are_in_force_after_a_while() -> None:
    async with run_harness(OK) as harness:
        sidecar = harness.sidecar
        sidecar.reload(replace(sidecar._runtime.config, settings=settings(CHECK)))
        assert len(sidecar._runtime.config.settings.classes) == 3
        await until(lambda: len(sidecar._runtime.config.settings.classes) == 1)
        assert "reloaded" in harness.log[-1]


@async_test
async def test_a_reload_that_takes_the_one_before_back_leaves_the_settings_as_they_are() -> None:
    async with run_harness(OK) as harness:
        sidecar = harness.sidecar
        running = sidecar._runtime.config
        sidecar.reload(replace(running, settings=settings(CHECK)))
        sidecar.reload(running)
        await asyncio.sleep(1.3)
        assert sidecar._runtime.config.settings == running.settings
        assert (await harness.exchange("lodge")).status == 200
