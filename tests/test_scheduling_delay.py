"""A process that is late itself does not take that for another machine's silence."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

import pytest
from loopback import async_test
from mysql_stage import ROWS, execute, mysql_environment

from micadeck.network import LoopNetwork
from micadeck.network.scheduling_delay import wait_excluding_lag

READ = "SELECT * FROM tariff ORDER BY code"


@contextlib.asynccontextmanager
async def blocked_loop(seconds: float) -> AsyncIterator[None]:
    """Delay each iteration of the event loop."""

    async def block() -> None:
        while True:
            time.sleep(seconds)
            await asyncio.sleep(0)

    task = asyncio.create_task(block())
    try:
        yield
    finally:
        task.cancel()


async def iterations(count: int) -> int:
    for _ in range(count):
        await asyncio.sleep(0)
    return count


@async_test
async def test_work_gets_its_loop_iterations_however_long_each_takes() -> None:
    async with blocked_loop(0.05):
        assert await wait_excluding_lag(LoopNetwork(), 0.2, iterations(8)) == 8
        with pytest.raises(TimeoutError):
            await wait_excluding_lag(LoopNetwork(), 0.2, iterations(200))


@async_test
async def test_a_timeout_without_scheduling_delay_is_on_time() -> None:
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        await wait_excluding_lag(LoopNetwork(), 0.2, asyncio.sleep(5.0))
    assert 0.19 <= time.monotonic() - began <= 0.4


@async_test
async def test_exceptions_propagate_and_cancellation_ends_the_work() -> None:
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
async def test_a_delayed_process_logs_in_at_healthy_servers() -> None:
    async with mysql_environment() as stage:
        client = await stage.connect()
        async with blocked_loop(0.07):
            answer = await execute(client, READ)
        assert answer == ROWS
        assert not [each for each in stage.log if "failed" in each]
