"""The engine passes events to the decisions and executes the actions that they return.

Only this module calls `Balancer.handle`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Container, Mapping
from functools import partial
from typing import Any

from micadeck.engine.address_owners import AddressOwners
from micadeck.engine.final_answers import FinalAnswers
from micadeck.engine.open_requests import OpenRequests
from micadeck.engine.ports import (
    EndpointUpdate,
    EnginePorts,
    FailureCause,
    Request,
    ResponseHandler,
)
from micadeck.engine.send_guard import InvariantLog, InvariantViolation
from micadeck.errors import OperatorError
from micadeck.memory.budget import MemoryBudget, PressureLevel
from micadeck.policy import Balancer, Settings
from micadeck.policy.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SendPeerMessage,
    SetAttemptDeadline,
    SetTimer,
    WatchEndpoints,
)
from micadeck.policy.events import (
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    Event,
    ListKind,
    MessageReceived,
    ProbeEnded,
    RequestArrived,
    RequestCompleted,
    ServersListed,
    SettingsChanged,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome
from micadeck.policy.statistics import BalancerStatistics

_PROBE_TIMEOUT_US = 1_000_000
_MEMORY_RETRY_AFTER_US = 500_000  # for requests refused for lack of memory


class RequestIdInUseError(OperatorError):
    """A request has the id of another request that is open or may have run without an answer."""

    advice = "Have clients give every open request a unique id."


class _Attempt:
    """An attempt in flight; the transport calls it once, when it has ended."""

    __slots__ = ("_engine", "index", "request", "sent_at", "server")

    def __init__(self, engine: Engine, request: int, index: int, server: str, sent_at: int) -> None:
        self._engine = engine
        self.request = request
        self.index = index
        self.server = server
        self.sent_at = sent_at

    def __call__(self, outcome: Outcome, response: Any, report: Mapping[str, float] | None) -> None:
        self._engine._attempt_ended(self, outcome, response, report)


class Engine:
    """Runs the decisions of one load balancer.

    Owns the decisions, the queue of their events, their timers and the open requests.

    Attributes:
        invariants: Counts and logs violated invariants.
        outcomes: How requests ended, by service class.
        shed_requests: How many requests were refused for lack of memory.
        on_endpoint_update: Called with every endpoint update.
        has_list: Whether the source reported a list since the start.
        foreign_ids: Ids that were in use in processes that have exited; writes with these are rejected.
        memory: Memory budget whose pressure level sheds new requests; None: none are shed.
    """

    def __init__(self, settings: Settings, seed: int, ports: EnginePorts, log: Callable[[str], None]) -> None:
        """Connect the decisions to the ports; `start` runs them.

        Args:
            settings: The settings of the decisions.
            seed: The seed of their random numbers.
            ports: What the engine is connected to.
            log: Writes one line.
        """
        self._settings = settings
        self._network = ports.network
        self._transport = ports.transport
        self._source = ports.source
        self._peers = ports.peers
        self._log = log
        self._policy = Balancer(settings, seed)
        self._balancer = self._policy  # or its wrapper, see `wrap_balancer`
        self.invariants = InvariantLog(log)
        self.shed_requests = 0
        self.on_endpoint_update: Callable[[EndpointUpdate], None] | None = None
        self.has_list = False
        self.memory: MemoryBudget | None = None
        self.foreign_ids: Container[bytes] = ()
        self._address_owners = AddressOwners()
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._open = OpenRequests(ports.network.now)
        self._answers = FinalAnswers(ports.network, ports.transport, self._open, self.invariants)
        self.outcomes = self._answers.outcomes
        self._drain_deadline_us: int | None = None  # latest time of final answers; None: not draining

    def start(self, known: EndpointUpdate) -> None:
        """Use the last known endpoint list, and subscribe to updates from the source."""
        known = self._address_owners.resolve(known)
        self._transport.update_endpoints(known)
        self._post(known.event(ListKind.REMEMBERED))
        self._source.start(self._endpoints_updated, lambda: self._post(ServersListed(ListKind.FAILED)))

    def request_id(self, request: int) -> bytes:
        """The client's id of an open request; empty if it is not open."""
        opened = self._open.get(request)
        return opened.request.request_id if opened is not None else b""

    def statistics(self) -> BalancerStatistics:
        """The statistics of the decisions."""
        return self._policy.statistics()

    def wrap_balancer(self, wrap: Callable[[Balancer], Balancer]) -> None:
        """Wrap the decisions in a recorder of their events; call before `start`."""
        self._balancer = wrap(self._balancer)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; open requests keep their class."""
        self._settings = settings
        self._post(SettingsChanged(settings))

    def share_request_ids(self, ids: set[bytes]) -> None:
        """Store the ids of unanswered requests in this set, which other processes share, and those kept.

        An id in it is in use.
        """
        self._open.store_ids_in(ids)

    def close(self) -> None:
        """Close all ports."""
        self._source.close()
        self._peers.close()
        self._transport.close()

    @property
    def open_requests(self) -> int:
        """Number of requests that are unanswered or have an attempt in flight."""
        return len(self._open)

    @property
    def unanswered_requests(self) -> int:
        """Number of requests without their final answer."""
        return self._open.unanswered

    @property
    def in_progress(self) -> int:
        """Number of complete requests without their final answer; safe to call from any thread."""
        return sum(
            opened.handler is not None and opened.request.is_complete for opened in list(self._open.values())
        )

    @property
    def known_servers(self) -> int:
        """Number of servers on the list."""
        return self._policy.known()

    @property
    def skipped_servers(self) -> int:
        """Number of listed servers that get no new requests: draining or ejected."""
        return self._policy.avoided()

    # Called by listeners

    def submit(self, request: Request, handler: ResponseHandler) -> int | None:
        """Accept a request; its handler gets exactly one answer, unless the client disconnects.

        Returns:
            The request's number; None if it was answered within this call.

        Raises:
            RequestIdInUseError: Another open request has this id, by which servers distinguish requests, or
                one that may have run for a client that has disconnected.  The handler gets no answer.
        """
        request_id = request.request_id
        if request_id in self._open.ids_in_use or (request.write and request_id in self.foreign_ids):
            raise RequestIdInUseError(request.request_id.decode("latin-1"))
        max_open = self._settings.limits.max_open
        is_full = max_open is not None and self.unanswered_requests >= max_open
        if is_full or request.remaining_us <= 0:
            self._answers.reject(request, handler, 0)
            return None
        if self.memory is not None and self.memory.level >= PressureLevel.SHED:
            self.shed_requests += 1
            self._answers.reject(request, handler, self._memory_retry_after_us())
            return None
        if self._drain_deadline_us is not None:
            request.remaining_us = self._time_left(request.remaining_us)
        number = self._open.add(handler, request, self._network.now() + request.remaining_us)
        request.has_retry = partial(self._has_retry, number)
        self._post(_arrival_event(number, request))
        return None if self._open.is_answered(number) else number

    def _has_retry(self, number: int) -> bool:
        opened = self._open.get(number)
        if opened is None or not opened.request.can_retry():
            return False
        return self._policy.has_retry(self._network.now(), number)

    def _memory_retry_after_us(self) -> int:
        limits = self._settings.limits
        return min(limits.max_retry_after_us, _MEMORY_RETRY_AFTER_US) if limits.retry_after else 0

    def request_completed(self, request: int, remaining_us: int) -> None:
        """Record that the last byte of a request was received; its deadline counts from now."""
        opened = self._open.get(request)
        if opened is None or opened.handler is None or opened.request.is_complete:
            return
        opened.request.is_complete = True
        opened.completed_at = self._network.now()
        opened.deadline_us = opened.completed_at + remaining_us
        self._post(RequestCompleted(request, self._time_left(remaining_us)))

    def _time_left(self, remaining_us: int) -> int:
        if self._drain_deadline_us is None:
            return remaining_us
        return max(min(remaining_us, self._drain_deadline_us - self._network.now()), 1)

    def client_disconnected(self, request: int) -> None:
        """Record that the client disconnected; its handler gets no answer any more."""
        if self._answers.mark_answered(request, keeps_id=True) is None:
            return
        self._post(ClientDisconnected(request))
        self._open.remove_if_over(request)

    def response_started(self, request: int, attempt: object = None) -> bool:
        """Record that the first part of an attempt's answer is about to go to the client.

        No other attempt follows: if this one does not deliver the rest, the request fails.

        Args:
            request: The number of the request.
            attempt: The transport's handle of the attempt; None: the last one.

        Returns:
            Whether it may be sent: false if the request is already answered, or by another attempt.
        """
        opened = self._open.get(request)
        if opened is None or opened.handler is None:
            return False
        index = len(opened.attempts) - 1 if attempt is None else opened.attempts.index(attempt)
        if opened.answering not in (None, index):
            return False
        opened.answering = index
        server, sent_at = opened.sent[index]
        delay_us = self._network.now() - max(sent_at, opened.completed_at)
        opened.response_delay_us = delay_us
        self._post(AnswerStarted(request, index, server, delay_us))
        return True

    def set_drain_deadline(self, deadline_us: int) -> None:
        """Limit the deadlines of requests accepted from now on to this time."""
        self._drain_deadline_us = deadline_us

    def fail_open_requests(self) -> None:
        """Fail all unanswered requests, when a drain ends before the decisions answered them."""
        for request in list(self._open):
            self._answers.fail(request, FailureCause.TIME)

    def receive_peer_message(self, sender: int, payload: bytes) -> None:
        """Handle a message from another sidecar."""
        self._post(MessageReceived(sender, payload))

    def report_defect(self, text: str) -> None:
        """Log a defect that a listener caught."""
        self._log(f"internal error: {text}")

    # Events

    def _post(self, event: Event) -> None:
        """Queue an event for the decisions; unless they are handling one, handle the queue at once."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                if isinstance(event, AttemptEnded):
                    event.answered = self._open.is_settled(event.request)
                try:
                    for action in self._balancer.handle(self._network.now(), event):
                        _ACTION_HANDLERS[type(action)](self, action)
                except Exception as error:
                    self._recover_from_defect(event, error)
                if isinstance(event, AttemptEnded):
                    self._open.remove_if_over(event.request)
        finally:
            self._is_handling = False

    def _recover_from_defect(self, event: Event, error: Exception) -> None:
        """Log a defect in the decisions, and fail the request that it left unanswered."""
        self._log(f"internal error: {type(event).__name__}: {error!r}")
        if isinstance(event, (RequestArrived, AttemptEnded)):
            self._answers.fail(event.request, FailureCause.DEFECT)

    def _endpoints_updated(self, update: EndpointUpdate) -> None:
        self.has_list = True
        if self.on_endpoint_update is not None:
            self.on_endpoint_update(update)
        update = self._address_owners.resolve(update)
        self._transport.update_endpoints(update)
        self._post(update.event())

    def _attempt_ended(
        self, attempt: _Attempt, outcome: Outcome, response: Any, report: Mapping[str, float] | None
    ) -> None:
        request = attempt.request
        opened = self._open[request]
        is_delivered = outcome is Outcome.DELIVERED
        if not is_delivered and opened.handler is not None:
            opened.request.check_client()  # no further attempt if the client has disconnected
        opened.in_flight -= 1
        opened.last_outcome = outcome
        opened.may_have_run = opened.may_have_run or not self._settings.rules.never_ran(outcome)
        if outcome is Outcome.CONNECTION_REFUSED:
            self._source.suspect_stale()
        is_answering = opened.answering == attempt.index
        if is_delivered and (is_answering or opened.answering is None):
            self._answers.serve(request, opened, response)
        # A request whose body was complete only after the attempt was sent is timed from its completion.
        elapsed_us = self._network.now() - max(attempt.sent_at, opened.completed_at)
        if is_answering and opened.response_delay_us is not None:
            # The client's read speed determines how long the rest took, so it does not count for the server.
            elapsed_us = opened.response_delay_us
            if not is_delivered:
                self._answers.fail(request, FailureCause.SERVERS)
        # `_post` sets `answered` when it takes the event from the queue.
        can_retry = is_delivered or opened.request.can_retry()
        self._post(
            AttemptEnded(
                request, attempt.index, attempt.server, outcome, elapsed_us, False, report, can_retry
            )
        )

    # Actions, called through `_ACTION_HANDLERS`

    def _send(self, action: Send) -> None:
        opened = self._open[action.request]
        sent_at = self._network.now()
        if opened.in_flight >= self._settings.limits.max_attempts_in_flight:
            self.invariants.record(
                InvariantViolation.TWO_ATTEMPTS, opened.request.request_id, f"{opened.in_flight} in flight"
            )
        opened.in_flight += 1
        opened.sent.append((action.server, sent_at))
        attempts = opened.attempts
        on_done = _Attempt(self, action.request, len(attempts), action.server, sent_at)
        attempts.append(
            self._transport.start(action.server, action.until, opened.request, on_done, action.write_by)
        )

    def _set_timer(self, action: SetTimer) -> None:
        self._arm_timer(self._network.now() + action.in_us, action.token)

    def _arm_timer(self, due_us: int, token: str) -> None:
        def fire() -> None:
            if self._network.now() < due_us:
                self._arm_timer(due_us, token)  # the event loop fired it early; nothing is due yet
            else:
                self._post(TimerFired(token))

        self._network.call_later(max((due_us - self._network.now()) / 1e6, 0.0), fire)

    def _refuse(self, action: Refuse) -> None:
        retry_after_us = action.retry_after_us if self._settings.limits.retry_after else 0
        self._answers.refuse(action.request, retry_after_us)

    def _fail(self, action: Fail) -> None:
        opened = self._open.get(action.request)
        is_timeout = opened is not None and opened.last_outcome in (None, Outcome.TIMED_OUT)
        self._answers.fail(action.request, FailureCause.TIME if is_timeout else FailureCause.SERVERS)

    def _cancel(self, action: Cancel) -> None:
        opened = self._open.get(action.request)
        if opened is not None and action.attempt < len(opened.attempts):
            self._transport.cancel(opened.attempts[action.attempt])

    def _set_attempt_deadline(self, action: SetAttemptDeadline) -> None:
        opened = self._open.get(action.request)
        if opened is not None and action.attempt < len(opened.attempts):
            self._transport.set_deadline(opened.attempts[action.attempt], action.until)

    def _close_idle(self, action: CloseIdle) -> None:
        self._transport.close_idle(action.server)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        self._source.watch(action.wanted)

    def _fetch_list(self, _: FetchList) -> None:
        self._source.fetch()

    def _probe(self, action: Probe) -> None:
        server, sent_at = action.server, self._network.now()

        def on_done(outcome: Outcome, _: Any, report: Mapping[str, float] | None) -> None:
            self._post(ProbeEnded(server, outcome, self._network.now() - sent_at, report))

        self._transport.probe(server, sent_at + _PROBE_TIMEOUT_US, on_done)

    def _send_peer_message(self, action: SendPeerMessage) -> None:
        if not self._peers.send(action.receiver, action.payload):
            self._log("peers: could not send a message")

    def _write_log(self, action: Log) -> None:
        self._log(action.text)


def _arrival_event(number: int, request: Request) -> RequestArrived:
    return RequestArrived(
        request=number,
        service_class=request.service_class,
        tenant=request.tenant,
        key=request.key,
        remaining_us=request.remaining_us,
        cost_us=request.cost_us,
        client_retry=request.client_retry,
        write=request.write,
        sticky_server=request.sticky_server,
        kind=request.retired_class,
        is_complete=request.is_complete,
    )


_ACTION_HANDLERS: dict[type[Action], Callable[[Engine, Any], None]] = {
    Send: Engine._send,
    SetTimer: Engine._set_timer,
    Refuse: Engine._refuse,
    Fail: Engine._fail,
    Cancel: Engine._cancel,
    SetAttemptDeadline: Engine._set_attempt_deadline,
    CloseIdle: Engine._close_idle,
    WatchEndpoints: Engine._watch_endpoints,
    FetchList: Engine._fetch_list,
    Probe: Engine._probe,
    SendPeerMessage: Engine._send_peer_message,
    Log: Engine._write_log,
}
