"""Membership of the fleet: agreement despite lost datagrams, failed members and partitions."""

from __future__ import annotations

import random

import msgspec
import pytest
from fleet_stage import KEYS, MS, WALL_START_US, S, SimulatedFleet

from micadeck.fleet import (
    DatagramAuthenticator,
    DropReason,
    EndpointHint,
    FleetSettings,
    Keys,
    MemberChanged,
    MemberRecord,
    MemberState,
    MemberTable,
    Metadata,
)
from micadeck.fleet.broadcast_queue import BroadcastQueue
from micadeck.fleet.messages import Ping
from micadeck.fleet.timers import SuspicionTimer

# Records


def records(seed: int, count: int) -> list[MemberRecord]:
    rng = random.Random(seed)
    return [
        MemberRecord(
            f"n{rng.randrange(6)}",
            rng.randrange(3),
            rng.randrange(3),
            rng.choice(list(MemberState)),
            "h",
            1,
        )
        for _ in range(count)
    ]


@pytest.mark.parametrize("seed", range(20))
def test_tables_converge_whatever_the_order_and_repetition_of_records(seed: int) -> None:
    rng, received = random.Random(seed), records(seed, 40)
    tables = []
    for _ in range(3):
        table = MemberTable()
        for at, record in enumerate(rng.sample(received, len(received)) + rng.choices(received, k=30)):
            table.apply(at, record)
        tables.append(table)
    live = [
        {n: (h.record.start_us, h.record.incarnation) for n, h in t.entries.items() if h.record.is_live}
        for t in tables
    ]
    assert live[0] == live[1] == live[2]
    assert tables[0].digest == tables[1].digest == tables[2].digest
    for table in tables:
        states = [each.record.state for each in table.entries.values()]
        assert table.state_counts == [states.count(state) for state in MemberState]
        assert sum(sum(table.branch_digests((at,))) for at in range(16)) % 2**32 == table.digest % 2**32


def test_a_removed_member_is_not_restored_by_a_late_update() -> None:
    table = MemberTable()
    alive = MemberRecord("n1", 5, 1, MemberState.ALIVE, "h", 1)
    assert table.apply(0, alive)
    assert table.apply(1, msgspec.structs.replace(alive, state=MemberState.DEAD))
    assert table.remove_expired(60 * S, 50 * S, 600 * S) == ["n1"]
    assert not table.apply(61 * S, alive) and "n1" not in table.entries
    assert table.apply(62 * S, msgspec.structs.replace(alive, start_us=6, incarnation=0))  # a new process


def test_a_death_that_arrives_before_its_member_is_kept_as_a_tombstone() -> None:
    table = MemberTable()
    assert not table.apply(0, MemberRecord("n1", 5, 3, MemberState.DEAD))
    assert not table.apply(1, MemberRecord("n1", 5, 2, MemberState.ALIVE, "h", 1))
    assert table.apply(2, MemberRecord("n1", 5, 4, MemberState.ALIVE, "h", 1))


def hint(server: str) -> EndpointHint:
    return EndpointHint(server, "x" * 14, 1)


def selected(
    queue: BroadcastQueue, now: int, max_bytes: int, limit: int, exclude: tuple[str, ...] = ()
) -> list[str]:
    return [
        each.endpoint
        for each in queue.select(now, max_bytes, limit, exclude)
        if isinstance(each, EndpointHint)
    ]


def test_updates_sent_fewest_times_go_first_and_leave_at_the_transmit_limit() -> None:
    queue = BroadcastQueue()
    for subject in "abc":
        queue.enqueue(subject, hint(subject), expires_at=100)
    batches = [selected(queue, 0, 50, 2) for _ in range(4)]
    assert sorted(each for batch in batches for each in batch) == ["a", "a", "b", "b", "c", "c"] and not queue
    queue.enqueue("a", hint("a"), expires_at=100)
    queue.enqueue("b", hint("b"), expires_at=5)
    assert selected(queue, 10, 50, 9, ("c",)) == ["a"]


def test_a_death_is_sent_before_many_joins() -> None:
    queue = BroadcastQueue()
    for number in range(200):
        queue.enqueue(f"n{number}", hint(f"n{number}"), expires_at=100)
    queue.enqueue("dead", hint("dead"), expires_at=100, urgent=True)
    batches = [selected(queue, 0, 90, 5) for _ in range(6)]
    assert [each[0] for each in batches] == ["dead"] * 5 + [batches[5][0]] and batches[5][0] != "dead"


# Datagrams


