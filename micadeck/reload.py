"""Configuration reload: which keys a running process applies, and which need a restart.

It only plans; `Runtime.reload` executes the plan.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from micadeck.config import Config
from micadeck.policy import Settings

_RESTART_ONLY_KEYS = (
    "trace",
    "records",
    "records_mb",
    "name",
    "listen",
    "operator",
    "peer_listen",
    "seed",
    "memory_mb",
)
_RESTART_ONLY_SETTINGS = ("zone", "me", "discovery")
# A reload may change their values, but neither add nor remove them.
_OPTIONAL_PARTS = ("discovery", "consul", "mysql", "fleet")


@dataclass(frozen=True, slots=True)
class ReloadPlan:
    """What a reload changes.

    Attributes:
        config: The new configuration, still with the old settings.
        settings: The new settings, with the old restart-only values.
        restart_keys: Keys that differ in the file but need a restart.
    """

    config: Config
    settings: Settings
    restart_keys: tuple[str, ...]


def plan_reload(running: Config, loaded: Config) -> ReloadPlan:
    """Compare a loaded configuration with the running one.

    Args:
        running: The configuration in force.
        loaded: The reloaded one.

    Raises:
        ConfigError: `loaded` lacks keys that the running configuration has.
    """
    loaded.check_replaces(running)
    kept_keys = [key for key in _RESTART_ONLY_KEYS if getattr(loaded, key) != getattr(running, key)]
    kept_keys += [
        key for key in _OPTIONAL_PARTS if (getattr(loaded, key) is None) != (getattr(running, key) is None)
    ]
    kept_settings = {key: getattr(running.settings, key) for key in _RESTART_ONLY_SETTINGS}
    differing_settings = [
        f"settings.{key}" for key, value in kept_settings.items() if getattr(loaded.settings, key) != value
    ]
    kept_values = {key: getattr(running, key) for key in kept_keys}
    return ReloadPlan(
        config=replace(loaded, settings=running.settings, **kept_values),
        settings=replace(loaded.settings, **kept_settings),
        restart_keys=(*kept_keys, *differing_settings),
    )
