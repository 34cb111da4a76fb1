"""Idle client connections: how many are kept, and for how long.  No I/O.

An idle connection is useful if its client reuses it; otherwise it occupies a slot that a new one could use.
A connection that sent a second request is kept as long as there is capacity.  Single-use ones (one request
so far) share a part of the capacity that grows with the observed reuse ratio.  Closing them early would hide
reuse, so a few are samples: they are not closed early, and only they are counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

_MIN_SHARE = 0.25  # of the capacity, for single-use connections when none is reused
_MAX_SHARE = 0.75  # the same when all are reused; below 1, as clients may hold fewer than the capacity
_SAMPLED_SHARE = 0.125  # maximum share of the capacity for samples
_SAMPLE_INTERVAL = 4  # every fourth single-use connection is a sample, up to that share
_WEIGHT = 1 / 16  # of one sample in the moving average
_FULL_TIMEOUT_MAX_USE = 0.5  # share of the capacity in use up to which the full timeout applies
_MIN_TIMEOUT_SHARE = 0.2  # of the full timeout, when the capacity is exhausted

C = TypeVar("C")


class IdleConnections(Generic[C]):
    """The single-use idle connections, and the share that is reused."""

    def __init__(self) -> None:
        self.reuse_ratio = 0.0  # moving average over the samples
        self._single_use: dict[C, bool] = {}  # longest idle first; the value is whether it is a sample
        self._samples = 0
        self._since_sample = 0

    def record_idle(self, connection: C, served: int, capacity: int) -> None:
        """Record that a connection became idle after `served` requests."""
        if served == 1:
            self._since_sample += 1
            is_sample = self._since_sample >= _SAMPLE_INTERVAL and self._samples < max(
                capacity * _SAMPLED_SHARE, 1
            )
            self._single_use[connection] = is_sample
            if is_sample:
                self._samples += 1
                self._since_sample = 0

    def record_reuse(self, connection: C) -> None:
        """Record that a request started on an idle connection."""
        self._remove(connection, was_reused=True)

    def record_closed(self, connection: C) -> None:
        """Record that a connection was closed by either side."""
        self._remove(connection, was_reused=False)

    def _remove(self, connection: C, was_reused: bool) -> None:
        if self._single_use.pop(connection, False):
            self._samples -= 1
            self.reuse_ratio += (float(was_reused) - self.reuse_ratio) * _WEIGHT

    def max_single_use(self, capacity: int) -> int:
        """Maximum number of single-use idle connections."""
        return int(capacity * (_MIN_SHARE + (_MAX_SHARE - _MIN_SHARE) * self.reuse_ratio))

    def closable(self, capacity: int) -> Iterator[C]:
        """Connections that may be closed, in this order; none without `excess`."""
        if self.excess(capacity):
            yield from (connection for connection, is_sample in self._single_use.items() if not is_sample)

    def excess(self, capacity: int) -> int:
        """How many single-use connections are idle above their maximum."""
        return max(len(self._single_use) - self.max_single_use(capacity), 0)


def idle_timeout_s(max_s: float, used: int, capacity: int) -> float:
    """Idle timeout in seconds, given how much of the capacity is in use."""
    full = used / capacity if capacity > 0 else 1.0
    if full <= _FULL_TIMEOUT_MAX_USE:
        return max_s
    beyond = min((full - _FULL_TIMEOUT_MAX_USE) / (1.0 - _FULL_TIMEOUT_MAX_USE), 1.0)
    return max_s * (1.0 - beyond * (1.0 - _MIN_TIMEOUT_SHARE))
