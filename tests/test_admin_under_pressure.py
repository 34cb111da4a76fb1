"""The admin server while the program gets little processor time."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from loopback import HOST, OK, Client, request, run_async, soon
from test_program import Program, run_program

CPU_SHARE = 0.12  # of a core
SLICE_S = 0.1
CLIENTS = 300
MAX_REPLY_S = 1.0  # timeout of a caller


@asynccontextmanager
async def throttled(running: Program) -> AsyncIterator[None]:
    """Let the process run for a part of each time slice, as under a CPU quota."""

    async def stop_and_go() -> None:
        while True:
            await asyncio.sleep(SLICE_S * CPU_SHARE)
            running.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SLICE_S * (1 - CPU_SHARE))
            running.process.send_signal(signal.SIGCONT)

    task = asyncio.ensure_future(stop_and_go())
    try:
        yield
    finally:
        task.cancel()
        running.process.send_signal(signal.SIGCONT)


async def send_requests(running: Program) -> None:
    """Send a new request after each answer, whatever the answer."""
    while True:
        try:
            client = await running.client()
            while True:
                client.send(request("check"))
                await client.answer()
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)


async def call(port: int, line: bytes) -> bytes:
    client = Client(*await asyncio.open_connection(HOST, port))
    client.send(line)
    reply = await soon(client.reader.read())
    client.close()
    return reply


def test_commands_are_answered_in_time_under_cpu_pressure(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_program(OK, tmp_path, operator=f"{HOST}:0") as running:
            port = running.admin_port
            clients = [asyncio.ensure_future(send_requests(running)) for _ in range(CLIENTS)]
            async with throttled(running):
                await asyncio.sleep(1.0)  # until all are connected and the process lags behind
                for line, begin in [
                    (b"READY\n", b"200 "),
                    (b"STATS\n", b"edge_balancer."),
                    (b"X\n", b"400 "),
                ] * 3:
                    began = time.monotonic()
                    reply = await call(port, line)
                    assert time.monotonic() - began < MAX_REPLY_S
                    assert reply.startswith(begin)
                assert (await call(port, b"DRAIN\n")).startswith(b"200 ")
            for each in clients:
                each.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    run_async(work)


def test_a_slow_caller_is_disconnected_and_delays_no_other(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_program(OK, tmp_path, operator=f"{HOST}:0") as running:
            slow = Client(*await asyncio.open_connection(HOST, running.admin_port))
            began = time.monotonic()
            for byte in b"READ":
                slow.send(bytes((byte,)))
                assert (await call(running.admin_port, b"STATS\n")).endswith(b"EOF\n")
                await asyncio.sleep(1.0)
                if slow.reader.at_eof():
                    break
            assert (await soon(slow.reader.read())) == b""
            assert time.monotonic() - began < 5.0

    run_async(work)
