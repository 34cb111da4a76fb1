"""Servers of another zone: sound ones, behind a link that takes its time, and some answers come twice."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

import stage

_HEAD_END = b"\r\n\r\n"


@dataclass(frozen=True)
class Link:
    """The network between two zones; each message takes `one_way_s`, give or take the share `jitter`."""

    one_way_s: float
    jitter: float

    def delay_s(self, rng: random.Random) -> float:
        """Return how long the next message takes."""
        return self.one_way_s * rng.uniform(1.0 - self.jitter, 1.0 + self.jitter)


@dataclass(frozen=True)
class SecondAnswers:
    """How often an answer is written a second time, and how long after the first."""

    share: float
    least_s: float
    most_s: float


@dataclass
class _Direction:
    """Messages of one direction, which stay in order."""

    due: float = 0.0


class Server:
    """A server behind a link, with a connection for one request at a time."""

    zone = "b"

    def __init__(
        self, name: str, record: stage.Record, link: Link, second: SecondAnswers, takes_s: float
    ) -> None:
        """Describe it; `start` listens."""
        self.name = name
        self.record = record
        self.link = link
        self.second = second
        self.takes_s = takes_s
        self.rng = random.Random(name)
        self.address = ""
        self.second_answers = 0
        self.delays_s: list[float] = []
        self.slowest_s: dict[str, list[float]] = {}  # by request: the longest delay on its connection so far
        self._listener: asyncio.Server | None = None

    async def start(self) -> Server:
        """Listen at a free port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: _Connection(self), stage.HOST, 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def close(self) -> None:
        """Accept no more connections."""
        if self._listener is not None:
            self._listener.close()


class _Connection(asyncio.Protocol):
    """One connection; what is read and written takes the time of the link."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._in, self._out = _Direction(), _Direction()
        self._received = b""
        self._slowest_s = [0.0]
        self._bytes_arrived = 0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Deliver bytes to the server when the link has carried them."""
        self._loop.call_at(self._due(self._in), self._arrive, data, self._loop.time())

    def _due(self, direction: _Direction) -> float:
        delay_s = self._server.link.delay_s(self._server.rng)
        direction.due = max(self._loop.time() + delay_s, direction.due)
        return direction.due

    def _took(self, since: float) -> None:
        took_s = self._loop.time() - since
        self._server.delays_s.append(took_s)
        self._slowest_s[0] = max(self._slowest_s[0], took_s)

    def _arrive(self, data: bytes, since: float) -> None:
        self._took(since)
        self._bytes_arrived += len(data)
        self._received += data
        while _HEAD_END in self._received:  # the requests have no body
            head, _, self._received = self._received.partition(_HEAD_END)
            self._begin(head.decode("latin-1").split("\r\n"))

    def _begin(self, lines: list[str]) -> None:
        pairs = (line.partition(":") for line in lines[1:])
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        ident = headers.get("request-id")
        if ident is None:
            self._write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        self._server.slowest_s[ident] = self._slowest_s
        self._server.record.add(f"server {self._server.name} runs {ident} on connection {id(self):x}")
        self._loop.call_later(self._server.takes_s, self._answer, ident)

    def _answer(self, ident: str) -> None:
        server, body = self._server, stage.body_for(ident, 64)
        message = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        self._write(message)
        if server.rng.random() < server.second.share:
            wait_s = server.rng.uniform(server.second.least_s, server.second.most_s)
            arrived = self._bytes_arrived
            self._loop.call_later(wait_s, self._answer_again, ident, message, arrived, self._loop.time())

    def _answer_again(self, ident: str, message: bytes, arrived: int, first_at: float) -> None:
        if arrived != self._bytes_arrived:
            return  # something else waits on the connection
        self._server.second_answers += 1
        late = f"{(self._loop.time() - first_at) * 1e3:.1f} ms later"
        self._server.record.add(
            f"server {self._server.name} answers {ident} once more on connection {id(self):x}, {late}"
        )
        self._write(message)

    def _write(self, message: bytes) -> None:
        written_at = self._loop.time()
        self._loop.call_at(self._due(self._out), self._deliver, message, written_at)

    def _deliver(self, message: bytes, written_at: float) -> None:
        self._took(written_at)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(message)
