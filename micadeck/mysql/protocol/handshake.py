"""The connection phase: HandshakeV10, HandshakeResponse41 and authentication packets."""

from __future__ import annotations

from dataclasses import dataclass, field

from micadeck.mysql.protocol.constants import CACHING_SHA2, NATIVE, UTF8MB4, Capability, Status
from micadeck.mysql.protocol.wire import Cursor, ProtocolError, lenenc

_SALT_BYTES = 20  # followed by a zero byte on the wire
_MAX_ATTRIBUTE_BYTES = 1 << 16

OFFERED = (
    Capability.LONG_PASSWORD
    | Capability.FOUND_ROWS
    | Capability.LONG_FLAG
    | Capability.CONNECT_WITH_DB
    | Capability.PROTOCOL_41
    | Capability.INTERACTIVE
    | Capability.TRANSACTIONS
    | Capability.SECURE_CONNECTION
    | Capability.MULTI_STATEMENTS
    | Capability.MULTI_RESULTS
    | Capability.PS_MULTI_RESULTS
    | Capability.PLUGIN_AUTH
    | Capability.CONNECT_ATTRS
    | Capability.PLUGIN_AUTH_LENENC_CLIENT_DATA
    | Capability.SESSION_TRACK
    | Capability.DEPRECATE_EOF
)
"""The capabilities that clients are offered."""


@dataclass(frozen=True, slots=True)
class Handshake:
    """Protocol::HandshakeV10, a server's first packet."""

    version: bytes
    thread_id: int
    salt: bytes
    capabilities: Capability
    charset: int = UTF8MB4
    status: Status = Status.AUTOCOMMIT
    plugin: bytes = CACHING_SHA2

    def encode(self) -> bytes:
        flags = int(self.capabilities)
        return b"".join(
            (
                b"\x0a" + self.version + b"\0" + self.thread_id.to_bytes(4, "little") + self.salt[:8] + b"\0",
                (flags & 0xFFFF).to_bytes(2, "little") + bytes((self.charset & 0xFF,)),
                int(self.status).to_bytes(2, "little") + (flags >> 16).to_bytes(2, "little"),
                bytes((_SALT_BYTES + 1,)) + bytes(10) + self.salt[8:] + b"\0" + self.plugin + b"\0",
            )
        )

    @classmethod
    def decode(cls, payload: bytes) -> Handshake:
        cursor = Cursor(payload, "HandshakeV10")
        if (protocol_version := cursor.integer(1, "protocol version")) != 10:
            raise cursor.error("protocol version", f"10 is needed, not {protocol_version}")
        version = cursor.null_terminated("server version")
        thread_id = cursor.integer(4, "thread id")
        salt = cursor.take(8, "auth-plugin-data-part-1")
        cursor.take(1, "filler")
        flags = cursor.integer(2, "capability flags")
        if not cursor.remaining:
            raise cursor.error("capability flags", "a server older than 4.1 is not supported")
        charset = cursor.integer(1, "character set")
        status = Status(cursor.integer(2, "status flags"))
        flags |= cursor.integer(2, "capability flags (upper)") << 16
        length = cursor.integer(1, "length of auth-plugin-data")
        cursor.take(10, "reserved")
        salt += cursor.take(max(13, length - 8), "auth-plugin-data-part-2")[: _SALT_BYTES - 8]
        plugin = NATIVE
        if flags & Capability.PLUGIN_AUTH:
            plugin = cursor.null_terminated("auth plugin name")
        return cls(version, thread_id, salt, Capability(flags), charset, status, plugin)


