"""Many clocks made one: where each sidecar's times lie on the clock of one of them, and within what doubt.

What sidecars have in common bounds the difference of their clocks, and each bound is an inequality:

- a message is heard no sooner than it was sent (Cristian's one-way bound);
- a version of the list is heard no sooner than it was published, and those that follow the list hear a change
  within `LIST_WITHIN_US` (an assumption: where it contradicts the rest, it is dropped and told);
- versions are published in their order;
- a request that came to a second sidecar after it was answered by a first came later there;
- a clock runs true to `DRIFT`: its offset moves no faster (as in convex-hull drift estimation, by steps).

A system of such differences is solved by shortest paths, which give the tightest interval that all bounds
allow together: Marzullo's intersection, carried along chains of sidecars.  An interval holds the truth if the
bounds do; nothing is averaged.  A sidecar that no chain links to the rest is apart, and so is one whose own
records contradict each other.  No input or output.
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

DRIFT = 300e-6  # of a clock against another, at most
EPOCH_US = 60_000_000  # an offset counts as one within it, but for the drift
LIST_WITHIN_US = 2_000_000  # in which those that follow the list hear a change
STEP_US = 50_000  # of the system's clock against the one that never steps, to be told
_FAR = np.int64(1) << 60  # no bound
_MOST_DROPPED = 400  # assumptions given up before a sidecar is
_SLACK_US = int(DRIFT * EPOCH_US)  # within an epoch, and from one to the next


@dataclass(frozen=True, slots=True, order=True)
class Moment:
    """A time on the common clock; the truth lies within `doubt` of it."""

    at: int
    doubt: int

    def is_before(self, other: Moment) -> bool:
        """Whether it was before for certain."""
        return self.at + self.doubt < other.at - other.doubt


@dataclass(frozen=True, slots=True)
class _Bound:
    """x[to] - x[since] <= most."""

    since: int
    to: int
    most: int
    assumed: str = ""  # what is assumed, where it is no certainty


@dataclass(slots=True)
class Clocks:
    """The starts on one clock: that of `reference`."""

    reference: int
    apart: list[int] = field(default_factory=list)  # starts that have nothing in common with it
    contradictory: list[int] = field(default_factory=list)  # whose records contradict each other
    notes: list[str] = field(default_factory=list)
    _begin: list[int] = field(default_factory=list)
    _low: list[npt.NDArray[np.int64]] = field(default_factory=list)
    _high: list[npt.NDArray[np.int64]] = field(default_factory=list)

    def place(self, start: int, at: int) -> Moment | None:
        """A time of one start's clock; None if the start is apart."""
        if start == self.reference:
            return Moment(at, 0)
        low = self._low[start]
        if not len(low):
            return None
        epoch = min(max((at - self._begin[start]) // EPOCH_US, 0), len(low) - 1)
        least, most = int(low[epoch]) - _SLACK_US, int(self._high[start][epoch]) + _SLACK_US
        return Moment(at + (least + most) // 2, (most - least + 1) // 2)


def align(starts: list[Start]) -> Clocks:
    """Put all starts on the clock of the one that is linked to most others."""
    if not starts:
        return Clocks(0)
    given_up: set[int] = set()
    notes = [note for start in starts for note in _steps(start)]
    dropped: set[str] = set()  # assumptions
    while True:
        graph = _Graph(starts, given_up)
        bounds = [each for each in graph.bounds() if each.assumed not in dropped]
        cycle = _contradiction(graph.count, bounds)
        if cycle is None:
            break
        assumed = [each for each in cycle if each.assumed]
        if assumed and len(dropped) < _MOST_DROPPED:
            worst = min(assumed, key=lambda each: each.most)
            dropped.add(worst.assumed)
            notes.append(worst.assumed)
            continue
        given_up.add(_to_blame(graph, cycle))
    clocks = _solve(graph, bounds, starts)
    clocks.contradictory = sorted(given_up)
    clocks.notes = list(dict.fromkeys(notes))
    return clocks


def _steps(start: Start) -> Iterator[str]:
    """Steps of the system's clock; the records' own times have none."""
    spans = [each for each in start.records if isinstance(each, Span)]
    for before, after in pairwise(spans):
        step = (after.wall - after.until) - (before.wall - before.until)
        if abs(step) > STEP_US + DRIFT * (after.until - before.until):
            yield f"{start.name}: the system's clock stepped by {step / 1e6:+.3f} s; the records' own did not"


class _Graph:
    """Unknowns: each start's offset in each epoch, and when each version was published."""

    def __init__(self, starts: list[Start], left_out: set[int]) -> None:
        self.starts = starts
        self.left_out = left_out
        self.begin: list[int] = []
        self.first: list[int] = []  # the unknown of a start's first epoch
        self.epochs: list[int] = []
        self.count = 0
        for number, start in enumerate(starts):
            times = [record_time(each) for each in start.records] or [start.head.at]
            begin, end = min(*times, start.head.at), max(*times, start.head.at)
            self.begin.append(begin)
            self.first.append(self.count)
            self.epochs.append(0 if number in left_out else (end - begin) // EPOCH_US + 1)
            self.count += self.epochs[-1]
        self.versions: dict[int, int] = {}

    def offset(self, start: int, at: int) -> int:
        """The unknown that holds a start's offset at a time of its own."""
        epoch = min(max((at - self.begin[start]) // EPOCH_US, 0), self.epochs[start] - 1)
        return self.first[start] + epoch

    def owner(self, unknown: int) -> int | None:
        """The start whose offset it is; None for a version's."""
        for number, first in enumerate(self.first):
            if first <= unknown < first + self.epochs[number]:
                return number
        return None

    def bounds(self) -> list[_Bound]:
        told: list[_Bound] = []
        for number in range(len(self.starts)):
            for epoch in range(self.epochs[number] - 1):
                one = self.first[number] + epoch
                told += (_Bound(one, one + 1, _SLACK_US), _Bound(one + 1, one, _SLACK_US))
        here = [number for number in range(len(self.starts)) if number not in self.left_out]
        told += self._by_lists(here)
        told += self._by_messages(here)
        told += self._by_requests(here)
        return told

    def _after(self, start: int, at: int, other: int, later: int) -> _Bound:
        """`at` at one start was before `later` at another: at + o <= later + p."""
        one, two = self.offset(start, at), self.offset(other, later)
        return _Bound(two, one, later - at + 2 * _SLACK_US)

    def _by_lists(self, here: Iterable[int]) -> Iterator[_Bound]:
        heard: dict[int, dict[int, tuple[int, bool]]] = defaultdict(dict)
        for number in here:
            follows = False
            for each in self.starts[number].records:
                if not isinstance(each, Listed):
                    continue
                if each.kind in ("complete", "changes"):
                    is_news = follows and each.kind == "changes" and each.changed > 0
                    heard[each.version].setdefault(number, (each.at, is_news))
                    follows = True
                elif each.kind == "failed":
                    follows = False
        shared = sorted(version for version, those in heard.items() if len(those) > 1)
        for version in shared:
            published = self.versions[version] = self.count
            self.count += 1
            for number, (at, is_news) in heard[version].items():
                one = self.offset(number, at)
                # published <= at + o; for those that follow, at + o <= published + LIST_WITHIN_US
                yield _Bound(one, published, at + _SLACK_US)
                if is_news:
                    late = (
                        f"{self.starts[number].name}: version {version} of the list came over"
                        f" {LIST_WITHIN_US / 1e6:.0f} s late"
                    )
                    yield _Bound(published, one, LIST_WITHIN_US - at + _SLACK_US, late)
        for before, after in pairwise(shared):
            yield _Bound(self.versions[after], self.versions[before], 0)

    def _by_messages(self, here: Iterable[int]) -> Iterator[_Bound]:
        sent: dict[bytes, list[tuple[int, int]]] = defaultdict(list)
        heard: dict[bytes, list[tuple[int, int]]] = defaultdict(list)
        for number in here:
            for each in self.starts[number].records:
                if isinstance(each, Message):
                    (heard if each.was_heard else sent)[each.name].append((number, each.at))
        for name, senders in sent.items():
            if len(senders) != 1:
                continue  # messages that read alike tell nothing of which was heard
            ((sender, at),) = senders
            for number, later in heard.get(name, ()):
                if number != sender:
                    yield self._after(sender, at, number, later)

    def _by_requests(self, here: Iterable[int]) -> Iterator[_Bound]:
        """A client asks again once it was answered: the one that is not surely later was first.

        Which of two sidecars it asked first is told by the first attempts: only where one of them never sent
        it anywhere, so that the client can't have been served there after the other, is it used.
        """
        ends: dict[bytes, list[tuple[int, End]]] = defaultdict(list)
        for number in here:
            for each in self.starts[number].records:
                if isinstance(each, End) and each.ident:
                    ends[each.ident].append((number, each))
        for several in ends.values():
            failed = [each for each in several if each[1].how in ("refused", "failed")]
            served = [each for each in several if each[1].how == "served"]
            for number, first in failed:
                for other, last in served:
                    if number != other:
                        yield self._after(number, first.at, other, last.at)


def _arrays(bounds: list[_Bound]) -> tuple[npt.NDArray[np.int64], ...]:
    since = np.array([each.since for each in bounds], dtype=np.int64)
    to = np.array([each.to for each in bounds], dtype=np.int64)
    most = np.array([each.most for each in bounds], dtype=np.int64)
    return since, to, most


def _shortest(count: int, source: int, bounds: tuple[npt.NDArray[np.int64], ...]) -> npt.NDArray[np.int64]:
    """Bellman and Ford's, all edges at once; the graph has no negative cycle."""
    since, to, most = bounds
    found = np.full(count, _FAR, dtype=np.int64)
    found[source] = 0
    for _ in range(count):
        from_here = found[since]
        tried = np.where(from_here < _FAR, from_here + most, _FAR)
        after = found.copy()
        np.minimum.at(after, to, tried)
        if np.array_equal(after, found):
            break
        found = after
    return found


def _contradiction(count: int, bounds: list[_Bound]) -> list[_Bound] | None:
    """Bounds that can't all hold (a negative cycle), or None."""
    if not bounds:
        return None
    since, to, most = _arrays(bounds)
    found = np.zeros(count, dtype=np.int64)
    by = np.full(count, -1, dtype=np.int64)  # the bound that gave the last word
    changed = -1
    for _ in range(count + 1):
        tried = found[since] + most
        after = found.copy()
        np.minimum.at(after, to, tried)
        better = np.flatnonzero(after < found)
        if not len(better):
            return None
        won = np.flatnonzero((tried == after[to]) & (after[to] < found[to]))
        by[to[won]] = won
        found, changed = after, int(better[0])
        cycle = _cycle(by, since, changed, bounds)
        if cycle is not None:
            return cycle
    return None


def _cycle(
    by: npt.NDArray[np.int64], since: npt.NDArray[np.int64], at: int, bounds: list[_Bound]
) -> list[_Bound] | None:
    """Follow the last words back; a way that meets itself is a negative cycle."""
    seen: dict[int, int] = {}
    way: list[int] = []
    while at not in seen:
        seen[at] = len(way)
        edge = int(by[at])
        if edge < 0:
            return None
        way.append(edge)
        at = int(since[edge])
    return [bounds[edge] for edge in way[seen[at] :]]


def _to_blame(graph: _Graph, cycle: list[_Bound]) -> int:
    """The start to leave out: without it nothing is contradictory; else that with most bounds here."""
    counts: dict[int, int] = defaultdict(int)
    for each in cycle:
        for unknown in (each.since, each.to):
            owner = graph.owner(unknown)
            if owner is not None:
                counts[owner] += 1
    suspects = sorted(counts, key=lambda each: (-counts[each], each))
    for suspect in suspects:
        without = _Graph(graph.starts, graph.left_out | {suspect})
        bounds = [each for each in without.bounds() if not each.assumed]
        if _contradiction(without.count, bounds) is None:
            return suspect
    return suspects[0]


def _solve(graph: _Graph, bounds: list[_Bound], starts: list[Start]) -> Clocks:
    reference = _reference(graph, bounds)
    if graph.epochs[reference]:
        # The reference's clock is the common one: it has no drift against itself.
        first, epochs = graph.first[reference], graph.epochs[reference]
        for unknown in range(first, first + epochs):
            bounds = [*bounds, _Bound(first, unknown, 0), _Bound(unknown, first, 0)]
    clocks = Clocks(reference, _begin=graph.begin)
    empty = np.zeros(0, dtype=np.int64)
    if not bounds:
        clocks._low = [empty for _ in starts]
        clocks._high = [empty for _ in starts]
        clocks.apart = [number for number in range(len(starts)) if number != reference]
        return clocks
    since, to, most = _arrays(bounds)
    source = graph.first[reference]
    # x[u] - x[r] <= distance from r to u, and x[r] - x[u] <= distance from u to r.
    high = _shortest(graph.count, source, (since, to, most))
    low = -_shortest(graph.count, source, (to, since, most))
    for number in range(len(starts)):
        first, epochs = graph.first[number], graph.epochs[number]
        lows, highs = low[first : first + epochs], high[first : first + epochs]
        if not epochs or (lows <= -_FAR).any() or (highs >= _FAR).any():
            lows = highs = empty
            if number != reference and number not in graph.left_out:
                clocks.apart.append(number)
        clocks._low.append(lows)
        clocks._high.append(highs)
    return clocks


def _reference(graph: _Graph, bounds: list[_Bound]) -> int:
    """The start that most bounds are about, of the largest group that is linked."""
    parent = list(range(graph.count))

    def root(unknown: int) -> int:
        while parent[unknown] != unknown:
            parent[unknown] = parent[parent[unknown]]
            unknown = parent[unknown]
        return unknown

    weight: dict[int, int] = defaultdict(int)
    for each in bounds:
        parent[root(each.since)] = root(each.to)
        weight[each.since] += 1
        weight[each.to] += 1
    here = [number for number in range(len(graph.starts)) if graph.epochs[number]]
    if not here:
        return 0
    sizes: dict[int, int] = defaultdict(int)
    for number in here:
        sizes[root(graph.first[number])] += 1

    def rank(number: int) -> tuple[int, int, int]:
        first = graph.first[number]
        links = sum(weight[unknown] for unknown in range(first, first + graph.epochs[number]))
        return sizes[root(first)], links, -number

    return max(here, key=rank)
