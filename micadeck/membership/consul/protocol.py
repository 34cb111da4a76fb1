"""Requests to Consul's HTTP API and the headers and status of its responses.  No input or output.

Sources: https://developer.hashicorp.com/consul/api-docs/features/blocking, .../features/consistency,
.../api-docs/api-structure (authentication, namespaces, gzip) and .../api-docs/health.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Literal
from urllib.parse import quote, urlencode, urlsplit

from micadeck.http.messages import Headers, Request, Response
from micadeck.membership.errors import MembershipError
from micadeck.network import Address, parse_address

MAX_BODY_BYTES = 4 << 20  # compressed or not
_PIECE_BYTES = 256 << 10  # decompressed in about a millisecond
_MAX_RETRY_AFTER_S = 60.0
_MAX_HEADER_DIGITS = 20
_REDIRECT_STATUSES = (301, 302, 307, 308)
ConsistencyMode = Literal["default", "stale", "consistent"]


class ConsulError(MembershipError):
    """Consul did not answer a call, or sent an unexpected response.

    Attributes:
        retry_after_s: The delay before the next call that Consul requested; 0 if none.
        is_forbidden: Whether the token lacks a permission, at this and at any other agent.
    """

    advice = "Check the agent that is named, and its token; the last list stays in use."

    def __init__(self, what: str, *, retry_after_s: float = 0.0, is_forbidden: bool = False) -> None:
        """Say what happened; see the attributes."""
        super().__init__(what)
        self.retry_after_s = retry_after_s
        self.is_forbidden = is_forbidden


class ConsulFieldError(ConsulError):
    """One field of a response has a value of the wrong type or range."""

    def __init__(self, path: str, expected: str, value: object) -> None:
        """Name the path of the field, what it must be and the value that was read instead."""
        super().__init__(f"{path}: {expected} is needed, not {value!r:.40}")


class RedirectError(ConsulError):
    """A redirect to a location that cannot be called: no name resolution, no TLS."""

    def __init__(self, reason: str) -> None:
        """Say what is wrong with the location."""
        super().__init__(f"redirect to a location that cannot be called: {reason}")


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """What all calls of one source have in common; empty values are not sent."""

    token: str = ""
    datacenter: str = ""
    namespace: str = ""
    partition: str = ""
    mode: ConsistencyMode = "default"
    tags: tuple[str, ...] = ()
    filter: str = ""

    def request(self, path: str, host: str, *, index: int = 0, wait_s: float = 0.0) -> Request:
        """Return a GET request.

        Args:
            path: The path of the API.
            host: The value of the host header.
            index: Makes it a blocking query that waits for changes after this index; 0 for none.
            wait_s: How long a blocking query may wait.
        """
        query: list[tuple[str, str]] = [
            (name, value)
            for name, value in (
                ("dc", self.datacenter),
                ("ns", self.namespace),
                ("partition", self.partition),
                ("filter", self.filter),
            )
            if value
        ]
        query += [("tag", tag) for tag in self.tags]
        if index:
            query += [("index", str(index)), ("wait", f"{max(int(wait_s * 1_000), 1)}ms")]
        target = "?".join(part for part in (quote(path), urlencode(query, quote_via=quote)) if part)
        if self.mode != "default":
            target += ("&" if "?" in target else "?") + self.mode
        headers: Headers = [(b"host", host.encode()), (b"accept-encoding", b"gzip")]
        if self.token:
            headers.append((b"x-consul-token", self.token.encode("latin-1", "replace")))
        return Request(b"GET", target.encode(), headers)

    def __repr__(self) -> str:
        """Return a text without the token, safe to log."""
        token = "set" if self.token else "none"
        return f"RequestOptions({self.mode}, dc={self.datacenter!r}, token={token})"


@dataclass(frozen=True, slots=True)
class ResponseMeta:
    """The headers of a response.

    Attributes:
        index: The index to wait on; 0 if there is none.
        last_contact_s: How long ago the server that answered had contact with its leader.
        has_leader: Whether the servers have a leader.
    """

    index: int
    last_contact_s: float = 0.0
    has_leader: bool = True


def read_meta(response: Response) -> ResponseMeta:
    """Read the headers; raise ConsulError if a number is malformed."""
    index = _number_header(response, b"x-consul-index")
    contact_ms = _number_header(response, b"x-consul-lastcontact")
    has_leader = response.header(b"x-consul-knownleader") != b"false"
    return ResponseMeta(index, contact_ms / 1_000, has_leader)


def _number_header(response: Response, name: bytes) -> int:
    value = response.header(name)
    if value is None:
        return 0
    if not value.isdigit() or len(value) > _MAX_HEADER_DIGITS:
        message = f"{name.decode()}: {value!r:.40} is not a number"
        raise ConsulError(message)
    return int(value)


def read_body(response: Response) -> Any:
    """Return the JSON of a response; raise ConsulError if it is not 200 or not JSON."""
    check_status(response)
    try:
        return json.loads(b"".join(decompressed(response)))
    except (ValueError, RecursionError) as error:
        message = f"the body is not JSON: {error}"
        raise ConsulError(message) from None


def check_status(response: Response) -> None:
    """Raise ConsulError if the status is not 200."""
    if response.status == 403:
        message = "403: the token lacks the permission to read this"
        raise ConsulError(message, is_forbidden=True)
    if response.status == 429:
        message = "429: Consul limits the rate of calls"
        raise ConsulError(message, retry_after_s=_retry_after(response))
    if response.status != 200:
        text = b"".join(decompressed(response))[:80].decode("utf-8", "replace").strip()
        message = f"{response.status}: {text or 'no reason given'}"
        raise ConsulError(message)


def decompressed(response: Response) -> Iterator[bytes]:
    """Yield the body in pieces that take about a millisecond each.

    Raises:
        ConsulError: The body is not gzip, is truncated, or is too large once decompressed.
    """
    coding = response.header(b"content-encoding")
    if coding is None:
        yield response.body
        return
    if coding != b"gzip":
        message = f"content-encoding {coding!r:.40} was not requested"
        raise ConsulError(message)
    decompressor = zlib.decompressobj(wbits=31)
    compressed, size = response.body, 0
    while not decompressor.eof:
        try:
            piece = decompressor.decompress(compressed, _PIECE_BYTES)
        except zlib.error as error:
            message = f"the body cannot be decompressed: {error}"
            raise ConsulError(message) from None
        compressed = decompressor.unconsumed_tail
        if not piece and not compressed and not decompressor.eof:
            message = "the compressed body is truncated"
            raise ConsulError(message)
        size += len(piece)
        if size > MAX_BODY_BYTES:  # a small body may decompress to more than fits into memory
            message = "the body is over 4 MiB once decompressed"
            raise ConsulError(message)
        yield piece


def _retry_after(response: Response) -> float:
    value = response.header(b"retry-after") or b""
    return min(float(value), _MAX_RETRY_AFTER_S) if value.isdigit() else 0.0


def redirect_target(response: Response) -> tuple[Address, bytes] | None:
    """Return the address and target of a redirect; None if the response is not one.

    Raises:
        RedirectError: The location cannot be called.
    """
    if response.status not in _REDIRECT_STATUSES:
        return None
    try:
        location = urlsplit((response.header(b"location") or b"").decode("latin-1"))
    except ValueError as error:
        raise RedirectError(str(error)) from None
    if location.scheme != "http":
        reason = "only http is supported"
        raise RedirectError(reason)
    try:
        address = parse_address(location.netloc)
    except ValueError as error:
        raise RedirectError(str(error)) from None
    return address, f"{location.path}?{location.query}".rstrip("?").encode("latin-1")


def require_object(value: Any, path: str) -> Mapping[str, Any]:
    """Return a JSON object; raise ConsulFieldError with its path if it is not one."""
    if not isinstance(value, Mapping):
        raise ConsulFieldError(path, "an object", value)
    return value
