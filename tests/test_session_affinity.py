"""Sticky requests, and answers that have started, in the policy and in the engine."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import MS, PolicyHarness, S, names, settings
from test_engine import FakePorts

from micadeck.engine import EndpointEntry, EndpointUpdate, Engine, EnginePorts, FailureCause, Request
from micadeck.policy.actions import Fail, Refuse
from micadeck.policy.events import ListedServer, ListKind, RequestArrived, ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.simulator_adapter import settings_from_wire

SERVERS = names(4)
STICKY_SERVER = SERVERS[2]
_numbers = iter(range(10_000, 100_000))


def _sticky_harness(**rules: int) -> Any:
    harness = PolicyHarness(settings(rules={"bound_grace_us": 150 * MS, **rules}))
    harness.list_servers(SERVERS)
    return harness


def _request_sticky(harness: Any, name: str = "pay", server: str = STICKY_SERVER) -> int:
    number = next(_numbers)
    harness.handle(RequestArrived(number, name, None, None, 2 * S, sticky_server=server))
    return number


def test_a_sticky_request_goes_to_its_server_and_counts_as_load_there() -> None:
    harness = _sticky_harness()
    for _ in range(20):
        assert harness.target(_request_sticky(harness)) == STICKY_SERVER
    # Twenty are in flight there: of any two servers drawn, the other one has fewer.
    assert all(harness.target(harness.request("look")) != STICKY_SERVER for _ in range(20))


@pytest.mark.parametrize("name", ["look", "pay"])
@pytest.mark.parametrize(
    "outcome",
    [Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CONNECTION_LOST, Outcome.FULL, Outcome.ERROR],
)
def test_a_sticky_request_is_never_retried_or_sent_elsewhere(name: str, outcome: Outcome) -> None:
    harness = _sticky_harness()
    request = _request_sticky(harness, name)
    harness.end_attempt(request, outcome, answered=False)
    assert len(harness.sends(request)) == 1
    never_ran = outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.FULL)
    kind = Refuse if name == "look" or never_ran else Fail
    assert [each.request for each in harness.actions(kind)] == [request]


@pytest.mark.parametrize(
    ("state", "waited", "is_sent"),
    [
        (ServerState.READY, 0, True),
        (ServerState.DRAINING, 0, True),
        (ServerState.DRAINING, 149 * MS, True),
        (ServerState.DRAINING, 150 * MS, False),
        (ServerState.DRAINING, 10 * S, False),
        (ServerState.REMOVED, 0, False),
    ],
)
def test_sticky_requests_reach_a_draining_server_during_the_session_grace(
    state: ServerState, waited: int, is_sent: bool
) -> None:
    harness = _sticky_harness()
    harness.end_attempt(harness.request("look"))
    if state is not ServerState.READY:
        harness.drain(STICKY_SERVER, state)
    harness.advance(waited)
    request = _request_sticky(harness)
    assert bool(harness.sends(request)) is is_sent
    assert bool(harness.actions(Refuse)) is not is_sent
    others = [harness.request("look") for _ in range(8)]
    if state is not ServerState.READY:
        assert all(harness.target(each) != STICKY_SERVER for each in others)


def test_without_session_grace_a_draining_or_unknown_server_gets_no_sticky_requests() -> None:
    harness = PolicyHarness(settings())
    harness.list_servers(SERVERS)
    harness.drain(STICKY_SERVER)
    known, unknown = _request_sticky(harness), _request_sticky(harness, server="nowhere")
    assert not harness.sends(known) and not harness.sends(unknown)
    assert len(harness.actions(Refuse)) == 2


def test_a_repeated_drain_does_not_extend_the_session_grace() -> None:
    harness = _sticky_harness()
    harness.drain(STICKY_SERVER)
    harness.advance(100 * MS)
    harness.drain(STICKY_SERVER)
    harness.advance(60 * MS)
    assert not harness.sends(_request_sticky(harness))


def test_sticky_requests_count_against_the_slow_start_share() -> None:
    harness = _sticky_harness()
    harness.serve(60)
    harness.list_servers([ListedServer(STICKY_SERVER, zone="east", started_at=harness.now)], ListKind.CHANGES)
    sent = 0
    for _ in range(100):
        harness.advance(20 * MS)
        request = _request_sticky(harness)
        if harness.sends(request):
            sent += 1
            harness.end_attempt(request)
    assert 0 < sent < 60  # of a hundred, sent in two of the ten seconds of slow start


def test_a_sticky_request_is_no_probation_request() -> None:
    harness = _sticky_harness()
    harness.serve(20)
    for _ in range(8):
        if harness.balancer._endpoints.by_name[STICKY_SERVER].ejected_until is not None:
            break
        harness.end_attempt(_request_sticky(harness), Outcome.ERROR, answered=False)
    server = harness.balancer._endpoints.by_name[STICKY_SERVER]
    assert server.ejected_until is not None
    request = _request_sticky(harness)
    assert harness.target(request) == STICKY_SERVER and server.probation_attempt is None
    harness.end_attempt(request)
    assert server.ejected_until is None  # its answer readmits it


# ---------------------------------------------------------------------------------------------------
# Answers that have started


class Handler:
    def __init__(self) -> None:
        self.answers: list[object] = []

    def served(self, response: object) -> None:
        self.answers.append("served")

    def refused(self, retry_after_us: int) -> None:
        self.answers.append("refused")

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        self.answers.append((cause, may_have_run))


def _engine() -> tuple[FakePorts, Engine]:
    ports = FakePorts()
    made = settings_from_wire(
        {
            "lanes": [{"name": "check", "giveUpUs": 2 * S, "promiseUs": S, "repeat": "read_like"}],
            "zone": "a",
            "discovery": "on_request",
            "bounds": {"sendCap": 3, "mayCancel": True},
        }
    )
    engine = Engine(made, 1, EnginePorts(ports, ports, ports, ports), lambda _: None)  # type: ignore[arg-type]
    entries = tuple(EndpointEntry(ListedServer(each, zone="a"), ("127.0.0.1", 1)) for each in SERVERS)
    engine.start(EndpointUpdate(1, True, entries))
    return ports, engine


def _engine_request() -> Request:
    return Request("check", None, None, S, None, False, b"id", False)


@pytest.mark.parametrize(
    ("outcome", "told"),
    [
        (Outcome.DELIVERED, "served"),
        (Outcome.CONNECTION_LOST, (FailureCause.SERVERS, True)),
        (Outcome.TIMED_OUT, (FailureCause.SERVERS, True)),
    ],
)
def test_a_started_answer_is_ended_only_by_its_own_attempt(outcome: Outcome, told: object) -> None:
    ports, engine = _engine()
    handler = Handler()
    number = engine.submit(_engine_request(), handler)
    assert number is not None and engine.response_started(number)
    ports.end(0, outcome)
    assert handler.answers == [told] and len(ports.attempts) == 1
    assert engine.open_requests == engine.unanswered_requests == 0


def test_a_started_answer_past_its_deadline_is_left_to_the_transport() -> None:
    ports, engine = _engine()
    handler = Handler()
    number = engine.submit(_engine_request(), handler)
    assert number is not None and engine.response_started(number)
    ports.wait(2 * S)
    assert not handler.answers and not ports.cancelled
    ports.end(0, Outcome.TIMED_OUT)  # as the transport does at its deadline
    assert len(handler.answers) == 1 and not engine.response_started(number)
    assert engine.open_requests == 0


def test_no_response_starts_for_a_disconnected_client() -> None:
    ports, engine = _engine()
    number = engine.submit(_engine_request(), Handler())
    assert number is not None
    engine.client_disconnected(number)
    assert not engine.response_started(number)
    assert ports.cancelled
