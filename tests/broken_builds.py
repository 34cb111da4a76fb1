"""Mutants of the program: each injects a defect that an oracle of the simulation has to find."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from micadeck.engine.open_requests import OpenRequests
from micadeck.http import downstream_connection
from micadeck.http.client import ClientConnection, Failure
from micadeck.http.messages import Response
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


def _patched(of: Any, name: str, value: Any) -> Mutant:
    return lambda: mock.patch.object(of, name, value)


def _failure_answered_twice() -> contextlib.AbstractContextManager[Any]:
    answer = downstream_connection.DownstreamConnection.answer

    def twice(self: Any, status: int, headers: Any, body: bytes) -> None:
        transport = self._transport
        answer(self, status, headers, body)
        if status == 502 and transport is not None:
            transport.write(b"HTTP/1.1 502 Again\r\nContent-Length: 0\r\n\r\n")

    return mock.patch.object(downstream_connection.DownstreamConnection, "answer", twice)


def _failure_never_answered() -> contextlib.AbstractContextManager[Any]:
    """A failure is never answered."""
    return mock.patch.object(
        downstream_connection.DownstreamConnection, "failed", lambda self, cause, may_have_run: None
    )


def _lost_connection_counts_as_unsent() -> contextlib.AbstractContextManager[Any]:
    never_ran = Rules.never_ran
    return mock.patch.object(
        Rules,
        "never_ran",
        lambda self, outcome: outcome is Outcome.CONNECTION_LOST or never_ran(self, outcome),
    )


def _ignores_cells() -> contextlib.AbstractContextManager[Any]:
    def in_scope(request: Any, endpoint: Any) -> bool:
        return request.service_class.deduplication_scope is not DeduplicationScope.ZONE

    @contextlib.contextmanager
    def both() -> Iterator[None]:
        with mock.patch.object(balancer, "is_in_deduplication_scope", in_scope):
            with mock.patch.object(selection, "is_in_deduplication_scope", in_scope):
                yield

    return both()


def _refuses_executed_requests() -> contextlib.AbstractContextManager[Any]:
    finish = balancer.Balancer._finish

    def refuse(self: Any, request: Any) -> None:
        for each in request.attempts:
            each.may_have_run = False
        finish(self, request)

    return mock.patch.object(balancer.Balancer, "_finish", refuse)


def _aborts_late() -> contextlib.AbstractContextManager[Any]:
    """An abandoned attempt stays open during the next."""

    def later(self: Any) -> None:
        self._on_end = self._on_written = None
        self._stop_timer()
        if self._transport is not None and not self._closed:
            self._network.call_later(0.05, self._transport.abort)
        self._report_closed()

    return mock.patch.object(ClientConnection, "close", later)


def _ignores_drains() -> contextlib.AbstractContextManager[Any]:
    set_state = EndpointRegistry.set_state
    listed = ConnectionPool.update_endpoints

    def ready(self: Any, server: Any, state: ServerState) -> None:
        set_state(self, server, ServerState.READY if state is ServerState.DRAINING else state)

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


def _never_readmits() -> contextlib.AbstractContextManager[Any]:
    """No probation request is due, and a restart in the list does not readmit a server."""

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


def _prefers_cold_servers() -> contextlib.AbstractContextManager[Any]:
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


def _serves_cached_responses() -> contextlib.AbstractContextManager[Any]:
    """The last good response is served in place of an error."""
    last: list[Any] = []
    answered = ClientConnection._finish_response

    def from_store(self: Any, response: Any) -> None:
        if response.status == 200 and response.body:
            last[:] = [response]
        elif response.status == 500 and last:
            response = last[0]
        answered(self, response)

    return mock.patch.object(ClientConnection, "_finish_response", from_store)


def _accepts_malformed_responses() -> contextlib.AbstractContextManager[Any]:
    """A malformed response is delivered."""

    def fail(self: Any, failure: Any) -> None:
        ended = self._on_end
        self.close()
        if ended is not None:
            ended(Response(200, [], b"s-0 nothing"))

    return mock.patch.object(ClientConnection, "_fail", fail)


def _raises_on_lost_connection() -> contextlib.AbstractContextManager[Any]:
    """An exception is raised where a connection breaks under a request."""
    fail = ClientConnection._fail

    def defect(self: Any, failure: Any) -> None:
        is_broken = failure is Failure.BROKEN and self._on_end is not None
        fail(self, failure)
        if is_broken:
            raise ValueError("a defect")

    return mock.patch.object(ClientConnection, "_fail", defect)


def _busy_loop() -> contextlib.AbstractContextManager[Any]:
    def again(self: Any) -> None:
        self._network.call_soon(again, self)

    return mock.patch.object(ConnectionPool, "_close_expired", again)


def with_long_polls() -> contextlib.AbstractContextManager[Any]:
    """Long polls wait for twenty seconds, as they once did: longer than any drawn scenario."""

    def update_limits(self: Any, max_poll_interval_us: int, grace_us: int) -> None:
        self.blocking_call = watch_health.ResponseTimeout(20_000, 22.0, 22.0, 22.0, 22.0, 1, False)
        self.second_call = self.blocking_call
        self.first_call = watch_health.ResponseTimeout(0, 5.0, 5.0, 5.0, 5.0, 1, False)

    return mock.patch.object(watch_health.WatchHealth, "update_limits", update_limits)


# Each with the rules of which at least one has to detect it.
MUTANTS: dict[str, tuple[Mutant, set[str]]] = {
    "a failure is answered twice": (_failure_answered_twice, {"one answer"}),
    "a failure is not answered": (_failure_never_answered, {"one answer"}),
    "answers come 200 ms late": (_patched(balancer, "ANSWER_MARGIN_TICKS", -40), {"in time"}),
    "a reset proves that nothing ran": (_lost_connection_counts_as_unsent, {"no effect twice"}),
    "a keyed request goes to any cell": (_ignores_cells, {"no effect twice"}),
    "what may have run is refused": (_refuses_executed_requests, {"a refusal is harmless"}),
    "an attempt given up on lingers": (_aborts_late, {"one attempt at a time"}),
    "word of a drain is overheard": (_ignores_drains, {"drains"}),
    "cold servers are the first choice": (_prefers_cold_servers, {"cold servers"}),
    "an error is answered from a store": (_serves_cached_responses, {"own answer"}),
    "a broken answer passes for good": (_accepts_malformed_responses, {"own answer"}),
    "an open request is kept for good": (
        _patched(OpenRequests, "remove_if_over", lambda self, request: None),
        {"no leak"},
    ),
    "connections at rest are never closed": (
        _patched(ConnectionPool, "_close_expired", lambda self: None),
        {"no leak"},
    ),
    "ejected servers stay out": (_never_readmits, {"service returns"}),
    "a defect where connections break": (_raises_on_lost_connection, {"no defect"}),
    "a callback never ends": (_busy_loop, {"an end"}),
}
