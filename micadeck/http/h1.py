"""Parses HTTP/1.1 requests and responses; no sockets.

The parser is llhttp (by httptools) in strict mode, with no leniency flag set.  It rejects ambiguous messages:
a length with a transfer coding, a repeated or listed length, bare line feeds, folded headers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from micadeck.http.body_stream import BodyStream
from micadeck.http.buffer_budget import MAX_BUFFERED_BYTES
from micadeck.http.framing import MAX_HEADERS, FramingCount, TooManyHeadersError
from micadeck.http.messages import Headers, Request, Response
from micadeck.memory.budget import HEADER_COST, REQUEST_COST

MAX_BODY_BYTES = 33 << 20  # of a request, and of a server's answer
_STREAMING_THRESHOLD_BYTES = 4 << 10  # buffered before a large answer, or one of unknown length, is streamed
_SPACE = 0x20  # the tab's code is lower
_SLICE_BYTES = 1 << 10  # parsed at once where a complete request may be followed by others
_MAX_FRAMING_BYTES = 64  # between two parts of the body of an answer that is streamed early
_MAX_INTERIM = 8  # 1xx responses before the final one


@dataclass(slots=True)
class _PartialMessage:
    """A message that is not received completely."""

    target: bytes = b""
    version: str = "1.1"
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    size: int = 0  # received bytes of the body
    stream: BodyStream | None = None
    has_head: bool = False
    trailers: int = 0
    head_bytes: int = 0  # size of the target and header values; 0 until the head is complete

    def count_trailer(self) -> None:
        """Count a trailer, which is ignored; raise TooManyHeadersError above the limit."""
        self.trailers += 1
        if self.trailers > MAX_HEADERS:
            raise TooManyHeadersError

    @property
    def cost(self) -> int:
        """Memory that the received part takes, in bytes, without an incomplete header."""
        return REQUEST_COST + self.head_bytes + HEADER_COST * len(self.headers) + len(self.body)

    def values(self, name: bytes) -> list[bytes]:
        """The values of all headers of this name."""
        return [value for key, value in self.headers if key == name]


MakeBodyStream = Callable[[int | None], BodyStream]
"""Creates the stream for a body that is too large to buffer, given its announced length if any."""


class _Reader:
    """Base class of the request and response readers; httptools calls the `on_` methods."""

    _part: _PartialMessage | None
    _make_body_stream: MakeBodyStream | None  # None: bodies are always buffered
    _framing: FramingCount

    def release(self) -> None:
        """Stop reading and drop everything that was read.

        Breaks the reference cycle between the parser and this object: otherwise the partial body would stay
        in memory until the garbage collector runs.
        """
        self._part = None
        self._make_body_stream = None
        vars(self).pop("_parser", None)

    @property
    def has_partial_message(self) -> bool:
        """Whether a message is partly received."""
        return self._part is not None

    def on_message_begin(self) -> None:
        """Start a message."""
        self._framing.has_progressed = True
        self._part = _PartialMessage()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, or count a trailer."""
        part = self._part
        if part is None:
            return
        if part.has_head:
            part.count_trailer()
            return
        if len(part.headers) >= MAX_HEADERS:
            self._on_too_many_headers()
            raise TooManyHeadersError  # stops the parser
        # Trailing whitespace is not part of a value (RFC 9112, 5.1), but the parser leaves it in place.
        if value and value[-1] <= _SPACE:
            value = value.rstrip(b" \t")
        part.headers.append((name.lower(), value))

    def _on_too_many_headers(self) -> None:
        """Record the error; the raised exception stops reading in any case."""


