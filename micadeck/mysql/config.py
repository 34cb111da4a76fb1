"""The MySQL service's configuration, a TOML file; errors begin with the key."""

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
    """The file is not valid; the text begins with the key."""


@dataclass(frozen=True, slots=True)
class MysqlConfig:
    """A checked configuration."""

    name: str
    listen: Address
    settings: Settings
    users: dict[str, User]
    rules: tuple[Rule, ...]
    credentials: Credentials
    discovery: Address | None
    consul: ConsulConfig | None
    known: EndpointUpdate
    listener: ListenerLimits
    transport: TransportLimits


# The structure of the file


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
    """Read a file; raise MysqlConfigError."""
    try:
        document = msgspec.toml.decode(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise MysqlConfigError(f"{path}: it can't be read: {error}") from None
    return parse(document)


def parse(document: Any) -> MysqlConfig:
    """Check a document; raise MysqlConfigError for invalid values and unknown keys."""
    try:
        file = msgspec.convert(document, _File)
    except msgspec.ValidationError as error:
        path, text, _ = key_and_text(str(error))
        raise MysqlConfigError(f"{path or 'the file'}: {text}") from None
    limits = file.limits
    servers = file.servers
    settings = _settings(file)
    if not (servers.roster or servers.consul or servers.static):
        _fail("servers", "one of roster, consul and static is needed")
    if file.drain.finish_ms > file.drain.grace_ms:
        _fail("drain.finish_ms", "it can't be longer than drain.grace_ms")
    return MysqlConfig(
        name=file.name,
        listen=_address("listen", file.listen),
        settings=settings,
        users=_users(file.users),
        rules=_rules(file),
        credentials=Credentials(servers.user, _password(servers.password_file)),
        discovery=_address("servers.roster", servers.roster) if servers.roster else None,
        consul=_consul(servers.consul),
        known=_static_list(servers.static),
        listener=ListenerLimits(
            max_clients=limits.clients,
            max_packet_bytes=limits.packet_bytes,
            max_unfinished_bytes=limits.unfinished_bytes,
            max_handles=limits.statements_per_session,
            max_long_data=limits.long_data_bytes,
            login_s=limits.login_s,
            stall_s=limits.stall_s,
            idle_s=limits.idle_s,
            idle_bound_s=limits.idle_bound_s,
        ),
        transport=TransportLimits(
            pool=PoolLimits(
                limits.connections, limits.connections_per_server, int(limits.idle_connection_s * 1e6)
            ),
            max_held_bytes=limits.hold_bytes,
            max_total_held_bytes=limits.hold_all_bytes,
            max_packet_bytes=limits.packet_bytes,
            can_kill=file.kill,
        ),
    )


def _fail(key: str, what: str) -> NoReturn:
    raise MysqlConfigError(f"{key}: {what}")


def _settings(file: _File) -> Settings:
    for number, service_class in enumerate(file.classes):
        if service_class.aim_ms > service_class.deadline_ms:
            _fail(f"classes[{number}].aim_ms", "it can't be longer than deadline_ms")
    limits = file.limits
    settings = {
        "classes": [
            {
                "name": service_class.name,
                "deadline_us": service_class.deadline_ms * 1_000,
                "aim_us": service_class.aim_ms * 1_000,
                "repeat": service_class.repeat,
                "worth": service_class.worth,
            }
            for service_class in file.classes
        ],
        "tenants": [{"name": tenant} for tenant in file.tenants],
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
        return Settings.from_mapping(settings)
    except ValueError as error:
        raise MysqlConfigError(str(error)) from None


def _users(entries: tuple[_User, ...]) -> dict[str, User]:
    users: dict[str, User] = {}
    for number, user in enumerate(entries):
        if user.name in users:
            _fail(f"users[{number}].name", f"{user.name!r} occurs twice")
        try:
            verifier = Verifier.parse(user.verifier)
        except ValueError as error:
            _fail(f"users[{number}].verifier", str(error))
        try:
            native = parse_native(user.native) if user.native else None
        except ValueError as error:
            _fail(f"users[{number}].native", str(error))
        schemas = frozenset(user.schemas) if user.schemas is not None else None
        users[user.name] = User(user.name, verifier, native, schemas)
    return users


def _rules(file: _File) -> tuple[Rule, ...]:
    idempotency = {entry.name: Idempotency(entry.repeat) for entry in file.classes}
    rules = []
    for number, rule in enumerate(file.rules):
        key = f"rules[{number}]"
        for field, name, needed in (
            ("read", rule.read, Idempotency.IDEMPOTENT),
            ("write", rule.write, Idempotency.NON_IDEMPOTENT),
        ):
            if name not in idempotency:
                _fail(f"{key}.{field}", f"there is no class {name!r}")
            if idempotency[name] is not needed:
                _fail(f"{key}.{field}", f"the class {name!r} must have repeat = {needed.value!r}")
        if rule.tenant is not None and rule.tenant not in file.tenants:
            _fail(f"{key}.tenant", f"{rule.tenant!r} is not in tenants")
        try:
            shape = re.compile(rule.shape, re.IGNORECASE) if rule.shape is not None else None
        except re.error as error:
            _fail(f"{key}.shape", f"it is not a regular expression: {error}")
        if rule.trust and shape is None:
            _fail(f"{key}.trust", "it needs a shape")
        rules.append(Rule(rule.read, rule.write, rule.user, rule.schema, shape, rule.tenant, rule.trust))
    last = rules[-1]
    if last.user is not None or last.schema is not None or last.shape is not None:
        _fail(f"rules[{len(rules) - 1}]", "the last rule must match every statement")
    return tuple(rules)


def _password(path: str) -> bytes:
    """Read from its own file, so that the configuration has no secrets."""
    try:
        return Path(path).read_bytes().rstrip(b"\r\n")
    except OSError as error:
        _fail("servers.password_file", f"{path} can't be read: {type(error).__name__}")


def _address(key: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        _fail(key, str(error))


def _consul(path: str) -> ConsulConfig | None:
    if not path:
        return None
    try:
        return load_consul(path)
    except ConsulConfigError as error:
        _fail("servers.consul", str(error))


def _static_list(static: tuple[_Static, ...]) -> EndpointUpdate:
    entries = tuple(
        EndpointEntry(
            ListedServer(server.name, zone=server.zone),
            _address(f"servers.static[{number}].address", server.address),
        )
        for number, server in enumerate(static)
    )
    if len({entry.endpoint.server for entry in entries}) < len(entries):
        _fail("servers.static", "a name occurs twice")
    return EndpointUpdate(0, True, entries)
