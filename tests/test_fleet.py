"""Membership of the fleet: agreement despite lost datagrams, failed members and partitions."""

from __future__ import annotations

import random

import msgspec
import pytest
from fleet_stage import KEYS, MS, WALL, FleetStage, S

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
def test_tables_with_the_same_records_are_equal_whatever_their_order_and_number(seed: int) -> None:
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


def test_a_removed_member_is_not_brought_back_by_a_late_update() -> None:
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


def test_a_death_goes_ahead_of_many_joins() -> None:
    queue = BroadcastQueue()
    for number in range(200):
        queue.enqueue(f"n{number}", hint(f"n{number}"), expires_at=100)
    queue.enqueue("dead", hint("dead"), expires_at=100, urgent=True)
    batches = [selected(queue, 0, 90, 5) for _ in range(6)]
    assert [each[0] for each in batches] == ["dead"] * 5 + [batches[5][0]] and batches[5][0] != "dead"


# Datagrams


def authenticator(name: str = "n1", start: int = 1, keys: Keys = KEYS) -> DatagramAuthenticator:
    return DatagramAuthenticator(name, start, keys)


def test_each_invalid_datagram_is_counted_by_its_reason_and_changes_nothing() -> None:
    old, new = (1, b"o" * 16), (2, b"n" * 16)
    reader, writer = authenticator("n0"), authenticator()
    good = writer.encode(WALL, ["x"])
    assert reader.decode(WALL, good) == ("n1", ["x"])
    for data, why in (
        (good, DropReason.REPLAYED),
        (b"", DropReason.MALFORMED),
        (good[:20], DropReason.BAD_MAC),
        (good + b"x" * 250, DropReason.MALFORMED),
        (b"\x09" + good[1:], DropReason.UNKNOWN_VERSION),
        (authenticator("n2", 1, Keys((new,))).encode(WALL, []), DropReason.UNKNOWN_KEY),
        (authenticator("n2", 1, Keys((old,))).encode(WALL, []), DropReason.BAD_MAC),
        (authenticator("n2").encode(WALL - 100 * S, []), DropReason.EXPIRED),
    ):
        before = reader.dropped[why]
        assert reader.decode(WALL, data) is None and reader.dropped[why] == before + 1
    for at in range(len(good)):
        assert reader.decode(WALL, good[:at] + bytes((good[at] ^ 1,)) + good[at + 1 :]) is None
    restarted = authenticator("n1", 2)
    assert reader.decode(WALL, restarted.encode(WALL, [])) is not None
    assert reader.decode(WALL, writer.encode(WALL, [])) is None and reader.dropped[DropReason.SUPERSEDED] == 1


def test_numbers_out_of_order_count_once_each() -> None:
    reader, writer = authenticator("n0"), authenticator()
    made = [writer.encode(WALL, [at]) for at in range(80)]
    random.Random(1).shuffle(made)
    taken = [each for each in made if reader.decode(WALL, each)]
    assert len(taken) > 60 and not any(reader.decode(WALL, each) for each in made[-1:] + taken)


def test_keys_change_without_a_gap_and_stand_in_no_text() -> None:
    old, new = (1, b"o" * 16), (2, b"n" * 16)
    one, other = authenticator("n1", 1, Keys((old,))), authenticator("n2", 1, Keys((old,)))
    for step in (
        (one, (old, new)),
        (other, (old, new)),
        (one, (new, old)),
        (other, (new, old)),
        (one, (new,)),
    ):
        step[0].set_keys(Keys(step[1]))
        assert one.decode(WALL, other.encode(WALL, [])) and other.decode(WALL, one.encode(WALL, []))
    assert "ooo" not in repr(Keys((old, new)))
    for bad in ((), (old, old), ((256, b"o" * 16),), ((1, b"short"),)):
        with pytest.raises(ValueError, match="keys"):
            Keys(bad)


# Fleets


def test_all_join_through_one_and_each_agrees_on_the_count() -> None:
    stage = FleetStage(12)
    assert stage.until(stage.agree, 20 * S) < 8 * S
    for member in stage.members.values():
        assert (member.count_members().min_members, member.count_members().max_members) == (12, 12)
    sent = sum(stage.sent.values())
    stage.run(60 * S)
    assert (sum(stage.sent.values()) - sent) / 60 / 12 < 4.2  # a second and member, whatever the size
    assert stage.declared_dead() == []


