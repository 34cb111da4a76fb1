"""Locality: how much traffic to send to other zones."""

from __future__ import annotations

from typing import Final

from micadeck.policy.concurrency_limit import LATE_FRACTION_ALLOWED, UNRESTRICTED_FILL, ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.endpoints import EndpointRegistry

MIN_REMOTE_WEIGHT: Final = 0.25  # of endpoints in other zones while the own zone is as fast as those
EQUAL_WEIGHT_LAG: Final = 0.3  # own zone slower by this fraction: all zones have equal weight
EQUAL_WEIGHT_OBJECTIVE_FRACTION: Final = 0.12  # a typical response of twice this also gives equal weights


class LocalityWeights:
    """Decides the weight of endpoints in other zones, from the zones' latencies and the load.

    Owns the weight.  It saves cross-zone traffic without overloading a zone that has more traffic than
    servers: as the own zone or all responses get slower, the weights become equal.
    """

    def __init__(
        self, context: DecisionContext, endpoints: EndpointRegistry, concurrency: ConcurrencyLimit
    ) -> None:
        """Start with equal weights."""
        self._context = context
        self._endpoints = endpoints
        self._concurrency = concurrency
        self._remote_weight = 1.0  # as of _updated_at
        self._updated_at = -1

    def remote_weight(self) -> float:
        """Return the weight of endpoints in other zones, at most 1; cached until time advances."""
        if self._updated_at != self._context.now:
            self._updated_at = self._context.now
            self._remote_weight = self._current_remote_weight()
        return self._remote_weight

    def _current_remote_weight(self) -> float:
        concurrency = self._concurrency
        if self._context.settings.prices.cross_zone <= 0.0:
            return 1.0
        if concurrency.late_fraction >= LATE_FRACTION_ALLOWED or concurrency.fill() > UNRESTRICTED_FILL:
            return 1.0  # capacity anywhere matters more than cross-zone traffic
        lag = self._own_zone_lag()
        if lag is None:
            return 1.0
        fraction = EQUAL_WEIGHT_OBJECTIVE_FRACTION
        pressure = (concurrency.objective_fraction - fraction) / fraction
        return max(MIN_REMOTE_WEIGHT, min(max(lag / EQUAL_WEIGHT_LAG, pressure), 1.0))

    def _own_zone_lag(self) -> float | None:
        """Return by what fraction the own zone is slower than the others, or None if unknown."""
        local = remote = 0.0
        local_count = remote_count = 0
        for endpoint in self._endpoints.ready:
            if endpoint.ejected_until is not None:
                continue
            if endpoint.zone == self._context.settings.zone:
                local += endpoint.relative_latency
                local_count += 1
            else:
                remote += endpoint.relative_latency
                remote_count += 1
        if not local_count or not remote_count or remote <= 0.0:
            return None
        return (local / local_count) / (remote / remote_count) - 1.0
