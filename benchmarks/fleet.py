"""The load of many quiet sidecars on servers and the roster: connections, probes and calls.

    python benchmarks/fleet.py [--sidecars 24] [--servers 20] [--rate 2] [--tree DIRECTORY]

All sidecars start at once, each gets a few requests a second, then seven in ten are killed and restarted
at once. The roster and the servers count their traffic; DIRECTORY holds another revision to run instead.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import re
import sys
import tempfile
import time
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

import rig
import uvloop

_PHASE_S = 6.0  # before the kill, and after it
_KILLED = 0.7
_BUCKET_S = 0.1


class Backends:
    """The servers and the roster, with traffic counts."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.open: Counter[str] = Counter()  # connections, by server
        self.max_at_one = 0
        self.max_open = 0
        self.dials = self.probes = self.requests = self.lists = 0
        self.calls: Counter[int] = Counter()  # to the roster, by bucket
        self._listed: list[dict[str, Any]] = []

    async def start(self) -> str:
        for number in range(self.count):
            name = f"s-{number}"
            server = await asyncio.start_server(partial(self._serve, name), rig.HOST, 0)
            port = server.sockets[0].getsockname()[1]
            self._listed.append(
                {"id": name, "addr": f"{rig.HOST}:{port}", "zone": "a", "cell": 1, "state": "active"}
            )
        roster = await asyncio.start_server(self._answer_list, rig.HOST, 0)
        return f"{rig.HOST}:{roster.sockets[0].getsockname()[1]}"

    async def _serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.dials += 1
        self.open[name] += 1
        self.max_at_one = max(self.max_at_one, self.open[name])
        self.max_open = max(self.max_open, self.open.total())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                is_probe = head.startswith((b"GET /ping ", b"GET /_load "))
                self.probes += is_probe
                self.requests += not is_probe
                await asyncio.sleep(0.02)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open[name] -= 1
            writer.close()

    async def _answer_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                self.calls[int(time.monotonic() / _BUCKET_S)] += 1
                wait = re.search(r"wait_ms=(\d+)", head)
                endpoint_list: dict[str, Any] = {"version": 1, "full": False, "servers": []}
                if wait is None or int(wait[1]) == 0:
                    self.lists += 1
                    endpoint_list = {"version": 1, "full": True, "servers": self._listed}
                else:
                    await asyncio.sleep(int(wait[1]) / 1e3)
                body = json.dumps(endpoint_list).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()  # a watch may still be open when the run ends

    @property
    def listed(self) -> list[dict[str, Any]]:
        return self._listed

    def report(self, phase: str) -> None:
        busiest = max(self.calls.values(), default=0)
        print(f"{phase}: {self.requests} requests, {self.probes} probes")
        print(
            f"  {self.dials} connections made, {self.max_open} open at once, {self.max_at_one} at one server"
        )
        print(f"  {self.calls.total()} calls to the roster, {busiest} in the busiest tenth of a second")
        self.dials = self.probes = self.requests = 0
        self.max_open = self.open.total()
        self.max_at_one = max(self.open.values(), default=0)
        self.calls.clear()


async def start_daemon(path: Path, tree: Path) -> tuple[asyncio.subprocess.Process, int]:
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "micadeck",
        cwd=tree,
        env={**os.environ, "BALANCER_CONFIG": str(path), "PYTHONPATH": str(tree)},
        stderr=asyncio.subprocess.PIPE,
    )
    assert child.stderr is not None
    match = re.search(rb"serves on .*?:(\d+)", await child.stderr.readline())
    assert match is not None
    return child, int(match[1])


async def send_requests(port: int, rate: float, requests: Any, until: float) -> None:
    reader, writer = await asyncio.open_connection(rig.HOST, port)
    while time.monotonic() < until:
        await asyncio.sleep(1.0 / rate)
        writer.write(next(requests))
        await reader.readuntil(b"ok")
    writer.close()


async def measure(options: argparse.Namespace) -> None:
    backends = Backends(options.servers)
    roster = await backends.start()
    requests = rig.requests()
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for number in range(options.sidecars):
            config = rig.configuration([])
            known = {"version": 1, "full": True, "servers": backends.listed}
            config |= {"name": f"n{number}", "discovery": roster, "seed": f"{number + 1:x}", "known": known}
            config["settings"]["bounds"]["probing"] = True
            paths.append(Path(folder) / f"{number}.json")
            paths[-1].write_text(json.dumps(config))
        running = await asyncio.gather(*(start_daemon(path, options.tree) for path in paths))
        for phase in ("all started at once", f"{_KILLED:.0%} killed and started at once"):
            until = time.monotonic() + _PHASE_S
            await asyncio.gather(*(send_requests(port, options.rate, requests, until) for _, port in running))
            backends.report(phase)
            killed = int(_KILLED * options.sidecars)
            for child, _ in running[:killed]:
                child.kill()
            restarted = await asyncio.gather(*(start_daemon(path, options.tree) for path in paths[:killed]))
            running = [*restarted, *running[killed:]]
        for child, _ in running:
            child.kill()
        await asyncio.gather(*(child.wait() for child, _ in running))


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("--sidecars", type=int, default=24)
    given.add_argument("--servers", type=int, default=20)
    given.add_argument("--rate", type=float, default=2.0)
    given.add_argument("--tree", type=Path, default=rig.ROOT)
    options = given.parse_args()
    options.tree = options.tree.resolve()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(options))


if __name__ == "__main__":
    main()
