"""A demo on loopback: `python -m micadeck.stand_ins.demo`, or `make demo`.

Stand-in servers and a roster run in one process, a stand-in Consul with two more servers and a sidecar in
others, and clients here.  A server of the roster drains, one of Consul too, one is killed, one joins in slow
start.  Four rules are then checked against what clients and servers observed, not the sidecar's own view; the
exit code is 1 if one was violated.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import httptools
import uvloop

from micadeck.stand_ins import mysql_demo

HOST = "127.0.0.1"
DURATION_S = 8.0
REQUESTS_PER_S = 120
SERVICE_TIME_S = 0.02
CORES = 2  # of a server: its capacity is CORES / SERVICE_TIME_S requests a second
GRACE_S = 0.5
SLOW_START_INITIAL_SHARE, SLOW_START_S, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S = 0.2, 10.0, 3.0, 2.0

CLASSES = [
    {"name": "check", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like"},
    {
        "name": "amend",
        "giveUpUs": 2_000_000,
        "promiseUs": 500_000,
        "repeat": "idempotency_key",
        "group": "cell",
        "memorySpanUs": 5_000_000,
    },
    {"name": "lodge", "giveUpUs": 3_000_000, "promiseUs": 800_000, "repeat": "non_idempotent"},
]
SETTINGS = {
    "lanes": CLASSES,
    "zone": "a",
    "discovery": "on_request",
    "rules": {
        "drainGraceUs": int(GRACE_S * 1e6),
        "coldFrom": SLOW_START_INITIAL_SHARE,
        "coldUs": int(SLOW_START_S * 1e6),
        "fallMultiple": OVERLOAD_MULTIPLE,
        "fallUs": int(OVERLOAD_WINDOW_S * 1e6),
    },
    "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 500_000},
}
CONSUL_SERVERS = ("lent-0", "lent-1")
MAINTENANCE = "/v1/agent/service/maintenance/lent-0?enable=true"
# The time in seconds, the command, and its description.
EVENTS: list[tuple[float, dict[str, Any], str]] = [
    (
        1.0,
        {"do": "note", "server": "lent-0", "state": "leaving", "put": MAINTENANCE},
        "lent-0 goes into maintenance in Consul",
    ),
    (2.0, {"do": "list", "server": "s-1", "state": "leaving"}, "s-1 drains"),
    (3.5, {"do": "die", "server": "s-2"}, "s-2 is killed; the roster still lists it"),
    (4.5, {"do": "add", "server": "s-new"}, "s-new joins, in slow start"),
    (5.5, {"do": "list", "server": "s-2", "state": "left"}, "the roster removes s-2"),
]


@dataclass
class ClientRequest:
    """A request and all its answers."""

    ident: str
    kind: str
    at: float
    timeout_s: float
    answered_at: float = 0.0
    statuses: tuple[int, ...] = ()


class Client(asyncio.Protocol):
    """A connection that also records unexpected answers."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._request: ClientRequest | None = None
        self.is_done = asyncio.Event()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def send(self, request: ClientRequest) -> None:
        self._request = request
        self.is_done = asyncio.Event()
        method, extra = ("GET", "") if request.kind == "check" else ("POST", "Content-Length: 0\r\n")
        if request.kind == "amend":
            extra += f"Idempotency-Key: {request.ident}\r\n"
        self.transport.write(
            f"{method} /api/{request.ident} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {request.ident}\r\n"
            f"Request-Class: {request.kind}\r\nRequest-Timeout: {request.timeout_s:.3f}\r\n"
            f"{extra}\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_done.set()

    def on_message_complete(self) -> None:
        if self._request is not None:
            self._request.answered_at = asyncio.get_running_loop().time()
            self._request.statuses += (self._parser.get_status_code(),)
        self.is_done.set()


class World:
    """The process of the stand-in servers and roster."""

    def __init__(self, child: asyncio.subprocess.Process, addresses: dict[str, Any]) -> None:
        self.child, self.addresses = child, addresses

    @staticmethod
    async def start(count: int) -> World:
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "micadeck.stand_ins.world", str(count),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 24,
        )  # fmt: skip
        assert child.stdout is not None
        return World(child, json.loads(await child.stdout.readline()))

    async def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        assert self.child.stdin is not None and self.child.stdout is not None
        self.child.stdin.write(json.dumps(command).encode() + b"\n")
        reply: dict[str, Any] = json.loads(await self.child.stdout.readline())
        return reply


