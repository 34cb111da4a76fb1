"""Admission control: which requests are shed under load, by priority weight and tenants' quotas."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from micadeck.policy.concurrency_limit import UNRESTRICTED_FILL, ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.decaying_rate import DecayingRate
from micadeck.policy.settings import ServiceClass, Settings, Tenant

TRAFFIC_OBJECTIVES: Final = 4.0  # time constant of the traffic's average, in longest objectives
FULL_LIMIT_PRESSURE: Final = 4.0  # near a full limit, one in fifty requests of median priority is admitted
PRESSURE_SPREAD: Final = 2.0  # the lowest priority gets this many times the pressure, the highest almost none


@dataclass(slots=True, eq=False)
class TrafficShare:
    """One tenant's traffic of one class."""

    service_class: ServiceClass
    tenant: str | None
    rate: DecayingRate


class AdmissionControl:
    """Decides whether a new request is rejected at once, from the concurrency limit and the traffic mix.

    Owns the rates of arrivals by class and tenant.  No rule depends on it alone: it prevents a congestion
    collapse, in which servers answer late and clients retry what fails late.
    """

    def __init__(self, context: DecisionContext, concurrency: ConcurrencyLimit) -> None:
        """Start with no traffic."""
        self._context = context
        self._concurrency = concurrency
        self._traffic: dict[tuple[str, str | None], TrafficShare] = {}
        self._apply_settings(context.settings)

    def _apply_settings(self, settings: Settings) -> None:
        self._tenants: dict[str, Tenant] = {tenant.name: tenant for tenant in settings.tenants}
        self._total_share = sum(tenant.share for tenant in settings.tenants) or 1.0

    def settings_changed(self, classes: dict[str, ServiceClass]) -> None:
        """Apply the current settings; forget the traffic of classes that were removed."""
        self._apply_settings(self._context.settings)
        self._traffic = {key: share for key, share in self._traffic.items() if key[0] in classes}
        for (name, _), traffic in self._traffic.items():
            traffic.service_class = classes[name]

    def is_shed(self, service_class: ServiceClass, tenant: str | None) -> bool:
        """Count a new request and return whether to reject it.

        The admitted part falls exponentially as the limit fills, sooner for lower priorities.
        """
        context = self._context
        own = self._traffic.get((service_class.name, tenant))
        if own is None:
            rate = DecayingRate(TRAFFIC_OBJECTIVES * context.longest_objective_us)
            own = self._traffic[(service_class.name, tenant)] = TrafficShare(service_class, tenant, rate)
        own.rate.add(context.now, 1.0)
        fill = self._concurrency.fill()
        if fill <= UNRESTRICTED_FILL:
            return False
        pressure = FULL_LIMIT_PRESSURE * (fill - UNRESTRICTED_FILL) / (1.0 - UNRESTRICTED_FILL)
        admitted = math.exp(-PRESSURE_SPREAD * pressure * (1.0 - self._priority_rank(own)))
        if fill < 1.0 and context.random.random() < admitted:
            return False
        self._concurrency.record_rejection()
        return True

    def _priority_rank(self, own: TrafficShare) -> float:
        """Return the part of the traffic with a lower priority plus half of that with the same.

        The priority is that of the class, reduced for what the tenant sends above its share.  Balancers see
        different parts of the traffic, so tenants are compared by proportions, not by rates.
        """
        now = self._context.now
        shares = list(self._traffic.values())
        rates = [share.rate.per_us(now) for share in shares]
        total = sum(rates)
        by_tenant: dict[str | None, float] = {}
        for share, rate in zip(shares, rates, strict=True):
            by_tenant[share.tenant] = by_tenant.get(share.tenant, 0.0) + rate
        priorities = [self._priority(share, by_tenant[share.tenant], total) for share in shares]
        own_priority = priorities[shares.index(own)]
        below = sum(rate for rate, priority in zip(rates, priorities, strict=True) if priority < own_priority)
        same = sum(rate for rate, priority in zip(rates, priorities, strict=True) if priority == own_priority)
        return (below + 0.5 * same) / total if total > 0.0 else 0.5

    def _priority(self, traffic: TrafficShare, tenant_rate: float, total: float) -> float:
        weight = traffic.service_class.priority_weight
        tenant = self._tenants.get(traffic.tenant or "")
        if tenant is None or tenant_rate <= 0.0:
            return weight
        within_share = min(1.0, total * tenant.share / self._total_share / tenant_rate)
        over_share_weight = self._context.settings.over_share_priority_weight
        return weight * (within_share + (1.0 - within_share) * over_share_weight)
