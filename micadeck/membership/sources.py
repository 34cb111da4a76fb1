"""The roster and any number of Consul's services as one source for the engine.

What they say is merged by `merge`; here it is only heard, and handed on in slices that hold the event loop up
for a few milliseconds at most.  The roster's calls are made again from here when they fail: the decisions
take any list for a sign that discovery is well, also one that only Consul had news for.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable, Iterable
from itertools import islice

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.membership.consul import Agents, ConsulClient, ConsulError, Heard, ServiceWatch, watch
from micadeck.membership.consul.config import ConsulConfig, Service
from micadeck.membership.discovery_watcher import DiscoveryWatcher
from micadeck.membership.endpoint_merge import (
    TO_THE_LETTER,
    EndpointMerge,
    Observation,
    Precedence,
    sighting_of,
)
from micadeck.membership.watch_health import AGAIN_S
from micadeck.network import Address, Network, Timer
from micadeck.policy.events import ServerState

# Sources beside the services; no service's name has a space.
ROSTER = "the roster"
KNOWN = "the list before the restart"
_AT_ONCE = 64  # servers that are told in one slice
_TICK_S = 1.0  # for what time alone changes: hours of lending, silence, flapping that ended
_AGAIN_S = (
    0.2  # before a failed call of the roster is made again; twice as long each time, to the vigil's most
)

_CAUTIONS = {ServerState.READY: Precedence.READY, ServerState.DRAINING: Precedence.DRAINS}


class EndpointObservations:
    """The roster's lists, by id, as words on addresses.  No input or output."""

    def __init__(self) -> None:
        self._at: dict[str, Address] = {}
        self._ids: dict[Address, str] = {}

    def read(self, entries: Iterable[EndpointEntry]) -> tuple[list[Observation], list[Address]]:
        """Sightings, and the addresses where nobody is any more."""
        sightings: dict[Address, Observation] = {}
        left: dict[Address, None] = {}
        for entry in entries:
            name, address = entry.listed.server, entry.address
            before = self._at.pop(name, None)
            if before is not None and before != address and self._ids.get(before) == name:
                del self._ids[before]
                left[before] = None
            if address is None:
                continue
            # A new id takes an address over: what is told of the old one from here on is about nobody.
            self._at[name], self._ids[address] = address, name
            sightings[address] = sighting_of(entry, _CAUTIONS[entry.listed.state], entry.listed.state.value)
        return list(sightings.values()), [each for each in left if each not in sightings]


