"""Statements that fail: at each point of a failure, what the client gets and what took effect."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import run_async, soon, until
from mysql_stage import ROWS, MysqlEnvironment, execute, mysql_environment

from micadeck.mysql.error_mapping import TABLE, StatementContext, StatementFailure, Transaction
from micadeck.mysql.protocol.answers import ResponseKind
from micadeck.mysql.statements import StatementReader
from micadeck.mysql.transport import StatementRequest
from micadeck.policy.outcomes import Outcome
from micadeck.stand_ins.mysql import Fault, FaultAction, Point

READ = "SELECT * FROM tariff ORDER BY code"
INSERT = "INSERT INTO lodged VALUES ('L1', 'desk')"
ALL_ROWS = list(ROWS)
UNKNOWN = (1105, "whether it took effect is not known")
ROLLED_BACK = (1213, "the transaction was rolled back")


def is_error_answer(answer: Any, expected: tuple[int, str]) -> bool:
    return isinstance(answer, tuple) and answer[0] == expected[0] and expected[1] in answer[1]


def inject_fault(env: MysqlEnvironment, match: str, point: Point, what: FaultAction, rows: int = 0) -> None:
    """Inject one fault, at the first server that runs a matching statement."""
    shared = Fault(match, point, what, rows)
    for server in env.servers:
        server.faults.append(shared)


def test_the_table_is_complete_and_promises_no_more_than_holds() -> None:
    assert TABLE.keys() == {
        (context, failure) for context in StatementContext for failure in StatementFailure
    }
    for (context, failure), answer in TABLE.items():
        if failure is StatementFailure.REFUSED or context in (
            StatementContext.READ,
            StatementContext.ROLLBACK,
        ):
            continue
        if context is StatementContext.IN_TRANSACTION:
            assert answer.error is not None and answer.error.sqlstate == "40001"
            assert answer.transaction is Transaction.ROLLED_BACK
        else:
            assert answer.error is not None and answer.error.sqlstate == "08007"


@pytest.mark.parametrize(
    "what", [FaultAction.KILL_SERVER, FaultAction.RESET, FaultAction.SHUT_DOWN, FaultAction.CORRUPT]
)
@pytest.mark.parametrize(
    ("point", "rows"),
    [(Point.START, 0), (Point.RAN, 0), (Point.HEAD, 0), (Point.COLUMNS, 0), (Point.ROWS, 2), (Point.LAST, 0)],
)
def test_a_failed_read_is_retried_at_another_server(point: Point, rows: int, what: FaultAction) -> None:
    async def work() -> None:
        async with mysql_environment() as env:
            client = await env.connect()
            inject_fault(env, "FROM tariff", point, what, rows)
            answer = await execute(client, READ)
            if what is FaultAction.SHUT_DOWN and point is Point.HEAD:
                # In place of a column definition, an ERR reads as a malformed one.
                assert answer == ALL_ROWS or isinstance(answer, tuple)
            else:
                assert answer == ALL_ROWS
            assert len(env.statements("FROM tariff")) <= 2

    run_async(work)


@pytest.mark.parametrize(
    "what", [FaultAction.KILL_SERVER, FaultAction.RESET, FaultAction.SHUT_DOWN, FaultAction.CORRUPT]
)
@pytest.mark.parametrize(("point", "effects"), [(Point.START, 0), (Point.RAN, 1)])
def test_a_write_that_may_have_run_is_not_retried_and_its_effect_is_reported_as_unknown(
    point: Point, effects: int, what: FaultAction
) -> None:
    async def work() -> None:
        async with mysql_environment() as env:
            client = await env.connect(autocommit=True)
            inject_fault(env, INSERT, point, what)
            assert is_error_answer(await execute(client, INSERT), UNKNOWN)
            assert env.count_lodged("L1") == effects
            assert len(env.statements(INSERT)) == effects
            assert await execute(client, READ) == ALL_ROWS  # the session continues

    run_async(work)


def test_a_write_that_cannot_have_run_is_retried_at_another_server() -> None:
    async def work() -> None:
        async with mysql_environment(3) as env:
            env.servers[0].read_only = True  # ERR 1290
            env.servers[1].is_full = True  # ERR 1040 at log-in
            client = await env.connect(autocommit=True)
            for number in range(6):
                assert await execute(client, f"INSERT INTO lodged VALUES ('W{number}', 'x')") == 1
            assert [env.count_lodged(f"W{number}") for number in range(6)] == [1] * 6
            assert len(env.servers[2].texts("INSERT")) == 6

    run_async(work)


@pytest.mark.parametrize("what", [FaultAction.KILL_SERVER, FaultAction.RESET, FaultAction.SHUT_DOWN])
def test_a_write_is_retried_if_its_server_is_lost_while_the_session_is_applied(what: FaultAction) -> None:
    async def work() -> None:
        async with mysql_environment() as env:
            client = await env.connect(autocommit=True)
            await execute(client, "SET time_zone = '+04:00'")
            for server in env.servers:  # so that the session must be applied to a new connection
                env.service.transport.close_idle(server.name)
            inject_fault(env, "SET NAMES", Point.START, what)
            assert await execute(client, INSERT) == 1
            assert env.count_lodged("L1") == 1

    run_async(work)


@pytest.mark.parametrize("text", [READ, INSERT])
def test_a_drain_while_the_session_is_applied_sends_the_statement_to_another_server(text: str) -> None:
    async def work() -> None:
        async with mysql_environment() as env:
            client = await env.connect(autocommit=True)
            for server in env.servers:
                server.takes_s = 0.3  # also for the commands that apply the session
            query = asyncio.create_task(execute(client, text))
            await until(lambda: bool(env.statements("SET NAMES")))
            first = env.server_of("SET NAMES")
            await env.drain(first)
            assert await soon(query) == (ALL_ROWS if text == READ else 1)
            assert not first.texts(text)

    run_async(work)


def test_the_transport_starts_no_statement_at_a_draining_server() -> None:
    async def work() -> None:
        async with mysql_environment(1) as env:
            client = await env.connect()
            assert await execute(client, READ) == ALL_ROWS
            await env.drain(env.servers[0])
            transport, outcomes = env.service.transport, []
            session = next(iter(env.service.listener.clients)).session
            assert session is not None
            request = StatementRequest(
                "read", None, None, 1_000_000, None, False, b"x", False,
                session=session, statement=StatementReader().read(READ.encode()),
                command=b"\x03" + READ.encode(),
                kind=ResponseKind.RESULT, sink=None,  # type: ignore[arg-type]
            )  # fmt: skip
            until_us = env.service.listener.network.now() + 1_000_000
            transport.start(
                "m-0", until_us, request, lambda outcome, answer, report: outcomes.append(outcome)
            )
            await until(lambda: bool(outcomes))
            assert outcomes == [Outcome.NOT_SENT] and len(env.statements("FROM tariff")) == 1

    run_async(work)


IN_TRANSACTION = [
    # statement, point of the failure, the client's answer, rows inserted
    (INSERT, Point.START, ROLLED_BACK, 0),
    (INSERT, Point.RAN, ROLLED_BACK, 0),
    (READ, Point.ROWS, ROLLED_BACK, 0),
    ("COMMIT", Point.START, UNKNOWN, 0),
    ("COMMIT", Point.RAN, UNKNOWN, 1),
    ("ROLLBACK", Point.START, None, 0),
    ("ROLLBACK", Point.RAN, None, 0),
    ("BEGIN", Point.RAN, UNKNOWN, 1),  # BEGIN commits the open transaction
]


@pytest.mark.parametrize("what", [FaultAction.KILL_SERVER, FaultAction.RESET])
@pytest.mark.parametrize(("text", "point", "expected", "effects"), IN_TRANSACTION)
def test_a_statement_of_a_transaction_whose_server_is_lost(
    text: str, point: Point, expected: tuple[int, str] | None, effects: int, what: FaultAction
) -> None:
    async def work() -> None:
        async with mysql_environment() as env:
            client = await env.connect()
            await execute(client, "BEGIN")
            assert await execute(client, "INSERT INTO lodged VALUES ('T1', 'desk')") == 1
            env.server_of("'T1'").faults.append(Fault(text, point, what))
            answer = await execute(client, text)
            if expected is None:
                assert answer == 0
            else:
                assert is_error_answer(answer, expected)
            assert env.count_lodged("T1") == effects
            assert len(env.statements("'T1'")) == 1
            # The session continues without the transaction.
            assert await execute(client, READ) == ALL_ROWS
            assert env.service.transport.pool.in_use_count(env.servers[0].name) == 0

    run_async(work)


def test_after_an_error_in_a_transaction_a_possible_commit_is_reported_as_unknown() -> None:
    """A deadlock ends the transaction, which its error does not say; later statements autocommit."""

    async def work() -> None:
        async with mysql_environment(1) as env:
            server = env.servers[0]
            client = await env.connect(autocommit=True)
            await execute(client, "BEGIN")
            await execute(client, "INSERT INTO lodged VALUES ('T1', 'desk')")
            (session,) = [session for session in server.sessions.values() if session.sql.in_transaction]
            session.sql.run(session.sql.parse("ROLLBACK")[0])  # as a deadlock does
            assert (await execute(client, "SELECT absent FROM tariff"))[0] == 1054
            server.faults.append(Fault(INSERT, Point.RAN, FaultAction.RESET))
            assert is_error_answer(await execute(client, INSERT), UNKNOWN)
            assert (env.count_lodged("T1"), env.count_lodged("L1")) == (0, 1)
            # The status of a successful read shows that the transaction is open.
            await execute(client, "BEGIN")
            assert (await execute(client, "SELECT absent FROM tariff"))[0] == 1054
            assert await execute(client, READ) == ALL_ROWS
            server.faults.append(Fault("'L2'", Point.RAN, FaultAction.RESET))
            assert is_error_answer(
                await execute(client, "INSERT INTO lodged VALUES ('L2', 'x')"), ROLLED_BACK
            )
            assert env.count_lodged("L2") == 0

    run_async(work)


@pytest.mark.parametrize(("text", "is_error"), [(INSERT, True), ("COMMIT", True), ("ROLLBACK", False)])
def test_a_server_lost_between_statements_rolls_the_transaction_back_and_the_next_gets_the_error(
    text: str, is_error: bool
) -> None:
    async def work() -> None:
        async with mysql_environment() as env:
            client = await env.connect()
            await execute(client, "BEGIN")
            await execute(client, "INSERT INTO lodged VALUES ('T1', 'desk')")
            env.server_of("'T1'").die()
            await until(lambda: env.service.listener.busy_count == 0)
            answer = await execute(client, text)
            assert is_error_answer(answer, ROLLED_BACK) if is_error else answer == 0
            assert env.count_lodged("T1") == 0 and not env.statements(INSERT)
            await execute(client, "BEGIN")
            assert await execute(client, INSERT) == 1
            assert await execute(client, "COMMIT") == 0
            assert env.count_lodged("L1") == 1

    run_async(work)


def test_a_transaction_may_commit_within_the_session_drain_grace() -> None:
    async def work() -> None:
        async with mysql_environment(drain={"grace_ms": 20_000, "finish_ms": 20_000}) as env:
            client = await env.connect()
            await execute(client, "BEGIN")
            assert await execute(client, INSERT) == 1
            server = env.server_of(INSERT)
            await env.drain(server)
            assert await execute(client, "INSERT INTO lodged VALUES ('L2', 'x')") == 1
            assert await execute(client, "COMMIT") == 0
            assert (env.count_lodged("L1"), env.count_lodged("L2")) == (1, 1)
            before = len(server.ran)
            assert await execute(client, READ) == ALL_ROWS
            assert len(server.ran) == before  # a read outside a transaction went to another server

    run_async(work)


def test_after_the_session_drain_grace_a_transaction_is_rolled_back_and_nothing_is_sent() -> None:
    async def work() -> None:
        async with mysql_environment(drain={"grace_ms": 500, "finish_ms": 0}) as env:
            client = await env.connect()
            await execute(client, "BEGIN")
            assert await execute(client, INSERT) == 1
            server = env.server_of(INSERT)
            before = len(server.ran)
            await env.drain(server)
            await until(lambda: not server.sessions)  # so the server rolled the transaction back
            assert is_error_answer(await execute(client, "COMMIT"), ROLLED_BACK)
            assert env.count_lodged("L1") == 0
            assert len(server.ran) == before

    run_async(work)


@pytest.mark.parametrize("text", ["COMMIT", "INSERT INTO lodged VALUES ('L2', 'x')"])
def test_a_drain_lets_the_running_statement_end(text: str) -> None:
    async def work() -> None:
        async with mysql_environment(drain={"grace_ms": 500, "finish_ms": 0}) as env:
            client = await env.connect()
            await execute(client, "BEGIN")
            await execute(client, INSERT)
            server = env.server_of(INSERT)
            server.takes_s = 0.3
            answer = asyncio.create_task(execute(client, text))
            await until(lambda: bool(server.texts(text)))
            await env.drain(server)
            assert await soon(answer) == (0 if text == "COMMIT" else 1)
            if text == "COMMIT":
                assert env.count_lodged("L1") == 1
            else:
                assert is_error_answer(await execute(client, "COMMIT"), ROLLED_BACK)
                assert env.count_lodged("L1") == env.count_lodged("L2") == 0

    run_async(work)


def test_a_session_whose_server_state_is_lost_gets_an_error_and_is_closed() -> None:
    async def work() -> None:
        async with mysql_environment() as env:
            client = await env.connect()
            await execute(client, "SET @code = '0202'")
            assert await execute(client, "SELECT note FROM tariff WHERE code = @code") == [("beef",)]
            assert "Held for: user variables: 1" in env.service.listener.statistics()
            holder = next(server for server in env.servers if server.texts("@code"))
            holder.die()
            await until(lambda: env.service.listener.busy_count == 0)
            assert is_error_answer(
                await execute(client, READ), (1105, "the server that held this session's state")
            )
            await until(lambda: not env.service.listener.clients)

    run_async(work)


@pytest.mark.parametrize(("text", "code"), [(READ, 3024), (INSERT, 1105)])
def test_a_statement_is_answered_at_its_deadline(text: str, code: int) -> None:
    async def work() -> None:
        async with mysql_environment(1) as env:
            client = await env.connect(autocommit=True)
            env.servers[0].faults.append(Fault(text, Point.START, FaultAction.HANG))
            answer = await execute(client, f"/*micadeck: deadline_ms=300*/ {text}")
            assert answer[0] == code
            await until(lambda: env.service.engine.open_requests == 0)
            assert env.service.transport.pool.in_use_count("m-0") == 0  # its connection is closed

    run_async(work)


def test_a_statement_past_its_deadline_is_killed_if_kill_is_enabled() -> None:
    async def work() -> None:
        async with mysql_environment(1, kill=True) as env:
            client = await env.connect(autocommit=True)
            await execute(client, READ)  # opens a connection: a statement that expires unsent needs no KILL
            server = env.servers[0]
            before = server.commands["QUERY"]
            answer = await execute(client, "/*micadeck: deadline_ms=1000*/ SELECT SLEEP(20)")
            assert answer[0] == 3024
            assert [each.text for each in server.ran][-1].endswith("SLEEP(20)")
            await until(lambda: server.commands["QUERY"] >= before + 2)  # KILL QUERY arrived

    run_async(work)


def test_a_client_that_disconnects_during_a_statement_leaks_nothing() -> None:
    async def work() -> None:
        async with mysql_environment(1) as env:
            for text in (READ, INSERT, "SELECT * FROM wide"):
                client = await env.connect(autocommit=True)
                server = env.servers[0]
                server.takes_s = 0.2
                query = asyncio.create_task(execute(client, text))
                await until(lambda text=text, server=server: bool(server.texts(text)))  # type: ignore[misc]
                query.cancel()
                client.close()
                await until(lambda: env.service.engine.open_requests == 0)
                await until(lambda: env.service.transport.pool.in_use_count("m-0") == 0)
            assert env.service.listener.clients == set()
            assert env.service.transport.held_bytes == 0

    run_async(work)


@pytest.mark.parametrize("what", [FaultAction.KILL_SERVER, FaultAction.RESET])
def test_a_streamed_result_ends_with_an_error_if_its_server_is_lost(what: FaultAction) -> None:
    async def work() -> None:
        async with mysql_environment(limits={"hold_bytes": 64 << 10}) as env:
            for server in env.servers:
                server.wide, server.wide_rows = True, 64
                server.database.run("CREATE TABLE wide (w TEXT)")
            client = await env.connect()
            inject_fault(env, "FROM wide", Point.LAST, what)
            assert is_error_answer(await execute(client, "SELECT * FROM wide"), (1317, "not whole"))
            assert len(env.statements("FROM wide")) == 1  # rows were sent, so it is not retried
            rows = await execute(client, "SELECT * FROM wide")
            assert len(rows) == 64 and all(len(row[0]) == 16 << 10 for row in rows)
            assert env.service.transport.held_bytes == 0

    run_async(work)


def test_without_any_server_a_statement_is_refused_as_harmless() -> None:
    async def work() -> None:
        async with mysql_environment() as env:
            client = await env.connect(autocommit=True)
            for server in env.servers:
                await env.drain(server)
            for text in (READ, INSERT, "BEGIN"):
                assert is_error_answer(await execute(client, text), (1213, "running it again is harmless"))
            assert env.count_lodged("L1") == 0

    run_async(work)
