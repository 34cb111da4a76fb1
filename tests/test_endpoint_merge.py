"""Merging the observations of several sources into one endpoint list."""

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
READY_STATE = ServerState.READY


def observation(precedence: Precedence = READY, address: tuple[str, int] = A, **fields: Any) -> Observation:
    return Observation(address, precedence, **fields)


def make_merge(*sources: str, **trust: Any) -> EndpointMerge:
    merged = EndpointMerge()
    for source in sources or ("roster", "consul"):
        merged.add(source, SourceTrust(**trust))
    return merged


def states(merged: EndpointMerge, now: float) -> dict[str, ServerState]:
    """Return the published states after applying the changes due by `now`."""
    merged.take_changes(now)
    return {entry.endpoint.server: entry.endpoint.state for entry in merged.snapshot().entries}


def used(merged: EndpointMerge, now: float) -> set[str]:
    return {name for name, state in states(merged, now).items() if state is READY_STATE}


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
def test_the_higher_precedence_applies(
    roster: Precedence | None, consul: Precedence | None, expected: ServerState
) -> None:
    merged = make_merge(panic_threshold=0.0)
    merged.observe(1.0, "roster", [observation(roster, name="s-1")] if roster is not None else [])
    merged.observe(1.0, "consul", [observation(consul)] if consul is not None else [])
    assert list(states(merged, 1.0).values()) == [expected]


def test_a_server_that_two_sources_report_is_published_once_under_its_first_name() -> None:
    merged = make_merge()
    merged.observe(1.0, "consul", [observation(weight=2.0, started_at=5)])
    assert list(states(merged, 1.0)) == ["10.0.0.1:80"]
    merged.observe(2.0, "roster", [observation(name="s-1", zone="a", weight=3.0, started_at=9)])
    (entry,) = merged.take_changes(2.0).entries  # type: ignore[union-attr]
    assert entry.endpoint.server == "10.0.0.1:80" and entry.endpoint.zone == "a"
    assert (entry.endpoint.nominal, entry.endpoint.started_at) == (
        2.0,
        9,
    )  # the lower weight, the later start
    consul_second = make_merge()
    consul_second.observe(1.0, "roster", [observation(name="s-1")])
    consul_second.observe(1.0, "consul", [observation()])
    assert list(states(consul_second, 1.0)) == ["s-1"]


def test_only_changes_are_published_and_each_update_increments_the_version() -> None:
    merged = make_merge()
    merged.observe(1.0, "consul", [observation(), observation(address=B)])
    first = merged.take_changes(1.0)
    assert isinstance(first, EndpointUpdate) and (first.version, len(first.entries)) == (1, 2)
    merged.observe(2.0, "consul", [observation(), observation(address=B)])
    assert merged.take_changes(2.0) is None
    merged.observe(3.0, "consul", [observation(DRAINING), observation(address=B)])
    second = merged.take_changes(3.0)
    assert second is not None and second.version == 2
    assert [each.endpoint.state for each in second.entries] == [ServerState.DRAINING]
    merged.observe(4.0, "consul", [observation(address=B)])
    removed = merged.take_changes(4.0)
    assert removed is not None and [(e.endpoint.state, e.address) for e in removed.entries] == [
        (ServerState.REMOVED, None)
    ]


def test_a_drain_lasts_until_its_own_source_reports_the_server_ready() -> None:
    merged = make_merge()
    merged.observe(1.0, "roster", [observation(name="s-1")])
    merged.observe(1.0, "consul", [observation(DRAINING), observation(address=B)])
    assert used(merged, 1.0) == {"10.0.0.2:80"}
    merged.observe(2.0, "roster", [observation(name="s-1")])  # an observation by another source
    merged.observe(3.0, "consul", [observation(address=B)])  # absence does not undo a drain
    assert "s-1" not in used(merged, 3.0)
    merged.observe(4.0, "consul", [observation(), observation(address=B)])
    assert "s-1" in used(merged, 4.0)


def test_a_drain_is_forgotten_once_no_source_lists_the_server() -> None:
    merged = make_merge("consul")
    merged.observe(1.0, "consul", [observation(DRAINING), observation(address=B)])
    merged.observe(2.0, "consul", [observation(address=B)])
    assert "10.0.0.1:80" not in states(merged, 2.0)
    merged.observe(3.0, "consul", [observation(), observation(address=B)])
    assert "10.0.0.1:80" in used(merged, 3.0)


