"""How requests ended, by class: the one account, kept where a request ends.  No input or output."""

from __future__ import annotations


class OutcomeCounts:
    """One class's requests that ended, each under exactly one of these."""

    __slots__ = ("failed", "refused", "served")

    def __init__(self) -> None:
        self.served = 0
        self.refused = 0
        self.failed = 0


class OutcomeCounters(dict[str, OutcomeCounts]):
    """Ends by class; one that was not asked for is there with its first mention.

    What ended after its client had left stands nowhere; counts begin with the process.
    """

    def __missing__(self, name: str) -> OutcomeCounts:
        ends = self[name] = OutcomeCounts()
        return ends
