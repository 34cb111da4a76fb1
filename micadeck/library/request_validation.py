"""Builds and validates a request of the protocol from a host's arguments.  Performs no I/O."""

from __future__ import annotations

import os
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from micadeck.http.framing import MAX_HEAD_BYTES, MAX_HEADERS
from micadeck.http.h1 import MAX_BODY_BYTES
from micadeck.http.messages import Headers, Request
from micadeck.http.request_validation import BadRequestError, ValidatedRequest, key_of, read_request
from micadeck.http.settings_versions import SettingsVersions
from micadeck.policy.settings import Idempotency, ServiceClass, Settings

_HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_HEADER_VALUE = re.compile(rb"[\t -~\x80-\xff]*")
_TARGET = re.compile(rb"[!-~]+")
_METHOD = re.compile(rb"[A-Z]+")
_HEADER_SEPARATOR_BYTES = 4  # colon, space and CRLF
_FAST_PATH_TARGET = re.compile(r"/[!-~]*")
_FAST_PATH_VALUE = re.compile(r"[!-~]{1,128}")
_FAST_PATH_MAX_TARGET = 2_048  # characters; with the other fields, well below MAX_HEAD_BYTES
_FAST_PATH_MIN_TIMEOUT_S = 0.001
_FAST_PATH_MAX_TIMEOUT_S = 99_999.0


class MalformedRequestError(BadRequestError):
    """A request that is not valid HTTP; the daemon answers it without a body."""

    @classmethod
    def invalid_header_name(cls, name: bytes) -> MalformedRequestError:
        """Return the error for a header name."""
        return cls(f"a header's name is nonsense: {name!r:.60}")

    @classmethod
    def invalid_header_value(cls, name: bytes) -> MalformedRequestError:
        """Return the error for a header value."""
        return cls(f"the value of {name.decode().lower()} is nonsense")

    @classmethod
    def invalid_part(cls, part: str) -> MalformedRequestError:
        """Return the error for the method or the target."""
        return cls(f"the {part} is nonsense")

    @classmethod
    def headers_too_large(cls) -> MalformedRequestError:
        """Return the error for headers above a limit."""
        return cls("the headers are too large", 431)

    @classmethod
    def body_too_large(cls) -> MalformedRequestError:
        """Return the error for a body above its limit."""
        return cls("the body is too large", 413)


@dataclass(slots=True)
class RequestOptions:
    """A request as a host passes it to `Micadeck.request`.

    Attributes:
        target: Path and query.
        body: The complete body.
        timeout_s: Seconds until its deadline; None: that of the class.
        tenant: The tenant's name, if any.
        idempotency_key: The key, for classes that need one.
        request_id: A unique id; None: a new one.
        client_retry: Whether the host has sent it before.
        work_hint_us: The expected work in microseconds.
        headers: Further headers.
        host: The value of the header Host.
    """

    target: str
    body: bytes = b""
    timeout_s: float | None = None
    tenant: str | None = None
    idempotency_key: str | None = None
    request_id: str | None = None
    client_retry: bool = False
    work_hint_us: int | None = None
    headers: Iterable[tuple[str, str]] = ()
    host: str = "localhost"


