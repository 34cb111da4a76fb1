"""Reading and writing HTTP/1.1 messages, in both directions; no sockets.

Reading is llhttp's (by httptools), strict: no leniency is ever turned on.  It refuses what can be read in two
ways: a length beside a transfer coding, a length twice or as a list, bare line feeds, folded headers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from micadeck.http.body_stream import MAX_BUFFERED_BYTES, BodyStream
from micadeck.http.framing import MAX_HEADERS, FramingCount, TooManyHeadersError
from micadeck.memory.budget import HEADER_COST, REQUEST_COST

Headers = list[tuple[bytes, bytes]]

MAX_BODY_BYTES = 33 << 20  # of a request, and of a server's answer
_MAX_DELAYED_BYTES = 4 << 10  # of a large answer, or one whose length is not known, before it is passed on
_BLANK = 0x20  # a space, and above a tab
_MAX_INTERIM = 8  # 1xx answers ahead of the one that counts
_REASONS = {each.value: each.phrase.encode() for each in HTTPStatus}


@dataclass(slots=True)
class Request:
    """A request, as it was received or as it is sent."""

    method: bytes
    target: bytes
    headers: Headers  # their names in lower case
    body: bytes = b""
    keep_alive: bool = True
    stream: BodyStream | None = None  # the body, where it is passed on as it comes
    version: str = "1.1"
    arrived_at: float = 0.0  # when its last byte came, or of a body that is passed on its first, in seconds
    cost: int = 0  # of keeping it, in bytes, its body with it

    def encode(self) -> bytes:
        """The bytes of it, or of its head where the body is passed on."""
        return b"%s %s HTTP/1.1\r\n%s\r\n%s" % (self.method, self.target, _encoded(self.headers), self.body)


@dataclass(slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes = b""
    stream: BodyStream | None = None  # the body, where it is passed on as it comes
    abandon: Callable[[], None] | None = None  # ends what comes of it, where nobody takes the rest

    def header(self, name: bytes) -> bytes | None:
        """The value of the first header of this name, in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    def encode(self, *, with_body: bool = True) -> bytes:
        """Its bytes, its length among them; without the body where the request allows none."""
        body = self.body if with_body else b""
        length = (b"content-length", b"%d" % len(body))
        reason = _REASONS.get(self.status, b"")
        return b"HTTP/1.1 %d %s\r\n%s\r\n%s" % (self.status, reason, _encoded([*self.headers, length]), body)


def head_of(status: int, headers: Headers) -> bytes:
    """The head of an answer whose body follows."""
    return b"HTTP/1.1 %d %s\r\n%s\r\n" % (status, _REASONS.get(status, b""), _encoded(headers))


def chunk(data: bytes) -> bytes:
    """A piece of a body whose length is not known; it must not be empty, which would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _encoded(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join([b"%s: %s\r\n" % pair for pair in headers])


@dataclass(slots=True)
class _Part:
    """A message that has begun and is not complete."""

    target: bytes = b""
    version: str = "1.1"
    headers: Headers = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    size: int = 0  # of the body, as far as it came
    stream: BodyStream | None = None
    has_head: bool = False
    trailers: int = 0
    head_bytes: int = 0  # once its head is whole, of values and the target

    def count_trailer(self) -> None:
        """Count a trailer, which is passed over; raise TooManyHeaders beyond what a message may have."""
        self.trailers += 1
        if self.trailers > MAX_HEADERS:
            raise TooManyHeadersError

    @property
    def cost(self) -> int:
        """What it takes of memory as far as it came, in bytes, but for a header that has not ended."""
        return REQUEST_COST + self.head_bytes + HEADER_COST * len(self.headers) + len(self.body)

    def values(self, name: bytes) -> list[bytes]:
        """The values of all headers of this name."""
        return [value for key, value in self.headers if key == name]


MakeBodyStream = Callable[[int | None], BodyStream]
"""Makes the way for a body that is too large to be kept; it is given the length that was announced."""


class _Reader:
    """What the readers of requests and of responses share; httptools calls the `on_` methods."""

    _part: _Part | None
    _make_body_stream: MakeBodyStream | None  # None: every body is kept
    _framing: FramingCount

    def release(self) -> None:
        """Read no more, and let go of all that was read.

        Guards against memory that only a late collection frees: the parser holds this object, and this object
        the parser with the part of a body that came.
        """
        self._part = None
        self._make_body_stream = None
        vars(self).pop("_parser", None)

    @property
    def has_part(self) -> bool:
        """Whether a message has begun that is not complete."""
        return self._part is not None

    def on_message_begin(self) -> None:
        """Begin a message."""
        self._framing.has_progressed = True
        self._part = _Part()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header, or count a trailer."""
        part = self._part
        if part is None:
            return
        if part.has_head:
            part.count_trailer()
            return
        if len(part.headers) >= MAX_HEADERS:
            self._on_too_many_headers()
            raise TooManyHeadersError  # so that the parser reads no further
        # Blanks behind a value are none of it (RFC 9112, 5.1); the parser leaves them there.
        if value and value[-1] <= _BLANK:
            value = value.rstrip(b" \t")
        part.headers.append((name.lower(), value))

    def _on_too_many_headers(self) -> None:
        """Record why reading ends; what can't be read is a fault in any case."""


