"""A scenario: the fleet, the clients' load and the faults to inject.

It is drawn from a seed or read from TOML.  All times are seconds of virtual time.
"""

from __future__ import annotations

import random
import re
from enum import Enum, unique
from pathlib import Path

import msgspec

QUIET_S = 3.0  # without faults, at the end: service has to recover
_MAX_FAULTS = 16


@unique
class Kind(Enum):
    """Kinds of faults, and what `target`, `for_s` and `amount` mean for each."""

    CRASH = "crash"  # a server's process is killed, and restarts cold after for_s
    HANG = "hang"  # a server accepts requests and never answers
    SLOW = "slow"  # a server takes amount times as long
    ERRORS = "errors"  # a server answers this share of requests with 500
    SPOIL = "spoil"  # a server answers this share of requests with malformed HTTP
    BREAK = "break"  # this share of a server's streams is reset at a random byte, either way
    CUT = "cut"  # partition of a server and a sidecar; amount 1: towards the server only, 2: back only
    DRAIN = "drain"  # a server is listed as leaving, and restarts cold after for_s
    MOVE = "move"  # a server restarts cold with its id at another address
    LATE_LISTS = "late lists"  # discovery answers amount seconds late
    OLD_LISTS = "old lists"  # discovery serves a stale list
    DOWN = "discovery down"
    SILENT = "silent watches"  # open watches never answer again; amount 1: those of all sidecars
    NEW_DISCOVERY = "new discovery"  # discovery moves: a reload gives the new address, the old one goes down
    KILL = "kill"  # a sidecar is killed, and restarts after for_s with the initial list
    TERM = "term"  # a sidecar gets SIGTERM, and restarts once it has ended
    RELOAD = "reload"  # a sidecar gets SIGHUP with a valid configuration
    BROKEN_FILE = "broken file"  # a sidecar gets SIGHUP with an invalid configuration
    DATAGRAMS = "datagrams"  # datagrams between sidecars are lost, duplicated and delayed
    DESCRIPTORS = "descriptors"  # a sidecar has only amount of them
    SURGE = "surge"  # amount times as many requests
    GIVE_UP = "give up"  # this share of clients disconnects before the answer
    PIECES = "pieces"  # writes arrive in many pieces, and windows are small


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault, its start and its duration."""

    at_s: float
    kind: Kind
    for_s: float = 0.0
    target: int = 0  # number of a server or sidecar
    other: int = 0  # number of the sidecar, for a fault between two hosts
    amount: float = 0.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that a run depends on."""

    seed: int
    sidecars: int = 2
    servers: int = 6
    cells: int = 2
    cores: int = 2  # of a server
    work_ms: float = 20.0  # CPU time of the mean request
    rate: float = 25.0  # requests a second at each sidecar
    length_s: float = 4.0  # before the quiet period
    connections: int = 8  # maximum of a sidecar's clients; further requests wait
    reconnects: bool = False  # whether clients open further connections instead of waiting
    call_us: float = 0.0  # CPU time of a sidecar for each callback; 0: none
    descriptors: int = 200  # of a sidecar
    pushed: bool = False  # whether the roster is an agent of each sidecar that pushes its lists
    consul: bool = False  # whether Consul is the source of servers, not the roster
    ahead_ms: float = 0.0  # how far the second sidecar's wall clock is ahead
    faults: tuple[Fault, ...] = ()
    only: tuple[int, ...] | None = None  # numbers of the orders to send; None: all
    expect: tuple[str, ...] = ()  # the oracles that report a violation, until it is fixed

    @property
    def load(self) -> float:
        """Offered load as a share of the capacity of all servers when warm."""
        return self.sidecars * self.rate * self.work_ms / 1e3 / (self.servers * self.cores)

    @property
    def last_fault_s(self) -> float:
        return max((fault.at_s + fault.for_s for fault in self.faults), default=0.0)

    @property
    def quiet_from_s(self) -> float:
        return max(self.length_s, self.last_fault_s)


