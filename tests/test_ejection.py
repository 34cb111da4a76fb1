"""Who is ejected: by comparison with what the others did in the same time, on made-up days."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from helpers import MS, S, Stage, names, settings

from micadeck.policy.actions import Log
from micadeck.policy.outcomes import Outcome

Fails = Callable[[str, random.Random], Outcome | None]


def _day(count: int, fails: Fails, seconds: int, per_s: int, seed: int) -> tuple[Stage, dict[str, list[int]]]:
    """Traffic on so many servers; `fails` says how an attempt does.  Of each, when it was ejected (us)."""
    chance = random.Random(seed)
    stage = Stage(settings(limits={"second_copies": False}), seed=seed)
    stage.servers(names(count))
    begin, out = stage.now, list[tuple[int, int]]()
    ejected: dict[str, list[int]] = {each: [] for each in names(count)}
    seen = 0

    def end_due() -> None:
        nonlocal seen
        while out and out[0][0] <= stage.now:
            request = out.pop(0)[1]
            before = len(stage.sends(request))
            outcome = fails(stage.target(request), chance)
            stage.end(request, outcome or Outcome.DELIVERED, answered=None if outcome is None else False)
            if len(stage.sends(request)) > before:
                out.append((stage.now + 30 * MS, request))
        for at, action in stage.log[seen:]:
            if isinstance(action, Log) and action.text.startswith("ejected "):
                ejected[action.text.split(" ")[1].rstrip(":")].append(at - begin)
        seen = len(stage.log)
        stage.log = [each for each in stage.log if each[0] > stage.now - S]  # long enough for `sends`
        seen = len(stage.log)

    for _ in range(seconds * per_s):
        stage.wait(S // per_s)
        end_due()
        request = stage.request(chance.choice(["look", "pay"]), remaining_us=2 * S)
        if stage.sends(request):
            out.append((stage.now + 30 * MS, request))
    return stage, ejected


def _alike(part: float, outcome: Outcome = Outcome.CONNECTION_LOST) -> Fails:
    return lambda server, chance: outcome if chance.random() < part else None


def _sick(servers: list[str], noise: float = 0.0) -> Fails:
    def fails(server: str, chance: random.Random) -> Outcome | None:
        if server in servers:
            return Outcome.ERROR
        return Outcome.CONNECTION_LOST if chance.random() < noise else None

    return fails


@pytest.mark.parametrize("outcome", [Outcome.CONNECTION_LOST, Outcome.ERROR, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize(("part", "most"), [(0.02, 1), (0.10, 2), (0.30, 3)])
def test_what_meets_all_alike_ejects_next_to_nobody(part: float, most: int, outcome: Outcome) -> None:
    _, ejected = _day(15, _alike(part, outcome), seconds=10, per_s=150, seed=3)
    assert sum(map(len, ejected.values())) <= most


def test_where_all_fail_nobody_is_worse_than_the_rest() -> None:
    _, ejected = _day(15, _alike(1.0), seconds=3, per_s=100, seed=4)
    assert sum(map(len, ejected.values())) <= 2  # those that failed first, when nothing was known of others


@pytest.mark.parametrize(
    ("count", "sick", "seconds", "per_s", "most"),
    [
        (3, 1, 2, 100, 6),
        (15, 1, 2, 300, 6),
        (15, 5, 6, 150, 30),  # a third that falls sick at once
        (3, 1, 60, 1, 6),  # a request a second
    ],
)
def test_servers_that_fail_among_healthy_ones_are_left_at_once(
    count: int, sick: int, seconds: int, per_s: int, most: int
) -> None:
    """By an ejection, or because they are drawn no more: what counts is how much they are still given."""
    failing = names(count)[:sick]
    given = [0]

    def fails(server: str, chance: random.Random) -> Outcome | None:
        given[0] += server in failing
        return Outcome.ERROR if server in failing else None

    _, ejected = _day(count, fails, seconds, per_s, seed=5)
    assert given[0] <= most
    assert not any(at for name, at in ejected.items() if name not in failing)


def test_a_failing_server_is_found_among_noise_and_only_that() -> None:
    sick, given = names(15)[4], [0]
    noise = _sick([sick], noise=0.10)

    def fails(server: str, chance: random.Random) -> Outcome | None:
        given[0] += server == sick
        return noise(server, chance)

    _, ejected = _day(15, fails, seconds=10, per_s=150, seed=6)
    assert given[0] <= 15  # of 1,500; its part would be a hundred
    assert sum(len(at) for name, at in ejected.items() if name != sick) <= 3