class Consul:
    """The process of the stand-in Consul."""

    def __init__(self, child: asyncio.subprocess.Process, address: str) -> None:
        self.child, self.address = child, address

    @staticmethod
    async def start() -> Consul:
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "micadeck.stand_ins.consul",
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert child.stdout is not None
        return Consul(child, (await child.stdout.readline()).decode().strip())

    async def put(self, path: str, body: Any = None) -> None:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        raw = json.dumps(body).encode()
        writer.write(f"PUT {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(raw)}\r\n\r\n".encode() + raw)
        line = await reader.readline()
        writer.close()
        if b" 200 " not in line:
            raise RuntimeError(f"{path}: {line!r}")

    async def register(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        service = {"Name": "tariff", "ID": name, "Address": host, "Port": int(port)}
        await self.put("/v1/agent/service/register", {**service, "Meta": {"zone": "a", "started_ms": "1"}})


async def run_clients(port: int, world: World, consul: Consul) -> list[ClientRequest]:
    """Send the requests while the events happen; return the requests."""
    loop = asyncio.get_running_loop()
    rng = random.Random(1)
    started_at = loop.time()
    requests: list[ClientRequest] = []
    idle: list[Client] = []
    tasks: set[asyncio.Task[None]] = set()

    async def send(number: int) -> None:
        client = idle.pop() if idle else None
        if client is None or client.transport.is_closing():
            _, client = await loop.create_connection(Client, HOST, port)
        kind = rng.choices(["check", "amend", "lodge"], [6, 2, 2])[0]
        timeout_s = 3.0 if kind == "lodge" else 2.0
        request = ClientRequest(f"{number:016x}", kind, loop.time(), timeout_s)
        requests.append(request)
        client.send(request)
        await client.is_done.wait()
        if request.statuses:
            idle.append(client)

    async def run_events() -> None:
        for at, command, description in EVENTS:
            await asyncio.sleep(started_at + at - loop.time())
            if "put" in command:
                await consul.put(command["put"])
            await world.execute(command)
            print(f"  {at:4.1f} s  {description}", flush=True)

    async def print_progress() -> None:
        for second in range(1, int(DURATION_S) + 1):
            await asyncio.sleep(started_at + second - loop.time())
            recent = [request for request in requests if started_at + second - 1 <= request.answered_at]
            counts = Counter(_outcome(request) for request in recent)
            print(
                f"  {second:4.1f} s  " + ", ".join(f"{counts[outcome]} {outcome}" for outcome in OUTCOMES),
                flush=True,
            )

    background = [loop.create_task(run_events()), loop.create_task(print_progress())]
    for number in range(int(DURATION_S * REQUESTS_PER_S)):
        await asyncio.sleep(started_at + number / REQUESTS_PER_S - loop.time())
        task = loop.create_task(send(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks, *background)
    await asyncio.sleep(0.5)  # for duplicate answers
    return requests


OUTCOMES = ("served", "refused", "failed", "lost")


def _outcome(request: ClientRequest) -> str:
    if not request.statuses:
        return "lost"
    return {200: "served", 429: "refused", 503: "refused"}.get(request.statuses[0], "failed")


def judge(requests: list[ClientRequest], observed: dict[str, Any]) -> dict[str, list[str]]:
    """The violations of each rule; `observed` is the world's reply to "heard"."""
    received, commands = observed["heard"], observed["told"]
    runs = Counter(item["ident"] for item in received if item["ran"])
    one_answer = [
        f"{request.ident}: answers {request.statuses}, after {request.answered_at - request.at:.3f} s"
        for request in requests
        if len(request.statuses) != 1 or request.answered_at - request.at > request.timeout_s + 0.05
    ]
    no_effect_twice = [
        f"{request.ident}: a {request.kind} that was {_outcome(request)} ran {runs[request.ident]} times"
        for request in requests
        if request.kind == "lodge" and runs[request.ident] > (0 if _outcome(request) == "refused" else 1)
    ]
    drains = [
        (command["server"], command["at"])
        for command in commands
        if command["do"] in ("list", "note") and command["state"] in ("leaving", "left")
    ]
    late_requests = [
        f"{name}: {item['ident']} arrived {item['at'] - at:.3f} s after its drain was announced"
        for name, at in drains
        for item in received
        if item["server"] == name and item["at"] > at + GRACE_S
    ]
    return {
        "one final answer to each request, in its time": one_answer,
        "no effect twice": no_effect_twice,
        f"nothing to a server {GRACE_S} s after its drain was announced": late_requests,
        "no cold server overloaded": _overloads(received, commands),
    }


def _overloads(received: list[dict[str, Any]], commands: list[dict[str, Any]]) -> list[str]:
    """Windows in which a server in slow start got too large a multiple of its capacity."""
    violations = []
    for name, started in ((item["server"], item["at"]) for item in commands if item["do"] == "add"):
        arrivals = [item["at"] for item in received if item["server"] == name]
        for begin in arrivals:
            count = sum(1 for at in arrivals if begin <= at < begin + OVERLOAD_WINDOW_S)
            ramp = (1 - SLOW_START_INITIAL_SHARE) * (begin - started) / SLOW_START_S
            share = min(SLOW_START_INITIAL_SHARE + ramp, 1.0)
            capacity = CORES / SERVICE_TIME_S * share * OVERLOAD_WINDOW_S
            if count > OVERLOAD_MULTIPLE * capacity:
                violations.append(
                    f"{name}: {count} requests in {OVERLOAD_WINDOW_S} s, capacity {capacity:.0f}"
                )
    return violations


async def check_application(folder: Path, world: World) -> bool:
    """Whether the example application, which embeds the balancer, answers."""
    config = folder / "library.json"
    config.write_text(json.dumps(_config(world)))
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "uvicorn", "examples.pricing:app", "--port", "0", "--no-access-log",
        env={**os.environ, "MICADECK_CONFIG": str(config)}, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        port = await _logged_port(child, r"running on http://[^:]*:(\d+)")
        succeeded = True
        for target in ("/quote/7", "/tariff/7"):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            writer.close()
            print(f"  GET {target}: {head.splitlines()[0].decode()}: {body.decode()}")
            succeeded = succeeded and b" 200 " in head.splitlines()[0]
        return succeeded
    finally:
        child.terminate()
        await child.wait()


def _config(world: World) -> dict[str, Any]:
    return {
        "name": "demo",
        "listen": f"{HOST}:0",
        "discovery": world.addresses["roster"],
        "seed": "8c1f",
        "known": world.addresses["known"],
        "settings": SETTINGS,
    }


async def _logged_port(child: asyncio.subprocess.Process, pattern: str) -> int:
    assert child.stderr is not None
    while line := (await child.stderr.readline()).decode():
        found = re.search(pattern, line)
        if found is not None:
            return int(found[1])
    raise RuntimeError("the process ended before it logged its port")


async def main() -> int:
    world = await World.start(4)
    consul = await Consul.start()
    for name in CONSUL_SERVERS:
        await consul.register(name, (await world.execute({"do": "start", "server": name}))["address"])
    for name in (*world.addresses["servers"], *CONSUL_SERVERS):
        await world.execute({"do": "mode", "server": name, "mode": "serves", "takes_s": SERVICE_TIME_S})
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "sidecar.json"
        consul_config = Path(folder) / "consul.json"
        consul_config.write_text(json.dumps({"agents": [consul.address], "services": [{"name": "tariff"}]}))
        config.write_text(json.dumps({**_config(world), "consul": str(consul_config)}))
        sidecar = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "micadeck",
            env={**os.environ, "BALANCER_CONFIG": str(config)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        try:
            port = await _logged_port(sidecar, r"serves on .*:(\d+)")
            print(
                "four servers, a roster, two more servers in Consul and a sidecar are up; "
                f"{REQUESTS_PER_S} requests a second for {DURATION_S:.0f} s"
            )
            requests = await run_clients(port, world, consul)
            sidecar.terminate()
            await sidecar.wait()
            counts = Counter(_outcome(request) for request in requests)
            summary = ", ".join(f"{counts[outcome]} {outcome}" for outcome in OUTCOMES)
            print(f"{len(requests)} requests: {summary}")
            results = judge(requests, await world.execute({"do": "heard"}))
            for rule, violations in results.items():
                print(f"  {'BROKEN' if violations else 'held  '}  {rule}")
                for violation in violations[:5]:
                    print(f"          {violation}")
            print("the same balancer inside an application (examples/pricing.py):")
            succeeded = await check_application(Path(folder), world)
            print("MySQL: one server drains, one resets connections within a result and is killed:")
            succeeded = await mysql_demo.main() and succeeded
        finally:
            if sidecar.returncode is None:
                sidecar.kill()
                await sidecar.wait()
            for child in (world.child, consul.child):
                child.kill()
                await child.wait()
    return 0 if succeeded and not any(results.values()) else 1


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(main()))
