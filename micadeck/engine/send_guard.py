"""The one place that decides whether an attempt may be written now, and that counts broken invariants.

Everything here is a function of one snapshot and one reading of the clock, taken in the step that then acts.
What is done after an await asks again.  No input or output but the log that it is given.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum, unique

LATE_US = 500_000  # an answer that comes so long after its request's time counts as lost


@unique
class SendDenial(Enum):
    """Why an attempt is not written."""

    CALLED_OFF = "called off"  # its request is over, its client left, or it was given up
    SERVER_LEAVING = "server leaving"  # it drains, is gone, or is another process by now
    TIME_OVER = "time over"  # of the attempt
    REPEAT_TOO_LATE = "repeat too late"  # servers may have forgotten the first attempt
    CONNECTION_ENDED = "connection ended"  # or brought what nobody asked for


@unique
class InvariantViolation(Enum):
    """What must never happen; each is counted and logged."""

    TWO_ATTEMPTS = "two attempts at once"
    ANSWERED_LATE = "answered over 0.5 s after its time"
    CLOSED_UNANSWERED = "closed with a request unanswered"


def send_denial(
    now: int,
    *,
    deadline_us: int,
    write_deadline_us: int | None,
    is_called_off: bool,
    is_server_leaving: bool,
    is_connection_usable: bool,
) -> SendDenial | None:
    """Why an attempt may not be written at this time; None if it may.  Times are microseconds."""
    if is_called_off:
        return SendDenial.CALLED_OFF
    if is_server_leaving:
        return SendDenial.SERVER_LEAVING
    if write_deadline_us is not None and now >= write_deadline_us:
        return SendDenial.REPEAT_TOO_LATE
    if now >= deadline_us:
        return SendDenial.TIME_OVER
    if not is_connection_usable:
        return SendDenial.CONNECTION_ENDED
    return None


class InvariantLog:
    """Counts broken invariants, and logs each with the request that it befell."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self._log = log
        self.counts: Counter[InvariantViolation] = Counter()

    def broken(self, violation: InvariantViolation, ident: bytes, detail: str = "") -> None:
        """Take note of one; it changes nothing else."""
        self.counts[violation] += 1
        self._log(
            f"invariant violated: {violation.value}: request {ident.decode('latin-1')} {detail}".rstrip()
        )