def authenticator(name: str = "n1", start: int = 1, keys: Keys = KEYS) -> DatagramAuthenticator:
    return DatagramAuthenticator(name, start, keys)


def test_an_invalid_datagram_is_counted_by_its_reason_and_changes_nothing() -> None:
    old, new = (1, b"o" * 16), (2, b"n" * 16)
    reader, writer = authenticator("n0"), authenticator()
    valid = writer.encode(WALL_START_US, ["x"])
    assert reader.decode(WALL_START_US, valid) == ("n1", ["x"])
    for data, reason in (
        (valid, DropReason.REPLAYED),
        (b"", DropReason.MALFORMED),
        (valid[:20], DropReason.BAD_MAC),
        (valid + b"x" * 250, DropReason.MALFORMED),
        (b"\x09" + valid[1:], DropReason.UNKNOWN_VERSION),
        (authenticator("n2", 1, Keys((new,))).encode(WALL_START_US, []), DropReason.UNKNOWN_KEY),
        (authenticator("n2", 1, Keys((old,))).encode(WALL_START_US, []), DropReason.BAD_MAC),
        (authenticator("n2").encode(WALL_START_US - 100 * S, []), DropReason.EXPIRED),
    ):
        before = reader.dropped[reason]
        assert reader.decode(WALL_START_US, data) is None and reader.dropped[reason] == before + 1
    for at in range(len(valid)):
        assert reader.decode(WALL_START_US, valid[:at] + bytes((valid[at] ^ 1,)) + valid[at + 1 :]) is None
    restarted = authenticator("n1", 2)
    assert reader.decode(WALL_START_US, restarted.encode(WALL_START_US, [])) is not None
    assert (
        reader.decode(WALL_START_US, writer.encode(WALL_START_US, [])) is None
        and reader.dropped[DropReason.SUPERSEDED] == 1
    )


def test_datagrams_out_of_order_are_accepted_once() -> None:
    reader, writer = authenticator("n0"), authenticator()
    datagrams = [writer.encode(WALL_START_US, [at]) for at in range(80)]
    random.Random(1).shuffle(datagrams)
    accepted = [data for data in datagrams if reader.decode(WALL_START_US, data)]
    assert len(accepted) > 60 and not any(
        reader.decode(WALL_START_US, data) for data in datagrams[-1:] + accepted
    )


def test_keys_rotate_without_interruption_and_are_in_no_text() -> None:
    old, new = (1, b"o" * 16), (2, b"n" * 16)
    first, second = authenticator("n1", 1, Keys((old,))), authenticator("n2", 1, Keys((old,)))
    for step in (
        (first, (old, new)),
        (second, (old, new)),
        (first, (new, old)),
        (second, (new, old)),
        (first, (new,)),
    ):
        step[0].set_keys(Keys(step[1]))
        assert first.decode(WALL_START_US, second.encode(WALL_START_US, [])) and second.decode(
            WALL_START_US, first.encode(WALL_START_US, [])
        )
    assert "ooo" not in repr(Keys((old, new)))
    for invalid_keys in ((), (old, old), ((256, b"o" * 16),), ((1, b"short"),)):
        with pytest.raises(ValueError, match="keys"):
            Keys(invalid_keys)


# Fleets


def test_all_join_through_one_member_and_agree_on_the_count() -> None:
    fleet = SimulatedFleet(12)
    assert fleet.until(fleet.agree, 20 * S) < 8 * S
    for member in fleet.members.values():
        assert (member.count_members().min_members, member.count_members().max_members) == (12, 12)
    sent = sum(fleet.sent.values())
    fleet.run(60 * S)
    # Datagrams per second and member, for any fleet size.
    assert (sum(fleet.sent.values()) - sent) / 60 / 12 < 4.2
    assert fleet.declared_dead() == []


def test_a_killed_member_is_removed_everywhere_and_can_rejoin_under_its_name() -> None:
    fleet = SimulatedFleet(8)
    fleet.until(fleet.agree, 20 * S)
    fleet.run(5 * S)
    fleet.kill("n4")
    assert fleet.until(lambda: "n4" not in _live_members(fleet, "n0") and fleet.agree(), 20 * S) < 8 * S
    fleet.start("n4", ["n0"])
    assert fleet.until(fleet.agree, 20 * S) < 8 * S


def _live_members(fleet: SimulatedFleet, name: str) -> set[str]:
    table = fleet.members[name].table
    return {peer for peer, entry in table.entries.items() if entry.record.is_live}


