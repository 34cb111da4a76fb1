"""Send guard: the one place that decides whether an attempt may be written now; counts broken invariants.

Everything here is a function of one snapshot and one reading of the clock, taken in the step that then acts.
After an await, the decision is made anew.  No I/O but the log that it is given.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum, unique
from typing import Protocol

ANSWER_SLACK_US = 500_000  # an answer that is later than this counts as lost


@unique
class SendDenial(Enum):
    """Why an attempt is not written."""

    CANCELLED = "called off"  # its request is over, its client left, or it was cancelled
    SERVER_LEAVING = "server leaving"  # it drains, has left, or is another process by now
    TIME_OVER = "time over"  # of the attempt
    REPEAT_TOO_LATE = "repeat too late"  # servers may have forgotten the first attempt
    CONNECTION_ENDED = "connection ended"  # or brought data that was not requested


@unique
class InvariantViolation(Enum):
    """What must never happen; each is counted and logged."""

    TWO_ATTEMPTS = "two attempts at once"
    ANSWERED_LATE = "answered over 0.5 s after its time"
    CLOSED_UNANSWERED = "closed with a request unanswered"


class UnsentAttempt(Protocol):
    """An attempt that is about to be written.

    Attributes:
        deadline_us: When it is given up.
        write_deadline_us: When it must be written in full; None: at any time.
        ended: Whether nobody waits for it any more.
    """

    deadline_us: int
    write_deadline_us: int | None
    ended: bool


def send_denial(
    now: int, attempt: UnsentAttempt, *, is_server_leaving: bool, is_connection_usable: bool
) -> SendDenial | None:
    """Decide whether an attempt may be written.  All times are microseconds on the network's clock.

    Args:
        now: The time.
        attempt: The attempt.
        is_server_leaving: Whether its server takes no new requests.
        is_connection_usable: Whether its connection can carry it.

    Returns:
        Why it may not be written now; None if it may.
    """
    if attempt.ended:
        return SendDenial.CANCELLED
    if is_server_leaving:
        return SendDenial.SERVER_LEAVING
    if attempt.write_deadline_us is not None and now >= attempt.write_deadline_us:
        return SendDenial.REPEAT_TOO_LATE
    if now >= attempt.deadline_us:
        return SendDenial.TIME_OVER
    if not is_connection_usable:
        return SendDenial.CONNECTION_ENDED
    return None


class InvariantLog:
    """Counts broken invariants, and logs each with its request; owns the counts."""

    def __init__(self, log: Callable[[str], None]) -> None:
        """Start at zero; `log` takes one line at a time."""
        self._log = log
        self.counts: Counter[InvariantViolation] = Counter()

    def record(self, violation: InvariantViolation, request_id: bytes, detail: str = "") -> None:
        """Count and log a violation; it changes nothing else."""
        self.counts[violation] += 1
        self._log(
            f"invariant violated: {violation.value}: request {request_id.decode('latin-1')} {detail}".rstrip()
        )