class RequestReader(_Reader):
    """Reads the requests of one connection.

    Complete ones are queued in `requests`; once `error_status` is set, nothing more is read.  With
    `parses_ahead` unset, what was received behind a complete request stays unparsed until that is taken: a
    parsed request takes many times its bytes.
    """

    def __init__(
        self,
        max_body: int,
        make_body_stream: MakeBodyStream | None = None,
        max_buffered: Callable[[], int] = lambda: MAX_BUFFERED_BYTES,
        *,
        parses_ahead: bool = True,
    ) -> None:
        self.requests: deque[Request] = deque()
        self._parses_ahead = parses_ahead
        self._unparsed: deque[tuple[bytes, float]] = deque()  # with the time of arrival
        self._unparsed_bytes = 0
        self._queued_cost = 0  # memory of the queued requests, in bytes
        self._max_buffered = max_buffered
        self.error_status: int | None = None  # status of the answer to input that can't be accepted
        self.awaits_continue = False
        self._max_body = max_body
        self._make_body_stream = make_body_stream
        self._part: _PartialMessage | None = None
        self._framing = FramingCount()
        self._arrived_at = 0.0
        self._parser = httptools.HttpRequestParser(self)

    @property
    def has_unprocessed(self) -> bool:
        """Whether a request, a part of one or an error was read and not processed yet."""
        has_message = bool(self.requests) or self.has_partial_message
        return has_message or bool(self._unparsed) or self.error_status is not None

    def release(self) -> None:
        """Stop reading and drop everything that was read."""
        self._reject(400)
        self.requests.clear()
        self._unparsed.clear()
        self._queued_cost = self._unparsed_bytes = 0
        super().release()

    def pop_request(self) -> Request:
        """Remove and return the oldest queued request."""
        request = self.requests.popleft()
        self._queued_cost -= request.cost
        self._parse_unparsed()
        return request

    def parse_all(self) -> None:
        """Parse all that was received, so that every complete request is queued."""
        self._parses_ahead = True
        self._parse_unparsed()

    @property
    def cost(self) -> int:
        """Memory of queued and partial requests, in bytes."""
        part = self._part
        partial_cost = 0 if part is None else part.cost + self._framing.pending
        return self._queued_cost + self._unparsed_bytes + partial_cost

    @property
    def has_head(self) -> bool:
        """Whether the head of the partial message is complete."""
        return self._part is not None and self._part.has_head

    def feed(self, data: bytes, arrived_at: float = 0.0) -> None:
        """Parse received data; `arrived_at` is its time of arrival, in seconds."""
        if self.error_status is None:
            self._unparsed.append((data, arrived_at))
            self._unparsed_bytes += len(data)
            self._parse_unparsed()

    def _parse_unparsed(self) -> None:
        while self._unparsed and (self._parses_ahead or not self.requests):
            data, self._arrived_at = self._unparsed.popleft()
            self._unparsed_bytes -= len(data)
            is_in_body = self._part is not None and self._part.has_head
            if not self._parses_ahead and not is_in_body and len(data) > _SLICE_BYTES:
                self._unparsed.appendleft((data[_SLICE_BYTES:], self._arrived_at))
                self._unparsed_bytes += len(data) - _SLICE_BYTES
                data = data[:_SLICE_BYTES]
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        if self.error_status is not None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)  # keeps the status of an earlier rejection
        if not self._framing.read(len(data)):
            self._reject(431)

    def _on_too_many_headers(self) -> None:
        self._reject(431)

    def _reject(self, status: int) -> None:
        if self.error_status is None:
            self.error_status = status

    # What the parser calls

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        if self._part is not None:
            self._part.target += url

    def on_headers_complete(self) -> None:
        """Check the complete head."""
        part = self._part
        if part is None or self.error_status is not None:
            return
        self._framing.has_progressed = True
        part.has_head = True
        lengths, codings, expects = [], [], []
        size = len(part.target)
        for name, value in part.headers:  # a single pass, as it runs for every request
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
        elif codings and [coding.lower() for coding in codings] != [b"chunked"]:
            self._reject(501)
        elif any(int(length) > self._max_body for length in lengths):
            self._reject(413)
        elif expects and [value.lower() for value in expects] == [b"100-continue"]:
            self.awaits_continue = True

    def on_body(self, body: bytes) -> None:
        """Buffer or stream a part of the body."""
        if self._part is None or self.error_status is not None:
            return
        part = self._part
        self._framing.has_progressed = True
        part.size += len(body)
        if part.size > self._max_body:
            self._reject(413)
        elif part.stream is not None:
            part.stream.put(body)
        else:
            part.body += body
            if self._make_body_stream is not None and len(part.body) > self._max_buffered():
                self._begin_streaming(part, self._make_body_stream)

    def _begin_streaming(self, part: _PartialMessage, make_body_stream: MakeBodyStream) -> None:
        """Queue the request before its body is complete, as it is too large to buffer."""
        length = next((int(value) for value in part.values(b"content-length")), None)
        part.stream = make_body_stream(length)
        part.stream.put(bytes(part.body))
        part.body.clear()
        self._append(part)

    def on_message_complete(self) -> None:
        """Finish the message."""
        part, self._part = self._part, None
        self._framing.has_progressed = True
        self.awaits_continue = False
        if part is None or self.error_status is not None:
            return
        if part.stream is not None:
            part.stream.end()
        else:
            self._append(part)

    def _append(self, part: _PartialMessage) -> None:
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
    """Reads the one expected answer of a connection, and detects any data after it."""

    def __init__(
        self,
        max_body: int,
        make_body_stream: MakeBodyStream | None = None,
        max_buffered: Callable[[], int] = lambda: MAX_BUFFERED_BYTES,
    ) -> None:
        self.keep_alive = False
        self._max_buffered = max_buffered
        self.has_extra_bytes = False  # whether data followed the answer
        self._max_body = max_body
        self._make_body_stream = make_body_stream
        self._start_streaming: Callable[[Response], bool] | None = None
        self._framing = FramingCount()
        self._parser = httptools.HttpResponseParser(self)
        self.expect()

    def expect(
        self, start_streaming: Callable[[Response], bool] | None = None, max_body: int | None = None
    ) -> None:
        """Prepare for the answer to a further request, its body limited to `max_body` bytes if given.

        If it is too large to buffer, `start_streaming` gets its head and body stream, and returns whether
        anybody takes it.  Without that callback, it is buffered.
        """
        self._start_streaming = start_streaming
        self._response_limit = self._max_body if max_body is None else min(max_body, self._max_body)
        self.response: Response | None = None  # set once it is complete, until `forget_response`
        self._is_answered = False  # whether it was complete
        self.is_malformed = False
        self._part: _PartialMessage | None = None
        self._interim = 0
        self._ends_at_close = False  # whether the end of the connection ends the answer

    def forget_response(self) -> None:
        """Keep the complete answer no longer: an idle connection must not hold its memory."""
        self.response = None

    def feed(self, data: bytes) -> None:
        """Parse received data."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = True
        if not self._framing.read(len(data)):
            self.is_malformed = True
        if self._is_answered:
            self.has_extra_bytes = self.has_extra_bytes or self.is_malformed
            self.is_malformed = False  # the answer itself was complete by then

    # What the parser calls

    def on_message_begin(self) -> None:
        """Start a message."""
        self.has_extra_bytes = self._is_answered
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Check the complete head."""
        if self._part is None:
            return
        self._framing.has_progressed = True
        self._part.has_head = True
        status = self._parser.get_status_code()
        if status < 200:
            self._interim += 1
            bounded = self._interim <= _MAX_INTERIM
        else:
            # Reject an answer above the size limit before the body is received, and one maybe truncated:
            # without a length or chunked coding, a broken connection looks like the end of the body.
            lengths = self._part.values(b"content-length")
            codings = [coding.lower() for coding in self._part.values(b"transfer-encoding")]
            bounded = codings == [b"chunked"] or status in (204, 304)
            bounded = bounded or (bool(lengths) and int(lengths[0]) <= self._response_limit)
            if not bounded and not lengths and not codings:
                self._ends_at_close = bounded = self._ends_with_connection()
        if not bounded and not self._is_answered:
            self.is_malformed = True

    def on_body(self, body: bytes) -> None:
        """Buffer or stream a part of the body."""
        if self._part is None or self.is_malformed or self._is_answered:
            return
        part = self._part
        self._framing.has_progressed = True
        part.size += len(body)
        if part.size > self._response_limit:
            self.is_malformed = True
        elif part.stream is not None:
            part.stream.put(body)
        else:
            part.body += body
            if (
                self._start_streaming is not None
                and self._make_body_stream is not None
                and self._is_large(part)
            ):
                self._begin_streaming(part, self._start_streaming, self._make_body_stream)

    def _is_large(self, part: _PartialMessage) -> bool:
        """Whether to stream the answer: its length is unknown or too large to buffer.

        Waiting for a full buffer would delay the first bytes of a slow answer.  A minimum is awaited even so:
        an answer that announces a false length can then still be retried elsewhere.
        """
        return len(part.body) > _STREAMING_THRESHOLD_BYTES and self._may_be_large(part)

    def _may_be_large(self, part: _PartialMessage) -> bool:
        """Whether the body is too large to buffer, or of unknown length."""
        lengths = part.values(b"content-length")
        return not lengths or int(lengths[0]) > self._max_buffered()

    def stream_early(self) -> None:
        """Stream the partial answer with less than the usual minimum, if it may be too large to buffer."""
        part, start_streaming, make_body_stream = self._part, self._start_streaming, self._make_body_stream
        if part is None or part.stream is not None or start_streaming is None or make_body_stream is None:
            return
        is_final = part.has_head and self._parser.get_status_code() == 200
        if self._framing.pending > _MAX_FRAMING_BYTES:
            return  # a trailer or chunk extension that may never end
        if is_final and not self.is_malformed and self._may_be_large(part):
            self._begin_streaming(part, start_streaming, make_body_stream)

    def _begin_streaming(
        self,
        part: _PartialMessage,
        start_streaming: Callable[[Response], bool],
        make_body_stream: MakeBodyStream,
    ) -> None:
        status = self._parser.get_status_code()
        if status != 200:
            self.is_malformed = True  # only a 200 is passed on to the client, so the rest is not needed
            return
        length = next((int(value) for value in part.values(b"content-length")), None)
        part.stream = make_body_stream(length)
        if part.body:
            part.stream.put(bytes(part.body))
            part.body.clear()
        if not start_streaming(Response(status, part.headers, b"", part.stream)):
            part.stream.drop()
            self.is_malformed = True

    def _ends_with_connection(self) -> bool:
        """Whether the server announced that the end of the connection ends its answer.

        An answer without length or announcement may be truncated.
        """
        assert self._part is not None
        options = {
            option.strip().lower()
            for value in self._part.values(b"connection")
            for option in value.split(b",")
        }
        return b"close" in options or self._parser.get_http_version() == "1.0"

    @property
    def cost(self) -> int:
        """Memory of the partial answer, in bytes."""
        return 0 if self._part is None else self._part.cost + self._framing.pending

    @property
    def stream(self) -> BodyStream | None:
        """The body that is being streamed."""
        return None if self._part is None else self._part.stream

    def end(self) -> None:
        """Handle an orderly end of the connection, which may complete the answer."""
        if self._ends_at_close and self._part is not None and not self.is_malformed and not self._is_answered:
            self.on_message_complete()
            self.keep_alive = False

    def on_message_complete(self) -> None:
        """Finish the message."""
        part, self._part = self._part, None
        self._framing.has_progressed = True
        status = self._parser.get_status_code()
        if part is None or self.is_malformed or self._is_answered or status < 200:
            return
        self.response = Response(status, part.headers, bytes(part.body), part.stream)
        self._is_answered = True
        self._start_streaming = None  # an idle connection must not keep the request's objects alive
        self.keep_alive = self._parser.should_keep_alive()
