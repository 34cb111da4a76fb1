"""Simulated incidents of a small fleet, in memory: the real balancer, simulated servers, roster and clocks.

A seed and a kind of incident determine a run; its result is the sidecars' records, as bytes, and the script.
No sockets, files or real clock.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
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

US_PER_MS = 1_000
US_PER_S = 1_000_000
START_US = 1_700_000_000 * US_PER_S
DURATION_S = 60
INCIDENT_KINDS = ("crash", "hang", "fails", "zone", "list", "release", "overload", "lag")
NON_INCIDENT_KINDS = ("calm", "drain", "restart")  # no incident may be reported for these
ZONES = ("east", "west", "south")
_WORK_MS = {"check": 40, "amend": 70, "lodge": 100}
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "check", "deadline_us": 3_000_000, "aim_us": 750_000, "repeat": "safe"},
        {
            "name": "amend",
            "deadline_us": 2_000_000,
            "aim_us": 600_000,
            "repeat": "keyed",
            "memory_us": 2_000_000,
        },
        {"name": "lodge", "deadline_us": 4_000_000, "aim_us": 1_200_000, "repeat": "unsafe", "worth": 10.0},
    ],
    "limits": {"max_attempts": 3, "may_cancel": True},
    "rules": {
        "cold_from": 0.3,
        "cold_us": 8_000_000,
        "drain_grace_us": 500_000,
        "fall_multiple": 3,
        "ask_within_us": 10_000_000,
    },
}


@dataclass(frozen=True, slots=True)
class Script:
    """The incident of a run; times are true, since its start."""

    kind: str
    where: str
    onset_s: float
    end_s: float


@dataclass(slots=True)
class _Server:
    name: str
    zone: str
    capacity: float  # requests in progress from which on it slows down
    started_at: int
    state: ServerState = ServerState.READY
    busy: int = 0  # requests in progress
    failure: str = ""  # "crash", "hang", "fails"


@dataclass(slots=True)
class SimulatedRun:
    """The result of a run."""

    script: Script
    sidecars: list[bytes]  # the records of each process
    to_local_time: list[Callable[[int], int]] = field(default_factory=list)  # from true time, in us

    def archive(self, missing: float = 0.0, seed: int = 0) -> Archive:
        """Return the archive, with some records lost and files cut short."""
        rng = random.Random(seed)
        segments: dict[tuple[str, str, int], Segment] = {}
        files: list[File] = []
        for data in self.sidecars:
            remaining = _without_some(data, missing, rng)
            try:
                segment = read(remaining)
            except SegmentError:
                continue
            segments[(segment.head.sidecar, segment.head.start, 0)] = segment
        assert not any(file.found is FileStatus.FOREIGN for file in files)
        return Archive(assemble(segments), files)


def _without_some(data: bytes, lost_part: float, rng: random.Random) -> bytes:
    """Drop some frames, never the head, and some bytes at the end."""
    if lost_part <= 0.0:
        return data
    frames, offset = [], len(MAGIC)
    while offset < len(data):
        length = int.from_bytes(data[offset + 4 : offset + 8], "little")
        frames.append(data[offset : offset + 12 + length])
        offset += 12 + length
    kept, number = [frames[0]], 1
    while number < len(frames):
        block = rng.randrange(5, 60)
        if rng.random() >= lost_part:
            kept += frames[number : number + block]
        number += block
    result = MAGIC + b"".join(kept)
    return result[: -rng.randrange(1, 10)] if rng.random() < lost_part and len(kept) > 1 else result


class SimulatedFleet:
    """Sidecars, servers and roster in virtual time, with one scripted incident."""

    def __init__(self, seed: int, kind: str, sidecars: int, servers: int, reports: bool = True) -> None:
        self.rng = random.Random(f"{kind} {seed}")
        self.now = START_US
        self.kind = kind
        self._scheduled: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.version = 1
        self._names = count()
        self.servers: dict[str, _Server] = {}
        for number in range(servers):
            self._add_server(ZONES[number % len(ZONES)], cold=False)
        onset_s = self.rng.uniform(20, 30)
        self.script = Script(kind, self._pick_target(), onset_s, onset_s + self.rng.uniform(8, 18))
        self.unreachable_zone: str = ""
        self.arrival_factor = 1.0  # on the rate of requests
        self.queue_factor = 5.0  # a server answers FULL above this multiple of its capacity
        self.work_time_factor = 1.0
        self.reports = reports  # whether servers send load reports
        self.list_is_down = False
        self.lagging_sidecar = -1  # its number; -1: none
        self.sidecars = [_Sidecar(self, number, seed) for number in range(sidecars)]
        self.all_sidecars = list(self.sidecars)  # those killed included

    def _pick_target(self) -> str:
        if self.kind in ("crash", "hang", "fails", "drain"):
            return self.rng.choice(sorted(self.servers))
        if self.kind == "zone":
            return self.rng.choice(ZONES)
        return "n1" if self.kind == "lag" else ""

    def _add_server(self, zone: str, *, cold: bool = True) -> _Server:
        name = f"s-{next(self._names)}"
        started = self.now if cold else self.now - 3_600 * US_PER_S
        server = self.servers[name] = _Server(name, zone, self.rng.uniform(4.0, 6.0), started)
        return server

    def set_incident_times(self, onset_s: float, end_s: float) -> None:
        """Set the times of the incident."""
        self.script = Script(self.script.kind, self.script.where, onset_s, end_s)

    def schedule(self, delay_us: int, work: Callable[[], None]) -> None:
        heapq.heappush(self._scheduled, (self.now + max(delay_us, 1), next(self._order), work))

    def run(self) -> None:
        for sidecar in self.sidecars:
            sidecar.begin()
        self.schedule(int(self.script.onset_s * US_PER_S), self.start_incident)
        self.schedule(int(self.script.end_s * US_PER_S), self._end_incident)
        self.schedule(self._replacement_interval(), self.replace_server)
        end = START_US + DURATION_S * US_PER_S
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, work = heapq.heappop(self._scheduled)
            work()
        for sidecar in self.sidecars:
            sidecar.write()

    # Scripted changes

    def _replacement_interval(self) -> int:
        return int(self.rng.uniform(6, 16) * US_PER_S)

    def replace_server(self) -> None:
        """Drain and replace a random server; repeat this at intervals."""
        ready = [
            server
            for server in self.servers.values()
            if not server.failure and server.state is ServerState.READY and server.name != self.script.where
        ]
        self._replace(self.rng.choice(ready))
        self.schedule(self._replacement_interval(), self.replace_server)

    def _replace(self, server: _Server, successor_fails: bool = False) -> None:
        server.state = ServerState.DRAINING
        successor = self._add_server(server.zone)
        if successor_fails:
            successor.failure = "fails"
        self.push_changes(server, successor)

        def remove() -> None:
            server.state = ServerState.REMOVED
            self.push_changes(server)

        self.schedule(6 * US_PER_S, remove)

    def start_incident(self) -> None:
        kind, where = self.script.kind, self.script.where
        if kind in ("crash", "hang", "fails"):
            self.servers[where].failure = kind
        elif kind == "drain":
            self._replace(self.servers[where])
        elif kind == "zone":
            self.unreachable_zone = where
        elif kind == "list":
            self.list_is_down = True
            ready = [server for server in self.servers.values() if server.state is ServerState.READY]
            for server in self.rng.sample(ready, len(ready) // 3):
                server.failure = "crash"
                server.state = ServerState.REMOVED
                self._add_server(server.zone)
        elif kind == "release":
            ready = [server for server in self.servers.values() if server.state is ServerState.READY]
            for number, server in enumerate(self.rng.sample(ready, len(ready) // 2)):
                replace = partial(self._replace, server, successor_fails=True)
                self.schedule(number * 300 * US_PER_MS, replace)
        elif kind == "overload":
            self.arrival_factor = 5.0
        elif kind == "lag":
            self.lagging_sidecar = 1
        elif kind == "restart":
            for sidecar in list(self.sidecars[: len(self.sidecars) // 2]):
                sidecar.kill()

    def _end_incident(self) -> None:
        self.unreachable_zone, self.lagging_sidecar = "", -1
        self.arrival_factor = self.work_time_factor = 1.0
        for server in self.servers.values():
            if server.state is not ServerState.REMOVED:
                server.failure = ""
        if self.list_is_down:
            self.list_is_down = False
            for sidecar in self.sidecars:
                sidecar.fetch()

    # The roster

    def listed_servers(self) -> list[ListedServer]:
        servers = self.servers.values()
        return [_list_entry(server) for server in servers if server.state is not ServerState.REMOVED]

    def push_changes(self, *servers: _Server) -> None:
        self.version += 1
        version, entries = self.version, [_list_entry(server) for server in servers]
        for sidecar in self.sidecars:
            sidecar.receive_changes(version, entries)

    # The servers

    def work(self, sidecar: _Sidecar, name: str, kind: str, done: Callable[[Outcome, float], None]) -> None:
        server = self.servers[name]
        if self.unreachable_zone and server.zone == self.unreachable_zone:
            return
        if server.failure == "crash" or server.state is ServerState.REMOVED:
            self.schedule(2 * US_PER_MS, lambda: done(Outcome.CONNECT_FAILED, 0.0))
        elif server.failure == "hang":
            return
        elif server.failure == "fails" and self.rng.random() < 0.7:
            self.schedule(4 * US_PER_MS, lambda: done(Outcome.ERROR, 0.2))
        elif server.busy > self.queue_factor * server.capacity:
            self.schedule(2 * US_PER_MS, lambda: done(Outcome.FULL, 1.0))
        else:
            server.busy += 1
            overload = max(server.busy / server.capacity, 1.0)
            work_us = self.rng.lognormvariate(0.0, 0.4) * _WORK_MS[kind] * US_PER_MS
            work_us = work_us * overload * self.work_time_factor

            def finish() -> None:
                server.busy -= 1
                done(Outcome.DELIVERED, min(server.busy / server.capacity, 1.0))

            self.schedule(int(work_us) + US_PER_MS, finish)


def _list_entry(server: _Server) -> ListedServer:
    return ListedServer(server.name, zone=server.zone, state=server.state, started_at=server.started_at)


class _Sidecar:
    """A balancer, driven as by the engine, on its own clock."""

    def __init__(self, fleet: SimulatedFleet, number: int, seed: int, start: int = 0) -> None:
        self.fleet = fleet
        self.number = number
        rng = random.Random(f"clock {fleet.kind} {seed} {number}")
        self._offset = int(rng.choice([0.0, 0.4, 5.0, 4_000.0, 15_000.0]) * rng.uniform(-1, 1) * US_PER_S)
        self._drift = rng.uniform(-100e-6, 100e-6)
        self._seed, self._start_number = seed, start
        settings = Settings.from_mapping({**SETTINGS, "zone": ZONES[number % 3]})
        self._balancer = Balancer(settings, seed * 31 + number)
        self.start = f"{self.local(fleet.now):016x}"
        self._observer = Observer(self._balancer, settings, self, f"n{number}", self.start)
        self._encoder = Encoder()
        self.data = b""
        self._requests: dict[int, list[Any]] = {}  # [class, attempts, is answered]
        self._next = count(1)
        self._watches_list = False
        self.is_alive = True
        self.requests_per_s = random.Random(f"rate {seed} {number}").uniform(12, 30)
        self._list_version = 0

    def local(self, true: int) -> int:
        return int(true + self._offset + self._drift * (true - START_US))

    @property
    def _now(self) -> int:
        return self.local(self.fleet.now)

    # Called by the observer

    def request_id(self, request: int) -> bytes:
        return b"%d-%s-%d" % (self.number, self.start[-4:].encode(), request)

    def statistics(self) -> BalancerStatistics:
        return self._balancer.statistics()

    def begin(self) -> None:
        known = [self._localized(entry) for entry in self.fleet.listed_servers()]
        self.handle(ServersListed(ListKind.REMEMBERED, known, self.fleet.version))
        self.fetch()
        self._arrive()
        self._write_every_second()

    def _local_start(self, entry: ListedServer) -> int | None:
        """The start time on this sidecar's clock: rosters report ages."""
        return self.local(entry.started_at) if entry.started_at is not None else None

    def handle(self, event: Event) -> None:
        for action in self._observer.handle(self._now, event):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        fleet = self.fleet
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                fleet.schedule(action.in_us, lambda: self._if_alive(TimerFired(action.token)))
            case Refuse() | Fail():
                open_request = self._requests.get(action.request)
                if open_request is not None:
                    open_request[2] = True
            case Cancel():
                request, attempt = action.request, action.attempt
                fleet.schedule(1, lambda: self._done(request, attempt, Outcome.CANCELLED, 0.0))
            case WatchEndpoints(wanted):
                self._watches_list = wanted
                if wanted:
                    self.fetch()
            case FetchList():
                self.fetch()

    def _if_alive(self, event: Event) -> None:
        if self.is_alive:
            self.handle(event)

    # The list

    def fetch(self) -> None:
        def answer() -> None:
            if self.fleet.list_is_down:
                self._if_alive(ServersListed(ListKind.FAILED))
                return
            entries = [self._localized(entry) for entry in self.fleet.listed_servers()]
            self._list_version = self.fleet.version
            self._if_alive(ServersListed(ListKind.COMPLETE, entries, self.fleet.version))

        self.fleet.schedule(int(self.fleet.rng.uniform(5, 50) * US_PER_MS), answer)

    def _localized(self, entry: ListedServer) -> ListedServer:
        return ListedServer(entry.server, entry.zone, state=entry.state, started_at=self._local_start(entry))

    def receive_changes(self, version: int, entries: list[ListedServer]) -> None:
        def receive() -> None:
            if not self._watches_list or version <= self._list_version:
                return
            if self.fleet.list_is_down:
                self._if_alive(ServersListed(ListKind.FAILED))
                return
            self._list_version = version
            localized = [self._localized(entry) for entry in entries]
            self._if_alive(ServersListed(ListKind.CHANGES, localized, version))

        self.fleet.schedule(int(self.fleet.rng.uniform(20, 400) * US_PER_MS), receive)

    # Requests

    def _arrive(self) -> None:
        if not self.is_alive:
            return
        rng = self.fleet.rng
        kind = rng.choices(["check", "amend", "lodge"], [5, 3, 2])[0]
        remaining_us = {"check": 3, "amend": 2, "lodge": 4}[kind] * US_PER_S
        number = next(self._next)

        def receive() -> None:
            self._requests[number] = [kind, [], False]
            self._if_alive(RequestArrived(number, kind, None, rng.randrange(1 << 20), remaining_us))

        # A sidecar that lacks processor time handles arrivals and responses late.
        self.fleet.schedule(self._lag(), receive)
        interval_s = rng.expovariate(self.requests_per_s * self.fleet.arrival_factor)
        self.fleet.schedule(int(interval_s * US_PER_S), self._arrive)

    def _lag(self) -> int:
        if self.fleet.lagging_sidecar != self.number:
            return 1
        return int(self.fleet.rng.uniform(0.3, 1.4) * US_PER_S)

    def _send(self, action: Send) -> None:
        service_class, attempts, _ = self._requests[action.request]
        attempt = len(attempts)
        attempts.append([action.server, self.fleet.now, False])  # [server, sent at, has ended]
        request, until = action.request, action.until

        def done(outcome: Outcome, util: float) -> None:
            self.fleet.schedule(self._lag(), lambda: self._done(request, attempt, outcome, util))

        self.fleet.work(self, action.server, service_class, done)
        wait = max(until - self._now, 1)
        self.fleet.schedule(wait, lambda: self._done(request, attempt, Outcome.TIMED_OUT, 0.0))

    def _done(self, request: int, attempt: int, outcome: Outcome, util: float) -> None:
        open_request = self._requests.get(request)
        if open_request is None or not self.is_alive or open_request[1][attempt][2]:
            return
        server, sent_at, _ = open_request[1][attempt]
        open_request[1][attempt][2] = True
        if outcome is Outcome.DELIVERED:
            open_request[2] = True
        has_report = self.fleet.reports and outcome in (Outcome.DELIVERED, Outcome.ERROR)
        report = {"util": util} if has_report else None
        elapsed = self.fleet.now - sent_at
        self.handle(AttemptEnded(request, attempt, server, outcome, elapsed, open_request[2], report))
        if open_request[2] and all(has_ended for _, _, has_ended in open_request[1]):
            self._requests.pop(request, None)

    # Records

    def _write_every_second(self) -> None:
        if not self.is_alive:
            return
        self.write()
        self.fleet.schedule(US_PER_S, self._write_every_second)

    def write(self) -> None:
        now = self._now
        lag = int(0.9 * US_PER_S) if self.fleet.lagging_sidecar == self.number else 2 * US_PER_MS
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
        fleet = self.fleet
        fleet.sidecars.remove(self)
        successor = _Sidecar(fleet, self.number, self._seed, self._start_number + 1)

        def restart() -> None:
            successor.start = successor._observer._start = f"{successor.local(fleet.now):016x}"
            fleet.sidecars.append(successor)
            fleet.all_sidecars.append(successor)
            successor.begin()

        fleet.schedule(int(fleet.rng.uniform(1.0, 2.5) * US_PER_S), restart)


def simulate(seed: int, kind: str, sidecars: int = 6, servers: int = 7) -> SimulatedRun:
    """Run one simulation."""
    fleet = SimulatedFleet(seed, kind, sidecars, servers)
    fleet.run()
    records = [sidecar.data for sidecar in fleet.all_sidecars]
    return SimulatedRun(fleet.script, records, [sidecar.local for sidecar in fleet.all_sidecars])
