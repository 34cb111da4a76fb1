"""Dials that find nobody: no attempts, and their servers are out of the draw until somebody listens."""

from __future__ import annotations

import pytest
from helpers import MS, S, Stage, names, settings

from micadeck.policy.actions import Fail, Log, Refuse
from micadeck.policy.events import ListedServer, ServerState
from micadeck.policy.outcomes import Outcome

DOWN = Outcome.CONNECTION_REFUSED


def stage_of(count: int, attempts: int = 2, seed: int = 7) -> Stage:
    stage = Stage(settings(limits={"max_attempts": attempts, "second_copies": False}), seed=seed)
    stage.servers(names(count))
    return stage


def first_of(stage: Stage) -> str:
    """The server that this balancer draws from first."""
    return stage.balancer._endpoints.ready[0].name


def ejected_by_dials(stage: Stage, name: str) -> None:
    for _ in range(100):
        if stage.balancer._endpoints.ejected:
            return
        run(stage, stage.request(), {name})
    raise AssertionError("never drawn, or never ejected")


def run(stage: Stage, request: int, gone: set[str], fails: Outcome = DOWN) -> int:
    """End its attempts, at once, until it has an answer; say how many there were."""
    made = 0
    while len(stage.sends(request)) > made:
        made = len(stage.sends(request))
        stage.end(request, fails if stage.target(request) in gone else Outcome.DELIVERED)
    return made


def test_a_request_passes_over_those_that_are_gone_without_an_attempt_or_a_retrys_allowance() -> None:
    stage = stage_of(30)
    gone = set(names(30)[:18])  # six in ten, as after a release that the list does not tell of
    served = [stage.request(name) for name in ("look", "pay", "amend") * 20]
    for request in served:
        run(stage, request, gone)
        stage.wait(20 * MS)
    assert not any(isinstance(action, (Refuse, Fail)) for _, action in stage.log)
    budget = stage.balancer._retry_budget
    assert budget.balance == pytest.approx(10.0)  # what guards against storms of repeats is untouched


def test_each_that_turned_one_down_is_dialled_by_nobody_else_but_one_trial_at_a_time() -> None:
    stage = stage_of(30)
    gone = set(names(30)[:18])
    dials = 0
    for _ in range(50):
        request = stage.request()
        dials += run(stage, request, gone) - 1
        stage.wait(10 * MS)
    assert dials <= 18
    out = {each.name for each in stage.balancer._endpoints.ejected}
    assert len(out) == dials
    for _ in range(400):
        stage.wait(10 * MS)
        stage.request()  # none of these ends: many requests at once
    trials = [
        each.endpoint.name
        for request in stage.balancer._requests.values()
        for each in request.attempts
        if each.endpoint.name in out
    ]
    assert len(trials) == len(set(trials)) > 0


def test_who_listens_again_is_found_and_is_cold() -> None:
    stage = stage_of(6)
    name = first_of(stage)
    ejected_by_dials(stage, name)
    stage.wait(8 * S)
    for _ in range(30):
        run(stage, stage.request(), set())
        stage.wait(100 * MS)
    assert not stage.balancer._endpoints.ejected
    assert stage.balancer._slow_start.is_cold(stage.balancer._endpoints.by_name[name])


def test_a_new_process_that_the_list_tells_of_ends_it_at_once() -> None:
    stage = stage_of(6)
    name = first_of(stage)
    ejected_by_dials(stage, name)
    stage.servers([ListedServer(name, zone="east", state=ServerState.READY, started_at=stage.now)])
    assert (
        not stage.balancer._endpoints.ejected
        and not stage.balancer._endpoints.by_name[name].refuses_connections
    )


def test_where_all_turn_dials_down_some_stay_in_the_draw_and_each_request_is_refused_at_once() -> None:
    stage = stage_of(10)
    for _ in range(30):
        request = stage.request("pay")
        assert 1 <= run(stage, request, set(names(10))) <= 10
        assert any(isinstance(action, Refuse) for at, action in stage.log if at == stage.now)
        stage.wait(10 * MS)
    assert len(stage.balancer._endpoints.ejected) == 6
    before = len(stage.log)
    run(stage, stage.request("pay"), set())  # well again: one of those in the draw serves it
    assert not any(isinstance(action, Refuse) for _, action in stage.log[before:])


def test_a_sick_server_is_ejected_as_well_where_most_are_gone() -> None:
    # Guards against the gone using up the share that may be ejected at all.
    stage = stage_of(30, attempts=1)
    first = [each.name for each in stage.balancer._endpoints.ready]
    gone, sick = set(first[:18]), set(first[18:20])
    out: list[int] = []
    for _ in range(300):  # several at once: one by one, a slow server is not drawn twice
        request = stage.request()
        for _ in range(9):
            if stage.sends(request) and stage.target(request) in gone:
                stage.end(request, DOWN)
        out.append(request)
        if len(out) > 12:
            first_out = out.pop(0)
            ill = stage.sends(first_out) and stage.target(first_out) in sick
            stage.end(first_out, Outcome.ERROR if ill else Outcome.DELIVERED)
        stage.wait(20 * MS)
    ejected = {action.text for _, action in stage.log if isinstance(action, Log)}
    assert {f"ejected {each}: error" for each in sick} & ejected


def test_what_timed_out_or_broke_is_an_attempt_as_before() -> None:
    for outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST):
        stage = stage_of(10)
        request = stage.request()
        assert run(stage, request, set(names(10)), outcome) == 2


def test_dials_of_one_request_are_bounded() -> None:
    stage = stage_of(60)
    request = stage.request()
    assert run(stage, request, set(names(60))) == 2 + 8
