"""A client's request: reading what came, and checking it before anything else sees it."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from micadeck.engine import ports
from micadeck.http.body_stream import BodyStream
from micadeck.http.h1 import Headers, Request, Response
from micadeck.http.settings_versions import SettingsVersions
from micadeck.policy.settings import Idempotency

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


class BadRequestError(Exception):
    """What came is not a request of this protocol."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class ValidatedRequest(ports.Request):
    """A client's request, read and checked."""

    method: bytes
    target: bytes
    headers: Headers  # as they go on to a server, but for the time that it has
    body: bytes
    stream: BodyStream | None = None  # the body, where it is passed on as it comes
    begin: Callable[[Response], bool] | None = None  # takes an answer that is too large to be kept
    look_for_end: Callable[[], None] | None = None  # at its client's connection

    def check_client(self) -> None:
        if self.look_for_end is not None:
            self.look_for_end()

    def can_go_again(self) -> bool:
        return self.stream is None or not self.stream.was_opened

    def message(self, left_us: int) -> Request:
        """The same request as a server gets it, when the sidecar will wait for so long."""
        return Request(
            self.method,
            self.target,
            [*self.headers, (b"request-timeout", b"%.3f" % (left_us / 1e6))],
            self.body,
            stream=self.stream,
        )


def read_request(request: Request, generations: SettingsVersions, now_us: int = 0) -> ValidatedRequest:
    """Check a request; raise BadRequest on what no server must see."""
    own: dict[bytes, bytes] = {}
    headers: Headers = []
    options: set[bytes] = set()
    for name, value in request.headers:
        if name in _OWN:
            if name in own:
                raise BadRequestError(f"{name.decode()} stands twice")
            own[name] = value
        if name not in _NOT_PASSED:
            headers.append((name, value))
        elif name == b"connection":
            options.update(each.strip().lower() for each in value.split(b","))
    if options:
        headers = [each for each in headers if each[0] not in options or each[0] in _ALWAYS_PASSED]
    _header(own, b"host")  # HTTP/1.0 may leave it out; towards servers it may not be
    class_name = _header(own, b"request-class").decode("latin-1")
    if b"idempotency-key" in own:
        repeat = Idempotency.KEYED
    else:
        repeat = Idempotency.IDEMPOTENT if request.method == b"GET" else Idempotency.NON_IDEMPOTENT
    kind = generations.classes.get(class_name)
    is_former = False
    if kind is None or kind.idempotency is not repeat:
        found = generations.find(class_name, repeat, now_us)
        if found is None:
            raise BadRequestError("request-class is unknown")
        kind, is_former = found
    if not _REQUEST_ID.fullmatch(_header(own, b"request-id")):
        raise BadRequestError("request-id is nonsense")
    timeout = _header(own, b"request-timeout")
    remaining_us = round(float(timeout) * 1e6) if _TIMEOUT.fullmatch(timeout) else 0
    if remaining_us <= 0:
        raise BadRequestError("request-timeout is nonsense")
    is_get = request.method == b"GET"
    if (request.method not in (b"GET", b"POST")) or is_get != (kind.idempotency is Idempotency.IDEMPOTENT):
        raise BadRequestError("the method is not that of the class")
    if (b"idempotency-key" in own) != (kind.idempotency is Idempotency.KEYED) or own.get(
        b"idempotency-key"
    ) == b"":
        raise BadRequestError("idempotency-key does not go with the class")
    if not request.target.startswith(b"/"):
        raise BadRequestError("the target is no path")
    hint = own.get(b"work-hint")
    if hint is not None and not _HINT.fullmatch(hint):
        raise BadRequestError("work-hint is nonsense")
    length = len(request.body) if request.stream is None else request.stream.length
    if length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif length or not is_get:
        headers.append((b"content-length", b"%d" % length))
    tenant = own.get(b"tenant", b"").decode("latin-1")
    return ValidatedRequest(
        service_class=kind.name,
        tenant=tenant if tenant in generations.tenants else None,
        key=key_of(request.target),
        # Guards against a client that claims more time than its class has: each open request holds memory.
        remaining_us=min(remaining_us, kind.deadline_us),
        cost_us=int(hint) if hint is not None else None,
        client_retry=own.get(b"client-retry") == b"1",
        ident=own[b"request-id"],
        write=not is_get,
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        stream=request.stream,
        is_complete=request.stream is None or request.stream.has_ended,
        retired_class=kind if is_former else None,
    )


def _header(own: Mapping[bytes, bytes], name: bytes) -> bytes:
    value = own.get(name)
    if value is None:
        raise BadRequestError(f"{name.decode()} is missing")
    return value


def key_of(target: bytes) -> int | None:
    """What the request is about, as a number: requests about one thing have the same."""
    last = target.partition(b"?")[0].rpartition(b"/")[2]
    return int.from_bytes(hashlib.blake2b(last, digest_size=6).digest(), "big") if last else None
