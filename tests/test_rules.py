"""The four rules, tested by scripted events."""

from __future__ import annotations

import itertools

import pytest
from helpers import MS, START, PolicyHarness, S, names, settings

from micadeck.policy.actions import Cancel, CloseIdle, Fail, FetchList, Refuse, WatchEndpoints
from micadeck.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    ListedServer,
    ListKind,
    ServersListed,
    ServerState,
)
from micadeck.policy.outcomes import Outcome

# Rule 1: one final answer in time


def test_an_unanswered_request_gets_its_final_answer_before_its_deadline() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(5))
    request = harness.request("pay", remaining_us=900 * MS)
    harness.advance(899 * MS)
    assert [each.request for each in harness.actions(Fail)] == [request]


def test_nothing_is_sent_or_answered_after_the_final_answer() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(5))
    request = harness.request("look", remaining_us=300 * MS)
    harness.advance(300 * MS)
    answers = len(harness.actions(Refuse))
    harness.end_attempt(request, Outcome.CANCELLED, answered=True)
    harness.advance(5 * S)
    assert answers == 1
    assert len(harness.actions(Refuse)) == 1
    assert len([1 for at, _ in harness.sends(request) if at > START + 300 * MS]) == 0


def test_a_request_past_its_deadline_on_arrival_is_refused_unsent() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(3))
    request = harness.request("pay", remaining_us=0)
    assert harness.sends(request) == []
    assert [each.request for each in harness.actions(Refuse)] == [request]


def test_without_servers_a_request_is_refused_at_once() -> None:
    harness = PolicyHarness()
    request = harness.request("pay")
    assert [each.request for each in harness.actions(Refuse)] == [request]


def test_without_allowed_attempts_a_request_is_refused() -> None:
    harness = PolicyHarness(settings(limits={"max_attempts": 0}))
    harness.list_servers(names(3))
    request = harness.request("look")
    assert harness.sends(request) == []
    assert [each.request for each in harness.actions(Refuse)] == [request]


def test_late_and_unknown_events_are_ignored() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(3))
    request = harness.request()
    harness.end_attempt(request)
    before = len(harness.log)
    harness.handle(ClientDisconnected(request))
    harness.handle(ClientDisconnected(99))
    harness.handle(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    harness.handle(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    assert len(harness.log) == before


def test_a_disconnected_client_gets_no_answer_and_its_attempt_is_cancelled() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(3))
    request = harness.request("pay")
    harness.handle(ClientDisconnected(request))
    harness.advance(3 * S)
    assert [each.request for each in harness.actions(Cancel)] == [request]
    assert harness.actions(Fail) == [] and harness.actions(Refuse) == []


# Rule 2: no effect twice


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.CANCELLED]
)
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(outcome: Outcome) -> None:
    harness = PolicyHarness()
    harness.list_servers(names(5))
    request = harness.request("pay")
    harness.advance(10 * MS)
    harness.end_attempt(request, outcome)
    assert len(harness.sends(request)) == 1
    assert [each.request for each in harness.actions(Fail)] == [request]
    assert harness.actions(Refuse) == []


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_an_unsafe_request_that_never_ran_goes_to_another_server(outcome: Outcome) -> None:
    harness = PolicyHarness()
    harness.list_servers(names(5))
    request = harness.request("pay")
    harness.advance(10 * MS)
    harness.end_attempt(request, outcome)
    targets = [each.server for _, each in harness.sends(request)]
    assert len(targets) == 2 and targets[0] != targets[1]


def _servers_in_two_cells() -> list[ListedServer]:
    return [ListedServer(name, zone="east", cell=index % 2) for index, name in enumerate(names(8))]


def test_a_keyed_retry_uses_the_cell_at_the_time_of_the_attempt() -> None:
    harness = PolicyHarness()
    harness.list_servers([ListedServer("first", zone="east", cell=1)])
    request = harness.request("amend", remaining_us=3 * S)
    assert harness.target(request) == "first"
    # The server moves to another cell, and only servers of that cell are listed.
    harness.list_servers([ListedServer(each, zone="east", cell=2) for each in ("first", "second", "third")])
    harness.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(harness.sends(request)) == 1