def test_a_killed_member_is_removed_everywhere_and_back_under_its_name_at_once() -> None:
    stage = FleetStage(8)
    stage.until(stage.agree, 20 * S)
    stage.run(5 * S)
    stage.kill("n4")
    assert stage.until(lambda: "n4" not in _there(stage, "n0") and stage.agree(), 20 * S) < 8 * S
    stage.start("n4", ["n0"])
    assert stage.until(stage.agree, 20 * S) < 8 * S


def _there(stage: FleetStage, name: str) -> set[str]:
    table = stage.members[name].table
    return {each for each, entry in table.entries.items() if entry.record.is_live}


def test_a_third_killed_at_once_and_back_under_the_same_names() -> None:
    stage = FleetStage(12, seed=3)
    stage.until(stage.agree, 20 * S)
    for number in range(4):
        stage.kill(f"n{number}")
    stage.run(300 * MS)
    for number in range(4):
        stage.start(f"n{number}", ["n8"])
    assert stage.until(stage.agree, 30 * S) < 15 * S
    starts = {name: stage.members[name].table.entries["n1"].record.start_us for name in stage.members}
    assert set(starts.values()) == {stage.members["n1"].authenticator.start_us}


def test_a_member_that_leaves_is_removed_at_once_and_never_declared_dead() -> None:
    stage = FleetStage(8)
    stage.until(stage.agree, 20 * S)
    stage.leave("n3")
    assert stage.until(lambda: all("n3" not in _there(stage, each) for each in stage.members), 9 * S) < 3 * S
    stage.run(10 * S)
    assert stage.declared_dead() == []
    assert stage.members["n0"].count_members().max_members == 7


def test_a_restart_by_a_clock_that_was_set_back_is_the_later_process_all_the_same() -> None:
    stage = FleetStage(6)
    stage.until(stage.agree, 20 * S)
    stage.run(5 * S)
    stage.kill("n2")
    stage.start("n2", ["n0"], ahead_us=-30 * S)
    stage.until(stage.agree, 30 * S)


def test_of_two_processes_under_one_name_the_later_is_the_member() -> None:
    stage = FleetStage(6)
    stage.until(stage.agree, 20 * S)
    old = stage.members["n2"]
    stage.start("n2", ["n0"])
    stage.until(stage.agree, 20 * S)
    # An update reaches the old one, which still runs.
    ping = stage.members["n0"].authenticator.encode(
        WALL + stage.now, Ping(0, 0, (record_of(stage, "n0", "n2"),))
    )
    old.receive(stage.now, WALL + stage.now, stage.address("n0"), ping)
    assert old.is_superseded
    assert old.tick(old.next_due, WALL + old.next_due).datagrams == []


def record_of(stage: FleetStage, by: str, name: str) -> MemberRecord:
    return stage.members[by].table.entries[name].record


@pytest.mark.parametrize("span_s", [4, 20])
def test_each_side_of_a_partition_settles_and_all_agree_once_it_heals(span_s: int) -> None:
    stage = FleetStage(10, seed=5)
    stage.until(stage.agree, 20 * S)
    side = {f"n{number}" for number in range(5)}
    stage.cut = lambda source, target: (source in side) != (target in side)
    stage.run(span_s * S)
    if span_s > 10:
        assert stage.agree(side) and stage.agree(set(stage.members) - side)
        count = stage.members["n0"].count_members()
        assert (count.min_members, count.max_members) == (5, 5)
    stage.cut = lambda source, target: False
    assert stage.until(stage.agree, 60 * S) < 20 * S


def test_indirect_probes_cover_a_path_that_loses_one_way() -> None:
    stage = FleetStage(8, seed=2)
    stage.until(stage.agree, 20 * S)
    stage.cut = lambda source, target: (source, target) == ("n1", "n2")
    stage.run(120 * S)
    assert stage.declared_dead() == []


@pytest.mark.parametrize(("loss", "max_deaths"), [(0.1, 0), (0.3, 0)])
def test_lost_datagrams_cause_no_false_death(loss: float, max_deaths: int) -> None:
    stage = FleetStage(8, seed=4, loss=loss)
    stage.run(240 * S)
    assert len(stage.declared_dead()) <= max_deaths
    assert all(len(_there(stage, each)) == 8 for each in stage.members)


