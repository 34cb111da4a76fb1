"""Adaptive concurrency limit: how many requests in flight the servers can answer in time.

All latencies are taken as fractions of the latency objective of the request's class, so that one limit
serves all classes.
"""

from __future__ import annotations

import heapq
import math
from typing import Final

from micadeck.policy.context import DecisionContext
from micadeck.policy.decaying_rate import DecayingRate
from micadeck.policy.open_requests import Attempt

TARGET_OBJECTIVE_FRACTION: Final = 0.3  # target for the typical response, unless idle servers are slower
TARGET_OBJECTIVE_FRACTION_LOW_TRAFFIC: Final = 0.4  # higher: the typical response is noisy there
IDLE_LATENCY_HEADROOM: Final = 1.2  # the target is at least this multiple of the estimate for idle servers
MAX_TARGET_OBJECTIVE_FRACTION: Final = 0.5
MIN_OBJECTIVE_FRACTION: Final = 0.02  # faster responses count as this
MAX_OBJECTIVE_FRACTION: Final = 1.0  # upper bound of the average
OVERLOAD_OBJECTIVE_FRACTION: Final = 2.0  # recorded for a request whose servers were full or overdue
OBJECTIVE_FRACTION_SMOOTHING: Final = 0.06  # weight of one response in the geometric mean
IDLE_FRACTION_RISE: Final = 0.0008  # the most by which one response raises the estimate for idle servers
IDLE_FRACTION_RISE_UNDER_LOAD: Final = 0.00008  # slower: latency under load is not that of idle servers
MIN_IDLE_OBJECTIVE_FRACTION: Final = 0.04
LATE_FRACTION_SMOOTHING: Final = 0.02  # weight of one response
LATE_FRACTION_ALLOWED: Final = 0.05  # while fewer responses are late, servers are not overloaded
LATE_FRACTION_WITH_IDLE_CORES: Final = 0.15  # from here on a resource other than cores is exhausted
UTILIZATION_SMOOTHING: Final = 0.1  # weight of one load report
TARGET_UTILIZATION: Final = 0.85  # below it the limit may grow
SATURATED_UTILIZATION: Final = 0.95
IDLE_UTILIZATION: Final = 0.8  # below it late responses do not come from too many requests
ADJUSTMENT_OBJECTIVES: Final = 0.5  # longest objectives, in which the limit changes by a factor of e at most
MIN_LIMIT: Final = 0.1  # above 0: some requests are always admitted, so that recovery is noticed
HIGH_TRAFFIC_REQUESTS: Final = 8.0  # with fewer requests in flight, averages are mostly noise
MAX_AVERAGING_FACTOR: Final = 4.0  # see `averaging_factor`
UNRESTRICTED_FILL: Final = 0.5  # up to this part of the limit all requests are admitted
ABANDONED_DURATION_MULTIPLE: Final = 1.0  # of its duration: how long an abandoned attempt still counts


