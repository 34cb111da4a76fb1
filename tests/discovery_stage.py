"""Stand-ins for a discovery that is down, slow or overloaded, and sidecars that only follow its list.

They run on the virtual clock with the real `DiscoveryWatcher`, `DiscoveryClient` and balancer.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

from helpers import S, settings

from micadeck.engine import EndpointUpdate, Engine, EnginePorts
from micadeck.membership.discovery_watcher import DiscoveryWatcher, WatchOptions
from micadeck.simulation.loop import Host, VirtualLoop
from micadeck.simulation.network import VirtualNetwork
from micadeck.simulation.roster import Discovery
from micadeck.simulation.wire import Wire

NOTIFICATION_DEADLINE_S = 6.0
SERVERS = [f"s-{number}" for number in range(8)]

MALFORMED_LIST = (
    b'{"version": 9, "full": true, "servers": [{"id": "s-0", "addr": "10.1.0.1:80", "state": "asleep"}]}'
)


class Kind(Enum):
    """How an outage fails the calls made during it and those pending when it begins."""

    REFUSED = "refused"  # open connections are reset, new ones refused
    RESET = "reset"  # connections are accepted, and each call on them is reset
    BUSY = "busy"  # every call gets a 503
    SILENT = "silent"  # no call is answered, not even after the outage
    TRUNCATED = "truncated"  # every call gets only the start of a response
    NONSENSE = "nonsense"  # every call gets a malformed list
    NO_DESCRIPTORS = "no descriptors"  # connections are reset, and the sidecar has no descriptor to reconnect
    CUT = "cut"  # the network drops everything in both directions


class FailingDiscovery(Discovery):
    """The simulated roster with one outage."""

    def __init__(self, wire: Wire, kind: Kind, number: int = 0) -> None:
        super().__init__(wire, number)
        self._kind = kind
        self._is_out = False
        self.calls: list[tuple[float, str]] = []

    def begin_outage(self, hosts: list[str]) -> None:
        if self._kind is Kind.REFUSED:
            self.go_down()
        elif self._kind is Kind.CUT:
            for name in hosts:
                self._wire.cut(name, "discovery-0")
                self._wire.cut("discovery-0", name)
        elif self._kind is Kind.NO_DESCRIPTORS:
            self._limit_descriptors(hosts, 0)
            for writer in list(self._connections):
                writer.transport.abort()
        else:
            self._is_out = True
            for writer in list(self._connections):
                if self._kind is Kind.RESET:
                    writer.transport.abort()
            if self._kind is not Kind.RESET:
                self.mute_watches()  # a pending blocking call cannot distinguish a 503 from silence

    def end_outage(self, hosts: list[str]) -> None:
        if self._kind is Kind.REFUSED:
            self.recover()
        elif self._kind is Kind.CUT:
            for name in hosts:
                self._wire.heal(name, "discovery-0")
                self._wire.heal("discovery-0", name)
        elif self._kind is Kind.NO_DESCRIPTORS:
            self._limit_descriptors(hosts, 1_000)
        self._is_out = False

    def _limit_descriptors(self, hosts: list[str], limit: int) -> None:
        for host, machine in self._wire.machines.items():
            if host.name in hosts:
                machine.max_descriptors = limit

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        was_hit_by_outage = False
        self._connections.add(writer)
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                self.calls.append((self._wire.loop.time(), target))
                if self._is_out and self._kind is Kind.RESET:
                    writer.transport.abort()
                    return
                if self._is_out and self._kind is Kind.BUSY:
                    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                    continue
                if self._is_out and self._kind is Kind.NONSENSE:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                        % (len(MALFORMED_LIST), MALFORMED_LIST)
                    )
                    continue
                if self._is_out and self._kind is Kind.TRUNCATED:
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{"version": 1,')
                was_hit_by_outage = was_hit_by_outage or self._is_out
                answer = await self.answer(target, writer)
                if answer and not was_hit_by_outage and writer not in self._muted:
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(writer)
            self._muted.discard(writer)
            writer.close()

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> bytes:
        body = json.dumps(await self._answer(target)).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class QueueingDiscovery(FailingDiscovery):
    """Serves queued calls in order, `per_s` a second; refuses those it cannot reach within `max_queue_s`.

    A call that starts a watch is queued; a call on an established watch is not. A second call from the
    same sidecar shares its queue slot, and a full queue refuses both.
    """

    def __init__(self, wire: Wire, per_s: float, max_queue_s: float = 3.0) -> None:
        super().__init__(wire, Kind.REFUSED)
        self._service_time_s = 1.0 / per_s
        self._max_queue_s = max_queue_s
        self._free_at = 0.0
        self._last_answered_at: dict[asyncio.StreamWriter, float] = {}  # time of the last answer on a watch
        self._queued_calls: dict[str, list[asyncio.Future[bool]]] = {}  # queued watch calls, by sidecar
        self.refused = 0

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> bytes:
        now = self._wire.loop.time()
        query = parse_qs(urlsplit(target).query)
        if "after" not in query or now > self._last_answered_at.get(writer, -1.0) + 0.2:
            sidecar = writer.get_extra_info("peername")[0]
            queued = self._queued_calls.setdefault(sidecar, []) if "after" in query else []
            free_at = max(self._free_at, now)
            if free_at - now > self._max_queue_s:
                self.refused += 1
                for call in queued:
                    if not call.done():
                        call.set_result(False)
                return b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            admission: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            queued.append(admission)
            self._free_at = free_at + self._service_time_s
            self._wire.loop.call_later(self._free_at - now, _admit, admission)
            is_admitted = await admission
            queued.remove(admission)
            if not is_admitted:
                return b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        answer = await super().answer(target, writer)
        if "after" in query:
            self._last_answered_at[writer] = self._wire.loop.time()
        return answer


def _admit(admission: asyncio.Future[bool]) -> None:
    if not admission.done():
        admission.set_result(True)


class NullTransport:
    """A transport that sends nothing."""

    def update_endpoints(self, update: EndpointUpdate) -> None:
        pass

    def send(self, receiver: int | None, payload: bytes) -> bool:
        return False

    def close_idle(self, server: str) -> None:
        pass

    def close(self) -> None:
        pass


class Follower:
    """A sidecar that only follows the endpoint list."""

    def __init__(
        self,
        wire: Wire,
        number: int,
        discovery: Discovery,
        max_poll_interval_s: float,
        pushed: bool,
        grace_s: float = 0.5,
    ) -> None:
        self.loop = wire.loop
        self.host = Host(f"sidecar-{number}")
        self.network = VirtualNetwork(wire.machine(self.host, f"10.0.{number // 250}.{number % 250 + 1}"))
        rules = {"ask_within_us": int(max_poll_interval_s * S), "drain_grace_us": int(grace_s * S)}
        balancer_settings = settings(rules=rules, discovery="pushed" if pushed else "on_request")
        self.watcher = DiscoveryWatcher(
            self.network,
            discovery.listen_address,
            0,
            WatchOptions(
                is_pushed=pushed,
                max_poll_interval_us=balancer_settings.rules.max_poll_interval_us,
                grace_us=balancer_settings.rules.drain_grace_us,
                seed=f"{number}",
            ),
        )
        null_transport: Any = NullTransport()
        self.engine = Engine(
            balancer_settings,
            number,
            EnginePorts(self.network, null_transport, self.watcher, null_transport),
            lambda text: None,
        )
        self.engine.on_endpoint_update = self._record_update
        self.noticed_at: dict[str, float] = {}  # when the sidecar first saw that server not ready
        self.update_count = 0

    def start(self) -> None:
        self.host.context.copy().run(self.engine.start, EndpointUpdate(0, True, ()))

    def _record_update(self, update: EndpointUpdate) -> None:
        self.update_count += 1
        for entry in update.entries:
            if entry.endpoint.state.value != "ready":
                self.noticed_at.setdefault(entry.endpoint.server, self.loop.time())


def run(
    make_discovery: Callable[[Wire], FailingDiscovery],
    schedule_events: Callable[[Wire, FailingDiscovery, list[Follower]], None],
    *,
    length_s: float,
    sidecars: int = 1,
    max_poll_interval_s: float = 10.0,
    pushed: bool = False,
    grace_s: float = 0.5,
    seed: int = 1,
) -> tuple[FailingDiscovery, list[Follower]]:
    """Run a discovery with its followers; `schedule_events` plans changes and outages."""
    loop = VirtualLoop(seed, max_steps=20_000_000)  # type: ignore[abstract]
    wire = Wire(loop, random.Random(seed))
    discovery = make_discovery(wire)
    for number, name in enumerate(SERVERS):
        discovery.put(name, f"10.1.0.{number + 1}:80")
    followers = [
        Follower(wire, number, discovery, max_poll_interval_s, pushed, grace_s) for number in range(sidecars)
    ]

    async def work() -> None:
        discovery.start_listening()
        schedule_events(wire, discovery, followers)
        for follower in followers:
            follower.start()
        await asyncio.sleep(length_s)
        for follower in followers:
            follower.engine.close()

    loop.run_until_complete(loop.create_task(work(), context=Host("stage").context.copy()))
    assert loop.unhandled_errors == []
    return discovery, followers


def max_calls_per_second(discovery: FailingDiscovery, from_s: float = 0.0) -> int:
    """Return the maximum number of calls in one second of virtual time."""
    return max(Counter(int(at) for at, _ in discovery.calls if at >= from_s).values(), default=0)
