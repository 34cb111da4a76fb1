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

CANDIDATES: Final = 4  # k: counts are mostly small here, where two candidates find too little
MAX_LATENCY_EXPONENT: Final = 3.0  # for requests of four times the mean cost or more


class EndpointSelector:
    """Decides which endpoint an attempt goes to, from load, latency, locality and earlier attempts.

    Owns no state but that of its locality weights.  It only proposes: the rules are enforced where attempts
    are sent.
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
        """Return the candidate with the fewest own requests in flight, or None if there is no candidate."""
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
            busy = self.requests_at(endpoint)
            if best is None or (busy, endpoint.relative_latency) < best_rank:
                best, best_rank = endpoint, (busy, endpoint.relative_latency)
        return best

    def _subset(self, request: OpenRequest) -> list[Endpoint]:
        """Return the first eligible endpoints by random rank, as many as the traffic can keep in use.

        Many small balancers before a large fleet would otherwise hold a connection each to every server,
        more than servers accept, and learn next to nothing of any.
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
        for each in self._endpoints.ready:
            if not self._is_eligible(each, request):
                continue
            if is_backing_off(self._context, each, request.service_class.name):
                backing_off.append(each)
                continue
            if each.zone == zone:
                local_left -= 1
                (pool if local_left >= 0 else spare).append(each)
            else:
                remote_left -= 1
                (pool if remote_left >= 0 else spare).append(each)
            if len(pool) >= size:
                break
        pool += spare[: size - len(pool)]
        return pool or backing_off[:size]

    def _is_eligible(self, endpoint: Endpoint, request: OpenRequest) -> bool:
        if endpoint.ejected_until is not None:
            return False
        if request.attempts:
            if endpoint in request.failed_endpoints or not is_in_deduplication_scope(request, endpoint):
                return False
            if any(each.is_pending and each.endpoint is endpoint for each in request.attempts):
                return False  # a hedged request goes elsewhere
        return endpoint.cold_since is None or self._slow_start.has_budget(endpoint, request.relative_cost)

    def _weights(self, pool: list[Endpoint], request: OpenRequest) -> list[float]:
        remote = self._locality.remote_weight()
        zone = self._context.settings.zone
        exponent = min(max(1.0, float(request.cost_exponent)), MAX_LATENCY_EXPONENT)
        return [self._weight(each, exponent) * (1.0 if each.zone == zone else remote) for each in pool]

    def _weight(self, endpoint: Endpoint, exponent: float) -> float:
        """Return a lower weight for slower endpoints, lower still for heavy requests.

        With few requests most counts in flight are zero, and the draw decides.
        """
        latency = math.pow(max(endpoint.relative_latency, 1.0 / MAX_RELATIVE_LATENCY), exponent)
        if endpoint.cold_since is None:
            return 1.0 / latency
        return self._slow_start.capacity_fraction(endpoint) / latency

    def draw(self, pool: list[Endpoint], weights: list[float], count: int) -> list[Endpoint]:
        """Draw distinct endpoints by weight; in random order, so that ties are broken by chance."""
        chosen = []
        left = list(range(len(pool)))
        total = sum(weights)
        for _ in range(min(count, len(pool))):
            point = self._context.random.random() * total
            at = 0
            while at < len(left) - 1 and point >= weights[left[at]]:
                point -= weights[left[at]]
                at += 1
            index = left.pop(at)
            total -= weights[index]
            chosen.append(pool[index])
        return chosen

    def requests_at(self, endpoint: Endpoint) -> int:
        """Return the own requests in flight at an endpoint, abandoned ones included.

        Those may still run there: a slow or hung server must not look empty because its attempts were
        cancelled.
        """
        if endpoint.abandoned_until:
            now = self._context.now
            endpoint.abandoned_until = [until for until in endpoint.abandoned_until if until > now]
        return endpoint.in_flight - endpoint.transferring + len(endpoint.abandoned_until)
