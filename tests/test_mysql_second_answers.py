"""MySQL servers that send a response twice: no other session is served with the duplicate."""

from __future__ import annotations

import asyncio

import pytest
from loopback import async_test
from mysql_stage import execute, mysql_environment

from micadeck.http.reuse_delay import MAX_DUPLICATE_LAG_US, MIN_REUSE_DELAY_US
from micadeck.stand_ins.mysql import Fault, FaultAction, Point, StandInMysql

MAX_LAG_S = MAX_DUPLICATE_LAG_US / 1e6


@pytest.mark.parametrize("lag_s", [0.0, 0.5 * MAX_LAG_S, 0.9 * MAX_LAG_S])
@async_test
async def test_no_session_is_served_with_a_late_duplicate_of_another_s_response(lag_s: float) -> None:
    # Guards against a connection that carries the next session's statement as the duplicate arrives.
    slow = StandInMysql("m-0", takes_s=2 * MAX_LAG_S)  # so that duplicates come before the next response
    async with mysql_environment(servers=[slow]) as environment:
        first, second = await environment.connect(), await environment.connect()
        repeat = Fault("'0101'", Point.END, FaultAction.REPEAT, times=1_000, delay_s=lag_s)
        slow.faults.append(repeat)
        for _ in range(5):
            assert await execute(first, "SELECT rate FROM tariff WHERE code = '0101'") == [(5,)]
            assert await execute(second, "SELECT rate FROM tariff WHERE code = '0202'") == [(12,)]
        assert not slow.defects


@async_test
async def test_statements_some_time_apart_share_one_connection() -> None:
    async with mysql_environment(1) as environment:
        client = await environment.connect()
        for _ in range(4):
            assert await execute(client, "SELECT rate FROM tariff WHERE code = '0101'") == [(5,)]
            await asyncio.sleep(2 * MIN_REUSE_DELAY_US / 1e6)
        assert environment.servers[0].logins == 1
