"""Logging in, at both ends: scrambles, salted verifiers and the two dialogues, without input or output.

Towards clients `Gate` plays the server, towards servers `Login` plays the client.  Both are fed payloads and
give payloads; what takes time (a salted hash) is asked of the caller as a `Check`, who may run it elsewhere.
A password is held no longer than its check, a `repr` shows none, and no error quotes one.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import padding, rsa
from cryptography.hazmat.primitives.kdf.scrypt import Scrypt

from micadeck.mysql.protocol.constants import CACHING_SHA2, NATIVE, ErrorCode
from micadeck.mysql.protocol.handshake import AuthSwitch, more_data
from micadeck.mysql.protocol.messages import Err
from micadeck.mysql.protocol.wire import ProtocolError

_SALT = 20
_ASK_KEY = b"\x02"
_FAST_OK = b"\x03"
_FULL = b"\x04"
_KEY_BITS = 2_048
_SCRYPT_N, _SCRYPT_R, _SCRYPT_P = 1 << 14, 8, 1  # 16 MiB and about 40 ms a check
_MOST_PASSWORD = 256


def new_salt() -> bytes:
    """Twenty bytes without zero and `$`, which end texts and begin names in some clients."""
    return bytes(secrets.choice(range(0x25, 0x7F)) for _ in range(_SALT))


# ---------------------------------------------------------------------------------------------------
# Scrambles


def _xor(one: bytes, other: bytes) -> bytes:
    return bytes(a ^ b for a, b in zip(one, other, strict=True))


def native_answer(password: bytes, salt: bytes) -> bytes:
    """SHA1(password) XOR SHA1(salt + SHA1(SHA1(password)))."""
    if not password:
        return b""
    first = hashlib.sha1(password).digest()
    return _xor(first, hashlib.sha1(salt + hashlib.sha1(first).digest()).digest())


def native_fits(answer: bytes, salt: bytes, stored: bytes) -> bool:
    """Whether the answer comes from one who knows the password of which SHA1(SHA1(password)) is stored."""
    if len(answer) != 20:
        return False
    first = _xor(answer, hashlib.sha1(salt + stored).digest())
    return hmac.compare_digest(hashlib.sha1(first).digest(), stored)


def sha2_answer(password: bytes, salt: bytes) -> bytes:
    """SHA256(password) XOR SHA256(SHA256(SHA256(password)) + salt)."""
    if not password:
        return b""
    first = hashlib.sha256(password).digest()
    return _xor(first, hashlib.sha256(hashlib.sha256(first).digest() + salt).digest())


def sha2_fits(answer: bytes, salt: bytes, cached: bytes) -> bool:
    """Whether the answer comes from one who knows the password of which SHA256(SHA256(..)) is cached."""
    if len(answer) != 32:
        return False
    first = _xor(answer, hashlib.sha256(cached + salt).digest())
    return hmac.compare_digest(hashlib.sha256(first).digest(), cached)


def sha2_cached(password: bytes) -> bytes:
    return hashlib.sha256(hashlib.sha256(password).digest()).digest()


def _masked(password: bytes, salt: bytes) -> bytes:
    """A password and its zero byte, XORed with the salt over and over, as RSA carries it."""
    clear = password + b"\0"
    return bytes(each ^ salt[number % _SALT] for number, each in enumerate(clear))


_PADDING = padding.OAEP(padding.MGF1(hashes.SHA1()), hashes.SHA1(), None)


class KeyPair:
    """The RSA key by which a password is sent over a connection without TLS."""

    def __init__(self) -> None:
        self._key = rsa.generate_private_key(65_537, _KEY_BITS)
        self.public = self._key.public_key().public_bytes(
            serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
        )

    def password(self, sealed: bytes, salt: bytes) -> bytes:
        """Raise ProtocolError if it was not sealed for this key."""
        try:
            masked = self._key.decrypt(sealed, _PADDING)
        except ValueError:
            raise ProtocolError("password: it was not sealed for this key") from None
        clear = bytes(each ^ salt[number % _SALT] for number, each in enumerate(masked))
        if not clear.endswith(b"\0"):
            raise ProtocolError("password: no zero byte ends it")
        return clear[:-1]


def seal(password: bytes, salt: bytes, public: bytes) -> bytes:
    """A password for the owner of a public key in PEM; raise ProtocolError if it is none."""
    try:
        key = serialization.load_pem_public_key(public)
    except ValueError:
        raise ProtocolError("AuthMoreData: public key: it is no PEM") from None
    if not isinstance(key, rsa.RSAPublicKey):
        raise ProtocolError("AuthMoreData: public key: it is no RSA key")
    return key.encrypt(_masked(password, salt), _PADDING)


# ---------------------------------------------------------------------------------------------------
# Verifiers


@dataclass(frozen=True, slots=True)
class Verifier:
    """What is kept of a password: `scrypt$SALT$HASH` in hexadecimal digits."""

    salt: bytes = field(repr=False)
    stored: bytes = field(repr=False)

    @classmethod
    def parse(cls, text: str) -> Verifier:
        try:
            kind, salt, stored = text.split("$")
            parsed = cls(bytes.fromhex(salt), bytes.fromhex(stored))
        except ValueError:
            raise ValueError("scrypt$SALT$HASH is needed, as `micadeck mysql password` prints it") from None
        if kind != "scrypt" or len(parsed.salt) < 16 or len(parsed.stored) != 32:
            raise ValueError("scrypt$SALT$HASH is needed, with 16 and 32 bytes or more")
        return parsed

    @classmethod
    def of(cls, password: bytes) -> Verifier:
        salt = secrets.token_bytes(16)
        return cls(salt, _scrypt(salt).derive(password))

    def text(self) -> str:
        return f"scrypt${self.salt.hex()}${self.stored.hex()}"

    def fits(self, password: bytes) -> bool:
        """Takes tens of milliseconds, whatever the outcome."""
        return hmac.compare_digest(_scrypt(self.salt).derive(password), self.stored)


def _scrypt(salt: bytes) -> Scrypt:
    return Scrypt(salt=salt, length=32, n=_SCRYPT_N, r=_SCRYPT_R, p=_SCRYPT_P)


def parse_native(text: str) -> bytes:
    """`*` and forty hexadecimal digits, as `mysql_native_password` is stored everywhere."""
    try:
        stored = bytes.fromhex(text.removeprefix("*"))
    except ValueError:
        stored = b""
    if not text.startswith("*") or len(stored) != 20:
        raise ValueError("* and 40 hexadecimal digits are needed")
    return stored


def native_stored(password: bytes) -> bytes:
    return hashlib.sha1(hashlib.sha1(password).digest()).digest()


@dataclass(frozen=True, slots=True)
class User:
    """One who may log in; without `native`, only by caching_sha2_password."""

    name: str
    verifier: Verifier
    native: bytes | None = field(default=None, repr=False)
    schemas: frozenset[str] | None = None  # None: any


class Users:
    """Who may log in, and what was learnt of their passwords since the start.

    The key pair is made here, before anybody can connect: it takes 0.04 to 0.3 s on an idle core, and an
    event loop that made it at the first log-in would hold up every statement and every dial for so long.
    """

    def __init__(self, users: Mapping[str, User], key: KeyPair | None = None) -> None:
        self.key = KeyPair() if key is None else key
        self._users = dict(users)
        self._cached: dict[str, bytes] = {}
        verifier = Verifier.of(secrets.token_bytes(16))
        self._nobody = (User("", verifier, secrets.token_bytes(20)), User("", verifier))
        self._unknown = secrets.token_bytes(32)  # of the fast path, for names that have none

    def replace(self, users: Mapping[str, User]) -> None:
        """Take over others; who changed must show the password again."""
        for name in list(self._cached):
            if users.get(name) != self._users.get(name):
                del self._cached[name]
        self._users = dict(users)

    def get(self, name: str) -> User | None:
        return self._users.get(name)

    def for_check(self, name: str) -> User:
        """The user, or for an unknown name somebody whose check costs as much and always fails.

        Which plugins such a one has is settled by the name: asking again tells nothing.
        """
        user = self._users.get(name)
        if user is not None:
            return user
        return self._nobody[hmac.digest(self._unknown, name.encode(), "sha256")[0] & 1]

    def cached(self, name: str) -> bytes:
        return self._cached.get(name, self._unknown)

    def remember(self, name: str, password: bytes) -> None:
        if name in self._users:
            self._cached[name] = sha2_cached(password)


# ---------------------------------------------------------------------------------------------------
# Towards clients


@dataclass(frozen=True, slots=True)
class SendPacket:
    """Write this, and read on."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class Check:
    """Call `run`, anywhere, and bring what it gives to `Gate.checked`."""

    run: Callable[[], bool] = field(repr=False)


