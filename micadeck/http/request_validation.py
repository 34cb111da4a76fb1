"""Checks a client's request before anything else sees it."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from micadeck.engine import ports
from micadeck.http.body_stream import BodyStream
from micadeck.http.h1 import Headers, Request, Response
from micadeck.http.settings_versions import SettingsVersions
from micadeck.policy.settings import Idempotency, ServiceClass

_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_TIMEOUT = re.compile(rb"[0-9]{1,5}(\.[0-9]{0,9})?")
_HINT = re.compile(rb"[0-9]{1,15}")
_OWN = frozenset(
    b"host request-id request-class tenant request-timeout client-retry work-hint idempotency-key".split()
)
# Of one connection only, or made anew for the server.
_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" request-timeout content-length".split()
)
_ALWAYS_FORWARDED = frozenset((b"host", b"request-id", b"idempotency-key"))  # whatever `Connection` lists


class BadRequestError(Exception):
    """What a client sent is not a request of this protocol; `status` is the answer's."""

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
    check_client_end: Callable[[], None] | None = None  # at its client's connection

    def check_client(self) -> None:
        """Find out whether the client has left; see `ports.Request`."""
        if self.check_client_end is not None:
            self.check_client_end()

    def can_retry(self) -> bool:
        """Whether all of it is kept; see `ports.Request`."""
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


def read_request(request: Request, versions: SettingsVersions, now_us: int = 0) -> ValidatedRequest:
    """Check a request.

    Args:
        request: As it was read.
        versions: The settings that it may have been sent under.
        now_us: Microseconds of the network's clock; of no matter while one version alone is in force.

    Raises:
        BadRequestError: No server must see it.
    """
    own, headers = _own_and_forwarded(request)
    _required(own, b"host")  # HTTP/1.0 may leave it out; towards servers it may not be
    service_class, is_retired = _service_class_of(request, own, versions, now_us)
    if not _REQUEST_ID.fullmatch(_required(own, b"request-id")):
        raise BadRequestError("request-id is nonsense")
    remaining_us = _remaining_us(own)
    is_get = request.method == b"GET"
    _check_form(request, own, service_class)
    cost_us = _cost_hint_us(own)
    length = len(request.body) if request.stream is None else request.stream.length
    if length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif length or not is_get:
        headers.append((b"content-length", b"%d" % length))
    tenant = own.get(b"tenant", b"").decode("latin-1")
    return ValidatedRequest(
        service_class=service_class.name,
        tenant=tenant if tenant in versions.tenants else None,
        key=key_of(request.target),
        # Guards against a client that claims more time than its class has: each open request holds memory.
        remaining_us=min(remaining_us, service_class.deadline_us),
        cost_us=cost_us,
        client_retry=own.get(b"client-retry") == b"1",
        request_id=own[b"request-id"],
        write=not is_get,
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        stream=request.stream,
        is_complete=request.stream is None or request.stream.has_ended,
        retired_class=service_class if is_retired else None,
    )


def _own_and_forwarded(request: Request) -> tuple[dict[bytes, bytes], Headers]:
    """The headers that this protocol defines, by name, and those that go on to a server."""
    own: dict[bytes, bytes] = {}
    headers: Headers = []
    options: set[bytes] = set()
    for name, value in request.headers:
        if name in _OWN:
            if name in own:
                raise BadRequestError(f"{name.decode()} stands twice")
            own[name] = value
        if name not in _HOP_BY_HOP:
            headers.append((name, value))
        elif name == b"connection":
            options.update(each.strip().lower() for each in value.split(b","))
    if options:
        headers = [each for each in headers if each[0] not in options or each[0] in _ALWAYS_FORWARDED]
    return own, headers


def _service_class_of(
    request: Request, own: Mapping[bytes, bytes], versions: SettingsVersions, now_us: int
) -> tuple[ServiceClass, bool]:
    """The class that a request names, and whether it is no longer in force."""
    class_name = _required(own, b"request-class").decode("latin-1")
    if b"idempotency-key" in own:
        repeat = Idempotency.KEYED
    else:
        repeat = Idempotency.IDEMPOTENT if request.method == b"GET" else Idempotency.NON_IDEMPOTENT
    service_class = versions.classes.get(class_name)
    if service_class is not None and service_class.idempotency is repeat:
        return service_class, False
    found = versions.find(class_name, repeat, now_us)
    if found is None:
        raise BadRequestError("request-class is unknown")
    return found


def _remaining_us(own: Mapping[bytes, bytes]) -> int:
    """The time that the client has left, in microseconds."""
    timeout = _required(own, b"request-timeout")
    remaining_us = round(float(timeout) * 1e6) if _TIMEOUT.fullmatch(timeout) else 0
    if remaining_us <= 0:
        raise BadRequestError("request-timeout is nonsense")
    return remaining_us


def _check_form(request: Request, own: Mapping[bytes, bytes], service_class: ServiceClass) -> None:
    """Check that method, key and target go with the class."""
    is_get = request.method == b"GET"
    is_idempotent = service_class.idempotency is Idempotency.IDEMPOTENT
    if request.method not in (b"GET", b"POST") or is_get != is_idempotent:
        raise BadRequestError("the method is not that of the class")
    key = own.get(b"idempotency-key")
    if (key is not None) != (service_class.idempotency is Idempotency.KEYED) or key == b"":
        raise BadRequestError("idempotency-key does not go with the class")
    if not request.target.startswith(b"/"):
        raise BadRequestError("the target is no path")


def _cost_hint_us(own: Mapping[bytes, bytes]) -> int | None:
    """What the client says of the work, in microseconds; None: nothing."""
    hint = own.get(b"work-hint")
    if hint is None:
        return None
    if not _HINT.fullmatch(hint):
        raise BadRequestError("work-hint is nonsense")
    return int(hint)


def _required(own: Mapping[bytes, bytes], name: bytes) -> bytes:
    value = own.get(name)
    if value is None:
        raise BadRequestError(f"{name.decode()} is missing")
    return value


def key_of(target: bytes) -> int | None:
    """What the request is about, as a number: requests about one thing have the same."""
    last = target.partition(b"?")[0].rpartition(b"/")[2]
    return int.from_bytes(hashlib.blake2b(last, digest_size=6).digest(), "big") if last else None
