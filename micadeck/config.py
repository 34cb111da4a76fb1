"""The configuration of a sidecar: a JSON file, with environment variables for keys that it lacks.

The `settings` object has the platform's form, which the simulator's protocol uses too; so it is read by
`micadeck.simulator_adapter`, the only module that maps its keys to those of the decisions.
"""

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
from micadeck.errors import OperatorError
from micadeck.membership.endpoint_list import parse_endpoint_update
from micadeck.network import Address, parse_address
from micadeck.policy import Settings
from micadeck.simulator_adapter import settings_from_wire

if TYPE_CHECKING:
    from micadeck.fleet.config import FleetConfig
    from micadeck.membership.consul.config import ConsulConfig
    from micadeck.mysql.config import MysqlConfig

_DEFAULT_SOCKETS = 1_024
_MIN_SOCKETS = 64
_DEFAULT_MEMORY_MB = 64
_MIN_MEMORY_MB = 16
_DEFAULT_RECORDS_MB = 64
_MIN_RECORDS_MB = 4
_PATH_VARIABLE = "BALANCER_CONFIG"
_ENVIRONMENT_KEYS = ("name", "listen", "discovery", "operator", "trace", "records")
# Keys that a reloaded file must have if the running configuration has them.
_REQUIRED_ON_RELOAD = ("name", "listen", "discovery", "seed", "limits", "settings", "operator")
_OPTIONAL_CLASS_KEYS = ("group", "memorySpanUs")  # only keyed classes have them


class ConfigError(OperatorError):
    """The configuration is invalid; the text begins with the invalid key.

    Attributes:
        key: The path of the key; empty for the file itself.
        problem: What is wrong.
    """

    advice = "Correct the key that the text begins with, and start the sidecar again or send it SIGHUP."

    def __init__(self, key: str, problem: str) -> None:
        """Create the error for this key."""
        super().__init__(": ".join(part for part in (key, problem) if part))
        self.key = key
        self.problem = problem


class ConfigUnreadableError(ConfigError):
    """The file can't be read at the moment.

    Attributes:
        os_error: Why.
    """

    advice = "Make the file readable for the sidecar; a start retries for a while."

    def __init__(self, key: str, problem: str, os_error: OSError) -> None:
        """Create the error for this key and system error."""
        super().__init__(key, problem)
        self.os_error = os_error


@dataclass(frozen=True, slots=True)
class Config:
    """A sidecar's configuration."""

    name: str
    listen: Address
    discovery: Address | None  # the platform's endpoint list; None: only Consul is used
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
    fleet: FleetConfig | None = None  # the fleet of sidecars; None: not configured
    operator: Address | None = None  # of the admin server; None: not configured
    trace: str = ""  # a file to record the decisions' events to
    records: str = ""  # a folder for the records that `micadeck incident` reads
    records_mb: int = _DEFAULT_RECORDS_MB  # limit for all record files of this sidecar
    keys: frozenset[str] = frozenset()  # paths in the file that a reloaded file must have

    def check_replaces(self, running: Config) -> None:
        """Check that this configuration can replace the running one.

        A missing key would silently put its default in force.

        Raises:
            ConfigError: It lacks a key that the running one has.
        """
        missing = sorted(running.keys - self.keys)
        if missing:
            raise ConfigError(missing[0], "it is missing, but set in the running configuration")


