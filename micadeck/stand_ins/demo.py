"""A short mixed day on loopback: `python -m micadeck.stand_ins.demo`, or `make demo`.

Stand-in servers and a roster run in one process, a Consul that lends two more servers and a sidecar in
others, and clients here.  One server of the roster drains, one of Consul, one dies, one joins cold.  The four
rules are then judged from what clients got and servers heard, not from what the sidecar says of itself; the
exit code is 1 if one was broken.
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
DAY_S = 8.0
A_SECOND = 120
TAKES_S = 0.02  # a server, for a request
CORES = 2  # of a server: so many requests a second, over `TAKES_S`, are all that it can do
GRACE_S = 0.5
COLD_FROM, COLD_S, FALL_MULTIPLE, FALL_S = 0.2, 10.0, 3.0, 2.0

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
        "coldFrom": COLD_FROM,
        "coldUs": int(COLD_S * 1e6),
        "fallMultiple": FALL_MULTIPLE,
        "fallUs": int(FALL_S * 1e6),
    },
    "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 500_000},
}
# What happens to the servers: at so many seconds, to whom, and how it is put.
LENT = ("lent-0", "lent-1")
MAINTENANCE = "/v1/agent/service/maintenance/lent-0?enable=true"
DAY: list[tuple[float, dict[str, Any], str]] = [
    (
        1.0,
        {"do": "note", "server": "lent-0", "state": "leaving", "put": MAINTENANCE},
        "lent-0 goes into maintenance in Consul",
    ),
    (2.0, {"do": "list", "server": "s-1", "state": "leaving"}, "s-1 drains"),
    (3.5, {"do": "die", "server": "s-2"}, "s-2 dies; the roster lists it on"),
    (4.5, {"do": "add", "server": "s-new"}, "s-new joins, cold"),
    (5.5, {"do": "list", "server": "s-2", "state": "left"}, "the roster drops s-2"),
]


@dataclass
class Asked:
    """A request, and all that came back on its connection."""

    ident: str
    kind: str
    at: float
    timeout_s: float
    answered_at: float = 0.0
    statuses: tuple[int, ...] = ()


class Client(asyncio.Protocol):
    """One connection; it notices an answer that nobody asked for."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._asked: Asked | None = None
        self.is_over = asyncio.Event()
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def ask(self, asked: Asked) -> None:
        self._asked = asked
        self.is_over = asyncio.Event()
        method, extra = ("GET", "") if asked.kind == "check" else ("POST", "Content-Length: 0\r\n")
        if asked.kind == "amend":
            extra += f"Idempotency-Key: {asked.ident}\r\n"
        self.transport.write(
            f"{method} /api/{asked.ident} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {asked.ident}\r\n"
            f"Request-Class: {asked.kind}\r\nRequest-Timeout: {asked.timeout_s:.3f}\r\n{extra}\r\n".encode()
        )

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_over.set()

    def on_message_complete(self) -> None:
        if self._asked is not None:
            self._asked.answered_at = asyncio.get_running_loop().time()
            self._asked.statuses += (self._parser.get_status_code(),)
        self.is_over.set()