class RequestReader(_Reader):
    """Reads the requests of one connection.

    Complete ones wait in `requests`; `fault` is the status with which all further reading is rejected.
    """

    def __init__(
        self,
        max_body: int,
        make_body_stream: MakeBodyStream | None = None,
        max_buffered: Callable[[], int] = lambda: MAX_BUFFERED_BYTES,
    ) -> None:
        self.requests: deque[Request] = deque()
        self._waiting_cost = 0  # of these
        self._max_buffered = max_buffered
        self.fault: int | None = None  # the status of the rejection
        self.awaits_continue = False
        self._max_body = max_body
        self._make_body_stream = make_body_stream
        self._part: _Part | None = None
        self._framing = FramingCount()
        self._arrived_at = 0.0
        self._parser = httptools.HttpRequestParser(self)

    def release(self) -> None:
        """Read no more, and drop what was read."""
        self._reject(400)
        self.requests.clear()
        self._waiting_cost = 0
        super().release()

    def take(self) -> Request:
        """The request that waits for longest; it waits no more."""
        request = self.requests.popleft()
        self._waiting_cost -= request.cost
        return request

    @property
    def cost(self) -> int:
        """What is kept here costs of memory, in bytes."""
        part = self._part
        return self._waiting_cost + (0 if part is None else part.cost + self._framing.pending)

    @property
    def has_head(self) -> bool:
        """Whether the head of the message that has begun is complete."""
        return self._part is not None and self._part.has_head

    def feed(self, data: bytes, arrived_at: float = 0.0) -> None:
        """Read on; `arrived_at` is the time, in seconds, that requests which end here are given."""
        if self.fault is not None:
            return
        self._arrived_at = arrived_at
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)  # unless it was rejected already, for another fault
        if not self._framing.read(len(data)):
            self._reject(431)

    def _on_too_many_headers(self) -> None:
        self._reject(431)

    def _reject(self, status: int) -> None:
        if self.fault is None:
            self.fault = status

    # What the parser calls

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        if self._part is not None:
            self._part.target += url

    def on_headers_complete(self) -> None:
        """Judge the head, which is complete."""
        part = self._part
        if part is None or self.fault is not None:
            return
        self._framing.has_progressed = True
        part.has_head = True
        lengths, codings, expects = [], [], []
        size = len(part.target)
        for name, value in part.headers:  # one look for all: it is made for every request
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
        elif any(int(each) > self._max_body for each in lengths):
            self._reject(413)
        elif expects and [each.lower() for each in expects] == [b"100-continue"]:
            self.awaits_continue = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, or pass it on."""
        if self._part is None or self.fault is not None:
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

    def _begin_streaming(self, part: _Part, make_body_stream: MakeBodyStream) -> None:
        """Too large to be kept: it is a request from here on, and its body comes as it comes."""
        length = next((int(each) for each in part.values(b"content-length")), None)
        part.stream = make_body_stream(length)
        part.stream.put(bytes(part.body))
        part.body.clear()
        self._append(part)

    def on_message_complete(self) -> None:
        """The message has come to its end."""
        part, self._part = self._part, None
        self._framing.has_progressed = True
        self.awaits_continue = False
        if part is None or self.fault is not None:
            return
        if part.stream is not None:
            part.stream.end()
        else:
            self._append(part)

    def _append(self, part: _Part) -> None:
        parser = self._parser
        cost = part.cost
        self._waiting_cost += cost
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
    """Reads the one answer that is due on a connection, and notices what comes beyond it."""

    def __init__(
        self,
        max_body: int,
        make_body_stream: MakeBodyStream | None = None,
        max_buffered: Callable[[], int] = lambda: MAX_BUFFERED_BYTES,
    ) -> None:
        self.keep_alive = False
        self._max_buffered = max_buffered
        self.has_more = False  # something came behind the answer
        self._max_body = max_body
        self._make_body_stream = make_body_stream
        self._begin: Callable[[Response], bool] | None = None
        self._framing = FramingCount()
        self._parser = httptools.HttpResponseParser(self)
        self.expect()

    def expect(self, begin: Callable[[Response], bool] | None = None, max_body: int | None = None) -> None:
        """The answer to a further request is due, with a body of so many bytes at most, or the usual bound.

        Should it be too large to be kept, `begin` gets its head and its body's stream, and says whether
        anybody takes it.  Without that, it is kept.
        """
        self._begin = begin
        self._max_due = self._max_body if max_body is None else min(max_body, self._max_body)
        self.response: Response | None = None  # once it is complete
        self.is_malformed = False
        self._part: _Part | None = None
        self._interim = 0
        self._ends_at_close = False  # whether the connection's end is the answer's

    def feed(self, data: bytes) -> None:
        """Read on."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = True
        if not self._framing.read(len(data)):
            self.is_malformed = True
        if self.response is not None:
            self.has_more = self.has_more or self.is_malformed
            self.is_malformed = False  # the answer itself was whole by then

    # What the parser calls

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.has_more = self.response is not None
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Judge the head, which is complete."""
        if self._part is None:
            return
        self._framing.has_progressed = True
        self._part.has_head = True
        status = self._parser.get_status_code()
        if status < 200:
            self._interim += 1
            bounded = self._interim <= _MAX_INTERIM
        else:
            # Guards against waiting for what will be thrown away, and against taking an answer that broke off
            # for a whole one: where nothing but the connection's end frames it, nobody can tell.
            lengths = self._part.values(b"content-length")
            codings = [each.lower() for each in self._part.values(b"transfer-encoding")]
            bounded = codings == [b"chunked"] or status in (204, 304)
            bounded = bounded or (bool(lengths) and int(lengths[0]) <= self._max_due)
            if not bounded and not lengths and not codings:
                self._ends_at_close = bounded = self._ends_with_connection()
        if not bounded and self.response is None:
            self.is_malformed = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, or pass it on."""
        if self._part is None or self.is_malformed or self.response is not None:
            return
        part = self._part
        self._framing.has_progressed = True
        part.size += len(body)
        if part.size > self._max_due:
            self.is_malformed = True
        elif part.stream is not None:
            part.stream.put(body)
        else:
            part.body += body
            if self._begin is not None and self._make_body_stream is not None and self._is_large(part):
                self._begin_streaming(part, self._begin, self._make_body_stream)

    def _is_large(self, part: _Part) -> bool:
        """Whether more comes than is kept: as it says, or guessed where it does not.

        Guards against holding the first bytes of a slow answer back until all that may be kept has come; and
        against beginning one whose length is a lie, which could still be asked for elsewhere.
        """
        if len(part.body) <= _MAX_DELAYED_BYTES:
            return False
        lengths = part.values(b"content-length")
        return not lengths or int(lengths[0]) > self._max_buffered()

    def _begin_streaming(
        self, part: _Part, begin: Callable[[Response], bool], make_body_stream: MakeBodyStream
    ) -> None:
        status = self._parser.get_status_code()
        if status != 200:
            self.is_malformed = True  # nothing of it is passed on, so nobody needs the rest
            return
        length = next((int(each) for each in part.values(b"content-length")), None)
        part.stream = make_body_stream(length)
        part.stream.put(bytes(part.body))
        part.body.clear()
        if not begin(Response(status, part.headers, b"", part.stream)):
            part.stream.drop()
            self.is_malformed = True

    def _ends_with_connection(self) -> bool:
        """Whether the server says that its answer ends with the connection.

        Guards against taking an answer that broke off for a whole one: one that says nothing may be either.
        """
        assert self._part is not None
        options = {
            each.strip().lower() for value in self._part.values(b"connection") for each in value.split(b",")
        }
        return b"close" in options or self._parser.get_http_version() == "1.0"

    @property
    def cost(self) -> int:
        """What is kept of an answer in part costs of memory, in bytes."""
        return 0 if self._part is None else self._part.cost + self._framing.pending

    @property
    def stream(self) -> BodyStream | None:
        """The body that is being passed on."""
        return None if self._part is None else self._part.stream

    def end(self) -> None:
        """The connection ended in order; an answer that ends with it is whole."""
        if self._ends_at_close and self._part is not None and not self.is_malformed and self.response is None:
            self.on_message_complete()
            self.keep_alive = False

    def on_message_complete(self) -> None:
        """The message has come to its end."""
        part, self._part = self._part, None
        self._framing.has_progressed = True
        status = self._parser.get_status_code()
        if part is None or self.is_malformed or self.response is not None or status < 200:
            return
        self.response = Response(status, part.headers, bytes(part.body), part.stream)
        self._begin = None  # guards against holding on to who asked while the connection rests
        self.keep_alive = self._parser.should_keep_alive()