def load(environ: Mapping[str, str]) -> Config:
    """Read the file that the variable `BALANCER_CONFIG` names.

    Raises:
        ConfigError: The file can't be read, or a key of it is invalid.
    """
    path = environ.get(_PATH_VARIABLE)
    if not path:
        raise ConfigError(_PATH_VARIABLE, "the path of the configuration is needed")
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigUnreadableError(_PATH_VARIABLE, f"{path} can't be read: {error}", error) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(_PATH_VARIABLE, f"{path} can't be read: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(_PATH_VARIABLE, "the file must hold an object")
    from_environment = {
        key: environ[f"BALANCER_{key.upper()}"]
        for key in _ENVIRONMENT_KEYS
        if f"BALANCER_{key.upper()}" in environ
    }
    return parse({**from_environment, **document})


def parse(document: Mapping[str, Any]) -> Config:
    """Check a configuration.

    Raises:
        ConfigError: A key is invalid.
    """
    settings = _settings(document.get("settings"))
    known = _known(document.get("known"))
    peers = document.get("peers") or []
    if not isinstance(peers, list):
        raise ConfigError("peers", "a list of addresses is needed")
    fleet = _load_part("fleet", document.get("fleet"), "micadeck.fleet.config")
    if fleet is not None:
        _check_fleet_member(document, settings)
    limits = document.get("limits")
    listen = _address("listen", document.get("listen"))
    mysql = _load_part("mysql", document.get("mysql"), "micadeck.mysql.config")
    if mysql is not None and mysql.listen == listen and listen[1]:
        raise ConfigError("mysql: listen", "it is also the address of `listen`")
    return Config(
        name=_text(document, "name"),
        listen=listen,
        discovery=_discovery(document),
        settings=settings,
        seed=_seed(document.get("seed")),
        sockets=_limit(limits, "sockets", _MIN_SOCKETS, _DEFAULT_SOCKETS),
        memory_mb=_limit(limits, "memory_mb", _MIN_MEMORY_MB, _DEFAULT_MEMORY_MB),
        known=known,
        peer_listen=_optional_address("peer_listen", document.get("peer_listen")),
        peers=tuple(_address(f"peers[{index}]", address) for index, address in enumerate(peers)),
        peers_all=_optional_address("peers_all", document.get("peers_all")),
        consul=_load_part("consul", document.get("consul"), "micadeck.membership.consul.config"),
        mysql=mysql,
        fleet=fleet,
        operator=_optional_address("operator", document.get("operator")),
        trace=_output_path("trace", "file", "traces", document.get("trace")).replace("%p", str(os.getpid())),
        records=_output_path("records", "folder", "records", document.get("records")),
        records_mb=_records_mb(document.get("records_mb")),
        keys=frozenset(_required_keys(document)),
    )


def _settings(document: object) -> Settings:
    try:
        settings = settings_from_wire(document)
    except ValueError as error:
        path, _, problem = str(error).partition(": ")
        raise ConfigError(path if path.startswith("settings") else f"settings.{path}", problem) from None
    if settings.limits.max_attempts < 1:
        raise ConfigError(
            "settings.limits.max_attempts", "at least 1 is needed: with less, every request would be refused"
        )
    return settings


def _known(document: Any) -> EndpointUpdate:
    """The last known endpoint list; without the key, an empty one."""
    if document is None:
        return EndpointUpdate(0, True, ())
    try:
        return parse_endpoint_update(document)
    except ValueError as error:
        raise ConfigError("known", str(error)) from None


def _check_fleet_member(document: Mapping[str, Any], settings: Settings) -> None:
    """Check the keys that a member of the fleet needs; without them it would fail later, or silently."""
    from micadeck.fleet.config import check_name

    try:
        check_name(_text(document, "name"))
    except ValueError as error:
        raise ConfigError("name", f"with fleet, {error}") from None
    if not document.get("peer_listen"):
        raise ConfigError("peer_listen", "with fleet, an address is needed")
    if not settings.limits.may_message:
        raise ConfigError("settings.bounds.mayTell", "with fleet, true is needed")


def _required_keys(document: Mapping[str, Any]) -> Iterator[str]:
    """Paths that a reloaded file must have; of a list's objects, the keys common to all."""
    for key in _REQUIRED_ON_RELOAD:
        if document.get(key) is not None:
            yield key
            if key in ("limits", "settings"):
                yield from _paths_within(document[key], key)


def _paths_within(value: object, path: str) -> Iterator[str]:
    if isinstance(value, Mapping):
        for key, inner in value.items():
            yield f"{path}.{key}"
            yield from _paths_within(inner, f"{path}.{key}")
    elif isinstance(value, list) and value and all(isinstance(item, Mapping) for item in value):
        shared_keys = set.intersection(*(set(item) for item in value))
        yield from (f"{path}[].{key}" for key in shared_keys if key not in _OPTIONAL_CLASS_KEYS)


def _discovery(document: Mapping[str, Any]) -> Address | None:
    """The address of discovery; optional with Consul."""
    is_needed = not document.get("consul")
    read = _address if is_needed else _optional_address
    return read("discovery", document.get("discovery"))


def _load_part(key: str, path: object, module_name: str) -> Any:
    """Read the file that the key names; its module is loaded only if the key is set."""
    if path in (None, ""):
        return None
    if not isinstance(path, str):
        raise ConfigError(key, f"the path of a file is needed, not {path!r:.60}")
    try:
        module = importlib.import_module(module_name)
    except ImportError as error:
        raise ConfigError(key, f"install micadeck[{key}]: {error}") from None
    try:
        return module.load(path)
    except ValueError as error:  # base class of the modules' own errors
        raise ConfigError(key, str(error)) from None


def _output_path(key: str, kind: str, extra: str, path: object) -> str:
    """The output path of an optional feature; empty if the key is not set."""
    if path in (None, ""):
        return ""
    if not isinstance(path, str):
        raise ConfigError(key, f"the path of a {kind} is needed, not {path!r:.60}")
    if importlib.util.find_spec("msgspec") is None:
        raise ConfigError(key, f"install micadeck[{extra}]")
    return path


def _records_mb(value: object) -> int:
    if value is None:
        return _DEFAULT_RECORDS_MB
    if type(value) is not int or value < _MIN_RECORDS_MB:
        raise ConfigError("records_mb", f"a whole number from {_MIN_RECORDS_MB} is needed, not {value!r:.60}")
    return value


def _text(document: Mapping[str, Any], key: str) -> str:
    value = document.get(key)
    if not isinstance(value, str) or not value:
        raise ConfigError(key, f"a non-empty string is needed, not {value!r:.60}")
    return value


def _address(key: str, value: object) -> Address:
    try:
        return parse_address(value)
    except ValueError as error:
        raise ConfigError(key, str(error)) from None


def _optional_address(key: str, value: object) -> Address | None:
    return None if value in (None, "") else _address(key, value)


def _seed(value: object) -> int:
    if type(value) is int and value >= 0:
        return value
    try:
        return int(value, 16)  # type: ignore[call-overload, no-any-return]
    except (TypeError, ValueError):
        raise ConfigError("seed", f"hexadecimal digits are needed, not {value!r:.60}") from None


def _limit(limits: object, key: str, minimum: int, default: int) -> int:
    if limits is None:
        return default
    if not isinstance(limits, Mapping):
        raise ConfigError("limits", "an object is needed")
    value = limits.get(key, default)
    if type(value) is not int or value < minimum:
        raise ConfigError(f"limits.{key}", f"a whole number from {minimum} is needed, not {value!r:.60}")
    return value