def test_a_keyed_retry_has_a_write_deadline_and_a_first_attempt_has_none() -> None:
    harness = PolicyHarness(settings(limits={"dial_timeout_us": 250 * MS}))
    harness.list_servers([ListedServer(each, zone="east", cell=1) for each in names(3)])
    request = harness.request("amend", remaining_us=4 * S)
    sent_at = harness.now
    harness.advance(100 * MS)
    harness.end_attempt(request, Outcome.CONNECTION_LOST)
    first, second = (send for _, send in harness.sends(request))
    assert first.write_by is None
    assert second.write_by == sent_at + 2 * S - 5 * MS - 50 * MS  # less a tick and the transit allowance
    assert all(each.write_by is None for _, each in harness.sends(harness.request("look")))


def test_a_keyed_request_that_may_have_run_stays_in_its_cell() -> None:
    for seed in range(20):
        harness = PolicyHarness(seed=seed)
        harness.list_servers(_servers_in_two_cells())
        cell_of = {each.server: each.cell for each in _servers_in_two_cells()}
        request = harness.request("amend")
        for _ in range(3):
            harness.advance(10 * MS)
            harness.end_attempt(request, Outcome.CONNECTION_LOST)
        targets = [each.server for _, each in harness.sends(request)]
        assert len(targets) > 1
        assert len({cell_of[each] for each in targets}) == 1


def test_a_keyed_request_is_not_retried_after_the_deduplication_window() -> None:
    harness = PolicyHarness()
    harness.list_servers(_servers_in_two_cells())
    request = harness.request("amend", remaining_us=4 * S)
    harness.advance(2 * S)
    harness.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(harness.sends(request)) == 1
    assert [each.request for each in harness.actions(Fail)] == [request]


def test_a_retry_waits_for_the_first_attempt_where_hedging_is_not_allowed() -> None:
    harness = PolicyHarness(settings(limits={"second_copies": False}))
    harness.list_servers(names(6))
    harness.serve(100)
    request = harness.request("look")
    hung = harness.target(request)
    for _ in range(60):
        harness.advance(10 * MS)
        other = harness.request("look")
        if harness.target(other) != hung:
            harness.end_attempt(other)
    assert [each.request for each in harness.actions(Cancel)][:1] == [request]
    assert len(harness.sends(request)) == 1
    harness.end_attempt(request, Outcome.CANCELLED, answered=False)
    assert len(harness.sends(request)) == 2


# Rule 3: no traffic to draining or removed servers


def test_a_draining_or_removed_server_gets_no_requests_once_listed_so() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(4))
    harness.drain("10.0.0.1:80")
    harness.list_servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        harness.request()
    targets = {each.server for _, each in harness.sends()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_list_that_brings_a_server_back_makes_it_ready_again() -> None:
    harness = PolicyHarness()
    harness.list_servers(["10.0.0.1:80"])
    harness.drain("10.0.0.1:80", ServerState.REMOVED)
    assert harness.sends(harness.request()) == []
    harness.list_servers(["10.0.0.1:80"], ListKind.CHANGES)
    assert len(harness.sends(harness.request())) == 1


def test_the_endpoint_list_is_watched_from_the_first_event() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(2), ListKind.REMEMBERED)
    assert harness.actions(WatchEndpoints) == [WatchEndpoints(True)]


def test_no_polls_are_made_where_changes_are_pushed() -> None:
    harness = PolicyHarness(settings(discovery="pushed"))
    harness.list_servers(names(2), ListKind.REMEMBERED)
    harness.advance(60 * S)
    assert harness.actions(WatchEndpoints) == [] and harness.actions(FetchList) == []


def test_failed_polls_are_retried_with_growing_backoff_without_end() -> None:
    harness = PolicyHarness()
    called_at = []
    harness.list_servers(names(2), ListKind.REMEMBERED)
    for _ in range(12):
        called_at.append(harness.now)
        count = len(harness.actions(WatchEndpoints))
        harness.handle(ServersListed(ListKind.FAILED))
        while len(harness.actions(WatchEndpoints)) == count:
            harness.advance(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(called_at)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_an_unanswered_poll_is_repeated_in_time() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(2), ListKind.REMEMBERED)
    harness.advance(10 * S)
    times = [at for at, each in harness.log if isinstance(each, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))