class ConcurrencyLimit:
    """Decides how many own requests in flight are too many, from latencies, load reports and Little's law.

    Owns the counts of the attempts in flight, the averages of latency, lateness and utilization, and the
    limit itself.  No rule depends on it alone: it prevents an overload in which all answers are late.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Start with no limit."""
        self._context = context
        self.limit = math.inf  # own requests in flight
        self.mean_load = 0.0  # own requests in flight, averaged
        self.objective_fraction = 0.0  # of the typical response
        self.late_fraction = 0.0  # part of the responses that miss their objective
        self.utilization: float | None = None  # of the servers' cores, averaged; None: not reported
        self._idle_objective_fraction: float | None = None  # at idle servers: a slowly rising minimum
        self._answered_objectives = DecayingRate(context.longest_objective_us)
        self._has_rejected = False  # since the limit was last adjusted
        self._load_updated_at = 0
        self.adjusted_at = 0
        self.pending_attempts = 0
        self.transferring_attempts = 0  # of the pending ones, those that only transfer bytes
        self._pending_at_ejected = 0  # of the pending ones, those at ejected endpoints
        self.abandoned_until: list[int] = []  # a heap: when each abandoned attempt stops counting

    # Attempts in flight

    def attempt_sent(self, attempt: Attempt) -> None:
        """Count an attempt as in flight."""
        self.pending_attempts += 1
        if attempt.endpoint.ejected_until is not None:
            self._pending_at_ejected += 1

    def attempt_ended(self, attempt: Attempt) -> None:
        """Stop counting an attempt."""
        self.pending_attempts -= 1
        if attempt.endpoint.ejected_until is not None:
            self._pending_at_ejected -= 1

    def attempt_abandoned(self, attempt: Attempt, elapsed_us: int) -> None:
        """Keep counting an abandoned attempt: the server may still work on it."""
        until = self._context.now + int(ABANDONED_DURATION_MULTIPLE * elapsed_us)
        attempt.endpoint.abandoned_until.append(until)
        if attempt.endpoint.ejected_until is None:
            heapq.heappush(self.abandoned_until, until)

    def exclude_ejected(self, in_flight: int) -> None:
        """Exclude the attempts at a newly ejected endpoint from the load."""
        self._pending_at_ejected += in_flight

    def include_readmitted(self, in_flight: int) -> None:
        """Include the attempts at a newly readmitted endpoint in the load."""
        self._pending_at_ejected -= in_flight

    def set_transferring(self, attempt: Attempt, is_transferring: bool) -> None:
        """Exclude an attempt from the load while bytes are in transfer: the server is not working on it."""
        change = int(is_transferring) - int(attempt.is_transferring)
        attempt.is_transferring = is_transferring
        attempt.endpoint.transferring += change
        self.transferring_attempts += change

    def load(self) -> int:
        """Return the own requests in flight at endpoints that are not ejected, abandoned ones included.

        Computed from running counts, since every event needs it.  Abandoned attempts count up to the part of
        the limit that is unrestricted: after hung servers recover, they alone must not cause rejections.
        """
        while self.abandoned_until and self.abandoned_until[0] <= self._context.now:
            heapq.heappop(self.abandoned_until)
        load = self.pending_attempts - self._pending_at_ejected - self.transferring_attempts
        return int(min(len(self.abandoned_until), UNRESTRICTED_FILL * self.limit)) + max(load, 0)

    def update_mean_load(self) -> None:
        """Update the mean load; to be called at every event."""
        elapsed = self._context.now - self._load_updated_at
        if elapsed > 0:
            self._load_updated_at = self._context.now
            span = self.averaging_factor() * self._context.longest_objective_us
            load = self.load()
            # A mean above the limit would only delay recovery.
            self.mean_load = min(self.mean_load, max(load, self.limit, 1.0))
            self.mean_load += (load - self.mean_load) * (1.0 - math.exp(-elapsed / span))

    def averaging_factor(self) -> float:
        """Return the factor, above 1 with low traffic, on averaging times and response weights."""
        return max(1.0, min(HIGH_TRAFFIC_REQUESTS / max(self.mean_load, 1e-9), MAX_AVERAGING_FACTOR))

    def fill(self) -> float:
        """Return the part of the limit that is in use.

        With a low limit the momentary load is mostly noise, so the mean load has more weight.
        """
        confidence = min(self.limit / HIGH_TRAFFIC_REQUESTS, 1.0)
        return (self.mean_load + confidence * (self.load() - self.mean_load)) / self.limit

    # Measurements

    def record_rejection(self) -> None:
        """Record that the limit rejected a request, so that it may grow."""
        self._has_rejected = True

    def record_answer(self, latency_objective_us: int) -> None:
        """Count an answered request, weighted by its latency objective."""
        self._answered_objectives.add(self._context.now, latency_objective_us)

    def record_utilization(self, utilization: float) -> None:
        """Average the utilization of cores, 0 to 1, that servers report."""
        if self.utilization is None:
            self.utilization = utilization
        else:
            self.utilization += UTILIZATION_SMOOTHING * (utilization - self.utilization)

    def record_overload(self) -> None:
        """Count a request that found no server in time."""
        self.record_latency(OVERLOAD_OBJECTIVE_FRACTION)

    def record_latency(self, objective_fraction: float) -> None:
        """Average the fraction of the objective that responses take, and adjust the limit.

        A geometric mean, so that one heavy request or slow server moves it little.
        """
        if self._idle_objective_fraction is None:
            first = min(objective_fraction, TARGET_OBJECTIVE_FRACTION)
            self.objective_fraction = self._idle_objective_fraction = first
        factor = self.averaging_factor()
        before = max(self.objective_fraction, MIN_OBJECTIVE_FRACTION)
        clipped = max(min(objective_fraction, OVERLOAD_OBJECTIVE_FRACTION), MIN_OBJECTIVE_FRACTION)
        step = math.pow(clipped / before, factor * OBJECTIVE_FRACTION_SMOOTHING)
        self.objective_fraction = min(before * step, MAX_OBJECTIVE_FRACTION)
        is_late = 1.0 if objective_fraction > 1.0 else 0.0
        self.late_fraction += factor * LATE_FRACTION_SMOOTHING * (is_late - self.late_fraction)
        load = self.load()
        is_unrestricted = load <= UNRESTRICTED_FILL * self.limit
        rise = IDLE_FRACTION_RISE if is_unrestricted else IDLE_FRACTION_RISE_UNDER_LOAD
        self._idle_objective_fraction = min(
            self._idle_objective_fraction + rise, max(self.objective_fraction, MIN_IDLE_OBJECTIVE_FRACTION)
        )
        self._adjust(load)

    # The limit

    def _adjust(self, load: int) -> None:
        """Shrink or grow the limit by how far the typical response is from its target.

        The limit bounds requests in flight, not arrivals: a surge reaches it at once, and slower servers
        admit less without adjustment.  By Little's law, the current rate of answers within the target needs
        rate times target in flight; the limit is not cut below that, since measurements lag.
        """
        context = self._context
        factor = self.averaging_factor()
        elapsed = min(context.now - self.adjusted_at, factor * context.longest_objective_us / 4)
        self.adjusted_at = context.now
        target = self._target_objective_fraction(factor)
        excess = self._excess(target, factor)
        is_saturated = self.utilization is not None and self.utilization >= SATURATED_UTILIZATION
        if excess > 0.0 and self.late_fraction < LATE_FRACTION_ALLOWED and not is_saturated:
            return  # slower than the target, but within the objectives
        if excess > 0.0:
            self.limit = min(self.limit, max(load, self.mean_load / UNRESTRICTED_FILL))
        elif not self._has_rejected:
            return  # nothing shows that the limit is too low
        self._has_rejected = False
        change = math.exp(-excess * elapsed / (ADJUSTMENT_OBJECTIVES * context.longest_objective_us))
        self._answered_objectives.set_span(factor * context.longest_objective_us)
        sustained = target * self._answered_objectives.per_us(context.now)
        self.limit = max(self.limit * change, min(sustained, self.limit), MIN_LIMIT)

    def _target_objective_fraction(self, factor: float) -> float:
        idle = IDLE_LATENCY_HEADROOM * (self._idle_objective_fraction or 0.0)
        target = min(max(TARGET_OBJECTIVE_FRACTION, idle), MAX_TARGET_OBJECTIVE_FRACTION)
        # With low traffic the typical response is noisy, so only a larger deviation counts.
        noise = (factor - 1.0) / (MAX_AVERAGING_FACTOR - 1.0)
        widening = TARGET_OBJECTIVE_FRACTION_LOW_TRAFFIC - TARGET_OBJECTIVE_FRACTION
        return max(target, TARGET_OBJECTIVE_FRACTION + noise * widening)

    def _excess(self, target: float, factor: float) -> float:
        """Return how far the load is above (up to 1) or below (down to -1) what the servers can handle."""
        excess = (self.objective_fraction - target) / target
        if self.utilization is not None and factor > 1.0:
            # Late responses while cores are idle come from a few slow servers, not from too many requests.
            # With high traffic the latencies show that sooner than reports do.
            excess = min(excess, (self.utilization - TARGET_UTILIZATION) / (1.0 - TARGET_UTILIZATION))
        if (
            self.utilization is not None
            and self.utilization < IDLE_UTILIZATION
            and self.late_fraction < LATE_FRACTION_WITH_IDLE_CORES
        ):
            # Otherwise the limit could stay low: its own rejections keep the utilization low.
            excess = min(excess, -0.5)
        return max(-1.0, min(excess, 1.0))
