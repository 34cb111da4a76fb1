"""Maps statements that no server answered to the errors that clients get, in one table.

The key is the statement's context and how it failed.  The decision module settles retries, by class and
outcome, before this table is used.  Clients can rely on three SQL states, and on nothing else:

- 40001 (ER_LOCK_DEADLOCK): the statement and its transaction had no effect, and the transaction is over.
  Repeating the statement, or the transaction from its start, is safe.
- 08007: it is unknown whether the statement took effect.  It was not retried and will not be.
- 08S01, and the client's connection closes: the session's state at the server is lost.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from micadeck.mysql.protocol.constants import ErrorCode
from micadeck.mysql.protocol.messages import Err
from micadeck.mysql.statement import Kind, Statement


@unique
class StatementContext(Enum):
    """The kind of statement, and its session's state before it ran."""

    READ = "a safe read outside a transaction"
    WRITE = "a statement with effects, outside a transaction"
    IN_TRANSACTION = "a statement in a transaction that can't end it"
    ROLLBACK = "ROLLBACK"
    MAY_COMMIT = "COMMIT, or a statement that may commit implicitly"
    PINNED = "any statement of a session with state at the server"


@unique
class StatementFailure(Enum):
    """How the statement failed."""

    REFUSED = "no attempt can have run"
    LOST = "the server or its connection was lost; it may have run"
    TIMED_OUT = "its deadline passed; it may have run"
    TRUNCATED = "the server was lost after a part of the response was sent"
    INTERNAL_ERROR = "an internal error of the balancer"


@unique
class Transaction(Enum):
    """What is known of the statement's transaction."""

    NONE = "no transaction was open"
    ROLLED_BACK = "rolled back"
    UNKNOWN = "either committed or rolled back"


@dataclass(frozen=True, slots=True)
class ClientError:
    """The final answer: `error`, or OK if None; and its consequences."""

    error: Err | None
    transaction: Transaction
    closes: bool = False  # the client's connection, after the answer


_NOT_RUN = Err(ErrorCode.LOCK_DEADLOCK, "40001", "not run, and nothing changed; running it again is harmless")
_ROLLED_BACK = Err(
    ErrorCode.LOCK_DEADLOCK,
    "40001",
    "the transaction was rolled back with its server; restart the transaction",
)
_READ_LOST = Err(
    ErrorCode.LOCK_DEADLOCK, "40001", "no server answered; a read, so running it again is harmless"
)
_READ_TIMED_OUT = Err(
    ErrorCode.QUERY_TIMEOUT, "HY000", "no answer within the statement's time; nothing changed"
)
_ROLLED_BACK_TIMED_OUT = Err(
    ErrorCode.LOCK_DEADLOCK, "40001", "no answer within the statement's time; its transaction was rolled back"
)
_UNKNOWN = Err(ErrorCode.UNKNOWN, "08007", "its server was lost; whether it took effect is not known")
_UNKNOWN_TIMED_OUT = Err(
    ErrorCode.UNKNOWN, "08007", "no answer in its time; whether it took effect is not known"
)
_READ_TRUNCATED = Err(
    ErrorCode.QUERY_INTERRUPTED, "70100", "its server was lost: the result ends here and is not whole"
)
_UNKNOWN_TRUNCATED = Err(
    ErrorCode.UNKNOWN, "08007", "its server was lost: the result is not whole, and effects are not known"
)
_STATE_LOST = Err(ErrorCode.UNKNOWN, "08S01", "the server that held this session's state was lost")
_INTERNAL_ERROR = Err(ErrorCode.UNKNOWN, "08007", "an internal error of the balancer; effects are not known")

_NONE, _UNDONE, _IN_DOUBT = Transaction.NONE, Transaction.ROLLED_BACK, Transaction.UNKNOWN

