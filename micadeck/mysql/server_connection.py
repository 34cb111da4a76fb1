"""One connection to a MySQL server: log-in, then one command at a time with its response.

It never sends or resends a command by itself; the caller of `exchange` decides what is written, and when.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from micadeck.mysql.auth import Login, LoginFailed
from micadeck.mysql.protocol.answers import Part, ResponseKind, ResponseReader
from micadeck.mysql.protocol.constants import UTF8MB4, Capability, Command, ErrorCode
from micadeck.mysql.protocol.handshake import Handshake, HandshakeResponse
from micadeck.mysql.protocol.messages import Err, Ok, PrepareOk
from micadeck.mysql.protocol.packets import PacketReader, frame
from micadeck.mysql.protocol.wire import ProtocolError
from micadeck.mysql.session import ConnectionState
from micadeck.network import Address, Network, Stream
from micadeck.network.dialing import dial_with_retries

_REQUESTED = (
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
_REQUIRED = Capability.PROTOCOL_41 | Capability.SECURE_CONNECTION
_MAX_LOGIN_PACKET_BYTES = 1 << 16
_MAX_PREPARED = 64


@dataclass(frozen=True, slots=True)
class Credentials:
    """The account for log-ins at servers."""

    user: str
    password: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A prepared statement of this connection."""

    statement_id: int
    parameter_count: int


class ConnectionLost(Exception):
    """The connection ended; `written`: a byte of the command may have reached the server."""

    def __init__(self, *, written: bool) -> None:
        super().__init__("lost")
        self.written = written


class _Exchange:
    """A command whose response is not complete."""

    __slots__ = ("future", "on_part", "reader")

    def __init__(
        self, reader: ResponseReader, on_part: Callable[[Part], None], future: asyncio.Future[ResponseReader]
    ) -> None:
        self.reader = reader
        self.on_part = on_part
        self.future = future


