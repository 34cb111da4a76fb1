"""Agreement with other members, by the digests that they send of their tables."""

from __future__ import annotations

from itertools import islice

import msgspec

from micadeck.fleet.local_health import LocalHealth
from micadeck.fleet.member_records import MemberState
from micadeck.fleet.member_table import MemberCount, MemberTable
from micadeck.fleet.settings import FleetSettings
from micadeck.fleet.timers import TimerQueue

_RECENT_INTERVALS = 6  # probe intervals for which a digest counts as recent
_AGREEING_PEERS = 4  # number of peers that must have the same table for it to be settled
_MAX_DIGESTS = 96


class _PeerDigest(msgspec.Struct, frozen=True):
    """The digest that a peer sent last."""

    digest: int
    received_at: int


class PeerDigests:
    """Owns the last digest of each peer, and derives whether members agree."""

    def __init__(
        self, table: MemberTable, timers: TimerQueue, health: LocalHealth, settings: FleetSettings
    ) -> None:
        """Start without any digest.

        Args:
            table: This member's table.
            timers: The source of the current time.
            health: This member's local health.
            settings: The protocol's settings.
        """
        self._table = table
        self._timers = timers
        self._health = health
        self._settings = settings
        self._digests: dict[str, _PeerDigest] = {}  # least recently received first

    def record(self, peer: str, digest: int) -> None:
        """Store the digest that a peer sent now."""
        self._digests.pop(peer, None)
        self._digests[peer] = _PeerDigest(digest, self._timers.now)
        while len(self._digests) > _MAX_DIGESTS:
            del self._digests[next(iter(self._digests))]

    def remove(self, peer: str) -> None:
        """Drop the digest of a peer."""
        self._digests.pop(peer, None)

    def clear(self) -> None:
        """Drop all digests."""
        self._digests.clear()

    def is_in_sync(self, peer: str) -> bool:
        """Whether the last digest of a peer is that of this member's table."""
        received = self._digests.get(peer)
        return received is not None and received.digest == self._table.digest

    @property
    def is_settled(self) -> bool:
        """Whether the peers that sent a digest last, since the table changed, have the same table."""
        expected = min(_AGREEING_PEERS, self._table.live_members - 1)
        latest = list(islice(reversed(self._digests.values()), expected))
        return len(latest) == expected and all(self._agrees(received) for received in latest)

    def count_members(self) -> MemberCount:
        """Return bounds of the number of members.

        Once settled, only suspects are uncertain.  Otherwise only peers with a recent digest are certain, and
        members that were declared dead may be on the other side of a partition.
        """
        table = self._table
        if self.is_settled:
            return MemberCount(table.state_counts[MemberState.ALIVE], table.live_members)
        recent_peers = sum(self._is_recent_member(name) for name in self._digests)
        return MemberCount(recent_peers + 1, table.live_members + table.state_counts[MemberState.DEAD])

    def _agrees(self, received: _PeerDigest) -> bool:
        return (
            received.digest == self._table.digest
            and received.received_at > self._table.digest_changed_at
            and self._is_recent(received)
        )

    def _is_recent_member(self, name: str) -> bool:
        record = self._table.get(name)
        return record is not None and record.is_live and self._is_recent(self._digests[name])

    def _is_recent(self, received: _PeerDigest) -> bool:
        interval_us = self._settings.probe_interval_us * self._health.timeout_factor
        return self._timers.now - received.received_at <= _RECENT_INTERVALS * interval_us
