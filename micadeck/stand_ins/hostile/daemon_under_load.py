"""A real daemon with a limit of memory, between hostile peers; its resident memory is read all the while."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from micadeck.stand_ins.hostile.loads import Load, Side
from micadeck.stand_ins.hostile.peers import (
    ANSWERS,
    HOST,
    Flood,
    HostileServer,
    idents,
    list_answer,
    listed,
    run_crowd,
)

ROOT = Path(__file__).parent.parent.parent.parent
MEMORY_MB = 80
SOCKETS = 640
SERVERS = 4
ASKED = 10  # requests of the well-behaved client, in each part
SETTLES_S = 10.0
_SAMPLE_S = 0.02
_READY_WITHIN_S = 15.0
_ANSWER_WITHIN_S = 2.5
_AFTER_WITHIN_S = 2.0  # of a load's end, service is whole
_ASKED_AFTER_S = 1.0
_CLASSES = [
    {"name": "check", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like"},
    {"name": "lodge", "giveUpUs": 2_000_000, "promiseUs": 600_000, "repeat": "non_idempotent"},
]
_LAST_VERSION = 1_000_000  # of the list once a load is over, above what a load told


@dataclass(frozen=True, slots=True)
class Played:
    """What a load did; memory is anonymous resident memory, in MB."""

    idle_mb: float
    peak_mb: float
    settled_mb: float  # once the load is over, and some time
    served_during: int  # of ASKED; the client beside a load
    served_after: int  # of ASKED
    exit_code: int | None  # None: it lived to the end
    log: str


def anonymous_mb(pid: int) -> float:
    """Anonymous resident memory of a process, in MB; 0.0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024.0
    return 0.0


class _Watch:
    """Reads a process's memory over and over."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self.peak_mb = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            self.peak_mb = max(self.peak_mb, anonymous_mb(self._pid))
            await asyncio.sleep(_SAMPLE_S)

    def end(self) -> None:
        self._task.cancel()


def _request(kind: str = "check") -> bytes:
    return (
        f"GET /api/ok HTTP/1.1\r\nHost: a\r\nRequest-Class: {kind}\r\nRequest-Timeout: 2.0\r\n"
        f"Request-Id: good-{next(idents)}\r\nConnection: close\r\n\r\n"
    ).encode()


async def is_served(port: int) -> bool:
    """Whether one well-behaved request on a connection of its own is served."""
    try:
        async with asyncio.timeout(_ANSWER_WITHIN_S):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                writer.write(_request())
                return b" 200 " in await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


async def _served_of(port: int, seconds: float) -> int:
    """How many of the well-behaved client's requests are served, spread over so long."""
    served = 0
    began = time.monotonic()
    for number in range(ASKED):
        await asyncio.sleep(max(began + seconds * number / ASKED - time.monotonic(), 0.0))
        served += await is_served(port)
    return served


def _config(discovery: str, servers: list[str], memory_mb: int, sockets: int) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": discovery,
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": listed(servers),
        "settings": {
            "lanes": _CLASSES,
            "zone": "a",
            "discovery": "on_request",
            "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 200_000},
        },
    }


