"""Replays a trace: statistics over time, and the first difference between two builds.

A replay is open-loop: the events don't react to actions that the original run did not take.  So builds are
compared up to the first action that differs; after that, statistics only show a build's reaction to the same
events.  No I/O.
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


class EventHandler(Protocol):
    """A balancer of any build."""

    def handle(self, now: int, event: Event) -> list[Action]: ...


BalancerFactory = Callable[[Settings, int], Any]


@dataclass(slots=True)
class Span:
    """What happened in a span of time, and statistics at its end."""

    end_s: float  # since the first event
    arrived: int = 0
    sent: int = 0
    refused: int = 0
    failed: int = 0
    ejections: list[str] = field(default_factory=list)  # `SERVER: REASON`
    outcomes: Counter[str] = field(default_factory=Counter)
    load: int = 0
    concurrency_limit: float | None = None  # None: unlimited
    objective_fraction: float = 0.0
    late_fraction: float = 0.0
    core_utilization: float | None = None
    ejected_servers: int = 0


def spans(trace: Trace, span_s: float, make_balancer: BalancerFactory = Balancer) -> Iterator[Span]:
    """Replay a trace and yield its spans."""
    balancer = make_balancer(trace.settings, trace.seed)
    if not trace.events:
        return
    start = trace.events[0][0]
    span = Span(span_s)
    for now, event in trace.events:
        while now - start >= span.end_s * 1e6:
            yield _with_statistics(span, balancer)
            span = Span(span.end_s + span_s)
        _count(span, event, balancer.handle(now, event))
    yield _with_statistics(span, balancer)


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
                span.ejections.append(text.removeprefix("ejected "))


def _with_statistics(span: Span, balancer: Any) -> Span:
    statistics = balancer.statistics()
    span.load = statistics.load
    limit = statistics.concurrency_limit
    span.concurrency_limit = None if math.isinf(limit) else limit
    span.objective_fraction, span.late_fraction = statistics.objective_fraction, statistics.late_fraction
    span.core_utilization = statistics.core_utilization
    span.ejected_servers = statistics.ejected
    return span


@dataclass(frozen=True, slots=True)
class Difference:
    """The first event with different actions from two builds."""

    number: int
    at_s: float
    event: Event
    actions: list[Action]
    other_actions: list[Action]


def compare(trace: Trace, make_balancer: BalancerFactory, make_other: BalancerFactory) -> Difference | None:
    """The first difference of two builds; None if there is none."""
    balancer = make_balancer(trace.settings, trace.seed)
    other = make_other(trace.settings, trace.seed)
    start = trace.events[0][0] if trace.events else 0
    for number, (now, event) in enumerate(trace.events):
        actions, other_actions = balancer.handle(now, event), other.handle(now, event)
        if [_comparable(action) for action in actions] != [_comparable(action) for action in other_actions]:
            return Difference(number, (now - start) / 1e6, event, actions, other_actions)
    return None


class OtherBuild:
    """The balancer of another tree: converts events to its classes, which may have fewer fields."""

    def __init__(
        self,
        make_balancer: BalancerFactory,
        settings_module: Any,
        events_module: Any,
        settings: Settings,
        seed: int,
    ) -> None:
        self._events = events_module
        own_settings = msgspec.convert(msgspec.to_builtins(settings), settings_module.Settings)
        self._balancer: EventHandler = make_balancer(own_settings, seed)

    def handle(self, now: int, event: Event) -> list[Action]:
        event_type = getattr(self._events, type(event).__name__)
        return self._balancer.handle(now, msgspec.convert(msgspec.to_builtins(event), event_type))


def _comparable(action: Action) -> str:
    """Each build has its own classes, so actions are compared by their `repr`."""
    return repr(action)


@dataclass(slots=True)
class Totals:
    """Totals of a trace."""

    arrived: int = 0
    refused: int = 0
    failed: int = 0
    ejections: Counter[str] = field(default_factory=Counter)  # by reason
    outcomes: Counter[str] = field(default_factory=Counter)

    @property
    def delivered(self) -> int:
        return self.outcomes[Outcome.DELIVERED.value]


def totals(all_spans: list[Span]) -> Totals:
    total = Totals()
    for span in all_spans:
        total.arrived += span.arrived
        total.refused += span.refused
        total.failed += span.failed
        total.outcomes += span.outcomes
        total.ejections.update(text.rpartition(": ")[2] for text in span.ejections)
    return total
