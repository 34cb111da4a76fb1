"""The client side of one HTTP/1.1 connection: one exchange at a time.

It never sends or retries on its own: the caller of `exchange` decides what is written, and when.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from enum import Enum, unique
from typing import Protocol, cast

from micadeck.http.body_stream import BodyStream
from micadeck.http.buffer_budget import MAX_BUFFERED_BYTES, BufferBudget, UnsentData
from micadeck.http.h1 import ResponseReader
from micadeck.http.messages import LAST_CHUNK, Request, Response, encode_chunk
from micadeck.memory.budget import MemoryUse
from micadeck.network import Network, ReadTurn, Stream, Timer

ANSWER_TIMEOUT_S = 0.25  # without a byte, once an answer has started, if another server may answer instead
_ANSWER_MARGIN_S = 0.02  # before the exchange's deadline, the first bytes of a large answer are passed on
_STREAM_STALL_S = 4.0  # the same for a streamed answer, which can't be retried at another server
STREAM_DEADLINE_GRACE_S = 0.25  # how long after its request's deadline a streamed answer may still end
_TIMER_TOLERANCE_S = 0.001  # a timer may fire this much early
_CLOCK_TICK_US = 10_000  # of the kernel's slowest configuration: the error of ages that it reports


@unique
class Failure(Enum):
    """Why an exchange ended without an answer."""

    UNWRITTEN = "unwritten"  # the connection broke before the request's last byte was written
    BROKEN = "broken"  # it broke or ended after that
    MALFORMED = "spoilt"  # the response is not valid HTTP, is ambiguous, too large or unbounded, or stalled
    ABANDONED = "abandoned"  # the client no longer takes the rest of the answer


# The read buffer of all connections; each read is processed before the next.  Bounds what an endless answer
# can deliver: the event loop's own buffer is 256 KiB per read, and several reads may precede the close.
_BUFFER = memoryview(bytearray(32 << 10))

ExchangeCallback = Callable[[Response | Failure], None]


class RetryOutlook(Protocol):
    """What an exchange knows of the request behind it, if its answer stalls."""

    def is_possible(self) -> bool:
        """Return whether another server would be asked in time if this exchange failed now."""

    def time_left_s(self) -> float:
        """Return how long until the exchange's deadline."""


class _AlwaysRetried:
    """For exchanges whose caller repeats them by itself, as watches and health checks."""

    def is_possible(self) -> bool:
        return True

    def time_left_s(self) -> float:
        return math.inf


_ALWAYS_RETRIED = _AlwaysRetried()


