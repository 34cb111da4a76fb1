"""Classification of statements, routes, session state on connections, and the pool."""

from __future__ import annotations

import random
import re
import time
import tracemalloc
from unittest import mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from micadeck.mysql import long_texts
from micadeck.mysql.pool import Dial, Full, Pool, PoolLimits, Use
from micadeck.mysql.protocol.constants import Capability, Command, Status
from micadeck.mysql.protocol.messages import Ok
from micadeck.mysql.routes import Routes, Rule
from micadeck.mysql.session import ConnectionState, Session, must_reset, state_commands
from micadeck.mysql.statement import Kind, Pin, Refusal
from micadeck.mysql.statements import StatementReader, classify
from micadeck.policy.settings import Idempotency, ServiceClass

# ---------------------------------------------------------------------------------------------------
# Statements

K, P = Kind, Pin
_READS = """
SELECT 1
SELECT a, `b` FROM t WHERE c = 'x''y' AND d IN (1, 2) LIMIT 3
(SELECT 1) UNION (SELECT 2)
WITH x AS (SELECT 1) SELECT * FROM x
SELECT COUNT(*), MAX(x) FROM t GROUP BY y HAVING COUNT(*) > 1 ORDER BY 1
SELECT @@version, @@session.sql_mode
SELECT REPLACE(a, 'b', 'c'), INSERT('a', 1, 0, 'b') FROM t
SELECT CAST('x' AS CHAR(60)) AS anon_1, SUBSTRING(x FROM 1 FOR 2) FROM t
SELECT 'DELETE FROM t; GET_LOCK(1)', "FOR UPDATE" FROM t
SELECT ROW_NUMBER() OVER (PARTITION BY a ORDER BY b) FROM t
/* a plain comment */ SELECT 1
SELECT 1; SELECT 2;
SHOW TABLES
EXPLAIN SELECT * FROM t
DESCRIBE t
""".strip().splitlines()
_NOT_READS = """
SELECT * FROM t FOR UPDATE
SELECT * FROM t FOR SHARE
SELECT * FROM t LOCK IN SHARE MODE
SELECT GET_LOCK('a', 1)
SELECT IS_FREE_LOCK('a')
SELECT @a
SELECT @a := 5
SELECT 1 INTO @a
SELECT 1 INTO OUTFILE '/tmp/x'
SELECT LAST_INSERT_ID() FROM t
SELECT LAST_INSERT_ID(5)
SELECT FOUND_ROWS()
SELECT ROW_COUNT(), 1
SELECT SQL_CALC_FOUND_ROWS * FROM t
SELECT own(1)
SELECT s.own(1)
SELECT `own`(1)
SELECT NEXTVAL(s)
SELECT CONNECTION_ID()
SELECT MASTER_POS_WAIT('a', 1)
SELECT LOAD_FILE('a')
SELECT 1 -- x
SELECT 5--1; DELETE FROM t
SELECT 1 # x
SELECT /*+ SET_VAR(a=1) */ 1
SELECT /*! SQL_CALC_FOUND_ROWS */ 1
/*!50000 DELETE FROM t */
/* a /* b */ DELETE FROM t */ SELECT 1
SELECT 'a\\'; DELETE FROM t; -- '
SELECT 1; DELETE FROM t
WITH x AS (SELECT 1) DELETE FROM t
EXPLAIN ANALYZE SELECT 1
SHOW WARNINGS
CALL p()
DO SLEEP(1)
TRUNCATE t
HANDLER t OPEN
nonsense
""".strip().splitlines()


@pytest.mark.parametrize("text", _READS)
def test_statements_that_are_proved_reads(text: str) -> None:
    read = StatementReader().read(text.encode())
    assert read.kind is Kind.READ and not read.pins and read.is_safe and read.refusal is None


@pytest.mark.parametrize("text", _NOT_READS)
def test_statements_that_are_not_proved_reads_are_unsafe(text: str) -> None:
    assert not StatementReader().read(text.encode()).is_safe


