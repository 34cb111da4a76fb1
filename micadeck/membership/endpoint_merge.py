"""Merges the endpoint lists of several sources into one.  No input or output.

An endpoint is identified by its address.  The rules of precedence:

| sources | merged state |
| --- | --- |
| one reports draining or unhealthy, another ready | the higher `Precedence` |
| one that reported draining removed it, another lists it | draining, until the former lists it as ready |
| one that reported otherwise removed it, another lists it | draining for `removal_hold_s`, then the other's |
| ready, by an answer no newer than the one that reported draining | draining |
| none lists it | removed |
| one does not answer | its last list for `max_silence_s`, then draining |
| one sends an empty list after a non-empty one | the latter, until the empty one is confirmed |
| more than `1 - panic_threshold` of one's endpoints are unhealthy | enough of them are used to reach it |
| one reports `flap_threshold` transitions in `flap_window_s` | unhealthy for the rest of the window |
| one whose nodes are lent, outside the lent hours | draining |

No rule delays a drain: each reduces new requests to an endpoint, or overrides unhealthy, never draining.

The cost of a change does not grow with the list: only endpoints that may have changed are evaluated again.
"""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass, replace

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.membership.endpoint_observation import Observation, Precedence, SourceTrust
from micadeck.membership.source_endpoints import ObservedEndpoint, SelectionKey, SourceEndpoints
from micadeck.network import Address, format_address
from micadeck.policy.events import ListedServer, ServerState

SourceObservation = tuple[str, Observation]
"""A source and its report."""


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """One endpoint of the merged list, with what each source reports."""

    name: str
    address: Address
    state: ServerState
    observations: tuple[SourceObservation, ...]


