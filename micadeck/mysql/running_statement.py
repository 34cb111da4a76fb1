"""A running statement: passes the engine's result to its client."""

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
from micadeck.mysql.statement import Statement
from micadeck.mysql.transport import Attempt, Response, StatementRequest

if TYPE_CHECKING:
    from micadeck.mysql.client_session import ClientSession


class RunningStatement:
    """The response handler of one request, and the sink of a streamed response."""

    __slots__ = (
        "client",
        "context",
        "deadline",
        "handle",
        "has_begun",
        "number",
        "request",
        "statement",
        "stream",
    )

    def __init__(
        self, client: ClientSession, statement: Statement, context: StatementContext, deadline: int
    ) -> None:
        self.client = client
        self.statement = statement
        self.context = context
        self.deadline = deadline
        self.number: int | None = None
        self.request: StatementRequest | None = None
        self.stream: Attempt | None = None  # the attempt whose response is streamed
        self.has_begun = False
        self.handle: Handle | None = None  # being prepared

    # Called by the transport

    def begin(self, attempt: Attempt) -> bool:
        if self.number is None or not self.client.listener.engine.response_started(self.number, attempt):
            return False
        self.has_begun = True
        self.stream = attempt
        return True

    def part(self, part: Part) -> None:
        self.client.write_part(part, self)

    # Called by the engine

    def served(self, response: Response) -> None:
        self.client.served(self, response)

    def refused(self, retry_after_us: int) -> None:
        is_late = self.client.listener.network.now() >= self.deadline
        failure = StatementFailure.TIMED_OUT if is_late else StatementFailure.REFUSED
        self.client.failed(self, StatementFailure.TRUNCATED if self.has_begun else failure)

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        if self.has_begun:
            failure = StatementFailure.TRUNCATED
        elif not may_have_run:
            failure = StatementFailure.REFUSED
        elif cause is FailureCause.TIME:
            failure = StatementFailure.TIMED_OUT
        else:
            is_defect = cause is FailureCause.DEFECT
            failure = StatementFailure.INTERNAL_ERROR if is_defect else StatementFailure.LOST
        self.client.failed(self, failure)
