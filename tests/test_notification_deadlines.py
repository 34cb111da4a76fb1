"""Changes in a reachable discovery are noticed within the deadline, whatever became of earlier calls."""

from __future__ import annotations

import random

import pytest
from discovery_stage import (
    NOTIFICATION_DEADLINE_S,
    SERVERS,
    FailingDiscovery,
    Follower,
    Kind,
    QueueingDiscovery,
    max_calls_per_second,
    run,
)

from micadeck.simulation.wire import Wire

OUTAGES_S = [number / 2 for number in range(61)]  # 0 to 30 s
OWN_S = 0.1  # the way, and what the program itself needs


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize(
    ("pushed", "allowed_s"),
    [(False, 0.5), (False, 10.0), (False, 60.0), (True, 10.0)],
    ids=["polled, 0.5 s", "polled, 10 s", "polled, 60 s", "pushed"],
)
def test_a_change_is_noticed_in_time_after_an_outage_of_any_length_and_kind(
    kind: Kind, pushed: bool, allowed_s: float
) -> None:
    late = []
    for number, outage_s in enumerate(OUTAGES_S):
        drawn = random.Random(number)
        began = drawn.choice([0.0, 0.05, drawn.uniform(0.1, 6.0)])  # at the start, or under any call
        back = began + max(outage_s, 0.001)  # not the same instant: those come in any order
        changes = [drawn.uniform(began, back), back, back + drawn.uniform(0.0, 4.0)]

        def then(
            wire: Wire,
            discovery: FailingDiscovery,
            followers: list[Follower],
            began: float = began,
            back: float = back,
            changes: list[float] = changes,
        ) -> None:
            hosts = [each.host.name for each in followers]
            wire.loop.call_later(began, discovery.begin, hosts)
            wire.loop.call_later(back, discovery.end, hosts)
            for name, at in zip(SERVERS, changes, strict=False):
                wire.loop.call_later(at, discovery.put, name, "10.1.0.1:80", "leaving")

        _, (one,) = run(
            lambda wire: FailingDiscovery(wire, kind),
            then,
            length_s=back + 12.0,
            pushed=pushed,
            allowed_s=allowed_s,
            seed=number,
        )
        for name, at in zip(SERVERS, changes, strict=False):
            over = one.noticed_at.get(name, 1e9) - max(at, back)
            if over > NOTIFICATION_DEADLINE_S - OWN_S:
                late.append((outage_s, round(began, 2), name, round(over, 2)))
    assert late == []


@pytest.mark.parametrize(
    "kind", [each for each in Kind if each is not Kind.CUT]
)  # an agent is on this machine
@pytest.mark.parametrize("grace_s", [0.2, 0.25, 0.5, 1.0])
def test_what_an_agent_has_when_it_is_back_is_noticed_in_the_grace(kind: Kind, grace_s: float) -> None:
    late = []
    for number in range(40):
        drawn = random.Random(number)
        began, outage_s = drawn.uniform(0.1, 3.0), drawn.uniform(2.0, 10.0)
        back = began + outage_s

        def then(
            wire: Wire,
            discovery: FailingDiscovery,
            followers: list[Follower],
            began: float = began,
            back: float = back,
        ) -> None:
            hosts = [each.host.name for each in followers]
            wire.loop.call_later(began, discovery.begin, hosts)
            wire.loop.call_later(back, discovery.end, hosts)
            wire.loop.call_later(back - 0.01, discovery.put, SERVERS[0], "10.1.0.1:80", "leaving")

        discovery, (one,) = run(
            lambda wire: FailingDiscovery(wire, kind),
            then,
            length_s=back + 3.0,
            pushed=True,
            grace_s=grace_s,
            seed=number,
        )
        over = one.noticed_at.get(SERVERS[0], 1e9) - back
        if over > 0.8 * grace_s:
            late.append((round(began, 2), round(back, 2), round(over, 3)))
        assert max_calls_per_second(discovery) <= 12  # while nobody answers
    assert late == []


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
def test_after_a_change_of_address_the_new_discovery_is_noticed_at_once_whatever_became_of_the_old_one(
    kind: Kind, pushed: bool
) -> None:
    late = []
    for number in range(40):
        drawn = random.Random(number)
        began, moved = drawn.uniform(0.0, 3.0), drawn.uniform(0.5, 12.0)

        def then(
            wire: Wire,
            discovery: FailingDiscovery,
            followers: list[Follower],
            began: float = began,
            moved: float = moved,
        ) -> None:
            other = FailingDiscovery(wire, kind, 1)
            other.put(SERVERS[0], "10.1.0.1:80", "leaving")
            other.start_listening()
            (one,) = followers
            wire.loop.call_later(began, discovery.begin, [one.host.name])
            if kind is Kind.NO_DESCRIPTORS:
                wire.loop.call_later(max(began, moved), discovery.end, [one.host.name])
            wire.loop.call_later(
                moved, one.host.context.copy().run, one.roster.change_address, other.listen_address
            )

        _, (one,) = run(
            lambda wire: FailingDiscovery(wire, kind), then, length_s=moved + 12.0, pushed=pushed, seed=number
        )
        over = one.noticed_at.get(SERVERS[0], 1e9) - (
            max(began, moved) if kind is Kind.NO_DESCRIPTORS else moved
        )
        if over > (1.1 if kind is Kind.NO_DESCRIPTORS else 0.1):  # it may have tried in vain just before
            late.append((round(began, 2), round(moved, 2), round(over, 2)))
    assert late == []


