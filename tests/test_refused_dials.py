"""Refused connections: they count as no attempt, and their servers are ejected until they accept again."""

from __future__ import annotations

import pytest
from helpers import MS, PolicyHarness, S, names, settings

from micadeck.policy.actions import Fail, Log, Refuse
from micadeck.policy.events import ListedServer, ServerState
from micadeck.policy.outcomes import Outcome

REFUSED = Outcome.CONNECTION_REFUSED


def _harness(count: int, attempts: int = 2, seed: int = 7) -> PolicyHarness:
    harness = PolicyHarness(settings(limits={"max_attempts": attempts, "second_copies": False}), seed=seed)
    harness.list_servers(names(count))
    return harness


def _first_drawn(harness: PolicyHarness) -> str:
    """First server of this balancer's ready list."""
    return harness.balancer._endpoints.ready[0].name


def _eject_by_refused_dials(harness: PolicyHarness, name: str) -> None:
    for _ in range(100):
        if harness.balancer._endpoints.ejected:
            return
        _finish(harness, harness.request(), {name})
    raise AssertionError("never drawn, or never ejected")


def _finish(harness: PolicyHarness, request: int, down: set[str], failure: Outcome = REFUSED) -> int:
    """End attempts of a request until it is answered; return how many there were."""
    dials = 0
    while len(harness.sends(request)) > dials:
        dials = len(harness.sends(request))
        harness.end_attempt(request, failure if harness.target(request) in down else Outcome.DELIVERED)
    return dials


def test_servers_that_refuse_connections_use_up_no_attempt_and_no_retry_budget() -> None:
    harness = _harness(30)
    down = set(names(30)[:18])  # six in ten, as after a release that the list doesn't show yet
    requests = [harness.request(name) for name in ("look", "pay", "amend") * 20]
    for request in requests:
        _finish(harness, request, down)
        harness.advance(20 * MS)
    assert not any(isinstance(action, (Refuse, Fail)) for _, action in harness.log)
    budget = harness.balancer._retry_budget
    assert budget.balance == pytest.approx(10.0)  # refused dials take nothing from the retry budget


def test_a_server_that_refused_a_connection_gets_one_probation_request_at_a_time() -> None:
    harness = _harness(30)
    down = set(names(30)[:18])
    dials = 0
    for _ in range(50):
        request = harness.request()
        dials += _finish(harness, request, down) - 1
        harness.advance(10 * MS)
    assert dials <= 18
    ejected = {each.name for each in harness.balancer._endpoints.ejected}
    assert len(ejected) == dials
    for _ in range(400):
        harness.advance(10 * MS)
        harness.request()  # none of these ends, so many are in flight
    probations = [
        each.endpoint.name
        for request in harness.balancer._requests.values()
        for each in request.attempts
        if each.endpoint.name in ejected
    ]
    assert len(probations) == len(set(probations)) > 0


def test_a_server_that_listens_again_is_readmitted_as_cold() -> None:
    harness = _harness(6)
    name = _first_drawn(harness)
    _eject_by_refused_dials(harness, name)
    harness.advance(8 * S)
    for _ in range(30):
        _finish(harness, harness.request(), set())
        harness.advance(100 * MS)
    assert not harness.balancer._endpoints.ejected
    assert harness.balancer._slow_start.is_cold(harness.balancer._endpoints.by_name[name])


def test_a_newly_listed_process_is_readmitted_at_once() -> None:
    harness = _harness(6)
    name = _first_drawn(harness)
    _eject_by_refused_dials(harness, name)
    harness.list_servers([ListedServer(name, zone="east", state=ServerState.READY, started_at=harness.now)])
    assert (
        not harness.balancer._endpoints.ejected
        and not harness.balancer._endpoints.by_name[name].refuses_connections
    )


def test_where_all_servers_refuse_connections_some_stay_eligible_and_requests_are_refused_at_once() -> None:
    harness = _harness(10)
    for _ in range(30):
        request = harness.request("pay")
        assert 1 <= _finish(harness, request, set(names(10))) <= 10
        assert any(isinstance(action, Refuse) for at, action in harness.log if at == harness.now)
        harness.advance(10 * MS)
    assert len(harness.balancer._endpoints.ejected) == 6
    before = len(harness.log)
    # All servers accept again: one that is not ejected serves the request.
    _finish(harness, harness.request("pay"), set())
    assert not any(isinstance(action, Refuse) for _, action in harness.log[before:])


def test_a_failing_server_is_also_ejected_where_most_refuse_connections() -> None:
    # Guards against servers that are down using up the share of servers that may be ejected.
    harness = _harness(30, attempts=1)
    first = [each.name for each in harness.balancer._endpoints.ready]
    down, failing = set(first[:18]), set(first[18:20])
    in_flight: list[int] = []
    for _ in range(300):  # several at once: one at a time, a slow server is not drawn twice
        request = harness.request()
        for _ in range(9):
            if harness.sends(request) and harness.target(request) in down:
                harness.end_attempt(request, REFUSED)
        in_flight.append(request)
        if len(in_flight) > 12:
            oldest = in_flight.pop(0)
            fails = harness.sends(oldest) and harness.target(oldest) in failing
            harness.end_attempt(oldest, Outcome.ERROR if fails else Outcome.DELIVERED)
        harness.advance(20 * MS)
    ejected = {action.text for _, action in harness.log if isinstance(action, Log)}
    assert {f"ejected {each}: error" for each in failing} & ejected


def test_timed_out_and_broken_connections_count_as_attempts() -> None:
    for outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST):
        harness = _harness(10)
        request = harness.request()
        assert _finish(harness, request, set(names(10)), outcome) == 2


def test_dials_of_one_request_are_bounded() -> None:
    harness = _harness(60)
    request = harness.request()
    assert _finish(harness, request, set(names(60))) == 2 + 8
