"""The draw, its departures, and what they guard against."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest
from helpers import MS, S, Stage, names, settings

from micadeck.policy import Balancer
from micadeck.policy.actions import Cancel, CloseIdle, Fail, Log, Refuse, Send, SetAttemptDeadline
from micadeck.policy.endpoints import Endpoint
from micadeck.policy.events import (
    AnswerStarted,
    AttemptEnded,
    ListedServer,
    ListKind,
    RequestArrived,
    RequestCompleted,
    ServersListed,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome


def test_the_least_busy_of_the_drawn_wins() -> None:
    stage = Stage()
    stage.servers(names(4))  # all are drawn
    for _ in range(40):
        stage.request()
    assert set(Counter(each.server for _, each in stage.sends()).values()) == {10}


def test_a_server_that_said_full_is_left_out_and_the_last_redraw_sees_the_whole_list() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    for _ in range(4):
        stage.end(request, Outcome.FULL)
    targets = [each.server for _, each in stage.sends(request)]
    assert sorted(targets) == names(5)
    stage.end(request, Outcome.FULL)
    assert [each.request for each in stage.said(Refuse)] == [request]


def test_the_only_server_left_is_used() -> None:
    stage = Stage()
    stage.servers(names(1))
    assert stage.target(stage.request()) == names(1)[0]


def test_slower_servers_are_drawn_less() -> None:
    stage = Stage()
    stage.servers(names(12))
    slow = names(12)[0]
    for _ in range(1_500):
        request = stage.request()
        stage.wait(90 * MS if stage.target(request) == slow else 30 * MS)
        stage.end(request)
    late = Counter(each.server for _, each in stage.sends()[500:])
    assert late[slow] < 0.6 * sum(late.values()) / 12


def test_nominal_size_stands_in_for_pace_until_answers_tell() -> None:
    stage = Stage()
    stage.servers(
        [ListedServer(name, "east", nominal=4.0 if name == names(8)[0] else 1.0) for name in names(8)]
    )
    for _ in range(200):
        request = stage.request()
        stage.end(request)
    first = Counter(each.server for _, each in stage.sends()[:40])
    assert first[names(8)[0]] > 40 / 8


def test_an_attempt_given_up_on_still_counts_for_a_while() -> None:
    stage = Stage()
    stage.servers(names(2))
    request = stage.request("pay", remaining_us=400 * MS)
    hung = stage.target(request)
    stage.wait(395 * MS)  # answered by then, and called off
    stage.end(request, Outcome.CANCELLED, answered=True)
    other = stage.request("pay")
    assert stage.target(other) != hung
    again = stage.request("pay")
    assert stage.target(again) in names(2)
    stage.wait(S)
    assert stage.balancer._selector.requests_at(stage.balancer._endpoints.by_name[hung]) <= 1


def _with_one_hung(stage: Stage, rounds: int, taking_us: int = 50 * MS) -> tuple[str, list[int]]:
    """Good traffic, except that one server answers nothing from some moment on."""
    stage.servers(names(6))
    stage.serve(120, taking_us=taking_us)
    first = stage.request()
    hung = stage.target(first)
    stuck = [first]
    for _ in range(rounds):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.target(request) == hung:
            stuck.append(request)
        else:
            stage.wait(30 * MS)
            stage.end(request)
    return hung, stuck


def test_a_silent_server_is_ejected_while_its_peers_answer_and_its_repeatable_requests_are_saved() -> None:
    stage = Stage()
    hung, stuck = _with_one_hung(stage, 20)
    assert any(each.text.startswith(f"ejected {hung}") for each in stage.said(Log))
    copies = [each.server for _, each in stage.sends(stuck[0])]
    assert len(copies) > 1 and hung not in copies[1:]


def test_an_ejected_server_comes_back_by_one_trial_at_a_time() -> None:
    stage = Stage()
    hung, stuck = _with_one_hung(stage, 20)
    before = len([1 for _, each in stage.sends() if each.server == hung])
    for request in stuck:
        stage.end(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        stage.wait(60 * MS)
        request = stage.request()
        if stage.target(request) != hung:
            stage.end(request)
    trials = len([1 for _, each in stage.sends() if each.server == hung]) - before
    assert trials == 1
    trial = next(each.request for _, each in reversed(stage.sends()) if each.server == hung)
    stage.end(trial, attempt=0)
    assert stage.said(Log)[-1].text == f"readmitted {hung}"


def test_a_trial_that_is_called_off_for_silence_has_failed() -> None:
    # Guards against a hung server that gets trial after trial: called off, one ends as nobody's fault.
    stage = Stage(settings(limits={"second_copies": False}))
    hung, stuck = _with_one_hung(stage, 20, taking_us=10 * MS)
    for request in stuck:
        stage.end(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    trials: list[int] = []
    for _ in range(60):
        stage.wait(60 * MS)
        request = stage.request()
        while stage.target(request) == hung:
            stage.serve(1, every_us=10 * MS, taking_us=0)  # the others go on, and answer
            if any(each.request == request for each in stage.said(Cancel)):
                trials.append(stage.now)
                stage.end(request, Outcome.CANCELLED, answered=False)
        stage.end(request)
    assert 1 <= len(trials) <= 3, trials


def test_servers_that_are_all_silent_are_not_all_ejected() -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(120)
    for _ in range(200):
        stage.request("pay")
        stage.wait(15 * MS)
    ejected = [each for each in stage.balancer._endpoints.by_name.values() if each.ejected_until is not None]
    assert len(ejected) <= 2


def test_quick_errors_do_not_draw_more_work() -> None:
    stage = Stage()
    stage.servers(names(6))
    bad = names(6)[2]
    for _ in range(300):
        stage.wait(10 * MS)
        request = stage.request("pay")
        if stage.target(request) == bad:
            stage.end(request, Outcome.ERROR)
        else:
            stage.wait(40 * MS)
            stage.end(request)
    assert sum(1 for _, each in stage.sends() if each.server == bad) < 300 / 6


def test_a_timeout_of_a_server_that_answers_others_is_no_strike() -> None:
    stage = Stage()
    stage.servers(names(1))
    for _ in range(6):
        stage.serve(60)
        old = stage.request("pay", remaining_us=S)
        stage.wait(900 * MS)
        new = stage.request("pay")
        stage.wait(50 * MS)
        stage.end(new)
        stage.wait(30 * MS)
        stage.end(old, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in each.text for each in stage.said(Log))


def test_repeats_after_failures_are_bounded() -> None:
    stage = Stage()
    stage.servers(names(40))
    for _ in range(400):
        stage.wait(MS)
        request = stage.request()
        while stage.balancer._requests.get(request) is not None:
            stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends()) <= 400 * 1.25 + 10


def zones() -> list[ListedServer]:
    return [ListedServer(name, "east" if index < 4 else "west") for index, name in enumerate(names(8))]


def _crossings(stage: Stage, near_us: int, far_us: int) -> float:
    stage.servers(zones())
    near = set(names(8)[:4])
    for _ in range(600):
        request = stage.request()
        stage.wait(near_us if stage.target(request) in near else far_us)
        stage.end(request)
    late = stage.sends()[300:]
    return sum(1 for _, each in late if each.server not in near) / len(late)


def test_the_own_zone_comes_first_while_it_is_as_quick_and_crossing_has_a_price() -> None:
    spared = sum(
        _crossings(Stage(settings(prices={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert spared < 5 * 0.3


def test_a_slow_own_zone_is_left() -> None:
    assert _crossings(Stage(settings(prices={"cross_zone": 0.03})), 90 * MS, 40 * MS) > 0.5


def _overload(stage: Stage, spans: int) -> None:
    """Servers that answer ever later as more is in flight, asked for far more than they can do."""
    stage.servers(names(4))
    out: list[int] = []
    for tick in range(spans):
        stage.wait(10 * MS)
        for name in ("look", "pay"):
            request = stage.request(name)
            if stage.sends(request):
                out.append(request)
        if tick % 2 and out:  # one answer for four requests, oldest first
            request = out.pop(0)
            if request in stage.balancer._requests and not stage.balancer._requests[request].is_answered:
                stage.end(request, attempt=0)


def test_a_surge_is_refused_early_and_the_less_worthy_more() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(200)
    _overload(stage, 600)
    asked = {each.request for each in stage.said(Refuse)}
    looks = sum(1 for each in asked if each % 2)  # asked for in turn, so half of them would be even-handed
    assert len(asked) > 300 and looks > 0.5 * len(asked)
    unsent = [each.request for each in stage.said(Refuse) if not stage.sends(each.request)]
    assert len(unsent) > 0.5 * len(stage.said(Refuse))


def test_the_window_lets_all_in_again_once_the_load_falls() -> None:
    stage = Stage()
    stage.serve(1)
    _overload(stage, 400)
    stage.wait(10 * S)
    for request in list(stage.balancer._requests.values()):
        for attempt in request.attempts:
            if attempt.is_pending:
                stage.end(request.request_id, Outcome.CANCELLED, attempt.index, answered=True)
    stage.wait(15 * S)  # what was given up on, up to 14 s old, counts for as long again
    stage.serve(300)  # a small window takes some aims to grow
    refused = len(stage.said(Refuse))
    stage.serve(300)
    assert len(stage.said(Refuse)) == refused


def test_a_quiet_fleet_is_never_refused() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(800)
    assert stage.said(Refuse) == [] and stage.said(Cancel) == []


def test_a_restarted_process_is_readmitted_as_a_cold_server() -> None:
    stage = Stage()
    hung, _ = _with_one_hung(stage, 20)
    stage.servers([ListedServer(hung, "east", started_at=stage.now)], ListKind.CHANGES)
    server = stage.balancer._endpoints.by_name[hung]
    assert server.ejected_until is None and stage.balancer._slow_start.is_cold(server)


def test_heavy_requests_draw_slow_servers_less_than_light_ones_do(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage()
    stage.servers(
        [ListedServer(name, "east", nominal=0.5 if name == names(5)[0] else 1.0) for name in names(5)]
    )
    seen: list[float] = []
    drawn = stage.balancer._selector.draw

    def watch(pool: list[Endpoint], odds: list[float], count: int) -> list[Endpoint]:
        seen.append(odds[0] / odds[1])
        return drawn(pool, odds, count)

    monkeypatch.setattr(stage.balancer._selector, "draw", watch)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        stage.end(stage.request(cost_us=cost))
    assert seen[2] < 0.5 * seen[0]


def test_a_server_that_answers_every_other_request_with_a_quick_error_is_drawn_less() -> None:
    stage = Stage()
    stage.servers(names(12))
    bad = names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = stage.request("pay")
        target = stage.target(request)
        stage.wait(5 * MS if target == bad else 40 * MS)
        errors += target == bad
        stage.end(request, Outcome.ERROR if target == bad and errors % 2 else Outcome.DELIVERED)
    assert sum(1 for _, each in stage.sends()[400:] if each.server == bad) < 0.5 * 800 / 12


def _serve_singly(stage: Stage, count: int, taking_us: int = 50 * MS, every_us: int = 400 * MS) -> None:
    """Traffic of a small balancer: each request is answered before the next comes."""
    for _ in range(count):
        request = stage.request()
        stage.wait(taking_us)
        if stage.sends(request):
            stage.end(request)
        stage.wait(every_us - taking_us)


def test_a_small_balancer_knows_few_of_many_servers_and_meets_others_when_those_go() -> None:
    stage = Stage()
    stage.servers(names(60))
    _serve_singly(stage, 200)
    met = {each.server for _, each in stage.sends()}
    assert 2 <= len(met) <= 8
    for gone in met:
        stage.drain(gone)
    _serve_singly(stage, 50)
    later = {each.server for _, each in stage.sends()[200:]}
    assert later and not later & met


def test_a_busy_balancer_reaches_all_servers() -> None:
    stage = Stage()
    stage.servers(names(30))
    stage.serve(2_000, every_us=5 * MS, taking_us=250 * MS)
    assert len({each.server for _, each in stage.sends()}) == 30


def test_small_balancers_draw_different_servers() -> None:
    first: set[str] = set()
    for seed in range(12):
        stage = Stage(seed=seed)
        stage.servers(names(60))
        _serve_singly(stage, 20)
        first |= {each.server for _, each in stage.sends()}
    assert len(first) > 25


def test_a_small_balancer_refuses_a_part_of_what_comes_while_every_answer_is_late() -> None:
    stage = Stage()
    stage.servers(names(8))
    for _ in range(120):  # hardly ever two in flight, so a window of two would never refuse
        stage.wait(900 * MS)
        request = stage.request()
        if stage.sends(request):
            stage.wait(700 * MS)
            stage.end(request)
    refused = len(stage.said(Refuse))
    assert 20 <= refused < 120
    stage.wait(10 * S)
    _serve_singly(stage, 60)
    refused = len(stage.said(Refuse))
    _serve_singly(stage, 60)
    assert len(stage.said(Refuse)) == refused


def test_two_at_once_are_no_overload_for_a_small_balancer() -> None:
    stage = Stage()
    stage.servers(names(8))
    stage.balancer._concurrency.limit = 1.0
    stage.balancer._concurrency.adjusted_at = stage.now
    for _ in range(10):
        pair = (stage.request(), stage.request())
        stage.wait(50 * MS)
        for request in pair:
            stage.end(request)
        stage.wait(900 * MS)
    assert not stage.said(Refuse)


def _late_with_reports(cores: float, seed: int) -> int:
    stage = Stage(seed=seed)
    stage.servers(names(8))
    refused = 0
    for _ in range(300):
        stage.wait(60 * MS)
        request = stage.request()
        if stage.sends(request):
            stage.wait(550 * MS)
            stage.end(request, attempt=0, report={"util": cores})
        else:
            refused += 1
    return refused


def test_late_answers_from_servers_with_idle_cores_are_not_taken_for_overload() -> None:
    seeds = range(7, 13)
    assert sum(_late_with_reports(0.4, seed) for seed in seeds) < 5 * 6  # the first come with no report yet
    assert all(_late_with_reports(1.0, seed) > 30 for seed in seeds)


def _refused_of_600(late: Callable[[int], bool], cores: float, *, in_line: bool = False) -> int:
    """Many in flight, each in 0.3 s or late in 0.55 s; in line: none is answered before those ahead of it."""
    stage = Stage()
    stage.servers(names(8))
    out: list[tuple[int, int]] = []
    for _ in range(600):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.sends(request):
            out.append((stage.now + (550 if late(request) else 300) * MS, request))
        due = [each for each in out if each[0] <= stage.now]
        while due and (not in_line or out[0][0] <= stage.now):
            each = out[0] if in_line else due[0]
            out.remove(each)
            due.remove(each)
            stage.end(each[1], attempt=0, report={"util": cores})
    return len(stage.said(Refuse))


def test_reported_cores_do_not_hold_the_window_open_where_many_are_in_flight() -> None:
    assert _refused_of_600(lambda n: n % 8 == 0, 0.5, in_line=True) > 50  # nearly half of them late


def test_the_window_does_not_keep_itself_small_while_a_fifth_of_the_cores_is_free() -> None:
    # Guards against noise that is taken for load: refusing lowers the load, and the window is held to that.
    assert _refused_of_600(lambda n: n % 12 == 0, 0.6) <= 6
    assert _refused_of_600(lambda n: n % 12 == 0, 0.9) > 50


def test_silence_is_not_flattered_by_the_last_report() -> None:
    stage = Stage()
    stage.servers(names(8))
    for _ in range(20):
        stage.wait(50 * MS)
        request = stage.request()
        stage.wait(50 * MS)
        stage.end(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        stage.wait(20 * MS)
        stage.request("pay")  # none of these is ever answered
    assert len(stage.said(Refuse)) > 100


def test_pace_moves_faster_where_answers_are_few() -> None:
    def change(every_us: int, taking_us: int, singly: bool) -> float:
        stage = Stage()
        stage.servers(names(4))
        if singly:
            _serve_singly(stage, 400, taking_us, every_us)
        else:
            stage.serve(400, every_us, taking_us)
        request = stage.request()
        server = stage.balancer._endpoints.by_name[stage.target(request)]
        stage.wait(2 * taking_us)
        before = server.relative_latency
        stage.end(request)
        return server.relative_latency - before

    assert change(400 * MS, 60 * MS, True) > 2 * change(5 * MS, 60 * MS, False) > 0.0


def test_full_answers_that_a_redraw_makes_good_are_not_taken_for_overload() -> None:
    stage = Stage()
    stage.servers(names(12))
    for _ in range(200):
        stage.wait(400 * MS)
        request = stage.request()
        stage.end(request, Outcome.FULL)
        stage.wait(50 * MS)
        stage.end(request)
    assert stage.said(Refuse) == []


def test_full_answers_that_no_redraw_makes_good_are_overload() -> None:
    stage = Stage(settings(limits={"max_attempts": 3}))
    stage.servers(names(12))
    unsent = 0
    for _ in range(100):
        stage.wait(400 * MS)
        request = stage.request()
        unsent += not stage.sends(request)
        while stage.balancer._requests.get(request) is not None:
            stage.wait(100 * MS)
            stage.end(request, Outcome.FULL)
    assert unsent > 20


def test_a_small_balancer_with_quick_but_uneven_answers_refuses_next_to_nothing() -> None:
    refused = 0
    for seed in range(4):
        chance = random.Random(seed)
        stage = Stage(seed=seed)
        stage.servers(names(12))
        for _ in range(300):
            stage.wait(600 * MS)
            request = stage.request()
            if stage.sends(request):  # typically a tenth of the aim, one in forty beyond it
                stage.wait(min(int(50 * MS * chance.lognormvariate(0.0, 1.2)), 900 * MS))
                stage.end(request, attempt=0)
        refused += len(stage.said(Refuse))
    assert refused < 0.01 * 4 * 300


def _small_crossings(price: float, taking_us: int) -> float:
    """The part of a small balancer's requests that leaves its zone; one server in four is in it."""
    far = 0
    for seed in range(6):
        stage = Stage(settings(prices={"cross_zone": price}), seed=seed)
        stage.servers(
            [ListedServer(name, "east" if index % 4 == 0 else "west") for index, name in enumerate(names(40))]
        )
        near = set(names(40)[::4])
        _serve_singly(stage, 150, taking_us)
        far += sum(each.server not in near for _, each in stage.sends()[50:])
    return far / (6 * 100)


