"""The balancer as ASGI middleware (ASGI 3.0: https://asgi.readthedocs.io/en/latest/specs/).

Requests below a path prefix that have the protocol's headers are balanced; all others go to the application.
Needs nothing beyond this package; `micadeck[asgi]` adds the server that it is tested with.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from http import HTTPStatus
from typing import Any

from micadeck.config import Config
from micadeck.http.h1 import MAX_BODY_BYTES
from micadeck.library import Answer, Micadeck

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

STATE_KEY = "micadeck"
# Any one of these marks a request of the protocol; if another is missing, it is rejected as by the daemon.
_PROTOCOL_HEADERS = frozenset((b"request-class", b"request-id", b"request-timeout"))


class MicadeckMiddleware:
    """Balances requests for the servers; handlers of the application find the balancer in the state.

    `app.add_middleware(MicadeckMiddleware, balancer=config, prefix="/api/")`, with a configuration or a
    balancer.  Lifespan starts and closes the balancer; one already started is left running.  Under servers
    without lifespan the first request starts it, and the interpreter's exit closes it.
    """

    def __init__(
        self,
        app: App,
        balancer: Micadeck | Config | Mapping[str, Any] | str | os.PathLike[str],
        *,
        prefix: str = "/api/",
    ) -> None:
        """Wrap an application.

        Args:
            app: Receives all other requests.
            balancer: A balancer, or the configuration of one.
            prefix: Of the paths to balance.

        Raises:
            ConfigError: If the configuration is invalid.
            ValueError: If the prefix is not a path.
        """
        if not prefix.startswith("/"):
            message = f"prefix: a path is needed, not {prefix!r:.60}"
            raise ValueError(message)
        self.app = app
        self.balancer = balancer if isinstance(balancer, Micadeck) else Micadeck(balancer)
        self._prefix = prefix

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one connection scope."""
        if scope["type"] == "lifespan":
            await _Lifespan(self.app, self.balancer, scope, receive, send).run()
            return
        if scope["type"] in ("http", "websocket"):
            scope.setdefault("state", {})[STATE_KEY] = self.balancer
            if scope["type"] == "http" and self._should_balance(scope):
                await self._balance(scope, receive, send)
                return
        await self.app(scope, receive, send)

    def _should_balance(self, scope: Scope) -> bool:
        return scope["path"].startswith(self._prefix) and any(
            name.lower() in _PROTOCOL_HEADERS for name, _ in scope["headers"]
        )

    async def _balance(self, scope: Scope, receive: Receive, send: Send) -> None:
        if not self.balancer.is_started:
            self.balancer.start()
        body = await _read_body(receive)
        if body is None:
            return
        target = scope.get("raw_path") or scope["path"].encode("latin-1", "replace")
        if scope.get("query_string"):
            target = b"%s?%s" % (target, scope["query_string"])
        exchange = asyncio.ensure_future(
            self.balancer.exchange(scope["method"].encode(), target, scope["headers"], body)
        )
        answer = await _unless_disconnected(exchange, receive)
        if answer is not None:
            await _send_answer(answer, send)


class _Lifespan:
    """Starts the balancer before the application and closes it after; supports ones without lifespan."""

    def __init__(self, app: App, balancer: Micadeck, scope: Scope, receive: Receive, send: Send) -> None:
        scope.setdefault("state", {})[STATE_KEY] = balancer
        self._app = app
        self._balancer = balancer
        self._scope = scope
        self._server_receive = receive
        self._server_send = send
        self._was_started_before = balancer.is_started
        self._has_started = False
        self._has_shut_down = False

    async def run(self) -> None:
        """Run the application's lifespan; answer the server if it has none."""
        try:
            await self._app(self._scope, self._receive, self._send)
        except Exception:
            if self._has_shut_down:
                raise
            # The specification lets an application raise if it does not support lifespan.
            await self._run_without_application()

    async def _run_without_application(self) -> None:
        if not self._has_started:
            await self._receive()
        await self._send({"type": "lifespan.startup.complete"})
        await self._receive()
        await self._send({"type": "lifespan.shutdown.complete"})

    async def _receive(self) -> Message:
        message = await self._server_receive()
        if message["type"] == "lifespan.startup":
            self._balancer.start()
            self._has_started = True
        return message

    async def _send(self, message: Message) -> None:
        if message["type"] in ("lifespan.shutdown.complete", "lifespan.shutdown.failed"):
            self._has_shut_down = True
            await self._close()
        elif message["type"] == "lifespan.startup.failed":
            await self._close()
        await self._server_send(message)

    async def _close(self) -> None:
        if not self._was_started_before:
            await self._balancer.aclose()


async def _read_body(receive: Receive) -> bytes | None:
    """Return the body, cut off once it is too large; None if the client disconnects first."""
    body = bytearray()
    has_more = True
    while has_more and len(body) <= MAX_BODY_BYTES:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        has_more = message.get("more_body", False)
    return bytes(body)


async def _unless_disconnected(exchange: asyncio.Future[Answer], receive: Receive) -> Answer | None:
    """Return the answer; None if the client disconnects first, which withdraws the request."""
    disconnect = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait((exchange, disconnect), return_when=asyncio.FIRST_COMPLETED)
        return exchange.result() if exchange.done() else None
    finally:
        exchange.cancel()  # no effect once done
        disconnect.cancel()


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass  # some servers send an empty body message before it


async def _send_answer(answer: Answer, send: Send) -> None:
    headers = [*answer.headers, (b"content-length", b"%d" % len(answer.body))]
    if HTTPStatus.BAD_REQUEST <= answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        headers.append((b"connection", b"close"))  # as the daemon does after an invalid request
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
