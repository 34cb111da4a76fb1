"""Reads Consul's configuration, a JSON or TOML file of its own."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from micadeck.keys import key_and_text
from micadeck.membership.consul.protocol import ConsistencyMode, RequestOptions
from micadeck.membership.consul.states import InstanceMapping
from micadeck.membership.endpoint_observation import SourceTrust
from micadeck.membership.errors import MembershipError
from micadeck.network import Address, parse_address

_SCHEDULE = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])-([01][0-9]|2[0-3]):([0-5][0-9])")
_ALWAYS = "always"
_MINUTES_PER_DAY = 24 * 60

T = TypeVar("T")
_SingleLine = Annotated[str, Meta(pattern=r"^[^\r\n]*$")]
_Seconds = Annotated[float, Meta(ge=0.0, le=1e6)]


class ConsulConfigError(MembershipError, ValueError):
    """The file is invalid; the text begins with the key at fault."""

    advice = "Correct that key of Consul's file."


@dataclass(frozen=True, slots=True)
class Service:
    """One service to read endpoints from.

    Attributes:
        name: Its name in Consul.
        request_options: What all calls for it have in common.
        mapping: Where to read an instance's properties.
        trust: How far it is trusted.
        is_catalog: Whether to read the catalogue, which has no checks.
    """

    name: str
    request_options: RequestOptions
    mapping: InstanceMapping
    trust: SourceTrust
    is_catalog: bool = False


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """A valid configuration.

    Attributes:
        agents: The addresses of the agents.
        services: The services to read.
        wait_s: How long a blocking query may wait.
        spread_s: The span over which the first calls are spread.
    """

    agents: tuple[Address, ...]
    services: tuple[Service, ...]
    wait_s: float
    spread_s: float


# The structure of the file; the names of keys are part of its format


class _MetaKeys(Struct, forbid_unknown_fields=True):
    zone: _SingleLine = "zone"
    kind: _SingleLine = "kind"
    cell: _SingleLine = "cell"
    started: _SingleLine = "started_ms"


class _Service(Struct, forbid_unknown_fields=True):
    name: Annotated[str, Meta(pattern=r"^[!-~]{1,128}$")]
    from_: Literal["health", "catalog"] = msgspec.field(name="from", default="health")
    datacenter: _SingleLine = ""
    namespace: _SingleLine = ""
    partition: _SingleLine = ""
    mode: ConsistencyMode = "default"
    tags: tuple[_SingleLine, ...] = ()
    filter: _SingleLine = ""
    meta: _MetaKeys = msgspec.field(default_factory=_MetaKeys)
    tagged_address: _SingleLine = ""
    zone: _SingleLine = ""
    schedule: _SingleLine = msgspec.field(name="lent", default=_ALWAYS)
    max_silence_s: Annotated[float, Meta(ge=1.0, le=1e6)] = msgspec.field(name="keep_s", default=3_600.0)
    empty_confirm_s: _Seconds = msgspec.field(name="doubt_s", default=2.0)
    panic_threshold: Annotated[float, Meta(ge=0.0, le=1.0)] = msgspec.field(name="in_use", default=0.5)
    flap_threshold: Annotated[int, Meta(ge=1, le=1_000)] = msgspec.field(name="flaps", default=4)
    flap_window_s: _Seconds = msgspec.field(name="flap_s", default=30.0)
    removal_hold_s: _Seconds = msgspec.field(name="forget_s", default=60.0)


class _File(Struct, forbid_unknown_fields=True):
    agents: Annotated[tuple[str, ...], Meta(min_length=1)]
    services: Annotated[tuple[_Service, ...], Meta(min_length=1)]
    token_file: _SingleLine = ""
    wait_s: Annotated[float, Meta(ge=0.1, le=600.0)] = 30.0
    spread_s: Annotated[float, Meta(ge=0.0, le=60.0)] = 0.2


def load(path: str | Path) -> ConsulConfig:
    """Read and check a file; raise ConsulConfigError, naming the key at fault."""
    try:
        raw = Path(path).read_bytes()
        is_toml = str(path).endswith(".toml")
        document = msgspec.toml.decode(raw) if is_toml else msgspec.json.decode(raw)
    except (OSError, ValueError, RecursionError) as error:
        message = f"{path}: cannot be read: {error}"
        raise ConsulConfigError(message) from None
    return parse(document)


def parse(document: Any) -> ConsulConfig:
    """Check a decoded file; raise ConsulConfigError, naming the key at fault."""
    file = _convert(document)
    agents = tuple(
        _parse_value(f"agents[{number}]", parse_address, agent) for number, agent in enumerate(file.agents)
    )
    token = _parse_value("token_file", _read_token, file.token_file)
    services = tuple(_service(entry, number, token) for number, entry in enumerate(file.services))
    if len({service.name for service in services}) < len(services):
        message = "services: duplicate name"
        raise ConsulConfigError(message)
    return ConsulConfig(agents, services, file.wait_s, file.spread_s)


def _convert(document: Any) -> _File:
    try:
        return msgspec.convert(document, _File)
    except msgspec.ValidationError as error:
        path, text, is_named = key_and_text(str(error))
        if path in ("agents", "services") and (is_named or "length" in text):
            text = f"at least one {'address' if path == 'agents' else 'service'} is needed"
        message = f"{path or 'the file'}: {text}"
        raise ConsulConfigError(message) from None


def _parse_value(key: str, read: Callable[[str], T], value: str) -> T:
    try:
        return read(value)
    except ValueError as error:
        message = f"{key}: {error}"
        raise ConsulConfigError(message) from None


def _read_token(path: str) -> str:
    """Read the token from a file of its own, so that the configuration holds no secret."""
    if not path:
        return ""
    try:
        return Path(path).read_text(encoding="ascii").strip()
    except (OSError, ValueError) as error:
        message = f"{path} cannot be read: {type(error).__name__}"
        raise ValueError(message) from None


def _service(entry: _Service, number: int, token: str) -> Service:
    schedule = None
    if entry.schedule != _ALWAYS:
        schedule = _parse_value(f"services[{number}].lent", DailySchedule, entry.schedule)
    return Service(
        name=entry.name,
        request_options=RequestOptions(
            token=token,
            datacenter=entry.datacenter,
            namespace=entry.namespace,
            partition=entry.partition,
            mode=entry.mode,
            tags=entry.tags,
            filter=entry.filter,
        ),
        mapping=InstanceMapping(
            zone_key=entry.meta.zone,
            kind_key=entry.meta.kind,
            cell_key=entry.meta.cell,
            started_key=entry.meta.started,
            tagged_address=entry.tagged_address,
            default_zone=entry.zone,
        ),
        trust=SourceTrust(
            max_silence_s=entry.max_silence_s,
            empty_confirm_s=entry.empty_confirm_s,
            panic_threshold=entry.panic_threshold,
            flap_threshold=entry.flap_threshold,
            flap_window_s=entry.flap_window_s,
            removal_hold_s=entry.removal_hold_s,
            is_available_at=schedule,
        ),
        is_catalog=entry.from_ == "catalog",
    )


class DailySchedule:
    """Daily hours in UTC, `HH:MM-HH:MM`; across midnight if the end is the earlier one."""

    def __init__(self, text: str) -> None:
        """Parse the hours; raise ValueError if they are malformed."""
        match = _SCHEDULE.fullmatch(text)
        if match is None:
            message = f"'{_ALWAYS}' or HH:MM-HH:MM (UTC) is needed, not {text!r:.40}"
            raise ValueError(message)
        begin_h, begin_m, end_h, end_m = (int(digits) for digits in match.groups())
        self._span = begin_h * 60 + begin_m, end_h * 60 + end_m  # minutes of the day

    def __eq__(self, other: object) -> bool:
        """Compare the hours."""
        return isinstance(other, DailySchedule) and self._span == other._span

    def __hash__(self) -> int:
        """Hash the hours."""
        return hash(self._span)

    def __call__(self, now: float) -> bool:
        """Return whether a Unix time, in seconds, is within the hours."""
        minute = int(now // 60) % _MINUTES_PER_DAY
        begin, end = self._span
        return begin <= minute < end if begin <= end else minute >= begin or minute < end
