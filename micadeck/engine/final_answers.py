"""Final answers: the engine answers every request here, exactly once."""

from __future__ import annotations

from typing import Any

from micadeck.engine.open_requests import OpenRequest, OpenRequests
from micadeck.engine.outcome_counters import OutcomeCounters
from micadeck.engine.ports import FailureCause, Request, ResponseHandler, Transport
from micadeck.engine.send_guard import ANSWER_SLACK_US, InvariantLog, InvariantViolation
from micadeck.network import Network


class FinalAnswers:
    """Gives requests their final answers; owns the counts of their outcomes.

    Attributes:
        outcomes: How requests ended, by service class.
    """

    def __init__(
        self, network: Network, transport: Transport, open_requests: OpenRequests, invariants: InvariantLog
    ) -> None:
        """Answer these requests.

        Args:
            network: The clock.
            transport: Withdraws attempts that are no longer needed.
            open_requests: The open requests.
            invariants: Records late answers.
        """
        self._network = network
        self._transport = transport
        self._open = open_requests
        self._invariants = invariants
        self.outcomes = OutcomeCounters()

    def reject(self, request: Request, handler: ResponseHandler, retry_after_us: int) -> None:
        """Refuse a request that was not accepted."""
        self.outcomes[request.service_class].refused += 1
        handler.refused(retry_after_us)

    def refuse(self, number: int, retry_after_us: int) -> None:
        """Refuse an open request, unless it is answered."""
        opened = self._open.get(number)
        handler = self.mark_answered(number, keeps_id=False)
        if opened is not None and handler is not None:
            self.reject(opened.request, handler, retry_after_us)
        self._open.remove_if_over(number)

    def fail(self, number: int, cause: FailureCause) -> None:
        """Fail an open request, unless it is answered."""
        opened = self._open.get(number)
        handler = self.mark_answered(number, keeps_id=True)
        if opened is not None and handler is not None:
            self.outcomes[opened.request.service_class].failed += 1
            handler.failed(cause, opened.may_have_run or opened.in_flight > 0)
        self._open.remove_if_over(number)

    def serve(self, number: int, opened: OpenRequest, response: Any) -> None:
        """Deliver a server's answer, unless the request is answered."""
        handler = self.mark_answered(number, keeps_id=False)
        if handler is not None:
            self.outcomes[opened.request.service_class].served += 1
            handler.served(response)

    def mark_answered(self, number: int, *, keeps_id: bool) -> ResponseHandler | None:
        """Mark a request as answered; return its handler, None if it was answered before.

        Args:
            number: The number of the request.
            keeps_id: Whether its id stays in use if a server may have run it.
        """
        opened = self._open.get(number)
        if opened is None or opened.handler is None:
            return None
        self._check_in_time(opened)
        handler = self._open.take_handler(opened, keeps_id=keeps_id)
        if opened.in_flight:
            # Saves servers useless work where cancelling sent attempts is not permitted.
            for attempt in opened.attempts:
                self._transport.withdraw(attempt)
        return handler

    def _check_in_time(self, opened: OpenRequest) -> None:
        late_us = self._network.now() - opened.deadline_us
        # The transport enforces the deadline of a partly delivered answer.
        is_timed = opened.request.is_complete and opened.response_delay_us is None
        if late_us > ANSWER_SLACK_US and is_timed:
            attempts = f"{len(opened.attempts)} attempts, {opened.in_flight} in flight"
            detail = f"by {late_us / 1e6:.3f} s, {attempts}"
            self._invariants.record(InvariantViolation.ANSWERED_LATE, opened.request.request_id, detail)
