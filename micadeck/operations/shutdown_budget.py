"""The division of the time between SIGTERM and SIGKILL.

SIGKILL follows SIGTERM after the longest request deadline (counted up to `MAX_COUNTED_DEADLINE_S`) and
`KILL_GRACE_S`.  The last `RESERVED_S` of that time are a reserve: no wait extends into them.
"""

from __future__ import annotations

from collections.abc import Iterable

KILL_GRACE_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
STALL_S = 0.15  # the process may be descheduled for this long at any time, also during the last writes
CLIENT_FLUSH_S = 0.06  # for clients to read their last answers and close their side
FINAL_WRITES_S = 0.04  # writing the last answers on an event loop that is some milliseconds late
RESERVED_S = STALL_S + CLIENT_FLUSH_S + FINAL_WRITES_S


def answer_deadline(stop_requested_at: float, deadlines_s: Iterable[float]) -> float:
    """Return when every open request has to be answered by the sidecar itself.

    Args:
        stop_requested_at: When the stop was requested, in seconds on the caller's clock.
        deadlines_s: The deadlines of all request classes, in seconds; at least one.
    """
    longest_s = min(max(deadlines_s), MAX_COUNTED_DEADLINE_S)
    return stop_requested_at + longest_s + KILL_GRACE_S - RESERVED_S
