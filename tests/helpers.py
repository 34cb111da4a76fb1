"""A harness that feeds scripted events to the policy and records its actions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from micadeck.http.request_validation import ValidatedRequest
from micadeck.policy import Balancer, Settings
from micadeck.policy.actions import Action, Send, SetTimer
from micadeck.policy.events import (
    AttemptEnded,
    Event,
    ListedServer,
    ListKind,
    RequestArrived,
    ServersListed,
    ServerState,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome

MS = 1_000
S = 1_000_000
START = 50 * S

SAFE = {"name": "look", "deadline_us": 2 * S, "aim_us": 500 * MS, "worth": 1, "repeat": "safe"}
UNSAFE = {"name": "pay", "deadline_us": 2 * S, "aim_us": 500 * MS, "worth": 10, "repeat": "unsafe"}
KEYED = {
    "name": "amend",
    "deadline_us": 4 * S,
    "aim_us": 500 * MS,
    "worth": 3,
    "repeat": "keyed",
    "group": "cell",
    "memory_us": 2 * S,
}


def get_request(target: bytes) -> ValidatedRequest:
    """A client's request of the class `look`, as the pool gets it."""
    return ValidatedRequest("look", None, None, S, None, False, target, False, b"GET", target, [], b"")


_ActionType = TypeVar("_ActionType")


def settings(**changes: Any) -> Settings:
    """Permissive settings; mappings are merged with the given ones, other values are replaced."""
    given: dict[str, Any] = {
        "classes": [SAFE, UNSAFE, KEYED],
        "zone": "east",
        "tick_us": 5 * MS,
        "limits": {"max_attempts": 5, "second_copies": True, "may_cancel": True},
        "rules": {
            "cold_from": 0.2,
            "cold_us": 10 * S,
            "drain_grace_us": 500 * MS,
            "fall_multiple": 3,
            "fall_us": 2 * S,
            "ask_within_us": 10 * S,
        },
    }
    for key, value in changes.items():
        given[key] = {**given[key], **value} if isinstance(given.get(key), dict) else value
    return Settings.from_mapping(given)


def names(count: int) -> list[str]:
    return [f"10.0.0.{number}:80" for number in range(1, count + 1)]


class PolicyHarness:
    """Feeds events to one balancer and fires its timers as its clock advances."""

    def __init__(self, given: Settings | None = None, seed: int = 7, now: int = START) -> None:
        self.now = now
        self.balancer = Balancer(given or settings(), seed)
        self.log: list[tuple[int, Action]] = []
        self._timers: list[tuple[int, str]] = []
        self._next_request = 1

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.in_us, action.token))
        return actions

    def list_servers(
        self, listed: Iterable[str | ListedServer], kind: ListKind = ListKind.COMPLETE
    ) -> list[Action]:
        entries = [ListedServer(each, zone="east") if isinstance(each, str) else each for each in listed]
        return self.handle(ServersListed(kind, entries, 1))

    def drain(self, server: str, state: ServerState = ServerState.DRAINING) -> list[Action]:
        return self.list_servers([ListedServer(server, zone="east", state=state)], ListKind.CHANGES)

    def request(self, name: str = "look", remaining_us: int = 2 * S, cost_us: int | None = None) -> int:
        number, self._next_request = self._next_request, self._next_request + 1
        self.handle(RequestArrived(number, name, None, None, remaining_us, cost_us))
        return number

    def end_attempt(
        self,
        request: int,
        outcome: Outcome = Outcome.DELIVERED,
        attempt: int | None = None,
        answered: bool | None = None,
        report: dict[str, float] | None = None,
    ) -> list[Action]:
        sends = self.sends(request)
        index = len(sends) - 1 if attempt is None else attempt
        sent_at, send = sends[index]
        is_answered = outcome is Outcome.DELIVERED if answered is None else answered
        elapsed_us = self.now - sent_at
        return self.handle(
            AttemptEnded(request, index, send.server, outcome, elapsed_us, is_answered, report)
        )

    def advance(self, duration_us: int) -> None:
        """Advance the clock and fire the timers that are due."""
        until = self.now + duration_us
        while True:
            due = sorted(each for each in self._timers if each[0] <= until)
            if not due:
                break
            self._timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.handle(TimerFired(due[0][1]))
        self.now = until

    def sends(self, request: int | None = None) -> list[tuple[int, Send]]:
        return [
            (at, each)
            for at, each in self.log
            if isinstance(each, Send) and (request is None or each.request == request)
        ]

    def target(self, request: int) -> str:
        return self.sends(request)[-1][1].server

    def actions(self, action_type: type[_ActionType]) -> list[_ActionType]:
        return [action for _, action in self.log if isinstance(action, action_type)]

    def serve(
        self, count: int, interval_us: int = 20 * MS, response_us: int = 50 * MS, name: str = "look"
    ) -> None:
        """Send requests at a fixed interval; each is answered after the same time."""
        pending: list[tuple[int, int]] = []
        for _ in range(count):
            self.advance(interval_us)
            pending.append((self.now + response_us, self.request(name)))
            while pending and pending[0][0] <= self.now:
                request = pending.pop(0)[1]
                if self.sends(request):
                    self.end_attempt(request)
        for _, request in pending:
            self.advance(interval_us)
            if self.sends(request):
                self.end_attempt(request)
