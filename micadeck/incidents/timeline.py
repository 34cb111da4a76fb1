"""One story of many records: what happened, when, whom it hurt, why, and what is not known.

No input or output.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace

from micadeck.incidents.archive import Archive, FileStatus, Start
from micadeck.incidents.causes import Cause, Scene, causes
from micadeck.incidents.changes import Episode, episodes
from micadeck.incidents.clocks import Clocks, align
from micadeck.incidents.endpoint_states import States, outcasts, states
from micadeck.incidents.kinds import End
from micadeck.incidents.rule_check import Verdict, audit
from micadeck.incidents.series import BIN_US, Ran, Series, placed, ran, series

MOST_DAMAGES = 3  # of a file, that are told one by one
LEAD_S = 6  # attempts that go badly no longer than this before clients feel it belong to the same incident


@dataclass(slots=True)
class Hurt:
    """Whom it hurt."""

    by_class: dict[str, Counter[str]] = field(default_factory=dict)  # "late", "refused", "failed", "ended"
    may_have_run: list[bytes] = field(default_factory=list)  # unsafe requests that failed, and may have run
    by_sidecar: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class Incident:
    """One incident; one within another names the outer's number."""

    number: int
    within: int | None
    onset: int
    end: int
    doubt: int  # of onset and end, in microseconds
    is_contained: bool  # attempts went badly, and clients hardly felt it
    is_over: bool  # whether the records go on after it
    usual: float
    share: float
    bad: float
    causes: list[Cause]
    hurt: Hurt
    missing: float  # part of the sidecars' seconds within it that no record covers

    @property
    def is_known(self) -> bool:
        """Whether a cause explains enough of it."""
        return bool(self.causes)


@dataclass(slots=True)
class Story:
    """What the records of a fleet tell."""

    archive: Archive
    clocks: Clocks
    linked: list[int]  # starts on the common clock
    series: Series
    states: States
    ran: dict[int, Ran]
    incidents: list[Incident]
    verdict: Verdict
    alone: dict[int, list[Incident]]  # of starts that are apart, each by itself on its own clock
    not_known: list[str]

    def start(self, number: int) -> Start:
        return self.archive.starts[number]


def tell(archive: Archive, since: int | None = None, until: int | None = None) -> Story:
    """Make the story; between these times of the common clock, where they are given."""
    starts = archive.starts
    clocks = align(starts)
    left_out = {*clocks.apart, *clocks.contradictory}
    linked = [number for number in range(len(starts)) if number not in left_out]
    counts, held, alive = _gather(starts, clocks, linked)
    incidents = _incidents(starts, clocks, linked, counts, held, alive, since, until)
    alone: dict[int, list[Incident]] = {}
    for number in clocks.apart:
        own = Clocks(number)
        some = _gather(starts, own, [number])
        found = _incidents(starts, own, [number], *some, since, until)
        if found:
            alone[number] = found
    verdict = audit(starts, clocks)
    return Story(
        archive, clocks, linked, counts, held, alive, incidents, verdict, alone, _gaps(archive, clocks)
    )


def _gather(starts: list[Start], clocks: Clocks, which: list[int]) -> tuple[Series, States, dict[int, Ran]]:
    counts = series(starts, clocks, which)
    alive: dict[int, Ran] = {}
    for number in which:
        found = ran(starts[number], placed(starts, clocks, [number]))
        if found is not None:
            alive[number] = found
    ends = {number: each.end for number, each in alive.items()}
    return counts, states(starts, clocks, which, ends), alive


