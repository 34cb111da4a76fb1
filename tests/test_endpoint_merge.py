"""Many sources, one list: each row of the merge's table."""

from __future__ import annotations

import random
from typing import Any

import pytest

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.membership.endpoint_merge import EndpointMerge
from micadeck.membership.endpoint_observation import Observation, Precedence, SourceTrust
from micadeck.policy.events import ListedServer, ServerState

READY, UNHEALTHY, DRAINING = Precedence
A, B = ("10.0.0.1", 80), ("10.0.0.2", 80)
USED = ServerState.READY


def report(precedence: Precedence = READY, address: tuple[str, int] = A, **how: Any) -> Observation:
    return Observation(address, precedence, **how)


def merge(*sources: str, **trust: Any) -> EndpointMerge:
    made = EndpointMerge()
    for source in sources or ("roster", "consul"):
        made.add(source, SourceTrust(**trust))
    return made


def states(made: EndpointMerge, now: float) -> dict[str, ServerState]:
    """What is published by now, from changes alone."""
    made.take_changes(now)
    return {each.endpoint.server: each.endpoint.state for each in made.snapshot().entries}


def used(made: EndpointMerge, now: float) -> set[str]:
    return {name for name, state in states(made, now).items() if state is USED}


@pytest.mark.parametrize(
    ("roster", "consul", "expected"),
    [
        (READY, READY, ServerState.READY),
        (READY, UNHEALTHY, ServerState.DRAINING),
        (UNHEALTHY, READY, ServerState.DRAINING),
        (READY, DRAINING, ServerState.DRAINING),
        (DRAINING, READY, ServerState.DRAINING),
        (None, READY, ServerState.READY),
        (READY, None, ServerState.READY),
        (None, DRAINING, ServerState.DRAINING),
    ],
)
def test_the_higher_precedence_holds(
    roster: Precedence | None, consul: Precedence | None, expected: ServerState
) -> None:
    made = merge(panic_threshold=0.0)
    made.observe(1.0, "roster", [report(roster, name="s-1")] if roster is not None else [])
    made.observe(1.0, "consul", [report(consul)] if consul is not None else [])
    assert list(states(made, 1.0).values()) == [expected]


def test_a_server_that_two_sources_see_is_one_and_keeps_its_first_name() -> None:
    made = merge()
    made.observe(1.0, "consul", [report(weight=2.0, started_at=5)])
    assert list(states(made, 1.0)) == ["10.0.0.1:80"]
    made.observe(2.0, "roster", [report(name="s-1", zone="a", weight=3.0, started_at=9)])
    (entry,) = made.take_changes(2.0).entries  # type: ignore[union-attr]
    assert entry.endpoint.server == "10.0.0.1:80" and entry.endpoint.zone == "a"
    assert (entry.endpoint.nominal, entry.endpoint.started_at) == (2.0, 9)  # the more cautious of each
    other = merge()
    other.observe(1.0, "roster", [report(name="s-1")])
    other.observe(1.0, "consul", [report()])
    assert list(states(other, 1.0)) == ["s-1"]


def test_only_changes_are_published_and_one_version_counts_them() -> None:
    made = merge()
    made.observe(1.0, "consul", [report(), report(address=B)])
    first = made.take_changes(1.0)
    assert isinstance(first, EndpointUpdate) and (first.version, len(first.entries)) == (1, 2)
    made.observe(2.0, "consul", [report(), report(address=B)])
    assert made.take_changes(2.0) is None
    made.observe(3.0, "consul", [report(DRAINING), report(address=B)])
    second = made.take_changes(3.0)
    assert second is not None and second.version == 2
    assert [each.endpoint.state for each in second.entries] == [ServerState.DRAINING]
    made.observe(4.0, "consul", [report(address=B)])
    removed = made.take_changes(4.0)
    assert removed is not None and [(e.endpoint.state, e.address) for e in removed.entries] == [
        (ServerState.REMOVED, None)
    ]


def test_a_drain_holds_until_its_own_source_takes_it_back() -> None:
    made = merge()
    made.observe(1.0, "roster", [report(name="s-1")])
    made.observe(1.0, "consul", [report(DRAINING), report(address=B)])
    assert used(made, 1.0) == {"10.0.0.2:80"}
    made.observe(2.0, "roster", [report(name="s-1")])  # of another source
    made.observe(3.0, "consul", [report(address=B)])  # absence reports nothing
    assert "s-1" not in used(made, 3.0)
    made.observe(4.0, "consul", [report(), report(address=B)])
    assert "s-1" in used(made, 4.0)


