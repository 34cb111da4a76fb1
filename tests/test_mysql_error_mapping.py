"""The table of what befalls a statement: at every point of its life, what its client gets and what ran."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import run_async, soon, until
from mysql_stage import ROWS, Scene, ask, scene

from micadeck.mysql.error_mapping import TABLE, StatementContext, StatementFailure, Transaction
from micadeck.mysql.protocol.answers import ResponseKind
from micadeck.mysql.statements import StatementReader
from micadeck.mysql.transport import StatementRequest
from micadeck.policy.outcomes import Outcome
from micadeck.stand_ins.mysql import Fault, Point, What

READ = "SELECT * FROM tariff ORDER BY code"
LODGE = "INSERT INTO lodged VALUES ('L1', 'desk')"
WHOLE = list(ROWS)
UNKNOWN = (1105, "whether it took effect is not known")
BACK = (1213, "the transaction was rolled back")


def fails(answer: Any, expected: tuple[int, str]) -> bool:
    return isinstance(answer, tuple) and answer[0] == expected[0] and expected[1] in answer[1]


def fault_all(stage: Scene, match: str, point: Point, what: What, rows: int = 0) -> None:
    """The first server that it comes to has the fault; no other has."""
    shared = Fault(match, point, what, rows)
    for server in stage.servers:
        server.faults.append(shared)


def test_the_table_has_a_fate_for_everything_and_promises_only_what_holds() -> None:
    assert TABLE.keys() == {(row, befell) for row in StatementContext for befell in StatementFailure}
    for (row, befell), fate in TABLE.items():
        if befell is StatementFailure.REFUSED or row in (StatementContext.READ, StatementContext.ROLLBACK):
            continue
        if row is StatementContext.IN_TRANSACTION:
            assert fate.error is not None and fate.error.sqlstate == "40001"
            assert fate.transaction is Transaction.ROLLED_BACK
        else:
            assert fate.error is not None and fate.error.sqlstate == "08007"


@pytest.mark.parametrize("what", [What.DIE, What.RESET, What.GO_DOWN, What.SPOIL])
@pytest.mark.parametrize(
    ("point", "rows"),
    [(Point.START, 0), (Point.RAN, 0), (Point.HEAD, 0), (Point.COLUMNS, 0), (Point.ROWS, 2), (Point.LAST, 0)],
)
def test_a_read_is_read_again_elsewhere_unseen(point: Point, rows: int, what: What) -> None:
    async def work() -> None:
        async with scene() as stage:
            client = await stage.connect()
            fault_all(stage, "FROM tariff", point, what, rows)
            answer = await ask(client, READ)
            if what is What.GO_DOWN and point is Point.HEAD:
                # In place of a column's definition an ERR can't be told from one: it is spoilt.
                assert answer == WHOLE or isinstance(answer, tuple)
            else:
                assert answer == WHOLE
            assert len(stage.ran("FROM tariff")) <= 2

    run_async(work)


@pytest.mark.parametrize("what", [What.DIE, What.RESET, What.GO_DOWN, What.SPOIL])
@pytest.mark.parametrize(("point", "effects"), [(Point.START, 0), (Point.RAN, 1)])
def test_a_write_that_may_have_run_is_never_sent_again_and_never_called_harmless(
    point: Point, effects: int, what: What
) -> None:
    async def work() -> None:
        async with scene() as stage:
            client = await stage.connect(autocommit=True)
            fault_all(stage, LODGE, point, what)
            assert fails(await ask(client, LODGE), UNKNOWN)
            assert stage.lodged("L1") == effects
            assert len(stage.ran(LODGE)) == effects
            assert await ask(client, READ) == WHOLE  # the session goes on

    run_async(work)


def test_a_write_goes_elsewhere_where_it_cannot_have_run() -> None:
    async def work() -> None:
        async with scene(3) as stage:
            stage.servers[0].read_only = True  # ERR 1290
            stage.servers[1].is_full = True  # ERR 1040 at log-in
            client = await stage.connect(autocommit=True)
            for number in range(6):
                assert await ask(client, f"INSERT INTO lodged VALUES ('W{number}', 'x')") == 1
            assert [stage.lodged(f"W{number}") for number in range(6)] == [1] * 6
            assert len(stage.servers[2].texts("INSERT")) == 6

    run_async(work)


@pytest.mark.parametrize("what", [What.DIE, What.RESET, What.GO_DOWN])
def test_a_write_goes_elsewhere_if_its_server_is_lost_before_the_session_is_there(what: What) -> None:
    async def work() -> None:
        async with scene() as stage:
            client = await stage.connect(autocommit=True)
            await ask(client, "SET time_zone = '+04:00'")
            for server in stage.servers:  # new connections, on which the session must be put first
                stage.service.carrier.close_idle(server.name)
            fault_all(stage, "SET NAMES", Point.START, what)
            assert await ask(client, LODGE) == 1
            assert stage.lodged("L1") == 1

    run_async(work)


@pytest.mark.parametrize("text", [READ, LODGE])
def test_word_of_a_drain_while_the_session_is_put_there_sends_the_statement_elsewhere(text: str) -> None:
    async def work() -> None:
        async with scene() as stage:
            client = await stage.connect(autocommit=True)
            for server in stage.servers:
                server.takes_s = 0.3  # also for what puts the session there
            asked = asyncio.create_task(ask(client, text))
            await until(lambda: bool(stage.ran("SET NAMES")))
            first = stage.server_of("SET NAMES")
            await stage.drain(first)
            assert await soon(asked) == (WHOLE if text == READ else 1)
            assert not first.texts(text)

    run_async(work)


def test_the_carrier_itself_writes_nothing_new_to_a_server_that_drains() -> None:
    async def work() -> None:
        async with scene(1) as stage:
            client = await stage.connect()
            assert await ask(client, READ) == WHOLE
            await stage.drain(stage.servers[0])
            carrier, ended = stage.service.carrier, []
            session = next(iter(stage.service.front.clients)).session
            assert session is not None
            request = StatementRequest(
                "read", None, None, 1_000_000, None, False, b"x", False,
                session=session, statement=StatementReader().read(READ.encode()),
                command=b"\x03" + READ.encode(),
                kind=ResponseKind.RESULT, sink=None,  # type: ignore[arg-type]
            )  # fmt: skip
            until_us = stage.service.front.network.now() + 1_000_000
            carrier.start("m-0", until_us, request, lambda outcome, answer, report: ended.append(outcome))
            await until(lambda: bool(ended))
            assert ended == [Outcome.NOT_SENT] and len(stage.ran("FROM tariff")) == 1

    run_async(work)


IN_TRANSACTION = [
    # statement, point, what the client gets, lodgings that took effect
    (LODGE, Point.START, BACK, 0),
    (LODGE, Point.RAN, BACK, 0),
    (READ, Point.ROWS, BACK, 0),
    ("COMMIT", Point.START, UNKNOWN, 0),
    ("COMMIT", Point.RAN, UNKNOWN, 1),
    ("ROLLBACK", Point.START, None, 0),
    ("ROLLBACK", Point.RAN, None, 0),
    ("BEGIN", Point.RAN, UNKNOWN, 1),  # it commits what is open
]


@pytest.mark.parametrize("what", [What.DIE, What.RESET])
@pytest.mark.parametrize(("text", "point", "expected", "effects"), IN_TRANSACTION)
def test_a_statement_of_a_transaction_whose_server_is_lost(
    text: str, point: Point, expected: tuple[int, str] | None, effects: int, what: What
) -> None:
    async def work() -> None:
        async with scene() as stage:
            client = await stage.connect()
            await ask(client, "BEGIN")
            assert await ask(client, "INSERT INTO lodged VALUES ('T1', 'desk')") == 1
            stage.server_of("'T1'").faults.append(Fault(text, point, what))
            answer = await ask(client, text)
            if expected is None:
                assert answer == 0
            else:
                assert fails(answer, expected)
            assert stage.lodged("T1") == effects
            assert len(stage.ran("'T1'")) == 1
            # The session goes on, without the transaction.
            assert await ask(client, READ) == WHOLE
            assert stage.service.carrier.pool.in_use_count(stage.servers[0].name) == 0

    run_async(work)


def test_after_an_error_in_a_transaction_nothing_is_called_rolled_back_that_may_have_committed() -> None:
    """A deadlock ends the transaction, which its error does not say: what follows commits by itself."""

    async def work() -> None:
        async with scene(1) as stage:
            server = stage.servers[0]
            client = await stage.connect(autocommit=True)
            await ask(client, "BEGIN")
            await ask(client, "INSERT INTO lodged VALUES ('T1', 'desk')")
            (session,) = [each for each in server.sessions.values() if each.sql.in_transaction]
            session.sql.run(session.sql.parse("ROLLBACK")[0])  # as a deadlock does
            assert (await ask(client, "SELECT absent FROM tariff"))[0] == 1054
            server.faults.append(Fault(LODGE, Point.RAN, What.RESET))
            assert fails(await ask(client, LODGE), UNKNOWN)
            assert (stage.lodged("T1"), stage.lodged("L1")) == (0, 1)
            # With its word that all is well, the transaction is one again.
            await ask(client, "BEGIN")
            assert (await ask(client, "SELECT absent FROM tariff"))[0] == 1054
            assert await ask(client, READ) == WHOLE
            server.faults.append(Fault("'L2'", Point.RAN, What.RESET))
            assert fails(await ask(client, "INSERT INTO lodged VALUES ('L2', 'x')"), BACK)
            assert stage.lodged("L2") == 0

    run_async(work)


@pytest.mark.parametrize(("text", "is_told"), [(LODGE, True), ("COMMIT", True), ("ROLLBACK", False)])
def test_a_transaction_whose_server_dies_between_statements_is_rolled_back_and_the_next_one_says_so(
    text: str, is_told: bool
) -> None:
    async def work() -> None:
        async with scene() as stage:
            client = await stage.connect()
            await ask(client, "BEGIN")
            await ask(client, "INSERT INTO lodged VALUES ('T1', 'desk')")
            stage.server_of("'T1'").die()
            await until(lambda: stage.service.front.busy == 0)
            answer = await ask(client, text)
            assert fails(answer, BACK) if is_told else answer == 0
            assert stage.lodged("T1") == 0 and not stage.ran(LODGE)
            await ask(client, "BEGIN")
            assert await ask(client, LODGE) == 1
            assert await ask(client, "COMMIT") == 0
            assert stage.lodged("L1") == 1

    run_async(work)


def test_a_transaction_may_commit_within_its_part_of_the_grace() -> None:
    async def work() -> None:
        async with scene(drain={"grace_ms": 20_000, "finish_ms": 20_000}) as stage:
            client = await stage.connect()
            await ask(client, "BEGIN")
            assert await ask(client, LODGE) == 1
            server = stage.server_of(LODGE)
            await stage.drain(server)
            assert await ask(client, "INSERT INTO lodged VALUES ('L2', 'x')") == 1
            assert await ask(client, "COMMIT") == 0
            assert (stage.lodged("L1"), stage.lodged("L2")) == (1, 1)
            before = len(server.ran)
            assert await ask(client, READ) == WHOLE
            assert len(server.ran) == before  # what needs no transaction went elsewhere

    run_async(work)


def test_past_its_part_of_the_grace_a_transaction_is_rolled_back_and_nothing_more_is_sent() -> None:
    async def work() -> None:
        async with scene(drain={"grace_ms": 500, "finish_ms": 0}) as stage:
            client = await stage.connect()
            await ask(client, "BEGIN")
            assert await ask(client, LODGE) == 1
            server = stage.server_of(LODGE)
            before = len(server.ran)
            await stage.drain(server)
            await until(lambda: not server.sessions)  # and so the server has rolled it back
            assert fails(await ask(client, "COMMIT"), BACK)
            assert stage.lodged("L1") == 0
            assert len(server.ran) == before

    run_async(work)


@pytest.mark.parametrize("text", ["COMMIT", "INSERT INTO lodged VALUES ('L2', 'x')"])
def test_a_drain_during_a_statement_lets_that_one_end(text: str) -> None:
    async def work() -> None:
        async with scene(drain={"grace_ms": 500, "finish_ms": 0}) as stage:
            client = await stage.connect()
            await ask(client, "BEGIN")
            await ask(client, LODGE)
            server = stage.server_of(LODGE)
            server.takes_s = 0.3
            answer = asyncio.create_task(ask(client, text))
            await until(lambda: bool(server.texts(text)))
            await stage.drain(server)
            assert await soon(answer) == (0 if text == "COMMIT" else 1)
            if text == "COMMIT":
                assert stage.lodged("L1") == 1
            else:
                assert fails(await ask(client, "COMMIT"), BACK)
                assert stage.lodged("L1") == stage.lodged("L2") == 0

    run_async(work)


def test_a_session_with_state_at_a_server_that_is_lost_hears_so_and_ends() -> None:
    async def work() -> None:
        async with scene() as stage:
            client = await stage.connect()
            await ask(client, "SET @code = '0202'")
            assert await ask(client, "SELECT note FROM tariff WHERE code = @code") == [("beef",)]
            assert "Held for: user variables: 1" in stage.service.front.statistics()
            holder = next(each for each in stage.servers if each.texts("@code"))
            holder.die()
            await until(lambda: stage.service.front.busy == 0)
            assert fails(await ask(client, READ), (1105, "the server that held this session's state"))
            await until(lambda: not stage.service.front.clients)

    run_async(work)


@pytest.mark.parametrize(("text", "code"), [(READ, 3024), (LODGE, 1105)])
def test_a_statement_past_its_time_is_answered_at_once(text: str, code: int) -> None:
    async def work() -> None:
        async with scene(1) as stage:
            client = await stage.connect(autocommit=True)
            stage.servers[0].faults.append(Fault(text, Point.START, What.HANG))
            answer = await ask(client, f"/*micadeck: deadline_ms=300*/ {text}")
            assert answer[0] == code
            await until(lambda: stage.service.engine.open_requests == 0)
            assert stage.service.carrier.pool.in_use_count("m-0") == 0  # its connection is closed

    run_async(work)


def test_a_statement_past_its_time_is_killed_where_that_is_allowed() -> None:
    async def work() -> None:
        async with scene(1, kill=True) as stage:
            client = await stage.connect(autocommit=True)
            await ask(client, READ)  # a connection is up: a statement that expires unwritten needs no KILL
            server = stage.servers[0]
            before = server.commands["QUERY"]
            answer = await ask(client, "/*micadeck: deadline_ms=1000*/ SELECT SLEEP(20)")
            assert answer[0] == 3024
            assert [each.text for each in server.ran][-1].endswith("SLEEP(20)")
            await until(lambda: server.commands["QUERY"] >= before + 2)  # KILL QUERY came

    run_async(work)


def test_a_client_that_goes_away_half_way_leaves_nothing_behind() -> None:
    async def work() -> None:
        async with scene(1) as stage:
            for text in (READ, LODGE, "SELECT * FROM wide"):
                client = await stage.connect(autocommit=True)
                server = stage.servers[0]
                server.takes_s = 0.2
                asked = asyncio.create_task(ask(client, text))
                await until(lambda text=text, server=server: bool(server.texts(text)))  # type: ignore[misc]
                asked.cancel()
                client.close()
                await until(lambda: stage.service.engine.open_requests == 0)
                await until(lambda: stage.service.carrier.pool.in_use_count("m-0") == 0)
            assert stage.service.front.clients == set()
            assert stage.service.carrier.held_bytes == 0

    run_async(work)


@pytest.mark.parametrize("what", [What.DIE, What.RESET])
def test_a_result_that_streams_ends_with_an_error_where_its_server_dies(what: What) -> None:
    async def work() -> None:
        async with scene(limits={"hold_bytes": 64 << 10}) as stage:
            for server in stage.servers:
                server.wide, server.wide_rows = True, 64
                server.database.run("CREATE TABLE wide (w TEXT)")
            client = await stage.connect()
            fault_all(stage, "FROM wide", Point.LAST, what)
            assert fails(await ask(client, "SELECT * FROM wide"), (1317, "not whole"))
            assert len(stage.ran("FROM wide")) == 1  # rows went out: it is not read again
            rows = await ask(client, "SELECT * FROM wide")
            assert len(rows) == 64 and all(len(row[0]) == 16 << 10 for row in rows)
            assert stage.service.carrier.held_bytes == 0

    run_async(work)


def test_without_any_server_a_statement_is_refused_as_harmless() -> None:
    async def work() -> None:
        async with scene() as stage:
            client = await stage.connect(autocommit=True)
            for server in stage.servers:
                await stage.drain(server)
            for text in (READ, LODGE, "BEGIN"):
                assert fails(await ask(client, text), (1213, "running it again is harmless"))
            assert stage.lodged("L1") == 0

    run_async(work)