@dataclass(frozen=True, slots=True)
class Admitted:
    """The client is who it says."""

    user: User
    first: bytes | None = None  # written before the OK


@dataclass(frozen=True, slots=True)
class Denied:
    """It is not, or nobody knows."""

    error: Err


Step = SendPacket | Check | Admitted | Denied


class Gate:
    """The server's side of one log-in, from the client's first answer on."""

    def __init__(self, users: Users, salt: bytes, host: str) -> None:
        self._users = users
        self._salt = salt
        self._host = host
        self._name = ""
        self._plugin = b""
        self._has_switched = False
        self._awaits_key_or_password = False
        self._password: bytes | None = None

    def begin(self, user: bytes, plugin: bytes, answer: bytes, *, switch: bool = False) -> Step:
        """`switch` where the client could not know the salt, as in COM_CHANGE_USER."""
        self._name = user.decode("utf-8", "replace")
        who = self._users.for_check(self._name)
        wanted = plugin if plugin in (NATIVE, CACHING_SHA2) else CACHING_SHA2
        if wanted == NATIVE and who.native is None:
            wanted = CACHING_SHA2
        self._plugin = wanted
        if wanted != plugin or switch:
            self._has_switched = True
            return SendPacket(AuthSwitch(wanted, self._salt).encode())
        return self._answered(answer)

    def read(self, payload: bytes) -> Step:
        """What the client sent next; raise ProtocolError on nonsense."""
        if self._has_switched:
            self._has_switched = False
            return self._answered(payload)
        if not self._awaits_key_or_password:
            raise ProtocolError("authentication: nothing was asked for")
        if payload == _ASK_KEY:
            return SendPacket(more_data(self._users.key.public))
        self._awaits_key_or_password = False
        password = self._password = self._users.key.password(payload, self._salt)
        if len(password) > _MOST_PASSWORD:
            raise ProtocolError(f"password: over {_MOST_PASSWORD} bytes")
        verifier = self._users.for_check(self._name).verifier
        return Check(lambda: verifier.fits(password))

    def checked(self, fits: bool) -> Step:
        password, self._password = self._password, None
        user = self._users.get(self._name)
        if not fits or user is None or password is None:
            return self._denied("YES")
        self._users.remember(self._name, password)
        return Admitted(user)

    def _answered(self, answer: bytes) -> Step:
        if answer in (b"", b"\0"):
            return self._denied("NO")  # nobody here is without a password
        if self._plugin == NATIVE:
            who = self._users.for_check(self._name)
            if native_fits(answer, self._salt, who.native or b"") and self._users.get(self._name):
                return Admitted(who)
            return self._denied("YES")
        user = self._users.get(self._name)
        if sha2_fits(answer, self._salt, self._users.cached(self._name)) and user is not None:
            return Admitted(user, more_data(_FAST_OK))
        self._awaits_key_or_password = True
        return SendPacket(more_data(_FULL))

    def _denied(self, used: str) -> Denied:
        text = f"Access denied for user '{self._name}'@'{self._host}' (using password: {used})"
        return Denied(Err(ErrorCode.ACCESS_DENIED, "28000", text))


