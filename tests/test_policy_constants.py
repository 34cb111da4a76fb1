"""Constants of the decisions that no recorded day shows: each case fails if its constant moves by a tenth.

What is expected follows from the rule that a constant serves, so it is written out here.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import MS, START, S, Stage, names, settings

from micadeck.policy.actions import Cancel, WatchEndpoints
from micadeck.policy.endpoints import Endpoint
from micadeck.policy.events import ListKind, ServersListed
from micadeck.policy.full_backoff import record_full
from micadeck.policy.open_requests import Attempt, OpenRequest
from micadeck.policy.retry_policy import retry_deadline
from micadeck.policy.slow_start import plausible_start


def _stage(servers: int = 10) -> Stage:
    stage = Stage()
    stage.servers(names(servers))
    return stage


def _endpoints(stage: Stage) -> list[Endpoint]:
    return list(stage.balancer._endpoints.ready)


def test_a_server_that_is_new_on_the_list_started_six_seconds_before_it_at_most() -> None:
    """A change counts as told 6 s after it was made, so an older start would have been listed before."""
    last_update = START - S
    start = plausible_start(START - 60 * S, START, last_update, was_listed=False)
    assert start == last_update - 6 * S


def test_discovery_is_asked_again_within_a_second_after_any_number_of_failures() -> None:
    """With a dial of 1 s and an answer of 1.5 s, that leaves a lost call its time within the 6 s."""
    stage = Stage(settings(discovery="on_request", rules={"ask_within_us": 100 * S}))
    stage.servers(names(3))
    waits = []
    for _ in range(60):
        failed_at = stage.now
        stage.play(ServersListed(ListKind.FAILED))
        before = len(stage.said(WatchEndpoints))
        while len(stage.said(WatchEndpoints)) == before:
            stage.wait(MS)
        waits.append(stage.now - failed_at)
    late = waits[10:]
    assert 0.95 * S < max(late) <= S + 5 * MS
    assert min(late) >= 0.5 * S


def test_six_of_ten_servers_are_ejected_at_most() -> None:
    """The rest has to bear the load."""
    stage = _stage(100)
    balancer = stage.balancer
    balancer._concurrency.mean_load = 200.0  # so that all of them are in use
    for each in _endpoints(stage):
        balancer._outliers.eject(each, "error")
    assert len(balancer._endpoints.ejected) == 60


def test_a_server_that_stays_full_for_a_class_is_passed_over_for_four_aims_at_most() -> None:
    """It is tried again about as often as its answers take to come."""
    stage = _stage()
    endpoint = _endpoints(stage)[0]
    lengths = []
    for _ in range(6):
        record_full(stage.balancer._context, endpoint, "look")
        lengths.append(endpoint.full_backoffs["look"].objectives)
    assert lengths == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]


@pytest.mark.parametrize(("answers", "is_ejected"), [(3, False), (4, True)])
def test_a_silent_server_is_ejected_once_four_others_answered(answers: int, is_ejected: bool) -> None:
    """Fewer show no difference between it and the rest."""
    stage = _stage()
    outliers = stage.balancer._outliers
    endpoint = _endpoints(stage)[0]
    attempt = Attempt(0, endpoint, "east", 0, stage.now, outliers.answers)
    outliers.answers += answers
    outliers.record_silence(attempt)
    assert (endpoint.ejected_until is not None) == is_ejected


def test_a_keyed_repeat_leaves_a_tenth_of_its_window_for_its_way_to_the_server() -> None:
    """The server forgets the key by its own clock; a slow dial must not bring a repeat after that."""
    given = settings()
    given = replace(given, limits=replace(given.limits, dial_timeout_us=60 * S))
    keyed = next(each for each in given.classes if each.name == "amend")
    request = OpenRequest(1, keyed, START + 4 * S, 1.0, None, 5, is_complete=True)
    stage = _stage()
    request.attempts.append(Attempt(0, _endpoints(stage)[0], "east", 0, START, 0))
    window = 2 * S
    assert retry_deadline(request, given) == START + window - given.tick_us - window // 10


def test_the_heaviest_requests_weigh_latency_by_its_third_power() -> None:
    """Beyond that a server of twice the usual time would get next to nothing of them."""
    stage = _stage()
    slow, usual = _endpoints(stage)[:2]
    slow.relative_latency = 2.0
    request = OpenRequest(
        1, settings().classes[0], START + S, 16.0, None, 5, is_complete=True, cost_exponent=9
    )
    slow_weight, usual_weight = stage.balancer._selector._weights([slow, usual], request)
    assert usual_weight / slow_weight == pytest.approx(8.0)


@pytest.mark.parametrize(("balance", "is_cancelled"), [(0.95, False), (1.0, True)])
def test_a_silent_attempt_is_cancelled_only_if_a_whole_retry_is_left(
    balance: float, is_cancelled: bool
) -> None:
    """Else the request would have lost its attempt and get no other."""
    stage = Stage(settings(limits={"second_copies": False}))
    stage.servers(names(6))
    stage.serve(60)
    silent = stage.request()
    stage.balancer._retry_budget.balance = balance
    for _ in range(8):
        stage.wait(60 * MS)
        answered = stage.request()
        if stage.target(answered) != stage.target(silent):
            stage.end(answered)
        stage.balancer._retry_budget.balance = balance
    assert any(each.request == silent for each in stage.said(Cancel)) == is_cancelled
