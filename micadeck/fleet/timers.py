"""Timers of one member, and the time of its current step."""

from __future__ import annotations

import heapq
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProbeIntervalTimer:
    """A probe interval ends and the next one starts."""


@dataclass(frozen=True, slots=True)
class ProbeTimeoutTimer:
    """A direct probe was not answered in time."""

    sequence: int


@dataclass(frozen=True, slots=True)
class IndirectProbeTimeoutTimer:
    """A probe on behalf of another member was not answered in time."""

    sequence: int


@dataclass(frozen=True, slots=True)
class SuspicionTimer:
    """A suspicion may have timed out."""

    name: str
    start_us: int
    incarnation: int


Timer = ProbeIntervalTimer | ProbeTimeoutTimer | IndirectProbeTimeoutTimer | SuspicionTimer


class TimerQueue:
    """Owns the timers and the current time, both in microseconds of a monotonic clock."""

    def __init__(self, now: int) -> None:
        """Create an empty queue."""
        self.now = now
        self._heap: list[tuple[int, int, Timer]] = []
        self._order = 0  # timers with the same due time fire in the order of scheduling

    @property
    def next_due(self) -> int:
        """When the first timer fires; there is always one."""
        return self._heap[0][0]

    def advance(self, now: int) -> None:
        """Move the clock forward."""
        self.now = max(now, self.now)

    def schedule(self, delay_us: int, timer: Timer) -> None:
        """Fire a timer after a delay from the current time."""
        self._order += 1
        heapq.heappush(self._heap, (self.now + delay_us, self._order, timer))

    def pop_due(self, now: int) -> Timer | None:
        """Remove and return the first timer that is due at a time, if any."""
        if not self._heap or self._heap[0][0] > now:
            return None
        return heapq.heappop(self._heap)[2]

    def pending(self) -> list[tuple[int, Timer]]:
        """Return the timers with the times at which they fire, in no particular order."""
        return [(due, timer) for due, _, timer in self._heap]

    def remove_all_but_probe_interval(self) -> list[SuspicionTimer]:
        """Keep the probe interval's timer only; return the suspicions' timers among the others."""
        suspicions = [timer for _, _, timer in self._heap if isinstance(timer, SuspicionTimer)]
        self._heap = [entry for entry in self._heap if isinstance(entry[2], ProbeIntervalTimer)]
        heapq.heapify(self._heap)
        return suspicions
