"""Requests that only one server can serve, and answers that have begun: in decisions and engine."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import MS, S, Stage, names, settings
from test_engine import FakePorts

from micadeck.engine import EndpointEntry, EndpointUpdate, Engine, EnginePorts, FailureCause, Request
from micadeck.policy.actions import Fail, Refuse
from micadeck.policy.events import ListedServer, ListKind, RequestArrived, ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.simulator_adapter import settings_from_wire

SERVERS = names(4)
HOME = SERVERS[2]
_numbers = iter(range(10_000, 100_000))


def bound_stage(**rules: int) -> Any:
    stage = Stage(settings(rules={"bound_grace_us": 150 * MS, **rules}))
    stage.servers(SERVERS)
    return stage


def ask(stage: Any, name: str = "pay", server: str = HOME) -> int:
    number = next(_numbers)
    stage.play(RequestArrived(number, name, None, None, 2 * S, sticky_server=server))
    return number


def test_a_bound_request_goes_to_its_server_and_counts_there_as_others_do() -> None:
    stage = bound_stage()
    for _ in range(20):
        assert stage.target(ask(stage)) == HOME
    # Twenty are out there: of any two servers that are drawn, the other one has fewer.
    assert all(stage.target(stage.request("look")) != HOME for _ in range(20))


@pytest.mark.parametrize("name", ["look", "pay"])
@pytest.mark.parametrize(
    "outcome",
    [Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.CONNECTION_LOST, Outcome.FULL, Outcome.ERROR],
)
def test_a_bound_request_is_never_sent_again_or_elsewhere(name: str, outcome: Outcome) -> None:
    stage = bound_stage()
    request = ask(stage, name)
    stage.end(request, outcome, answered=False)
    assert len(stage.sends(request)) == 1
    never_ran = outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.FULL)
    kind = Refuse if name == "look" or never_ran else Fail
    assert [each.request for each in stage.said(kind)] == [request]


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
def test_what_is_bound_to_a_draining_server_may_go_there_for_a_part_of_the_grace(
    state: ServerState, waited: int, is_sent: bool
) -> None:
    stage = bound_stage()
    stage.end(stage.request("look"))
    if state is not ServerState.READY:
        stage.drain(HOME, state)
    stage.wait(waited)
    request = ask(stage)
    assert bool(stage.sends(request)) is is_sent
    assert bool(stage.said(Refuse)) is not is_sent
    others = [stage.request("look") for _ in range(8)]
    if state is not ServerState.READY:
        assert all(stage.target(each) != HOME for each in others)


def test_without_that_part_a_drain_ends_it_at_once_and_an_unknown_server_is_none() -> None:
    stage = Stage(settings())
    stage.servers(SERVERS)
    stage.drain(HOME)
    assert not stage.sends(ask(stage)) and not stage.sends(ask(stage, server="nowhere"))
    assert len(stage.said(Refuse)) == 2


def test_a_word_said_twice_gives_no_more_time() -> None:
    stage = bound_stage()
    stage.drain(HOME)
    stage.wait(100 * MS)
    stage.drain(HOME)
    stage.wait(60 * MS)
    assert not stage.sends(ask(stage))


def test_bound_requests_count_against_a_cold_servers_part() -> None:
    stage = bound_stage()
    stage.serve(60)
    stage.servers([ListedServer(HOME, zone="east", started_at=stage.now)], ListKind.CHANGES)
    sent = 0
    for _ in range(100):
        stage.wait(20 * MS)
        request = ask(stage)
        if stage.sends(request):
            sent += 1
            stage.end(request)
    assert 0 < sent < 60  # of the hundred, in two of the ten seconds that it is cold for


def test_a_bound_request_is_no_trial_of_an_ejected_server() -> None:
    stage = bound_stage()
    stage.serve(20)
    for _ in range(8):
        if stage.balancer._endpoints.by_name[HOME].ejected_until is not None:
            break
        stage.end(ask(stage), Outcome.ERROR, answered=False)
    server = stage.balancer._endpoints.by_name[HOME]
    assert server.ejected_until is not None
    request = ask(stage)
    assert stage.target(request) == HOME and server.probation_attempt is None
    stage.end(request)
    assert server.ejected_until is None  # it answered all the same


# ---------------------------------------------------------------------------------------------------
# Answers that have begun


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


def _request() -> Request:
    return Request("check", None, None, S, None, False, b"id", False)


@pytest.mark.parametrize(
    ("outcome", "told"),
    [
        (Outcome.DELIVERED, "served"),
        (Outcome.CONNECTION_LOST, (FailureCause.SERVERS, True)),
        (Outcome.TIMED_OUT, (FailureCause.SERVERS, True)),
    ],
)
def test_an_answer_that_has_begun_is_ended_by_its_own_attempt_and_no_other(
    outcome: Outcome, told: object
) -> None:
    ports, engine = _engine()
    handler = Handler()
    number = engine.submit(_request(), handler)
    assert number is not None and engine.response_started(number)
    ports.end(0, outcome)
    assert handler.answers == [told] and len(ports.attempts) == 1
    assert engine.open_requests == engine.unanswered_requests == 0


def test_past_its_time_an_answer_that_has_begun_is_left_to_its_transport() -> None:
    ports, engine = _engine()
    handler = Handler()
    number = engine.submit(_request(), handler)
    assert number is not None and engine.response_started(number)
    ports.wait(2 * S)
    assert not handler.answers and not ports.cancelled
    ports.end(0, Outcome.TIMED_OUT)  # which its deadline ends
    assert len(handler.answers) == 1 and not engine.response_started(number)
    assert engine.open_requests == 0


def test_nothing_begins_for_one_who_went_away() -> None:
    ports, engine = _engine()
    number = engine.submit(_request(), Handler())
    assert number is not None
    engine.client_disconnected(number)
    assert not engine.response_started(number)
    assert ports.cancelled
