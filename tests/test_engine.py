"""The engine on a controlled clock and transport: one answer to each request, in every order of events."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

import pytest
from loopback import CLASSES

from micadeck.engine import (
    EndpointEntry,
    EndpointUpdate,
    Engine,
    EnginePorts,
    FailureCause,
    Request,
    RequestIdInUseError,
)
from micadeck.library.engine import HandlerFirstEngine
from micadeck.policy.events import AttemptEnded, Event, ListedServer, RequestArrived
from micadeck.policy.outcomes import Outcome
from micadeck.simulator_adapter import settings_from_wire

MS = 1_000


class Timer:
    is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class FakePorts:
    """Clock, timers, transport, discovery and peers in one; the test ends the attempts."""

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
        if len(given) == 5:  # called as a transport; discovery gets two arguments
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


class Handler:
    def __init__(self) -> None:
        self.answers: list[tuple[Any, ...]] = []

    def served(self, response: Any) -> None:
        self.answers.append(("served", response))

    def refused(self, retry_after_us: int) -> None:
        self.answers.append(("refused",))

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        self.answers.append(("failed", cause, may_have_run))


class EngineHarness:
    def __init__(self, make: type[Engine] = Engine, **bounds: Any) -> None:
        self.ports = FakePorts()
        given: dict[str, Any] = {"lanes": CLASSES, "discovery": "on_request"}
        settings = settings_from_wire({**given, "bounds": {"sendCap": 3, "mayCancel": True, **bounds}})
        ports: Any = self.ports
        self.engine = make(settings, 1, EnginePorts(ports, ports, ports, ports), print)
        self.events: list[Event] = []
        handle = self.engine._balancer.handle

        def record(now: int, event: Event) -> Any:
            self.events.append(event)
            return handle(now, event)

        self.engine._balancer.handle = record  # type: ignore[method-assign]
        entries = [EndpointEntry(ListedServer(f"s-{n}"), ("127.0.0.1", 1 + n)) for n in range(3)]
        self.engine.start(EndpointUpdate(1, True, tuple(entries)))
        self._request_numbers = itertools.count()

    def submit(self, kind: str = "lodge", request_id: bytes | None = None) -> tuple[Handler, int | None]:
        handler = Handler()
        name = request_id or b"%d" % next(self._request_numbers)
        request = Request(kind, None, None, 2_000_000, None, False, name, kind != "check")
        return handler, self.engine.submit(request, handler)

    def event_names(self) -> list[str]:
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
def test_an_unsafe_request_is_not_retried_once_it_may_have_run(
    outcome: Outcome, got: tuple[Any, ...]
) -> None:
    harness = EngineHarness()
    handler, _ = harness.submit()
    harness.ports.end(0, outcome)
    assert handler.answers == [got] and len(harness.ports.attempts) == 1
    assert harness.engine.open_requests == harness.engine.unanswered_requests == 0


def test_a_request_that_never_ran_is_retried_and_then_refused() -> None:
    harness = EngineHarness()
    handler, _ = harness.submit()
    for attempt in range(3):
        assert handler.answers == []
        harness.ports.end(attempt, Outcome.CONNECT_FAILED)
    assert handler.answers == [("refused",)]


def test_failing_open_requests_drops_later_answers() -> None:
    harness = EngineHarness()
    handler, _ = harness.submit()
    harness.engine.fail_open_requests()
    assert handler.answers == [("failed", FailureCause.TIME, True)]
    assert harness.engine.open_requests == 1  # its attempt is still in flight
    harness.ports.end(0)
    assert len(handler.answers) == 1 and harness.engine.open_requests == 0


def test_a_disconnected_client_gets_no_answer_and_a_second_disconnect_changes_nothing() -> None:
    harness = EngineHarness()
    handler, number = harness.submit()
    assert number is not None
    harness.engine.client_disconnected(number)
    harness.engine.client_disconnected(number)
    harness.engine.client_disconnected(999)
    harness.ports.end(0)
    assert handler.answers == [] and harness.engine.open_requests == 0


def test_an_open_request_id_is_rejected_and_so_is_a_request_beyond_max_open() -> None:
    harness = EngineHarness(maxOpen=2)
    harness.submit(request_id=b"same")
    with pytest.raises(RequestIdInUseError):
        harness.submit(request_id=b"same")
    harness.submit()
    handler, number = harness.submit()
    assert handler.answers == [("refused",)] and number is None
    harness.ports.end(0)
    assert harness.submit(request_id=b"same")[1] is not None


def test_with_pauses_between_requests_the_handler_runs_before_the_decisions() -> None:
    harness = EngineHarness(HandlerFirstEngine)
    for number in range(3):
        harness.ports.wait(5 * MS)
        handler, _ = harness.submit()
        harness.ports.end(number)
        assert handler.answers == [("served", "answer")]
        assert harness.event_names()[-1] == "RequestArrived"
        harness.ports.wait(2 * MS)
        assert harness.event_names()[-1] == "AttemptEnded"


def test_the_decisions_get_an_attempts_end_before_the_next_request_in_any_case() -> None:
    harness = EngineHarness(HandlerFirstEngine)
    harness.ports.wait(5 * MS)
    for number in range(6):
        harness.submit()
        harness.ports.end(number)
        harness.ports.wait(2 * MS if number == 2 else 100)
    harness.ports.wait(5 * MS)
    assert harness.event_names() == ["RequestArrived", "AttemptEnded"] * 6
    assert harness.engine.open_requests == 0


def test_without_pauses_the_decisions_get_an_attempts_end_at_once() -> None:
    harness = EngineHarness(HandlerFirstEngine)
    harness.ports.wait(5 * MS)
    for number in range(4):
        harness.submit()
        harness.ports.end(number)
        if number:
            assert harness.event_names()[-1] == "AttemptEnded"
        harness.ports.wait(100)
