"""A draining report from Consul or a fetch ahead of the watch shows that the watched list is stale."""

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

SERVER_ADDRESS = ("127.0.0.2", 80)


class CountingWatcher(DiscoveryWatcher):
    """Counts suspicions instead of renewing the list."""

    suspicions = 0

    def suspect_stale(self) -> None:
        self.suspicions += 1


@pytest.mark.parametrize(
    ("observations", "removed", "suspicions"),
    [
        ([], [], 0),
        ([Observation(SERVER_ADDRESS, Precedence.READY)], [], 0),
        ([Observation(SERVER_ADDRESS, Precedence.DRAINING)], [], 1),
        ([], [SERVER_ADDRESS], 1),
    ],
)
def test_a_draining_or_removed_server_in_consul_makes_the_list_suspect(
    observations: list[Observation], removed: list[Any], suspicions: int
) -> None:
    async def work() -> None:
        network, unused_address = LoopNetwork(), parse_address("127.0.0.1:9")
        watcher = CountingWatcher(network, unused_address, 1)
        services = (Service("tariff", RequestOptions(), InstanceMapping(), SourceTrust()),)
        config = ConsulConfig((unused_address,), services, 1.0, 0.0)
        known = EndpointUpdate(1, True, ())
        sources = EndpointSources(network, DiscoveryState(watcher, known), config, "1 n", lambda text: None)
        addresses = {observation.address for observation in observations}
        change = EntriesChange(False, len(observations), iter(observations), removed, addresses, ())
        await sources._service_updated("tariff", ServiceUpdate(change, 0.0, "agent"))
        assert watcher.suspicions == suspicions
        sources.close()

    run_async(work)


def test_a_watch_started_by_the_policy_is_not_replaced_by_the_sources_own_retry() -> None:
    async def work() -> None:
        server = ScriptedDiscovery()
        server.servers = [list_entry("s-1", "127.0.0.2:80")]
        await server.start()
        network, unused_address = LoopNetwork(), parse_address("127.0.0.1:9")
        watcher = DiscoveryWatcher(network, unused_address, 1)
        services = (Service("tariff", RequestOptions(), InstanceMapping(), SourceTrust()),)
        config = ConsulConfig((unused_address,), services, 1.0, 0.0)
        discovery = DiscoveryState(watcher, EndpointUpdate(1, True, ()))
        sources = EndpointSources(network, discovery, config, "1 n", lambda text: None)
        sources.logs_agent = False
        updates: list[EndpointUpdate] = []
        failed: list[None] = []
        sources.start(updates.append, lambda: failed.append(None))
        sources.watch(True)
        await until(
            lambda: len(failed) == 1
        )  # the address refuses connections, so the sources plan a retry of their own
        watcher._address = parse_address(server.address)
        sources.watch(True)  # the policy starts a watch before that retry
        await until(lambda: len(server.received) == 2)  # the first call, and the blocking call
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
        watcher = CountingWatcher(LoopNetwork(), parse_address(server.address), 0)
        updates: list[EndpointUpdate] = []
        watcher.start(updates.append, lambda: None)
        watcher.watch(True)
        await until(lambda: len(server.received) == 2)  # the watch waits for changes, and gets none
        watcher.fetch()
        await until(lambda: len(updates) == 2)
        assert watcher.suspicions == 0  # both have the same version
        server.version += 3
        watcher.fetch()
        await until(lambda: len(updates) == 3)
        assert watcher.suspicions == 1
        watcher.close()
        server.stop()
        await asyncio.sleep(0)

    run_async(work)
