"""Reads entries of `/v1/health/service/:name` and `/v1/catalog/service/:name`.  No input or output.

Sources: https://developer.hashicorp.com/consul/api-docs/health#list-service-instances-for-service and
.../api-docs/catalog#list-nodes-for-service.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from micadeck.membership.consul.protocol import ConsulError, ConsulFieldError, require_object
from micadeck.network import Address

_STATUSES = ("passing", "warning", "critical")
_MAX_PORT = 65_535
_MAX_WEIGHT = 65_535


@dataclass(frozen=True, slots=True)
class Check:
    """One health check.

    Attributes:
        check_id: Its id.
        status: One of passing, warning and critical.
        service_id: The service that it belongs to; empty for a check of the node.
    """

    check_id: str
    status: str
    service_id: str = ""


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of a service.

    Attributes:
        node: The name of its node.
        node_id: The id of its node; may be empty.
        service_id: Its id on that node.
        address: The numeric address of the service, or else of the node.
        port: Its port.
        tagged_addresses: Further addresses by tag, such as lan and wan.
        meta: The metadata of the node and of the service.
        passing_weight: Its weight while all checks pass.
        warning_weight: Its weight while a check warns.
        checks: Its checks; None from the catalogue, which has none.
    """

    node: str
    node_id: str
    service_id: str
    address: str
    port: int
    tagged_addresses: Mapping[str, Address] = field(default_factory=dict)
    meta: Mapping[str, str] = field(default_factory=dict)
    passing_weight: int = 1
    warning_weight: int = 1
    checks: tuple[Check, ...] | None = None


def parse_health(entries: Any, first_number: int = 0) -> tuple[list[Instance], list[str]]:
    """Read entries of the health API.

    Args:
        entries: The decoded list.
        first_number: The number of the first entry, for error messages.

    Returns:
        The instances with their checks, and a message about each malformed entry, which is left out.

    Raises:
        ConsulError: `entries` is no list.
    """
    return _parse_entries(entries, _parse_health_entry, first_number)


def parse_catalog(entries: Any, first_number: int = 0) -> tuple[list[Instance], list[str]]:
    """Read entries of the catalogue, which have no checks; see `parse_health`."""
    return _parse_entries(entries, _parse_catalog_entry, first_number)


def _parse_entries(
    entries: Any, parse: Callable[[Mapping[str, Any], str], Instance], first_number: int
) -> tuple[list[Instance], list[str]]:
    if not isinstance(entries, list):
        message = f"a list of entries is needed, not {entries!r:.40}"
        raise ConsulError(message)
    instances: list[Instance] = []
    errors: list[str] = []
    for number, entry in enumerate(entries, first_number):
        try:
            instances.append(parse(require_object(entry, f"[{number}]"), f"[{number}]"))
        except ConsulError as error:
            errors.append(str(error))
    return instances, errors


def _parse_health_entry(entry: Mapping[str, Any], path: str) -> Instance:
    node = require_object(entry.get("Node"), f"{path}.Node")
    service = require_object(entry.get("Service"), f"{path}.Service")
    checks = entry.get("Checks")
    if not isinstance(checks, list):
        raise ConsulFieldError(f"{path}.Checks", "a list", checks)
    weights = service.get("Weights")
    weights = require_object(weights, f"{path}.Service.Weights") if weights is not None else {}
    return Instance(
        node=_text(node, "Node", f"{path}.Node"),
        node_id=_text(node, "ID", f"{path}.Node", optional=True),
        service_id=_text(service, "ID", f"{path}.Service"),
        address=_address(service.get("Address") or node.get("Address"), f"{path}.Service.Address"),
        port=_port(service.get("Port"), f"{path}.Service.Port"),
        tagged_addresses=_tagged_addresses(service.get("TaggedAddresses"), f"{path}.Service.TaggedAddresses"),
        meta={
            **_meta(node.get("Meta"), f"{path}.Node.Meta"),
            **_meta(service.get("Meta"), f"{path}.Service.Meta"),
        },
        passing_weight=_weight(weights, "Passing", f"{path}.Service.Weights"),
        warning_weight=_weight(weights, "Warning", f"{path}.Service.Weights"),
        checks=tuple(
            _parse_check(require_object(check, f"{path}.Checks[{number}]"), f"{path}.Checks[{number}]")
            for number, check in enumerate(checks)
        ),
    )


def _parse_catalog_entry(entry: Mapping[str, Any], path: str) -> Instance:
    weights = entry.get("ServiceWeights")
    weights = require_object(weights, f"{path}.ServiceWeights") if weights is not None else {}
    return Instance(
        node=_text(entry, "Node", path),
        node_id=_text(entry, "ID", path, optional=True),
        service_id=_text(entry, "ServiceID", path),
        address=_address(entry.get("ServiceAddress") or entry.get("Address"), f"{path}.ServiceAddress"),
        port=_port(entry.get("ServicePort"), f"{path}.ServicePort"),
        tagged_addresses=_tagged_addresses(
            entry.get("ServiceTaggedAddresses"), f"{path}.ServiceTaggedAddresses"
        ),
        meta={
            **_meta(entry.get("NodeMeta"), f"{path}.NodeMeta"),
            **_meta(entry.get("ServiceMeta"), f"{path}.ServiceMeta"),
        },
        passing_weight=_weight(weights, "Passing", f"{path}.ServiceWeights"),
        warning_weight=_weight(weights, "Warning", f"{path}.ServiceWeights"),
    )


def _parse_check(check: Mapping[str, Any], path: str) -> Check:
    status = check.get("Status")
    if status not in _STATUSES:
        raise ConsulFieldError(f"{path}.Status", f"one of {', '.join(_STATUSES)}", status)
    return Check(_text(check, "CheckID", path), str(status), _text(check, "ServiceID", path, optional=True))


def _text(container: Mapping[str, Any], key: str, path: str, *, optional: bool = False) -> str:
    value = container.get(key)
    if optional and value is None:
        return ""
    if not isinstance(value, str) or not (value or optional):
        raise ConsulFieldError(f"{path}.{key}", "a string", value)
    return value


def _address(value: Any, path: str) -> str:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ConsulFieldError(path, "a numeric address", value) from None


def _port(value: Any, path: str) -> int:
    if type(value) is not int or not 0 < value <= _MAX_PORT:
        raise ConsulFieldError(path, "a port", value)
    return value


def _weight(weights: Mapping[str, Any], key: str, path: str) -> int:
    value = weights.get(key, 1)
    if type(value) is not int or not 0 <= value <= _MAX_WEIGHT:
        raise ConsulFieldError(f"{path}.{key}", f"an integer from 0 to {_MAX_WEIGHT}", value)
    return value


def _tagged_addresses(value: Any, path: str) -> dict[str, Address]:
    if value is None:
        return {}
    tagged = {}
    for name, tagged_value in require_object(value, path).items():
        entry = require_object(tagged_value, f"{path}.{name}")
        address = _address(entry.get("Address"), f"{path}.{name}.Address")
        tagged[str(name)] = (address, _port(entry.get("Port"), f"{path}.{name}.Port"))
    return tagged


def _meta(meta: Any, path: str) -> dict[str, str]:
    if meta is None:
        return {}
    return {str(key): str(value) for key, value in require_object(meta, path).items()}
