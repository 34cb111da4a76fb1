"""The data that the console shows for one second: servers, one server by sidecar, and a sparkline.

Counts are precomputed in arrays, so that moving the cursor costs the same for two hundred sidecars as for
two.  No input or output.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from micadeck.incidents.endpoint_states import MIN_AGREEMENT, UNKNOWN
from micadeck.incidents.series import BIN_US, count_bad_attempts
from micadeck.incidents.timeline import Incident, Timeline

STATES = ("ready", "draining", "gone", "ejected")
_BARS = " ▁▂▃▄▅▆▇█"
_PLAIN_BARS = " .:-=+*#@"
_MISSING = "?"


@dataclass(frozen=True, slots=True)
class ServerRow:
    """One server at one moment."""

    name: str
    zone: str
    state: str  # the most frequent one
    disagreement: str  # the count of each state, where sidecars disagree; else empty
    attempts: int  # in that second, by all sidecars
    bad_attempts: int


@dataclass(frozen=True, slots=True)
class SidecarRow:
    """One sidecar's view of one server at one moment."""

    sidecar: str
    state: str
    why: str
    since: int | None  # on the common clock; None: not recorded


@dataclass(frozen=True, slots=True)
class Totals:
    """All sidecars in one second."""

    at: int
    ended: int
    late: int
    refused: int
    failed: int
    reporting: int
    not_reporting: int


class ConsoleModel:
    """A timeline, indexed by second."""

    def __init__(self, timeline: Timeline) -> None:
        self.timeline = timeline
        self.seconds = max(timeline.series.seconds, 1)
        self.servers = timeline.states.servers
        self._row = {name: number for number, name in enumerate(self.servers)}
        shape = (len(self.servers), len(STATES), self.seconds + 1)
        self._state_counts: npt.NDArray[np.int32] = np.zeros(shape, dtype=np.int32)
        self._attempts = np.zeros((len(self.servers), self.seconds), dtype=np.int32)
        self._bad_attempts = np.zeros_like(self._attempts)
        for number in timeline.linked:
            self._add_states(number)
        self._state_counts = np.cumsum(self._state_counts, axis=2)
        for placed in timeline.series.spans:
            second = timeline.series.second((placed.begin + placed.end) // 2)
            for server in placed.span.servers:
                row = self._row.get(server.server)
                if row is not None:
                    self._attempts[row, second] += sum(server.ended)
                    self._bad_attempts[row, second] += count_bad_attempts(server.ended)

    def _add_states(self, number: int) -> None:
        """Add one sidecar's states of each server, while they held and the sidecar ran."""
        timeline = self.timeline
        run = timeline.runs.get(number)
        if run is None:
            return
        end = timeline.series.second(run.end) + 1
        for row, server in enumerate(self.servers):
            history = timeline.states.history(number, server)
            for index, change in enumerate(history):
                if change.state not in STATES:
                    continue
                first = timeline.series.second(change.moment.at)
                next_at = history[index + 1].moment.at if index + 1 < len(history) else None
                last = timeline.series.second(next_at) if next_at is not None else end
                if last > first:
                    kind = STATES.index(change.state)
                    self._state_counts[row, kind, first] += 1
                    self._state_counts[row, kind, min(last, self.seconds)] -= 1

    def clamp(self, second: int) -> int:
        return min(max(second, 0), self.seconds - 1)

    def at(self, second: int) -> int:
        return self.timeline.series.at(second)

    def totals(self, second: int) -> Totals:
        series = self.timeline.series
        if not series.seconds:
            return Totals(0, 0, 0, 0, 0, 0, 0)
        counts = (
            series.ended,
            series.late,
            series.refused,
            series.failed,
            series.reporting,
            series.not_reporting,
        )
        return Totals(self.at(second), *(round(float(each[second])) for each in counts))

    def rows(self, second: int, worst_first: bool = True) -> list[ServerRow]:
        """All servers; by default those with most bad attempts first."""
        rows = []
        for row, name in enumerate(self.servers):
            counts = self._state_counts[row, :, second]
            known = int(counts.sum())
            state, disagreement = UNKNOWN, ""
            if known:
                majority = int(counts.argmax())
                state = STATES[majority]
                if counts[majority] < MIN_AGREEMENT * known:
                    disagreement = ", ".join(
                        f"{n} {label}" for n, label in zip(counts, STATES, strict=True) if n
                    )
            zone = self.timeline.states.zones.get(name, "")
            numbers = int(self._attempts[row, second]), int(self._bad_attempts[row, second])
            rows.append(ServerRow(name, zone, state, disagreement, *numbers))
        if worst_first:
            rank = {"ejected": 0, "draining": 1, "ready": 2, UNKNOWN: 3, "gone": 4}
            rows.sort(
                key=lambda each: (
                    -each.bad_attempts,
                    not each.disagreement,
                    rank.get(each.state, 3),
                    each.name,
                )
            )
        return rows

    def server(self, name: str, second: int) -> list[SidecarRow]:
        """One server by sidecar; the rarest states first."""
        timeline, when = self.timeline, self.at(second) + BIN_US - 1
        rows = []
        for number in timeline.linked:
            state, why, since = timeline.states.at(number, name, when), "", None
            for change in timeline.states.history(number, name):
                if change.moment.at <= when:
                    why, since = change.why, change.moment.at
            rows.append(SidecarRow(timeline.start(number).name, state, why, since))
        counts: dict[str, int] = {}
        for each in rows:
            counts[each.state] = counts.get(each.state, 0) + 1
        return sorted(rows, key=lambda each: (counts[each.state], each.state, each.sidecar))

    def sparkline(self, second: int, width: int, plain: bool = False) -> tuple[str, int]:
        """The bad share of the seconds around, as marks, and the cursor's index in them."""
        series = self.timeline.series
        first = min(max(second - width // 2, 0), max(self.seconds - width, 0))
        bars = _PLAIN_BARS if plain else _BARS
        marks = []
        for each in range(first, min(first + width, series.seconds)):
            if not series.reporting[each]:
                marks.append(_MISSING)  # no sidecar reported
                continue
            ended, bad = float(series.ended[each]), float(series.bad[each])
            share = bad / ended if ended else 0.0
            # Square root scale, so that one percent remains visible.
            marks.append(bars[min(int(np.ceil(np.sqrt(min(share, 1.0)) * (len(bars) - 1))), len(bars) - 1)])
        return "".join(marks), second - first

    def incident_at(self, second: int) -> Incident | None:
        """The innermost incident that covers a second."""
        at = self.at(second)
        covering = [each for each in self.timeline.incidents if each.onset <= at < each.end]
        return max(covering, key=lambda each: (each.onset, each.within or 0), default=None)

    def next_incident(self, second: int, step: int) -> int | None:
        """The second of the next onset, or of the previous one (step -1)."""
        onsets = sorted({self.timeline.series.second(each.onset) for each in self.timeline.incidents})
        candidates = [each for each in onsets if (each > second if step > 0 else each < second)]
        return (candidates[0] if step > 0 else candidates[-1]) if candidates else None
