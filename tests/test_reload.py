"""What a reload takes over, what only a restart does, and what it rejects."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from test_program import GOOD

from micadeck.config import Config, ConfigError, parse
from micadeck.reload import plan_reload


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


def test_peers_and_discovery_are_taken_over() -> None:
    loaded = config(peers=["127.0.0.1:7"], discovery="127.0.0.1:8")
    plan = plan_reload(config(), loaded)
    assert plan.restart_keys == () and plan.config.peers == loaded.peers
    assert plan.config.discovery == loaded.discovery


def test_settings_are_announced_with_their_restart_only_values_as_they_were() -> None:
    running = config()
    loaded = replace(running, settings=replace(running.settings, zone="elsewhere", me=7))
    plan = plan_reload(running, loaded)
    assert plan.restart_keys == ("settings.zone", "settings.me")
    assert plan.settings == running.settings and plan.config.settings == running.settings


def test_a_configuration_that_lost_a_key_is_rejected() -> None:
    running = config()
    with pytest.raises(ConfigError, match=r"^settings\.extra: it is missing"):
        plan_reload(replace(running, keys=running.keys | {"settings.extra"}), config())
