"""The coordinator of a balancer's decisions: dispatches events and enforces the rules.

For every request it draws k random distinct ready endpoints and sends to the one with the fewest own requests
in flight; after a full response it draws again, with more candidates.  `_send` starts all attempts, and
`_finish` answers where no server did; these two enforce the rules, whatever their callers decide.

Types: `settings`, `events`, `actions`.  The reasons for the design: docs/design.md.
"""

from __future__ import annotations

import random
from typing import Final

from micadeck.policy.actions import Action, Cancel, Fail, Refuse, Send, SetAttemptDeadline
from micadeck.policy.admission import AdmissionControl
from micadeck.policy.concurrency_limit import ConcurrencyLimit
from micadeck.policy.context import DecisionContext
from micadeck.policy.discovery_polling import DiscoveryPoller
from micadeck.policy.endpoint_updates import EndpointUpdates
from micadeck.policy.endpoints import Endpoint, EndpointRegistry
from micadeck.policy.events import (
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    Event,
    RequestArrived,
    RequestCompleted,
    ServersListed,
    ServerState,
    SettingsChanged,
    TimerFired,
)
from micadeck.policy.latency import LatencyEstimates, cost_exponent
from micadeck.policy.open_requests import Attempt, OpenRequest
from micadeck.policy.outcome_recording import OutcomeRecorder
from micadeck.policy.outcomes import Outcome
from micadeck.policy.outlier_detection import OutlierDetector
from micadeck.policy.overdue_attempts import OverdueDetector
from micadeck.policy.retry_policy import (
    RetryBudget,
    has_attempts_left,
    is_in_deduplication_scope,
    is_safe_to_reject,
    may_finish_session,
    may_run_again,
    retry_after_us,
    retry_deadline,
)
from micadeck.policy.selection import EndpointSelector
from micadeck.policy.settings import ServiceClass, Settings
from micadeck.policy.slow_start import SlowStart
from micadeck.policy.stale_connections import StaleConnectionDetector
from micadeck.policy.statistics import BalancerStatistics
from micadeck.policy.timers import DISCOVERY_POLL, NO_ATTEMPT, TimerQueue

ANSWER_MARGIN_TICKS: Final = 2  # a final answer is due this long before the client's deadline


