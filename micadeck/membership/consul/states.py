"""Maps an instance's checks and metadata to the balancer's terms.  No input or output.

| Consul | precedence | weight |
| --- | --- | --- |
| `_node_maintenance` on the node, or `_service_maintenance:ID` on the service, critical | draining | |
| any other check of it or of its node critical | unhealthy | |
| a check warning, none critical | ready | Weights.Warning |
| all checks passing, or no check at all | ready | Weights.Passing |
| the weight that applies is 0 | draining | |
| not in the answer | removed, see `endpoint_merge` | |
| from the catalogue, which has no checks | ready | Weights.Passing |

Maintenance is an operator's decision; a critical check is automatic and may be wrong.  Both keep new requests
away, but `endpoint_merge` uses some endpoints if too many are critical.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from micadeck.membership.consul.entries import Check, Instance
from micadeck.membership.endpoint_observation import Precedence
from micadeck.network import Address, format_address

_NODE_MAINTENANCE = "_node_maintenance"
_SERVICE_MAINTENANCE = "_service_maintenance:"
_MAX_DIGITS = 15  # of a number in the metadata


@dataclass(frozen=True, slots=True)
class InstanceMapping:
    """Where to read an instance's properties.

    Attributes:
        zone_key: The metadata key of its zone.
        kind_key: The metadata key of its type.
        cell_key: The metadata key of its cell.
        started_key: The metadata key of its start, in milliseconds of Unix time.
        tagged_address: The tag of the address to use, such as lan or wan; empty for the service's own.
        default_zone: The zone of instances without one.
    """

    zone_key: str = "zone"
    kind_key: str = "kind"
    cell_key: str = "cell"
    started_key: str = "started_ms"
    tagged_address: str = ""
    default_zone: str = ""


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """One registration in the balancer's terms.

    Attributes:
        server: Its name, which is its address.
        address: Its address.
        precedence: Its state.
        reason: Why it has that state, as text.
        weight: Its load balancing weight.
        zone: Its locality.
        kind: Its type.
        cell: The number of its cell; 0 if unknown.
        started_at: When the process started, in microseconds of Unix time; None if unknown.
        registration: The ids of the node and of the service; others at the same address mean a restart.
    """

    server: str
    address: Address
    precedence: Precedence
    reason: str
    weight: float
    zone: str = ""
    kind: str = ""
    cell: int = 0
    started_at: int | None = None
    registration: tuple[str, str] = ("", "")


def merge_registrations(registrations: Iterable[InstanceStatus]) -> InstanceStatus:
    """Return that of several registrations at an address with the highest precedence."""
    statuses = list(registrations)
    if len(statuses) == 1:
        return statuses[0]
    return max(statuses, key=lambda status: (status.precedence, status.registration))


def instance_status(instance: Instance, mapping: InstanceMapping) -> InstanceStatus:
    """Map one registration."""
    own_address = (instance.address, instance.port)
    address = instance.tagged_addresses.get(mapping.tagged_address, own_address)
    precedence, reason, weight = _instance_health(instance)
    return InstanceStatus(
        server=format_address(address),
        address=address,
        precedence=precedence,
        reason=reason,
        weight=float(weight),
        zone=instance.meta.get(mapping.zone_key, mapping.default_zone),
        kind=instance.meta.get(mapping.kind_key, ""),
        cell=_number(instance.meta, mapping.cell_key) or 0,
        started_at=_started_at(instance.meta, mapping.started_key),
        registration=(instance.node_id or instance.node, instance.service_id),
    )


def _instance_health(instance: Instance) -> tuple[Precedence, str, int]:
    """Return the state of an instance, the reason and the weight."""
    passing = instance.passing_weight
    if instance.checks is None:
        return _state_by_weight("in the catalogue", passing)
    critical = [check for check in instance.checks if check.status == "critical"]
    for check in critical:
        if _is_maintenance(check, instance.service_id):
            return Precedence.DRAINING, f"maintenance: {check.check_id}", passing
    if critical:
        return Precedence.UNHEALTHY, f"critical: {critical[0].check_id}", passing
    warning = next((check for check in instance.checks if check.status == "warning"), None)
    if warning is not None:
        return _state_by_weight(f"warning: {warning.check_id}", instance.warning_weight)
    return _state_by_weight("passing", passing)


def _state_by_weight(reason: str, weight: int) -> tuple[Precedence, str, int]:
    if weight:
        return Precedence.READY, reason, weight
    return Precedence.DRAINING, "its weight is 0", weight


def _is_maintenance(check: Check, service_id: str) -> bool:
    return check.check_id in (_NODE_MAINTENANCE, _SERVICE_MAINTENANCE + service_id)


def _number(meta: Mapping[str, str], key: str) -> int | None:
    value = meta.get(key, "")
    return int(value) if value.isascii() and value.isdigit() and len(value) <= _MAX_DIGITS else None


def _started_at(meta: Mapping[str, str], key: str) -> int | None:
    started_ms = _number(meta, key)
    return started_ms * 1_000 if started_ms else None


class RestartTracker:
    """Detects restarted servers, which need a slow start.

    A server has restarted if it is registered under another node or service id at the same address, returns
    after an absence, or its checks change from critical to passing; unless its metadata has its start.  Those
    in the first complete list have not.  Owns the last status and detected start of each server.
    """

    def __init__(self) -> None:
        """Start without servers."""
        self._last: dict[str, InstanceStatus] = {}
        self._detected_at: dict[str, int] = {}  # microseconds
        self._has_complete_list = False

    def observe(self, now: int, status: InstanceStatus) -> int | None:
        """Record a status that is new or has changed.

        Returns:
            The server's start in microseconds, reported or detected; None if it has none.
        """
        name, before = status.server, self._last.get(status.server)
        is_new = before is None and self._has_complete_list
        is_reregistered = before is not None and before.registration != status.registration
        has_recovered = (
            before is not None
            and before.precedence is Precedence.UNHEALTHY
            and status.precedence is Precedence.READY
        )
        if is_new or is_reregistered or has_recovered:
            self._detected_at[name] = now
        self._last[name] = status
        return status.started_at if status.started_at is not None else self._detected_at.get(name)

    def forget(self, addresses: Iterable[Address]) -> None:
        """Drop servers that are no longer listed."""
        for address in addresses:
            self._last.pop(format_address(address), None)
            self._detected_at.pop(format_address(address), None)

    def complete_list(self) -> None:
        """Record the end of a complete list: servers that appear later are new."""
        self._has_complete_list = True
