"""Counts per second on the common clock, from the spans of all sidecars.  No input or output.

Missing data is not zero: each second has the number of sidecars that reported, and of those that did not.
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
class PlacedSpan:
    """A span on the common clock."""

    start: int
    begin: int
    end: int
    uncertainty: int
    span: Span


@dataclass(slots=True)
class Series:
    """Counts from `begin` on; each array has one value per second."""

    begin: int
    seconds: int
    arrived: Counts
    served: Counts  # including late ones
    late: Counts
    refused: Counts
    failed: Counts
    attempts: Counts  # attempts that ended
    bad_attempts: Counts  # of these, those that indicate a fault of the server or of the network path to it
    reporting: Counts  # sidecars whose records cover the second
    not_reporting: Counts  # sidecars with records before and after the second, but none for it
    spans: list[PlacedSpan]

    @property
    def ended(self) -> Counts:
        return self.served + self.refused + self.failed

    @property
    def bad(self) -> Counts:
        """Requests that were refused, failed or answered late."""
        return self.late + self.refused + self.failed

    def second(self, at: int) -> int:
        """The index of the second that contains a time, clamped to the series."""
        return min(max((at - self.begin) // BIN_US, 0), max(self.seconds - 1, 0))

    def at(self, second: int) -> int:
        return self.begin + second * BIN_US

    def between(self, since: int, until: int) -> Iterator[PlacedSpan]:
        """The spans whose middle lies in this interval."""
        for placed in self.spans:
            if since <= (placed.begin + placed.end) // 2 < until:
                yield placed


def place_spans(starts: list[Start], clocks: Clocks, included: list[int]) -> list[PlacedSpan]:
    """These starts' spans on the common clock, in order."""
    spans: list[PlacedSpan] = []
    for number in included:
        for record in starts[number].records:
            if isinstance(record, Span) and record.until > record.at:
                begin, end = clocks.to_common(number, record.at), clocks.to_common(number, record.until)
                if begin is not None and end is not None:
                    spans.append(PlacedSpan(number, begin.at, end.at, end.uncertainty, record))
    return sorted(spans, key=lambda span: span.begin)


def build_series(starts: list[Start], clocks: Clocks, included: list[int]) -> Series:
    """Sum the counts of these starts."""
    spans = place_spans(starts, clocks, included)
    begin = min((placed.begin for placed in spans), default=0) // BIN_US * BIN_US
    end = max((placed.end for placed in spans), default=0)
    seconds = max((end - begin + BIN_US - 1) // BIN_US, 0)
    rows = np.zeros((7, seconds))
    reported: dict[int, set[int]] = defaultdict(set)
    for placed in spans:
        totals = [0] * len(rows)
        for counts in placed.span.classes:
            for row, value in enumerate(
                (counts.arrived, counts.served, counts.late, counts.refused, counts.failed)
            ):
                totals[row] += value
        for server in placed.span.servers:
            totals[5] += count_attempts(server.ended)
            totals[6] += count_bad_attempts(server.ended)
        first = (placed.begin - begin) // BIN_US
        last = min((placed.end - 1 - begin) // BIN_US, seconds - 1)
        for second in range(first, last + 1):
            overlap_begin = max(placed.begin, begin + second * BIN_US)
            overlap_end = min(placed.end, begin + (second + 1) * BIN_US)
            fraction = (overlap_end - overlap_begin) / (placed.end - placed.begin)
            rows[:, second] += np.array(totals) * fraction
            if 2 * (overlap_end - overlap_begin) >= min(BIN_US, placed.end - placed.begin):
                reported[placed.start].add(second)
    reporting, not_reporting = np.zeros(seconds), np.zeros(seconds)
    for seconds_reported in reported.values():
        for second in seconds_reported:
            reporting[second] += 1
        for second in range(min(seconds_reported), max(seconds_reported) + 1):
            not_reporting[second] += second not in seconds_reported
    arrived, served, late, refused, failed, attempts, bad_attempts = rows
    counted = (arrived, served, late, refused, failed, attempts, bad_attempts)
    return Series(begin, seconds, *counted, reporting, not_reporting, spans)


@dataclass(frozen=True, slots=True)
class RunInterval:
    """When a start is known to have run, on the common clock."""

    begin: int
    end: int
    ended_cleanly: bool


def run_interval(start: Start, spans: list[PlacedSpan]) -> RunInterval | None:
    """From the spans of one start; None if there are none."""
    if not spans:
        return None
    ended_cleanly = any(isinstance(record, Phase) and record.phase == "ended" for record in start.records)
    return RunInterval(spans[0].begin, spans[-1].end, ended_cleanly)


def count_attempts(counts: list[int]) -> int:
    """Attempts that were sent."""
    total = sum(counts)
    return total - counts[_UNSENT] if len(counts) > _UNSENT else total


def count_bad_attempts(counts: list[int]) -> int:
    """Attempts that indicate a fault of the server or the path; cancelled ones were overdue."""
    length = len(counts)
    if length <= _DELIVERED + 1:
        return 0  # fast path: only delivered ones
    bad = sum(counts) - counts[_DELIVERED]
    if length > _UNSENT:
        bad -= counts[_UNSENT]
    return bad - counts[_REJECTED] if length > _REJECTED else bad