def test_most_of_a_small_balancers_reach_is_in_its_own_zone_where_crossing_has_a_price() -> None:
    assert _small_crossings(0.05, 40 * MS) < 0.4
    assert _small_crossings(0.0, 40 * MS) > 0.6


def test_zones_even_out_as_the_typical_answer_takes_more_of_its_aim() -> None:
    assert _small_crossings(0.05, 180 * MS) > _small_crossings(0.05, 40 * MS) + 0.15


def _with_reaped_connections(stage: Stage, count: int) -> list[int]:
    """Connections unused for a second are dead: what is sent on one is lost; gives what was."""
    stage.servers(names(12))
    used: dict[str, int] = {}
    lost: list[int] = []
    for _ in range(count):
        stage.wait(350 * MS)
        seen = len(stage.log)
        request = stage.request("pay")
        for close in [each for _, each in stage.log[seen:] if isinstance(each, CloseIdle)]:
            used.pop(close.server, None)
        for old in lost:  # given up at its deadline, and so called off
            if stage.balancer._requests.get(old) is not None and stage.balancer._requests[old].is_answered:
                stage.end(old, Outcome.CANCELLED, answered=True)
        if not stage.sends(request):
            continue
        target = stage.target(request)
        if stage.now - used.get(target, stage.now) > S:
            lost.append(request)
            used.pop(target)
            continue
        stage.wait(50 * MS)
        stage.end(request, attempt=0)
        used[target] = stage.now
    return lost


