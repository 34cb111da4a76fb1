"""A process paused for 0.15 s during shutdown answers all requests before the earliest SIGKILL."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from pathlib import Path

import pytest
from loopback import ReceivedRequest, request, run_async, soon
from test_program import GOOD, run_program

from micadeck.operations.shutdown_budget import (
    CLIENT_FLUSH_S,
    KILL_GRACE_S,
    RESERVED_S,
    STALL_S,
    answer_deadline,
)

DEADLINE_S = 0.4
KILL_S = DEADLINE_S + KILL_GRACE_S
LANES = [{"name": "lodge", "giveUpUs": 400_000, "promiseUs": 200_000, "repeat": "non_idempotent"}]


@pytest.mark.parametrize("held_up_at_s", [0.6, 0.7, 0.8, 0.84, 0.9, 0.95, 0.98])
def test_requests_that_hang_at_servers_are_answered_before_sigkill(
    held_up_at_s: float, tmp_path: Path
) -> None:
    async def hang(received: ReceivedRequest) -> None:
        return None

    async def work() -> None:
        settings = {**GOOD["settings"], "lanes": LANES}
        async with run_program(hang, tmp_path, settings=settings) as running:
            clients = [await running.client() for _ in range(3)]
            clients[0].send(request("lodge", timeout="0.4"))
            began = time.monotonic()

            async def at(at_s: float) -> None:
                await asyncio.sleep(max(began + at_s - time.monotonic(), 0.0))

            def kill() -> None:
                with contextlib.suppress(ProcessLookupError):
                    running.process.kill()

            running.process.send_signal(signal.SIGTERM)
            asyncio.get_running_loop().call_later(KILL_S, kill)
            await at(0.35)  # before idle connections are closed
            clients[1].send(request("lodge", timeout="0.4"))
            crowd = []
            while time.monotonic() < began + 0.6:  # the listener stays open while clients come
                crowd.append(await running.client())
                await asyncio.sleep(0.02)
            late = await running.client()
            late.send(request("lodge", timeout="0.4"))
            await at(held_up_at_s)
            with contextlib.suppress(ProcessLookupError):
                running.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(STALL_S)
                running.process.send_signal(signal.SIGCONT)
            for client in (clients[0], clients[1], late):
                assert (await client.answer()).status in (502, 503, 504)
            assert await soon(clients[2].reader.read()) == b""

    run_async(work)


def test_the_margins_cover_a_pause_and_the_last_answers() -> None:
    assert STALL_S + CLIENT_FLUSH_S < RESERVED_S < KILL_GRACE_S
    assert answer_deadline(10.0, [0.1, 0.4]) == pytest.approx(10.0 + 0.4 + KILL_GRACE_S - RESERVED_S)
    assert answer_deadline(10.0, [0.1, 60.0]) == pytest.approx(10.0 + 3.0 + KILL_GRACE_S - RESERVED_S)
