"""What makes the list suspect: an end that Consul reports, a fetch that is ahead of the watch."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import ScriptedDiscovery, list_entry, run_async, until

from micadeck.engine import EndpointUpdate
from micadeck.membership.consul import EntriesChange, InstanceMapping, RequestOptions, ServiceUpdate
from micadeck.membership.consul.config import ConsulConfig, Service
from micadeck.membership.discovery_watcher import DiscoveryWatcher
from micadeck.membership.endpoint_observation import Observation, Precedence, SourceTrust
from micadeck.membership.sources import DiscoveryState, EndpointSources
from micadeck.network import LoopNetwork, parse_address

HERE = ("127.0.0.2", 80)


class CountingWatcher(DiscoveryWatcher):
    """Counts suspicions in place of a renewal."""

    suspicions = 0

    def suspect_stale(self) -> None:
        self.suspicions += 1


@pytest.mark.parametrize(
    ("observations", "removed", "suspicions"),
    [
        ([], [], 0),
        ([Observation(HERE, Precedence.READY)], [], 0),
        ([Observation(HERE, Precedence.DRAINING)], [], 1),
        ([], [HERE], 1),
    ],
)
def test_an_end_that_consul_reports_makes_the_list_suspect(
    observations: list[Observation], removed: list[Any], suspicions: int
) -> None:
    async def work() -> None:
        network, nobody = LoopNetwork(), parse_address("127.0.0.1:9")
        roster = CountingWatcher(network, nobody, 1)
        services = (Service("tariff", RequestOptions(), InstanceMapping(), SourceTrust()),)
        config = ConsulConfig((nobody,), services, 1.0, 0.0)
        known = EndpointUpdate(1, True, ())
        sources = EndpointSources(network, DiscoveryState(roster, known), config, "1 n", lambda text: None)
        addresses = {each.address for each in observations}
        change = EntriesChange(False, len(observations), iter(observations), removed, addresses, ())
        await sources._service_updated("tariff", ServiceUpdate(change, 0.0, "agent"))
        assert roster.suspicions == suspicions
        sources.close()

    run_async(work)


def test_a_watch_that_the_decisions_began_is_not_given_up_for_the_sources_own_retry() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [list_entry("s-1", "127.0.0.2:80")]
        await server.start()
        network, nobody = LoopNetwork(), parse_address("127.0.0.1:9")
        roster = DiscoveryWatcher(network, nobody, 1)
        services = (Service("tariff", RequestOptions(), InstanceMapping(), SourceTrust()),)
        config = ConsulConfig((nobody,), services, 1.0, 0.0)
        discovery = DiscoveryState(roster, EndpointUpdate(1, True, ()))
        sources = EndpointSources(network, discovery, config, "1 n", lambda text: None)
        sources.logs_agent = False
        updates: list[EndpointUpdate] = []
        failed: list[None] = []
        sources.start(updates.append, lambda: failed.append(None))
        sources.watch(True)
        await until(
            lambda: len(failed) == 1
        )  # nobody is there: from here on the sources' own retry is planned
        roster._address = parse_address(server.address)
        sources.watch(True)  # and the decisions were first
        await until(lambda: len(server.received) == 2)  # the first call, and the watch that waits
        retry = sources._retry
        assert retry is not None
        await until(lambda: sources._retry is None)
        await asyncio.sleep(0.05)
        assert len(server.received) == 2 and server.closed == []
        sources.close()
        server.stop()

    run_async(work)


def test_a_fetch_that_is_ahead_of_the_watch_makes_its_list_suspect() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [list_entry("s-1", "127.0.0.2:80")]
        await server.start()
        roster = CountingWatcher(LoopNetwork(), parse_address(server.address), 0)
        updates: list[EndpointUpdate] = []
        roster.start(updates.append, lambda: None)
        roster.watch(True)
        await until(lambda: len(server.received) == 2)  # the watch waits for changes, and gets none
        roster.fetch()
        await until(lambda: len(updates) == 2)
        assert roster.suspicions == 0  # both have the same version
        server.version += 3
        roster.fetch()
        await until(lambda: len(updates) == 3)
        assert roster.suspicions == 1
        roster.close()
        server.stop()
        await asyncio.sleep(0)

    run_async(work)
