"""Watches what the decisions hear and do, and makes records of it.  No input or output.

What goes the plain way (one attempt, delivered) is only counted: it has to cost next to nothing.  Each
attempt of a request that went any other way has a record of its own, with what the rules need.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, Protocol

from micadeck.incidents.kinds import (
    OUTCOMES,
    VERSION,
    Attempt,
    ClassCount,
    End,
    Head,
    Kind,
    Listed,
    Message,
    Record,
    ServerCount,
    Span,
    State,
    packed,
    trimmed,
)
from micadeck.policy import Settings
from micadeck.policy.actions import Action, Fail, Log, Refuse, Send, SendPeerMessage
from micadeck.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Event,
    ListKind,
    MessageReceived,
    RequestArrived,
    ServersListed,
    ServerState,
    SettingsChanged,
)
from micadeck.policy.outcomes import Outcome
from micadeck.policy.statistics import BalancerStatistics

MOST_TIMES = 256  # of a class in a span
_LONGEST = (1 << 32) - 1  # of a time
MOST_ATTEMPTS = 500  # records of their own in a span: an outage must not flood the disk
_PLACES = {outcome: place for place, outcome in enumerate(OUTCOMES)}
# An open request is one flat list, since each further object costs the collector on every request: its class,
# when it arrived, how many attempts are out, how it ended ("" until then), and from _FIRST on the fields of
# each attempt.
_CLASS, _ARRIVED, _OUT, _HOW, _FIRST = range(5)
_FIELDS = 4  # of an attempt: its server, when it was sent, when it ended, how
_PLAIN = _FIRST + _FIELDS  # the length with one attempt

_Open = list[Any]


class Decides(Protocol):
    """A balancer, or what hears in its place."""

    def handle(self, now: int, event: Event) -> list[Action]: ...


class LooksOn(Protocol):
    """Who knows more of the balancer than what it hears and does: the engine."""

    def request_id(self, request: int) -> bytes:
        """The client's name for an open request."""

    def statistics(self) -> BalancerStatistics:
        """How the decisions stand."""


class _Class:
    __slots__ = (
        "arrived",
        "failed",
        "gone",
        "late",
        "latency_objective_us",
        "name",
        "refused",
        "served",
        "times",
    )

    def __init__(self, name: str, latency_objective_us: int) -> None:
        self.name, self.latency_objective_us = name, latency_objective_us
        self.clear()

    def was_served(self, took: int) -> None:
        self.served += 1
        if took > self.latency_objective_us:
            self.late += 1
        if len(self.times) < MOST_TIMES:
            self.times.append(min(took, _LONGEST))

    def ended(self, how: str) -> None:
        if how == "refused":
            self.refused += 1
        elif how == "failed":
            self.failed += 1
        else:
            self.gone += 1

    def clear(self) -> None:
        self.arrived = self.served = self.late = self.refused = self.failed = self.gone = 0
        self.times = array("I")


class _Server:
    __slots__ = ("ended", "last_sent_at", "sent", "started_at", "state", "why", "zone")

    def __init__(self) -> None:
        self.state, self.why, self.zone = "unknown", "", ""
        self.started_at: int | None = None
        self.clear()

    def clear(self) -> None:
        self.sent = self.last_sent_at = 0
        self.ended = [0] * len(OUTCOMES)


