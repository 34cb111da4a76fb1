"""Anti-entropy: finds the branches in which two tables differ, and exchanges their records.

Tables converge even if every piggybacked update is lost.  The number of its datagrams per probe interval is
limited.
"""

from __future__ import annotations

import random

import msgspec

from micadeck.fleet.member_records import MemberRecord
from micadeck.fleet.member_table import LEVELS, MemberTable
from micadeck.fleet.messages import AntiEntropyMessage, BranchDigests, BranchPath, BranchRecords, encoded_size

_MAX_MESSAGES_PER_INTERVAL = 16
_MAX_BRANCH_MEMBERS = 6  # a larger branch is divided further before records are sent
_TOLERATED_MISMATCHES = 2  # consecutive mismatches, as piggybacked updates may be on their way


class AntiEntropy:
    """Compares one member's table with those of others; owns the limit of its messages."""

    def __init__(self, table: MemberTable, rng: random.Random, max_message_bytes: int) -> None:
        """Set up the comparison.

        Args:
            table: This member's table.
            rng: Chooses the order in which branches are compared.
            max_message_bytes: The maximum size of an encoded message.
        """
        self._table = table
        self._rng = rng
        self._max_message_bytes = max_message_bytes
        self._messages_left = _MAX_MESSAGES_PER_INTERVAL
        self._mismatches = 0  # consecutive

    def start_interval(self) -> None:
        """Allow the messages of another probe interval."""
        self._messages_left = _MAX_MESSAGES_PER_INTERVAL

    def receive_table_digest(self, digest: int) -> list[BranchDigests]:
        """Return what to send to a peer whose table has this digest."""
        self._mismatches = self._mismatches + 1 if digest != self._table.digest else 0
        return self._branch_digests(()) if self._mismatches > _TOLERATED_MISMATCHES else []

    def receive_branch_digests(self, message: BranchDigests) -> list[AntiEntropyMessage]:
        """Return digests or records of each branch that differs."""
        own_digests = self._table.branch_digests(message.path)
        pairs = zip(own_digests, message.digests, strict=True)
        differing = [branch for branch, (own, theirs) in enumerate(pairs) if own != theirs]
        self._rng.shuffle(differing)
        replies: list[AntiEntropyMessage] = []
        for branch in differing:
            path = (*message.path, branch)
            if self._is_small(path):
                replies += self._branch_records(path, is_reply=False)
            else:
                replies += self._branch_digests(path)
        return replies

    def receive_branch_records(self, message: BranchRecords) -> list[BranchRecords]:
        """Return the records of a branch if the sender lacks some; its own were applied before."""
        if message.is_reply:
            return []
        theirs = {record.name: record for record in message.records}
        if not any(own.supersedes(theirs.get(own.name)) for own in self._table.records_below(message.path)):
            return []
        return self._branch_records(message.path, is_reply=True)

    def _is_small(self, path: BranchPath) -> bool:
        if len(path) == LEVELS:
            return True
        return sum(1 for _ in self._table.records_below(path)) <= _MAX_BRANCH_MEMBERS

    def _branch_digests(self, path: BranchPath) -> list[BranchDigests]:
        if self._messages_left <= 0:
            return []
        self._messages_left -= 1
        return [BranchDigests(path, tuple(self._table.branch_digests(path)))]

    def _branch_records(self, path: BranchPath, *, is_reply: bool) -> list[BranchRecords]:
        """Return the records in as many messages as needed, each as full as possible."""
        unsent = [_without_metadata(record) for record in self._table.records_below(path)]
        messages: list[BranchRecords] = []
        while self._messages_left > 0:
            self._messages_left -= 1
            remaining_bytes = self._max_message_bytes - encoded_size(BranchRecords(path, is_reply, ()))
            fitting: list[MemberRecord] = []
            while unsent and encoded_size(unsent[-1]) <= remaining_bytes:
                remaining_bytes -= encoded_size(unsent[-1])
                fitting.append(unsent.pop())
            messages.append(BranchRecords(path, is_reply, tuple(fitting)))
            if not unsent:
                break
        return messages


def _without_metadata(record: MemberRecord) -> MemberRecord:
    return msgspec.structs.replace(record, metadata=None, suspected_by=None)
