"""The last list of one service, and what a new answer changes in it.  No input or output.

Consul sends the complete list at each change.  Entries are compared by a digest of their bytes, so that only
new ones are parsed, and the result of an answer is what changed.  A list is read a few entries at a time, so
that the event loop can run in between.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Set
from dataclasses import dataclass, field

import msgspec

from micadeck.membership.consul.entries import parse_catalog, parse_health
from micadeck.membership.consul.protocol import ConsulError
from micadeck.membership.consul.states import (
    InstanceMapping,
    InstanceStatus,
    RestartTracker,
    instance_status,
    merge_registrations,
)
from micadeck.membership.endpoint_observation import Observation
from micadeck.network import Address

ENTRIES_PER_STEP = 32
_MAX_WARNINGS = 5
_LIST = msgspec.json.Decoder(list[msgspec.Raw])


@dataclass(slots=True)
class EntriesChange:
    """What an answer changes.

    Attributes:
        is_complete: Whether nothing was known before.
        count: The number of entries in the answer.
        observations: The new and changed endpoints, computed lazily: consume it before the next answer.
        removed: The addresses that are no longer listed.
        addresses: All addresses that the answer lists.
        warnings: Messages about malformed and contradictory entries.
    """

    is_complete: bool
    count: int
    observations: Iterator[Observation]
    removed: list[Address]
    addresses: Set[Address]
    warnings: tuple[str, ...]


@dataclass(slots=True)
class _Answer:
    """An answer that is being read: its entries, or error messages, by digest."""

    entries: dict[bytes, InstanceStatus | str] = field(default_factory=dict)
    new: list[bytes] = field(default_factory=list)


class ServiceView:
    """The entries of one service, by the digest of their bytes.  Owns the service's last list."""

    def __init__(self, mapping: InstanceMapping | None = None, *, is_catalog: bool = False) -> None:
        """Start without entries.

        Args:
            mapping: Where to read an instance's properties.
            is_catalog: Whether answers are of the catalogue, without checks.
        """
        self._mapping = mapping or InstanceMapping()
        self._parse = parse_catalog if is_catalog else parse_health
        self._entries: dict[bytes, InstanceStatus | str] = {}
        self._registrations: dict[Address, dict[bytes, InstanceStatus]] = {}
        self._restarts = RestartTracker()
        self._answer = _Answer()
        self.has_list = False

    def read(self, body: bytes) -> Iterator[None]:
        """Read an answer, `ENTRIES_PER_STEP` entries a step; raise ConsulError if it is not a list."""
        try:
            raw_entries = _LIST.decode(body)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            message = f"the body is not a JSON list: {error}"
            raise ConsulError(message) from None
        answer = self._answer = _Answer()
        yield
        for number, raw in enumerate(raw_entries):
            digest = hashlib.blake2b(raw, digest_size=16).digest()
            entry = self._entries.get(digest)
            if entry is None:
                entry = self._parse_entry(raw, number)
                answer.new.append(digest)
            answer.entries[digest] = entry
            if number % ENTRIES_PER_STEP == ENTRIES_PER_STEP - 1:
                yield

    def _parse_entry(self, raw: msgspec.Raw, number: int) -> InstanceStatus | str:
        try:
            instances, errors = self._parse([msgspec.json.decode(raw)], number)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            return f"[{number}]: {error}"
        return errors[0] if errors else instance_status(instances[0], self._mapping)

    def entry_count(self) -> int:
        """Return the number of distinct entries in the answer that was read."""
        return len(self._answer.entries)

    def take_change(self, now: int) -> EntriesChange:
        """Accept the answer that was read at `now` (microseconds of Unix time)."""
        answer, self._answer = self._answer, _Answer()
        touched: dict[Address, None] = {}
        for digest in self._entries.keys() - answer.entries.keys():
            before = self._entries[digest]
            if isinstance(before, InstanceStatus):
                del self._registrations[before.address][digest]
                touched[before.address] = None
        for digest in answer.new:
            status = answer.entries[digest]
            if isinstance(status, InstanceStatus):
                self._registrations.setdefault(status.address, {})[digest] = status
                touched[status.address] = None
        self._entries = answer.entries
        removed = [address for address in touched if not self._registrations[address]]
        for address in removed:
            del self._registrations[address]
        changed = [address for address in touched if address in self._registrations]
        is_complete, self.has_list = not self.has_list, True
        self._restarts.forget(removed)
        return EntriesChange(
            is_complete,
            len(answer.entries),
            self._observations(now, changed),
            removed,
            self._registrations.keys(),
            self._warnings(),
        )

    def _observations(self, now: int, changed: list[Address]) -> Iterator[Observation]:
        for address in changed:
            status = merge_registrations(self._registrations[address].values())
            yield _observation(status, self._restarts.observe(now, status))
        self._restarts.complete_list()

    def _warnings(self) -> tuple[str, ...]:
        warnings = [entry for entry in self._entries.values() if isinstance(entry, str)]
        warnings += [
            f"{next(iter(registrations.values())).server} is registered {len(registrations)} times"
            for registrations in self._registrations.values()
            if len(registrations) > 1
        ]
        omitted = len(warnings) - _MAX_WARNINGS
        return (*warnings[:_MAX_WARNINGS], *([f"and {omitted} more"] if omitted > 0 else []))


def _observation(status: InstanceStatus, started_at: int | None) -> Observation:
    return Observation(
        address=status.address,
        precedence=status.precedence,
        reason=status.reason,
        zone=status.zone,
        kind=status.kind,
        cell=status.cell,
        weight=status.weight,
        started_at=started_at,
    )
