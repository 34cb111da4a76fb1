"""Two things due in the same microsecond, in both orders: the virtual clock draws which comes first.

A first run without the second thing tells when the first is due; then both are put at that instant, seed by
seed, until each order was seen.  What must hold is the same whichever comes first.
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

WAY_US = 300
HOPS = 12
SEEDS = range(4 * HOPS)
REQUEST_S = 0.1  # when the request is taken
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"


class Scene:
    """An engine, its connections, and two servers that note what reaches them."""

    places: ClassVar = {"s-1": ("10.1.0.1", 80), "s-2": ("10.1.0.2", 80)}

    def __init__(self, seed: int, reply: str, listed: tuple[str, ...]) -> None:
        self.seed = seed
        self.loop = VirtualLoop(seed)  # type: ignore[abstract]
        self.wire = Wire(self.loop, random.Random(seed))
        self.wire.conditions.delay_us = (WAY_US, WAY_US)
        self.host = Host("sidecar")
        self.network = VirtualNetwork(self.wire.machine(self.host, "10.0.0.1"))
        self.reply = reply
        self.reached: list[str] = []  # servers that a request's bytes came to
        self.order: list[str] = []
        self.answers: list[str] = []
        given = settings(limits={"second_copies": False, "dial_timeout_us": S})
        self.upstream = ConnectionPool(self.network, given)
        self.upstream.max_connections = 10
        self.engine = Engine(
            given, 1, EnginePorts(self.network, self.upstream, _NoSource(), _NoMessages()), _ignore
        )
        self.request: int | None = None
        self._listed = listed

    def line(self, name: str, state: ServerState = ServerState.READY) -> EndpointEntry:
        return EndpointEntry(ListedServer(name, zone="east", state=state), self.places[name])

    # What may be put at an instant

    def drains(self, name: str) -> None:
        self.order.append("other")
        self.engine._endpoints_updated(EndpointUpdate(2, False, (self.line(name, ServerState.DRAINING),)))

    def leaves(self) -> None:
        self.order.append("other")
        if self.request is not None:
            self.engine.client_disconnected(self.request)

    # A waiter

    def served(self, response: Any) -> None:
        self.answers.append("served")

    def refused(self, retry_after_us: int) -> None:
        self.answers.append("refused")

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        self.answers.append("failed")

    def play(self, at_us: int | None, other: Callable[[Scene], None]) -> Scene:
        for name, (address, port) in self.places.items():
            host = Host(name)
            network = VirtualNetwork(self.wire.machine(host, address))
            network.listen(functools.partial(_Server, self, name), (address, port), 8)

        async def work() -> None:
            self.engine.start(EndpointUpdate(1, True, tuple(self.line(name) for name in self._listed)))
            self.loop.call_later(REQUEST_S, self._ask)
            if at_us is not None:
                self.loop.call_later(at_us / 1e6, self._after, self.seed % HOPS, other)
            await asyncio.sleep(5.0)
            self.engine.close()

        self.loop.run_until_complete(self.loop.create_task(work(), context=self.host.context.copy()))
        assert self.loop.unhandled_errors == []
        return self

    def _after(self, hops: int, other: Callable[[Scene], None]) -> None:
        """What is due is done in several steps of one instant: come between any two of them."""
        if hops:
            self.loop.call_soon(self._after, hops - 1, other)
        else:
            other(self)

    def _ask(self) -> None:
        incoming = ValidatedRequest(
            "look", None, None, 1 * S, None, False, b"r-1", False, b"GET", b"/x", [(b"host", b"o")], b""
        )
        self.request = self.engine.submit(incoming, self)


class _Server(asyncio.Protocol):
    def __init__(self, scene: Scene, name: str) -> None:
        self._scene, self._name = scene, name

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        scene = self._scene
        scene.reached.append(self._name)
        if scene.reply == "resets first" and len(scene.reached) == 1:
            self._transport.abort()
        elif scene.reply == "answers late":
            # Two ticks before its time is up the request is answered by the sidecar.
            due_s = REQUEST_S + 1.0 - 2 * 0.005 - (WAY_US + scene.seed % 3) / 1e6
            scene.loop.call_later(due_s - scene.loop.time(), self._transport.write, OK)
        else:
            self._transport.write(OK)


class _NoSource:
    def start(self, on_list: Any, on_failed: Any) -> None: ...
    def watch(self, wanted: bool) -> None: ...
    def fetch(self) -> None: ...
    def suspect_stale(self) -> None: ...
    def close(self) -> None: ...


class _NoMessages:
    def send(self, receiver: int | None, payload: bytes) -> bool:
        return False

    def close(self) -> None: ...


def _ignore(text: str) -> None: ...


def both_orders(
    first: tuple[type, str],
    other: Callable[[Scene], None],
    holds: Callable[[Scene], None],
    reply: str = "answers",
    listed: tuple[str, ...] = ("s-1",),
) -> None:
    """Play `first`, a method's first call, and `other` in one instant, each before the other."""
    owner, name = first
    plain = getattr(owner, name)
    scenes: list[Scene] = []
    called_us: list[int] = []

    def noted(self: Any, *args: Any, **named: Any) -> Any:
        scene = scenes[-1]
        if "first" not in scene.order:
            scene.order.append("first")
            called_us.append(scene.loop.now_us)
        return plain(self, *args, **named)

    with mock.patch.object(owner, name, noted):
        scenes.append(Scene(0, reply, listed))
        scenes[-1].play(None, other)
        due_us = called_us[0]
        seen = set()
        for seed in SEEDS:
            scenes.append(Scene(seed, reply, listed))
            scene = scenes[-1].play(due_us, other)
            assert called_us[-1] == due_us or scene.order[0] == "other"
            seen.add(scene.order[0])
            holds(scene)
    assert seen == {"first", "other"}


