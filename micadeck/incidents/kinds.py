"""The records.  Times are microseconds on the recording sidecar's own clock, which never steps.

Each is an array that begins with its number; a field that a later version adds stands behind the last, and is
left out by those that don't know it.
"""

from __future__ import annotations

import sys
from array import array

import msgspec

from micadeck.policy.outcomes import Outcome

VERSION = 1
OUTCOMES = tuple(Outcome)  # the order of a server's counts; new ones go behind the last


class Kind(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A class of requests, as it was in force when the segment began."""

    name: str
    repeat: str
    latency_objective_us: int
    deadline_us: int


class Head(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=0):
    """The first record of a segment."""

    version: int
    sidecar: str
    start: str  # of the process: two starts of one name differ in it
    segment: int
    at: int
    wall: int  # what the system's clock said at that time
    kinds: list[Kind]
    grace_us: int  # rule 3: what a server may still get after word that it drains
    slow_start_us: int  # how long a server counts as cold from its start on


class ClassCount(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One class in one span.  Requests count where they arrived, and again where they ended."""

    name: str
    arrived: int
    served: int
    late: int  # of these, after their aim
    refused: int
    failed: int
    gone: int  # the client left first
    times: bytes  # of those served, from arrival: little-endian words; the first some hundred


class ServerCount(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One server in one span."""

    server: str
    sent: int
    last_sent_at: int  # 0: nothing was
    ended: list[int]  # attempts by outcome, in the order of OUTCOMES; zeros at the end are left out


class Span(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """About a second: counts, and how the sidecar stood at its end."""

    at: int  # its begin
    until: int
    wall: int  # the system's clock at its end, to see it step
    lag_us: int  # how late the event loop came to write this
    load: int
    window: float | None  # None: no limit
    late: float
    cores: float | None
    classes: list[ClassCount]
    servers: list[ServerCount]
    omitted: int  # attempts that would have had records of their own, past the most in a span


class State(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """What the sidecar holds a server to be from here on."""

    at: int
    server: str
    state: str  # "ready", "draining", "gone", "ejected"
    why: str
    zone: str
    started_at: int | None  # by the list, on the clock of who wrote it; another one is another process
    is_news: bool  # False: it stands here again since the segment is new


class Listed(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """The list of servers was heard, or a call for it failed."""

    at: int
    version: int
    kind: str  # "complete", "changes", "remembered", "failed"
    changed: int


class Attempt(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """An attempt of a request that did not go the plain way: one attempt, delivered."""

    at: int  # sent
    ident: bytes
    service_class: str
    number: int
    server: str
    ended_at: int
    outcome: str
    may_have_run: bool


class End(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=5):
    """The final answer of such a request."""

    at: int
    ident: bytes
    service_class: str
    arrived_at: int
    how: str  # "served", "refused", "failed", "gone"
    may_have_run: bool
    attempts: int


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=6):
    """A message between sidecars; both ends name it alike."""

    at: int
    was_heard: bool  # False: it was sent
    name: bytes


class Phase(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=7):
    """The sidecar's own life: "ready", "draining", "stopping", "ended"."""

    at: int
    phase: str


def times_of(count: ClassCount) -> array[int]:
    """The times of a class in a span, in microseconds."""
    told = array("I", count.times[: len(count.times) // 4 * 4])
    if sys.byteorder == "big":
        told.byteswap()
    return told


def packed(times: array[int]) -> bytes:
    """Times as `ClassCount` holds them."""
    if sys.byteorder == "big":
        times = times[:]
        times.byteswap()
    return times.tobytes()


def trimmed(ended: list[int]) -> list[int]:
    """Counts as `ServerCount` holds them."""
    last = len(ended)
    while last and not ended[last - 1]:
        last -= 1
    return ended[:last]


Record = Head | Span | State | Listed | Attempt | End | Message | Phase
