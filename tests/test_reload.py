"""Which changes a reload applies, which need a restart, and which it rejects."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest import mock

import pytest
from loopback import async_test
from test_program import GOOD

from micadeck.config import Config, ConfigError, parse
from micadeck.network import LoopNetwork
from micadeck.reload import plan_reload
from micadeck.runtime import Runtime


def config(**changes: Any) -> Config:
    return parse({**GOOD, **changes})


def test_an_equal_configuration_changes_nothing() -> None:
    running = config()
    plan = plan_reload(running, config())
    assert (plan.config, plan.settings, plan.restart_keys) == (running, running.settings, ())


@pytest.mark.parametrize(
    ("key", "value"), [("name", "other"), ("seed", "abc"), ("operator", "127.0.0.1:1"), ("records_mb", 8)]
)
def test_a_restart_only_key_keeps_its_value_and_is_named(key: str, value: object) -> None:
    running = config()
    plan = plan_reload(running, config(**{key: value}))
    assert plan.restart_keys == (key,)
    assert getattr(plan.config, key) == getattr(running, key)


def test_peers_and_discovery_are_applied() -> None:
    loaded = config(peers=["127.0.0.1:7"], discovery="127.0.0.1:8")
    plan = plan_reload(config(), loaded)
    assert plan.restart_keys == () and plan.config.peers == loaded.peers
    assert plan.config.discovery == loaded.discovery


def test_reloaded_settings_keep_their_restart_only_values() -> None:
    running = config()
    loaded = replace(running, settings=replace(running.settings, zone="elsewhere", me=7))
    plan = plan_reload(running, loaded)
    assert plan.restart_keys == ("settings.zone", "settings.me")
    assert plan.settings == running.settings and plan.config.settings == running.settings


def test_a_configuration_that_lacks_an_earlier_key_is_rejected() -> None:
    running = config()
    with pytest.raises(ConfigError, match=r"^settings\.extra: it is missing"):
        plan_reload(replace(running, keys=running.keys | {"settings.extra"}), config())


@async_test
async def test_settings_that_a_host_restores_are_applied_again() -> None:
    # Without a listener, as in the library, each reload applies its settings to the engine at once.
    first = config()
    classes = tuple(replace(each, deadline_us=each.deadline_us + 1) for each in first.settings.classes)
    second = replace(first, settings=replace(first.settings, classes=classes))
    runtime = Runtime(first, LoopNetwork(), lambda _: None)
    with mock.patch.object(runtime.engine, "apply_settings") as applied:
        for loaded in (second, first):
            runtime.reload(loaded)
    assert [call.args for call in applied.call_args_list] == [(second.settings,), (first.settings,)]
