"""Retry policy: whether, where and until when a request may be sent again, and what a rejection promises."""

from __future__ import annotations

import random
from typing import Final

from micadeck.policy.endpoints import Endpoint
from micadeck.policy.events import ServerState
from micadeck.policy.open_requests import Attempt, OpenRequest
from micadeck.policy.settings import DeduplicationScope, Idempotency, Limits, Rules, Settings

RETRIES_PER_REQUEST: Final = 0.2  # retries after failures that one request adds to the budget
RETRY_BUDGET_REQUESTS: Final = 50.0  # the budget holds at most the retries of this many requests
MAX_UNCOUNTED_DIALS: Final = 8  # refused connections of a request that do not count as attempts
DELIVERY_DIAL_FRACTION: Final = 0.2  # of the dial timeout: assumed time to deliver a request, at most
MAX_DELIVERY_WINDOW_FRACTION: Final = 0.1  # of the idempotency window
RETRY_AFTER_OBJECTIVE_FRACTION: Final = 0.15  # of the latency objective: the mean Retry-After


class RetryBudget:
    """Decides whether a failed attempt may be retried, from the numbers of requests and retries.

    Owns the balance.  It prevents retry storms: retries are at most a fixed part of the requests.
    """

    def __init__(self) -> None:
        """Start with half of the largest balance."""
        self.balance = RETRIES_PER_REQUEST * RETRY_BUDGET_REQUESTS / 2

    def deposit(self) -> None:
        """Add the allowance of one new request."""
        self.balance = min(self.balance + RETRIES_PER_REQUEST, RETRIES_PER_REQUEST * RETRY_BUDGET_REQUESTS)

    def has_retry(self) -> bool:
        """Return whether the budget allows a retry."""
        return self.balance >= 1.0

    def withdraw(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if not self.has_retry():
            return False
        self.balance -= 1.0
        return True


def has_attempts_left(request: OpenRequest, limits: Limits) -> bool:
    """Return whether the limit on attempts allows another one.

    A refused connection does not count: nothing was written, so the next attempt may follow at once.  The
    ejection of endpoints that refuse connections prevents storms of dials.
    """
    made = len(request.attempts) - min(request.refused_connections, MAX_UNCOUNTED_DIALS)
    return made < request.attempt_limit and made < limits.max_attempts


def _first_attempt_that_may_have_run(request: OpenRequest) -> Attempt | None:
    return next((attempt for attempt in request.attempts if attempt.may_have_run), None)


def retry_deadline(request: OpenRequest, settings: Settings) -> int | None:
    """Return by when another attempt must be written, or None for any time.

    An idempotency key protects until the servers forget it, counted from when the first attempt that may have
    run was sent: less one tick, since the clock is read once a tick, and less the time of delivery.
    """
    idempotency = request.service_class.idempotency
    first = _first_attempt_that_may_have_run(request)
    if first is None or idempotency is Idempotency.IDEMPOTENT:
        return None
    if idempotency is Idempotency.NON_IDEMPOTENT:
        return 0  # never
    window = request.service_class.idempotency_window_us
    delivery = min(
        DELIVERY_DIAL_FRACTION * settings.limits.dial_timeout_us, MAX_DELIVERY_WINDOW_FRACTION * window
    )
    return first.sent_at + window - settings.tick_us - int(delivery)


def may_run_again(request: OpenRequest, now: int, settings: Settings) -> bool:
    """Return whether the class of the request allows another attempt now."""
    deadline = retry_deadline(request, settings)
    return deadline is None or now < deadline


def is_in_deduplication_scope(request: OpenRequest, endpoint: Endpoint) -> bool:
    """Return whether this endpoint would recognise a keyed request that may have run before."""
    service_class = request.service_class
    scope = service_class.deduplication_scope
    if service_class.idempotency is not Idempotency.KEYED or scope is DeduplicationScope.ALL:
        return True
    first = _first_attempt_that_may_have_run(request)
    if first is None:
        return True
    if scope is DeduplicationScope.ZONE:
        return first.zone == endpoint.zone
    return first.cell == endpoint.cell


def may_finish_session(request: OpenRequest, endpoint: Endpoint, now: int, rules: Rules) -> bool:
    """Return whether a draining endpoint may still get a session's requests, which it alone can serve."""
    is_permitted = request.sticky_endpoint is not None and endpoint.state is ServerState.DRAINING
    return is_permitted and now < endpoint.state_changed_at + rules.session_drain_grace_us


def is_safe_to_reject(request: OpenRequest) -> bool:
    """Return whether the client may repeat the request without a second effect."""
    service_class = request.service_class
    if service_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_keyed = service_class.idempotency is Idempotency.KEYED
    if is_keyed and service_class.deduplication_scope is DeduplicationScope.ALL:
        return True
    return _first_attempt_that_may_have_run(request) is None


def retry_after_us(request: OpenRequest, limits: Limits, generator: random.Random) -> int:
    """Return after how long a rejected client should retry, with jitter so that not all retry together.

    An immediate retry would be rejected again and take capacity from others; one that is answered after the
    objective would have little value.
    """
    if not limits.retry_after:
        return 0
    objective = request.service_class.latency_objective_us
    wait = RETRY_AFTER_OBJECTIVE_FRACTION * objective * (0.5 + generator.random())
    return min(int(wait), limits.max_retry_after_us)
