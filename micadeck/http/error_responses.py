"""The HTTP form of each final answer: status, headers, body.  No input or output."""

from __future__ import annotations

from micadeck.engine import FailureCause
from micadeck.http.h1 import Headers, Response

Worded = tuple[int, Headers, bytes]

_STATUS = {FailureCause.SERVERS: 502, FailureCause.TIME: 504, FailureCause.DEFECT: 500}
_PASSED_BACK = (b"content-type", b"content-encoding")  # what describes the body


def served(response: Response) -> Worded:
    """A server's response, passed back to the client."""
    return 200, streamed_headers(response), response.body


def streamed_headers(response: Response) -> Headers:
    """The headers of a response whose body is passed on while it is received."""
    return [each for each in response.headers if each[0] in _PASSED_BACK]


def refused(retry_after_us: int) -> Worded:
    """A request that was shed; it may be sent again, not before so long if that is above 0."""
    return 503, [(b"retry-after", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else [], b""


def failed(cause: FailureCause) -> Worded:
    """A request that failed."""
    return _STATUS[cause], [], b""
