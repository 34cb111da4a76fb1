"""Outlier detection: which endpoints are ejected for failures, and how they are readmitted."""

from __future__ import annotations

import math
from typing import Final

from micadeck.policy.actions import Log
from micadeck.policy.concurrency_limit import ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.decaying_rate import DecayingRate
from micadeck.policy.endpoints import Endpoint, EndpointRegistry, subset_size
from micadeck.policy.events import ServerState
from micadeck.policy.open_requests import Attempt, OpenRequest
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import Idempotency
from micadeck.policy.slow_start import SlowStart
from micadeck.policy.stale_connections import StaleConnectionDetector

FAILURE_OUTCOMES: Final = (
    Outcome.TIMED_OUT,
    Outcome.CONNECTION_LOST,
    Outcome.CONNECT_FAILED,
    Outcome.ERROR,
)
"""Failures of the endpoint: several in a row eject it."""

SILENT_REASON: Final = "silent"  # in the log: the endpoint accepts requests but answers none
CONSECUTIVE_FAILURES: Final = 2  # failures without an answer in between that eject an endpoint
CONSECUTIVE_LOST_CONNECTIONS: Final = 3  # higher: the network path may have lost them
CONSECUTIVE_MALFORMED_RESPONSES: Final = 6  # higher: the network path may have damaged them
SIGNIFICANCE_LEVEL: Final = 1e-4  # failures in a row that are likelier than this by chance do not eject
FAILURE_RATE_OBJECTIVES: Final = 4.0  # failure rates are averaged over this many longest objectives
MIN_ENDED_ATTEMPTS: Final = 50.0  # at the other endpoints in this time, to estimate their failure rate
FIRST_EJECTION_OBJECTIVES: Final = 2.0  # in longest objectives; doubles with every failed probation
MAX_EJECTION_OBJECTIVES: Final = 16.0  # in longest objectives
MAX_EJECTION_DOUBLINGS: Final = 8
MAX_EJECTED_FRACTION: Final = 0.6  # of the endpoints in use: the rest must carry the load
MAX_SILENT_FRACTION: Final = 0.34  # if a larger part is silent, the cause is overload
MIN_ENDPOINTS_LEFT: Final = 4  # while as many are left, refused connections may exceed MAX_EJECTED_FRACTION
MIN_ANSWERS_SINCE_SENT: Final = 4  # by all endpoints: fewer do not distinguish a silent one


