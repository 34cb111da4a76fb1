"""A snapshot of a balancer's state, for operators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancerStatistics:
    """The state of a balancer at one moment."""

    load: int  # own requests in flight that count against the limit
    concurrency_limit: float  # infinite until first limited
    objective_fraction: float  # part of its latency objective that the typical response takes
    late_fraction: float  # part of the responses that miss their objective
    core_utilization: float | None  # reported by servers, averaged; None: not reported
    ejected: int
