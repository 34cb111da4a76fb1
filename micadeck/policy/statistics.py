"""A snapshot of a balancer's state, for operators."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BalancerStatistics:
    """How a balancer stands, for those who look on."""

    load: int  # own requests in flight that count
    window: float  # how many the fleet bears in time; infinite until a limit was needed
    spent: float  # the part of its aim that the typical answer takes
    late: float  # part of the answers that come after their aim
    cores: float | None  # how busy servers report their cores; None: not at all
    ejected: int
