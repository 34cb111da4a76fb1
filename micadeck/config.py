"""What a sidecar is told at its start: the JSON configuration, and the environment for what it leaves out."""

from __future__ import annotations

import importlib
import importlib.util
import json
import os
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from micadeck.engine import EndpointUpdate
from micadeck.membership.endpoint_list import parse_endpoint_update
from micadeck.network import Address, parse_address
from micadeck.policy import Settings
from micadeck.simulator_adapter import settings_from_wire

if TYPE_CHECKING:
    from micadeck.fleet.config import FleetConfig
    from micadeck.membership.consul.config import ConsulConfig
    from micadeck.mysql.config import MysqlConfig

_DEFAULT_SOCKETS = 1_024
_DEFAULT_MEMORY_MB = 64
_DEFAULT_RECORDS_MB = 64
_LEAST_RECORDS_MB = 4


class ConfigError(Exception):
    """The configuration can't be used; the text begins with the key at fault."""


class ConfigUnreadableError(ConfigError):
    """The file can't be read now, for `fault`."""

    def __init__(self, text: str, fault: OSError) -> None:
        super().__init__(text)
        self.fault = fault


@dataclass(frozen=True, slots=True)
class Config:
    """A sidecar's configuration."""

    name: str
    listen: Address
    discovery: Address | None  # the roster's; None: there is none, only Consul
    settings: Settings
    seed: int
    sockets: int
    memory_mb: int
    known: EndpointUpdate
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    consul: ConsulConfig | None = None
    mysql: MysqlConfig | None = None
    fleet: FleetConfig | None = None  # the other sidecars; None: they are not known
    operator: Address | None = None  # where staff call; None: there is no door
    trace: str = ""  # a file to record the decisions' events to
    records: str = ""  # a folder to record what happens in, for `micadeck incident`
    records_mb: int = _DEFAULT_RECORDS_MB  # that all its files of this sidecar may take
    keys: frozenset[str] = frozenset()  # that the file has, as far as a later file may not lack them

    def replaces(self, before: Config) -> None:
        """Raise ConfigError if this can't take another's place: it lacks a key that the other has.

        Guards against a file that lost a key: most have a default, which nobody asked for.
        """
        missing = sorted(before.keys - self.keys)
        if missing:
            raise ConfigError(f"{missing[0]}: it is missing, and the running configuration has it")


def load(environ: Mapping[str, str]) -> Config:
    """Read the file that `BALANCER_CONFIG` names; raise ConfigError on nonsense."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: the path of the configuration is needed")
    try:
        given = json.loads(Path(path).read_bytes())
    except OSError as fault:
        raise ConfigUnreadableError(f"BALANCER_CONFIG: {path} can't be read: {fault}", fault) from None
    except (ValueError, RecursionError) as fault:
        raise ConfigError(f"BALANCER_CONFIG: {path} can't be read: {fault}") from None
    if not isinstance(given, dict):
        raise ConfigError("BALANCER_CONFIG: the file must hold an object")
    from_environment = {
        key: environ[f"BALANCER_{key.upper()}"]
        for key in ("name", "listen", "discovery", "operator", "trace", "records")
        if f"BALANCER_{key.upper()}" in environ
    }
    return parse({**from_environment, **given})


def parse(given: Mapping[str, Any]) -> Config:
    """Check a configuration; raise ConfigError, naming the key, on nonsense."""
    try:
        settings = settings_from_wire(given.get("settings"))
    except ValueError as nonsense:
        text = str(nonsense)
        raise ConfigError(text if text.startswith("settings") else f"settings.{text}") from None
    if settings.limits.max_attempts < 1:
        raise ConfigError("settings.limits.max_attempts: at least 1 is needed: it would refuse every request")
    known = given.get("known")
    try:
        listing = parse_endpoint_update(known) if known is not None else EndpointUpdate(0, True, ())
    except ValueError as nonsense:
        raise ConfigError(f"known: {nonsense}") from None
    peers = given.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("peers: a list of addresses is needed")
    fleet = _of_file("fleet", given.get("fleet"), "micadeck.fleet.config")
    if fleet is not None:
        _check_member(given, settings)
    return Config(
        name=_text(given, "name"),
        listen=_address("listen", given.get("listen")),
        discovery=_discovery(given),
        settings=settings,
        seed=_seed(given.get("seed")),
        sockets=_limit(given.get("limits"), "sockets", 64, _DEFAULT_SOCKETS),
        memory_mb=_limit(given.get("limits"), "memory_mb", 16, _DEFAULT_MEMORY_MB),
        known=listing,
        peer_listen=_optional_address("peer_listen", given.get("peer_listen")),
        peers=tuple(_address(f"peers[{index}]", each) for index, each in enumerate(peers)),
        peers_all=_optional_address("peers_all", given.get("peers_all")),
        consul=_of_file("consul", given.get("consul"), "micadeck.membership.consul.config"),
        mysql=_of_file("mysql", given.get("mysql"), "micadeck.mysql.config"),
        fleet=fleet,
        operator=_optional_address("operator", given.get("operator")),
        trace=_written("trace", "file", "traces", given.get("trace")).replace("%p", str(os.getpid())),
        records=_written("records", "folder", "records", given.get("records")),
        records_mb=_records_mb(given.get("records_mb")),
        keys=frozenset(_keys(given)),
    )


def _check_member(given: Mapping[str, Any], settings: Settings) -> None:
    """What a member of the fleet can't do without; each would else fail later, or without a word."""
    from micadeck.fleet.config import check_name

    try:
        check_name(_text(given, "name"))
    except ValueError as nonsense:
        raise ConfigError(f"name: with fleet, {nonsense}") from None
    if not given.get("peer_listen"):
        raise ConfigError("peer_listen: with fleet, an address is needed")
    if not settings.limits.may_message:
        raise ConfigError("settings.bounds.mayTell: with fleet, true is needed")


