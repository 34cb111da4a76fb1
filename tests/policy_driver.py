"""Feeds seeded events to the policy, reacts to its actions, and computes digests of them.

Digests do not depend on Python names: events are built by position, actions are identified by
`ACTION_LABELS` and their values in order.  A renamed class or method changes only the tables.
"""

from __future__ import annotations

import hashlib
import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from policy_cases import ARRIVALS, CASES, MS, Case, S
from stored_values import by_position

from micadeck.policy import Balancer, Settings, actions, events, outcomes

ACTION_LABELS: dict[type[Any], str] = {
    actions.Send: "send",
    actions.Refuse: "refuse",
    actions.Fail: "fail",
    actions.Cancel: "cancel",
    actions.SetAttemptDeadline: "change_timeout",
    actions.SetTimer: "set_timer",
    actions.Probe: "probe",
    actions.CloseIdle: "close_idle",
    actions.SendPeerMessage: "message",
    actions.WatchEndpoints: "subscribe",
    actions.FetchList: "fetch_list",
    actions.Log: "log",
}
EVENTS: dict[str, type[Any]] = {
    "list": events.ServersListed,
    "arrived": events.RequestArrived,
    "completed": events.RequestCompleted,
    "answer_started": events.AnswerStarted,
    "attempt_ended": events.AttemptEnded,
    "abandoned": events.ClientDisconnected,
    "timer": events.TimerFired,
    "probe_ended": events.ProbeEnded,
    "message": events.MessageReceived,
    "settings": events.SettingsChanged,
}
listed_server: Callable[..., Any] = events.ListedServer
list_kind: Callable[[str], Any] = events.ListKind
server_state: Callable[[str], Any] = events.ServerState
outcome_of: Callable[[str], Any] = outcomes.Outcome
state_of: Callable[[Balancer], Any] = Balancer.statistics
counts_of: list[Callable[[Balancer], int]] = [Balancer.known, Balancer.avoided]
parse_settings: Callable[[Any], Settings] = Settings.from_mapping

START = 50 * S
EVENTS_PER_CHECKPOINT = 250
ANSWERS = ("delivered", "rejected")


@dataclass
class _Attempt:
    server: str
    sent_at: int
    expires_at: int
    is_pending: bool = True
    pending_result: tuple[str, int] | None = None  # outcome and delay, held until the request is complete


@dataclass
class _Request:
    is_complete: bool
    is_answered: bool = False
    attempts: list[_Attempt] = field(default_factory=list)


