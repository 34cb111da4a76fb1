"""Statements that a server ends with an error after a part of them took effect: none is run again."""

from __future__ import annotations

from typing import Any

import pymysql
import pytest
from loopback import async_test
from mysql_stage import execute, mysql_environment

from micadeck.stand_ins.mysql import Fault, FaultAction, Point

STATEMENTS_LIMIT, READ_ONLY, IN_READ_ONLY_MODE, OFFLINE_MODE = 1461, 1290, 1836, 3032
CODES = (STATEMENTS_LIMIT, READ_ONLY, IN_READ_ONLY_MODE, OFFLINE_MODE)
SEVERAL = "INSERT INTO lodged VALUES ('L1', 'desk'); INSERT INTO lodged VALUES ('L2', 'desk')"
OPAQUE = "CREATE TABLE once (id TEXT)"  # as a CALL: its text does not show what it does
READ = "SELECT rate FROM tariff WHERE code = '0101'"
INSERT = "INSERT INTO lodged VALUES ('L1', 'desk')"


async def run_rejected(text: str, code: int, point: Point) -> tuple[Any, int, int]:
    """Reject a statement once; return its answer, how often it began to run, and rows with the id L1."""
    async with mysql_environment(3) as environment:
        fault = Fault(text, point, FaultAction.REJECT, code=code)
        for server in environment.servers:
            server.faults.append(fault)
        flags = pymysql.constants.CLIENT.MULTI_STATEMENTS
        client = await environment.connect(autocommit=True, client_flag=flags)
        answer = await execute(client, text)
        assert not any(server.defects for server in environment.servers)
        return answer, len(environment.statements(text)), environment.count_lodged("L1")


@pytest.mark.parametrize("code", CODES)
@pytest.mark.parametrize(("text", "effects"), [(SEVERAL, 1), (OPAQUE, 0)])
@async_test
async def test_what_failed_half_way_is_not_run_again(text: str, effects: int, code: int) -> None:
    # Guards against a second effect of a CALL, or of several statements, whose first part has committed.
    answer, runs, lodged = await run_rejected(text, code, Point.RAN)
    assert (answer[0], runs, lodged) == (code, 1, effects)


@pytest.mark.parametrize("code", CODES)
@async_test
async def test_what_fails_as_a_whole_is_run_at_another_server(code: int) -> None:
    assert (await run_rejected(READ, code, Point.RAN))[0] == [(5,)]
    assert await run_rejected(INSERT, code, Point.START) == (1, 1, 1)
