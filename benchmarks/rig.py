"""Shared by the benchmarks: pinned processes, stand-in servers, a daemon, load and CPU accounting."""

from __future__ import annotations

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import httptools

ROOT = Path(__file__).parent.parent
HOST = "127.0.0.1"
CLASSES = [
    {"name": "check", "giveUpUs": 3_000_000, "promiseUs": 750_000, "repeat": "read_like"},
    {"name": "lodge", "giveUpUs": 4_000_000, "promiseUs": 1_200_000, "repeat": "non_idempotent"},
]


def pin(cores: set[int]) -> None:
    """Pin this process to those of these cores that are available."""
    available = os.sched_getaffinity(0)
    os.sched_setaffinity(0, cores & available or available)


def spare_cores() -> list[int]:
    return sorted(os.sched_getaffinity(0))


@contextmanager
def process(core: int, *command: str, cwd: Path = ROOT, env: dict[str, str] | None = None) -> Iterator[Any]:
    """A child process pinned to one core, killed on exit."""
    child = subprocess.Popen(
        command,
        cwd=cwd,
        env={**os.environ, **(env or {})},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )
    try:
        yield child
    finally:
        child.kill()
        child.wait()


@contextmanager
def servers(core: int, count: int) -> Iterator[list[str]]:
    with process(core, sys.executable, "-m", "micadeck.stand_ins.world", str(count), "forget") as child:
        yield list(json.loads(child.stdout.readline())["servers"].values())


def configuration(addresses: list[str]) -> dict[str, Any]:
    """A daemon's configuration, with a fixed endpoint list: its roster never answers."""
    listed = [
        {"id": f"s-{number}", "addr": address, "zone": "a", "cell": 1, "state": "active"}
        for number, address in enumerate(addresses)
    ]
    return {
        "name": "bench",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:9",
        "seed": "8c1f",
        "known": {"version": 1, "full": True, "servers": listed},
        "settings": {
            "lanes": CLASSES,
            "zone": "a",
            "discovery": "on_request",
            "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True},
        },
    }


@contextmanager
def daemon(core: int, addresses: list[str], root: Path = ROOT, **keys: Any) -> Iterator[tuple[int, int]]:
    """A daemon of the tree at `root`, with further keys: its port and process id."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps({**configuration(addresses), **keys}))
        command = (sys.executable, "-m", "micadeck")
        env = {"BALANCER_CONFIG": str(path), "PYTHONPATH": str(root)}
        with process(core, *command, cwd=root, env=env) as child:
            line = child.stderr.readline()
            if line.startswith("records: recording to "):
                line = child.stderr.readline()
            match = re.search(r"serves on .*?:(\d+)", line)
            if match is None:
                raise RuntimeError(f"the daemon does not serve: {line}")
            yield int(match[1]), child.pid


def cpu_s(pid: int) -> float:
    """CPU seconds of a process with all its threads; exact where the kernel has schedstat."""
    exact = list(Path(f"/proc/{pid}/task").glob("*/schedstat"))
    if exact:
        return sum(int(each.read_text().split()[0]) for each in exact) / 1e9
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class _LoadConnection(asyncio.Protocol):
    """One connection that sends a request after each answer."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._parser = httptools.HttpResponseParser(self)
        self._sent_at = 0.0
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._load.is_over:
            self._load.broken += 1

    def on_message_complete(self) -> None:
        load = self._load
        load.latencies_s.append(time.perf_counter() - self._sent_at)
        if self._parser.get_status_code() != 200:
            load.not_served += 1
        if load.is_complete():
            load.done.set()
        else:
            self._send()

    def _send(self) -> None:
        self._sent_at = time.perf_counter()
        self.transport.write(next(self._load.requests))


class Load:
    """A closed loop of `connections` to one address, until `count` answers."""

    def __init__(self, connections: int, count: int) -> None:
        self.connections, self.count = connections, count
        self.requests = requests()
        self.latencies_s: list[float] = []
        self.not_served = self.broken = 0
        self.is_over = False
        self.done = asyncio.Event()

    def is_complete(self) -> bool:
        return len(self.latencies_s) >= self.count

    async def run(self, port: int) -> float:
        """Run the load; return its seconds."""
        loop = asyncio.get_running_loop()
        began = time.perf_counter()
        transports = [
            (await loop.create_connection(lambda: _LoadConnection(self), HOST, port))[0]
            for _ in range(self.connections)
        ]
        await self.done.wait()
        elapsed_s = time.perf_counter() - began
        self.is_over = True
        for transport in transports:
            transport.close()
        return elapsed_s


def requests() -> Iterator[bytes]:
    number = 0
    while True:
        number += 1
        yield (
            b"GET /api/%d HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %016x\r\nRequest-Class: check\r\n"
            b"Request-Timeout: 3.0\r\n\r\n" % (number, number)
        )


def quantile(values: list[float], q: float) -> float:
    ordered = sorted(values)
    return ordered[min(int(q * len(ordered)), len(ordered) - 1)]


def median(values: list[float]) -> float:
    return quantile(values, 0.5)


def paired_ratios(first: Callable[[], float], second: Callable[[], float], rounds: int) -> list[float]:
    """The ratios first/second, pair by pair, after a warm-up round."""
    first(), second()
    ratios = []
    for number in range(rounds):
        # The order alternates, so that a drift of the machine affects both alike.
        if number % 2:
            b, a = second(), first()
        else:
            a, b = first(), second()
        ratios.append(a / b)
    return ratios
