"""The statistics report, in statsd's line format.  No I/O."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from micadeck.engine import OutcomeCounters

_PREFIX = "edge_balancer"
# Dots separate the parts of a metric's name; colons and bars end it.
_UNSAFE_IN_METRIC_NAME = re.compile(r"[^A-Za-z0-9_-]")
_COUNTER = "c"
_GAUGE = "g"


@dataclass(frozen=True, slots=True)
class RuntimeStatistics:
    """The statistics that are read from the running state at the time of the report."""

    in_progress: int  # requests accepted and not finished
    known_servers: int
    skipped_servers: int  # known servers that get only probation attempts
    attempts: int  # attempts that were written completely
    config_loads: int  # configurations accepted at SIGHUP
    config_load_errors: int  # configurations rejected at SIGHUP
    resident_bytes: int  # anonymous memory of the process
    peak_resident_bytes: int
    memory_pressure: int  # the pressure level, 0 without a shortage; see docs/on-call.md
    memory_shed: int  # requests rejected for lack of memory
    buffered_bytes: Mapping[str, int]  # charged memory, by use
    loop_lag_ms: int  # how late the event loop was at the last measurement
    descriptors: int  # open in the process


def format_report(counters: OutcomeCounters, classes: Iterable[str], statistics: RuntimeStatistics) -> bytes:
    """Return lines `name:value|type`.

    Args:
        counters: The outcomes of requests, by class.
        classes: The classes in force; each is listed, also without requests.
        statistics: The statistics of the running process.
    """
    lines: list[str] = []
    for name in dict.fromkeys([*classes, *counters]):
        outcomes = counters[name]
        prefix = f"handled.{_UNSAFE_IN_METRIC_NAME.sub('_', name)}"
        lines.append(_format_metric(f"{prefix}.passed", outcomes.served, _COUNTER))
        lines.append(_format_metric(f"{prefix}.dropped", outcomes.refused, _COUNTER))
        lines.append(_format_metric(f"{prefix}.bad_gateway", outcomes.failed, _COUNTER))
    for name, value, kind in (
        ("upstream_tries", statistics.attempts, _COUNTER),
        ("in_progress", statistics.in_progress, _GAUGE),
        ("known_servers", statistics.known_servers, _GAUGE),
        ("skipped_servers", statistics.skipped_servers, _GAUGE),
        ("loads", statistics.config_loads, _COUNTER),
        ("load_errors", statistics.config_load_errors, _COUNTER),
        ("memory_resident", statistics.resident_bytes, _GAUGE),
        ("memory_resident_most", statistics.peak_resident_bytes, _GAUGE),
        ("memory_stage", statistics.memory_pressure, _GAUGE),
        ("memory_shed", statistics.memory_shed, _COUNTER),
        *((f"memory_booked.{use}", size, _GAUGE) for use, size in statistics.buffered_bytes.items()),
        ("loop_lag_ms", statistics.loop_lag_ms, _GAUGE),
        ("descriptors", statistics.descriptors, _GAUGE),
    ):
        lines.append(_format_metric(name, value, kind))
    return "".join(lines).encode()


def _format_metric(name: str, value: int, kind: str) -> str:
    return f"{_PREFIX}.{name}:{value}|{kind}\n"
