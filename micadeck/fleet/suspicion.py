"""Suspicions, and the time after which a suspect is declared dead."""

from __future__ import annotations

from micadeck.fleet.local_health import LocalHealth
from micadeck.fleet.member_records import MemberRecord, MemberState
from micadeck.fleet.member_table import MemberTable
from micadeck.fleet.settings import FleetSettings
from micadeck.fleet.timers import SuspicionTimer, TimerQueue


class SuspicionTracker:
    """Owns the suspicions: which members suspect which, and timers."""

    def __init__(
        self, table: MemberTable, timers: TimerQueue, health: LocalHealth, settings: FleetSettings
    ) -> None:
        """Start without suspicions.

        Args:
            table: This member's table.
            timers: The queue of the suspicions' timers.
            health: This member's local health.
            settings: The protocol's settings.
        """
        self._table = table
        self._timers = timers
        self._health = health
        self._settings = settings
        self._suspected_by: dict[str, set[str | None]] = {}

    def start(self, record: MemberRecord, suspected_by: str | None) -> None:
        """Start the suspicion of a member whose record was just stored in the table."""
        self._suspected_by[record.name] = {suspected_by}
        self._schedule(SuspicionTimer(record.name, record.start_us, record.incarnation))

    def clear(self, name: str) -> None:
        """End the suspicion of a member, if any; its timer is ignored when it fires."""
        self._suspected_by.pop(name, None)

    def confirm(self, record: MemberRecord) -> bool:
        """Count a further member with the same suspicion, which shortens the timeout.

        Returns:
            Whether to pass it on: it is new, and one of the first few.
        """
        suspected_by = self._suspected_by.setdefault(record.name, set())
        confirmer = record.suspected_by
        if not confirmer or confirmer in suspected_by:
            return False
        if len(suspected_by) > self._settings.indirect_probes:
            return False
        suspected_by.add(confirmer)
        return True

    def reschedule(self, record: MemberRecord) -> None:
        """Set an earlier timer for a suspicion that was shortened."""
        self._schedule(SuspicionTimer(record.name, record.start_us, record.incarnation))

    def restart(self, timer: SuspicionTimer) -> None:
        """Restart the timeout of a suspicion."""
        entry = self._table.entries.get(timer.name)
        if entry is not None:
            entry.changed_at = self._timers.now
            self._schedule(timer)

    def expire(self, timer: SuspicionTimer) -> MemberRecord | None:
        """Return the record that declares a suspect dead, once its suspicion has timed out."""
        entry = self._table.entries.get(timer.name)
        expected = (timer.start_us, timer.incarnation, MemberState.SUSPECT)
        if entry is None or entry.record.precedence != expected:
            return None
        if self._timers.now - entry.changed_at < self._timeout_us(timer.name):
            self._schedule(timer)
            return None
        return entry.record.observed_as(MemberState.DEAD)

    def _schedule(self, timer: SuspicionTimer) -> None:
        ends_at = self._table.entries[timer.name].changed_at + self._timeout_us(timer.name)
        self._timers.schedule(max(ends_at - self._timers.now, 0), timer)

    def _timeout_us(self, name: str) -> int:
        """Return how long a suspicion lasts: longer under loss, where a refutation takes several attempts."""
        confirmations = max(len(self._suspected_by.get(name, ())) - 1, 0)
        timeout_us = self._settings.suspicion_timeout_us(self._table.live_members, confirmations)
        loss_factor = 1.0 + self._settings.suspicion_loss_factor * self._health.excess_missed_fraction
        return int(timeout_us * loss_factor)