class OutlierDetector:
    """Decides which endpoints get no requests, from the outcomes of attempts.

    Owns the failure rates, the count of answers, and the ejection and probation of endpoints.  One answered
    probation attempt readmits an ejected endpoint.  No rule depends on it alone: it limits what a bad server
    costs.
    """

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointRegistry,
        concurrency: ConcurrencyLimit,
        slow_start: SlowStart,
        stale_connections: StaleConnectionDetector,
    ) -> None:
        """Start with no endpoint ejected."""
        self._context = context
        self._endpoints = endpoints
        self._concurrency = concurrency
        self._slow_start = slow_start
        self._stale_connections = stale_connections
        self.failure_span_us = FAILURE_RATE_OBJECTIVES * context.longest_objective_us
        self._failures = DecayingRate(self.failure_span_us)  # at all endpoints
        self._ended_attempts = DecayingRate(self.failure_span_us)
        self.answers = 0  # of all endpoints

    def settings_changed(self) -> None:
        """Apply the current settings."""
        self.failure_span_us = FAILURE_RATE_OBJECTIVES * self._context.longest_objective_us
        for rate in (self._failures, self._ended_attempts):
            rate.set_span(self.failure_span_us)
        self._endpoints.set_failure_span(self.failure_span_us)

    # Evidence

    def record_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Count the outcome of an attempt; eject or readmit its endpoint."""
        endpoint = attempt.endpoint
        is_probation = self.is_open_probation(attempt)
        if endpoint.probation_attempt is attempt:
            endpoint.probation_attempt = None
        if outcome in (Outcome.DELIVERED, Outcome.REJECTED):
            self._record_answer(attempt)
        elif outcome is Outcome.CONNECTION_REFUSED:
            self._record_refused_connection(endpoint)
        elif outcome is Outcome.MALFORMED:
            self._record_malformed_response(endpoint, is_probation)
        elif outcome in FAILURE_OUTCOMES:
            self._record_failure(attempt, outcome, is_probation)

    def _record_answer(self, attempt: Attempt) -> None:
        endpoint = attempt.endpoint
        self._count_end(endpoint, False)
        endpoint.consecutive_failures = endpoint.malformed_responses = 0
        endpoint.last_answer_at = self._context.now
        self._stale_connections.record_answer(attempt)
        self.answers += 1
        self._slow_start.record_answer(endpoint)
        if endpoint.ejected_until is not None:
            self.readmit(endpoint)

    def _record_refused_connection(self, endpoint: Endpoint) -> None:
        self.eject(endpoint, Outcome.CONNECTION_REFUSED.value)
        if endpoint.ejected_until is not None:
            endpoint.refuses_connections = True
            # A process that listens there later will have just started.
            self._slow_start.begin(endpoint, self._context.now)

    def _record_malformed_response(self, endpoint: Endpoint, is_probation: bool) -> None:
        """Eject after more in a row than failures need: the path may damage all responses."""
        endpoint.malformed_responses += 1
        endpoint.last_answer_at = self._context.now
        has_reached_limit = endpoint.malformed_responses >= CONSECUTIVE_MALFORMED_RESPONSES
        if is_probation or (has_reached_limit and endpoint.ejected_until is None):
            self.eject(endpoint, Outcome.MALFORMED.value)

    def _record_failure(self, attempt: Attempt, outcome: Outcome, is_probation: bool) -> None:
        endpoint = attempt.endpoint
        if outcome is Outcome.TIMED_OUT and endpoint.last_answer_at > attempt.sent_at:
            return  # it is slow, not down: it has answered since the attempt was sent
        if (
            outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)
            and self._stale_connections.record_silence(attempt)
            and not is_probation
        ):
            return
        self._count_end(endpoint, True)
        endpoint.consecutive_failures += 1
        is_lost = outcome is Outcome.CONNECTION_LOST
        threshold = max(
            CONSECUTIVE_LOST_CONNECTIONS if is_lost else CONSECUTIVE_FAILURES,
            self._significant_failures(endpoint),
        )
        if is_probation or (endpoint.consecutive_failures >= threshold and endpoint.ejected_until is None):
            self.eject(endpoint, outcome.value)
            if is_probation and outcome is Outcome.CONNECT_FAILED:
                # The endpoint is down, and may restart before the list shows it.  Lost connections do not
                # prove that: the path may cause them, and endpoints that are all in slow start by mistake
                # have no capacity.
                self._slow_start.begin(endpoint, self._context.now)

    def _count_end(self, endpoint: Endpoint, is_failure: bool) -> None:
        now = self._context.now
        self._ended_attempts.add(now, 1.0)
        endpoint.ended_attempts.add(now, 1.0)
        if is_failure:
            self._failures.add(now, 1.0)
            endpoint.failures.add(now, 1.0)

    def _significant_failures(self, endpoint: Endpoint) -> float:
        """Return how many failures in a row are improbable at the failure rate of the other endpoints.

        Where connections to all endpoints break alike, ejecting one after the other would only move failures
        to the rest.  With no failures elsewhere any number is significant; where all fail, none is.
        """
        now = self._context.now
        ended = self._ended_attempts.per_us(now) - endpoint.ended_attempts.per_us(now)
        failed = self._failures.per_us(now) - endpoint.failures.per_us(now)
        if ended * self._ended_attempts.span_us < MIN_ENDED_ATTEMPTS or failed <= 0.0:
            return 0.0
        return math.log(SIGNIFICANCE_LEVEL) / math.log(min(failed / ended, 0.99))

    def record_silence(self, attempt: Attempt) -> None:
        """Eject the endpoint of an overdue attempt if the others have answered since it was sent."""
        if attempt.endpoint.ejected_until is not None:
            return
        if self.answers - attempt.answers_before < MIN_ANSWERS_SINCE_SENT:
            return
        if not self._stale_connections.record_silence(attempt):
            self.eject(attempt.endpoint, SILENT_REASON, MAX_SILENT_FRACTION)

    # Ejection

    def eject(self, endpoint: Endpoint, reason: str, max_fraction: float = MAX_EJECTED_FRACTION) -> None:
        """Eject an endpoint, or prolong its ejection, unless too many are ejected already."""
        if endpoint.ejected_until is None:
            if not self._may_eject(reason, max_fraction):
                return
            self._endpoints.ejected.append(endpoint)
            self._concurrency.exclude_ejected(endpoint.in_flight)
            self._context.actions.append(Log(f"ejected {endpoint.name}: {reason}"))
        objectives = min(FIRST_EJECTION_OBJECTIVES * 2**endpoint.ejections, MAX_EJECTION_OBJECTIVES)
        endpoint.ejections = min(endpoint.ejections + 1, MAX_EJECTION_DOUBLINGS)
        endpoint.ejected_until = self._context.jittered_time_after(objectives)

    def _may_eject(self, reason: str, max_fraction: float) -> bool:
        ready, ejected = len(self._endpoints.ready), self._endpoints.ejected
        if reason == Outcome.CONNECTION_REFUSED.value:
            # A refused connection proves that no server listens, so more endpoints may be ejected for it.
            return len(ejected) + 1 <= max(max_fraction * ready, ready - MIN_ENDPOINTS_LEFT)
        refusing = sum(endpoint.refuses_connections for endpoint in ejected)
        subset = subset_size(self._concurrency.mean_load)
        return len(ejected) - refusing + 1 <= max_fraction * min(ready - refusing, subset)

    def readmit(self, endpoint: Endpoint) -> None:
        """End an ejection."""
        endpoint.ejected_until, endpoint.refuses_connections = None, False
        self._endpoints.ejected.remove(endpoint)
        self._concurrency.include_readmitted(endpoint.in_flight)
        endpoint.ejections = 0
        endpoint.consecutive_failures = 0
        if endpoint.cold_since is not None and endpoint.cold_since != endpoint.started_at:
            self._slow_start.begin(endpoint, self._context.now)
        self._context.actions.append(Log(f"readmitted {endpoint.name}"))

    # Probation

    def is_open_probation(self, attempt: Attempt) -> bool:
        """Return whether the attempt is to decide whether its endpoint is readmitted."""
        endpoint = attempt.endpoint
        return (
            endpoint.probation_attempt is attempt
            and endpoint.ejected_until is not None
            and self._context.now >= endpoint.ejected_until
        )

    def prolong_cancelled_probation(self, attempt: Attempt) -> None:
        """Prolong the ejection of an endpoint whose probation attempt is cancelled as silent.

        The outcome of a cancelled attempt proves nothing, so the next probation would follow at once.
        """
        if self.is_open_probation(attempt):
            until = self._context.jittered_time_after(FIRST_EJECTION_OBJECTIVES)
            attempt.endpoint.ejected_until = until

    def endpoint_on_probation(self, request: OpenRequest) -> Endpoint | None:
        """Return an ejected endpoint to test with this request, if it is idempotent and not yet sent."""
        if request.service_class.idempotency is not Idempotency.IDEMPOTENT or request.attempts:
            return None
        for endpoint in self._endpoints.ejected:
            is_due = endpoint.ejected_until is not None and self._context.now >= endpoint.ejected_until
            if not is_due or endpoint.state is not ServerState.READY:
                continue
            is_free = endpoint.probation_attempt is None
            if is_free and self._slow_start.has_budget(endpoint, request.relative_cost):
                return endpoint
        return None