def test_a_stopped_member_declares_nobody_dead_and_recovers_soon() -> None:
    stage = FleetStage(8, seed=6)
    stage.until(stage.agree, 20 * S)
    stage.stop("n5")
    stage.run(2 * S)
    stage.resume("n5")
    woke = stage.now
    stage.until(stage.agree, 30 * S)
    assert [each for each in stage.declared_dead() if each[0] >= woke and each[1] == "n5"] == []


@pytest.mark.parametrize("ahead_ms", [10, 400, 900])  # of its end: before the member's next period, and after
def test_a_stopped_member_gives_a_suspect_its_full_time_again(ahead_ms: int) -> None:
    stage = FleetStage(8, seed=6)
    stage.until(stage.agree, 20 * S)
    stage.run(5 * S)
    member = stage.members["n5"]
    suspect = record_of(stage, "n5", "n6").observed_as(MemberState.SUSPECT, suspected_by="n1")
    ping = stage.members["n1"].authenticator.encode(WALL + stage.now, Ping(0, 0, (suspect,)))
    member.receive(stage.now, WALL + stage.now, stage.address("n1"), ping)
    ends = next(
        at
        for at, timer in member.timers.pending()
        if isinstance(timer, SuspicionTimer) and timer.name == "n6"
    )
    while member.next_due < ends - ahead_ms * MS:
        member.tick(member.next_due, WALL + member.next_due)
    # It was stopped for ten seconds.
    woke = member.tick(ends + 10 * S, WALL + ends + 10 * S)
    assert [each.record.state for each in woke.events if isinstance(each, MemberChanged)] == []
    assert member.health.score == member.settings.max_health_score


def test_tables_converge_even_if_all_updates_are_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = FleetStage(8, seed=7)
    stage.until(stage.agree, 20 * S)
    monkeypatch.setattr(BroadcastQueue, "select", lambda *given, **how: [])
    stage.kill("n6")
    stage.start("n6", ["n0"])
    stage.until(stage.agree, 60 * S)


def test_a_hint_of_a_drain_reaches_all_members_once() -> None:
    stage = FleetStage(10, seed=8)
    stage.until(stage.agree, 20 * S)
    stage.members["n3"].broadcast_hint(stage.now, EndpointHint("s-17", "draining", 41))

    def receivers() -> set[str]:
        return {name for _, name, event in stage.events if isinstance(event, EndpointHint)}

    assert stage.until(lambda: len(receivers()) == 9, 20 * S) < 5 * S
    stage.run(20 * S)
    assert sum(isinstance(event, EndpointHint) for _, _, event in stage.events) == 9


def test_metadata_reaches_all_members_at_limited_intervals() -> None:
    stage = FleetStage(6, seed=9)
    stage.until(stage.agree, 20 * S)
    stage.run(10 * S)
    for step in range(50):
        stage.members["n1"].set_metadata(stage.now, Metadata("north", step, 7))
        stage.run(100 * MS)
    stage.run(15 * S)
    for member in stage.members.values():
        assert member.table.entries["n1"].record.metadata == Metadata("north", 49, 7)
    assert stage.members["n1"].record.incarnation < 6


def test_random_bytes_and_malformed_messages_with_a_valid_mac_change_nothing() -> None:
    stage = FleetStage(4, seed=10)
    stage.until(stage.agree, 20 * S)
    member, rng = stage.members["n0"], random.Random(11)
    liar = DatagramAuthenticator("liar", WALL, KEYS)
    before = {name: entry.record for name, entry in member.table.entries.items()}
    for _ in range(300):
        member.receive(stage.now, WALL + stage.now, stage.address("n1"), rng.randbytes(rng.randrange(260)))
        body: list[object] = rng.choice(
            [[], [1], [1, 2, 3], [0, 0, [[]]], [0, 0, [["n1"]]], [[9, 9, 9], [0] * 16], ["x"]]
        )
        data = liar.encode(WALL + stage.now, [rng.randrange(8), *body])
        member.receive(stage.now, WALL + stage.now, stage.address("n1"), data)
    assert {name: entry.record for name, entry in member.table.entries.items()} == before
    assert member.malformed_messages > 100


def test_suspicions_end_sooner_the_more_suspect() -> None:
    settings = FleetSettings()
    waits = [settings.suspicion_timeout_us(100, confirmed) for confirmed in range(5)]
    assert waits == sorted(waits, reverse=True) and waits[0] > 2 * waits[3] and waits[3] == waits[4]
    assert settings.suspicion_timeout_us(1000, 0) > settings.suspicion_timeout_us(10, 0)