def _incidents(
    starts: list[Start],
    clocks: Clocks,
    which: list[int],
    counts: Series,
    held: States,
    alive: dict[int, Ran],
    since: int | None,
    until: int | None,
) -> list[Incident]:
    told: list[Incident] = []

    def add(
        episode: Episode,
        first: int,
        last: int,
        within: int | None,
        usual: float,
        share: float,
        contained: bool,
    ) -> int:
        onset, end = counts.at(first), counts.at(last)
        scene = Scene(starts, clocks, which, counts, held, alive, onset, end)
        doubts = [each.doubt for each in counts.between(onset - 5 * BIN_US, end + 5 * BIN_US)]
        doubts.sort()
        covered = counts.speaking[first:last].sum()
        lacks = counts.silent[first:last].sum()
        number = len(told) + 1
        told.append(
            Incident(
                number,
                within,
                onset,
                end,
                BIN_US + (doubts[len(doubts) // 2] if doubts else 0),
                contained,
                last < counts.seconds - 2,
                usual,
                share,
                float(counts.bad[first:last].sum()),
                causes(scene),
                _hurt(starts, clocks, which, counts, onset, end),
                float(lacks / (covered + lacks)) if covered + lacks else 0.0,
            )
        )
        return number

    for episode, contained in _episodes(counts, held, which):
        if since is not None and counts.at(episode.last) < since:
            continue
        if until is not None and counts.at(episode.first) > until:
            continue
        first, last = episode.first, episode.last
        outer = add(episode, first, last, None, episode.usual, episode.share, contained)
        for inner in episode.inner:
            add(episode, inner.first, inner.last, outer, episode.share, inner.share, contained)
    return told


def _episodes(counts: Series, held: States, which: list[int]) -> list[tuple[Episode, bool]]:
    """What clients felt; and what only the sidecars did, where further attempts made up for it.

    Attempts go badly sooner than requests do, so that an incident begins with the first of both.
    """
    if not counts.seconds:
        return []  # states alone, with no counts, say nothing of harm
    felt = episodes(counts.bad, counts.ended)
    told = [(each, False) for each in felt]
    for each in episodes(counts.ill, counts.tried):
        over = [
            n for n, (one, _) in enumerate(told) if one.first <= each.last + 2 and each.first <= one.last + 2
        ]
        if not over:
            told.append((each, True))
            continue
        for number in over:
            one, contained = told[number]
            if one.first - LEAD_S <= each.first < one.first:
                told[number] = (replace(one, first=each.first), contained)
    for _, since, until in sorted(outcasts(held, which), key=lambda each: each[1]):
        one = _of_outcast(counts, counts.second(since), counts.second(until) + 1)
        if not any(other.first <= one.last + 2 and one.first <= other.last + 2 for other, _ in told):
            told.append((one, True))
    return sorted(told, key=lambda pair: pair[0].first)


def _of_outcast(counts: Series, first: int, last: int) -> Episode:
    """The time in which most sidecars keep off a server, as an episode of their attempts."""
    bad, tried = float(counts.ill[first:last].sum()), float(counts.tried[first:last].sum())
    others, all_tried = float(counts.ill.sum()) - bad, float(counts.tried.sum()) - tried
    usual = others / all_tried if all_tried else 0.0
    return Episode(first, last, usual, bad / tried if tried else 0.0, bad, tried, (), ())


def _hurt(
    starts: list[Start], clocks: Clocks, which: list[int], counts: Series, onset: int, end: int
) -> Hurt:
    told = Hurt()
    for each in counts.between(onset, end + BIN_US):
        for one in each.span.classes:
            row = told.by_class.setdefault(one.name, Counter())
            row["ended"] += one.served + one.refused + one.failed
            row["late"] += one.late
            row["refused"] += one.refused
            row["failed"] += one.failed
            told.by_sidecar[each.start] += one.late + one.refused + one.failed
    unsafe = {each.name for start in starts for each in start.head.kinds if each.repeat == "unsafe"}
    for number in which:
        for record in starts[number].records:
            if isinstance(record, End) and record.how == "failed" and record.may_have_run:
                moment = clocks.place(number, record.at)
                is_here = moment is not None and onset <= moment.at <= end + BIN_US
                if is_here and record.service_class in unsafe and record.ident:
                    told.may_have_run.append(record.ident)
    return told


def _gaps(archive: Archive, clocks: Clocks) -> list[str]:
    """What can't be known, in words."""
    told = [f"{each.path.name}: {each.why}" for each in archive.files if each.found is FileStatus.FOREIGN]
    for each in archive.files:
        told += [
            f"{each.path.name}: offset {one.offset}: {one.reason}" for one in each.damages[:MOST_DAMAGES]
        ]
        if len(each.damages) > MOST_DAMAGES:
            told.append(f"{each.path.name}: {len(each.damages) - MOST_DAMAGES} more places can't be read")
    told += [
        f"{archive.starts[number].name} shares nothing with the others: its times are its own"
        for number in clocks.apart
    ]
    told += [
        f"{archive.starts[number].name}: its records contradict each other and are left out of the story"
        for number in clocks.contradictory
    ]
    told += clocks.notes
    return told