class ServerConnection(asyncio.Protocol):
    """Calls `on_closed` once, when the connection is closed."""

    def __init__(
        self,
        network: Network,
        server: str,
        credentials: Credentials,
        *,
        found_rows: bool,
        max_packet_bytes: int,
        on_closed: Callable[[ServerConnection], None],
    ) -> None:
        self._network = network
        self.server = server
        self.found_rows = found_rows
        self._credentials = credentials
        self._on_closed = on_closed
        self._packets = PacketReader(_MAX_LOGIN_PACKET_BYTES)
        self._max_packet_bytes = max_packet_bytes
        self._transport: asyncio.Transport | None = None
        self._stream: Stream | None = None
        self._login: Login | None = None
        self._logged_in: asyncio.Future[None] = asyncio.Future()
        self._exchange: _Exchange | None = None
        self._is_closed = False
        self.capabilities = Capability(0)
        self.thread_id = 0
        self.state = ConnectionState()
        self.prepared: OrderedDict[tuple[bytes | None, bytes], PreparedStatement] = OrderedDict()
        self.protocol_error: str | None = None  # why the server's packets made it close

    # Called by the owner

    @staticmethod
    async def open(
        make: Callable[[], ServerConnection], network: Network, address: Address
    ) -> ServerConnection:
        """Dial and log in; raise OSError or LoginFailed.  The caller sets a timeout."""
        connection = await dial_with_retries(network, make, address)
        try:
            await connection._logged_in
        except BaseException:
            connection.close()
            raise
        return connection

    def exchange(
        self, command: bytes, kind: ResponseKind, on_part: Callable[[Part], None]
    ) -> asyncio.Future[ResponseReader]:
        """Write a command; `on_part` gets each part of its response, the future the reader at the end.

        The future raises ConnectionLost if the connection ends first.
        """
        future: asyncio.Future[ResponseReader] = asyncio.Future()
        transport = self._transport
        if self._is_closed or transport is None or transport.is_closing() or self._exchange is not None:
            future.set_exception(ConnectionLost(written=False))
            return future
        self._packets.sequence = 0
        self._exchange = _Exchange(ResponseReader(kind, self.capabilities), on_part, future)
        data, self._packets.sequence = frame(command, 0)
        transport.write(data)
        return future

    def send(self, command: bytes) -> None:
        """Write a command without a response: STMT_CLOSE, STMT_SEND_LONG_DATA."""
        if not self._is_closed and self._transport is not None and not self._transport.is_closing():
            self._transport.write(frame(command, 0)[0])

    @property
    def is_open(self) -> bool:
        return not self._is_closed

    def is_usable(self) -> bool:
        """Whether it can take a command: open and idle, with no unread data or end of stream."""
        if self._is_closed or self._exchange is not None or not self._packets.is_empty:
            return False
        if self._transport is None or self._transport.is_closing():
            return False
        return self._stream is None or not self._stream.has_unread()

    def pause_reading(self) -> None:
        """Apply backpressure: the receiver of the response is slow."""
        if self._transport is not None and not self._is_closed:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None and not self._is_closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """Abort the connection; a pending command has failed on return."""
        if self._transport is not None:
            self._transport.abort()
        self._finish_close()

    def forget_prepared(self) -> None:
        """Clear the statements, which a reset closed at the server."""
        self.prepared.clear()

    def add_prepared(self, key: tuple[bytes | None, bytes], prepared: PrepareOk) -> PreparedStatement:
        """Record a prepared statement; over the limit, close the least recently used one."""
        statement = self.prepared[key] = PreparedStatement(prepared.statement_id, prepared.parameter_count)
        if len(self.prepared) > _MAX_PREPARED:
            _, oldest = self.prepared.popitem(last=False)
            self.send(bytes((Command.STMT_CLOSE,)) + oldest.statement_id.to_bytes(4, "little"))
        return statement

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        with contextlib.suppress(OSError):  # without the stream, only reading detects the end
            self._stream = self._network.stream(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish_close()

    def data_received(self, data: bytes) -> None:
        if self._is_closed:
            return
        self._packets.feed(data)
        try:
            for payload in self._packets:
                self._read(payload)
                if self._is_closed:
                    return
        except ProtocolError as error:
            self._protocol_failed(str(error))
        except LoginFailed as error:
            self._login_failed(error)

    def _read(self, payload: bytes) -> None:
        if not self._logged_in.done():
            self._read_login(payload)
            return
        exchange = self._exchange
        if exchange is None:
            raise ProtocolError("an unexpected packet: no command is pending")
        part = exchange.reader.read(payload)
        is_complete = exchange.reader.is_complete
        if is_complete:
            self._exchange = None
            if not self._packets.is_empty:
                raise ProtocolError("data after the end of the response")
        exchange.on_part(part)
        if is_complete and not exchange.future.done():
            exchange.future.set_result(exchange.reader)

    # Logging in

    def _read_login(self, payload: bytes) -> None:
        if payload[:1] == b"\xff":
            error = Err.decode(payload)
            raise LoginFailed(f"{error.code} {error.text}", error)
        if self._login is None:
            self._handshake(Handshake.decode(payload))
            return
        if payload[:1] == b"\x00":
            Ok.decode(payload, self.capabilities)
            self._packets.max_payload_bytes = self._max_packet_bytes
            self._logged_in.set_result(None)
            return
        reply = self._login.read(payload)
        if reply is not None:
            self._write_login(reply)

    def _handshake(self, handshake: Handshake) -> None:
        missing = _REQUIRED & ~handshake.capabilities
        if missing:
            raise LoginFailed(f"the server lacks {missing!r}")
        requested = _REQUESTED | (Capability.FOUND_ROWS if self.found_rows else Capability(0))
        self.capabilities = requested & handshake.capabilities
        self.thread_id = handshake.thread_id
        login = self._login = Login(self._credentials.password, handshake.plugin, handshake.salt)
        response = HandshakeResponse(
            capabilities=self.capabilities,
            user=self._credentials.user.encode(),
            auth_response=login.auth_response(),
            charset=UTF8MB4,
            plugin=login.plugin,
        )
        self._write_login(response.encode())

    def _write_login(self, payload: bytes) -> None:
        assert self._transport is not None
        data, self._packets.sequence = frame(payload, self._packets.sequence)
        self._transport.write(data)

    def _login_failed(self, error: LoginFailed) -> None:
        if not self._logged_in.done():
            self._logged_in.set_exception(error)
        self.close()

    # Closing

    def _protocol_failed(self, reason: str) -> None:
        self.protocol_error = reason
        if not self._logged_in.done():
            self._logged_in.set_exception(LoginFailed(reason))
        self.close()

    def _finish_close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if not self._logged_in.done():
            self._logged_in.set_exception(LoginFailed("the server closed the connection"))
        if not self._logged_in.cancelled():
            self._logged_in.exception()  # marks it as retrieved: nobody may be waiting for it
        exchange, self._exchange = self._exchange, None
        if exchange is not None and not exchange.future.done():
            exchange.future.set_exception(ConnectionLost(written=True))
            exchange.future.exception()
        self._on_closed(self)


OVER_LIMIT_CODES = frozenset((ErrorCode.CON_COUNT, 1203, 1226))  # connection limit of the server or the user