_KINDS: list[tuple[str, Kind, set[Pin], object]] = [
    ("INSERT INTO t VALUES (1, 'x')", K.WRITE, set(), None),
    ("UPDATE t SET a = 1", K.WRITE, set(), None),
    ("UPDATE t SET a = @x := 5", K.WRITE, {P.USER_VARIABLE}, None),
    ("BEGIN", K.BEGIN, set(), None),
    ("START TRANSACTION READ ONLY", K.BEGIN, set(), None),
    ("COMMIT", K.COMMIT, set(), None),
    ("COMMIT AND CHAIN", K.OPAQUE, set(), None),
    ("ROLLBACK", K.ROLLBACK, set(), None),
    ("RELEASE SAVEPOINT a", K.SAVEPOINT, set(), None),
    ("ROLLBACK TO SAVEPOINT a", K.SAVEPOINT, set(), None),
    ("SAVEPOINT a", K.SAVEPOINT, set(), None),
    ("SET autocommit = 0", K.SET, set(), (("autocommit", "0"),)),
    ("SET NAMES utf8mb4 COLLATE utf8mb4_bin", K.SET, set(), (("names", "utf8mb4 COLLATE utf8mb4_bin"),)),
    (
        "SET SESSION sql_mode = '', @@time_zone = '+00:00'",
        K.SET,
        set(),
        (("sql_mode", "''"), ("time_zone", "'+00:00'")),
    ),
    ("SET @@session.wait_timeout = -5", K.SET, set(), (("wait_timeout", "-5"),)),
    ("SET a = 'it''s'", K.SET, set(), (("a", "'it''s'"),)),
    ("SET @a = 1", K.OPAQUE, {P.USER_VARIABLE}, ()),
    ("SET GLOBAL a = 1", K.OPAQUE, set(), ()),
    ("SET sql_mode = CONCAT(@@sql_mode, ',X')", K.OPAQUE, {P.VARIABLE}, ()),
    ("SET timestamp = 5", K.OPAQUE, {P.VARIABLE}, ()),
    ("SET TRANSACTION READ ONLY", K.OPAQUE, {P.NEXT_TRANSACTION}, ()),
    (
        "SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED",
        K.SET,
        set(),
        (("transaction_isolation", "'READ-COMMITTED'"),),
    ),
    ("USE other", K.USE, set(), None),
    ("CREATE TEMPORARY TABLE t (a INT)", K.OPAQUE, {P.TEMPORARY_TABLE}, None),
    ("CREATE TABLE t (a INT)", K.OPAQUE, set(), None),
    ("LOCK TABLES t READ", K.OPAQUE, {P.LOCK}, None),
    ("SELECT GET_LOCK('a', 1)", K.WRITE, {P.LOCK}, None),
    ("PREPARE s FROM 'SELECT 1'", K.OPAQUE, {P.SQL_PREPARE, P.NOT_UNDERSTOOD}, None),
    ("CALL p()", K.OPAQUE, {P.NOT_UNDERSTOOD}, None),
    ("XA START 'a'", K.OPAQUE, {P.NOT_UNDERSTOOD}, None),
    ("SET @a = 1; SELECT 1", K.OPAQUE, {P.USER_VARIABLE}, ()),
    ("USE other; SELECT 1", K.OPAQUE, {P.VARIABLE}, None),
]


@pytest.mark.parametrize(("text", "kind", "pins", "assignments"), _KINDS, ids=[each[0] for each in _KINDS])
def test_the_kind_pins_and_assignments_of_a_statement(
    text: str, kind: Kind, pins: set[Pin], assignments: object
) -> None:
    read = StatementReader().read(text.encode())
    assert (read.kind, set(read.pins)) == (kind, pins)
    if assignments is not None:
        assert read.assignments == assignments


