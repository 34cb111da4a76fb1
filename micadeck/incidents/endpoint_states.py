"""The state that each sidecar assigned to each server over time.  No input or output."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks, Moment
from micadeck.incidents.kinds import State

UNKNOWN = "unknown"
MIN_EJECTING_SIDECARS = 2  # that must eject a server, even in a small fleet
MIN_AGREEMENT = 0.8  # fraction of the sidecars that know a server; below it they disagree


@dataclass(frozen=True, slots=True)
class StateChange:
    """A sidecar assigned a state to a server, from this moment on."""

    moment: Moment
    start: int
    server: str
    state: str
    why: str
    zone: str
    started_at: int | None
    is_news: bool


@dataclass(frozen=True, slots=True)
class Consensus:
    """The sidecars' combined view of a server."""

    state: str  # the most frequent one, or "unknown"
    counts: Counter[str]

    @property
    def disagreement(self) -> float:
        """The fraction of sidecars that differ from it."""
        known = sum(self.counts.values()) - self.counts[UNKNOWN]
        return 1.0 - self.counts[self.state] / known if known else 1.0

    @property
    def disagrees(self) -> bool:
        return self.disagreement > 1.0 - MIN_AGREEMENT


@dataclass(slots=True)
class EndpointStates:
    """All state changes, by sidecar and server."""

    changes: list[StateChange] = field(default_factory=list)  # in order of the common clock
    zones: dict[str, str] = field(default_factory=dict)
    _histories: dict[tuple[int, str], tuple[list[int], list[StateChange]]] = field(default_factory=dict)
    _ends: dict[int, int] = field(default_factory=dict)  # when each sidecar's records end
    _gaps: dict[int, list[tuple[int, int]]] = field(default_factory=dict)

    @property
    def servers(self) -> list[str]:
        return sorted(self.zones)

    def at(self, start: int, server: str, when: int) -> str:
        """One sidecar's state of a server; unknown before its first record and in gaps."""
        if when > self._ends.get(start, -1) or any(a < when < b for a, b in self._gaps.get(start, ())):
            return UNKNOWN
        times, changes = self._histories.get((start, server), ([], []))
        index = bisect_right(times, when)
        return changes[index - 1].state if index else UNKNOWN

    def consensus(self, server: str, when: int, starts: list[int]) -> Consensus:
        counts = Counter(self.at(start, server, when) for start in starts)
        known = [(count, state) for state, count in counts.items() if state != UNKNOWN]
        return Consensus(max(known)[1] if known else UNKNOWN, counts)

    def history(self, start: int, server: str) -> list[StateChange]:
        """One sidecar's state changes of one server, in order."""
        return self._histories.get((start, server), ([], []))[1]


def widely_ejected(states: EndpointStates, included: list[int]) -> list[tuple[str, int, int]]:
    """Servers, with begin and end, that at least half of the sidecars that know them ejected at once.

    An interval begins with the first ejection, since fewer sidecars saw the same fault earlier.
    """
    ejected: list[tuple[str, int, int]] = []
    for server in states.servers:
        changes = sorted(
            (change.moment.at, number, change.state)
            for number in included
            for change in states.history(number, server)
        )
        aware = {number for _, number, _ in changes}
        quorum = max(MIN_EJECTING_SIDECARS, (len(aware) + 1) // 2)
        ejecting: set[int] = set()
        first: int | None = None
        since: int | None = None
        for at, number, state in changes:
            if state == "ejected":
                if not ejecting:
                    first = at
                ejecting.add(number)
                if len(ejecting) >= quorum and since is None:
                    since = first
            else:
                ejecting.discard(number)
                if len(ejecting) < quorum and since is not None:
                    ejected.append((server, since, at))
                    since = None
        if since is not None:
            ejected.append((server, since, max(states._ends.values(), default=since)))
    return ejected


def collect_states(
    starts: list[Start], clocks: Clocks, included: list[int], ends: dict[int, int]
) -> EndpointStates:
    """Collect states from the records; `ends` has the end of each start's records."""
    result = EndpointStates(_ends=dict(ends))
    rows: dict[tuple[int, str], list[StateChange]] = defaultdict(list)
    for number in included:
        for gap in starts[number].missing:
            since, until = clocks.to_common(number, gap[0]), clocks.to_common(number, gap[1])
            if since is not None and until is not None:
                result._gaps.setdefault(number, []).append((since.at, until.at))
        for record in starts[number].records:
            if not isinstance(record, State):
                continue
            moment = clocks.to_common(number, record.at)
            if moment is None:
                continue
            change = StateChange(
                moment,
                number,
                record.server,
                record.state,
                record.why,
                record.zone,
                record.started_at,
                record.is_news,
            )
            rows[(number, record.server)].append(change)
            if record.zone or record.server not in result.zones:
                result.zones[record.server] = record.zone
            if record.is_news:
                result.changes.append(change)
    result._histories = {key: ([change.moment.at for change in row], row) for key, row in rows.items()}
    result.changes.sort(key=lambda change: change.moment.at)
    return result
