"""The fleet's view: who is there, though datagrams are lost, members die, and the fleet is cut."""

from __future__ import annotations

import random

import msgspec
import pytest
from fleet_stage import KEYS, MS, WALL, FleetStage, S

from micadeck.fleet import Changed, Claim, Dropped, Facts, Keys, Rumour, Seal, State, View
from micadeck.fleet.broadcast_queue import Gossip
from micadeck.fleet.messages import Ping
from micadeck.fleet.settings import FleetSettings

# Claims


def claims(seed: int, count: int) -> list[Claim]:
    drawn = random.Random(seed)
    return [
        Claim(
            f"n{drawn.randrange(6)}",
            drawn.randrange(3),
            drawn.randrange(3),
            drawn.choice(list(State)),
            "h",
            1,
        )
        for _ in range(count)
    ]


@pytest.mark.parametrize("seed", range(20))
def test_views_that_heard_the_same_in_any_order_and_number_hold_the_same(seed: int) -> None:
    drawn, heard = random.Random(seed), claims(seed, 40)
    views = []
    for _ in range(3):
        view = View()
        for at, claim in enumerate(drawn.sample(heard, len(heard)) + drawn.choices(heard, k=30)):
            view.take(at, claim)
        views.append(view)
    there = [
        {n: (h.claim.start, h.claim.incarnation) for n, h in v.members.items() if h.claim.is_there}
        for v in views
    ]
    assert there[0] == there[1] == there[2]
    assert views[0].digest == views[1].digest == views[2].digest
    for view in views:
        held = [each.claim.state for each in view.members.values()]
        assert view.states == [held.count(state) for state in State]
        assert sum(sum(view.branches((at,))) for at in range(16)) % 2**32 == view.digest % 2**32


def test_one_that_was_forgotten_is_not_brought_back_by_slow_gossip() -> None:
    view = View()
    alive = Claim("n1", 5, 1, State.ALIVE, "h", 1)
    assert view.take(0, alive)
    assert view.take(1, msgspec.structs.replace(alive, state=State.DEAD))
    assert view.forget(60 * S, 50 * S, 600 * S) == ["n1"]
    assert not view.take(61 * S, alive) and "n1" not in view.members
    assert view.take(62 * S, msgspec.structs.replace(alive, start=6, incarnation=0))  # a new process


def test_word_of_a_death_that_comes_before_the_birth_is_kept() -> None:
    view = View()
    assert not view.take(0, Claim("n1", 5, 3, State.DEAD))
    assert not view.take(1, Claim("n1", 5, 2, State.ALIVE, "h", 1))
    assert view.take(2, Claim("n1", 5, 4, State.ALIVE, "h", 1))


def rumour(server: str) -> Rumour:
    return Rumour(server, "x" * 14, 1)


def picked(gossip: Gossip, now: int, room: int, times: int, but: tuple[str, ...] = ()) -> list[str]:
    return [each.server for each in gossip.pick(now, room, times, but) if isinstance(each, Rumour)]


def test_news_told_least_goes_first_and_ends_after_so_many_times() -> None:
    gossip = Gossip()
    for subject in "abc":
        gossip.put(subject, rumour(subject), until=100)
    told = [picked(gossip, 0, 50, 2) for _ in range(4)]
    assert sorted(each for some in told for each in some) == ["a", "a", "b", "b", "c", "c"] and not gossip
    gossip.put("a", rumour("a"), until=100)
    gossip.put("b", rumour("b"), until=5)
    assert picked(gossip, 10, 50, 9, ("c",)) == ["a"]


def test_news_of_a_death_goes_ahead_of_a_flood_of_births() -> None:
    gossip = Gossip()
    for number in range(200):
        gossip.put(f"n{number}", rumour(f"n{number}"), until=100)
    gossip.put("dead", rumour("dead"), until=100, urgent=True)
    told = [picked(gossip, 0, 90, 5) for _ in range(6)]
    assert [each[0] for each in told] == ["dead"] * 5 + [told[5][0]] and told[5][0] != "dead"


# Datagrams


def seal(name: str = "n1", start: int = 1, keys: Keys = KEYS) -> Seal:
    return Seal(name, start, keys)


def test_each_fault_of_a_datagram_is_counted_by_its_reason_and_changes_nothing() -> None:
    old, new = (1, b"o" * 16), (2, b"n" * 16)
    reader, writer = seal("n0"), seal()
    good = writer.make(WALL, ["x"])
    assert reader.read(WALL, good) == ("n1", ["x"])
    for data, why in (
        (good, Dropped.REPLAYED),
        (b"", Dropped.CUT),
        (good[:20], Dropped.FORGED),
        (good + b"x" * 250, Dropped.CUT),
        (b"\x09" + good[1:], Dropped.VERSION),
        (seal("n2", 1, Keys((new,))).make(WALL, []), Dropped.FOREIGN),
        (seal("n2", 1, Keys((old,))).make(WALL, []), Dropped.FORGED),
        (seal("n2").make(WALL - 100 * S, []), Dropped.AGED),
    ):
        before = reader.dropped[why]
        assert reader.read(WALL, data) is None and reader.dropped[why] == before + 1
    for at in range(len(good)):
        assert reader.read(WALL, good[:at] + bytes((good[at] ^ 1,)) + good[at + 1 :]) is None
    assert reader.read(WALL, seal("n1", 2).make(WALL, [])) is not None  # a new process, from number 1
    assert reader.read(WALL, writer.make(WALL, [])) is None and reader.dropped[Dropped.STALE] == 1


