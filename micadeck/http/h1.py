"""Incremental readers for HTTP/1.1 requests and responses.  No I/O.

Parsing is done by llhttp (through httptools) in strict mode.  It rejects what can be read in two ways: a
length next to a transfer coding, a repeated length or a list of them, bare line feeds, folded headers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from micadeck.http.body_stream import MAX_BUFFERED_BODY, BodyStream
from micadeck.http.framing import MAX_HEADERS, FramingCount, TooManyHeadersError
from micadeck.http.messages import (
    CONTINUE,
    LAST_CHUNK,
    Headers,
    Request,
    Response,
    encode_chunk,
    encode_head,
)
from micadeck.memory.budget import HEADER_COST, REQUEST_COST

__all__ = [
    "CONTINUE",
    "LAST_CHUNK",
    "MAX_BODY_BYTES",
    "Headers",
    "Request",
    "RequestReader",
    "Response",
    "ResponseReader",
    "encode_chunk",
    "encode_head",
]

MAX_BODY_BYTES = 33 << 20  # of a request, and of a server's response
# Of a large response, or one of unknown length, that are buffered before it is streamed.
_MIN_STREAMED_BYTES = 4 << 10
_SPACE = 0x20  # the highest of the characters that are stripped from a value's end
_MAX_INTERIM_RESPONSES = 8  # 1xx responses ahead of the final one


@dataclass(slots=True)
class _PartialMessage:
    """A message of which a part was received."""

    target: bytes = b""
    version: str = "1.1"
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    size: int = 0  # received bytes of the body
    stream: BodyStream | None = None
    has_head: bool = False
    trailers: int = 0
    head_bytes: int = 0  # of values and the target, once the head is complete

    def count_trailer(self) -> None:
        """Count a trailer, which is ignored; raise TooManyHeadersError beyond the limit."""
        self.trailers += 1
        if self.trailers > MAX_HEADERS:
            raise TooManyHeadersError

    @property
    def cost(self) -> int:
        """The memory that the received part takes, in bytes, but for a header that is not complete."""
        return REQUEST_COST + self.head_bytes + HEADER_COST * len(self.headers) + len(self.body)

    def values(self, name: bytes) -> list[bytes]:
        """Return the values of all headers of this name."""
        return [value for key, value in self.headers if key == name]


MakeStream = Callable[[int | None], BodyStream]
"""Makes the stream for a body that is too large to be buffered, given its announced length."""


class _Reader:
    """What the readers of requests and of responses share."""

    _part: _PartialMessage | None
    _make_stream: MakeStream | None  # None: every body is buffered
    _framing: FramingCount

    def release(self) -> None:
        """Stop reading and free all that was read.

        The parser and this object refer to each other: without this, the buffered part of a body would be
        freed by a late garbage collection only.
        """
        self._part = None
        self._make_stream = None
        vars(self).pop("_parser", None)

    @property
    def has_partial_message(self) -> bool:
        """Whether a message was received in part."""
        return self._part is not None

    def on_message_begin(self) -> None:
        """Begin a message; called by the parser."""
        self._framing.has_progressed = True
        self._part = _PartialMessage()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or count a trailer; called by the parser."""
        part = self._part
        if part is None:
            return
        if part.has_head:
            part.count_trailer()
            return
        if len(part.headers) >= MAX_HEADERS:
            self._reject_headers()
            raise TooManyHeadersError  # stops the parser
        # Trailing whitespace is no part of a value (RFC 9112, 5.1); the parser leaves it there.
        if value and value[-1] <= _SPACE:
            value = value.rstrip(b" \t")
        part.headers.append((name.lower(), value))

    def _reject_headers(self) -> None:
        """Record why reading ends; the parser reports an error in any case."""


