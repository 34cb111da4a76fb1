"""Time and memory to read a large fleet's records and make the report.

    python benchmarks/incident_report.py [--sidecars 200] [--minutes 60] [--servers 200]

The records are synthetic: per sidecar a span a second over twenty servers, a list version every 30 s, and a
minute in which one zone's servers fail.
"""

from __future__ import annotations

import argparse
import random
import resource
import subprocess
import sys
import tempfile
import time
from array import array
from pathlib import Path

from micadeck.incidents.frames import MAGIC, Encoder
from micadeck.incidents.kinds import (
    ClassCount,
    Head,
    Kind,
    Listed,
    Record,
    ServerCount,
    Span,
    State,
    pack_times,
)
from micadeck.incidents.segments import SegmentName

S = 1_000_000
BEGIN = 1_700_000_000 * S


def write_records(folder: Path, number: int, minutes: int, servers: int) -> int:
    """Write a sidecar's records in ten-minute segments; return its number of requests."""
    rng = random.Random(number)
    offset, requests = int(rng.uniform(-3_600, 3_600) * S), 0
    targets = [f"s-{each}" for each in rng.sample(range(servers), min(20, servers))]
    encoder, start = Encoder(), f"{BEGIN + offset:016x}"
    for segment in range((minutes + 9) // 10):
        at = BEGIN + offset + segment * 600 * S
        kinds = [Kind("check", "safe", 750_000, 3 * S)]
        records: list[Record] = [Head(1, f"n{number}", start, segment, at, at, kinds, 500_000, 8 * S)]
        records += [
            State(at, f"s-{each}", "ready", "list", f"z{each % 3}", 1, segment == 0)
            for each in range(servers)
        ]
        for second in range(segment * 600, min((segment + 1) * 600, minutes * 60)):
            now = BEGIN + offset + second * S
            if second % 30 == 0:
                records.append(Listed(now + rng.randrange(400_000), second // 30 + 1, "changes", 1))
            is_bad = minutes * 30 <= second < minutes * 30 + 60
            rows = []
            for server in targets:
                failed = 1 if is_bad and int(server[2:]) % 3 == 0 else 0
                rows.append(ServerCount(server, 2, now, [2 - failed, failed]))
            bad = sum(sum(each.ended[1:]) for each in rows)
            times = pack_times(array("I", [rng.randrange(20_000, 90_000) for _ in range(40 - bad)]))
            counts = ClassCount("check", 40, 40 - bad, 0, 0, bad, 0, times)
            records.append(Span(now, now + S, now + S, 900, 3, None, 0.0, 0.5, [counts], rows, 0))
            requests += 40
        data = MAGIC + b"".join(encoder.frame(each) for each in records)
        (folder / str(SegmentName(start, segment, f"n{number}"))).write_bytes(data)
    return requests


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("--sidecars", type=int, default=200)
    given.add_argument("--minutes", type=int, default=60)
    given.add_argument("--servers", type=int, default=200)
    options = given.parse_args()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        requests = sum(
            write_records(folder, number, options.minutes, options.servers)
            for number in range(options.sidecars)
        )
        size = sum(each.stat().st_size for each in folder.iterdir())
        page = folder / "report.html"
        began = time.perf_counter()
        command = [sys.executable, "-m", "micadeck.incidents", "report", str(folder), "-o", str(page)]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        elapsed_s = time.perf_counter() - began
        peak = resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss / 1024
        found = "Incident 1" in page.read_text(encoding="utf-8")
        summary = f"{requests:,} requests, {size / requests * 1000:.0f} bytes a thousand"
        print(f"records  {size / 1e6:8.1f} MB, {summary}")
        print(f"report   {elapsed_s:8.1f} s, peak {peak:,.0f} MB")
        print(f"incident {'found' if found else 'not found'}")


if __name__ == "__main__":
    main()
