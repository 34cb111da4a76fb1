"""The engine on a clock and a carrier that do what the test says: one answer to each, in every order."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

import pytest
from loopback import CLASSES

from micadeck.engine import EndpointEntry, EndpointUpdate, Engine, FailureCause, Request, RequestIdInUseError
from micadeck.library.engine import HandlerFirstEngine
from micadeck.policy.events import AttemptEnded, Event, ListedServer, RequestArrived
from micadeck.policy.outcomes import Outcome
from micadeck.simulator_adapter import settings_from_wire

MS = 1_000


class Timer:
    is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class World:
    """Clock, timers, carrier, source and messages in one; attempts end when the test ends them."""

    def __init__(self) -> None:
        self.at = 1_000_000_000
        self.attempts: list[tuple[str, Any, Callable[..., None]]] = []
        self.cancelled: list[int] = []
        self.withdrawn: list[int] = []
        self._timers: list[tuple[int, int, Timer, Callable[..., object], tuple[Any, ...]]] = []
        self._number = itertools.count()

    def now(self) -> int:
        return self.at

    def call_later(self, delay_s: float, callback: Callable[..., object], *args: Any) -> Timer:
        timer = Timer()
        due = self.at + int(delay_s * 1e6)
        heapq.heappush(self._timers, (due, next(self._number), timer, callback, args))
        return timer

    def wait(self, span_us: int) -> None:
        until = self.at + span_us
        while self._timers and self._timers[0][0] <= until:
            due, _, timer, callback, args = heapq.heappop(self._timers)
            self.at = max(self.at, due)
            if not timer.is_cancelled:
                callback(*args)
        self.at = until

    def start(self, *given: Any) -> int:
        if len(given) == 5:  # the carrier's; the source's has two
            server, _, request, done, _ = given
            self.attempts.append((server, request, done))
        return len(self.attempts) - 1

    def cancel(self, attempt: int) -> None:
        self.cancelled.append(attempt)

    def withdraw(self, attempt: int) -> None:
        self.withdrawn.append(attempt)

    def end(self, attempt: int, outcome: Outcome = Outcome.DELIVERED) -> None:
        self.attempts[attempt][2](outcome, "answer" if outcome is Outcome.DELIVERED else None, None)

    def update_endpoints(self, listing: EndpointUpdate) -> None: ...

    def probe(self, *given: Any) -> None: ...

    def close_idle(self, server: str) -> None: ...

    def watch(self, wanted: bool) -> None: ...

    def fetch(self) -> None: ...

    def send(self, receiver: int | None, payload: bytes) -> bool:
        return True

    def close(self) -> None: ...


class Waiter:
    def __init__(self) -> None:
        self.got: list[tuple[Any, ...]] = []

    def served(self, response: Any) -> None:
        self.got.append(("served", response))

    def refused(self, retry_after_us: int) -> None:
        self.got.append(("refused",))

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        self.got.append(("failed", cause, may_have_run))


class Stage:
    def __init__(self, make: type[Engine] = Engine, **bounds: Any) -> None:
        self.world = World()
        given: dict[str, Any] = {"lanes": CLASSES, "discovery": "on_request"}
        settings = settings_from_wire({**given, "bounds": {"sendCap": 3, "mayCancel": True, **bounds}})
        world: Any = self.world
        self.engine = make(settings, 1, world, world, world, world, print)
        self.events: list[Event] = []
        handle = self.engine._balancer.handle

        def heard(now: int, event: Event) -> Any:
            self.events.append(event)
            return handle(now, event)

        self.engine._balancer.handle = heard  # type: ignore[method-assign]
        entries = [EndpointEntry(ListedServer(f"s-{n}"), ("127.0.0.1", 1 + n)) for n in range(3)]
        self.engine.start(EndpointUpdate(1, True, tuple(entries)))
        self._idents = itertools.count()

    def ask(self, kind: str = "lodge", request_id: bytes | None = None) -> tuple[Waiter, int | None]:
        waiter = Waiter()
        name = request_id or b"%d" % next(self._idents)
        request = Request(kind, None, None, 2_000_000, None, False, name, kind != "check")
        return waiter, self.engine.submit(request, waiter)

    def order(self) -> list[str]:
        kinds = (RequestArrived, AttemptEnded)
        return [type(each).__name__ for each in self.events if isinstance(each, kinds)]


@pytest.mark.parametrize(
    ("outcome", "got"),
    [
        (Outcome.DELIVERED, ("served", "answer")),
        (Outcome.ERROR, ("failed", FailureCause.SERVERS, True)),
        (Outcome.CONNECTION_LOST, ("failed", FailureCause.SERVERS, True)),
        (Outcome.TIMED_OUT, ("failed", FailureCause.TIME, True)),
        (Outcome.MALFORMED, ("failed", FailureCause.SERVERS, True)),
    ],
)
def test_an_unsafe_attempt_that_may_have_run_is_the_last(outcome: Outcome, got: tuple[Any, ...]) -> None:
    stage = Stage()
    waiter, _ = stage.ask()
    stage.world.end(0, outcome)
    assert waiter.got == [got] and len(stage.world.attempts) == 1
    assert stage.engine.open_requests == stage.engine.unanswered_requests == 0


def test_what_never_ran_is_tried_again_and_then_refused() -> None:
    stage = Stage()
    waiter, _ = stage.ask()
    for attempt in range(3):
        assert waiter.got == []
        stage.world.end(attempt, Outcome.CONNECT_FAILED)
    assert waiter.got == [("refused",)]


def test_the_end_fails_what_is_out_and_an_answer_after_that_is_nobodys() -> None:
    stage = Stage()
    waiter, _ = stage.ask()
    stage.engine.fail_open_requests()
    assert waiter.got == [("failed", FailureCause.TIME, True)]
    assert stage.engine.open_requests == 1  # its attempt is still out
    stage.world.end(0)
    assert len(waiter.got) == 1 and stage.engine.open_requests == 0


def test_one_that_left_gets_no_answer_and_leaving_twice_is_nothing() -> None:
    stage = Stage()
    waiter, number = stage.ask()
    assert number is not None
    stage.engine.client_disconnected(number)
    stage.engine.client_disconnected(number)
    stage.engine.client_disconnected(999)
    stage.world.end(0)
    assert waiter.got == [] and stage.engine.open_requests == 0


def test_an_open_id_is_not_taken_again_and_a_full_house_refuses() -> None:
    stage = Stage(maxOpen=2)
    stage.ask(request_id=b"same")
    with pytest.raises(RequestIdInUseError):
        stage.ask(request_id=b"same")
    stage.ask()
    waiter, number = stage.ask()
    assert waiter.got == [("refused",)] and number is None
    stage.world.end(0)
    assert stage.ask(request_id=b"same")[1] is not None


def test_with_pauses_between_requests_the_waiter_comes_first() -> None:
    stage = Stage(HandlerFirstEngine)
    for number in range(3):
        stage.world.wait(5 * MS)
        waiter, _ = stage.ask()
        stage.world.end(number)
        assert waiter.got == [("served", "answer")]
        assert stage.order()[-1] == "RequestArrived"
        stage.world.wait(2 * MS)
        assert stage.order()[-1] == "AttemptEnded"


def test_the_decisions_hear_of_an_attempt_before_the_next_request_whatever_the_pauses() -> None:
    stage = Stage(HandlerFirstEngine)
    stage.world.wait(5 * MS)
    for number in range(6):
        stage.ask()
        stage.world.end(number)
        stage.world.wait(2 * MS if number == 2 else 100)
    stage.world.wait(5 * MS)
    assert stage.order() == ["RequestArrived", "AttemptEnded"] * 6
    assert stage.engine.open_requests == 0


def test_back_to_back_the_decisions_hear_at_once() -> None:
    stage = Stage(HandlerFirstEngine)
    stage.world.wait(5 * MS)
    for number in range(4):
        stage.ask()
        stage.world.end(number)
        if number:
            assert stage.order()[-1] == "AttemptEnded"
        stage.world.wait(100)
