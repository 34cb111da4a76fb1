"""What a host hands over, made into a request of the protocol and checked.  No input or output."""

from __future__ import annotations

import os
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from micadeck.http.framing import MOST_HEAD, MOST_HEADERS
from micadeck.http.h1 import MOST_BODY, Headers, Request
from micadeck.http.request_validation import BadRequestError, ValidatedRequest, key_of, read_request
from micadeck.http.settings_versions import SettingsVersions
from micadeck.policy.settings import Idempotency, ServiceClass, Settings

_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t -~\x80-\xff]*")
_TARGET = re.compile(rb"[!-~]+")
_METHOD = re.compile(rb"[A-Z]+")
_PLAIN_TARGET = re.compile(r"/[!-~]*")
_PLAIN_TEXT = re.compile(r"[!-~]{1,128}")
_PLAIN_SIZE = 2_048  # of a target; with the other texts far under what a head may be


class Malformed(BadRequestError):
    """What the daemon's parser would not get through; it answers such without a word in the body."""


class Reader:
    """Checks requests as the daemon does, without the bytes on a wire between."""

    def __init__(self, settings: Settings) -> None:
        self._generations = SettingsVersions(settings)
        self.classes: Mapping[str, ServiceClass] = {each.name: each for each in settings.classes}
        self.tenants = frozenset(each.name for each in settings.tenants)

    def read(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> ValidatedRequest:
        """Check a request; raise BadRequest, with the status that the daemon would answer, on nonsense."""
        given: Headers = []
        size = len(method) + len(target)
        for name, value in headers:
            # Guards against a line break in a value: servers would read what follows as a header, or a
            # request.
            if not _NAME.fullmatch(name):
                raise Malformed(f"a header's name is nonsense: {name!r:.60}")
            value = value.strip(b" \t")
            if not _VALUE.fullmatch(value):
                raise Malformed(f"the value of {name.decode().lower()} is nonsense")
            given.append((name.lower(), value))
            size += len(name) + len(value) + 4
        if not _METHOD.fullmatch(method):
            raise Malformed("the method is nonsense")
        if not _TARGET.fullmatch(target):
            raise Malformed("the target is nonsense")
        if size > MOST_HEAD or len(given) > MOST_HEADERS:
            raise Malformed("the headers are too large", 431)
        if len(body) > MOST_BODY:
            raise Malformed("the body is too large", 413)
        return read_request(Request(method, target, given, body), self._generations)


def new_id() -> bytes:
    """A request's id that no other process, a forked one included, gives again."""
    return os.urandom(16).hex().encode()


@dataclass(slots=True)
class Wanted:
    """A request as a host words it; times in seconds and microseconds as their names say."""

    target: str
    body: bytes = b""
    timeout_s: float | None = None  # None: the class's deadline
    tenant: str | None = None
    idempotency_key: str | None = None
    request_id: str | None = None  # None: a new one
    client_retry: bool = False
    work_hint_us: int | None = None
    headers: Iterable[tuple[str, str]] = ()
    host: str = "localhost"


def read_wanted(reader: Reader, kind: ServiceClass, wanted: Wanted) -> ValidatedRequest:
    """Check what a host wants of this class; raise BadRequest as `Reader.read` does."""
    plain = _plain(reader, kind, wanted)
    if plain is not None:
        return plain
    method, target, headers = worded(kind, wanted)
    return reader.read(method, target, headers, wanted.body)


def worded(kind: ServiceClass, wanted: Wanted) -> tuple[bytes, bytes, list[tuple[bytes, bytes]]]:
    """Method, target and headers, as a client of the daemon would write them."""
    timeout = kind.deadline_us / 1e6 if wanted.timeout_s is None else wanted.timeout_s
    hint = str(wanted.work_hint_us) if wanted.work_hint_us is not None else None
    given = [
        ("host", wanted.host),
        ("request-id", wanted.request_id if wanted.request_id is not None else new_id().decode()),
        ("request-class", kind.name),
        ("request-timeout", f"{timeout:.6f}"),
        ("tenant", wanted.tenant),
        ("idempotency-key", wanted.idempotency_key),
        ("work-hint", hint),
        ("client-retry", "1" if wanted.client_retry else None),
        *wanted.headers,
    ]
    headers = [(_bytes(name), _bytes(value)) for name, value in given if value is not None]
    return b"GET" if kind.idempotency is Idempotency.IDEMPOTENT else b"POST", _bytes(wanted.target), headers


def _bytes(text: str) -> bytes:
    return text.encode("latin-1", "replace")


def _plain(reader: Reader, kind: ServiceClass, wanted: Wanted) -> ValidatedRequest | None:
    """The same as `worded` and `Reader.read` together, for the requests that most are; None for others.

    Nothing is refused here.  A test holds the two ways against one another.
    """
    key, ident, timeout = wanted.idempotency_key, wanted.request_id, wanted.timeout_s
    if (
        wanted.headers
        or wanted.work_hint_us is not None
        or wanted.client_retry
        or len(wanted.body) > MOST_BODY
        or len(wanted.target) > _PLAIN_SIZE
        or (key is not None) != (kind.idempotency is Idempotency.KEYED)
        or not (timeout is None or 0.001 <= timeout <= 99_999.0)
        or not _PLAIN_TARGET.fullmatch(wanted.target)
    ):
        return None
    for text in (wanted.host, kind.name, wanted.tenant, key, ident):
        if text is not None and not _PLAIN_TEXT.fullmatch(text):
            return None
    target = wanted.target.encode()
    name = ident.encode() if ident is not None else new_id()
    headers = [(b"host", wanted.host.encode()), (b"request-id", name), (b"request-class", kind.name.encode())]
    if wanted.tenant is not None:
        headers.append((b"tenant", wanted.tenant.encode()))
    if key is not None:
        headers.append((b"idempotency-key", key.encode()))
    is_safe = kind.idempotency is Idempotency.IDEMPOTENT
    if wanted.body or not is_safe:
        headers.append((b"content-length", b"%d" % len(wanted.body)))
    return ValidatedRequest(
        service_class=kind.name,
        tenant=wanted.tenant if wanted.tenant in reader.tenants else None,
        key=key_of(target),
        remaining_us=kind.deadline_us if timeout is None else min(round(timeout * 1e6), kind.deadline_us),
        cost_us=None,
        client_retry=False,
        ident=name,
        write=not is_safe,
        method=b"GET" if is_safe else b"POST",
        target=target,
        headers=headers,
        body=wanted.body,
    )
