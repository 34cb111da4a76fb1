"""Finds the onset and end of incidents: change points of the share of bad events.

The seconds are partitioned into intervals of constant share that maximize the likelihood less a penalty per
change point (optimal partitioning, Jackson et al. 2005, which PELT speeds up).  Counts are overdispersed, so
likelihoods are divided by the dispersion of the quiet intervals (a quasi-likelihood).  An interval belongs to
an incident if its share exceeds the baseline significantly and by enough to matter; few events never do.  No
input or output.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

CHANGE_PENALTY = 7.0  # per change point, in units of log-likelihood
MIN_LIKELIHOOD_GAIN = 10.0  # log-likelihood of an interval's own share over that of the baseline
MIN_EXCESS_EVENTS = 8.0  # above the baseline
MIN_EXCESS_SHARE = 0.004  # above the baseline; less is negligible
MIN_SHARE_RATIO = 2.0  # to the baseline
QUIET_FRACTION = 0.5  # of the seconds, from which the baseline is estimated
MAX_GAP_S = 4  # between two elevated intervals of one incident
INNER_SHARE_RATIO = 2.0  # of a part of an incident to the rest, to count as an incident within it
_MIN_SHARE = 1e-4

Counts = npt.NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class Interval:
    """Seconds of constant share; `last` is exclusive."""

    first: int
    last: int
    share: float
    bad: float
    ended: float


@dataclass(frozen=True, slots=True)
class Episode:
    """The time range of an incident."""

    first: int
    last: int
    baseline: float  # the share before and after
    share: float
    bad: float
    ended: float
    parts: tuple[Interval, ...]
    inner: tuple[Interval, ...]  # elevated above the rest: incidents within the incident


def _log_likelihood(bad: Counts, ended: Counts) -> Counts:
    """Binomial log-likelihood at the observed share."""
    share = np.divide(bad, ended, out=np.zeros_like(bad), where=ended > 0)
    share = np.clip(share, _MIN_SHARE, 1 - _MIN_SHARE)
    log_likelihood: Counts = bad * np.log(share) + (ended - bad) * np.log1p(-share)
    return log_likelihood


def estimate_baseline(bad: Counts, ended: Counts) -> tuple[float, float]:
    """The baseline share and its dispersion.

    The share is that of the interval at the median second, by share: an incident may last for half of a
    recording; beyond that the counts alone don't show what is normal.  Intervals are sorted rather than
    seconds, since the quietest of many seconds are quiet by chance.
    """
    intervals = [interval for interval in best_intervals(bad, ended, 1.0) if interval.ended > 0]
    if not intervals:
        return 0.0, 1.0
    intervals.sort(key=lambda interval: interval.share)
    half = sum(interval.last - interval.first for interval in intervals) * QUIET_FRACTION
    share, seconds = intervals[-1].share, 0
    for interval in intervals:
        seconds += interval.last - interval.first
        if seconds >= half:
            share = interval.share
            break
    quiet = [interval for interval in intervals if interval.share <= share]
    total_bad, total = sum(interval.bad for interval in quiet), sum(interval.ended for interval in quiet)
    if total:
        share = max(share, total_bad / total)
    squares, count = 0.0, 0
    for interval in quiet:
        seconds_slice = slice(interval.first, interval.last)
        expected = ended[seconds_slice] * max(interval.share, 1e-3)
        squares += float(((bad[seconds_slice] - expected) ** 2 / np.maximum(expected, 0.25)).sum())
        count += interval.last - interval.first
    return (share * total + 0.5) / (total + 1.0), min(max(squares / max(count, 1), 1.0), 6.0)


def best_intervals(bad: Counts, ended: Counts, dispersion: float) -> list[Interval]:
    """The optimal partition into intervals of constant share."""
    count = len(bad)
    sums = np.concatenate(([0.0], np.cumsum(bad))), np.concatenate(([0.0], np.cumsum(ended)))
    best = np.zeros(count + 1)
    best[0] = -CHANGE_PENALTY
    previous = np.zeros(count + 1, dtype=np.int64)
    for end in range(1, count + 1):
        gain = (
            best[:end]
            + _log_likelihood(sums[0][end] - sums[0][:end], sums[1][end] - sums[1][:end]) / dispersion
            - CHANGE_PENALTY
        )
        previous[end] = int(np.argmax(gain))
        best[end] = gain[previous[end]]
    intervals: list[Interval] = []
    end = count
    while end > 0:
        first = int(previous[end])
        interval_bad, interval_ended = sums[0][end] - sums[0][first], sums[1][end] - sums[1][first]
        intervals.append(
            Interval(
                first,
                end,
                float(interval_bad / interval_ended) if interval_ended else 0.0,
                float(interval_bad),
                float(interval_ended),
            )
        )
        end = first
    return intervals[::-1]


def _is_elevated(interval: Interval, share: float, dispersion: float) -> bool:
    if interval.ended <= 0 or interval.share <= max(MIN_SHARE_RATIO * share, share + MIN_EXCESS_SHARE):
        return False
    if interval.bad - share * interval.ended < MIN_EXCESS_EVENTS * dispersion:
        return False
    baseline = min(max(share, _MIN_SHARE), 1 - _MIN_SHARE)
    bad, ended = np.array([interval.bad]), np.array([interval.ended])
    at_baseline = interval.bad * np.log(baseline) + (interval.ended - interval.bad) * np.log1p(-baseline)
    return float(_log_likelihood(bad, ended)[0] - at_baseline) / dispersion > MIN_LIKELIHOOD_GAIN


def find_episodes(bad: Counts, ended: Counts) -> list[Episode]:
    """The incidents in these counts, in order."""
    if len(bad) < 3:
        return []
    share, dispersion = estimate_baseline(bad, ended)
    elevated = [
        interval
        for interval in best_intervals(bad, ended, dispersion)
        if _is_elevated(interval, share, dispersion)
    ]
    groups: list[list[Interval]] = []
    for interval in elevated:
        if groups and interval.first - groups[-1][-1].last <= MAX_GAP_S:
            groups[-1].append(interval)
        else:
            groups.append([interval])
    return [_episode(group, share, dispersion) for group in groups]


def _episode(parts: list[Interval], share: float, dispersion: float) -> Episode:
    bad, ended = sum(part.bad for part in parts), sum(part.ended for part in parts)
    inner = []
    for part in parts:
        rest_bad, rest = bad - part.bad, ended - part.ended
        rest_share = rest_bad / rest if rest else 1.0
        if (
            len(parts) > 1
            and part.share > INNER_SHARE_RATIO * rest_share
            and _is_elevated(part, rest_share, dispersion)
        ):
            inner.append(part)
    overall = bad / ended if ended else 0.0
    return Episode(parts[0].first, parts[-1].last, share, overall, bad, ended, tuple(parts), tuple(inner))
