"""MySQL stand-ins for the cases of this review: servers that share their data, and a client.

They speak the classic protocol as far as the cases need it.  Only the standard library is used.
"""

from __future__ import annotations

import hashlib
import secrets
import socket
import struct
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import stage

SERVER_USER, SERVER_PASSWORD = "sidecar", "server-secret"
CLIENT_USER, CLIENT_PASSWORD = "desk", "desk-secret"
OK, EOF, ERR = 0x00, 0xFE, 0xFF
_AUTOCOMMIT = 2
# LONG_PASSWORD, LONG_FLAG, CONNECT_WITH_DB, PROTOCOL_41, TRANSACTIONS, SECURE_CONNECTION, PLUGIN_AUTH
_CAPABILITIES = 0x1 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x80000
_UTF8MB4 = 45
_NATIVE = b"mysql_native_password"
_QUIT, _QUERY, _SET_OPTION = 0x01, 0x03, 0x1B
_OK_PAYLOAD = b"\0\0\0" + struct.pack("<HH", _AUTOCOMMIT, 0)
_EOF_PAYLOAD = b"\xfe" + struct.pack("<HH", 0, _AUTOCOMMIT)


class LinkClosedError(OSError):
    """The peer closed the connection."""


class Link:
    """One connection that exchanges packets."""

    def __init__(self, connection: socket.socket) -> None:
        """Use this connection."""
        self._connection = connection
        self._sequence = 0

    def read(self, *, is_first: bool = False) -> bytes:
        """Return the next payload; `is_first`: it begins a command."""
        if is_first:
            self._sequence = 0
        head = self._take(4)
        self._sequence = (head[3] + 1) & 0xFF
        return self._take(int.from_bytes(head[:3], "little"))

    def write(self, payload: bytes, *, is_first: bool = False) -> None:
        """Write a payload; `is_first`: it begins a command."""
        if is_first:
            self._sequence = 0
        self._connection.sendall(len(payload).to_bytes(3, "little") + bytes((self._sequence,)) + payload)
        self._sequence = (self._sequence + 1) & 0xFF

    def _take(self, count: int) -> bytes:
        data = b""
        while len(data) < count:
            piece = self._connection.recv(count - len(data))
            if not piece:
                raise LinkClosedError("the peer closed the connection")
            data += piece
        return data


@dataclass(frozen=True)
class SqlError(Exception):
    """An error that a server answers."""

    code: int
    state: str
    text: str

    def encode(self) -> bytes:
        """Return the payload."""
        return b"\xff" + struct.pack("<H", self.code) + f"#{self.state}{self.text}".encode()


@dataclass
class SharedData:
    """What all servers' statements have changed: how often each id took effect."""

    effects: Counter[str] = field(default_factory=Counter)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, ident: str) -> None:
        """Record one effect."""
        with self.lock:
            self.effects[ident] += 1


Run = Callable[["MysqlServer", str], None]


