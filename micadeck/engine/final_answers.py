"""Final answers: the one way out of the engine for a request's answer, exactly once each."""

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
            transport: Withdraws attempts that nobody waits for any more.
            open_requests: The open requests.
            invariants: Gets the answers that are late.
        """
        self._network = network
        self._transport = transport
        self._open = open_requests
        self._invariants = invariants
        self.outcomes = OutcomeCounters()

    def reject(self, request: Request, handler: ResponseHandler, retry_after_us: int) -> None:
        """Refuse a request that is not open."""
        self.outcomes[request.service_class].refused += 1
        handler.refused(retry_after_us)

    def refuse(self, number: int, retry_after_us: int) -> None:
        """Refuse an open request, unless it is answered."""
        opened = self._open.get(number)
        handler = self.settle(number)
        if opened is not None and handler is not None:
            self.reject(opened.request, handler, retry_after_us)
        self._open.remove_if_over(number)

    def fail(self, number: int, cause: FailureCause) -> None:
        """Fail an open request, unless it is answered."""
        opened = self._open.get(number)
        handler = self.settle(number)
        if opened is not None and handler is not None:
            self.outcomes[opened.request.service_class].failed += 1
            handler.failed(cause, opened.may_have_run or opened.in_flight > 0)
        self._open.remove_if_over(number)

    def serve(self, number: int, opened: OpenRequest, response: Any) -> None:
        """Deliver a server's answer, unless the request is answered."""
        handler = self.settle(number)
        if handler is not None:
            self.outcomes[opened.request.service_class].served += 1
            handler.served(response)

    def settle(self, number: int) -> ResponseHandler | None:
        """Mark a request as answered; return who gets the answer, None if it was answered before."""
        opened = self._open.get(number)
        if opened is None or opened.handler is None:
            return None
        self._check_in_time(opened)
        handler = self._open.take_handler(opened)
        if opened.in_flight:
            # Keeps servers from work for nobody, where cancelling what was sent is not permitted.
            for attempt in opened.attempts:
                self._transport.withdraw(attempt)
        return handler

    def _check_in_time(self, opened: OpenRequest) -> None:
        late_us = self._network.now() - opened.deadline_us
        # The transport sees to the deadline of an answer that is under way.
        is_timed = opened.request.is_complete and opened.response_delay_us is None
        if late_us > ANSWER_SLACK_US and is_timed:
            detail = f"by {late_us / 1e6:.3f} s, {len(opened.attempts)} attempts, {opened.in_flight} out"
            self._invariants.record(InvariantViolation.ANSWERED_LATE, opened.request.request_id, detail)
