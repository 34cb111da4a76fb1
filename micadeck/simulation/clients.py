"""Clients of one sidecar: they send requests, wait for one answer each and retry after a refusal."""

from __future__ import annotations

import asyncio
import errno
from collections import deque
from dataclasses import dataclass
from typing import Protocol, cast

import httptools

from micadeck.network import Address
from micadeck.simulation.scenario import Order
from micadeck.simulation.streams import VirtualTransport
from micadeck.simulation.wire import Machine

TIMEOUTS_S = {"check": 1.0, "amend": 1.2, "lodge": 1.6}  # a client's deadline by class
_METHODS = {"check": "GET", "amend": "POST", "lodge": "POST"}
DISCONNECT_DELAY_S = 0.3  # past the deadline, before a client disconnects
_MAX_EARLY_DISCONNECT_US = 40_000  # for a client that disconnects early
_MAX_REQUESTS_PER_ORDER = 3  # requests for an order
_RETRY_DELAY_S = 0.1
_FIRST_PART_BYTES = 40  # of a request that is written in two parts


@dataclass(slots=True)
class ClientRequest:
    """One request of an order, with its own id."""

    order: Order
    number: int
    sent_at: float = 0.0  # when its last byte was written
    deadline: float = 0.0
    status: int | None = None
    is_abandoned: bool = False  # the client left or its sidecar was killed: no answer is due
    is_crossed: bool = False  # its sidecar closed the connection while it was in flight

    @property
    def ident(self) -> str:
        return f"{self.order.number}.{self.number}"


class ClientObserver(Protocol):
    """Observes what clients send and receive."""

    def on_sent(self, request: ClientRequest) -> None: ...

    def on_answer(
        self, request: ClientRequest | None, status: int, body: bytes, accepted_at: float
    ) -> None: ...

    def on_connection_closed(self, request: ClientRequest, was_new: bool) -> None: ...

    def on_client_left(self, request: ClientRequest, accepted_at: float) -> None: ...


class Clients:
    """All clients of one sidecar, on keep-alive connections."""

    def __init__(
        self,
        machine: Machine,
        address: Address,
        max_connections: int,
        reconnects: bool,
        observer: ClientObserver,
    ) -> None:
        self.machine = machine
        self.address = address
        self.observer = observer
        self.early_disconnect_rates: list[float] = []  # probabilities that a client disconnects early
        self.idle: list[Connection] = []
        self.connections: dict[Connection, None] = {}
        self._waiting: deque[ClientRequest] = deque()
        self._max_connections = max_connections
        self._reconnects = reconnects
        self._is_closed = False

    def submit(self, order: Order) -> None:
        self._send_request(ClientRequest(order, 0))

    def retry(self, request: ClientRequest, after_s: float) -> None:
        if request.number + 1 < _MAX_REQUESTS_PER_ORDER:
            loop = self.machine.wire.loop
            loop.call_after_us(
                int(after_s * 1e6),
                self._send_request,
                ClientRequest(request.order, request.number + 1),
                host=self.machine.host,
            )

    def _send_request(self, request: ClientRequest) -> None:
        if self.idle:
            self.idle.pop().send(request)
        elif len(self.connections) < self._max_connections or self._reconnects:
            self.machine.wire.loop.create_task(self._dial(request))
        else:
            self._waiting.append(request)

    async def _dial(self, request: ClientRequest) -> None:
        created: list[Connection] = []

        def make() -> Connection:
            connection = Connection(self)
            created.append(connection)
            return connection

        try:
            async with asyncio.timeout(TIMEOUTS_S[request.order.kind]):
                await self.machine.dial(make, self.address)
        except OSError as error:
            if error.errno == errno.ECONNREFUSED:
                self.retry(request, _RETRY_DELAY_S)
            return
        if self._is_closed:
            created[0].transport.close()
        else:
            created[0].send(request)

    def release(self, connection: Connection) -> None:
        if self._waiting:
            connection.send(self._waiting.popleft())
        else:
            self.idle.append(connection)

    def remove(self, connection: Connection) -> None:
        self.connections.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        if self._waiting and len(self.connections) < self._max_connections:
            self._send_request(self._waiting.popleft())

    def close(self) -> None:
        """End the run: close all connections; open requests are due no answer."""
        self._waiting.clear()
        self._is_closed = True
        for connection in list(self.connections):
            connection.abandon()