def test_idle_connections_that_go_dead_are_not_relied_on_and_not_blamed_on_servers() -> None:
    lost = closed = 0
    for seed in range(4):
        stage = Stage(seed=seed)
        lost += len(_with_reaped_connections(stage, 300))
        closed += len(stage.said(CloseIdle))
        assert not any("ejected" in each.text for each in stage.said(Log))
    assert lost < 20 and closed > 20


def test_idle_connections_that_work_are_kept() -> None:
    stage = Stage()
    stage.servers(names(12))
    _serve_singly(stage, 200)
    assert stage.said(CloseIdle) == []


def test_a_class_keeps_off_a_server_that_is_always_full_for_it_and_others_do_not() -> None:
    stage = Stage()
    stage.servers(names(12))
    _serve_singly(stage, 10)
    first = stage.request()
    shunning = stage.target(first)
    stage.end(first)
    tried = used = 0
    for _ in range(200):
        stage.wait(200 * MS)
        for kind in ("pay", "look"):
            request = stage.request(kind)
            refused = kind == "pay" and stage.target(request) == shunning
            tried += refused
            used += kind == "look" and stage.target(request) == shunning
            if refused:
                stage.wait(10 * MS)
                stage.end(request, Outcome.FULL)
            stage.wait(40 * MS)
            stage.end(request)
    assert 1 <= tried < 30 and used > 30


