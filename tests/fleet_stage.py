"""A simulated fleet on a virtual clock, with faulty datagrams and with killed or stopped members."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial

from micadeck.fleet import FleetMember, FleetSettings, Keys, MemberChanged, MemberRecord, MemberState, Output
from micadeck.network import Address

S = 1_000_000
MS = 1_000
KEYS = Keys(((1, b"a key of sixteen bytes or more"),))
WALL_START_US = 1_800_000_000 * S


class SimulatedFleet:
    """Simulates members of a fleet; `members` holds the running ones."""

    def __init__(
        self, count: int, seed: int = 1, settings: FleetSettings | None = None, loss: float = 0.0
    ) -> None:
        self.now = 0
        self.rng = random.Random(seed)
        self.settings = settings or FleetSettings()
        self.loss = loss
        self.duplication = 0.0
        self.delay_us = (500, 20_000)
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        self.members: dict[str, FleetMember] = {}
        self.stopped: dict[str, list[tuple[Address, bytes]]] = {}
        self.changes: list[tuple[int, str, MemberChanged]] = []
        self.events: list[tuple[int, str, object]] = []
        self.sent: Counter[str] = Counter()
        self.bytes = 0
        self._queue: list[tuple[int, int, Callable[[], object]]] = []
        self._order = 0
        self._next_ticks: dict[str, int] = {}
        names = [f"n{number}" for number in range(count)]
        for name in names:
            self.start(name, names[:1] if name != names[0] else names[1:2])

    @staticmethod
    def address(name: str) -> Address:
        number = int(name[1:])
        return f"10.0.{number // 250}.{number % 250 + 1}", 9100

    def start(self, name: str, known: Iterable[str], keys: Keys = KEYS, ahead_us: int = 0) -> FleetMember:
        member = FleetMember(
            MemberRecord.of_process(name, WALL_START_US + self.now + ahead_us, self.address(name)), keys,
            self.rng.getrandbits(32), self.settings, self.now,
        )  # fmt: skip
        member.join([self.address(peer) for peer in known])
        self.members[name] = member
        self._schedule_tick(name, member)
        return member

    def kill(self, name: str) -> None:
        del self.members[name]

    def leave(self, name: str) -> None:
        """Announce that the member leaves, and end it, as on SIGTERM."""
        self.apply_output(name, self.members[name].leave(self.now, WALL_START_US + self.now))
        self.kill(name)

    def stop(self, name: str) -> None:
        """Suspend the member as on SIGSTOP: its datagrams are queued in its socket."""
        self.stopped[name] = []

    def resume(self, name: str) -> None:
        queued = self.stopped.pop(name)
        member = self.members[name]
        for source, data in queued:
            self.apply_output(name, member.receive(self.now, WALL_START_US + self.now, source, data))
        self._push(self.now, lambda: self._tick(name, member))

    def run(self, duration_us: int) -> None:
        end_at = self.now + duration_us
        while self._queue and self._queue[0][0] <= end_at:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end_at

    def _tick(self, name: str, member: FleetMember) -> None:
        self._next_ticks.pop(name, None)
        if self.members.get(name) is member and name not in self.stopped:
            if self.now >= member.next_due:
                self.apply_output(name, member.tick(self.now, WALL_START_US + self.now))
            self._schedule_tick(name, member)

    def _deliver(self, name: str, source: Address, data: bytes) -> None:
        if name in self.stopped:
            self.stopped[name].append((source, data))
        elif name in self.members:
            member = self.members[name]
            self.apply_output(name, member.receive(self.now, WALL_START_US + self.now, source, data))
            self._schedule_tick(name, member)

    def call_later(self, delay_us: int, call: Callable[[], object]) -> None:
        self._push(self.now + delay_us, call)

    def until(self, done: Callable[[], bool], within_us: int, check_us: int = 50 * MS) -> int:
        """Run until the condition holds; return the elapsed time."""
        started_at = self.now
        while not done():
            assert self.now - started_at < within_us, "the condition did not hold in time"
            self.run(check_us)
        return self.now - started_at

    def apply_output(self, name: str, output: Output) -> None:
        for event in output.events:
            self.events.append((self.now, name, event))
            if isinstance(event, MemberChanged):
                self.changes.append((self.now, name, event))
        for to, data in output.datagrams:
            assert len(data) <= 256
            self.sent[name] += 1
            self.bytes += len(data)
            target = self._name(to)
            if self.cut(name, target) or self.rng.random() < self.loss:
                continue
            for _ in range(1 + (self.rng.random() < self.duplication)):
                delay = self.rng.randint(*self.delay_us)
                self._push(self.now + delay, partial(self._deliver, target, self.address(name), data))

    @staticmethod
    def _name(address: Address) -> str:
        _, _, high, low = address[0].split(".")
        return f"n{int(high) * 250 + int(low) - 1}"

    def _schedule_tick(self, name: str, member: FleetMember) -> None:
        due = max(member.next_due, self.now)
        scheduled = self._next_ticks.get(name)
        if scheduled is None or scheduled < self.now or due < scheduled:
            self._next_ticks[name] = due
            self._push(due, lambda: self._tick(name, member))

    def _push(self, at: int, call: Callable[[], object]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, call))

    # State of the fleet

    def agree(self, names: Iterable[str] | None = None) -> bool:
        """Return whether these members have settled and know each other and nobody else."""
        wanted = set(names or self.members)
        return all(
            {name for name, entry in self.members[member].table.entries.items() if entry.record.is_live}
            == wanted
            and self.members[member].is_settled
            for member in wanted
        )

    def declared_dead(self) -> list[tuple[int, str, str]]:
        return [
            (at, by, change.record.name)
            for at, by, change in self.changes
            if change.record.state is MemberState.DEAD
        ]
