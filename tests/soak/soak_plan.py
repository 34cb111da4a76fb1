"""The plan of a soak run: processes, load and faults, all drawn from one seed."""

from __future__ import annotations

import hashlib
import json
import random
from dataclasses import asdict, dataclass, field
from enum import StrEnum, unique
from pathlib import Path

HOST = "127.0.0.1"
KILL_MARGIN_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline plus this
CONNECT_AFTER_TERM_S = 0.4  # clients open new connections for this long after SIGTERM
MIN_PAUSE_SPACING_S = 0.25  # between two pauses of one process


@unique
class Kind(StrEnum):
    """The classes of requests, named by their idempotency."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


METHODS = {Kind.SAFE: "GET", Kind.KEYED: "POST", Kind.UNSAFE: "POST"}
DEADLINES_S = {Kind.SAFE: 0.4, Kind.KEYED: 0.6, Kind.UNSAFE: 0.5}
DEDUPLICATION_WINDOW_S = 0.8  # servers deduplicate a keyed request for this long
MAX_DEADLINE_S = max(DEADLINES_S.values())
IDEMPOTENCY = {Kind.SAFE: "read_like", Kind.KEYED: "idempotency_key", Kind.UNSAFE: "non_idempotent"}


@unique
class Fault(StrEnum):
    """A kind of fault of a sidecar, a server, a client or discovery."""

    HANG = "hang"  # servers accept requests and never answer
    SLOW = "slow"  # servers answer late
    RESET = "reset"  # servers reset connections with open requests
    SECOND_RESPONSE = "second answer"  # servers send a second response after some responses
    DRAIN = "drain"  # discovery lists a server as draining, later as active again
    RELOAD = "reload"  # several SIGHUPs
    RESTART = "restart"  # several SIGTERMs, SIGKILL, a new process
    PAUSE = "hold-up"  # repeated SIGSTOP for at most 0.15 s
    SILENT_DISCOVERY = "silent discovery"  # open watches send nothing more
    DISCONNECT = "leave"  # clients close their connections early
    IDLE_CONNECTIONS = "crowd"  # idle clients connect and send nothing
    MALFORMED_REQUESTS = "nonsense"  # clients send malformed requests
    CLOCK_STEP = "clock step"  # the wall clock of the sidecars is stepped
    ACCEPT_ERRORS = "accept errors"  # accept fails intermittently
    EARLY_SIGNALS = "early signals"  # SIGHUP during startup
    ENDLESS_RESPONSE = "endless answer"  # some responses have a head or body framing that never ends
    HEADER_FLOOD = "header flood"  # clients send thousands of headers or half a body, and stay connected
    PAUSING_RESPONSE = "pausing answer"  # servers pause amid some responses
    STUCK_READING = "stuck reading"  # some requests are large, and servers stop reading some of these
    SMALL_MEMORY = "small memory"  # of the sidecars
    SMALL_BUFFERS = "small buffers"  # of the kernel, for what the sidecars write


# Drawn from a generator of their own, so that a seed's other faults stay the same.
MEMORY_FAULTS = (Fault.ENDLESS_RESPONSE, Fault.HEADER_FLOOD)
BODY_FAULTS = (Fault.PAUSING_RESPONSE, Fault.STUCK_READING, Fault.SMALL_MEMORY, Fault.SMALL_BUFFERS)
SMALL_LIMITS_MB = (32, 64)
LARGE_BYTES = 64 << 10  # of a response over this, only the first bytes are bound by the deadline
# These may use up the sidecar's connections.
SERVER_FAULTS = (
    Fault.HANG,
    Fault.SLOW,
    Fault.RESET,
    Fault.ENDLESS_RESPONSE,
    Fault.PAUSING_RESPONSE,
    Fault.STUCK_READING,
)
CONNECTION_FLOODS = (Fault.IDLE_CONNECTIONS, Fault.MALFORMED_REQUESTS, Fault.HEADER_FLOOD)


@dataclass(frozen=True, slots=True)
class Event:
    """One fault: its kind, sidecar or server (-1: all), start, end, and a parameter of the kind."""

    fault: Fault
    target: int
    begins_s: float
    ends_s: float
    figure: float = 0.0


@dataclass(slots=True)
class Plan:
    """One run; times are seconds from its start."""

    seed: int
    sidecars: int
    server_processes: int
    servers_each: int
    client_processes: int
    duration_s: float
    requests_per_s: float  # per sidecar
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
    """Draw a run, with `only` limiting the kinds of fault."""
    rng = random.Random(f"soak {seed}")
    plan = Plan(
        seed=seed,
        sidecars=rng.randint(4, 8),
        server_processes=2,
        servers_each=rng.randint(3, 5),
        client_processes=rng.randint(2, 4),
        duration_s=duration_s,
        requests_per_s=rng.uniform(60.0, 240.0),
    )
    of_own_draw = (*MEMORY_FAULTS, *BODY_FAULTS)
    kinds = [each for each in Fault if each not in of_own_draw and (only is None or each in only)]
    chosen = kinds if only is not None else rng.sample(kinds, k=max(len(kinds) * 2 // 3, 1))
    for kind in chosen:
        plan.events += _draw_events(kind, plan, rng)
    rng = random.Random(f"soak memory {seed}")
    for kind in MEMORY_FAULTS:
        if only is None or kind in only:
            plan.events += _draw_events(kind, plan, rng)
    rng = random.Random(f"soak bodies {seed}")
    for kind in BODY_FAULTS:
        if (rng.random() < 0.6) if only is None else (kind in only):
            plan.events += _draw_events(kind, plan, rng)
    plan.events.sort(key=lambda each: each.begins_s)
    return plan


def _draw_events(kind: Fault, plan: Plan, rng: random.Random) -> list[Event]:
    """The events of one kind of fault."""
    last_s = plan.duration_s - 1.0
    events = []
    if kind is Fault.SMALL_MEMORY:
        events.append(Event(kind, -1, 0.0, plan.duration_s, rng.choice(SMALL_LIMITS_MB)))
    elif kind is Fault.SMALL_BUFFERS:
        events.append(Event(kind, -1, 0.0, plan.duration_s))
    elif kind in SERVER_FAULTS:
        for server in rng.sample(range(plan.servers), k=max(plan.servers // 3, 1)):
            begins_s = rng.uniform(0.5, last_s)
            events.append(
                Event(kind, server, begins_s, begins_s + rng.uniform(0.5, 3.0), rng.uniform(0.1, 0.4))
            )
    elif kind is Fault.SECOND_RESPONSE:
        events.append(Event(kind, -1, 0.0, plan.duration_s, rng.uniform(0.01, 0.05)))
    elif kind is Fault.DRAIN:
        for server in rng.sample(range(plan.servers), k=max(plan.servers // 4, 1)):
            begins_s = rng.uniform(1.0, last_s)
            events.append(Event(kind, server, begins_s, begins_s + rng.uniform(1.0, 4.0)))
    elif kind in (Fault.RELOAD, Fault.RESTART):
        for sidecar in range(plan.sidecars):
            if rng.random() < 0.7:
                begins_s = rng.uniform(1.0, last_s - 1.0)
                events.append(Event(kind, sidecar, begins_s, begins_s + 1.0, rng.randint(1, 4)))
    elif kind is Fault.PAUSE:
        for sidecar in range(plan.sidecars):
            at_s = rng.uniform(0.5, 1.5)
            while at_s < plan.duration_s + MAX_DEADLINE_S + KILL_MARGIN_S:
                length_s = rng.uniform(0.01, 0.15)
                events.append(Event(kind, sidecar, at_s, at_s + length_s))
                at_s += length_s + rng.uniform(MIN_PAUSE_SPACING_S, 1.0)
    elif kind in (Fault.SILENT_DISCOVERY, Fault.CLOCK_STEP):
        for _ in range(2):
            at_s = rng.uniform(0.5, last_s)
            figure = rng.choice([-3600.0, -5.0, -0.1, 0.1, 5.0, 3600.0])
            events.append(Event(kind, -1, at_s, at_s, figure))
    elif kind in CONNECTION_FLOODS:
        begins_s = rng.uniform(0.5, last_s)
        ends_s = begins_s + rng.uniform(1.0, 4.0)
        events.append(Event(kind, rng.randrange(plan.sidecars), begins_s, ends_s, rng.randint(20, 160)))
    elif kind is Fault.DISCONNECT:
        events.append(Event(kind, -1, 0.0, plan.duration_s, rng.uniform(0.05, 0.2)))
    elif kind in (Fault.ACCEPT_ERRORS, Fault.EARLY_SIGNALS):
        events.append(Event(kind, -1, 0.0, plan.duration_s, rng.uniform(0.05, 0.3)))
    return events


def body_of(ident: str, pieces: int) -> bytes:
    """The body that servers send for a request; it contains its piece count."""
    piece = hashlib.blake2b(ident.encode(), digest_size=24).hexdigest()
    return f"{ident}:{pieces}:".encode() + piece.encode() * pieces


def is_body_of(ident: str, body: bytes) -> bool:
    """Whether the body is complete and this request's."""
    name, _, rest = body.partition(b":")
    count, _, _ = rest.partition(b":")
    return name == ident.encode() and count.isdigit() and body == body_of(ident, int(count))
