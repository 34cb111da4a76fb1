"""Discovery and Consul behind a proxy that sends every response twice: lists stay right and in time."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from loopback import HOST, run_async, until

from micadeck.engine import EndpointUpdate
from micadeck.membership.consul import Agents, ConsulClient, RequestOptions
from micadeck.membership.consul.query import BlockingQuery
from micadeck.membership.consul.source import ServiceUpdate, ServiceWatch, WatchCallbacks, WatchTarget
from micadeck.membership.discovery_watcher import DiscoveryWatcher
from micadeck.membership.endpoint_merge import EndpointMerge
from micadeck.network import LoopNetwork, parse_address
from micadeck.policy.events import ServerState
from micadeck.stand_ins.consul import NODE, StandInConsul
from micadeck.stand_ins.consul.state import State
from micadeck.stand_ins.discovery_server import StandInRoster

NOTIFIED_WITHIN_S = 0.5  # the grace after the notification of a drain, in which nothing new may be sent
SERVERS = 12
_READ_BYTES = 1 << 16


class DuplicatingProxy:
    """Forwards connections, and sends what the server sends a second time, some milliseconds later."""

    def __init__(self, target: str) -> None:
        self._target = parse_address(target)
        self._rng = random.Random(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.duplicates = 0

    async def start(self) -> DuplicatingProxy:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    @property
    def address(self) -> str:
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, client_reader: asyncio.StreamReader, client: asyncio.StreamWriter) -> None:
        server_reader, server = await asyncio.open_connection(*self._target)
        requests = asyncio.ensure_future(self._forward(client_reader, server))
        self._tasks.add(requests)
        try:
            while data := await server_reader.read(_READ_BYTES):
                client.write(data)
                await asyncio.sleep(self._rng.uniform(0.0, 0.009))
                if client.transport.is_closing():
                    return
                client.write(data)
                self.duplicates += 1
        finally:
            requests.cancel()
            client.close()
            server.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(_READ_BYTES):
            writer.write(data)
        writer.close()


async def drain_all(drain: Callable[[str], object], is_draining: Callable[[str], bool]) -> float:
    """Drain one server after another; return how long the slowest drain took to be known."""
    rng = random.Random(2)
    slowest_s = 0.0
    for number in range(SERVERS):
        name = f"s-{number}"
        drain(name)
        drained_at = time.monotonic()
        await until(lambda name=name: is_draining(name))  # type: ignore[misc]
        slowest_s = max(slowest_s, time.monotonic() - drained_at)
        await asyncio.sleep(rng.uniform(0.0, 0.02))
    return slowest_s


def test_discovery_s_drains_are_known_in_time_although_responses_come_twice() -> None:
    # Guards against a list that lags behind, since an older response was taken for the newest.
    async def work() -> None:
        roster = await StandInRoster().start()
        for number in range(SERVERS):
            roster.put(f"s-{number}", f"127.0.0.2:{80 + number}")
        proxy = await DuplicatingProxy(roster.address).start()
        states: dict[str, ServerState] = {}
        failures: list[None] = []

        def on_list(update: EndpointUpdate) -> None:
            if update.full:
                states.clear()
            for entry in update.entries:
                states[entry.endpoint.server] = entry.endpoint.state

        watcher = DiscoveryWatcher(LoopNetwork(), parse_address(proxy.address), None)
        watcher.start(on_list, lambda: failures.append(None))
        watcher.watch(True)
        try:
            await until(lambda: len(states) == SERVERS)

            def drain(name: str) -> None:
                roster.put(name, roster.entries[name]["addr"], "leaving")

            slowest_s = await drain_all(drain, lambda name: states[name] is ServerState.DRAINING)
            assert slowest_s < NOTIFIED_WITHIN_S
            assert proxy.duplicates > 0 and not failures
        finally:
            watcher.close()
            proxy.stop()
            roster.close()

    run_async(work)


def test_consul_s_drains_are_known_in_time_although_responses_come_twice() -> None:
    # Guards against a service's list that lags behind, since an older response was taken for the newest.
    async def work() -> None:
        agent = await StandInConsul().start()
        proxy = await DuplicatingProxy(agent.address).start()
        network, merge = LoopNetwork(), EndpointMerge()
        merge.add("consul", None)
        states: dict[str, ServerState] = {}
        failures: list[str] = []

        async def on_update(update: ServiceUpdate) -> None:
            now = network.now() / 1e6
            change = update.change
            merge.observe_changes(now, "consul", change.observations, change.removed, lag_s=update.lag_s)
            changes = merge.take_changes(now)
            for entry in changes.entries if changes is not None else ():
                states[entry.endpoint.server] = entry.endpoint.state

        def register(state: State) -> None:
            for number in range(SERVERS):
                service = {"Name": "tariff", "ID": f"s-{number}", "Address": "10.0.0.1", "Port": 80 + number}
                state.put_service(NODE, service)

        def drain(name: str) -> None:
            maintenance = f"_service_maintenance:{name}"
            agent.change(lambda state: state.put_check(NODE, maintenance, "critical", name))

        def is_draining(name: str) -> bool:
            port = 80 + int(name.removeprefix("s-"))
            return states[f"10.0.0.1:{port}"] is ServerState.DRAINING

        agent.change(register)
        watch = ServiceWatch(
            network,
            ConsulClient(network, Agents((parse_address(proxy.address),)), RequestOptions()),
            WatchTarget("tariff"),
            BlockingQuery(random.Random(3), 10.0),
            WatchCallbacks(lambda _: True, on_update, failures.append),
        )
        watch.start()
        try:
            await until(lambda: len(states) == SERVERS)
            assert await drain_all(drain, is_draining) < NOTIFIED_WITHIN_S
            assert proxy.duplicates > 0 and not failures
        finally:
            watch.close()
            proxy.stop()
            agent.stop()

    run_async(work)
