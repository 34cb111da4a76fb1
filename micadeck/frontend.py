"""The application's side: its requests come in over HTTP, and each gets one answer."""

from __future__ import annotations

import asyncio
import hashlib
import re
import select
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import h11

from magpiemux.interface import Repeat, ServiceClass, Settings
from micadeck.client import Address, Headers, Message

MOST_BODY = 64 << 10
_BACKLOG = 1_024
_LINGER_S = 1.0  # how long a client may go on sending what is refused unread, before its connection is cut
_HEALTH = b"/_health"
_READ_AHEAD = 2 * MOST_BODY  # what a client may send beyond the request at hand, before reading pauses

_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_TIMEOUT = re.compile(rb"[0-9]{1,5}(\.[0-9]{0,9})?")
_HINT = re.compile(rb"[0-9]{1,15}")
_OWN = frozenset(
    b"host request-id request-class tenant request-timeout client-retry work-hint idempotency-key".split()
)
# Headers that concern one connection only, and those that are made anew for the server.
_NOT_PASSED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" request-timeout content-length".split()
)
_ALWAYS_PASSED = frozenset((b"host", b"request-id", b"idempotency-key"))  # whatever `Connection` says of them


class BadRequest(Exception):
    """What came is not a request of this protocol."""


@dataclass(slots=True)
class Incoming:
    """A client's request, read and checked."""

    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None
    client_retry: bool
    method: bytes
    target: bytes
    headers: Headers  # as they go on to a server, but for the time that it has
    body: bytes

    def message(self, left_us: int) -> Message:
        """The same request as a server gets it, when the sidecar will wait for so long."""
        return Message(
            self.method,
            self.target,
            [*self.headers, (b"request-timeout", b"%.3f" % (left_us / 1e6))],
            self.body,
        )


def read_request(
    event: h11.Request, body: bytes, settings: Settings, classes: Mapping[str, ServiceClass]
) -> Incoming:
    """Check a request; raise BadRequest on what no server must see."""
    own: dict[bytes, bytes] = {}
    headers: Headers = []
    dropped = _NOT_PASSED
    for name, value in event.headers:
        if name == b"connection":
            dropped = dropped | {each.strip().lower() for each in value.split(b",")}
    for name, value in event.headers:
        if name in _OWN:
            if name in own:
                raise BadRequest(f"{name.decode()} stands twice")
            own[name] = value
        if name not in dropped or name in _ALWAYS_PASSED:
            headers.append((name, value))
    _header(own, b"host")  # HTTP/1.0 may leave it out; towards servers it may not be
    kind = classes.get(_header(own, b"request-class").decode("latin-1"))
    if kind is None:
        raise BadRequest("request-class is unknown")
    if not _REQUEST_ID.fullmatch(_header(own, b"request-id")):
        raise BadRequest("request-id is nonsense")
    timeout = _header(own, b"request-timeout")
    remaining_us = round(float(timeout) * 1e6) if _TIMEOUT.fullmatch(timeout) else 0
    if remaining_us <= 0:
        raise BadRequest("request-timeout is nonsense")
    is_get = event.method == b"GET"
    if (event.method not in (b"GET", b"POST")) or is_get != (kind.repeat is Repeat.SAFE):
        raise BadRequest("the method is not that of the class")
    if (b"idempotency-key" in own) != (kind.repeat is Repeat.KEYED) or own.get(b"idempotency-key") == b"":
        raise BadRequest("idempotency-key does not go with the class")
    if not event.target.startswith(b"/"):
        raise BadRequest("the target is no path")
    hint = own.get(b"work-hint")
    if hint is not None and not _HINT.fullmatch(hint):
        raise BadRequest("work-hint is nonsense")
    if body or not is_get:
        headers.append((b"content-length", b"%d" % len(body)))
    tenant = own.get(b"tenant", b"").decode("latin-1")
    return Incoming(
        service_class=kind.name,
        tenant=tenant if any(each.name == tenant for each in settings.tenants) else None,
        key=_key(event.target),
        remaining_us=remaining_us,
        cost_us=int(hint) if hint is not None else None,
        client_retry=own.get(b"client-retry") == b"1",
        method=event.method,
        target=event.target,
        headers=headers,
        body=body,
    )


def _header(own: Mapping[bytes, bytes], name: bytes) -> bytes:
    value = own.get(name)
    if value is None:
        raise BadRequest(f"{name.decode()} is missing")
    return value


def _key(target: bytes) -> int | None:
    """What the request is about, as a number: requests about one thing have the same."""
    last = target.partition(b"?")[0].rpartition(b"/")[2]
    return int.from_bytes(hashlib.blake2b(last, digest_size=6).digest(), "big") if last else None


