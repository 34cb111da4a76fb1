"""Policy constants that no simulated day covers: each test fails if its constant changes by a tenth.

The expected values follow from the rule behind each constant.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import MS, START, PolicyHarness, S, names, settings

from micadeck.policy.actions import Cancel, WatchEndpoints
from micadeck.policy.endpoints import Endpoint
from micadeck.policy.events import ListKind, ServersListed
from micadeck.policy.full_backoff import record_full
from micadeck.policy.open_requests import Attempt, OpenRequest
from micadeck.policy.retry_policy import retry_deadline
from micadeck.policy.slow_start import plausible_start


def _harness(servers: int = 10) -> PolicyHarness:
    harness = PolicyHarness()
    harness.list_servers(names(servers))
    return harness


def _endpoints(harness: PolicyHarness) -> list[Endpoint]:
    return list(harness.balancer._endpoints.ready)


def test_a_server_that_is_new_on_the_list_started_six_seconds_before_it_at_most() -> None:
    """A change counts as published within 6 s, so an earlier start would have been listed before."""
    last_update = START - S
    start = plausible_start(START - 60 * S, START, last_update, was_listed=False)
    assert start == last_update - 6 * S


def test_discovery_is_polled_again_within_a_second_after_any_number_of_failures() -> None:
    """With 1 s to connect and 1.5 s to answer, a lost call can still be repeated within the 6 s."""
    harness = PolicyHarness(settings(discovery="on_request", rules={"ask_within_us": 100 * S}))
    harness.list_servers(names(3))
    waits = []
    for _ in range(60):
        failed_at = harness.now
        harness.handle(ServersListed(ListKind.FAILED))
        before = len(harness.actions(WatchEndpoints))
        while len(harness.actions(WatchEndpoints)) == before:
            harness.advance(MS)
        waits.append(harness.now - failed_at)
    late = waits[10:]
    assert 0.95 * S < max(late) <= S + 5 * MS
    assert min(late) >= 0.5 * S


def test_six_of_ten_servers_are_ejected_at_most() -> None:
    """The remaining servers must be able to carry the load."""
    harness = _harness(100)
    balancer = harness.balancer
    balancer._concurrency.mean_load = 200.0  # so that all servers are in use
    for each in _endpoints(harness):
        balancer._outliers.eject(each, "error")
    assert len(balancer._endpoints.ejected) == 60


def test_a_server_that_stays_full_for_a_class_is_avoided_for_at_most_four_latency_objectives() -> None:
    """It is tried again about as often as an answer takes."""
    harness = _harness()
    endpoint = _endpoints(harness)[0]
    lengths = []
    for _ in range(6):
        record_full(harness.balancer._context, endpoint, "look")
        lengths.append(endpoint.full_backoffs["look"].objectives)
    assert lengths == [0.5, 1.0, 2.0, 4.0, 4.0, 4.0]


@pytest.mark.parametrize(("answers", "is_ejected"), [(3, False), (4, True)])
def test_a_silent_server_is_ejected_once_four_others_answered(answers: int, is_ejected: bool) -> None:
    """Fewer answers don't set this server apart."""
    harness = _harness()
    outliers = harness.balancer._outliers
    endpoint = _endpoints(harness)[0]
    attempt = Attempt(0, endpoint, "east", 0, harness.now, outliers.answers)
    outliers.answers += answers
    outliers.record_silence(attempt)
    assert (endpoint.ejected_until is not None) == is_ejected


def test_a_keyed_retry_leaves_a_tenth_of_its_window_for_transit() -> None:
    """The server expires the key by its own clock; a slow dial must not deliver a retry after that."""
    given = settings()
    given = replace(given, limits=replace(given.limits, dial_timeout_us=60 * S))
    keyed = next(each for each in given.classes if each.name == "amend")
    request = OpenRequest(1, keyed, START + 4 * S, 1.0, None, 5, is_complete=True)
    harness = _harness()
    request.attempts.append(Attempt(0, _endpoints(harness)[0], "east", 0, START, 0))
    window = 2 * S
    assert retry_deadline(request, given) == START + window - given.tick_us - window // 10


def test_the_heaviest_requests_weigh_latency_by_its_third_power() -> None:
    """A larger exponent would send almost none of them to a server of twice the usual latency."""
    harness = _harness()
    slow, usual = _endpoints(harness)[:2]
    slow.relative_latency = 2.0
    request = OpenRequest(
        1, settings().classes[0], START + S, 16.0, None, 5, is_complete=True, cost_exponent=9
    )
    slow_weight, usual_weight = harness.balancer._selector._weights([slow, usual], request)
    assert usual_weight / slow_weight == pytest.approx(8.0)


@pytest.mark.parametrize(("balance", "is_cancelled"), [(0.95, False), (1.0, True)])
def test_a_silent_attempt_is_cancelled_only_if_the_budget_allows_a_retry(
    balance: float, is_cancelled: bool
) -> None:
    """Otherwise the request would lose its attempt and get no other."""
    harness = PolicyHarness(settings(limits={"second_copies": False}))
    harness.list_servers(names(6))
    harness.serve(60)
    silent = harness.request()
    harness.balancer._retry_budget.balance = balance
    for _ in range(8):
        harness.advance(60 * MS)
        answered = harness.request()
        if harness.target(answered) != harness.target(silent):
            harness.end_attempt(answered)
        harness.balancer._retry_budget.balance = balance
    assert any(each.request == silent for each in harness.actions(Cancel)) == is_cancelled