class Driver:
    """One balancer with simulated clients, servers and discovery, on a virtual clock."""

    def __init__(self, case: Case, name: str, seed: int) -> None:
        self._case = case
        self._random = random.Random(f"{name} {seed}")
        self._settings_versions = [parse_settings(each) for each in case.settings]
        self._settings_version = 0
        self.balancer = Balancer(self._settings_versions[0], seed)
        self.settings = self._settings_versions[0]
        self.events: list[tuple[int, Any]] = []
        self.counts: Counter[str] = Counter()
        self.checkpoints: list[str] = []
        self.excess_attempts: list[tuple[int, int]] = []  # requests with too many in flight
        self._hash = hashlib.blake2b(digest_size=8)
        self._now = START
        self._queue: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0
        self._requests: dict[int, _Request] = {}
        self._states: dict[str, str] = {}
        self._started: dict[str, int | None] = {}
        self._busy: Counter[str] = Counter()
        self._list_version = 0

    def run(self) -> None:
        """Run the case to its end."""
        for number in range(self._case.servers):
            self._states[f"s-{number}"] = "ready"
            self._started[f"s-{number}"] = None
        self._feed("list", list_kind("remembered"), self._entries(), 0)
        self._after(self._case.arrival_gap_us, lambda: self._arrive(0))
        end = START + ARRIVALS * self._case.arrival_gap_us * 2 + 20 * S
        while self._queue and self._queue[0][0] <= end and len(self.events) < 8 * ARRIVALS:
            at, _, callback = heapq.heappop(self._queue)
            self._now = max(self._now, at)
            callback()

    def result(self) -> dict[str, Any]:
        """Result of a run: cumulative digest at each checkpoint, counts by label, final state."""
        state = [*_values(state_of(self.balancer)), *(count(self.balancer) for count in counts_of)]
        return {
            "events": len(self.events),
            "counts": dict(sorted(self.counts.items())),
            "state": [repr(each) for each in state],
            "checkpoints": self.checkpoints,
            "digest": self._hash.hexdigest(),
        }

    # The clock and the balancer

    def _after(self, delay_us: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self._now + max(int(delay_us), 0), self._sequence, callback))

    def _occurs(self, probability: float) -> bool:
        return self._random.random() < probability

    def _feed(self, label: str, *values: Any) -> None:
        event = EVENTS[label](*values)
        self.events.append((self._now, event))
        self._hash.update(f"{self._now} event {label}\n".encode())
        actions = self.balancer.handle(self._now, event)
        for action in actions:
            self.counts[ACTION_LABELS[type(action)]] += 1
            self._hash.update(f"{ACTION_LABELS[type(action)]} {_values(action)!r}\n".encode())
        if len(self.events) % EVENTS_PER_CHECKPOINT == 0:
            self.checkpoints.append(self._hash.hexdigest())
        for action in actions:
            self._execute(ACTION_LABELS[type(action)], _values(action))

    def _execute(self, label: str, values: tuple[Any, ...]) -> None:
        if label == "send":
            self._send(*values[:3])
        elif label in ("refuse", "fail"):
            self._requests[values[0]].is_answered = True
        elif label == "cancel":
            request, attempt = values
            self._after(MS, lambda: self._end(request, attempt, "cancelled"))
        elif label == "change_timeout":
            self._expire_at(*values)
        elif label == "set_timer":
            self._after(values[0], lambda: self._feed("timer", values[1]))
        elif label in ("subscribe", "fetch_list"):
            self._after(self._random.randrange(5, 50) * MS, self._answer_list)

    # Clients

    def _arrive(self, number: int) -> None:
        case = self._case
        if case.settings_every and number and number % case.settings_every == 0:
            self._settings_version = (self._settings_version + 1) % len(self._settings_versions)
            self._feed("settings", self._settings_versions[self._settings_version])
        classes = self._settings_versions[self._settings_version].classes
        given = case.settings[self._settings_version]["classes"]
        chosen = self._random.randrange(len(classes))
        deadline = given[chosen]["deadline_us"]
        remaining = int(deadline * (0.05 if self._occurs(0.05) else 0.3 + 0.7 * self._random.random()))
        is_partial = self._occurs(case.partial_odds)
        self._requests[number] = _Request(not is_partial)
        self._feed(
            "arrived",
            number,
            "not listed" if self._occurs(0.01) else given[chosen]["name"],
            self._random.choice(case.tenants),
            self._random.randrange(1 << 16) if self._occurs(0.3) else None,
            remaining,
            self._cost_us(),
            self._occurs(0.1),
            self._occurs(0.3),
            f"s-{self._random.randrange(case.servers + 1)}" if self._occurs(case.bound_odds) else None,
            classes[chosen] if self._occurs(case.own_class_odds) else None,
            not is_partial,
        )
        if is_partial:
            self._after(self._random.randrange(1, 300) * MS, lambda: self._complete(number, deadline))
        if self._occurs(case.abandon_odds):
            self._after(self._random.randrange(1, 400) * MS, lambda: self._abandon(number))
        if self._occurs(case.probe_odds):
            self._feed_unrelated_events()
        if self._occurs(case.list_odds):
            self._change_list()
        if number + 1 < ARRIVALS:
            self._after(case.arrival_gap_us * 2 * self._random.random(), lambda: self._arrive(number + 1))

    def _cost_us(self) -> int | None:
        if self._case.heavy_odds and self._occurs(self._case.heavy_odds):
            return 4 * S
        return self._random.randrange(1, 400) * MS if self._occurs(0.4) else None

    def _complete(self, number: int, deadline: int) -> None:
        request = self._requests[number]
        if request.is_answered:
            return
        request.is_complete = True
        self._feed("completed", number, int(deadline * (0.2 + 0.8 * self._random.random())))
        for index, attempt in enumerate(request.attempts):
            if attempt.is_pending and attempt.pending_result is not None:
                self._finish_after(number, index, *attempt.pending_result)

    def _abandon(self, number: int) -> None:
        if not self._requests[number].is_answered:
            self._requests[number].is_answered = True
            self._feed("abandoned", number)

    # Servers

    def _send(self, number: int, server: str, until: int) -> None:
        request = self._requests[number]
        index = len(request.attempts)
        attempt = _Attempt(server, self._now, until)
        request.attempts.append(attempt)
        in_flight = sum(each.is_pending for each in request.attempts)
        if in_flight > (2 if self._settings_versions[self._settings_version].limits.allow_hedging else 1):
            self.excess_attempts.append((number, in_flight))
        self._busy[server] += 1
        self._expire_at(number, index, until)
        outcome, delay = self._draw_outcome(server)
        if outcome == "silent":
            return
        if request.is_complete or outcome in ("dial_failed", "turned_down", "full", "unsent"):
            self._finish_after(number, index, outcome, delay)
        else:
            attempt.pending_result = outcome, delay

    def _draw_outcome(self, server: str) -> tuple[str, int]:
        case = self._case
        slowdown = max(1.0, self._busy[server] / case.slots)
        delay = int(case.work_us * slowdown * (0.3 + 1.4 * self._random.random()))
        if self._occurs(0.05):
            delay *= 6
        if case.slow_zone_factor > 1 and int(server.partition("-")[2]) % 2 == 0 and self._is_middle():
            delay *= case.slow_zone_factor
        draw = self._random.random()
        if draw < case.silent_odds:
            return "silent", 0
        if slowdown > case.queue:
            return "full", MS
        factor = 1.0
        if self._is_middle() and int(server.partition("-")[2]) < case.faulty_servers:
            factor = 0.9 / sum(case.outcomes.values())
        draw = self._random.random()
        for name, probability in case.outcomes.items():
            draw -= probability * factor
            if draw < 0.0:
                return name, MS if name in ("dial_failed", "turned_down", "unsent") else delay
        return "delivered", delay

    def _is_middle(self) -> bool:
        third = ARRIVALS * self._case.arrival_gap_us // 3
        return START + third < self._now < START + 2 * ARRIVALS * self._case.arrival_gap_us // 3

    def _finish_after(self, number: int, index: int, outcome: str, delay: int) -> None:
        if outcome in ("delivered", "dropped") and self._occurs(self._case.stream_odds):
            self._after(delay, lambda: self._start_answer(number, index, outcome, delay))
        else:
            self._after(delay, lambda: self._end(number, index, outcome))

    def _start_answer(self, number: int, index: int, outcome: str, delay: int) -> None:
        request = self._requests[number]
        attempt = request.attempts[index]
        if attempt.is_pending and not request.is_answered:
            request.is_answered = True
            self._feed("answer_started", number, index, attempt.server, self._now - attempt.sent_at)
            self._after(delay * 2, lambda: self._end(number, index, outcome))
        else:
            self._end(number, index, outcome)

    def _expire_at(self, number: int, index: int, until: int) -> None:
        attempt = self._requests[number].attempts[index]
        attempt.expires_at = until

        def expire() -> None:
            if attempt.expires_at == until:
                self._end(number, index, "expired")

        self._after(until - self._now, expire)

    def _end(self, number: int, index: int, outcome: str) -> None:
        request = self._requests[number]
        attempt = request.attempts[index]
        if not attempt.is_pending:
            return
        attempt.is_pending = False
        self._busy[attempt.server] -= 1
        is_answer = outcome == "delivered" or (outcome == "rejected" and self._occurs(0.5))
        request.is_answered = request.is_answered or is_answer
        report = None
        if outcome in (*ANSWERS, "error", "full", "spoilt") and self._occurs(self._case.report_odds):
            report = {"util": min(self._busy[attempt.server] / self._case.slots + 0.1, 1.5), "queue": 2.0}
        self._feed(
            "attempt_ended",
            number,
            index,
            attempt.server,
            outcome_of(outcome),
            self._now - attempt.sent_at,
            request.is_answered,
            report,
            outcome in ANSWERS or not self._occurs(self._case.final_odds),
        )

    def _feed_unrelated_events(self) -> None:
        server = f"s-{self._random.randrange(self._case.servers)}"
        outcome = outcome_of(self._random.choice(["delivered", "expired", "dial_failed", "error"]))
        self._feed("probe_ended", server, outcome, self._random.randrange(MS, 90 * MS), {"util": 0.7})
        self._feed("message", self._random.randrange(4), b"\x00news")
        # A second end of an attempt, and the completion of an unknown request, must change nothing.
        self._feed("attempt_ended", 0, 0, server, outcome, MS, True, None, True)
        self._feed("completed", ARRIVALS + 1, MS)

    # Discovery

    def _entry(self, name: str) -> Any:
        number = int(name.partition("-")[2])
        zone = ("east", "west")[number % 2]
        state = server_state(self._states[name])
        return listed_server(name, zone, "box", number % 3, state, 1.0 + number % 2, self._started[name])

    def _entries(self) -> list[Any]:
        return [self._entry(name) for name, state in self._states.items() if state != "gone"]

    def _answer_list(self) -> None:
        if self._occurs(self._case.list_failure_odds):
            self._feed("list", list_kind("failed"))
        else:
            self._feed("list", list_kind("complete"), self._entries(), self._list_version)

    def _change_list(self) -> None:
        self._list_version += 1
        changed = self._random.sample(sorted(self._states), 1 + self._random.randrange(2))
        for name in changed:
            if self._states[name] == "ready":
                is_at_minimum = sum(state == "ready" for state in self._states.values()) <= 4
                self._states[name] = "ready" if is_at_minimum else self._random.choice(["draining", "gone"])
            else:
                self._states[name] = "ready"
                self._started[name] = self._now - self._random.choice([0, 2 * S, 60 * S])
            if self._occurs(self._case.restart_odds):
                self._started[name] = self._now
        if self._occurs(self._case.list_failure_odds):
            self._feed("list", list_kind("failed"))
        elif self._occurs(0.2):
            self._feed("list", list_kind("complete"), self._entries(), self._list_version)
        else:
            entries = [self._entry(each) for each in changed]
            self._feed("list", list_kind("changes"), entries, self._list_version)


def _values(value: Any) -> tuple[Any, ...]:
    return tuple(by_position(value))


def drive(name: str, seed: int) -> Driver:
    """Run one case with one seed."""
    driver = Driver(CASES[name], name, seed)
    driver.run()
    return driver