def test_numbers_out_of_order_count_once_each() -> None:
    reader, writer = seal("n0"), seal()
    made = [writer.make(WALL, [at]) for at in range(80)]
    random.Random(1).shuffle(made)
    taken = [each for each in made if reader.read(WALL, each)]
    assert len(taken) > 60 and not any(reader.read(WALL, each) for each in made[-1:] + taken)


def test_keys_change_without_a_gap_and_stand_in_no_text() -> None:
    old, new = (1, b"o" * 16), (2, b"n" * 16)
    one, other = seal("n1", 1, Keys((old,))), seal("n2", 1, Keys((old,)))
    for step in (
        (one, (old, new)),
        (other, (old, new)),
        (one, (new, old)),
        (other, (new, old)),
        (one, (new,)),
    ):
        step[0].change(Keys(step[1]))
        assert one.read(WALL, other.make(WALL, [])) and other.read(WALL, one.make(WALL, []))
    assert "ooo" not in repr(Keys((old, new)))
    for bad in ((), (old, old), ((256, b"o" * 16),), ((1, b"short"),)):
        with pytest.raises(ValueError, match="keys"):
            Keys(bad)


# Fleets


def test_all_join_through_one_and_each_agrees_on_the_count() -> None:
    stage = FleetStage(12)
    assert stage.until(stage.agree, 20 * S) < 8 * S
    for member in stage.members.values():
        assert (member.count().least, member.count().most) == (12, 12)
    sent = sum(stage.sent.values())
    stage.run(60 * S)
    assert (sum(stage.sent.values()) - sent) / 60 / 12 < 4.2  # a second and member, whatever the size
    assert stage.said_dead() == []


def test_one_killed_is_gone_from_all_views_and_back_under_its_name_at_once() -> None:
    stage = FleetStage(8)
    stage.until(stage.agree, 20 * S)
    stage.run(5 * S)
    stage.kill("n4")
    assert stage.until(lambda: "n4" not in _there(stage, "n0") and stage.agree(), 20 * S) < 8 * S
    stage.start("n4", ["n0"])
    assert stage.until(stage.agree, 20 * S) < 8 * S


def _there(stage: FleetStage, name: str) -> set[str]:
    view = stage.members[name].view
    return {each for each, held in view.members.items() if held.claim.is_there}


def test_a_third_killed_at_once_and_back_under_the_same_names() -> None:
    stage = FleetStage(12, seed=3)
    stage.until(stage.agree, 20 * S)
    for number in range(4):
        stage.kill(f"n{number}")
    stage.run(300 * MS)
    for number in range(4):
        stage.start(f"n{number}", ["n8"])
    assert stage.until(stage.agree, 30 * S) < 15 * S
    starts = {name: stage.members[name].view.members["n1"].claim.start for name in stage.members}
    assert set(starts.values()) == {stage.members["n1"].seal.start}


def test_one_that_leaves_is_gone_at_once_and_nobody_calls_it_dead() -> None:
    stage = FleetStage(8)
    stage.until(stage.agree, 20 * S)
    stage.leave("n3")
    assert stage.until(lambda: all("n3" not in _there(stage, each) for each in stage.members), 9 * S) < 3 * S
    stage.run(10 * S)
    assert stage.said_dead() == []
    assert stage.members["n0"].count().most == 7


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
    # What reaches the old one, which is still there, tells it so.
    ping = stage.members["n0"].seal.make(WALL + stage.now, Ping(0, 0, (news_of(stage, "n0", "n2"),)))
    old.heard(stage.now, WALL + stage.now, stage.address("n0"), ping)
    assert old.is_superseded
    assert old.tick(old.due, WALL + old.due).datagrams == []


def news_of(stage: FleetStage, by: str, name: str) -> Claim:
    return stage.members[by].view.members[name].claim


@pytest.mark.parametrize("span_s", [4, 20])
def test_each_half_of_a_cut_goes_on_and_on_healing_all_are_there(span_s: int) -> None:
    stage = FleetStage(10, seed=5)
    stage.until(stage.agree, 20 * S)
    half = {f"n{number}" for number in range(5)}
    stage.cut = lambda source, target: (source in half) != (target in half)
    stage.run(span_s * S)
    if span_s > 10:
        assert stage.agree(half) and stage.agree(set(stage.members) - half)
        count = stage.members["n0"].count()
        assert (count.least, count.most) == (5, 5)
    stage.cut = lambda source, target: False
    assert stage.until(stage.agree, 60 * S) < 20 * S


