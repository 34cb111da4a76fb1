"""The balancer as httpx transports (https://www.python-httpx.org/advanced/transports/): `micadeck[httpx]`.

`httpx.AsyncClient(transport=AsyncMicadeckTransport(balancer))` sends each request to one of the servers,
whatever the URL's host.  Responses are the daemon's: 200 served, 503 refused with `Retry-After`, 502, 504
and 500 failed; the `Answer` is in `response.extensions["micadeck"]`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import httpx

from micadeck.http.h1 import MAX_BODY_BYTES
from micadeck.library import Answer, Micadeck
from micadeck.library.request_validation import new_request_id
from micadeck.policy.settings import Idempotency

Headers = list[tuple[bytes, bytes]]

_IDEMPOTENCY_BY_METHOD_AND_KEY = {  # the key: whether there is an Idempotency-Key header
    ("GET", False): Idempotency.IDEMPOTENT,
    ("POST", True): Idempotency.KEYED,
    ("POST", False): Idempotency.NON_IDEMPOTENT,
}


class _ProtocolHeaders:
    """Adds missing headers of the protocol."""

    def __init__(self, balancer: Micadeck, service_class: str | None) -> None:
        classes = balancer.config.settings.classes
        if service_class is not None and all(known_class.name != service_class for known_class in classes):
            message = f"service_class: {service_class!r:.60} is none of the configuration's classes"
            raise ValueError(message)
        self._default_class = service_class
        self._deadlines_s = {known_class.name: known_class.deadline_us / 1e6 for known_class in classes}
        self._classes_by_idempotency = {
            idempotency: [
                known_class.name for known_class in classes if known_class.idempotency is idempotency
            ]
            for idempotency in Idempotency
        }

    def add_to(self, request: httpx.Request) -> Headers:
        """Return a request's headers with the missing ones added."""
        headers = [(name.lower(), value) for name, value in request.headers.raw]
        present = {name for name, _ in headers}
        if b"request-id" not in present:
            headers.append((b"request-id", new_request_id()))
        service_class: str | None
        if b"request-class" in present:
            service_class = request.headers["request-class"]
        else:
            has_key = b"idempotency-key" in present
            service_class = self._default_class or self._sole_matching_class(request.method, has_key=has_key)
            if service_class is not None:
                headers.append((b"request-class", service_class.encode("latin-1", "replace")))
        if b"request-timeout" not in present:
            headers.append((b"request-timeout", b"%.6f" % self._timeout_s(request, service_class)))
        return headers

    def _sole_matching_class(self, method: str, *, has_key: bool) -> str | None:
        """Return the class that matches; None if several or none do."""
        idempotency = _IDEMPOTENCY_BY_METHOD_AND_KEY.get((method, has_key))
        matching = self._classes_by_idempotency[idempotency] if idempotency is not None else []
        return matching[0] if len(matching) == 1 else None

    def _timeout_s(self, request: httpx.Request, service_class: str | None) -> float:
        """Return the client's read timeout, at most the class's deadline."""
        deadline_s = self._deadlines_s.get(service_class or "", max(self._deadlines_s.values()))
        read_timeout_s = request.extensions.get("timeout", {}).get("read")
        return min(read_timeout_s, deadline_s) if read_timeout_s is not None else deadline_s


class AsyncMicadeckTransport(httpx.AsyncBaseTransport):
    """Transport for `httpx.AsyncClient`.

    The class of a request is its header `Request-Class`, else `service_class`, else the only class of the
    configuration that matches its method (GET: idempotent; POST: keyed with `Idempotency-Key`, else
    non-idempotent).  The caller starts and closes the balancer; closing the client does not.
    """

    def __init__(self, balancer: Micadeck, *, service_class: str | None = None) -> None:
        """Use a balancer.

        Args:
            balancer: A started balancer.
            service_class: The class of requests without the header `Request-Class`.

        Raises:
            ValueError: If the configuration has no such class.
        """
        self._balancer = balancer
        self._protocol_headers = _ProtocolHeaders(balancer, service_class)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response."""
        body = bytearray()
        assert isinstance(request.stream, httpx.AsyncByteStream)
        async for chunk in request.stream:
            if not _append(body, chunk):
                break
        headers = self._protocol_headers.add_to(request)
        answer = await self._balancer.exchange(
            request.method.encode(), request.url.raw_path, headers, bytes(body)
        )
        return _to_response(answer)


class MicadeckTransport(httpx.BaseTransport):
    """Transport for `httpx.Client`, usable on any thread; else as `AsyncMicadeckTransport`."""

    def __init__(self, balancer: Micadeck, *, service_class: str | None = None) -> None:
        """Use a balancer.

        Args:
            balancer: A started balancer.
            service_class: The class of requests without the header `Request-Class`.

        Raises:
            ValueError: If the configuration has no such class.
        """
        self._balancer = balancer
        self._protocol_headers = _ProtocolHeaders(balancer, service_class)

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response."""
        body = bytearray()
        assert isinstance(request.stream, Iterable)
        for chunk in request.stream:
            if not _append(body, chunk):
                break
        headers = self._protocol_headers.add_to(request)
        answer = self._balancer.exchange_blocking(
            request.method.encode(), request.url.raw_path, headers, bytes(body)
        )
        return _to_response(answer)


def _append(body: bytearray, chunk: bytes) -> bool:
    """Append a chunk; False once the body is one byte above its limit, enough for its rejection."""
    body += chunk[: MAX_BODY_BYTES + 1 - len(body)]
    return len(body) <= MAX_BODY_BYTES


def _to_response(answer: Answer) -> httpx.Response:
    extensions: dict[str, Any] = {"micadeck": answer}
    stream = httpx.ByteStream(answer.body)
    return httpx.Response(answer.status, headers=answer.headers, stream=stream, extensions=extensions)
