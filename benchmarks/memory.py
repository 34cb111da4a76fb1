"""Hostile and unlucky loads against the real daemon, a line each: memory, survival and service.

    python benchmarks/memory.py [--seconds 6] [--only TEXT] [--mixes 5] [--seed 1]

80 MB and 640 descriptors; see docs/design/memory.md.  Exits with 1 if a load exceeds a bound.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from collections.abc import Sequence

import uvloop

from micadeck.stand_ins.hostile import LOADS, Load, LoadResult, Side, run_loads
from micadeck.stand_ins.hostile.daemon_under_load import CONTROL_REQUESTS, SETTLE_S

PEAK_MB = 48.0
SETTLED_MB = 30.0
MIN_SERVED_DURING = 8  # of ten, during loads by clients only
LOADS_PER_MIX = 3


def exceeded_bounds(loads: Sequence[Load], played: LoadResult) -> list[str]:
    """The bounds that the daemon exceeded."""
    found = []
    if played.exit_code is not None:
        found.append(f"ended with {played.exit_code}")
    if played.peak_mb > PEAK_MB:
        found.append("peak")
    if played.settled_mb > SETTLED_MB:
        found.append("not given back")
    if all(each.side is Side.CLIENTS for each in loads) and played.served_during < MIN_SERVED_DURING:
        found.append("no service beside")
    if played.served_after < CONTROL_REQUESTS:
        found.append("no service after")
    return found


def result_line(name: str, played: LoadResult, found: Sequence[str]) -> str:
    return (
        f"{name[:60]:60} idle {played.idle_mb:5.1f} peak {played.peak_mb:6.1f}"
        f" after {played.settled_mb:6.1f} MB"
        f"  served {played.served_during:2} {played.served_after:2}  {', '.join(found) or 'held'}"
    )


def check_bounds(name: str, loads: Sequence[Load], seconds: float, settles_s: float) -> bool:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        played = runner.run(run_loads(*loads, seconds=seconds, settle_s=settles_s))
    found = exceeded_bounds(loads, played)
    print(result_line(name, played, found), flush=True)
    return not found


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("--seconds", type=float, default=6.0)
    given.add_argument("--settles", type=float, default=SETTLE_S)
    given.add_argument("--only", default="")
    given.add_argument("--mixes", type=int, default=5)
    given.add_argument("--seed", type=int, default=1)
    options = given.parse_args()
    rng = random.Random(options.seed)
    chosen = [each for each in LOADS.values() if options.only in each.name]
    passed = [check_bounds(each.name, [each], options.seconds, options.settles) for each in chosen]
    for number in range(options.mixes if not options.only else 0):
        loads = rng.sample(list(LOADS.values()), LOADS_PER_MIX)
        print("; ".join(each.name for each in loads))
        passed.append(check_bounds(f"mix {options.seed}.{number}", loads, options.seconds, options.settles))
    print(f"{sum(passed)} of {len(passed)} held")
    sys.exit(not all(passed))


if __name__ == "__main__":
    main()
