"""What makes the roster asked anew: an end that Consul tells, a fetch that is ahead of the watch."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import ScriptedDiscovery, line, play, until

from micadeck.engine import EndpointUpdate
from micadeck.membership.consul import EntriesChange, InstanceMapping, RequestOptions, ServiceUpdate
from micadeck.membership.consul.config import ConsulConfig, Service
from micadeck.membership.discovery_watcher import DiscoveryWatcher
from micadeck.membership.endpoint_observation import Observation, Precedence, SourceTrust
from micadeck.membership.sources import DiscoveryState, EndpointSources
from micadeck.network import LoopNetwork, parse_address

HERE = ("127.0.0.2", 80)


class Asked(DiscoveryWatcher):
    """Counts doubts in place of asking."""

    doubts = 0

    def suspect_stale(self) -> None:
        self.doubts += 1


@pytest.mark.parametrize(
    ("sightings", "gone", "doubts"),
    [
        ([], [], 0),
        ([Observation(HERE, Precedence.READY)], [], 0),
        ([Observation(HERE, Precedence.DRAINING)], [], 1),
        ([], [HERE], 1),
    ],
)
def test_an_end_that_consul_tells_makes_the_roster_asked(
    sightings: list[Observation], gone: list[Any], doubts: int
) -> None:
    async def work() -> None:
        network, nobody = LoopNetwork(), parse_address("127.0.0.1:9")
        roster = Asked(network, nobody, 1)
        services = (Service("tariff", RequestOptions(), InstanceMapping(), SourceTrust()),)
        config = ConsulConfig((nobody,), services, 1.0, 0.0)
        known = EndpointUpdate(1, True, ())
        sources = EndpointSources(network, DiscoveryState(roster, known), config, "1 n", lambda text: None)
        addresses = {each.address for each in sightings}
        change = EntriesChange(False, len(sightings), iter(sightings), gone, addresses, ())
        await sources._service_updated("tariff", ServiceUpdate(change, 0.0, "agent"))
        assert roster.doubts == doubts
        sources.close()

    play(work)


def test_a_watch_that_the_decisions_began_is_not_given_up_for_the_sources_own_retry() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [line("s-1", "127.0.0.2:80")]
        await server.start()
        network, nobody = LoopNetwork(), parse_address("127.0.0.1:9")
        roster = DiscoveryWatcher(network, nobody, 1)
        services = (Service("tariff", RequestOptions(), InstanceMapping(), SourceTrust()),)
        config = ConsulConfig((nobody,), services, 1.0, 0.0)
        discovery = DiscoveryState(roster, EndpointUpdate(1, True, ()))
        sources = EndpointSources(network, discovery, config, "1 n", lambda text: None)
        sources.logs_agent = False
        heard: list[EndpointUpdate] = []
        failed: list[None] = []
        sources.start(heard.append, lambda: failed.append(None))
        sources.follow(True)
        await until(
            lambda: len(failed) == 1
        )  # nobody is there: from here on the sources' own retry is planned
        roster._address = parse_address(server.address)
        sources.follow(True)  # and the decisions were first
        await until(lambda: len(server.heard) == 2)  # the first call, and the watch that waits
        retry = sources._retry
        assert retry is not None
        await until(lambda: sources._retry is None)
        await asyncio.sleep(0.05)
        assert len(server.heard) == 2 and server.closed == []
        sources.close()
        server.stop()

    play(work)


def test_a_fetch_that_is_ahead_of_the_watch_makes_the_watch_doubted() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [line("s-1", "127.0.0.2:80")]
        await server.start()
        roster = Asked(LoopNetwork(), parse_address(server.address), 0)
        heard: list[EndpointUpdate] = []
        roster.start(heard.append, lambda: None)
        roster.follow(True)
        await until(lambda: len(server.heard) == 2)  # the watch waits for news, and is told none
        roster.fetch()
        await until(lambda: len(heard) == 2)
        assert roster.doubts == 0  # both say the same
        server.version += 3
        roster.fetch()
        await until(lambda: len(heard) == 3)
        assert roster.doubts == 1
        roster.close()
        server.stop()
        await asyncio.sleep(0)

    play(work)
