"""Latency estimates: the typical cost and latency of requests, and how endpoints compare with them."""

from __future__ import annotations

import math
from typing import Final

from micadeck.policy.concurrency_limit import ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.endpoints import Endpoint
from micadeck.policy.open_requests import Attempt, OpenRequest
from micadeck.policy.settings import ServiceClass

ENDPOINT_SMOOTHING: Final = 0.1  # weight of one response in the relative latency of an endpoint
MAX_RELATIVE_LATENCY: Final = 4.0  # of one response, clipped: heavy requests say little about a server
CLASS_SMOOTHING: Final = 0.02  # weight of one request in the typical latency and cost of its class
UNSEEN_OBJECTIVE_FRACTION: Final = 0.3  # assumed typical latency before the first response
HANDSHAKE_OBJECTIVE_FRACTION: Final = 0.5  # allowance for the handshake of a new connection
OVERDUE_MULTIPLE: Final = 2.5  # of the typical latency, after which an attempt is overdue
MIN_OVERDUE_OBJECTIVE_FRACTION: Final = 0.1  # shorter times are mostly jitter


class LatencyEstimates:
    """Decides what counts as slow, from observed latencies and costs.

    Owns the typical latency by class and size, and the mean cost by class; updates the relative latency of
    endpoints.  Guards no rule.
    """

    def __init__(self, context: DecisionContext, concurrency: ConcurrencyLimit) -> None:
        """Start without estimates."""
        self._context = context
        self._concurrency = concurrency
        self._typical_us: dict[tuple[str, int], float] = {}
        self._mean_cost_us: dict[str, float] = {}

    def settings_changed(self, classes: dict[str, ServiceClass]) -> None:
        """Forget the classes that were removed."""
        self._typical_us = {key: typical for key, typical in self._typical_us.items() if key[0] in classes}
        self._mean_cost_us = {key: mean for key, mean in self._mean_cost_us.items() if key in classes}

    def relative_cost(self, service_class: ServiceClass, cost_us: int | None) -> float:
        """Return the cost of a request relative to its class's mean, and update the mean."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost_us.get(service_class.name, float(cost_us))
        self._mean_cost_us[service_class.name] = mean + CLASS_SMOOTHING * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def typical_us(self, request: OpenRequest) -> float:
        """Return the typical latency of such a request, over all endpoints."""
        service_class = request.service_class
        return self._typical_us.get(
            (service_class.name, request.cost_exponent),
            UNSEEN_OBJECTIVE_FRACTION * service_class.latency_objective_us,
        )

    def record_response(self, endpoint: Endpoint, request: OpenRequest, elapsed_us: int) -> None:
        """Update the estimates with a response."""
        key = (request.service_class.name, request.cost_exponent)
        typical = self._typical_us.setdefault(key, float(elapsed_us))
        self.adjust_endpoint(endpoint, request, elapsed_us)
        self._typical_us[key] = typical + CLASS_SMOOTHING * (elapsed_us - typical)

    def record_abandoned(self, endpoint: Endpoint, request: OpenRequest, elapsed_us: int) -> None:
        """Learn from an abandoned attempt if it had taken longer than usual there."""
        if elapsed_us > self.typical_us(request) * endpoint.relative_latency:
            self.adjust_endpoint(endpoint, request, elapsed_us)

    def record_error(self, endpoint: Endpoint, request: OpenRequest) -> None:
        """Count an error as the slowest response: a quick error must not look like a quick endpoint."""
        self.adjust_endpoint(endpoint, request, int(MAX_RELATIVE_LATENCY * self.typical_us(request)))

    def adjust_endpoint(self, endpoint: Endpoint, request: OpenRequest, elapsed_us: int) -> None:
        """Average a latency into the endpoint's; it weighs more in low traffic."""
        ratio = min(elapsed_us / max(self.typical_us(request), 1.0), MAX_RELATIVE_LATENCY)
        smoothing = ENDPOINT_SMOOTHING * self._concurrency.averaging_factor()
        endpoint.relative_latency += smoothing * (ratio - endpoint.relative_latency)

    def overdue_after_us(self, request: OpenRequest, attempt: Attempt) -> int:
        """Return after how long an attempt is overdue."""
        usual = OVERDUE_MULTIPLE * self.typical_us(request) * max(attempt.endpoint.relative_latency, 1.0)
        fraction = MIN_OVERDUE_OBJECTIVE_FRACTION
        if attempt.opens_connection:
            fraction = HANDSHAKE_OBJECTIVE_FRACTION
        objective = request.service_class.latency_objective_us
        return int(max(usual, fraction * objective, self._context.settings.tick_us))


def cost_exponent(relative_cost: float) -> int:
    """Return the binary exponent of a relative cost, from -3 to 4."""
    return max(-3, min(math.frexp(relative_cost)[1], 4))