class World:
    """The process of the stand-ins."""

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

    async def do(self, what: dict[str, Any]) -> dict[str, Any]:
        assert self.child.stdin is not None and self.child.stdout is not None
        self.child.stdin.write(json.dumps(what).encode() + b"\n")
        told: dict[str, Any] = json.loads(await self.child.stdout.readline())
        return told


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

    async def lend(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        service = {"Name": "tariff", "ID": name, "Address": host, "Port": int(port)}
        await self.put("/v1/agent/service/register", {**service, "Meta": {"zone": "a", "started_ms": "1"}})


async def play_day(port: int, world: World, consul: Consul) -> list[Asked]:
    """The clients' day; each request's fate."""
    loop = asyncio.get_running_loop()
    chance = random.Random(1)
    began = loop.time()
    asked: list[Asked] = []
    idle: list[Client] = []
    tasks: set[asyncio.Task[None]] = set()

    async def one(number: int) -> None:
        client = idle.pop() if idle else None
        if client is None or client.transport.is_closing():
            _, client = await loop.create_connection(Client, HOST, port)
        kind = chance.choices(["check", "amend", "lodge"], [6, 2, 2])[0]
        timeout_s = 3.0 if kind == "lodge" else 2.0
        request = Asked(f"{number:016x}", kind, loop.time(), timeout_s)
        asked.append(request)
        client.ask(request)
        await client.is_over.wait()
        if request.statuses:
            idle.append(client)

    async def happenings() -> None:
        for at, what, told in DAY:
            await asyncio.sleep(began + at - loop.time())
            if "put" in what:
                await consul.put(what["put"])
            await world.do(what)
            print(f"  {at:4.1f} s  {told}", flush=True)

    async def progress() -> None:
        for second in range(1, int(DAY_S) + 1):
            await asyncio.sleep(began + second - loop.time())
            last = [each for each in asked if began + second - 1 <= each.answered_at]
            told = Counter(_fate(each) for each in last)
            print(f"  {second:4.1f} s  " + ", ".join(f"{told[fate]} {fate}" for fate in FATES), flush=True)

    beside = [loop.create_task(happenings()), loop.create_task(progress())]
    for number in range(int(DAY_S * A_SECOND)):
        await asyncio.sleep(began + number / A_SECOND - loop.time())
        task = loop.create_task(one(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks, *beside)
    await asyncio.sleep(0.5)  # for answers that nobody should get
    return asked


FATES = ("served", "refused", "failed", "lost")


def _fate(asked: Asked) -> str:
    if not asked.statuses:
        return "lost"
    return {200: "served", 429: "refused", 503: "refused"}.get(asked.statuses[0], "failed")


def judge(asked: list[Asked], told: dict[str, Any]) -> dict[str, list[str]]:
    """What broke each of the four rules; `told` is all that the servers heard."""
    heard, done = told["heard"], told["told"]
    runs = Counter(each["ident"] for each in heard if each["ran"])
    one_answer = [
        f"{each.ident}: answers {each.statuses}, after {each.answered_at - each.at:.3f} s"
        for each in asked
        if len(each.statuses) != 1 or each.answered_at - each.at > each.timeout_s + 0.05
    ]
    no_effect_twice = [
        f"{each.ident}: a {each.kind} that was {_fate(each)} ran {runs[each.ident]} times"
        for each in asked
        if each.kind == "lodge" and runs[each.ident] > (0 if _fate(each) == "refused" else 1)
    ]
    drains = [
        (each["server"], each["at"])
        for each in done
        if each["do"] in ("list", "note") and each["state"] in ("leaving", "left")
    ]
    drains_kept = [
        f"{name}: {each['ident']} came {each['at'] - at:.3f} s after word of its drain"
        for name, at in drains
        for each in heard
        if each["server"] == name and each["at"] > at + GRACE_S
    ]
    return {
        "one final answer to each request, in its time": one_answer,
        "no effect twice": no_effect_twice,
        f"nothing to a server {GRACE_S} s after word of its drain": drains_kept,
        "no cold server pushed over": _pushed_over(heard, done),
    }


def _pushed_over(heard: list[dict[str, Any]], done: list[dict[str, Any]]) -> list[str]:
    """Windows in which a new server was sent more than a multiple of what it could do, cold as it was."""
    faults = []
    for name, started in ((each["server"], each["at"]) for each in done if each["do"] == "add"):
        came = [each["at"] for each in heard if each["server"] == name]
        for begin in came:
            count = sum(1 for at in came if begin <= at < begin + FALL_S)
            warm = min(COLD_FROM + (1 - COLD_FROM) * (begin - started) / COLD_S, 1.0)
            could = CORES / TAKES_S * warm * FALL_S
            if count > FALL_MULTIPLE * could:
                faults.append(f"{name}: {count} in {FALL_S} s, of {could:.0f} that it could do")
    return faults


async def in_an_application(folder: Path, world: World) -> bool:
    """Ask the example application, which has the balancer inside; whether it answered well."""
    config = folder / "library.json"
    config.write_text(json.dumps(_config(world)))
    child = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "uvicorn", "examples.pricing:app", "--port", "0", "--no-access-log",
        env={**os.environ, "MICADECK_CONFIG": str(config)}, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    try:
        port = await _told(child, r"running on http://[^:]*:(\d+)")
        good = True
        for target in ("/quote/7", "/tariff/7"):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            head, _, body = (await reader.read()).partition(b"\r\n\r\n")
            writer.close()
            print(f"  GET {target}: {head.splitlines()[0].decode()}: {body.decode()}")
            good = good and b" 200 " in head.splitlines()[0]
        return good
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


async def _told(child: asyncio.subprocess.Process, pattern: str) -> int:
    assert child.stderr is not None
    while line := (await child.stderr.readline()).decode():
        found = re.search(pattern, line)
        if found is not None:
            return int(found[1])
    raise RuntimeError("the process ended before it served")


async def main() -> int:
    world = await World.start(4)
    consul = await Consul.start()
    for name in LENT:
        await consul.lend(name, (await world.do({"do": "start", "server": name}))["address"])
    for name in (*world.addresses["servers"], *LENT):
        await world.do({"do": "mode", "server": name, "mode": "serves", "takes_s": TAKES_S})
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "sidecar.json"
        lending = Path(folder) / "consul.json"
        lending.write_text(json.dumps({"agents": [consul.address], "services": [{"name": "tariff"}]}))
        config.write_text(json.dumps({**_config(world), "consul": str(lending)}))
        sidecar = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "micadeck",
            env={**os.environ, "BALANCER_CONFIG": str(config)}, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        try:
            port = await _told(sidecar, r"serves on .*:(\d+)")
            print(
                "four servers, a roster, two more servers in Consul and a sidecar are up; "
                f"{A_SECOND} requests a second for {DAY_S:.0f} s"
            )
            asked = await play_day(port, world, consul)
            sidecar.terminate()
            await sidecar.wait()
            fates = Counter(_fate(each) for each in asked)
            print(f"{len(asked)} requests: " + ", ".join(f"{fates[fate]} {fate}" for fate in FATES))
            broken = judge(asked, await world.do({"do": "heard"}))
            for rule, faults in broken.items():
                print(f"  {'BROKEN' if faults else 'held  '}  {rule}")
                for each in faults[:5]:
                    print(f"          {each}")
            print("the same balancer inside an application (examples/pricing.py):")
            good = await in_an_application(Path(folder), world)
            print("a tariff schedule over MySQL; one server drains, one breaks off mid-result and dies:")
            good = await mysql_demo.main() and good
        finally:
            if sidecar.returncode is None:
                sidecar.kill()
                await sidecar.wait()
            for child in (world.child, consul.child):
                child.kill()
                await child.wait()
    return 0 if good and not any(broken.values()) else 1


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(main()))
