"""HTTP/1.1 messages and their encoding.  No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus

from micadeck.http.body_stream import BodyStream

Headers = list[tuple[bytes, bytes]]

LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class Request:
    """A request, as it was received or as it is sent."""

    method: bytes
    target: bytes
    headers: Headers  # their names in lower case
    body: bytes = b""
    keep_alive: bool = True
    stream: BodyStream | None = None  # the body, if it is streamed
    version: str = "1.1"
    arrived_at: float = 0.0  # when its last byte arrived, or the first of a streamed body, in seconds
    cost: int = 0  # the memory that it takes with its body, in bytes

    def encode(self) -> bytes:
        """Return its bytes; only the head if the body is streamed."""
        head = (self.method, self.target, _encode_headers(self.headers))
        return b"%s %s HTTP/1.1\r\n%s\r\n%s" % (*head, self.body)


@dataclass(slots=True)
class Response:
    """A response, as it was received or as it is sent."""

    status: int
    headers: Headers
    body: bytes = b""
    stream: BodyStream | None = None  # the body, if it is streamed
    abandon: Callable[[], None] | None = None  # stops receiving a streamed body that nobody reads

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header of this name."""
        return next((value for key, value in self.headers if key == name), None)

    def encode(self, *, with_body: bool = True) -> bytes:
        """Return its bytes with a Content-Length; without the body if the request's method allows none."""
        body = self.body if with_body else b""
        length = (b"content-length", b"%d" % len(body))
        return encode_head(self.status, [*self.headers, length]) + body


def encode_head(status: int, headers: Headers) -> bytes:
    """Return the head of a response whose body is sent separately."""
    reason = _REASON_PHRASES.get(status, b"")
    return b"HTTP/1.1 %d %s\r\n%s\r\n" % (status, reason, _encode_headers(headers))


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk of a body; the data must not be empty, as an empty chunk ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join([b"%s: %s\r\n" % header for header in headers])
