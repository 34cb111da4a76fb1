"""Runs a daemon with a memory limit against hostile peers, and samples its resident memory."""

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
    HOST,
    OK_RESPONSE,
    Flood,
    HostileServer,
    list_response,
    request_ids,
    run_crowd,
    server_list,
)

ROOT = Path(__file__).parent.parent.parent.parent
MEMORY_MB = 80
SOCKETS = 640
SERVERS = 4
CONTROL_REQUESTS = 10  # of the well-behaved client, in each phase
SETTLE_S = 10.0
_SAMPLE_S = 0.02
_READY_WITHIN_S = 15.0
_ANSWER_WITHIN_S = 2.5
_RECOVERY_S = 2.0  # after a load, until all requests must be served again
_CONTROL_AFTER_S = 1.0
_CLASSES = [
    {"name": "check", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like"},
    {"name": "lodge", "giveUpUs": 2_000_000, "promiseUs": 600_000, "repeat": "non_idempotent"},
]
_LAST_VERSION = 1_000_000  # of the list after a load, above a load's own versions


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The effect of a load; memory is anonymous resident memory."""

    idle_mb: float
    peak_mb: float
    settled_mb: float  # some time after the load
    served_during: int  # of CONTROL_REQUESTS
    served_after: int  # of CONTROL_REQUESTS
    exit_code: int | None  # None: still running
    log: str


def anonymous_mb(pid: int) -> float:
    """Anonymous resident memory of a process, in MB; 0.0 once it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024.0
    return 0.0


class _MemorySampler:
    """Samples a process's peak memory."""

    def __init__(self, pid: int) -> None:
        self._pid = pid
        self.peak_mb = 0.0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            self.peak_mb = max(self.peak_mb, anonymous_mb(self._pid))
            await asyncio.sleep(_SAMPLE_S)

    def stop(self) -> None:
        self._task.cancel()


def _request(kind: str = "check") -> bytes:
    return (
        f"GET /api/ok HTTP/1.1\r\nHost: a\r\nRequest-Class: {kind}\r\nRequest-Timeout: 2.0\r\n"
        f"Request-Id: good-{next(request_ids)}\r\nConnection: close\r\n\r\n"
    ).encode()


async def is_served(port: int) -> bool:
    """Whether a well-behaved request on its own connection is served."""
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


async def _count_served(port: int, seconds: float) -> int:
    """How many control requests, spread over `seconds`, are served."""
    served = 0
    started_at = time.monotonic()
    for number in range(CONTROL_REQUESTS):
        await asyncio.sleep(max(started_at + seconds * number / CONTROL_REQUESTS - time.monotonic(), 0.0))
        served += await is_served(port)
    return served


def _config(discovery: str, servers: list[str], memory_mb: int, sockets: int) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": discovery,
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": server_list(servers),
        "settings": {
            "lanes": _CLASSES,
            "zone": "a",
            "discovery": "on_request",
            "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 200_000},
        },
    }


