"""Validation of clients' requests, before anything else uses them."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from micadeck.engine import ports
from micadeck.errors import MicadeckError
from micadeck.http.body_stream import BodyStream
from micadeck.http.h1 import Headers, Request, Response
from micadeck.http.settings_versions import ClassMatch, SettingsVersions
from micadeck.policy.settings import Idempotency, ServiceClass

_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_TIMEOUT = re.compile(rb"[0-9]{1,5}(\.[0-9]{0,9})?")
_WORK_HINT = re.compile(rb"[0-9]{1,15}")
# Headers of the protocol between clients and the sidecar; each may appear once.
_PROTOCOL_HEADERS = frozenset(
    b"host request-id request-class tenant request-timeout client-retry work-hint idempotency-key".split()
)
# Headers of a single connection, and those that are set anew for the server.
_NOT_FORWARDED = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" request-timeout content-length".split()
)
_ALWAYS_FORWARDED = frozenset((b"host", b"request-id", b"idempotency-key"))  # even if `Connection` lists them
_KEY_BYTES = 6

_UNKNOWN_CLASS = "request-class is unknown"
_BAD_REQUEST_ID = "request-id is nonsense"
_BAD_TIMEOUT = "request-timeout is nonsense"
_BAD_METHOD = "the method is not that of the class"
_BAD_IDEMPOTENCY_KEY = "idempotency-key does not go with the class"
_BAD_TARGET = "the target is no path"
_BAD_WORK_HINT = "work-hint is nonsense"


class BadRequestError(MicadeckError):
    """A request violates the protocol.  The text is the body of the response to the client."""

    def __init__(self, text: str, status: int = 400) -> None:
        """Create the error for a response with this status."""
        super().__init__(text)
        self.status = status

    def __str__(self) -> str:
        """Return the text alone: what an operator can do is of no use to the client."""
        return str(self.args[0])


class DuplicateHeaderError(BadRequestError):
    """A header of the protocol appears twice."""

    def __init__(self, name: bytes) -> None:
        """Create the error for this header."""
        super().__init__(f"{name.decode()} stands twice")


class MissingHeaderError(BadRequestError):
    """A header that the protocol requires is missing."""

    def __init__(self, name: bytes) -> None:
        """Create the error for this header."""
        super().__init__(f"{name.decode()} is missing")


@dataclass(slots=True)
class ValidatedRequest(ports.Request):
    """A client's request that conforms to the protocol."""

    method: bytes
    target: bytes
    headers: Headers  # as they are forwarded to a server, but for the timeout
    body: bytes
    stream: BodyStream | None = None  # the body, if it is streamed
    begin: Callable[[Response], bool] | None = None  # accepts a response that is streamed
    detect_disconnect: Callable[[], None] | None = None  # checks the client's connection

    def check_client(self) -> None:
        """Find out whether the client has disconnected."""
        if self.detect_disconnect is not None:
            self.detect_disconnect()

    def can_go_again(self) -> bool:
        """Return whether the request can be sent again: no part of its body was discarded."""
        return self.stream is None or not self.stream.was_opened

    def message(self, left_us: int) -> Request:
        """Return the request as a server gets it, when the sidecar will wait for so long."""
        return Request(
            self.method,
            self.target,
            [*self.headers, (b"request-timeout", b"%.3f" % (left_us / 1e6))],
            self.body,
            stream=self.stream,
        )


