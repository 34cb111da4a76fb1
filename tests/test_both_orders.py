"""Races of two events due in the same microsecond, in both orders, on a virtual clock.

A first run finds when the first event is due.  Further runs schedule the second event at that instant, one
per seed, so that both orders occur.  The same invariants must hold in either order.
"""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable
from typing import Any, ClassVar
from unittest import mock

import pytest
from helpers import S, settings

from micadeck.engine import EndpointEntry, EndpointUpdate, Engine, EnginePorts
from micadeck.engine.ports import FailureCause
from micadeck.http.request_validation import ValidatedRequest
from micadeck.http.upstream import ConnectionPool
from micadeck.policy.events import ListedServer, ServerState
from micadeck.simulation.loop import Host, VirtualLoop
from micadeck.simulation.network import VirtualNetwork
from micadeck.simulation.wire import Wire

LATENCY_US = 300
HOPS = 12
SEEDS = range(4 * HOPS)
REQUEST_S = 0.1  # when the request is submitted
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"


class Simulation:
    """An engine with its connection pool, and two servers that record the requests that reach them."""

    addresses: ClassVar = {"s-1": ("10.1.0.1", 80), "s-2": ("10.1.0.2", 80)}

    def __init__(self, seed: int, reply: str, listed: tuple[str, ...]) -> None:
        self.seed = seed
        self.loop = VirtualLoop(seed)  # type: ignore[abstract]
        self.wire = Wire(self.loop, random.Random(seed))
        self.wire.conditions.delay_us = (LATENCY_US, LATENCY_US)
        self.host = Host("sidecar")
        self.network = VirtualNetwork(self.wire.machine(self.host, "10.0.0.1"))
        self.reply = reply
        self.reached: list[str] = []  # servers that received request bytes
        self.order: list[str] = []
        self.answers: list[str] = []
        given = settings(limits={"second_copies": False, "dial_timeout_us": S})
        self.upstream = ConnectionPool(self.network, given)
        self.upstream.max_connections = 10
        self.engine = Engine(
            given, 1, EnginePorts(self.network, self.upstream, _NullSource(), _NullMessages()), _ignore
        )
        self.request: int | None = None
        self._listed = listed

    def entry(self, name: str, state: ServerState = ServerState.READY) -> EndpointEntry:
        return EndpointEntry(ListedServer(name, zone="east", state=state), self.addresses[name])

    # Second events

    def drain(self, name: str) -> None:
        self.order.append("other")
        self.engine._endpoints_updated(EndpointUpdate(2, False, (self.entry(name, ServerState.DRAINING),)))

    def disconnect_client(self) -> None:
        self.order.append("other")
        if self.request is not None:
            self.engine.client_disconnected(self.request)

    # Handler of the request

    def served(self, response: Any) -> None:
        self.answers.append("served")

    def refused(self, retry_after_us: int) -> None:
        self.answers.append("refused")

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        self.answers.append("failed")

    def run(self, at_us: int | None, other: Callable[[Simulation], None]) -> Simulation:
        for name, (address, port) in self.addresses.items():
            host = Host(name)
            network = VirtualNetwork(self.wire.machine(host, address))
            network.listen(functools.partial(_Server, self, name), (address, port), 8)

        async def main() -> None:
            self.engine.start(EndpointUpdate(1, True, tuple(self.entry(name) for name in self._listed)))
            self.loop.call_later(REQUEST_S, self._submit)
            if at_us is not None:
                self.loop.call_later(at_us / 1e6, self._after, self.seed % HOPS, other)
            await asyncio.sleep(5.0)
            self.engine.close()

        self.loop.run_until_complete(self.loop.create_task(main(), context=self.host.context.copy()))
        assert self.loop.unhandled_errors == []
        return self

    def _after(self, hops: int, other: Callable[[Simulation], None]) -> None:
        """Run `other` between two of the event loop iterations that handle one instant."""
        if hops:
            self.loop.call_soon(self._after, hops - 1, other)
        else:
            other(self)

    def _submit(self) -> None:
        incoming = ValidatedRequest(
            "look", None, None, 1 * S, None, False, b"r-1", False, b"GET", b"/x", [(b"host", b"o")], b""
        )
        self.request = self.engine.submit(incoming, self)


