"""Property test: actions obey the rules for any legal sequence of events."""

from __future__ import annotations

from typing import Any

from helpers import KEYED, MS, SAFE, START, UNSAFE, S, names, settings
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from micadeck.policy import Balancer
from micadeck.policy.actions import Cancel, CloseIdle, Fail, Refuse, Send, SetTimer
from micadeck.policy.events import AttemptEnded as Ended
from micadeck.policy.events import (
    ClientDisconnected,
    Event,
    ListedServer,
    ListKind,
    RequestArrived,
    ServersListed,
    ServerState,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import Idempotency

SERVERS = names(7)
ZONES = ("east", "west")
TICK = 5 * MS
CLOSE_WITHIN = 500 * MS
CLASSES = [
    SAFE,
    UNSAFE,
    *({**KEYED, "name": f"amend-{group}", "group": group} for group in ("all", "zone", "cell")),
]


class RuleChecker:
    """Tracks clients, servers and the endpoint list, and checks every action against the rules."""

    def __init__(self, allow_hedging: bool, attempts: int, rng_seed: int, strict: bool) -> None:
        rules = {"full_may_have_run": True, "close_idle_within_us": CLOSE_WITHIN} if strict else {}
        self.settings = settings(
            classes=CLASSES,
            limits={"second_copies": allow_hedging, "max_attempts": attempts},
            rules=rules,
        )
        self.never_ran = [Outcome.CONNECT_FAILED, Outcome.CONNECTION_REFUSED, Outcome.NOT_SENT]
        self.never_ran += [] if strict else [Outcome.FULL]
        # Deadlines for closing idle connections to draining and removed servers.
        self.to_close: dict[str, int] = {}
        self.balancer = Balancer(self.settings, rng_seed)
        self.kinds = {each.name: each for each in self.settings.classes}
        self.now = START
        self.timers: list[tuple[int, str]] = []
        self.requests: dict[int, dict[str, Any]] = {}
        self.listed: dict[str, ListedServer] = {}
        self.next_request = 1

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case Send():
                    self.check_send(action)
                case Refuse() | Fail():
                    self.check_final_answer(action)
                case Cancel():
                    assert action.attempt < len(self.requests[action.request]["attempts"])
                case CloseIdle():
                    self.to_close.pop(action.server, None)
                case SetTimer():
                    self.timers.append((self.now + action.in_us, action.token))
                case _:
                    pass
        self.check_counts()

    def check_send(self, action: Send) -> None:
        request = self.requests[action.request]
        kind = request["kind"]
        assert not request["over"], "sent after the final answer"
        assert self.now < request["deadline"], "sent after the deadline"
        line = self.listed[action.server]
        assert line.state is ServerState.READY, "sent to a draining or removed server"
        earlier = request["attempts"]
        # A refused connection carried nothing, so it doesn't count as an attempt.
        refused_dials = sum(each["outcome"] is Outcome.CONNECTION_REFUSED for each in earlier)
        assert len(earlier) - refused_dials < self.settings.limits.max_attempts, "more attempts than allowed"
        may_be_pending = 1 if self.settings.limits.allow_hedging else 0
        assert sum(each["pending"] for each in earlier) <= may_be_pending, "too many copies in flight at once"
        may_have_run = [each for each in earlier if each["pending"] or each["outcome"] not in self.never_ran]
        if may_have_run and kind.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("an unsafe request was sent again")
        if may_have_run and kind.idempotency is Idempotency.KEYED:
            assert self.now < may_have_run[0]["at"] + kind.idempotency_window_us, (
                "sent after the deduplication window"
            )
            for each in may_have_run:
                assert kind.deduplication_scope.value != "zone" or each["line"].zone == line.zone, (
                    "left the zone"
                )
                assert kind.deduplication_scope.value != "cell" or each["line"].cell == line.cell, (
                    "left the cell"
                )
        earlier.append(
            {"server": action.server, "line": line, "at": self.now, "pending": True, "outcome": None}
        )

    def check_final_answer(self, action: Refuse | Fail) -> None:
        request = self.requests[action.request]
        assert not request["over"], "two final answers"
        assert self.now < request["deadline"] or request["late"], "answered after the deadline"
        if isinstance(action, Refuse) and request["kind"].idempotency is not Idempotency.IDEMPOTENT:
            may_have_run = [
                each
                for each in request["attempts"]
                if each["pending"] or each["outcome"] not in self.never_ran
            ]
            is_scope_all = (
                request["kind"].idempotency is Idempotency.KEYED
                and request["kind"].deduplication_scope.value == "all"
            )
            assert not may_have_run or is_scope_all, "a refusal that may have run"
        request["over"] = True

    def check_counts(self) -> None:
        in_flight: dict[str, int] = dict.fromkeys(SERVERS, 0)
        for request in self.requests.values():
            for attempt in request["attempts"]:
                in_flight[attempt["server"]] += attempt["pending"]
        for name, server in self.balancer._endpoints.by_name.items():
            assert server.in_flight == in_flight[name], "the count of requests in flight is off"

    def arrive(self, name: str, remaining_us: int) -> None:
        number, self.next_request = self.next_request, self.next_request + 1
        self.requests[number] = {
            "kind": self.kinds[name],
            "deadline": self.now + remaining_us,
            "late": remaining_us <= 2 * TICK,
            "attempts": [],
            "over": False,
        }
        self.handle(RequestArrived(number, name, None, None, remaining_us))

    def end(self, choice: int, outcome: Outcome) -> None:
        pending = [
            (number, index)
            for number, request in self.requests.items()
            for index, each in enumerate(request["attempts"])
            if each["pending"]
        ]
        if pending:
            self.end_one(*pending[choice % len(pending)], outcome)

    def end_one(self, number: int, index: int, outcome: Outcome) -> None:
        request = self.requests[number]
        attempt = request["attempts"][index]
        attempt["pending"], attempt["outcome"] = False, outcome
        if outcome is Outcome.DELIVERED:
            request["over"] = True
        self.update_close_deadline(attempt["server"])
        self.handle(
            Ended(number, index, attempt["server"], outcome, self.now - attempt["at"], request["over"])
        )

    def update_close_deadline(self, server: str) -> None:
        """Restart the deadline for idle connections to a server that isn't ready."""
        if self.settings.rules.close_idle_within_us and self.listed[server].state is not ServerState.READY:
            self.to_close[server] = self.now + CLOSE_WITHIN
        else:
            self.to_close.pop(server, None)

    def disconnect(self, choice: int) -> None:
        unanswered = [number for number, request in self.requests.items() if not request["over"]]
        if unanswered:
            number = unanswered[choice % len(unanswered)]
            self.requests[number]["over"] = True
            self.handle(ClientDisconnected(number))

    def list(self, kind: ListKind, lines: list[ListedServer]) -> None:
        before = {name: line.state for name, line in self.listed.items()}
        if kind is not ListKind.CHANGES:
            for line in self.listed.values():
                line.state = ServerState.REMOVED
        for line in lines:
            self.listed[line.server] = line
        for name, line in self.listed.items():
            if line.state is not before.get(name):
                self.update_close_deadline(name)
        self.handle(ServersListed(kind, lines, 1))

    def advance(self, duration_us: int) -> None:
        until = self.now + duration_us
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.handle(TimerFired(due[1]))
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def check_deadlines(self) -> None:
        for server, deadline in self.to_close.items():
            assert self.now <= deadline, f"idle connections to {server} are still open"
        for request in self.requests.values():
            assert request["over"] or self.now < request["deadline"], "a request was left unanswered"


lines = st.builds(
    ListedServer,
    server=st.sampled_from(SERVERS),
    zone=st.sampled_from(ZONES),
    kind=st.just("box"),
    cell=st.integers(0, 2),
    state=st.sampled_from([ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.REMOVED]),
    nominal=st.sampled_from([0.0, 1.0, 3.0]),
    started_at=st.sampled_from([None, START - 5 * S, START, START + 2 * S]),
)
arrivals = st.tuples(
    st.just("arrive"),
    st.sampled_from([str(each["name"]) for each in CLASSES]),
    st.integers(1, 2_500).map(lambda ms: ms * MS),
)
steps = st.one_of(
    arrivals,
    arrivals,
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Outcome.DELIVERED)),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Outcome.FULL)),
    st.tuples(st.just("leave"), st.integers(0, 50)),
    st.tuples(st.just("wait"), st.integers(1, 1_500).map(lambda ms: ms * MS)),
    st.tuples(
        st.just("list"),
        st.sampled_from([ListKind.CHANGES, ListKind.COMPLETE, ListKind.FAILED]),
        st.lists(lines, max_size=5, unique_by=lambda each: each.server),
    ),
)


@hypothesis_settings(
    max_examples=500, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(
    st.booleans(),
    st.booleans(),
    st.integers(0, 4),
    st.integers(0, 1_000),
    st.lists(steps, min_size=5, max_size=60),
)
def test_no_sequence_breaks_a_rule(
    strict: bool, copies: bool, attempts: int, rng: int, script: list[Any]
) -> None:
    checker = RuleChecker(copies, attempts, rng, strict)
    ready = [ListedServer(name, "east", "box", index % 3) for index, name in enumerate(SERVERS)]
    checker.list(ListKind.REMEMBERED, ready)
    for step in script:
        match step:
            case ("arrive", name, remaining):
                checker.arrive(name, remaining)
            case ("end", choice, outcome):
                checker.end(choice, outcome)
            case ("leave", choice):
                checker.disconnect(choice)
            case ("wait", duration):
                checker.advance(duration)
            case ("list", kind, changed):
                if kind is ListKind.FAILED:
                    checker.handle(ServersListed(kind))
                else:
                    checker.list(kind, changed)
    checker.advance(4 * S)