@pytest.mark.parametrize(
    ("text", "refusal"),
    [
        ("KILL 5", Refusal.KILL),
        ("KILL QUERY 5", Refusal.KILL),
        ("LOAD DATA LOCAL INFILE 'x' INTO TABLE t", Refusal.LOCAL_INFILE),
        ("CHANGE MASTER TO x", Refusal.REPLICATION),
        ("RESET MASTER", Refusal.REPLICATION),
        ("SHUTDOWN", Refusal.SHUTDOWN),
        ("SELECT 1; KILL 5", Refusal.KILL),
    ],
)
def test_unsupported_statements_are_refused(text: str, refusal: Refusal) -> None:
    assert StatementReader().read(text.encode()).refusal is refusal


def test_a_shape_is_classified_once_and_literals_do_not_change_it() -> None:
    reader = StatementReader(max_shapes=2)
    for number in range(50):
        assert reader.read(b"SELECT a FROM t WHERE b = '%d' AND c > %d" % (number, number)).is_safe
    assert reader.cache_misses == 1
    for count in (1, 2, 5_000):
        numbers = ", ".join(map(str, range(count)))
        assert reader.read(f"SELECT a FROM t WHERE b IN ({numbers})".encode()).is_safe
        rows = ", ".join(f"({each}, 'x')" for each in range(count))
        assert reader.read(f"INSERT INTO t VALUES {rows}".encode()).kind is Kind.WRITE
    assert reader.cache_misses == 5  # a shape each for lists of one, two and many; one for rows
    assert not reader.read(b"SELECT a FROM t WHERE b = '1' AND c > 1 FOR UPDATE").is_safe
    assert reader.read(b"SELECT 'a; DELETE FROM t'").is_safe
    assert not reader.read(b"SELECT 'a'; DELETE FROM t").is_safe
    reader.read(b"SET a = 1")
    assert reader.read(b"SET a = 2").assignments == (("a", "2"),)


_UNSAFE_SUFFIXES = [
    "FOR UPDATE",
    "INTO OUTFILE 'x'",
    "; DELETE FROM t",
    "INTO @a",
    "LOCK IN SHARE MODE",
    ", own(1)",
    ", @b := 1",
]
_SAFE_COLUMNS = [
    "a",
    "'x'",
    "'it''s'",
    "1",
    "`q`",
    '"z"',
    "t.a",
    "NOW()",
    "(SELECT 1)",
    "a + 1",
    "0x41",
    "NULL",
]


@given(st.lists(st.sampled_from(_SAFE_COLUMNS), min_size=1, max_size=5), st.sampled_from(_UNSAFE_SUFFIXES))
def test_a_safe_prefix_does_not_hide_an_unsafe_suffix(columns: list[str], suffix: str) -> None:
    text = f"SELECT {', '.join(columns)}"
    end = f"{text}{suffix}" if suffix.startswith(",") else f"{text} FROM t {suffix}"
    assert classify(f"{text} FROM t".encode()).is_safe
    assert not StatementReader().read(end.encode()).is_safe


def test_a_statement_that_is_expensive_to_parse_is_unsafe() -> None:
    long = " OR ".join(f"b{number} = c" for number in range(1_000))
    assert not StatementReader().read(f"SELECT a FROM t WHERE {long}".encode()).is_safe
    assert not StatementReader().read(b"SELECT " + b"(" * 3_000 + b"1" + b")" * 3_000).is_safe


@pytest.mark.parametrize("end", [b"", b"SELECT a FROM t", b"INSERT INTO t VALUES (1)"], ids=str)
def test_a_long_text_that_begins_with_blanks_is_classified(end: bytes) -> None:
    # Guards against an exception in place of a classification, which closes the client's connection.
    assert not StatementReader().read(b" " * 5_000 + end).is_safe