def test_a_third_killed_at_once_can_rejoin_under_the_same_names() -> None:
    fleet = SimulatedFleet(12, seed=3)
    fleet.until(fleet.agree, 20 * S)
    for number in range(4):
        fleet.kill(f"n{number}")
    fleet.run(300 * MS)
    for number in range(4):
        fleet.start(f"n{number}", ["n8"])
    assert fleet.until(fleet.agree, 30 * S) < 15 * S
    starts = {name: fleet.members[name].table.entries["n1"].record.start_us for name in fleet.members}
    assert set(starts.values()) == {fleet.members["n1"].authenticator.start_us}


def test_a_member_that_leaves_is_removed_at_once_and_never_declared_dead() -> None:
    fleet = SimulatedFleet(8)
    fleet.until(fleet.agree, 20 * S)
    fleet.leave("n3")
    assert (
        fleet.until(lambda: all("n3" not in _live_members(fleet, each) for each in fleet.members), 9 * S)
        < 3 * S
    )
    fleet.run(10 * S)
    assert fleet.declared_dead() == []
    assert fleet.members["n0"].count_members().max_members == 7


def test_a_restart_after_the_clock_was_set_back_still_supersedes_the_old_process() -> None:
    fleet = SimulatedFleet(6)
    fleet.until(fleet.agree, 20 * S)
    fleet.run(5 * S)
    fleet.kill("n2")
    fleet.start("n2", ["n0"], ahead_us=-30 * S)
    fleet.until(fleet.agree, 30 * S)


def test_of_two_processes_under_one_name_the_later_supersedes_the_earlier() -> None:
    fleet = SimulatedFleet(6)
    fleet.until(fleet.agree, 20 * S)
    old = fleet.members["n2"]
    fleet.start("n2", ["n0"])
    fleet.until(fleet.agree, 20 * S)
    # The old process still runs, and receives an update about the new one.
    ping = fleet.members["n0"].authenticator.encode(
        WALL_START_US + fleet.now, Ping(0, 0, (record_of(fleet, "n0", "n2"),))
    )
    old.receive(fleet.now, WALL_START_US + fleet.now, fleet.address("n0"), ping)
    assert old.is_superseded
    assert old.tick(old.next_due, WALL_START_US + old.next_due).datagrams == []


def record_of(fleet: SimulatedFleet, by: str, name: str) -> MemberRecord:
    return fleet.members[by].table.entries[name].record


@pytest.mark.parametrize("duration_s", [4, 20])
def test_each_side_of_a_partition_settles_and_all_agree_once_it_heals(duration_s: int) -> None:
    fleet = SimulatedFleet(10, seed=5)
    fleet.until(fleet.agree, 20 * S)
    side = {f"n{number}" for number in range(5)}
    fleet.cut = lambda source, target: (source in side) != (target in side)
    fleet.run(duration_s * S)
    if duration_s > 10:
        assert fleet.agree(side) and fleet.agree(set(fleet.members) - side)
        count = fleet.members["n0"].count_members()
        assert (count.min_members, count.max_members) == (5, 5)
    fleet.cut = lambda source, target: False
    assert fleet.until(fleet.agree, 60 * S) < 20 * S


def test_indirect_probes_cover_a_path_that_fails_in_one_direction() -> None:
    fleet = SimulatedFleet(8, seed=2)
    fleet.until(fleet.agree, 20 * S)
    fleet.cut = lambda source, target: (source, target) == ("n1", "n2")
    fleet.run(120 * S)
    assert fleet.declared_dead() == []


@pytest.mark.parametrize(("loss", "max_deaths"), [(0.1, 0), (0.3, 0)])
def test_lost_datagrams_cause_no_false_death(loss: float, max_deaths: int) -> None:
    fleet = SimulatedFleet(8, seed=4, loss=loss)
    fleet.run(240 * S)
    assert len(fleet.declared_dead()) <= max_deaths
    assert all(len(_live_members(fleet, each)) == 8 for each in fleet.members)


def test_a_stopped_member_declares_nobody_dead_after_it_resumes() -> None:
    fleet = SimulatedFleet(8, seed=6)
    fleet.until(fleet.agree, 20 * S)
    fleet.stop("n5")
    fleet.run(2 * S)
    fleet.resume("n5")
    resumed_at = fleet.now
    fleet.until(fleet.agree, 30 * S)
    assert [each for each in fleet.declared_dead() if each[0] >= resumed_at and each[1] == "n5"] == []


