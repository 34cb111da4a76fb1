"""Clients of a soak run: open-loop load on several sidecars from one process.

Run as `python soak_client.py FOLDER NUMBER START`; it writes the outcome of each request to
`clients-NUMBER.json`.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import random
import socket
import struct
import sys
import termios
import time
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import cast

from soak_plan import CONNECT_AFTER_TERM_S, DEADLINES_S, HOST, METHODS, Fault, Kind, Plan, is_body_of
from soak_server import Log

ANSWER_WAIT_S = 0.8  # a client waits this long after its deadline
LARGE_REQUEST_RATE = 0.03
LARGE_REQUEST_WORDS = (5_000, 80_000)  # of four bytes
MALFORMED_REQUESTS = (
    b"\0\1\2\3\r\n\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"POST /x HTTP/1.1\r\nHost: a\r\n",
    b"PRI * HTTP/2.0\r\n\r\n",
)
HEADER_FLOODS = (
    b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 3_800,
    b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 90,
    b"GET / HTTP/1.1\r\n\r\n" * 400,
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + b"x" * 50_000,
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + b"a:\r\n" * 3_800,
)
PAYLOADS: dict[Fault, Sequence[bytes]] = {
    Fault.IDLE_CONNECTIONS: (),
    Fault.MALFORMED_REQUESTS: MALFORMED_REQUESTS,
    Fault.HEADER_FLOOD: HEADER_FLOODS,
}  # what the connections of these faults send


@dataclass(slots=True)
class ClientRequest:
    """One request as its client saw it; times on the monotonic clock in seconds."""

    ident: str
    kind: str
    sidecar: int
    connection: int
    place: int  # of the request on its connection, from 1
    connected_at: float
    sent_at: float
    timeout_s: float
    size: int = 0  # of its body, in bytes
    left_at: float = 0.0  # when the client closed; 0: never
    left_unsent: bool = False  # its kernel had a part of the request by then, and goes on sending it
    done_at: float = 0.0
    first_at: float = 0.0  # when the first bytes of the answer came; 0: none
    status: int = 0
    is_right: bool = False  # a 200 with this request's body
    end: str = "open"  # answer, eof, reset, late, left, garbled
    partial: bool = False  # only part of an answer arrived
    extra: bool = False  # data arrived beyond one answer


class Connection(asyncio.Protocol):
    """One connection; parses answers itself, to share no parser with the program."""

    _numbers = iter(range(1, 1 << 40))

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self.number = next(self._numbers)
        self.connected_at = time.monotonic()
        self.sent_count = 0
        self.request: ClientRequest | None = None
        self._data = b""
        self._last: ClientRequest | None = None
        self._timers: list[asyncio.TimerHandle] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(
        self, kind: Kind, ident: str, timeout_s: float, disconnect_after_s: float | None
    ) -> ClientRequest:
        assert self.transport is not None
        self.sent_count += 1
        lines = [
            f"{METHODS[kind]} /api/{ident} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {ident}",
            f"Request-Class: {kind}",
            f"Request-Timeout: {timeout_s:.3f}",
        ]
        if kind is Kind.KEYED:
            lines.append(f"Idempotency-Key: {ident}")
        body = "" if kind is Kind.SAFE else "body" * self._pool.draw_body_words()
        if kind is not Kind.SAFE:
            lines.append(f"Content-Length: {len(body)}")
        raw = ("\r\n".join(lines) + "\r\n\r\n" + body).encode()
        self.request = ClientRequest(
            ident,
            kind,
            self._pool.sidecar,
            self.number,
            self.sent_count,
            self.connected_at,
            time.monotonic(),
            timeout_s,
            len(body),
        )
        self.transport.set_write_buffer_limits(high=0)  # so that resume_writing tells of the last byte
        self.transport.write(raw)
        loop = asyncio.get_running_loop()
        self._timers = [loop.call_later(timeout_s + ANSWER_WAIT_S, self._disconnect, "late")]
        if disconnect_after_s is not None:
            self._timers.append(loop.call_later(disconnect_after_s, self._disconnect, "left"))
        return self.request

    def resume_writing(self) -> None:
        """The request's time counts from its last byte."""
        if self.request is None:
            return
        self.request.sent_at = time.monotonic()
        self._timers[0].cancel()
        wait_s = self.request.timeout_s + ANSWER_WAIT_S
        self._timers[0] = asyncio.get_running_loop().call_later(wait_s, self._disconnect, "late")

    def _disconnect(self, how: str) -> None:
        if self.request is not None and self.transport is not None:
            self.request.left_at = time.monotonic()
            self.request.left_unsent = _has_unsent(self.transport)
            self._close(how)
            self.transport.abort()

    def _close(self, how: str) -> None:
        for timer in self._timers:
            timer.cancel()
        request, self.request = self.request, None
        if request is not None:
            request.end, request.done_at = how, time.monotonic()
            self._last = request
            request.partial = bool(self._data)

    def data_received(self, data: bytes) -> None:
        self._data += data
        if self.request is None:
            if self._last is not None:
                self._last.extra = True
            return
        self.request.first_at = self.request.first_at or time.monotonic()
        parsed = self._parse()
        if parsed is None:
            return
        status, body, keep_alive = parsed
        request = self.request
        self._close("answer")
        request.status, request.is_right = status, status == 200 and is_body_of(request.ident, body)
        request.partial = False
        request.extra = bool(self._data)
        if keep_alive:
            self._pool.idle.append(self)
        elif self.transport is not None:
            self.transport.close()

    def _parse(self) -> tuple[int, bytes, bool] | None:
        """The first answer in the buffer, if it is complete."""
        head, blank, rest = self._data.partition(b"\r\n\r\n")
        if not blank:
            return None
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        keep_alive = headers.get("connection") != "close"
        if "content-length" in headers:
            length = int(headers["content-length"])
            if len(rest) < length:
                return None
            self._data = rest[length:]
            return int(lines[0].split()[1]), rest[:length], keep_alive
        body = b""
        while True:
            size, line_end, rest = rest.partition(b"\r\n")
            if not line_end or len(rest) < int(size, 16) + 2:
                return None
            length = int(size, 16)
            body += rest[:length]
            rest = rest[length + 2 :]
            if not length:
                self._data = rest
                return int(lines[0].split()[1]), body, keep_alive

    def eof_received(self) -> None:
        self._close("eof")

    def connection_lost(self, exc: Exception | None) -> None:
        self._close("eof" if exc is None else "reset")
        if self in self._pool.idle:
            self._pool.idle.remove(self)


