"""The connection phase: HandshakeV10, HandshakeResponse41 and the packets of authentication."""

from __future__ import annotations

from dataclasses import dataclass, field

from micadeck.mysql.protocol.constants import CACHING_SHA2, NATIVE, UTF8MB4, Capability, Status
from micadeck.mysql.protocol.wire import Cursor, ProtocolError, lenenc

_SALT = 20  # bytes, and a zero byte behind them
_MOST_ATTRIBUTES = 1 << 16


@dataclass(frozen=True, slots=True)
class Greeting:
    """Protocol::HandshakeV10, the first packet of a server."""

    version: bytes
    thread: int
    salt: bytes
    capabilities: Capability
    charset: int = UTF8MB4
    status: Status = Status.AUTOCOMMIT
    plugin: bytes = CACHING_SHA2

    def encode(self) -> bytes:
        flags = int(self.capabilities)
        return b"".join(
            (
                b"\x0a" + self.version + b"\0" + self.thread.to_bytes(4, "little") + self.salt[:8] + b"\0",
                (flags & 0xFFFF).to_bytes(2, "little") + bytes((self.charset & 0xFF,)),
                int(self.status).to_bytes(2, "little") + (flags >> 16).to_bytes(2, "little"),
                bytes((_SALT + 1,)) + bytes(10) + self.salt[8:] + b"\0" + self.plugin + b"\0",
            )
        )

    @classmethod
    def decode(cls, payload: bytes) -> Greeting:
        read = Cursor(payload, "HandshakeV10")
        if (kind := read.integer(1, "protocol version")) != 10:
            raise read.fault("protocol version", f"10 is needed, not {kind}")
        version = read.zero_ended("server version")
        thread = read.integer(4, "thread id")
        salt = read.take(8, "auth-plugin-data-part-1")
        read.take(1, "filler")
        flags = read.integer(2, "capability flags")
        if not read.left:
            raise read.fault("capability flags", "a server older than 4.1 is not supported")
        charset = read.integer(1, "character set")
        status = Status(read.integer(2, "status flags"))
        flags |= read.integer(2, "capability flags (upper)") << 16
        length = read.integer(1, "length of auth-plugin-data")
        read.take(10, "reserved")
        salt += read.take(max(13, length - 8), "auth-plugin-data-part-2")[: _SALT - 8]
        plugin = NATIVE
        if flags & Capability.PLUGIN_AUTH:
            plugin = read.zero_ended("auth plugin name")
        return cls(version, thread, salt, Capability(flags), charset, status, plugin)


@dataclass(frozen=True, slots=True)
class Response:
    """Protocol::HandshakeResponse41, a client's answer to the greeting; the password only as `answer`."""

    capabilities: Capability
    user: bytes
    answer: bytes = field(repr=False)
    most_in_packet: int = 1 << 24
    charset: int = UTF8MB4
    schema: bytes = b""
    plugin: bytes = CACHING_SHA2
    attributes: tuple[tuple[bytes, bytes], ...] = ()

    def encode(self) -> bytes:
        flags = self.capabilities
        out = [
            int(flags).to_bytes(4, "little") + self.most_in_packet.to_bytes(4, "little"),
            bytes((self.charset & 0xFF,)) + bytes(23) + self.user + b"\0",
        ]
        if flags & Capability.PLUGIN_AUTH_LENENC_CLIENT_DATA:
            out.append(lenenc(self.answer))
        else:
            out.append(bytes((len(self.answer),)) + self.answer)
        if flags & Capability.CONNECT_WITH_DB:
            out.append(self.schema + b"\0")
        if flags & Capability.PLUGIN_AUTH:
            out.append(self.plugin + b"\0")
        if flags & Capability.CONNECT_ATTRS:
            pairs = b"".join(lenenc(name) + lenenc(value) for name, value in self.attributes)
            out.append(lenenc(pairs))
        return b"".join(out)

    @classmethod
    def decode(cls, payload: bytes) -> Response:
        read = Cursor(payload, "HandshakeResponse41")
        flags = Capability(read.integer(4, "client flag"))
        if not flags & Capability.PROTOCOL_41:
            raise read.fault("client flag", "CLIENT_PROTOCOL_41 is needed")
        most = read.integer(4, "max packet size")
        charset = read.integer(1, "character set")
        read.take(23, "filler")
        if flags & Capability.SSL and not read.left:
            raise read.fault("client flag", "TLS was not offered")
        user = read.zero_ended("username")
        if flags & Capability.PLUGIN_AUTH_LENENC_CLIENT_DATA:
            answer = read.lenenc("auth response")
        elif flags & Capability.SECURE_CONNECTION:
            answer = read.take(read.integer(1, "length of auth response"), "auth response")
        else:
            answer = read.zero_ended("auth response")
        schema = plugin = b""
        if flags & Capability.CONNECT_WITH_DB and read.left:
            schema = read.zero_ended("database")
        if flags & Capability.PLUGIN_AUTH and read.left:
            plugin = read.zero_ended("client plugin name")
        attributes: tuple[tuple[bytes, bytes], ...] = ()
        if flags & Capability.CONNECT_ATTRS and read.left:
            attributes = _attributes(read)
        return cls(flags, user, answer, most, charset, schema, plugin or NATIVE, attributes)


def _attributes(read: Cursor) -> tuple[tuple[bytes, bytes], ...]:
    whole = read.lenenc("connection attributes")
    if len(whole) > _MOST_ATTRIBUTES:
        raise read.fault("connection attributes", f"over {_MOST_ATTRIBUTES} bytes")
    inner = Cursor(whole, "HandshakeResponse41")
    pairs = []
    while inner.left:
        name = inner.lenenc("connection attribute's name")
        pairs.append((name, inner.lenenc("connection attribute's value")))
    return tuple(pairs)


@dataclass(frozen=True, slots=True)
class ChangeUser:
    """The payload of COM_CHANGE_USER behind its first byte."""

    user: bytes
    answer: bytes = field(repr=False)
    schema: bytes
    charset: int
    plugin: bytes

    @classmethod
    def decode(cls, payload: bytes) -> ChangeUser:
        read = Cursor(payload, "COM_CHANGE_USER", 1)
        user = read.zero_ended("user")
        answer = read.take(read.integer(1, "length of auth response"), "auth response")
        schema = read.zero_ended("database")
        charset = read.integer(2, "character set") if read.left >= 2 else UTF8MB4
        plugin = read.zero_ended("auth plugin name") if read.left else NATIVE
        return cls(user, answer, schema, charset, plugin)


@dataclass(frozen=True, slots=True)
class AuthSwitch:
    """Protocol::AuthSwitchRequest."""

    plugin: bytes
    salt: bytes

    def encode(self) -> bytes:
        return b"\xfe" + self.plugin + b"\0" + self.salt + b"\0"

    @classmethod
    def decode(cls, payload: bytes) -> AuthSwitch:
        if len(payload) == 1:
            raise ProtocolError("AuthSwitchRequest: the plugin of before 4.1 is not supported")
        read = Cursor(payload, "AuthSwitchRequest", 1)
        return cls(read.zero_ended("plugin name"), read.rest()[:_SALT])


def more_data(data: bytes) -> bytes:
    """Protocol::AuthMoreData."""
    return b"\x01" + data
