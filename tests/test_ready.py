"""Processes that start together, with silent discovery and no spare descriptors, are ready in time."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from loopback import (
    HOST,
    OK,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    list_entry,
    request,
    run_async,
)
from test_program import GOOD, ROOT

PROCESSES = 8
IDLE_CLIENTS = 120  # silent connections: more than there are descriptors
READY_S = 10.0
LIST_UPDATE_S = 6.0


class GatedDiscovery(ScriptedDiscovery):
    """Never answers a request that came before it was opened."""

    def __init__(self) -> None:
        super().__init__()
        self.is_open = False

    async def _answer(self, received: ReceivedRequest) -> bytes:
        if not self.is_open:
            await asyncio.Event().wait()
        return await super()._answer(received)


async def start_process(config: Path) -> tuple[asyncio.subprocess.Process, int]:
    env = {**os.environ, "BALANCER_CONFIG": str(config)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "micadeck", cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
    )
    assert process.stderr is not None
    text = (await process.stderr.readline()).decode()
    return process, int(text.split(" serves on ")[1].split(",")[0].strip().rpartition(":")[2])


async def status(port: int, raw: bytes) -> bytes:
    """Return the first line of an answer; empty if the connection was closed."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(raw)
        return await reader.readline()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def test_processes_started_together_with_silent_discovery_and_no_descriptors(tmp_path: Path) -> None:
    async def run_process(number: int, config: dict[str, Any], discovery_opened: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        path = tmp_path / f"config-{number}.json"
        path.write_text(json.dumps(config))
        process, port = await start_process(path)
        idle = [await asyncio.open_connection(HOST, port) for _ in range(IDLE_CLIENTS)]
        path.write_text(json.dumps(config))  # unchanged, for the reload
        process.send_signal(signal.SIGHUP)
        health = b"GET /_health HTTP/1.1\r\nHost: o\r\n\r\n"
        while not (await status(port, health)).startswith(b"HTTP/1.1 200"):
            await asyncio.sleep(0.05)
        assert loop.time() - began < READY_S
        # Served with the list of the configuration.
        assert (await status(port, request())).startswith(b"HTTP/1.1 200")
        ready.append(number)
        await discovery_opened.wait()
        since = loop.time()
        while (await status(port, request())).startswith(b"HTTP/1.1 200"):
            await asyncio.sleep(0.05)
        assert loop.time() - since < LIST_UPDATE_S
        for _, writer in idle:
            writer.close()
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    ready: list[int] = []

    async def work() -> None:
        server = await ScriptedServer(OK).start()
        discovery = GatedDiscovery()
        await discovery.start()
        config = {
            **GOOD,
            "discovery": discovery.address,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
            "known": {"version": 1, "full": True, "servers": [list_entry("s-1", server.address)]},
        }
        discovery_opened = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for number in range(PROCESSES):
                group.create_task(run_process(number, {**config, "name": f"n{number}"}, discovery_opened))
            while len(ready) < PROCESSES:
                await asyncio.sleep(0.05)
            discovery.version += 1
            discovery.servers = [list_entry("s-1", server.address, state="leaving")]
            discovery.is_open = True
            discovery_opened.set()
        server.stop()
        discovery.stop()

    run_async(work)