class Balancer:
    """The decisions of one instance: handles events in order and returns the actions to carry out in order.

    Owns the open requests.  Guards all four rules: 1, one final answer in time; 2, no repeated effect; 3, no
    new request to draining or removed endpoints; 4, slow start.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Equal settings, seeds and events give equal actions."""
        context = DecisionContext(settings, random.Random(seed))
        self._context = context
        self._classes = {service_class.name: service_class for service_class in settings.classes}
        self._requests: dict[int, OpenRequest] = {}
        self._has_started = False
        self._timers = TimerQueue(context)
        self._polling = DiscoveryPoller(context, self._timers)
        self._endpoints = EndpointRegistry(context)
        self._concurrency = ConcurrencyLimit(context)
        self._admission = AdmissionControl(context, self._concurrency)
        self._latency = LatencyEstimates(context, self._concurrency)
        self._retry_budget = RetryBudget()
        self._slow_start = SlowStart(context, self._endpoints, self._concurrency)
        self._stale_connections = StaleConnectionDetector(context, self._endpoints)
        self._outliers = OutlierDetector(
            context, self._endpoints, self._concurrency, self._slow_start, self._stale_connections
        )
        self._selector = EndpointSelector(
            context, self._endpoints, self._concurrency, self._slow_start, self._outliers
        )
        self._outcomes = OutcomeRecorder(
            context, self._endpoints, self._concurrency, self._latency, self._outliers
        )
        self._overdue = OverdueDetector(
            context, self._timers, self._concurrency, self._latency, self._outliers
        )
        self._updates = EndpointUpdates(
            context, self._endpoints, self._polling, self._slow_start, self._outliers
        )

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event and return the actions, in order.

        Args:
            now: The time of the event in microseconds, on a monotonic clock.
            event: The event.
        """
        context = self._context
        context.now = now
        context.actions = []
        self._concurrency.update_mean_load()
        if not self._has_started:
            self._has_started = True
            self._polling.poll()
        match event:
            case AttemptEnded():
                self._attempt_ended(event)
            case RequestArrived():
                self._request_arrived(event)
            case TimerFired():
                self._timer_fired()
            case ServersListed():
                self._updates.apply(event)
            case ClientDisconnected():
                self._client_disconnected(event)
            case RequestCompleted():
                self._request_completed(event)
            case AnswerStarted():
                self._answer_started(event)
            case SettingsChanged():
                self._settings_changed(event.settings)
            case _:
                pass  # results of probes and peer messages are ignored: this balancer sends neither
        self._arm_timer()
        return context.actions

    def known(self) -> int:
        """Return how many endpoints are listed; safe on any thread."""
        return self._endpoints.listed_count()

    def avoided(self) -> int:
        """Return how many of these are draining or ejected; safe on any thread."""
        return self._endpoints.listed_count() - self._endpoints.available_count()

    def has_retry(self, now: int, request_id: int) -> bool:
        """Return whether a failure of the request's attempt now would be followed by another attempt.

        Changes nothing: it neither draws a random number nor uses the retry budget.
        """
        request = self._requests.get(request_id)
        if request is None or request.is_answered:
            return False
        settings = self._context.settings
        return (
            has_attempts_left(request, settings.limits)
            and may_run_again(request, now, settings)
            and self._retry_budget.has_retry()
            and self._selector.has_candidate(request)
        )

    def statistics(self) -> BalancerStatistics:
        """Return the state of the balancer; safe on any thread."""
        concurrency = self._concurrency
        return BalancerStatistics(
            load=concurrency.load(),
            concurrency_limit=concurrency.limit,
            objective_fraction=concurrency.objective_fraction,
            late_fraction=concurrency.late_fraction,
            core_utilization=concurrency.utilization,
            ejected=len(self._endpoints.ejected),
        )

    def _settings_changed(self, settings: Settings) -> None:
        """Apply new settings; drop the estimates of removed classes, keep all others."""
        self._context.replace_settings(settings)
        self._classes = {service_class.name: service_class for service_class in settings.classes}
        self._slow_start.settings_changed()
        self._outliers.settings_changed()
        self._admission.settings_changed(self._classes)
        self._latency.settings_changed(self._classes)

    # Requests

    def _request_arrived(self, event: RequestArrived) -> None:
        service_class = event.kind or self._classes.get(event.service_class)
        if service_class is None:
            # A class that the settings do not name gets the most cautious defaults.
            span_us = max(event.remaining_us, 1)
            service_class = ServiceClass(event.service_class, span_us, span_us)
        self._slow_start.record_arrival()
        self._retry_budget.deposit()
        cost = self._latency.relative_cost(service_class, event.cost_us)
        request = OpenRequest(
            event.request,
            service_class,
            self._answer_by(event.remaining_us),
            cost,
            event.sticky_server,
            self._context.settings.limits.max_attempts,
            event.is_complete,
        )
        request.cost_exponent = cost_exponent(cost)
        self._requests[event.request] = request
        self._timers.schedule(request.answer_by, event.request, NO_ATTEMPT)
        if event.sticky_server is None and self._admission.is_shed(service_class, event.tenant):
            self._finish(request)
        else:
            self._dispatch(request)

    def _answer_by(self, remaining_us: int) -> int:
        return self._context.now + remaining_us - ANSWER_MARGIN_TICKS * self._context.settings.tick_us

    def _dispatch(self, request: OpenRequest) -> bool:
        """Send the request to the best endpoint, or answer it if there is none to try.

        Returns:
            Whether it was sent.
        """
        endpoint = self._selector.choose(request)
        if endpoint is not None and self._send(request, endpoint):
            return True
        if not request.has_pending_attempt():
            self._finish(request)
        return False

    def _request_completed(self, event: RequestCompleted) -> None:
        """Restart the request's times at its last byte: no server can have begun it earlier."""
        request = self._requests.get(event.request)
        if request is None or request.is_answered:
            return
        request.is_complete = True
        request.answer_by = self._answer_by(event.remaining_us)
        self._timers.schedule(request.answer_by, request.request_id, NO_ATTEMPT)
        for attempt in request.attempts:
            if attempt.is_pending:
                attempt.sent_at = self._context.now
                self._concurrency.set_transferring(attempt, False)
                self._overdue.schedule(request, attempt)
                deadline = SetAttemptDeadline(request.request_id, attempt.index, request.answer_by)
                self._context.actions.append(deadline)

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.is_answered:
            self._close(request)

    def _answer_started(self, event: AnswerStarted) -> None:
        request = self._requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            request.attempts[event.attempt].response_started = True
            self._concurrency.set_transferring(request.attempts[event.attempt], True)

    # Sending an attempt

    def _send(self, request: OpenRequest, endpoint: Endpoint) -> bool:
        """Send an attempt if the rules allow it; return whether it was sent."""
        if not self._may_send(request, endpoint):
            return False
        context = self._context
        self._slow_start.spend(endpoint, request.relative_cost)
        write_by = retry_deadline(request, context.settings)
        attempt = Attempt(
            len(request.attempts),
            endpoint,
            endpoint.zone,
            endpoint.cell,
            context.now,
            self._outliers.answers,
        )
        attempt.connection_idle_us = self._stale_connections.take_connection(endpoint)
        request.attempts.append(attempt)
        endpoint.in_flight += 1
        attempt.opens_connection = endpoint.in_flight > endpoint.connections
        endpoint.connections = max(endpoint.connections, endpoint.in_flight)
        self._concurrency.attempt_sent(attempt)
        if endpoint.ejected_until is not None and request.sticky_endpoint is None:
            endpoint.probation_attempt = attempt
        if request.is_complete:
            self._overdue.schedule(request, attempt)
        else:
            self._concurrency.set_transferring(attempt, True)
        context.actions.append(Send(request.request_id, endpoint.name, request.answer_by, write_by))
        return True

    def _may_send(self, request: OpenRequest, endpoint: Endpoint) -> bool:
        now = self._context.now
        settings = self._context.settings
        if request.is_answered or now >= request.answer_by:
            return False  # rule 1: no attempt after the final answer or its deadline
        if not has_attempts_left(request, settings.limits):
            return False
        if request.pending_attempts() >= settings.limits.max_attempts_in_flight:
            return False  # rule 2: no two attempts at a time, or three where hedging is allowed
        if not may_run_again(request, now, settings) or not is_in_deduplication_scope(request, endpoint):
            return False  # rule 2: no second effect
        is_ready = endpoint.state is ServerState.READY
        if not is_ready and not may_finish_session(request, endpoint, now, settings.rules):
            return False  # rule 3: not even within the permitted grace period
        return self._slow_start.has_budget(endpoint, request.relative_cost)  # rule 4

    # Final answers

    def _finish(self, request: OpenRequest) -> None:
        """Answer in place of a server: reject where a retry by the client is safe, else fail."""
        if request.is_answered:
            return
        context = self._context
        if is_safe_to_reject(request):
            wait = retry_after_us(request, context.settings.limits, context.random)
            context.actions.append(Refuse(request.request_id, wait))
        else:
            context.actions.append(Fail(request.request_id))
        self._close(request)

    def _close(self, request: OpenRequest) -> None:
        """Mark the request as answered and cancel its pending attempts where that is permitted."""
        request.is_answered = True
        may_cancel = self._context.settings.limits.may_cancel
        for attempt in request.attempts:
            if may_cancel and attempt.is_pending and not attempt.response_started:
                self._context.actions.append(Cancel(request.request_id, attempt.index))
        self._remove_if_finished(request)

    def _remove_if_finished(self, request: OpenRequest) -> None:
        if request.is_answered and not request.has_pending_attempt():
            self._requests.pop(request.request_id, None)

    # Ends of attempts

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.is_pending:
            return
        self._outcomes.record(request, attempt, event)
        if event.answered:
            if not request.is_answered:
                self._close(request)
        elif event.outcome is Outcome.REJECTED and not request.is_answered:
            # The request is invalid: another server would reject it too.
            self._context.actions.append(Fail(request.request_id))
            self._close(request)
        elif not request.is_answered:
            self._retry_or_finish(request, attempt, event)
        self._remove_if_finished(request)
        self._endpoints.forget_if_removed(attempt.endpoint)

    def _retry_or_finish(self, request: OpenRequest, attempt: Attempt, event: AttemptEnded) -> None:
        """After a failed attempt, send the request to another endpoint or answer it."""
        settings = self._context.settings
        request.failed_endpoints.append(attempt.endpoint)
        if not event.can_retry:
            request.attempt_limit = 0
        is_full = event.outcome is Outcome.FULL
        is_refused = event.outcome is Outcome.CONNECTION_REFUSED
        request.full_responses += is_full
        request.refused_connections += is_refused
        may_retry = has_attempts_left(request, settings.limits)
        may_retry = may_retry and may_run_again(request, self._context.now, settings)
        # After a full response or a refused connection, trying other endpoints uses no retry budget.
        if may_retry and (is_full or is_refused or self._retry_budget.withdraw()):
            self._dispatch(request)
        elif not request.has_pending_attempt():
            self._finish(request)
        if is_full and request.is_answered:
            self._concurrency.record_overload()  # the servers are full, not just this one

    def _replace_silent_attempt(self, request: OpenRequest, attempt: Attempt) -> None:
        """Hedge the request once, or cancel its attempt so that it is retried, where permitted."""
        context = self._context
        limits = context.settings.limits
        if attempt.is_hedged or not may_run_again(request, context.now, context.settings):
            return
        if not has_attempts_left(request, limits):
            return
        if request.pending_attempts() < limits.max_attempts_in_flight:
            if self._retry_budget.withdraw():
                attempt.is_hedged = self._dispatch(request)
        elif limits.may_cancel and self._retry_budget.has_retry():
            # The retry follows when the cancelled attempt ends, and uses the budget only then.
            self._outliers.prolong_cancelled_probation(attempt)
            context.actions.append(Cancel(request.request_id, attempt.index))

    # Timers

    def _timer_fired(self) -> None:
        self._timers.host_timer_fired()
        while self._timers.is_due():
            _, _, request_id, index = self._timers.pop()
            if request_id == DISCOVERY_POLL:
                self._polling.poll_if_due()
                continue
            request = self._requests.get(request_id)
            if request is not None and not request.is_answered:
                self._request_timer_due(request, index)

    def _request_timer_due(self, request: OpenRequest, index: int) -> None:
        if any(attempt.response_started for attempt in request.attempts):
            return
        if index == NO_ATTEMPT:
            if self._context.now >= request.answer_by:
                self._finish(request)
            return
        attempt = request.attempts[index]
        if attempt.is_pending and self._overdue.check(request, attempt):
            self._replace_silent_attempt(request, attempt)

    def _arm_timer(self) -> None:
        entries = self._timers.entries
        while entries and self._is_obsolete(entries[0][0], entries[0][2], entries[0][3]):
            self._timers.pop()
        self._timers.arm()

    def _is_obsolete(self, due: int, request_id: int, index: int) -> bool:
        """Return whether this entry would have no effect when due."""
        if request_id == DISCOVERY_POLL:
            return not self._polling.is_planned_at(due)
        request = self._requests.get(request_id)
        if request is None or request.is_answered:
            return True
        return index != NO_ATTEMPT and not request.attempts[index].is_pending
