"""Authentication: scrambles, salted verifiers and both sides of the log-in, without I/O.

`ServerAuthentication` is the server's side, towards clients; `Login` is the client's side, towards servers.
Both map payloads to payloads.  A slow salted hash is returned as a `PasswordCheck`, which the caller may run
off the event loop.  Passwords are kept only until they are checked, and appear in no `repr` or error.
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

_SALT_BYTES = 20
_REQUEST_PUBLIC_KEY = b"\x02"
_FAST_AUTH_SUCCESS = b"\x03"
_FULL_AUTHENTICATION = b"\x04"
_KEY_BITS = 2_048
_SCRYPT_N, _SCRYPT_R, _SCRYPT_P = 1 << 14, 8, 1  # 16 MiB and about 40 ms a check
_MAX_PASSWORD_BYTES = 256


def new_salt() -> bytes:
    """20 bytes without zero and `$`: some clients take these for delimiters."""
    return bytes(secrets.choice(range(0x25, 0x7F)) for _ in range(_SALT_BYTES))


# ---------------------------------------------------------------------------------------------------
# Scrambles


def _xor(one: bytes, other: bytes) -> bytes:
    return bytes(a ^ b for a, b in zip(one, other, strict=True))


def native_scramble(password: bytes, salt: bytes) -> bytes:
    """SHA1(password) XOR SHA1(salt + SHA1(SHA1(password)))."""
    if not password:
        return b""
    first = hashlib.sha1(password).digest()
    return _xor(first, hashlib.sha1(salt + hashlib.sha1(first).digest()).digest())


def native_matches(response: bytes, salt: bytes, stored: bytes) -> bool:
    """Check a response against the stored SHA1(SHA1(password))."""
    if len(response) != 20:
        return False
    first = _xor(response, hashlib.sha1(salt + stored).digest())
    return hmac.compare_digest(hashlib.sha1(first).digest(), stored)


def sha2_scramble(password: bytes, salt: bytes) -> bytes:
    """SHA256(password) XOR SHA256(SHA256(SHA256(password)) + salt)."""
    if not password:
        return b""
    first = hashlib.sha256(password).digest()
    return _xor(first, hashlib.sha256(hashlib.sha256(first).digest() + salt).digest())


def sha2_matches(response: bytes, salt: bytes, cached_digest: bytes) -> bool:
    """Check a response against the cached SHA256(SHA256(password))."""
    if len(response) != 32:
        return False
    first = _xor(response, hashlib.sha256(cached_digest + salt).digest())
    return hmac.compare_digest(hashlib.sha256(first).digest(), cached_digest)


def sha2_digest(password: bytes) -> bytes:
    return hashlib.sha256(hashlib.sha256(password).digest()).digest()


def _mask(password: bytes, salt: bytes) -> bytes:
    """XOR a zero-terminated password with the repeated salt, as RSA encryption needs it."""
    plaintext = password + b"\0"
    return bytes(each ^ salt[number % _SALT_BYTES] for number, each in enumerate(plaintext))


_PADDING = padding.OAEP(padding.MGF1(hashes.SHA1()), hashes.SHA1(), None)


class KeyPair:
    """The RSA key that encrypts passwords on connections without TLS."""

    def __init__(self) -> None:
        self._key = rsa.generate_private_key(65_537, _KEY_BITS)
        self.public = self._key.public_key().public_bytes(
            serialization.Encoding.PEM, serialization.PublicFormat.SubjectPublicKeyInfo
        )

    def decrypt_password(self, ciphertext: bytes, salt: bytes) -> bytes:
        """Decrypt a password; raise ProtocolError if this fails."""
        try:
            masked = self._key.decrypt(ciphertext, _PADDING)
        except ValueError:
            raise ProtocolError("password: it was not sealed for this key") from None
        plaintext = bytes(each ^ salt[number % _SALT_BYTES] for number, each in enumerate(masked))
        if not plaintext.endswith(b"\0"):
            raise ProtocolError("password: no zero byte ends it")
        return plaintext[:-1]


def encrypt_password(password: bytes, salt: bytes, public: bytes) -> bytes:
    """Encrypt a password with a public key in PEM; raise ProtocolError if it is invalid."""
    try:
        key = serialization.load_pem_public_key(public)
    except ValueError:
        raise ProtocolError("AuthMoreData: public key: not in PEM format") from None
    if not isinstance(key, rsa.RSAPublicKey):
        raise ProtocolError("AuthMoreData: public key: not an RSA key")
    return key.encrypt(_mask(password, salt), _PADDING)


# ---------------------------------------------------------------------------------------------------
# Verifiers


@dataclass(frozen=True, slots=True)
class Verifier:
    """A password hash: `scrypt$SALT$HASH` in hexadecimal."""

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

    def matches(self, password: bytes) -> bool:
        """Takes tens of milliseconds in any case."""
        return hmac.compare_digest(_scrypt(self.salt).derive(password), self.stored)


def _scrypt(salt: bytes) -> Scrypt:
    return Scrypt(salt=salt, length=32, n=_SCRYPT_N, r=_SCRYPT_R, p=_SCRYPT_P)


def parse_native(text: str) -> bytes:
    """Parse MySQL's storage format of `mysql_native_password`: `*` and 40 hexadecimal digits."""
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
    """An account; without `native`, only for caching_sha2_password."""

    name: str
    verifier: Verifier
    native: bytes | None = field(default=None, repr=False)
    schemas: frozenset[str] | None = None  # None: any