class RequestReader(_Reader):
    """Reads the requests of one connection into the queue `requests`; it stops for good at a `fault`."""

    def __init__(
        self,
        max_body_bytes: int,
        make_stream: MakeStream | None = None,
        max_buffered_body: Callable[[], int] = lambda: MAX_BUFFERED_BODY,
    ) -> None:
        """Start to read.

        Args:
            max_body_bytes: The largest body that is accepted.
            make_stream: Makes the stream of a large body; without it, every body is buffered.
            max_buffered_body: Returns the size up to which a body is buffered, in bytes.
        """
        self.requests: deque[Request] = deque()
        self._queued_cost = 0
        self._max_buffered_body = max_buffered_body
        self.fault: int | None = None  # the status to reject the connection with
        self.awaits_continue = False
        self._max_body_bytes = max_body_bytes
        self._make_stream = make_stream
        self._part: _PartialMessage | None = None
        self._framing = FramingCount()
        self._arrived_at = 0.0
        self._parser = httptools.HttpRequestParser(self)

    def release(self) -> None:
        """Stop reading and free all that was read, queued requests as well."""
        self._reject(400)
        self.requests.clear()
        self._queued_cost = 0
        super().release()

    def take(self) -> Request:
        """Remove and return the request that was queued first."""
        request = self.requests.popleft()
        self._queued_cost -= request.cost
        return request

    @property
    def cost(self) -> int:
        """The memory that queued requests and the partial one take, in bytes."""
        part = self._part
        return self._queued_cost + (0 if part is None else part.cost + self._framing.pending_bytes)

    @property
    def has_head(self) -> bool:
        """Whether the head of the current message is complete."""
        return self._part is not None and self._part.has_head

    def feed(self, data: bytes, arrived_at: float = 0.0) -> None:
        """Parse received bytes; `arrived_at` is recorded in requests that end here, in seconds."""
        if self.fault is not None:
            return
        self._arrived_at = arrived_at
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)  # unless it was rejected already, for another reason
        if not self._framing.record_read(len(data)):
            self._reject(431)

    def _reject_headers(self) -> None:
        self._reject(431)

    def _reject(self, status: int) -> None:
        if self.fault is None:
            self.fault = status

    # Callbacks of the parser

    def on_url(self, url: bytes) -> None:
        """Add a part of the target; called by the parser."""
        if self._part is not None:
            self._part.target += url

    def on_headers_complete(self) -> None:
        """Check the head; called by the parser."""
        part = self._part
        if part is None or self.fault is not None:
            return
        self._framing.has_progressed = True
        part.has_head = True
        lengths, codings, expects = [], [], []
        size = len(part.target)
        for name, value in part.headers:  # a single pass, as this is done for every request
            size += len(value)
            if name == b"content-length":
                lengths.append(value)
            elif name == b"transfer-encoding":
                codings.append(value)
            elif name == b"expect":
                expects.append(value)
        part.head_bytes = size
        part.version = self._parser.get_http_version()
        if part.version not in ("1.0", "1.1"):
            self._reject(505)
        elif codings and [each.lower() for each in codings] != [b"chunked"]:
            self._reject(501)
        elif any(int(each) > self._max_body_bytes for each in lengths):
            self._reject(413)
        elif expects and [each.lower() for each in expects] == [b"100-continue"]:
            self.awaits_continue = True

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; called by the parser."""
        if self._part is None or self.fault is not None:
            return
        part = self._part
        self._framing.has_progressed = True
        part.size += len(body)
        if part.size > self._max_body_bytes:
            self._reject(413)
        elif part.stream is not None:
            part.stream.put(body)
        else:
            part.body += body
            if self._make_stream is not None and len(part.body) > self._max_buffered_body():
                self._start_streaming(part, self._make_stream)

    def _start_streaming(self, part: _PartialMessage, make_stream: MakeStream) -> None:
        """Queue the request before its body is complete, and stream the body."""
        length = next((int(each) for each in part.values(b"content-length")), None)
        part.stream = make_stream(length)
        part.stream.put(bytes(part.body))
        part.body.clear()
        self._enqueue(part)

    def on_message_complete(self) -> None:
        """Queue the request, or end its stream; called by the parser."""
        part, self._part = self._part, None
        self._framing.has_progressed = True
        self.awaits_continue = False
        if part is None or self.fault is not None:
            return
        if part.stream is not None:
            part.stream.end()
        else:
            self._enqueue(part)

    def _enqueue(self, part: _PartialMessage) -> None:
        parser = self._parser
        cost = part.cost
        self._queued_cost += cost
        self.requests.append(
            Request(
                parser.get_method(),
                part.target,
                part.headers,
                bytes(part.body),
                parser.should_keep_alive(),
                part.stream,
                part.version,
                self._arrived_at,
                cost,
            )
        )


class ResponseReader(_Reader):
    """Reads the one response that is expected on a connection, and detects bytes beyond it."""

    def __init__(
        self,
        max_body_bytes: int,
        make_stream: MakeStream | None = None,
        max_buffered_body: Callable[[], int] = lambda: MAX_BUFFERED_BODY,
    ) -> None:
        """Start to read.

        Args:
            max_body_bytes: The largest body that is accepted.
            make_stream: Makes the stream of a large body; without it, every body is buffered.
            max_buffered_body: Returns the size up to which a body is buffered, in bytes.
        """
        self.keep_alive = False
        self._max_buffered_body = max_buffered_body
        self.has_extra = False  # bytes were received after the response
        self._max_body_bytes = max_body_bytes
        self._make_stream = make_stream
        self._begin: Callable[[Response], bool] | None = None
        self._framing = FramingCount()
        self._parser = httptools.HttpResponseParser(self)
        self.expect()

    def expect(
        self, begin: Callable[[Response], bool] | None = None, max_body_bytes: int | None = None
    ) -> None:
        """Expect the response to a further request.

        Args:
            begin: Called with the head and the stream of a response that is too large to be buffered; it
                returns whether the body is wanted.  Without it, every response is buffered.
            max_body_bytes: A limit of the body below the usual one.
        """
        self._begin = begin
        self._max_response_body = self._max_body_bytes
        if max_body_bytes is not None:
            self._max_response_body = min(max_body_bytes, self._max_body_bytes)
        self.response: Response | None = None  # once it is complete
        self.is_malformed = False
        self._part: _PartialMessage | None = None
        self._interim_responses = 0
        self._ends_with_connection = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes; afterwards see `response`, `is_malformed` and `has_extra`."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = True
        if not self._framing.record_read(len(data)):
            self.is_malformed = True
        if self.response is not None:
            self.has_extra = self.has_extra or self.is_malformed
            self.is_malformed = False  # the response itself was complete by then

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a response, or detect a second one; called by the parser."""
        self.has_extra = self.response is not None
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Check whether the response has an end; called by the parser."""
        if self._part is None:
            return
        self._framing.has_progressed = True
        self._part.has_head = True
        status = self._parser.get_status_code()
        if status < 200:
            self._interim_responses += 1
            has_end = self._interim_responses <= _MAX_INTERIM_RESPONSES
        else:
            # Don't wait for a body that will be discarded; and where nothing but the end of the connection
            # delimits a response, a truncated one can't be detected.
            lengths = self._part.values(b"content-length")
            codings = [each.lower() for each in self._part.values(b"transfer-encoding")]
            has_end = codings == [b"chunked"] or status in (204, 304)
            has_end = has_end or (bool(lengths) and int(lengths[0]) <= self._max_response_body)
            if not has_end and not lengths and not codings:
                self._ends_with_connection = has_end = self._announces_close()
        if not has_end and self.response is None:
            self.is_malformed = True

    def on_body(self, body: bytes) -> None:
        """Add a part of the body; called by the parser."""
        if self._part is None or self.is_malformed or self.response is not None:
            return
        part = self._part
        self._framing.has_progressed = True
        part.size += len(body)
        if part.size > self._max_response_body:
            self.is_malformed = True
        elif part.stream is not None:
            part.stream.put(body)
        else:
            part.body += body
            if self._begin is not None and self._make_stream is not None and self._is_large(part):
                self._start_streaming(part, self._begin, self._make_stream)

    def _is_large(self, part: _PartialMessage) -> bool:
        """Return whether to stream the body: by its announced length, or once some of it was received.

        That forwards the first bytes of a slow response early, and does not start one whose announced length
        is wrong, which can still be requested from another server.
        """
        if len(part.body) <= _MIN_STREAMED_BYTES:
            return False
        lengths = part.values(b"content-length")
        return not lengths or int(lengths[0]) > self._max_buffered_body()

    def _start_streaming(
        self, part: _PartialMessage, begin: Callable[[Response], bool], make_stream: MakeStream
    ) -> None:
        status = self._parser.get_status_code()
        if status != 200:
            self.is_malformed = True  # it is not forwarded, so the rest is not needed
            return
        length = next((int(each) for each in part.values(b"content-length")), None)
        part.stream = make_stream(length)
        part.stream.put(bytes(part.body))
        part.body.clear()
        if not begin(Response(status, part.headers, b"", part.stream)):
            part.stream.drop()
            self.is_malformed = True

    def _announces_close(self) -> bool:
        """Return whether the server announced that the response ends with the connection.

        Without that, a complete response can't be told from a truncated one.
        """
        assert self._part is not None
        options = {
            each.strip().lower() for value in self._part.values(b"connection") for each in value.split(b",")
        }
        return b"close" in options or self._parser.get_http_version() == "1.0"

    @property
    def cost(self) -> int:
        """The memory that a partial response takes, in bytes."""
        return 0 if self._part is None else self._part.cost + self._framing.pending_bytes

    @property
    def stream(self) -> BodyStream | None:
        """The body that is being streamed."""
        return None if self._part is None else self._part.stream

    def end(self) -> None:
        """Record the orderly end of the connection, which completes a response without a length."""
        is_partial = self._part is not None and self.response is None
        if is_partial and self._ends_with_connection and not self.is_malformed:
            self.on_message_complete()
            self.keep_alive = False

    def on_message_complete(self) -> None:
        """Provide the response; called by the parser."""
        part, self._part = self._part, None
        self._framing.has_progressed = True
        status = self._parser.get_status_code()
        if part is None or self.is_malformed or self.response is not None or status < 200:
            return
        self.response = Response(status, part.headers, bytes(part.body), part.stream)
        self._begin = None  # so that an idle connection does not keep the caller alive
        self.keep_alive = self._parser.should_keep_alive()