def test_a_drain_is_forgotten_once_nobody_lists_the_server() -> None:
    made = merge("consul")
    made.observe(1.0, "consul", [report(DRAINING), report(address=B)])
    made.observe(2.0, "consul", [report(address=B)])
    assert "10.0.0.1:80" not in states(made, 2.0)
    made.observe(3.0, "consul", [report(), report(address=B)])
    assert "10.0.0.1:80" in used(made, 3.0)


def test_an_answer_older_than_a_drain_cannot_undo_it() -> None:
    made = merge("consul")
    made.observe(10.0, "consul", [report(DRAINING)])
    made.observe(11.0, "consul", [report()], lag_s=5.0)  # a server that lags
    assert used(made, 11.0) == set()
    made.observe(16.0, "consul", [report()], lag_s=5.0)
    assert used(made, 16.0) == {"10.0.0.1:80"}


def test_silence_keeps_the_last_list_within_its_bound_and_then_drains_it() -> None:
    made = merge(max_silence_s=60.0)
    made.observe(1.0, "roster", [report(name="s-1")])
    made.observe(1.0, "consul", [report(address=B)])
    made.observe(50.0, "roster", [report(name="s-1")])
    assert used(made, 61.0) == {"s-1", "10.0.0.2:80"}
    assert used(made, 62.0) == {"s-1"}
    assert states(made, 62.0)["10.0.0.2:80"] is ServerState.DRAINING
    made.observe(63.0, "consul", [report(address=B)])
    assert used(made, 63.0) == {"s-1", "10.0.0.2:80"}


def test_an_empty_list_after_a_full_one_is_not_accepted_until_repeated() -> None:
    made = merge("consul", empty_confirm_s=2.0)
    made.observe(1.0, "consul", [report()])
    assert not made.observe(2.0, "consul", [], agent="one")
    assert not made.observe(3.0, "consul", [], agent="one")
    assert used(made, 3.0) == {"10.0.0.1:80"}
    assert made.observe(4.0, "consul", [], agent="one")
    assert states(made, 4.0) == {}


def test_an_empty_list_is_accepted_from_a_second_agent_and_a_full_one_ends_the_wait() -> None:
    made = merge("consul", empty_confirm_s=60.0)
    made.observe(1.0, "consul", [report()])
    assert not made.observe(2.0, "consul", [], agent="one")
    assert made.observe(2.1, "consul", [report()], agent="two")
    assert not made.observe(3.0, "consul", [], agent="two")
    assert made.observe(3.1, "consul", [], agent="one")
    assert states(made, 3.1) == {}


def test_a_first_list_that_is_empty_is_accepted() -> None:
    made = merge("consul")
    assert made.observe(1.0, "consul", [])


def _many(count: int, precedence: Precedence) -> list[Observation]:
    return [report(precedence, (f"10.0.1.{number}", 80), reason="critical") for number in range(count)]


@pytest.mark.parametrize(
    ("ready", "unhealthy", "draining", "in_use"),
    [
        (10, 0, 0, 10),
        (6, 4, 0, 6),
        (5, 5, 0, 5),
        (2, 8, 0, 5),
        (0, 10, 0, 5),
        (0, 4, 6, 2),
        (0, 0, 5, 0),
        (0, 1, 0, 1),
    ],
)
def test_mass_critical_keeps_the_stated_share_in_use_and_no_draining_one(
    ready: int, unhealthy: int, draining: int, in_use: int
) -> None:
    made = merge("consul", panic_threshold=0.5)
    precedences = [READY] * ready + [UNHEALTHY] * unhealthy + [DRAINING] * draining
    made.observe(1.0, "consul", [report(c, (f"10.0.1.{n}", 80)) for n, c in enumerate(precedences)])
    now_used = used(made, 1.0)
    assert len(now_used) == in_use
    assert not {f"10.0.1.{n}:80" for n, c in enumerate(precedences) if c is DRAINING} & now_used


def test_sidecars_differ_in_which_unhealthy_servers_they_use() -> None:
    chosen = []
    for salt in range(30):
        made = EndpointMerge(salt)
        made.add("consul")
        made.observe(1.0, "consul", _many(10, UNHEALTHY))
        chosen.append(frozenset(used(made, 1.0)))
    assert len(set(chosen)) > 10
    assert frozenset.union(*chosen) == {f"10.0.1.{number}:80" for number in range(10)}


