"""The operators' door while the sidecar is short of its processor: the real program, mostly stopped."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from loopback import HOST, OK, Client, request, run_async, soon
from test_program import Program, run_program

PART = 0.12  # of a core
SLICE_S = 0.1
CLIENTS = 300
WITHIN_S = 1.0  # a caller waits no longer


@asynccontextmanager
async def throttled(running: Program) -> AsyncIterator[None]:
    """The process runs for a part of each slice only, as under a limit on its processor time."""

    async def stop_and_go() -> None:
        while True:
            await asyncio.sleep(SLICE_S * PART)
            running.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SLICE_S * (1 - PART))
            running.process.send_signal(signal.SIGCONT)

    at_it = asyncio.ensure_future(stop_and_go())
    try:
        yield
    finally:
        at_it.cancel()
        running.process.send_signal(signal.SIGCONT)


async def asking(running: Program) -> None:
    """A client that asks again as soon as it is answered, whatever the answer."""
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
    told = await soon(client.reader.read())
    client.close()
    return told


def test_calls_are_answered_in_time_while_hundreds_of_clients_take_all_the_processor(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_program(OK, tmp_path, operator=f"{HOST}:0") as running:
            port = running.admin_port
            clients = [asyncio.ensure_future(asking(running)) for _ in range(CLIENTS)]
            async with throttled(running):
                await asyncio.sleep(1.0)  # until all are connected, and it is behind with them
                for line, begin in [
                    (b"READY\n", b"200 "),
                    (b"STATS\n", b"edge_balancer."),
                    (b"X\n", b"400 "),
                ] * 3:
                    began = time.monotonic()
                    told = await call(port, line)
                    assert time.monotonic() - began < WITHIN_S
                    assert told.startswith(begin)
                assert (await call(port, b"DRAIN\n")).startswith(b"200 ")
            for each in clients:
                each.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    run_async(work)


def test_a_caller_of_a_byte_a_second_is_cut_off_and_holds_back_nobody(tmp_path: Path) -> None:
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
