"""Outcome counters: how requests ended, by service class.  No I/O."""

from __future__ import annotations


class OutcomeCounts:
    """Number of ended requests of one class, by outcome."""

    __slots__ = ("failed", "refused", "served")

    def __init__(self) -> None:
        """Start at zero."""
        self.served = 0
        self.refused = 0
        self.failed = 0


class OutcomeCounters(dict[str, OutcomeCounts]):
    """Outcome counts by class since the start of the process; a class is added on first use.

    Requests whose client disconnected are not counted.
    """

    def __missing__(self, name: str) -> OutcomeCounts:
        """Add a class on its first use."""
        counts = self[name] = OutcomeCounts()
        return counts
