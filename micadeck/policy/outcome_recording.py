"""Outcome recording: updates the estimates at the end of an attempt."""

from __future__ import annotations

from micadeck.policy.concurrency_limit import ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.endpoints import EndpointRegistry
from micadeck.policy.events import AttemptEnded
from micadeck.policy.full_backoff import record_full, record_response
from micadeck.policy.latency import HANDSHAKE_OBJECTIVE_FRACTION, LatencyEstimates
from micadeck.policy.open_requests import Attempt, OpenRequest
from micadeck.policy.outcomes import Outcome
from micadeck.policy.outlier_detection import OutlierDetector


class OutcomeRecorder:
    """Decides what the parts of the balancer learn from the outcome of an attempt.

    Owns no state.  Guards rule 2: it records which attempts may have run.  The balancer decides how the
    request continues.
    """

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointRegistry,
        concurrency: ConcurrencyLimit,
        latency: LatencyEstimates,
        outliers: OutlierDetector,
    ) -> None:
        """Report to these parts."""
        self._context = context
        self._endpoints = endpoints
        self._concurrency = concurrency
        self._latency = latency
        self._outliers = outliers

    def record(self, request: OpenRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Stop counting an attempt and learn from its outcome."""
        self._release(attempt, event.outcome)
        outcome = event.outcome
        objective = request.service_class.latency_objective_us
        if outcome is Outcome.CANCELLED and event.elapsed_us >= objective:
            outcome = Outcome.TIMED_OUT
        self._outliers.record_outcome(attempt, outcome)
        self._learn(request, attempt, event)

    def _release(self, attempt: Attempt, outcome: Outcome) -> None:
        """Count the attempt as ended, and its connection as closed where the outcome shows that."""
        endpoint = attempt.endpoint
        attempt.is_pending = False
        if attempt.is_transferring:
            self._concurrency.set_transferring(attempt, False)
        attempt.may_have_run = not self._context.settings.rules.never_ran(outcome)
        endpoint.in_flight -= 1
        if outcome not in (Outcome.DELIVERED, Outcome.FULL, Outcome.REJECTED):
            endpoint.connections = max(endpoint.connections - 1, endpoint.in_flight)
        self._concurrency.attempt_ended(attempt)
        self._endpoints.close_idle_if_leaving(endpoint)

    def _learn(self, request: OpenRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """Update the estimates of load, latency and capacity."""
        endpoint = attempt.endpoint
        outcome = event.outcome
        if event.report and "util" in event.report:
            self._concurrency.record_utilization(min(max(event.report["util"], 0.0), 1.0))
        if outcome is Outcome.DELIVERED:
            record_response(endpoint, request.service_class.name)
            self._learn_from_response(request, attempt, event.elapsed_us)
        elif outcome is Outcome.FULL:
            record_full(self._context, endpoint, request.service_class.name)
        elif outcome is Outcome.ERROR:
            self._latency.record_error(endpoint, request)
        elif outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            self._concurrency.attempt_abandoned(attempt, event.elapsed_us)
            self._latency.record_abandoned(endpoint, request, event.elapsed_us)

    def _learn_from_response(self, request: OpenRequest, attempt: Attempt, elapsed_us: int) -> None:
        """Learn from the latency of a response, less an allowance for a handshake.

        After a start, or when servers are replaced, most connections are new, and their first responses are
        as late as those of an overloaded server.  Latency beyond the allowance still counts.
        """
        objective = request.service_class.latency_objective_us
        self._concurrency.record_answer(objective)
        is_new = attempt.opens_connection
        fraction = elapsed_us / objective - HANDSHAKE_OBJECTIVE_FRACTION * is_new
        if not is_new:
            self._latency.record_response(attempt.endpoint, request, elapsed_us)
        if attempt.is_overload_recorded:
            return
        if not is_new or fraction > self._concurrency.objective_fraction:
            self._concurrency.record_latency(fraction)
