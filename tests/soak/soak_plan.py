"""What one soak run does: its processes, its load and its faults, all drawn from one seed."""

from __future__ import annotations

import hashlib
import json
import random
from dataclasses import asdict, dataclass, field
from enum import StrEnum, unique
from pathlib import Path

HOST = "127.0.0.1"
KILL_AFTER_LONGEST_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline and this
NEW_CONNECTIONS_S = 0.4  # clients open new connections for so long after SIGTERM
LEAST_REST_S = 0.25  # between two hold-ups of one process


@unique
class Kind(StrEnum):
    """The classes of requests, named by what a second attempt may do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


METHODS = {Kind.SAFE: "GET", Kind.KEYED: "POST", Kind.UNSAFE: "POST"}
DEADLINES_S = {Kind.SAFE: 0.4, Kind.KEYED: 0.6, Kind.UNSAFE: 0.5}
MEMORY_S = 0.8  # servers drop repeats of a keyed request for so long
LONGEST_S = max(DEADLINES_S.values())
REPEATS = {Kind.SAFE: "read_like", Kind.KEYED: "idempotency_key", Kind.UNSAFE: "non_idempotent"}


@unique
class Fault(StrEnum):
    """What can be done to a sidecar, a server, a client or discovery."""

    HANG = "hang"  # servers take requests and answer nothing
    SLOW = "slow"  # servers answer late
    RESET = "reset"  # servers reset connections under requests
    SECOND_ANSWER = "second answer"  # servers send a second answer behind some
    DRAIN = "drain"  # discovery says that a server drains, later that it is back
    RELOAD = "reload"  # SIGHUP in series
    RESTART = "restart"  # SIGTERM in series, SIGKILL, a new process
    HOLD_UP = "hold-up"  # SIGSTOP for at most 0.15 s, many times
    SILENT_DISCOVERY = "silent discovery"  # open watches fall silent
    LEAVE = "leave"  # clients close their connections early
    CROWD = "crowd"  # idle clients connect and say nothing
    NONSENSE = "nonsense"  # clients that send what is no request
    CLOCK_STEP = "clock step"  # the wall clock of the sidecars is stepped
    ACCEPT_ERRORS = "accept errors"  # accept fails now and then
    EARLY_SIGNALS = "early signals"  # SIGHUP in the first moments of a start
    ENDLESS_ANSWER = "endless answer"  # servers give some answers whose heads or bodies' framing never end
    HEADER_FLOOD = "header flood"  # clients send thousands of headers, or bodies by half, and stay


FOR_MEMORY = (
    Fault.ENDLESS_ANSWER,
    Fault.HEADER_FLOOD,
)  # drawn apart: the other faults of a seed stay as they were
SHARED_ROOM = (Fault.CROWD, Fault.NONSENSE, Fault.HEADER_FLOOD)  # a client may find none left


@dataclass(frozen=True, slots=True)
class Event:
    """One fault: its kind, the number of a sidecar or server (-1: all), from and to, and a figure."""

    fault: Fault
    target: int
    begins_s: float
    ends_s: float
    figure: float = 0.0


@dataclass(slots=True)
class Plan:
    """One run. Times are seconds from its start."""

    seed: int
    sidecars: int
    server_processes: int
    servers_each: int
    client_processes: int
    duration_s: float
    requests_per_s: float  # to each sidecar
    events: list[Event] = field(default_factory=list)

    @property
    def servers(self) -> int:
        return self.server_processes * self.servers_each

    def of(self, *faults: Fault) -> list[Event]:
        return [each for each in self.events if each.fault in faults]

    def save(self, path: Path) -> None:
        path.write_text(json.dumps(asdict(self)))

    @classmethod
    def load(cls, path: Path) -> Plan:
        given = json.loads(path.read_text())
        events = [Event(**{**each, "fault": Fault(each["fault"])}) for each in given.pop("events")]
        return cls(**given, events=events)


def draw_plan(seed: int, duration_s: float = 8.0, only: frozenset[Fault] | None = None) -> Plan:
    """Draw a run; with `only`, of these kinds of fault alone."""
    drawn = random.Random(f"soak {seed}")
    plan = Plan(
        seed=seed,
        sidecars=drawn.randint(4, 8),
        server_processes=2,
        servers_each=drawn.randint(3, 5),
        client_processes=drawn.randint(2, 4),
        duration_s=duration_s,
        requests_per_s=drawn.uniform(60.0, 240.0),
    )
    kinds = [each for each in Fault if each not in FOR_MEMORY and (only is None or each in only)]
    chosen = kinds if only is not None else drawn.sample(kinds, k=max(len(kinds) * 2 // 3, 1))
    for kind in chosen:
        plan.events += _draw_events(kind, plan, drawn)
    drawn = random.Random(f"soak memory {seed}")
    for kind in FOR_MEMORY:
        if only is None or kind in only:
            plan.events += _draw_events(kind, plan, drawn)
    plan.events.sort(key=lambda each: each.begins_s)
    return plan


def _draw_events(kind: Fault, plan: Plan, drawn: random.Random) -> list[Event]:
    """The events of one kind of fault."""
    last_s = plan.duration_s - 1.0
    events = []
    if kind in (Fault.HANG, Fault.SLOW, Fault.RESET, Fault.ENDLESS_ANSWER):
        for server in drawn.sample(range(plan.servers), k=max(plan.servers // 3, 1)):
            begins_s = drawn.uniform(0.5, last_s)
            events.append(
                Event(kind, server, begins_s, begins_s + drawn.uniform(0.5, 3.0), drawn.uniform(0.1, 0.4))
            )
    elif kind is Fault.SECOND_ANSWER:
        events.append(Event(kind, -1, 0.0, plan.duration_s, drawn.uniform(0.01, 0.05)))
    elif kind is Fault.DRAIN:
        for server in drawn.sample(range(plan.servers), k=max(plan.servers // 4, 1)):
            begins_s = drawn.uniform(1.0, last_s)
            events.append(Event(kind, server, begins_s, begins_s + drawn.uniform(1.0, 4.0)))
    elif kind in (Fault.RELOAD, Fault.RESTART):
        for sidecar in range(plan.sidecars):
            if drawn.random() < 0.7:
                begins_s = drawn.uniform(1.0, last_s - 1.0)
                events.append(Event(kind, sidecar, begins_s, begins_s + 1.0, drawn.randint(1, 4)))
    elif kind is Fault.HOLD_UP:
        for sidecar in range(plan.sidecars):
            at_s = drawn.uniform(0.5, 1.5)
            while at_s < plan.duration_s + LONGEST_S + KILL_AFTER_LONGEST_S:
                length_s = drawn.uniform(0.01, 0.15)
                events.append(Event(kind, sidecar, at_s, at_s + length_s))
                at_s += length_s + drawn.uniform(LEAST_REST_S, 1.0)
    elif kind in (Fault.SILENT_DISCOVERY, Fault.CLOCK_STEP):
        for _ in range(2):
            at_s = drawn.uniform(0.5, last_s)
            figure = drawn.choice([-3600.0, -5.0, -0.1, 0.1, 5.0, 3600.0])
            events.append(Event(kind, -1, at_s, at_s, figure))
    elif kind in SHARED_ROOM:
        begins_s = drawn.uniform(0.5, last_s)
        ends_s = begins_s + drawn.uniform(1.0, 4.0)
        events.append(Event(kind, drawn.randrange(plan.sidecars), begins_s, ends_s, drawn.randint(20, 160)))
    elif kind is Fault.LEAVE:
        events.append(Event(kind, -1, 0.0, plan.duration_s, drawn.uniform(0.05, 0.2)))
    elif kind in (Fault.ACCEPT_ERRORS, Fault.EARLY_SIGNALS):
        events.append(Event(kind, -1, 0.0, plan.duration_s, drawn.uniform(0.05, 0.3)))
    return events


def body_of(ident: str, pieces: int) -> bytes:
    """The one body that servers make for a request; it tells its own length."""
    piece = hashlib.blake2b(ident.encode(), digest_size=24).hexdigest()
    return f"{ident}:{pieces}:".encode() + piece.encode() * pieces


def is_body_of(ident: str, body: bytes) -> bool:
    """Whether it is whole and that of this request."""
    name, _, rest = body.partition(b":")
    count, _, _ = rest.partition(b":")
    return name == ident.encode() and count.isdigit() and body == body_of(ident, int(count))
