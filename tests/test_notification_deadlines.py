"""Changes in a reachable discovery are noticed within the deadline, however earlier calls failed."""

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
OWN_S = 0.1  # network latency and the processing time of the sidecar


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize(
    ("pushed", "max_poll_interval_s"),
    [(False, 0.5), (False, 10.0), (False, 60.0), (True, 10.0)],
    ids=["polled, 0.5 s", "polled, 10 s", "polled, 60 s", "pushed"],
)
def test_a_change_is_noticed_in_time_after_an_outage_of_any_length_and_kind(
    kind: Kind, pushed: bool, max_poll_interval_s: float
) -> None:
    late = []
    for number, outage_s in enumerate(OUTAGES_S):
        rng = random.Random(number)
        began_at = rng.choice([0.0, 0.05, rng.uniform(0.1, 6.0)])  # at startup, or during any call
        ended_at = began_at + max(outage_s, 0.001)  # events of the same instant run in any order
        changes = [rng.uniform(began_at, ended_at), ended_at, ended_at + rng.uniform(0.0, 4.0)]

        def schedule_events(
            wire: Wire,
            discovery: FailingDiscovery,
            followers: list[Follower],
            began_at: float = began_at,
            ended_at: float = ended_at,
            changes: list[float] = changes,
        ) -> None:
            hosts = [each.host.name for each in followers]
            wire.loop.call_later(began_at, discovery.begin_outage, hosts)
            wire.loop.call_later(ended_at, discovery.end_outage, hosts)
            for name, at in zip(SERVERS, changes, strict=False):
                wire.loop.call_later(at, discovery.put, name, "10.1.0.1:80", "leaving")

        _, (follower,) = run(
            lambda wire: FailingDiscovery(wire, kind),
            schedule_events,
            length_s=ended_at + 12.0,
            pushed=pushed,
            max_poll_interval_s=max_poll_interval_s,
            seed=number,
        )
        for name, at in zip(SERVERS, changes, strict=False):
            delay_s = follower.noticed_at.get(name, 1e9) - max(at, ended_at)
            if delay_s > NOTIFICATION_DEADLINE_S - OWN_S:
                late.append((outage_s, round(began_at, 2), name, round(delay_s, 2)))
    assert late == []


@pytest.mark.parametrize(
    "kind", [each for each in Kind if each is not Kind.CUT]
)  # an agent is local: no network to cut
@pytest.mark.parametrize("grace_s", [0.2, 0.25, 0.5, 1.0])
def test_a_recovered_agents_changes_are_noticed_within_the_drain_grace(kind: Kind, grace_s: float) -> None:
    late = []
    for number in range(40):
        rng = random.Random(number)
        began_at, outage_s = rng.uniform(0.1, 3.0), rng.uniform(2.0, 10.0)
        ended_at = began_at + outage_s

        def schedule_events(
            wire: Wire,
            discovery: FailingDiscovery,
            followers: list[Follower],
            began_at: float = began_at,
            ended_at: float = ended_at,
        ) -> None:
            hosts = [each.host.name for each in followers]
            wire.loop.call_later(began_at, discovery.begin_outage, hosts)
            wire.loop.call_later(ended_at, discovery.end_outage, hosts)
            wire.loop.call_later(ended_at - 0.01, discovery.put, SERVERS[0], "10.1.0.1:80", "leaving")

        discovery, (follower,) = run(
            lambda wire: FailingDiscovery(wire, kind),
            schedule_events,
            length_s=ended_at + 3.0,
            pushed=True,
            grace_s=grace_s,
            seed=number,
        )
        delay_s = follower.noticed_at.get(SERVERS[0], 1e9) - ended_at
        if delay_s > 0.8 * grace_s:
            late.append((round(began_at, 2), round(ended_at, 2), round(delay_s, 3)))
        assert max_calls_per_second(discovery) <= 12  # also while the agent does not answer
    assert late == []