def test_what_one_way_loses_is_heard_through_helpers() -> None:
    stage = FleetStage(8, seed=2)
    stage.until(stage.agree, 20 * S)
    stage.cut = lambda source, target: (source, target) == ("n1", "n2")
    stage.run(120 * S)
    assert stage.said_dead() == []


@pytest.mark.parametrize(("loss", "most"), [(0.1, 0), (0.3, 0)])
def test_lost_datagrams_make_nobody_dead(loss: float, most: int) -> None:
    stage = FleetStage(8, seed=4, loss=loss)
    stage.run(240 * S)
    assert len(stage.said_dead()) <= most
    assert all(len(_there(stage, each)) == 8 for each in stage.members)


def test_a_member_that_stood_still_calls_nobody_dead_and_is_back_soon() -> None:
    stage = FleetStage(8, seed=6)
    stage.until(stage.agree, 20 * S)
    stage.stop("n5")
    stage.run(2 * S)
    stage.go_on("n5")
    woke = stage.now
    stage.until(stage.agree, 30 * S)
    assert [each for each in stage.said_dead() if each[0] >= woke and each[1] == "n5"] == []


@pytest.mark.parametrize("ahead_ms", [10, 400, 900])  # of its end: before the member's next period, and after
def test_a_member_that_stood_still_gives_a_suspect_all_its_time_once_more(ahead_ms: int) -> None:
    stage = FleetStage(8, seed=6)
    stage.until(stage.agree, 20 * S)
    stage.run(5 * S)
    member = stage.members["n5"]
    suspect = news_of(stage, "n5", "n6").said(State.SUSPECT, by="n1")
    ping = stage.members["n1"].seal.make(WALL + stage.now, Ping(0, 0, (suspect,)))
    member.heard(stage.now, WALL + stage.now, stage.address("n1"), ping)
    ends = next(at for at, _, what, about in member._agenda if what == "suspicion" and about[0] == "n6")
    while member.due < ends - ahead_ms * MS:  # it runs until then, alone, and stands still for ten seconds
        member.tick(member.due, WALL + member.due)
    woke = member.tick(ends + 10 * S, WALL + ends + 10 * S)
    assert [each.claim.state for each in woke.events if isinstance(each, Changed)] == []
    assert member.slow == member.settings.slow_most


def test_a_view_settles_even_if_all_news_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = FleetStage(8, seed=7)
    stage.until(stage.agree, 20 * S)
    monkeypatch.setattr(Gossip, "pick", lambda *given, **how: [])
    stage.kill("n6")
    stage.start("n6", ["n0"])
    stage.until(stage.agree, 60 * S)


def test_word_of_a_drain_reaches_all_and_each_hears_it_once() -> None:
    stage = FleetStage(10, seed=8)
    stage.until(stage.agree, 20 * S)
    stage.members["n3"].rumour(stage.now, "s-17", "draining", 41)

    def heard() -> set[str]:
        return {name for _, name, event in stage.events if isinstance(event, Rumour)}

    assert stage.until(lambda: len(heard()) == 9, 20 * S) < 5 * S
    stage.run(20 * S)
    assert sum(isinstance(event, Rumour) for _, _, event in stage.events) == 9


def test_facts_reach_all_a_few_seconds_apart_at_most() -> None:
    stage = FleetStage(6, seed=9)
    stage.until(stage.agree, 20 * S)
    stage.run(10 * S)
    for step in range(50):
        stage.members["n1"].tell(stage.now, Facts("north", step, 7))
        stage.run(100 * MS)
    stage.run(15 * S)
    for member in stage.members.values():
        assert member.view.members["n1"].claim.facts == Facts("north", 49, 7)
    assert stage.members["n1"]._me.incarnation < 6


def test_any_bytes_and_any_sealed_nonsense_change_nothing() -> None:
    stage = FleetStage(4, seed=10)
    stage.until(stage.agree, 20 * S)
    member, drawn = stage.members["n0"], random.Random(11)
    liar = Seal("liar", WALL, KEYS)
    before = {name: held.claim for name, held in member.view.members.items()}
    for _ in range(300):
        member.heard(stage.now, WALL + stage.now, stage.address("n1"), drawn.randbytes(drawn.randrange(260)))
        body: list[object] = drawn.choice(
            [[], [1], [1, 2, 3], [0, 0, [[]]], [0, 0, [["n1"]]], [[9, 9, 9], [0] * 16], ["x"]]
        )
        data = liar.make(WALL + stage.now, [drawn.randrange(8), *body])
        member.heard(stage.now, WALL + stage.now, stage.address("n1"), data)
    assert {name: held.claim for name, held in member.view.members.items()} == before
    assert member.malformed > 100


def test_suspicions_end_sooner_the_more_suspect() -> None:
    settings = FleetSettings()
    waits = [settings.suspicion_us(100, confirmed) for confirmed in range(5)]
    assert waits == sorted(waits, reverse=True) and waits[0] > 2 * waits[3] and waits[3] == waits[4]
    assert settings.suspicion_us(1000, 0) > settings.suspicion_us(10, 0)