class RequestValidator:
    """Validates requests by the daemon's rules, without parsing HTTP."""

    def __init__(self, settings: Settings) -> None:
        """Store the settings.

        Args:
            settings: The classes and tenants.
        """
        self._settings_versions = SettingsVersions(settings)
        self.classes: Mapping[str, ServiceClass] = {
            service_class.name: service_class for service_class in settings.classes
        }
        self.tenants = frozenset(tenant.name for tenant in settings.tenants)

    def validate(
        self, method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> ValidatedRequest:
        """Validate the parts of an HTTP request.

        Args:
            method: The HTTP method.
            target: Path and query.
            headers: Names in any case, with values.
            body: The complete body.

        Raises:
            BadRequestError: If it is invalid, with the status that the daemon would answer.
        """
        checked_headers, headers_size = _check_headers(headers)
        if not _METHOD.fullmatch(method):
            raise MalformedRequestError.invalid_part("method")
        if not _TARGET.fullmatch(target):
            raise MalformedRequestError.invalid_part("target")
        head_size = len(method) + len(target) + headers_size
        if head_size > MAX_HEAD_BYTES or len(checked_headers) > MAX_HEADERS:
            raise MalformedRequestError.headers_too_large()
        if len(body) > MAX_BODY_BYTES:
            raise MalformedRequestError.body_too_large()
        return read_request(Request(method, target, checked_headers, body), self._settings_versions)

    def validate_options(self, service_class: ServiceClass, options: RequestOptions) -> ValidatedRequest:
        """Validate a request of a class.

        Raises:
            BadRequestError: If it is invalid, with the status that the daemon would answer.
        """
        if _is_on_fast_path(service_class, options):
            return _build_directly(service_class, options, self.tenants)
        method, target, headers = to_http(service_class, options)
        return self.validate(method, target, headers, options.body)


def new_request_id() -> bytes:
    """Return a random request id, unique also across forked processes."""
    return os.urandom(16).hex().encode()


def to_http(
    service_class: ServiceClass, options: RequestOptions
) -> tuple[bytes, bytes, list[tuple[bytes, bytes]]]:
    """Return the method, target and headers that a client of the daemon would send."""
    deadline_s = service_class.deadline_us / 1e6
    timeout_s = deadline_s if options.timeout_s is None else options.timeout_s
    work_hint = str(options.work_hint_us) if options.work_hint_us is not None else None
    request_id = options.request_id if options.request_id is not None else new_request_id().decode()
    fields = [
        ("host", options.host),
        ("request-id", request_id),
        ("request-class", service_class.name),
        ("request-timeout", f"{timeout_s:.6f}"),
        ("tenant", options.tenant),
        ("idempotency-key", options.idempotency_key),
        ("work-hint", work_hint),
        ("client-retry", "1" if options.client_retry else None),
        *options.headers,
    ]
    headers = [(_to_bytes(name), _to_bytes(value)) for name, value in fields if value is not None]
    return _method_of(service_class), _to_bytes(options.target), headers


def _check_headers(headers: Iterable[tuple[bytes, bytes]]) -> tuple[Headers, int]:
    """Return the headers with names in lower case, and their size in bytes."""
    checked: Headers = []
    size = 0
    for name, value in headers:
        # A line break in a value would allow header injection and request smuggling.
        if not _HEADER_NAME.fullmatch(name):
            raise MalformedRequestError.invalid_header_name(name)
        stripped = value.strip(b" \t")
        if not _HEADER_VALUE.fullmatch(stripped):
            raise MalformedRequestError.invalid_header_value(name)
        checked.append((name.lower(), stripped))
        size += len(name) + len(stripped) + _HEADER_SEPARATOR_BYTES
    return checked, size


def _method_of(service_class: ServiceClass) -> bytes:
    return b"GET" if service_class.idempotency is Idempotency.IDEMPOTENT else b"POST"


def _to_bytes(text: str) -> bytes:
    return text.encode("latin-1", "replace")


def _is_on_fast_path(service_class: ServiceClass, options: RequestOptions) -> bool:
    """Whether a request is valid and simple enough for `_build_directly`; others need full validation."""
    timeout_s = options.timeout_s
    has_key = options.idempotency_key is not None
    if (
        options.headers
        or options.work_hint_us is not None
        or options.client_retry
        or len(options.body) > MAX_BODY_BYTES
        or len(options.target) > _FAST_PATH_MAX_TARGET
        or has_key != (service_class.idempotency is Idempotency.KEYED)
        or not (timeout_s is None or _FAST_PATH_MIN_TIMEOUT_S <= timeout_s <= _FAST_PATH_MAX_TIMEOUT_S)
        or not _FAST_PATH_TARGET.fullmatch(options.target)
    ):
        return False
    name, key, request_id = service_class.name, options.idempotency_key, options.request_id
    for value in (options.host, name, options.tenant, key, request_id):
        if value is not None and not _FAST_PATH_VALUE.fullmatch(value):
            return False
    return True


def _build_directly(
    service_class: ServiceClass, options: RequestOptions, tenants: frozenset[str]
) -> ValidatedRequest:
    """Return what `to_http` and `RequestValidator.validate` would, at less cost; a test compares them."""
    target = options.target.encode()
    request_id = options.request_id.encode() if options.request_id is not None else new_request_id()
    headers = [
        (b"host", options.host.encode()),
        (b"request-id", request_id),
        (b"request-class", service_class.name.encode()),
    ]
    if options.tenant is not None:
        headers.append((b"tenant", options.tenant.encode()))
    if options.idempotency_key is not None:
        headers.append((b"idempotency-key", options.idempotency_key.encode()))
    is_write = service_class.idempotency is not Idempotency.IDEMPOTENT
    if options.body or is_write:
        headers.append((b"content-length", b"%d" % len(options.body)))
    remaining_us = service_class.deadline_us
    if options.timeout_s is not None:
        remaining_us = min(round(options.timeout_s * 1e6), remaining_us)
    return ValidatedRequest(
        service_class=service_class.name,
        tenant=options.tenant if options.tenant in tenants else None,
        key=key_of(target),
        remaining_us=remaining_us,
        cost_us=None,
        client_retry=False,
        request_id=request_id,
        write=is_write,
        method=_method_of(service_class),
        target=target,
        headers=headers,
        body=options.body,
    )
