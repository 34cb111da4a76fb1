"""The cost of MySQL through the sidecar against a direct connection and a bare relay: `make bench-mysql`.

    python benchmarks/mysql_wire.py [--rounds 12] [--statements 300]

One run, each process on its own core; every round measures all paths.  Then the memory of 1,000 idle client
sessions, and of streaming a result of 1 GiB.  The client of all paths is the package's server connection.
"""

from __future__ import annotations

import argparse
import asyncio
import re
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

import rig
import uvloop

from micadeck.mysql.auth import Verifier, native_stored
from micadeck.mysql.protocol.answers import Part, ResponseKind, Row
from micadeck.mysql.server_connection import Credentials, ServerConnection
from micadeck.network import LoopNetwork

CONNECTIONS = 16
SELECT = b"\x03SELECT code FROM tariff"
WIDE_ROWS = 1 << 16  # of 16 KiB: 1 GiB
IDLE_SESSIONS = 1_000


@contextmanager
def stand_in(core: int, *arguments: str) -> Iterator[str]:
    with rig.process(core, sys.executable, "-m", "micadeck.stand_ins.mysql", *arguments) as child:
        yield child.stdout.readline().split()[-1]


@contextmanager
def sidecar(core: int, addresses: list[str]) -> Iterator[tuple[int, int]]:
    """The sidecar's port and process id."""
    with tempfile.TemporaryDirectory() as folder:
        secret, path = Path(folder) / "password", Path(folder) / "mysql.toml"
        secret.write_text("server-secret")
        servers = "".join(
            f'[[servers.static]]\nname = "s-{number}"\naddress = "{address}"\n'
            for number, address in enumerate(addresses)
        )
        password = b"server-secret"
        path.write_text(
            f"""listen = "127.0.0.1:0"
[servers]
user = "sidecar"
password_file = "{secret}"
{servers}
[[users]]
name = "sidecar"
verifier = "{Verifier.of(password).text()}"
native = "*{native_stored(password).hex()}"
[[classes]]
name = "read"
repeat = "safe"
aim_ms = 1000
deadline_ms = 60000
[[classes]]
name = "write"
repeat = "unsafe"
aim_ms = 1000
deadline_ms = 60000
[[rules]]
read = "read"
write = "write"
"""
        )
        with rig.process(core, sys.executable, "-m", "micadeck.mysql", "serve", str(path)) as child:
            match = re.search(r"serves on .*?:(\d+)", child.stderr.readline())
            if match is None:
                raise RuntimeError("the sidecar does not serve")
            yield int(match[1]), child.pid


def memory_mb(pid: int, field: str = "VmRSS") -> float:
    match = re.search(rf"{field}:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())
    assert match is not None
    return int(match[1]) / 1024


async def connect(port: int) -> ServerConnection:
    network = LoopNetwork()

    def make() -> ServerConnection:
        credentials = Credentials("sidecar", b"server-secret")
        return ServerConnection(
            network, "", credentials, found_rows=False, max_packet_bytes=1 << 25, on_closed=lambda _: None
        )

    return await ServerConnection.open(make, network, (rig.HOST, port))


async def execute(connection: ServerConnection, part: Any, text: bytes = SELECT) -> None:
    reader = await connection.exchange(text, ResponseKind.RESULT, part)
    if reader.error is not None:
        raise RuntimeError(reader.error.text)


def ignore(part: Part) -> None:
    """Discard a part."""


async def measure(connections: list[ServerConnection], count: int) -> tuple[list[float], float]:
    """Latencies of sequential statements, and the rate of all connections together."""
    latencies = []
    for _ in range(count):
        began = time.perf_counter()
        await execute(connections[0], ignore)
        latencies.append(time.perf_counter() - began)

    async def repeat(connection: ServerConnection) -> None:
        for _ in range(count // 4):
            await execute(connection, ignore)

    began = time.perf_counter()
    await asyncio.gather(*(repeat(each) for each in connections))
    return latencies, len(connections) * (count // 4) / (time.perf_counter() - began)


async def compare_paths(paths: dict[str, int], rounds: int, count: int) -> None:
    connections = {name: [await connect(port) for _ in range(CONNECTIONS)] for name, port in paths.items()}
    latencies: dict[str, list[float]] = {name: [] for name in paths}
    rates: dict[str, list[float]] = {name: [] for name in paths}
    for number in range(rounds + 1):
        for name, pool in connections.items():
            single, rate = await measure(pool, count)
            if number:  # the first round only warms up
                latencies[name] += single
                rates[name].append(rate)
    rate_of = f"{CONNECTIONS} at once, a second"
    print(f"{'way':10} {'p50 ms':>8} {'p99 ms':>8} {rate_of:>24} {'of direct':>10}")
    direct = statistics.median(rates["direct"])
    for name in paths:
        percentiles = statistics.quantiles(latencies[name], n=100)
        rate = statistics.median(rates[name])
        spread = f"{percentiles[49] * 1e3:8.3f} {percentiles[98] * 1e3:8.3f}"
        print(f"{name:10} {spread} {rate:24,.0f} {rate / direct:10.2f}")


async def idle(port: int, pid: int) -> None:
    for _ in range(4):  # one-time allocations do not count for the sessions
        (await connect(port)).close()
    before = memory_mb(pid)
    connections = [await connect(port) for _ in range(IDLE_SESSIONS)]
    await asyncio.sleep(0.5)
    after = memory_mb(pid)
    kb = (after - before) * 1024 / IDLE_SESSIONS
    print(f"{IDLE_SESSIONS} idle sessions: {before:.1f} -> {after:.1f} MB, {kb:.1f} KB each")
    for each in connections:
        each.close()


async def stream(port: int, pid: int) -> None:
    connection = await connect(port)
    before = memory_mb(pid, "VmHWM")
    totals = [0, 0]

    def part(each: Part) -> None:
        if isinstance(each, Row):
            totals[0] += 1
            totals[1] += len(each.payload)

    began = time.perf_counter()
    await execute(connection, part, b"\x03SELECT * FROM wide")
    elapsed_s = time.perf_counter() - began
    after = memory_mb(pid, "VmHWM")
    print(
        f"a result of {totals[1] / (1 << 30):.2f} GiB in {totals[0]} rows,"
        f" {totals[1] / elapsed_s / 1e6:.0f} MB/s;"
        f" the sidecar's peak {before:.1f} -> {after:.1f} MB"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=12)
    parser.add_argument("--statements", type=int, default=300)
    given = parser.parse_args()
    cores = rig.spare_cores()
    core = [cores[number % len(cores)] for number in range(4)]
    with ExitStack() as stack:
        canned = stack.enter_context(stand_in(core[0], "--canned", "10", "--wide", str(WIDE_ROWS)))
        relay = stack.enter_context(
            rig.process(core[1], sys.executable, str(rig.ROOT / "benchmarks" / "byte_relay.py"), canned)
        )
        relay_port = int(relay.stdout.readline())
        port, pid = stack.enter_context(sidecar(core[2], [canned]))
        rig.pin({core[3]})
        paths = {"direct": int(canned.rpartition(":")[2]), "relay": relay_port, "sidecar": port}
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(idle(port, pid))
            runner.run(compare_paths(paths, given.rounds, given.statements))
            runner.run(stream(port, pid))


if __name__ == "__main__":
    main()