@dataclass(frozen=True, slots=True)
class HandshakeResponse:
    """Protocol::HandshakeResponse41, with the scrambled password in `auth_response`."""

    capabilities: Capability
    user: bytes
    auth_response: bytes = field(repr=False)
    max_packet_size: int = 1 << 24
    charset: int = UTF8MB4
    schema: bytes = b""
    plugin: bytes = CACHING_SHA2
    attributes: tuple[tuple[bytes, bytes], ...] = ()

    def encode(self) -> bytes:
        flags = self.capabilities
        out = [
            int(flags).to_bytes(4, "little") + self.max_packet_size.to_bytes(4, "little"),
            bytes((self.charset & 0xFF,)) + bytes(23) + self.user + b"\0",
        ]
        if flags & Capability.PLUGIN_AUTH_LENENC_CLIENT_DATA:
            out.append(lenenc(self.auth_response))
        else:
            out.append(bytes((len(self.auth_response),)) + self.auth_response)
        if flags & Capability.CONNECT_WITH_DB:
            out.append(self.schema + b"\0")
        if flags & Capability.PLUGIN_AUTH:
            out.append(self.plugin + b"\0")
        if flags & Capability.CONNECT_ATTRS:
            pairs = b"".join(lenenc(name) + lenenc(value) for name, value in self.attributes)
            out.append(lenenc(pairs))
        return b"".join(out)

    @classmethod
    def decode(cls, payload: bytes) -> HandshakeResponse:
        cursor = Cursor(payload, "HandshakeResponse41")
        flags = Capability(cursor.integer(4, "client flag"))
        if not flags & Capability.PROTOCOL_41:
            raise cursor.error("client flag", "CLIENT_PROTOCOL_41 is needed")
        max_packet_size = cursor.integer(4, "max packet size")
        charset = cursor.integer(1, "character set")
        cursor.take(23, "filler")
        if flags & Capability.SSL and not cursor.remaining:
            raise cursor.error("client flag", "TLS was not offered")
        user = cursor.null_terminated("username")
        if flags & Capability.PLUGIN_AUTH_LENENC_CLIENT_DATA:
            auth_response = cursor.lenenc("auth response")
        elif flags & Capability.SECURE_CONNECTION:
            auth_response = cursor.take(cursor.integer(1, "length of auth response"), "auth response")
        else:
            auth_response = cursor.null_terminated("auth response")
        schema = plugin = b""
        if flags & Capability.CONNECT_WITH_DB and cursor.remaining:
            schema = cursor.null_terminated("database")
        if flags & Capability.PLUGIN_AUTH and cursor.remaining:
            plugin = cursor.null_terminated("client plugin name")
        attributes: tuple[tuple[bytes, bytes], ...] = ()
        if flags & Capability.CONNECT_ATTRS and cursor.remaining:
            attributes = _attributes(cursor)
        return cls(flags, user, auth_response, max_packet_size, charset, schema, plugin or NATIVE, attributes)


def _attributes(cursor: Cursor) -> tuple[tuple[bytes, bytes], ...]:
    encoded = cursor.lenenc("connection attributes")
    if len(encoded) > _MAX_ATTRIBUTE_BYTES:
        raise cursor.error("connection attributes", f"over {_MAX_ATTRIBUTE_BYTES} bytes")
    inner = Cursor(encoded, "HandshakeResponse41")
    pairs = []
    while inner.remaining:
        name = inner.lenenc("connection attribute's name")
        pairs.append((name, inner.lenenc("connection attribute's value")))
    return tuple(pairs)


@dataclass(frozen=True, slots=True)
class ChangeUser:
    """The payload of COM_CHANGE_USER after the command byte."""

    user: bytes
    auth_response: bytes = field(repr=False)
    schema: bytes
    charset: int
    plugin: bytes

    @classmethod
    def decode(cls, payload: bytes) -> ChangeUser:
        cursor = Cursor(payload, "COM_CHANGE_USER", 1)
        user = cursor.null_terminated("user")
        auth_response = cursor.take(cursor.integer(1, "length of auth response"), "auth response")
        schema = cursor.null_terminated("database")
        charset = cursor.integer(2, "character set") if cursor.remaining >= 2 else UTF8MB4
        plugin = cursor.null_terminated("auth plugin name") if cursor.remaining else NATIVE
        return cls(user, auth_response, schema, charset, plugin)


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
        cursor = Cursor(payload, "AuthSwitchRequest", 1)
        return cls(cursor.null_terminated("plugin name"), cursor.rest()[:_SALT_BYTES])


def more_data(data: bytes) -> bytes:
    """Protocol::AuthMoreData."""
    return b"\x01" + data
