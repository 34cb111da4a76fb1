"""The balancer under an httpx client (https://www.python-httpx.org/advanced/transports/): `micadeck[httpx]`.

`httpx.AsyncClient(transport=AsyncMicadeckTransport(balancer))` sends what it is asked to one of the servers,
whatever host the URL names.  Answers are the daemon's: 200 served, 503 refused with `Retry-After`, 502, 504
and 500 failed; the `Answer` itself stands in `response.extensions["micadeck"]`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import httpx

from micadeck.http.h1 import MOST_BODY
from micadeck.library import Answer, Micadeck
from micadeck.library.request_validation import new_id
from micadeck.policy.settings import Idempotency

_REPEAT_BY_FORM = {
    ("GET", False): Idempotency.IDEMPOTENT,
    ("POST", True): Idempotency.KEYED,
    ("POST", False): Idempotency.NON_IDEMPOTENT,
}


class _Wording:
    """Fills in what the protocol asks for and a client's request lacks."""

    def __init__(self, balancer: Micadeck, service_class: str | None) -> None:
        classes = balancer.config.settings.classes
        if service_class is not None and all(each.name != service_class for each in classes):
            raise ValueError(f"service_class: {service_class!r:.60} is none of the configuration's classes")
        self.balancer = balancer
        self._fixed = service_class
        self._deadlines = {each.name: each.deadline_us / 1e6 for each in classes}
        # Where several classes repeat alike, nobody can tell which is meant.
        self._only = {
            repeat: [each.name for each in classes if each.idempotency is repeat] for repeat in Idempotency
        }

    def __call__(self, request: httpx.Request) -> list[tuple[bytes, bytes]]:
        headers = [(name.lower(), value) for name, value in request.headers.raw]
        there = {name for name, _ in headers}
        if b"request-id" not in there:
            headers.append((b"request-id", new_id()))
        if b"request-class" not in there:
            name = self._fixed or self._by_form(request.method, b"idempotency-key" in there)
            if name is not None:
                headers.append((b"request-class", name.encode("latin-1", "replace")))
        else:
            name = request.headers["request-class"]
        if b"request-timeout" not in there:
            headers.append((b"request-timeout", b"%.6f" % self._time(request, name)))
        return headers

    def _by_form(self, method: str, has_key: bool) -> str | None:
        repeat = _REPEAT_BY_FORM.get((method, has_key))
        fitting = self._only[repeat] if repeat is not None else []
        return fitting[0] if len(fitting) == 1 else None

    def _time(self, request: httpx.Request, name: str | None) -> float:
        """The client's own read timeout, up to the class's deadline."""
        longest = self._deadlines.get(name or "", max(self._deadlines.values()))
        wanted = request.extensions.get("timeout", {}).get("read")
        return min(wanted, longest) if wanted is not None else longest


def _response(answer: Answer) -> httpx.Response:
    extensions: dict[str, Any] = {"micadeck": answer}
    stream = httpx.ByteStream(answer.body)
    return httpx.Response(answer.status, headers=answer.headers, stream=stream, extensions=extensions)


def _join(body: bytearray, piece: bytes) -> bool:
    """Take a piece in; whether more may come.  One byte over the limit is enough to be turned away for it."""
    body += piece[: MOST_BODY + 1 - len(body)]
    return len(body) <= MOST_BODY


class AsyncMicadeckTransport(httpx.AsyncBaseTransport):
    """For `httpx.AsyncClient`.

    A request's class is its header `Request-Class`, else `service_class`, else the only class of the
    configuration that goes with its method (GET: safe; POST: keyed with `Idempotency-Key`, unsafe without).
    The balancer is whoever's that made it: it must be started, and is not closed with the client.
    """

    def __init__(self, balancer: Micadeck, *, service_class: str | None = None) -> None:
        self._worded = _Wording(balancer, service_class)

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        body = bytearray()
        assert isinstance(request.stream, httpx.AsyncByteStream)
        async for piece in request.stream:
            if not _join(body, piece):
                break
        answer = await self._worded.balancer.exchange(
            request.method.encode(), request.url.raw_path, self._worded(request), bytes(body)
        )
        return _response(answer)


class MicadeckTransport(httpx.BaseTransport):
    """For `httpx.Client`; the same, on whatever thread calls."""

    def __init__(self, balancer: Micadeck, *, service_class: str | None = None) -> None:
        self._worded = _Wording(balancer, service_class)

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        body = bytearray()
        assert isinstance(request.stream, Iterable)
        for piece in request.stream:
            if not _join(body, piece):
                break
        answer = self._worded.balancer.exchange_blocking(
            request.method.encode(), request.url.raw_path, self._worded(request), bytes(body)
        )
        return _response(answer)
