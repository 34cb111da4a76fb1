"""The client's side of one HTTP/1.1 connection: one exchange at a time.

It sends nothing by itself and nothing twice: whoever calls `exchange` decides what is written, and when.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, unique
from typing import cast

from micadeck.http.body_stream import MAX_BUFFERED_BYTES, BodyStream, BufferBudget
from micadeck.http.h1 import LAST_CHUNK, Request, Response, ResponseReader, chunk
from micadeck.memory.budget import MemoryUse
from micadeck.network import Network, Stream, Timer

_ANSWER_TIMEOUT_S = 0.25  # without a byte, once an answer has begun to come
_STREAM_STALL_S = 4.0  # and once it is passed on: then there is nobody else to ask
BEYOND_TIME_S = 0.25  # how long after its request's time an answer that is passed on may still end
_TIMER_TOLERANCE_S = 0.001  # a timer may fire this much early


@unique
class Failure(Enum):
    """Why an exchange has no answer."""

    UNWRITTEN = "unwritten"  # the connection broke before the request's last byte was written
    BROKEN = "broken"  # it broke or ended after that
    MALFORMED = "spoilt"  # the response is not HTTP, can be read in two ways, is too large or has no end
    ABANDONED = "abandoned"  # nobody takes the rest of its answer


# What every connection reads into; each read is used up before the next.  Guards against answers that keep
# coming: an event loop's own buffer is 256 KiB for each read, and several may come before one can close.
_BUFFER = memoryview(bytearray(32 << 10))

Ended = Callable[[Response | Failure], None]


class ClientConnection(asyncio.BufferedProtocol):
    """A connection to a server.

    `on_free` is called when it can be used again, `on_closed` once when it never can.
    """

    def __init__(
        self,
        network: Network,
        max_bytes: int,
        on_free: Callable[[ClientConnection], None],
        on_closed: Callable[[ClientConnection], None],
        answer_timeout_s: float = _ANSWER_TIMEOUT_S,
        budget: BufferBudget | None = None,
    ) -> None:
        self._network = network
        self._max_bytes = max_bytes
        self._on_free = on_free
        self._on_closed = on_closed
        self._answer_timeout_s = answer_timeout_s
        self._answer_timer: Timer | None = None  # runs while a part of an answer is there
        self._transport: asyncio.Transport | None = None
        self._stream: Stream | None = None
        self._budget = budget  # of what is passed on; None: every answer is kept
        self._memory = None if budget is None else budget.memory
        self._booked = 0  # there, of the answer that comes
        if budget is None:
            self._reader = ResponseReader(max_bytes)
        else:
            self._reader = ResponseReader(max_bytes, self._make_body_stream, budget.max_buffered)
        self._sending: BodyStream | None = None  # the body of the request, while it is passed on
        self._received_at = 0.0
        self._is_paused = False  # whoever takes the answer takes nothing for now
        self._end_by: float | None = None  # of an answer that is passed on, unless it is large
        self._streamed_bytes = 0  # bytes of it
        self._ended: Ended | None = None
        self._on_written: Callable[[], None] | None = None  # until the request is written whole
        self._unwritten = False
        self._closed = False
        self.brought_more = False  # than the answers that were due

    # What the owner calls

    def is_usable(self) -> bool:
        """Whether a request may be written now: open, idle, and nothing was received unasked.

        Guards against the race with a peer that closes an idle connection: its end may lie in the socket
        before the event loop has seen it, and a request written then may have run, for all one can tell.
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
        max_body: int | None = None,
    ) -> None:
        """Write a request; `ended` is called exactly once, but never from within this call.

        `on_written` is called once its last byte is written, if that comes to pass.  `begin` gets the head
        of an answer that is too large to be kept, before `ended`, and says whether anybody takes the body.
        `most_body` bounds the answer's body further, in bytes.
        """
        assert self._transport is not None and self._ended is None
        self._ended = ended
        self._streamed_bytes = 0
        self._reader.expect(begin, max_body)
        self._transport.write(request.encode())
        if request.stream is not None:
            self._on_written = on_written
            self._sending = request.stream
            chunked = request.stream.length is None
            request.stream.open(self._write_chunk if chunked else self._transport.write, self._body_ended)
        elif self._transport.is_closing():
            self._unwritten = True  # the write failed at once; connection_lost follows
        elif self._unwritten:
            self._on_written = on_written
        else:
            on_written()

    @property
    def is_unwritten(self) -> bool:
        """Whether a part of the request has not left: then no server has begun it."""
        return self._unwritten or self._sending is not None

    def end_by(self, at: float) -> None:
        """Give an answer that is passed on until then, on the network's clock, unless it proves large.

        Of a large one only the first bytes are timed: it ends with its last byte, or once it stalls.
        """
        self._stop_timer()
        self._end_by = at
        self._received_at = self._network.time()
        self._answer_timer = self._network.call_later(self._time_left_s(), self._check_progress)

    def abandon(self) -> None:
        """Nobody takes the rest of the answer."""
        self._fail(Failure.ABANDONED)

    def close(self) -> None:
        """Give the connection up.  An exchange under way is dropped without a word.

        Its sending ends within this call, before anything that the caller may write elsewhere next: the
        transport itself closes its socket only in a later round of the event loop, and until then a further
        attempt would be a second copy beside this one.
        """
        # Guards rule 2: a request that is held up on its way would come long after its attempt was given up.
        drops = self._ended is not None
        self._ended = self._on_written = None
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
        # uvloop's class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # pause_writing then means: something is unwritten
        try:
            self._stream = self._network.stream(transport)
        except OSError:
            self._transport.abort()  # without it nobody can tell whether it is usable

    def pause_writing(self) -> None:
        """A part of what was written has not left."""
        self._unwritten = True
        if self._sending is not None:
            self._sending.block()

    def resume_writing(self) -> None:
        """All that was written has left."""
        self._unwritten = False
        if self._sending is not None:
            self._sending.unblock()  # its end is the request's
        else:
            self._is_written()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  # asyncio's signature
        """Read into the buffer that all connections share."""
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        if self._ended is None:
            self.brought_more = True  # nothing was asked
            self.close()
            return
        self._read(bytes(_BUFFER[:nbytes]))

    def eof_received(self) -> None:
        """The server ended its side, which may be the end of an answer."""
        self._reader.end()
        if self._ended is not None and self._reader.response is not None:
            self._answered(self._reader.response)
            return
        self._fail(Failure.UNWRITTEN if self.is_unwritten else Failure.BROKEN)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """End the exchange under way."""
        self._fail(Failure.UNWRITTEN if self.is_unwritten else Failure.BROKEN)

    # Reading and writing

    def _write_chunk(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(chunk(data))

    def _body_ended(self) -> None:
        assert self._sending is not None and self._transport is not None
        if self._sending.length is None:
            self._transport.write(LAST_CHUNK)
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
        if self._transport is not None and not self._closed:
            self._transport.pause_reading()

    def _resume(self) -> None:
        self._is_paused = False
        self._received_at = self._network.time()
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()

    def _read(self, data: bytes) -> None:
        reader = self._reader
        self._streamed_bytes += len(data)
        reader.feed(data)
        if reader.response is not None:
            self._answered(reader.response)
        elif reader.is_malformed:
            self._fail(Failure.MALFORMED)
        elif reader.has_part:
            self._book(reader.cost)
            self._received_at = self._network.time()
            if self._answer_timer is None:
                self._answer_timer = self._network.call_later(self._stall_s(), self._check_progress)

    def _book(self, cost: int) -> None:
        """Count what is kept of the answer now, in bytes."""
        if self._memory is not None and cost != self._booked:
            self._memory.charge(MemoryUse.ANSWERS, cost - self._booked)
            self._booked = cost

    def _stall_s(self) -> float:
        return self._answer_timeout_s if self._reader.stream is None else _STREAM_STALL_S

    def _check_progress(self) -> None:
        """Guards against an answer that was begun and never ends.

        It would hold its request until the deadline, too late to try another server.  A 1xx ahead begins
        nothing, and one that is passed on waits for whoever takes it.
        """
        left_s = self._time_left_s()
        if left_s <= _TIMER_TOLERANCE_S and not self._is_paused:
            self._fail(Failure.MALFORMED)
        else:
            wait_s = self._stall_s() if self._is_paused else left_s
            self._answer_timer = self._network.call_later(wait_s, self._check_progress)

    def _time_left_s(self) -> float:
        """How long the answer may still go on as it does now, in seconds."""
        now = self._network.time()
        left_s = self._received_at + self._stall_s() - now
        if self._end_by is not None and not self._is_large:
            left_s = min(left_s, self._end_by - now)
        return left_s

    @property
    def _is_large(self) -> bool:
        """Whether the answer that is passed on is, or says that it is, larger than what is kept whole."""
        stream = self._reader.stream
        said = 0 if stream is None or stream.length is None else stream.length
        return max(said, self._streamed_bytes) > MAX_BUFFERED_BYTES

    def _stop_timer(self) -> None:
        self._end_by = None
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None

    def _answered(self, response: Response) -> None:
        self._stop_timer()
        self._book(0)
        ended, self._ended = self._ended, None
        how: Response | Failure = response
        is_written = not self.is_unwritten
        if response.status == 200 and not is_written:
            how = Failure.MALFORMED  # it can't be the answer to what is not there yet
        # Guards against an answer that belongs to another request: nothing in it names its own, so a
        # connection that brought more than was due, or before all was asked, is never used again.
        self.brought_more = self._reader.has_more
        if self._reader.keep_alive and is_written and not self.brought_more:
            self._on_free(self)
        else:
            self.close()
        if ended is not None:
            ended(how)

    def _fail(self, failure: Failure) -> None:
        ended = self._ended
        self.close()
        if ended is not None:
            ended(failure)

    def _report_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self._book(0)
            self._reader.release()
            self._on_closed(self)
