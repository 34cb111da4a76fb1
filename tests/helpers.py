"""A small stage for scripted events: it plays them and keeps what comes out."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

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

_Kind = TypeVar("_Kind")


def settings(**changes: Any) -> Settings:
    """Settings of a permissive deployment; `limits` and `rules` are merged, the rest replaced."""
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


class Stage:
    """Plays events to one balancer; timers fire by themselves as time moves on."""

    def __init__(self, given: Settings | None = None, seed: int = 7, now: int = START) -> None:
        self.now = now
        self.balancer = Balancer(given or settings(), seed)
        self.log: list[tuple[int, Action]] = []
        self._timers: list[tuple[int, str]] = []
        self._next = 1

    def play(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.in_us, action.token))
        return actions

    def servers(
        self, listed: Iterable[str | ListedServer], kind: ListKind = ListKind.COMPLETE
    ) -> list[Action]:
        lines = [ListedServer(each, zone="east") if isinstance(each, str) else each for each in listed]
        return self.play(ServersListed(kind, lines, 1))

    def drain(self, server: str, state: ServerState = ServerState.DRAINING) -> list[Action]:
        return self.servers([ListedServer(server, zone="east", state=state)], ListKind.CHANGES)

    def request(self, name: str = "look", remaining_us: int = 2 * S, cost_us: int | None = None) -> int:
        number, self._next = self._next, self._next + 1
        self.play(RequestArrived(number, name, None, None, remaining_us, cost_us))
        return number

    def end(
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
        done = outcome is Outcome.DELIVERED if answered is None else answered
        took = self.now - sent_at
        return self.play(AttemptEnded(request, index, send.server, outcome, took, done, report))

    def wait(self, span_us: int) -> None:
        """Let time pass; due timers fire on the way."""
        until = self.now + span_us
        while True:
            due = sorted(each for each in self._timers if each[0] <= until)
            if not due:
                break
            self._timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.play(TimerFired(due[0][1]))
        self.now = until

    def sends(self, request: int | None = None) -> list[tuple[int, Send]]:
        return [
            (at, each)
            for at, each in self.log
            if isinstance(each, Send) and (request is None or each.request == request)
        ]

    def target(self, request: int) -> str:
        return self.sends(request)[-1][1].server

    def said(self, kind: type[_Kind]) -> list[_Kind]:
        return [each for _, each in self.log if isinstance(each, kind)]

    def serve(
        self, count: int, every_us: int = 20 * MS, taking_us: int = 50 * MS, name: str = "look"
    ) -> None:
        """Traffic in good health: a request every so often, each answered after the same time."""
        pending: list[tuple[int, int]] = []
        for _ in range(count):
            self.wait(every_us)
            pending.append((self.now + taking_us, self.request(name)))
            while pending and pending[0][0] <= self.now:
                done = pending.pop(0)[1]
                if self.sends(done):
                    self.end(done)
        for _, done in pending:
            self.wait(every_us)
            if self.sends(done):
                self.end(done)
