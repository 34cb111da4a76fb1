"""The cost of membership from Consul, and how soon a change takes effect: `make bench-consul`.

    python benchmarks/consul_lists.py [--seconds 20] [--sizes 100,1000,5000]

Three parts in separate processes: the time from a node's maintenance flip to its last request, on a daemon
under load; lists of several lengths, and single changes in each; an idle daemon's sources.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import http.client
import json
import random
import resource
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import rig
import uvloop

from micadeck.config import parse
from micadeck.membership import sources as sources_module
from micadeck.membership.consul import client as client_module
from micadeck.membership.consul.protocol import decompressed
from micadeck.membership.consul.view import ServiceView
from micadeck.network import LoopNetwork
from micadeck.runtime import Runtime

NODES = 20


@contextlib.contextmanager
def consul(runtime: int, instances: int = 0) -> Iterator[str]:
    with rig.process(runtime, sys.executable, "-m", "micadeck.stand_ins.consul", str(instances)) as child:
        yield child.stdout.readline().strip()


def put(address: str, path: str, body: Any = None) -> float:
    """Make a change in Consul; return its time."""
    connection = http.client.HTTPConnection(address)
    connection.request("PUT", path, json.dumps(body))
    connection.getresponse().read()
    connection.close()
    return time.monotonic()


def config(folder: str, address: str, **consul_keys: Any) -> dict[str, Any]:
    path = Path(folder) / "consul.json"
    path.write_text(
        json.dumps({"agents": [address], "services": [{"name": "tariff", "flaps": 1000}], **consul_keys})
    )
    given = rig.configuration([])
    del given["discovery"], given["known"]
    return {**given, "consul": str(path)}


# Time from a flip to the last send


def flips(seconds: float) -> None:
    with contextlib.ExitStack() as stack:
        world = stack.enter_context(
            rig.process(1, sys.executable, "-m", "micadeck.stand_ins.world", str(NODES))
        )
        servers = json.loads(world.stdout.readline())["servers"]
        for name in servers:
            world.stdin.write(
                json.dumps({"do": "mode", "server": name, "mode": "serves", "takes_s": 0.005}) + "\n"
            )
            world.stdin.flush()
            world.stdout.readline()
        address = stack.enter_context(consul(2))
        for name, place in servers.items():
            host, _, port = place.rpartition(":")
            service = {"Name": "tariff", "ID": name, "Address": host, "Port": int(port)}
            put(address, "/v1/agent/service/register", {**service, "Meta": {"started_ms": "1"}})
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config(folder, address)))
        child = stack.enter_context(
            rig.process(3, sys.executable, "-m", "micadeck", env={"BALANCER_CONFIG": str(path)})
        )
        port = int(child.stderr.readline().rpartition(":")[2])
        time.sleep(1.0)
        drained = asyncio.run(_under_load(port, address, list(servers), seconds))
        world.stdin.write('{"do": "heard"}\n')
        world.stdin.flush()
        arrivals = json.loads(world.stdout.readline())["heard"]
    spans = []
    for name, begin, end in drained:
        last = max(
            (each["at"] for each in arrivals if each["server"] == name and each["at"] < end), default=begin
        )
        spans.append(max(last - begin, 0.0))
    spans.sort()
    print(
        f"{len(arrivals)} requests, {len(spans)} flips: from the flip to the last send "
        f"p50 {spans[len(spans) // 2] * 1e3:.1f} ms, p99 {spans[int(len(spans) * 0.99)] * 1e3:.1f} ms, "
        f"longest {spans[-1] * 1e3:.1f} ms, of 500 ms allowed"
    )


async def _under_load(
    port: int, address: str, names: list[str], seconds: float
) -> list[tuple[str, float, float]]:
    rng, until = random.Random(1), time.monotonic() + seconds
    drained: list[tuple[str, float, float]] = []

    async def send_requests(number: int) -> None:
        reader, writer = await asyncio.open_connection(rig.HOST, port)
        count = 0
        while time.monotonic() < until:
            count += 1
            ident = f"{number:04x}{count:012x}"
            writer.write(
                f"GET /x HTTP/1.1\r\nHost: x\r\nRequest-Id: {ident}\r\nRequest-Class: check\r\n"
                "Request-Timeout: 2.0\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            await reader.readexactly(length)
        writer.close()

    # Each task flips its own third of the nodes, so that no node is flipped by two.
    thirds = [names[number::3] for number in range(3)]

    async def flip_nodes(nodes: list[str]) -> None:
        while time.monotonic() < until - 1.0:
            name = rng.choice(nodes)
            path = f"/v1/agent/service/maintenance/{name}?enable="
            begin = await asyncio.to_thread(put, address, path + "true")
            await asyncio.sleep(0.6)
            drained.append((name, begin, time.monotonic()))
            await asyncio.to_thread(put, address, path + "false")
            await asyncio.sleep(0.1)

    await asyncio.gather(
        *(send_requests(number) for number in range(12)), *(flip_nodes(nodes) for nodes in thirds)
    )
    return drained


# Cost of a list and of a change in it


class LoopStalls:
    """The longest event loop stall, seen by a task that runs in every iteration."""

    def __init__(self) -> None:
        self.max_s = 0.0
        self._task = asyncio.get_running_loop().create_task(self._watch())

    async def _watch(self) -> None:
        before = time.perf_counter()
        while True:
            await asyncio.sleep(0)
            now = time.perf_counter()
            self.max_s, before = max(self.max_s, now - before), now

    def reset(self) -> float:
        max_s, self.max_s = self.max_s, 0.0
        return max_s


def resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


class CallTimer:
    """Total seconds of calls of one method."""

    def __init__(self, owner: Any, name: str) -> None:
        self.seconds = 0.0
        original = getattr(owner, name)

        def timed(*given: Any, **named: Any) -> Any:
            began = time.perf_counter()
            try:
                return original(*given, **named)
            finally:
                self.seconds += time.perf_counter() - began

        setattr(owner, name, timed)

    def reset(self) -> float:
        seconds, self.seconds = self.seconds, 0.0
        return seconds


async def _cost(size: int) -> dict[str, float]:
    with consul(2, size) as address, tempfile.TemporaryDirectory() as folder:
        read_timer = CallTimer(ServiceView, "take_change")
        publish_timer = CallTimer(sources_module.EndpointSources, "_publish")
        runtime = Runtime(parse(config(folder, address, spread_s=0)), LoopNetwork(), lambda _: None)
        assert runtime.sources is not None
        runtime.sources.on_partial_list = gc.freeze  # as the daemon does
        merge, stalls = runtime.sources.merge, LoopStalls()
        before = resident_mb()
        began = time.perf_counter()
        await runtime.start()
        while len(merge.snapshot().entries) < size:
            await asyncio.sleep(0.01)
        measured = {"s until listed": time.perf_counter() - began, "ms held, list": stalls.reset() * 1e3}
        measured["MB more"] = resident_mb() - before
        await asyncio.sleep(0.5)
        latencies_s, busy_s = [], []
        for turn in range(20):
            read_timer.reset()
            publish_timer.reset()
            version = merge.version
            enable = "true" if turn % 2 == 0 else "false"
            began = await asyncio.to_thread(
                put, address, f"/v1/agent/service/maintenance/t-7?enable={enable}"
            )
            while merge.version == version and time.monotonic() < began + 10:
                await asyncio.sleep(0)
            latencies_s.append(time.monotonic() - began)
            busy_s.append(read_timer.reset() + publish_timer.reset())
            await asyncio.sleep(0.3)
        measured["ms held, change"] = stalls.reset() * 1e3
        measured["ms from change to told"] = sorted(latencies_s)[10] * 1e3
        measured["ms of it in merge and decisions"] = sorted(busy_s)[10] * 1e3
        runtime.engine.close()
    return measured


async def _idle(seconds: float) -> None:
    calls, size = 0, 0
    original = decompressed

    def counted(response: Any) -> Iterator[bytes]:
        nonlocal calls, size
        calls, size = calls + 1, size + len(response.body) + 250  # including the head
        return original(response)

    setattr(client_module, "decompressed", counted)  # noqa: B010
    wait_s = 2.0
    with consul(2, 100) as address, tempfile.TemporaryDirectory() as folder:
        runtime = Runtime(parse(config(folder, address, wait_s=wait_s)), LoopNetwork(), lambda _: None)
        await runtime.start()
        await asyncio.sleep(1.0)
        calls = size = 0
        await asyncio.sleep(seconds)
        runtime.engine.close()
    a_minute = calls / seconds * 60 * wait_s / 30
    print(
        f"at rest, 100 instances: {a_minute:.1f} queries and {size / max(calls, 1) * a_minute / 1e3:.0f} kB "
        f"a minute with wait_s 30 (measured with {wait_s:g}, over {seconds:g} s, and scaled)"
    )


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("--seconds", type=float, default=20.0)
    given.add_argument("--sizes", default="100,1000,5000")
    given.add_argument("--size", type=int, help="one part of the run, in a process of its own")
    options = given.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        if options.size:
            rig.pin({3})
            print(json.dumps(runner.run(_cost(options.size))))
            return
        flips(options.seconds)
        for size in options.sizes.split(","):
            result = subprocess.run(
                [sys.executable, __file__, "--size", size], stdout=subprocess.PIPE, text=True, check=True
            )
            costs = json.loads(result.stdout)
            print(f"{size} instances: " + ", ".join(f"{value:.2f} {name}" for name, value in costs.items()))
        runner.run(_idle(options.seconds))


if __name__ == "__main__":
    main()
