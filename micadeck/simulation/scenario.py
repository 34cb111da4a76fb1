"""A day to play: the fleet, what clients ask, and what goes wrong when.

Drawn from a seed, or written by hand as TOML.  All times are seconds of virtual time.
"""

from __future__ import annotations

import random
import re
from enum import Enum, unique
from pathlib import Path

import msgspec

QUIET_S = 3.0  # after the last fault: then service has to be back
_MOST_FAULTS = 16


@unique
class Kind(Enum):
    """What can go wrong; `target`, `for_s` and `amount` mean what is said here."""

    CRASH = "crash"  # a server's process is killed, and comes back cold after for_s
    HANG = "hang"  # a server takes requests and answers nothing
    SLOW = "slow"  # it takes amount times as long
    ERRORS = "errors"  # it answers so many parts of its requests with 500
    SPOIL = "spoil"  # or with what is no good HTTP
    BREAK = "break"  # streams of a server break at a drawn byte of a request or an answer, so many parts
    CUT = "cut"  # between a server and a sidecar; amount 1: only towards the server, 2: only back
    DRAIN = "drain"  # a server is listed as leaving, ends when it is idle, and comes back cold after for_s
    MOVE = "move"  # a server comes back under its id at another address, cold
    LATE_LISTS = "late lists"  # discovery answers amount seconds late
    OLD_LISTS = "old lists"  # discovery goes on telling what it knew
    DOWN = "discovery down"
    SILENT = "silent watches"  # what is open to discovery falls silent for good; amount 1: for all sidecars
    NEW_DISCOVERY = "new discovery"  # another address, told by a reload; the old one goes down
    KILL = "kill"  # a sidecar is killed, and starts again after for_s on the list of the day's start
    TERM = "term"  # it gets SIGTERM, ends, and starts again
    RELOAD = "reload"  # it gets SIGHUP and a good file
    BROKEN_FILE = "broken file"  # or one that can't be used
    DATAGRAMS = "datagrams"  # between sidecars: lost, doubled and late
    DESCRIPTORS = "descriptors"  # a sidecar has only so many
    SURGE = "surge"  # amount times as many requests
    GIVE_UP = "give up"  # clients leave before they are answered, so many parts
    PIECES = "pieces"  # what is written arrives in many pieces, and windows are small


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that goes wrong at a time, and is well again after another."""

    at_s: float
    kind: Kind
    for_s: float = 0.0
    target: int = 0  # which server or sidecar, by number
    other: int = 0  # the sidecar, where it is between two
    amount: float = 0.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One day; what stands here is all that a run depends on."""

    seed: int
    sidecars: int = 2
    servers: int = 6
    cells: int = 2
    cores: int = 2  # of a server
    work_ms: float = 20.0  # of the mean request
    rate: float = 25.0  # requests a second at each sidecar
    length_s: float = 4.0  # before the quiet
    connections: int = 8  # of the clients of a sidecar, at most; beyond that they wait
    reconnects: bool = False  # whether clients whose time is up leave, and come on a new connection
    call_us: float = 0.0  # CPU time of a sidecar for each callback; 0: none
    descriptors: int = 200  # of a sidecar
    pushed: bool = False  # whether the roster is an agent beside each sidecar that pushes its lists
    consul: bool = False  # whether servers are learnt from Consul in place of the roster
    ahead_ms: float = 0.0  # how far the second sidecar's clock stands ahead
    faults: tuple[Fault, ...] = ()
    only: tuple[int, ...] | None = None  # the requests that are asked, by number; None: all
    expect: tuple[str, ...] = ()  # the rules that break here, as long as that is not mended

    @property
    def load(self) -> float:
        """What is asked for, of what the servers can do when all of them are warm."""
        return self.sidecars * self.rate * self.work_ms / 1e3 / (self.servers * self.cores)

    @property
    def last_fault_s(self) -> float:
        return max((each.at_s + each.for_s for each in self.faults), default=0.0)

    @property
    def quiet_from_s(self) -> float:
        return max(self.length_s, self.last_fault_s)


def read(path: Path) -> Scenario:
    """Read a scenario file; raise ValueError, naming the key, on nonsense."""
    try:
        return msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except msgspec.DecodeError as nonsense:
        raise ValueError(f"{path}: {nonsense}") from None


def write(scenario: Scenario, path: Path) -> None:
    """Write a scenario as its file, without what says the default."""
    plain = msgspec.to_builtins(scenario)
    usual = msgspec.to_builtins(Scenario(0))
    kept = {key: value for key, value in plain.items() if key == "seed" or value != usual[key]}
    usual_fault = msgspec.to_builtins(Fault(0.0, Kind.CRASH))
    if "faults" in kept:
        kept["faults"] = [
            {
                key: value
                for key, value in each.items()
                if key in ("at_s", "kind") or value != usual_fault[key]
            }
            for each in kept["faults"]
        ]
    text = msgspec.toml.encode(kept).decode()
    # The numbers of requests on one line: there may be hundreds.
    text = re.sub(r"\[\n +\d[^\]]*\]", lambda found: re.sub(r"\s+", " ", found[0]).replace(", ]", "]"), text)
    path.write_text(text, encoding="utf-8")


