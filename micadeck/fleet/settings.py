"""How often a member looks, and how long it waits.  Times are whole microseconds."""

from __future__ import annotations

import math

import msgspec


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of the protocol; all members of a fleet should have the same."""

    period_us: int = 500_000  # one member is asked in each
    answer_within_us: int = 200_000  # before others are asked to ask it
    helpers: int = 3  # that are asked to
    # For each tenfold of the members, until a suspicion is believed: the least.
    suspicion_periods: float = 1.5
    suspicion_most: float = 3.0  # times that, as long as nobody else suspects it too
    suspicion_lossy: float = 8.0  # and so much longer, for the part of questions that go unanswered
    slow_most: int = 8  # Lifeguard's local health: waits grow up to so many times, and one
    spread: float = 3.0  # how often a claim is passed on, for each doubling of the members
    forget_us: int = 60_000_000  # after which one that is gone is dropped from the view
    remember_us: int = 600_000_000  # and after which an old claim of it would be believed again
    rumours_us: int = 10_000_000  # how long word of servers is passed on

    def suspicion_us(self, members: int, confirmed: int) -> int:
        """How long a suspicion lasts before it is believed; each further member that has it shortens it."""
        least = self.suspicion_periods * max(1.0, math.log10(max(members, 1))) * self.period_us
        most = self.suspicion_most * least
        wanted = min(self.helpers, max(members - 2, 0))
        if not wanted:
            return int(least)
        part = math.log(confirmed + 1) / math.log(wanted + 1)
        return int(max(most - (most - least) * part, least))

    def times_passed_on(self, members: int) -> int:
        """How often one member passes a claim on."""
        return math.ceil(self.spread * math.log2(members + 2))
