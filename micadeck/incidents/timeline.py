"""Builds the timeline of a fleet: incidents, their impact, causes and unknowns.

No input or output.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field, replace

from micadeck.incidents.archive import Archive, FileStatus, Start
from micadeck.incidents.causes import Cause, IncidentContext, find_causes
from micadeck.incidents.changes import Episode, find_episodes
from micadeck.incidents.clocks import Clocks, align
from micadeck.incidents.endpoint_states import EndpointStates, collect_states, widely_ejected
from micadeck.incidents.kinds import End
from micadeck.incidents.rule_check import RuleReport, check_rules
from micadeck.incidents.series import BIN_US, RunInterval, Series, build_series, place_spans, run_interval

MAX_LISTED_DAMAGES = 3  # per file; the rest are summarized
MAX_LEAD_S = 6  # bad attempts up to this long before the first bad requests belong to the same incident


@dataclass(slots=True)
class Impact:
    """The requests and sidecars affected."""

    by_class: dict[str, Counter[str]] = field(default_factory=dict)  # "late", "refused", "failed", "ended"
    may_have_run: list[bytes] = field(default_factory=list)  # non-idempotent requests that failed
    by_sidecar: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True)
class Incident:
    """An incident; `within` is the number of the one that contains it."""

    number: int
    within: int | None
    onset: int
    end: int
    uncertainty: int  # of onset and end, in microseconds
    is_contained: bool  # attempts failed, but hardly any requests, thanks to retries
    is_over: bool  # whether the records continue after it
    baseline: float
    share: float
    bad: float
    causes: list[Cause]
    impact: Impact
    missing: float  # fraction of the sidecars' seconds in it without records

    @property
    def has_cause(self) -> bool:
        """Whether a cause explains enough of it."""
        return bool(self.causes)


@dataclass(slots=True)
class Timeline:
    """What the records of a fleet show."""

    archive: Archive
    clocks: Clocks
    linked: list[int]  # starts on the common clock
    series: Series
    states: EndpointStates
    runs: dict[int, RunInterval]
    incidents: list[Incident]
    rules: RuleReport
    unlinked_incidents: dict[int, list[Incident]]  # by unlinked start, on its own clock
    unknowns: list[str]

    def start(self, number: int) -> Start:
        return self.archive.starts[number]


def build_timeline(archive: Archive, since: int | None = None, until: int | None = None) -> Timeline:
    """Build the timeline, optionally limited to an interval of the common clock."""
    starts = archive.starts
    clocks = align(starts)
    excluded = {*clocks.unlinked, *clocks.contradictory}
    linked = [number for number in range(len(starts)) if number not in excluded]
    series, states, runs = _collect(starts, clocks, linked)
    incidents = _incidents(starts, clocks, linked, series, states, runs, since, until)
    unlinked_incidents: dict[int, list[Incident]] = {}
    for number in clocks.unlinked:
        own = Clocks(number)
        collected = _collect(starts, own, [number])
        found = _incidents(starts, own, [number], *collected, since, until)
        if found:
            unlinked_incidents[number] = found
    rules = check_rules(starts, clocks)
    return Timeline(
        archive,
        clocks,
        linked,
        series,
        states,
        runs,
        incidents,
        rules,
        unlinked_incidents,
        _unknowns(archive, clocks),
    )


def _collect(
    starts: list[Start], clocks: Clocks, included: list[int]
) -> tuple[Series, EndpointStates, dict[int, RunInterval]]:
    series = build_series(starts, clocks, included)
    runs: dict[int, RunInterval] = {}
    for number in included:
        interval = run_interval(starts[number], place_spans(starts, clocks, [number]))
        if interval is not None:
            runs[number] = interval
    ends = {number: run.end for number, run in runs.items()}
    return series, collect_states(starts, clocks, included, ends), runs


def _incidents(
    starts: list[Start],
    clocks: Clocks,
    included: list[int],
    series: Series,
    states: EndpointStates,
    runs: dict[int, RunInterval],
    since: int | None,
    until: int | None,
) -> list[Incident]:
    incidents: list[Incident] = []

    def add(
        episode: Episode,
        first: int,
        last: int,
        within: int | None,
        baseline: float,
        share: float,
        contained: bool,
    ) -> int:
        onset, end = series.at(first), series.at(last)
        context = IncidentContext(starts, clocks, included, series, states, runs, onset, end)
        uncertainties = [
            placed.uncertainty for placed in series.between(onset - 5 * BIN_US, end + 5 * BIN_US)
        ]
        uncertainties.sort()
        reporting = series.reporting[first:last].sum()
        not_reporting = series.not_reporting[first:last].sum()
        number = len(incidents) + 1
        incidents.append(
            Incident(
                number,
                within,
                onset,
                end,
                BIN_US + (uncertainties[len(uncertainties) // 2] if uncertainties else 0),
                contained,
                last < series.seconds - 2,
                baseline,
                share,
                float(series.bad[first:last].sum()),
                find_causes(context),
                _measure_impact(starts, clocks, included, series, onset, end),
                float(not_reporting / (reporting + not_reporting)) if reporting + not_reporting else 0.0,
            )
        )
        return number

    for episode, contained in _episodes(series, states, included):
        if since is not None and series.at(episode.last) < since:
            continue
        if until is not None and series.at(episode.first) > until:
            continue
        first, last = episode.first, episode.last
        outer = add(episode, first, last, None, episode.baseline, episode.share, contained)
        for inner in episode.inner:
            add(episode, inner.first, inner.last, outer, episode.share, inner.share, contained)
    return incidents


def _episodes(series: Series, states: EndpointStates, included: list[int]) -> list[tuple[Episode, bool]]:
    """Episodes of bad requests, or only of bad attempts, which retries made up for.

    Attempts fail before requests do, so an incident begins with the earlier of both.
    """
    if not series.seconds:
        return []  # states without counts show no impact
    by_requests = find_episodes(series.bad, series.ended)
    found = [(episode, False) for episode in by_requests]
    for episode in find_episodes(series.bad_attempts, series.attempts):
        overlapping = [
            n
            for n, (one, _) in enumerate(found)
            if one.first <= episode.last + 2 and episode.first <= one.last + 2
        ]
        if not overlapping:
            found.append((episode, True))
            continue
        for number in overlapping:
            one, contained = found[number]
            if one.first - MAX_LEAD_S <= episode.first < one.first:
                found[number] = (replace(one, first=episode.first), contained)
    for _, since, until in sorted(widely_ejected(states, included), key=lambda ejected: ejected[1]):
        one = _ejection_episode(series, series.second(since), series.second(until) + 1)
        if not any(other.first <= one.last + 2 and one.first <= other.last + 2 for other, _ in found):
            found.append((one, True))
    return sorted(found, key=lambda pair: pair[0].first)


def _ejection_episode(series: Series, first: int, last: int) -> Episode:
    """The interval in which most sidecars ejected a server, as an episode of attempts."""
    bad, attempts = float(series.bad_attempts[first:last].sum()), float(series.attempts[first:last].sum())
    others, all_attempts = float(series.bad_attempts.sum()) - bad, float(series.attempts.sum()) - attempts
    baseline = others / all_attempts if all_attempts else 0.0
    return Episode(first, last, baseline, bad / attempts if attempts else 0.0, bad, attempts, (), ())


def _measure_impact(
    starts: list[Start], clocks: Clocks, included: list[int], series: Series, onset: int, end: int
) -> Impact:
    impact = Impact()
    for placed in series.between(onset, end + BIN_US):
        for class_counts in placed.span.classes:
            row = impact.by_class.setdefault(class_counts.name, Counter())
            row["ended"] += class_counts.served + class_counts.refused + class_counts.failed
            row["late"] += class_counts.late
            row["refused"] += class_counts.refused
            row["failed"] += class_counts.failed
            impact.by_sidecar[placed.start] += class_counts.late + class_counts.refused + class_counts.failed
    unsafe = {kind.name for start in starts for kind in start.head.kinds if kind.repeat == "unsafe"}
    for number in included:
        for record in starts[number].records:
            if isinstance(record, End) and record.how == "failed" and record.may_have_run:
                moment = clocks.to_common(number, record.at)
                is_here = moment is not None and onset <= moment.at <= end + BIN_US
                if is_here and record.service_class in unsafe and record.ident:
                    impact.may_have_run.append(record.ident)
    return impact


def _unknowns(archive: Archive, clocks: Clocks) -> list[str]:
    """Describe what the records don't show."""
    unknowns = [f"{file.path.name}: {file.why}" for file in archive.files if file.found is FileStatus.FOREIGN]
    for file in archive.files:
        unknowns += [
            f"{file.path.name}: offset {damage.offset}: {damage.reason}"
            for damage in file.damages[:MAX_LISTED_DAMAGES]
        ]
        if len(file.damages) > MAX_LISTED_DAMAGES:
            unknowns.append(
                f"{file.path.name}: {len(file.damages) - MAX_LISTED_DAMAGES} more places can't be read"
            )
    unknowns += [
        f"{archive.starts[number].name} shares nothing with the others: its times are its own"
        for number in clocks.unlinked
    ]
    unknowns += [
        f"{archive.starts[number].name}: its records contradict each other and are left out of the story"
        for number in clocks.contradictory
    ]
    unknowns += clocks.notes
    return unknowns
