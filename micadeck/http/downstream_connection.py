"""One connection of a client: reads its requests in turn, and writes one answer to each."""

from __future__ import annotations

import asyncio
from typing import cast

from micadeck.engine import FailureCause
from micadeck.engine.send_guard import InvariantViolation
from micadeck.http import error_responses
from micadeck.http.body_stream import BodyStream
from micadeck.http.connection_limits import ConnectionState
from micadeck.http.connection_ports import RequestTaker, StateKeeper
from micadeck.http.h1 import (
    CONTINUE,
    LAST_CHUNK,
    MAX_BODY_BYTES,
    Headers,
    Request,
    RequestReader,
    Response,
    chunk,
    head_of,
)
from micadeck.http.request_validation import BadRequestError
from micadeck.memory.budget import OPEN_REQUEST_COST
from micadeck.network import Stream

_MAX_PIPELINED_BYTES = 8 << 10  # read behind an open request, so that the client's end behind them is seen
_HEALTH_PATH = b"/_health"
_MAX_UNREAD_S = 60.0  # more is nonsense


class DownstreamConnection(asyncio.BufferedProtocol):
    """One connection of a client, one request at a time.

    Owns its socket, the reader of its requests, and the body that is passed on in either direction.
    """

    def __init__(self, listener: RequestTaker, table: StateKeeper) -> None:
        self._listener = listener
        self._table = table
        self._reader = RequestReader(MAX_BODY_BYTES, self._make_body_stream, listener.budget.max_buffered)
        self._body: BodyStream | None = None  # that of the current request, where it is passed on
        self._upload: BodyStream | None = None  # the same, while it still comes
        self._download: Response | None = None  # the answer that is passed on
        self._is_chunked = False  # and how its body is framed
        self._closes = False  # whether the connection ends with it
        self._transport: asyncio.Transport | None = None
        self._stream: Stream | None = None
        self._request: Request | None = None  # the current one
        self._open_request: int | None = None  # its number at the engine, while an answer is due
        self._is_writing_paused = False
        self._is_reading_paused = False
        self._pipelined_bytes = 0  # received behind an open request, waiting for their turn
        self.state = ConnectionState.NEW
        self.since = 0.0  # when it came to that state; for a part of a request, when that began
        self._request_cost = 0  # what the open request costs of memory, in bytes
        self.held_bytes = 0  # the same, with what was pipelined behind it; the table sets it
        self.received_bytes = 0  # since the current request began
        self.received_at = 0.0  # when the last byte was received
        self.blocked_since: float | None = None  # since when the client takes nothing of its answer
        self.linger_s = 0.0  # how long the client may go on sending once it is rejected
        self.remaining_us = 0  # of the current request, from its last byte on
        self.client_has_left = False  # as far as was seen
        self.answers = 0  # requests that were answered here

    @property
    def is_idle(self) -> bool:
        """Whether closing it now loses nothing, not even a request that lies unread in the socket."""
        return (
            self.state in (ConnectionState.IDLE, ConnectionState.NEW)
            and not self.has_unsent
            and self._stream is not None
            and not self._stream.has_unread()
        )

    @property
    def unsent_bytes(self) -> int:
        """How much the client has not taken of what was written."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def has_unsent(self) -> bool:
        """Whether the client has not taken all that was written."""
        return bool(self.unsent_bytes)

    @property
    def has_left(self) -> bool:
        """Whether the client ended it, unseen by an event loop that reads no further for now."""
        return self._is_reading_paused and self._stream is not None and self._stream.has_ended()

    @property
    def has_complete_request(self) -> bool:
        """Whether a request was read whole that has not had its turn: closing would lose it."""
        return bool(self._reader.requests)

    @property
    def has_head(self) -> bool:
        """Whether the head of the request at hand is whole."""
        return self._reader.has_head

    # What the engine calls

    def served(self, response: Response) -> None:
        """Answer with a server's response; see `ResponseHandler`."""
        if response.stream is None:
            self.answer(*error_responses.served(response))
        else:
            self._open_request = None
            response.stream.end()  # what the client has not taken yet still goes out

    def refused(self, retry_after_us: int) -> None:
        """Answer that the request was shed; see `ResponseHandler`."""
        self.answer(*error_responses.refused(retry_after_us))

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:  # noqa: ARG002  # of the port
        """Answer that the request failed; see `ResponseHandler`."""
        if self._download is None:
            self.answer(*error_responses.failed(cause))
        else:
            self._open_request = None
            self.cut()  # so that nobody takes the part that went out for the whole

    def begin(self, response: Response) -> bool:
        """Pass an answer's head on, and its body as it comes; say whether anybody takes it."""
        open_request, stream, request = self._open_request, response.stream, self._request
        if open_request is None or stream is None or request is None or self._transport is None:
            return False
        if self._transport.is_closing() or not self._listener.engine.response_started(open_request):
            return False
        self._download = response
        headers = error_responses.streamed_headers(response)
        self._is_chunked = stream.length is None and request.version == "1.1"
        self._closes = self._listener.is_draining or not request.keep_alive or self._upload is not None
        if stream.length is not None:
            headers.append((b"content-length", b"%d" % stream.length))
        elif self._is_chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            self._closes = True  # the end of the connection is that of the answer
        if self._closes:
            headers.append((b"connection", b"close"))
        self._transport.write(head_of(200, headers))
        if self._is_writing_paused:
            self._block(stream)
        stream.open(self._write_piece, self._download_ended)
        return True

    # Answers

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the one answer to the open request."""
        self._open_request = None
        if self._body is not None and self._upload is None:
            self._drop_body()
        if self._transport is None or self._transport.is_closing():
            return
        request, self._request = self._request, None
        is_rejected = self.state is ConnectionState.CLOSING
        is_last = request is not None and not request.keep_alive
        closing = self._listener.is_draining or is_rejected or is_last
        if self._upload is not None and not is_rejected:
            self._end_during_upload()
            is_rejected = closing = True
        if closing:
            headers = [*headers, (b"connection", b"close")]
        with_body = request is None or request.method != b"HEAD"
        self._transport.write(Response(status, headers, body).encode(with_body=with_body))
        if is_rejected:
            self._hang_up()
        elif closing:
            self.close()
        else:
            self._become_idle()

    def _become_idle(self) -> None:
        self.answers += 1
        self.received_bytes = self._request_cost = 0
        self._table.move(self, ConnectionState.IDLE)
        if self._reader.has_part or self._reader.requests or self._reader.fault is not None:
            # Guards against waiting for data when the next request came in one piece with this one.
            self.received_at = self._listener.network.time()  # reading was held up until now
            self._table.move(self, ConnectionState.READING)
            self._table.hold_memory(self, self._reader.cost)
            self._listener.network.call_soon(self._advance_and_count)
        elif not self._is_writing_paused:
            self._resume_reading()

    def close(self) -> None:
        """End our side in order, once all that was written is sent; the client ends the other.

        The one way out for a connection that nothing is wrong with.  Guards against a close over bytes that
        come in that moment: it would reset the connection, and take the last answer with it.  What comes
        after our end is dropped, so no server sees it, and the client may send it again elsewhere.
        """
        if self.state is ConnectionState.CLOSING or self._transport is None or self._transport.is_closing():
            return
        if self._download is not None:
            self.cut()  # guards against an answer that is passed on, and goes on behind our end
            return
        self._table.move(self, ConnectionState.CLOSING)
        self.linger_s = self._listener.linger_s
        self._hang_up()

    def cut(self) -> None:
        """Close it whatever is unsent."""
        is_streaming = self._upload is not None or self._download is not None  # the client sees it break off
        if self._open_request is not None and not is_streaming and not self.client_has_left:
            request_id = self._listener.engine.request_id(self._open_request)
            self._listener.engine.invariants.record(InvariantViolation.CLOSED_UNANSWERED, request_id)
        if self._transport is not None:
            self._transport.abort()

    def reject(self, status: int, text: str = "") -> None:
        """Answer what can't be served, then hang up, whatever else was sent behind it.

        Guards against a client that sends malformed requests as fast as they are rejected, and against taking
        what follows one for a request.
        """
        open_request, self._open_request = self._open_request, None
        self._drop_upload()
        if open_request is not None:
            # Its last byte was not received, so no server has begun it.
            self._listener.engine.client_disconnected(open_request)
        self._table.move(self, ConnectionState.CLOSING)
        self.linger_s = self._listener.linger_s
        self.answer(status, [], f"{text}\n".encode() if text else b"")

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an accepted connection."""
        # uvloop's class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        try:
            self._stream = self._listener.network.stream(transport)
        except OSError:
            # Nobody could tell whether its client has left: it is closed unread.
            self.state = ConnectionState.CLOSING
            self._transport.abort()
            return
        self._table.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  # asyncio's signature
        """Read into the buffer that all connections share."""
        return self._listener.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        try:
            self._read(nbytes)
        except Exception as defect:
            # Guards against a connection that the event loop closes for it, its request without an answer.
            self._listener.engine.report_defect(f"a client's connection: {defect!r}")
            self.reject(500)

    def _read(self, nbytes: int) -> None:
        now = self._listener.network.time()
        if self.state is ConnectionState.CLOSING:
            self.received_at = now
            return
        if self.state in (ConnectionState.IDLE, ConnectionState.NEW):
            self._table.move(self, ConnectionState.READING)
        self.received_bytes += nbytes
        self._reader.feed(bytes(self._listener.buffer[:nbytes]), self._arrived_at(now))
        if self._upload is None:
            self._advance_and_count()
        else:
            self._continue_upload()
        has_more = self._reader.has_part or self._reader.requests or self._reader.fault is not None
        if not has_more:
            return
        self.received_at = self._listener.network.time()
        if self._upload is None and (self._open_request is not None or self._download is not None):
            # Guards against a client that sends without end behind its open request.
            self._pipelined_bytes += nbytes
            if self._pipelined_bytes >= _MAX_PIPELINED_BYTES:
                self._pause_reading()

    def _arrived_at(self, now: float) -> float:
        """When the bytes that were just read came into the socket, as far as the system tells."""
        assert self._stream is not None
        return now - min(self._stream.seconds_since_received(), _MAX_UNREAD_S)

    def pause_writing(self) -> None:
        """Hold back whoever writes: the client takes less than it is sent."""
        self._is_writing_paused = True
        if self._download is not None and self._download.stream is not None:
            self._block(self._download.stream)
        elif self._upload is None and self.state is not ConnectionState.CLOSING:
            self._pause_reading()

    def resume_writing(self) -> None:
        """Go on: the client has taken what was written."""
        self._is_writing_paused = False
        self.blocked_since = None
        if self._download is not None and self._download.stream is not None:
            self._download.stream.unblock()
        if self._download is None:
            self._advance_and_count()

    def eof_received(self) -> None:
        """The client ended its side, so it waits for no answer."""
        self._end_client()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """Forget everything of a connection that is closed."""
        self._end_client()
        self._drop_upload()
        self._table.remove(self)
        self.state = ConnectionState.CLOSING

    # The client's end

    def leave(self) -> None:
        """The client left, which reading would only show behind what it sent ahead."""
        self.client_has_left = True
        self._end_client()
        self.cut()

    def check_client_end(self) -> None:
        """Find out whether the client has left, where its end lies unread."""
        if self.has_left:
            self.leave()

    def _end_client(self) -> None:
        open_request, self._open_request = self._open_request, None
        if open_request is not None:
            self._listener.engine.client_disconnected(open_request)
        download, self._download = self._download, None
        if download is not None and download.stream is not None:
            download.stream.drop()
            if open_request is not None and download.abandon is not None:
                download.abandon()  # the server need not send what nobody takes

    # Bodies that are passed on

    def _make_body_stream(self, length: int | None) -> BodyStream:
        return BodyStream(self._listener.budget, length, self._pause_reading, self._resume_upload)

    def _resume_upload(self) -> None:
        self.received_at = self._listener.network.time()  # it was not the client that stalled
        self._resume_reading()

    def _continue_upload(self) -> None:
        """Look what came of the body of the request at hand."""
        upload = self._upload
        assert upload is not None
        now = self._listener.network.time()
        if upload.has_ended:
            self._upload = None
            if self._open_request is not None:
                self._table.move(self, ConnectionState.SERVING)
                unread_us = int((now - self._arrived_at(now)) * 1e6)
                self._listener.engine.request_completed(self._open_request, self.remaining_us - unread_us)
        elif self._reader.fault is not None:
            self.reject(self._reader.fault)

    def _end_during_upload(self) -> None:
        """It is answered, and its request still comes.

        Guards against cutting the answer off: the client may not look for it before all is sent.
        """
        self._table.move(self, ConnectionState.CLOSING)
        self.linger_s = self._listener.upload_linger_s
        self._drop_upload()

    def _drop_upload(self) -> None:
        """Whatever still comes is no request's."""
        self._upload = None
        self._drop_body()
        self._reader.release()

    def _drop_body(self) -> None:
        body, self._body = self._body, None
        if body is not None:
            body.drop()

    def _block(self, stream: BodyStream) -> None:
        self.blocked_since = self._listener.network.time()
        stream.block()

    def _write_piece(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(chunk(data) if self._is_chunked else data)

    def _download_ended(self) -> None:
        """All of the answer has gone out."""
        self._download = self._request = None
        if self._body is not None and self._upload is None:
            self._drop_body()
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_chunked:
            self._transport.write(LAST_CHUNK)
        if self._upload is not None:
            self._end_during_upload()
            self._hang_up()
        elif self._closes or self._listener.is_draining:
            self._transport.close()
        else:
            self._become_idle()

    @property
    def is_trailing(self) -> bool:
        """Whether the rest of an answer goes out that the server has given whole."""
        return self._download is not None and self._open_request is None

    @property
    def is_waiting_for_more(self) -> bool:
        """Whether a body comes that nobody holds up."""
        return self._upload is None or not self._upload.is_paused

    def _advance(self) -> None:
        """Read on as far as what has come allows."""
        while (
            self._open_request is None
            and self._download is None
            and self.state is not ConnectionState.CLOSING
            and self._transport is not None
            and not self._transport.is_closing()
        ):
            if self._is_writing_paused:
                return  # guards against a client that asks on and on, and reads no answer
            if self._reader.requests:
                self._take(self._reader.take())
            elif self._reader.fault is not None:
                self.reject(self._reader.fault)
            else:
                if self._reader.awaits_continue:
                    self._reader.awaits_continue = False
                    self._transport.write(CONTINUE)
                self._pipelined_bytes = 0
                self._resume_reading()
                return

    def _advance_and_count(self) -> None:
        """Read on, then count what that left here: once, after a request that came whole was taken."""
        self._advance()
        if self._upload is None and self.state is not ConnectionState.CLOSING:
            self._table.hold_memory(self, self._request_cost + self._reader.cost)

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _take(self, request: Request) -> None:
        self._request = request
        stream = self._body = request.stream
        if stream is not None and not stream.has_ended:
            self._upload = stream
            self._table.release_memory(self)  # from here on its pipe counts it
            self._table.move(self, ConnectionState.UPLOADING)
        else:
            self._table.move(self, ConnectionState.SERVING)
            self._request_cost = request.cost + OPEN_REQUEST_COST
        if request.target == _HEALTH_PATH:
            if self._listener.is_healthy:
                self.answer(200, [], b"ready\n")
            else:
                self.answer(503, [], b"draining\n")
            return
        if self._stream is not None and self._stream.has_ended():
            self.leave()  # guards against sending on what nobody waits for any more
            return
        try:
            self._open_request = self._listener.take(request, self)
        except BadRequestError as fault:
            self.reject(fault.status, str(fault))
        if self._upload is not None:
            self._continue_upload()

    def _hang_up(self) -> None:
        """End our side and let the client finish sending, for a while.

        Guards against cutting the connection under an answer: with bytes unread, a close resets it, and the
        client may never see why.
        """
        assert self._transport is not None and self._stream is not None
        self._reader.release()
        self.received_at = self._listener.network.time()
        if not self.has_unsent:
            # At once, not in a later round of the loop: no request is read before our end and yet dropped.
            self._stream.shutdown_write()
        elif self._transport.can_write_eof():
            self._transport.write_eof()
        self._resume_reading()  # what still comes is dropped
