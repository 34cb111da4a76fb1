"""How the final outcome of a request is expressed in HTTP: status, headers, body.  No I/O."""

from __future__ import annotations

from typing import NamedTuple

from micadeck.engine import FailureCause
from micadeck.http.h1 import Headers, Response

_FAILURE_STATUS = {FailureCause.SERVERS: 502, FailureCause.TIME: 504, FailureCause.DEFECT: 500}
_FORWARDED_HEADERS = (b"content-type", b"content-encoding")  # what describes the body


class ResponseParts(NamedTuple):
    """A response to a client."""

    status: int
    headers: Headers
    body: bytes


def served(response: Response) -> ResponseParts:
    """Return the response for a complete response of a server."""
    return ResponseParts(200, forwarded_headers(response), response.body)


def forwarded_headers(response: Response) -> Headers:
    """Return the headers of a server's response that the client gets."""
    return [header for header in response.headers if header[0] in _FORWARDED_HEADERS]


def refused(retry_after_us: int) -> ResponseParts:
    """Return the response for a rejected request; without Retry-After where the delay is 0."""
    headers: Headers = []
    if retry_after_us > 0:
        headers.append((b"retry-after", b"%.3f" % (retry_after_us / 1e6)))
    return ResponseParts(503, headers, b"")


def failed(cause: FailureCause) -> ResponseParts:
    """Return the response for a request without a usable response of any server."""
    return ResponseParts(_FAILURE_STATUS[cause], [], b"")