# ---------------------------------------------------------------------------------------------------
# Towards servers


class LoginFailed(Exception):
    """A server did not let this program in; `error` is what it said, if it did."""

    def __init__(self, text: str, error: Err | None = None) -> None:
        super().__init__(text)
        self.error = error


class Login:
    """The client's side of one log-in, from the greeting on."""

    def __init__(self, password: bytes, plugin: bytes, salt: bytes) -> None:
        self._password = password
        self._plugin = plugin if plugin in (NATIVE, CACHING_SHA2) else CACHING_SHA2
        self._salt = salt
        self._asked_key = False

    @property
    def plugin(self) -> bytes:
        return self._plugin

    def answer(self) -> bytes:
        scramble = native_answer if self._plugin == NATIVE else sha2_answer
        return scramble(self._password, self._salt)

    def read(self, payload: bytes) -> bytes | None:
        """The answer to a packet of the dialogue; None if there is none.  OK and ERR are not for here."""
        if payload[:1] == b"\xfe":
            switch = AuthSwitch.decode(payload)
            if switch.plugin not in (NATIVE, CACHING_SHA2):
                raise LoginFailed(f"the plugin {switch.plugin.decode('latin-1')!r:.60} is not known here")
            self._plugin, self._salt = switch.plugin, switch.salt
            return self.answer()
        if payload[:1] != b"\x01" or self._plugin != CACHING_SHA2:
            raise ProtocolError("authentication: a packet that belongs to no dialogue")
        data = payload[1:]
        if data == _FAST_OK:
            return None
        if data == _FULL:
            self._asked_key = True
            return _ASK_KEY
        if self._asked_key:
            self._asked_key = False
            return seal(self._password, self._salt, data)
        raise ProtocolError("AuthMoreData: nothing was asked for")
