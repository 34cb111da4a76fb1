"""Record types.  Times are in microseconds on the recording sidecar's monotonic clock.

Each record is encoded as an array that begins with its tag.  Later versions append fields; older readers
ignore them.
"""

from __future__ import annotations

import sys
from array import array

import msgspec

from micadeck.policy.outcomes import Outcome

VERSION = 1
OUTCOMES = tuple(Outcome)  # the order of ServerCount.ended; new outcomes are appended


class Kind(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A class of requests, as configured when the segment began."""

    name: str
    repeat: str
    latency_objective_us: int
    deadline_us: int


class Head(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=0):
    """The first record of a segment."""

    version: int
    sidecar: str
    start: str  # identifies the process: two starts under one name differ
    segment: int
    at: int
    wall: int  # the system's clock at that time
    kinds: list[Kind]
    grace_us: int  # rule 3: how long requests may still be sent to a server after it was reported draining
    slow_start_us: int  # how long a server counts as cold after its start


class ClassCount(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One class in one span.  Requests are counted on arrival, and again when they end."""

    name: str
    arrived: int
    served: int
    late: int  # of these, past the latency objective
    refused: int
    failed: int
    gone: int  # the client disconnected first
    times: bytes  # latencies of those served, little-endian 32-bit words; only the first few hundred


class ServerCount(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One server in one span."""

    server: str
    sent: int
    last_sent_at: int  # 0: nothing was sent
    ended: list[int]  # attempts by outcome, in the order of OUTCOMES; trailing zeros are left out


class Span(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=1):
    """About a second: its counts, and the sidecar's state at its end."""

    at: int  # its start
    until: int
    wall: int  # the system's clock at its end, to detect steps
    lag_us: int  # how late the event loop ran the timer that ends the span
    load: int
    window: float | None  # None: no limit
    late: float
    cores: float | None
    classes: list[ClassCount]
    servers: list[ServerCount]
    omitted: int  # attempts without a record of their own, since the limit of a span was reached


class State(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=2):
    """The state that the sidecar assigns to a server from this time on."""

    at: int
    server: str
    state: str  # "ready", "draining", "gone", "ejected"
    why: str
    zone: str
    started_at: int | None  # by the list, on its author's clock; a different value means another process
    is_news: bool  # False: repeated because a segment begins


class Listed(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=3):
    """The list of servers was received, or a request for it failed."""

    at: int
    version: int
    kind: str  # "complete", "changes", "remembered", "failed"
    changed: int


class Attempt(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=4):
    """An attempt of a request that took more than one delivered attempt."""

    at: int  # when it was sent
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
    """A message between sidecars; sender and receiver record the same name."""

    at: int
    was_heard: bool  # received; False: sent
    name: bytes


class Phase(msgspec.Struct, array_like=True, frozen=True, gc=False, tag=7):
    """A phase of the sidecar's lifecycle: "ready", "draining", "stopping", "ended"."""

    at: int
    phase: str


def unpack_times(count: ClassCount) -> array[int]:
    """The latencies of a class in a span, in microseconds."""
    times = array("I", count.times[: len(count.times) // 4 * 4])
    if sys.byteorder == "big":
        times.byteswap()
    return times


def pack_times(times: array[int]) -> bytes:
    """Encode latencies for `ClassCount`."""
    if sys.byteorder == "big":
        times = times[:]
        times.byteswap()
    return times.tobytes()


def trim_trailing_zeros(ended: list[int]) -> list[int]:
    """Encode counts for `ServerCount`."""
    last = len(ended)
    while last and not ended[last - 1]:
        last -= 1
    return ended[:last]


Record = Head | Span | State | Listed | Attempt | End | Message | Phase
