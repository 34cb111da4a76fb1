"""What a server's error to a statement means for another attempt.  No I/O."""

from __future__ import annotations

from micadeck.mysql.protocol.answers import ResponseKind
from micadeck.mysql.protocol.constants import ErrorCode
from micadeck.mysql.statement import Statement

SHUTDOWN_CODES = frozenset((ErrorCode.SERVER_SHUTDOWN, 1077, 1079, 1080, 3169))
# The server's own state prevents the statement: read-only (1290, 1836), out of prepared statements, offline.
_SERVER_STATE_CODES = frozenset((ErrorCode.OPTION_PREVENTS_STATEMENT, 1836, 1461, 3032))


def is_server_state(code: int) -> bool:
    """Whether another server may run what this one rejects with the error."""
    return code in _SERVER_STATE_CODES


def had_no_effect(code: int, statement: Statement, kind: ResponseKind) -> bool:
    """Whether a statement that ended with an error had no effect, and another server may run it.

    An error takes back what a single statement did.  It does not take back what a CALL, or the first of
    several statements, has committed before the one that failed.
    """
    fails_as_a_whole = kind is ResponseKind.PREPARED or statement.is_safe or statement.is_plain
    return is_server_state(code) and fails_as_a_whole
