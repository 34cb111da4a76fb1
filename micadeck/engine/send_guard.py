"""Send guard: the only place that decides whether an attempt may be written; counts violated invariants.

A decision holds only until the next await: state and clock are read in the step that writes, and the decision
is repeated after an await.  No I/O except for the log.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum, unique
from typing import Protocol

ANSWER_SLACK_US = 500_000  # an answer this long after its deadline counts as lost


@unique
class SendDenial(Enum):
    """Why an attempt is not written."""

    CANCELLED = "cancelled"  # the request is answered, its client left, or the attempt was cancelled
    SERVER_LEAVING = "server leaving"  # draining, removed or replaced by another process
    DEADLINE_PASSED = "deadline passed"  # the attempt's deadline
    RETRY_TOO_LATE = "retry too late"  # the deduplication window of the first attempt may have ended
    CONNECTION_ENDED = "connection ended"  # or it delivered unsolicited data
    BODY_SPENT = "body spent"  # another attempt has begun to send the body, which is not kept


@unique
class InvariantViolation(Enum):
    """Invariants whose violations are counted and logged."""

    TWO_ATTEMPTS = "two attempts at once"
    ANSWERED_LATE = "answered over 0.5 s after its deadline"
    CLOSED_UNANSWERED = "closed with a request unanswered"


class UnsentAttempt(Protocol):
    """An attempt that is about to be written.

    Attributes:
        deadline_us: When it times out.
        write_deadline_us: When it must be written in full; None: no limit.
        ended: Whether it is no longer needed.
    """

    deadline_us: int
    write_deadline_us: int | None
    ended: bool

    @property
    def is_body_spent(self) -> bool:
        """Whether a part of its body was passed on and is not kept."""


def send_denial(
    now: int, attempt: UnsentAttempt, *, is_server_leaving: bool, is_connection_usable: bool
) -> SendDenial | None:
    """Decide whether an attempt may be written.  All times are microseconds on the network's clock.

    Args:
        now: The time.
        attempt: The attempt.
        is_server_leaving: Whether its server gets no new requests.
        is_connection_usable: Whether its connection can be used.

    Returns:
        Why it may not be written now; None if it may.
    """
    if attempt.ended:
        return SendDenial.CANCELLED
    if attempt.is_body_spent:
        return SendDenial.BODY_SPENT
    if is_server_leaving:
        return SendDenial.SERVER_LEAVING
    if attempt.write_deadline_us is not None and now >= attempt.write_deadline_us:
        return SendDenial.RETRY_TOO_LATE
    if now >= attempt.deadline_us:
        return SendDenial.DEADLINE_PASSED
    if not is_connection_usable:
        return SendDenial.CONNECTION_ENDED
    return None


class InvariantLog:
    """Counts and logs violated invariants; owns the counts."""

    def __init__(self, log: Callable[[str], None]) -> None:
        """Start at zero; `log` takes one line at a time."""
        self._log = log
        self.counts: Counter[InvariantViolation] = Counter()

    def record(self, violation: InvariantViolation, request_id: bytes, detail: str = "") -> None:
        """Count and log a violation, without any other effect."""
        self.counts[violation] += 1
        self._log(
            f"invariant violated: {violation.value}: request {request_id.decode('latin-1')} {detail}".rstrip()
        )
