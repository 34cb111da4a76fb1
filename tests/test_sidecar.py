"""Events to the balancer and the effects of its actions, over loopback sockets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, TypeVar

import pytest
from loopback import HOST, OK, ReceivedRequest, request, run_async, run_harness, until

from micadeck.policy import Settings
from micadeck.policy.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SendPeerMessage,
    SetTimer,
)
from micadeck.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    ListKind,
    MessageReceived,
    ProbeEnded,
    RequestArrived,
    ServersListed,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome

T = TypeVar("T")
FAR = 2**52


class ScriptedBalancer:
    """A balancer that decides by a script and keeps the events it received."""

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.decide = decide
        self.events: list[Event] = []
        self.times: list[int] = []
        self._inside = False

    def __call__(self, settings: Settings, seed: int) -> ScriptedBalancer:
        return self

    def handle(self, now: int, event: Event) -> list[Action]:
        assert not self._inside
        self._inside = True
        self.events.append(event)
        self.times.append(now)
        try:
            return self.decide(event)
        finally:
            self._inside = False

    def received(self, kind: type[T]) -> list[T]:
        return [each for each in self.events if isinstance(each, kind)]


@pytest.fixture
def scripted(
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[[Callable[[Event], list[Action]]], ScriptedBalancer]:
    def use(decide: Callable[[Event], list[Action]]) -> ScriptedBalancer:
        balancer = ScriptedBalancer(decide)
        monkeypatch.setattr("micadeck.engine.engine.Balancer", balancer)
        return balancer

    return use


Use = Callable[[Callable[[Event], list[Action]]], ScriptedBalancer]


def on_arrival(*actions: Callable[[int], Action]) -> Callable[[Event], list[Action]]:
    def decide(event: Event) -> list[Action]:
        return [each(event.request) for each in actions] if isinstance(event, RequestArrived) else []

    return decide


def test_final_answers_are_sent_at_once_and_retry_after_is_decimal(scripted: Use) -> None:
    def decide(event: Event) -> list[Action]:
        if not isinstance(event, RequestArrived):
            return []
        number = event.request
        return [Refuse(number, 250_000)] if event.service_class == "check" else [Fail(number)]

    async def work() -> None:
        scripted(decide)
        async with run_harness(OK) as harness:
            refused = await harness.exchange("check", timeout="9000")
            assert (refused.status, refused.headers["retry-after"]) == (503, "0.250")
            failed = await harness.exchange("lodge", timeout="9000")
            assert failed.status in (502, 504) and "retry-after" not in failed.headers
            assert harness.received == [] and harness.sidecar.open_requests == 0

    run_async(work)


def test_a_cancelled_attempt_ends_once_and_its_connection_is_closed(scripted: Use) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Send(event.request, "s-0", FAR), SetTimer(50_000, "later")]
        if isinstance(event, TimerFired):
            return [Cancel(1, 0), Cancel(1, 0), Cancel(9, 0), Cancel(1, 7)]
        return [Fail(event.request)] if isinstance(event, AttemptEnded) else []

    async def work() -> None:
        balancer = scripted(decide)
        async with run_harness(None) as harness:
            assert (await harness.exchange("lodge")).status == 502
            (ended,) = balancer.received(AttemptEnded)
            assert (ended.outcome, ended.answered, ended.server) == (Outcome.CANCELLED, False, "s-0")
            await until(lambda: harness.servers[0].closed == [0])
            assert balancer.received(TimerFired)[0].token == "later"
            assert balancer.times == sorted(balancer.times)

    run_async(work)


def test_only_the_first_delivery_is_the_answer_and_every_attempt_ends(scripted: Use) -> None:
    async def work() -> None:
        balancer = scripted(
            on_arrival(
                lambda number: Send(number, "s-0", FAR),
                lambda number: Send(number, "s-1", FAR),
                lambda number: Send(number, "unheard-of", FAR),
                lambda number: Send(number, "s-0", 1),
            )
        )
        async with run_harness(OK, OK) as harness:
            assert (await harness.exchange()).body == b"served"
            await until(lambda: len(balancer.received(AttemptEnded)) == 4)
            ended = {each.attempt: each for each in balancer.received(AttemptEnded)}
            assert [ended[number].outcome for number in range(4)] == [
                Outcome.DELIVERED,
                Outcome.DELIVERED,
                Outcome.NOT_SENT,
                Outcome.NOT_SENT,
            ]
            assert all(each.answered for each in (ended[0], ended[1]))
            assert harness.sidecar.open_requests == 0

    run_async(work)


def test_a_client_disconnect_is_an_event(scripted: Use) -> None:
    async def work() -> None:
        balancer = scripted(on_arrival(lambda number: Send(number, "s-0", FAR)))
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            await release.wait()
            return OK

        async with run_harness(hold) as harness:
            client = await harness.client()
            client.send(request("check"))
            await until(lambda: len(harness.received) == 1)
            client.close()
            await until(lambda: balancer.received(ClientDisconnected) == [ClientDisconnected(1)])
            release.set()
            await until(lambda: len(balancer.received(AttemptEnded)) == 1)
            assert balancer.received(AttemptEnded)[0].answered

    run_async(work)


@pytest.mark.parametrize("how", ["header", "body"])
def test_a_probe_returns_a_load_report(scripted: Use, how: str) -> None:
    async def report(received: ReceivedRequest) -> bytes:
        text = b"TEXT qps=7, util=0.5"
        if how == "header":
            return b"HTTP/1.1 200 OK\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n" % text
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)

    async def work() -> None:
        balancer = scripted(lambda event: [Probe("s-0")] if isinstance(event, RequestArrived) else [])
        async with run_harness(report, bounds={"probing": True}) as harness:
            (await harness.client()).send(request())
            await until(lambda: len(balancer.received(ProbeEnded)) == 1)
            ended = balancer.received(ProbeEnded)[0]
            assert (ended.server, ended.outcome) == ("s-0", Outcome.DELIVERED)
            assert ended.report == {"qps": 7.0, "util": 0.5}
            assert harness.received[0].target == "/_load" and "request-id" not in harness.received[0].headers

    run_async(work)


def test_idle_connections_are_closed_the_list_is_fetched_and_lines_are_logged(scripted: Use) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [Send(event.request, "s-0", FAR)]
        if isinstance(event, AttemptEnded):
            return [CloseIdle("s-0"), CloseIdle("unheard-of"), FetchList(), Log("a line")]
        return []

    async def work() -> None:
        balancer = scripted(decide)
        async with run_harness(OK) as harness:
            assert (await harness.exchange()).status == 200
            await until(lambda: harness.servers[0].closed == [0])
            await until(lambda: len(balancer.received(ServersListed)) == 2)
            assert [each.kind for each in balancer.received(ServersListed)] == [
                ListKind.REMEMBERED,
                ListKind.COMPLETE,
            ]
            assert harness.discovery.received[0].target == "/catalog/members"
            assert harness.log == ["a line"]

    run_async(work)


def test_a_message_reaches_the_other_sidecar(scripted: Use) -> None:
    async def work() -> None:
        balancer = scripted(
            lambda event: (
                [SendPeerMessage(1, b"hi"), SendPeerMessage(1, b"x" * 257)]
                if isinstance(event, RequestArrived)
                else []
            )
        )
        loop = asyncio.get_running_loop()
        got: asyncio.Queue[tuple[bytes, tuple[str, int]]] = asyncio.Queue()

        class Other(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
                got.put_nowait((data, addr))

        transport, _ = await loop.create_datagram_endpoint(Other, local_addr=(HOST, 0))
        other = transport.get_extra_info("sockname")
        mine, _ = await loop.create_datagram_endpoint(Other, local_addr=(HOST, 0))
        own = mine.get_extra_info("sockname")
        mine.close()
        await asyncio.sleep(0)
        peers: dict[str, Any] = {
            "peer_listen": f"{own[0]}:{own[1]}",
            "peers": [f"{own[0]}:{own[1]}", f"{other[0]}:{other[1]}"],
        }
        async with run_harness(OK, overrides=peers, bounds={"mayTell": True}) as harness:
            (await harness.client()).send(request())
            data, sender = await got.get()
            assert (data, sender) == (b"hi", own)
            assert harness.log == ["peers: could not send a message"]
            transport.sendto(b"back", own)
            await until(lambda: balancer.received(MessageReceived) == [MessageReceived(1, b"back")])
        transport.close()

    run_async(work)


def test_an_exception_in_a_decision_fails_only_its_request(scripted: Use) -> None:
    # Guards against a request that stays open without an answer after an exception.
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            if event.service_class == "lodge":
                raise ZeroDivisionError
            return [Send(event.request, "s-0", FAR)]
        return []

    async def work() -> None:
        scripted(decide)
        async with run_harness(OK) as harness:
            assert (await harness.exchange("lodge")).status == 500
            assert (await harness.exchange("check")).status == 200
            assert harness.log == ["internal error: RequestArrived: ZeroDivisionError()"]

    run_async(work)


def test_the_sidecar_survives_any_bytes_from_clients_and_servers() -> None:
    chance = random.Random(20)

    def mangled(text: bytes) -> bytes:
        data = bytearray(text)
        for _ in range(chance.randint(1, 6)):
            at = chance.randrange(len(data))
            data[at : at + chance.randint(0, 4)] = chance.randbytes(chance.randint(0, 4))
        return bytes(data)

    async def odd(received: ReceivedRequest) -> bytes:
        return mangled(OK + OK) if chance.random() < 0.7 else OK

    async def work() -> None:
        errors: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with run_harness(odd, odd, odd) as harness:
            for number in range(150):
                client = await harness.client()
                kind = ("check", "amend", "lodge")[number % 3]
                client.send(mangled(request(kind, timeout="0.2", body=b"" if kind == "check" else b"body")))
                client.writer.write_eof()
                await client.reader.read()
                client.close()
            await until(lambda: harness.sidecar.open_requests == 0)
            harness.servers[0].script = harness.servers[1].script = harness.servers[2].script = OK
            await until(lambda: len(harness.sidecar.listener.connections) == 0)
            assert not [each for each in harness.log if "internal" in each]
            client = await harness.client()
            client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.answer()).status == 200
        assert [each for each in errors if "micadeck" in repr(each) or "protocol." in each["message"]] == []

    run_async(work)
