"""A trace through the decisions once more: figures over time, and where two builds part.

A replay is open: what follows from an action that was not taken on the day did not happen there.  So another
build is compared up to the first action that differs; after that its figures answer only what it would have
made of the same news.  No I/O.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from micadeck.policy import Balancer, Settings
from micadeck.policy.actions import Action, Fail, Log, Refuse, Send
from micadeck.policy.events import AttemptEnded, Event, RequestArrived
from micadeck.policy.outcomes import Outcome
from micadeck.traces.format import Trace


class Decides(Protocol):
    """A build of the decisions."""

    def handle(self, now: int, event: Event) -> list[Action]: ...


Make = Callable[[Settings, int], Any]


@dataclass(slots=True)
class Span:
    """What happened in one span of time, and the figures at its end."""

    at_s: float  # its end, from the first event
    arrived: int = 0
    sent: int = 0
    refused: int = 0
    failed: int = 0
    ejected: list[str] = field(default_factory=list)  # server and reason
    outcomes: Counter[str] = field(default_factory=Counter)
    load: int = 0
    window: float | None = None  # None: it bounds nothing
    spent: float = 0.0
    late: float = 0.0
    cores: float | None = None
    out: int = 0  # servers that are ejected


def spans(trace: Trace, span_s: float, make: Make = Balancer) -> Iterator[Span]:
    """The day in spans."""
    balancer = make(trace.settings, trace.seed)
    if not trace.events:
        return
    begin = trace.events[0][0]
    span = Span(span_s)
    for now, event in trace.events:
        while now - begin >= span.at_s * 1e6:
            yield _with_figures(span, balancer)
            span = Span(span.at_s + span_s)
        _count(span, event, balancer.handle(now, event))
    yield _with_figures(span, balancer)


def _count(span: Span, event: Event, actions: list[Action]) -> None:
    if isinstance(event, RequestArrived):
        span.arrived += 1
    elif isinstance(event, AttemptEnded):
        span.outcomes[event.outcome.value] += 1
    for action in actions:
        match action:
            case Send():
                span.sent += 1
            case Refuse():
                span.refused += 1
            case Fail():
                span.failed += 1
            case Log(text) if text.startswith("ejected "):
                span.ejected.append(text.removeprefix("ejected "))


def _with_figures(span: Span, balancer: Any) -> Span:
    statistics = balancer.statistics()
    span.load = statistics.load
    limit = statistics.concurrency_limit
    span.window = None if math.isinf(limit) else limit
    span.spent, span.late = statistics.objective_fraction, statistics.late_fraction
    span.cores = statistics.core_utilization
    span.out = statistics.ejected
    return span


@dataclass(frozen=True, slots=True)
class Difference:
    """The first event after which two builds do not do the same."""

    number: int
    at_s: float
    event: Event
    one: list[Action]
    other: list[Action]


def compare(trace: Trace, make: Make, other: Make) -> Difference | None:
    """Where the builds part; None if they do the same all day."""
    first, second = make(trace.settings, trace.seed), other(trace.settings, trace.seed)
    begin = trace.events[0][0] if trace.events else 0
    for number, (now, event) in enumerate(trace.events):
        one, two = first.handle(now, event), second.handle(now, event)
        if [_told(each) for each in one] != [_told(each) for each in two]:
            return Difference(number, (now - begin) / 1e6, event, one, two)
    return None


class Foreign:
    """The balancer of another tree: events are made anew of its classes, which may know fewer fields."""

    def __init__(
        self, make: Make, settings_module: Any, events_module: Any, settings: Settings, seed: int
    ) -> None:
        self._events = events_module
        known = msgspec.convert(msgspec.to_builtins(settings), settings_module.Settings)
        self._balancer: Decides = make(known, seed)

    def handle(self, now: int, event: Event) -> list[Action]:
        kind = getattr(self._events, type(event).__name__)
        return self._balancer.handle(now, msgspec.convert(msgspec.to_builtins(event), kind))


def _told(action: Action) -> str:
    """Builds have classes of their own: actions are compared as they read."""
    return repr(action)


@dataclass(slots=True)
class Totals:
    """A day in figures."""

    arrived: int = 0
    refused: int = 0
    failed: int = 0
    ejections: Counter[str] = field(default_factory=Counter)  # by reason
    outcomes: Counter[str] = field(default_factory=Counter)

    @property
    def delivered(self) -> int:
        return self.outcomes[Outcome.DELIVERED.value]


def totals(all_spans: list[Span]) -> Totals:
    told = Totals()
    for each in all_spans:
        told.arrived += each.arrived
        told.refused += each.refused
        told.failed += each.failed
        told.outcomes += each.outcomes
        told.ejections.update(text.rpartition(": ")[2] for text in each.ejected)
    return told