def test_an_answer_older_than_a_drain_cannot_undo_it() -> None:
    merged = make_merge("consul")
    merged.observe(10.0, "consul", [observation(DRAINING)])
    merged.observe(11.0, "consul", [observation()], lag_s=5.0)  # a Consul server that lags
    assert used(merged, 11.0) == set()
    merged.observe(16.0, "consul", [observation()], lag_s=5.0)
    assert used(merged, 16.0) == {"10.0.0.1:80"}


def test_a_silent_sources_last_list_is_used_for_max_silence_s_and_then_drained() -> None:
    merged = make_merge(max_silence_s=60.0)
    merged.observe(1.0, "roster", [observation(name="s-1")])
    merged.observe(1.0, "consul", [observation(address=B)])
    merged.observe(50.0, "roster", [observation(name="s-1")])
    assert used(merged, 61.0) == {"s-1", "10.0.0.2:80"}
    assert used(merged, 62.0) == {"s-1"}
    assert states(merged, 62.0)["10.0.0.2:80"] is ServerState.DRAINING
    merged.observe(63.0, "consul", [observation(address=B)])
    assert used(merged, 63.0) == {"s-1", "10.0.0.2:80"}


def test_an_empty_list_after_a_non_empty_one_is_not_accepted_until_repeated() -> None:
    merged = make_merge("consul", empty_confirm_s=2.0)
    merged.observe(1.0, "consul", [observation()])
    assert not merged.observe(2.0, "consul", [], agent="one")
    assert not merged.observe(3.0, "consul", [], agent="one")
    assert used(merged, 3.0) == {"10.0.0.1:80"}
    assert merged.observe(4.0, "consul", [], agent="one")
    assert states(merged, 4.0) == {}


def test_an_empty_list_is_accepted_from_a_second_agent_and_a_non_empty_one_cancels_the_confirmation() -> None:
    merged = make_merge("consul", empty_confirm_s=60.0)
    merged.observe(1.0, "consul", [observation()])
    assert not merged.observe(2.0, "consul", [], agent="one")
    assert merged.observe(2.1, "consul", [observation()], agent="two")
    assert not merged.observe(3.0, "consul", [], agent="two")
    assert merged.observe(3.1, "consul", [], agent="one")
    assert states(merged, 3.1) == {}


def test_a_first_list_that_is_empty_is_accepted() -> None:
    merged = make_merge("consul")
    assert merged.observe(1.0, "consul", [])


def _instances(count: int, precedence: Precedence) -> list[Observation]:
    return [observation(precedence, (f"10.0.1.{number}", 80), reason="critical") for number in range(count)]


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
def test_when_most_are_critical_the_configured_share_stays_in_use_without_draining_ones(
    ready: int, unhealthy: int, draining: int, in_use: int
) -> None:
    merged = make_merge("consul", panic_threshold=0.5)
    precedences = [READY] * ready + [UNHEALTHY] * unhealthy + [DRAINING] * draining
    merged.observe(1.0, "consul", [observation(p, (f"10.0.1.{n}", 80)) for n, p in enumerate(precedences)])
    now_used = used(merged, 1.0)
    assert len(now_used) == in_use
    assert not {f"10.0.1.{n}:80" for n, p in enumerate(precedences) if p is DRAINING} & now_used


def test_sidecars_differ_in_which_unhealthy_servers_they_use() -> None:
    chosen = []
    for salt in range(30):
        merged = EndpointMerge(salt)
        merged.add("consul")
        merged.observe(1.0, "consul", _instances(10, UNHEALTHY))
        chosen.append(frozenset(used(merged, 1.0)))
    assert len(set(chosen)) > 10
    assert frozenset.union(*chosen) == {f"10.0.1.{number}:80" for number in range(10)}


def test_a_flapping_server_is_damped_and_its_drain_is_not() -> None:
    merged = make_merge("consul", flap_threshold=4, flap_window_s=30.0, panic_threshold=0.0)
    now = 1.0
    merged.observe(now, "consul", [observation(), observation(address=B)])
    for _ in range(2):
        for precedence in (UNHEALTHY, READY):
            now += 1.0
            merged.observe(now, "consul", [observation(precedence), observation(address=B)])
    assert used(merged, now) == {"10.0.0.2:80"}
    assert used(merged, now + 31.0) == {"10.0.0.1:80", "10.0.0.2:80"}
    merged.observe(now + 32.0, "consul", [observation(DRAINING), observation(address=B)])
    assert used(merged, now + 32.0) == {"10.0.0.2:80"}


