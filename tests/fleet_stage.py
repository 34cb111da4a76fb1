"""A fleet on a virtual clock: datagrams delayed, lost, duplicated or cut; members killed or stopped."""

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
WALL = 1_800_000_000 * S


class FleetStage:
    """Plays members; `members` are the ones that run."""

    def __init__(
        self, count: int, seed: int = 1, settings: FleetSettings | None = None, loss: float = 0.0
    ) -> None:
        self.now = 0
        self.rng = random.Random(seed)
        self.settings = settings or FleetSettings()
        self.loss = loss
        self.duplicated = 0.0
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
        self._ticking: dict[str, int] = {}
        names = [f"n{number}" for number in range(count)]
        for name in names:
            self.start(name, names[:1] if name != names[0] else names[1:2])

    @staticmethod
    def address(name: str) -> Address:
        number = int(name[1:])
        return f"10.0.{number // 250}.{number % 250 + 1}", 9100

    def start(self, name: str, known: Iterable[str], keys: Keys = KEYS, ahead_us: int = 0) -> FleetMember:
        member = FleetMember(
            MemberRecord.of_process(name, WALL + self.now + ahead_us, self.address(name)), keys,
            self.rng.getrandbits(32), self.settings, self.now,
        )  # fmt: skip
        member.join([self.address(each) for each in known])
        self.members[name] = member
        self._tick_at(name, member)
        return member

    def kill(self, name: str) -> None:
        del self.members[name]

    def leave(self, name: str) -> None:
        """As SIGTERM: it announces that it leaves, and ends."""
        self.play(name, self.members[name].leave(self.now, WALL + self.now))
        self.kill(name)

    def stop(self, name: str) -> None:
        """As SIGSTOP: datagrams wait in its socket."""
        self.stopped[name] = []

    def resume(self, name: str) -> None:
        waiting = self.stopped.pop(name)
        member = self.members[name]
        for source, data in waiting:
            self.play(name, member.receive(self.now, WALL + self.now, source, data))
        self._push(self.now, lambda: self._tick(name, member))

    def run(self, span_us: int) -> None:
        until = self.now + span_us
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    def _tick(self, name: str, member: FleetMember) -> None:
        self._ticking.pop(name, None)
        if self.members.get(name) is member and name not in self.stopped:
            if self.now >= member.next_due:
                self.play(name, member.tick(self.now, WALL + self.now))
            self._tick_at(name, member)

    def _arrive(self, name: str, source: Address, data: bytes) -> None:
        if name in self.stopped:
            self.stopped[name].append((source, data))
        elif name in self.members:
            member = self.members[name]
            self.play(name, member.receive(self.now, WALL + self.now, source, data))
            self._tick_at(name, member)

    def later(self, wait_us: int, call: Callable[[], object]) -> None:
        self._push(self.now + wait_us, call)

    def until(self, done: Callable[[], bool], within_us: int, check_us: int = 50 * MS) -> int:
        """Run until the condition holds; return how long that took."""
        began = self.now
        while not done():
            assert self.now - began < within_us, "the condition never held"
            self.run(check_us)
        return self.now - began

    def play(self, name: str, output: Output) -> None:
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
            for _ in range(1 + (self.rng.random() < self.duplicated)):
                wait = self.rng.randint(*self.delay_us)
                self._push(self.now + wait, partial(self._arrive, target, self.address(name), data))

    @staticmethod
    def _name(address: Address) -> str:
        _, _, high, low = address[0].split(".")
        return f"n{int(high) * 250 + int(low) - 1}"

    def _tick_at(self, name: str, member: FleetMember) -> None:
        due = max(member.next_due, self.now)
        known = self._ticking.get(name)
        if known is None or known < self.now or due < known:
            self._ticking[name] = due
            self._push(due, lambda: self._tick(name, member))

    def _push(self, at: int, call: Callable[[], object]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (at, self._order, call))

    # Its state

    def agree(self, names: Iterable[str] | None = None) -> bool:
        """Whether the tables of these members have exactly themselves."""
        wanted = set(names or self.members)
        return all(
            {name for name, entry in self.members[each].table.entries.items() if entry.record.is_live}
            == wanted
            and self.members[each].is_settled
            for each in wanted
        )

    def declared_dead(self) -> list[tuple[int, str, str]]:
        return [
            (at, by, each.record.name)
            for at, by, each in self.changes
            if each.record.state is MemberState.DEAD
        ]
