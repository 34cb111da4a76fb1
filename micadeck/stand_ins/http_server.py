"""An HTTP server that answers after a delay and records its requests."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import Enum, unique

from micadeck.http.h1 import MAX_BODY_BYTES, RequestReader
from micadeck.http.messages import Request, Response

HOST = "127.0.0.1"


@unique
class Mode(Enum):
    """How the server handles requests."""

    SERVES = "serves"
    FAILS = "errs"  # 500: the request may have run
    HANGS = "hangs"  # never answers
    REJECTS = "turns away"  # 503 with Not-Started: the request did not run


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that reached the server."""

    at: float  # seconds on the machine's monotonic clock
    server: str
    method: str
    target: str
    ident: str
    key: str | None
    ran: bool


class StandInServer:
    """One server.  Each request takes `takes_s`; any number run concurrently."""

    def __init__(self, name: str, takes_s: float = 0.0, body: bytes = b"served") -> None:
        self.name = name
        self.mode = Mode.SERVES
        self.takes_s = takes_s
        self.body = body
        self.received: list[ReceivedRequest] = []
        self.records_requests = True  # off for long runs
        self.abandoned: list[float] = []  # times when a connection closed before its request was answered
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
        """Act as a killed process: reset every connection and refuse new ones."""
        assert self._server is not None
        self._server.close()
        for connection in list(self._connections):
            connection.transport.abort()


class _Connection(asyncio.Protocol):
    """A connection, with one request at a time."""

    def __init__(self, server: StandInServer) -> None:
        self._server = server
        self._reader = RequestReader(MAX_BODY_BYTES)
        self._is_serving = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self._server._connections.add(self)
        self._server.connections += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._server._connections.discard(self)
        if self._is_serving:
            self._server.abandoned.append(asyncio.get_running_loop().time())

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while self._reader.requests:
            self._handle(self._reader.requests.popleft())
        if self._reader.error_status is not None:
            self.transport.write(Response(self._reader.error_status, []).encode())
            self.transport.close()

    def _handle(self, request: Request) -> None:
        server, headers = self._server, dict(request.headers)
        if request.target.startswith((b"/ping", b"/_load")):
            self.transport.write(Response(200, []).encode())
            return
        ident, key = headers.get(b"request-id"), headers.get(b"idempotency-key")
        if ident is None:
            self.transport.write(Response(404, []).encode())
            return
        loop = asyncio.get_running_loop()
        if server.records_requests:
            server.received.append(
                ReceivedRequest(
                    at=time.monotonic(),  # finer than the event loop's clock, to keep the order of arrival
                    server=server.name,
                    method=request.method.decode(),
                    target=request.target.decode("latin-1"),
                    ident=ident.decode("latin-1"),
                    key=key.decode("latin-1") if key is not None else None,
                    ran=server.mode is not Mode.REJECTS,
                )
            )
        if server.mode is Mode.REJECTS:
            self.transport.write(Response(503, [(b"not-started", b"1")]).encode())
            return
        self._is_serving = True
        if server.mode is not Mode.HANGS:
            response = Response(200, [], server.body) if server.mode is Mode.SERVES else Response(500, [])
            if server.takes_s:
                loop.call_later(server.takes_s, self._send, response)
            else:
                self._send(response)

    def _send(self, response: Response) -> None:
        self._is_serving = False
        if not self.transport.is_closing():
            self.transport.write(response.encode())
