"""Many clocks made one: the truth lies within the interval that is told, whatever the clocks do."""

from __future__ import annotations

import random
import time

import pytest

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks, align
from micadeck.incidents.kinds import End, Head, Listed, Message, Record, Span

S = 1_000_000
TRUE_BEGIN = 1_700_000_000 * S


class World:
    """Sidecars with clocks that are wrong, and what they have in common."""

    def __init__(self, seed: int, count: int, far_s: float = 3.0, drift: float = 0.0) -> None:
        self.drawn = random.Random(seed)
        self.offsets = [int(self.drawn.uniform(-far_s, far_s) * S) for _ in range(count)]
        self.drifts = [self.drawn.uniform(-drift, drift) for _ in range(count)]
        self.records: list[list[Record]] = [[] for _ in range(count)]

    def local(self, number: int, true: int) -> int:
        return int(true + self.offsets[number] + self.drifts[number] * (true - TRUE_BEGIN))

    def lists(self, seconds: int, every_s: float = 5.0, late: dict[int, float] | None = None) -> None:
        for number, records in enumerate(self.records):
            records.append(Listed(self.local(number, TRUE_BEGIN), 1, "complete", 9))
        version, at = 1, 0.0
        while (at := at + every_s) < seconds:
            version += 1
            for number, records in enumerate(self.records):
                waits = self.drawn.uniform(0.01, 0.4) + (late or {}).get(number, 0.0)
                heard = self.local(number, TRUE_BEGIN + int((at + waits) * S))
                records.append(Listed(heard, version, "changes", 1))

    def messages(self, seconds: int, among: range) -> None:
        for second in range(seconds):
            sender, hearer = self.drawn.sample(among, 2)
            true = TRUE_BEGIN + second * S
            name = b"%08d" % (second + 1000 * among.start)
            self.records[sender].append(Message(self.local(sender, true), False, name))
            took = int(self.drawn.uniform(0.0002, 0.003) * S)
            self.records[hearer].append(Message(self.local(hearer, true + took), True, name))

    def starts(self) -> list[Start]:
        told = []
        for number, records in enumerate(self.records):
            records.sort(key=lambda each: each.at)
            begin = self.local(number, TRUE_BEGIN)
            head = Head(1, f"n{number}", f"{begin:016x}", 0, begin, begin, [], 0, 0)
            told.append(Start(head, [head, *records]))
        return told

    def holds(self, clocks: Clocks, seconds: int) -> float:
        """Whether all intervals hold the truth; the widest doubt, in seconds."""
        widest = 0
        for number in range(len(self.records)):
            for true in range(TRUE_BEGIN, TRUE_BEGIN + seconds * S, 7 * S):
                moment = clocks.to_common(number, self.local(number, true))
                assert moment is not None
                assert abs(moment.at - self.local(clocks.reference, true)) <= moment.uncertainty + 1
                widest = max(widest, moment.uncertainty)
        return widest / S


@pytest.mark.parametrize(("far_s", "drift"), [(2.0, 0.0), (20_000.0, 0.0), (3.0, 200e-6), (20_000.0, 140e-6)])
def test_the_truth_lies_within_the_interval(far_s: float, drift: float) -> None:
    for seed in range(6):
        world = World(seed, 8, far_s, drift / 2)
        world.lists(300)
        world.messages(300, range(8))
        assert world.holds(align(world.starts()), 300) < 0.3


def test_lists_alone_bound_clocks_by_how_late_they_may_come() -> None:
    world = World(3, 6, 500.0)
    world.lists(120)
    assert 0.5 < world.holds(align(world.starts()), 120) < 2.1