_LASTING = ("name", "listen", "discovery", "seed", "limits", "settings", "operator")
_OF_SOME_CLASSES = ("group", "memorySpanUs")  # of those that are keyed


def _keys(given: Mapping[str, Any]) -> Iterator[str]:
    """The keys that a later file may not lack; of a list's entries, those that all of them have."""
    for key in _LASTING:
        if given.get(key) is not None:
            yield key
            if key in ("limits", "settings"):
                yield from _keys_within(given[key], key)


def _keys_within(value: object, path: str) -> Iterator[str]:
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield f"{path}.{key}"
            yield from _keys_within(inner, f"{path}.{key}")
    elif isinstance(value, list) and value and all(isinstance(each, Mapping) for each in value):
        shared = set.intersection(*(set(each) for each in value))
        yield from (f"{path}[].{key}" for key in shared if key not in _OF_SOME_CLASSES)


def _discovery(given: Mapping[str, Any]) -> Address | None:
    """The roster; with Consul, there may be none."""
    is_needed = not given.get("consul")
    read = _address if is_needed else _optional_address
    return read("discovery", given.get("discovery"))


def _of_file(key: str, path: object, module: str) -> Any:
    """What the file that the key names holds; the module that reads it is loaded only if there is one."""
    if path in (None, ""):
        return None
    if not isinstance(path, str):
        raise ConfigError(f"{key}: the path of a file is needed, not {path!r:.60}")
    try:
        config = importlib.import_module(module)
    except ImportError as missing:
        raise ConfigError(f"{key}: install micadeck[{key}]: {missing}") from None
    try:
        return config.load(path)
    except ValueError as fault:  # of each such module, its own error
        raise ConfigError(f"{key}: {fault}") from None


def _written(key: str, what: str, extra: str, path: object) -> str:
    """Where something is written to on demand, by parts of the program that an extra brings."""
    if path in (None, ""):
        return ""
    if not isinstance(path, str):
        raise ConfigError(f"{key}: the path of a {what} is needed, not {path!r:.60}")
    if importlib.util.find_spec("msgspec") is None:
        raise ConfigError(f"{key}: install micadeck[{extra}]")
    return path


def _records_mb(value: object) -> int:
    if value is None:
        return _DEFAULT_RECORDS_MB
    if type(value) is not int or value < _LEAST_RECORDS_MB:
        raise ConfigError(f"records_mb: a whole number from {_LEAST_RECORDS_MB} is needed, not {value!r:.60}")
    return value


def _text(given: Mapping[str, Any], key: str) -> str:
    value = given.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{key}: a text is needed, not {value!r:.60}")
    return value


def _address(key: str, value: object) -> Address:
    try:
        return parse_address(value)
    except ValueError as nonsense:
        raise ConfigError(f"{key}: {nonsense}") from None


def _optional_address(key: str, value: object) -> Address | None:
    return None if value in (None, "") else _address(key, value)


def _seed(value: object) -> int:
    if type(value) is int and value >= 0:
        return value
    try:
        return int(value, 16)  # type: ignore[call-overload, no-any-return]
    except (TypeError, ValueError):
        raise ConfigError(f"seed: hexadecimal digits are needed, not {value!r:.60}") from None


def _limit(limits: object, key: str, least: int, default: int) -> int:
    if limits is None:
        return default
    if not isinstance(limits, Mapping):
        raise ConfigError("limits: an object is needed")
    value = limits.get(key, default)
    if type(value) is not int or value < least:
        raise ConfigError(f"limits.{key}: a whole number from {least} is needed, not {value!r:.60}")
    return value
