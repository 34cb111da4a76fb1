"""The daemon's CPU time per request, this tree against another checkout in one run.

    python benchmarks/daemon_cpu.py DIRECTORY [--rounds 201] [--requests 500] [--records]

DIRECTORY holds another revision (`git worktree add DIRECTORY REVISION`); both run on the same interpreter and
alternate on one core: on separate cores, a tree against itself gave 1.03.  With --records this tree's daemon
writes records, and their size is printed.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

import rig
import uvloop


def cost_us(port: int, pid: int, requests: int) -> float:
    """CPU microseconds per request of one load."""
    before = rig.cpu_s(pid)
    load = rig.Load(16, requests)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:

        async def run_load() -> None:
            await load.run(port)

        runner.run(run_load())
    if load.not_served or load.broken:
        raise RuntimeError(f"{load.not_served} not served, {load.broken} connections broken")
    return (rig.cpu_s(pid) - before) * 1e6 / requests


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("directory", type=Path)
    given.add_argument("--rounds", type=int, default=201)
    given.add_argument("--requests", type=int, default=500)
    given.add_argument("--records", action="store_true")
    options = given.parse_args()
    cores = rig.spare_cores()
    if len(cores) < 3:
        raise SystemExit("three cores are needed: for load, servers and the daemons")
    rig.pin({cores[0]})
    with (
        tempfile.TemporaryDirectory() as folder,
        rig.servers(cores[1], 4) as addresses,
        rig.daemon(cores[2], addresses, records=folder if options.records else "") as (port, pid),
        rig.daemon(cores[2], addresses, options.directory.resolve()) as (other_port, other_pid),
    ):
        costs: tuple[list[float], list[float]] = ([], [])

        def measure_this() -> float:
            costs[0].append(cost_us(port, pid, options.requests))
            return costs[0][-1]

        def measure_other() -> float:
            costs[1].append(cost_us(other_port, other_pid, options.requests))
            return costs[1][-1]

        ratios = rig.paired_ratios(measure_this, measure_other, options.rounds)
        written = sum(each.stat().st_size for each in Path(folder).iterdir())
    print(f"this tree  {rig.median(costs[0]):7.1f} us of CPU a request (median)")
    print(f"the other  {rig.median(costs[1]):7.1f} us")
    spread = f"{min(ratios):.3f} to {max(ratios):.3f}, {len(ratios)} pairs"
    print(f"ratio      {rig.median(ratios):7.3f} ({spread})")
    if options.records:
        bytes_per_request = written / (options.rounds + 1) / options.requests
        print(f"records    {bytes_per_request * 1000:7.0f} bytes a thousand requests")


if __name__ == "__main__":
    main()
