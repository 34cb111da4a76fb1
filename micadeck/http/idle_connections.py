"""Idle connection eviction: time and count limits for clients' idle connections.  No I/O.

An idle connection is useful while its client reuses it, and otherwise takes the slot of a new one.  A
connection that served a second request stays open while there is capacity.  Those that served a single
request share a part of the capacity that follows how many of them are reused.  Early eviction would hide
whether they are, so a sample of them is never evicted, and only the sample is counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

# The part of the capacity for connections with a single request, when none and when all of them are reused;
# the latter because clients may keep more connections than there is capacity for.
_MIN_SINGLE_USE_FRACTION = 0.25
_MAX_SINGLE_USE_FRACTION = 0.75
_MAX_SAMPLED_FRACTION = 0.125  # of the capacity
_SAMPLE_INTERVAL = 4  # one of so many connections with a single request is sampled
_SAMPLE_WEIGHT = 1 / 16  # of one sampled connection in the estimate
_FULL_TIMEOUT_UP_TO = 0.5  # of the capacity in use
_MIN_TIMEOUT_FRACTION = 0.2  # of the timeout, when the capacity is used up

C = TypeVar("C")


class IdleConnections(Generic[C]):
    """Owns the order of idle connections that served a single request, and the estimate of their reuse."""

    def __init__(self) -> None:
        """Start without connections."""
        self.reuse_rate = 0.0  # of the sampled connections; 0 until reuse is observed
        self._single_use: dict[C, bool] = {}  # longest idle first; whether it is sampled
        self._sampled = 0
        self._since_sampled = 0

    def add(self, connection: C, served: int, capacity: int) -> None:
        """Record that a connection became idle after so many requests."""
        if served != 1:
            return
        self._since_sampled += 1
        max_sampled = max(capacity * _MAX_SAMPLED_FRACTION, 1)
        is_sampled = self._since_sampled >= _SAMPLE_INTERVAL and self._sampled < max_sampled
        self._single_use[connection] = is_sampled
        if is_sampled:
            self._sampled += 1
            self._since_sampled = 0

    def mark_reused(self, connection: C) -> None:
        """Record that a request begins on an idle connection."""
        self._remove(connection, is_reused=True)

    def remove(self, connection: C) -> None:
        """Record that a connection was closed, by either side."""
        self._remove(connection, is_reused=False)

    def _remove(self, connection: C, *, is_reused: bool) -> None:
        if self._single_use.pop(connection, False):
            self._sampled -= 1
            self.reuse_rate += (float(is_reused) - self.reuse_rate) * _SAMPLE_WEIGHT

    def single_use_limit(self, capacity: int) -> int:
        """Return how many idle connections with a single request may stay open."""
        variable_fraction = _MAX_SINGLE_USE_FRACTION - _MIN_SINGLE_USE_FRACTION
        return int(capacity * (_MIN_SINGLE_USE_FRACTION + variable_fraction * self.reuse_rate))

    def excess(self, capacity: int) -> int:
        """Return how many connections with a single request are idle beyond their limit."""
        return max(len(self._single_use) - self.single_use_limit(capacity), 0)

    def eviction_candidates(self, capacity: int) -> Iterator[C]:
        """Yield the connections that may be evicted, the first one first; none while there is no excess."""
        if self.excess(capacity):
            yield from (each for each, is_sampled in self._single_use.items() if not is_sampled)


def idle_timeout_s(max_timeout_s: float, open_connections: int, capacity: int) -> float:
    """Return how long a connection may be idle, in seconds, while so much of the capacity is in use."""
    used = open_connections / capacity if capacity > 0 else 1.0
    if used <= _FULL_TIMEOUT_UP_TO:
        return max_timeout_s
    beyond = min((used - _FULL_TIMEOUT_UP_TO) / (1.0 - _FULL_TIMEOUT_UP_TO), 1.0)
    return max_timeout_s * (1.0 - beyond * (1.0 - _MIN_TIMEOUT_FRACTION))
