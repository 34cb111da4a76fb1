"""Peak memory of the daemon with large bodies both ways, and its speed against a direct connection.

    python benchmarks/bodies.py [--bodies 10] [--mb 32] [--memory-mb 80]

All requests run at once, each with a body and a response of the same size; half of the clients read slowly.
A second round measures one client, through the daemon and directly in pairs.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import re
import sys
import tempfile
import time
from pathlib import Path

import rig
import uvloop

_PIECE = b"x" * (64 << 10)
_SLOW_S = 0.002  # a slow client's pause after each piece


def head(number: int, size: int) -> bytes:
    return (
        b"POST /api/%d HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %016x\r\nRequest-Class: lodge\r\n"
        b"Request-Timeout: 4.0\r\nContent-Length: %d\r\n\r\n" % (number, number, size)
    )


async def discard(reader: asyncio.StreamReader, size: int, pause_s: float = 0.0) -> None:
    while size:
        count = len(await reader.read(min(size, len(_PIECE))))
        if not count:
            raise RuntimeError(f"it broke off with {size} bytes to come")
        size -= count
        if pause_s:
            await asyncio.sleep(pause_s)


async def write_body(writer: asyncio.StreamWriter, size: int) -> None:
    for _ in range(size // len(_PIECE)):
        writer.write(_PIECE)
        await writer.drain()


async def read_size(reader: asyncio.StreamReader) -> int:
    head_text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    if not head_text.startswith(("post", "http/1.1 200")):
        raise RuntimeError(head_text.splitlines()[0])
    found = re.search(r"content-length: (\d+)", head_text)
    assert found is not None
    return int(found[1])


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            size = await read_size(reader)
            await discard(reader, size)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            await write_body(writer, size)
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


async def exchange(port: int, number: int, size: int, pause_s: float = 0.0) -> float:
    """Send a body and read one; return the seconds."""
    began = time.perf_counter()
    reader, writer = await asyncio.open_connection(rig.HOST, port)
    writer.write(head(number, size))
    await write_body(writer, size)
    await discard(reader, await read_size(reader), pause_s)
    writer.close()
    return time.perf_counter() - began


def memory_mb(pid: int, field: str) -> float:
    """Resident memory now (`VmRSS`) or at its peak (`VmHWM`)."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(rf"{field}:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024


async def measure(options: argparse.Namespace, core: int) -> None:
    size = options.mb << 20
    server = await asyncio.start_server(serve, rig.HOST, 0)
    server_port = server.sockets[0].getsockname()[1]
    config = rig.configuration([f"{rig.HOST}:{server_port}"])
    config["limits"] = {"memory_mb": options.memory_mb, "sockets": 512}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        env = {"BALANCER_CONFIG": str(path), "PYTHONPATH": str(rig.ROOT)}
        with rig.process(core, sys.executable, "-m", "micadeck", env=env) as child:
            line = await asyncio.to_thread(child.stderr.readline)
            match = re.search(r"serves on .*?:(\d+)", line)
            assert match is not None, line
            port = int(match[1])
            await exchange(port, 1, 1 << 20)
            before = memory_mb(child.pid, "VmRSS")
            pauses_s = [_SLOW_S * (number % 2) for number in range(options.bodies)]
            await asyncio.gather(
                *(exchange(port, 10 + number, size, pause_s) for number, pause_s in enumerate(pauses_s))
            )
            after = memory_mb(child.pid, "VmHWM")
            ratios = []
            for number in range(5):
                direct = await exchange(server_port, 100 + number, size)
                ratios.append(await exchange(port, 200 + number, size) / direct)
    total = 2 * options.bodies * options.mb
    share = (after - before) / options.memory_mb
    print(f"{options.bodies} bodies of {options.mb} MB each way, {total} MB in all:")
    print(
        f"memory {before:.1f} MB before, {after:.1f} at its peak: {share:.3f} of {options.memory_mb} MB more"
    )
    spread = f"{min(ratios):.2f} to {max(ratios):.2f}, {len(ratios)} pairs"
    print(f"one body each way takes {rig.median(ratios):.2f} times as long as directly ({spread})")


def main() -> None:
    given = argparse.ArgumentParser()
    given.add_argument("--bodies", type=int, default=10)
    given.add_argument("--mb", type=int, default=32)
    given.add_argument("--memory-mb", type=int, default=80)
    options = given.parse_args()
    cores = rig.spare_cores()
    if len(cores) < 2:
        raise SystemExit("two cores are needed: for the daemon, and for its clients and servers")
    rig.pin({cores[0]})
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure(options, cores[1]))


if __name__ == "__main__":
    main()