def test_lent_nodes_are_used_only_in_their_hours() -> None:
    merged = EndpointMerge()
    merged.add("own")
    merged.add("lent", SourceTrust(is_available_at=lambda now: 100.0 <= now < 200.0))
    merged.observe(1.0, "own", [observation(name="s-1")])
    merged.observe(1.0, "lent", [observation(address=B)])
    assert used(merged, 50.0) == {"s-1"}
    assert used(merged, 150.0) == {"s-1", "10.0.0.2:80"}
    assert used(merged, 250.0) == {"s-1"}
    assert states(merged, 250.0)["10.0.0.2:80"] is ServerState.DRAINING


def test_incremental_changes_have_the_same_effect_as_complete_lists() -> None:
    merged = make_merge("roster")
    merged.observe(1.0, "roster", [observation(name="s-1"), observation(address=B, name="s-2")])
    merged.observe_changes(2.0, "roster", [observation(DRAINING, name="s-1")])
    assert used(merged, 2.0) == {"s-2"}
    merged.observe_changes(3.0, "roster", [], removed=[B])
    assert used(merged, 3.0) == set()


def test_endpoints_show_what_each_source_reports() -> None:
    merged = make_merge(panic_threshold=0.0)
    merged.observe(1.0, "roster", [observation(name="s-1", reason="active")])
    merged.observe(1.0, "consul", [observation(UNHEALTHY, reason="critical: http")])
    (row,) = merged.endpoints(1.0)
    assert (row.name, row.state) == ("s-1", ServerState.DRAINING)
    observations = [(source, each.precedence, each.reason) for source, each in row.observations]
    assert observations == [("roster", READY, "active"), ("consul", UNHEALTHY, "critical: http")]


@pytest.mark.parametrize("seed", range(20))
def test_a_server_drained_by_any_source_is_never_used(seed: int) -> None:
    rng = random.Random(seed)
    merged = make_merge("one", "two", panic_threshold=rng.random(), flap_threshold=2)
    addresses = [(f"10.0.2.{number}", 80) for number in range(6)]
    drained: dict[str, set[tuple[str, int]]] = {"one": set(), "two": set()}
    now = 0.0
    for _ in range(200):
        now += rng.random()
        source = rng.choice(["one", "two"])
        observations = [
            observation(rng.choice([READY, READY, UNHEALTHY, DRAINING]), address) for address in addresses
        ]
        observations = [each for each in observations if rng.random() < 0.8]
        if not observations:
            continue
        merged.observe(now, source, observations)
        for observed in observations:
            if observed.precedence is DRAINING:
                drained[source].add(observed.address)
            else:
                drained[source].discard(observed.address)
        published = states(merged, now)
        for address in drained[source] & {each.address for each in observations}:
            assert published[f"{address[0]}:{address[1]}"] is ServerState.DRAINING


def test_a_removed_server_is_not_restored_by_a_lagging_source() -> None:
    merged = make_merge(removal_hold_s=60.0)
    for source in ("roster", "consul"):
        merged.observe(1.0, source, [observation(name="s-1"), observation(address=B)])
    merged.observe_changes(2.0, "roster", [], [A])
    merged.observe(3.0, "consul", [observation(), observation(address=B)])
    assert used(merged, 3.0) == {"10.0.0.2:80"}
    assert used(merged, 61.0) == {"10.0.0.2:80"} and used(merged, 63.0) == {"10.0.0.2:80", "s-1"}
    merged.observe_changes(64.0, "roster", [], [B])
    merged.observe(65.0, "consul", [observation()])
    assert list(states(merged, 65.0)) == ["s-1"]  # both sources have removed B


def test_a_fresh_answer_without_changes_applies_a_deferred_observation() -> None:
    merged = make_merge("consul")
    merged.observe(10.0, "consul", [observation(DRAINING)])
    merged.observe_changes(11.0, "consul", [observation()], lag_s=5.0)
    assert used(merged, 11.0) == set()
    merged.observe_changes(12.0, "consul", [], lag_s=5.0)
    assert used(merged, 12.0) == set()
    merged.observe_changes(16.0, "consul", [], lag_s=5.0)
    assert used(merged, 16.0) == {"10.0.0.1:80"}


