"""The sidecar: it owns the decisions, the clock, the timers and the open requests.

What happens on sockets becomes events here, and what the decisions answer is carried out from here; `handle`
is called nowhere else.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from magpiemux import Balancer
from magpiemux.interface import (
    Action,
    AttemptEnded,
    Cancel,
    CloseIdle,
    Discovery,
    Event,
    Fail,
    FetchList,
    Follow,
    ListKind,
    Log,
    MessageReceived,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    ReportSource,
    RequestArrived,
    RequestGone,
    Send,
    ServersListed,
    SetTimer,
    Tell,
    TimerFired,
)
from micadeck import discovery
from micadeck.clock import Clock
from micadeck.config import Config
from micadeck.frontend import ClientLimits, ClientSide, Frontend
from micadeck.http1 import Headers, Request, Response
from micadeck.incoming import BadRequest, Incoming
from micadeck.peers import Peers
from micadeck.upstream import Call, Upstream, load_report

_RESERVED = 48  # descriptors for everything but clients and servers
_FOR_CLIENTS = 0.5  # of the rest
_REQUESTS_OF_MEMORY = (1 << 20) // 8  # for each MB of the limit: what unanswered requests may take of it
_ONLY_AT_START = ("name", "listen", "peer_listen", "seed", "settings", "memory_mb")
_PROBE_WITHIN_US = 1_000_000
_NEW_FOR_S = 0.4  # how long after SIGTERM new connections may go on coming
_QUIET_S = 0.05  # and how long none must have come before the listener closes
_KILLED_AFTER_S = 0.7  # SIGKILL comes no sooner after SIGTERM than this and the longest deadline
_LONGEST_DEADLINE_S = 3.0  # as far as that is counted
_SPARE_S = 0.1  # of that time, kept for writing the last answers


class _Open:
    """A request that was taken: until it is answered and its attempts have ended."""

    __slots__ = ("calls", "client", "incoming", "last_outcome", "out")

    def __init__(self, client: ClientSide, incoming: Incoming) -> None:
        self.client: ClientSide | None = client  # None: it has its answer, or left
        self.incoming = incoming
        self.calls: list[Call] = []
        self.out = 0
        self.last_outcome: Outcome | None = None


class Sidecar:
    """One sidecar from its start to its end."""

    def __init__(
        self, config: Config, log: Callable[[str], None], client_limits: ClientLimits | None = None
    ) -> None:
        self._config = config
        self._log = log
        self._settings = config.settings
        self._clock = Clock()
        self._balancer = Balancer(config.settings, config.seed)
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._open: dict[int, _Open] = {}
        self._owed: set[bytes] = set()  # ids of the requests without their final answer
        self._next_request = 1
        self._stop_by: int | None = None  # when all must be answered, once it drains
        client_limits = client_limits or ClientLimits(most_bytes=config.memory_mb * _REQUESTS_OF_MEMORY)
        self.frontend = Frontend(config.settings, client_limits, self._arrived, self._gone)
        self._upstream = Upstream(self._clock, config.settings.limits)
        self._divide_descriptors(config.sockets)
        self._discovery = discovery.Discovery(
            config.discovery,
            config.known.version,
            config.settings.discovery is Discovery.PUSHED,
            self._listed,
            lambda: self._post(ServersListed(ListKind.FAILED)),
        )
        self._peers = Peers(
            config.peers,
            config.peers_all,
            config.settings.me,
            lambda number, payload: self._post(MessageReceived(number, payload)),
        )

    async def start(self) -> None:
        """Take up the last known list, then listen."""
        if self._settings.limits.may_message and self._config.peer_listen is not None:
            await self._peers.listen(self._config.peer_listen)
        self._upstream.listed(self._config.known)
        self._post(self._config.known.event(ListKind.REMEMBERED))
        self._discovery.start()
        await self.frontend.listen(self._config.listen)

    @property
    def open_requests(self) -> int:
        """Requests that are not over: unanswered, or with an attempt still out."""
        return len(self._open)

    def reload(self, config: Config) -> None:
        """Take over what a new configuration may change in a running sidecar; name what it may not."""
        before, self._config = self._config, config
        if config.discovery != before.discovery:
            self._discovery.move(config.discovery)
        self._peers.rename(config.peers, config.peers_all)
        self._divide_descriptors(config.sockets)
        kept = [key for key in _ONLY_AT_START if getattr(config, key) != getattr(before, key)]
        self._config = replace(config, **{key: getattr(before, key) for key in kept})
        waits = f"; only a restart takes up {', '.join(kept)}" if kept else ""
        self._log(f"reloaded: discovery at {config.discovery[0]}:{config.discovery[1]}{waits}")

    def _divide_descriptors(self, sockets: int) -> None:
        room = sockets - _RESERVED
        self.frontend.most = int(room * _FOR_CLIENTS)
        self._upstream.most = room - self.frontend.most

    async def drain(self) -> None:
        """Answer all that was taken and is still coming, then let go of everything."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        longest_s = min(max(each.deadline_us for each in self._settings.classes) / 1e6, _LONGEST_DEADLINE_S)
        left_s = longest_s + _KILLED_AFTER_S - _SPARE_S
        self._stop_by = self._clock.now() + int(left_s * 1e6)
        self.frontend.drain()
        await asyncio.sleep(_NEW_FOR_S)
        while loop.time() < self.frontend.last_opened + _QUIET_S and loop.time() < began + _KILLED_AFTER_S:
            await asyncio.sleep(_QUIET_S / 2)
        self.frontend.stop_listening()
        while (self._owed or self.frontend.open_connections) and loop.time() < began + left_s:
            if not self._owed:
                self.frontend.close_idle()
            await asyncio.sleep(0.01)
        for request in list(self._open):
            self._answer(request, 504, [])  # the decisions had no word on it in time
        await asyncio.sleep(0)
        self.close()

    def close(self) -> None:
        self._discovery.close()
        self._peers.close()
        self._upstream.close()
        self.frontend.stop_listening()

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
                    for action in self._balancer.handle(self._clock.now(), event):
                        self._carry_out(action)
                except Exception as fault:
                    self._defect(event, fault)
                if isinstance(event, AttemptEnded):
                    self._forget_if_over(event.request)
        finally:
            self._is_handling = False

    def _defect(self, event: Event, fault: Exception) -> None:
        """Live on after a defect in the decisions, and owe nobody an answer because of it."""
        self._log(f"internal error: {type(event).__name__}: {fault!r}")
        if isinstance(event, (RequestArrived, AttemptEnded)):
            self._answer(event.request, 500, [])

    def _listed(self, listing: discovery.Listing) -> None:
        self._upstream.listed(listing)
        self._post(listing.event())

    def _arrived(self, client: ClientSide, incoming: Incoming) -> int | None:
        most = self._settings.limits.max_open
        if incoming.ident in self._owed:
            # Guards against a client that takes another's id: servers tell requests apart by it.
            raise BadRequest("request-id is that of an open request", 409)
        if most is not None and len(self._owed) >= most:
            client.answer(503, [], b"")
            return None
        now = self._clock.now()
        if self._stop_by is not None:
            incoming.remaining_us = max(min(incoming.remaining_us, self._stop_by - now), 1)
        number = self._next_request
        self._next_request += 1
        self._open[number] = _Open(client, incoming)
        self._owed.add(incoming.ident)
        self._post(
            RequestArrived(
                request=number,
                service_class=incoming.service_class,
                tenant=incoming.tenant,
                key=incoming.key,
                remaining_us=incoming.remaining_us,
                cost_us=incoming.cost_us,
                client_retry=incoming.client_retry,
                write=incoming.method != b"GET",
            )
        )
        return number if not self._is_answered(number) else None

    def _gone(self, request: int) -> None:
        self._settle(request)
        self._post(RequestGone(request))
        self._forget_if_over(request)

    def _attempt_ended(
        self,
        request: int,
        attempt: int,
        server: str,
        sent_at: int,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        held = self._open[request]
        held.out -= 1
        held.last_outcome = outcome
        if outcome is Outcome.DELIVERED and response is not None:
            self._answer(request, 200, _passed_back(response), response.body)
        report = load_report(response, self._settings.report_columns)
        elapsed = self._clock.now() - sent_at
        # Whether it is answered is looked up when the event's turn comes.
        self._post(AttemptEnded(request, attempt, server, outcome, elapsed, False, report))

    # Actions

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SetTimer():
                self._set_timer(self._clock.now() + action.in_us, action.token)
            case Refuse():
                self._refuse(action)
            case Fail():
                held = self._open.get(action.request)
                late = held is not None and held.last_outcome in (None, Outcome.EXPIRED)
                self._answer(action.request, 504 if late else 502, [])
            case Cancel():
                held = self._open.get(action.request)
                if held is not None and action.attempt < len(held.calls):
                    self._upstream.cancel(held.calls[action.attempt])
            case CloseIdle():
                self._upstream.close_idle(action.server)
            case Follow():
                self._discovery.follow(action.wanted)
            case FetchList():
                self._discovery.fetch()
            case Probe():
                self._probe(action.server)
            case Tell():
                if not self._peers.tell(action.receiver, action.payload):
                    self._log("a message to other sidecars could not be sent")
            case Log():
                self._log(action.text)

    def _send(self, action: Send) -> None:
        number = action.request
        held = self._open[number]
        attempt, sent_at = len(held.calls), self._clock.now()

        def done(outcome: Outcome, response: Response | None) -> None:
            self._attempt_ended(number, attempt, action.server, sent_at, outcome, response)

        call = Call(action.server, action.until, held.incoming.message, done)
        held.calls.append(call)
        held.out += 1
        self._upstream.start(call)

    def _probe(self, server: str) -> None:
        sent_at = self._clock.now()
        in_body = self._settings.report_source is not ReportSource.SILENT

        def done(outcome: Outcome, response: Response | None) -> None:
            report = load_report(response, self._settings.report_columns, in_body=in_body)
            self._post(ProbeEnded(server, outcome, self._clock.now() - sent_at, report))

        message = Request(b"GET", b"/_load" if in_body else b"/ping", [(b"host", server.encode())])
        self._upstream.start(Call(server, sent_at + _PROBE_WITHIN_US, lambda left_us: message, done))

    def _refuse(self, action: Refuse) -> None:
        headers: Headers = []
        if action.retry_after_us > 0 and self._settings.limits.retry_after:
            headers.append((b"retry-after", b"%.3f" % (action.retry_after_us / 1e6)))
        self._answer(action.request, 503, headers)

    def _set_timer(self, due: int, token: str) -> None:
        wait_s = (due - self._clock.now()) / 1e6

        def fire() -> None:
            if self._clock.now() < due:
                self._set_timer(due, token)  # guards against a timer that fires early: it would fire in vain
            else:
                self._post(TimerFired(token))

        asyncio.get_running_loop().call_later(max(wait_s, 0.0), fire)

    # Open requests

    def _is_answered(self, request: int) -> bool:
        held = self._open.get(request)
        return held is None or held.client is None

    def _answer(self, request: int, status: int, headers: Headers, body: bytes = b"") -> None:
        client = self._settle(request)
        if client is not None:
            client.answer(status, headers, body)
        self._forget_if_over(request)

    def _settle(self, request: int) -> ClientSide | None:
        """Nothing is owed from here on; give the client if something was."""
        held = self._open.get(request)
        if held is None or held.client is None:
            return None
        client, held.client = held.client, None
        self._owed.discard(held.incoming.ident)
        return client

    def _forget_if_over(self, request: int) -> None:
        held = self._open.get(request)
        if held is not None and held.client is None and held.out == 0:
            del self._open[request]


def _passed_back(response: Response) -> Headers:
    """What describes the body goes back with it."""
    return [each for each in response.headers if each[0] in (b"content-type", b"content-encoding")]