# Rule 4: a cold server is not overloaded


@pytest.mark.parametrize(("interval_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_a_cold_server_gets_no_more_than_its_slow_start_share(interval_us: int, burst: int) -> None:
    harness = PolicyHarness()
    harness.list_servers(names(6))
    harness.serve(300, interval_us=10 * MS)
    warm_per_s = 100 / 6
    started_at = harness.now
    cold = ListedServer("10.0.0.6:80", zone="east", started_at=started_at)
    harness.list_servers([cold], ListKind.CHANGES)
    while harness.now < started_at + 10 * S:
        requests = [harness.request() for _ in range(burst)]
        harness.advance(interval_us)
        for request in requests:
            if harness.sends(request):
                harness.end_attempt(request)
    times = [at for at, each in harness.sends() if each.server == "10.0.0.6:80" and at >= started_at]
    for end in times:
        warmth = 0.2 + 0.8 * max(end - 2 * S - started_at, 0) / (10 * S)
        in_window = sum(1 for at in times if end - 2 * S < at <= end)
        assert in_window <= max(1.0, 3 * warmth * warm_per_s * 2)
    assert times or burst == 1  # one at a time, the fastest known server takes all requests


def test_a_warm_server_is_not_held_back() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(2))
    for _ in range(50):
        harness.request()
    assert len({each.server for _, each in harness.sends()}) == 2


# The checks in `_send`, independent of the code that calls it


def test_the_send_check_blocks_draining_and_removed_servers() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(3))
    request = harness.balancer._requests[harness.request()]
    server = next(
        each
        for each in harness.balancer._endpoints.by_name.values()
        if each is not request.attempts[0].endpoint
    )
    harness.drain(server.name, ServerState.DRAINING)
    assert not harness.balancer._send(request, server)
    harness.list_servers([server.name], ListKind.CHANGES)
    assert harness.balancer._send(request, server)
    harness.drain(server.name, ServerState.REMOVED)
    other = harness.balancer._requests[harness.request()]
    assert not harness.balancer._send(other, server)


def test_the_send_check_blocks_a_second_copy_where_hedging_is_not_allowed() -> None:
    for allowed in (False, True):
        harness = PolicyHarness(settings(limits={"second_copies": allowed}))
        harness.list_servers(names(3))
        request = harness.balancer._requests[harness.request()]
        server = next(
            each
            for each in harness.balancer._endpoints.by_name.values()
            if each is not request.attempts[0].endpoint
        )
        assert harness.balancer._send(request, server) is allowed


# Further rule: a full response is no proof that the request did not run


def _harness_without_full_proof() -> PolicyHarness:
    harness = PolicyHarness(settings(rules={"full_may_have_run": True}))
    harness.list_servers(_servers_in_two_cells())
    return harness


def test_where_full_is_no_proof_an_unsafe_request_fails_on_it() -> None:
    harness = _harness_without_full_proof()
    request = harness.request("pay")
    harness.end_attempt(request, Outcome.FULL)
    assert len(harness.sends(request)) == 1
    assert [each.request for each in harness.actions(Fail)] == [request] and harness.actions(Refuse) == []


def test_where_full_is_no_proof_a_keyed_request_stays_in_its_cell_and_window() -> None:
    cell_of = {each.server: each.cell for each in _servers_in_two_cells()}
    for seed in range(20):
        harness = PolicyHarness(settings(rules={"full_may_have_run": True}), seed=seed)
        harness.list_servers(_servers_in_two_cells())
        request = harness.request("amend", remaining_us=4 * S)
        harness.end_attempt(request, Outcome.FULL)
        assert len({cell_of[each.server] for _, each in harness.sends(request)}) == 1
        assert len(harness.sends(request)) == 2
        harness.advance(2 * S)
        harness.end_attempt(request, Outcome.FULL, answered=False)
        assert len(harness.sends(request)) == 2 and harness.actions(Refuse) == []


def test_where_full_is_no_proof_a_safe_request_is_still_retried() -> None:
    harness = _harness_without_full_proof()
    request = harness.request("look")
    harness.end_attempt(request, Outcome.FULL)
    assert len(harness.sends(request)) == 2


# Further rule: idle connections to draining servers are closed