def draw(seed: int) -> Scenario:
    """The day of this seed: some are calm, some dense, and each leaves most kinds of fault out."""
    drawn = random.Random(seed)
    servers = drawn.randint(3, 8)
    sidecars = drawn.choice((1, 2, 2, 3))
    length_s = drawn.uniform(2.0, 4.0)
    kinds = drawn.sample([each for each in Kind if each is not Kind.SILENT], drawn.randint(1, 6))
    count = drawn.choice((0, 2, 4, 6, 9, _MOST_FAULTS))
    faults = [_fault(drawn, drawn.choice(kinds), servers, sidecars, length_s) for _ in range(count)]
    faults = sorted(faults + _silences(seed, sidecars, length_s), key=lambda each: each.at_s)
    return Scenario(
        seed=seed,
        sidecars=sidecars,
        servers=servers,
        cells=drawn.choice((1, 2)),
        cores=drawn.choice((1, 2, 4)),
        work_ms=drawn.choice((5.0, 20.0, 40.0)),
        rate=drawn.uniform(8.0, 35.0),
        length_s=length_s,
        reconnects=drawn.random() < 0.3,
        call_us=drawn.choice((0.0, 0.0, 20.0, 100.0)),
        ahead_ms=drawn.choice((0.0, 0.0, 30.0, -30.0)),
        consul=drawn.random() < 0.2,
        faults=tuple(faults),
    )


_LASTS_S = {Kind.CRASH: (0.1, 1.5), Kind.KILL: (0.05, 0.8), Kind.DRAIN: (0.8, 2.0), Kind.MOVE: (0.0, 0.5)}
_AMOUNT = {
    Kind.SLOW: (2.0, 8.0),
    Kind.ERRORS: (0.1, 1.0),
    Kind.SPOIL: (0.1, 1.0),
    Kind.BREAK: (0.1, 1.0),
    Kind.LATE_LISTS: (0.2, 1.5),
    Kind.SURGE: (2.0, 5.0),
    Kind.GIVE_UP: (0.1, 0.8),
}


def _fault(drawn: random.Random, kind: Kind, servers: int, sidecars: int, length_s: float) -> Fault:
    of_sidecar = kind in (
        Kind.KILL, Kind.TERM, Kind.RELOAD, Kind.BROKEN_FILE, Kind.NEW_DISCOVERY, Kind.DESCRIPTORS
    )  # fmt: skip
    amount = drawn.uniform(*_AMOUNT.get(kind, (0.0, 0.0)))
    if kind is Kind.CUT:
        amount = float(drawn.randrange(3))
    if kind is Kind.DESCRIPTORS:
        amount = float(drawn.randint(4, 24))
    return Fault(
        # Coarse: that several things come at the same instant is what is looked for.
        at_s=round(drawn.uniform(0.3, length_s), 1),
        kind=kind,
        for_s=round(drawn.uniform(*_LASTS_S.get(kind, (0.2, 1.5))), 1),
        target=drawn.randrange(sidecars if of_sidecar else servers),
        other=drawn.randrange(sidecars),
        amount=round(amount, 2),
    )


def _silences(seed: int, sidecars: int, length_s: float) -> list[Fault]:
    """Watches that fall silent, on a quarter of the days; by draws of their own, so that the rest stays."""
    drawn = random.Random(seed * 8 + 5)
    return [
        Fault(
            at_s=round(drawn.uniform(0.1, length_s), 1),
            kind=Kind.SILENT,
            target=drawn.randrange(sidecars),
            amount=float(drawn.random() < 0.4),
        )
        for _ in range(drawn.choice((0, 0, 0, 1, 1, 2)) if drawn.random() < 0.5 else 0)
    ]


class Order(msgspec.Struct, frozen=True):
    """Something that a client wants: one request, and again after a refusal."""

    number: int
    at_s: float
    sidecar: int
    kind: str  # check, amend, lodge
    draws: tuple[float, float, float]  # what else is chance about it, from 0 to 1


def orders(scenario: Scenario) -> list[Order]:
    """What clients want on this day, by time; leaving some out changes none of the others."""
    drawn = random.Random(scenario.seed * 2 + 1)
    surges = [each for each in scenario.faults if each.kind is Kind.SURGE]
    wanted: list[Order] = []
    for sidecar in range(scenario.sidecars):
        at = 0.2
        while True:
            times = max((s.amount for s in surges if s.at_s <= at < s.at_s + s.for_s), default=1.0)
            at += drawn.expovariate(scenario.rate * times)
            if at >= scenario.quiet_from_s + QUIET_S:
                break
            kind = drawn.choices(("check", "amend", "lodge"), (5, 2, 3))[0]
            draws = (drawn.random(), drawn.random(), drawn.random())
            wanted.append(Order(0, at, sidecar, kind, draws))
    wanted.sort(key=lambda each: each.at_s)
    numbered = [msgspec.structs.replace(each, number=number) for number, each in enumerate(wanted)]
    if scenario.only is None:
        return numbered
    kept = set(scenario.only)
    return [each for each in numbered if each.number in kept]
