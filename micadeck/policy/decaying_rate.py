"""A rate over time, by an exponentially decaying count.  It decides nothing."""

from __future__ import annotations

import math


class DecayingRate:
    """A rate over a sliding span of time: an exponentially decaying count."""

    __slots__ = ("_at", "_count", "span_us")

    def __init__(self, span_us: float) -> None:
        """Start from 0, to be averaged over this span."""
        self.span_us = span_us
        self._count = 0.0
        self._at = 0

    def over(self, span_us: float) -> None:
        """Average over another span from now on."""
        self._count *= span_us / self.span_us
        self.span_us = span_us

    def add(self, now: int, amount: float) -> None:
        """Count this amount at time `now`, in microseconds."""
        # The decay stands here and below: a call of its own would double the cost of the commonest one.
        if now > self._at:
            self._count *= math.exp((self._at - now) / self.span_us)
            self._at = now
        self._count += amount

    def per_us(self, now: int) -> float:
        """Return the rate per microsecond at time `now`."""
        if now > self._at:
            self._count *= math.exp((self._at - now) / self.span_us)
            self._at = now
        return self._count / self.span_us
