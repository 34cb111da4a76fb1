"""Counts over time on the common clock, from the spans of all sidecars.  No input or output.

What is missing is no zero: for each second it is known how many of the sidecars that should have spoken did.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks
from micadeck.incidents.kinds import OUTCOMES, Phase, Span
from micadeck.policy.outcomes import Outcome

BIN_US = 1_000_000
_DELIVERED, _REJECTED, _UNSENT = map(OUTCOMES.index, (Outcome.DELIVERED, Outcome.REJECTED, Outcome.NOT_SENT))

Counts = npt.NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class Placed:
    """A span on the common clock."""

    start: int
    begin: int
    end: int
    doubt: int
    span: Span


@dataclass(slots=True)
class Series:
    """Seconds from `begin` on; each array has one number a second."""

    begin: int
    seconds: int
    arrived: Counts
    served: Counts  # late ones among them
    late: Counts
    refused: Counts
    failed: Counts
    tried: Counts  # attempts that ended
    ill: Counts  # of these, those that say something against a server or the way to it
    speaking: Counts  # sidecars whose records cover the second
    silent: Counts  # sidecars that ran before and after, and whose records lack it
    spans: list[Placed]

    @property
    def ended(self) -> Counts:
        return self.served + self.refused + self.failed

    @property
    def bad(self) -> Counts:
        """Requests that were refused, failed or answered late."""
        return self.late + self.refused + self.failed

    def second(self, at: int) -> int:
        """The second that a time falls into, within the series."""
        return min(max((at - self.begin) // BIN_US, 0), max(self.seconds - 1, 0))

    def at(self, second: int) -> int:
        return self.begin + second * BIN_US

    def between(self, since: int, until: int) -> Iterator[Placed]:
        """The spans that lie in these times by their middle."""
        for each in self.spans:
            if since <= (each.begin + each.end) // 2 < until:
                yield each


def placed(starts: list[Start], clocks: Clocks, which: list[int]) -> list[Placed]:
    """These starts' spans on the common clock, in order."""
    told: list[Placed] = []
    for number in which:
        for each in starts[number].records:
            if isinstance(each, Span) and each.until > each.at:
                begin, end = clocks.place(number, each.at), clocks.place(number, each.until)
                if begin is not None and end is not None:
                    told.append(Placed(number, begin.at, end.at, end.doubt, each))
    return sorted(told, key=lambda each: each.begin)


def series(starts: list[Start], clocks: Clocks, which: list[int]) -> Series:
    """Add up what these starts counted."""
    spans = placed(starts, clocks, which)
    begin = min((each.begin for each in spans), default=0) // BIN_US * BIN_US
    end = max((each.end for each in spans), default=0)
    seconds = max((end - begin + BIN_US - 1) // BIN_US, 0)
    rows = np.zeros((7, seconds))
    speaks: dict[int, set[int]] = defaultdict(set)
    for each in spans:
        totals = [0] * len(rows)
        for one in each.span.classes:
            for row, count in enumerate((one.arrived, one.served, one.late, one.refused, one.failed)):
                totals[row] += count
        for server in each.span.servers:
            totals[5] += tried(server.ended)
            totals[6] += ill(server.ended)
        first = (each.begin - begin) // BIN_US
        last = min((each.end - 1 - begin) // BIN_US, seconds - 1)
        for second in range(first, last + 1):
            low = max(each.begin, begin + second * BIN_US)
            high = min(each.end, begin + (second + 1) * BIN_US)
            part = (high - low) / (each.end - each.begin)
            rows[:, second] += np.array(totals) * part
            if 2 * (high - low) >= min(BIN_US, each.end - each.begin):
                speaks[each.start].add(second)
    speaking, silent = np.zeros(seconds), np.zeros(seconds)
    for those in speaks.values():
        for second in those:
            speaking[second] += 1
        for second in range(min(those), max(those) + 1):
            silent[second] += second not in those
    arrived, served, late, refused, failed, out, ill_ones = rows
    counted = (arrived, served, late, refused, failed, out, ill_ones)
    return Series(begin, seconds, *counted, speaking, silent, spans)


@dataclass(frozen=True, slots=True)
class Ran:
    """From when to when a start is known to have run, on the common clock."""

    begin: int
    end: int
    ended_in_order: bool


def ran(start: Start, spans: list[Placed]) -> Ran | None:
    """From the spans of one start; None if there are none."""
    if not spans:
        return None
    in_order = any(isinstance(each, Phase) and each.phase == "ended" for each in start.records)
    return Ran(spans[0].begin, spans[-1].end, in_order)


def tried(counts: list[int]) -> int:
    """Attempts that went out."""
    told = sum(counts)
    return told - counts[_UNSENT] if len(counts) > _UNSENT else told


def ill(counts: list[int]) -> int:
    """Attempts that say something against the server, or the way to it; called off ones were overdue."""
    length = len(counts)
    if length <= _DELIVERED + 1:
        return 0  # nearly all are: only delivered ones
    told = sum(counts) - counts[_DELIVERED]
    if length > _UNSENT:
        told -= counts[_UNSENT]
    return told - counts[_REJECTED] if length > _REJECTED else told
