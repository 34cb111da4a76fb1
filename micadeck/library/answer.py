"""The one final answer to a request, as a host gets it.  No input or output."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from micadeck.engine import FailureCause
from micadeck.http import error_responses
from micadeck.http.h1 import Headers, Response


@unique
class Kind(Enum):
    """What an answer promises."""

    SERVED = "served"  # a server's own answer, whole and in time
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # nothing is promised


class UnservedError(Exception):
    """A request was not served; raised only where a caller asks for that."""

    def __init__(self, answer: Answer) -> None:
        super().__init__(f"{answer.kind.value}: {answer.reason}")
        self.answer = answer


class RefusedError(UnservedError):
    """Trying again is harmless."""


class FailedError(UnservedError):
    """Nothing is promised; `answer.may_have_run` tells more."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer.  `status`, `headers` and `body` are what the daemon would write for it."""

    kind: Kind
    status: int
    headers: Headers
    body: bytes
    reason: str  # in a few words; empty for a served one
    retry_after_s: float | None = None  # when to come back, where that was advised
    may_have_run: bool = False  # whether a server can have begun the request

    def raise_unless_served(self) -> None:
        """Raise RefusedError or FailedError, with this answer, unless it was served."""
        if self.kind is Kind.REFUSED:
            raise RefusedError(self)
        if self.kind is Kind.FAILED:
            raise FailedError(self)


_REASONS = {
    FailureCause.SERVERS: "no server gave an answer that can be used",
    FailureCause.TIME: "no answer came in time",
    FailureCause.DEFECT: "the balancer went wrong",
}


def served(response: Response) -> Answer:
    return Answer(Kind.SERVED, *error_responses.served(response), "", may_have_run=True)


def refused(retry_after_us: int, reason: str = "no room for it now") -> Answer:
    advice = retry_after_us / 1e6 if retry_after_us > 0 else None
    return Answer(Kind.REFUSED, *error_responses.refused(retry_after_us), reason, retry_after_s=advice)


def failed(cause: FailureCause, may_have_run: bool, reason: str = "") -> Answer:
    worded = error_responses.failed(cause)
    return Answer(Kind.FAILED, *worded, reason or _REASONS[cause], may_have_run=may_have_run)


def rejected(status: int, text: str, *, with_body: bool = True) -> Answer:
    """For what is not a request of the protocol; no server saw it."""
    return Answer(Kind.FAILED, status, [], f"{text}\n".encode() if with_body else b"", text)


def in_time(answer: Answer, is_late: bool) -> Answer:
    """The answer as it holds on delivery: what was served, but is taken up after its time, has failed.

    A refusal stays one: that the request never ran does not change with time.
    """
    if is_late and answer.kind is Kind.SERVED:
        return failed(
            FailureCause.TIME, may_have_run=True, reason="it was served, but taken up after its time"
        )
    return answer
