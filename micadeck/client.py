"""The client's side of one HTTP/1.1 connection: one exchange at a time, and how it ended.

It sends nothing by itself and nothing twice: whoever calls `exchange` decides what is written, and when.
"""

from __future__ import annotations

import asyncio
import ipaddress
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

import h11

from micadeck.framing import fault_in_head

_MOST_INTERIM = 8  # 1xx answers ahead of the one that counts
_ANSWER_TIMEOUT_S = 0.25  # from an answer's first byte to its last: whole ones come in one piece

Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]


def parse_address(value: object) -> Address:
    """Split `address:port`; there is no DNS, so the address must be a numeric one."""
    if not isinstance(value, str):
        raise ValueError(f"address:port is needed, not {value!r:.60}")
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError:
        raise ValueError(f"address:port is needed, not {value!r:.60}") from None
    if not 0 <= number <= 65_535:
        raise ValueError(f"a port from 0 to 65535 is needed, not {number}")
    return host.strip("[]"), number


@dataclass(slots=True)
class Message:
    """A request to write."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(slots=True)
class Response:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


@unique
class Failure(Enum):
    """Why an exchange has no answer."""

    UNWRITTEN = "unwritten"  # the connection broke before the request's last byte was written
    BROKEN = "broken"  # it broke or ended after that
    SPOILT = "spoilt"  # what came is not HTTP, can be read in two ways, is too large or has no end


Ended = Callable[[Response | Failure], None]


class ClientConnection(asyncio.Protocol):
    """One connection.  `on_free` is called when it can be used again, `on_closed` once when it never can."""

    def __init__(
        self,
        most_bytes: int,
        on_free: Callable[[ClientConnection], None],
        on_closed: Callable[[ClientConnection], None],
        answer_timeout_s: float = _ANSWER_TIMEOUT_S,
    ) -> None:
        self._most_bytes = most_bytes
        self._on_free = on_free
        self._on_closed = on_closed
        self._answer_timeout_s = answer_timeout_s
        self._answer_timer: asyncio.TimerHandle | None = None  # runs while a part of an answer is there
        self._interim = 0
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._http = h11.Connection(h11.CLIENT)
        self._ended: Ended | None = None
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._unwritten = False
        self._closed = False

    # What the owner calls

    def is_usable(self) -> bool:
        """Whether a request may be written now: open, at rest, and nothing came that was not asked for.

        Guards against the race with a peer that closes an idle connection: its end may lie in the socket
        before the event loop has seen it, and a request written then may have run, for all one can tell.
        """
        if self._closed or self._transport is None or self._transport.is_closing() or self._ended is not None:
            return False
        return not self._poll.poll(0)

    def exchange(self, message: Message, ended: Ended) -> None:
        """Write a request; `ended` is called exactly once, but never from within this call."""
        assert self._transport is not None and self._ended is None
        self._ended = ended
        self._head = None
        self._interim = 0
        self._body = bytearray()
        send = self._http.send
        head = send(h11.Request(method=message.method, target=message.target, headers=message.headers))
        body = send(h11.Data(data=message.body)) if message.body else b""
        send(h11.EndOfMessage())
        self._transport.write((head or b"") + (body or b""))
        if self._transport.is_closing():
            self._unwritten = True  # the write failed at once; connection_lost follows

    def close(self) -> None:
        """Give the connection up.  An exchange under way is dropped without a word.

        Its sending ends within this call, before anything that the caller may write elsewhere next: the
        transport itself closes its socket only in a later round of the event loop, and until then a further
        attempt would be a second copy beside this one.
        """
        self._ended = None
        self._stop_timer()
        if self._transport is not None and not self._closed:
            try:
                self._transport.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # the peer was quicker
            self._transport.abort()
        self._report_closed()

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)  # pause_writing then means: something is unwritten
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def pause_writing(self) -> None:
        self._unwritten = True

    def resume_writing(self) -> None:
        self._unwritten = False

    def data_received(self, data: bytes) -> None:
        if self._ended is None:
            self.close()  # nothing was asked
            return
        self._read(data)

    def eof_received(self) -> None:
        if self._ended is not None:
            self._read(b"")  # an answer may be framed by its end
        self._fail(Failure.UNWRITTEN if self._unwritten else Failure.BROKEN)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(Failure.UNWRITTEN if self._unwritten else Failure.BROKEN)

    # The rest

    def _read(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            while True:
                raw = self._http.trailing_data[0] if self._head is None else b""
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    if self._answer_timer is None and (self._head or self._http.trailing_data[0]):
                        # Guards against an answer that was begun and never ends: it would hold its request
                        # until the deadline, too late to try another server.  A 1xx ahead begins nothing.
                        self._answer_timer = asyncio.get_running_loop().call_later(
                            self._answer_timeout_s, self._fail, Failure.SPOILT
                        )
                    return
                if isinstance(event, h11.InformationalResponse):
                    self._interim += 1
                    if self._interim > _MOST_INTERIM:
                        self._fail(Failure.SPOILT)
                        return
                elif isinstance(event, h11.Response):
                    self._head = event
                    if fault_in_head(raw) is not None or not self._is_bounded(event):
                        self._fail(Failure.SPOILT)
                        return
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > self._most_bytes:
                        self._fail(Failure.SPOILT)
                        return
                elif isinstance(event, h11.EndOfMessage):
                    self._answered()
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    return
        except h11.RemoteProtocolError:
            if data:  # without, it is the end that came too early
                self._fail(Failure.SPOILT)

    def _is_bounded(self, head: h11.Response) -> bool:
        """Whether the head tells where the answer ends, and that it is not too large.

        Guards against waiting for what will be thrown away, and against taking an answer that broke off for
        a whole one: where nothing but the connection's end frames it, nobody can tell.
        """
        for name, value in head.headers:
            if name == b"content-length":
                return int(value) <= self._most_bytes
            if name == b"transfer-encoding":
                return True
        return head.status_code in (204, 304)

    def _stop_timer(self) -> None:
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None

    def _answered(self) -> None:
        assert self._head is not None
        response = Response(self._head.status_code, list(self._head.headers), bytes(self._body))
        self._body = bytearray()
        self._stop_timer()
        ended, self._ended = self._ended, None
        reusable = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if reusable and not self._unwritten and not self._http.trailing_data[0]:
            self._http.start_next_cycle()
            self._on_free(self)
        else:
            self.close()
        if ended is not None:
            ended(response)

    def _fail(self, failure: Failure) -> None:
        ended = self._ended
        self.close()
        if ended is not None:
            ended(failure)

    def _report_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self._on_closed(self)