def test_a_flapping_server_is_damped_and_its_drain_is_not() -> None:
    made = merge("consul", flap_threshold=4, flap_window_s=30.0, panic_threshold=0.0)
    now = 1.0
    made.observe(now, "consul", [report(), report(address=B)])
    for _ in range(2):
        for precedence in (UNHEALTHY, READY):
            now += 1.0
            made.observe(now, "consul", [report(precedence), report(address=B)])
    assert used(made, now) == {"10.0.0.2:80"}
    assert used(made, now + 31.0) == {"10.0.0.1:80", "10.0.0.2:80"}
    made.observe(now + 32.0, "consul", [report(DRAINING), report(address=B)])
    assert used(made, now + 32.0) == {"10.0.0.2:80"}


def test_lent_nodes_are_used_in_their_hours_alone() -> None:
    made = EndpointMerge()
    made.add("own")
    made.add("lent", SourceTrust(is_available_at=lambda now: 100.0 <= now < 200.0))
    made.observe(1.0, "own", [report(name="s-1")])
    made.observe(1.0, "lent", [report(address=B)])
    assert used(made, 50.0) == {"s-1"}
    assert used(made, 150.0) == {"s-1", "10.0.0.2:80"}
    assert used(made, 250.0) == {"s-1"}
    assert states(made, 250.0)["10.0.0.2:80"] is ServerState.DRAINING


def test_changes_alone_do_the_same_as_complete_lists() -> None:
    made = merge("roster")
    made.observe(1.0, "roster", [report(name="s-1"), report(address=B, name="s-2")])
    made.observe_changes(2.0, "roster", [report(DRAINING, name="s-1")])
    assert used(made, 2.0) == {"s-2"}
    made.observe_changes(3.0, "roster", [], removed=[B])
    assert used(made, 3.0) == set()


def test_endpoints_show_what_each_source_reports() -> None:
    made = merge(panic_threshold=0.0)
    made.observe(1.0, "roster", [report(name="s-1", reason="active")])
    made.observe(1.0, "consul", [report(UNHEALTHY, reason="critical: http")])
    (row,) = made.endpoints(1.0)
    assert (row.name, row.state) == ("s-1", ServerState.DRAINING)
    reports = [(source, each.precedence, each.reason) for source, each in row.observations]
    assert reports == [("roster", READY, "active"), ("consul", UNHEALTHY, "critical: http")]


@pytest.mark.parametrize("seed", range(20))
def test_no_source_that_drains_a_server_sees_it_used(seed: int) -> None:
    chance = random.Random(seed)
    made = merge("one", "two", panic_threshold=chance.random(), flap_threshold=2)
    places = [(f"10.0.2.{number}", 80) for number in range(6)]
    drains: dict[str, set[tuple[str, int]]] = {"one": set(), "two": set()}
    now = 0.0
    for _ in range(200):
        now += chance.random()
        source = chance.choice(["one", "two"])
        reports = [report(chance.choice([READY, READY, UNHEALTHY, DRAINING]), each) for each in places]
        reports = [each for each in reports if chance.random() < 0.8]
        if not reports:
            continue
        made.observe(now, source, reports)
        for each in reports:
            if each.precedence is DRAINING:
                drains[source].add(each.address)
            else:
                drains[source].discard(each.address)
        published = states(made, now)
        for place in drains[source] & {each.address for each in reports}:
            assert published[f"{place[0]}:{place[1]}"] is ServerState.DRAINING


def test_what_a_source_dropped_is_not_brought_back_by_one_that_lags() -> None:
    made = merge(removal_hold_s=60.0)
    for source in ("roster", "consul"):
        made.observe(1.0, source, [report(name="s-1"), report(address=B)])
    made.observe_changes(2.0, "roster", [], [A])
    made.observe(3.0, "consul", [report(), report(address=B)])
    assert used(made, 3.0) == {"10.0.0.2:80"}
    assert used(made, 61.0) == {"10.0.0.2:80"} and used(made, 63.0) == {"10.0.0.2:80", "s-1"}
    made.observe_changes(64.0, "roster", [], [B])
    made.observe(65.0, "consul", [report()])
    assert list(states(made, 65.0)) == ["s-1"]  # both have dropped it


def test_a_fresh_answer_without_changes_applies_a_deferred_report() -> None:
    made = merge("consul")
    made.observe(10.0, "consul", [report(DRAINING)])
    made.observe_changes(11.0, "consul", [report()], lag_s=5.0)
    assert used(made, 11.0) == set()
    made.observe_changes(12.0, "consul", [], lag_s=5.0)
    assert used(made, 12.0) == set()
    made.observe_changes(16.0, "consul", [], lag_s=5.0)
    assert used(made, 16.0) == {"10.0.0.1:80"}