class HostilePeers:
    """The daemon's servers and discovery, which turn hostile while loads run."""

    def __init__(self, loads: Sequence[Load]) -> None:
        self._loads = loads
        self._is_running = False
        self._list_response = OK_RESPONSE
        self._server_list: dict[str, Any] = {}
        self.discovery = HostileServer(self._respond_as_discovery)
        self.servers = [HostileServer(self._respond_as_server) for _ in range(SERVERS)]
        self.port = 0

    def _respond_as_discovery(self, line: bytes) -> Flood:
        floods = [load.discovery for load in self._loads if load.discovery is not None]
        if self._is_running and floods:
            return floods[0]
        if b"wait_ms=" in line and b"wait_ms=0" not in line:
            return replace(self._list_response, first=b"")  # a watch without changes gets no response
        return self._list_response

    def _respond_as_server(self, line: bytes) -> Flood:
        """Control requests get normal responses, unless servers are hostile."""
        loads = [load for load in self._loads if load.crowd is not None]
        if not self._is_running or not loads:
            return OK_RESPONSE
        by_servers = [load for load in loads if load.side is Side.SERVERS]
        if by_servers:
            return by_servers[0].server
        return OK_RESPONSE if b"/api/ok" in line or b"/ping" in line else loads[0].server

    @contextlib.asynccontextmanager
    async def running(self) -> Any:
        try:
            addresses = [await server.start() for server in self.servers]
            self._server_list = server_list(addresses)
            self._list_response = list_response(self._server_list)
            yield await self.discovery.start(), addresses
        finally:
            for server in (*self.servers, self.discovery):
                server.stop()

    async def run(self, seconds: float) -> int:
        """Run all loads for that long; return how many control requests were served."""
        self._is_running = True
        self.discovery.reset()  # so that the daemon asks again
        crowds = [load.crowd for load in self._loads if load.crowd is not None]
        control = asyncio.create_task(_count_served(self.port, seconds))
        await asyncio.gather(
            *(run_crowd(crowd, self.port, seconds) for crowd in crowds), asyncio.sleep(seconds)
        )
        served = await control
        self._is_running = False
        self._list_response = list_response({**self._server_list, "version": _LAST_VERSION})
        for server in (*self.servers, self.discovery):
            server.reset()
        return served


@contextlib.contextmanager
def _folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory(prefix="hostile-") as name:
        yield Path(name)


async def _start_process(
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
    """The port from the daemon's log; raise TimeoutError if it does not appear."""
    async with asyncio.timeout(_READY_WITHIN_S):
        while True:
            for line in (folder / "log").read_text().splitlines():
                if " serves on " in line:
                    return int(line.partition(" serves on ")[2].partition(",")[0].rpartition(":")[2])
            await asyncio.sleep(0.02)


class Daemon:
    """Context manager of a daemon among hostile peers."""

    def __init__(
        self,
        loads: Sequence[Load],
        *,
        memory_mb: int = MEMORY_MB,
        sockets: int = SOCKETS,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self.peers = HostilePeers(loads)
        self._limits = (memory_mb, sockets)
        self._environment = environment
        self._exit_stack = contextlib.AsyncExitStack()
        self._process: asyncio.subprocess.Process | None = None
        self._folder = Path()

    async def __aenter__(self) -> Daemon:
        self._folder = self._exit_stack.enter_context(_folder())
        discovery, addresses = await self._exit_stack.enter_async_context(self.peers.running())
        config = _config(discovery, addresses, *self._limits)
        self._process = await _start_process(self._folder, config, self._environment)
        self._exit_stack.push_async_callback(self._kill)
        self.peers.port = await _port_of(self._folder)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._exit_stack.aclose()

    async def _kill(self) -> None:
        assert self._process is not None
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    @property
    def port(self) -> int:
        """The port for clients."""
        return self.peers.port

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """None while it runs."""
        assert self._process is not None
        return self._process.returncode

    @property
    def log(self) -> str:
        """The log so far."""
        return (self._folder / "log").read_text()


async def run_loads(
    *loads: Load,
    seconds: float,
    settle_s: float = SETTLE_S,
    memory_mb: int = MEMORY_MB,
    sockets: int = SOCKETS,
) -> LoadResult:
    """Run loads concurrently against a new daemon."""
    async with Daemon(loads, memory_mb=memory_mb, sockets=sockets) as daemon:
        await is_served(daemon.port)
        idle_mb = anonymous_mb(daemon.pid)
        sampler = _MemorySampler(daemon.pid)
        during = await daemon.peers.run(seconds)
        ended_at = time.monotonic()
        await asyncio.sleep(_RECOVERY_S)
        after = await _count_served(daemon.port, _CONTROL_AFTER_S)
        await asyncio.sleep(max(ended_at + settle_s - time.monotonic(), 0.0))
        sampler.stop()
        settled_mb = anonymous_mb(daemon.pid)
        return LoadResult(idle_mb, sampler.peak_mb, settled_mb, during, after, daemon.exit_code, daemon.log)
