"""Timers: a queue of due times, and a single timer of the host for the earliest of them."""

from __future__ import annotations

import heapq
from typing import Final

from micadeck.policy.actions import SetTimer
from micadeck.policy.context import DecisionContext

TimerEntry = tuple[int, int, int, int]
"""Due time in microseconds, order of scheduling, request, attempt."""

NO_ATTEMPT: Final = -1  # in place of an attempt: the entry is for the whole request
DISCOVERY_POLL: Final = -1  # in place of a request, whose numbers are never negative
TIMER_TOKEN: Final = "agenda"


class TimerQueue:
    """Decides when the host's timer has to fire, from the due times that were scheduled.

    Owns the queue and the due time of the host's timer.  Entries are not removed when they become
    obsolete: the caller of `pop` checks that.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Start with no entry and no timer set."""
        self._context = context
        self.entries: list[TimerEntry] = []  # a heap
        self._sequence = 0
        self._host_timer_due: int | None = None

    def schedule(self, due: int, request: int, attempt: int) -> None:
        """Add an entry that falls due at this time."""
        self._sequence += 1
        heapq.heappush(self.entries, (due, self._sequence, request, attempt))

    def host_timer_fired(self) -> None:
        """Note that the host's timer fired, so that the next one can be set."""
        if self._host_timer_due is not None and self._context.now >= self._host_timer_due:
            self._host_timer_due = None

    def is_due(self) -> bool:
        """Return whether the earliest entry has fallen due."""
        return bool(self.entries) and self.entries[0][0] <= self._context.now

    def pop(self) -> TimerEntry:
        """Remove and return the earliest entry."""
        return heapq.heappop(self.entries)

    def arm(self) -> None:
        """Set the host's timer for the earliest entry, unless it fires by then."""
        if not self.entries:
            return
        due = self.entries[0][0]
        if self._host_timer_due is None or due < self._host_timer_due:
            self._host_timer_due = due
            self._context.actions.append(SetTimer(max(due - self._context.now, 0), TIMER_TOKEN))
