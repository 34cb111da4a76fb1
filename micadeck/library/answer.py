"""The final answer to a request, as a host receives it.  Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from micadeck.engine import FailureCause
from micadeck.http import error_responses
from micadeck.http.messages import Headers, Response


@unique
class Kind(Enum):
    """What an answer guarantees."""

    SERVED = "served"  # a server's complete response, before the deadline
    REFUSED = "refused"  # the request did not run: a retry is safe
    FAILED = "failed"  # no guarantee


class UnservedError(Exception):
    """A request was not served; raised only for callers that opt in.

    Attributes:
        answer: The final answer.
    """

    def __init__(self, answer: Answer) -> None:
        """Wrap an answer."""
        super().__init__(f"{answer.kind.value}: {answer.reason}")
        self.answer = answer


class RefusedError(UnservedError):
    """The request did not run: a retry is safe."""


class FailedError(UnservedError):
    """No guarantee; `answer.may_have_run` is whether the request may have run."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A final answer; `status`, `headers` and `body` are those of the daemon's response.

    Attributes:
        kind: The guarantee.
        status: The HTTP status.
        headers: Names in lower case, with values.
        body: The complete body.
        reason: A short text; empty if served.
        retry_after_s: The advised delay of a retry, in seconds.
        may_have_run: Whether a server may have started the request.
    """

    kind: Kind
    status: int
    headers: Headers
    body: bytes
    reason: str
    retry_after_s: float | None = None
    may_have_run: bool = False

    def raise_unless_served(self) -> None:
        """Raise an error with this answer unless the request was served.

        Raises:
            RefusedError: If it was refused.
            FailedError: If it failed.
        """
        if self.kind is Kind.REFUSED:
            raise RefusedError(self)
        if self.kind is Kind.FAILED:
            raise FailedError(self)


_REASONS = {
    FailureCause.SERVERS: "no server gave an answer that can be used",
    FailureCause.TIME: "no answer came in time",
    FailureCause.DEFECT: "the balancer went wrong",
}
_LATE_REASON = "it was served, but taken up after its time"


def served(response: Response) -> Answer:
    """Return the answer for a server's response."""
    return Answer(Kind.SERVED, *error_responses.served(response), "", may_have_run=True)


def refused(retry_after_us: int, reason: str = "no room for it now") -> Answer:
    """Return the answer for a request that was refused.

    Args:
        retry_after_us: The delay of a retry, in microseconds; 0 for none.
        reason: A short text.
    """
    retry_after_s = retry_after_us / 1e6 if retry_after_us > 0 else None
    response = error_responses.refused(retry_after_us)
    return Answer(Kind.REFUSED, *response, reason, retry_after_s=retry_after_s)


def failed(cause: FailureCause, *, may_have_run: bool, reason: str = "") -> Answer:
    """Return the answer for a request that failed.

    Args:
        cause: Determines the status, and the reason unless one is given.
        may_have_run: Whether a server may have started the request.
        reason: A short text.
    """
    response = error_responses.failed(cause)
    return Answer(Kind.FAILED, *response, reason or _REASONS[cause], may_have_run=may_have_run)


def rejected(status: int, text: str, *, with_body: bool = True) -> Answer:
    """Return the answer for an invalid request, which no server received.

    Args:
        status: The HTTP status.
        text: The reason, and the text of the body.
        with_body: Whether the answer has a body.
    """
    body = f"{text}\n".encode() if with_body else b""
    return Answer(Kind.FAILED, status, [], body, text)


def on_delivery(answer: Answer, *, is_late: bool) -> Answer:
    """Return the answer to pass to the caller.

    A served answer received after the deadline becomes a failure.  A refusal stays one: the request did not
    run, however late that is received.
    """
    if is_late and answer.kind is Kind.SERVED:
        return failed(FailureCause.TIME, may_have_run=True, reason=_LATE_REASON)
    return answer
