"""Which failures of a start are waited out, for how long, and which end it.  No input or output.

What the machine lacks for a moment (descriptors, buffers, memory) comes back; an address that another process
holds may be that of one that is ending.  An address that this machine does not have never comes.
"""

from __future__ import annotations

import errno

from micadeck.operations.shutdown_budget import KILLED_AFTER_S, LONGEST_DEADLINE_S

WAITED_FOR_S = 30.0
# A process of before holds its address no longer than that after it was told to end.
TAKEN_FOR_S = LONGEST_DEADLINE_S + KILLED_AFTER_S + 1.3
_FIRST_RETRY_S = 0.02
_LONGEST_RETRY_S = 0.25
_CANNOT_PASS = frozenset(
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


class StartCancelledError(Exception):
    """The process was told to end while its start waited: nothing was taken."""


class StartupRetry:
    """The wait for one thing that a start needs; times in seconds, on one clock."""

    def __init__(self, now: float) -> None:
        self._began = now
        self._retry_s = _FIRST_RETRY_S
        self.is_first = True  # whether nothing has failed yet

    def retry_in_s(self, fault: OSError, now: float) -> float | None:
        """How long to wait after this failure; None: it can't pass, or was waited for long enough."""
        self.is_first = False
        most_s = TAKEN_FOR_S if fault.errno == errno.EADDRINUSE else WAITED_FOR_S
        if fault.errno in _CANNOT_PASS or now - self._began >= most_s:
            return None
        retry_s = self._retry_s
        self._retry_s = min(retry_s * 2.0, _LONGEST_RETRY_S)
        return retry_s