class _Server(asyncio.Protocol):
    def __init__(self, simulation: Simulation, name: str) -> None:
        self._simulation, self._name = simulation, name

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        simulation = self._simulation
        simulation.reached.append(self._name)
        if simulation.reply == "resets first" and len(simulation.reached) == 1:
            self._transport.abort()
        elif simulation.reply == "answers late":
            # The sidecar answers the request two ticks before its deadline.
            due_s = REQUEST_S + 1.0 - 2 * 0.005 - (LATENCY_US + simulation.seed % 3) / 1e6
            simulation.loop.call_later(due_s - simulation.loop.time(), self._transport.write, OK)
        else:
            self._transport.write(OK)


class _NullSource:
    def start(self, on_list: Any, on_failed: Any) -> None: ...
    def watch(self, wanted: bool) -> None: ...
    def fetch(self) -> None: ...
    def suspect_stale(self) -> None: ...
    def close(self) -> None: ...


class _NullMessages:
    def send(self, receiver: int | None, payload: bytes) -> bool:
        return False

    def close(self) -> None: ...


def _ignore(text: str) -> None: ...


def both_orders(
    first: tuple[type, str],
    other: Callable[[Simulation], None],
    holds: Callable[[Simulation], None],
    reply: str = "answers",
    listed: tuple[str, ...] = ("s-1",),
) -> None:
    """Run `first`, a method's first call, and `other` in the same instant, in both orders."""
    owner, name = first
    original = getattr(owner, name)
    simulations: list[Simulation] = []
    called_us: list[int] = []

    def record_call(self: Any, *args: Any, **named: Any) -> Any:
        simulation = simulations[-1]
        if "first" not in simulation.order:
            simulation.order.append("first")
            called_us.append(simulation.loop.now_us)
        return original(self, *args, **named)

    with mock.patch.object(owner, name, record_call):
        simulations.append(Simulation(0, reply, listed))
        simulations[-1].run(None, other)
        due_us = called_us[0]
        seen = set()
        for seed in SEEDS:
            simulations.append(Simulation(seed, reply, listed))
            simulation = simulations[-1].run(due_us, other)
            assert called_us[-1] == due_us or simulation.order[0] == "other"
            seen.add(simulation.order[0])
            holds(simulation)
    assert seen == {"first", "other"}


def test_a_drain_and_the_established_connection() -> None:
    def holds(simulation: Simulation) -> None:
        drain_came_first = simulation.order[0] == "other"
        # A request written before the drain may complete at that server.
        assert simulation.reached == ([] if drain_came_first else ["s-1"])
        assert simulation.answers == (["refused"] if drain_came_first else ["served"])

    both_orders((ConnectionPool, "_write"), lambda simulation: simulation.drain("s-1"), holds)


def test_a_client_disconnect_and_the_established_connection() -> None:
    def holds(simulation: Simulation) -> None:
        # Bytes written in that instant may still be lost.
        assert simulation.reached == [] or simulation.order[0] == "first"
        assert simulation.answers == []  # the client is gone
        assert simulation.engine.open_requests == 0

    both_orders((ConnectionPool, "_write"), Simulation.disconnect_client, holds)


@pytest.mark.parametrize("what", ["the other server drains", "the client leaves"])
def test_a_broken_attempt_and_an_event_that_forbids_its_retry(what: str) -> None:
    def other(simulation: Simulation) -> None:
        if what == "the client leaves":
            simulation.disconnect_client()
        else:
            simulation.drain("s-2" if simulation.reached == ["s-1"] else "s-1")

    def holds(simulation: Simulation) -> None:
        assert len(simulation.reached) == 1  # no retry is written, in either order
        assert simulation.answers == ([] if what == "the client leaves" else ["refused"])
        assert simulation.engine.open_requests == 0

    both_orders((Engine, "_attempt_ended"), other, holds, reply="resets first", listed=("s-1", "s-2"))


def test_the_deadline_of_a_request_and_its_answer() -> None:
    def holds(simulation: Simulation) -> None:
        assert len(simulation.answers) == 1 and simulation.answers[0] in ("served", "failed", "refused")
        assert simulation.engine.open_requests == 0

    # Both are due anyway: the response arrives as the policy's timer fires, or just before.
    answers = set()
    for seed in SEEDS:
        simulation = Simulation(seed, "answers late", ("s-1",)).run(None, Simulation.disconnect_client)
        holds(simulation)
        answers.update(simulation.answers)
    assert len(answers) == 2
