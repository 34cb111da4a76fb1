"""Outlier ejection: a server is compared with the others over the same time, under simulated traffic."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from helpers import MS, PolicyHarness, S, names, settings

from micadeck.policy.actions import Log
from micadeck.policy.outcomes import Outcome

OutcomeOf = Callable[[str, random.Random], Outcome | None]


def _simulate(
    count: int, fails: OutcomeOf, seconds: int, per_s: int, seed: int
) -> tuple[PolicyHarness, dict[str, list[int]]]:
    """Run traffic where `fails` gives each attempt's failure; return each server's ejection times in us."""
    chance = random.Random(seed)
    harness = PolicyHarness(settings(limits={"second_copies": False}), seed=seed)
    harness.list_servers(names(count))
    start, in_flight = harness.now, list[tuple[int, int]]()
    ejected: dict[str, list[int]] = {each: [] for each in names(count)}
    seen = 0

    def end_due() -> None:
        nonlocal seen
        while in_flight and in_flight[0][0] <= harness.now:
            request = in_flight.pop(0)[1]
            before = len(harness.sends(request))
            outcome = fails(harness.target(request), chance)
            harness.end_attempt(
                request, outcome or Outcome.DELIVERED, answered=None if outcome is None else False
            )
            if len(harness.sends(request)) > before:
                in_flight.append((harness.now + 30 * MS, request))
        for at, action in harness.log[seen:]:
            if isinstance(action, Log) and action.text.startswith("ejected "):
                ejected[action.text.split(" ")[1].rstrip(":")].append(at - start)
        seen = len(harness.log)
        # Keep as much of the log as `sends` needs.
        harness.log = [each for each in harness.log if each[0] > harness.now - S]
        seen = len(harness.log)

    for _ in range(seconds * per_s):
        harness.advance(S // per_s)
        end_due()
        request = harness.request(chance.choice(["look", "pay"]), remaining_us=2 * S)
        if harness.sends(request):
            in_flight.append((harness.now + 30 * MS, request))
    return harness, ejected


def _fail_everywhere(probability: float, outcome: Outcome = Outcome.CONNECTION_LOST) -> OutcomeOf:
    return lambda server, chance: outcome if chance.random() < probability else None


def _fail_at(servers: list[str], noise: float = 0.0) -> OutcomeOf:
    def fails(server: str, chance: random.Random) -> Outcome | None:
        if server in servers:
            return Outcome.ERROR
        return Outcome.CONNECTION_LOST if chance.random() < noise else None

    return fails


@pytest.mark.parametrize("outcome", [Outcome.CONNECTION_LOST, Outcome.ERROR, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize(("probability", "max_ejections"), [(0.02, 1), (0.10, 2), (0.30, 3)])
def test_faults_shared_by_all_servers_eject_almost_none(
    probability: float, max_ejections: int, outcome: Outcome
) -> None:
    _, ejected = _simulate(15, _fail_everywhere(probability, outcome), seconds=10, per_s=150, seed=3)
    assert sum(map(len, ejected.values())) <= max_ejections


def test_no_server_is_an_outlier_where_all_fail() -> None:
    _, ejected = _simulate(15, _fail_everywhere(1.0), seconds=3, per_s=100, seed=4)
    assert sum(map(len, ejected.values())) <= 2  # the first to fail, while the others' results are unknown


@pytest.mark.parametrize(
    ("count", "failing_count", "seconds", "per_s", "max_requests"),
    [
        (3, 1, 2, 100, 6),
        (15, 1, 2, 300, 6),
        (15, 5, 6, 150, 30),  # a third of the servers fail at once
        (3, 1, 60, 1, 6),  # one request a second
    ],
)
def test_servers_that_fail_among_healthy_ones_get_few_requests(
    count: int, failing_count: int, seconds: int, per_s: int, max_requests: int
) -> None:
    """Whether ejected or no longer drawn, failing servers must get few requests."""
    failing = names(count)[:failing_count]
    given = [0]

    def fails(server: str, chance: random.Random) -> Outcome | None:
        given[0] += server in failing
        return Outcome.ERROR if server in failing else None

    _, ejected = _simulate(count, fails, seconds, per_s, seed=5)
    assert given[0] <= max_requests
    assert not any(at for name, at in ejected.items() if name not in failing)


def test_a_failing_server_is_found_among_random_errors_and_few_others_are_ejected() -> None:
    failing, given = names(15)[4], [0]
    noise = _fail_at([failing], noise=0.10)

    def fails(server: str, chance: random.Random) -> Outcome | None:
        given[0] += server == failing
        return noise(server, chance)

    _, ejected = _simulate(15, fails, seconds=10, per_s=150, seed=6)
    assert given[0] <= 15  # of 1,500; an equal share would be a hundred
    assert sum(len(at) for name, at in ejected.items() if name != failing) <= 3
