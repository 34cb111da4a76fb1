"""HTTP/1.1 requests and responses, and their encoding."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus

from micadeck.http.body_stream import BodyStream

Headers = list[tuple[bytes, bytes]]

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class Request:
    """A request, as received or as sent."""

    method: bytes
    target: bytes
    headers: Headers  # names in lower case
    body: bytes = b""
    keep_alive: bool = True
    stream: BodyStream | None = None  # the body, if it is streamed
    version: str = "1.1"
    arrived_at: float = 0.0  # seconds; when it was received, or if it is streamed, when streaming began
    cost: int = 0  # memory that it takes, including its body, in bytes

    def encode(self) -> bytes:
        """Serialize it, or only its head if the body is streamed."""
        return b"%s %s HTTP/1.1\r\n%s\r\n%s" % (self.method, self.target, _encoded(self.headers), self.body)


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes = b""
    stream: BodyStream | None = None  # the body, if it is streamed
    abandon: Callable[[], None] | None = None  # stops receiving the rest of a streamed body
    attempt: object = None  # the transport's handle of the attempt that it answers, if it is streamed

    def header(self, name: bytes) -> bytes | None:
        """The value of the first header of this lower-case name."""
        return next((value for key, value in self.headers if key == name), None)

    def encode(self, *, with_body: bool = True) -> bytes:
        """Serialize it with a content length; the body is left out for HEAD requests."""
        body = self.body if with_body else b""
        length = (b"content-length", b"%d" % len(body))
        reason = _REASONS.get(self.status, b"")
        return b"HTTP/1.1 %d %s\r\n%s\r\n%s" % (self.status, reason, _encoded([*self.headers, length]), body)


def encode_head(status: int, headers: Headers) -> bytes:
    """Serialize the head of a streamed answer."""
    return b"HTTP/1.1 %d %s\r\n%s\r\n" % (status, _REASONS.get(status, b""), _encoded(headers))


def encode_chunk(data: bytes) -> bytes:
    """Encode data in chunked coding; it must not be empty, as an empty chunk ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _encoded(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join([b"%s: %s\r\n" % pair for pair in headers])
