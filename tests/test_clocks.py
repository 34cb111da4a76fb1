"""Clock alignment: true time lies within the interval, with offsets, drift and steps."""

from __future__ import annotations

import random
import time

import pytest

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks, align
from micadeck.incidents.kinds import End, Head, Listed, Message, Record, Span

S = 1_000_000
TRUE_BEGIN = 1_700_000_000 * S


class ClockWorld:
    """Sidecars with offset, drifting clocks and shared events."""

    def __init__(self, seed: int, count: int, max_offset_s: float = 3.0, drift: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.offsets = [int(self.rng.uniform(-max_offset_s, max_offset_s) * S) for _ in range(count)]
        self.drifts = [self.rng.uniform(-drift, drift) for _ in range(count)]
        self.records: list[list[Record]] = [[] for _ in range(count)]

    def local(self, number: int, true: int) -> int:
        return int(true + self.offsets[number] + self.drifts[number] * (true - TRUE_BEGIN))

    def lists(self, seconds: int, every_s: float = 5.0, delays_s: dict[int, float] | None = None) -> None:
        for number, records in enumerate(self.records):
            records.append(Listed(self.local(number, TRUE_BEGIN), 1, "complete", 9))
        version, at = 1, 0.0
        while (at := at + every_s) < seconds:
            version += 1
            for number, records in enumerate(self.records):
                delay_s = self.rng.uniform(0.01, 0.4) + (delays_s or {}).get(number, 0.0)
                received_at = self.local(number, TRUE_BEGIN + int((at + delay_s) * S))
                records.append(Listed(received_at, version, "changes", 1))

    def messages(self, seconds: int, sidecars: range) -> None:
        for second in range(seconds):
            sender, receiver = self.rng.sample(sidecars, 2)
            true = TRUE_BEGIN + second * S
            name = b"%08d" % (second + 1000 * sidecars.start)
            self.records[sender].append(Message(self.local(sender, true), False, name))
            latency_us = int(self.rng.uniform(0.0002, 0.003) * S)
            self.records[receiver].append(Message(self.local(receiver, true + latency_us), True, name))

    def starts(self) -> list[Start]:
        starts = []
        for number, records in enumerate(self.records):
            records.sort(key=lambda record: record.at)
            begin = self.local(number, TRUE_BEGIN)
            head = Head(1, f"n{number}", f"{begin:016x}", 0, begin, begin, [], 0, 0)
            starts.append(Start(head, [head, *records]))
        return starts

    def widest_uncertainty_s(self, clocks: Clocks, seconds: int) -> float:
        """Assert that all intervals contain true time; return the widest, in seconds."""
        widest = 0
        for number in range(len(self.records)):
            for true in range(TRUE_BEGIN, TRUE_BEGIN + seconds * S, 7 * S):
                moment = clocks.to_common(number, self.local(number, true))
                assert moment is not None
                assert abs(moment.at - self.local(clocks.reference, true)) <= moment.uncertainty + 1
                widest = max(widest, moment.uncertainty)
        return widest / S


@pytest.mark.parametrize(
    ("max_offset_s", "drift"), [(2.0, 0.0), (20_000.0, 0.0), (3.0, 200e-6), (20_000.0, 140e-6)]
)
def test_true_time_lies_within_the_uncertainty_interval(max_offset_s: float, drift: float) -> None:
    for seed in range(6):
        world = ClockWorld(seed, 8, max_offset_s, drift / 2)
        world.lists(300)
        world.messages(300, range(8))
        assert world.widest_uncertainty_s(align(world.starts()), 300) < 0.3


def test_endpoint_lists_alone_bound_clocks_by_their_maximum_delay() -> None:
    world = ClockWorld(3, 6, 500.0)
    world.lists(120)
    assert 0.5 < world.widest_uncertainty_s(align(world.starts()), 120) < 2.1


def test_order_is_claimed_only_between_disjoint_intervals() -> None:
    world = ClockWorld(4, 3)
    world.lists(60)
    clocks = align(world.starts())
    one, two = (next(n for n in range(3) if n != clocks.reference and n != skip) for skip in (-1, 1))
    true = TRUE_BEGIN + 30 * S
    first = clocks.to_common(one, world.local(one, true))
    soon = clocks.to_common(two, world.local(two, true + S // 10))
    far = clocks.to_common(two, world.local(two, true + 10 * S))
    assert first is not None and soon is not None and far is not None
    assert not first.is_before(soon) and not soon.is_before(first) and first.is_before(far)


def test_sidecars_without_common_events_are_unlinked() -> None:
    world = ClockWorld(5, 7)
    world.messages(60, range(4))
    world.messages(60, range(4, 7))
    clocks = align(world.starts())
    assert clocks.reference in range(4) and clocks.unlinked == [4, 5, 6]
    assert clocks.to_common(5, TRUE_BEGIN) is None
    alone = align(ClockWorld(1, 1).starts())
    assert alone.to_common(0, 17) is not None and not alone.unlinked
    assert align([]).unlinked == []


def test_a_delayed_list_is_noted_and_shifts_no_clock() -> None:
    world = ClockWorld(6, 6, 900.0)
    world.lists(200, delays_s={2: 0.0})
    world.messages(200, range(6))
    records = world.records[2]
    for number, record in enumerate(records):
        if isinstance(record, Listed) and record.version in (9, 10, 11):
            records[number] = Listed(record.at + 9 * S, record.version, record.kind, record.changed)
    clocks = align(world.starts())
    assert sorted({note.split(" of the list")[0][-2:].strip() for note in clocks.notes}) == ["10", "11", "9"]
    assert all(note.startswith("n2@") for note in clocks.notes)
    world.widest_uncertainty_s(clocks, 200)


def test_a_contradictory_clock_is_excluded_and_the_others_are_aligned() -> None:
    world = ClockWorld(7, 6)
    world.messages(200, range(6))
    messages = [record for record in world.records[3] if isinstance(record, Message)]
    for message in messages[len(messages) // 2 :]:  # the recorder's clock jumps back by a minute
        world.records[3].remove(message)
        world.records[3].append(Message(message.at - 60 * S, message.was_heard, message.name))
    clocks = align(world.starts())
    assert clocks.contradictory == [3] and clocks.to_common(3, TRUE_BEGIN) is None
    for number in (0, 1, 2, 4, 5):
        moment = clocks.to_common(number, world.local(number, TRUE_BEGIN + 50 * S))
        assert moment is not None
        assert abs(moment.at - world.local(clocks.reference, TRUE_BEGIN + 50 * S)) <= moment.uncertainty + 1


def test_a_step_of_the_system_clock_is_noted() -> None:
    world = ClockWorld(8, 2)
    world.lists(20)
    for second in range(20):
        at = world.local(0, TRUE_BEGIN + second * S)
        wall = at + (3_600 * S if second >= 12 else 0)
        world.records[0].append(Span(at - S, at, wall, 0, 0, None, 0.0, None, [], [], 0))
    (note,) = align(world.starts()).notes
    assert "n0@" in note and "stepped by +3600.000 s" in note


def test_a_request_retried_at_another_sidecar_bounds_both_clocks() -> None:
    world = ClockWorld(9, 2)
    world.messages(1, range(2))
    for number, (second, how) in enumerate([(10, "failed"), (12, "served")]):
        at = world.local(number, TRUE_BEGIN + second * S)
        world.records[number].append(End(at, b"id", "look", at - S, how, True, 2))
    for number, (second, how) in ((1, (20, "failed")), (0, (21, "served"))):
        at = world.local(number, TRUE_BEGIN + second * S)
        world.records[number].append(End(at, b"other", "look", at - S, how, True, 2))
    assert world.widest_uncertainty_s(align(world.starts()), 20) < 2.0


def test_an_hour_of_two_hundred_sidecars_is_aligned_in_seconds() -> None:
    world = ClockWorld(10, 200, 5_000.0, 100e-6)
    world.lists(3_600, every_s=30.0)
    began = time.process_time()
    clocks = align(world.starts())
    assert time.process_time() - began < 20.0 and not clocks.unlinked
    assert clocks.to_common(7, world.local(7, TRUE_BEGIN + 1_000 * S)) is not None
