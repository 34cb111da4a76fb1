"""Endpoints: the servers that discovery lists, and which of them are ready."""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from micadeck.policy.actions import CloseIdle
from micadeck.policy.context import DecisionContext
from micadeck.policy.decaying_rate import DecayingRate
from micadeck.policy.events import ServerState

if TYPE_CHECKING:
    from micadeck.policy.full_backoff import FullBackoff
    from micadeck.policy.open_requests import Attempt

MIN_SUBSET_SIZE: Final = 4.0  # endpoints that an idle balancer uses
SUBSET_PER_REQUEST_IN_FLIGHT: Final = 1.0  # endpoints added for each, so that some are idle


def subset_size(mean_load: float) -> int:
    """Return how many endpoints a balancer with this mean load sends to."""
    return int(MIN_SUBSET_SIZE + SUBSET_PER_REQUEST_IN_FLIGHT * mean_load)


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this balancer knows of one server."""

    name: str
    random_rank: float  # drawn once: every balancer has its own order of endpoints
    failures: DecayingRate  # attempts that failed
    ended_attempts: DecayingRate  # all attempts that ended
    zone: str = ""
    cell: int = 0
    nominal: float = 1.0  # size as listed
    relative_latency: float = 1.0  # 1.0: the typical latency
    state: ServerState = ServerState.REMOVED
    state_changed_at: int = 0
    listed_start: int | None = None  # start time as listed
    started_at: int | None = None  # start time, limited to what is plausible
    cold_since: int | None = None
    slow_start_allowance: float = 0.0  # requests of mean cost that may be sent to it now, while it is cold
    allowance_updated_at: int = 0
    in_flight: int = 0
    transferring: int = 0  # of these, only transferring bytes
    abandoned_until: list[int] = field(default_factory=list)  # when each abandoned attempt stops counting
    connections: int = 0  # open connections, estimated from attempts
    idle_since: int | None = None  # when a connection was last used; None: there is none to reuse
    last_answer_at: int = -1
    full_backoffs: dict[str, FullBackoff] = field(default_factory=dict)  # by class of requests
    consecutive_failures: int = 0
    malformed_responses: int = 0  # in a row
    ejections: int = 0  # since it was last readmitted
    ejected_until: int | None = None  # None: not ejected
    refuses_connections: bool = False  # ejected because no server listens there
    probation_attempt: Attempt | None = None  # the single attempt that may readmit it


def _random_rank(endpoint: Endpoint) -> float:
    return endpoint.random_rank


class EndpointRegistry:
    """Keeps track of which endpoints are listed and ready, from the lists of discovery.

    Owns the records of the endpoints, the list of ready ones in order of random rank with its totals, and the
    list of ejected ones, which the outlier detector fills.  Guards rule 3: connections to
    an endpoint that drains or was removed are closed as soon as that is known.
    """

    def __init__(self, context: DecisionContext) -> None:
        """Start with no endpoint."""
        self._context = context
        self.by_name: dict[str, Endpoint] = {}  # those listed, and those removed with an attempt pending
        self.ready: list[Endpoint] = []  # in order of random rank
        self.ready_capacity = 0.0  # sum of their nominal sizes
        self.remote_fraction = 0.0  # part of the ready endpoints that are in other zones
        self._remote_ready_count = 0
        self.ejected: list[Endpoint] = []

    def add(self, name: str, failure_span_us: float) -> Endpoint:
        """Create the record of an endpoint that was not listed before."""
        rank = self._context.random.random()
        endpoint = Endpoint(name, rank, DecayingRate(failure_span_us), DecayingRate(failure_span_us))
        self.by_name[name] = endpoint
        return endpoint

    def begin_complete_list(self, listed: dict[str, None]) -> None:
        """Clear the ready list; mark endpoints missing from a complete list as removed."""
        self.ready, self._remote_ready_count, self.ready_capacity = [], 0, 0.0
        for endpoint in self.by_name.values():
            if endpoint.name not in listed:
                self.set_state(endpoint, ServerState.REMOVED)

    def begin_changes(self, listed: Iterable[str]) -> None:
        """Remove the endpoints that changed from the ready list.

        Only these are removed and inserted again, so that a change costs little however long the list is.
        """
        for endpoint in [self.by_name[name] for name in listed if name in self.by_name]:
            if endpoint.state is ServerState.READY:
                del self.ready[bisect.bisect_left(self.ready, endpoint.random_rank, key=_random_rank)]
                self._count_ready(endpoint, -1)

    def finish_update(self, updated: list[Endpoint], is_complete: bool) -> None:
        """Forget removed endpoints and add ready ones to the ready list."""
        for endpoint in updated:
            self.forget_if_removed(endpoint)
        ready = [endpoint for endpoint in updated if endpoint.state is ServerState.READY]
        for endpoint in ready:
            self._count_ready(endpoint, 1)
            if not is_complete:
                bisect.insort(self.ready, endpoint, key=_random_rank)
        if is_complete:
            self.ready = sorted(ready, key=_random_rank)
        self.remote_fraction = self._remote_ready_count / max(len(self.ready), 1)
        self._estimate_latencies(ready)

    def _estimate_latencies(self, ready: list[Endpoint]) -> None:
        """Estimate unknown latencies: inversely proportional to nominal size."""
        mean_capacity = self.ready_capacity / max(len(self.ready), 1)
        for endpoint in ready:
            if endpoint.relative_latency <= 0.0:
                nominal = endpoint.nominal
                endpoint.relative_latency = mean_capacity / nominal if nominal > 0.0 else 1.0

    def _count_ready(self, endpoint: Endpoint, change: int) -> None:
        self._remote_ready_count += change * (endpoint.zone != self._context.settings.zone)
        self.ready_capacity += change * endpoint.nominal

    def set_state(self, endpoint: Endpoint, state: ServerState) -> None:
        """Set the listed state; close idle connections to an endpoint that leaves."""
        is_change = endpoint.state is not state
        endpoint.state = state
        if is_change:
            endpoint.state_changed_at = self._context.now
            self.close_idle_if_leaving(endpoint)

    def close_idle_if_leaving(self, endpoint: Endpoint) -> None:
        """Close idle connections to an endpoint that drains or was removed, where a rule requires it.

        To be called when its state changes and whenever an attempt ends, since its connection becomes idle.
        """
        is_required = self._context.settings.rules.close_idle_within_us is not None
        if is_required and endpoint.state is not ServerState.READY:
            self.close_idle(endpoint)

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close all idle connections to an endpoint."""
        endpoint.connections = endpoint.in_flight
        self._context.actions.append(CloseIdle(endpoint.name))

    def forget_if_removed(self, endpoint: Endpoint) -> None:
        """Forget a removed endpoint once its last attempt has ended.

        Otherwise memory would grow where servers are replaced all day, and removed endpoints would count as
        ejected.  One that is listed again is cold by its listed start time.
        """
        if endpoint.state is ServerState.REMOVED and endpoint.in_flight == 0:
            if self.by_name.get(endpoint.name) is endpoint:
                del self.by_name[endpoint.name]
            if endpoint in self.ejected:
                self.ejected.remove(endpoint)

    def set_failure_span(self, span_us: float) -> None:
        """Change the time constant of all endpoints' failure rates."""
        for endpoint in self.by_name.values():
            endpoint.failures.set_span(span_us)
            endpoint.ended_attempts.set_span(span_us)

    def listed_count(self) -> int:
        """Return how many endpoints are listed; safe on any thread."""
        return sum(endpoint.state is not ServerState.REMOVED for endpoint in list(self.by_name.values()))

    def available_count(self) -> int:
        """Return how many endpoints are ready and not ejected; safe on any thread."""
        return sum(endpoint.ejected_until is None for endpoint in list(self.ready))
