"""Scripted days against the incidents found in their records: onset and cause.

    python benchmarks/incidents.py [--days 200] [--first 1000] [--missing 0,0.1,0.3,0.6]

Days are drawn from seeds, with all kinds of faults in turn and some without.  An incident counts as found
if its onset is within five seconds of the script's; its cause is right if the first cause is the script's,
at its place.  The baseline sums failures by each sidecar's own clock and blames the server with the most.
Seeds below 1000 were used to tune the constants.
"""

from __future__ import annotations

import argparse
import os
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

import numpy as np

from micadeck.incidents.archive import Archive
from micadeck.incidents.kinds import Span
from micadeck.incidents.series import count_bad_attempts
from micadeck.incidents.timeline import Timeline, build_timeline
from micadeck.stand_ins.incident_days import (
    INCIDENT_KINDS,
    NON_INCIDENT_KINDS,
    START_US,
    US_PER_S,
    SimulatedRun,
    simulate,
)

ONSET_TOLERANCE_S = 5.0
BASELINE_SHARE, BASELINE_S = 0.02, 2
KINDS = {
    "crash": "server crashed",
    "hang": "server hangs",
    "fails": "server fails",
    "zone": "zone",
    "list": "list of servers",
    "release": "release",
    "overload": "load",
    "lag": "sidecar lags",
}


@dataclass(frozen=True)
class DayResult:
    """The analysis of one day."""

    kind: str
    missing: float
    claimed: int  # incidents that are not within others
    errors_s: tuple[float, ...]  # of the onsets within the tolerance
    is_right: bool
    baseline_claimed: int
    baseline_near: bool
    baseline_right: bool
    within_uncertainty: bool  # the script's onset lies within the stated interval


def judge(seed: int, kind: str, missing: float) -> DayResult:
    day = simulate(seed, kind)
    archive = day.archive(missing, seed)
    timeline = build_timeline(archive)
    script = day.script
    onset = _on_reference(day, timeline)
    outer = [each for each in timeline.incidents if each.within is None]
    near = (
        [each for each in outer if abs(each.onset - onset) <= ONSET_TOLERANCE_S * US_PER_S]
        if kind in INCIDENT_KINDS
        else []
    )
    first = near[0].causes[0] if near and near[0].causes else None
    where = first.where.split("@")[0] if first else ""
    right = (
        first is not None and first.kind == KINDS.get(kind) and (not script.where or where == script.where)
    )
    claims, blamed = _baseline(archive)
    wall = START_US + int(script.onset_s * US_PER_S)
    baseline_near = kind in INCIDENT_KINDS and any(
        abs(each - wall) <= ONSET_TOLERANCE_S * US_PER_S for each in claims
    )
    return DayResult(
        kind,
        missing,
        len(outer),
        tuple((each.onset - onset) / US_PER_S for each in near[:1]),
        right,
        len(claims),
        baseline_near,
        baseline_near and kind in ("crash", "hang", "fails") and blamed == script.where,
        bool(near) and abs(near[0].onset - onset) <= near[0].uncertainty,
    )


def _on_reference(day: SimulatedRun, timeline: Timeline) -> int:
    """The script's onset on the timeline's clock."""
    true = START_US + int(day.script.onset_s * US_PER_S)
    if not timeline.archive.starts:
        return true
    head = timeline.archive.starts[timeline.clocks.reference].head
    for number, data in enumerate(day.sidecars):
        if head.start.encode() in data[:200] and head.sidecar.encode() in data[:200]:
            return day.to_local_time[number](true)
    return true


def _baseline(archive: Archive) -> tuple[list[int], str]:
    """A threshold on failures by each sidecar's own clock; the server with the most bad attempts."""
    bad: dict[int, float] = defaultdict(float)
    ended: dict[int, float] = defaultdict(float)
    bad_attempts: dict[str, int] = defaultdict(int)
    for start in archive.starts:
        for each in start.records:
            if isinstance(each, Span):
                second = each.until // US_PER_S
                for one in each.classes:
                    bad[second] += one.refused + one.failed + one.late
                    ended[second] += one.served + one.refused + one.failed
                for server in each.servers:
                    bad_attempts[server.server] += count_bad_attempts(server.ended)
    claims: list[int] = []
    run = 0
    last = None
    for second in sorted(ended):
        over = ended[second] > 0 and bad[second] / ended[second] > BASELINE_SHARE
        run = run + 1 if over and last == second - 1 else int(over)
        last = second
        if run == BASELINE_S and not (claims and second * US_PER_S - claims[-1] < 20 * US_PER_S):
            claims.append((second - BASELINE_S + 1) * US_PER_S)
    return claims, max(bad_attempts, key=lambda each: bad_attempts[each]) if bad_attempts else ""


def _row(name: str, results: list[DayResult]) -> str:
    troubles = [each for each in results if each.kind in INCIDENT_KINDS]
    found = sum(bool(each.errors_s) for each in troubles)
    claimed = sum(each.claimed for each in results)
    right = sum(each.is_right for each in troubles)
    errors = sorted(abs(error) for each in troubles for error in each.errors_s)
    spread = (
        f"{np.median(errors):5.1f} {errors[int(0.95 * (len(errors) - 1))]:5.1f}" if errors else "    -     -"
    )
    covered = sum(each.within_uncertainty for each in troubles) / max(found, 1)
    base = sum(each.baseline_near for each in troubles)
    base_claimed = sum(each.baseline_claimed for each in results)
    count = max(len(troubles), 1)
    return (
        f"{name:10s} {len(results):5d} {found / max(claimed, 1):10.2f} {found / count:7.2f}"
        f" {right / count:7.2f}"
        f" {spread} {covered:8.2f}   {base / max(base_claimed, 1):10.2f} {base / count:7.2f}"
        f" {sum(each.baseline_right for each in troubles) / count:7.2f}"
    )


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("--days", type=int, default=200)
    given.add_argument("--first", type=int, default=1000)
    given.add_argument("--missing", default="0,0.1,0.3,0.6")
    given.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    options = given.parse_args()
    kinds = (*INCIDENT_KINDS, *NON_INCIDENT_KINDS)
    days = [(options.first + number, kinds[number % len(kinds)]) for number in range(options.days)]
    print(
        "           days  precision  recall   cause   onset s (95%)  in doubt   baseline: prec. recall  cause"
    )
    with ProcessPoolExecutor(options.jobs) as pool:
        for missing in (float(each) for each in options.missing.split(",")):
            seeds, kinds_of_days = [each[0] for each in days], [each[1] for each in days]
            results = list(pool.map(judge, seeds, kinds_of_days, [missing] * len(days), chunksize=4))
            print(_row(f"{missing:.0%} gone", results), flush=True)
            if missing == 0.0:
                for kind in kinds:
                    print(_row(f"  {kind}", [each for each in results if each.kind == kind]), flush=True)


if __name__ == "__main__":
    main()
