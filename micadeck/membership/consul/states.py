"""What an instance's checks and meta mean for the balancer: the map, as a table.  No input or output.

| what Consul says | word | weight |
| --- | --- | --- |
| `_node_maintenance` on the node, or `_service_maintenance:ID` on the service, critical | drains | |
| any other check of it or of its node critical | doubtful | |
| a check warning, none critical | ready | Weights.Warning |
| all checks passing, or no check at all | ready | Weights.Passing |
| the weight that holds is 0 | drains | |
| no longer in the answer | gone (by absence, see merge) | |
| from the catalogue, which tells no health | ready | Weights.Passing |

Maintenance is somebody's word that nothing new is wanted; a critical check is a machine's guess that may be
about the check.  Both keep new work away; they differ in what many of them at once mean, which `merge`
decides.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum, unique

from micadeck.membership.consul.entries import Check, Instance
from micadeck.network import Address, place

_NODE_MAINTENANCE = "_node_maintenance"
_SERVICE_MAINTENANCE = "_service_maintenance:"


@unique
class Health(Enum):
    """One instance, in Consul's eyes."""

    READY = "ready"
    DOUBTFUL = "doubtful"
    DRAINS = "drains"


@dataclass(frozen=True, slots=True)
class Names:
    """Under which meta keys an instance tells of itself, and which address counts."""

    zone: str = "zone"
    kind: str = "kind"
    cell: str = "cell"
    started: str = "started_ms"  # Unix time in milliseconds
    tagged: str = ""  # "lan" or "wan"; empty: the service's own
    in_zone: str = ""  # the zone of those that tell none: another than one's own is drawn from less


@dataclass(frozen=True, slots=True)
class Word:
    """What Consul says of one server, in the balancer's terms."""

    server: str
    address: Address
    health: Health
    why: str
    weight: float
    zone: str = ""
    kind: str = ""
    cell: int = 0
    started_at: int | None = None  # microseconds of Unix time; None: not told
    registered: tuple[str, str] = ("", "")  # the node's id and the service's; others mean a restart


def words(instances: Iterable[Instance], names: Names | None = None) -> tuple[list[Word], list[str]]:
    """One word for each server, and what was doubtful about the list itself.

    A server is its address: the same service id on two nodes is two servers, and two registrations at one
    address are one, for which the more cautious word holds.
    """
    by_address: dict[Address, list[Word]] = {}
    for instance in instances:
        word = word_of(instance, names or Names())
        by_address.setdefault(word.address, []).append(word)
    doubts = [
        f"{each[0].server} is registered as {' and as '.join(str(word.registered) for word in each)}"
        for each in by_address.values()
        if len(each) > 1
    ]
    return [more_cautious(each) for each in by_address.values()], doubts


_CAUTION = (Health.READY, Health.DOUBTFUL, Health.DRAINS)


def more_cautious(registrations: Iterable[Word]) -> Word:
    """Of several words on one address, the one that holds."""
    several = list(registrations)
    if len(several) == 1:
        return several[0]
    return max(several, key=lambda word: (_CAUTION.index(word.health), word.registered))


def word_of(instance: Instance, names: Names) -> Word:
    """What one registration says of the server at its address."""
    address, port = instance.tagged.get(names.tagged, (instance.address, instance.port))
    health, why, weight = _judged(instance)
    return Word(
        server=place((address, port)),
        address=(address, port),
        health=health,
        why=why,
        weight=float(weight),
        zone=instance.meta.get(names.zone, names.in_zone),
        kind=instance.meta.get(names.kind, ""),
        cell=_number(instance.meta, names.cell) or 0,
        started_at=_started(instance.meta, names.started),
        registered=(instance.node_id or instance.node, instance.service_id),
    )


def _judged(instance: Instance) -> tuple[Health, str, int]:
    passing, warning = instance.weights
    if instance.checks is None:
        return (Health.READY, "in the catalogue", passing) if passing else _of_no_weight(passing)
    critical = [each for each in instance.checks if each.status == "critical"]
    for check in critical:
        if _is_maintenance(check, instance.service_id):
            return Health.DRAINS, f"maintenance: {check.ident}", passing
    if critical:
        return Health.DOUBTFUL, f"critical: {critical[0].ident}", passing
    warned = [each for each in instance.checks if each.status == "warning"]
    if warned:
        return (Health.READY, f"warning: {warned[0].ident}", warning) if warning else _of_no_weight(warning)
    return (Health.READY, "passing", passing) if passing else _of_no_weight(passing)


def _of_no_weight(weight: int) -> tuple[Health, str, int]:
    return Health.DRAINS, "its weight is 0", weight


def _is_maintenance(check: Check, service_id: str) -> bool:
    return check.ident in (_NODE_MAINTENANCE, _SERVICE_MAINTENANCE + service_id)


def _number(meta: Mapping[str, str], key: str) -> int | None:
    value = meta.get(key, "")
    return int(value) if value.isascii() and value.isdigit() and len(value) < 16 else None


def _started(meta: Mapping[str, str], key: str) -> int | None:
    started_ms = _number(meta, key)
    return started_ms * 1_000 if started_ms else None


class Restarts:
    """Which servers have started anew, for rule 4: when each was last seen to.

    One that is registered under another node or service id at the same address, that comes back after it was
    absent, or whose checks went from critical to passing, is taken for restarted at that moment, unless its
    meta tells its start.  One that is there at the first look is not: nothing was seen to change.
    """

    def __init__(self) -> None:
        self._last: dict[str, Word] = {}
        self._seen: dict[str, int] = {}  # when a server was seen to start, microseconds
        self._has_looked = False

    def heard(self, now: int, word: Word) -> int | None:
        """Take a word in that is new or has changed; give the server's start, if it has one."""
        name, before = word.server, self._last.get(word.server)
        is_new = before is None and self._has_looked
        is_other = before is not None and before.registered != word.registered
        is_back = before is not None and before.health is Health.DOUBTFUL and word.health is Health.READY
        if is_new or is_other or is_back:
            self._seen[name] = now
        self._last[name] = word
        return word.started_at if word.started_at is not None else self._seen.get(name)

    def left(self, addresses: Iterable[Address]) -> None:
        """These are no longer there."""
        for address in addresses:
            self._last.pop(place(address), None)
            self._seen.pop(place(address), None)

    def has_looked(self) -> None:
        """A whole list was taken in: who comes from here on was not there before."""
        self._has_looked = True
