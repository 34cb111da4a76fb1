"""Slow start: how many requests an endpoint that has just started may get."""

from __future__ import annotations

from typing import Final

from micadeck.policy.concurrency_limit import ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.decaying_rate import DecayingRate
from micadeck.policy.endpoints import Endpoint, EndpointRegistry, subset_size
from micadeck.policy.events import ServerState
from micadeck.policy.settings import NOTIFICATION_DEADLINE_US, Settings

MAX_CLOCK_STEP_US: Final = 2 * 3_600 * 1_000_000  # starts longer ago than this are not corrected
BUDGET_FRACTION: Final = 0.25  # of the overload rate: the rate at which the budget of a cold endpoint fills
BURST_FRACTION: Final = 0.18  # of the requests of an overload window: how many may be sent at once
RATE_WINDOWS: Final = 2.0  # rates are averaged over this many overload windows


def plausible_start(listed: int, now: int, last_update: int | None, was_listed: bool) -> int:
    """Return the plausible start time of an endpoint for which the list gives a new one.

    Listed start times come from a wall clock, which may be stepped; ages are measured on a monotonic clock.
    So a start time is limited to what the lists allow: not in the future, and not before the previous list.
    Guards rule 4: a cold endpoint that is taken for warm is overloaded.

    Args:
        listed: The listed start time, in microseconds of the clock of `now`.
        now: The time at which the list was received, in microseconds.
        last_update: When the previous list was received, or None.
        was_listed: Whether the endpoint was listed before; a new one may have run for a while unlisted.
    """
    if last_update is None or now - listed > MAX_CLOCK_STEP_US:
        return min(listed, now)
    earliest = last_update if was_listed else last_update - NOTIFICATION_DEADLINE_US
    return min(max(listed, earliest), now)


class SlowStart:
    """Decides whether a cold endpoint may get a request, from its age and what warm ones serve.

    Owns the rates of arrivals and of answers by warm endpoints, the set of endpoints that may be cold, and
    their budgets.  Guards rule 4: a starting endpoint is not overloaded by the sum of all balancers.
    """

    def __init__(
        self, context: DecisionContext, endpoints: EndpointRegistry, concurrency: ConcurrencyLimit
    ) -> None:
        """Start with no cold endpoint."""
        self._context = context
        self._endpoints = endpoints
        self._concurrency = concurrency
        span_us = _rate_span_us(context.settings)
        self._arrivals = DecayingRate(span_us)
        self._answered_by_warm = DecayingRate(span_us)
        self._cold: dict[str, Endpoint] = {}  # those that may still be cold
        self._warm_rate = 0.0  # what a warm endpoint of mean size serves for this balancer, per microsecond
        self._mean_capacity = 1.0
        self._rate_updated_at = -1

    def settings_changed(self) -> None:
        """Apply the current settings."""
        span_us = _rate_span_us(self._context.settings)
        for rate in (self._arrivals, self._answered_by_warm):
            rate.set_span(span_us)

    def record_arrival(self) -> None:
        """Count a new request."""
        self._arrivals.add(self._context.now, 1.0)

    def record_answer(self, endpoint: Endpoint) -> None:
        """Count an answer."""
        if not self.is_cold(endpoint):
            self._answered_by_warm.add(self._context.now, 1.0)

    def begin(self, endpoint: Endpoint, since: int) -> None:
        """Begin slow start of an endpoint, as of this time.

        Its budget starts at a random level: from 0, all first requests would come late and together.
        """
        endpoint.cold_since = since
        self._cold[endpoint.name] = endpoint
        endpoint.slow_start_allowance = self._context.random.random()
        endpoint.allowance_updated_at = self._context.now

    def is_cold(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is in slow start."""
        return (
            endpoint.cold_since is not None
            and self._context.now < endpoint.cold_since + self._context.settings.rules.slow_start_us
        )

    def capacity_fraction(self, endpoint: Endpoint) -> float:
        """Return the part of its full capacity that an endpoint has by now."""
        if endpoint.cold_since is None or not self.is_cold(endpoint):
            return 1.0
        rules = self._context.settings.rules
        age = max(self._context.now - endpoint.cold_since, 0)
        initial = rules.slow_start_initial_share
        return initial + (1.0 - initial) * age / rules.slow_start_us

    def has_budget(self, endpoint: Endpoint, cost: float) -> bool:
        """Return whether the budget of an endpoint allows a request of this relative cost.

        The budget fills at a part of the rate that would overload the endpoint, estimated from what warm
        endpoints serve for this balancer; so the sum over all balancers stays below overload.
        """
        if not self.is_cold(endpoint):
            return True
        now = self._context.now
        rules = self._context.settings.rules
        sustained = self._sustained_rate()
        if self._mean_capacity > 0.0:
            sustained *= min(endpoint.nominal / self._mean_capacity, 1.0)
        limit = rules.overload_multiple * self.capacity_fraction(endpoint) * sustained
        burst = max(1.0, BURST_FRACTION * limit * rules.overload_window_us)
        filled = BUDGET_FRACTION * limit * max(now - endpoint.allowance_updated_at, 0)
        endpoint.slow_start_allowance = min(endpoint.slow_start_allowance + filled, burst)
        endpoint.allowance_updated_at = now
        return endpoint.slow_start_allowance >= min(cost, burst)

    def spend(self, endpoint: Endpoint, cost: float) -> None:
        """Deduct a sent request from the budget of a cold endpoint."""
        if self.is_cold(endpoint):
            endpoint.slow_start_allowance -= cost

    def _sustained_rate(self) -> float:
        """Return the rate that a warm endpoint serves for this balancer; cached until time advances."""
        if self._rate_updated_at != self._context.now:
            self._rate_updated_at = self._context.now
            self._update_sustained_rate()
        return self._warm_rate

    def _update_sustained_rate(self) -> None:
        endpoints = self._endpoints
        self._cold = {name: endpoint for name, endpoint in self._cold.items() if self.is_cold(endpoint)}
        cold = [endpoint for endpoint in self._cold.values() if endpoint.state is ServerState.READY]
        count = len(endpoints.ready) - len(cold)
        capacity = endpoints.ready_capacity - sum(endpoint.nominal for endpoint in cold)
        served = self._answered_by_warm
        if not count:  # all are cold; the ejected ones are included: they served a part of the requests
            count, capacity = len(endpoints.ready), endpoints.ready_capacity
            served = self._arrivals
        subset = subset_size(self._concurrency.mean_load)
        self._warm_rate = served.per_us(self._context.now) / max(min(count, subset), 1)
        self._mean_capacity = capacity / max(count, 1)


def _rate_span_us(settings: Settings) -> float:
    return RATE_WINDOWS * settings.rules.overload_window_us
