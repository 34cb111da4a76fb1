"""Endpoint selection: the best of k endpoints, drawn at random from this balancer's subset."""

from __future__ import annotations

import math
from typing import Final

from micadeck.policy.concurrency_limit import ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.endpoints import Endpoint, EndpointRegistry, subset_size
from micadeck.policy.full_backoff import is_backing_off
from micadeck.policy.latency import MAX_RELATIVE_LATENCY
from micadeck.policy.locality import LocalityWeights
from micadeck.policy.open_requests import OpenRequest
from micadeck.policy.outlier_detection import OutlierDetector
from micadeck.policy.retry_policy import is_in_deduplication_scope
from micadeck.policy.slow_start import SlowStart

CANDIDATES: Final = 4  # k: two candidates differ too little while requests in flight are few, as is usual
MAX_LATENCY_EXPONENT: Final = 3.0  # for requests of four times the mean cost or more


class EndpointSelector:
    """Decides which endpoint an attempt goes to, from load, latency, locality and earlier attempts.

    Owns no state but its locality weights.  Its choice is a proposal: the balancer enforces the rules when it
    sends an attempt.
    """

    def __init__(
        self,
        context: DecisionContext,
        endpoints: EndpointRegistry,
        concurrency: ConcurrencyLimit,
        slow_start: SlowStart,
        outliers: OutlierDetector,
    ) -> None:
        """Select from the endpoints of this registry."""
        self._context = context
        self._endpoints = endpoints
        self._concurrency = concurrency
        self._slow_start = slow_start
        self._outliers = outliers
        self._locality = LocalityWeights(context, endpoints, concurrency)

    def choose(self, request: OpenRequest) -> Endpoint | None:
        """Return the candidate with the fewest own requests in flight, or None without candidates."""
        if request.sticky_endpoint is not None:
            return self._endpoints.by_name.get(request.sticky_endpoint) if not request.attempts else None
        on_probation = self._outliers.endpoint_on_probation(request)
        if on_probation is not None:
            return on_probation
        pool = self._subset(request)
        if not pool:
            return None
        weights = self._weights(pool, request)
        best: Endpoint | None = None
        best_rank = (0, 0.0)
        for endpoint in self.draw(pool, weights, CANDIDATES << request.full_responses):
            in_flight = self.requests_at(endpoint)
            if best is None or (in_flight, endpoint.relative_latency) < best_rank:
                best, best_rank = endpoint, (in_flight, endpoint.relative_latency)
        return best

    def has_candidate(self, request: OpenRequest) -> bool:
        """Return whether there is a warm endpoint for a further attempt of this request.

        Changes nothing: asking for the budget of a cold endpoint would.
        """
        if request.sticky_endpoint is not None:
            return not request.attempts
        return any(
            not self._slow_start.is_cold(endpoint) and self._is_untried(endpoint, request)
            for endpoint in self._endpoints.ready
        )

    def _subset(self, request: OpenRequest) -> list[Endpoint]:
        """Return the first eligible endpoints by random rank, as many as the traffic can keep in use.

        Otherwise many small balancers of a large fleet would all hold a connection to every server: more than
        servers accept, and with too few responses from any to learn from.
        """
        size = subset_size(self._concurrency.mean_load)
        remote_left = local_left = size
        if self._context.settings.prices.cross_zone > 0.0:
            remote_part = self._locality.remote_weight() * self._endpoints.remote_fraction
            remote_left = max(round(size * remote_part), 1)
            local_left = size - remote_left
        zone = self._context.settings.zone
        pool: list[Endpoint] = []
        spare: list[Endpoint] = []
        backing_off: list[Endpoint] = []
        for endpoint in self._endpoints.ready:
            if not self._is_eligible(endpoint, request):
                continue
            if is_backing_off(self._context, endpoint, request.service_class.name):
                backing_off.append(endpoint)
                continue
            if endpoint.zone == zone:
                local_left -= 1
                (pool if local_left >= 0 else spare).append(endpoint)
            else:
                remote_left -= 1
                (pool if remote_left >= 0 else spare).append(endpoint)
            if len(pool) >= size:
                break
        pool += spare[: size - len(pool)]
        return pool or backing_off[:size]

    def _is_eligible(self, endpoint: Endpoint, request: OpenRequest) -> bool:
        if not self._is_untried(endpoint, request):
            return False
        return endpoint.cold_since is None or self._slow_start.has_budget(endpoint, request.relative_cost)

    def _is_untried(self, endpoint: Endpoint, request: OpenRequest) -> bool:
        """Return whether the endpoint is in use, and may get a further attempt of this request."""
        if endpoint.ejected_until is not None:
            return False
        if request.attempts:
            if endpoint in request.failed_endpoints or not is_in_deduplication_scope(request, endpoint):
                return False
            if any(attempt.is_pending and attempt.endpoint is endpoint for attempt in request.attempts):
                return False  # a hedged request goes to another endpoint
        return True

    def _weights(self, pool: list[Endpoint], request: OpenRequest) -> list[float]:
        remote = self._locality.remote_weight()
        zone = self._context.settings.zone
        exponent = min(max(1.0, float(request.cost_exponent)), MAX_LATENCY_EXPONENT)
        return [
            self._weight(endpoint, exponent) * (1.0 if endpoint.zone == zone else remote) for endpoint in pool
        ]

    def _weight(self, endpoint: Endpoint, exponent: float) -> float:
        """Return a lower weight for slower endpoints, lower still for heavy requests.

        With little traffic most endpoints tie at no requests in flight, so these weights decide.
        """
        latency = math.pow(max(endpoint.relative_latency, 1.0 / MAX_RELATIVE_LATENCY), exponent)
        if endpoint.cold_since is None:
            return 1.0 / latency
        return self._slow_start.capacity_fraction(endpoint) / latency

    def draw(self, pool: list[Endpoint], weights: list[float], count: int) -> list[Endpoint]:
        """Draw distinct endpoints by weight; their random order breaks ties."""
        chosen = []
        remaining = list(range(len(pool)))
        total = sum(weights)
        for _ in range(min(count, len(pool))):
            point = self._context.random.random() * total
            position = 0
            while position < len(remaining) - 1 and point >= weights[remaining[position]]:
                point -= weights[remaining[position]]
                position += 1
            index = remaining.pop(position)
            total -= weights[index]
            chosen.append(pool[index])
        return chosen

    def requests_at(self, endpoint: Endpoint) -> int:
        """Return the own requests in flight at an endpoint, abandoned ones included.

        These may still run: a slow or hung server must not look idle because of cancellation.
        """
        if endpoint.abandoned_until:
            now = self._context.now
            endpoint.abandoned_until = [until for until in endpoint.abandoned_until if until > now]
        return endpoint.in_flight - endpoint.transferring + len(endpoint.abandoned_until)
