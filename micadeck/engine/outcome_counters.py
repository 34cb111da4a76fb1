"""Outcome counters: how requests ended, by service class.  No I/O."""

from __future__ import annotations


class OutcomeCounts:
    """The ended requests of one class, each under exactly one of these."""

    __slots__ = ("failed", "refused", "served")

    def __init__(self) -> None:
        """Start at zero."""
        self.served = 0
        self.refused = 0
        self.failed = 0


class OutcomeCounters(dict[str, OutcomeCounts]):
    """Outcome counts by class since the start of the process; a class appears when it is first named.

    Requests whose client disconnected are counted nowhere.
    """

    def __missing__(self, name: str) -> OutcomeCounts:
        """Add a class that is named for the first time."""
        counts = self[name] = OutcomeCounts()
        return counts