MEGABYTES_12 = 12 << 20
UNPINNED, PINNED = frozenset[Pin](), frozenset((P.NOT_UNDERSTOOD,))
STILL_S = 0.5  # after so long without the loop, HTTP answers beside it are lost
_LONG_TEXTS = {
    "one literal": (b"INSERT INTO t VALUES ('", b"x", b"')"),
    "a literal with separators": (b"INSERT INTO t VALUES ('", b"x;", b"')"),
    "quotes in a literal": (b"INSERT INTO t VALUES ('", b"''", b"')"),
    "literals with separators": (b"INSERT INTO t VALUES (", b"';',", b"'x')"),
    "an open literal": (b"INSERT INTO t VALUES ('", b"x", b""),
    "short literals": (b"INSERT INTO t VALUES ", b"('a','b'),", b"('c','d')"),
    "numbers": (b"SELECT a FROM t WHERE b IN (", b"1,", b"1)"),
    "rows of two lengths": (b"INSERT INTO t VALUES ", b"(1,2),(1,2,3),", b"(1)"),
    "blanks": (b"INSERT INTO t VALUES (1,", b" ", b"2)"),
    "leading blanks": (b"", b" ", b"SELECT 1"),
    "words": (b"SELECT ", b"abc ", b"FROM t"),
    "double quotes": (b'INSERT INTO t VALUES ("', b"x", b'")'),
    "backslashes": (b"INSERT INTO t VALUES ('", b"x\\'", b"')"),
    "a hint": (b"/* micadeck:", b"a=b,", b"*/ SELECT 1"),
    "a comment": (b"/*", b"a ", b"*/ SELECT 1"),
    "comments": (b"", b"/**/", b"SELECT 1"),
    "separators": (b"SELECT 1", b";", b""),
    "digits": (b"INSERT INTO t VALUES (", b"1", b")"),
    "parentheses": (b"SELECT ", b"(", b"1"),
    "SET": (b"SET x = '", b"x", b"'"),
}


