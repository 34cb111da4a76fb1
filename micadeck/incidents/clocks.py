"""Converts the sidecars' clocks to that of one of them, with an uncertainty.

Events that sidecars share bound the difference of their clocks; each bound is an inequality:

- a message is received no sooner than it was sent (Cristian's one-way bound);
- a version of the list is received no sooner than it was published, and sidecars that follow the list receive
  a change within `MAX_LIST_DELAY_US` (an assumption: dropped and reported where it contradicts the rest);
- versions are published in order;
- a request that a second sidecar served after a first had refused or failed it ended later there;
- a clock's offset drifts by at most `MAX_DRIFT` (as in convex-hull drift estimation, by steps).

Shortest paths solve this system of difference constraints: they give the tightest interval that all bounds
allow, Marzullo's intersection along chains of sidecars.  The interval is correct if the bounds are; nothing
is averaged.  Sidecars that no chain links to the rest, or whose records are contradictory, are left out.  No
input or output.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise

import numpy as np
import numpy.typing as npt

from micadeck.incidents.archive import Start, record_time
from micadeck.incidents.kinds import End, Listed, Message, Span

MAX_DRIFT = 300e-6  # of one clock against another, as a fraction
EPOCH_US = 60_000_000  # within an epoch an offset is constant, apart from the drift
MAX_LIST_DELAY_US = 2_000_000  # until sidecars that follow the list receive a change
MIN_STEP_US = 50_000  # smallest reported step of the system's clock against the monotonic one
_UNBOUNDED = np.int64(1) << 60  # no bound
_MAX_DROPPED_ASSUMPTIONS = 400  # after that, sidecars are excluded instead
_SLACK_US = int(MAX_DRIFT * EPOCH_US)  # within an epoch, and from one to the next


@dataclass(frozen=True, slots=True, order=True)
class Moment:
    """A time on the common clock, accurate to `uncertainty`."""

    at: int
    uncertainty: int

    def is_before(self, other: Moment) -> bool:
        """Whether it was certainly before."""
        return self.at + self.uncertainty < other.at - other.uncertainty


@dataclass(frozen=True, slots=True)
class _Bound:
    """x[target] - x[source] <= limit."""

    source: int
    target: int
    limit: int
    assumed: str = ""  # the assumption that it rests on; empty if it is certain


@dataclass(slots=True)
class Clocks:
    """Converts the starts' times to the clock of `reference`."""

    reference: int
    unlinked: list[int] = field(default_factory=list)  # starts that no bounds link to the reference
    contradictory: list[int] = field(default_factory=list)  # starts whose records contradict each other
    notes: list[str] = field(default_factory=list)
    _begin: list[int] = field(default_factory=list)
    _low: list[npt.NDArray[np.int64]] = field(default_factory=list)
    _high: list[npt.NDArray[np.int64]] = field(default_factory=list)

    def to_common(self, start: int, at: int) -> Moment | None:
        """Convert a time of one start's clock; None if the start is unlinked."""
        if start == self.reference:
            return Moment(at, 0)
        low = self._low[start]
        if not len(low):
            return None
        epoch = min(max((at - self._begin[start]) // EPOCH_US, 0), len(low) - 1)
        min_offset, max_offset = int(low[epoch]) - _SLACK_US, int(self._high[start][epoch]) + _SLACK_US
        return Moment(at + (min_offset + max_offset) // 2, (max_offset - min_offset + 1) // 2)


def align(starts: list[Start]) -> Clocks:
    """Align all starts to the clock of the best linked one."""
    if not starts:
        return Clocks(0)
    excluded: set[int] = set()
    notes = [note for start in starts for note in _clock_steps(start)]
    dropped: set[str] = set()  # assumptions
    while True:
        graph = _Graph(starts, excluded)
        bounds = [bound for bound in graph.bounds() if bound.assumed not in dropped]
        cycle = _negative_cycle(graph.count, bounds)
        if cycle is None:
            break
        assumed = [bound for bound in cycle if bound.assumed]
        if assumed and len(dropped) < _MAX_DROPPED_ASSUMPTIONS:
            tightest = min(assumed, key=lambda bound: bound.limit)
            dropped.add(tightest.assumed)
            notes.append(tightest.assumed)
            continue
        excluded.add(_start_to_exclude(graph, cycle))
    clocks = _solve(graph, bounds, starts)
    clocks.contradictory = sorted(excluded)
    clocks.notes = list(dict.fromkeys(notes))
    return clocks


def _clock_steps(start: Start) -> Iterator[str]:
    """Describe steps of the system's clock; the records' times are monotonic."""
    spans = [record for record in start.records if isinstance(record, Span)]
    for before, after in pairwise(spans):
        step = (after.wall - after.until) - (before.wall - before.until)
        if abs(step) > MIN_STEP_US + MAX_DRIFT * (after.until - before.until):
            yield f"{start.name}: the system's clock stepped by {step / 1e6:+.3f} s; the records' own did not"


class _Graph:
    """The unknowns: each start's offset by epoch, and the publication time of each version."""

    def __init__(self, starts: list[Start], excluded: set[int]) -> None:
        self.starts = starts
        self.excluded = excluded
        self.begin: list[int] = []
        self.first: list[int] = []  # the unknown of a start's first epoch
        self.epochs: list[int] = []
        self.count = 0
        for number, start in enumerate(starts):
            times = [record_time(record) for record in start.records] or [start.head.at]
            begin, end = min(*times, start.head.at), max(*times, start.head.at)
            self.begin.append(begin)
            self.first.append(self.count)
            self.epochs.append(0 if number in excluded else (end - begin) // EPOCH_US + 1)
            self.count += self.epochs[-1]
        self.versions: dict[int, int] = {}

    def offset(self, start: int, at: int) -> int:
        """The unknown for a start's offset at a time on its clock."""
        epoch = min(max((at - self.begin[start]) // EPOCH_US, 0), self.epochs[start] - 1)
        return self.first[start] + epoch

    def owner(self, unknown: int) -> int | None:
        """The start of an offset unknown; None for a version's."""
        for number, first in enumerate(self.first):
            if first <= unknown < first + self.epochs[number]:
                return number
        return None

    def bounds(self) -> list[_Bound]:
        bounds: list[_Bound] = []
        for number in range(len(self.starts)):
            for epoch in range(self.epochs[number] - 1):
                one = self.first[number] + epoch
                bounds += (_Bound(one, one + 1, _SLACK_US), _Bound(one + 1, one, _SLACK_US))
        included = [number for number in range(len(self.starts)) if number not in self.excluded]
        bounds += self._by_lists(included)
        bounds += self._by_messages(included)
        bounds += self._by_requests(included)
        return bounds

    def _ordering_bound(self, start: int, at: int, other: int, later: int) -> _Bound:
        """`at` at one start precedes `later` at another: at + o <= later + p."""
        one, two = self.offset(start, at), self.offset(other, later)
        return _Bound(two, one, later - at + 2 * _SLACK_US)

    def _by_lists(self, included: Iterable[int]) -> Iterator[_Bound]:
        received: dict[int, dict[int, tuple[int, bool]]] = defaultdict(dict)
        for number in included:
            is_following = False
            for record in self.starts[number].records:
                if not isinstance(record, Listed):
                    continue
                if record.kind in ("complete", "changes"):
                    is_change = is_following and record.kind == "changes" and record.changed > 0
                    received[record.version].setdefault(number, (record.at, is_change))
                    is_following = True
                elif record.kind == "failed":
                    is_following = False
        shared = sorted(version for version, receivers in received.items() if len(receivers) > 1)
        for version in shared:
            published = self.versions[version] = self.count
            self.count += 1
            for number, (at, is_change) in received[version].items():
                offset = self.offset(number, at)
                # published <= at + o; if it follows the list, at + o <= published + MAX_LIST_DELAY_US
                yield _Bound(offset, published, at + _SLACK_US)
                if is_change:
                    assumption = (
                        f"{self.starts[number].name}: version {version} of the list came over"
                        f" {MAX_LIST_DELAY_US / 1e6:.0f} s late"
                    )
                    yield _Bound(published, offset, MAX_LIST_DELAY_US - at + _SLACK_US, assumption)
        for before, after in pairwise(shared):
            yield _Bound(self.versions[after], self.versions[before], 0)

    def _by_messages(self, included: Iterable[int]) -> Iterator[_Bound]:
        sent: dict[bytes, list[tuple[int, int]]] = defaultdict(list)
        received: dict[bytes, list[tuple[int, int]]] = defaultdict(list)
        for number in included:
            for record in self.starts[number].records:
                if isinstance(record, Message):
                    (received if record.was_heard else sent)[record.name].append((number, record.at))
        for name, senders in sent.items():
            if len(senders) != 1:
                continue  # of identical messages it is unknown which was received
            ((sender, at),) = senders
            for number, later in received.get(name, ()):
                if number != sender:
                    yield self._ordering_bound(sender, at, number, later)

    def _by_requests(self, included: Iterable[int]) -> Iterator[_Bound]:
        """A client retries after its request ended, so a refusal or failure precedes a later answer.

        Only a sidecar that refused or failed the request is ordered before one that served it.
        """
        ends: dict[bytes, list[tuple[int, End]]] = defaultdict(list)
        for number in included:
            for each in self.starts[number].records:
                if isinstance(each, End) and each.ident:
                    ends[each.ident].append((number, each))
        for several in ends.values():
            failed = [each for each in several if each[1].how in ("refused", "failed")]
            served = [each for each in several if each[1].how == "served"]
            for number, first in failed:
                for other, last in served:
                    if number != other:
                        yield self._ordering_bound(number, first.at, other, last.at)


def _arrays(bounds: list[_Bound]) -> tuple[npt.NDArray[np.int64], ...]:
    sources = np.array([bound.source for bound in bounds], dtype=np.int64)
    targets = np.array([bound.target for bound in bounds], dtype=np.int64)
    limits = np.array([bound.limit for bound in bounds], dtype=np.int64)
    return sources, targets, limits


def _shortest_distances(
    count: int, start_node: int, bounds: tuple[npt.NDArray[np.int64], ...]
) -> npt.NDArray[np.int64]:
    """Vectorized Bellman-Ford; the graph must have no negative cycle."""
    sources, targets, limits = bounds
    distances = np.full(count, _UNBOUNDED, dtype=np.int64)
    distances[start_node] = 0
    for _ in range(count):
        from_sources = distances[sources]
        candidates = np.where(from_sources < _UNBOUNDED, from_sources + limits, _UNBOUNDED)
        relaxed = distances.copy()
        np.minimum.at(relaxed, targets, candidates)
        if np.array_equal(relaxed, distances):
            break
        distances = relaxed
    return distances


def _negative_cycle(count: int, bounds: list[_Bound]) -> list[_Bound] | None:
    """Bounds that contradict each other (a negative cycle), or None."""
    if not bounds:
        return None
    sources, targets, limits = _arrays(bounds)
    distances = np.zeros(count, dtype=np.int64)
    predecessors = np.full(count, -1, dtype=np.int64)  # the bound that last lowered the distance
    changed = -1
    for _ in range(count + 1):
        candidates = distances[sources] + limits
        relaxed = distances.copy()
        np.minimum.at(relaxed, targets, candidates)
        improved = np.flatnonzero(relaxed < distances)
        if not len(improved):
            return None
        winners = np.flatnonzero((candidates == relaxed[targets]) & (relaxed[targets] < distances[targets]))
        predecessors[targets[winners]] = winners
        distances, changed = relaxed, int(improved[0])
        cycle = _trace_cycle(predecessors, sources, changed, bounds)
        if cycle is not None:
            return cycle
    return None


def _trace_cycle(
    predecessors: npt.NDArray[np.int64], sources: npt.NDArray[np.int64], at: int, bounds: list[_Bound]
) -> list[_Bound] | None:
    """Follow predecessors back; a path that meets itself is a negative cycle."""
    seen: dict[int, int] = {}
    path: list[int] = []
    while at not in seen:
        seen[at] = len(path)
        edge = int(predecessors[at])
        if edge < 0:
            return None
        path.append(edge)
        at = int(sources[edge])
    return [bounds[edge] for edge in path[seen[at] :]]


def _start_to_exclude(graph: _Graph, cycle: list[_Bound]) -> int:
    """A start whose exclusion resolves all contradictions; else the one with most bounds in the cycle."""
    counts: dict[int, int] = defaultdict(int)
    for each in cycle:
        for unknown in (each.source, each.target):
            owner = graph.owner(unknown)
            if owner is not None:
                counts[owner] += 1
    candidates = sorted(counts, key=lambda each: (-counts[each], each))
    for candidate in candidates:
        reduced = _Graph(graph.starts, graph.excluded | {candidate})
        bounds = [each for each in reduced.bounds() if not each.assumed]
        if _negative_cycle(reduced.count, bounds) is None:
            return candidate
    return candidates[0]


def _solve(graph: _Graph, bounds: list[_Bound], starts: list[Start]) -> Clocks:
    reference = _reference(graph, bounds)
    if graph.epochs[reference]:
        # The reference's clock is the common one, so its offset is constant.
        first, epochs = graph.first[reference], graph.epochs[reference]
        for unknown in range(first, first + epochs):
            bounds = [*bounds, _Bound(first, unknown, 0), _Bound(unknown, first, 0)]
    clocks = Clocks(reference, _begin=graph.begin)
    empty = np.zeros(0, dtype=np.int64)
    if not bounds:
        clocks._low = [empty for _ in starts]
        clocks._high = [empty for _ in starts]
        clocks.unlinked = [number for number in range(len(starts)) if number != reference]
        return clocks
    sources, targets, limits = _arrays(bounds)
    start_node = graph.first[reference]
    # x[u] - x[r] <= distance from r to u, and x[r] - x[u] <= distance from u to r.
    high = _shortest_distances(graph.count, start_node, (sources, targets, limits))
    low = -_shortest_distances(graph.count, start_node, (targets, sources, limits))
    for number in range(len(starts)):
        first, epochs = graph.first[number], graph.epochs[number]
        lows, highs = low[first : first + epochs], high[first : first + epochs]
        if not epochs or (lows <= -_UNBOUNDED).any() or (highs >= _UNBOUNDED).any():
            lows = highs = empty
            if number != reference and number not in graph.excluded:
                clocks.unlinked.append(number)
        clocks._low.append(lows)
        clocks._high.append(highs)
    return clocks


def _reference(graph: _Graph, bounds: list[_Bound]) -> int:
    """The start with the most bounds within the largest linked group."""
    parent = list(range(graph.count))

    def root(unknown: int) -> int:
        while parent[unknown] != unknown:
            parent[unknown] = parent[parent[unknown]]
            unknown = parent[unknown]
        return unknown

    weight: dict[int, int] = defaultdict(int)
    for bound in bounds:
        parent[root(bound.source)] = root(bound.target)
        weight[bound.source] += 1
        weight[bound.target] += 1
    included = [number for number in range(len(graph.starts)) if graph.epochs[number]]
    if not included:
        return 0
    sizes: dict[int, int] = defaultdict(int)
    for number in included:
        sizes[root(graph.first[number])] += 1

    def rank(number: int) -> tuple[int, int, int]:
        first = graph.first[number]
        links = sum(weight[unknown] for unknown in range(first, first + graph.epochs[number]))
        return sizes[root(first)], links, -number

    return max(included, key=rank)
