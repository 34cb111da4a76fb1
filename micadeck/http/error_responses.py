"""How each final answer is worded in HTTP: status, headers, body.  No input or output."""

from __future__ import annotations

from micadeck.engine import FailureCause
from micadeck.http.h1 import Headers, Response

Worded = tuple[int, Headers, bytes]

_STATUS = {FailureCause.SERVERS: 502, FailureCause.TIME: 504, FailureCause.DEFECT: 500}
_PASSED_BACK = (b"content-type", b"content-encoding")  # what describes the body


def served(response: Response) -> Worded:
    return 200, begun(response), response.body


def begun(response: Response) -> Headers:
    """The headers of an answer whose body follows as it comes."""
    return [each for each in response.headers if each[0] in _PASSED_BACK]


def refused(retry_after_us: int) -> Worded:
    return 503, [(b"retry-after", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else [], b""


def failed(cause: FailureCause) -> Worded:
    return _STATUS[cause], [], b""
