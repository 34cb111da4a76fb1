"""The report of figures, in statsd's form.  No input or output."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from micadeck.engine import OutcomeCounters

_PREFIX = "edge_balancer"
_NOT_OF_A_NAME = re.compile(r"[^A-Za-z0-9_-]")  # dots part a name, colons and bars end it


@dataclass(frozen=True, slots=True)
class RuntimeStatistics:
    """What is read off the state itself at the time of the report."""

    in_progress: int  # requests taken and not ended
    known_servers: int  # on the list
    skipped_servers: int  # of these, those that are avoided
    tries: int  # attempts written whole
    loads: int  # configurations taken at SIGHUP
    load_errors: int  # and turned down
    resident_bytes: int  # anonymous memory of the process
    resident_most_bytes: int  # the most that was seen
    memory_stage: int  # 0 where there is enough; docs/on-call.md
    memory_shed: int  # requests refused for memory
    booked_bytes: Mapping[str, int]  # what is kept of what others send, by kind
    loop_lag_ms: int  # how late the event loop came round last
    descriptors: int  # open in the process


def report(account: OutcomeCounters, classes: Iterable[str], counts: RuntimeStatistics) -> bytes:
    """Lines `name:figure|type`; a class that is in force or was asked for has all three of its own."""
    lines: list[str] = []
    for name in dict.fromkeys([*classes, *account]):
        ends = account[name]
        path = f"{_PREFIX}.handled.{_NOT_OF_A_NAME.sub('_', name)}"
        lines.append(f"{path}.passed:{ends.served}|c")
        lines.append(f"{path}.dropped:{ends.refused}|c")
        lines.append(f"{path}.bad_gateway:{ends.failed}|c")
    for name, figure, kind in (
        ("upstream_tries", counts.tries, "c"),
        ("in_progress", counts.in_progress, "g"),
        ("known_servers", counts.known_servers, "g"),
        ("skipped_servers", counts.skipped_servers, "g"),
        ("loads", counts.loads, "c"),
        ("load_errors", counts.load_errors, "c"),
        ("memory_resident", counts.resident_bytes, "g"),
        ("memory_resident_most", counts.resident_most_bytes, "g"),
        ("memory_stage", counts.memory_stage, "g"),
        ("memory_shed", counts.memory_shed, "c"),
        *((f"memory_booked.{kind}", booked, "g") for kind, booked in counts.booked_bytes.items()),
        ("loop_lag_ms", counts.loop_lag_ms, "g"),
        ("descriptors", counts.descriptors, "g"),
    ):
        lines.append(f"{_PREFIX}.{name}:{figure}|{kind}")
    return "".join(f"{each}\n" for each in lines).encode()
