"""The classification of a text of one or more statements."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, unique


@unique
class Kind(Enum):
    """What a text of one or more statements does to its session."""

    READ = "read"  # proved safe to run any number of times, on any server
    WRITE = "write"  # changes or locks rows; rolled back with its transaction
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"  # of the transaction, without CHAIN, RELEASE or SAVEPOINT
    SAVEPOINT = "savepoint"  # affects only its transaction
    SET = "set"  # session variables that can be set on another connection too
    USE = "use"
    OPAQUE = "opaque"  # may commit, or has effects that its text does not show


@unique
class Pin(Enum):
    """Why a session can't leave its server connection."""

    TRANSACTION = "a transaction is open"
    USER_VARIABLE = "user variables"
    TEMPORARY_TABLE = "a temporary table"
    LOCK = "a lock held by its connection"
    SQL_PREPARE = "a statement prepared by SQL"
    CURSOR = "an open cursor"
    VARIABLE = "a variable that can't be put elsewhere"
    NEXT_TRANSACTION = "SET TRANSACTION for the next one"
    DIAGNOSTICS = "what the last statement left to be read"
    NOT_UNDERSTOOD = "a statement whose effects can't be told"


@unique
class Refusal(Enum):
    """Statements that are always refused."""

    LOCAL_INFILE = "LOAD DATA LOCAL is not carried"
    KILL = "KILL is not carried: thread ids belong to server connections"
    REPLICATION = "replication commands are not carried"
    SHUTDOWN = "SHUTDOWN is not carried"


@dataclass(frozen=True, slots=True)
class Statement:
    """The classification of a text; `hint` has the options of a leading `/*micadeck: ...*/`."""

    kind: Kind
    pins: frozenset[Pin] = frozenset()
    count: int = 1
    assignments: tuple[tuple[str, str], ...] = ()  # for SET: variable, and value as SQL
    schema: bytes | None = None  # for USE
    refusal: Refusal | None = None
    needs_insert_id: bool = False  # reads LAST_INSERT_ID()
    needs_diagnostics: bool = False  # reads the diagnostics of the previous statement
    makes_diagnostics: bool = False  # SQL_CALC_FOUND_ROWS
    session_value: str | None = None  # answered without a server: "last_insert_id" or "row_count"
    unlocks_tables: bool = False  # UNLOCK TABLES
    pure_calls: bool = False  # calls no function with unknown effects on the session
    shape: str = ""  # the text without its literals
    hint: tuple[tuple[str, str], ...] = ()

    @property
    def is_safe(self) -> bool:
        """Whether it may be repeated outside a transaction when its outcome is unknown."""
        return self.kind in (Kind.READ, Kind.BEGIN, Kind.SET, Kind.USE)

    @property
    def is_plain(self) -> bool:
        """Whether a rollback undoes all its effects, and it can't commit by itself."""
        return self.kind in (Kind.READ, Kind.WRITE, Kind.SET, Kind.USE, Kind.SAVEPOINT) and self.count == 1

    def with_cursor(self) -> Statement:
        """The statement, executed so that its rows are fetched through a cursor."""
        return replace(self, kind=Kind.OPAQUE, pins=self.pins | {Pin.CURSOR})