def read_request(request: Request, versions: SettingsVersions, now_us: int = 0) -> ValidatedRequest:
    """Validate a request.

    Args:
        request: The request as it was received.
        versions: The settings, of which announced ones may come into force.
        now_us: The time, in microseconds; it does not matter while the settings are settled.

    Raises:
        BadRequestError: The request violates the protocol.
    """
    own, headers = _split_headers(request.headers)
    _required(own, b"host")  # HTTP/1.0 allows its absence, servers may not
    match = _find_class(request, own, versions, now_us)
    service_class = match.service_class
    if not _REQUEST_ID.fullmatch(_required(own, b"request-id")):
        raise BadRequestError(_BAD_REQUEST_ID)
    remaining_us = _parse_timeout_us(_required(own, b"request-timeout"))
    _check_form(request, own, service_class)
    work_hint = own.get(b"work-hint")
    if work_hint is not None and not _WORK_HINT.fullmatch(work_hint):
        raise BadRequestError(_BAD_WORK_HINT)
    is_get = request.method == b"GET"
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
        # A client may not claim more time than its class has: each open request takes memory.
        remaining_us=min(remaining_us, service_class.deadline_us),
        cost_us=int(work_hint) if work_hint is not None else None,
        client_retry=own.get(b"client-retry") == b"1",
        ident=own[b"request-id"],
        write=not is_get,
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        stream=request.stream,
        is_complete=request.stream is None or request.stream.has_ended,
        retired_class=service_class if match.is_former else None,
    )


def _split_headers(received: Headers) -> tuple[dict[bytes, bytes], Headers]:
    """Return the protocol's headers by name, and all headers that are forwarded."""
    own: dict[bytes, bytes] = {}
    forwarded: Headers = []
    connection_options: set[bytes] = set()
    for name, value in received:
        if name in _PROTOCOL_HEADERS:
            if name in own:
                raise DuplicateHeaderError(name)
            own[name] = value
        if name not in _NOT_FORWARDED:
            forwarded.append((name, value))
        elif name == b"connection":
            connection_options.update(option.strip().lower() for option in value.split(b","))
    if connection_options:
        forwarded = [
            header
            for header in forwarded
            if header[0] not in connection_options or header[0] in _ALWAYS_FORWARDED
        ]
    return own, forwarded


def _find_class(
    request: Request, own: Mapping[bytes, bytes], versions: SettingsVersions, now_us: int
) -> ClassMatch:
    name = _required(own, b"request-class").decode("latin-1")
    if b"idempotency-key" in own:
        idempotency = Idempotency.KEYED
    else:
        idempotency = Idempotency.IDEMPOTENT if request.method == b"GET" else Idempotency.NON_IDEMPOTENT
    match = versions.find(name, idempotency, now_us)
    if match is None:
        raise BadRequestError(_UNKNOWN_CLASS)
    return match


def _parse_timeout_us(value: bytes) -> int:
    timeout_us = round(float(value) * 1e6) if _TIMEOUT.fullmatch(value) else 0
    if timeout_us <= 0:
        raise BadRequestError(_BAD_TIMEOUT)
    return timeout_us


def _check_form(request: Request, own: Mapping[bytes, bytes], service_class: ServiceClass) -> None:
    """Check the method, the idempotency key and the target against the class."""
    is_get = request.method == b"GET"
    is_idempotent = service_class.repeat is Idempotency.IDEMPOTENT
    if request.method not in (b"GET", b"POST") or is_get != is_idempotent:
        raise BadRequestError(_BAD_METHOD)
    idempotency_key = own.get(b"idempotency-key")
    is_keyed = service_class.repeat is Idempotency.KEYED
    if (idempotency_key is not None) != is_keyed or idempotency_key == b"":
        raise BadRequestError(_BAD_IDEMPOTENCY_KEY)
    if not request.target.startswith(b"/"):
        raise BadRequestError(_BAD_TARGET)


def _required(own: Mapping[bytes, bytes], name: bytes) -> bytes:
    value = own.get(name)
    if value is None:
        raise MissingHeaderError(name)
    return value


def key_of(target: bytes) -> int | None:
    """Return a number for the last segment of a path: requests for the same resource have the same."""
    segment = target.partition(b"?")[0].rpartition(b"/")[2]
    if not segment:
        return None
    return int.from_bytes(hashlib.blake2b(segment, digest_size=_KEY_BYTES).digest(), "big")