def test_suspicions_of_all_sidecars_at_once_cost_none_of_them_its_watch() -> None:
    # A release replaces servers before discovery reports it: dials are refused everywhere at once.
    def then(wire: Wire, discovery: FailingDiscovery, followers: list[Follower]) -> None:
        for each in followers:
            for name in SERVERS[:4]:
                wire.loop.call_later(
                    20.0 + wire.rng.random(), each.host.context.copy().run, each.roster.suspect_stale
                )
                wire.loop.call_at(21.5, discovery.put, name, "10.1.0.1:80", "leaving")

    discovery, followers = run(
        lambda wire: QueueingDiscovery(wire, 6.0), then, length_s=32.0, sidecars=32, allowed_s=10.0
    )
    noticed_at = [each.noticed_at.get(name, 1e9) for each in followers for name in SERVERS[:4]]
    assert max(noticed_at) - 21.5 < 0.5  # by their watches, not by a place in the queue
    assert [target for at, target in discovery.calls if at > 20.0 and "after" not in target] == []
    assert max_calls_per_second(discovery, 20.0) <= 2 * len(followers)


@pytest.mark.parametrize(("sidecars", "per_s"), [(32, 6.4), (200, 40.0), (32, 3.0), (200, 20.0)])
def test_a_fleet_that_must_restart_its_watches_is_served_in_turn_without_needless_calls(
    sidecars: int, per_s: float
) -> None:
    # Discovery refuses what it can't reach in 3 s: a lost place in its queue is a lost turn.
    down, back = 12.0, 20.0

    def then(wire: Wire, discovery: FailingDiscovery, followers: list[Follower]) -> None:
        wire.loop.call_later(down, discovery.begin, [])
        wire.loop.call_later(back, discovery.end, [])
        wire.loop.call_later(back - 1.0, discovery.put, SERVERS[0], "10.1.0.1:80", "leaving")

    discovery, followers = run(
        lambda wire: QueueingDiscovery(wire, per_s), then, length_s=45.0, sidecars=sidecars, allowed_s=10.0
    )
    noticed_at = max(each.noticed_at.get(SERVERS[0], 1e9) - back for each in followers)
    queue_s = sidecars / per_s
    assert noticed_at < (
        NOTIFICATION_DEADLINE_S - OWN_S if queue_s < NOTIFICATION_DEADLINE_S - 1.0 else 1.25 * queue_s
    )
    calls = [at for at, _ in discovery.calls if back <= at < back + 8.0]
    assert len(calls) < 8 * len(followers)
    assert max_calls_per_second(discovery) <= 3 * len(followers)
