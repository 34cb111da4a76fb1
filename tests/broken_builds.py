"""Builds that are broken on purpose: what each oracle of the simulation has to find."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from micadeck.engine.open_requests import OpenRequests
from micadeck.http import downstream_connection
from micadeck.http.client import ClientConnection, Failure
from micadeck.http.h1 import Response
from micadeck.http.upstream import ConnectionPool
from micadeck.membership import watch_health
from micadeck.policy import balancer, outlier_detection, selection
from micadeck.policy.endpoints import EndpointRegistry
from micadeck.policy.events import ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.policy.outlier_detection import OutlierDetector
from micadeck.policy.settings import DeduplicationScope, Rules
from micadeck.policy.slow_start import SlowStart

Mutant = Callable[[], contextlib.AbstractContextManager[Any]]


def _in_place(of: Any, name: str, value: Any) -> Mutant:
    return lambda: mock.patch.object(of, name, value)


def _answers_twice() -> contextlib.AbstractContextManager[Any]:
    answer = downstream_connection.DownstreamConnection.answer

    def twice(self: Any, status: int, headers: Any, body: bytes) -> None:
        transport = self._transport
        answer(self, status, headers, body)
        if status == 502 and transport is not None:
            transport.write(b"HTTP/1.1 502 Again\r\nContent-Length: 0\r\n\r\n")

    return mock.patch.object(downstream_connection.DownstreamConnection, "answer", twice)


def _forgets_answers() -> contextlib.AbstractContextManager[Any]:
    """A failure is never told."""
    return mock.patch.object(
        downstream_connection.DownstreamConnection, "failed", lambda self, cause, may_have_run: None
    )


def _drops_are_unsent() -> contextlib.AbstractContextManager[Any]:
    never_ran = Rules.never_ran
    return mock.patch.object(
        Rules,
        "never_ran",
        lambda self, outcome: outcome is Outcome.CONNECTION_LOST or never_ran(self, outcome),
    )


def _any_cell() -> contextlib.AbstractContextManager[Any]:
    def in_scope(request: Any, endpoint: Any) -> bool:
        return request.service_class.deduplication_scope is not DeduplicationScope.ZONE

    @contextlib.contextmanager
    def both() -> Iterator[None]:
        with mock.patch.object(balancer, "is_in_deduplication_scope", in_scope):
            with mock.patch.object(selection, "is_in_deduplication_scope", in_scope):
                yield

    return both()


def _refuses_what_ran() -> contextlib.AbstractContextManager[Any]:
    finish = balancer.Balancer._finish

    def refuse(self: Any, request: Any) -> None:
        for each in request.attempts:
            each.may_have_run = False
        finish(self, request)

    return mock.patch.object(balancer.Balancer, "_finish", refuse)


def _leaves_late() -> contextlib.AbstractContextManager[Any]:
    """An attempt given up on stays open beside the next."""

    def later(self: Any) -> None:
        self._on_end = self._on_written = None
        self._stop_timer()
        if self._transport is not None and not self._closed:
            self._network.call_later(0.05, self._transport.abort)
        self._report_closed()

    return mock.patch.object(ClientConnection, "close", later)


def _overhears_drains() -> contextlib.AbstractContextManager[Any]:
    heard = EndpointRegistry.set_state
    listed = ConnectionPool.update_endpoints

    def ready(self: Any, server: Any, state: ServerState) -> None:
        heard(self, server, ServerState.READY if state is ServerState.DRAINING else state)

    def list_all(self: Any, listing: Any) -> None:
        listed(self, listing)
        for each in self._servers.values():
            each.is_leaving = False

    @contextlib.contextmanager
    def both() -> Iterator[None]:
        with mock.patch.object(EndpointRegistry, "set_state", ready):
            with mock.patch.object(ConnectionPool, "update_endpoints", list_all):
                yield

    return both()


def _ejects_for_good() -> contextlib.AbstractContextManager[Any]:
    """No trial is due, and a start that the list tells brings nobody back either."""

    @contextlib.contextmanager
    def both() -> Iterator[None]:
        with (
            mock.patch.multiple(
                outlier_detection, FIRST_EJECTION_OBJECTIVES=1e5, MAX_EJECTION_OBJECTIVES=1e5
            ),
            mock.patch.object(OutlierDetector, "readmit", lambda self, endpoint: None),
        ):
            yield

    return both()


def _favours_cold_servers() -> contextlib.AbstractContextManager[Any]:
    dispatch = balancer.Balancer._dispatch

    def cold_first(self: Any, request: Any) -> None:
        cold = [each for each in self._endpoints.ready if self._slow_start.is_cold(each)]
        if cold and self._send(request, cold[0]):
            return
        dispatch(self, request)

    @contextlib.contextmanager
    def both() -> Iterator[None]:
        with mock.patch.object(SlowStart, "has_budget", lambda self, endpoint, cost: True):
            with mock.patch.object(balancer.Balancer, "_dispatch", cold_first):
                yield

    return both()


def _serves_what_came_before() -> contextlib.AbstractContextManager[Any]:
    """Answers come from a store: the last good one is served in place of a spoilt one."""
    last: list[Any] = []
    answered = ClientConnection._finish_response

    def from_store(self: Any, response: Any) -> None:
        if response.status == 200 and response.body:
            last[:] = [response]
        elif response.status == 500 and last:
            response = last[0]
        answered(self, response)

    return mock.patch.object(ClientConnection, "_finish_response", from_store)


def _takes_cut_answers() -> contextlib.AbstractContextManager[Any]:
    """What was spoilt passes for good."""

    def fail(self: Any, failure: Any) -> None:
        ended = self._on_end
        self.close()
        if ended is not None:
            ended(Response(200, [], b"s-0 nothing"))

    return mock.patch.object(ClientConnection, "_fail", fail)


def _raises_on_drops() -> contextlib.AbstractContextManager[Any]:
    """A defect where a connection breaks under a request."""
    fail = ClientConnection._fail

    def defect(self: Any, failure: Any) -> None:
        is_broken = failure is Failure.BROKEN and self._on_end is not None
        fail(self, failure)
        if is_broken:
            raise ValueError("a defect")

    return mock.patch.object(ClientConnection, "_fail", defect)


def _spins() -> contextlib.AbstractContextManager[Any]:
    def again(self: Any) -> None:
        self._network.call_soon(again, self)

    return mock.patch.object(ConnectionPool, "_close_expired", again)


def waits_long() -> contextlib.AbstractContextManager[Any]:
    """Watches whose calls wait for twenty seconds, as they once did; no drawn day lasts that long."""

    def update_limits(self: Any, max_poll_interval_us: int, grace_us: int) -> None:
        self.blocking_call = watch_health.ResponseTimeout(20_000, 22.0, 22.0, 22.0, 22.0, 1, False)
        self.second_call = self.blocking_call
        self.first_call = watch_health.ResponseTimeout(0, 5.0, 5.0, 5.0, 5.0, 1, False)

    return mock.patch.object(watch_health.WatchHealth, "update_limits", update_limits)


# Each with the rules, any of which it has to be found by.
MUTANTS: dict[str, tuple[Mutant, set[str]]] = {
    "a failure is answered twice": (_answers_twice, {"one answer"}),
    "a failure is not answered": (_forgets_answers, {"one answer"}),
    "answers come 200 ms late": (_in_place(balancer, "ANSWER_MARGIN_TICKS", -40), {"in time"}),
    "a reset proves that nothing ran": (_drops_are_unsent, {"no effect twice"}),
    "a keyed request goes to any cell": (_any_cell, {"no effect twice"}),
    "what may have run is refused": (_refuses_what_ran, {"a refusal is harmless"}),
    "an attempt given up on lingers": (_leaves_late, {"one attempt at a time"}),
    "word of a drain is overheard": (_overhears_drains, {"drains"}),
    "cold servers are the first choice": (_favours_cold_servers, {"cold servers"}),
    "an error is answered from a store": (_serves_what_came_before, {"own answer"}),
    "a broken answer passes for good": (_takes_cut_answers, {"own answer"}),
    "an open request is kept for good": (
        _in_place(OpenRequests, "remove_if_over", lambda self, request: None),
        {"no leak"},
    ),
    "connections at rest are never closed": (
        _in_place(ConnectionPool, "_close_expired", lambda self: None),
        {"no leak"},
    ),
    "ejected servers stay out": (_ejects_for_good, {"service returns"}),
    "a defect where connections break": (_raises_on_drops, {"no defect"}),
    "a callback never ends": (_spins, {"an end"}),
}
