"""Requests lost in repeated hot restarts, when one process of a sidecar takes over from another.

    python benchmarks/upgrade.py [--upgrades 10] [--clients 24]

Two thirds of the clients keep their connection while it stays open, the others open one per request.
A request is lost if its connection is refused, closed or reset before the answer. For comparison the
same is counted with each process stopped before the next one starts.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import rig
import uvloop

_PAUSE_S = 0.01


class Counts:
    def __init__(self) -> None:
        self.answered = self.lost = self.other = 0


async def client(port: int, keep_alive: bool, requests: Any, counts: Counts, over: asyncio.Event) -> None:
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    while not over.is_set():
        await asyncio.sleep(_PAUSE_S)
        try:
            reader, writer = streams or await asyncio.open_connection(rig.HOST, port)
            writer.write(next(requests))
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            found = re.search(rb"content-length: (\d+)", head)
            await reader.readexactly(int(found[1]) if found is not None else 0)
        except (OSError, asyncio.IncompleteReadError):
            counts.lost += 1
            streams = None
            continue
        counts.answered += head.startswith(b"http/1.1 200")
        counts.other += not head.startswith(b"http/1.1 200")
        if keep_alive and b"connection: close" not in head:
            streams = (reader, writer)
        else:
            streams = None
            writer.close()


class Process:
    """A daemon of this tree, on its predecessor's address."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        self._folder, self._config = folder, config
        self.child: asyncio.subprocess.Process | None = None

    async def start(self, port: int) -> int:
        path = self._folder / f"config-{os.urandom(4).hex()}.json"
        path.write_text(json.dumps({**self._config, "listen": f"{rig.HOST}:{port}"}))
        env = {**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(self._folder)}
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "micadeck", cwd=rig.ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        assert self.child.stderr is not None
        match = re.search(rb"serves on .*?:(\d+)", await self.child.stderr.readline())
        assert match is not None
        return int(match[1])

    async def stop(self) -> None:
        assert self.child is not None
        self.child.send_signal(signal.SIGTERM)
        await self.child.wait()


async def measure(options: argparse.Namespace, addresses: list[str], overlaps: bool) -> Counts:
    counts, over = Counts(), asyncio.Event()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        config = rig.configuration(addresses)
        running = Process(folder, config)
        port = await running.start(0)
        requests = rig.requests()
        clients = [
            asyncio.create_task(client(port, number % 3 > 0, requests, counts, over))
            for number in range(options.clients)
        ]
        for _ in range(options.upgrades):
            await asyncio.sleep(0.5)
            successor = Process(folder, config)
            if overlaps:
                await successor.start(port)
                await running.stop()
            else:
                await running.stop()
                await successor.start(port)
            running = successor
        await asyncio.sleep(0.5)
        over.set()
        await asyncio.gather(*clients)
        await running.stop()
    return counts


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("--upgrades", type=int, default=10)
    given.add_argument("--clients", type=int, default=24)
    options = given.parse_args()
    cores = rig.spare_cores()
    with rig.servers(cores[-1], 4) as addresses:
        for overlaps in (True, False):
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                counts = runner.run(measure(options, addresses, overlaps))
            how = "side by side" if overlaps else "one after the other"
            print(
                f"{how}: {counts.lost} turned back in {options.upgrades} upgrades,"
                f" {counts.answered} served, {counts.other} answered otherwise"
            )


if __name__ == "__main__":
    main()
