"""Discovery and any number of Consul services as one endpoint source for the engine.

`endpoint_merge` merges what they report; this module delivers the changes in slices that block the event
loop for a few milliseconds at most.  Failed calls of discovery are retried here: to the engine any update,
even one from Consul, shows that discovery works.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.membership.consul import (
    Agents,
    BlockingQuery,
    ConsulClient,
    ConsulError,
    EntriesChange,
    ServiceUpdate,
    ServiceWatch,
    WatchCallbacks,
    WatchTarget,
)
from micadeck.membership.consul.config import ConsulConfig, Service
from micadeck.membership.discovery_watcher import DiscoveryWatcher
from micadeck.membership.endpoint_merge import EndpointMerge
from micadeck.membership.endpoint_observation import FULL_TRUST, Observation, Precedence
from micadeck.membership.watch_health import MAX_RETRY_WAIT_S
from micadeck.network import Address, Network, Timer
from micadeck.policy.events import ServerState

# Names of the other sources; a service's name cannot contain a space.
DISCOVERY = "the roster"
BEFORE_RESTART = "the list before the restart"
_SLICE_SIZE = 64  # endpoints
_PUBLISH_INTERVAL_S = 1.0  # for expiry, schedules and deadlines, which come without an answer
_RETRY_S = 0.2  # before the first retry of discovery; doubled each time, up to MAX_RETRY_WAIT_S
_MAX_BACKOFF_EXPONENT = 8

_PRECEDENCES = {ServerState.READY: Precedence.READY, ServerState.DRAINING: Precedence.DRAINING}


class EndpointObservations:
    """Maps discovery's lists, keyed by id, to observations, keyed by address.

    No input or output.  Owns the address of each id.
    """

    def __init__(self) -> None:
        """Start without endpoints."""
        self._addresses: dict[str, Address] = {}
        self._ids: dict[Address, str] = {}

    def apply(self, entries: Iterable[EndpointEntry]) -> tuple[list[Observation], list[Address]]:
        """Return the observations, and the addresses that no id uses any more."""
        observations: dict[Address, Observation] = {}
        removed: dict[Address, None] = {}
        for entry in entries:
            name, address = entry.endpoint.server, entry.address
            before = self._addresses.pop(name, None)
            if before is not None and before != address and self._ids.get(before) == name:
                del self._ids[before]
                removed[before] = None
            if address is None:
                continue
            # A new id takes over the address: later entries of the old id do not concern it.
            self._addresses[name], self._ids[address] = address, name
            state = entry.endpoint.state
            observations[address] = Observation.from_entry(entry, _PRECEDENCES[state], state.value)
        return list(observations.values()), [address for address in removed if address not in observations]


@dataclass(frozen=True, slots=True)
class DiscoveryState:
    """Discovery, if it is used, and the endpoints that are known from before the start."""

    watcher: DiscoveryWatcher | None
    known: EndpointUpdate


class EndpointSources:
    """The engine's endpoint source over discovery, if it is used, and the services of Consul.

    Owns the merge, the watch of each service and the timers of retries.

    Attributes:
        merge: The merged list.
        failures: The services whose last call failed, and why.
        unanswered: The services that have not answered yet.
        logs_agent: Whether to log once, after the start, which agent is used.
        on_partial_list: Called between the steps of reading a first list; what was read is kept.
    """

    def __init__(
        self,
        network: Network,
        discovery: DiscoveryState,
        config: ConsulConfig,
        seed: str,
        log: Callable[[str], None],
    ) -> None:
        """Create sources that are idle until `start`.

        Args:
            network: Dials, sleeps and has the clock.
            discovery: Discovery and the known endpoints.
            config: The services of Consul.
            seed: The seed of all random choices; it must differ between sidecars.
            log: Receives a line about each change of a source's state.
        """
        self._network = network
        self._discovery = discovery.watcher
        self._config = config
        self._log = log
        self._rng = random.Random(hashlib.blake2b(seed.encode(), digest_size=8).digest())
        self.merge = EndpointMerge(self._rng.getrandbits(32))
        self._watches: dict[str, ServiceWatch] = {}
        self.failures: dict[str, str] = {}
        self.unanswered: set[str] = set()
        self._as_of: dict[str, float] = {}  # the time at which a service's last answer was current
        self._warnings: dict[str, tuple[str, ...]] = {}
        self._discovery_observations = EndpointObservations()
        self._discovery_failures = 0
        self._retry: Timer | None = None
        self._publish_timer: Timer | None = None
        self.logs_agent = True
        self._agent_task: asyncio.Task[None] | None = None
        self._is_publish_planned = False
        self._is_closed = False
        self.on_partial_list: Callable[[], None] = lambda: None
        self._on_list: Callable[[EndpointUpdate], None] = lambda _: None
        self._on_failed: Callable[[], None] = lambda: None
        self._add_sources(discovery.known)

    def _add_sources(self, known: EndpointUpdate) -> None:
        has_discovery = self._discovery is not None
        if has_discovery:
            self.merge.add(DISCOVERY, FULL_TRUST)
            self._discovery_observations.apply(known.entries)
        for service in self._config.services:
            self.merge.add(service.name, service.trust)
        if not has_discovery:
            self.merge.add(BEFORE_RESTART, FULL_TRUST)  # until all services have answered
        self.merge.restore(DISCOVERY if has_discovery else BEFORE_RESTART, known)

    # Called by the engine

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None:
        """Set the callbacks, and start to watch the services."""
        self._on_list, self._on_failed = on_list, on_failed
        if self._discovery is not None:
            self._discovery.start(self._discovery_listed, self._discovery_failed)
        for service in self._config.services:
            self._watch(service)
        if self.logs_agent:
            self._agent_task = self._network.spawn(self._log_agent())
        self._publish_periodically()

    async def _log_agent(self) -> None:
        """Log which agent is used; the watches log why one cannot be called."""
        agents = Agents(self._config.agents, self._rng)
        client = ConsulClient(self._network, agents, self._config.services[0].request_options)
        await self._network.sleep(self._rng.random() * self._config.spread_s)
        try:
            self._log(f"consul: agent {await client.describe_agent()}")
        except ConsulError:
            pass
        finally:
            client.close()

    def watch(self, wanted: bool) -> None:
        """Start the watch of discovery, or stop it; without it, deliver what Consul has reported."""
        if self._discovery is not None:
            self._discovery.watch(wanted)
        elif wanted:
            self._network.call_soon(self._deliver_from_consul)

    def fetch(self) -> None:
        """Request the complete list once."""
        if self._discovery is not None:
            self._discovery.fetch()
        else:
            self._network.call_soon(self._deliver_from_consul)

    def suspect_stale(self) -> None:
        """Plan to restart the watch of discovery."""
        if self._discovery is not None:
            self._discovery.suspect_stale()

    def close(self) -> None:
        """Close all sources, and cancel all timers."""
        self._is_closed = True
        if self._discovery is not None:
            self._discovery.close()
        for watch in self._watches.values():
            watch.close()
        if self._agent_task is not None:
            self._agent_task.cancel()
        for timer in (self._retry, self._publish_timer):
            if timer is not None:
                timer.cancel()

    def reload(self, config: ConsulConfig) -> None:
        """Apply another configuration; a service's endpoints stay until its next answer."""
        before = {service.name: service for service in self._config.services}
        after = {service.name: service for service in config.services}
        is_same_call = (config.agents, config.wait_s) == (self._config.agents, self._config.wait_s)
        self._config = config
        for name in before.keys() - after.keys():
            self._watches.pop(name).close()
            self.failures.pop(name, None)
            self.unanswered.discard(name)
            self.merge.remove(name)
        for name, service in after.items():
            if name not in before:
                self.merge.add(name, service.trust)
            elif before[name].trust != service.trust:
                self.merge.set_trust(name, service.trust)
            if name not in before or not is_same_call or _needs_new_watch(before[name], service):
                if name in self._watches:
                    self._watches.pop(name).close()
                self._watch(service)
        self._remove_restored()
        self._publish()

    def ages(self) -> dict[str, float]:
        """Return the age of each service's last answer, in seconds."""
        return {name: self._now() - as_of for name, as_of in self._as_of.items()}

    def _deliver_from_consul(self) -> None:
        """Deliver what Consul has reported, or the failure of all services."""
        if self._is_closed:
            return
        answered = [name for name in self._watches if name not in self.unanswered]
        if any(name not in self.failures for name in answered):
            self._publish(always=True)
        elif self.failures.keys() >= self._watches.keys():
            self._on_failed()

    # Discovery

    def _discovery_listed(self, update: EndpointUpdate) -> None:
        self._discovery_failures = 0
        if update.full:
            self._discovery_observations = EndpointObservations()
        observations, removed = self._discovery_observations.apply(update.entries)
        now = self._now()
        if update.full:
            self.merge.observe(now, DISCOVERY, observations)
        else:
            self.merge.observe_changes(now, DISCOVERY, observations, removed)
        self._publish(always=True)

    def _discovery_failed(self) -> None:
        self._on_failed()
        if self._retry is None:
            wait_s = min(_RETRY_S * 2**self._discovery_failures, MAX_RETRY_WAIT_S)
            self._discovery_failures = min(self._discovery_failures + 1, _MAX_BACKOFF_EXPONENT)
            wait_s *= 0.5 + 0.5 * self._rng.random()
            self._retry = self._network.call_later(wait_s, self._retry_discovery)

    def _retry_discovery(self) -> None:
        self._retry = None
        # If the engine has retried meanwhile, its watch must not be replaced.
        if self._discovery is not None and not self._discovery.is_watching:
            self._discovery.watch(True)

    # Consul

    def _watch(self, service: Service) -> None:
        name = service.name
        self.unanswered.add(name)

        async def on_update(update: ServiceUpdate) -> None:
            await self._service_updated(name, update)

        agents = Agents(self._config.agents, self._rng)
        watch = ServiceWatch(
            self._network,
            ConsulClient(self._network, agents, service.request_options),
            WatchTarget(name, service.mapping, service.is_catalog),
            BlockingQuery(random.Random(self._rng.getrandbits(32)), self._config.wait_s),
            WatchCallbacks(
                accepts_empty=lambda agent: self.merge.accepts_empty(self._now(), name, agent),
                on_update=on_update,
                on_failed=lambda text: self._service_failed(name, text),
                on_partial_list=lambda: self.on_partial_list(),
            ),
        )
        self._watches[name] = watch
        watch.start(self._config.spread_s)

    async def _service_updated(self, name: str, update: ServiceUpdate) -> None:
        change = update.change
        self._as_of[name] = self._now() - update.lag_s
        if self.failures.pop(name, None) is not None:
            self._log(f"consul: {name}: {update.agent} answers")
        if change.warnings != self._warnings.get(name, ()):
            self._warnings[name] = change.warnings
            for warning in change.warnings:
                self._log(f"consul: {name}: {warning}")
        await self._observe_in_slices(name, change, update.lag_s)
        self.unanswered.discard(name)
        self._remove_restored()

    async def _observe_in_slices(self, name: str, change: EntriesChange, lag_s: float) -> None:
        removed = change.removed
        if change.is_complete:
            removed = list(self.merge.listed_addresses(name) - change.addresses)
        remaining = iter(removed)
        while True:
            # Removals come first: they must not wait behind thousands of listed endpoints.
            removed_slice = list(islice(remaining, _SLICE_SIZE))
            observed_slice = list(islice(change.observations, _SLICE_SIZE - len(removed_slice)))
            if removed_slice or any(each.precedence is not Precedence.READY for each in observed_slice):
                self.suspect_stale()  # discovery may still list these endpoints as ready
            self.merge.observe_changes(self._now(), name, observed_slice, removed_slice, lag_s=lag_s)
            self._publish()
            if len(removed_slice) + len(observed_slice) < _SLICE_SIZE:
                break
            if change.is_complete:
                self.on_partial_list()
            await self._network.sleep(0)

    def _remove_restored(self) -> None:
        if not self.unanswered and BEFORE_RESTART in self.merge.sources:
            self.merge.remove(BEFORE_RESTART)
            self._publish()

    def _service_failed(self, name: str, text: str) -> None:
        if name not in self.failures:
            self._log(f"consul: {name}: {text}; its last list stays in use")
        self.failures[name] = text

    # Publishing to the engine

    def _publish_periodically(self) -> None:
        # Scheduled first: an exception while publishing must not end the repetition.
        self._publish_timer = self._network.call_later(_PUBLISH_INTERVAL_S, self._publish_periodically)
        self._publish()

    def _publish(self, *, always: bool = False) -> None:
        """Deliver a slice of the changes now and the rest soon; if `always`, even without changes."""
        if self._is_closed:
            return
        update = self.merge.take_changes(self._now(), _SLICE_SIZE)
        if update is not None or always:
            self._on_list(update or EndpointUpdate(self.merge.version, False, ()))
        if self.merge.has_pending and not self._is_publish_planned:
            self._is_publish_planned = True
            self._network.call_soon(self._publish_rest)

    def _publish_rest(self) -> None:
        self._is_publish_planned = False
        self._publish()

    def _now(self) -> float:
        return self._network.now() / 1e6


def _needs_new_watch(before: Service, after: Service) -> bool:
    """Return whether a service's calls differ between two configurations."""
    return (before.request_options, before.mapping, before.is_catalog) != (
        after.request_options,
        after.mapping,
        after.is_catalog,
    )
