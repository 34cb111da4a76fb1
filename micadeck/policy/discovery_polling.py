"""Discovery polling: when to subscribe to the server list again."""

from __future__ import annotations

from typing import Final

from micadeck.policy.actions import WatchEndpoints
from micadeck.policy.context import DecisionContext
from micadeck.policy.settings import NOTIFICATION_DEADLINE_US, DiscoveryMode
from micadeck.policy.timers import DISCOVERY_POLL, NO_ATTEMPT, TimerQueue

FIRST_BACKOFF_FRACTION: Final = 0.02  # of the longest permitted poll interval
MAX_BACKOFF_FRACTION: Final = 0.25  # of that interval, so that three failures in a row fit into it
MAX_BACKOFF_NOTIFICATION_FRACTION: Final = 1 / 6  # of the deadline for notifications
MAX_BACKOFF_DOUBLINGS: Final = 8


class DiscoveryPoller:
    """Decides when to poll discovery, from its failures and the longest permitted interval.

    Owns the time of the next poll and the count of failures in a row.  Guards rule 3: the list in use is
    never older than permitted.
    """

    def __init__(self, context: DecisionContext, timers: TimerQueue) -> None:
        """Start without a poll planned."""
        self._context = context
        self._timers = timers
        self._failures = 0  # in a row
        self._next_poll: int | None = None  # None while the list is watched

    def poll(self) -> None:
        """Subscribe, unless discovery pushes; plan a poll in case no answer comes."""
        if self._context.settings.discovery is DiscoveryMode.ON_REQUEST:
            self._context.actions.append(WatchEndpoints(True))
            self._poll_after(MAX_BACKOFF_FRACTION * self._context.settings.rules.max_poll_interval_us)

    def poll_if_due(self) -> None:
        """Poll if the planned time has come."""
        if self._next_poll is not None and self._next_poll <= self._context.now:
            self.poll()

    def is_planned_at(self, due: int) -> bool:
        """Return whether the next poll is the one planned for this time."""
        return due == self._next_poll

    def succeeded(self) -> None:
        """Reset the backoff: the list was received and is being watched."""
        self._failures = 0
        self._next_poll = None

    def failed(self) -> None:
        """Plan the next poll after a failure, by exponential backoff with jitter.

        The longest wait bounds the delay of the next list after an outage ends.
        """
        interval = self._context.settings.rules.max_poll_interval_us
        longest = min(
            MAX_BACKOFF_FRACTION * interval, MAX_BACKOFF_NOTIFICATION_FRACTION * NOTIFICATION_DEADLINE_US
        )
        wait = min(FIRST_BACKOFF_FRACTION * interval * 2**self._failures, longest)
        self._failures = min(self._failures + 1, MAX_BACKOFF_DOUBLINGS)
        self._poll_after(wait * (0.5 + 0.5 * self._context.random.random()))

    def _poll_after(self, wait_us: float) -> None:
        """Plan the next poll, at least one tick from now to prevent a busy loop."""
        self._next_poll = self._context.now + max(int(wait_us), self._context.settings.tick_us)
        self._timers.schedule(self._next_poll, DISCOVERY_POLL, NO_ATTEMPT)
