"""A process that is late itself does not take that for another machine's silence."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest
from loopback import async_test
from mysql_stage import ROWS, ask, scene

from micadeck.network import LoopNetwork
from micadeck.network.scheduling_delay import wait_excluding_lag

READ = "SELECT * FROM tariff ORDER BY code"


@contextlib.asynccontextmanager
async def late_by(seconds: float) -> AsyncIterator[None]:
    """Each round of the event loop takes so much longer."""

    async def hold_up() -> None:
        while True:
            time.sleep(seconds)
            await asyncio.sleep(0)

    task = asyncio.create_task(hold_up())
    try:
        yield
    finally:
        task.cancel()


async def rounds(count: int) -> int:
    for _ in range(count):
        await asyncio.sleep(0)
    return count


@async_test
async def test_work_of_a_few_rounds_is_given_them_however_long_each_takes() -> None:
    async with late_by(0.05):
        assert await wait_excluding_lag(LoopNetwork(), 0.2, rounds(8)) == 8
        with pytest.raises(TimeoutError):
            await wait_excluding_lag(LoopNetwork(), 0.2, rounds(200))


@async_test
async def test_silence_is_seen_in_its_time_by_a_loop_that_is_in_time() -> None:
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        await wait_excluding_lag(LoopNetwork(), 0.2, asyncio.sleep(5.0))
    assert 0.19 <= time.monotonic() - began <= 0.4


@async_test
async def test_what_work_raises_is_passed_on_and_a_cancel_ends_it() -> None:
    ended = asyncio.Event()

    async def refused() -> None:
        raise ConnectionRefusedError

    async def waiting() -> None:
        try:
            await asyncio.sleep(5.0)
        finally:
            ended.set()

    with pytest.raises(ConnectionRefusedError):
        await wait_excluding_lag(LoopNetwork(), 0.2, refused())
    task = asyncio.create_task(wait_excluding_lag(LoopNetwork(), 5.0, waiting()))
    await asyncio.sleep(0.05)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert ended.is_set()


@async_test
async def test_a_late_process_logs_in_at_servers_that_are_well() -> None:
    async with scene() as stage:
        client = await stage.connect()
        async with late_by(0.07):
            answer = await ask(client, READ)
        assert answer == ROWS
        assert not [each for each in stage.log if "failed" in each]
