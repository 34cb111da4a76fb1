"""The order of probes: shuffled rounds, so that every member is probed once per round."""

from __future__ import annotations

import random

from micadeck.fleet.member_records import MemberRecord
from micadeck.fleet.member_table import MemberTable


class ProbeRound:
    """Owns the remaining targets of the current round."""

    def __init__(self, table: MemberTable, local_name: str, rng: random.Random) -> None:
        """Start with an empty round.

        Args:
            table: This member's table.
            local_name: The name of this member, which is not probed.
            rng: Shuffles each round.
        """
        self._table = table
        self._local_name = local_name
        self._rng = rng
        self._targets: list[str] = []  # the next one is the last item

    def next_target(self) -> MemberRecord | None:
        """Remove and return the next target; None if there is no other live member."""
        while True:
            if not self._targets:
                self._targets = self._table.live_names(exclude=self._local_name)
                self._rng.shuffle(self._targets)
                if not self._targets:
                    return None
            record = self._table.get(self._targets.pop())
            if record is not None and record.is_live:
                return record

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of the round."""
        self._targets.insert(self._rng.randrange(len(self._targets) + 1), name)

    def probe_next(self, name: str) -> None:
        """Make a member the next target."""
        self._targets.append(name)
