"""The four rules, each by scripted events."""

from __future__ import annotations

import itertools

import pytest
from helpers import MS, START, S, Stage, names, settings

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


def test_an_unanswered_request_gets_its_final_answer_before_its_time_is_up() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay", remaining_us=900 * MS)
    stage.wait(899 * MS)
    assert [each.request for each in stage.said(Fail)] == [request]


def test_nothing_is_sent_or_answered_after_the_final_answer() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("look", remaining_us=300 * MS)
    stage.wait(300 * MS)
    answers = len(stage.said(Refuse))
    stage.end(request, Outcome.CANCELLED, answered=True)
    stage.wait(5 * S)
    assert answers == 1
    assert len(stage.said(Refuse)) == 1
    assert len([1 for at, _ in stage.sends(request) if at > START + 300 * MS]) == 0


def test_a_request_whose_time_is_up_on_arrival_is_refused_unsent() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay", remaining_us=0)
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(Refuse)] == [request]


def test_no_server_at_all_means_a_refusal_at_once() -> None:
    stage = Stage()
    request = stage.request("pay")
    assert [each.request for each in stage.said(Refuse)] == [request]


def test_no_attempts_allowed_means_a_refusal() -> None:
    stage = Stage(settings(limits={"max_attempts": 0}))
    stage.servers(names(3))
    request = stage.request("look")
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(Refuse)] == [request]


def test_late_and_unknown_news_is_ignored() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request()
    stage.end(request)
    before = len(stage.log)
    stage.play(ClientDisconnected(request))
    stage.play(ClientDisconnected(99))
    stage.play(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    stage.play(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, True))
    assert len(stage.log) == before


def test_a_client_that_left_is_owed_nothing_and_its_attempt_is_called_off() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    stage.play(ClientDisconnected(request))
    stage.wait(3 * S)
    assert [each.request for each in stage.said(Cancel)] == [request]
    assert stage.said(Fail) == [] and stage.said(Refuse) == []


# Rule 2: no effect twice


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.CANCELLED]
)
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request]
    assert stage.said(Refuse) == []


