"""MySQL's part of the configuration: a TOML file of its own; errors begin with the key at fault."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal, NoReturn

import msgspec
from msgspec import Meta, Struct

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.keys import key_and_text
from micadeck.membership.consul.config import ConsulConfig, ConsulConfigError
from micadeck.membership.consul.config import load as load_consul
from micadeck.mysql.auth import User, Verifier, parse_native
from micadeck.mysql.listener import ListenerLimits
from micadeck.mysql.pool import PoolLimits
from micadeck.mysql.routes import Rule
from micadeck.mysql.server_connection import Credentials
from micadeck.mysql.transport import TransportLimits
from micadeck.network import Address, parse_address
from micadeck.policy import Settings
from micadeck.policy.events import ListedServer
from micadeck.policy.settings import Idempotency

_Name = Annotated[str, Meta(pattern=r"^[^\r\n\x00]{1,80}$")]
_Count = Annotated[int, Meta(ge=1, le=10**9)]
_Millis = Annotated[int, Meta(ge=1, le=10**8)]
_Seconds = Annotated[float, Meta(gt=0.0, le=1e6)]
_Part = Annotated[float, Meta(ge=0.0, le=1.0)]


class MysqlConfigError(ValueError):
    """The file can't be used; the text begins with the key at fault."""


@dataclass(frozen=True, slots=True)
class MysqlConfig:
    """What the MySQL service is told."""

    name: str
    listen: Address
    settings: Settings
    users: dict[str, User]
    rules: tuple[Rule, ...]
    credentials: Credentials
    discovery: Address | None
    consul: ConsulConfig | None
    known: EndpointUpdate
    front: ListenerLimits
    carrier: TransportLimits


# The file, as it is written


class _User(Struct, forbid_unknown_fields=True):
    name: _Name
    verifier: str
    native: str = ""
    schemas: tuple[_Name, ...] | None = None


class _Static(Struct, forbid_unknown_fields=True):
    name: _Name
    address: str
    zone: str = ""


class _Servers(Struct, forbid_unknown_fields=True):
    user: _Name
    password_file: str
    roster: str = ""
    consul: str = ""
    static: tuple[_Static, ...] = ()


class _Class(Struct, forbid_unknown_fields=True):
    name: _Name
    deadline_ms: _Millis
    aim_ms: _Millis
    repeat: Literal["safe", "unsafe"]
    worth: Annotated[float, Meta(ge=0.0)] = 1.0


class _Rule(Struct, forbid_unknown_fields=True):
    read: _Name
    write: _Name
    user: str | None = None
    schema: str | None = None
    shape: str | None = None
    tenant: str | None = None
    trust: bool = False


class _Limits(Struct, forbid_unknown_fields=True):
    clients: _Count = 4_096
    open: _Count = 4_096
    connections: _Count = 1_024
    connections_per_server: _Count = 128
    packet_bytes: _Count = 64 << 20
    unfinished_bytes: _Count = 256 << 20
    hold_bytes: _Count = 1 << 20
    hold_all_bytes: _Count = 64 << 20
    statements_per_session: _Count = 1_024
    long_data_bytes: _Count = 16 << 20
    login_s: _Seconds = 10.0
    stall_s: _Seconds = 30.0
    idle_s: _Seconds = 28_800.0
    idle_bound_s: _Seconds = 60.0
    idle_connection_s: _Seconds = 60.0
    dial_ms: _Millis = 500
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3


class _Drain(Struct, forbid_unknown_fields=True):
    grace_ms: _Millis = 500
    finish_ms: Annotated[int, Meta(ge=0, le=10**8)] = 150


class _Cold(Struct, forbid_unknown_fields=True):
    start_part: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.2
    for_s: _Seconds = 30.0


class _File(Struct, forbid_unknown_fields=True):
    listen: str
    servers: _Servers
    users: Annotated[tuple[_User, ...], Meta(min_length=1)]
    classes: Annotated[tuple[_Class, ...], Meta(min_length=1)]
    rules: Annotated[tuple[_Rule, ...], Meta(min_length=1)]
    name: _Name = "mysql"
    zone: str = ""
    sidecars: _Count = 1
    tenants: tuple[_Name, ...] = ()
    kill: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)
    drain: _Drain = msgspec.field(default_factory=_Drain)
    cold: _Cold = msgspec.field(default_factory=_Cold)


