"""Timeouts of a discovery watch, and when to restart a watch whose list may be stale.  No input or output.

A silent watch looks like one without changes.  Two signs tell them apart: each call waits for a short time
only, so an answer, even an empty one, is due by then; and a refused connection to a listed endpoint
contradicts a list that no answer has confirmed since.  Only the first sign is used where one discovery
serves all sidecars: endpoints refuse all of them at the same moment, and restarted watches would queue
behind each other.

All values follow from `NOTIFICATION_DEADLINE_S`: a sidecar must act on a change that late at the latest.
While discovery is polled, the next call starts within `MAX_CALL_GAP_S` in each state:

    state                                        the next call starts within
    no call yet, or address changed by SIGHUP    0
    failed, in backoff                           MAX_RETRY_WAIT_S
    dialling an absent host                      DIAL_TIMEOUT_S + MAX_RETRY_WAIT_S
    first call open, silent                      _FIRST_HEDGE_AFTER_S
    watch established, silent                    its wait and _HEDGE_AFTER_S
    hedged calls open, all silent                _HEDGE_INTERVAL_S, or their end and MAX_RETRY_WAIT_S

`MAX_CALL_GAP_S`, one further call that is lost (`_HEDGE_INTERVAL_S`) and an answer of `RESPONSE_TIME_S` end
within `NOTIFICATION_DEADLINE_S`.  Where lists are pushed by a local agent, a new call starts within a part
of the drain grace period for as long as none was answered.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace

from micadeck.policy.discovery_polling import MAX_BACKOFF_NOTIFICATION_FRACTION
from micadeck.policy.settings import NOTIFICATION_DEADLINE_US

NOTIFICATION_DEADLINE_S = NOTIFICATION_DEADLINE_US / 1e6
MAX_RETRY_WAIT_S = (
    MAX_BACKOFF_NOTIFICATION_FRACTION * NOTIFICATION_DEADLINE_S
)  # the longest backoff after a failed call
DIAL_TIMEOUT_S = 1.0
MAX_CALL_GAP_S = 3.2
RESPONSE_TIME_S = 1.5
_CALL_TIMEOUT_S = 5.0  # of a call that does not block
_PUSHED_EXTRA_TIMEOUT_S = 2.0  # beyond the wait of a call to a local agent

_WAIT_FRACTION = 0.2  # of the poll interval: how long a call blocks
_MIN_WAIT_S, _MAX_WAIT_S = 0.5, 2.0
_MAX_PUSHED_WAIT_S = 1.0  # a local agent answers at no cost

_HEDGE_AFTER_S, _PUSHED_HEDGE_AFTER_S = 0.5, 0.3  # beyond the wait of a call
_FIRST_HEDGE_AFTER_S = MAX_CALL_GAP_S  # many watches may start at once and be queued by discovery
_HEDGE_INTERVAL_S = 1.2
_PUSHED_HEDGE_GRACE_FRACTION = 0.4  # of the drain grace period
_MIN_PUSHED_HEDGE_INTERVAL_S, _MAX_PUSHED_HEDGE_INTERVAL_S = 0.1, 0.25
_MAX_CONCURRENT_CALLS = 4

_RENEWAL_JITTER_FRACTION = 0.25  # of the wait: sidecars that are refused together must not call together
_MIN_RENEWAL_INTERVAL_FRACTION = 0.25  # of the wait; doubled after each renewal without a change
_MAX_BACKOFF_EXPONENT = 8


@dataclass(frozen=True, slots=True)
class ResponseTimeout:
    """Limits of one call and its hedges; times in seconds since the call started.

    Attributes:
        wait_ms: How long discovery may block while nothing changes.
        timeout_s: How long one call may take.
        hedge_after_s: When the first hedged call starts, on another connection.
        hedge_interval_s: The time between further hedged calls.
        give_up_s: When all calls are abandoned and the answer counts as failed.
        max_calls: The number of concurrent calls.
        replaces_newest: Whether a call beyond `max_calls` replaces the newest one, or is not made.
        may_queue: Whether discovery may queue the call, as it does those that start a watch.
    """

    wait_ms: int
    timeout_s: float
    hedge_after_s: float
    hedge_interval_s: float
    give_up_s: float
    max_calls: int
    replaces_newest: bool
    may_queue: bool = False

    def non_blocking(self) -> ResponseTimeout:
        """Return the limits of a call that does not block: the first of a watch, or a hedge."""
        if self.replaces_newest:
            return replace(self, wait_ms=0, timeout_s=_CALL_TIMEOUT_S, hedge_after_s=self.hedge_interval_s)
        return replace(
            self,
            wait_ms=0,
            hedge_after_s=_FIRST_HEDGE_AFTER_S,
            give_up_s=_give_up_after(_FIRST_HEDGE_AFTER_S),
            may_queue=True,
        )


def _give_up_after(hedge_after_s: float) -> float:
    return min(hedge_after_s + (_MAX_CONCURRENT_CALLS - 1) * _HEDGE_INTERVAL_S, NOTIFICATION_DEADLINE_S)


class WatchHealth:
    """Limits and staleness of one watch.  Times are microseconds of any one clock.

    Owns the time of the last confirmation and of the next renewal.

    Attributes:
        first_call: Limits of the call that starts a watch.
        second_call: Limits of the call after it, which may still be queued.
        blocking_call: Limits of every further call.
    """

    first_call: ResponseTimeout
    second_call: ResponseTimeout
    blocking_call: ResponseTimeout

    def __init__(
        self,
        max_poll_interval_us: int,
        rng: random.Random,
        *,
        is_pushed: bool = False,
        grace_us: int = 1_000_000,
    ) -> None:
        """Take the limits from the settings.

        Args:
            max_poll_interval_us: How long a sidecar may go without a call.
            rng: The source of jitter.
            is_pushed: Whether a local agent pushes the lists.
            grace_us: How long requests may be sent after the notification of a drain.
        """
        self._rng = rng
        self._is_pushed = is_pushed
        self.update_limits(max_poll_interval_us, grace_us)
        self._confirmed_at: int | None = None
        self._suspected_at: int | None = None  # set while a renewal is scheduled
        self._renewed_at: int | None = None
        self._unchanged_renewals = 0  # consecutive renewals that brought no change

    def update_limits(self, max_poll_interval_us: int, grace_us: int) -> None:
        """Apply other settings from the next call on; see `__init__`."""
        wait_s = min(max(_WAIT_FRACTION * max_poll_interval_us / 1e6, _MIN_WAIT_S), _MAX_WAIT_S)
        self.blocking_call = _pushed_call(wait_s, grace_us) if self._is_pushed else _polled_call(wait_s)
        self.first_call = self.blocking_call.non_blocking()
        self.second_call = self.blocking_call
        if not self._is_pushed:
            self.second_call = replace(self.first_call, wait_ms=self.blocking_call.wait_ms)

    def confirm(self, now: int, *, has_changes: bool) -> None:
        """Record an answer of the watch, which confirms the list as of now."""
        self._confirmed_at = now
        if has_changes:
            self._unchanged_renewals = 0

    def suspect(self, now: int) -> int | None:
        """Record evidence that the list is stale.

        Returns:
            When to check `take_due_renewal`; None if none was scheduled, as always where discovery is
            polled: all sidecars would drop their watches at once and queue again, and a silent watch is
            hedged soon anyway.
        """
        if self._suspected_at is not None or not self._is_pushed:
            return None
        self._suspected_at = now
        wait_us = self.blocking_call.wait_ms * 1_000
        due = now + int(_RENEWAL_JITTER_FRACTION * wait_us * self._rng.random())
        if self._renewed_at is not None:
            interval = min(_MIN_RENEWAL_INTERVAL_FRACTION * 2**self._unchanged_renewals, 1.0) * wait_us
            jitter = 1.0 + _RENEWAL_JITTER_FRACTION * self._rng.random()
            due = max(due, self._renewed_at + int(interval * jitter))
        return due

    def take_due_renewal(self, now: int) -> bool:
        """Clear the scheduled renewal; return whether no answer confirmed the list since."""
        suspected_at, self._suspected_at = self._suspected_at, None
        if suspected_at is None or (self._confirmed_at is not None and self._confirmed_at > suspected_at):
            return False
        self._renewed_at = now
        self._unchanged_renewals = min(self._unchanged_renewals + 1, _MAX_BACKOFF_EXPONENT)
        return True

    def reset(self) -> None:
        """Forget all evidence: the watch moves to another discovery."""
        self._confirmed_at = self._suspected_at = self._renewed_at = None
        self._unchanged_renewals = 0


def _polled_call(wait_s: float) -> ResponseTimeout:
    hedge_after_s = wait_s + _HEDGE_AFTER_S
    return ResponseTimeout(
        wait_ms=round(wait_s * 1e3),
        timeout_s=NOTIFICATION_DEADLINE_S,
        hedge_after_s=hedge_after_s,
        hedge_interval_s=_HEDGE_INTERVAL_S,
        give_up_s=_give_up_after(hedge_after_s),  # lost calls must not delay one that would be answered
        max_calls=_MAX_CONCURRENT_CALLS,
        replaces_newest=False,  # the oldest queued call is answered first; more would lengthen the queue
    )


def _pushed_call(wait_s: float, grace_us: int) -> ResponseTimeout:
    wait_s = min(wait_s, _MAX_PUSHED_WAIT_S)
    interval_s = _PUSHED_HEDGE_GRACE_FRACTION * grace_us / 1e6
    return ResponseTimeout(
        wait_ms=round(wait_s * 1e3),
        timeout_s=wait_s + _PUSHED_EXTRA_TIMEOUT_S,
        hedge_after_s=wait_s + _PUSHED_HEDGE_AFTER_S,
        hedge_interval_s=min(max(interval_s, _MIN_PUSHED_HEDGE_INTERVAL_S), _MAX_PUSHED_HEDGE_INTERVAL_S),
        give_up_s=math.inf,
        max_calls=_MAX_CONCURRENT_CALLS,
        replaces_newest=True,  # a silent agent must be reached soon after it recovers
    )