class MysqlServer:
    """A sound server: it runs each statement by `run`, which raises SqlError for one that fails."""

    zone = "a"

    def __init__(self, name: str, run: Run, record: stage.Record) -> None:
        """Start it."""
        self.name = name
        self.record = record
        self._run = run
        self._listener = stage.listen_on_loopback()
        self.address = f"{stage.HOST}:{self._listener.getsockname()[1]}"
        self._connections: set[socket.socket] = set()
        self._next_thread = 1
        threading.Thread(target=self._accept, daemon=True).start()

    def die(self) -> None:
        """Act as a killed process: end every connection and refuse new ones."""
        self.record.add(f"server {self.name} dies")
        self.close()
        for connection in list(self._connections):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(target=self._serve_until_closed, args=(connection,), daemon=True).start()

    def _serve_until_closed(self, connection: socket.socket) -> None:
        with connection:
            try:
                link = Link(connection)
                self._log_in(link)
                while self._serve(link, link.read(is_first=True)):
                    pass
            except OSError:
                pass  # the peer closed the connection
        self._connections.discard(connection)

    def _log_in(self, link: Link) -> None:
        salt, thread = bytes(secrets.choice(range(0x30, 0x7B)) for _ in range(20)), self._next_thread
        self._next_thread += 1
        link.write(
            b"\x0a8.0.36-standin\0" + struct.pack("<I", thread) + salt[:8] + b"\0"
            + struct.pack("<HBHH", _CAPABILITIES & 0xFFFF, _UTF8MB4, _AUTOCOMMIT, _CAPABILITIES >> 16)
            + bytes((21,)) + bytes(10) + salt[8:] + b"\0" + _NATIVE + b"\0"
        )  # fmt: skip
        response = link.read()
        user, _, rest = response[32:].partition(b"\0")
        scramble = rest[1 : 1 + rest[0]]
        if user.decode() != SERVER_USER or scramble != _scramble(SERVER_PASSWORD, salt):
            link.write(SqlError(1045, "28000", "Access denied").encode())
            raise LinkClosedError("denied")
        link.write(_OK_PAYLOAD)

    def _serve(self, link: Link, command: bytes) -> bool:
        if command[0] == _QUIT:
            return False
        if command[0] == _SET_OPTION:
            link.write(_EOF_PAYLOAD)
            return True
        if command[0] == _QUERY and not command[1:].upper().startswith(b"SET "):
            try:
                self._run(self, command[1:].decode())
            except SqlError as error:
                self.record.add(f"server {self.name} answers {error.code} {error.text}")
                link.write(error.encode())
                return True
        link.write(_OK_PAYLOAD)
        return True


def _scramble(password: str, salt: bytes) -> bytes:
    first = hashlib.sha1(password.encode()).digest()
    mask = hashlib.sha1(salt + hashlib.sha1(first).digest()).digest()
    return bytes(one ^ other for one, other in zip(first, mask, strict=True))


class MysqlClient:
    """A client's connection."""

    def __init__(self, port: int, timeout_s: float) -> None:
        """Connect and log in; each answer has to come within `timeout_s`."""
        self._connection = socket.create_connection((stage.HOST, port), timeout=timeout_s)
        self._link = Link(self._connection)
        greeting = self._link.read()
        rest = greeting[greeting.index(b"\0", 1) + 1 :]
        salt = rest[4:12] + rest[31:43]
        self._link.write(
            struct.pack("<IIB", _CAPABILITIES & ~0x8, 1 << 24, _UTF8MB4) + bytes(23)
            + CLIENT_USER.encode() + b"\0\x14" + _scramble(CLIENT_PASSWORD, salt) + _NATIVE + b"\0"
        )  # fmt: skip
        answer = self._link.read()
        if answer[0] == EOF:  # a request to answer another salt
            _, _, salt = answer[1:].partition(b"\0")
            self._link.write(_scramble(CLIENT_PASSWORD, salt[:20]))
            answer = self._link.read()
        if answer[0] != OK:
            raise LinkClosedError(f"log-in: {answer!r}")

    def query(self, text: str) -> tuple[int, str]:
        """Run a statement without rows; return the error's code, 0 for none, and its text."""
        self._link.write(bytes((_QUERY,)) + text.encode(), is_first=True)
        answer = self._link.read()
        if answer[0] != ERR:
            return 0, "OK"
        return int.from_bytes(answer[1:3], "little"), answer[4:].decode()

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def config_text(port: int, roster: str, password_file: str) -> str:
    """Return the MySQL file of a sidecar's configuration."""
    salt = bytes(range(16))
    stored = hashlib.scrypt(CLIENT_PASSWORD.encode(), salt=salt, n=1 << 14, r=8, p=1, dklen=32)
    native = hashlib.sha1(hashlib.sha1(CLIENT_PASSWORD.encode()).digest()).hexdigest()
    return f"""\
listen = "{stage.HOST}:{port}"
name = "desk"
[servers]
user = "{SERVER_USER}"
password_file = "{password_file}"
roster = "{roster}"
[[users]]
name = "{CLIENT_USER}"
verifier = "scrypt${salt.hex()}${stored.hex()}"
native = "*{native}"
[[classes]]
name = "read"
repeat = "safe"
aim_ms = 250
deadline_ms = 2000
[[classes]]
name = "write"
repeat = "unsafe"
aim_ms = 500
deadline_ms = 4000
[[rules]]
read = "read"
write = "write"
[drain]
grace_ms = 500
finish_ms = 150
"""
