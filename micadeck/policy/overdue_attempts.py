"""Overdue attempts: those that take far longer than usual but have not timed out."""

from __future__ import annotations

from typing import Final

from micadeck.policy.concurrency_limit import ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.latency import HANDSHAKE_OBJECTIVE_FRACTION, LatencyEstimates
from micadeck.policy.open_requests import Attempt, OpenRequest
from micadeck.policy.outlier_detection import OutlierDetector
from micadeck.policy.timers import TimerQueue

SILENCE_MULTIPLE: Final = 2.0  # of the time until an attempt is overdue: from then on its endpoint is silent
MIN_SILENCE_OBJECTIVE_FRACTION: Final = 0.5  # of the latency objective: never silent sooner


class OverdueDetector:
    """Decides whether a pending attempt is late, and whether its endpoint is silent.

    Owns no state.  Guards no rule: the balancer decides how the request continues.
    """

    def __init__(
        self,
        context: DecisionContext,
        timers: TimerQueue,
        concurrency: ConcurrencyLimit,
        latency: LatencyEstimates,
        outliers: OutlierDetector,
    ) -> None:
        """Report to these parts."""
        self._context = context
        self._timers = timers
        self._concurrency = concurrency
        self._latency = latency
        self._outliers = outliers

    def schedule(self, request: OpenRequest, attempt: Attempt) -> None:
        """Schedule the check whether an attempt that begins now is overdue."""
        due = self._context.now + self._latency.overdue_after_us(request, attempt)
        self._timers.schedule(due, request.request_id, attempt.index)

    def check(self, request: OpenRequest, attempt: Attempt) -> bool:
        """Learn from an overdue attempt; return whether to replace it.

        This finds servers that accept requests and answer none, long before timeouts would.  A server that
        answered anything since is slow, not silent; if many are silent, all are overloaded.
        """
        endpoint = attempt.endpoint
        is_silent = endpoint.last_answer_at <= attempt.sent_at
        self._record_lateness(request, attempt)
        if not is_silent:
            return False
        silence = max(
            SILENCE_MULTIPLE * self._latency.overdue_after_us(request, attempt),
            MIN_SILENCE_OBJECTIVE_FRACTION * request.service_class.latency_objective_us,
        )
        if self._context.now - attempt.sent_at < silence:
            self._timers.schedule(attempt.sent_at + int(silence), request.request_id, attempt.index)
        else:
            self._outliers.record_silence(attempt)
        return endpoint.ejected_until is not None or attempt.suspects_stale_connection

    def _record_lateness(self, request: OpenRequest, attempt: Attempt) -> None:
        """Count a late attempt as overload at once: its end would show a surge too late."""
        objective = request.service_class.latency_objective_us
        late_after = int(objective * (1.0 + HANDSHAKE_OBJECTIVE_FRACTION * attempt.opens_connection))
        if self._context.now - attempt.sent_at < late_after:
            self._timers.schedule(attempt.sent_at + late_after, request.request_id, attempt.index)
        elif (
            not attempt.is_overload_recorded
            and attempt.endpoint.ejected_until is None
            and not attempt.suspects_stale_connection
        ):
            attempt.is_overload_recorded = True
            if self._concurrency.utilization is not None:
                self._concurrency.record_utilization(1.0)  # late responses bring no report
            self._concurrency.record_overload()
