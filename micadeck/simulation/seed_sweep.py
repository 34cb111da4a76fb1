"""Sweeps over seeds in parallel processes, with failures and event counts."""

from __future__ import annotations

import multiprocessing
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field

from micadeck.simulation.scenario import Kind, draw
from micadeck.simulation.simulated_day import Result, play

_SEEDS_PER_TASK = 25  # seeds per task of a worker process

# Coverage: the keys of a result's counts that a sweep has to reach.
MUST_OCCUR = (
    *(f"fault {kind.value}" for kind in Kind),
    *(f"answer {status}" for status in (200, 502, 503, 504)),
    "attempt",
    "further attempt",
    "repeat dropped",
    "request at a cold server",
    "client left",
    "races",
    "ejected",
)


@dataclass(slots=True)
class Failure:
    """A seed whose run violated an invariant."""

    seed: int
    rules: list[str]
    first: str


@dataclass(slots=True)
class Tally:
    """The results of a range of seeds."""

    seeds: int = 0
    virtual_s: float = 0.0
    steps: int = 0
    empty: list[int] = field(default_factory=list)  # seeds without a request
    counts: Counter[str] = field(default_factory=Counter)
    failures: list[Failure] = field(default_factory=list)
    digests: dict[int, str] = field(default_factory=dict)

    def add(self, result: Result) -> None:
        seed = result.scenario.seed
        self.seeds += 1
        self.virtual_s += result.virtual_s
        self.steps += result.steps
        self.counts.update(result.counts)
        self.digests[seed] = result.digest
        if not result.counts.get("requests"):
            self.empty.append(seed)
        if result.violations:
            self.failures.append(Failure(seed, result.rules, str(result.violations[0])))

    def merge(self, other: Tally) -> None:
        self.seeds += other.seeds
        self.virtual_s += other.virtual_s
        self.steps += other.steps
        self.empty += other.empty
        self.counts.update(other.counts)
        self.failures += other.failures
        self.digests.update(other.digests)

    def missing(self) -> list[str]:
        """Expected events that did not occur."""
        return [key for key in MUST_OCCUR if not self.counts[key]]


def play_seeds(first: int, last: int) -> Tally:
    """Run the seeds from `first` up to, not including, `last`."""
    tally = Tally()
    for seed in range(first, last):
        tally.add(play(draw(seed)))
    return tally


def play_many(
    first: int, last: int, jobs: int, on_part: Callable[[Tally], None] = lambda tally: None
) -> Tally:
    """Run the seeds in `jobs` processes; `on_part` is called with each partial result."""
    total = Tally()
    for part in _parts(first, last, jobs):
        on_part(part)
        total.merge(part)
    total.failures.sort(key=lambda failure: failure.seed)
    return total


def _parts(first: int, last: int, jobs: int) -> Iterator[Tally]:
    starts = range(first, last, _SEEDS_PER_TASK)
    if jobs <= 1:
        for start in starts:
            yield play_seeds(start, min(start + _SEEDS_PER_TASK, last))
        return
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        parts = [pool.submit(play_seeds, start, min(start + _SEEDS_PER_TASK, last)) for start in starts]
        for part in as_completed(parts):
            yield part.result()
