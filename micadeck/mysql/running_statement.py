"""One statement of a client that the engine has: it hears the answer and says what became of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from micadeck.engine import FailureCause
from micadeck.mysql.error_mapping import (
    StatementContext,
    StatementFailure,
)
from micadeck.mysql.protocol.answers import (
    Part,
)
from micadeck.mysql.session import Handle
from micadeck.mysql.statements import Statement
from micadeck.mysql.transport import Attempt, Response, StatementRequest

if TYPE_CHECKING:
    from micadeck.mysql.client_session import ClientSession


class RunningStatement:
    """One command that the engine has: its waiter, and where a long answer goes."""

    __slots__ = (
        "client",
        "deadline",
        "handle",
        "has_begun",
        "number",
        "request",
        "row",
        "statement",
        "stream",
    )

    def __init__(
        self, client: ClientSession, statement: Statement, row: StatementContext, deadline: int
    ) -> None:
        self.client = client
        self.statement = statement
        self.row = row
        self.deadline = deadline
        self.number: int | None = None
        self.request: StatementRequest | None = None
        self.stream: Attempt | None = None  # the attempt whose response is streamed
        self.has_begun = False
        self.handle: Handle | None = None  # that is being prepared

    # Sink

    def begin(self, attempt: Attempt) -> bool:
        if self.number is None or not self.client.front.engine.response_started(self.number):
            return False
        self.has_begun = True
        self.stream = attempt
        return True

    def part(self, part: Part) -> None:
        self.client.write_part(part, self)

    # Waiter

    def served(self, response: Response) -> None:
        self.client.served(self, response)

    def refused(self, retry_after_us: int) -> None:
        is_late = self.client.front.network.now() >= self.deadline
        befell = StatementFailure.TIMED_OUT if is_late else StatementFailure.REFUSED
        self.client.failed(self, StatementFailure.TRUNCATED if self.has_begun else befell)

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        if self.has_begun:
            befell = StatementFailure.TRUNCATED
        elif not may_have_run:
            befell = StatementFailure.REFUSED
        elif cause is FailureCause.TIME:
            befell = StatementFailure.TIMED_OUT
        else:
            is_defect = cause is FailureCause.DEFECT
            befell = StatementFailure.INTERNAL_ERROR if is_defect else StatementFailure.LOST
        self.client.failed(self, befell)