class EndpointMerge:
    """The sources of one sidecar and their merged list.

    Times are seconds of Unix time that do not step back.  Owns all sources' reports, the published list and
    the queue of endpoints to evaluate.
    """

    def __init__(self, salt: int = 0) -> None:
        """Start without sources.

        Args:
            salt: Differs between sidecars, so that they take different unhealthy endpoints into use.
        """
        self._salt = salt
        self._sources: dict[str, SourceEndpoints] = {}
        self._published: dict[Address, EndpointEntry] = {}
        self._address_by_name: dict[str, Address] = {}  # published endpoints only
        self._pending_removals: list[EndpointEntry] = []  # of ids that share another id's address
        self._urgent: dict[Address, None] = {}  # state may have become worse; evaluated first
        self._pending: dict[Address, None] = {}  # may have changed otherwise
        self._deadlines: list[tuple[float, str, Address]] = []  # heap: end of a removal hold or of flapping
        self.version = 0

    def add(self, source: str, trust: SourceTrust | None = None) -> None:
        """Add a source without endpoints."""
        self._sources[source] = SourceEndpoints(trust or SourceTrust(), self._selection_key)

    @property
    def sources(self) -> tuple[str, ...]:
        """The names of all sources."""
        return tuple(self._sources)

    def set_trust(self, source: str, trust: SourceTrust) -> None:
        """Change how far a source is trusted."""
        endpoints = self._sources[source]
        endpoints.trust = trust
        self._pending |= dict.fromkeys(endpoints.endpoints)

    def remove(self, source: str) -> None:
        """Remove a source and all that it reported."""
        self._pending |= dict.fromkeys(self._sources.pop(source).endpoints)

    def restore(self, source: str, update: EndpointUpdate) -> None:
        """Restore a list from before a restart as published, and as the source's until it answers."""
        endpoints = self._sources[source]
        for entry in update.entries:
            if entry.address is None:
                continue
            if entry.address in self._published:
                # An endpoint is identified by its address, so only the first id is published.
                removed = replace(entry.endpoint, state=ServerState.REMOVED)
                self._pending_removals.append(EndpointEntry(removed, None))
                continue
            is_ready = entry.endpoint.state is ServerState.READY
            precedence = Precedence.READY if is_ready else Precedence.DRAINING
            self._observe(endpoints, 0.0, 0.0, Observation.from_entry(entry, precedence))
            self._published[entry.address] = entry
            self._address_by_name[entry.endpoint.server] = entry.address

    def listed_addresses(self, source: str) -> set[Address]:
        """Return the addresses that a source lists."""
        endpoints = self._sources[source].endpoints
        return {address for address, observed in endpoints.items() if observed.is_listed}

    # Reports of the sources

    def observe(
        self,
        now: float,
        source: str,
        observations: Iterable[Observation],
        *,
        lag_s: float = 0.0,
        agent: str = "",
    ) -> bool:
        """Accept a source's complete list.

        Args:
            now: The current time.
            source: The name of the source.
            observations: All endpoints that it lists.
            lag_s: How old the list is.
            agent: The agent that sent it.

        Returns:
            False if the list is empty and not accepted yet: read it again.
        """
        current = {observation.address: observation for observation in observations}
        if not current and not self.accepts_empty(now, source, agent):
            return False
        removed = self.listed_addresses(source) - current.keys()
        self.observe_changes(now, source, current.values(), removed, lag_s=lag_s)
        return True

    def accepts_empty(self, now: float, source: str, agent: str = "") -> bool:
        """Record an empty list of a source; return whether it is accepted."""
        return self._sources[source].accepts_empty(now, agent)

    def observe_changes(
        self,
        now: float,
        source: str,
        observations: Iterable[Observation],
        removed: Iterable[Address] = (),
        *,
        lag_s: float = 0.0,
    ) -> None:
        """Accept changes of a source's list, or an answer without any.

        Args:
            now: The current time.
            source: The name of the source.
            observations: The endpoints that are new or have changed.
            removed: The addresses that are no longer listed.
            lag_s: How old the changes are.
        """
        endpoints = self._sources[source]
        trust = endpoints.trust
        endpoints.record_answer(now)
        as_of = now - lag_s
        for address in removed:
            self._remove(source, now, as_of, address)
        for observation in observations:
            transitions = self._observe(endpoints, now, as_of, observation).transitions
            if len(transitions) >= trust.flap_threshold:
                flap_end = transitions[-trust.flap_threshold] + trust.flap_window_s
                heapq.heappush(self._deadlines, (flap_end, source, observation.address))
        for address in list(endpoints.deferred):
            observed = endpoints.endpoints[address]
            if observed.deferred is None:
                endpoints.deferred.discard(address)
            elif as_of > (observed.draining_since or 0.0):
                self._observe(endpoints, now, as_of, observed.deferred)

    def _remove(self, source: str, now: float, as_of: float, address: Address) -> None:
        observed = self._sources[source].remove(now, as_of, address)
        if observed is None:
            return
        if observed.removal_hold_until is not None:
            heapq.heappush(self._deadlines, (observed.removal_hold_until, source, address))
        self._urgent[address] = None

    def _observe(
        self, endpoints: SourceEndpoints, now: float, as_of: float, observation: Observation
    ) -> ObservedEndpoint:
        observed = endpoints.observe(now, as_of, observation)
        is_ready = observed.observation.precedence is Precedence.READY
        (self._pending if is_ready else self._urgent)[observation.address] = None
        return observed

    # The merged list

    def take_changes(self, now: float, limit: int | None = None) -> EndpointUpdate | None:
        """Return what changed since the last call; None if nothing did.

        Args:
            now: The current time.
            limit: How many endpoints to evaluate, the urgent ones first; call again while `has_pending`.
        """
        self._apply_deadlines(now)
        for endpoints in self._sources.values():
            self._pending |= dict.fromkeys(endpoints.apply_panic_threshold())
        entries, self._pending_removals = self._pending_removals, []
        remaining = len(self._urgent) + len(self._pending) if limit is None else limit
        while remaining > 0 and self.has_pending:
            remaining -= 1
            # An address in both is evaluated twice; the second time changes nothing.
            queue = self._urgent or self._pending
            address = next(iter(queue))
            del queue[address]
            self._evaluate(address, now, entries)
        if not entries:
            return None
        self.version += 1
        return EndpointUpdate(self.version, False, tuple(entries))

    @property
    def has_pending(self) -> bool:
        """Whether endpoints wait to be evaluated."""
        return bool(self._urgent or self._pending)

    def snapshot(self) -> EndpointUpdate:
        """Return everything that was published so far, as one list."""
        return EndpointUpdate(self.version, True, tuple(self._published.values()))

    def endpoints(self, now: float) -> list[MergedEndpoint]:
        """Return every listed endpoint with what each source reports."""
        self._apply_deadlines(now)
        addresses = dict.fromkeys(
            address for source in self._sources.values() for address in source.endpoints
        )
        merged = []
        for address in addresses:
            observations = self._observations(address, now)
            if observations is not None:
                listed = self._merge(address, observations).endpoint
                merged.append(MergedEndpoint(listed.server, address, listed.state, tuple(observations)))
        return merged

    def _apply_deadlines(self, now: float) -> None:
        """Apply expiry, schedules and deadlines."""
        for endpoints in self._sources.values():
            trust, answered_at = endpoints.trust, endpoints.answered_at
            is_expired = answered_at is not None and now - answered_at > trust.max_silence_s
            is_available = trust.is_available_at is None or trust.is_available_at(now)
            if (is_expired, is_available) != (endpoints.is_expired, endpoints.is_available):
                endpoints.is_expired, endpoints.is_available = is_expired, is_available
                self._pending |= dict.fromkeys(endpoints.endpoints)
        while self._deadlines and self._deadlines[0][0] < now:
            _, source, address = heapq.heappop(self._deadlines)
            owner = self._sources.get(source)
            observed = owner.endpoints.get(address) if owner is not None else None
            if owner is None or observed is None:
                continue
            if observed.removal_hold_until is not None and observed.removal_hold_until < now:
                owner.forget(address)
            else:
                owner.update_count(observed, now)
            self._pending[address] = None

    def _evaluate(self, address: Address, now: float, entries: list[EndpointEntry]) -> None:
        """Publish the current state of one endpoint, if it changed."""
        published = self._published.get(address)
        observations = self._observations(address, now)
        if observations is None:
            self._forget(address)
            if published is not None:
                del self._published[address]
                del self._address_by_name[published.endpoint.server]
                removed = replace(published.endpoint, state=ServerState.REMOVED)
                entries.append(EndpointEntry(removed, None))
            return
        entry = self._merge(address, observations)
        if entry != published:
            before = self._address_by_name.get(entry.endpoint.server, address)
            if before != address:
                del self._published[before]
            self._published[address] = entry
            self._address_by_name[entry.endpoint.server] = address
            entries.append(entry)

    def _forget(self, address: Address) -> None:
        for endpoints in self._sources.values():
            if address in endpoints.endpoints:
                endpoints.forget(address)

    def _observations(self, address: Address, now: float) -> list[SourceObservation] | None:
        """Return each source's report about an endpoint; None if no source lists it."""
        observations, is_listed = [], False
        for source, endpoints in self._sources.items():
            observed = endpoints.endpoints.get(address)
            if observed is not None:
                observations.append((source, endpoints.effective_observation(observed, now)))
                is_listed = is_listed or observed.is_listed
        return observations if is_listed else None

    def _merge(self, address: Address, observations: list[SourceObservation]) -> EndpointEntry:
        reports = [observation for _, observation in observations]
        precedence = max(report.precedence for report in reports)
        published = self._published.get(address)
        start_times = [report.started_at for report in reports if report.started_at is not None]
        listed = ListedServer(
            server=self._published_name(address, observations),
            zone=next((report.zone for report in reports if report.zone), ""),
            kind=next((report.kind for report in reports if report.kind), ""),
            cell=next((report.cell for report in reports if report.cell), 0),
            state=ServerState.READY if precedence is Precedence.READY else ServerState.DRAINING,
            nominal=min(report.weight for report in reports),
            # The latest start gives the longest slow start; without one, the start is unchanged.
            started_at=max(
                start_times, default=published.endpoint.started_at if published is not None else None
            ),
        )
        return EndpointEntry(listed, address)

    def _published_name(self, address: Address, observations: list[SourceObservation]) -> str:
        """Return the name under which to publish an endpoint.

        A name is kept once published: another name is another server to the balancer, with cold connections.
        A name that a source moved to another address follows once the old address is no longer listed.
        """
        published = self._published.get(address)
        if published is not None:
            return published.endpoint.server
        name = next((observation.name for _, observation in observations if observation.name), "")
        owner = self._address_by_name.get(name)
        if not name or (owner is not None and owner != address and self._is_listed(owner)):
            return format_address(address)
        return name

    def _is_listed(self, address: Address) -> bool:
        return any(
            (observed := endpoints.endpoints.get(address)) is not None and observed.is_listed
            for endpoints in self._sources.values()
        )

    def _selection_key(self, address: Address) -> SelectionKey:
        # Not a checksum: checksums are linear, so all salts would select one of only two sets.
        salted = f"{self._salt} {address[0]} {address[1]}".encode()
        return int.from_bytes(hashlib.blake2b(salted, digest_size=8).digest(), "big"), address
