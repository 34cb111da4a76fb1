"""What a console shows for one moment: servers, one server as each sidecar held it, and the seconds around.

All that depends on time is laid out in arrays once, so that a step of the cursor costs the same for two
hundred sidecars as for two.  No input or output.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from micadeck.incidents.endpoint_states import AGREE, UNKNOWN
from micadeck.incidents.series import BIN_US, ill
from micadeck.incidents.timeline import Incident, Story

STATES = ("ready", "draining", "gone", "ejected")
_BARS = " ▁▂▃▄▅▆▇█"
_PLAIN_BARS = " .:-=+*#@"
_MISSING = "?"


@dataclass(frozen=True, slots=True)
class ServerRow:
    """One server at one moment."""

    name: str
    zone: str
    state: str  # what most sidecars held
    split: str  # all that they held, where they disagree; else empty
    tried: int  # attempts in that second, by all sidecars
    ill: int


@dataclass(frozen=True, slots=True)
class SidecarRow:
    """One sidecar's view of one server at one moment."""

    sidecar: str
    state: str
    why: str
    since: int | None  # of the common clock; None: it never said


@dataclass(frozen=True, slots=True)
class Totals:
    """All sidecars in one second."""

    at: int
    ended: int
    late: int
    refused: int
    failed: int
    speaking: int
    silent: int


class Board:
    """A story, laid out by the second."""

    def __init__(self, story: Story) -> None:
        self.story = story
        self.seconds = max(story.series.seconds, 1)
        self.servers = story.states.servers
        self._row = {name: number for number, name in enumerate(self.servers)}
        shape = (len(self.servers), len(STATES), self.seconds + 1)
        self._held: npt.NDArray[np.int32] = np.zeros(shape, dtype=np.int32)
        self._tried = np.zeros((len(self.servers), self.seconds), dtype=np.int32)
        self._ill = np.zeros_like(self._tried)
        for number in story.linked:
            self._lay_out(number)
        self._held = np.cumsum(self._held, axis=2)
        for each in story.series.spans:
            second = story.series.second((each.begin + each.end) // 2)
            for server in each.span.servers:
                row = self._row.get(server.server)
                if row is not None:
                    self._tried[row, second] += sum(server.ended)
                    self._ill[row, second] += ill(server.ended)

    def _lay_out(self, number: int) -> None:
        """Add one sidecar's word on each server, for as long as it held and the sidecar ran."""
        story = self.story
        ran = story.ran.get(number)
        if ran is None:
            return
        end = story.series.second(ran.end) + 1
        for row, server in enumerate(self.servers):
            line = story.states.line(number, server)
            for place, held in enumerate(line):
                if held.state not in STATES:
                    continue
                first = story.series.second(held.moment.at)
                following = line[place + 1].moment.at if place + 1 < len(line) else None
                last = story.series.second(following) if following is not None else end
                if last > first:
                    kind = STATES.index(held.state)
                    self._held[row, kind, first] += 1
                    self._held[row, kind, min(last, self.seconds)] -= 1

    def clamp(self, second: int) -> int:
        return min(max(second, 0), self.seconds - 1)

    def at(self, second: int) -> int:
        return self.story.series.at(second)

    def totals(self, second: int) -> Totals:
        series = self.story.series
        if not series.seconds:
            return Totals(0, 0, 0, 0, 0, 0, 0)
        counts = (series.ended, series.late, series.refused, series.failed, series.speaking, series.silent)
        return Totals(self.at(second), *(round(float(each[second])) for each in counts))

    def rows(self, second: int, worst_first: bool = True) -> list[ServerRow]:
        """All servers; those that do badly, or are held to, first."""
        told = []
        for row, name in enumerate(self.servers):
            counts = self._held[row, :, second]
            known = int(counts.sum())
            state, split = UNKNOWN, ""
            if known:
                most = int(counts.argmax())
                state = STATES[most]
                if counts[most] < AGREE * known:
                    split = ", ".join(f"{n} {word}" for n, word in zip(counts, STATES, strict=True) if n)
            zone = self.story.states.zones.get(name, "")
            numbers = int(self._tried[row, second]), int(self._ill[row, second])
            told.append(ServerRow(name, zone, state, split, *numbers))
        if worst_first:
            rank = {"ejected": 0, "draining": 1, "ready": 2, UNKNOWN: 3, "gone": 4}
            told.sort(key=lambda each: (-each.ill, not each.split, rank.get(each.state, 3), each.name))
        return told

    def server(self, name: str, second: int) -> list[SidecarRow]:
        """One server as each sidecar held it; those that stand against the most first."""
        story, when = self.story, self.at(second) + BIN_US - 1
        told = []
        for number in story.linked:
            state, why, since = story.states.at(number, name, when), "", None
            for held in story.states.line(number, name):
                if held.moment.at <= when:
                    why, since = held.why, held.moment.at
            told.append(SidecarRow(story.start(number).name, state, why, since))
        counts: dict[str, int] = {}
        for each in told:
            counts[each.state] = counts.get(each.state, 0) + 1
        return sorted(told, key=lambda each: (counts[each.state], each.state, each.sidecar))

    def line(self, second: int, width: int, plain: bool = False) -> tuple[str, int]:
        """The bad share of the seconds around, a mark each, and where in it the cursor is."""
        series = self.story.series
        first = min(max(second - width // 2, 0), max(self.seconds - width, 0))
        bars = _PLAIN_BARS if plain else _BARS
        marks = []
        for each in range(first, min(first + width, series.seconds)):
            if not series.speaking[each]:
                marks.append(_MISSING)  # nobody spoke: it is not known
                continue
            ended, bad = float(series.ended[each]), float(series.bad[each])
            share = bad / ended if ended else 0.0
            # By the root: one in a hundred is to be seen beside all.
            marks.append(bars[min(int(np.ceil(np.sqrt(min(share, 1.0)) * (len(bars) - 1))), len(bars) - 1)])
        return "".join(marks), second - first

    def incident_at(self, second: int) -> Incident | None:
        """The innermost incident that covers a second."""
        at = self.at(second)
        here = [each for each in self.story.incidents if each.onset <= at < each.end]
        return max(here, key=lambda each: (each.onset, each.within or 0), default=None)

    def next_incident(self, second: int, step: int) -> int | None:
        """The second of the next onset, or of the one before (step -1)."""
        onsets = sorted({self.story.series.second(each.onset) for each in self.story.incidents})
        ahead = [each for each in onsets if (each > second if step > 0 else each < second)]
        return (ahead[0] if step > 0 else ahead[-1]) if ahead else None
