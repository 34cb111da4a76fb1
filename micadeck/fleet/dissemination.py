"""Dissemination: applies the updates received, and passes on those that are new."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from micadeck.fleet.broadcast_queue import BroadcastQueue
from micadeck.fleet.local_health import LocalHealth
from micadeck.fleet.local_member import LocalMember
from micadeck.fleet.member_records import MemberRecord, MemberState
from micadeck.fleet.member_table import MemberTable
from micadeck.fleet.messages import EndpointHint, Update
from micadeck.fleet.outbox import MemberChanged, Outbox
from micadeck.fleet.probe_round import ProbeRound
from micadeck.fleet.settings import FleetSettings
from micadeck.fleet.suspicion import SuspicionTracker
from micadeck.fleet.timers import TimerQueue

_RECORD_LIFETIME_US = 60_000_000  # how long a record is passed on
_SUSPECT_PROBERS = 6  # expected number of members that probe a new suspect next
_MAX_HINTS = 2_000


@dataclass(slots=True, eq=False)
class Dissemination:
    """Applies and passes on updates; owns the versions of endpoint hints that were seen."""

    local: LocalMember
    table: MemberTable
    broadcasts: BroadcastQueue
    suspicions: SuspicionTracker
    probe_round: ProbeRound
    health: LocalHealth
    outbox: Outbox
    timers: TimerQueue
    settings: FleetSettings
    rng: random.Random
    _hint_versions: dict[str, int] = field(default_factory=dict, init=False)
    _recovered_members: int = field(default=0, init=False)

    def receive(self, updates: Iterable[Update]) -> None:
        """Apply updates from another member, and pass on new ones."""
        for update in updates:
            if isinstance(update, EndpointHint):
                self._receive_hint(update)
            elif update.name == self.local.name:
                self._receive_own_record(update)
            elif update.host or update.name in self.table.entries or not update.is_live:
                self.apply(update)

    def apply(self, record: MemberRecord) -> None:
        """Store a record about another member, and pass it on, if it is new."""
        previous = self.table.get(record.name)
        is_suspicion = record.state is MemberState.SUSPECT
        if is_suspicion and previous is not None and previous.precedence == record.precedence:
            self._confirm_suspicion(record)
            return
        if not self.table.apply(self.timers.now, record):
            return
        current = self.table.entries[record.name].record
        self.suspicions.clear(record.name)
        if current.state is MemberState.SUSPECT:
            self._start_suspicion(current, record.suspected_by)
        was_not_alive = previous is not None and previous.state is not MemberState.ALIVE
        self._enqueue(record, urgent=was_not_alive or current.state is not MemberState.ALIVE)
        self._report_change(previous, current)

    def publish_self(self, *, urgent: bool = False) -> None:
        """Store and pass on this member's own record."""
        self.table.apply(self.timers.now, self.local.record)
        self._enqueue(self.local.record, urgent=urgent)

    def publish_metadata_if_due(self) -> None:
        """Pass on changed metadata, at limited intervals."""
        if self.local.publish_metadata_if_due(self.timers.now, self.table.live_members):
            self.publish_self()

    def pass_on_hint(self, hint: EndpointHint) -> None:
        """Pass on a change of an endpoint; older versions of it are ignored from now on."""
        self._hint_versions.pop(hint.endpoint, None)
        self._hint_versions[hint.endpoint] = hint.list_version
        while len(self._hint_versions) > _MAX_HINTS:
            del self._hint_versions[next(iter(self._hint_versions))]
        expires_at = self.timers.now + self.settings.hint_lifetime_us
        # Names of members have no spaces, so this subject differs from all of theirs.
        self.broadcasts.enqueue(f"server {hint.endpoint}", hint, expires_at, urgent=True)

    def take_recovered_members(self) -> int:
        """Return how many dead members recovered since the last call."""
        recovered, self._recovered_members = self._recovered_members, 0
        return recovered

    def _receive_hint(self, hint: EndpointHint) -> None:
        if hint.list_version > self._hint_versions.get(hint.endpoint, -1):
            self.pass_on_hint(hint)
            self.outbox.emit(hint)

    def _receive_own_record(self, record: MemberRecord) -> None:
        own = self.local.record
        if record.start_us > own.start_us:
            if self.local.is_established:
                self.local.is_superseded = True
                return
            # No peer has acknowledged this process yet, so it is the later one, and its clock was set back.
            self.local.restart_after(record.start_us)
            self.publish_self()
            return
        is_accusation = record.start_us == own.start_us and record.state is not MemberState.ALIVE
        if is_accusation and record.incarnation >= own.incarnation:
            self.local.refute(record.incarnation)
            self.health.degrade()
            self.publish_self(urgent=True)

    def _start_suspicion(self, current: MemberRecord, suspected_by: str | None) -> None:
        # Several members probe a suspect at once, so that the suspicion is soon refuted or confirmed.
        if self.rng.random() * self.table.live_members < _SUSPECT_PROBERS:
            self.probe_round.probe_next(current.name)
        self.suspicions.start(current, suspected_by)

    def _confirm_suspicion(self, record: MemberRecord) -> None:
        if self.suspicions.confirm(record):
            self._enqueue(record, urgent=True)
            self.suspicions.reschedule(record)

    def _report_change(self, previous: MemberRecord | None, current: MemberRecord) -> None:
        if previous is None:
            self.outbox.emit(MemberChanged(current))
            if current.is_live:
                self.probe_round.insert(current.name)
            return
        if not previous.is_live and current.is_live:
            self._recovered_members += 1
        if (previous.start_us, previous.state) != (current.start_us, current.state):
            self.outbox.emit(MemberChanged(current))

    def _enqueue(self, record: MemberRecord, *, urgent: bool) -> None:
        expires_at = self.timers.now + _RECORD_LIFETIME_US
        self.broadcasts.enqueue(record.name, record, expires_at, urgent=urgent)