def load(path: str | Path) -> MysqlConfig:
    """Read and check a file; raise MysqlConfigError."""
    try:
        given = msgspec.toml.decode(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as fault:
        raise MysqlConfigError(f"{path}: it can't be read: {fault}") from None
    return parse(given)


def parse(given: Any) -> MysqlConfig:
    """Check a configuration; raise MysqlConfigError, naming the key, on nonsense and on unknown keys."""
    try:
        file = msgspec.convert(given, _File)
    except msgspec.ValidationError as fault:
        path, text, _ = key_and_text(str(fault))
        raise MysqlConfigError(f"{path or 'the file'}: {text}") from None
    limits = file.limits
    servers = file.servers
    settings = _settings(file)
    if not (servers.roster or servers.consul or servers.static):
        _wrong("servers", "one of roster, consul and static is needed")
    if file.drain.finish_ms > file.drain.grace_ms:
        _wrong("drain.finish_ms", "it can't be longer than drain.grace_ms")
    return MysqlConfig(
        name=file.name,
        listen=_address("listen", file.listen),
        settings=settings,
        users=_users(file.users),
        rules=_rules(file),
        credentials=Credentials(servers.user, _password(servers.password_file)),
        discovery=_address("servers.roster", servers.roster) if servers.roster else None,
        consul=_consul(servers.consul),
        known=_known(servers.static),
        front=ListenerLimits(
            most_clients=limits.clients,
            most_in_packet=limits.packet_bytes,
            most_read=limits.unfinished_bytes,
            most_handles=limits.statements_per_session,
            most_long_data=limits.long_data_bytes,
            login_s=limits.login_s,
            stall_s=limits.stall_s,
            idle_s=limits.idle_s,
            idle_bound_s=limits.idle_bound_s,
        ),
        carrier=TransportLimits(
            pool=PoolLimits(
                limits.connections, limits.connections_per_server, int(limits.idle_connection_s * 1e6)
            ),
            max_held_bytes=limits.hold_bytes,
            max_total_held_bytes=limits.hold_all_bytes,
            max_packet_bytes=limits.packet_bytes,
            can_kill=file.kill,
        ),
    )


def _wrong(key: str, what: str) -> NoReturn:
    raise MysqlConfigError(f"{key}: {what}")


def _settings(file: _File) -> Settings:
    for number, each in enumerate(file.classes):
        if each.aim_ms > each.deadline_ms:
            _wrong(f"classes[{number}].aim_ms", "it can't be longer than deadline_ms")
    limits = file.limits
    given = {
        "classes": [
            {
                "name": each.name,
                "deadline_us": each.deadline_ms * 1_000,
                "aim_us": each.aim_ms * 1_000,
                "repeat": each.repeat,
                "worth": each.worth,
            }
            for each in file.classes
        ],
        "tenants": [{"name": each} for each in file.tenants],
        "zone": file.zone,
        "group_size": file.sidecars,
        "discovery": "on_request",
        "limits": {
            "max_attempts": limits.attempts,
            "may_cancel": True,
            "may_probe": True,
            "dial_timeout_us": limits.dial_ms * 1_000,
            "idle_close_us": int(limits.idle_connection_s * 1e6),
            "max_open": limits.open,
        },
        "rules": {
            "drain_grace_us": file.drain.grace_ms * 1_000,
            "bound_grace_us": file.drain.finish_ms * 1_000,
            "cold_from": file.cold.start_part,
            "cold_us": int(file.cold.for_s * 1e6),
        },
    }
    try:
        return Settings.from_mapping(given)
    except ValueError as fault:
        raise MysqlConfigError(str(fault)) from None


def _users(given: tuple[_User, ...]) -> dict[str, User]:
    users: dict[str, User] = {}
    for number, each in enumerate(given):
        if each.name in users:
            _wrong(f"users[{number}].name", f"{each.name!r} stands twice")
        try:
            verifier = Verifier.parse(each.verifier)
        except ValueError as fault:
            _wrong(f"users[{number}].verifier", str(fault))
        try:
            native = parse_native(each.native) if each.native else None
        except ValueError as fault:
            _wrong(f"users[{number}].native", str(fault))
        schemas = frozenset(each.schemas) if each.schemas is not None else None
        users[each.name] = User(each.name, verifier, native, schemas)
    return users


def _rules(file: _File) -> tuple[Rule, ...]:
    repeats = {each.name: Idempotency(each.repeat) for each in file.classes}
    rules = []
    for number, each in enumerate(file.rules):
        key = f"rules[{number}]"
        for field, name, needed in (
            ("read", each.read, Idempotency.IDEMPOTENT),
            ("write", each.write, Idempotency.NON_IDEMPOTENT),
        ):
            if name not in repeats:
                _wrong(f"{key}.{field}", f"there is no class {name!r}")
            if repeats[name] is not needed:
                _wrong(f"{key}.{field}", f"the class {name!r} must have repeat = {needed.value!r}")
        if each.tenant is not None and each.tenant not in file.tenants:
            _wrong(f"{key}.tenant", f"{each.tenant!r} is not in tenants")
        try:
            shape = re.compile(each.shape, re.IGNORECASE) if each.shape is not None else None
        except re.error as fault:
            _wrong(f"{key}.shape", f"it is no regular expression: {fault}")
        if each.trust and shape is None:
            _wrong(f"{key}.trust", "it needs a shape")
        rules.append(Rule(each.read, each.write, each.user, each.schema, shape, each.tenant, each.trust))
    last = rules[-1]
    if last.user is not None or last.schema is not None or last.shape is not None:
        _wrong(f"rules[{len(rules) - 1}]", "the last rule must fit every statement")
    return tuple(rules)


def _password(path: str) -> bytes:
    """From a file of its own, so that the configuration can be shown to anybody."""
    try:
        return Path(path).read_bytes().rstrip(b"\r\n")
    except OSError as fault:
        _wrong("servers.password_file", f"{path} can't be read: {type(fault).__name__}")


def _address(key: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as fault:
        _wrong(key, str(fault))


def _consul(path: str) -> ConsulConfig | None:
    if not path:
        return None
    try:
        return load_consul(path)
    except ConsulConfigError as fault:
        _wrong("servers.consul", str(fault))


def _known(static: tuple[_Static, ...]) -> EndpointUpdate:
    entries = tuple(
        EndpointEntry(
            ListedServer(each.name, zone=each.zone),
            _address(f"servers.static[{number}].address", each.address),
        )
        for number, each in enumerate(static)
    )
    if len({each.endpoint.server for each in entries}) < len(entries):
        _wrong("servers.static", "a name stands twice")
    return EndpointUpdate(0, True, entries)