def read(path: Path) -> Scenario:
    """Read a scenario file; raise ValueError, naming the key, if it is invalid."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except msgspec.DecodeError as error:
        raise ValueError(f"{path}: {error}") from None


def write(scenario: Scenario, path: Path) -> None:
    """Write a scenario file, without the values that are defaults."""
    values = msgspec.to_builtins(scenario)
    defaults = msgspec.to_builtins(Scenario(0))
    kept = {key: value for key, value in values.items() if key == "seed" or value != defaults[key]}
    fault_defaults = msgspec.to_builtins(Fault(0.0, Kind.CRASH))
    if "faults" in kept:
        kept["faults"] = [
            {
                key: value
                for key, value in fault.items()
                if key in ("at_s", "kind") or value != fault_defaults[key]
            }
            for fault in kept["faults"]
        ]
    text = msgspec.toml.encode(kept).decode()
    # Put the numbers of requests on one line: there may be hundreds.
    text = re.sub(r"\[\n +\d[^\]]*\]", lambda match: re.sub(r"\s+", " ", match[0]).replace(", ]", "]"), text)
    path.write_text(text, encoding="utf-8")


def draw(seed: int) -> Scenario:
    """Draw a seed's scenario by swarm testing: few kinds of faults in each, and their number varies."""
    rng = random.Random(seed)
    servers = rng.randint(3, 8)
    sidecars = rng.choice((1, 2, 2, 3))
    length_s = rng.uniform(2.0, 4.0)
    kinds = rng.sample([kind for kind in Kind if kind is not Kind.SILENT], rng.randint(1, 6))
    count = rng.choice((0, 2, 4, 6, 9, _MAX_FAULTS))
    faults = [_draw_fault(rng, rng.choice(kinds), servers, sidecars, length_s) for _ in range(count)]
    faults = sorted(faults + _draw_silent_watches(seed, sidecars, length_s), key=lambda fault: fault.at_s)
    return Scenario(
        seed=seed,
        sidecars=sidecars,
        servers=servers,
        cells=rng.choice((1, 2)),
        cores=rng.choice((1, 2, 4)),
        work_ms=rng.choice((5.0, 20.0, 40.0)),
        rate=rng.uniform(8.0, 35.0),
        length_s=length_s,
        reconnects=rng.random() < 0.3,
        call_us=rng.choice((0.0, 0.0, 20.0, 100.0)),
        ahead_ms=rng.choice((0.0, 0.0, 30.0, -30.0)),
        consul=rng.random() < 0.2,
        faults=tuple(faults),
    )


_DURATION_S = {Kind.CRASH: (0.1, 1.5), Kind.KILL: (0.05, 0.8), Kind.DRAIN: (0.8, 2.0), Kind.MOVE: (0.0, 0.5)}
_AMOUNT = {
    Kind.SLOW: (2.0, 8.0),
    Kind.ERRORS: (0.1, 1.0),
    Kind.SPOIL: (0.1, 1.0),
    Kind.BREAK: (0.1, 1.0),
    Kind.LATE_LISTS: (0.2, 1.5),
    Kind.SURGE: (2.0, 5.0),
    Kind.GIVE_UP: (0.1, 0.8),
}


def _draw_fault(rng: random.Random, kind: Kind, servers: int, sidecars: int, length_s: float) -> Fault:
    of_sidecar = kind in (
        Kind.KILL, Kind.TERM, Kind.RELOAD, Kind.BROKEN_FILE, Kind.NEW_DISCOVERY, Kind.DESCRIPTORS
    )  # fmt: skip
    amount = rng.uniform(*_AMOUNT.get(kind, (0.0, 0.0)))
    if kind is Kind.CUT:
        amount = float(rng.randrange(3))
    if kind is Kind.DESCRIPTORS:
        amount = float(rng.randint(4, 24))
    return Fault(
        # Rounded, so that several faults often begin at the same instant.
        at_s=round(rng.uniform(0.3, length_s), 1),
        kind=kind,
        for_s=round(rng.uniform(*_DURATION_S.get(kind, (0.2, 1.5))), 1),
        target=rng.randrange(sidecars if of_sidecar else servers),
        other=rng.randrange(sidecars),
        amount=round(amount, 2),
    )


def _draw_silent_watches(seed: int, sidecars: int, length_s: float) -> list[Fault]:
    """Silent watches in a quarter of the runs; a separate generator keeps the other draws unchanged."""
    rng = random.Random(seed * 8 + 5)
    return [
        Fault(
            at_s=round(rng.uniform(0.1, length_s), 1),
            kind=Kind.SILENT,
            target=rng.randrange(sidecars),
            amount=float(rng.random() < 0.4),
        )
        for _ in range(rng.choice((0, 0, 0, 1, 1, 2)) if rng.random() < 0.5 else 0)
    ]


class Order(msgspec.Struct, frozen=True):
    """A client's intention: one request, which it retries after a refusal."""

    number: int
    at_s: float
    sidecar: int
    kind: str  # check, amend, lodge
    draws: tuple[float, float, float]  # its other random choices, from 0 to 1


def orders(scenario: Scenario) -> list[Order]:
    """The orders by time; `only` leaves orders out without a change to the others."""
    rng = random.Random(scenario.seed * 2 + 1)
    surges = [fault for fault in scenario.faults if fault.kind is Kind.SURGE]
    drawn_orders: list[Order] = []
    for sidecar in range(scenario.sidecars):
        at = 0.2
        while True:
            factor = max((s.amount for s in surges if s.at_s <= at < s.at_s + s.for_s), default=1.0)
            at += rng.expovariate(scenario.rate * factor)
            if at >= scenario.quiet_from_s + QUIET_S:
                break
            kind = rng.choices(("check", "amend", "lodge"), (5, 2, 3))[0]
            draws = (rng.random(), rng.random(), rng.random())
            drawn_orders.append(Order(0, at, sidecar, kind, draws))
    drawn_orders.sort(key=lambda order: order.at_s)
    numbered = [msgspec.structs.replace(order, number=number) for number, order in enumerate(drawn_orders)]
    if scenario.only is None:
        return numbered
    kept = set(scenario.only)
    return [order for order in numbered if order.number in kept]