@pytest.mark.parametrize("kind", list(Kind))
@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
def test_after_a_change_of_address_the_new_discovery_is_read_at_once_however_the_old_one_failed(
    kind: Kind, pushed: bool
) -> None:
    late = []
    for number in range(40):
        rng = random.Random(number)
        began_at, moved_at = rng.uniform(0.0, 3.0), rng.uniform(0.5, 12.0)

        def schedule_events(
            wire: Wire,
            discovery: FailingDiscovery,
            followers: list[Follower],
            began_at: float = began_at,
            moved_at: float = moved_at,
        ) -> None:
            other = FailingDiscovery(wire, kind, 1)
            other.put(SERVERS[0], "10.1.0.1:80", "leaving")
            other.start_listening()
            (follower,) = followers
            wire.loop.call_later(began_at, discovery.begin_outage, [follower.host.name])
            if kind is Kind.NO_DESCRIPTORS:
                wire.loop.call_later(max(began_at, moved_at), discovery.end_outage, [follower.host.name])
            wire.loop.call_later(
                moved_at,
                follower.host.context.copy().run,
                follower.watcher.change_address,
                other.listen_address,
            )

        _, (follower,) = run(
            lambda wire: FailingDiscovery(wire, kind),
            schedule_events,
            length_s=moved_at + 12.0,
            pushed=pushed,
            seed=number,
        )
        delay_s = follower.noticed_at.get(SERVERS[0], 1e9) - (
            max(began_at, moved_at) if kind is Kind.NO_DESCRIPTORS else moved_at
        )
        if delay_s > (1.1 if kind is Kind.NO_DESCRIPTORS else 0.1):  # a dial may have failed just before
            late.append((round(began_at, 2), round(moved_at, 2), round(delay_s, 2)))
    assert late == []


def test_simultaneous_suspicions_of_all_sidecars_interrupt_no_watch() -> None:
    # A release replaces servers before discovery reports it, so all sidecars see refused connections at once.
    def schedule_events(wire: Wire, discovery: FailingDiscovery, followers: list[Follower]) -> None:
        for follower in followers:
            for name in SERVERS[:4]:
                wire.loop.call_later(
                    20.0 + wire.rng.random(), follower.host.context.copy().run, follower.watcher.suspect_stale
                )
                wire.loop.call_at(21.5, discovery.put, name, "10.1.0.1:80", "leaving")

    discovery, followers = run(
        lambda wire: QueueingDiscovery(wire, 6.0),
        schedule_events,
        length_s=32.0,
        sidecars=32,
        max_poll_interval_s=10.0,
    )
    noticed_at = [each.noticed_at.get(name, 1e9) for each in followers for name in SERVERS[:4]]
    assert max(noticed_at) - 21.5 < 0.5  # through the open watches, not through the queue
    assert [target for at, target in discovery.calls if at > 20.0 and "after" not in target] == []
    assert max_calls_per_second(discovery, 20.0) <= 2 * len(followers)


@pytest.mark.parametrize(("sidecars", "per_s"), [(32, 6.4), (200, 40.0), (32, 3.0), (200, 20.0)])
def test_a_fleet_restarting_its_watches_is_served_in_order_without_needless_calls(
    sidecars: int, per_s: float
) -> None:
    # Discovery refuses calls that it can't reach within 3 s, so giving up a queue slot means queueing again.
    down, ended_at = 12.0, 20.0

    def schedule_events(wire: Wire, discovery: FailingDiscovery, followers: list[Follower]) -> None:
        wire.loop.call_later(down, discovery.begin_outage, [])
        wire.loop.call_later(ended_at, discovery.end_outage, [])
        wire.loop.call_later(ended_at - 1.0, discovery.put, SERVERS[0], "10.1.0.1:80", "leaving")

    discovery, followers = run(
        lambda wire: QueueingDiscovery(wire, per_s),
        schedule_events,
        length_s=45.0,
        sidecars=sidecars,
        max_poll_interval_s=10.0,
    )
    noticed_at = max(each.noticed_at.get(SERVERS[0], 1e9) - ended_at for each in followers)
    queue_s = sidecars / per_s
    assert noticed_at < (
        NOTIFICATION_DEADLINE_S - OWN_S if queue_s < NOTIFICATION_DEADLINE_S - 1.0 else 1.25 * queue_s
    )
    calls = [at for at, _ in discovery.calls if ended_at <= at < ended_at + 8.0]
    assert len(calls) < 8 * len(followers)
    assert max_calls_per_second(discovery) <= 3 * len(followers)