def schema_error(user: User | None, schema: bytes | None) -> Err | None:
    """The error for a schema that is not among the user's."""
    name = schema_name(schema)
    if user is None or schema is None or user.schemas is None or name in user.schemas:
        return None
    text = f"Access denied for user '{user.name}'@'client' to database '{name}'"
    return Err(ErrorCode.DBACCESS_DENIED, "42000", text)


def schema_name(schema: bytes | None) -> str:
    """The name as text; empty without a schema."""
    return schema.decode("utf-8", "replace") if schema is not None else ""


class Users:
    """The accounts, and a cache of password digests for fast authentication.

    The key pair is generated here, before clients connect: it takes 0.04 to 0.3 s on an idle core, and would
    block the event loop, with all statements and dials, at the first log-in.
    """

    def __init__(self, users: Mapping[str, User], key: KeyPair | None = None) -> None:
        self.key = KeyPair() if key is None else key
        self._users = dict(users)
        self._cached_digests: dict[str, bytes] = {}
        verifier = Verifier.of(secrets.token_bytes(16))
        self._dummy_users = (User("", verifier, secrets.token_bytes(20)), User("", verifier))
        self._dummy_digest = secrets.token_bytes(32)  # for names without one; also selects dummies

    def replace(self, users: Mapping[str, User]) -> None:
        """Replace the accounts; changed ones lose their cached digest."""
        for name in list(self._cached_digests):
            if users.get(name) != self._users.get(name):
                del self._cached_digests[name]
        self._users = dict(users)

    def get(self, name: str) -> User | None:
        return self._users.get(name)

    def user_or_dummy(self, name: str) -> User:
        """The user, or for an unknown name a dummy whose check takes as long and always fails.

        The name determines the dummy's plugins, so that repeated attempts reveal nothing.
        """
        user = self._users.get(name)
        if user is not None:
            return user
        return self._dummy_users[hmac.digest(self._dummy_digest, name.encode(), "sha256")[0] & 1]

    def cached_digest(self, name: str) -> bytes:
        return self._cached_digests.get(name, self._dummy_digest)

    def remember(self, name: str, password: bytes) -> None:
        if name in self._users:
            self._cached_digests[name] = sha2_digest(password)


# ---------------------------------------------------------------------------------------------------
# The server's side


@dataclass(frozen=True, slots=True)
class SendPacket:
    """Send this payload, then read on."""

    payload: bytes


@dataclass(frozen=True, slots=True)
class PasswordCheck:
    """Call `run`, on any thread, and pass its result to `password_checked`."""

    run: Callable[[], bool] = field(repr=False)


@dataclass(frozen=True, slots=True)
class Authenticated:
    """The client is authenticated."""

    user: User
    first: bytes | None = None  # sent before the OK packet


@dataclass(frozen=True, slots=True)
class AccessDenied:
    """The log-in is rejected."""

    error: Err


AuthStep = SendPacket | PasswordCheck | Authenticated | AccessDenied