class ClientSide(asyncio.Protocol):
    """One connection of the application, one request at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend
        self._http = h11.Connection(h11.SERVER)
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._owed: int | None = None  # the open request
        self._is_writing_paused = False
        self._ended = False  # no more is read from it

    @property
    def is_idle(self) -> bool:
        """Whether closing it now loses no request, not even one that lies unread in the socket."""
        return self._owed is None and self._request is None and not self._ended and not self._poll.poll(0)

    @property
    def is_stalled(self) -> bool:
        """Whether it holds no more than a part of a request, which nobody has taken yet."""
        return self._owed is None and not self._ended

    # What the sidecar calls

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the one answer to the open request."""
        self._owed = None
        if self._transport is None or self._transport.is_closing():
            return
        closing = self._frontend.is_draining or self._ended
        if closing:
            headers = [*headers, (b"connection", b"close")]
        if self._request is not None and self._request.method == b"HEAD":
            body = b""  # it allows none, not even with a refusal
        send = self._http.send
        try:
            head = send(
                h11.Response(status_code=status, headers=[*headers, (b"content-length", b"%d" % len(body))])
            )
            rest = send(h11.Data(data=body)) if body else b""
            send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            self._transport.abort()  # the client ended its side in a way that leaves no room for an answer
            return
        self._transport.write((head or b"") + (rest or b""))
        if self._ended:
            self._hang_up()
        elif self._http.our_state is h11.DONE and self._http.their_state is h11.DONE and not closing:
            self._http.start_next_cycle()
            self._request = None
            self._body = bytearray()
            self._frontend.at_rest(self)
            if self._http.trailing_data[0]:
                # Guards against waiting for data when the next request came in one piece with this one.
                asyncio.get_running_loop().call_soon(self._advance)
            if not self._is_writing_paused:
                self._transport.resume_reading()
        else:
            self._transport.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._frontend.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._ended:
            return
        self._http.receive_data(data)
        self._advance()
        ahead = len(self._http.trailing_data[0]) if self._owed is not None else 0
        if ahead > _READ_AHEAD and self._transport is not None:
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        self._is_writing_paused = True
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
            self._advance()

    def eof_received(self) -> None:
        self._gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone()
        self._ended = True
        self._frontend.closed(self)

    # The rest

    def _gone(self) -> None:
        owed, self._owed = self._owed, None
        if owed is not None:
            self._frontend.gone(owed)

    def _advance(self) -> None:
        """Read on as far as what has come allows."""
        while self._owed is None and not self._ended and self._transport is not None:
            if self._is_writing_paused:
                return  # guards against a client that asks on and on, and reads no answer
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as fault:
                self._reject(fault.error_status_hint)
                return
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    go_on = self._http.send(h11.InformationalResponse(status_code=100, headers=[]))
                    self._transport.write(go_on or b"")
                return
            if isinstance(event, h11.Request):
                self._request = event
                length = next((value for name, value in event.headers if name == b"content-length"), b"0")
                if int(length) > MOST_BODY:
                    self._reject(413)
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > MOST_BODY:
                    self._reject(413)
            elif isinstance(event, h11.EndOfMessage):
                self._taken()
            else:  # paused, or closed
                return

    def _taken(self) -> None:
        assert self._request is not None
        if self._request.target == _HEALTH:
            self.answer(200, [], b"ready\n")
            return
        try:
            incoming = self._frontend.read(self._request, bytes(self._body))
        except BadRequest as fault:
            self.answer(400, [], f"{fault}\n".encode())
            return
        self._owed = self._frontend.arrived(self, incoming)

    def _reject(self, status: int) -> None:
        """Answer what can't be read on, then hang up."""
        self._ended = True
        self.answer(status, [], b"")

    def _hang_up(self) -> None:
        """End our side and let the client finish sending, for a while.

        Guards against cutting the connection under an answer: with bytes unread, a close resets it, and the
        client may never see why.
        """
        assert self._transport is not None
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(_LINGER_S, self._transport.close)


class Frontend:
    """All connections of the application, `most` of them at rest or at work."""

    def __init__(
        self,
        settings: Settings,
        most: int,
        on_arrival: Callable[[ClientSide, Incoming], int | None],
        on_gone: Callable[[int], None],
    ) -> None:
        self._settings = settings
        self._classes = {each.name: each for each in settings.classes}
        self._most = most
        self.arrived = on_arrival
        self.gone = on_gone
        self.is_draining = False
        self._connections: dict[ClientSide, None] = {}  # the longest at rest first
        self._server: asyncio.Server | None = None
        self.last_opened = 0.0

    async def listen(self, address: Address) -> None:
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientSide(self), *address, backlog=_BACKLOG, reuse_address=True
        )

    @property
    def port(self) -> int:
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def read(self, event: h11.Request, body: bytes) -> Incoming:
        return read_request(event, body, self._settings, self._classes)

    def drain(self) -> None:
        """Let go of connections at rest; every further answer closes its own."""
        self.is_draining = True
        self.close_idle()

    def close_idle(self) -> None:
        for each in [each for each in self._connections if each.is_idle]:
            each.close()

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    @property
    def open_connections(self) -> int:
        return len(self._connections)

    # What connections report

    def opened(self, connection: ClientSide) -> None:
        self._connections[connection] = None
        self.last_opened = asyncio.get_running_loop().time()
        if len(self._connections) > self._most:
            others = [each for each in self._connections if each is not connection]
            spare = next((each for each in others if each.is_idle), None)
            spare = spare or next((each for each in others if each.is_stalled), None)
            if spare is not None:
                spare.close()

    def at_rest(self, connection: ClientSide) -> None:
        self._connections.pop(connection, None)
        self._connections[connection] = None

    def closed(self, connection: ClientSide) -> None:
        self._connections.pop(connection, None)
