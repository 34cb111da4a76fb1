"""Reload at SIGHUP: all or nothing; requests keep the settings they came under."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from itertools import pairwise
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


# Which version of the settings applies to a request


def test_new_settings_wait_until_clients_follow_or_a_request_needs_them() -> None:
    old, new = settings(), settings(CHECK, {**AMEND, "repeat": "non_idempotent"}, TRACK)
    versions = SettingsVersions(old)
    due = versions.announce(new, 1_000_000)
    assert due == 2_200_000
    assert not versions.apply_due(due - 1)
    found = versions.find("lodge", Idempotency.NON_IDEMPOTENT, due - 1)
    assert found is not None and found[0].name == "lodge" and versions.settings is old
    # The first request that needs the new settings brings them into force.
    assert versions.find("track", Idempotency.IDEMPOTENT, due - 1) == (
        new.classes[2],
        False,
    )
    assert versions.settings is new and not versions.apply_due(due)
    # Requests that fit only the old settings are served under them for a short time.
    assert versions.find("amend", Idempotency.KEYED, due) == (old.classes[1], True)
    assert versions.find("amend", Idempotency.NON_IDEMPOTENT, due) == (new.classes[1], False)
    assert versions.find("lodge", Idempotency.NON_IDEMPOTENT, due) == (old.classes[2], True)
    # Later the dropped class is unknown, and the keyed request doesn't match its class any more.
    late = due + 300_000
    assert versions.find("lodge", Idempotency.NON_IDEMPOTENT, late) is None
    assert versions.find("amend", Idempotency.KEYED, late) == (
        new.classes[1],
        False,
    )


SPACING_US = 400_000  # between reloads in quick succession
PROPAGATION_US = 1_200_000  # from a reload until its rules bind
OVERLAP_US = 300_000  # in which requests under replaced settings are served


def keyed(group: str) -> dict[str, Any]:
    return {**AMEND, "group": group}


def bind_times(versions: SettingsVersions, end_us: int) -> list[tuple[Settings, int]]:
    """Play the clock up to `end_us` in steps of 1 ms; return which settings came into force, and when."""
    bound = []
    for now_us in range(0, end_us, 1_000):
        while versions.apply_due(now_us):
            bound.append((versions.settings, now_us))
    return bound


def test_each_of_several_reloads_binds_at_its_own_time() -> None:
    # Guards against a reload that holds off the rules of the one before it: keyed requests ran in two groups.
    versions = SettingsVersions(settings(CHECK, keyed("all")))
    announced = [
        settings(CHECK, keyed("cell")),
        settings(CHECK, keyed("cell"), TRACK),
        settings(keyed("cell"), TRACK),
    ]
    due = [versions.announce(each, number * SPACING_US) for number, each in enumerate(announced)]
    expected = [number * SPACING_US + PROPAGATION_US for number in range(3)]
    assert due == expected
    assert bind_times(versions, 3_000_000) == list(zip(announced, expected, strict=True))
    assert versions.is_settled


def test_a_reload_that_is_reverted_binds_until_the_revert_does() -> None:
    first, second = settings(CHECK, keyed("all")), settings(CHECK, keyed("cell"))
    versions = SettingsVersions(first)
    assert versions.announce(second, 0) == PROPAGATION_US
    assert versions.announce(second, 1) is None  # equal to the latest: the time of the first one holds
    assert versions.announce(first, SPACING_US) == SPACING_US + PROPAGATION_US
    assert bind_times(versions, 3_000_000) == [
        (second, PROPAGATION_US),
        (first, SPACING_US + PROPAGATION_US),
    ]
    assert versions.announce(first, 3_000_000) is None


def test_a_request_of_a_later_reload_brings_it_and_those_before_it_into_force() -> None:
    versions = SettingsVersions(settings(CHECK))
    last = settings(CHECK, keyed("cell"))
    announced = [settings(CHECK, LODGE), settings(CHECK, TRACK), last, settings(CHECK)]
    for number, each in enumerate(announced):
        versions.announce(each, number)
    assert versions.find("amend", Idempotency.KEYED, 10) == (last.classes[1], False)
    assert versions.settings is last
    # The one behind it keeps its time, and what it passed over is served for the overlap.
    assert versions.find("lodge", Idempotency.NON_IDEMPOTENT, 10 + OVERLAP_US - 1) is not None
    assert versions.find("lodge", Idempotency.NON_IDEMPOTENT, 10 + OVERLAP_US) is None
    assert not versions.apply_due(3 + PROPAGATION_US - 1)
    assert versions.apply_due(3 + PROPAGATION_US) and versions.settings is announced[3]


def test_requests_under_each_of_several_replaced_versions_are_served_for_the_overlap() -> None:
    versions = SettingsVersions(settings(LODGE))
    for number, each in enumerate((settings(AMEND), settings(CHECK), settings(TRACK))):
        versions.announce(each, number * 100_000)
    for number in range(3):
        assert versions.apply_due(PROPAGATION_US + number * 100_000)
    late = PROPAGATION_US + OVERLAP_US
    assert versions.find("lodge", Idempotency.NON_IDEMPOTENT, late - 1) == (settings(LODGE).classes[0], True)
    assert versions.find("lodge", Idempotency.NON_IDEMPOTENT, late) is None
    assert versions.find("amend", Idempotency.KEYED, late) == (settings(AMEND).classes[0], True)


def test_a_request_under_a_replaced_version_does_not_hasten_the_one_that_restores_it() -> None:
    first, second = settings(CHECK, LODGE), settings(CHECK)
    versions = SettingsVersions(first)
    versions.announce(second, 0)
    versions.announce(first, SPACING_US)
    assert versions.apply_due(PROPAGATION_US)
    found = versions.find("lodge", Idempotency.NON_IDEMPOTENT, PROPAGATION_US + 1)
    assert found == (first.classes[1], True) and versions.settings is second


@pytest.mark.parametrize("spacing_us", [100_000, 5_000])
def test_reloads_for_a_minute_bind_in_order_and_are_bounded(spacing_us: int) -> None:
    versions = SettingsVersions(settings(CHECK))
    announced = [settings(CHECK, {**LODGE, "giveUpUs": 3_000_000 + number}) for number in range(64)]
    due: list[tuple[Settings, int]] = []
    bound: list[tuple[Settings, int]] = []
    for number in range(60_000_000 // spacing_us):
        now_us = number * spacing_us
        while versions.apply_due(now_us):
            bound.append((versions.settings, now_us))
        due_us = versions.announce(announced[number % len(announced)], now_us)
        assert due_us == now_us + PROPAGATION_US
        due.append((announced[number % len(announced)], due_us))
        assert len(versions._pending) <= 64 and len(versions._retired) <= 64
    if spacing_us == 100_000:
        assert bound == due[: len(bound)] and len(bound) == len(due) - 12
    else:
        # More than can wait: some are passed over, those that bind do so at their own time and in order.
        assert bound == [each for each in due if each in bound]
        times = [at for _, at in bound]
        assert times[0] == PROPAGATION_US
        assert max(after - before for before, after in pairwise(times)) <= PROPAGATION_US


# The policy


def arrival(number: int, name: str = "check") -> RequestArrived:
    return RequestArrived(number, name, None, None, 2_000_000)


def sends(actions: list[Any]) -> list[Send]:
    return [each for each in actions if isinstance(each, Send)]


def make_balancer(cap: int) -> Balancer:
    policy = Balancer(settings(cap=cap), 7)
    listed = [ListedServer(f"s-{number}") for number in range(6)]
    policy.handle(1_000, ServersListed(ListKind.COMPLETE, listed, 1))
    return policy


def attempt_failed(sent: Send, attempt: int) -> AttemptEnded:
    return AttemptEnded(sent.request, attempt, sent.server, Outcome.ERROR, 500, False)


@pytest.mark.parametrize(("before", "after", "max_attempts"), [(2, 3, 2), (3, 2, 2), (3, 3, 3)])
def test_an_open_request_has_no_more_attempts_than_either_settings_allow(
    before: int, after: int, max_attempts: int
) -> None:
    policy = make_balancer(before)
    (sent,) = sends(policy.handle(2_000, arrival(1)))
    policy.handle(2_500, SettingsChanged(settings(cap=after)))
    attempts = 1
    while True:
        again = sends(policy.handle(3_000 + attempts, attempt_failed(sent, attempts - 1)))
        if not again:
            break
        (sent,) = again
        attempts += 1
    assert attempts == max_attempts


def test_an_open_request_keeps_its_class_and_a_new_one_gets_the_new_class() -> None:
    policy = make_balancer(3)
    (old,) = sends(policy.handle(2_000, arrival(1, "check")))
    policy.handle(2_100, SettingsChanged(settings({**CHECK, "repeat": "non_idempotent"})))
    (new,) = sends(policy.handle(2_200, arrival(2, "check")))
    assert sends(policy.handle(2_300, attempt_failed(old, 0)))  # idempotent on arrival: retried
    assert not sends(policy.handle(2_400, attempt_failed(new, 0)))  # non-idempotent by now


def test_server_state_survives_a_settings_change() -> None:
    policy = make_balancer(3)
    (sent,) = sends(policy.handle(2_000, arrival(1)))
    policy.handle(2_100, SettingsChanged(settings(TRACK)))
    assert policy.known() == 6
    assert policy._endpoints.by_name[sent.server].in_flight == 1
    assert not sends(policy.handle(2_200, AttemptEnded(1, 0, sent.server, Outcome.DELIVERED, 200, True)))
    assert policy._endpoints.by_name[sent.server].in_flight == 0


# The configuration file


def valid_config() -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{HOST}:8081",
        "discovery": f"{HOST}:9",
        "seed": "8c1f",
        "limits": {"memory_mb": 64, "sockets": 512},
        "settings": {"lanes": CLASSES, "bounds": {"sendCap": 3, "mayCancel": True}},
    }


def test_a_truncated_file_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    complete = json.dumps(valid_config()).encode()
    for length in range(len(complete)):
        path.write_bytes(complete[:length])
        with pytest.raises(ConfigError):
            load({"BALANCER_CONFIG": str(path)})


def config_without(*path: Any) -> dict[str, Any]:
    given: Any = json.loads(json.dumps(valid_config()))
    part = given
    for key in path[:-1]:
        part = part[key]
    del part[path[-1]]
    changed: dict[str, Any] = given
    return changed


def config_with(value: Any, *path: Any) -> dict[str, Any]:
    given: Any = json.loads(json.dumps(valid_config()))
    part = given
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = value
    changed: dict[str, Any] = given
    return changed


@pytest.mark.parametrize(
    ("given", "key"),
    [
        (config_without("settings"), "settings"),
        (config_without("limits"), "limits"),
        (config_without("limits", "sockets"), "limits.sockets"),
        (config_without("settings", "bounds"), "settings.bounds"),
        (config_without("settings", "bounds", "sendCap"), "settings.bounds.sendCap"),
        (config_without("settings", "lanes"), "settings.classes"),
        (config_without("settings", "lanes", 0, "repeat"), "settings.lanes[].repeat"),
        (config_without("settings", "lanes", 1, "giveUpUs"), "settings.classes[1].deadline_us"),
        (config_with(0, "settings", "lanes", 2, "giveUpUs"), "settings.classes[2].deadline_us"),
        (config_with(-5, "settings", "lanes", 2, "giveUpUs"), "settings.classes[2].deadline_us"),
        (config_with(0, "settings", "bounds", "sendCap"), "settings.limits.max_attempts"),
        (config_with("check", "settings", "lanes", 2, "name"), "settings.classes"),
        (config_with([], "settings", "lanes"), "settings.classes"),
    ],
    ids=str,
)
def test_an_invalid_file_is_rejected_with_its_key(given: dict[str, Any], key: str) -> None:
    running = parse(valid_config())
    with pytest.raises(ConfigError) as error:
        parse(given).check_replaces(running)
    assert str(error.value).startswith(key)


# The daemon


@async_test
async def test_a_reload_adds_and_removes_classes_while_requests_are_open() -> None:
    async def slow_for_lodge(received: ReceivedRequest) -> bytes:
        await asyncio.sleep(0.2 if received.headers["request-class"] == "lodge" else 0.0)
        return OK

    async with run_harness(slow_for_lodge, overrides={"operator": f"{HOST}:0"}) as harness:
        sidecar = harness.sidecar
        running = sidecar._runtime.config
        changed = replace(running, settings=settings(CHECK, TRACK))
        open_client = await harness.client()
        open_client.send(request("lodge"))
        await until(lambda: len(harness.received) == 1)
        sidecar.reload(changed)
        assert (await harness.exchange("amend")).status == 200  # clients may not follow the new settings yet
        track = request("check").replace(b"Request-Class: check", b"Request-Class: track")
        track_client = await harness.client()
        track_client.send(track)
        assert (await track_client.answer()).status == 200
        assert (await open_client.answer()).status == 200  # its class has been dropped meanwhile
        assert (await harness.exchange("lodge")).status == 200  # under the old settings, for a short time
        with pytest.raises(ConfigError):
            sidecar.reload(replace(changed, keys=frozenset()))
        sidecar.count_rejected_config()
        metrics = sidecar.statistics_report().decode()
        assert "edge_balancer.loads:1|c" in metrics and "edge_balancer.load_errors:1|c" in metrics
        assert "edge_balancer.handled.track.passed:1|c" in metrics
        await asyncio.sleep(0.35)
        rejected = await harness.exchange("lodge")
        assert (rejected.status, rejected.body) == (400, b"request-class is unknown\n")
        assert (await harness.exchange("check")).status == 200


@async_test
async def test_new_settings_take_effect_after_a_delay_without_a_request_that_needs_them() -> None:
    async with run_harness(OK) as harness:
        sidecar = harness.sidecar
        sidecar.reload(replace(sidecar._runtime.config, settings=settings(CHECK)))
        assert len(sidecar._runtime.config.settings.classes) == 3
        await until(lambda: len(sidecar._runtime.config.settings.classes) == 1)
        assert "reloaded" in harness.log[-1]


@async_test
async def test_a_reload_that_reverts_a_pending_one_leaves_the_settings_unchanged() -> None:
    async with run_harness(OK) as harness:
        sidecar = harness.sidecar
        running = sidecar._runtime.config
        sidecar.reload(replace(running, settings=settings(CHECK)))
        sidecar.reload(running)
        await asyncio.sleep(1.3)
        assert sidecar._runtime.config.settings == running.settings
        assert (await harness.exchange("lodge")).status == 200


@async_test
async def test_a_reload_binds_in_its_time_although_others_follow() -> None:
    # Guards against rules that never bind while files are replaced: keyed requests ran in two groups.
    async with run_harness(OK) as harness:
        sidecar = harness.sidecar
        running = sidecar._runtime.config
        first, second = settings(CHECK, TRACK), settings(TRACK)
        began = asyncio.get_running_loop().time()
        sidecar.reload(replace(running, settings=first))
        await asyncio.sleep(0.5)
        with pytest.raises(ConfigError):
            sidecar.reload(replace(running, keys=frozenset(), settings=settings(LODGE)))
        sidecar.reload(replace(running, settings=second))
        for expected, due_s in ((first, 1.2), (second, 1.7)):
            while sidecar._runtime.config.settings.classes != expected.classes:
                assert asyncio.get_running_loop().time() - began < due_s + 0.2
                await asyncio.sleep(0.005)
            assert asyncio.get_running_loop().time() - began >= due_s


@async_test
async def test_new_settings_bind_by_the_time_of_the_signal_not_of_its_handling() -> None:
    async with run_harness(OK) as harness:
        sidecar = harness.sidecar
        classes = settings(CHECK).classes
        requested_at = sidecar._network.time() - 1.0
        sidecar.reload(replace(sidecar._runtime.config, settings=settings(CHECK)), requested_at)
        await until(lambda: sidecar._runtime.config.settings.classes == classes)
        assert 1.2 <= sidecar._network.time() - requested_at < 1.4
