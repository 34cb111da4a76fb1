"""The HTTP form of each final answer: status, headers, body.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from micadeck.engine import FailureCause
from micadeck.http.messages import Headers, Request, Response

FinalAnswer = tuple[int, Headers, bytes]

_STATUS = {FailureCause.SERVERS: 502, FailureCause.TIME: 504, FailureCause.DEFECT: 500}
_FORWARDED_HEADERS = (b"content-type", b"content-encoding")  # they describe the body


def served(response: Response) -> FinalAnswer:
    """A server's response, forwarded to the client."""
    return 200, streamed_headers(response), response.body


def streamed_headers(response: Response) -> Headers:
    """The response headers that are forwarded to the client."""
    return [header for header in response.headers if header[0] in _FORWARDED_HEADERS]


def refused(retry_after_us: int) -> FinalAnswer:
    """A request that was shed and may be retried, after this delay if it is above 0."""
    return 503, [(b"retry-after", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else [], b""


def health(*, is_ready: bool) -> FinalAnswer:
    """The answer to a health check."""
    return (200, [], b"ready\n") if is_ready else (503, [], b"draining\n")


def refuse_all(requests: Iterable[Request]) -> bytes:
    """The encoded refusals of requests that were not forwarded; the connection is closed after the last."""
    waiting = list(requests)
    refusals = []
    for request in waiting:
        status, headers, body = refused(0)
        if request is waiting[-1]:
            headers.append((b"connection", b"close"))
        refusals.append(Response(status, headers, body).encode(with_body=request.method != b"HEAD"))
    return b"".join(refusals)


def failed(cause: FailureCause) -> FinalAnswer:
    """A request that failed."""
    return _STATUS[cause], [], b""