def test_order_is_claimed_only_where_intervals_allow_it() -> None:
    world = World(4, 3)
    world.lists(60)
    clocks = align(world.starts())
    one, two = (next(n for n in range(3) if n != clocks.reference and n != skip) for skip in (-1, 1))
    true = TRUE_BEGIN + 30 * S
    first = clocks.to_common(one, world.local(one, true))
    soon = clocks.to_common(two, world.local(two, true + S // 10))
    far = clocks.to_common(two, world.local(two, true + 10 * S))
    assert first is not None and soon is not None and far is not None
    assert not first.is_before(soon) and not soon.is_before(first) and first.is_before(far)


def test_those_that_share_nothing_are_apart() -> None:
    world = World(5, 7)
    world.messages(60, range(4))
    world.messages(60, range(4, 7))
    clocks = align(world.starts())
    assert clocks.reference in range(4) and clocks.unlinked == [4, 5, 6]
    assert clocks.to_common(5, TRUE_BEGIN) is None
    alone = align(World(1, 1).starts())
    assert alone.to_common(0, 17) is not None and not alone.unlinked
    assert align([]).unlinked == []


def test_a_list_that_came_late_is_noticed_and_spoils_nobody_s_clock() -> None:
    world = World(6, 6, 900.0)
    world.lists(200, late={2: 0.0})
    world.messages(200, range(6))
    records = world.records[2]
    for number, each in enumerate(records):
        if isinstance(each, Listed) and each.version in (9, 10, 11):
            records[number] = Listed(each.at + 9 * S, each.version, each.kind, each.changed)
    clocks = align(world.starts())
    assert sorted({note.split(" of the list")[0][-2:].strip() for note in clocks.notes}) == ["10", "11", "9"]
    assert all(note.startswith("n2@") for note in clocks.notes)
    world.holds(clocks, 200)


def test_a_clock_that_contradicts_itself_is_left_out_and_the_rest_stands() -> None:
    world = World(7, 6)
    world.messages(200, range(6))
    steps = [each for each in world.records[3] if isinstance(each, Message)]
    for each in steps[len(steps) // 2 :]:  # a recorder whose clock jumps by a minute, as none should
        world.records[3].remove(each)
        world.records[3].append(Message(each.at - 60 * S, each.was_heard, each.name))
    clocks = align(world.starts())
    assert clocks.contradictory == [3] and clocks.to_common(3, TRUE_BEGIN) is None
    for number in (0, 1, 2, 4, 5):
        moment = clocks.to_common(number, world.local(number, TRUE_BEGIN + 50 * S))
        assert moment is not None
        assert abs(moment.at - world.local(clocks.reference, TRUE_BEGIN + 50 * S)) <= moment.uncertainty + 1


def test_a_step_of_the_system_s_clock_is_noticed() -> None:
    world = World(8, 2)
    world.lists(20)
    for second in range(20):
        at = world.local(0, TRUE_BEGIN + second * S)
        wall = at + (3_600 * S if second >= 12 else 0)
        world.records[0].append(Span(at - S, at, wall, 0, 0, None, 0.0, None, [], [], 0))
    (note,) = align(world.starts()).notes
    assert "n0@" in note and "stepped by +3600.000 s" in note


def test_a_request_that_came_again_elsewhere_orders_two_clocks() -> None:
    world = World(9, 2)
    world.messages(1, range(2))
    for number, (second, how) in enumerate([(10, "failed"), (12, "served")]):
        at = world.local(number, TRUE_BEGIN + second * S)
        world.records[number].append(End(at, b"id", "look", at - S, how, True, 2))
    for number, (second, how) in ((1, (20, "failed")), (0, (21, "served"))):
        at = world.local(number, TRUE_BEGIN + second * S)
        world.records[number].append(End(at, b"other", "look", at - S, how, True, 2))
    assert world.holds(align(world.starts()), 20) < 2.0


def test_an_hour_of_two_hundred_sidecars_is_aligned_in_seconds() -> None:
    world = World(10, 200, 5_000.0, 100e-6)
    world.lists(3_600, every_s=30.0)
    began = time.process_time()
    clocks = align(world.starts())
    assert time.process_time() - began < 20.0 and not clocks.unlinked
    assert clocks.to_common(7, world.local(7, TRUE_BEGIN + 1_000 * S)) is not None
