"""Makes records of the balancer's events and actions.  No input or output.

Requests served by their only attempt are just counted, which keeps the cost per request low.  For all others,
each attempt has a record of its own, with what checking the rules needs.
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
    pack_times,
    trim_trailing_zeros,
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

MAX_TIMES = 256  # latencies kept per class and span
_MAX_TIME_US = (1 << 32) - 1
MAX_ATTEMPT_RECORDS = 500  # per span: an outage must not flood the disk
_OUTCOME_INDEX = {outcome: index for index, outcome in enumerate(OUTCOMES)}
# An open request is one flat list, since each further object adds work for the garbage collector: its class,
# its arrival time, the number of attempts in flight, its result ("" until it ended), then the fields of each
# attempt.
_CLASS, _ARRIVED_AT, _IN_FLIGHT, _RESULT, _FIRST_ATTEMPT = range(5)
_ATTEMPT_FIELDS = 4  # of an attempt: server, time sent, time ended, outcome
_ONE_ATTEMPT_LENGTH = _FIRST_ATTEMPT + _ATTEMPT_FIELDS  # of the list

_OpenRequest = list[Any]


class EventHandler(Protocol):
    """A balancer, or a wrapper around it."""

    def handle(self, now: int, event: Event) -> list[Action]: ...


class EngineView(Protocol):
    """What the observer needs of the engine."""

    def request_id(self, request: int) -> bytes:
        """The id that the client gave an open request."""

    def statistics(self) -> BalancerStatistics:
        """The balancer's current statistics."""


