"""Runs MySQL's statements of a session on SQLite.

sqlglot translates them; what SQLite lacks (variables, `LAST_INSERT_ID()`, locks, schemas) is done here.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import sqlglot
from sqlglot import exp
from sqlglot.errors import SqlglotError

Value = None | int | float | str | bytes

VARIABLES: dict[str, Value] = {
    "autocommit": 1,
    "sql_mode": "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES",
    "time_zone": "SYSTEM",
    "transaction_isolation": "REPEATABLE-READ",
    "tx_isolation": "REPEATABLE-READ",
    "transaction_read_only": 0,
    "lower_case_table_names": 0,
    "version_comment": "stand-in",
    "character_set_client": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "collation_connection": "utf8mb4_general_ci",
    "max_allowed_packet": 64 << 20,
    "wait_timeout": 28_800,
    "sql_auto_is_null": 0,
    "warning_count": 0,
    "error_count": 0,
}


class SqlError(Exception):
    """An ERR packet."""

    def __init__(self, code: int, state: str, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.state = state
        self.text = text


class Busy(Exception):
    """Another session holds the lock; retry."""


@dataclass
class Result:
    """Rows, or counts of a change."""

    columns: list[str] | None = None
    rows: list[tuple[Value, ...]] = field(default_factory=list)
    affected: int = 0
    insert_id: int = 0
    warnings: int = 0


class Database:
    """The data that a server's sessions share."""

    _next_id = 1

    def __init__(self, schemas: Sequence[str] = ("tariff",)) -> None:
        self.uri = f"file:standin-{id(self)}-{Database._next_id}?mode=memory&cache=shared"
        Database._next_id += 1
        self.schemas = set(schemas)
        # Tables that only get inserts, which are applied at commit: SQLite locks the whole database, while
        # MySQL would not make such transactions wait for each other.
        self.append_only: set[str] = set()
        self.locks: dict[str, int] = {}  # of GET_LOCK: the holder's thread
        self._connection = self.connect()  # keeps the database in memory

    def connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self.uri, uri=True, isolation_level=None, check_same_thread=False)
        connection.execute("PRAGMA read_uncommitted = 1")
        return connection

    def run(self, sql: str) -> list[tuple[Any, ...]]:
        """Run a statement in SQLite's dialect, for tests."""
        return self._connection.execute(sql).fetchall()

    def close(self) -> None:
        self._connection.close()


