"""The engine: what happens outside becomes events here, and what the decisions answer is carried out from
here.

`Balancer.handle` is called nowhere else.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from micadeck.engine.outcome_counters import OutcomeCounters
from micadeck.engine.ports import (
    EndpointSource,
    EndpointUpdate,
    FailureCause,
    PeerTransport,
    Request,
    ResponseHandler,
    Transport,
)
from micadeck.engine.send_guard import LATE_US, InvariantLog, InvariantViolation
from micadeck.memory.budget import MemoryBudget, PressureLevel
from micadeck.network import Network
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

_PROBE_WITHIN_US = 1_000_000
_SHED_RETRY_US = 500_000  # when a request that was refused for memory may come again


class RequestIdInUseError(Exception):
    """A request came with the id of one that is open."""


class _Open:
    """A request that was taken: until it is answered and its attempts have ended."""

    __slots__ = (
        "attempts",
        "due",
        "last_outcome",
        "may_have_run",
        "out",
        "request",
        "sent",
        "started",
        "waiter",
        "whole_at",
    )

    def __init__(self, waiter: ResponseHandler, request: Request, due: int) -> None:
        self.waiter: ResponseHandler | None = waiter  # None: it has its answer, or nobody waits for it
        self.request = request
        self.due = due  # when its time is over
        self.attempts: list[Any] = []
        self.out = 0
        self.last_outcome: Outcome | None = None
        self.may_have_run = False  # by the attempts that have ended
        self.sent: tuple[str, int] = ("", 0)  # the last attempt's server and time
        self.whole_at = 0  # when its last byte came, if that was after it was taken
        self.started: int | None = None  # how long its answer took to begin on its way to the waiter


class Engine:
    """One balancer from its start to its end."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        network: Network,
        carrier: Transport,
        source: EndpointSource,
        messages: PeerTransport,
        log: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._network = network
        self._carrier = carrier
        self._source = source
        self._messages = messages
        self._log = log
        self._decisions = Balancer(settings, seed)
        self._balancer = self._decisions  # or what hears in its place
        self.invariants = InvariantLog(log)
        self.account = OutcomeCounters()
        self.shed = 0  # requests refused for memory
        self.on_listed: Callable[[EndpointUpdate], None] | None = (
            None  # hears each list, beside the decisions
        )
        self.has_list = False  # whether a list was heard since the start
        self.memory: MemoryBudget | None = None  # where it is short, new requests are refused
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._open: dict[int, _Open] = {}
        self._owed: set[bytes] = set()  # ids of the requests without their final answer
        self._next_request = 1
        self._stop_by: int | None = None  # when all must be answered, once it drains

    def start(self, known: EndpointUpdate) -> None:
        """Take up the last known list, and begin to hear of newer ones."""
        self._carrier.listed(known)
        self._post(known.event(ListKind.REMEMBERED))
        self._source.start(self._listed, lambda: self._post(ServersListed(ListKind.FAILED)))

    def ident(self, request: int) -> bytes:
        """The client's name for an open request; empty if it is over."""
        held = self._open.get(request)
        return held.request.ident if held is not None else b""

    def figures(self) -> BalancerStatistics:
        """How the decisions stand."""
        return self._decisions.statistics()

    def record(self, around: Callable[[Balancer], Balancer]) -> None:
        """Put something round the decisions that hears what they hear; before `start`."""
        self._balancer = around(self._balancer)

    def retune(self, settings: Settings) -> None:
        """Put other settings in force; requests that are open keep their class."""
        self._settings = settings
        self._post(SettingsChanged(settings))

    def hold_ids(self, ids: set[bytes]) -> None:
        """Keep the ids of open requests here from now on, the present ones too; an id in there is in use."""
        for each in self._owed:
            ids.add(each)
        self._owed = ids

    def close(self) -> None:
        self._source.close()
        self._messages.close()
        self._carrier.close()

    @property
    def open_requests(self) -> int:
        """Requests that are not over: unanswered, or with an attempt still out."""
        return len(self._open)

    @property
    def owed_answers(self) -> int:
        """Requests without their final answer."""
        return len(self._owed)

    @property
    def in_progress(self) -> int:
        """Requests whose last byte came and that have no final answer; any thread may ask."""
        return sum(each.waiter is not None and each.request.is_complete for each in list(self._open.values()))

    @property
    def known_servers(self) -> int:
        """Servers on the list."""
        return self._decisions.known()

    @property
    def skipped_servers(self) -> int:
        """Of these, those that are avoided now: they drain, or were ejected."""
        return self._decisions.avoided()

    # What fronts call

    def take(self, request: Request, waiter: ResponseHandler) -> int | None:
        """Owe the waiter one answer from here on; give the request's number, or None if it has its answer.

        Raises IdInUse, and owes nothing, if the id is that of an open request: servers tell requests apart
        by it.
        """
        if request.ident in self._owed:
            raise RequestIdInUseError
        most = self._settings.limits.max_open
        has_room = most is None or len(self._owed) < most
        if not has_room or request.remaining_us <= 0:  # or its time was over before it came here
            self.account[request.service_class].refused += 1
            waiter.refused(0)
            return None
        if self.memory is not None and self.memory.stage >= PressureLevel.SHED:
            self.account[request.service_class].refused += 1
            self.shed += 1
            limits = self._settings.limits
            waiter.refused(min(limits.max_retry_after_us, _SHED_RETRY_US) if limits.retry_after else 0)
            return None
        if self._stop_by is not None:
            request.remaining_us = self._time_left(request.remaining_us)
        number = self._next_request
        self._next_request += 1
        self._open[number] = _Open(waiter, request, self._network.now() + request.remaining_us)
        self._owed.add(request.ident)
        self._post(
            RequestArrived(
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
        )
        return number if not self._is_answered(number) else None

    def request_completed(self, request: int, remaining_us: int) -> None:
        """The last byte came of a request that was taken before; its time runs from here."""
        held = self._open.get(request)
        if held is None or held.waiter is None or held.request.is_complete:
            return
        held.request.is_complete = True
        held.whole_at = self._network.now()
        held.due = held.whole_at + remaining_us
        self._post(RequestCompleted(request, self._time_left(remaining_us)))

    def _time_left(self, remaining_us: int) -> int:
        if self._stop_by is None:
            return remaining_us
        return max(min(remaining_us, self._stop_by - self._network.now()), 1)

    def client_disconnected(self, request: int) -> None:
        """The one who waits went away; nothing is owed any more."""
        if self._settle(request) is None:
            return
        self._post(ClientDisconnected(request))
        self._forget_if_over(request)

    def started(self, request: int) -> bool:
        """A part of an attempt's answer goes to the waiter now; say whether it may.

        From here on no other attempt follows: should this one not deliver the rest, the request has failed.
        """
        held = self._open.get(request)
        if held is None or held.waiter is None:
            return False
        server, sent_at = held.sent
        held.started = self._network.now() - max(sent_at, held.whole_at)
        self._post(AnswerStarted(request, len(held.attempts) - 1, server, held.started))
        return True

    def stop_by(self, when: int) -> None:
        """Give no request taken from now on more time than up to this point."""
        self._stop_by = when

    def fail_open_requests(self) -> None:
        """Fail what is unanswered; for the end, when the decisions had no word on it in time."""
        for request in list(self._open):
            self._fail(request, FailureCause.TIME)

    def receive_peer_message(self, sender: int, payload: bytes) -> None:
        """A message came from another sidecar."""
        self._post(MessageReceived(sender, payload))

    # Events

    def _post(self, event: Event) -> None:
        """Bring an event to the decisions, at once unless they are at work: then right after, in order."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                if isinstance(event, AttemptEnded):
                    event.answered = self._is_answered(event.request)
                try:
                    for action in self._balancer.handle(self._network.now(), event):
                        self._carry_out(action)
                except Exception as fault:
                    self._defect(event, fault)
                if isinstance(event, AttemptEnded):
                    self._forget_if_over(event.request)
        finally:
            self._is_handling = False

    def defect(self, text: str) -> None:
        """Tell of a defect that a front met, and lived on after."""
        self._log(f"internal error: {text}")

    def _defect(self, event: Event, fault: Exception) -> None:
        """Live on after a defect in the decisions, and owe nobody an answer because of it."""
        self._log(f"internal error: {type(event).__name__}: {fault!r}")
        if isinstance(event, (RequestArrived, AttemptEnded)):
            self._fail(event.request, FailureCause.DEFECT)

    def _listed(self, listing: EndpointUpdate) -> None:
        self.has_list = True
        self._carrier.listed(listing)
        if self.on_listed is not None:
            self.on_listed(listing)
        self._post(listing.event())

    def _attempt_ended(
        self,
        request: int,
        attempt: int,
        server: str,
        sent_at: int,
        outcome: Outcome,
        response: Any,
        report: Mapping[str, float] | None,
    ) -> None:
        held = self._open[request]
        if outcome is not Outcome.DELIVERED and held.waiter is not None:
            held.request.check_client()  # no further attempt for nobody
        held.out -= 1
        held.last_outcome = outcome
        held.may_have_run = held.may_have_run or not self._settings.rules.never_ran(outcome)
        if outcome is Outcome.CONNECTION_REFUSED:
            self._source.suspect_stale()
        if outcome is Outcome.DELIVERED:
            waiter = self._settle(request)
            if waiter is not None:
                self.account[held.request.service_class].served += 1
                waiter.served(response)
        if held.whole_at > sent_at:
            sent_at = held.whole_at  # it was whole only then, and its time counts from there
        elapsed = self._network.now() - sent_at
        if held.started is not None:
            # What follows its begin takes as long as the waiter reads, and says nothing of the server.
            elapsed = held.started
            if outcome is not Outcome.DELIVERED:
                self._fail(request, FailureCause.SERVERS)
        # Whether it is answered is looked up when the event's turn comes.
        again = outcome is Outcome.DELIVERED or held.request.can_go_again()
        self._post(AttemptEnded(request, attempt, server, outcome, elapsed, False, report, again))

    # Actions

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._set_timer(self._network.now() + action.in_us, action.token)
            case Refuse():
                self._refuse(action)
            case Fail():
                held = self._open.get(action.request)
                late = held is not None and held.last_outcome in (None, Outcome.TIMED_OUT)
                self._fail(action.request, FailureCause.TIME if late else FailureCause.SERVERS)
            case Cancel():
                held = self._open.get(action.request)
                if held is not None and action.attempt < len(held.attempts):
                    self._carrier.cancel(held.attempts[action.attempt])
            case SetAttemptDeadline():
                held = self._open.get(action.request)
                if held is not None and action.attempt < len(held.attempts):
                    self._carrier.set_deadline(held.attempts[action.attempt], action.until)
            case CloseIdle():
                self._carrier.close_idle(action.server)
            case WatchEndpoints():
                self._source.follow(action.wanted)
            case FetchList():
                self._source.fetch()
            case Probe():
                self._probe(action.server)
            case SendPeerMessage():
                if not self._messages.tell(action.receiver, action.payload):
                    self._log("a message to other sidecars could not be sent")
            case Log():
                self._log(action.text)

    def _send(self, action: Send) -> None:
        number = action.request
        held = self._open[number]
        attempt, sent_at = len(held.attempts), self._network.now()

        def done(outcome: Outcome, response: Any, report: Mapping[str, float] | None) -> None:
            self._attempt_ended(number, attempt, action.server, sent_at, outcome, response, report)

        if held.out and not self._settings.limits.allow_hedging:
            self.invariants.broken(InvariantViolation.TWO_ATTEMPTS, held.request.ident, f"{held.out} out")
        held.out += 1
        held.sent = (action.server, sent_at)
        attempts = held.attempts
        attempts.append(self._carrier.start(action.server, action.until, held.request, done, action.write_by))

    def _probe(self, server: str) -> None:
        sent_at = self._network.now()

        def done(outcome: Outcome, response: Any, report: Mapping[str, float] | None) -> None:
            self._post(ProbeEnded(server, outcome, self._network.now() - sent_at, report))

        self._carrier.probe(server, sent_at + _PROBE_WITHIN_US, done)

    def _refuse(self, action: Refuse) -> None:
        held = self._open.get(action.request)
        waiter = self._settle(action.request)
        if held is not None and waiter is not None:
            self.account[held.request.service_class].refused += 1
            waiter.refused(action.retry_after_us if self._settings.limits.retry_after else 0)
        self._forget_if_over(action.request)

    def _set_timer(self, due: int, token: str) -> None:
        def fire() -> None:
            if self._network.now() < due:
                self._set_timer(due, token)  # guards against a timer that fires early: it would fire in vain
            else:
                self._post(TimerFired(token))

        self._network.call_later(max((due - self._network.now()) / 1e6, 0.0), fire)

    # Open requests

    def _is_answered(self, request: int) -> bool:
        held = self._open.get(request)
        return held is None or held.waiter is None

    def _fail(self, request: int, cause: FailureCause) -> None:
        held = self._open.get(request)
        waiter = self._settle(request)
        if held is not None and waiter is not None:
            self.account[held.request.service_class].failed += 1
            waiter.failed(cause, held.may_have_run or held.out > 0)
        self._forget_if_over(request)

    def _settle(self, request: int) -> ResponseHandler | None:
        """Nothing is owed from here on; give the one who waits, if something was."""
        held = self._open.get(request)
        if held is None or held.waiter is None:
            return None
        late_us = self._network.now() - held.due
        is_timed = held.request.is_complete and held.started is None  # its carrier sees to one that has begun
        if late_us > LATE_US and is_timed:
            detail = f"by {late_us / 1e6:.3f} s, {len(held.attempts)} attempts, {held.out} out"
            self.invariants.broken(InvariantViolation.ANSWERED_LATE, held.request.ident, detail)
        waiter, held.waiter = held.waiter, None
        self._owed.discard(held.request.ident)
        if held.out:
            # Guards servers against work for nobody, where calling off what was sent is not permitted.
            for attempt in held.attempts:
                self._carrier.withdraw(attempt)
        return waiter

    def _forget_if_over(self, request: int) -> None:
        held = self._open.get(request)
        if held is not None and held.waiter is None and held.out == 0:
            del self._open[request]
