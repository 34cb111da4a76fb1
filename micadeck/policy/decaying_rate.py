"""A rate over time, as an exponentially decaying count."""

from __future__ import annotations

import math


class DecayingRate:
    """A rate averaged with exponential decay; `span_us` is its time constant."""

    __slots__ = ("_count", "_updated_at", "span_us")

    def __init__(self, span_us: float) -> None:
        """Start from 0 with this time constant."""
        self.span_us = span_us
        self._count = 0.0
        self._updated_at = 0

    def set_span(self, span_us: float) -> None:
        """Change the time constant; the rate stays."""
        self._count *= span_us / self.span_us
        self.span_us = span_us

    def add(self, now: int, amount: float) -> None:
        """Count this amount at time `now`, in microseconds."""
        # The decay is repeated here and below: a call to a shared method would double the cost of `add`.
        if now > self._updated_at:
            self._count *= math.exp((self._updated_at - now) / self.span_us)
            self._updated_at = now
        self._count += amount

    def per_us(self, now: int) -> float:
        """Return the rate per microsecond at time `now`."""
        if now > self._updated_at:
            self._count *= math.exp((self._updated_at - now) / self.span_us)
            self._updated_at = now
        return self._count / self.span_us
