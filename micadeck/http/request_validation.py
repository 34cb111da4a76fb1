"""Validates client requests."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from micadeck.engine import ports
from micadeck.http.body_stream import BodyStream
from micadeck.http.messages import Headers, Request, Response
from micadeck.http.settings_versions import SettingsVersions
from micadeck.policy.settings import Idempotency, ServiceClass

_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_TIMEOUT = re.compile(rb"[0-9]{1,5}(\.[0-9]{0,9})?")
_HINT = re.compile(rb"[0-9]{1,15}")
_PROTOCOL_HEADERS = frozenset(
    b"host request-id request-class tenant request-timeout client-retry work-hint idempotency-key".split()
)
# Hop-by-hop headers, and those that are written anew for the server.
_HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding upgrade expect"
    b" request-timeout content-length".split()
)
_ALWAYS_FORWARDED = frozenset((b"host", b"request-id", b"idempotency-key"))  # even if `Connection` lists them


class BadRequestError(Exception):
    """A client sent an invalid request; `status` is that of the answer."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(slots=True)
class ValidatedRequest(ports.Request):
    """A client's request after validation."""

    method: bytes
    target: bytes
    headers: Headers  # as forwarded to servers, without `request-timeout`
    body: bytes
    stream: BodyStream | None = None  # the body, if it is streamed
    client_wait_us: int | None = None  # what the client waits after the last byte, if that is not received
    start_streaming: Callable[[Response], bool] | None = None  # takes an answer that is too large to buffer
    check_client_disconnect: Callable[[], None] | None = None  # of the client's connection

    def check_client(self) -> None:
        """Check for a client disconnect; see `ports.Request`."""
        if self.check_client_disconnect is not None:
            self.check_client_disconnect()

    def can_retry(self) -> bool:
        """Whether a retry is possible; see `ports.Request`."""
        return self.stream is None or not self.stream.was_opened

    def message(self, left_us: int) -> Request:
        """The request as sent to a server, with the time that the client has left as its timeout."""
        if self.client_wait_us is not None and not self.is_complete:
            left_us = min(left_us, self.client_wait_us)
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
        request: As received.
        versions: The settings versions that its client may follow.
        now_us: Microseconds of the network's clock; ignored while only one version is in force.

    Raises:
        BadRequestError: It is invalid.
    """
    protocol_headers, headers = _split_headers(request)
    _required(protocol_headers, b"host")  # optional in HTTP/1.0, but required in the forwarded request
    service_class, is_retired = _service_class_of(request, protocol_headers, versions, now_us)
    if not _REQUEST_ID.fullmatch(_required(protocol_headers, b"request-id")):
        raise BadRequestError("request-id is nonsense")
    remaining_us = _remaining_us(protocol_headers)
    is_get = request.method == b"GET"
    _check_form(request, protocol_headers, service_class)
    cost_us = _cost_hint_us(protocol_headers)
    length = len(request.body) if request.stream is None else request.stream.length
    if length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif length or not is_get:
        headers.append((b"content-length", b"%d" % length))
    tenant = protocol_headers.get(b"tenant", b"").decode("latin-1")
    return ValidatedRequest(
        service_class=service_class.name,
        tenant=tenant if tenant in versions.tenants else None,
        key=key_of(request.target),
        # Capped at the class's deadline, as every open request holds memory.
        remaining_us=min(remaining_us, service_class.deadline_us),
        cost_us=cost_us,
        client_retry=protocol_headers.get(b"client-retry") == b"1",
        request_id=protocol_headers[b"request-id"],
        write=not is_get,
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        stream=request.stream,
        is_complete=request.stream is None or request.stream.has_ended,
        retired_class=service_class if is_retired else None,
    )


def _split_headers(request: Request) -> tuple[dict[bytes, bytes], Headers]:
    """The headers defined by this protocol, by name, and those forwarded to servers."""
    protocol_headers: dict[bytes, bytes] = {}
    headers: Headers = []
    options: set[bytes] = set()
    for name, value in request.headers:
        if name in _PROTOCOL_HEADERS:
            if name in protocol_headers:
                raise BadRequestError(f"{name.decode()} stands twice")
            protocol_headers[name] = value
        if name not in _HOP_BY_HOP:
            headers.append((name, value))
        elif name == b"connection":
            options.update(option.strip().lower() for option in value.split(b","))
    if options:
        headers = [header for header in headers if header[0] not in options or header[0] in _ALWAYS_FORWARDED]
    return protocol_headers, headers


def _service_class_of(
    request: Request, protocol_headers: Mapping[bytes, bytes], versions: SettingsVersions, now_us: int
) -> tuple[ServiceClass, bool]:
    """The class that a request names, and whether it is from previous settings."""
    class_name = _required(protocol_headers, b"request-class").decode("latin-1")
    if b"idempotency-key" in protocol_headers:
        idempotency = Idempotency.KEYED
    else:
        idempotency = Idempotency.IDEMPOTENT if request.method == b"GET" else Idempotency.NON_IDEMPOTENT
    service_class = versions.classes.get(class_name)
    if service_class is not None and service_class.idempotency is idempotency:
        return service_class, False
    found = versions.find(class_name, idempotency, now_us)
    if found is None:
        raise BadRequestError("request-class is unknown")
    return found


def _remaining_us(protocol_headers: Mapping[bytes, bytes]) -> int:
    """The client's remaining time, in microseconds."""
    timeout = _required(protocol_headers, b"request-timeout")
    remaining_us = round(float(timeout) * 1e6) if _TIMEOUT.fullmatch(timeout) else 0
    if remaining_us <= 0:
        raise BadRequestError("request-timeout is nonsense")
    return remaining_us


def _check_form(
    request: Request, protocol_headers: Mapping[bytes, bytes], service_class: ServiceClass
) -> None:
    """Check that method, key and target go with the class."""
    is_get = request.method == b"GET"
    is_idempotent = service_class.idempotency is Idempotency.IDEMPOTENT
    if request.method not in (b"GET", b"POST") or is_get != is_idempotent:
        raise BadRequestError("the method is not that of the class")
    key = protocol_headers.get(b"idempotency-key")
    if (key is not None) != (service_class.idempotency is Idempotency.KEYED) or key == b"":
        raise BadRequestError("idempotency-key does not go with the class")
    if not request.target.startswith(b"/"):
        raise BadRequestError("the target is no path")


def _cost_hint_us(protocol_headers: Mapping[bytes, bytes]) -> int | None:
    """The client's estimate of the work, in microseconds, if it sent one."""
    hint = protocol_headers.get(b"work-hint")
    if hint is None:
        return None
    if not _HINT.fullmatch(hint):
        raise BadRequestError("work-hint is nonsense")
    return int(hint)


def _required(protocol_headers: Mapping[bytes, bytes], name: bytes) -> bytes:
    value = protocol_headers.get(name)
    if value is None:
        raise BadRequestError(f"{name.decode()} is missing")
    return value


def key_of(target: bytes) -> int | None:
    """A hash of the target's last path segment, which identifies the requested item."""
    last = target.partition(b"?")[0].rpartition(b"/")[2]
    return int.from_bytes(hashlib.blake2b(last, digest_size=6).digest(), "big") if last else None
