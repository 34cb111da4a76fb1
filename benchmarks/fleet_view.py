"""Time until members agree, and its cost: `python benchmarks/fleet_view.py [SIZE ...]`.

Members on a virtual clock with delays of 0.5 to 20 ms, no sockets; the results are in docs/design/fleet.md.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from fleet_stage import S, SimulatedFleet

RUNS = {8: 200, 50: 10, 200: 3}
CONVERGENCE_LIMIT_S = 120


def spread(waits_us: Sequence[int]) -> str:
    """The median, 99th percentile and maximum, in seconds."""
    ordered = [each / S for each in sorted(waits_us)]
    return f"{ordered[len(ordered) // 2]:5.2f} {ordered[int(len(ordered) * 0.99)]:5.2f} {ordered[-1]:5.2f}"


def _is_cut(side: set[str], source: str, target: str) -> bool:
    return (source in side) != (target in side)


def convergence_times(count: int, runs: int) -> None:
    """Print them after a crash, a rejoin, a leave, and a partition of 10 s."""
    waits: dict[str, list[int]] = {"crash": [], "join": [], "leave": [], "heal": []}
    for seed in range(runs):
        stage = SimulatedFleet(count, seed=seed)
        stage.until(stage.agree, CONVERGENCE_LIMIT_S * S)
        stage.run(2 * S)
        name = f"n{count // 2}"
        stage.kill(name)
        waits["crash"].append(stage.until(stage.agree, CONVERGENCE_LIMIT_S * S))
        stage.start(name, ["n0"])
        waits["join"].append(stage.until(stage.agree, CONVERGENCE_LIMIT_S * S))
        stage.leave(name)
        waits["leave"].append(stage.until(stage.agree, CONVERGENCE_LIMIT_S * S))
        side = set(list(stage.members)[: count // 2])
        stage.cut = partial(_is_cut, side)
        stage.run(10 * S)
        stage.cut = lambda source, target: False
        waits["heal"].append(stage.until(stage.agree, CONVERGENCE_LIMIT_S * S))
    for event, times_us in waits.items():
        print(f"{count:5} members, {event:5}: p50 p99 max {spread(times_us)} s ({runs} runs)")


def idle_cost(count: int, seconds: int) -> None:
    """Print a member's traffic once all agree."""
    stage = SimulatedFleet(count, seed=1)
    stage.until(stage.agree, CONVERGENCE_LIMIT_S * S)
    stage.run(120 * S if count <= 50 else 0)
    sent, size, began = sum(stage.sent.values()), stage.bytes, time.process_time()
    stage.run(seconds * S)
    member_s = count * seconds
    cpu = (time.process_time() - began) / member_s
    print(
        f"{count:5} members at rest: {(sum(stage.sent.values()) - sent) / member_s:.2f} datagrams and "
        f"{(stage.bytes - size) / member_s:.0f} bytes a second, {cpu * 1e6:.0f} us of CPU (with the stage)"
    )


def false_deaths(loss: float, seconds: int) -> None:
    stage = SimulatedFleet(8, seed=3, loss=loss)
    stage.run(seconds * S)
    deaths = {(name, at // (10 * S)) for at, _, name in stage.declared_dead()}
    print(f"    8 members, {loss:.0%} lost, {seconds} s: {len(deaths)} false deaths")


def main() -> None:
    sizes = [int(each) for each in sys.argv[1:]] or [8, 50]
    for count in sizes:
        convergence_times(count, RUNS.get(count, 1))
        idle_cost(count, 60 if count <= 50 else 5)
    false_deaths(0.1, 3600)
    false_deaths(0.3, 3600)


if __name__ == "__main__":
    main()