def long_text(form: str, size: int) -> bytes:
    begin, unit, end = _LONG_TEXTS[form]
    return begin + unit * (size // len(unit)) + end


@pytest.mark.parametrize("form", _LONG_TEXTS)
def test_a_text_of_megabytes_is_classified_in_little_time_and_memory(form: str) -> None:
    # Guards against a statement that takes the process over its memory limit and holds up its event loop.
    text = long_text(form, MEGABYTES_12)
    began = time.process_time()
    read = StatementReader().read(text)
    assert time.process_time() - began < STILL_S
    assert not read.is_safe
    tracemalloc.start()
    try:
        StatementReader().read(text)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < len(text) + (1 << 20)  # one copy, as of a text without its blanks


@pytest.mark.parametrize(
    ("text", "kind", "count", "pins"),
    [
        (b"INSERT INTO t VALUES ('%b')", K.WRITE, 1, UNPINNED),
        (b"INSERT INTO t VALUES ('%b;it''s; one')", K.WRITE, 1, UNPINNED),
        (b"/* a comment */ INSERT INTO t VALUES ('%b') ; ", K.WRITE, 1, UNPINNED),
        (b"SELECT a FROM t WHERE b = '%b'", K.WRITE, 1, UNPINNED),
        (b"INSERT INTO t VALUES ('%b'); DELETE FROM t", K.OPAQUE, 2, PINNED),
        (
            b"INSERT INTO t VALUES ('it''s', '%b'); DELETE FROM t WHERE a = ';'",
            K.OPAQUE,
            2,
            {P.NOT_UNDERSTOOD},
        ),
        (b'INSERT INTO t VALUES ("%b;")', K.OPAQUE, 2, PINNED),  # a name or a literal
        (b"INSERT INTO t VALUES ('%b\\'; DELETE FROM t; ')", K.OPAQUE, 2, PINNED),
        (b"INSERT INTO t VALUES ('%b', @a)", K.OPAQUE, 1, PINNED),
        (b"CALL lodge('%b')", K.OPAQUE, 1, PINNED),
        (b"BEGIN; SELECT '%b'", K.OPAQUE, 2, PINNED),
        (b"INSERT INTO t VALUES ('%b', Get_Lock('a', 1))", K.OPAQUE, 1, PINNED),
        (b"SELECT SQL_CALC_FOUND_ROWS a FROM t WHERE b = '%b'", K.OPAQUE, 1, PINNED),
    ],
)
@pytest.mark.parametrize("size", [70_000, 200_001])
def test_a_long_text_counts_as_what_its_first_word_and_separators_say(
    text: bytes, kind: Kind, count: int, pins: frozenset[Pin], size: int
) -> None:
    read = StatementReader().read(text % (b"x" * size))
    assert (read.kind, read.count, read.pins) == (kind, count, pins)
    assert not read.is_safe and not read.pure_calls


@pytest.mark.parametrize(
    ("value", "needs_insert_id", "pins"),
    [
        (b"1", False, UNPINNED),
        (b"LAST_INSERT_ID()", True, UNPINNED),
        (b"last_insert_id ( )", True, UNPINNED),
        (b"Last_Insert_Id(7)", False, PINNED),  # which sets it
    ],
)
def test_a_long_text_is_known_to_read_the_last_insert_id(
    value: bytes, needs_insert_id: bool, pins: frozenset[Pin]
) -> None:
    # Guards against the id of another session, which used the same server connection.
    read = StatementReader().read(b"INSERT INTO t VALUES (%b, '%b')" % (value, b"x" * 70_000))
    assert (read.needs_insert_id, read.pins) == (needs_insert_id, pins)


@pytest.mark.parametrize(
    ("text", "refusal"),
    [
        (b"LOAD DATA LOCAL INFILE '%b' INTO TABLE t", Refusal.LOCAL_INFILE),
        (b"KILL /* %b */ 1", Refusal.KILL),
        (b"/* a comment */ SHUTDOWN %b", Refusal.SHUTDOWN),
    ],
)
def test_a_long_text_is_refused_as_a_short_one(text: bytes, refusal: Refusal) -> None:
    assert StatementReader().read(text % (b"x" * 70_000)).refusal is refusal


def test_the_shape_of_a_long_text_holds_nothing_of_its_literals() -> None:
    # An operator's rule may trust a shape: what a client writes into a literal must not match it.
    text = b"INSERT INTO t VALUES (1, 'it''s', '" + b"CALL trusted() " * 10_000 + b"')"
    assert StatementReader().read(text).shape == "INSERT INTO t VALUES (?, ?, "


@given(st.text("';a \n", max_size=30), st.integers(1, 7))
def test_separators_are_found_outside_of_literals_alone(text: str, window: int) -> None:
    outside = re.sub(r"'[^']*('|$)", "", text.rstrip("; \n"))
    with mock.patch.object(long_texts, "_WINDOW_BYTES", window):
        assert long_texts.has_further_statement(text.encode()) == (";" in outside)


@given(st.binary(max_size=200))
def test_any_bytes_are_classified(raw: bytes) -> None:
    read = StatementReader().read(raw)
    if read.is_safe:
        first = re.sub(rb"^(\s|/\*[^!+*/M][^*/]*\*/|/\*\*/|\()*", b"", raw)[:5].lower()
        assert first[:3] in (
            b"sel",
            b"wit",
            b"val",
            b"tab",
            b"sho",
            b"des",
            b"exp",
            b"beg",
            b"sta",
            b"set",
            b"use",
        )


# ---------------------------------------------------------------------------------------------------
# Routes

_CLASSES = {
    each.name: each
    for each in (
        ServiceClass("read", 2_000_000, 1_000_000, idempotency=Idempotency.IDEMPOTENT),
        ServiceClass("slow", 9_000_000, 1_000_000, idempotency=Idempotency.IDEMPOTENT),
        ServiceClass("write", 4_000_000, 1_000_000),
    )
}
_ROUTES = Routes(
    [
        Rule("slow", "write", user="report", tenant="acme"),
        Rule("read", "write", schema="duty", shape=re.compile(r"^select rate_of", re.IGNORECASE), trust=True),
        Rule("read", "write"),
    ],
    _CLASSES,
    ["acme"],
)


@pytest.mark.parametrize(
    ("text", "user", "schema", "bound", "expected"),
    [
        ("SELECT 1", "desk", "", False, ("read", None, 2_000_000, True)),
        ("SELECT 1", "desk", "", True, ("write", None, 4_000_000, False)),
        ("DELETE FROM t", "desk", "", False, ("write", None, 4_000_000, False)),
        ("SELECT 1", "report", "", False, ("slow", "acme", 9_000_000, True)),
        ("SELECT rate_of('a')", "desk", "duty", False, ("read", None, 2_000_000, True)),
        ("SELECT rate_of('a')", "desk", "", False, ("write", None, 4_000_000, False)),
        (
            "/*micadeck: class=slow, tenant=acme*/ SELECT 1",
            "desk",
            "",
            False,
            ("slow", "acme", 9_000_000, True),
        ),
        ("/*micadeck: class=read*/ DELETE FROM t", "desk", "", False, ("write", None, 4_000_000, False)),
        ("/*micadeck: deadline_ms=50, tenant=x*/ SELECT 1", "desk", "", False, ("read", None, 50_000, True)),
        ("/*micadeck: deadline_ms=99999*/ SELECT 1", "desk", "", False, ("read", None, 2_000_000, True)),
        ("/*micadeck: unsafe*/ SELECT 1", "desk", "", False, ("write", None, 4_000_000, False)),
    ],
)
def test_routes(text: str, user: str, schema: str, bound: bool, expected: tuple[object, ...]) -> None:
    route = _ROUTES.route(StatementReader().read(text.encode()), user, schema, is_bound=bound)
    assert (route.service_class, route.tenant, route.deadline_us, route.is_safe) == expected


# ---------------------------------------------------------------------------------------------------
# Sessions


def _session(schema: bytes | None = None, multi: bool = False) -> Session:
    capabilities = Capability.PROTOCOL_41 | (Capability.MULTI_STATEMENTS if multi else Capability(0))
    return Session("desk", capabilities, "utf8mb4", schema, 4, 100)


def _record(
    session: Session,
    text: str,
    status: Status = Status.AUTOCOMMIT,
    warnings: int = 0,
    last_insert_id: int = 0,
) -> None:
    read = StatementReader().read(text.encode())
    session.start_statement(read)
    session.record_success(read, status, Ok(0, last_insert_id, status), warnings)


def test_state_commands_set_only_differences_in_the_order_of_the_session() -> None:
    session, state = _session(b"tariff"), ConnectionState()
    _record(session, "SET sql_mode = 'ANSI'")
    _record(session, "SET time_zone = '+00:00'")
    query = bytes((Command.QUERY,))
    first = [query + b"SET NAMES utf8mb4, sql_mode = 'ANSI', time_zone = '+00:00'", b"\x02tariff"]
    assert state_commands(state, session, None) == first
    assert state_commands(state, session, None) == []
    other = _session(b"tariff")
    _record(other, "SET time_zone = '+01:00'")
    assert state_commands(state, other, None) == [query + b"SET sql_mode = DEFAULT, time_zone = '+01:00'"]
    _record(other, "USE duty")
    _record(other, "SET NAMES latin1")
    assert state_commands(state, other, None) == [query + b"SET NAMES latin1", b"\x02duty"]
    assert state_commands(state, other, StatementReader().read(b"SELECT LAST_INSERT_ID(), 1")) == []
    _record(other, "INSERT INTO t VALUES (1)", last_insert_id=9)
    assert state_commands(state, other, StatementReader().read(b"SELECT LAST_INSERT_ID(), 1")) == [
        query + b"SET last_insert_id = 9"
    ]
    several = _session(b"duty", multi=True)
    commands = state_commands(
        ConnectionState(schema=b"duty", names="utf8mb4"),
        several,
        StatementReader().read(b"SELECT 1; SELECT 2"),
    )
    assert commands == [bytes((Command.SET_OPTION,)) + b"\0\0"]


@pytest.mark.parametrize(
    ("ran", "asks", "resets"),
    [
        ("SELECT 1", "SELECT 1", False),
        ("INSERT INTO t VALUES (1)", "SELECT 1", False),
        ("INSERT INTO t VALUES (1)", "INSERT INTO t VALUES (2)", False),
        ("INSERT INTO t VALUES (1)", "SELECT @a", True),  # a trigger may have set it
        ("INSERT INTO t VALUES (own())", "SELECT 1", True),
        ("SELECT @a", "SELECT 1", True),
        ("CREATE TABLE t (a INT)", "SELECT 1", True),
        ("SELECT 1", "SHOW WARNINGS", True),
    ],
)
def test_a_connection_is_reset_between_sessions_if_state_may_remain(
    ran: str, asks: str, resets: bool
) -> None:
    state = ConnectionState()
    state.record(StatementReader().read(ran.encode()), Status.AUTOCOMMIT, Ok(), failed=False)
    assert must_reset(state, _session(), StatementReader().read(asks.encode())) is resets
    state.reset()
    assert not must_reset(state, _session(), StatementReader().read(b"SELECT @a"))


def test_which_statements_pin_and_unpin_a_session() -> None:
    session = _session()
    _record(session, "BEGIN", Status.IN_TRANS)
    assert session.pins == {Pin.TRANSACTION} and not session.has_server_state
    _record(session, "SELECT @a", Status.IN_TRANS)
    assert session.has_server_state
    _record(session, "COMMIT", Status.AUTOCOMMIT)
    assert session.pins == {Pin.USER_VARIABLE}
    session.reset()
    assert not session.pins
    _record(session, "SET TRANSACTION READ ONLY")
    _record(session, "BEGIN", Status.IN_TRANS)
    _record(session, "COMMIT")
    assert not session.pins  # it applied to one transaction
    _record(session, "INSERT INTO t VALUES (1)", warnings=1)
    assert session.pins == {Pin.DIAGNOSTICS}
    session.start_statement(StatementReader().read(b"SHOW WARNINGS"))
    assert session.pins == {Pin.DIAGNOSTICS}
    session.start_statement(StatementReader().read(b"SELECT 1"))
    assert not session.pins
    _record(session, "SELECT GET_LOCK('a', 1)")
    assert session.connection_lost() and session.pins == {Pin.LOCK}


# ---------------------------------------------------------------------------------------------------
# The pool


def test_the_pool_keeps_its_limits_under_random_operations() -> None:
    rng = random.Random(5)
    limits = PoolLimits(max_connections=12, max_connections_per_server=5, idle_us=1_000)
    pool: Pool[int] = Pool(limits)
    free: list[tuple[int, str]] = []
    in_use: list[tuple[int, str]] = []
    owners: dict[int, str] = {}
    dialling: list[str] = []
    now = number = 0
    seen = {"use": 0, "dial": 0, Full.SERVER: 0, Full.ALL: 0}
    for _ in range(6_000):
        now += rng.randrange(40)
        server, kind = f"s{rng.randrange(4)}", rng.choice("ab")
        match rng.randrange(6):
            case 0 | 1 | 2:
                what = pool.assign(server, (kind,), now)
                if isinstance(what, Use):
                    seen["use"] += 1
                    assert (what.connection, kind) in free and owners[what.connection] == server
                    free.remove((what.connection, kind))
                    in_use.append((what.connection, kind))
                elif isinstance(what, Dial):
                    seen["dial"] += 1
                    free = [each for each in free if each[0] not in what.close]
                    dialling.append(server)
                else:
                    seen[what] += 1
            case 3 if dialling:
                server = dialling.pop()
                if rng.random() < 0.8:
                    number += 1
                    owners[number] = server
                    pool.opened(server, number)
                    in_use.append((number, kind))
                else:
                    pool.end_dial(server)
            case 4 if in_use:
                connection, kind = in_use.pop(rng.randrange(len(in_use)))
                if rng.random() < 0.8:
                    assert pool.release(connection, kind, now)
                    free.append((connection, kind))
                else:
                    pool.closed(connection)
            case 5:
                for connection in pool.expired(now):
                    pool.closed(connection)
                    free = [each for each in free if each[0] != connection]
        assert pool.count == len(free) + len(in_use) + len(dialling) <= limits.max_connections
        for name in ("s0", "s1", "s2", "s3"):
            held = sum(owners[each] == name for each, _ in free + in_use) + dialling.count(name)
            assert held <= limits.max_connections_per_server
            assert pool.idle_count(name) == sum(owners[each] == name for each, _ in free)
    assert all(seen.values())
