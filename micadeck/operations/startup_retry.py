"""Which startup failures are retried and for how long, and which are permanent.  No I/O.

Resources that the machine lacks for a moment (descriptors, buffers, memory) become available again, and an
address in use may belong to a process that is shutting down.  An address that this machine does not have
stays unavailable.
"""

from __future__ import annotations

import errno

from micadeck.errors import OperatorError
from micadeck.operations.shutdown_budget import KILL_GRACE_S, MAX_COUNTED_DEADLINE_S

MAX_WAIT_S = 30.0
# The previous process releases its address within its shutdown budget; 1.3 s are margin.
MAX_ADDRESS_IN_USE_WAIT_S = MAX_COUNTED_DEADLINE_S + KILL_GRACE_S + 1.3
_FIRST_DELAY_S = 0.02
_MAX_DELAY_S = 0.25
_PERMANENT_ERRNOS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EAFNOSUPPORT,
        errno.EPROTONOSUPPORT,
        errno.ENOENT,
        errno.ENOTDIR,
        errno.EISDIR,
        errno.ELOOP,
        errno.ENAMETOOLONG,
    )
)


class StartCancelledError(OperatorError):
    """The process was asked to stop while its startup was waiting; it had accepted nothing."""

    advice = "Start it again if the stop was not intended."

    def __init__(self) -> None:
        """Create the error."""
        super().__init__("The process was asked to stop before it had started.")


class StartupRetry:
    """Backoff schedule for one resource that startup needs.  Times are in seconds, on one clock."""

    def __init__(self, now: float) -> None:
        """Start the time limit for retries at `now`."""
        self._started_at = now
        self._delay_s = _FIRST_DELAY_S
        self.has_failed = False

    def next_delay_s(self, error: OSError, now: float) -> float | None:
        """Record a failure and return how long to wait before the next attempt, in seconds.

        Returns:
            None if the failure is permanent or the time for retries is spent.
        """
        self.has_failed = True
        max_wait_s = MAX_ADDRESS_IN_USE_WAIT_S if error.errno == errno.EADDRINUSE else MAX_WAIT_S
        if error.errno in _PERMANENT_ERRNOS or now - self._started_at >= max_wait_s:
            return None
        delay_s = self._delay_s
        self._delay_s = min(delay_s * 2.0, _MAX_DELAY_S)
        return delay_s
