"""The application's side: its connections, their limits, and one answer to each request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum, unique
from itertools import chain, islice
from typing import cast

from micadeck.engine import Engine, FailureCause, RequestIdInUseError
from micadeck.engine.send_guard import InvariantViolation
from micadeck.http import error_responses
from micadeck.http.body_stream import BodyStream, BufferBudget
from micadeck.http.h1 import (
    CONTINUE,
    LAST_CHUNK,
    MOST_BODY,
    Headers,
    Request,
    RequestReader,
    Response,
    chunk,
    head_of,
)
from micadeck.http.idle_connections import IdleConnections, rest_for_s
from micadeck.http.request_validation import BadRequestError, read_request
from micadeck.http.settings_versions import STRAY_US, SettingsVersions
from micadeck.memory.budget import OPEN_REQUEST_COST, MemoryUse
from micadeck.network import Address, Listener, Network, Stream, Timer
from micadeck.policy.settings import Settings

_ACCEPTED_AT_ONCE = 8  # connections, before those that are open get their turn
_READ_AT_ONCE = 8 << 10
_MOST_BEHIND = 8 << 10  # bytes read on behind an open request, so that the client's end behind them is seen
_HEALTH = b"/_health"
_LONGEST_UNREAD_S = 60.0  # more is nonsense
_TURN_SPARE_S = 0.002  # guards against a timer that fires early: it would fire in vain


@dataclass(frozen=True, slots=True)
class DownstreamLimits:
    """What one client may take of the sidecar; times in seconds."""

    header_timeout_s: float = (
        2.5  # from the connection, or the first byte of a further request, to its whole head
    )
    request_timeout_s: float = 2.6  # and to its last byte
    least_bytes_per_s: float = 48e3  # and longer for a large one, as long as so much of it comes
    stall_s: float = 2.0  # but never so long without a byte of it
    reading_s: float = 15.0  # how long a client may take nothing of an answer that is passed on
    idle_timeout_s: float = 5.0  # at rest after an answer, while there is room
    greeting_s: float = 0.25  # how long one that connected is spared before its silence counts against it
    linger_s: float = 0.5  # how long a client that was turned away may go on sending before it is cut off
    upload_linger_s: float = 5.0  # or one that was answered while its request still came
    sweep_s: float = 0.1  # how often the times are looked at
    most_bytes: int = 4 << 20  # of requests, read in part or whole, over all connections


@unique
class State(IntEnum):
    """What a client's connection is about.

    Numbers, since they are keys that are looked up several times a request: those of a plain Enum are hashed
    by a call.
    """

    ENDING = 1  # it has its last answer
    SILENT = 2  # not a byte came yet
    RESTING = 3  # its requests are answered
    READING = 4  # a part of a request came
    UPLOADING = 5  # and more than that: a request was taken whose body is still coming
    SERVING = 6  # an answer is owed; never closed for room


class DownstreamConnection(asyncio.BufferedProtocol):
    """One connection of the application, one request at a time."""

    def __init__(self, frontend: HttpListener) -> None:
        self._frontend = frontend
        self._reader = RequestReader(MOST_BODY, self._make_pipe, frontend.budget.most_kept)
        self._body: BodyStream | None = None  # that of the request at hand, where it is passed on
        self._upload: BodyStream | None = None  # the same, while it still comes
        self._download: Response | None = None  # the answer that is passed on
        self._is_chunked = False  # and how its body is framed
        self._closes = False  # whether the connection ends with it
        self._transport: asyncio.Transport | None = None
        self._stream: Stream | None = None
        self._request: Request | None = None  # the one at hand
        self._owed: int | None = None  # the open request
        self._is_writing_paused = False
        self._is_reading_paused = False
        self._behind = 0  # bytes that came behind an open request, and wait for their turn
        self.state = State.SILENT
        self.since = 0.0  # when it came to that state; for a part of a request, when that began
        self._at_hand = 0  # what the open request costs of memory, in bytes
        self.held = 0  # the same, with what came behind it
        self.came = 0  # bytes since the request at hand began
        self.heard_at = 0.0  # when the last byte came
        self.blocked_since: float | None = None  # since when the client takes nothing of its answer
        self.linger_s = 0.0  # once it is turned away
        self.remaining_us = 0  # of the request at hand, from its last byte on
        self.has_gone = False  # the client left, as far as was seen
        self.answers = 0  # requests that came to their answer here

    @property
    def is_idle(self) -> bool:
        """Whether closing it now loses nothing, not even a request that lies unread in the socket."""
        return (
            self.state in (State.RESTING, State.SILENT)
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
    def has_whole_request(self) -> bool:
        """Whether a request was read whole that has not had its turn: closing would lose it."""
        return bool(self._reader.requests)

    @property
    def has_head(self) -> bool:
        """Whether the head of the request at hand is whole."""
        return self._reader.has_head

    # What the engine calls

    def served(self, response: Response) -> None:
        if response.stream is None:
            self.answer(*error_responses.served(response))
        else:
            self._owed = None
            response.stream.end()  # what the client has not taken yet still goes out

    def refused(self, retry_after_us: int) -> None:
        self.answer(*error_responses.refused(retry_after_us))

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        if self._download is None:
            self.answer(*error_responses.failed(cause))
        else:
            self._owed = None
            self.cut()  # so that nobody takes the part that went out for the whole

    def begin(self, response: Response) -> bool:
        """Pass an answer's head on, and its body as it comes; say whether anybody takes it."""
        owed, stream, request = self._owed, response.stream, self._request
        if owed is None or stream is None or request is None or self._transport is None:
            return False
        if self._transport.is_closing() or not self._frontend.engine.started(owed):
            return False
        self._download = response
        headers = error_responses.begun(response)
        self._is_chunked = stream.length is None and request.version == "1.1"
        self._closes = self._frontend.is_draining or not request.keep_alive or self._upload is not None
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

    # What the front calls

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the one answer to the open request."""
        self._owed = None
        if self._body is not None and self._upload is None:
            self._drop_body()
        if self._transport is None or self._transport.is_closing():
            return
        request, self._request = self._request, None
        turned_away = self.state is State.ENDING
        is_last = request is not None and not request.keep_alive
        closing = self._frontend.is_draining or turned_away or is_last
        if self._upload is not None and not turned_away:
            self._end_amid_upload()
            turned_away = closing = True
        if closing:
            headers = [*headers, (b"connection", b"close")]
        with_body = request is None or request.method != b"HEAD"
        self._transport.write(Response(status, headers, body).encode(with_body=with_body))
        if turned_away:
            self._hang_up()
        elif closing:
            self.close()
        else:
            self._rest()

    def _rest(self) -> None:
        self.answers += 1
        self.came = self._at_hand = 0
        self._frontend.moved(self, State.RESTING)
        if self._reader.has_part or self._reader.requests or self._reader.fault is not None:
            # Guards against waiting for data when the next request came in one piece with this one.
            self.heard_at = self._frontend.network.time()  # reading was held up until now
            self._frontend.moved(self, State.READING)
            self._frontend.holds(self, self._reader.cost)
            self._frontend.network.call_soon(self._advance_and_hold)
        elif not self._is_writing_paused:
            self._resume_reading()

    def close(self) -> None:
        """End our side in order, once all that was written is sent; the client ends the other.

        The one way out for a connection that nothing is wrong with.  Guards against a close over bytes that
        come in that moment: it would reset the connection, and take the last answer with it.  What comes
        after our end is dropped, so no server sees it, and the client may send it again elsewhere.
        """
        if self.state is State.ENDING or self._transport is None or self._transport.is_closing():
            return
        if self._download is not None:
            self.cut()  # guards against an answer that is passed on, and goes on behind our end
            return
        self._frontend.moved(self, State.ENDING)
        self.linger_s = self._frontend.linger_s
        self._hang_up()

    def cut(self) -> None:
        """Close it whatever is unsent."""
        is_whole = self._upload is None and self._download is None  # else the client can tell that it failed
        if self._owed is not None and is_whole and not self.has_gone:
            ident = self._frontend.engine.ident(self._owed)
            self._frontend.engine.invariants.broken(InvariantViolation.CLOSED_UNANSWERED, ident)
        if self._transport is not None:
            self._transport.abort()

    def reject(self, status: int, text: str = "") -> None:
        """Answer what can't be served, then hang up, whatever else came behind it.

        Guards against a client that sends nonsense as fast as it is turned away, and against taking what
        follows nonsense for a request.
        """
        owed, self._owed = self._owed, None
        self._drop_upload()
        if owed is not None:
            self._frontend.engine.client_disconnected(
                owed
            )  # its last byte never came, so no server has begun it
        self._frontend.moved(self, State.ENDING)
        self.linger_s = self._frontend.linger_s
        self.answer(status, [], f"{text}\n".encode() if text else b"")

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        try:
            self._stream = self._frontend.network.stream(transport)
        except OSError:
            self.state = State.ENDING  # nobody could tell whether its client has left: it is closed unread
            self._transport.abort()
            return
        self._frontend.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._frontend.buffer

    def buffer_updated(self, nbytes: int) -> None:
        try:
            self._read(nbytes)
        except Exception as defect:
            # Guards against a connection that the event loop closes for it, its request without an answer.
            self._frontend.engine.defect(f"a client's connection: {defect!r}")
            self.reject(500)

    def _read(self, nbytes: int) -> None:
        now = self._frontend.network.time()
        if self.state is State.ENDING:
            self.heard_at = now
            return
        if self.state in (State.RESTING, State.SILENT):
            self._frontend.moved(self, State.READING)
        self.came += nbytes
        self._reader.feed(bytes(self._frontend.buffer[:nbytes]), self._arrived_at(now))
        if self._upload is None:
            self._advance_and_hold()
        else:
            self._go_on_uploading()
        behind = self._reader.has_part or self._reader.requests or self._reader.fault is not None
        if not behind:
            return
        self.heard_at = self._frontend.network.time()
        if self._upload is None and (self._owed is not None or self._download is not None):
            # Guards against a client that sends on and on behind its open request: none of it is due yet.
            self._behind += nbytes
            if self._behind >= _MOST_BEHIND:
                self._pause_reading()

    def _arrived_at(self, now: float) -> float:
        """When the bytes that were just read came into the socket, as far as the system tells."""
        assert self._stream is not None
        return now - min(self._stream.seconds_since_received(), _LONGEST_UNREAD_S)

    def pause_writing(self) -> None:
        self._is_writing_paused = True
        if self._download is not None and self._download.stream is not None:
            self._block(self._download.stream)
        elif self._upload is None and self.state is not State.ENDING:
            self._pause_reading()

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        self.blocked_since = None
        if self._download is not None and self._download.stream is not None:
            self._download.stream.unblock()
        if self._download is None:
            self._advance_and_hold()

    def eof_received(self) -> None:
        self._gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone()
        self._drop_upload()
        self._frontend.closed(self)
        self.state = State.ENDING

    # The rest

    def leave(self) -> None:
        """The client left, which reading would only show behind what it sent ahead."""
        self.has_gone = True
        self._gone()
        self.cut()

    def look_for_end(self) -> None:
        if self.has_left:
            self.leave()

    def _gone(self) -> None:
        owed, self._owed = self._owed, None
        if owed is not None:
            self._frontend.engine.client_disconnected(owed)
        download, self._download = self._download, None
        if download is not None and download.stream is not None:
            download.stream.drop()
            if owed is not None and download.abandon is not None:
                download.abandon()  # the server need not send what nobody takes

    # Bodies that are passed on

    def _make_pipe(self, length: int | None) -> BodyStream:
        return BodyStream(self._frontend.budget, length, self._pause_reading, self._resume_upload)

    def _resume_upload(self) -> None:
        self.heard_at = self._frontend.network.time()  # it was not the client that stalled
        self._resume_reading()

    def _go_on_uploading(self) -> None:
        """Look what came of the body of the request at hand."""
        upload = self._upload
        assert upload is not None
        now = self._frontend.network.time()
        if upload.has_ended:
            self._upload = None
            if self._owed is not None:
                self._frontend.moved(self, State.SERVING)
                unread_us = int((now - self._arrived_at(now)) * 1e6)
                self._frontend.engine.request_completed(self._owed, self.remaining_us - unread_us)
        elif self._reader.fault is not None:
            self.reject(self._reader.fault)

    def _end_amid_upload(self) -> None:
        """It is answered, and its request still comes.

        Guards against cutting the answer off: the client may not look for it before all is sent.
        """
        self._frontend.moved(self, State.ENDING)
        self.linger_s = self._frontend.upload_linger_s
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
        self.blocked_since = self._frontend.network.time()
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
            self._end_amid_upload()
            self._hang_up()
        elif self._closes or self._frontend.is_draining:
            self._transport.close()
        else:
            self._rest()

    @property
    def is_tail(self) -> bool:
        """Whether the rest of an answer goes out that the server has given whole."""
        return self._download is not None and self._owed is None

    @property
    def is_waiting_for_more(self) -> bool:
        """Whether a body comes that nobody holds up."""
        return self._upload is None or not self._upload.is_paused

    def _advance(self) -> None:
        """Read on as far as what has come allows."""
        while (
            self._owed is None
            and self._download is None
            and self.state is not State.ENDING
            and self._transport is not None
            and not self._transport.is_closing()
        ):
            if self._is_writing_paused:
                return  # guards against a client that asks on and on, and reads no answer
            if self._reader.requests:
                self._taken(self._reader.take())
            elif self._reader.fault is not None:
                self.reject(self._reader.fault)
            else:
                if self._reader.awaits_continue:
                    self._reader.awaits_continue = False
                    self._transport.write(CONTINUE)
                self._behind = 0
                self._resume_reading()
                return

    def _advance_and_hold(self) -> None:
        """Read on, then count what that left here: once, after a request that came whole was taken."""
        self._advance()
        if self._upload is None and self.state is not State.ENDING:
            self._frontend.holds(self, self._at_hand + self._reader.cost)

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _taken(self, request: Request) -> None:
        self._request = request
        stream = self._body = request.stream
        if stream is not None and not stream.has_ended:
            self._upload = stream
            self._frontend.let_go(self)  # from here on its pipe counts it
            self._frontend.moved(self, State.UPLOADING)
        else:
            self._frontend.moved(self, State.SERVING)
            self._at_hand = request.cost + OPEN_REQUEST_COST
        if request.target == _HEALTH:
            if self._frontend.is_healthy:
                self.answer(200, [], b"ready\n")
            else:
                self.answer(503, [], b"draining\n")
            return
        if self._stream is not None and self._stream.has_ended():
            self.leave()  # guards against sending on what nobody waits for any more
            return
        try:
            self._owed = self._frontend.take(request, self)
        except BadRequestError as fault:
            self.reject(fault.status, str(fault))
        if self._upload is not None:
            self._go_on_uploading()

    def _hang_up(self) -> None:
        """End our side and let the client finish sending, for a while.

        Guards against cutting the connection under an answer: with bytes unread, a close resets it, and the
        client may never see why.
        """
        assert self._transport is not None and self._stream is not None
        self._reader.release()
        self.heard_at = self._frontend.network.time()
        if not self.has_unsent:
            # At once, not in a later round of the loop: no request is read before our end and yet dropped.
            self._stream.shutdown_write()
        elif self._transport.can_write_eof():
            self._transport.write_eof()
        self._resume_reading()  # what still comes is dropped


class HttpListener:
    """All connections of the application, never more than `most`."""

    def __init__(
        self,
        settings: Settings,
        limits: DownstreamLimits,
        engine: Engine,
        network: Network,
        budget: BufferBudget,
    ) -> None:
        self.budget = budget  # of bodies that are passed on as they come
        self.linger_s = limits.linger_s
        self.upload_linger_s = limits.upload_linger_s
        self._generations = SettingsVersions(settings)
        self.on_settings: Callable[[Settings], object] = _nobody  # called when others come into force
        self.most = 0  # connections; set by whoever knows how many descriptors there are
        self._limits = limits
        self.engine = engine
        self.network = network
        self.is_draining = False  # every answer closes its connection
        self.is_healthy = True  # what `/_health` says
        self.buffer = memoryview(bytearray(_READ_AT_ONCE))  # each read is used up before the next
        self._by_state: dict[State, dict[DownstreamConnection, None]] = {each: {} for each in State}
        self._resting: IdleConnections[DownstreamConnection] = IdleConnections()
        self._held = 0
        self._listener: Listener | None = None
        self._sweep: Timer | None = None
        self.last_opened = 0.0

    def listen(self, address: Address) -> None:
        # Shared with the process that takes over from this one, or that this one takes over from.
        self._listener = self.network.listen(
            lambda: DownstreamConnection(self), address, _ACCEPTED_AT_ONCE, shared=True
        )
        self._sweep_later()

    @property
    def port(self) -> int:
        assert self._listener is not None
        return self._listener.port

    def take(self, request: Request, client: DownstreamConnection) -> int | None:
        """Bring a request to the engine; raise BadRequest on what no server must see."""
        generations = self._generations
        if generations.is_settled:
            incoming = read_request(request, generations)
        else:
            before = generations.settings
            try:
                incoming = read_request(request, generations, self.network.now())
            finally:
                if generations.settings is not before:
                    self.on_settings(generations.settings)
        incoming.begin = client.begin
        incoming.look_for_end = client.look_for_end
        if request.arrived_at and incoming.is_complete:
            # Its time counts from its last byte, wherever it waited since: unread, or behind another.
            incoming.remaining_us -= int((self.network.time() - request.arrived_at) * 1e6)
        client.remaining_us = incoming.remaining_us
        if not incoming.is_complete:
            length = MOST_BODY if request.stream is None else request.stream.length or MOST_BODY
            limits = self._limits
            upload_s = limits.request_timeout_s + length / limits.least_bytes_per_s
            incoming.remaining_us += int(upload_s * 1e6)  # its own time counts from its last byte
        try:
            return self.engine.take(incoming, client)
        except RequestIdInUseError:
            raise BadRequestError("request-id is that of an open request", 409) from None

    @property
    def tails(self) -> int:
        """Answers that servers have given whole, and clients have not taken; any thread may ask."""
        return sum(each.is_tail for each in list(self._by_state[State.SERVING]))

    def announce(self, settings: Settings) -> None:
        """Put these in force once clients follow them."""
        due = self._generations.announce(settings, self.network.now())
        for at in (due, due + STRAY_US):
            self.network.call_later((at - self.network.now()) / 1e6 + _TURN_SPARE_S, self._turn)

    def _turn(self) -> None:
        if self._generations.turn(self.network.now()):
            self.on_settings(self._generations.settings)

    def close_idle(self) -> None:
        """Close what is at rest; one that has just connected has its request on the way."""
        silent_since = self.network.time() - self._limits.greeting_s
        for each in [each for each in self.connections() if each.is_idle]:
            if each.state is not State.SILENT or each.since <= silent_since:
                each.close()

    def trim(self) -> None:
        """Close what is at rest beyond `most`, the one that rests longest first."""
        idle = (each for each in list(self._by_state[State.RESTING]) if each.is_idle)
        for each in islice(idle, max(self.open_connections - self.most, 0)):
            each.close()

    def close_resting(self) -> None:
        """Close every connection on which no answer is owed and no request has begun.

        One with a request unread is left for now: it is read in the next round, and its answer is the last.
        """
        for state in (State.RESTING, State.SILENT):
            for each in list(self._by_state[state]):
                if each.has_unsent:
                    each.cut()
                elif each.is_idle:
                    each.close()

    def close_all(self) -> None:
        """Close every connection; for when no answer is owed any more."""
        for each in list(self.connections()):
            each.close()

    def stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
        if self._sweep is not None:
            self._sweep.cancel()

    @property
    def is_accepting(self) -> bool:
        """Whether a client was accepted that has not been heard of here."""
        return self._listener is not None and self._listener.is_accepting

    @property
    def open_connections(self) -> int:
        return sum(len(each) for each in self._by_state.values())

    def connections(self) -> Iterator[DownstreamConnection]:
        for each in self._by_state.values():
            yield from each

    # What connections report

    def opened(self, connection: DownstreamConnection) -> None:
        self.last_opened = connection.since = self.network.time()
        if self.open_connections >= self.most and not self._make_room():
            connection.state = State.ENDING  # guards the limit on descriptors: there is none to close for it
            connection.cut()
            return
        self._by_state[State.SILENT][connection] = None

    def moved(self, connection: DownstreamConnection, state: State) -> None:
        before = connection.state
        if state is before:
            return
        self._by_state[before].pop(connection, None)
        self._by_state[state][connection] = None
        connection.state = state
        if state is State.READING:
            if before is State.SILENT:
                return  # its time runs from the connection on
            if before is State.RESTING:
                self._resting.asks(connection)
        connection.since = self.network.time()
        if state is State.RESTING or state is State.ENDING:
            self.let_go(connection)
        if state is State.RESTING:
            self._resting.rests(connection, connection.answers, self.most)
            if self._resting.too_many(self.most):
                # After this round, so that a request that came in one piece with the last one is seen.
                self.network.call_soon(self._close_spare)

    def holds(self, connection: DownstreamConnection, cost: int) -> None:
        """Count what a connection's requests cost of memory, in bytes; over the limit, the oldest half-sent
        one goes.

        Guards against many clients that each send a part of a large request, and no more.
        """
        self._held_by(connection, cost)
        while self._held > self._limits.most_bytes and self.give_up_oldest():
            pass

    def _held_by(self, connection: DownstreamConnection, cost: int) -> None:
        more = cost - connection.held
        if not more:
            return
        connection.held = cost
        self._held += more
        if self.budget.memory is not None:
            self.budget.memory.charge(MemoryUse.REQUESTS, more)

    def give_up_oldest(self) -> bool:
        """Turn away the request that has been half sent for longest; say whether there was one."""
        oldest = next(self._half_sent(), None)
        if oldest is None:
            return False
        oldest.reject(503)
        return True

    def _half_sent(self) -> Iterator[DownstreamConnection]:
        """Connections on which only a part of a request has come, the one that is at it for longest first."""
        return (each for each in self._by_state[State.READING] if not each.has_whole_request)

    def _longest_without_request(self) -> list[DownstreamConnection]:
        """Of those that have sent no whole request, the one that has held its place for longest."""
        first = [*islice(self._by_state[State.SILENT], 1), *islice(self._half_sent(), 1)]
        return [min(first, key=lambda each: each.since)] if first else []

    @property
    def half_sent(self) -> int:
        """Connections on which a request has come in part."""
        return len(self._by_state[State.READING])

    @property
    def unsent_bytes(self) -> int:
        """What clients have not taken of their error_responses."""
        return sum(each.unsent_bytes for each in self.connections())

    def closed(self, connection: DownstreamConnection) -> None:
        self._by_state[connection.state].pop(connection, None)
        self._resting.ends(connection)
        self.let_go(connection)

    def _close_spare(self) -> None:
        """Close what rests beyond its part of the room, and no connection with a request unread.

        Guards against clients that ask once on each connection and keep it: they may hold only so many, and
        when all of those rest here, no request can come until some are closed.
        """
        idle = (each for each in self._resting.spare(self.most) if each.is_idle)
        for each in list(islice(idle, self._resting.too_many(self.most))):
            self._resting.ends(each)
            each.close()

    def let_go(self, connection: DownstreamConnection) -> None:
        """Hold nothing of it any more."""
        self._held_by(connection, 0)

    def _make_room(self) -> bool:
        """Close the connection that is missed least; never one that is owed an answer."""
        now = self.network.time()
        silent_since, unsent_since = now - self._limits.greeting_s, now - self._limits.stall_s
        spare = next(
            chain(
                (each for each in self._by_state[State.ENDING] if not each.has_unsent),
                # Guards against closing a client that has just connected, its request on the way, while
                # others rest: it would be left without an answer.
                (each for each in islice(self._by_state[State.SILENT], 1) if each.since <= silent_since),
                (each for each in self._by_state[State.RESTING] if each.is_idle),
                # Guards those who have just connected against clients that hold all the room with requests
                # that never end.
                self._longest_without_request(),
                # Not taken yet, since its last byte has not come: guards against bodies that come for ever.
                self._by_state[State.UPLOADING],
                # Its last answer has not left: last of all, and not before it had its time.
                (each for each in self._by_state[State.ENDING] if each.since <= unsent_since),
            ),
            None,
        )
        if spare is None:
            return False
        self._by_state[spare.state].pop(spare)
        spare.cut()
        return True

    # Time limits

    def _sweep_later(self) -> None:
        self._sweep = self.network.call_later(self._limits.sweep_s, self._close_overdue)

    def _close_overdue(self) -> None:
        """Close what has taken too long: every descriptor that a client holds for nothing is another's."""
        now, limits = self.network.time(), self._limits
        for each in list(self._by_state[State.SILENT]):
            if now - each.since >= limits.header_timeout_s:
                each.close()
        for each in list(self._by_state[State.READING]):
            if now - each.since >= limits.header_timeout_s and not each.has_head:
                each.reject(408)
        for each in [*self._by_state[State.READING], *self._by_state[State.UPLOADING]]:
            # A body comes at its pace, as long as it comes at all; one that is held up here waits for us.
            allowed = limits.request_timeout_s + each.came / limits.least_bytes_per_s
            is_late = now - each.since >= allowed or now - each.heard_at >= limits.stall_s
            if each.has_head and each.is_waiting_for_more and is_late:
                each.reject(408)
        for each in list(self._by_state[State.SERVING]):
            if each.blocked_since is not None and now - each.blocked_since >= limits.reading_s:
                each.cut()
        for each in [*self._by_state[State.SERVING], *self._by_state[State.UPLOADING]]:
            if each.has_left:
                each.leave()
        rest_s = rest_for_s(limits.idle_timeout_s, self.open_connections, self.most)
        for each in list(self._by_state[State.RESTING]):
            if now - each.since < rest_s:
                break  # they stand in the order in which they came to rest
            if each.is_idle:
                each.close()
            elif each.has_unsent:
                each.cut()  # else a request lies unread, and is read in the next round
        for each in list(self._by_state[State.ENDING]):
            if each.has_unsent and now - each.since < limits.reading_s:
                continue  # its last answer still goes out
            lingers = now - each.since < each.linger_s
            if not lingers or (each.linger_s > limits.linger_s and now - each.heard_at >= limits.linger_s):
                each.cut()
        self._sweep_later()


def _nobody(settings: Settings) -> None:
    """Nobody hears of other settings."""
