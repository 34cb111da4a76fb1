"""The balancer as ASGI middleware (ASGI 3.0: https://asgi.readthedocs.io/en/latest/specs/).

Requests under a prefix that carry the protocol's headers are balanced; all others go to the application.  It
needs nothing beside the package; `micadeck[asgi]` brings the host that it is tested under.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable, Mapping, MutableMapping
from typing import Any

from micadeck.config import Config
from micadeck.http.h1 import MOST_BODY
from micadeck.library import Answer, Micadeck

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

STATE_KEY = "micadeck"
# One of them is enough: a request that lacks another is answered as the daemon would, and not passed by.
_OWN_HEADERS = frozenset((b"request-class", b"request-id", b"request-timeout"))


class MicadeckMiddleware:
    """Balances what is addressed to the servers; the application's handlers find the balancer in the state.

    `app.add_middleware(MicadeckMiddleware, balancer=config, prefix="/api/")`, with a configuration or a
    balancer of one's own.  Lifespan starts the balancer and drains it; one that was already started is left
    running. Under hosts without lifespan it is started by the first request and drained as the interpreter
    exits.
    """

    def __init__(
        self,
        app: App,
        balancer: Micadeck | Config | Mapping[str, Any] | str | os.PathLike[str],
        *,
        prefix: str = "/api/",
    ) -> None:
        if not prefix.startswith("/"):
            raise ValueError(f"prefix: a path is needed, not {prefix!r:.60}")
        self.app = app
        self.balancer = balancer if isinstance(balancer, Micadeck) else Micadeck(balancer)
        self._prefix = prefix

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await self._live(scope, receive, send)
            return
        if scope["type"] in ("http", "websocket"):
            scope.setdefault("state", {})[STATE_KEY] = self.balancer
            if scope["type"] == "http" and self._is_ours(scope):
                await self._balance(scope, receive, send)
                return
        await self.app(scope, receive, send)

    def _is_ours(self, scope: Scope) -> bool:
        return scope["path"].startswith(self._prefix) and any(
            name.lower() in _OWN_HEADERS for name, _ in scope["headers"]
        )

    # Requests

    async def _balance(self, scope: Scope, receive: Receive, send: Send) -> None:
        if not self.balancer.is_started:
            self.balancer.start()
        body = bytearray()
        more = True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return  # it was never whole
            body += message.get("body", b"")
            if len(body) > MOST_BODY:
                break  # too large as it is; the rest is not read
            more = message.get("more_body", False)
        target = scope.get("raw_path") or scope["path"].encode("latin-1", "replace")
        if scope.get("query_string"):
            target = b"%s?%s" % (target, scope["query_string"])
        asking = asyncio.ensure_future(
            self.balancer.exchange(scope["method"].encode(), target, scope["headers"], bytes(body))
        )
        answer = await _unless_gone(asking, receive)
        if answer is not None:
            await _write(answer, send)

    # Lifespan

    async def _live(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Start before the application does, and drain after it has ended; an application may know no
        lifespan."""
        scope.setdefault("state", {})[STATE_KEY] = self.balancer
        was_started = self.balancer.is_started
        has_begun = has_ended = False

        async def hear() -> Message:
            nonlocal has_begun
            message = await receive()
            if message["type"] == "lifespan.startup":
                self.balancer.start()
                has_begun = True
            return message

        async def say(message: Message) -> None:
            nonlocal has_ended
            if message["type"] in ("lifespan.shutdown.complete", "lifespan.shutdown.failed"):
                has_ended = True
                if not was_started:
                    await self.balancer.aclose()
            elif message["type"] == "lifespan.startup.failed" and not was_started:
                await self.balancer.aclose()
            await send(message)

        try:
            await self.app(scope, hear, say)
        except Exception:
            if has_ended:
                raise
            # An application may answer that it knows no lifespan by raising; the balancer needs it all the
            # same.
            await self._live_alone(has_begun, hear, say)

    async def _live_alone(self, has_begun: bool, hear: Receive, say: Send) -> None:
        if not has_begun:
            await hear()
        await say({"type": "lifespan.startup.complete"})
        await hear()
        await say({"type": "lifespan.shutdown.complete"})


async def _unless_gone(asking: asyncio.Future[Answer], receive: Receive) -> Answer | None:
    """The answer, or None if the client left before it came."""
    leaving = asyncio.ensure_future(_disconnected(receive))
    try:
        await asyncio.wait((asking, leaving), return_when=asyncio.FIRST_COMPLETED)
        return asking.result() if asking.done() else None
    finally:
        asking.cancel()  # does nothing to one that is done
        leaving.cancel()


async def _disconnected(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass  # an empty piece of body from hosts that send one


async def _write(answer: Answer, send: Send) -> None:
    headers = [*answer.headers, (b"content-length", b"%d" % len(answer.body))]
    if 400 <= answer.status < 500:
        headers.append((b"connection", b"close"))  # as the daemon does with what it can't serve
    await send({"type": "http.response.start", "status": answer.status, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