class _ClassCounts:
    __slots__ = (
        "arrived",
        "disconnected",
        "failed",
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

    def add_served(self, took: int) -> None:
        self.served += 1
        if took > self.latency_objective_us:
            self.late += 1
        if len(self.times) < MAX_TIMES:
            self.times.append(min(took, _MAX_TIME_US))

    def add_unserved(self, how: str) -> None:
        if how == "refused":
            self.refused += 1
        elif how == "failed":
            self.failed += 1
        else:
            self.disconnected += 1

    def clear(self) -> None:
        self.arrived = self.served = self.late = self.refused = self.failed = self.disconnected = 0
        self.times = array("I")


class _ServerState:
    __slots__ = ("ended", "last_sent_at", "sent", "started_at", "state", "why", "zone")

    def __init__(self) -> None:
        self.state, self.why, self.zone = "unknown", "", ""
        self.started_at: int | None = None
        self.clear()

    def clear(self) -> None:
        self.sent = self.last_sent_at = 0
        self.ended = [0] * len(OUTCOMES)


class Observer:
    """Wraps a balancer.

    Attributes:
        error: What was raised while a record was made; nothing is observed after it.
    """

    def __init__(
        self, balancer: EventHandler, settings: Settings, engine: EngineView, sidecar: str, start: str
    ) -> None:
        self._balancer = balancer
        self._engine = engine
        self._sidecar, self._start = sidecar, start
        self._classes: dict[str, _ClassCounts] = {}
        self._servers: dict[str, _ServerState] = {}
        self._open: dict[int, _OpenRequest] = {}
        self._pending: list[Record] = []
        self._attempts = self._omitted = 0
        self._since: int | None = None
        self.error: Exception | None = None
        self._apply_settings(settings)

    def _apply_settings(self, settings: Settings) -> None:
        self._settings = settings
        for each in settings.classes:
            self._class(each.name).latency_objective_us = each.latency_objective_us

    def _class(self, name: str) -> _ClassCounts:
        found = self._classes.get(name)
        if found is None:
            found = self._classes[name] = _ClassCounts(name, 0)
        return found

    def _server(self, name: str) -> _ServerState:
        found = self._servers.get(name)
        if found is None:
            found = self._servers[name] = _ServerState()
        return found

    # Called by the engine

    def handle(self, now: int, event: Any) -> list[Action]:
        """Forward an event and record the actions, which never depend on the recording."""
        actions = self._balancer.handle(now, event)
        if self.error is None:
            try:
                self._observe(now, event, actions)
            except Exception as error:
                self.error = error
        return actions

    def _observe(self, now: int, event: Any, actions: list[Action]) -> None:
        event_type = type(event)
        if event_type is AttemptEnded:
            self._on_attempt_ended(now, event)
        elif event_type is RequestArrived:
            self._on_arrived(now, event)
        elif event_type in _EVENT_HANDLERS:
            _EVENT_HANDLERS[event_type](self, now, event)
        for action in actions:
            action_type = type(action)
            if action_type is Send:
                self._on_sent(now, action)  # type: ignore[arg-type]
            elif action_type in _ACTION_HANDLERS:
                _ACTION_HANDLERS[action_type](self, now, action)

    def _on_arrived(self, now: int, event: RequestArrived) -> None:
        class_counts = self._classes.get(event.service_class) or self._class(event.service_class)
        class_counts.arrived += 1
        self._open[event.request] = [class_counts, now, 0, ""]

    def _on_sent(self, now: int, action: Send) -> None:
        name = action.server
        server = self._servers.get(name) or self._server(name)
        server.sent += 1
        server.last_sent_at = now
        open_request = self._open.get(action.request)
        if open_request is not None:
            open_request[_IN_FLIGHT] += 1
            open_request += (name, now, 0, None)

    def _on_attempt_ended(self, now: int, event: AttemptEnded) -> None:
        outcome, request = event.outcome, event.request
        server = self._servers.get(event.server) or self._server(event.server)
        server.ended[_OUTCOME_INDEX[outcome]] += 1
        open_request = self._open.get(request)
        if open_request is None:
            return
        if (
            outcome is Outcome.DELIVERED
            and len(open_request) == _ONE_ATTEMPT_LENGTH
            and not open_request[_RESULT]
        ):
            # Fast path, taken by nearly all requests.
            del self._open[request]
            open_request[_CLASS].add_served(now - open_request[_ARRIVED_AT])
            return
        open_request[_IN_FLIGHT] -= 1
        index = _FIRST_ATTEMPT + event.attempt * _ATTEMPT_FIELDS
        if index < len(open_request):
            open_request[index + 2 : index + _ATTEMPT_FIELDS] = (now, outcome)
        if outcome is Outcome.DELIVERED and not open_request[_RESULT]:
            self._finish(now, request, "served")
        elif open_request[_RESULT] and open_request[_IN_FLIGHT] == 0:
            self._record_attempts(request, open_request)

    def _finish(self, now: int, request: int, how: str) -> None:
        """The request has its final answer, or its client disconnected."""
        open_request = self._open.get(request)
        if open_request is None or open_request[_RESULT]:
            return
        class_counts = open_request[_CLASS]
        if how == "served":
            class_counts.add_served(now - open_request[_ARRIVED_AT])
        else:
            class_counts.add_unserved(how)
        if len(open_request) == _FIRST_ATTEMPT:
            del self._open[request]  # nothing was sent: the count suffices
            return
        open_request[_RESULT] = how
        if self._attempts < MAX_ATTEMPT_RECORDS:
            may_have_run = any(map(self._may_have_run, open_request[_FIRST_ATTEMPT + 3 :: _ATTEMPT_FIELDS]))
            name = self._engine.request_id(request)
            count = (len(open_request) - _FIRST_ATTEMPT) // _ATTEMPT_FIELDS
            self._pending.append(
                End(now, name, class_counts.name, open_request[_ARRIVED_AT], how, may_have_run, count)
            )
        if open_request[_IN_FLIGHT] == 0:
            self._record_attempts(request, open_request)

    def _may_have_run(self, outcome: Outcome | None) -> bool:
        return outcome is None or not self._settings.rules.never_ran(outcome)

    def _record_attempts(self, request: int, open_request: _OpenRequest) -> None:
        """Record the attempts of a request of which no attempt is in flight."""
        del self._open[request]
        attempts = [
            open_request[index : index + _ATTEMPT_FIELDS]
            for index in range(_FIRST_ATTEMPT, len(open_request), _ATTEMPT_FIELDS)
        ]
        if self._attempts + len(attempts) > MAX_ATTEMPT_RECORDS:
            self._omitted += len(attempts)
            return
        self._attempts += len(attempts)
        name, class_name = self._engine.request_id(request), open_request[_CLASS].name
        for number, (server, sent_at, ended_at, outcome) in enumerate(attempts):
            how, ran = outcome.value if outcome is not None else "unknown", self._may_have_run(outcome)
            self._pending.append(Attempt(sent_at, name, class_name, number, server, ended_at, how, ran))

    def _on_listed(self, now: int, event: ServersListed) -> None:
        self._pending.append(Listed(now, event.version, event.kind.value, len(event.servers)))
        if event.kind is ListKind.FAILED:
            return
        for endpoint in event.servers:
            server = self._server(endpoint.server)
            state = endpoint.state.value
            if server.state == "ejected" and endpoint.state is ServerState.READY:
                state = "ejected"
            is_unchanged = server.state == state and server.started_at == endpoint.started_at
            server.zone, server.started_at = endpoint.zone, endpoint.started_at
            if not is_unchanged:
                self._set_state(now, endpoint.server, state, server.why if state == "ejected" else "list")
        if event.kind is ListKind.COMPLETE:
            listed = {endpoint.server for endpoint in event.servers}
            for name, server in self._servers.items():
                if name not in listed and server.state not in ("gone", "unknown"):
                    self._set_state(now, name, ServerState.REMOVED.value, "list")

    def _parse_log_line(self, now: int, text: str) -> None:
        """Read ejections off the balancer's log lines; a test checks their wording."""
        verb, _, rest = text.partition(" ")
        if verb == "ejected":
            name, _, why = rest.rpartition(": ")
            self._set_state(now, name, "ejected", why)
        elif verb == "readmitted":
            self._set_state(now, rest, ServerState.READY.value, "it answered")

    def _on_message(self, now: int, payload: bytes, *, was_heard: bool) -> None:
        self._pending.append(Message(now, was_heard, blake2b(payload, digest_size=8).digest()))

    def _set_state(self, now: int, name: str, state: str, why: str) -> None:
        server = self._server(name)
        server.state, server.why = state, why
        self._pending.append(State(now, name, state, why, server.zone, server.started_at, True))

    # Called by the recording

    def head(self, now: int, wall: int, segment: int) -> list[Record]:
        """The first records of a segment, which make it readable on its own."""
        kinds = [
            Kind(each.name, each.idempotency.value, each.latency_objective_us, each.deadline_us)
            for each in self._settings.classes
        ]
        rules = self._settings.rules
        grace, cold = rules.drain_grace_us, rules.slow_start_us
        records: list[Record] = [
            Head(VERSION, self._sidecar, self._start, segment, now, wall, kinds, grace, cold)
        ]
        records += [
            State(now, name, each.state, each.why, each.zone, each.started_at, False)
            for name, each in self._servers.items()
            if each.state != "unknown"
        ]
        return records

    def take(self, now: int, wall: int, lag_us: int) -> list[Record]:
        """All records since the last call; the span that covers them comes last."""
        records, self._pending = self._pending, []
        statistics = self._engine.statistics()
        classes, servers = [], []
        for counts in self._classes.values():
            totals = (
                counts.arrived,
                counts.served,
                counts.late,
                counts.refused,
                counts.failed,
                counts.disconnected,
            )
            if any(totals):
                classes.append(ClassCount(counts.name, *totals, pack_times(counts.times)))
                counts.clear()
        for name, server in self._servers.items():
            if server.sent or any(server.ended):
                servers.append(
                    ServerCount(name, server.sent, server.last_sent_at, trim_trailing_zeros(server.ended))
                )
                server.clear()
        self._remove_departed_servers()
        limit = statistics.concurrency_limit
        window = limit if math.isfinite(limit) else None
        since, self._since = self._since if self._since is not None else now, now
        state = (statistics.load, window, statistics.late_fraction, statistics.core_utilization)
        records.append(Span(since, now, wall, lag_us, *state, classes, servers, self._omitted))
        self._attempts = self._omitted = 0
        return records

    def _remove_departed_servers(self) -> None:
        """Bounds memory where servers are replaced continually."""
        departed = {name for name, each in self._servers.items() if each.state == "gone"}
        if departed:
            in_use = {
                request[-_ATTEMPT_FIELDS] for request in self._open.values() if len(request) > _FIRST_ATTEMPT
            }
            for name in departed - in_use:
                del self._servers[name]


_EVENT_HANDLERS: dict[type[Any], Callable[[Observer, int, Any], None]] = {
    ServersListed: Observer._on_listed,
    ClientDisconnected: lambda observer, now, event: observer._finish(now, event.request, "gone"),
    MessageReceived: lambda observer, now, event: observer._on_message(now, event.payload, was_heard=True),
    SettingsChanged: lambda observer, _, event: observer._apply_settings(event.settings),
}
_ACTION_HANDLERS: dict[type[Any], Callable[[Observer, int, Any], None]] = {
    Refuse: lambda observer, now, action: observer._finish(now, action.request, "refused"),
    Fail: lambda observer, now, action: observer._finish(now, action.request, "failed"),
    Log: lambda observer, now, action: observer._parse_log_line(now, action.text),
    SendPeerMessage: lambda observer, now, action: observer._on_message(now, action.payload, was_heard=False),
}