class ClientConnection(asyncio.BufferedProtocol):
    """A connection to a server.

    `on_free` is called whenever it can be reused, `on_closed` once when it is closed.
    """

    def __init__(
        self,
        network: Network,
        max_bytes: int,
        on_free: Callable[[ClientConnection], None],
        on_closed: Callable[[ClientConnection], None],
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
        budget: BufferBudget | None = None,
    ) -> None:
        self._network = network
        self._max_bytes = max_bytes
        self._on_free = on_free
        self._on_closed = on_closed
        self._answer_timeout_s = answer_timeout_s
        self._answer_timer: Timer | None = None  # runs while an answer is partly received
        self._transport: asyncio.Transport | None = None
        self._stream: Stream | None = None
        self._budget = budget  # for streamed answers; None: answers are always buffered
        self._memory = None if budget is None else budget.memory
        self._charged_bytes = 0  # to `_memory`, for the partial answer
        self._unsent = UnsentData(budget)
        if budget is None:
            self._reader = ResponseReader(max_bytes)
        else:
            self._reader = ResponseReader(max_bytes, self._make_body_stream, budget.max_buffered)
        self._sending: BodyStream | None = None  # the streamed request body, until it is written
        self._received_at = 0.0
        self._is_paused = False  # whether the answer's reader applies backpressure
        self._turn = ReadTurn(network)  # of a streamed answer
        self._response_deadline: float | None = None  # of a streamed answer, unless it is large
        self._streamed_bytes = 0  # bytes read of the answer
        self._on_end: ExchangeCallback | None = None
        self._on_written: Callable[[], None] | None = None  # until the request is written completely
        self._retry: RetryOutlook = _ALWAYS_RETRIED
        self._unwritten = False
        self._closed = False
        self.received_unexpected_bytes = False  # whether more than the expected answers was received

    # What the owner calls

    def is_usable(self) -> bool:
        """Whether a request may be written now: open, idle, and nothing unread in the socket.

        Avoids the race with a server that closes an idle connection: its EOF may be in the socket before
        the event loop reports it, and a request written then would count as one that may have run.
        """
        if (
            self._closed
            or self._transport is None
            or self._transport.is_closing()
            or self._on_end is not None
        ):
            return False
        return self._stream is not None and not self._stream.has_unread()

    def has_unread_data(self) -> bool:
        """Whether the server sent data that the event loop has not read; False once it closed its side."""
        if self._closed or self._stream is None:
            return False
        return self._stream.has_unread() and not self._stream.has_ended()

    def us_since_received(self) -> int:
        """A lower bound on the age of the last data in the socket, read or not, in microseconds."""
        age_s = 0.0 if self._closed or self._stream is None else self._stream.seconds_since_received()
        return max(int(age_s * 1e6) - _CLOCK_TICK_US, 0)

    def min_round_trip_us(self) -> int:
        """The shortest recent round trip to the server, in microseconds; 0 if unknown."""
        return 0 if self._closed or self._stream is None else int(self._stream.min_round_trip_s() * 1e6)

    def exchange(
        self,
        request: Request,
        on_end: ExchangeCallback,
        on_written: Callable[[], None] = lambda: None,
        start_streaming: Callable[[Response], bool] | None = None,
        max_body: int | None = None,
        retry: RetryOutlook | None = None,
    ) -> None:
        """Write a request; `on_end` is called exactly once, but never from within this call.

        `on_written` is called if its last byte is written.  `start_streaming` gets the head of an answer
        too large to buffer, before `on_end`, and returns whether anybody takes the body.
        `max_body` is a lower limit on the answer's body, in bytes.
        `retry` decides whether an answer that stalls is given up; None: it is.
        """
        assert self._transport is not None and self._on_end is None
        self._on_end = on_end
        self._retry = retry or _ALWAYS_RETRIED
        self._streamed_bytes = 0
        self._reader.expect(start_streaming, max_body)
        self._write(request.encode())
        if request.stream is not None:
            self._on_written = on_written
            self._sending = request.stream
            chunked = request.stream.length is None
            request.stream.open(self._write_chunk if chunked else self._write, self._body_ended)
        elif self._transport.is_closing():
            self._unwritten = True  # the write failed at once; connection_lost follows
        elif self._unwritten:
            self._on_written = on_written
        else:
            on_written()

    @property
    def is_unwritten(self) -> bool:
        """Whether a part of the request is unsent, so that no server can have started on it."""
        return self._unwritten or self._sending is not None

    def set_response_deadline(self, at: float) -> None:
        """Set when a streamed answer has to end, on the network's clock.

        The deadline no longer applies once the answer proves large: only stalls end it then.
        """
        self._stop_timer()
        self._response_deadline = at
        self._received_at = self._network.time()
        self._answer_timer = self._network.call_later(self._time_left_s(), self._check_progress)

    def abandon(self) -> None:
        """Drop the rest of the answer."""
        self._fail(Failure.ABANDONED)

    def close(self) -> None:
        """Close the connection; an exchange in progress is dropped without calling `on_end`.

        Sending stops within this call, before the caller may write elsewhere: the transport closes its
        socket only in a later iteration of the event loop, and until then a further attempt would be a
        concurrent second copy.
        """
        # Guards rule 2: unsent data must be discarded, or a delayed request could arrive long after its
        # attempt was given up.
        drops = self._on_end is not None
        self._on_end = self._on_written = None
        self._release_exchange()
        self._stop_timer()
        sending, self._sending = self._sending, None
        if sending is not None:
            sending.drop()
        if self._transport is not None and not self._closed:
            if self._stream is not None:
                self._stream.shutdown(discard_unsent=drops)
            self._transport.abort()
        self._report_closed()

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a connection that was dialled."""
        # uvloop's transport is not a subclass of asyncio.Transport, so isinstance can't check it.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # so pause_writing means: data is unsent
        try:
            self._stream = self._network.stream(transport)
        except OSError:
            self._transport.abort()  # without the stream `is_usable` can't be answered

    def pause_writing(self) -> None:
        """A part of the written data is unsent."""
        self._unwritten = True
        if self._sending is not None:
            self._sending.block()

    def resume_writing(self) -> None:
        """All written data is sent."""
        self._unwritten = False
        self._unsent.clear()
        if self._sending is not None:
            self._sending.unblock()  # the request ends with its body
        else:
            self._is_written()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  # asyncio's signature
        """Return the read buffer that all connections share, less of it where memory is short."""
        return _BUFFER if self._budget is None else _BUFFER[: self._budget.read_size(len(_BUFFER))]

    def buffer_updated(self, nbytes: int) -> None:
        """Process received data."""
        if self._on_end is None:
            self.received_unexpected_bytes = True  # no request is open
            self.close()
            return
        self._read(bytes(_BUFFER[:nbytes]))

    def eof_received(self) -> None:
        """The server closed its side, which may end an answer."""
        self._reader.end()
        if self._on_end is not None and self._reader.response is not None:
            self._finish_response(self._reader.response)
            return
        self._fail(Failure.UNWRITTEN if self.is_unwritten else Failure.BROKEN)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """Fail the exchange in progress."""
        self._fail(Failure.UNWRITTEN if self.is_unwritten else Failure.BROKEN)

    # Reading and writing

    def _write_chunk(self, data: bytes) -> None:
        self._write(encode_chunk(data))

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)
        if self._unwritten:
            self._unsent.add(len(data))

    def _body_ended(self) -> None:
        assert self._sending is not None
        if self._sending.length is None:
            self._write(LAST_CHUNK)
        self._sending = None
        if not self._unwritten:
            self._is_written()

    def _is_written(self) -> None:
        on_written, self._on_written = self._on_written, None
        if on_written is not None:
            on_written()

    def _make_body_stream(self, length: int | None) -> BodyStream:
        assert self._budget is not None
        return BodyStream(self._budget, length, self._pause, self._resume)

    def _pause(self) -> None:
        self._is_paused = True
        self._pause_reading()

    def _resume(self) -> None:
        self._is_paused = False
        self._received_at = self._network.time()
        self._resume_reading()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._closed:
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        """Read on, unless the answer's reader applies backpressure or others have their turn."""
        is_held_up = self._is_paused or self._turn.is_over
        if self._transport is not None and not self._closed and not is_held_up:
            self._transport.resume_reading()

    def _read(self, data: bytes) -> None:
        reader = self._reader
        self._streamed_bytes += len(data)
        if reader.stream is not None:
            self._turn.count(len(data), self._pause_reading, self._resume_reading)
        reader.feed(data)
        if reader.response is not None:
            self._finish_response(reader.response)
        elif reader.is_malformed:
            self._fail(Failure.MALFORMED)
        elif reader.has_partial_message:
            self._charge_memory(reader.cost)
            self._received_at = self._network.time()
            if self._answer_timer is None:
                self._answer_timer = self._network.call_later(self._time_left_s(), self._check_progress)

    def _charge_memory(self, cost: int) -> None:
        """Charge the buffered part of the answer, in bytes."""
        if self._memory is not None and cost != self._charged_bytes:
            self._memory.charge(MemoryUse.ANSWERS, cost - self._charged_bytes)
            self._charged_bytes = cost

    def _stall_s(self) -> float:
        return self._answer_timeout_s if self._reader.stream is None else _STREAM_STALL_S

    def _check_progress(self) -> None:
        """Fail an answer that has started and stalls.

        It would hold its request until the deadline, too late to try another server.  Interim (1xx)
        responses don't count as a start, and a streamed answer under backpressure is not stalled.
        """
        left_s = self._time_left_s()
        if left_s > _TIMER_TOLERANCE_S or self._is_paused:
            wait_s = self._stall_s() if self._is_paused else left_s
            self._answer_timer = self._network.call_later(wait_s, self._check_progress)
        elif self._reader.stream is not None or self._retry.is_possible():
            self._fail(Failure.MALFORMED)
        else:
            self._keep_stalled_answer()

    def _keep_stalled_answer(self) -> None:
        """Go on waiting for an answer that no other server can give, until its exchange's deadline.

        A large one is passed on with what was received, as its first bytes are due by then, not its last.
        """
        self._answer_timer = None
        self._reader.stream_early()  # sets a deadline and a timer of its own
        if self._reader.is_malformed:
            self._fail(Failure.MALFORMED)

    def _time_left_s(self) -> float:
        """How long until the answer times out, in seconds."""
        now = self._network.time()
        left_s = self._received_at + self._stall_s() - now
        if self._response_deadline is not None and not self._is_large:
            left_s = min(left_s, self._response_deadline - now)
        elif self._reader.stream is None:
            left_s = min(left_s, self._retry.time_left_s() - _ANSWER_MARGIN_S)
        return left_s

    @property
    def _is_large(self) -> bool:
        """Whether the streamed answer exceeds the buffering limit, by its length or what was read."""
        stream = self._reader.stream
        announced = 0 if stream is None or stream.length is None else stream.length
        return max(announced, self._streamed_bytes) > MAX_BUFFERED_BYTES

    def _stop_timer(self) -> None:
        self._response_deadline = None
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None

    def _finish_response(self, response: Response) -> None:
        self._stop_timer()
        self._charge_memory(0)
        on_end, self._on_end = self._on_end, None
        self._release_exchange()
        result: Response | Failure = response
        is_written = not self.is_unwritten
        if response.status == 200 and not is_written:
            result = Failure.MALFORMED  # it can't answer a request that was not sent completely
        # Never reuse a connection that received more than its answer, or an answer before the request was
        # written: responses don't name their request, so the extra one would be taken for the next answer.
        self.received_unexpected_bytes = self._reader.has_extra_bytes
        if self._reader.keep_alive and is_written and not self.received_unexpected_bytes:
            self._on_free(self)
        else:
            self.close()
        if on_end is not None:
            on_end(result)

    def _release_exchange(self) -> None:
        """Keep the request and its answer no longer."""
        self._reader.forget_response()
        self._retry = _ALWAYS_RETRIED

    def _fail(self, failure: Failure) -> None:
        on_end = self._on_end
        self.close()
        if on_end is not None:
            on_end(failure)

    def _report_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self._charge_memory(0)
            self._unsent.clear()
            self._reader.release()
            self._on_closed(self)