class Connection(asyncio.Protocol):
    """A client's connection, which sends one request at a time."""

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._requests: deque[ClientRequest] = deque()  # unanswered requests, in order
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._answer_count = 0
        self._retry_after = b""
        self.transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(VirtualTransport, transport)
        self._clients.connections[self] = None

    def send(self, request: ClientRequest) -> None:
        loop, draws = self._clients.machine.wire.loop, request.order.draws
        if self.transport.is_closing():
            self._clients.retry(request, 0.0)  # no byte of it was written
            return
        raw = encode_request(request)
        self._requests.append(request)
        if draws[0] < 0.1:
            self.transport.write(raw[:_FIRST_PART_BYTES])
            loop.call_after_us(
                int(draws[1] * 60_000), self._write_rest, request, raw, host=self._clients.machine.host
            )
        else:
            self.transport.write(raw)
            self._on_written(request)

    def _write_rest(self, request: ClientRequest, raw: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(raw[_FIRST_PART_BYTES:])
            self._on_written(request)

    def _on_written(self, request: ClientRequest) -> None:
        clients = self._clients
        loop, host, kind = clients.machine.wire.loop, clients.machine.host, request.order.kind
        request.sent_at = loop.time()
        request.deadline = request.sent_at + TIMEOUTS_S[kind]
        clients.observer.on_sent(request)
        if any(request.order.draws[2] < rate for rate in clients.early_disconnect_rates):
            loop.call_after_us(
                int(request.order.draws[1] * _MAX_EARLY_DISCONNECT_US), self._disconnect, request, host=host
            )
        else:
            loop.call_after_us(
                int((TIMEOUTS_S[kind] + DISCONNECT_DELAY_S) * 1e6), self._disconnect, request, host=host
            )

    def _disconnect(self, request: ClientRequest) -> None:
        if request.status is None and request in self._requests:
            self._clients.observer.on_client_left(request, self._accepted_at)
            self._requests.remove(request)
            self.transport.abort()

    def abandon(self) -> None:
        for request in self._requests:
            request.is_abandoned = True
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._clients.remove(self)
        requests, self._requests = self._requests, deque()
        for request in requests:
            if request.sent_at:
                self._clients.observer.on_connection_closed(request, not self._answer_count)
            else:
                self._clients.retry(request, 0.0)

    def eof_received(self) -> None:
        pass  # the transport then closes

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._clients.observer.on_answer(None, 0, data, 0.0)

    @property
    def _accepted_at(self) -> float:
        """When the sidecar accepted the connection; infinite until then."""
        return self.transport.outbound.target.attached_at

    # Parser callbacks

    def on_message_begin(self) -> None:
        self._body, self._retry_after = b"", b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self._retry_after = value

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        clients = self._clients
        request = self._requests.popleft() if self._requests else None
        status = self._parser.get_status_code()
        self._answer_count += 1
        clients.observer.on_answer(request, status, self._body, self._accepted_at)
        if request is None:
            return
        request.status = status
        if status == 503:
            clients.retry(request, max(float(self._retry_after or b"0"), 0.02))
        if not self._requests and not self.transport.is_closing() and self._parser.should_keep_alive():
            clients.release(self)


def encode_request(request: ClientRequest) -> bytes:
    """Encode a request."""
    kind = request.order.kind
    lines = [
        f"{_METHODS[kind]} /api/{request.order.number} HTTP/1.1",
        "Host: origin.svc",
        f"Request-Id: {request.ident}",
        f"Request-Class: {kind}",
        "Tenant: acme",
        f"Request-Timeout: {TIMEOUTS_S[kind]}",
        f"Work-Hint: {work_us(request.order)}",
    ]
    body = ""
    if kind == "amend":
        lines.append(f"Idempotency-Key: k{request.order.number}")
    if kind != "check":
        body = "x" * (request.order.number % 90)
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", body]).encode()


_MEAN_WORK_US = [20_000.0]


def work_us(order: Order) -> int:
    """The order's CPU time on a warm server, in microseconds."""
    return int(_MEAN_WORK_US[0] * (0.4 + 1.2 * order.draws[1]))
