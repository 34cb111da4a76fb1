"""One connection to a server: it logs in, then carries one command at a time and hands the answer on.

It sends nothing by itself and nothing twice; whoever calls `exchange` decides what is written, and when.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from micadeck.mysql.auth import Login, LoginFailed
from micadeck.mysql.protocol.answers import AnswerReader, Kind, Part
from micadeck.mysql.protocol.constants import UTF8MB4, Capability, Command, ErrorCode
from micadeck.mysql.protocol.handshake import Greeting, Response
from micadeck.mysql.protocol.messages import Err, Ok, Prepared
from micadeck.mysql.protocol.packets import PacketReader, frame
from micadeck.mysql.protocol.wire import ProtocolError
from micadeck.mysql.session import Connected
from micadeck.network import Address, Network, Stream

_WANTED = (
    Capability.LONG_PASSWORD
    | Capability.LONG_FLAG
    | Capability.PROTOCOL_41
    | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION
    | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH
    | Capability.PLUGIN_AUTH_LENENC_CLIENT_DATA
    | Capability.SESSION_TRACK
)
_NEEDED = Capability.PROTOCOL_41 | Capability.SECURE_CONNECTION
_MOST_AT_LOGIN = 1 << 16
_MOST_PREPARED = 64


@dataclass(frozen=True, slots=True)
class Credentials:
    """With whom this program logs in at servers."""

    user: str
    password: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Remembered:
    """A statement as this connection knows it."""

    statement: int
    parameters: int


class Lost(Exception):
    """The connection ended; `written`: a byte of the command may have reached the server by then."""

    def __init__(self, *, written: bool) -> None:
        super().__init__("lost")
        self.written = written


class _Exchange:
    """A command that is out, and who hears its answer."""

    __slots__ = ("over", "part", "reader")

    def __init__(
        self, reader: AnswerReader, part: Callable[[Part], None], over: asyncio.Future[AnswerReader]
    ) -> None:
        self.reader = reader
        self.part = part
        self.over = over


class ServerConnection(asyncio.Protocol):
    """`on_closed` is called once, when nothing can be written any more."""

    def __init__(
        self,
        network: Network,
        server: str,
        credentials: Credentials,
        *,
        found_rows: bool,
        most_in_packet: int,
        on_closed: Callable[[ServerConnection], None],
    ) -> None:
        self._network = network
        self.server = server
        self.found_rows = found_rows
        self._credentials = credentials
        self._on_closed = on_closed
        self._packets = PacketReader(_MOST_AT_LOGIN)
        self._most_in_packet = most_in_packet
        self._transport: asyncio.Transport | None = None
        self._stream: Stream | None = None
        self._login: Login | None = None
        self._logged_in: asyncio.Future[None] = asyncio.Future()
        self._exchange: _Exchange | None = None
        self._is_closed = False
        self.capabilities = Capability(0)
        self.thread = 0
        self.state = Connected()
        self.prepared: OrderedDict[tuple[bytes | None, bytes], Remembered] = OrderedDict()
        self.fault: str | None = None  # why it was closed, where the server's packets were the reason

    # What the owner calls

    @staticmethod
    async def open(
        make: Callable[[], ServerConnection], network: Network, address: Address
    ) -> ServerConnection:
        """Dial and log in; raise OSError or LoginFailed.  The caller bounds the time."""
        link = await network.dial(make, address)
        try:
            await link._logged_in
        except BaseException:
            link.close()
            raise
        return link

    def exchange(
        self, command: bytes, kind: Kind, part: Callable[[Part], None]
    ) -> asyncio.Future[AnswerReader]:
        """Write a command; each part of its answer goes to `part`, and the whole reader to the future.

        The future raises Lost if the connection ends first.
        """
        over: asyncio.Future[AnswerReader] = asyncio.Future()
        transport = self._transport
        if self._is_closed or transport is None or transport.is_closing() or self._exchange is not None:
            over.set_exception(Lost(written=False))
            return over
        self._packets.sequence = 0
        self._exchange = _Exchange(AnswerReader(kind, self.capabilities), part, over)
        data, self._packets.sequence = frame(command, 0)
        transport.write(data)
        return over

    def tell(self, command: bytes) -> None:
        """Write a command that has no answer: STMT_CLOSE, STMT_SEND_LONG_DATA."""
        if not self._is_closed and self._transport is not None and not self._transport.is_closing():
            self._transport.write(frame(command, 0)[0])

    @property
    def is_open(self) -> bool:
        return not self._is_closed

    def is_usable(self) -> bool:
        """Whether it may carry a command: open, with nothing unread, not even the server's end."""
        if self._is_closed or self._exchange is not None or not self._packets.is_empty:
            return False
        if self._transport is None or self._transport.is_closing():
            return False
        return self._stream is None or not self._stream.has_unread()

    def hold(self) -> None:
        """Read no more for now: whoever takes the answer is slow."""
        if self._transport is not None and not self._is_closed:
            self._transport.pause_reading()

    def go_on(self) -> None:
        if self._transport is not None and not self._is_closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """End it at once; what is out has ended on return."""
        if self._transport is not None:
            self._transport.abort()
        self._ended()

    def forget_prepared(self) -> None:
        """The server knows none of them any more."""
        self.prepared.clear()

    def remember(self, key: tuple[bytes | None, bytes], prepared: Prepared) -> Remembered:
        """Keep what was prepared; the one that was not used for longest is closed for it."""
        known = self.prepared[key] = Remembered(prepared.statement, prepared.parameters)
        if len(self.prepared) > _MOST_PREPARED:
            _, oldest = self.prepared.popitem(last=False)
            self.tell(bytes((Command.STMT_CLOSE,)) + oldest.statement.to_bytes(4, "little"))
        return known

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        with contextlib.suppress(OSError):  # without it, its end is only seen where it is read
            self._stream = self._network.stream(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._ended()

    def data_received(self, data: bytes) -> None:
        if self._is_closed:
            return
        self._packets.feed(data)
        try:
            for payload in self._packets:
                self._read(payload)
                if self._is_closed:
                    return
        except ProtocolError as fault:
            self._broken(str(fault))
        except LoginFailed as fault:
            self._refused(fault)

    def _read(self, payload: bytes) -> None:
        if not self._logged_in.done():
            self._read_login(payload)
            return
        exchange = self._exchange
        if exchange is None:
            raise ProtocolError("a packet that nobody asked for")
        part = exchange.reader.read(payload)
        is_over = exchange.reader.is_over
        if is_over:
            self._exchange = None
            if not self._packets.is_empty:
                raise ProtocolError("more than the answer")
        exchange.part(part)
        if is_over and not exchange.over.done():
            exchange.over.set_result(exchange.reader)

    # Logging in

    def _read_login(self, payload: bytes) -> None:
        if payload[:1] == b"\xff":
            error = Err.decode(payload)
            raise LoginFailed(f"{error.code} {error.text}", error)
        if self._login is None:
            self._greeted(Greeting.decode(payload))
            return
        if payload[:1] == b"\x00":
            Ok.decode(payload, self.capabilities)
            self._packets.most = self._most_in_packet
            self._logged_in.set_result(None)
            return
        answer = self._login.read(payload)
        if answer is not None:
            self._write_login(answer)

    def _greeted(self, greeting: Greeting) -> None:
        missing = _NEEDED & ~greeting.capabilities
        if missing:
            raise LoginFailed(f"the server lacks {missing!r}")
        wanted = _WANTED | (Capability.FOUND_ROWS if self.found_rows else Capability(0))
        self.capabilities = wanted & greeting.capabilities
        self.thread = greeting.thread
        login = self._login = Login(self._credentials.password, greeting.plugin, greeting.salt)
        response = Response(
            capabilities=self.capabilities,
            user=self._credentials.user.encode(),
            answer=login.answer(),
            charset=UTF8MB4,
            plugin=login.plugin,
        )
        self._write_login(response.encode())

    def _write_login(self, payload: bytes) -> None:
        assert self._transport is not None
        data, self._packets.sequence = frame(payload, self._packets.sequence)
        self._transport.write(data)

    def _refused(self, fault: LoginFailed) -> None:
        if not self._logged_in.done():
            self._logged_in.set_exception(fault)
        self.close()

    # Its end

    def _broken(self, why: str) -> None:
        self.fault = why
        if not self._logged_in.done():
            self._logged_in.set_exception(LoginFailed(why))
        self.close()

    def _ended(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if not self._logged_in.done():
            self._logged_in.set_exception(LoginFailed("the server closed the connection"))
        if not self._logged_in.cancelled():
            self._logged_in.exception()  # nobody may be waiting any more, and that is no fault
        exchange, self._exchange = self._exchange, None
        if exchange is not None and not exchange.over.done():
            exchange.over.set_exception(Lost(written=True))
            exchange.over.exception()
        self._on_closed(self)


FULL_AT_LOGIN = frozenset((ErrorCode.CON_COUNT, 1203, 1226))  # too many connections, of all or of the user
