"""What each sidecar held each server to be, at every moment; where they disagree.  No input or output."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks, Moment
from micadeck.incidents.kinds import State

UNKNOWN = "unknown"
MOST_LEAST = 2  # sidecars that must hold a server ejected, however few there are
AGREE = 0.8  # of the sidecars that know of a server: less is disagreement


@dataclass(frozen=True, slots=True)
class Held:
    """From this moment on a sidecar held a server to be that."""

    moment: Moment
    start: int
    server: str
    state: str
    why: str
    zone: str
    started_at: int | None
    is_news: bool


@dataclass(frozen=True, slots=True)
class View:
    """What the sidecars together held a server to be."""

    state: str  # what most of them held, or "unknown"
    counts: Counter[str]

    @property
    def doubt(self) -> float:
        """The part of them that held something else."""
        known = sum(self.counts.values()) - self.counts[UNKNOWN]
        return 1.0 - self.counts[self.state] / known if known else 1.0

    @property
    def disagrees(self) -> bool:
        return self.doubt > 1.0 - AGREE


@dataclass(slots=True)
class States:
    """All that was held, by sidecar and server."""

    news: list[Held] = field(default_factory=list)  # in order of the common clock
    zones: dict[str, str] = field(default_factory=dict)
    _held: dict[tuple[int, str], tuple[list[int], list[Held]]] = field(default_factory=dict)
    _until: dict[int, int] = field(default_factory=dict)  # when each sidecar's records end
    _gaps: dict[int, list[tuple[int, int]]] = field(default_factory=dict)

    @property
    def servers(self) -> list[str]:
        return sorted(self.zones)

    def at(self, start: int, server: str, when: int) -> str:
        """What one sidecar held; unknown before it spoke of it, and where its records lack."""
        if when > self._until.get(start, -1) or any(a < when < b for a, b in self._gaps.get(start, ())):
            return UNKNOWN
        times, held = self._held.get((start, server), ([], []))
        place = bisect_right(times, when)
        return held[place - 1].state if place else UNKNOWN

    def view(self, server: str, when: int, starts: list[int]) -> View:
        counts = Counter(self.at(start, server, when) for start in starts)
        known = [(count, state) for state, count in counts.items() if state != UNKNOWN]
        return View(max(known)[1] if known else UNKNOWN, counts)

    def line(self, start: int, server: str) -> list[Held]:
        """All that one sidecar held of one server, in order."""
        return self._held.get((start, server), ([], []))[1]


def outcasts(held: States, which: list[int]) -> list[tuple[str, int, int]]:
    """Servers that at least half of the sidecars that know of them held ejected at once: from when to when.

    From the first ejection of such a time, since what comes before is the same sickness seen by fewer.
    """
    told: list[tuple[str, int, int]] = []
    for server in held.servers:
        changes = sorted(
            (each.moment.at, number, each.state) for number in which for each in held.line(number, server)
        )
        knows = {number for _, number, _ in changes}
        need = max(MOST_LEAST, (len(knows) + 1) // 2)
        out: set[int] = set()
        first: int | None = None
        since: int | None = None
        for at, number, state in changes:
            if state == "ejected":
                if not out:
                    first = at
                out.add(number)
                if len(out) >= need and since is None:
                    since = first
            else:
                out.discard(number)
                if len(out) < need and since is not None:
                    told.append((server, since, at))
                    since = None
        if since is not None:
            told.append((server, since, max(held._until.values(), default=since)))
    return told


def states(starts: list[Start], clocks: Clocks, which: list[int], ends: dict[int, int]) -> States:
    """Read the states off the records; `ends` tells until when each start's records reach."""
    told = States(_until=dict(ends))
    rows: dict[tuple[int, str], list[Held]] = defaultdict(list)
    for number in which:
        for gap in starts[number].missing:
            since, until = clocks.place(number, gap[0]), clocks.place(number, gap[1])
            if since is not None and until is not None:
                told._gaps.setdefault(number, []).append((since.at, until.at))
        for each in starts[number].records:
            if not isinstance(each, State):
                continue
            moment = clocks.place(number, each.at)
            if moment is None:
                continue
            held = Held(
                moment, number, each.server, each.state, each.why, each.zone, each.started_at, each.is_news
            )
            rows[(number, each.server)].append(held)
            if each.zone or each.server not in told.zones:
                told.zones[each.server] = each.zone
            if each.is_news:
                told.news.append(held)
    told._held = {key: ([each.moment.at for each in row], row) for key, row in rows.items()}
    told.news.sort(key=lambda each: each.moment.at)
    return told
