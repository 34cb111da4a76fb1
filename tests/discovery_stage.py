"""One or many engines that do nothing but follow a list, and a discovery that is down, slow or overrun.

All of it on the virtual clock, with the real `DiscoveryWatcher`, `DiscoveryClient` and balancer.
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

NONSENSE = (
    b'{"version": 9, "full": true, "servers": [{"id": "s-0", "addr": "10.1.0.1:80", "state": "asleep"}]}'
)


class Kind(Enum):
    """What becomes of calls during an outage, and of those that were out at its beginning."""

    REFUSED = "refused"  # connections are reset, dials refused
    RESET = "reset"  # dials come up, and each call is reset
    BUSY = "busy"  # each call is answered 503
    SILENT = "silent"  # no call is answered, then or later
    TRUNCATED = "truncated"  # each gets a part of an answer, and nothing more
    NONSENSE = "nonsense"  # each is answered with what is no list
    NO_DESCRIPTORS = "no descriptors"  # connections are reset, the sidecar has no descriptor to dial with
    CUT = "cut"  # nothing comes through either way


class FailingDiscovery(Discovery):
    """The stand-in roster, with one outage."""

    def __init__(self, wire: Wire, kind: Kind, number: int = 0) -> None:
        super().__init__(wire, number)
        self._kind = kind
        self._is_out = False
        self.calls: list[tuple[float, str]] = []

    def begin(self, hosts: list[str]) -> None:
        if self._kind is Kind.REFUSED:
            self.go_down()
        elif self._kind is Kind.CUT:
            for name in hosts:
                self._wire.cut(name, "discovery-0")
                self._wire.cut("discovery-0", name)
        elif self._kind is Kind.NO_DESCRIPTORS:
            self._let_dial(hosts, 0)
            for writer in list(self._connections):
                writer.transport.abort()
        else:
            self._is_out = True
            for writer in list(self._connections):
                if self._kind is Kind.RESET:
                    writer.transport.abort()
            if self._kind is not Kind.RESET:
                self.mute_watches()  # a call that waits could not distinguish a 503 from silence

    def end(self, hosts: list[str]) -> None:
        if self._kind is Kind.REFUSED:
            self.recover()
        elif self._kind is Kind.CUT:
            for name in hosts:
                self._wire.heal(name, "discovery-0")
                self._wire.heal("discovery-0", name)
        elif self._kind is Kind.NO_DESCRIPTORS:
            self._let_dial(hosts, 1_000)
        self._is_out = False

    def _let_dial(self, hosts: list[str], limit: int) -> None:
        for host, machine in self._wire.machines.items():
            if host.name in hosts:
                machine.max_descriptors = limit

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        spoilt = False
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
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(NONSENSE), NONSENSE)
                    )
                    continue
                if self._is_out and self._kind is Kind.TRUNCATED:
                    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{"version": 1,')
                spoilt = spoilt or self._is_out
                answer = await self.answer(target, writer)
                if answer and not spoilt and writer not in self._muted:
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
    """Works through calls in turn, `per_s` of them; one more than it can reach in `max_queue_s` is refused.

    A call that starts a watch is queued, one of an established watch is not.  A second call for the same
    watch shares the place of the first, and both lose it if the queue is full.
    """

    def __init__(self, wire: Wire, per_s: float, max_queue_s: float = 3.0) -> None:
        super().__init__(wire, Kind.REFUSED)
        self._each_s = 1.0 / per_s
        self._max_queue_s = max_queue_s
        self._free_at = 0.0
        self._up: dict[asyncio.StreamWriter, float] = {}  # watches, and when each was last answered
        self._waits: dict[str, list[asyncio.Future[bool]]] = {}  # queued calls for a watch, by sidecar
        self.refused = 0

    async def answer(self, target: str, writer: asyncio.StreamWriter) -> bytes:
        now = self._wire.loop.time()
        query = parse_qs(urlsplit(target).query)
        if "after" not in query or now > self._up.get(writer, -1.0) + 0.2:
            sidecar = writer.get_extra_info("peername")[0]
            waits = self._waits.setdefault(sidecar, []) if "after" in query else []
            free_at = max(self._free_at, now)
            if free_at - now > self._max_queue_s:
                self.refused += 1
                for each in waits:
                    if not each.done():
                        each.set_result(False)
                return b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            turn: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
            waits.append(turn)
            self._free_at = free_at + self._each_s
            self._wire.loop.call_later(self._free_at - now, _settle, turn)
            is_ours = await turn
            waits.remove(turn)
            if not is_ours:
                return b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
        answer = await super().answer(target, writer)
        if "after" in query:
            self._up[writer] = self._wire.loop.time()
        return answer


def _settle(turn: asyncio.Future[bool]) -> None:
    if not turn.done():
        turn.set_result(True)


class NoServers:
    """A carrier that nothing is sent by."""

    def update_endpoints(self, listing: EndpointUpdate) -> None:
        pass

    def send(self, receiver: int | None, payload: bytes) -> bool:
        return False

    def close_idle(self, server: str) -> None:
        pass

    def close(self) -> None:
        pass


class Follower:
    """One sidecar, as far as lists go."""

    def __init__(
        self,
        wire: Wire,
        number: int,
        discovery: Discovery,
        allowed_s: float,
        pushed: bool,
        grace_s: float = 0.5,
    ) -> None:
        self.loop = wire.loop
        self.host = Host(f"sidecar-{number}")
        self.network = VirtualNetwork(wire.machine(self.host, f"10.0.{number // 250}.{number % 250 + 1}"))
        rules = {"ask_within_us": int(allowed_s * S), "drain_grace_us": int(grace_s * S)}
        given = settings(rules=rules, discovery="pushed" if pushed else "on_request")
        self.roster = DiscoveryWatcher(
            self.network,
            discovery.listen_address,
            0,
            WatchOptions(
                is_pushed=pushed,
                max_poll_interval_us=given.rules.max_poll_interval_us,
                grace_us=given.rules.drain_grace_us,
                seed=f"{number}",
            ),
        )
        nobody: Any = NoServers()
        self.engine = Engine(
            given, number, EnginePorts(self.network, nobody, self.roster, nobody), lambda text: None
        )
        self.engine.on_endpoint_update = self._listed
        self.noticed_at: dict[str, float] = {}  # when it first noticed that each server is not ready
        self.lists = 0

    def start(self) -> None:
        self.host.context.copy().run(self.engine.start, EndpointUpdate(0, True, ()))

    def _listed(self, listing: EndpointUpdate) -> None:
        self.lists += 1
        for each in listing.entries:
            if each.endpoint.state.value != "ready":
                self.noticed_at.setdefault(each.endpoint.server, self.loop.time())


def run(
    make: Callable[[Wire], FailingDiscovery],
    then: Callable[[Wire, FailingDiscovery, list[Follower]], None],
    *,
    length_s: float,
    sidecars: int = 1,
    allowed_s: float = 10.0,
    pushed: bool = False,
    grace_s: float = 0.5,
    seed: int = 1,
) -> tuple[FailingDiscovery, list[Follower]]:
    """Play a discovery and its followers; `then` plans what happens."""
    loop = VirtualLoop(seed, max_steps=20_000_000)  # type: ignore[abstract]
    wire = Wire(loop, random.Random(seed))
    discovery = make(wire)
    for number, name in enumerate(SERVERS):
        discovery.put(name, f"10.1.0.{number + 1}:80")
    followers = [Follower(wire, number, discovery, allowed_s, pushed, grace_s) for number in range(sidecars)]

    async def work() -> None:
        discovery.start_listening()
        then(wire, discovery, followers)
        for each in followers:
            each.start()
        await asyncio.sleep(length_s)
        for each in followers:
            each.engine.close()

    loop.run_until_complete(loop.create_task(work(), context=Host("stage").context.copy()))
    assert loop.unhandled_errors == []
    return discovery, followers


def max_calls_per_second(discovery: FailingDiscovery, from_s: float = 0.0) -> int:
    """The maximum of calls in any second of the clock."""
    return max(Counter(int(at) for at, _ in discovery.calls if at >= from_s).values(), default=0)