def test_a_server_that_is_full_for_a_class_is_used_when_nothing_else_is_left() -> None:
    stage = Stage(settings(limits={"max_attempts": 1}))
    stage.servers(names(1))
    stage.end(stage.request("pay"), Outcome.FULL)
    assert len(stage.sends(stage.request("pay"))) == 1


def test_bodies_on_their_way_are_no_load_and_their_servers_are_not_busy() -> None:
    # Guards against slow clients taken for busy servers, and for a fleet that is full.
    made = Balancer(settings(), 3)
    made.handle(1, ServersListed(ListKind.COMPLETE, [ListedServer("a"), ListedServer("b")], 1))
    sent: list[Send] = []
    for number in range(1, 41):  # uploads: no server works on any of them
        arrived = RequestArrived(number, "look", None, None, 60_000_000, is_complete=False)
        sent += [each for each in made.handle(10 + number, arrived) if isinstance(each, Send)]
    assert len(sent) == 40
    assert made._concurrency.load() == 0
    assert [made._selector.requests_at(each) for each in made._endpoints.by_name.values()] == [0, 0]
    made.handle(100, RequestCompleted(1, 1_000_000))
    assert made._concurrency.load() == 1
    assert made._selector.requests_at(made._endpoints.by_name[sent[0].server]) == 1
    made.handle(200, AnswerStarted(1, 0, sent[0].server, 100))
    assert made._concurrency.load() == 0
    made.handle(300, AttemptEnded(1, 0, sent[0].server, Outcome.DELIVERED, 100, True))
    assert made._concurrency.load() == 0 and made._concurrency.pending_attempts == 39
    for number, each in enumerate(sent[1:], 2):
        made.handle(
            400, AttemptEnded(number, 0, each.server, Outcome.CONNECTION_LOST, 100, False, can_retry=False)
        )
    assert (
        made._concurrency.load() == 0
        and made._concurrency.pending_attempts == 0
        and made._concurrency.transferring_attempts == 0
    )
    assert all(each.transferring == 0 and each.in_flight == 0 for each in made._endpoints.by_name.values())