def test_word_of_a_drain_and_the_dial_that_comes_up() -> None:
    def holds(scene: Scene) -> None:
        was_told = scene.order[0] == "other"
        assert scene.reached == ([] if was_told else ["s-1"])  # written before the word, it may end there
        assert scene.answers == (["refused"] if was_told else ["served"])

    both_orders((ConnectionPool, "_write"), lambda scene: scene.drains("s-1"), holds)


def test_a_client_that_leaves_and_the_dial_that_comes_up() -> None:
    def holds(scene: Scene) -> None:
        # What was written in that instant may still be dropped on its way.
        assert scene.reached == [] or scene.order[0] == "first"
        assert scene.answers == []  # nobody is there to have one
        assert scene.engine.open_requests == 0

    both_orders((ConnectionPool, "_write"), Scene.leaves, holds)


@pytest.mark.parametrize("what", ["the other server drains", "the client leaves"])
def test_an_attempt_that_breaks_and_what_forbids_the_next_one(what: str) -> None:
    def other(scene: Scene) -> None:
        if what == "the client leaves":
            scene.leaves()
        else:
            scene.drains("s-2" if scene.reached == ["s-1"] else "s-1")

    def holds(scene: Scene) -> None:
        assert len(scene.reached) == 1  # the next one is never written, in whichever order it was told
        assert scene.answers == ([] if what == "the client leaves" else ["refused"])
        assert scene.engine.open_requests == 0

    both_orders((Engine, "_attempt_ended"), other, holds, reply="resets first", listed=("s-1", "s-2"))


def test_the_end_of_a_request_s_time_and_its_answer() -> None:
    def holds(scene: Scene) -> None:
        assert len(scene.answers) == 1 and scene.answers[0] in ("served", "failed", "refused")
        assert scene.engine.open_requests == 0

    # Both are due by themselves: the answer comes as the decisions' timer fires, or just before.
    answers = set()
    for seed in SEEDS:
        scene = Scene(seed, "answers late", ("s-1",)).play(None, Scene.leaves)
        holds(scene)
        answers.update(scene.answers)
    assert len(answers) == 2
