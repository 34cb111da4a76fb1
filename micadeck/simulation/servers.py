"""Simulated servers: cores, a queue, slow start, and a deduplication window that a cell shares."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from micadeck.network import Address
from micadeck.simulation.loop import Host
from micadeck.simulation.streams import VirtualTransport
from micadeck.simulation.wire import Machine, VirtualListener, Wire

COLD_SHARE = 0.2  # share of its capacity at the start
SLOW_START_S = 4.0
DEDUPLICATION_S = 1.0  # deduplication window of a cell
_MAX_QUEUE_S = 0.4  # queueing delay above which requests are answered 503


class WorkObserver(Protocol):
    """Observes what servers receive and execute."""

    def on_executed(self, server: Server, job: Job, is_repeat: bool) -> None: ...

    def on_received(self, server: Server, job: Job) -> None: ...


@dataclass(slots=True)
class Job:
    """A completely received request."""

    ident: str
    order: str
    key: str
    work_s: float
    connection: _ServerConnection
    is_abandoned: bool = False  # its connection has closed


@dataclass(slots=True)
class Health:
    """The faults in force at a server."""

    hang_count: int = 0  # number of faults; the lists hold one value per fault
    slowdown_factors: list[float] = field(default_factory=list)
    error_rates: list[float] = field(default_factory=list)
    malformed_rates: list[float] = field(default_factory=list)
    reset_rates: list[float] = field(default_factory=list)


class Server:
    """One server id, across the restarts of its process."""

    def __init__(
        self,
        wire: Wire,
        number: int,
        cell: int,
        cores: int,
        work_s: float,
        key_expiry: dict[str, float],
        observer: WorkObserver,
        rng: random.Random,
    ) -> None:
        self.wire = wire
        self.name = f"s-{number}"
        self.cell = cell
        self.cores = cores
        self.work_s = work_s
        self.health = Health()
        self.started_at: float | None = None  # None: it is warm
        self.is_up = False
        self.number = number
        self._move_count = 0
        self._key_expiry = key_expiry  # end of each key's deduplication window; the cell's
        self._observer = observer
        self._rng = rng
        self._queue: deque[Job] = deque()
        self._running = 0
        self.machine: Machine

    @property
    def address(self) -> Address:
        return f"10.1.{self._move_count}.{self.number + 1}", 8080

    @property
    def host_name(self) -> str:
        return f"server-{self.number}"

    def start(self, *, cold: bool, moved: bool = False) -> None:
        """Start a process."""
        self._move_count += moved
        self.is_up = True
        self.started_at = self.wire.loop.time() if cold else None
        self._queue, self._running = deque(), 0
        host = Host(self.host_name)
        self.machine = self.wire.machine(host, self.address[0])
        VirtualListener(self.machine, lambda: _ServerConnection(self), self.address, 64, 128)

    def kill(self) -> None:
        self.is_up = False
        self.machine.kill()

    @property
    def is_idle(self) -> bool:
        return not self._running and not self._queue

    def capacity_share(self, at: float) -> float:
        if self.started_at is None:
            return 1.0
        return min(COLD_SHARE + (1.0 - COLD_SHARE) * max(at - self.started_at, 0.0) / SLOW_START_S, 1.0)

    def load(self) -> str:
        return f"util={min(self._running / self.cores, 1.0):.2f}, inflight={self._running + len(self._queue)}"

    # Work

    def receive(self, job: Job) -> None:
        self._observer.on_received(self, job)
        if self.health.hang_count:
            return  # accepted and never answered
        delay_s = sum(job.work_s for job in self._queue) / (
            self.cores * self.capacity_share(self.wire.loop.time())
        )
        if delay_s > _MAX_QUEUE_S:
            job.connection.answer(b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            return
        self._queue.append(job)
        self._run_queued()

    def _run_queued(self) -> None:
        while self._queue and self._running < self.cores:
            job = self._queue.popleft()
            if job.is_abandoned:
                continue
            now = self.wire.loop.time()
            is_repeat = bool(job.key) and self._key_expiry.get(job.key, -1.0) >= now
            if job.key:
                self._key_expiry[job.key] = now + DEDUPLICATION_S
            self._observer.on_executed(self, job, is_repeat)
            self._running += 1
            duration_s = job.work_s / self.capacity_share(now)
            for factor in self.health.slowdown_factors:
                duration_s *= factor
            self.wire.loop.call_after_us(int(duration_s * 1e6), self._complete, job, host=self.machine.host)

    def _complete(self, job: Job) -> None:
        self._running -= 1
        if not job.is_abandoned and not self.health.hang_count:
            job.connection.answer(self._answer(job))
        self._run_queued()

    def _answer(self, job: Job) -> bytes:
        health, rng = self.health, self._rng
        if any(rng.random() < rate for rate in health.error_rates):
            return b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
        body = f"{self.name} {job.ident}".encode()
        response = b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\nContent-Length: %d\r\n\r\n%s" % (
            self.load().encode(), len(body), body
        )  # fmt: skip
        if any(rng.random() < rate for rate in health.malformed_rates):
            return rng.choice(
                (
                    b"HTTP/1.1 2x0 OK\r\n\r\n",
                    response + b"more",
                    response.replace(b"1.1 200", b"9.9 200"),
                    response[:-3],
                )
            )
        return response


class _ServerConnection(asyncio.Protocol):
    """A server's connection, without pipelining."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._target = b""
        self._job: Job | None = None
        self._transport: VirtualTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(VirtualTransport, transport)
        server, rng = self._server, self._server._rng
        if any(rng.random() < rate for rate in server.health.reset_rates):
            pipe = self._transport.inbound if rng.random() < 0.5 else self._transport.outbound
            pipe.reset_at = pipe.written + rng.randrange(1, 400)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._job is not None:
            # A queued job is then skipped; a running one completes.
            self._job.is_abandoned = True

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.close()

    def on_message_begin(self) -> None:
        self._headers, self._target = {}, b""

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        headers = self._headers
        if self._target.startswith((b"/ping", b"/_load")):
            self.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        job = self._job = Job(
            headers[b"request-id"].decode(),
            self._target.decode(),
            headers.get(b"idempotency-key", b"").decode(),
            float(headers[b"work-hint"]) / 1e6,
            self,
        )
        self._server.receive(job)

    def answer(self, raw: bytes) -> None:
        self._job = None
        if not self._transport.is_closing():
            self._transport.write(raw)