class SqlSession:
    """A connection's session."""

    def __init__(self, database: Database, thread: int, user: str) -> None:
        self._database = database
        self._thread = thread
        self._user = user
        self.schema: str | None = None
        self.ran = 0
        self._start()

    def _start(self) -> None:
        self._db = self._database.connect()
        self._pending_inserts: list[str] = []  # into append-only tables, until the commit
        self.variables: dict[str, Value] = dict(VARIABLES)
        self.user_variables: dict[str, Value] = {}
        self.insert_id = 0
        self.row_count = -1
        self.found_rows = 0
        self.warnings: list[tuple[str, int, str]] = []
        for name, count, call in (
            ("user_variable", 1, lambda name: self.user_variables.get(name.lower())),
            ("system_variable", 1, self._variable),
            ("mysql_database", 0, lambda: self.schema),
            ("mysql_version", 0, lambda: "8.0.36-standin"),
            ("mysql_user", 0, lambda: f"{self._user}@localhost"),
            ("connection_id", 0, lambda: self._thread),
            ("last_insert_id", 0, lambda: self.insert_id),
            ("found_rows", 0, lambda: self.found_rows),
            ("row_count", 0, lambda: self.row_count),
            ("get_lock", 2, self._get_lock),
            ("release_lock", 1, self._release_lock),
            ("now", 0, lambda: time.strftime("%Y-%m-%d %H:%M:%S")),
            ("sleep", 1, lambda seconds: 0),
            ("concat", -1, lambda *parts: "".join(str(part) for part in parts)),
        ):
            self._db.create_function(name, count, call)

    def end(self) -> None:
        """Release its locks and roll back its transaction."""
        self._database.locks = {k: v for k, v in self._database.locks.items() if v != self._thread}
        if self._db.in_transaction:
            self._db.rollback()
        self._db.close()

    def reset(self) -> None:
        self.end()
        self._start()

    @property
    def in_transaction(self) -> bool:
        return self._db.in_transaction

    @property
    def autocommit(self) -> bool:
        return bool(self.variables["autocommit"])

    def use(self, schema: str) -> Result:
        if schema not in self._database.schemas:
            raise SqlError(1049, "42000", f"Unknown database '{schema}'")
        self.schema = schema
        return Result()

    def _variable(self, name: str) -> Value:
        if name.lower() in ("identity", "last_insert_id"):
            return self.insert_id
        if name.lower() not in self.variables:
            raise ValueError(f"Unknown system variable '{name}'")
        return self.variables[name.lower()]

    def _get_lock(self, name: str, wait: float) -> int:
        if self._database.locks.setdefault(name, self._thread) != self._thread:
            return 0
        return 1

    def _release_lock(self, name: str) -> int:
        return int(self._database.locks.pop(name, None) == self._thread)

    # Statements

    def parse(self, text: str) -> list[exp.Expr]:
        """Raise SqlError if it cannot be parsed."""
        try:
            return [tree for tree in sqlglot.parse(text, read="mysql") if tree is not None]
        except SqlglotError as error:
            raise SqlError(1064, "42000", f"You have an error in your SQL syntax: {error}"[:200]) from None

    def run(self, tree: exp.Expr, parameters: Sequence[Value] = ()) -> Result:
        """Run a statement; raise SqlError, or Busy if it had no effect."""
        self.ran += 1
        words = tree.sql(dialect="mysql").split()
        first = words[0].upper() if words else ""
        is_show = first == "SHOW"
        if not is_show:
            self.warnings = []
        result = self._run_special(tree, first, words)
        if result is None:
            result = self._run_on_sqlite(tree, parameters, first)
        if not is_show and result.columns is None:
            self.row_count = result.affected
        result.warnings = len(self.warnings)
        return result

    def _run_special(self, tree: exp.Expr, first: str, words: list[str]) -> Result | None:
        second = words[1].upper() if len(words) > 1 else ""
        if isinstance(tree, exp.Use):
            return self.use(tree.this.name)
        if isinstance(tree, exp.Set):
            return self._set(tree)
        if (
            isinstance(tree, exp.Transaction)
            or first == "BEGIN"
            or (first, second) == ("START", "TRANSACTION")
        ):
            self._commit()
            self._db.execute("BEGIN")
            return Result()
        if isinstance(tree, exp.Commit) or first == "COMMIT":
            self._commit()
            return Result()
        if isinstance(tree, exp.Rollback) and "TO" not in (word.upper() for word in words):
            self._pending_inserts = []
            if self._db.in_transaction:
                self._db.rollback()
            return Result()
        if first == "SHOW":
            return self._show(words)
        if first == "KILL":
            return Result()
        if first in ("LOCK", "UNLOCK"):
            return Result()
        return None

    def _commit(self) -> None:
        """Commit atomically; raise Busy if nothing was committed."""
        try:
            if self._pending_inserts:
                if not self._db.in_transaction:
                    self._db.execute("BEGIN")
                self._db.execute("SAVEPOINT added")
                for sql in self._pending_inserts:
                    self._db.execute(sql)
            if self._db.in_transaction:
                self._db.execute("COMMIT")
            self._pending_inserts = []
        except sqlite3.OperationalError as error:
            if self._pending_inserts and self._db.in_transaction:
                self._db.execute("ROLLBACK TO added")
            raise _to_sql_error(error) from None

    def _set(self, tree: exp.Set) -> Result:
        for item in tree.expressions:
            body = item.this
            if item.args.get("kind") in ("NAMES", "CHARACTER SET"):
                name = body.name if isinstance(body, exp.Expr) else str(body)
                for scope in ("client", "results", "connection"):
                    self.variables[f"character_set_{scope}"] = name.lower()
                continue
            if not isinstance(body, exp.EQ):
                continue
            target, value = body.this, self._value(body.expression)
            if isinstance(target, exp.Parameter):
                self.user_variables[target.this.name.lower()] = value
                continue
            name = (target.this.name if isinstance(target, exp.SessionParameter) else target.name).lower()
            if name in ("last_insert_id", "identity"):
                self.insert_id = int(value)  # type: ignore[arg-type]
                continue
            if isinstance(value, str) and value.upper() == "DEFAULT":
                value = VARIABLES.get(name)
            if name not in self.variables:
                raise SqlError(1193, "HY000", f"Unknown system variable '{name}'")
            if isinstance(value, str) and value.upper() in ("ON", "OFF"):
                value = int(value.upper() == "ON")
            if name == "autocommit" and value:
                self._commit()
            self.variables[name] = value
        return Result()

    def _value(self, tree: exp.Expr) -> Value:
        if isinstance(tree, (exp.Column, exp.Var)):
            return tree.name
        try:
            row = self._db.execute(f"SELECT {self._translate(tree)}").fetchone()
        except sqlite3.Error as error:
            raise _to_sql_error(error) from None
        value: Value = row[0]
        return value

    def _show(self, words: list[str]) -> Result:
        subject = " ".join(words[1:]).upper()
        if subject.startswith(("WARNINGS", "ERRORS")):
            return Result(["Level", "Code", "Message"], list(self.warnings))
        if subject.startswith(("VARIABLES", "SESSION VARIABLES", "GLOBAL VARIABLES")):
            wanted = words[-1].strip("'").replace("%", "").lower()
            rows: list[tuple[Value, ...]] = [
                (name, str(value)) for name, value in self.variables.items() if wanted in name
            ]
            return Result(["Variable_name", "Value"], rows)
        if subject.startswith("TABLES"):
            rows = self._db.execute("SELECT name FROM sqlite_master WHERE type = 'table'").fetchall()
            return Result([f"Tables_in_{self.schema}"], rows)
        if subject.startswith("DATABASES"):
            return Result(["Database"], [(name,) for name in sorted(self._database.schemas)])
        return Result(["Result"], [])

    def _run_on_sqlite(self, tree: exp.Expr, parameters: Sequence[Value], first: str) -> Result:
        sql = self._translate(tree)
        if not self.autocommit and not self._db.in_transaction and first != "CREATE":
            self._db.execute("BEGIN")
        if first in ("CREATE", "DROP", "ALTER", "TRUNCATE"):
            self._commit()  # as MySQL does
        if isinstance(tree, exp.Insert) and self._db.in_transaction and not parameters:
            table = tree.find(exp.Table)
            if table is not None and table.name in self._database.append_only:
                self._pending_inserts.append(sql)
                return Result(affected=1)
        changes_before = self._db.total_changes
        try:
            cursor = self._db.execute(sql, tuple(parameters))
            rows = cursor.fetchall()
        except sqlite3.Error as error:
            raise _to_sql_error(error) from None
        if cursor.description is not None:
            self.found_rows = len(rows)
            return Result([column[0] for column in cursor.description], rows)
        changed = self._db.total_changes - changes_before
        inserted = cursor.lastrowid or 0 if first in ("INSERT", "REPLACE") and changed else 0
        if inserted:
            self.insert_id = inserted
        return Result(affected=changed, insert_id=inserted)

    def _translate(self, tree: exp.Expr) -> str:
        tree = tree.copy()
        for lock in list(tree.find_all(exp.Lock)):
            lock.pop()
        for node in list(tree.walk()):
            call: exp.Expr | None = None
            if isinstance(node, exp.Parameter):
                call = exp.func("user_variable", exp.Literal.string(node.this.name))
            elif isinstance(node, exp.SessionParameter):
                call = exp.func("system_variable", exp.Literal.string(node.this.name))
            elif isinstance(node, exp.CurrentSchema):
                call = exp.func("mysql_database")
            elif isinstance(node, exp.CurrentVersion):
                call = exp.func("mysql_version")
            elif isinstance(node, exp.Anonymous) and node.name.upper() in ("USER", "CURRENT_USER"):
                call = exp.func("mysql_user")
            elif isinstance(node, exp.Anonymous) and node.name.upper() == "VERSION":
                call = exp.func("mysql_version")
            if call is not None:
                if isinstance(node.parent, exp.Select) and node.arg_key == "expressions":
                    call = exp.alias_(call, node.sql(dialect="mysql"), quoted=True)
                node.replace(call)
        sql = tree.sql(dialect="sqlite")
        return sql.replace("SQL_CALC_FOUND_ROWS ", "").replace("CREATE TEMPORARY", "CREATE TEMP")

    def describe(self, tree: exp.Expr, parameters: int) -> list[str]:
        """The column names of a prepared statement."""
        if not isinstance(tree, exp.Query):
            return []
        try:
            cursor = self._db.execute(
                f"SELECT * FROM ({self._translate(tree)}) LIMIT 0", (None,) * parameters
            )
        except sqlite3.Error as error:
            raise _to_sql_error(error) from None
        return [column[0] for column in cursor.description]


def _to_sql_error(error: sqlite3.Error) -> Exception:
    text = str(error)
    if "locked" in text or "busy" in text:
        return Busy()
    if "UNIQUE" in text:
        return SqlError(1062, "23000", f"Duplicate entry: {text}")
    if "no such table" in text:
        return SqlError(1146, "42S02", f"Table doesn't exist: {text}")
    if "no such column" in text:
        return SqlError(1054, "42S22", f"Unknown column: {text}")
    if "no such function" in text:
        return SqlError(1305, "42000", f"FUNCTION does not exist: {text}")
    return SqlError(1105, "HY000", text)
