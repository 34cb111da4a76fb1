"""What a client gets when its statement can't be answered by a server: one table.

Rows are what the statement was, columns what befell it.  Whether it is sent again is not decided here but in
the decision module, by class and outcome, before it comes to this.  Three promises are made and no others:

- SQLSTATE 40001 (ER_LOCK_DEADLOCK): nothing of it took effect, and nothing of the transaction it was in,
  which is over.  Running it again, or the transaction again from its begin, is harmless.
- SQLSTATE 08007: whether it took effect is not known.  It was not, and will not be, sent again.
- SQLSTATE 08S01, and the client's connection closes: what the session had left at the server is gone.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique

from micadeck.mysql.protocol.constants import ErrorCode
from micadeck.mysql.protocol.messages import Err
from micadeck.mysql.statements import Kind, Statement


@unique
class StatementContext(Enum):
    """What the statement was, and where its session stood."""

    READ = "a safe read outside a transaction"
    WRITE = "a statement with effects, outside a transaction"
    IN_TRANSACTION = "a statement in a transaction, which can't end that"
    ROLLBACK = "ROLLBACK"
    MAY_COMMIT = "COMMIT, or what may commit a transaction by itself"
    PINNED = "any statement of a session with state at the server"


@unique
class StatementFault(Enum):
    """What happened to it."""

    REFUSED = "no attempt of it can have run"
    LOST = "its server died, went down or broke off; it may have run"
    LATE = "its time was over; it may have run"
    CUT = "its server died after a part of the answer went out"
    DEFECT = "this program went wrong"


@unique
class Transaction(Enum):
    """What is known of the transaction it was in, if it was in one."""

    NONE = "there was none"
    ROLLED_BACK = "certainly rolled back"
    UNKNOWN = "committed or rolled back"


@dataclass(frozen=True, slots=True)
class ClientError:
    """The final answer, and what follows from it.  `error` None: OK."""

    error: Err | None
    transaction: Transaction
    closes: bool = False  # the client's connection, behind the answer


_AGAIN = Err(ErrorCode.LOCK_DEADLOCK, "40001", "not run, and nothing changed; running it again is harmless")
_ROLLED_BACK = Err(
    ErrorCode.LOCK_DEADLOCK,
    "40001",
    "the transaction was rolled back with its server; restart the transaction",
)
_READ_LOST = Err(
    ErrorCode.LOCK_DEADLOCK, "40001", "no server answered; a read, so running it again is harmless"
)
_LATE_READ = Err(ErrorCode.QUERY_TIMEOUT, "HY000", "no answer within the statement's time; nothing changed")
_LATE_ROLLED_BACK = Err(
    ErrorCode.LOCK_DEADLOCK, "40001", "no answer within the statement's time; its transaction was rolled back"
)
_UNKNOWN = Err(ErrorCode.UNKNOWN, "08007", "its server was lost; whether it took effect is not known")
_LATE_UNKNOWN = Err(ErrorCode.UNKNOWN, "08007", "no answer in its time; whether it took effect is not known")
_CUT = Err(ErrorCode.QUERY_INTERRUPTED, "70100", "its server was lost: the result ends here and is not whole")
_CUT_UNKNOWN = Err(
    ErrorCode.UNKNOWN, "08007", "its server was lost: the result is not whole, and effects are not known"
)
_STATE_LOST = Err(ErrorCode.UNKNOWN, "08S01", "the server that held this session's state was lost")
_DEFECT = Err(ErrorCode.UNKNOWN, "08007", "an internal error of the balancer; effects are not known")

_NONE, _BACK, _OPEN = Transaction.NONE, Transaction.ROLLED_BACK, Transaction.UNKNOWN

TABLE: dict[tuple[StatementContext, StatementFault], ClientError] = {
    (StatementContext.READ, StatementFault.REFUSED): ClientError(_AGAIN, _NONE),
    (StatementContext.READ, StatementFault.LOST): ClientError(_READ_LOST, _NONE),
    (StatementContext.READ, StatementFault.LATE): ClientError(_LATE_READ, _NONE),
    (StatementContext.READ, StatementFault.CUT): ClientError(_CUT, _NONE),
    (StatementContext.READ, StatementFault.DEFECT): ClientError(_READ_LOST, _NONE),
    (StatementContext.WRITE, StatementFault.REFUSED): ClientError(_AGAIN, _NONE),
    (StatementContext.WRITE, StatementFault.LOST): ClientError(_UNKNOWN, _NONE),
    (StatementContext.WRITE, StatementFault.LATE): ClientError(_LATE_UNKNOWN, _NONE),
    (StatementContext.WRITE, StatementFault.CUT): ClientError(_CUT_UNKNOWN, _NONE),
    (StatementContext.WRITE, StatementFault.DEFECT): ClientError(_DEFECT, _NONE),
    # Only its own connection could have committed it, and that is closed without a COMMIT.
    (StatementContext.IN_TRANSACTION, StatementFault.REFUSED): ClientError(_ROLLED_BACK, _BACK),
    (StatementContext.IN_TRANSACTION, StatementFault.LOST): ClientError(_ROLLED_BACK, _BACK),
    (StatementContext.IN_TRANSACTION, StatementFault.LATE): ClientError(_LATE_ROLLED_BACK, _BACK),
    (StatementContext.IN_TRANSACTION, StatementFault.CUT): ClientError(_ROLLED_BACK, _BACK),
    (StatementContext.IN_TRANSACTION, StatementFault.DEFECT): ClientError(_ROLLED_BACK, _BACK),
    # Rolled back is what it asked for.
    (StatementContext.ROLLBACK, StatementFault.REFUSED): ClientError(None, _BACK),
    (StatementContext.ROLLBACK, StatementFault.LOST): ClientError(None, _BACK),
    (StatementContext.ROLLBACK, StatementFault.LATE): ClientError(None, _BACK),
    (StatementContext.ROLLBACK, StatementFault.CUT): ClientError(None, _BACK),
    (StatementContext.ROLLBACK, StatementFault.DEFECT): ClientError(None, _BACK),
    (StatementContext.MAY_COMMIT, StatementFault.REFUSED): ClientError(_ROLLED_BACK, _BACK),
    (StatementContext.MAY_COMMIT, StatementFault.LOST): ClientError(_UNKNOWN, _OPEN),
    (StatementContext.MAY_COMMIT, StatementFault.LATE): ClientError(_LATE_UNKNOWN, _OPEN),
    (StatementContext.MAY_COMMIT, StatementFault.CUT): ClientError(_CUT_UNKNOWN, _OPEN),
    (StatementContext.MAY_COMMIT, StatementFault.DEFECT): ClientError(_DEFECT, _OPEN),
    # State that the client counts on is gone: it must not go on as if nothing had been.
    (StatementContext.PINNED, StatementFault.REFUSED): ClientError(_STATE_LOST, _BACK, closes=True),
    (StatementContext.PINNED, StatementFault.LOST): ClientError(_UNKNOWN, _OPEN, closes=True),
    (StatementContext.PINNED, StatementFault.LATE): ClientError(_LATE_UNKNOWN, _OPEN, closes=True),
    (StatementContext.PINNED, StatementFault.CUT): ClientError(_CUT_UNKNOWN, _OPEN, closes=True),
    (StatementContext.PINNED, StatementFault.DEFECT): ClientError(_DEFECT, _OPEN, closes=True),
}


def was(
    statement: Statement, *, in_transaction: bool, has_state: bool, is_safe: bool, is_doubtful: bool = False
) -> StatementContext:
    """The row of a statement, by its session before it ran.

    `is_doubtful`: an error may have ended the transaction, and then this statement commits by itself.
    """
    if has_state:
        return StatementContext.PINNED
    if in_transaction:
        if statement.kind is Kind.ROLLBACK:
            return StatementContext.ROLLBACK
        sets_autocommit = any(name == "autocommit" for name, _ in statement.assignments)
        is_inside = statement.is_plain and not statement.pins and not sets_autocommit
        return (
            StatementContext.IN_TRANSACTION if is_inside and not is_doubtful else StatementContext.MAY_COMMIT
        )
    return StatementContext.READ if is_safe else StatementContext.WRITE