def test_a_name_goes_with_its_server_to_another_address() -> None:
    made = merge("roster")
    made.observe(1.0, "roster", [report(name="s-1")])
    made.take_changes(1.0)
    made.observe_changes(2.0, "roster", [report(address=B, name="s-1")], [A])
    update = made.take_changes(2.0)
    assert update is not None
    last = {each.endpoint.server: each for each in update.entries}
    assert list(last) == ["s-1"] and last["s-1"].address == B
    made.observe(
        3.0, "roster", [report(address=B, name="s-1"), report(name="s-1")]
    )  # two at once: one name is left
    assert sorted(states(made, 3.0)) == ["10.0.0.1:80", "s-1"]


def test_a_restored_list_holds_until_its_source_answers() -> None:
    made = merge("roster", "consul")
    lines = [EndpointEntry(ListedServer(f"s-{n}", state=USED), (f"10.0.0.{n}", 80)) for n in (1, 2)]
    twin = EndpointEntry(ListedServer("s-9", state=USED), ("10.0.0.1", 80))
    made.restore("roster", EndpointUpdate(4, True, (*lines, twin)))
    update = made.take_changes(1.0)
    assert update is not None  # of two ids at one address, one is published as removed
    assert [(each.endpoint.server, each.endpoint.state) for each in update.entries] == [
        ("s-9", ServerState.REMOVED)
    ]
    made.observe(2.0, "consul", [report(address=B)])
    assert used(made, 2.0) == {"s-1", "s-2"}
    made.observe(3.0, "roster", [report(name="s-1")])
    assert used(made, 3.0) == {"s-1"}


def test_slices_publish_urgent_changes_first() -> None:
    made = merge("consul", panic_threshold=0.0)
    many = [(f"10.0.1.{n}", 80) for n in range(1, 251)]
    made.observe(1.0, "consul", [report(address=each) for each in many])
    slices = []
    while made.has_pending:
        update = made.take_changes(1.0, 100)
        slices.append(len(update.entries) if update is not None else 0)
    assert slices == [100, 100, 50]
    made.observe_changes(2.0, "consul", [report(address=each, weight=2.0) for each in many])
    made.observe_changes(2.0, "consul", [report(DRAINING, many[200])], [many[201]])
    first = made.take_changes(2.0, 2)
    assert first is not None and {each.endpoint.state for each in first.entries} == {
        ServerState.DRAINING,
        ServerState.REMOVED,
    }


def test_a_source_that_is_removed_or_weighed_anew_changes_what_holds() -> None:
    made = merge(panic_threshold=0.0)
    made.observe(1.0, "roster", [report(name="s-1")])
    made.observe(1.0, "consul", [report(UNHEALTHY), report(UNHEALTHY, B)])
    assert used(made, 1.0) == set()
    made.set_trust("consul", SourceTrust(panic_threshold=0.5))
    assert len(used(made, 2.0)) == 1
    made.remove("consul")
    assert used(made, 3.0) == {"s-1"} and len(states(made, 3.0)) == 1


@pytest.mark.parametrize("seed", range(20))
def test_published_changes_equal_a_merge_of_the_last_reports(seed: int) -> None:
    """Differential: the running sets against every server judged anew, over drawn days."""
    chance = random.Random(seed)
    made = merge(
        "roster",
        "consul",
        panic_threshold=0.6,
        flap_threshold=3,
        flap_window_s=5.0,
        max_silence_s=40.0,
        removal_hold_s=7.0,
    )
    places = [(f"10.0.0.{n}", 80) for n in range(1, 13)]
    held: dict[str, ServerState] = {}
    now = 1.0
    for _ in range(150):
        now += chance.choice((0.1, 0.5, 2.0, 9.0))
        source = chance.choice(("roster", "consul"))
        some = chance.sample(places, chance.randrange(0, 4))
        reports = [report(chance.choice(tuple(Precedence)), each) for each in some]
        removed = [each for each in chance.sample(places, 2) if each not in some]
        made.observe_changes(now, source, reports, removed, lag_s=chance.choice((0.0, 0.0, 3.0)))
        while True:
            update = made.take_changes(now, chance.choice((1, 3, None)))
            for entry in update.entries if update is not None else ():
                held[entry.endpoint.server] = entry.endpoint.state
                if entry.endpoint.state is ServerState.REMOVED:
                    del held[entry.endpoint.server]
            if not made.has_pending:
                break
        assert held == {row.name: row.state for row in made.endpoints(now)}