@pytest.mark.parametrize("outcome", [Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_an_unsafe_request_that_never_ran_goes_to_another_server(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    targets = [each.server for _, each in stage.sends(request)]
    assert len(targets) == 2 and targets[0] != targets[1]


def cells() -> list[ListedServer]:
    return [ListedServer(name, zone="east", cell=index % 2) for index, name in enumerate(names(8))]


def test_a_group_is_that_of_the_attempt_whatever_a_list_says_of_its_server_later() -> None:
    stage = Stage()
    stage.servers([ListedServer("first", zone="east", cell=1)])
    request = stage.request("amend", remaining_us=3 * S)
    assert stage.target(request) == "first"
    # Its server moves, and only servers of the cell that it moved to are there.
    stage.servers([ListedServer(each, zone="east", cell=2) for each in ("first", "second", "third")])
    stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends(request)) == 1


def test_a_repeat_says_until_when_it_may_be_written_and_a_first_attempt_may_be_at_any_time() -> None:
    stage = Stage(settings(limits={"dial_timeout_us": 250 * MS}))
    stage.servers([ListedServer(each, zone="east", cell=1) for each in names(3)])
    request = stage.request("amend", remaining_us=4 * S)
    begun = stage.now
    stage.wait(100 * MS)
    stage.end(request, Outcome.CONNECTION_LOST)
    first, second = (send for _, send in stage.sends(request))
    assert first.write_by is None
    assert second.write_by == begun + 2 * S - 5 * MS - 50 * MS  # a tick, and the way there
    assert all(each.write_by is None for _, each in stage.sends(stage.request("look")))


def test_a_keyed_request_that_may_have_run_stays_in_its_cell() -> None:
    for seed in range(20):
        stage = Stage(seed=seed)
        stage.servers(cells())
        cell_of = {each.server: each.cell for each in cells()}
        request = stage.request("amend")
        for _ in range(3):
            stage.wait(10 * MS)
            stage.end(request, Outcome.CONNECTION_LOST)
        targets = [each.server for _, each in stage.sends(request)]
        assert len(targets) > 1
        assert len({cell_of[each] for each in targets}) == 1


def test_a_keyed_request_is_not_sent_again_once_servers_forget() -> None:
    stage = Stage()
    stage.servers(cells())
    request = stage.request("amend", remaining_us=4 * S)
    stage.wait(2 * S)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request]


def test_a_second_copy_waits_for_the_first_where_only_one_may_be_out() -> None:
    stage = Stage(settings(limits={"second_copies": False}))
    stage.servers(names(6))
    stage.serve(100)
    request = stage.request("look")
    hung = stage.target(request)
    for _ in range(60):
        stage.wait(10 * MS)
        other = stage.request("look")
        if stage.target(other) != hung:
            stage.end(other)
    assert [each.request for each in stage.said(Cancel)][:1] == [request]
    assert len(stage.sends(request)) == 1
    stage.end(request, Outcome.CANCELLED, answered=False)
    assert len(stage.sends(request)) == 2


# Rule 3: drains are kept


def test_a_drained_or_vanished_server_gets_nothing_from_the_moment_of_hearing() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.drain("10.0.0.1:80")
    stage.servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        stage.request()
    targets = {each.server for _, each in stage.sends()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_a_list_that_brings_a_server_back_makes_it_ready_again() -> None:
    stage = Stage()
    stage.servers(["10.0.0.1:80"])
    stage.drain("10.0.0.1:80", ServerState.REMOVED)
    assert stage.sends(stage.request()) == []
    stage.servers(["10.0.0.1:80"], ListKind.CHANGES)
    assert len(stage.sends(stage.request())) == 1


def test_the_list_is_followed_from_the_first_event() -> None:
    stage = Stage()
    stage.servers(names(2), ListKind.REMEMBERED)
    assert stage.said(WatchEndpoints) == [WatchEndpoints(True)]


def test_nothing_is_asked_where_changes_come_unasked() -> None:
    stage = Stage(settings(discovery="pushed"))
    stage.servers(names(2), ListKind.REMEMBERED)
    stage.wait(60 * S)
    assert stage.said(WatchEndpoints) == [] and stage.said(FetchList) == []


def test_failed_calls_are_repeated_with_growing_waits_and_never_given_up() -> None:
    stage = Stage()
    asked = []
    stage.servers(names(2), ListKind.REMEMBERED)
    for _ in range(12):
        asked.append(stage.now)
        count = len(stage.said(WatchEndpoints))
        stage.play(ServersListed(ListKind.FAILED))
        while len(stage.said(WatchEndpoints)) == count:
            stage.wait(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(asked)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_a_call_that_is_never_answered_is_made_again_in_time() -> None:
    stage = Stage()
    stage.servers(names(2), ListKind.REMEMBERED)
    stage.wait(10 * S)
    times = [at for at, each in stage.log if isinstance(each, WatchEndpoints)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))


# Rule 4: a cold server is not pushed over


@pytest.mark.parametrize(("every_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_a_cold_server_gets_no_more_than_its_part(every_us: int, burst: int) -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(300, every_us=10 * MS)
    warm_per_s = 100 / 6
    began = stage.now
    cold = ListedServer("10.0.0.6:80", zone="east", started_at=began)
    stage.servers([cold], ListKind.CHANGES)
    while stage.now < began + 10 * S:
        requests = [stage.request() for _ in range(burst)]
        stage.wait(every_us)
        for each in requests:
            if stage.sends(each):
                stage.end(each)
    times = [at for at, each in stage.sends() if each.server == "10.0.0.6:80" and at >= began]
    for end in times:
        warmth = 0.2 + 0.8 * max(end - 2 * S - began, 0) / (10 * S)
        inside = sum(1 for at in times if end - 2 * S < at <= end)
        assert inside <= max(1.0, 3 * warmth * warm_per_s * 2)
    assert times or burst == 1  # singly, the quickest known server takes all


def test_a_warm_server_is_not_held_back() -> None:
    stage = Stage()
    stage.servers(names(2))
    for _ in range(50):
        stage.request()
    assert len({each.server for _, each in stage.sends()}) == 2


# The gate itself, whatever the code around it wishes


def test_the_gate_lets_nothing_out_to_a_draining_or_gone_server() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.balancer._requests[stage.request()]
    server = next(
        each
        for each in stage.balancer._endpoints.by_name.values()
        if each is not request.attempts[0].endpoint
    )
    stage.drain(server.name, ServerState.DRAINING)
    assert not stage.balancer._send(request, server)
    stage.servers([server.name], ListKind.CHANGES)
    assert stage.balancer._send(request, server)
    stage.drain(server.name, ServerState.REMOVED)
    other = stage.balancer._requests[stage.request()]
    assert not stage.balancer._send(other, server)


def test_the_gate_lets_no_second_copy_out_where_only_one_is_allowed() -> None:
    for allowed in (False, True):
        stage = Stage(settings(limits={"second_copies": allowed}))
        stage.servers(names(3))
        request = stage.balancer._requests[stage.request()]
        server = next(
            each
            for each in stage.balancer._endpoints.by_name.values()
            if each is not request.attempts[0].endpoint
        )
        assert stage.balancer._send(request, server) is allowed


# Further rule: full is no proof


def no_proof() -> Stage:
    stage = Stage(settings(rules={"full_may_have_run": True}))
    stage.servers(cells())
    return stage


def test_where_full_is_no_proof_an_unsafe_request_fails_on_it() -> None:
    stage = no_proof()
    request = stage.request("pay")
    stage.end(request, Outcome.FULL)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(Fail)] == [request] and stage.said(Refuse) == []


def test_where_full_is_no_proof_a_keyed_request_stays_in_its_cell_and_window() -> None:
    cell_of = {each.server: each.cell for each in cells()}
    for seed in range(20):
        stage = Stage(settings(rules={"full_may_have_run": True}), seed=seed)
        stage.servers(cells())
        request = stage.request("amend", remaining_us=4 * S)
        stage.end(request, Outcome.FULL)
        assert len({cell_of[each.server] for _, each in stage.sends(request)}) == 1
        assert len(stage.sends(request)) == 2
        stage.wait(2 * S)
        stage.end(request, Outcome.FULL, answered=False)
        assert len(stage.sends(request)) == 2 and stage.said(Refuse) == []


def test_where_full_is_no_proof_a_safe_request_is_drawn_again_all_the_same() -> None:
    stage = no_proof()
    request = stage.request("look")
    stage.end(request, Outcome.FULL)
    assert len(stage.sends(request)) == 2


# Further rule: idle connections to draining servers are closed


def test_idle_connections_are_closed_on_hearing_and_when_attempts_end_there() -> None:
    stage = Stage(settings(rules={"close_idle_within_us": 500 * MS}))
    stage.servers(names(1))
    request = stage.request("pay")
    stage.drain("10.0.0.1:80")
    assert stage.said(CloseIdle) == [CloseIdle("10.0.0.1:80")]
    stage.drain("10.0.0.1:80")  # heard before: nothing was used since
    assert len(stage.said(CloseIdle)) == 1
    stage.drain("10.0.0.1:80", ServerState.REMOVED)
    assert len(stage.said(CloseIdle)) == 2
    stage.wait(S)
    stage.end(request)
    assert len(stage.said(CloseIdle)) == 3


@pytest.mark.parametrize("kind", [ListKind.COMPLETE, ListKind.REMEMBERED])
def test_a_drain_heard_in_a_whole_list_closes_too_and_one_called_off_does_not(kind: ListKind) -> None:
    stage = Stage(settings(rules={"close_idle_within_us": 500 * MS}))
    stage.servers(names(2))
    stage.servers([names(2)[1], ListedServer("10.0.0.1:80", "east", state=ServerState.DRAINING)], kind)
    assert stage.said(CloseIdle) == [CloseIdle("10.0.0.1:80")]
    stage.servers(names(2), kind)
    for _ in range(10):
        stage.end(stage.request())
    assert len(stage.said(CloseIdle)) == 1


def test_nothing_is_closed_where_no_rule_asks_for_it() -> None:
    stage = Stage()
    stage.servers(names(2))
    stage.drain("10.0.0.1:80")
    assert stage.said(CloseIdle) == []


@pytest.mark.parametrize("new_takes", [0.1, 0.5, 1.0])
def test_two_processes_that_hand_over_push_no_cold_server_over_together(new_takes: float) -> None:
    """One process serves all, then a second a part, then all; cold servers come before, amid and after."""
    old, new = Stage(seed=1), Stage(seed=2)
    old.servers(names(6))
    old.serve(300, every_us=10 * MS)
    new.now = began = old.now
    cold_since: dict[str, int] = {}
    new.servers(names(6))
    sent: list[tuple[int, str]] = []
    served = 0.0
    for tick in range(1_000):
        if tick in (0, 150, 300, 600):
            name = f"10.0.1.{tick}:80"
            cold_since[name] = began + tick * 10 * MS
            for each in (old, new):
                each.servers([ListedServer(name, zone="east", started_at=cold_since[name])], ListKind.CHANGES)
        part = 0.0 if tick < 100 else new_takes if tick < 400 else 1.0
        served += part
        which = new if served >= 1.0 else old
        served -= which is new
        request = which.request()
        sent += [(which.now, each.server) for _, each in which.sends(request) if each.server in cold_since]
        for each in (old, new):
            each.wait(10 * MS)
        if which.sends(request):
            which.end(request)
    assert sent
    for end, server in sent:
        warmth = 0.2 + 0.8 * min(max(end - 2 * S - cold_since[server], 0) / (10 * S), 1.0)
        inside = sum(1 for at, other in sent if other == server and end - 2 * S < at <= end)
        assert inside <= 3 * warmth * 2 * 100 / 6


def test_small_balancers_send_to_a_cold_server_at_an_even_rate_and_not_all_at_once() -> None:
    first: list[int] = []
    for seed in range(120):
        stage = Stage(seed=seed)
        stage.servers(names(2))
        stage.serve(20, every_us=200 * MS)
        began = stage.now
        cold = [ListedServer(name, zone="east", started_at=began) for name in names(2)[:1]]
        stage.servers(cold, ListKind.CHANGES)
        while stage.now < began + 4 * S and not first[seed:]:
            stage.serve(1, every_us=200 * MS)
            first += [at - began for at, each in stage.sends()[-1:] if each.server == cold[0].server]
        first += [] if first[seed:] else [4 * S]
    early = sum(1 for each in first if each < 1 * S)
    assert 3 < early < 80  # some within the first second, and by no means all