def test_idle_connections_are_closed_when_a_drain_is_listed_and_when_attempts_end_there() -> None:
    harness = PolicyHarness(settings(rules={"close_idle_within_us": 500 * MS}))
    harness.list_servers(names(1))
    request = harness.request("pay")
    harness.drain("10.0.0.1:80")
    assert harness.actions(CloseIdle) == [CloseIdle("10.0.0.1:80")]
    harness.drain("10.0.0.1:80")  # repeated notice: no connection was used since
    assert len(harness.actions(CloseIdle)) == 1
    harness.drain("10.0.0.1:80", ServerState.REMOVED)
    assert len(harness.actions(CloseIdle)) == 2
    harness.advance(S)
    harness.end_attempt(request)
    assert len(harness.actions(CloseIdle)) == 3


@pytest.mark.parametrize("kind", [ListKind.COMPLETE, ListKind.REMEMBERED])
def test_a_drain_in_a_complete_list_closes_connections_and_a_cancelled_one_does_not(kind: ListKind) -> None:
    harness = PolicyHarness(settings(rules={"close_idle_within_us": 500 * MS}))
    harness.list_servers(names(2))
    harness.list_servers([names(2)[1], ListedServer("10.0.0.1:80", "east", state=ServerState.DRAINING)], kind)
    assert harness.actions(CloseIdle) == [CloseIdle("10.0.0.1:80")]
    harness.list_servers(names(2), kind)
    for _ in range(10):
        harness.end_attempt(harness.request())
    assert len(harness.actions(CloseIdle)) == 1


def test_nothing_is_closed_where_no_rule_asks_for_it() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(2))
    harness.drain("10.0.0.1:80")
    assert harness.actions(CloseIdle) == []


@pytest.mark.parametrize("new_takes", [0.1, 0.5, 1.0])
def test_two_processes_in_a_hot_restart_do_not_overload_a_cold_server_together(new_takes: float) -> None:
    """A hot restart hands over in steps; cold servers join before, during and after it."""
    old, new = PolicyHarness(seed=1), PolicyHarness(seed=2)
    old.list_servers(names(6))
    old.serve(300, interval_us=10 * MS)
    new.now = started_at = old.now
    cold_since: dict[str, int] = {}
    new.list_servers(names(6))
    sent: list[tuple[int, str]] = []
    credit = 0.0
    for tick in range(1_000):
        if tick in (0, 150, 300, 600):
            name = f"10.0.1.{tick}:80"
            cold_since[name] = started_at + tick * 10 * MS
            for harness in (old, new):
                harness.list_servers(
                    [ListedServer(name, zone="east", started_at=cold_since[name])], ListKind.CHANGES
                )
        new_share = 0.0 if tick < 100 else new_takes if tick < 400 else 1.0
        credit += new_share
        active = new if credit >= 1.0 else old
        credit -= active is new
        request = active.request()
        sent += [(active.now, each.server) for _, each in active.sends(request) if each.server in cold_since]
        for harness in (old, new):
            harness.advance(10 * MS)
        if active.sends(request):
            active.end_attempt(request)
    assert sent
    for end, server in sent:
        warmth = 0.2 + 0.8 * min(max(end - 2 * S - cold_since[server], 0) / (10 * S), 1.0)
        in_window = sum(1 for at, other in sent if other == server and end - 2 * S < at <= end)
        assert in_window <= 3 * warmth * 2 * 100 / 6


def test_low_rate_balancers_spread_their_first_requests_to_a_cold_server() -> None:
    first: list[int] = []
    for seed in range(120):
        harness = PolicyHarness(seed=seed)
        harness.list_servers(names(2))
        harness.serve(20, interval_us=200 * MS)
        started_at = harness.now
        cold = [ListedServer(name, zone="east", started_at=started_at) for name in names(2)[:1]]
        harness.list_servers(cold, ListKind.CHANGES)
        while harness.now < started_at + 4 * S and not first[seed:]:
            harness.serve(1, interval_us=200 * MS)
            first += [at - started_at for at, each in harness.sends()[-1:] if each.server == cold[0].server]
        first += [] if first[seed:] else [4 * S]
    early = sum(1 for each in first if each < 1 * S)
    assert 3 < early < 80  # some within the first second, but not all
