"""The endpoints that one source has reported, under the rules of its trust.  No input or output."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from micadeck.membership.endpoint_observation import Observation, Precedence, SourceTrust
from micadeck.network import Address

SelectionKey = tuple[int, Address]
"""The position of an unhealthy endpoint in the order in which the panic threshold takes them into use."""

_CEILING_OFFSET = 0.999  # rounds up with `int`, and ignores floating-point error


@dataclass(slots=True)
class ObservedEndpoint:
    """One endpoint as one source has reported it so far; times in seconds.

    Attributes:
        observation: The last report that was accepted.
        selection_key: See `SelectionKey`.
        draining_since: When it began to drain, in the source's own time; None if it does not.
        transitions: When it changed from ready, or back to it; oldest first.
        is_listed: Whether the source's last list has it.
        removal_hold_until: For one that is no longer listed, until when it stays out of use; None for as long
            as any source lists it.
        deferred: A report that was too old to end the drain.
        counted_as: The state under which it is counted; None if it is not.
    """

    observation: Observation
    selection_key: SelectionKey
    draining_since: float | None = None
    transitions: deque[float] = field(default_factory=deque)
    is_listed: bool = True
    removal_hold_until: float | None = None
    deferred: Observation | None = None
    counted_as: Precedence | None = None

    def damped_observation(self, trust: SourceTrust, now: float) -> Observation:
        """Return the report, subject to removal and flap detection."""
        observation = self.observation
        if not self.is_listed:
            reason = f"no longer listed ({observation.reason or 'ready'})"
            return replace(observation, precedence=Precedence.DRAINING, reason=reason)
        while self.transitions and now - self.transitions[0] > trust.flap_window_s:
            self.transitions.popleft()
        if observation.precedence is Precedence.READY and len(self.transitions) >= trust.flap_threshold:
            reason = f"flapping: {len(self.transitions)} transitions"
            return replace(observation, precedence=Precedence.UNHEALTHY, reason=reason)
        return observation


class SourceEndpoints:
    """One source's endpoints and their counts by state.

    Owns the source's reports, the time of its last answer and the selection by its panic threshold.
    """

    def __init__(self, trust: SourceTrust, selection_key: Callable[[Address], SelectionKey]) -> None:
        """Start without endpoints; `selection_key` orders the unhealthy ones."""
        self.trust = trust
        self.endpoints: dict[Address, ObservedEndpoint] = {}
        self.listed_count = 0
        self.answered_at: float | None = None
        self.is_expired = False  # no answer for `max_silence_s`
        self.is_available = True  # now is within the hours of its schedule, if it has one
        self.deferred: set[Address] = set()  # endpoints with a deferred report
        self._selection_key = selection_key
        self._empty_since: float | None = None
        self._empty_agent = ""
        self._ready_count = 0
        self._unhealthy: list[SelectionKey] = []  # sorted
        self._last_selected: SelectionKey | None = None  # the unhealthy ones up to it are in use

    def record_answer(self, now: float) -> None:
        """Record an answer that lists endpoints."""
        self.answered_at = now
        self._empty_since = None

    def accepts_empty(self, now: float, agent: str) -> bool:
        """Record an empty list; return whether to accept it.

        A restarted agent may send one, so it must be repeated, later or by another agent.
        """
        self.answered_at = now
        if not self.listed_count:
            return True
        if self._empty_since is None:
            self._empty_since, self._empty_agent = now, agent
        return now - self._empty_since >= self.trust.empty_confirm_s or agent != self._empty_agent

    def observe(self, now: float, as_of: float, observation: Observation) -> ObservedEndpoint:
        """Accept a report that was true at `as_of`; a ready one older than a drain is deferred."""
        address = observation.address
        observed = self.endpoints.get(address)
        if observed is None:
            observed = ObservedEndpoint(observation, self._selection_key(address))
            self.endpoints[address] = observed
            self.listed_count += 1
        else:
            self.listed_count += not observed.is_listed
            was_ready = observed.observation.precedence is Precedence.READY
            if was_ready != (observation.precedence is Precedence.READY):
                observed.transitions.append(now)
        observed.is_listed, observed.removal_hold_until, observed.deferred = True, None, None
        if observation.precedence is Precedence.DRAINING:
            observed.draining_since = max(as_of, observed.draining_since or as_of)
        elif observed.draining_since is not None:
            if as_of < now and as_of <= observed.draining_since:
                observed.deferred = observation
                self.deferred.add(address)
                reason = f"{observation.reason}, but a report as recent says draining"
                observation = replace(observation, precedence=Precedence.DRAINING, reason=reason)
            else:
                observed.draining_since = None
        observed.observation = observation
        self.update_count(observed, now)
        return observed

    def remove(self, now: float, as_of: float, address: Address) -> ObservedEndpoint | None:
        """Record that an endpoint is no longer listed; return it, or None if it was not listed before."""
        observed = self.endpoints.get(address)
        if observed is None or not observed.is_listed:
            return None
        observed.is_listed, observed.deferred = False, None
        self.listed_count -= 1
        self.deferred.discard(address)
        if observed.draining_since is None:
            observed.draining_since = as_of
            observed.removal_hold_until = now + self.trust.removal_hold_s
        self.update_count(observed, now)
        return observed

    def forget(self, address: Address) -> None:
        """Drop everything about an endpoint."""
        observed = self.endpoints.pop(address)
        self.listed_count -= observed.is_listed
        self.deferred.discard(address)
        self._count_as(observed, None)

    def update_count(self, observed: ObservedEndpoint, now: float) -> None:
        """Count an endpoint under its current state."""
        self._count_as(observed, observed.damped_observation(self.trust, now).precedence)

    def _count_as(self, observed: ObservedEndpoint, state: Precedence | None) -> None:
        before, observed.counted_as = observed.counted_as, state
        if before is state:
            return
        self._ready_count += (state is Precedence.READY) - (before is Precedence.READY)
        if before is Precedence.UNHEALTHY:
            del self._unhealthy[bisect_left(self._unhealthy, observed.selection_key)]
        if state is Precedence.UNHEALTHY:
            insort(self._unhealthy, observed.selection_key)

    def apply_panic_threshold(self) -> list[Address]:
        """Take unhealthy endpoints into use if too many are; return those for which that changed.

        The health check is then more likely at fault than the endpoints.  Draining ones must not get requests
        in any case, and are not counted.
        """
        total = self._ready_count + len(self._unhealthy)
        needed_count = int(total * self.trust.panic_threshold + _CEILING_OFFSET) - self._ready_count
        selected_count = min(needed_count, len(self._unhealthy))
        before, self._last_selected = (
            self._last_selected,
            self._unhealthy[selected_count - 1] if selected_count > 0 else None,
        )
        if before == self._last_selected:
            return []
        ends = [
            bisect_right(self._unhealthy, key) if key is not None else 0
            for key in (before, self._last_selected)
        ]
        return [address for _, address in self._unhealthy[min(ends) : max(ends)]]

    def effective_observation(self, observed: ObservedEndpoint, now: float) -> Observation:
        """Return the report about an endpoint, subject to all rules of the source's trust."""
        observation = observed.damped_observation(self.trust, now)
        if not observed.is_listed:
            return observation
        if self.is_expired:
            reason = "its source has not answered for too long"
            return replace(observation, precedence=Precedence.DRAINING, reason=reason)
        if not self.is_available:
            return replace(observation, precedence=Precedence.DRAINING, reason="outside its lent hours")
        if (
            observation.precedence is Precedence.UNHEALTHY
            and self._last_selected is not None
            and observed.selection_key <= self._last_selected
        ):
            reason = f"in use despite {observation.reason}: too many are unhealthy"
            return replace(observation, precedence=Precedence.READY, reason=reason)
        return observation