class Observer:
    """Stands before a balancer.

    Attributes:
        defect: What went wrong as a record was made, after which nothing is observed any more.
    """

    def __init__(
        self, balancer: Decides, settings: Settings, look: LooksOn, sidecar: str, start: str
    ) -> None:
        self._balancer = balancer
        self._look = look
        self._sidecar, self._start = sidecar, start
        self._classes: dict[str, _Class] = {}
        self._servers: dict[str, _Server] = {}
        self._open: dict[int, _Open] = {}
        self._waiting: list[Record] = []
        self._attempts = self._omitted = 0
        self._since: int | None = None
        self.defect: Exception | None = None
        self._take_up(settings)

    def _take_up(self, settings: Settings) -> None:
        self._settings = settings
        for each in settings.classes:
            self._class(each.name).latency_objective_us = each.latency_objective_us

    def _class(self, name: str) -> _Class:
        found = self._classes.get(name)
        if found is None:
            found = self._classes[name] = _Class(name, 0)
        return found

    def _server(self, name: str) -> _Server:
        found = self._servers.get(name)
        if found is None:
            found = self._servers[name] = _Server()
        return found

    # What the engine calls

    def handle(self, now: int, event: Any) -> list[Action]:
        """Pass an event on, and note what came of it; the actions never depend on that."""
        actions = self._balancer.handle(now, event)
        if self.defect is None:
            try:
                self._note(now, event, actions)
            except Exception as error:
                self.defect = error
        return actions

    def _note(self, now: int, event: Any, actions: list[Action]) -> None:
        kind = type(event)
        if kind is AttemptEnded:
            self._ended(now, event)
        elif kind is RequestArrived:
            self._arrived(now, event)
        elif kind in _HEARD:
            _HEARD[kind](self, now, event)
        for action in actions:
            done = type(action)
            if done is Send:
                self._sent(now, action)  # type: ignore[arg-type]
            elif done in _DONE:
                _DONE[done](self, now, action)

    def _arrived(self, now: int, event: RequestArrived) -> None:
        of_class = self._classes.get(event.service_class) or self._class(event.service_class)
        of_class.arrived += 1
        self._open[event.request] = [of_class, now, 0, ""]

    def _sent(self, now: int, action: Send) -> None:
        name = action.server
        server = self._servers.get(name) or self._server(name)
        server.sent += 1
        server.last_sent_at = now
        held = self._open.get(action.request)
        if held is not None:
            held[_OUT] += 1
            held += (name, now, 0, None)

    def _ended(self, now: int, event: AttemptEnded) -> None:
        outcome, request = event.outcome, event.request
        server = self._servers.get(event.server) or self._server(event.server)
        server.ended[_PLACES[outcome]] += 1
        held = self._open.get(request)
        if held is None:
            return
        if outcome is Outcome.DELIVERED and len(held) == _PLAIN and not held[_HOW]:
            # The plain way, which is nearly every request's.
            del self._open[request]
            held[_CLASS].was_served(now - held[_ARRIVED])
            return
        held[_OUT] -= 1
        at = _FIRST + event.attempt * _FIELDS
        if at < len(held):
            held[at + 2 : at + _FIELDS] = (now, outcome)
        if outcome is Outcome.DELIVERED and not held[_HOW]:
            self._end(now, request, "served")
        elif held[_HOW] and held[_OUT] == 0:
            self._over(request, held)

    def _end(self, now: int, request: int, how: str) -> None:
        """The request has its final answer, or nobody waits for it any more."""
        held = self._open.get(request)
        if held is None or held[_HOW]:
            return
        of_class = held[_CLASS]
        if how == "served":
            of_class.was_served(now - held[_ARRIVED])
        else:
            of_class.ended(how)
        if len(held) == _FIRST:
            del self._open[request]  # nothing was sent: a count says it all
            return
        held[_HOW] = how
        if self._attempts < MOST_ATTEMPTS:
            ran = any(map(self._may_have_run, held[_FIRST + 3 :: _FIELDS]))
            name, count = self._look.request_id(request), (len(held) - _FIRST) // _FIELDS
            self._waiting.append(End(now, name, of_class.name, held[_ARRIVED], how, ran, count))
        if held[_OUT] == 0:
            self._over(request, held)

    def _may_have_run(self, outcome: Outcome | None) -> bool:
        return outcome is None or not self._settings.rules.never_ran(outcome)

    def _over(self, request: int, held: _Open) -> None:
        """Nothing follows any more: write down its attempts."""
        del self._open[request]
        told = [held[at : at + _FIELDS] for at in range(_FIRST, len(held), _FIELDS)]
        if self._attempts + len(told) > MOST_ATTEMPTS:
            self._omitted += len(told)
            return
        self._attempts += len(told)
        name, of_class = self._look.request_id(request), held[_CLASS].name
        for number, (server, sent_at, ended_at, outcome) in enumerate(told):
            how, ran = outcome.value if outcome is not None else "unknown", self._may_have_run(outcome)
            self._waiting.append(Attempt(sent_at, name, of_class, number, server, ended_at, how, ran))

    def _listed(self, now: int, event: ServersListed) -> None:
        self._waiting.append(Listed(now, event.version, event.kind.value, len(event.servers)))
        if event.kind is ListKind.FAILED:
            return
        for line in event.servers:
            server = self._server(line.server)
            state = line.state.value
            if server.state == "ejected" and line.state is ServerState.READY:
                state = "ejected"
            is_same = server.state == state and server.started_at == line.started_at
            server.zone, server.started_at = line.zone, line.started_at
            if not is_same:
                self._held(now, line.server, state, server.why if state == "ejected" else "list")
        if event.kind is ListKind.COMPLETE:
            told = {line.server for line in event.servers}
            for name, server in self._servers.items():
                if name not in told and server.state not in ("gone", "unknown"):
                    self._held(now, name, ServerState.REMOVED.value, "list")

    def _told(self, now: int, text: str) -> None:
        """The decisions' own words: a test holds that they still have them."""
        word, _, rest = text.partition(" ")
        if word == "ejected":
            name, _, why = rest.rpartition(": ")
            self._held(now, name, "ejected", why)
        elif word == "readmitted":
            self._held(now, rest, ServerState.READY.value, "it answered")

    def _message(self, now: int, payload: bytes, *, was_heard: bool) -> None:
        self._waiting.append(Message(now, was_heard, blake2b(payload, digest_size=8).digest()))

    def _held(self, now: int, name: str, state: str, why: str) -> None:
        server = self._server(name)
        server.state, server.why = state, why
        self._waiting.append(State(now, name, state, why, server.zone, server.started_at, True))

    # What the recording calls

    def head(self, now: int, wall: int, segment: int) -> list[Record]:
        """What a segment begins with, so that it can be read without those before it."""
        kinds = [
            Kind(each.name, each.idempotency.value, each.latency_objective_us, each.deadline_us)
            for each in self._settings.classes
        ]
        rules = self._settings.rules
        grace, cold = rules.drain_grace_us, rules.slow_start_us
        told: list[Record] = [
            Head(VERSION, self._sidecar, self._start, segment, now, wall, kinds, grace, cold)
        ]
        told += [
            State(now, name, each.state, each.why, each.zone, each.started_at, False)
            for name, each in self._servers.items()
            if each.state != "unknown"
        ]
        return told

    def take(self, now: int, wall: int, lag_us: int) -> list[Record]:
        """All since the last time: first what happened, then the span that it happened in."""
        told, self._waiting = self._waiting, []
        figures = self._look.statistics()
        classes, servers = [], []
        for each in self._classes.values():
            counts = (each.arrived, each.served, each.late, each.refused, each.failed, each.gone)
            if any(counts):
                classes.append(ClassCount(each.name, *counts, packed(each.times)))
                each.clear()
        for name, server in self._servers.items():
            if server.sent or any(server.ended):
                servers.append(ServerCount(name, server.sent, server.last_sent_at, trimmed(server.ended)))
                server.clear()
        self._forget()
        limit = figures.concurrency_limit
        window = limit if math.isfinite(limit) else None
        since, self._since = self._since if self._since is not None else now, now
        stands = (figures.load, window, figures.late_fraction, figures.core_utilization)
        told.append(Span(since, now, wall, lag_us, *stands, classes, servers, self._omitted))
        self._attempts = self._omitted = 0
        return told

    def _forget(self) -> None:
        """Guards against growth where servers are replaced all day."""
        gone = {name for name, each in self._servers.items() if each.state == "gone"}
        if gone:
            out = {held[-_FIELDS] for held in self._open.values() if len(held) > _FIRST}
            for name in gone - out:
                del self._servers[name]


_HEARD: dict[type[Any], Callable[[Observer, int, Any], None]] = {
    ServersListed: Observer._listed,
    ClientDisconnected: lambda observer, now, event: observer._end(now, event.request, "gone"),
    MessageReceived: lambda observer, now, event: observer._message(now, event.payload, was_heard=True),
    SettingsChanged: lambda observer, _, event: observer._take_up(event.settings),
}
_DONE: dict[type[Any], Callable[[Observer, int, Any], None]] = {
    Refuse: lambda observer, now, action: observer._end(now, action.request, "refused"),
    Fail: lambda observer, now, action: observer._end(now, action.request, "failed"),
    Log: lambda observer, now, action: observer._told(now, action.text),
    SendPeerMessage: lambda observer, now, action: observer._message(now, action.payload, was_heard=False),
}