class Stage:
    """Servers, a discovery and a daemon, whose roles change with the loads that are on."""

    def __init__(self, loads: Sequence[Load]) -> None:
        self._loads = loads
        self._is_on = False
        self._list = ANSWERS
        self._listed: dict[str, Any] = {}
        self.discovery = HostileServer(self._answer_to_daemon)
        self.servers = [HostileServer(self._answer_as_server) for _ in range(SERVERS)]
        self.port = 0

    def _answer_to_daemon(self, line: bytes) -> Flood:
        hostile = [each.discovery for each in self._loads if each.discovery is not None]
        if self._is_on and hostile:
            return hostile[0]
        if b"wait_ms=" in line and b"wait_ms=0" not in line:
            return replace(self._list, first=b"")  # the watch has no news
        return self._list

    def _answer_as_server(self, line: bytes) -> Flood:
        """The well-behaved client's requests are answered, unless servers are what is hostile."""
        loads = [each for each in self._loads if each.crowd is not None]
        if not self._is_on or not loads:
            return ANSWERS
        by_servers = [each for each in loads if each.side is Side.SERVERS]
        if by_servers:
            return by_servers[0].server
        return ANSWERS if b"/api/ok" in line or b"/ping" in line else loads[0].server

    @contextlib.asynccontextmanager
    async def running(self) -> Any:
        try:
            addresses = [await each.start() for each in self.servers]
            self._listed = listed(addresses)
            self._list = list_answer(self._listed)
            yield await self.discovery.start(), addresses
        finally:
            for each in (*self.servers, self.discovery):
                each.stop()

    async def run(self, seconds: float) -> int:
        """Have all loads on for so long; give what the client beside them was served."""
        self._is_on = True
        self.discovery.reset()  # so that it is asked anew
        crowds = [each.crowd for each in self._loads if each.crowd is not None]
        beside = asyncio.create_task(_served_of(self.port, seconds))
        await asyncio.gather(
            *(run_crowd(each, self.port, seconds) for each in crowds), asyncio.sleep(seconds)
        )
        served = await beside
        self._is_on = False
        self._list = list_answer({**self._listed, "version": _LAST_VERSION})
        for each in (*self.servers, self.discovery):
            each.reset()
        return served


@contextlib.contextmanager
def _folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory(prefix="hostile-") as name:
        yield Path(name)


async def _begin(
    folder: Path, config: dict[str, Any], environment: Mapping[str, str] | None = None
) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    with (folder / "log").open("wb") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "micadeck", cwd=ROOT, stderr=log,
            env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(folder), **(environment or {})},
        )  # fmt: skip


async def _port_of(folder: Path) -> int:
    """Where it serves, by its log; raise TimeoutError if it does not say so."""
    async with asyncio.timeout(_READY_WITHIN_S):
        while True:
            for line in (folder / "log").read_text().splitlines():
                if " serves on " in line:
                    return int(line.partition(" serves on ")[2].partition(",")[0].rpartition(":")[2])
            await asyncio.sleep(0.02)


class Daemon:
    """A daemon between hostile peers, from `async with` to its end."""

    def __init__(
        self,
        loads: Sequence[Load],
        *,
        memory_mb: int = MEMORY_MB,
        sockets: int = SOCKETS,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.stage = Stage(loads)
        self._limits = (memory_mb, sockets)
        self._environment = environment
        self._ends = contextlib.AsyncExitStack()
        self._process: asyncio.subprocess.Process | None = None
        self._folder = Path()

    async def __aenter__(self) -> Daemon:
        self._folder = self._ends.enter_context(_folder())
        discovery, addresses = await self._ends.enter_async_context(self.stage.running())
        config = _config(discovery, addresses, *self._limits)
        self._process = await _begin(self._folder, config, self._environment)
        self._ends.push_async_callback(self._kill)
        self.stage.port = await _port_of(self._folder)
        return self

    async def __aexit__(self, *given: object) -> None:
        await self._ends.aclose()

    async def _kill(self) -> None:
        assert self._process is not None
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    @property
    def port(self) -> int:
        """Where clients reach it."""
        return self.stage.port

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """None as long as it lives."""
        assert self._process is not None
        return self._process.returncode

    @property
    def log(self) -> str:
        """All that it wrote so far."""
        return (self._folder / "log").read_text()


async def play(
    *loads: Load,
    seconds: float,
    settles_s: float = SETTLES_S,
    memory_mb: int = MEMORY_MB,
    sockets: int = SOCKETS,
) -> Played:
    """Play loads at once against a daemon of its own."""
    async with Daemon(loads, memory_mb=memory_mb, sockets=sockets) as daemon:
        await is_served(daemon.port)
        idle_mb = anonymous_mb(daemon.pid)
        watch = _Watch(daemon.pid)
        during = await daemon.stage.run(seconds)
        over_at = time.monotonic()
        await asyncio.sleep(_AFTER_WITHIN_S)
        after = await _served_of(daemon.port, _ASKED_AFTER_S)
        await asyncio.sleep(max(over_at + settles_s - time.monotonic(), 0.0))
        watch.end()
        settled_mb = anonymous_mb(daemon.pid)
        return Played(idle_mb, watch.peak_mb, settled_mb, during, after, daemon.exit_code, daemon.log)
