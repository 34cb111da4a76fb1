"""Consul's part of the configuration: a file of its own, JSON or TOML; errors begin with the key at fault."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from micadeck.keys import key_and_text
from micadeck.membership.consul.protocol import Ask, Mode
from micadeck.membership.consul.states import Names
from micadeck.membership.endpoint_merge import SourceTrust
from micadeck.network import Address, parse_address

_HOURS = re.compile(r"([01][0-9]|2[0-3]):([0-5][0-9])-([01][0-9]|2[0-3]):([0-5][0-9])")
_ALWAYS = "always"

T = TypeVar("T")
_Line = Annotated[str, Meta(pattern=r"^[^\r\n]*$")]
_Seconds = Annotated[float, Meta(ge=0.0, le=1e6)]


class ConsulConfigError(ValueError):
    """The file can't be used; the text begins with the key at fault."""


@dataclass(frozen=True, slots=True)
class Service:
    """One service to learn servers from."""

    name: str
    ask: Ask
    names: Names
    trust: SourceTrust
    of_catalog: bool = False  # read from the catalogue, which tells no health


@dataclass(frozen=True, slots=True)
class ConsulConfig:
    """Agents and services."""

    agents: tuple[Address, ...]
    services: tuple[Service, ...]
    wait_s: float  # of a blocking query
    spread_s: float  # the first calls are spread over this


# The file, as it is written


class _Keys(Struct, forbid_unknown_fields=True):
    """Under which meta keys an instance tells of itself."""

    zone: _Line = "zone"
    kind: _Line = "kind"
    cell: _Line = "cell"
    started: _Line = "started_ms"


class _Service(Struct, forbid_unknown_fields=True):
    name: Annotated[str, Meta(pattern=r"^[!-~]{1,128}$")]
    from_: Literal["health", "catalog"] = msgspec.field(name="from", default="health")
    datacenter: _Line = ""
    namespace: _Line = ""
    partition: _Line = ""
    mode: Mode = "default"
    tags: tuple[_Line, ...] = ()
    filter: _Line = ""
    meta: _Keys = msgspec.field(default_factory=_Keys)
    tagged_address: _Line = ""
    zone: _Line = ""
    lent: _Line = _ALWAYS
    keep_s: Annotated[float, Meta(ge=1.0, le=1e6)] = 3_600.0
    doubt_s: _Seconds = 2.0
    in_use: Annotated[float, Meta(ge=0.0, le=1.0)] = 0.5
    flaps: Annotated[int, Meta(ge=1, le=1_000)] = 4
    flap_s: _Seconds = 30.0
    forget_s: _Seconds = 60.0


class _File(Struct, forbid_unknown_fields=True):
    agents: Annotated[tuple[str, ...], Meta(min_length=1)]
    services: Annotated[tuple[_Service, ...], Meta(min_length=1)]
    token_file: _Line = ""
    wait_s: Annotated[float, Meta(ge=0.1, le=600.0)] = 30.0
    spread_s: Annotated[float, Meta(ge=0.0, le=60.0)] = 0.2


def load(path: str | Path) -> ConsulConfig:
    """Read and check a file; raise ConsulConfigError."""
    try:
        raw = Path(path).read_bytes()
        given = msgspec.toml.decode(raw) if str(path).endswith(".toml") else msgspec.json.decode(raw)
    except (OSError, ValueError, RecursionError) as fault:
        raise ConsulConfigError(f"{path}: it can't be read: {fault}") from None
    return parse(given)


def parse(given: Any) -> ConsulConfig:
    """Check a configuration; raise ConsulConfigError, naming the key, on nonsense and on unknown keys."""
    file = _checked(given)
    agents = tuple(
        _named(f"agents[{number}]", parse_address, each) for number, each in enumerate(file.agents)
    )
    token = _named("token_file", _token, file.token_file)
    services = tuple(_service(each, number, token) for number, each in enumerate(file.services))
    if len({each.name for each in services}) < len(services):
        raise ConsulConfigError("services: a name stands twice")
    return ConsulConfig(agents, services, file.wait_s, file.spread_s)


def _checked(given: Any) -> _File:
    try:
        return msgspec.convert(given, _File)
    except msgspec.ValidationError as fault:
        path, text, is_named = key_and_text(str(fault))
        if path in ("agents", "services") and (is_named or "length" in text):
            text = f"at least one {'address' if path == 'agents' else 'service'} is needed"
        raise ConsulConfigError(f"{path or 'the file'}: {text}") from None


def _named(key: str, read: Callable[[str], T], value: str) -> T:
    try:
        return read(value)
    except ValueError as fault:
        raise ConsulConfigError(f"{key}: {fault}") from None


def _token(path: str) -> str:
    """From a file of its own, so that the configuration can be shown to anybody."""
    if not path:
        return ""
    try:
        return Path(path).read_text(encoding="ascii").strip()
    except (OSError, ValueError) as fault:
        raise ValueError(f"{path} can't be read: {type(fault).__name__}") from None


def _service(given: _Service, number: int, token: str) -> Service:
    lent = None if given.lent == _ALWAYS else _named(f"services[{number}].lent", _Hours, given.lent)
    return Service(
        name=given.name,
        ask=Ask(
            token=token,
            datacenter=given.datacenter,
            namespace=given.namespace,
            partition=given.partition,
            mode=given.mode,
            tags=given.tags,
            filter=given.filter,
        ),
        names=Names(
            zone=given.meta.zone,
            kind=given.meta.kind,
            cell=given.meta.cell,
            started=given.meta.started,
            tagged=given.tagged_address,
            in_zone=given.zone,
        ),
        trust=SourceTrust(
            keep_s=given.keep_s,
            doubt_s=given.doubt_s,
            in_use=given.in_use,
            flaps=given.flaps,
            flap_s=given.flap_s,
            forget_s=given.forget_s,
            lent=lent,
        ),
        of_catalog=given.from_ == "catalog",
    )


class _Hours:
    """Daily hours of UTC, `HH:MM-HH:MM`; over midnight if the second is the earlier one."""

    def __init__(self, text: str) -> None:
        found = _HOURS.fullmatch(text)
        if found is None:
            raise ValueError(f"'{_ALWAYS}' or HH:MM-HH:MM (UTC) is needed, not {text!r:.40}")
        begin_h, begin_m, end_h, end_m = (int(each) for each in found.groups())
        self._span = begin_h * 60 + begin_m, end_h * 60 + end_m

    def __eq__(self, other: object) -> bool:
        return isinstance(other, _Hours) and self._span == other._span

    def __hash__(self) -> int:
        return hash(self._span)

    def __call__(self, now: float) -> bool:
        minute = int(now // 60) % (24 * 60)  # of the day, in UTC
        begin, end = self._span
        return begin <= minute < end if begin <= end else minute >= begin or minute < end