def test_a_name_follows_its_server_to_another_address() -> None:
    merged = make_merge("roster")
    merged.observe(1.0, "roster", [observation(name="s-1")])
    merged.take_changes(1.0)
    merged.observe_changes(2.0, "roster", [observation(address=B, name="s-1")], [A])
    update = merged.take_changes(2.0)
    assert update is not None
    last = {each.endpoint.server: each for each in update.entries}
    assert list(last) == ["s-1"] and last["s-1"].address == B
    merged.observe(
        3.0, "roster", [observation(address=B, name="s-1"), observation(name="s-1")]
    )  # one name at two addresses: only one keeps it
    assert sorted(states(merged, 3.0)) == ["10.0.0.1:80", "s-1"]


def test_a_restored_list_is_used_until_its_source_answers() -> None:
    merged = make_merge("roster", "consul")
    entries = [EndpointEntry(ListedServer(f"s-{n}", state=READY_STATE), (f"10.0.0.{n}", 80)) for n in (1, 2)]
    duplicate = EndpointEntry(ListedServer("s-9", state=READY_STATE), ("10.0.0.1", 80))
    merged.restore("roster", EndpointUpdate(4, True, (*entries, duplicate)))
    update = merged.take_changes(1.0)
    assert update is not None  # of two ids at one address, one is published as removed
    assert [(each.endpoint.server, each.endpoint.state) for each in update.entries] == [
        ("s-9", ServerState.REMOVED)
    ]
    merged.observe(2.0, "consul", [observation(address=B)])
    assert used(merged, 2.0) == {"s-1", "s-2"}
    merged.observe(3.0, "roster", [observation(name="s-1")])
    assert used(merged, 3.0) == {"s-1"}


def test_slices_publish_urgent_changes_first() -> None:
    merged = make_merge("consul", panic_threshold=0.0)
    addresses = [(f"10.0.1.{n}", 80) for n in range(1, 251)]
    merged.observe(1.0, "consul", [observation(address=address) for address in addresses])
    slices = []
    while merged.has_pending:
        update = merged.take_changes(1.0, 100)
        slices.append(len(update.entries) if update is not None else 0)
    assert slices == [100, 100, 50]
    merged.observe_changes(2.0, "consul", [observation(address=address, weight=2.0) for address in addresses])
    merged.observe_changes(2.0, "consul", [observation(DRAINING, addresses[200])], [addresses[201]])
    first = merged.take_changes(2.0, 2)
    assert first is not None and {each.endpoint.state for each in first.entries} == {
        ServerState.DRAINING,
        ServerState.REMOVED,
    }


def test_removing_a_source_or_changing_its_trust_changes_the_published_states() -> None:
    merged = make_merge(panic_threshold=0.0)
    merged.observe(1.0, "roster", [observation(name="s-1")])
    merged.observe(1.0, "consul", [observation(UNHEALTHY), observation(UNHEALTHY, B)])
    assert used(merged, 1.0) == set()
    merged.set_trust("consul", SourceTrust(panic_threshold=0.5))
    assert len(used(merged, 2.0)) == 1
    merged.remove("consul")
    assert used(merged, 3.0) == {"s-1"} and len(states(merged, 3.0)) == 1


@pytest.mark.parametrize("seed", range(20))
def test_published_changes_equal_a_full_merge_of_the_last_observations(seed: int) -> None:
    """Compares incremental updates with a full evaluation of every server over random histories."""
    rng = random.Random(seed)
    merged = make_merge(
        "roster",
        "consul",
        panic_threshold=0.6,
        flap_threshold=3,
        flap_window_s=5.0,
        max_silence_s=40.0,
        removal_hold_s=7.0,
    )
    addresses = [(f"10.0.0.{n}", 80) for n in range(1, 13)]
    published_states: dict[str, ServerState] = {}
    now = 1.0
    for _ in range(150):
        now += rng.choice((0.1, 0.5, 2.0, 9.0))
        source = rng.choice(("roster", "consul"))
        observed_addresses = rng.sample(addresses, rng.randrange(0, 4))
        observations = [observation(rng.choice(tuple(Precedence)), address) for address in observed_addresses]
        removed = [address for address in rng.sample(addresses, 2) if address not in observed_addresses]
        merged.observe_changes(now, source, observations, removed, lag_s=rng.choice((0.0, 0.0, 3.0)))
        while True:
            update = merged.take_changes(now, rng.choice((1, 3, None)))
            for entry in update.entries if update is not None else ():
                published_states[entry.endpoint.server] = entry.endpoint.state
                if entry.endpoint.state is ServerState.REMOVED:
                    del published_states[entry.endpoint.server]
            if not merged.has_pending:
                break
        assert published_states == {row.name: row.state for row in merged.endpoints(now)}
