"""One client connection: reads its requests in order and writes one answer to each."""

from __future__ import annotations

import asyncio
from typing import cast

from micadeck.engine import FailureCause
from micadeck.engine.send_guard import InvariantViolation
from micadeck.http import error_responses
from micadeck.http.body_stream import BodyStream
from micadeck.http.connection_limits import ConnectionState
from micadeck.http.connection_ports import ConnectionRegistry, ListenerPort
from micadeck.http.downstream_socket import DownstreamSocket
from micadeck.http.h1 import MAX_BODY_BYTES, RequestReader
from micadeck.http.messages import CONTINUE, LAST_CHUNK, Headers, Request, Response, encode_chunk, encode_head
from micadeck.http.request_validation import BadRequestError
from micadeck.http.upload_clock import UploadClock
from micadeck.memory.budget import OPEN_REQUEST_COST
from micadeck.network import DeferredCall

_MAX_PIPELINED_BYTES = 8 << 10  # read ahead while a request is open, so that an EOF after them is noticed
_HEALTH_PATH = b"/_health"


class DownstreamConnection(DownstreamSocket):
    """One client connection, which serves one request at a time.

    Owns the socket, the request reader and the body streams in both directions.
    """

    def __init__(self, listener: ListenerPort, table: ConnectionRegistry) -> None:
        super().__init__(listener.network, listener.budget)
        self._listener = listener
        self._table = table
        max_buffered = listener.budget.max_buffered
        self._reader = RequestReader(MAX_BODY_BYTES, self._make_body_stream, max_buffered, parses_ahead=False)
        self._body: BodyStream | None = None  # streamed body of the current request, if any
        self._upload: BodyStream | None = None  # the same, until it is received completely
        self._upload_clock: UploadClock | None = None  # until the request's time counts
        self._upload_paused_at = 0.0
        self._download: Response | None = None  # the answer that is being streamed to the client
        self._is_chunked = False  # whether the streamed answer uses chunked encoding
        self._close_after_answer = False  # whether to close once the streamed answer is sent
        self._request: Request | None = None  # the current request
        self._open_request: int | None = None  # its number in the engine, until it is answered
        self._pipelined_bytes = 0  # received after the open request and not processed yet
        self._deferred_processing = DeferredCall(listener.network)
        self.state = ConnectionState.NEW
        self.since = 0.0  # when it entered the state; while READING, when the request began
        self._request_cost = 0  # memory charged for the open request, in bytes
        self.held_bytes = 0  # the same, including pipelined requests; set by the table
        self.received_bytes = 0  # since the current request began
        self.received_at = 0.0  # when the last byte was received
        self.blocked_since: float | None = None  # since when the client has not read its streamed answer
        self.linger_s = 0.0  # how long the client may keep sending after the connection is half-closed
        self.remaining_us = 0  # time budget of the current request, counted from its last byte
        self.client_disconnected = False  # whether an unread EOF was found on the socket
        self.answers = 0  # answers after which the connection was kept open

    @property
    def is_idle(self) -> bool:
        """Whether it can be closed without losing data, including a request unread in the socket."""
        return (
            self.state in (ConnectionState.IDLE, ConnectionState.NEW)
            and not self.has_unsent
            and self._stream is not None
            and not self._stream.has_unread()
        )

    @property
    def has_complete_request(self) -> bool:
        """Whether a complete request is queued, which closing would lose."""
        return bool(self._reader.requests)

    @property
    def has_head(self) -> bool:
        """Whether the head of the partial request is complete."""
        return self._reader.has_head

    # What the engine calls

    def served(self, response: Response) -> None:
        """Answer with a server's response; see `ResponseHandler`."""
        if response.stream is None:
            self.answer(*error_responses.served(response))
        else:
            self._open_request = None
            response.stream.end()  # buffered data is still sent

    def refused(self, retry_after_us: int) -> None:
        """Answer that the request was shed; see `ResponseHandler`."""
        self.answer(*error_responses.refused(retry_after_us))

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:  # noqa: ARG002  # signature of the port
        """Answer that the request failed; see `ResponseHandler`."""
        if self._download is None:
            self.answer(*error_responses.failed(cause))
        else:
            self._open_request = None
            self.abort()  # so that the client does not take the truncated answer for a complete one

    def start_streaming(self, response: Response) -> bool:
        """Send the head and start streaming the body; return False if the client is gone."""
        open_request, stream, request = self._open_request, response.stream, self._request
        if open_request is None or stream is None or request is None or self._transport is None:
            return False
        engine = self._listener.engine
        if self._transport.is_closing() or not engine.response_started(open_request, response.attempt):
            return False
        self._download = response
        headers = error_responses.streamed_headers(response)
        self._is_chunked = stream.length is None and request.version == "1.1"
        must_close = not request.keep_alive or self._upload is not None
        self._close_after_answer = must_close or self._closes_when_drained
        if stream.length is not None:
            headers.append((b"content-length", b"%d" % stream.length))
        elif self._is_chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            self._close_after_answer = True  # the body is delimited by the end of the connection
        if self._close_after_answer:
            headers.append((b"connection", b"close"))
        self._write(encode_head(200, headers))
        if self._is_writing_paused:
            self._block(stream)
        stream.open(self._write_piece, self._download_ended)
        return True

    # Answers

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the final answer to the open request."""
        self._open_request = None
        if self._body is not None and self._upload is None:
            self._drop_body()
        if self._transport is None or self._transport.is_closing():
            return
        request, self._request = self._request, None
        is_rejected = self.state is ConnectionState.CLOSING
        is_last = request is not None and not request.keep_alive
        closing = self._closes_when_drained or is_rejected or is_last
        if self._upload is not None and not is_rejected:
            self._end_during_upload()
            is_rejected = closing = True
        if is_last:
            self._reader.release()  # what the client sent behind its last request gets no answer
        if closing:
            headers = [*headers, (b"connection", b"close")]
        with_body = request is None or request.method != b"HEAD"
        self._write(Response(status, headers, body).encode(with_body=with_body))
        if is_rejected:
            self._half_close()
        elif closing:
            self.close()
        else:
            self._become_idle()

    @property
    def _closes_when_drained(self) -> bool:
        """Whether the listener drains, and no further request was read, not even in part."""
        return self._listener.is_draining and not self._reader.has_unprocessed

    def _become_idle(self) -> None:
        self.answers += 1
        self.received_bytes = self._request_cost = 0
        self._table.move(self, ConnectionState.IDLE)
        if self._reader.has_unprocessed:
            # The next request may have been received together with this one, so don't wait for more data.
            self.received_at = self._network.time()  # reading was paused until now
            self._table.move(self, ConnectionState.READING)
            self._table.hold_memory(self, self._reader.cost)
            self._deferred_processing.schedule(self._process_and_charge)
        elif not self._is_writing_paused:
            self._resume_reading()

    def close(self) -> None:
        """Half-close the connection once all written data is sent; the client closes the other side.

        Every healthy connection is closed this way.  Data received afterwards is dropped and reaches no
        server, so the client may safely send it again elsewhere.
        """
        if self.state is ConnectionState.CLOSING or self._transport is None or self._transport.is_closing():
            return
        if self._download is not None:
            self.abort()  # a streamed answer must not continue after the half-close
            return
        if self._open_request is None and self._reader.requests:
            self._reader.parse_all()
            self._write(error_responses.refuse_all(self._reader.requests))
        self._table.move(self, ConnectionState.CLOSING)
        self.linger_s = self._listener.linger_s
        self._half_close()

    def abort(self) -> None:
        """Close at once and discard unsent data."""
        is_streaming = self._upload is not None or self._download is not None  # the client sees a truncation
        if self._open_request is not None and not is_streaming and not self.client_disconnected:
            request_id = self._listener.engine.request_id(self._open_request)
            self._listener.engine.invariants.record(InvariantViolation.CLOSED_UNANSWERED, request_id)
        if self._transport is not None:
            self._transport.abort()

    def reject(self, status: int, text: str = "") -> None:
        """Answer with an error, then half-close and ignore everything sent after it.

        Prevents a client from sending malformed requests as fast as they are rejected, and the bytes after
        one from being parsed as a request.
        """
        open_request, self._open_request = self._open_request, None
        self._drop_upload()
        if open_request is not None:
            # The request is incomplete, so no server has started on it.
            self._listener.engine.client_disconnected(open_request)
        self._table.move(self, ConnectionState.CLOSING)
        self.linger_s = self._listener.linger_s
        self.answer(status, [], f"{text}\n".encode() if text else b"")

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an accepted connection."""
        # uvloop's transport is not a subclass of asyncio.Transport, so isinstance can't check it.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # so pause_writing means: data is unsent
        try:
            self._stream = self._network.stream(transport)
        except OSError:
            # Without the stream a disconnect can't be detected, so close the connection unread.
            self.state = ConnectionState.CLOSING
            self._transport.abort()
            return
        self._table.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002  # asyncio's signature
        """Return the read buffer that all connections share, less of it where memory is short."""
        buffer = self._listener.buffer
        return buffer[: self._listener.budget.read_size(len(buffer))]

    def buffer_updated(self, nbytes: int) -> None:
        """Process received data."""
        try:
            self._read(nbytes)
        except Exception as defect:
            # Otherwise the event loop would close the connection with the request unanswered.
            self._listener.engine.report_defect(f"a client's connection: {defect!r}")
            self.reject(500)

    def _read(self, nbytes: int) -> None:
        now = self._network.time()
        if self.state is ConnectionState.CLOSING:
            self.received_at = now
            return
        if self._upload is not None and self._stream is not None and self._stream.has_ended():
            self.abort_disconnected()  # what the client sent before it left must not complete its request
            return
        if self.state in (ConnectionState.IDLE, ConnectionState.NEW):
            self._table.move(self, ConnectionState.READING)
        self.received_bytes += nbytes
        self._reader.feed(bytes(self._listener.buffer[:nbytes]), self._arrived_at(now))
        if self._upload is None:
            self._process_and_charge()
        else:
            self._turn.count(nbytes, self._pause_reading, self._resume_after_turn)
            self._continue_upload()
        if not self._reader.has_unprocessed:
            return
        self.received_at = self._network.time()
        if self._upload is None and self._is_waiting:
            # Bounds what a client may send ahead.
            self._pipelined_bytes += nbytes
            if self._pipelined_bytes >= _MAX_PIPELINED_BYTES:
                self._pause_reading()

    def pause_writing(self) -> None:
        """Apply backpressure: the client reads slower than data is written."""
        self._is_writing_paused = True
        if self._download is not None and self._download.stream is not None:
            self._block(self._download.stream)
        elif self._upload is None and self.state is not ConnectionState.CLOSING:
            self._pause_reading()

    def resume_writing(self) -> None:
        """Release backpressure: the client has caught up."""
        self._is_writing_paused = False
        self._unsent.clear()
        self.blocked_since = None
        if self._download is not None and self._download.stream is not None:
            self._download.stream.unblock()
        if self._download is None:
            self._process_and_charge()

    def eof_received(self) -> None:
        """The client closed its side, so it no longer waits for an answer."""
        self._handle_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """Release everything that the closed connection holds."""
        self._handle_disconnect()
        self._drop_upload()
        self._unsent.clear()
        self._table.remove(self)
        self.state = ConnectionState.CLOSING

    # Client disconnects

    def abort_disconnected(self) -> None:
        """Abort: the client disconnected, which reading would only show after pipelined data."""
        self.client_disconnected = True
        self._handle_disconnect()
        self.abort()

    def check_client_disconnect(self) -> None:
        """Check for a client disconnect whose EOF is still unread."""
        if self.has_unread_eof:
            self.abort_disconnected()

    def _handle_disconnect(self) -> None:
        open_request, self._open_request = self._open_request, None
        if open_request is not None:
            self._listener.engine.client_disconnected(open_request)
        download, self._download = self._download, None
        if download is not None and download.stream is not None:
            download.stream.drop()
            if open_request is not None and download.abandon is not None:
                download.abandon()  # the server need not send the rest

    # Streamed bodies

    def _make_body_stream(self, length: int | None) -> BodyStream:
        return BodyStream(self._listener.budget, length, self._pause_upload, self._resume_upload)

    def _pause_upload(self) -> None:
        self._upload_paused_at = self._network.time()
        self._pause_reading()

    def _resume_upload(self) -> None:
        self.received_at = self._network.time()  # the pause was ours, not a stall of the client
        if self.state is ConnectionState.UPLOADING:
            self.since += self.received_at - self._upload_paused_at
        self._resume_reading()

    def _resume_after_turn(self) -> None:
        if not self._is_writing_paused and (self._upload is None or not self._upload.is_paused):
            self._resume_reading()

    def check_upload_time(self, now: float) -> None:
        """Count the time of a large request whose last bytes wait to be read; see `UploadClock`."""
        clock, stream, open_request = self._upload_clock, self._stream, self._open_request
        if clock is None or stream is None or open_request is None:
            return
        left_s = clock.time_left_s(now, self._arrived_at(now), self.received_bytes, stream.unread_bytes())
        if left_s is not None:
            self._upload_clock = None
            self._listener.engine.request_completed(open_request, int(left_s * 1e6))

    def _continue_upload(self) -> None:
        """Handle the end of the streamed request body, or an error in it."""
        upload = self._upload
        assert upload is not None
        now = self._network.time()
        if upload.has_ended:
            self._upload = self._upload_clock = None
            if self._open_request is not None:
                self._table.move(self, ConnectionState.SERVING)
                unread_us = int((now - self._arrived_at(now)) * 1e6)
                self._listener.engine.request_completed(self._open_request, self.remaining_us - unread_us)
        elif self._reader.error_status is not None:
            self.reject(self._reader.error_status)

    def _end_during_upload(self) -> None:
        """Start closing: the request was answered before its body was received.

        Lingers, as the client may not read the answer before it has sent everything.
        """
        self._table.move(self, ConnectionState.CLOSING)
        self.linger_s = self._listener.upload_linger_s
        self._drop_upload()

    def _drop_upload(self) -> None:
        """Stop reading; further data is discarded."""
        self._upload = self._upload_clock = None
        self._drop_body()
        self._reader.release()

    def _drop_body(self) -> None:
        body, self._body = self._body, None
        if body is not None:
            body.drop()

    def _block(self, stream: BodyStream) -> None:
        self.blocked_since = self._network.time()
        stream.block()

    def _write_piece(self, data: bytes) -> None:
        self._write(encode_chunk(data) if self._is_chunked else data)

    def _download_ended(self) -> None:
        """Finish a streamed answer whose body was written."""
        self._download = self._request = None
        if self._body is not None and self._upload is None:
            self._drop_body()
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_chunked:
            self._write(LAST_CHUNK)
        if self._upload is not None:
            self._end_during_upload()
            self._half_close()
        elif self._close_after_answer or self._closes_when_drained:
            self._transport.close()
        else:
            self._become_idle()

    @property
    def is_flushing_answer(self) -> bool:
        """Whether an answer that was received completely is still being sent."""
        return self._download is not None and self._open_request is None

    @property
    def is_waiting_for_client(self) -> bool:
        """Whether nothing but the client delays the rest of the request."""
        return self._upload is None or not self._upload.is_paused

    @property
    def _is_waiting(self) -> bool:
        """Whether queued requests wait: for an open one, the client to read answers, or others' turn."""
        is_busy = self._open_request is not None or self._download is not None
        return is_busy or self._is_writing_paused or self._deferred_processing.is_scheduled

    def _process_requests(self) -> None:
        """Process queued requests until one is open or more data is needed."""
        while not self._is_waiting and self.state is not ConnectionState.CLOSING:
            if self._transport is None or self._transport.is_closing():
                return
            if self._reader.requests:
                self._start_request(self._reader.pop_request())
            elif self._reader.error_status is not None:
                self.reject(self._reader.error_status)
            else:
                if self._reader.awaits_continue:
                    self._reader.awaits_continue = False
                    self._write(CONTINUE)
                self._pipelined_bytes = 0
                self._resume_reading()
                return

    def _process_and_charge(self) -> None:
        """Process queued requests, then charge the memory of what is left, once for all."""
        self._process_requests()
        if self._upload is None and self.state is not ConnectionState.CLOSING:
            self._table.hold_memory(self, self._request_cost + self._reader.cost)

    def _start_request(self, request: Request) -> None:
        self._request = request
        stream = self._body = request.stream
        if stream is not None and not stream.has_ended:
            self._upload = stream
            self._table.release_memory(self)  # from here on the body stream accounts for it
            self._table.move(self, ConnectionState.UPLOADING)
        else:
            self._table.move(self, ConnectionState.SERVING)
            self._request_cost = request.cost + OPEN_REQUEST_COST
        if request.target == _HEALTH_PATH:
            self.answer(*error_responses.health(is_ready=self._listener.is_healthy))
            return
        if self._stream is not None and self._stream.has_ended():
            self.abort_disconnected()  # no server should run a request whose client has disconnected
            return
        try:
            self._open_request = self._listener.submit(request, self)
        except BadRequestError as error:
            self.reject(error.status, str(error))
        if self._upload is not None:
            self._upload_clock = UploadClock(self._upload, self.remaining_us / 1e6)
            self._continue_upload()

    def _half_close(self) -> None:
        """Shut down our side and let the client finish sending, for a limited time.

        A close with unread bytes would reset the connection, and the client might never see the answer.
        """
        assert self._transport is not None and self._stream is not None
        self._reader.release()
        self.received_at = self._network.time()
        if not self.has_unsent:
            # Immediately: before a shutdown in a later loop iteration, a request could be read and dropped.
            self._stream.shutdown_write()
        elif self._transport.can_write_eof():
            self._transport.write_eof()
        self._resume_reading()  # further data is read and discarded
