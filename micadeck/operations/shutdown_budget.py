"""The time from SIGTERM to SIGKILL, and what of it is kept for hold-ups and for the last answers.

SIGKILL comes no sooner than the longest deadline (counted as 3 s at most) and 0.7 s after SIGTERM.  A process
may be held up for 0.15 s at any moment, also when its last answers are due.
"""

from __future__ import annotations

from collections.abc import Iterable

KILLED_AFTER_S = 0.7  # and the longest deadline
LONGEST_DEADLINE_S = 3.0  # as far as that is counted
HOLD_UP_S = 0.15  # the process stands still, whatever it was about to do
FLUSH_S = 0.06  # for clients to take their last answers and end their side
WORK_S = 0.04  # writing the last answers, with a loop that is late by a few milliseconds
SPARE_S = HOLD_UP_S + FLUSH_S + WORK_S  # of the time up to SIGKILL, in which nothing is waited for


def answered_by(asked_at: float, deadlines_s: Iterable[float]) -> float:
    """When all that is open has to be answered by the sidecar itself, if its end was asked for then."""
    longest_s = min(max(deadlines_s), LONGEST_DEADLINE_S)
    return asked_at + longest_s + KILLED_AFTER_S - SPARE_S
