"""The members that one of them knows, with digests by which two tables are compared.

A digest is the sum of one hash for each live member, so that a change costs the same whatever the number of
members.  Digests are kept for 16 branches of 16 leaves, so that two tables find their differences in three
steps.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence

import msgspec

from micadeck.fleet.member_records import MemberRecord, MemberState

BRANCHES = 16
LEVELS = 2  # of branches below the root: 256 leaves
_LEAVES: int = BRANCHES**LEVELS
_DIGEST_MASK = (1 << 63) - 1
_BRANCH_DIGEST_MASK = 0xFFFFFFFF


class MemberCount(msgspec.Struct, frozen=True):
    """Bounds of the number of members, this one included."""

    min_members: int  # confirmed by recent digests
    max_members: int  # including those that may be on the other side of a partition


class MemberEntry(msgspec.Struct):
    """One member in one table."""

    record: MemberRecord
    changed_at: int  # by this member's clock, in microseconds
    digest: int = 0  # its summand in the table's digest


class _Tombstone(msgspec.Struct, frozen=True):
    """The last record of a member that was removed, so that an older one does not bring it back."""

    precedence: tuple[int, int, int]
    created_at: int


class MemberTable:
    """Owns the record of each member; a record is applied if it supersedes the stored one."""

    def __init__(self) -> None:
        """Make an empty table."""
        self.entries: dict[str, MemberEntry] = {}
        self.state_counts = [0] * len(MemberState)
        self.digest = 0
        self.digest_changed_at = 0
        self._tombstones: dict[str, _Tombstone] = {}
        self._branch_digests = [[0] * BRANCHES ** (level + 1) for level in range(LEVELS)]
        self._leaves: list[dict[str, None]] = [{} for _ in range(_LEAVES)]

    @property
    def live_members(self) -> int:
        """The number of members that are alive or suspect."""
        return self.state_counts[MemberState.ALIVE] + self.state_counts[MemberState.SUSPECT]

    def get(self, name: str) -> MemberRecord | None:
        """Return the record of a member, if it is known."""
        entry = self.entries.get(name)
        return entry.record if entry is not None else None

    def live_names(self, *, exclude: str) -> list[str]:
        """Return the names of all live members but one."""
        return [name for name, entry in self.entries.items() if name != exclude and entry.record.is_live]

    def apply(self, now: int, record: MemberRecord) -> bool:
        """Store a record if it supersedes what is known.

        Args:
            now: This member's clock in microseconds.
            record: A record from this member or another.

        Returns:
            Whether the table changed.
        """
        entry = self.entries.get(record.name)
        if entry is None:
            if not self._may_add(now, record):
                return False
            entry = self._add(now, record)
        elif record.supersedes(entry.record):
            self._replace(now, entry, record)
        else:
            return False
        entry.digest = _record_digest(entry.record)
        self._add_to_digests(now, entry, 1)
        return True

    def remove_expired(self, now: int, dead_retention_us: int, tombstone_retention_us: int) -> list[str]:
        """Remove members that are dead or left for long; their last records stay as tombstones for longer.

        Args:
            now: This member's clock in microseconds.
            dead_retention_us: How long a dead member stays in the table.
            tombstone_retention_us: How long its last record is kept after that.

        Returns:
            The names of the members removed.
        """
        expired = [
            name
            for name, entry in self.entries.items()
            if not entry.record.is_live and now - entry.changed_at >= dead_retention_us
        ]
        for name in expired:
            entry = self.entries.pop(name)
            self.state_counts[entry.record.state] -= 1
            self._add_to_digests(now, entry, -1)
            del self._leaves[_leaf_of(name)][name]
            self._tombstones[name] = _Tombstone(entry.record.precedence, now)
        self._tombstones = {
            name: tombstone
            for name, tombstone in self._tombstones.items()
            if now - tombstone.created_at < tombstone_retention_us
        }
        return expired

    def branch_digests(self, path: Sequence[int]) -> list[int]:
        """Return the digests of the sixteen branches below a path, each cut to 32 bits."""
        first = 0
        for branch in path:
            first = (first + branch) * BRANCHES
        digests = self._branch_digests[len(path)][first : first + BRANCHES]
        return [digest & _BRANCH_DIGEST_MASK for digest in digests]

    def records_below(self, path: Sequence[int]) -> Iterator[MemberRecord]:
        """Yield the records of all members below a path, dead ones included."""
        leaves = BRANCHES ** (LEVELS - len(path))
        first = 0
        for branch in path:
            first = first * BRANCHES + branch
        for leaf in range(first * leaves, (first + 1) * leaves):
            for name in self._leaves[leaf]:
                yield self.entries[name].record

    def _may_add(self, now: int, record: MemberRecord) -> bool:
        """Whether a record adds a new member; a newer dead one is kept as a tombstone."""
        tombstone = self._tombstones.get(record.name)
        if tombstone is not None and record.precedence <= tombstone.precedence:
            return False
        if record.is_live:
            self._tombstones.pop(record.name, None)
            return True
        self._tombstones[record.name] = _Tombstone(record.precedence, now)
        return False

    def _add(self, now: int, record: MemberRecord) -> MemberEntry:
        entry = self.entries[record.name] = MemberEntry(record, now)
        self._leaves[_leaf_of(record.name)][record.name] = None
        self.state_counts[record.state] += 1
        return entry

    def _replace(self, now: int, entry: MemberEntry, record: MemberRecord) -> None:
        self._add_to_digests(now, entry, -1)
        previous = entry.record
        self.state_counts[previous.state] -= 1
        self.state_counts[record.state] += 1
        is_same_process = previous.start_us == record.start_us
        entry.record = _with_address(record, previous) if is_same_process else record
        entry.changed_at = now

    def _add_to_digests(self, now: int, entry: MemberEntry, sign: int) -> None:
        # Dead members are left out, because tables remove them at different times.
        if not entry.record.is_live:
            return
        self.digest_changed_at = now
        leaf = _leaf_of(entry.record.name)
        self.digest = (self.digest + sign * entry.digest) & _DIGEST_MASK
        for level, digests in enumerate(self._branch_digests):
            branch = leaf // BRANCHES ** (LEVELS - 1 - level)
            digests[branch] = (digests[branch] + sign * entry.digest) & _DIGEST_MASK


def _with_address(record: MemberRecord, previous: MemberRecord) -> MemberRecord:
    """Keep address and metadata where a record issued by another member omits them."""
    if record.host:
        return record
    return msgspec.structs.replace(record, host=previous.host, port=previous.port, metadata=previous.metadata)


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _leaf_of(name: str) -> int:
    return _hash(name) % _LEAVES


def _record_digest(record: MemberRecord) -> int:
    # Suspects count as alive: suspicions are short, so tables rarely agree on them.
    state = MemberState.ALIVE if record.is_live else record.state
    return _hash(f"{record.name} {record.start_us} {record.incarnation} {int(state)}")
