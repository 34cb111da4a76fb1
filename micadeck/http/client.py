"""The client side of one HTTP/1.1 connection: one exchange at a time.

It never retries: the caller of `exchange` decides what is written, and when.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, unique
from typing import cast

from micadeck.http.body_stream import MAX_BUFFERED_BODY, BodyStream, BufferBudget
from micadeck.http.h1 import LAST_CHUNK, Request, Response, ResponseReader, encode_chunk
from micadeck.memory.budget import MemoryUse
from micadeck.network import Network, Stream, Timer

_RESPONSE_STALL_S = 0.25  # without a byte, once a response has begun
_STREAM_STALL_S = 4.0  # the same for a streamed response, which can't be requested elsewhere any more
STREAM_GRACE_S = 0.25  # how long after the timeout of its request a streamed response may still end
_TIMER_TOLERANCE_S = 0.001  # a timer may fire this much early
_READ_BUFFER_BYTES = 32 << 10


@unique
class Failure(Enum):
    """Why an exchange has no response."""

    UNWRITTEN = "unwritten"  # the connection broke before the request's last byte was written
    BROKEN = "broken"  # the connection broke or ended after that
    MALFORMED = "malformed"  # it is not HTTP, ambiguous, too large or without an end
    ABANDONED = "abandoned"  # the rest of the response is not wanted


# Shared by all connections, as each read is consumed before the next.  It bounds endless responses: an event
# loop's own buffer is 256 KiB per read, and several reads may happen before a connection is closed.
_BUFFER = memoryview(bytearray(_READ_BUFFER_BYTES))

Ended = Callable[[Response | Failure], None]


class ClientConnection(asyncio.BufferedProtocol):
    """One connection to a server.  It owns the transport, the reader and the state of the exchange."""

    def __init__(
        self,
        network: Network,
        max_body_bytes: int,
        on_free: Callable[[ClientConnection], None],
        on_closed: Callable[[ClientConnection], None],
        response_stall_s: float = _RESPONSE_STALL_S,
        budget: BufferBudget | None = None,
    ) -> None:
        """Create the protocol of a connection.

        Args:
            network: For the clock, timers and sockets.
            max_body_bytes: The largest body of a response that is accepted.
            on_free: Called when the connection can be used for another exchange.
            on_closed: Called once when it never can again.
            response_stall_s: How long a response that has begun may pause, in seconds.
            budget: The budget of streamed bodies; without it, every response is buffered.
        """
        self._network = network
        self._on_free = on_free
        self._on_closed = on_closed
        self._response_stall_s = response_stall_s
        self._stall_timer: Timer | None = None  # runs while a response is partial
        self._transport: asyncio.Transport | None = None
        self._stream: Stream | None = None
        self._budget = budget
        self._memory = None if budget is None else budget.memory
        self._charged_bytes = 0  # to the memory budget, for the partial response
        if budget is None:
            self._reader = ResponseReader(max_body_bytes)
        else:
            self._reader = ResponseReader(max_body_bytes, self._make_stream, budget.max_buffered_body)
        self._sending: BodyStream | None = None  # the body of the request, while it is streamed
        self._last_read_at = 0.0
        self._is_paused = False  # the consumer of the response accepts nothing for now
        self._stream_deadline: float | None = None  # of a streamed response, unless it is large
        self._received_bytes = 0  # of the response
        self._ended: Ended | None = None
        self._on_written: Callable[[], None] | None = None  # until the request is written completely
        self._unwritten = False
        self._closed = False
        self.received_unsolicited = False  # bytes beyond the expected responses

    # Called by the owner

    def is_usable(self) -> bool:
        """Return whether a request may be written now: the connection is open, idle and has nothing unread.

        A peer's close of an idle connection may be in the socket before the event loop has read it; of a
        request written then, nobody can tell whether it was executed.
        """
        if self._closed or self._transport is None or self._transport.is_closing() or self._ended is not None:
            return False
        return self._stream is not None and not self._stream.has_unread()

    def exchange(
        self,
        request: Request,
        ended: Ended,
        on_written: Callable[[], None] = lambda: None,
        begin: Callable[[Response], bool] | None = None,
        max_body_bytes: int | None = None,
    ) -> None:
        """Write a request.

        Args:
            request: The request.
            ended: Called exactly once with the outcome, but never from within this call.
            on_written: Called once the last byte is written, if that happens.
            begin: Called before `ended` with the head of a response that is too large to be buffered; it
                returns whether the body is wanted.
            max_body_bytes: A limit of the response's body below that of the connection.
        """
        assert self._transport is not None
        assert self._ended is None
        self._ended = ended
        self._received_bytes = 0
        self._reader.expect(begin, max_body_bytes)
        self._transport.write(request.encode())
        if request.stream is not None:
            self._on_written = on_written
            self._sending = request.stream
            is_chunked = request.stream.length is None
            request.stream.open(self._write_chunk if is_chunked else self._transport.write, self._body_ended)
        elif self._transport.is_closing():
            self._unwritten = True  # the write failed at once; connection_lost follows
        elif self._unwritten:
            self._on_written = on_written
        else:
            on_written()

    @property
    def is_unwritten(self) -> bool:
        """Whether a part of the request is unsent: then no server has executed it."""
        return self._unwritten or self._sending is not None

    def set_stream_deadline(self, deadline: float) -> None:
        """Set when a streamed response has to be complete, in seconds on the network's clock.

        Of a large one only the beginning is timed: it ends with its last byte, or once it stalls.
        """
        self._stop_timer()
        self._stream_deadline = deadline
        self._last_read_at = self._network.time()
        self._stall_timer = self._network.call_later(self._stall_time_left_s(), self._check_stall)

    def abandon(self) -> None:
        """Discard the rest of the response, and the connection with it."""
        self._fail(Failure.ABANDONED)

    def close(self) -> None:
        """Close the connection; `ended` is not called for an exchange in flight.

        Sending stops within this call, before anything that the caller may write elsewhere next: the
        transport closes its socket in a later iteration of the event loop, and until then a further attempt
        would duplicate this one.
        """
        # A request that the network delays must not arrive long after its attempt was given up.
        discard_unsent = self._ended is not None
        self._ended = self._on_written = None
        self._stop_timer()
        sending, self._sending = self._sending, None
        if sending is not None:
            sending.drop()
        if self._transport is not None and not self._closed:
            if self._stream is not None:
                self._stream.shutdown(discard_unsent=discard_unsent)
            self._transport.abort()
        self._report_closed()

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to use the transport."""
        # uvloop's transports don't derive from asyncio's, so there is nothing to check at run time.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # pause_writing then means: something is unwritten
        try:
            self._stream = self._network.stream(transport)
        except OSError:
            self._transport.abort()  # without the socket, nobody can tell whether the connection is usable

    def pause_writing(self) -> None:
        """Record that a part of the request is unsent."""
        self._unwritten = True
        if self._sending is not None:
            self._sending.block()

    def resume_writing(self) -> None:
        """Record that all that was written is sent."""
        self._unwritten = False
        if self._sending is not None:
            self._sending.unblock()  # the request ends with it
        else:
            self._report_written()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read; without an exchange, they close the connection."""
        if self._ended is None:
            self.received_unsolicited = True
            self.close()
            return
        self._read(bytes(_BUFFER[:nbytes]))

    def eof_received(self) -> None:
        """End the exchange: the server closed its side."""
        self._reader.end()
        if self._ended is not None and self._reader.response is not None:
            self._answered(self._reader.response)
            return
        self._fail(Failure.UNWRITTEN if self.is_unwritten else Failure.BROKEN)

    def connection_lost(self, _error: Exception | None) -> None:
        """Fail the exchange: the connection broke."""
        self._fail(Failure.UNWRITTEN if self.is_unwritten else Failure.BROKEN)

    # Writing the request

    def _write_chunk(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(encode_chunk(data))

    def _body_ended(self) -> None:
        assert self._sending is not None
        assert self._transport is not None
        if self._sending.length is None:
            self._transport.write(LAST_CHUNK)
        self._sending = None
        if not self._unwritten:
            self._report_written()

    def _report_written(self) -> None:
        on_written, self._on_written = self._on_written, None
        if on_written is not None:
            on_written()

    # Reading the response

    def _make_stream(self, length: int | None) -> BodyStream:
        assert self._budget is not None
        return BodyStream(self._budget, length, self._pause, self._resume)

    def _pause(self) -> None:
        self._is_paused = True
        if self._transport is not None and not self._closed:
            self._transport.pause_reading()

    def _resume(self) -> None:
        self._is_paused = False
        self._last_read_at = self._network.time()
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()

    def _read(self, data: bytes) -> None:
        reader = self._reader
        self._received_bytes += len(data)
        reader.feed(data)
        if reader.response is not None:
            self._answered(reader.response)
        elif reader.is_malformed:
            self._fail(Failure.MALFORMED)
        elif reader.has_partial_message:
            self._charge(reader.cost)
            self._last_read_at = self._network.time()
            if self._stall_timer is None:
                self._stall_timer = self._network.call_later(self._stall_s(), self._check_stall)

    def _charge(self, cost: int) -> None:
        """Set what the partial response is charged for, in bytes."""
        if self._memory is not None and cost != self._charged_bytes:
            self._memory.charge(MemoryUse.ANSWERS, cost - self._charged_bytes)
            self._charged_bytes = cost

    def _stall_s(self) -> float:
        return self._response_stall_s if self._reader.stream is None else _STREAM_STALL_S

    def _check_stall(self) -> None:
        """Fail the exchange if the response has stalled.

        It would else hold its request until the deadline, too late to try another server.  A 1xx response
        starts no timer, and a streamed response may wait for its consumer.
        """
        left_s = self._stall_time_left_s()
        if left_s <= _TIMER_TOLERANCE_S and not self._is_paused:
            self._fail(Failure.MALFORMED)
        else:
            wait_s = self._stall_s() if self._is_paused else left_s
            self._stall_timer = self._network.call_later(wait_s, self._check_stall)

    def _stall_time_left_s(self) -> float:
        """Return how long the response may go on without a further byte, in seconds."""
        now = self._network.time()
        left_s = self._last_read_at + self._stall_s() - now
        if self._stream_deadline is not None and not self._is_large:
            left_s = min(left_s, self._stream_deadline - now)
        return left_s

    @property
    def _is_large(self) -> bool:
        """Whether the streamed response is larger than what is buffered, as received or as announced."""
        stream = self._reader.stream
        announced = 0 if stream is None or stream.length is None else stream.length
        return max(announced, self._received_bytes) > MAX_BUFFERED_BODY

    def _stop_timer(self) -> None:
        self._stream_deadline = None
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _answered(self, response: Response) -> None:
        self._stop_timer()
        self._charge(0)
        ended, self._ended = self._ended, None
        outcome: Response | Failure = response
        is_written = not self.is_unwritten
        if response.status == 200 and not is_written:
            outcome = Failure.MALFORMED  # the request was not received yet
        # Nothing in a response names its request: a connection that delivered more than was expected, or
        # before the request was sent, could deliver the response of another one, and is not reused.
        self.received_unsolicited = self._reader.has_extra
        if self._reader.keep_alive and is_written and not self.received_unsolicited:
            self._on_free(self)
        else:
            self.close()
        if ended is not None:
            ended(outcome)

    def _fail(self, failure: Failure) -> None:
        ended = self._ended
        self.close()
        if ended is not None:
            ended(failure)

    def _report_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self._charge(0)
            self._reader.release()
            self._on_closed(self)