def _has_unsent(transport: asyncio.Transport) -> bool:
    """Whether the kernel holds bytes that the other side has not received."""
    descriptor = transport.get_extra_info("socket").fileno()
    unsent = struct.unpack("i", fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(4)))[0]
    return bool(unsent or transport.get_write_buffer_size())


class Pool:
    """The connections to one sidecar."""

    def __init__(self, sidecar: int, port: int, plan: Plan, start: float) -> None:
        self.sidecar = sidecar
        self.port = port
        self.idle: list[Connection] = []
        self.requests: list[ClientRequest] = []
        self._plan = plan
        self._start = start
        self._rng = random.Random(f"{plan.seed} clients {sidecar}")
        self._body_rng = random.Random(f"{plan.seed} client bodies {sidecar}")
        self._sends_large = bool(plan.of(Fault.STUCK_READING))
        self._idents = self._request_ids()
        self._disconnects = next(iter(plan.of(Fault.DISCONNECT)), None)

    def draw_body_words(self) -> int:
        """Draw the size of a body, in words of four bytes."""
        if self._sends_large and self._body_rng.random() < LARGE_REQUEST_RATE:
            return self._body_rng.randint(*LARGE_REQUEST_WORDS)
        return 1

    def _request_ids(self) -> Iterator[str]:
        number = 0
        while True:
            number += 1
            yield f"{self.sidecar:02x}{number:06x}{self._rng.getrandbits(32):08x}"

    async def run(self) -> None:
        rng = self._rng
        by = self._start + self._plan.duration_s
        tasks: set[asyncio.Task[None]] = set()
        while (now := time.monotonic()) < by + 2.0:
            # After the final SIGTERM and a grace, only open connections are used until they close.
            task = asyncio.create_task(self._send_request(may_connect=now < by + CONNECT_AFTER_TERM_S))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(rng.expovariate(self._plan.requests_per_s))

    async def _send_request(self, *, may_connect: bool) -> None:
        rng = self._rng
        kind = rng.choice(list(Kind))
        timeout_s = DEADLINES_S[kind] * rng.uniform(0.5, 1.0)
        disconnect_after_s = None
        if self._disconnects is not None and rng.random() < self._disconnects.figure:
            disconnect_after_s = rng.choice([0.0, 0.001, rng.uniform(0.0, 0.2)])
        ident = next(self._idents)
        connection = self._take_idle()
        if connection is None and may_connect:
            connection = await self._connect()
        if connection is not None and connection.transport is not None:
            self.requests.append(connection.send(kind, ident, timeout_s, disconnect_after_s))

    def _take_idle(self) -> Connection | None:
        while self.idle:
            connection = self.idle.pop(self._rng.randrange(len(self.idle)))
            if connection.transport is not None and not connection.transport.is_closing():
                return connection
        return None

    async def _connect(self) -> Connection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(1.0):
                _, connection = await loop.create_connection(lambda: Connection(self), HOST, self.port)
        except (OSError, TimeoutError):
            return None
        return connection

    async def flood(self, begins_s: float, ends_s: float, count: int, payloads: Sequence[bytes]) -> None:
        """Open `count` connections that each send one of `payloads`, or nothing."""
        await asyncio.sleep(max(self._start + begins_s - time.monotonic(), 0.0))
        ends = self._start + ends_s
        sockets = []
        while time.monotonic() < ends:
            for _ in range(count):
                each = socket.socket()
                each.setblocking(False)
                each.connect_ex((HOST, self.port))
                sockets.append(each)
            await asyncio.sleep(0.05)
            for each in sockets if payloads else []:
                try:
                    each.send(self._rng.choice(payloads))
                except OSError:
                    pass
            await asyncio.sleep(0.2)
            for each in sockets:
                if self._rng.random() < 0.5:
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                each.close()
            sockets.clear()


async def main(folder: Path, number: int, start: float) -> None:
    plan = Plan.load(folder / "plan.json")
    ports = json.loads((folder / "ports.json").read_text())
    log = Log(folder / f"clients-{number}-lags.json")
    lag = asyncio.create_task(log.watch_lag())
    mine = [each for each in range(plan.sidecars) if each % plan.client_processes == number]
    pools = [Pool(each, ports[each], plan, start) for each in mine]
    work = [pool.run() for pool in pools]
    for pool in pools:
        for event in plan.of(*PAYLOADS):
            if event.target == pool.sidecar:
                work.append(
                    pool.flood(event.begins_s, event.ends_s, int(event.figure), PAYLOADS[event.fault])
                )
    await asyncio.gather(*work)
    await asyncio.sleep(max(DEADLINES_S.values()) + ANSWER_WAIT_S + 0.1)
    lag.cancel()
    rows = [asdict(each) for pool in pools for each in pool.requests]
    (folder / f"clients-{number}.json").write_text(json.dumps({"asked": rows, "lags": log.lags}))


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