class ServerAuthentication:
    """The server's side of one log-in, after its handshake packet."""

    def __init__(self, users: Users, salt: bytes, host: str) -> None:
        self._users = users
        self._salt = salt
        self._host = host
        self._name = ""
        self._plugin = b""
        self._awaits_switch_response = False
        self._awaits_key_or_password = False
        self._password: bytes | None = None

    def begin(self, user: bytes, plugin: bytes, response: bytes, *, switch: bool = False) -> AuthStep:
        """`switch` if the client can't know the salt, as in COM_CHANGE_USER."""
        self._name = user.decode("utf-8", "replace")
        account = self._users.user_or_dummy(self._name)
        selected_plugin = plugin if plugin in (NATIVE, CACHING_SHA2) else CACHING_SHA2
        if selected_plugin == NATIVE and account.native is None:
            selected_plugin = CACHING_SHA2
        self._plugin = selected_plugin
        if selected_plugin != plugin or switch:
            self._awaits_switch_response = True
            return SendPacket(AuthSwitch(selected_plugin, self._salt).encode())
        return self._check_response(response)

    def read(self, payload: bytes) -> AuthStep:
        """Handle the client's next payload; raise ProtocolError if malformed."""
        if self._awaits_switch_response:
            self._awaits_switch_response = False
            return self._check_response(payload)
        if not self._awaits_key_or_password:
            raise ProtocolError("authentication: nothing was asked for")
        if payload == _REQUEST_PUBLIC_KEY:
            return SendPacket(more_data(self._users.key.public))
        self._awaits_key_or_password = False
        password = self._password = self._users.key.decrypt_password(payload, self._salt)
        if len(password) > _MAX_PASSWORD_BYTES:
            raise ProtocolError(f"password: over {_MAX_PASSWORD_BYTES} bytes")
        verifier = self._users.user_or_dummy(self._name).verifier
        return PasswordCheck(lambda: verifier.matches(password))

    def password_checked(self, matches: bool) -> AuthStep:
        password, self._password = self._password, None
        user = self._users.get(self._name)
        if not matches or user is None or password is None:
            return self._denied("YES")
        self._users.remember(self._name, password)
        return Authenticated(user)

    def _check_response(self, response: bytes) -> AuthStep:
        if response in (b"", b"\0"):
            return self._denied("NO")  # empty passwords are not supported
        if self._plugin == NATIVE:
            account = self._users.user_or_dummy(self._name)
            if native_matches(response, self._salt, account.native or b"") and self._users.get(self._name):
                return Authenticated(account)
            return self._denied("YES")
        user = self._users.get(self._name)
        if sha2_matches(response, self._salt, self._users.cached_digest(self._name)) and user is not None:
            return Authenticated(user, more_data(_FAST_AUTH_SUCCESS))
        self._awaits_key_or_password = True
        return SendPacket(more_data(_FULL_AUTHENTICATION))

    def _denied(self, using_password: str) -> AccessDenied:
        text = f"Access denied for user '{self._name}'@'{self._host}' (using password: {using_password})"
        return AccessDenied(Err(ErrorCode.ACCESS_DENIED, "28000", text))


# ---------------------------------------------------------------------------------------------------
# The client's side


class LoginFailed(Exception):
    """A server rejected the log-in; `error` is its error packet, if any."""

    def __init__(self, text: str, error: Err | None = None) -> None:
        super().__init__(text)
        self.error = error


class Login:
    """The client's side of one log-in, after the server's handshake packet."""

    def __init__(self, password: bytes, plugin: bytes, salt: bytes) -> None:
        self._password = password
        self._plugin = plugin if plugin in (NATIVE, CACHING_SHA2) else CACHING_SHA2
        self._salt = salt
        self._requested_key = False

    @property
    def plugin(self) -> bytes:
        return self._plugin

    def auth_response(self) -> bytes:
        scramble = native_scramble if self._plugin == NATIVE else sha2_scramble
        return scramble(self._password, self._salt)

    def read(self, payload: bytes) -> bytes | None:
        """The reply to an authentication packet, if it needs one; the caller handles OK and ERR."""
        if payload[:1] == b"\xfe":
            switch = AuthSwitch.decode(payload)
            if switch.plugin not in (NATIVE, CACHING_SHA2):
                raise LoginFailed(f"the plugin {switch.plugin.decode('latin-1')!r:.60} is not supported")
            self._plugin, self._salt = switch.plugin, switch.salt
            return self.auth_response()
        if payload[:1] != b"\x01" or self._plugin != CACHING_SHA2:
            raise ProtocolError("authentication: unexpected packet")
        data = payload[1:]
        if data == _FAST_AUTH_SUCCESS:
            return None
        if data == _FULL_AUTHENTICATION:
            self._requested_key = True
            return _REQUEST_PUBLIC_KEY
        if self._requested_key:
            self._requested_key = False
            return encrypt_password(self._password, self._salt, data)
        raise ProtocolError("AuthMoreData: no data was requested")