# The member stops this long before the suspicion ends: before its next probe interval, and after.
@pytest.mark.parametrize("ahead_ms", [10, 400, 900])
def test_a_stopped_member_restarts_the_timeout_of_a_suspect(ahead_ms: int) -> None:
    fleet = SimulatedFleet(8, seed=6)
    fleet.until(fleet.agree, 20 * S)
    fleet.run(5 * S)
    member = fleet.members["n5"]
    suspect = record_of(fleet, "n5", "n6").observed_as(MemberState.SUSPECT, suspected_by="n1")
    ping = fleet.members["n1"].authenticator.encode(WALL_START_US + fleet.now, Ping(0, 0, (suspect,)))
    member.receive(fleet.now, WALL_START_US + fleet.now, fleet.address("n1"), ping)
    suspicion_ends_at = next(
        at
        for at, timer in member.timers.pending()
        if isinstance(timer, SuspicionTimer) and timer.name == "n6"
    )
    while member.next_due < suspicion_ends_at - ahead_ms * MS:
        member.tick(member.next_due, WALL_START_US + member.next_due)
    # The member was stopped for ten seconds.
    output = member.tick(suspicion_ends_at + 10 * S, WALL_START_US + suspicion_ends_at + 10 * S)
    assert [each.record.state for each in output.events if isinstance(each, MemberChanged)] == []
    assert member.health.score == member.settings.max_health_score


def test_tables_converge_even_if_all_updates_are_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = SimulatedFleet(8, seed=7)
    fleet.until(fleet.agree, 20 * S)
    monkeypatch.setattr(BroadcastQueue, "select", lambda *args, **kwargs: [])
    fleet.kill("n6")
    fleet.start("n6", ["n0"])
    fleet.until(fleet.agree, 60 * S)


def test_a_hint_of_a_drain_reaches_all_members_once() -> None:
    fleet = SimulatedFleet(10, seed=8)
    fleet.until(fleet.agree, 20 * S)
    fleet.members["n3"].broadcast_hint(fleet.now, EndpointHint("s-17", "draining", 41))

    def receivers() -> set[str]:
        return {name for _, name, event in fleet.events if isinstance(event, EndpointHint)}

    assert fleet.until(lambda: len(receivers()) == 9, 20 * S) < 5 * S
    fleet.run(20 * S)
    assert sum(isinstance(event, EndpointHint) for _, _, event in fleet.events) == 9


def test_metadata_reaches_all_members_at_limited_intervals() -> None:
    fleet = SimulatedFleet(6, seed=9)
    fleet.until(fleet.agree, 20 * S)
    fleet.run(10 * S)
    for step in range(50):
        fleet.members["n1"].set_metadata(fleet.now, Metadata("north", step, 7))
        fleet.run(100 * MS)
    fleet.run(15 * S)
    for member in fleet.members.values():
        assert member.table.entries["n1"].record.metadata == Metadata("north", 49, 7)
    assert fleet.members["n1"].record.incarnation < 6


def test_random_bytes_and_malformed_messages_with_a_valid_mac_change_nothing() -> None:
    fleet = SimulatedFleet(4, seed=10)
    fleet.until(fleet.agree, 20 * S)
    member, rng = fleet.members["n0"], random.Random(11)
    misbehaving_member = DatagramAuthenticator("liar", WALL_START_US, KEYS)
    before = {name: entry.record for name, entry in member.table.entries.items()}
    for _ in range(300):
        member.receive(
            fleet.now, WALL_START_US + fleet.now, fleet.address("n1"), rng.randbytes(rng.randrange(260))
        )
        body: list[object] = rng.choice(
            [[], [1], [1, 2, 3], [0, 0, [[]]], [0, 0, [["n1"]]], [[9, 9, 9], [0] * 16], ["x"]]
        )
        data = misbehaving_member.encode(WALL_START_US + fleet.now, [rng.randrange(8), *body])
        member.receive(fleet.now, WALL_START_US + fleet.now, fleet.address("n1"), data)
    assert {name: entry.record for name, entry in member.table.entries.items()} == before
    assert member.malformed_messages > 100


def test_the_suspicion_timeout_falls_with_confirmations() -> None:
    settings = FleetSettings()
    timeouts = [settings.suspicion_timeout_us(100, confirmed) for confirmed in range(5)]
    assert (
        timeouts == sorted(timeouts, reverse=True)
        and timeouts[0] > 2 * timeouts[3]
        and timeouts[3] == timeouts[4]
    )
    assert settings.suspicion_timeout_us(1000, 0) > settings.suspicion_timeout_us(10, 0)
