"""A server that does nothing but take its time, and remembers all that came."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import Enum, unique

from micadeck.http.h1 import MAX_BODY_BYTES, Request, RequestReader, Response

HOST = "127.0.0.1"


@unique
class Mode(Enum):
    """What becomes of a request."""

    SERVES = "serves"
    ERRS = "errs"  # 500: it may have run
    HANGS = "hangs"  # taken, and never answered
    TURNS_AWAY = "turns away"  # 503 with Not-Started: it never ran


@dataclass(frozen=True, slots=True)
class Heard:
    """A request that began here."""

    at: float  # seconds, on the machine's monotonic clock
    server: str
    method: str
    target: str
    ident: str
    key: str | None
    ran: bool


class StandInServer:
    """One server.  Each request holds it for `takes_s`; any number are served side by side."""

    def __init__(self, name: str, takes_s: float = 0.0, body: bytes = b"served") -> None:
        self.name = name
        self.mode = Mode.SERVES
        self.takes_s = takes_s
        self.body = body
        self.heard: list[Heard] = []
        self.keeps = True  # what it heard; off for long runs
        self.abandoned: list[float] = []  # when a connection ended with a request of its own unanswered
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self, port: int = 0) -> StandInServer:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), HOST, port)
        return self

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def die(self) -> None:
        """End as a killed process does: every connection is reset and new ones are refused."""
        assert self._server is not None
        self._server.close()
        for each in list(self._connections):
            each.transport.abort()


class _Connection(asyncio.Protocol):
    """One request at a time."""

    def __init__(self, server: StandInServer) -> None:
        self._server = server
        self._reader = RequestReader(MAX_BODY_BYTES)
        self._is_working = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self._server._connections.add(self)
        self._server.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._server._connections.discard(self)
        if self._is_working:
            self._server.abandoned.append(asyncio.get_running_loop().time())

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while self._reader.requests:
            self._begin(self._reader.requests.popleft())
        if self._reader.error_status is not None:
            self.transport.write(Response(self._reader.error_status, []).encode())
            self.transport.close()

    def _begin(self, request: Request) -> None:
        server, headers = self._server, dict(request.headers)
        if request.target.startswith((b"/ping", b"/_load")):
            self.transport.write(Response(200, []).encode())
            return
        ident, key = headers.get(b"request-id"), headers.get(b"idempotency-key")
        if ident is None:
            self.transport.write(Response(404, []).encode())
            return
        loop = asyncio.get_running_loop()
        if server.keeps:
            server.heard.append(
                Heard(
                    at=time.monotonic(),  # finer than the event loop's clock: what came first is told first
                    server=server.name,
                    method=request.method.decode(),
                    target=request.target.decode("latin-1"),
                    ident=ident.decode("latin-1"),
                    key=key.decode("latin-1") if key is not None else None,
                    ran=server.mode is not Mode.TURNS_AWAY,
                )
            )
        if server.mode is Mode.TURNS_AWAY:
            self.transport.write(Response(503, [(b"not-started", b"1")]).encode())
            return
        self._is_working = True
        if server.mode is not Mode.HANGS:
            answer = Response(200, [], server.body) if server.mode is Mode.SERVES else Response(500, [])
            if server.takes_s:
                loop.call_later(server.takes_s, self._end, answer)
            else:
                self._end(answer)

    def _end(self, answer: Response) -> None:
        self._is_working = False
        if not self.transport.is_closing():
            self.transport.write(answer.encode())
