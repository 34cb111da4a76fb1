"""Simulated incidents of a small fleet, in memory: the real balancer, simulated servers, roster and clocks.

A run is drawn from a seed and a kind of trouble; its result is the records of its sidecars, as bytes, and the
script.  No sockets, files or real clock.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from micadeck.incidents.archive import Archive, File, FileStatus, assemble
from micadeck.incidents.frames import MAGIC, Encoder, Segment, SegmentError, read
from micadeck.incidents.kinds import Head, Record
from micadeck.incidents.observer import Observer
from micadeck.policy import Balancer, Settings
from micadeck.policy.actions import Action, Cancel, Fail, FetchList, Refuse, Send, SetTimer, WatchEndpoints
from micadeck.policy.events import (
    AttemptEnded,
    Event,
    ListedServer,
    ListKind,
    RequestArrived,
    ServersListed,
    ServerState,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome
from micadeck.policy.statistics import BalancerStatistics

MS = 1_000
S = 1_000_000
BEGIN = 1_700_000_000 * S
DAY_S = 60
TROUBLES = ("crash", "hang", "fails", "zone", "list", "release", "overload", "lag")
QUIET = ("calm", "drain", "restart")  # no incident must be reported
ZONES = ("east", "west", "south")
_WORK_MS = {"check": 40, "amend": 70, "lodge": 100}
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "check", "deadline_us": 3 * S, "aim_us": 750 * MS, "repeat": "safe"},
        {"name": "amend", "deadline_us": 2 * S, "aim_us": 600 * MS, "repeat": "keyed", "memory_us": 2 * S},
        {"name": "lodge", "deadline_us": 4 * S, "aim_us": 1200 * MS, "repeat": "unsafe", "worth": 10.0},
    ],
    "limits": {"max_attempts": 3, "may_cancel": True},
    "rules": {
        "cold_from": 0.3,
        "cold_us": 8 * S,
        "drain_grace_us": 500 * MS,
        "fall_multiple": 3,
        "ask_within_us": 10 * S,
    },
}


@dataclass(frozen=True, slots=True)
class Script:
    """The trouble of a run; times are true seconds since its start."""

    kind: str
    where: str
    onset: float
    end: float


@dataclass(slots=True)
class _Server:
    name: str
    zone: str
    capacity: float
    started_at: int
    state: ServerState = ServerState.READY
    busy: int = 0
    failure: str = ""  # "crash", "hang", "fails"


@dataclass(slots=True)
class Day:
    """The result of a run."""

    script: Script
    sidecars: list[bytes]  # the records of each process
    offset_of: list[Callable[[int], int]] = field(default_factory=list)  # true time to the sidecar's clock

    def archive(self, missing: float = 0.0, seed: int = 0) -> Archive:
        """The archive after losing runs of records and truncating some files."""
        rng = random.Random(seed)
        segments: dict[tuple[str, str, int], Segment] = {}
        files: list[File] = []
        for data in self.sidecars:
            remaining = _without(data, missing, rng)
            try:
                segment = read(remaining)
            except SegmentError:
                continue
            segments[(segment.head.sidecar, segment.head.start, 0)] = segment
        assert not any(file.found is FileStatus.FOREIGN for file in files)
        return Archive(assemble(segments), files)


def _without(data: bytes, part: float, rng: random.Random) -> bytes:
    """Drop some runs of frames and some ends; of some files, all but the head."""
    if part <= 0.0:
        return data
    frames, at = [], len(MAGIC)
    while at < len(data):
        length = int.from_bytes(data[at + 4 : at + 8], "little")
        frames.append(data[at : at + 12 + length])
        at += 12 + length
    kept, number = [frames[0]], 1
    while number < len(frames):
        block = rng.randrange(5, 60)
        if rng.random() >= part:
            kept += frames[number : number + block]
        number += block
    result = MAGIC + b"".join(kept)
    return result[: -rng.randrange(1, 10)] if rng.random() < part and len(kept) > 1 else result


class World:
    """The environment of the sidecars, and the script's effects on it."""

    def __init__(self, seed: int, kind: str, sidecars: int, servers: int, reports: bool = True) -> None:
        self.drawn = random.Random(f"{kind} {seed}")
        self.now = BEGIN
        self.kind = kind
        self._agenda: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.version = 1
        self._names = count()
        self.servers: dict[str, _Server] = {}
        for number in range(servers):
            self._join(ZONES[number % len(ZONES)], cold=False)
        onset = self.drawn.uniform(20, 30)
        self.script = Script(kind, self._where(), onset, onset + self.drawn.uniform(8, 18))
        self.cut: str = ""  # an unreachable zone
        self.surge = 1.0
        self.queue = 5.0  # multiple of its capacity that a server accepts before FULL
        self.slow = 1.0  # factor on the work's time
        self.reports = reports  # whether servers send load reports
        self.list_is_down = False
        self.lagging = -1
        self.sidecars = [_Sidecar(self, number, seed) for number in range(sidecars)]
        self.all_sidecars = list(self.sidecars)

    def _where(self) -> str:
        if self.kind in ("crash", "hang", "fails", "drain"):
            return self.drawn.choice(sorted(self.servers))
        if self.kind == "zone":
            return self.drawn.choice(ZONES)
        return "n1" if self.kind == "lag" else ""

    def _join(self, zone: str, *, cold: bool = True) -> _Server:
        name = f"s-{next(self._names)}"
        started = self.now if cold else self.now - 3_600 * S
        server = self.servers[name] = _Server(name, zone, self.drawn.uniform(4.0, 6.0), started)
        return server

    def between(self, onset: float, end: float) -> None:
        """Set the times of the trouble."""
        self.script = Script(self.script.kind, self.script.where, onset, end)

    def after(self, delay_us: int, work: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (self.now + max(delay_us, 1), next(self._order), work))

    def run(self) -> None:
        for sidecar in self.sidecars:
            sidecar.begin()
        self.after(int(self.script.onset * S), self.trouble)
        self.after(int(self.script.end * S), self._relief)
        self.after(self._pause(), self.churn)
        end = BEGIN + DAY_S * S
        while self._agenda and self._agenda[0][0] <= end:
            self.now, _, work = heapq.heappop(self._agenda)
            work()
        for sidecar in self.sidecars:
            sidecar.write()

    # The script

    def _pause(self) -> int:
        return int(self.drawn.uniform(6, 16) * S)

    def churn(self) -> None:
        """Replace a server now and then, gracefully, as in normal operation."""
        ready = [
            each
            for each in self.servers.values()
            if not each.failure and each.state is ServerState.READY and each.name != self.script.where
        ]
        self._retire(self.drawn.choice(ready))
        self.after(self._pause(), self.churn)

    def _retire(self, server: _Server, successor_fails: bool = False) -> None:
        server.state = ServerState.DRAINING
        successor = self._join(server.zone)
        if successor_fails:
            successor.failure = "fails"
        self.tell(server, successor)

        def remove() -> None:
            server.state = ServerState.REMOVED
            self.tell(server)

        self.after(6 * S, remove)

    def trouble(self) -> None:
        kind, where = self.script.kind, self.script.where
        if kind in ("crash", "hang", "fails"):
            self.servers[where].failure = kind
        elif kind == "drain":
            self._retire(self.servers[where])
        elif kind == "zone":
            self.cut = where
        elif kind == "list":
            self.list_is_down = True
            ready = [each for each in self.servers.values() if each.state is ServerState.READY]
            for each in self.drawn.sample(ready, len(ready) // 3):
                each.failure = "crash"
                each.state = ServerState.REMOVED
                self._join(each.zone)
        elif kind == "release":
            ready = [each for each in self.servers.values() if each.state is ServerState.READY]
            for number, each in enumerate(self.drawn.sample(ready, len(ready) // 2)):
                self.after(number * 300 * MS, lambda each=each: self._retire(each, successor_fails=True))  # type: ignore[misc]
        elif kind == "overload":
            self.surge = 5.0
        elif kind == "lag":
            self.lagging = 1
        elif kind == "restart":
            for sidecar in list(self.sidecars[: len(self.sidecars) // 2]):
                sidecar.kill()

    def _relief(self) -> None:
        self.cut, self.surge, self.slow, self.lagging = "", 1.0, 1.0, -1
        for each in self.servers.values():
            if each.state is not ServerState.REMOVED:
                each.failure = ""
        if self.list_is_down:
            self.list_is_down = False
            for sidecar in self.sidecars:
                sidecar.fetch()

    # The roster

    def listed(self) -> list[ListedServer]:
        return [_line(each) for each in self.servers.values() if each.state is not ServerState.REMOVED]

    def tell(self, *servers: _Server) -> None:
        self.version += 1
        version, lines = self.version, [_line(each) for each in servers]
        for sidecar in self.sidecars:
            sidecar.told(version, lines)

    # The servers

    def work(self, sidecar: _Sidecar, name: str, kind: str, done: Callable[[Outcome, float], None]) -> None:
        server = self.servers[name]
        if self.cut and server.zone == self.cut:
            return
        if server.failure == "crash" or server.state is ServerState.REMOVED:
            self.after(2 * MS, lambda: done(Outcome.CONNECT_FAILED, 0.0))
        elif server.failure == "hang":
            return
        elif server.failure == "fails" and self.drawn.random() < 0.7:
            self.after(4 * MS, lambda: done(Outcome.ERROR, 0.2))
        elif server.busy > self.queue * server.capacity:
            self.after(2 * MS, lambda: done(Outcome.FULL, 1.0))
        else:
            server.busy += 1
            overload = max(server.busy / server.capacity, 1.0)
            took = self.drawn.lognormvariate(0.0, 0.4) * _WORK_MS[kind] * MS * overload * self.slow

            def finish() -> None:
                server.busy -= 1
                done(Outcome.DELIVERED, min(server.busy / server.capacity, 1.0))

            self.after(int(took) + MS, finish)


def _line(server: _Server) -> ListedServer:
    return ListedServer(server.name, zone=server.zone, state=server.state, started_at=server.started_at)


class _Sidecar:
    """A balancer, driven as by the engine, on its own clock."""

    def __init__(self, world: World, number: int, seed: int, start: int = 0) -> None:
        self.world = world
        self.number = number
        drawn = random.Random(f"clock {world.kind} {seed} {number}")
        self._offset = int(drawn.choice([0.0, 0.4, 5.0, 4_000.0, 15_000.0]) * drawn.uniform(-1, 1) * S)
        self._drift = drawn.uniform(-100e-6, 100e-6)
        self._seed, self._start_number = seed, start
        self._balancer = Balancer(
            Settings.from_mapping({**SETTINGS, "zone": ZONES[number % 3]}), seed * 31 + number
        )
        self.start = f"{self.local(world.now):016x}"
        self._observer = Observer(
            self._balancer, self._balancer._context.settings, self, f"n{number}", self.start
        )
        self._encoder = Encoder()
        self.data = b""
        self._requests: dict[int, list[Any]] = {}  # class, attempts' servers, answered
        self._next = count(1)
        self._is_watching = False
        self.is_alive = True
        self.rate = random.Random(f"rate {seed} {number}").uniform(12, 30)
        self._seen = 0

    def local(self, true: int) -> int:
        return int(true + self._offset + self._drift * (true - BEGIN))

    @property
    def _now(self) -> int:
        return self.local(self.world.now)

    # Called by the observer

    def request_id(self, request: int) -> bytes:
        return b"%d-%s-%d" % (self.number, self.start[-4:].encode(), request)

    def statistics(self) -> BalancerStatistics:
        return self._balancer.statistics()

    def begin(self) -> None:
        known = [
            ListedServer(each.server, each.zone, state=each.state, started_at=self._local_start(each))
            for each in self.world.listed()
        ]
        self.put(ServersListed(ListKind.REMEMBERED, known, self.world.version))
        self.fetch()
        self._arrive()
        self._second()

    def _local_start(self, line: ListedServer) -> int | None:
        """The start time on this sidecar's clock: rosters report ages."""
        return self.local(line.started_at) if line.started_at is not None else None

    def put(self, event: Event) -> None:
        for action in self._observer.handle(self._now, event):
            self._do(action)

    def _do(self, action: Action) -> None:
        world = self.world
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                world.after(action.in_us, lambda: self._if_alive(TimerFired(action.token)))
            case Refuse() | Fail():
                held = self._requests.get(action.request)
                if held is not None:
                    held[2] = True
            case Cancel():
                request, attempt = action.request, action.attempt
                world.after(1, lambda: self._done(request, attempt, Outcome.CANCELLED, 0.0))
            case WatchEndpoints(wanted):
                self._is_watching = wanted
                if wanted:
                    self.fetch()
            case FetchList():
                self.fetch()

    def _if_alive(self, event: Event) -> None:
        if self.is_alive:
            self.put(event)

    # The list

    def fetch(self) -> None:
        def answer() -> None:
            if self.world.list_is_down:
                self._if_alive(ServersListed(ListKind.FAILED))
                return
            lines = [self._localized(each) for each in self.world.listed()]
            self._seen = self.world.version
            self._if_alive(ServersListed(ListKind.COMPLETE, lines, self.world.version))

        self.world.after(int(self.world.drawn.uniform(5, 50) * MS), answer)

    def _localized(self, line: ListedServer) -> ListedServer:
        return ListedServer(line.server, line.zone, state=line.state, started_at=self._local_start(line))

    def told(self, version: int, lines: list[ListedServer]) -> None:
        def receive() -> None:
            if not self._is_watching or version <= self._seen:
                return
            if self.world.list_is_down:
                self._if_alive(ServersListed(ListKind.FAILED))
                return
            self._seen = version
            self._if_alive(
                ServersListed(ListKind.CHANGES, [self._localized(each) for each in lines], version)
            )

        self.world.after(int(self.world.drawn.uniform(20, 400) * MS), receive)

    # Requests

    def _arrive(self) -> None:
        if not self.is_alive:
            return
        drawn = self.world.drawn
        kind = drawn.choices(["check", "amend", "lodge"], [5, 3, 2])[0]
        deadline = {"check": 3, "amend": 2, "lodge": 4}[kind] * S
        number = next(self._next)

        def receive() -> None:
            self._requests[number] = [kind, [], False]
            self._if_alive(RequestArrived(number, kind, None, drawn.randrange(1 << 20), deadline))

        # A sidecar that lacks processor time handles every event late.
        self.world.after(self._lag(), receive)
        self.world.after(int(drawn.expovariate(self.rate * self.world.surge) * S), self._arrive)

    def _lag(self) -> int:
        if self.world.lagging != self.number:
            return 1
        return int(self.world.drawn.uniform(0.3, 1.4) * S)

    def _send(self, action: Send) -> None:
        held = self._requests[action.request]
        attempt = len(held[1])
        held[1].append([action.server, self.world.now, False])
        request, until = action.request, action.until

        def done(outcome: Outcome, util: float) -> None:
            self.world.after(self._lag(), lambda: self._done(request, attempt, outcome, util))

        self.world.work(self, action.server, held[0], done)
        wait = max(until - self._now, 1)
        self.world.after(wait, lambda: self._done(request, attempt, Outcome.TIMED_OUT, 0.0))

    def _done(self, request: int, attempt: int, outcome: Outcome, util: float) -> None:
        held = self._requests.get(request)
        if held is None or not self.is_alive or held[1][attempt][2]:
            return
        server, sent_at, _ = held[1][attempt]
        held[1][attempt][2] = True
        if outcome is Outcome.DELIVERED:
            held[2] = True
        has_report = self.world.reports and outcome in (Outcome.DELIVERED, Outcome.ERROR)
        report = {"util": util} if has_report else None
        elapsed = self.world.now - sent_at
        self.put(AttemptEnded(request, attempt, server, outcome, elapsed, held[2], report))
        if held[2] and all(each[2] for each in held[1]):
            self._requests.pop(request, None)

    # Records

    def _second(self) -> None:
        if not self.is_alive:
            return
        self.write()
        self.world.after(S, self._second)

    def write(self) -> None:
        now = self._now
        lag = int(0.9 * S) if self.world.lagging == self.number else 2 * MS
        records: list[Record] = self._observer.take(now, now, lag)
        if not self.data:
            head: list[Record] = self._observer.head(now, now, 0)
            assert isinstance(head[0], Head)
            self.data = MAGIC
            records = [*head, *records]
        self.data += b"".join(map(self._encoder.frame, records))

    def kill(self) -> None:
        """Kill the process and restart it soon."""
        self.is_alive = False
        world = self.world
        world.sidecars.remove(self)
        successor = _Sidecar(world, self.number, self._seed, self._start_number + 1)

        def restart() -> None:
            successor.start = successor._observer._start = f"{successor.local(world.now):016x}"
            world.sidecars.append(successor)
            world.all_sidecars.append(successor)
            successor.begin()

        world.after(int(world.drawn.uniform(1.0, 2.5) * S), restart)


def play(seed: int, kind: str, sidecars: int = 6, servers: int = 7) -> Day:
    """Run one simulation."""
    world = World(seed, kind, sidecars, servers)
    world.run()
    made = world.all_sidecars
    return Day(world.script, [each.data for each in made], [each.local for each in made])