def test_a_request_has_its_time_from_its_last_byte() -> None:
    made = Balancer(settings(), 3)
    made.handle(1, ServersListed(ListKind.COMPLETE, [ListedServer("a")], 1))
    made.handle(2, RequestArrived(1, "look", None, None, 60_000_000, is_complete=False))
    actions = made.handle(5_000_000, RequestCompleted(1, 300_000))
    (bound,) = [each for each in actions if isinstance(each, SetAttemptDeadline)]
    assert (bound.request, bound.attempt) == (1, 0)
    assert 5_000_000 < bound.until <= 5_300_000
    due = made.handle(bound.until, TimerFired("agenda"))
    assert [each for each in due if isinstance(each, Refuse | Fail)]


def test_what_is_not_kept_goes_to_nobody_else_and_is_refused_only_if_it_never_ran() -> None:
    for outcome, answer in ((Outcome.CONNECT_FAILED, Refuse), (Outcome.CONNECTION_LOST, Fail)):
        made = Balancer(settings(), 3)
        made.handle(1, ServersListed(ListKind.COMPLETE, [ListedServer(name) for name in "abc"], 1))
        (sent,) = [
            each
            for each in made.handle(2, RequestArrived(1, "pay", None, None, 900_000, is_complete=False))
            if isinstance(each, Send)
        ]
        ended = made.handle(3, AttemptEnded(1, 0, sent.server, outcome, 1, False, can_retry=False))
        assert [type(each) for each in ended if isinstance(each, Send | Refuse | Fail)] == [answer]