TABLE: dict[tuple[StatementContext, StatementFailure], ClientError] = {
    (StatementContext.READ, StatementFailure.REFUSED): ClientError(_NOT_RUN, _NONE),
    (StatementContext.READ, StatementFailure.LOST): ClientError(_READ_LOST, _NONE),
    (StatementContext.READ, StatementFailure.TIMED_OUT): ClientError(_READ_TIMED_OUT, _NONE),
    (StatementContext.READ, StatementFailure.TRUNCATED): ClientError(_READ_TRUNCATED, _NONE),
    (StatementContext.READ, StatementFailure.INTERNAL_ERROR): ClientError(_READ_LOST, _NONE),
    (StatementContext.WRITE, StatementFailure.REFUSED): ClientError(_NOT_RUN, _NONE),
    (StatementContext.WRITE, StatementFailure.LOST): ClientError(_UNKNOWN, _NONE),
    (StatementContext.WRITE, StatementFailure.TIMED_OUT): ClientError(_UNKNOWN_TIMED_OUT, _NONE),
    (StatementContext.WRITE, StatementFailure.TRUNCATED): ClientError(_UNKNOWN_TRUNCATED, _NONE),
    (StatementContext.WRITE, StatementFailure.INTERNAL_ERROR): ClientError(_INTERNAL_ERROR, _NONE),
    # Only its own connection could commit the transaction, and that is closed without a COMMIT.
    (StatementContext.IN_TRANSACTION, StatementFailure.REFUSED): ClientError(_ROLLED_BACK, _UNDONE),
    (StatementContext.IN_TRANSACTION, StatementFailure.LOST): ClientError(_ROLLED_BACK, _UNDONE),
    (StatementContext.IN_TRANSACTION, StatementFailure.TIMED_OUT): ClientError(
        _ROLLED_BACK_TIMED_OUT, _UNDONE
    ),
    (StatementContext.IN_TRANSACTION, StatementFailure.TRUNCATED): ClientError(_ROLLED_BACK, _UNDONE),
    (StatementContext.IN_TRANSACTION, StatementFailure.INTERNAL_ERROR): ClientError(_ROLLED_BACK, _UNDONE),
    # The connection is closed, so the transaction is rolled back as requested.
    (StatementContext.ROLLBACK, StatementFailure.REFUSED): ClientError(None, _UNDONE),
    (StatementContext.ROLLBACK, StatementFailure.LOST): ClientError(None, _UNDONE),
    (StatementContext.ROLLBACK, StatementFailure.TIMED_OUT): ClientError(None, _UNDONE),
    (StatementContext.ROLLBACK, StatementFailure.TRUNCATED): ClientError(None, _UNDONE),
    (StatementContext.ROLLBACK, StatementFailure.INTERNAL_ERROR): ClientError(None, _UNDONE),
    (StatementContext.MAY_COMMIT, StatementFailure.REFUSED): ClientError(_ROLLED_BACK, _UNDONE),
    (StatementContext.MAY_COMMIT, StatementFailure.LOST): ClientError(_UNKNOWN, _IN_DOUBT),
    (StatementContext.MAY_COMMIT, StatementFailure.TIMED_OUT): ClientError(_UNKNOWN_TIMED_OUT, _IN_DOUBT),
    (StatementContext.MAY_COMMIT, StatementFailure.TRUNCATED): ClientError(_UNKNOWN_TRUNCATED, _IN_DOUBT),
    (StatementContext.MAY_COMMIT, StatementFailure.INTERNAL_ERROR): ClientError(_INTERNAL_ERROR, _IN_DOUBT),
    # The client relies on session state that is lost, so it must not continue as if nothing had happened.
    (StatementContext.PINNED, StatementFailure.REFUSED): ClientError(_STATE_LOST, _UNDONE, closes=True),
    (StatementContext.PINNED, StatementFailure.LOST): ClientError(_UNKNOWN, _IN_DOUBT, closes=True),
    (StatementContext.PINNED, StatementFailure.TIMED_OUT): ClientError(
        _UNKNOWN_TIMED_OUT, _IN_DOUBT, closes=True
    ),
    (StatementContext.PINNED, StatementFailure.TRUNCATED): ClientError(
        _UNKNOWN_TRUNCATED, _IN_DOUBT, closes=True
    ),
    (StatementContext.PINNED, StatementFailure.INTERNAL_ERROR): ClientError(
        _INTERNAL_ERROR, _IN_DOUBT, closes=True
    ),
}


def statement_context(
    statement: Statement,
    *,
    in_transaction: bool,
    has_state: bool,
    is_safe: bool,
    transaction_may_be_over: bool = False,
) -> StatementContext:
    """The context of a statement, by its session's state before it ran.

    `transaction_may_be_over`: an error may have ended the transaction, and the statement would autocommit.
    """
    if has_state:
        return StatementContext.PINNED
    if in_transaction:
        if statement.kind is Kind.ROLLBACK:
            return StatementContext.ROLLBACK
        sets_autocommit = any(name == "autocommit" for name, _ in statement.assignments)
        is_inside = statement.is_plain and not statement.pins and not sets_autocommit
        return (
            StatementContext.IN_TRANSACTION
            if is_inside and not transaction_may_be_over
            else StatementContext.MAY_COMMIT
        )
    return StatementContext.READ if is_safe else StatementContext.WRITE