class EndpointSources:
    """`Source` of the engine over the roster, if there is one, and the services of a Consul configuration."""

    def __init__(
        self,
        network: Network,
        roster: DiscoveryWatcher | None,
        known: EndpointUpdate,
        config: ConsulConfig,
        seed: int,
        name: str,
        log: Callable[[str], None],
        *,
        greets: bool = True,
    ) -> None:
        self._network = network
        self._roster = roster
        self._config = config
        self._log = log
        # Sidecars that have one seed must not all ask, or choose, alike.
        salt = hashlib.blake2b(f"{seed} {name}".encode(), digest_size=8).digest()
        self._chance = random.Random(salt)
        self.merge = EndpointMerge(self._chance.getrandbits(32))
        self._watches: dict[str, ServiceWatch] = {}
        self.failing: dict[str, str] = {}  # services whose last call failed, and why
        self.unheard: set[str] = set()  # services that have not answered yet
        self._as_of: dict[str, float] = {}  # what time a service's last answer tells of
        self._doubts: dict[str, tuple[str, ...]] = {}
        self._roster_words = EndpointObservations()
        self._roster_failures = 0
        self._retry: Timer | None = None
        self._tick_timer: Timer | None = None
        self._greets = greets
        self._greeting: asyncio.Task[None] | None = None
        self._is_telling = False
        self._is_closed = False
        # Called between the pieces of a first list, with nothing but what is to stay made of it by then.
        self.settle: Callable[[], None] = lambda: None
        self._on_list: Callable[[EndpointUpdate], None] = lambda _: None
        self._on_failed: Callable[[], None] = lambda: None
        if roster is not None:
            self.merge.add(ROSTER, TO_THE_LETTER)
            self._roster_words.read(known.entries)
        for service in config.services:
            self.merge.add(service.name, service.trust)
        if roster is None:
            self.merge.add(KNOWN, TO_THE_LETTER)  # until all services were heard
        self.merge.remembered(ROSTER if roster is not None else KNOWN, known)

    # What the engine calls

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None:
        self._on_list, self._on_failed = on_list, on_failed
        if self._roster is not None:
            self._roster.start(self._roster_listed, self._roster_failed)
        for service in self._config.services:
            self._begin(service)
        if self._greets:
            self._greeting = self._network.spawn(self._greet())
        self._tick()

    async def _greet(self) -> None:
        """Say once who the agent is; what is wrong with one that can't be asked, the watches will tell."""
        client = ConsulClient(
            self._network, Agents(self._config.agents, self._chance), self._config.services[0].ask
        )
        await self._network.sleep(self._chance.random() * self._config.spread_s)
        try:
            self._log(f"consul: agent {await client.about()}")
        except ConsulError:
            pass
        finally:
            client.close()

    def watch(self, wanted: bool) -> None:
        if self._roster is not None:
            self._roster.watch(wanted)
        elif wanted:
            self._network.call_soon(self._answer)

    def fetch(self) -> None:
        if self._roster is not None:
            self._roster.fetch()
        else:
            self._network.call_soon(self._answer)

    def suspect_stale(self) -> None:
        if self._roster is not None:
            self._roster.suspect_stale()

    def close(self) -> None:
        self._is_closed = True
        if self._roster is not None:
            self._roster.close()
        for each in self._watches.values():
            each.close()
        if self._greeting is not None:
            self._greeting.cancel()
        for timer in (self._retry, self._tick_timer):
            if timer is not None:
                timer.cancel()

    def reload(self, config: ConsulConfig) -> None:
        """Take another configuration up: what a service said holds until it is heard anew."""
        before = {each.name: each for each in self._config.services}
        after = {each.name: each for each in config.services}
        is_same_call = (config.agents, config.wait_s) == (self._config.agents, self._config.wait_s)
        self._config = config
        for name in before.keys() - after.keys():
            self._watches.pop(name).close()
            self.failing.pop(name, None)
            self.unheard.discard(name)
            self.merge.remove(name)
        for name, service in after.items():
            if name not in before:
                self.merge.add(name, service.trust)
            elif before[name].trust != service.trust:
                self.merge.trust(name, service.trust)
            if name not in before or not is_same_call or _asks(before[name]) != _asks(service):
                if name in self._watches:
                    self._watches.pop(name).close()
                self._begin(service)
        self._forget_known()
        self._tell()

    def ages(self) -> dict[str, float]:
        """How long ago each service was as its last answer says, in seconds."""
        return {name: self._now() - as_of for name, as_of in self._as_of.items()}

    # Without a roster, the decisions' questions are answered from what Consul has said

    def _answer(self) -> None:
        if self._is_closed:
            return
        heard = [name for name in self._watches if name not in self.unheard]
        if any(name not in self.failing for name in heard):
            self._tell(owed=True)
        elif self.failing.keys() >= self._watches.keys():
            self._on_failed()

    # The roster

    def _roster_listed(self, listing: EndpointUpdate) -> None:
        self._roster_failures = 0
        if listing.full:
            self._roster_words = EndpointObservations()
        sightings, left = self._roster_words.read(listing.entries)
        now = self._now()
        if listing.full:
            self.merge.heard(now, ROSTER, sightings)
        else:
            self.merge.changed(now, ROSTER, sightings, left)
        self._tell(owed=True)

    def _roster_failed(self) -> None:
        self._on_failed()
        if self._retry is None:
            wait_s = min(_AGAIN_S * 2**self._roster_failures, AGAIN_S)
            self._roster_failures = min(self._roster_failures + 1, 8)
            self._retry = self._network.call_later(
                wait_s * (0.5 + 0.5 * self._chance.random()), self._roster_again
            )

    def _roster_again(self) -> None:
        self._retry = None
        # The decisions may have asked meanwhile: guards against giving up the watch that came of it.
        if self._roster is not None and not self._roster.is_watching:
            self._roster.watch(True)

    # Consul

    def _begin(self, service: Service) -> None:
        name = service.name
        self.unheard.add(name)

        async def heard(told: Heard) -> None:
            await self._consul_heard(name, told)

        self._watches[name] = watch(
            self._network,
            ConsulClient(self._network, Agents(self._config.agents, self._chance), service.ask),
            name,
            lambda agent: self.merge.believes_empty(self._now(), name, agent),
            heard,
            lambda text: self._consul_failed(name, text),
            seed=self._chance.getrandbits(32),
            wait_s=self._config.wait_s,
            names=service.names,
            settle=lambda: self.settle(),
            of_catalog=service.of_catalog,
        )
        self._watches[name].start(self._config.spread_s)

    async def _consul_heard(self, name: str, heard: Heard) -> None:
        news = heard.news
        self._as_of[name] = self._now() - heard.lag_s
        if self.failing.pop(name, None) is not None:
            self._log(f"consul: {name}: {heard.agent} answers")
        if news.doubts != self._doubts.get(name, ()):
            self._doubts[name] = news.doubts
            for each in news.doubts:
                self._log(f"consul: {name}: {each}")
        gone = news.gone
        if news.is_whole:
            gone = list(self.merge.addresses(name) - news.addresses)
        left = iter(gone)
        while True:
            # Who is gone comes first: that must not wait behind thousands that are there.
            some_gone = list(islice(left, _AT_ONCE))
            some = list(islice(news.sightings, _AT_ONCE - len(some_gone)))
            if some_gone or any(each.caution is not Precedence.READY for each in some):
                self.suspect_stale()  # what ends here may be listed there: has the roster been heard since?
            self.merge.changed(self._now(), name, some, some_gone, lag_s=heard.lag_s)
            self._tell()
            if len(some) + len(some_gone) < _AT_ONCE:
                break
            if news.is_whole:
                self.settle()
            await self._network.sleep(0)
        self.unheard.discard(name)
        self._forget_known()

    def _forget_known(self) -> None:
        if not self.unheard and KNOWN in self.merge.sources:
            self.merge.remove(KNOWN)
            self._tell()

    def _consul_failed(self, name: str, text: str) -> None:
        if name not in self.failing:
            self._log(f"consul: {name}: {text}; its last list holds")
        self.failing[name] = text

    # Towards the engine

    def _tick(self) -> None:
        self._tell()
        self._tick_timer = self._network.call_later(_TICK_S, self._tick)

    def _tell(self, *, owed: bool = False) -> None:
        """Hand on what changed, a slice now and the rest soon; a list without news only if one is owed."""
        if self._is_closed:
            return
        listing = self.merge.changes(self._now(), _AT_ONCE)
        if listing is not None or owed:
            self._on_list(listing or EndpointUpdate(self.merge.version, False, ()))
        if self.merge.is_behind and not self._is_telling:
            self._is_telling = True
            self._network.call_soon(self._tell_on)

    def _tell_on(self) -> None:
        self._is_telling = False
        self._tell()

    def _now(self) -> float:
        return self._network.now() / 1e6


def _asks(service: Service) -> tuple[object, ...]:
    return service.ask, service.names, service.of_catalog
