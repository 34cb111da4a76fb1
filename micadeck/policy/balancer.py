"""All decisions of a sidecar balancer, by best-of-k with redraw.

Types, events and actions: micadeck/policy/settings.py.  The reasons for each departure: docs/design.md.

Per request: draw k random distinct ready servers and send to the one with the fewest of this balancer's own
requests in flight; on a full answer draw again, wider.  Every attempt leaves through `_send` and every final
answer through `_finish`; those two enforce the rules, whatever the code around them decides.
"""

from __future__ import annotations

import bisect
import heapq
import math
import random
from dataclasses import dataclass, field

from micadeck.policy.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    Log,
    Refuse,
    Send,
    SetAttemptDeadline,
    SetTimer,
    WatchEndpoints,
)
from micadeck.policy.decaying_rate import DecayingRate
from micadeck.policy.events import (
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    Event,
    ListedServer,
    ListKind,
    RequestArrived,
    RequestCompleted,
    ServersListed,
    ServerState,
    SettingsChanged,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import (
    NOTIFICATION_DEADLINE_US,
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    ServiceClass,
    Settings,
)
from micadeck.policy.slow_start import plausible_start
from micadeck.policy.statistics import BalancerStatistics
from micadeck.policy.traffic import TrafficShare

# ---------------------------------------------------------------------------------------------------
# Constants: ratios of what the settings give or of what was observed

DRAWN = 4  # k: counts are mostly small here, where two looks find too little
REACH = 4.0  # a balancer at rest draws from this many servers: a choice, yet few enough to know them
REACH_PER_BUSY = 1.0  # and from one more for each request in flight: as many again may be empty
TICKS_EARLY = 2  # a final answer leaves this many ticks before the client's time is up
COLD_SHARE = 0.25  # part of the pushing-over load that a cold server's budget fills at
COLD_BURST = 0.18  # part of that load that may come at once
RATE_SPANS = 2.0  # rates are averaged over this many fall times
ASK_AGAIN = 0.02  # first wait before asking discovery again, of the time allowed without asking
ASK_AGAIN_MOST = 0.25  # and the longest: three failed calls in a row still fit
ASK_AGAIN_TOLD = 1 / 6  # nor longer than this part of the time in which all that discovery has counts as told
REMOTE_LEAST = 0.25  # odds of a server in another zone while the own zone is as quick
REMOTE_EVEN = 0.3  # the own zone this far behind the others' pace, all zones are drawn alike
REMOTE_SPENT = 0.12  # or the typical answer at twice this part of its aim
EXTRA_PER_REQUEST = 0.2  # further attempts after failures, for each first attempt: no retry storms
EXTRA_SAVED = 50.0  # first attempts whose allowance may be saved up
SPOILT_STRIKES = (
    6  # spoilt answers in a row, none good between, that eject: below that it was the way, not it
)
STRIKES_DROPPED = 3  # or so many that end in a broken connection, which may be the way's fault
STRIKES = 2  # failures in a row, none answered between, that eject a server
BY_CHANCE = 1e-4  # and never a row that chance makes likelier than this, where the others fail as they do
FAILING_AIMS = 4.0  # what fails is counted over so many of the longest aim
ENOUGH_ENDS = 50.0  # fewer attempts at the others than this in that time tell nothing of chance
EJECT_AIMS = 2.0  # first ejection lasts this many of the longest aim; it doubles with each failed trial
EJECT_AIMS_MOST = 16.0  # and never lasts longer: a server that came back is found again
SILENT_MOST = 0.34  # no more than this share is ejected for silence alone: more is overload, not sickness
EJECTED_MOST = 0.6  # never more than this share of the list is ejected: the rest would drown
DIALS_SPARE = 8  # dials that found nobody, beside a request's attempts: each of them took its server out
SHY_AIMS = 0.5  # a class keeps off a server for so many of the longest aim after a full answer
SHY_AIMS_MOST = 4.0  # and for twice as long at each further one in a row, up to this
PATIENCE = 2.5  # usual times (at this server's pace) after which an attempt is overdue
PATIENCE_AIMS = 0.1  # but never less than this part of the aim: short times are all jitter
GREETING_AIMS = 0.5  # or this on a new connection, which begins with a handshake
QUIET_PEERS = 4  # answers from others, since the overdue attempt left, that make its server's silence its own
SILENCE = 2.0  # overdue again by this factor, an unanswering server is taken for silent
SILENT_AIMS = 0.5  # but never before this part of the aim
IDLE_LEAST = 0.25  # of the longest aim: a connection unused for less is taken for alive
STALE_STEP = 0.5  # one failure on an idle connection makes stale ones as likely as not
STALE_STEP_BACK = 0.3  # an answer on one speaks against it, but some servers may keep theirs
STALE_AIMS = 16.0  # what was learnt of idle connections fades in this many of the longest aim
STALE_ODDS = 0.25  # from these odds on, idle connections are not relied on
WAY_DIALS = 0.2  # of the time that a dial may take: a request's last byte takes no longer to a server
WAY_MOST = 0.1  # nor longer than this part of the time for which servers remember it
GHOST_LIFE = 1.0  # an attempt given up on counts as in flight for as long again as it was waited for
HEAVY_POWER = 3.0  # of pace, in the odds for a request of four times the mean cost or more
PACE_STEP = 0.1  # a server's pace follows its last ten answers or so, or fewer where few are in flight
PACE_CLIP = 4.0  # one answer counts for at most this many usual ones: heavy requests say little of a server
NORM_STEP = 0.02  # the usual time and cost of a class follow its last fifty requests or so
UNSEEN_AIMS = 0.3  # the usual time before any answer, in aims
AIM_SPENT = 0.3  # the typical answer may take this part of its aim; beyond that the fleet is overloaded
AIM_SPENT_FEW = 0.4  # or this, where so few are in flight that much of the typical is chance
FLOOR_ROOM = 1.2  # but never less than this many times what it takes when the fleet is idle
AIM_SPENT_MOST = 0.5  # and never more than this part of the aim, or overload would pass for the usual
SPENT_MOST = 1.0  # the typical is not followed past the aim: from there it must find back
LEAST_WINDOW = 0.1  # a trickle passes at any time, so that relief is seen
MANY = 8.0  # fewer own requests in flight than this are chance for a good part
STRETCH_MOST = 4.0  # so the fewer, the longer loads are averaged and the larger the steps, up to this
LATE_ALLOWED = 0.05  # nor is a fleet overloaded that answers all but this part in time
LATE_STEP = 0.02  # of the last fifty answers or so
CORES_BUSY = 0.85  # while servers report their cores less busy than this, there is room for more
CORES_SATURATED = 0.95  # cores this busy tell of overload before late answers do
CORES_FREE = 0.8  # below this a fifth is free: what is late then is no sign of too many requests
LATE_FREE = 0.15  # unless this part is late: something else than cores is short
CORES_STEP = 0.1  # of the last ten reports or so
FLOOR_CREEP = 0.0008  # the idle time may rise by this part of the aim at each answer
FLOOR_CREEP_PRESSED = 0.00008  # and hardly while refusing
FLOOR_LEAST = 0.04  # part of the aim below which idle times are not told apart
TYPICAL_STEP = 0.06  # the typical answer is the geometric mean of the last fifteen or so
SPENT_LEAST = 0.02  # of the aim; what is quicker tells nothing more
LOST_SPENT = 2.0  # what a request lost to full or overdue counts as, in aims: late by far
WINDOW_AIMS = 0.5  # at twice the level the window shrinks e-fold in this many of the longest aim
MIX_AIMS = 4.0  # what is asked by class and tenant is averaged over this many of the longest aim
FREE = 0.5  # up to this part of the window all are let in, and the window does not grow
RETRY_AIMS = 0.15  # a refused client is told to come back in about this part of its aim
STEEP = 4.0  # pressure at a full window: of the typical requests one in fifty is let in
SLANT = 2.0  # the least worthy feel this many times the pressure, the most worthy almost none

# ---------------------------------------------------------------------------------------------------
# Records


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server."""

    name: str
    place: float  # chance, drawn once: this balancer's order of the servers
    bad: DecayingRate  # attempts that failed
    ended: DecayingRate  # and all that ended
    zone: str = ""
    cell: int = 0
    nominal: float = 1.0
    pace: float = 1.0  # how long it takes, relative to the usual
    state: ServerState = ServerState.REMOVED
    state_at: int = 0  # when it was heard
    started_at: int | None = None  # as the list tells it
    start: int | None = None  # as far as that can be so
    cold_since: int | None = None
    allowance: float = 0.0  # of a cold server: what may be sent to it now, in requests of mean cost
    allowance_at: int = 0
    in_flight: int = 0
    passing: int = 0  # of these, such that only bytes are on their way: none is worked on
    ghosts: list[int] = field(default_factory=list)  # when each attempt given up on stops counting
    lines: int = 0  # connections that are open, as far as attempts tell
    idle_since: int | None = None  # when a connection was last used; None: there is none to reuse
    last_answer_at: int = -1
    shy: dict[str, Shy] = field(default_factory=dict)  # by class that it was full for
    strikes: int = 0
    spoilt: int = 0  # spoilt answers in a row
    ejections: int = 0
    ejected_until: int | None = None  # None: not ejected
    is_vacant: bool = False  # it is ejected since nobody listened there
    trial: Attempt | None = None  # the single attempt that may bring it back


@dataclass(slots=True, eq=False)
class Shy:
    """A server's full answers to one class: it is kept off until then, for so many aims."""

    aims: float = 0.0
    until: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    index: int
    server: Server
    group: tuple[str, int]  # its zone and cell as it was sent: a list may move them
    sent_at: int
    answers_before: int  # how many answers had come by then, from all servers
    pending: bool = True
    may_have_run: bool = True  # until an outcome proves that it did not
    passing: bool = False  # whether its request or its answer is on its way, and nothing is worked on
    started: bool = False
    idled: int = 0  # how long its connection had gone unused; 0: it was new or in steady use
    suspect: bool = False  # whether its silence was already learnt from
    greets: bool = False  # whether it is the first on its connection, and pays for the handshake
    felt: bool = False  # whether its lateness was counted as a sign of overload

    @property
    def blames_idle(self) -> bool:
        """Whether its silence is put down to a connection that had gone unused."""
        return self.suspect and self.idled > 0


@dataclass(slots=True, eq=False)
class Request:
    """A request taken; it is kept until it is answered and its last attempt has ended."""

    ident: int
    kind: ServiceClass
    answer_by: int
    cost: float  # relative to the mean of its class
    bound: str | None  # the one server that can serve it
    most: int  # attempts, as allowed when it came, and as long as it is kept
    whole: bool  # whether its last byte has come
    size: int = 0  # cost by powers of two
    attempts: list[Attempt] = field(default_factory=list)
    tried: list[Server] = field(default_factory=list)  # servers that failed this request, full ones included
    said_full: int = 0
    turned_down: int = 0  # of its attempts, those that were none: nobody listened, nothing was written
    answered: bool = False

    def is_out(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(each.pending for each in self.attempts)


# ---------------------------------------------------------------------------------------------------
# The balancer


class Balancer:
    """The decisions of one instance.  Feed it events in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._take_up(settings)
        self._random = random.Random(seed)
        self._now = 0
        self._actions: list[Action] = []
        self._servers: dict[str, Server] = {}  # those listed, and those left with an attempt still out
        self._ready: list[Server] = []  # by place
        self._ready_far = 0  # of these, in other zones
        self._ready_size = 0.0  # and the sum of their nominal sizes
        self._requests: dict[int, Request] = {}
        # Of each entry: due, order, request (or _ASK), attempt (or _WHOLE).
        self._agenda: list[tuple[int, int, int, int]] = []
        self._agenda_order = 0
        self._timer_due: int | None = None
        self._begun = False
        self._failed_calls = 0
        self._last_word: int | None = None  # when discovery's list, or its changes, was heard last
        self._ask_due: int | None = None  # when discovery is asked next; None while the list is followed
        self._pending = 0  # attempts out
        self._passing = 0  # of these, such that only bytes are on their way
        self._stuck = 0  # of these, at ejected servers
        self._ghosts: list[int] = []  # when each attempt given up on stops counting, soonest first
        self._ejected: list[Server] = []
        self._stale = 0.0  # odds that an idle connection is dead, as of _stale_at
        self._stale_at = 0
        self._stale_idle = 0  # the shortest idle time at which one was
        self._remote = 1.0  # odds of a server in another zone, as of _remote_at
        self._remote_at = -1
        self._far_part = 0.0  # part of the ready servers that are in other zones
        self._bearable = 0.0  # what a warm server of mean size serves for this balancer, as of _bearable_at
        self._mean_size = 1.0
        self._cold: dict[str, Server] = {}  # those that turned cold, until it is seen that they are not
        self._bearable_at = -1
        self._bad = DecayingRate(FAILING_AIMS * self._longest_aim)  # attempts that failed, at all servers
        self._ended = DecayingRate(FAILING_AIMS * self._longest_aim)  # and all that ended
        self._answers = 0  # answers so far, from all servers
        self._extra = EXTRA_PER_REQUEST * EXTRA_SAVED / 2
        self._mean_cost: dict[str, float] = {}
        self._arrivals = DecayingRate(RATE_SPANS * settings.rules.overload_window_us)
        self._served_warm = DecayingRate(RATE_SPANS * settings.rules.overload_window_us)
        self._norms: dict[tuple[str, int], float] = {}  # usual time of a class and size, over all servers
        self._spent = 0.0  # the part of its aim that the typical answer takes
        self._cores: float | None = None  # how busy servers report their cores, on average; None: not at all
        self._late = 0.0  # part of the answers that come after their aim
        self._floor: float | None = None  # the least that part has been of late
        self._window = math.inf  # how many own requests in flight the fleet bears in time
        self._served_aims = DecayingRate(self._longest_aim)  # time allowed to what was answered, per time
        self._bound = False  # whether the window refused anything since it was last sized
        self._mean_load = 0.0  # own requests in flight, averaged
        self._load_at = 0
        self._sized_at = 0
        self._mix: dict[tuple[str, str | None], TrafficShare] = {}

    def _take_up(self, settings: Settings) -> None:
        self._settings = settings
        self._classes = {each.name: each for each in settings.classes}
        self._tenants = {each.name: each for each in settings.tenants}
        self._all_shares = sum(each.share for each in settings.tenants) or 1.0
        self._longest_aim = max(each.latency_objective_us for each in settings.classes)

    def _settings_changed(self, settings: Settings) -> None:
        """What is known of servers and of load stays; what was learnt of a class goes with it."""
        self._take_up(settings)
        failing = FAILING_AIMS * self._longest_aim
        for each in (self._arrivals, self._served_warm):
            each.over(RATE_SPANS * settings.rules.overload_window_us)
        for each in (self._bad, self._ended, *(r for s in self._servers.values() for r in (s.bad, s.ended))):
            each.over(failing)
        classes = self._classes
        self._mix = {key: each for key, each in self._mix.items() if key[0] in classes}
        for (name, _), mix in self._mix.items():
            mix.kind = classes[name]
        self._norms = {key: each for key, each in self._norms.items() if key[0] in classes}
        self._mean_cost = {key: each for key, each in self._mean_cost.items() if key in classes}

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now`; return what to do, in order."""
        self._now = now
        self._actions = []
        self._follow_load()
        if not self._begun:
            self._begun = True
            self._ask()
        match event:
            case AttemptEnded():
                self._attempt_ended(event)
            case RequestArrived():
                self._request_arrived(event)
            case TimerFired():
                self._timer_fired()
            case ServersListed():
                self._servers_listed(event)
            case ClientDisconnected():
                self._request_gone(event)
            case RequestCompleted():
                self._request_whole(event)
            case AnswerStarted():
                self._answer_started(event)
            case SettingsChanged():
                self._settings_changed(event.settings)
            case _:
                pass  # probes and messages: none are sent, so none are awaited
        self._arm_timer()
        return self._actions

    def known(self) -> int:
        """How many servers are on the list; any thread may ask, here and below."""
        return sum(each.state is not ServerState.REMOVED for each in list(self._servers.values()))

    def avoided(self) -> int:
        """How many of these get nothing new, or only trials."""
        return self.known() - sum(each.ejected_until is None for each in list(self._ready))

    def figures(self) -> BalancerStatistics:
        return BalancerStatistics(
            self._load(), self._window, self._spent, self._late, self._cores, len(self._ejected)
        )

    # -----------------------------------------------------------------------------------------------
    # The server list

    def _ask(self) -> None:
        """Follow the list where it must be asked for.

        A call that is never answered is made again: an instance may not pass `ask_within_us` unheard.
        """
        if self._settings.discovery is DiscoveryMode.ON_REQUEST:
            self._actions.append(WatchEndpoints(True))
            self._ask_in(ASK_AGAIN_MOST * self._settings.rules.max_poll_interval_us)

    def _ask_in(self, wait: float) -> None:
        """Ask after this wait, in place of any earlier plan."""
        self._ask_due = self._now + max(int(wait), self._settings.tick_us)  # or it never stops asking
        self._schedule(self._ask_due, _ASK, _WHOLE)

    def _ask_again_later(self) -> None:
        """After a failed call: wait twice as long each time, with jitter, so that instances spread out.

        Guards against a wait that outlasts an outage: a change counts as told however the calls fared.
        """
        allowed = self._settings.rules.max_poll_interval_us
        most = min(ASK_AGAIN_MOST * allowed, ASK_AGAIN_TOLD * NOTIFICATION_DEADLINE_US)
        wait = min(ASK_AGAIN * allowed * 2**self._failed_calls, most)
        self._failed_calls = min(self._failed_calls + 1, 8)
        self._ask_in(wait * (0.5 + 0.5 * self._random.random()))

    def _servers_listed(self, event: ServersListed) -> None:
        if event.kind is ListKind.FAILED:
            self._ask_again_later()
            return
        is_news = event.kind is not ListKind.REMEMBERED
        if is_news:
            self._failed_calls = 0
            self._ask_due = None
        whole = event.kind is not ListKind.CHANGES
        listed = dict.fromkeys(line.server for line in event.servers)
        if whole:
            self._ready, self._ready_far, self._ready_size = [], 0, 0.0
            for server in self._servers.values():
                if server.name not in listed:
                    self._state_heard(server, ServerState.REMOVED)
        else:
            # What one change costs must not grow with the list: only these are taken out, and in again.
            for server in [self._servers[name] for name in listed if name in self._servers]:
                if server.state is ServerState.READY:
                    del self._ready[bisect.bisect_left(self._ready, server.place, key=_place)]
                    self._count_ready(server, -1)
        for line in event.servers:
            self._server_listed(line)
        self._last_word = self._now if is_news else self._last_word
        heard = list(self._servers.values()) if whole else [self._servers[name] for name in listed]
        for server in heard:
            self._forget_if_gone(server)
        ready = [each for each in heard if each.state is ServerState.READY]
        for server in ready:
            self._count_ready(server, 1)
            if not whole:
                bisect.insort(self._ready, server, key=_place)
        if whole:
            self._ready = sorted(ready, key=_place)
        self._far_part = self._ready_far / max(len(self._ready), 1)
        mean_size = self._ready_size / max(len(self._ready), 1)
        for server in ready:
            if server.pace <= 0.0:  # until answers tell, a server is as quick as its nominal size
                server.pace = mean_size / server.nominal if server.nominal > 0.0 else 1.0

    def _count_ready(self, server: Server, by: int) -> None:
        self._ready_far += by * (server.zone != self._settings.zone)
        self._ready_size += by * server.nominal

    def _server_listed(self, line: ListedServer) -> None:
        server = self._servers.get(line.server)
        if server is None:
            span = self._bad.span_us
            server = Server(line.server, self._random.random(), DecayingRate(span), DecayingRate(span))
            self._servers[line.server] = server
        was_listed = server.state is not ServerState.REMOVED
        server.zone = line.zone
        server.cell = line.cell
        if server.state is ServerState.REMOVED or line.nominal != server.nominal:
            server.pace = 0.0  # to be set by its nominal size
        server.nominal = max(line.nominal, 0.0)
        self._state_heard(server, line.state)
        if line.started_at is not None and line.started_at != server.started_at:
            server.start = plausible_start(line.started_at, self._now, self._last_word, was_listed)
            server.started_at = line.started_at
            server.lines = server.in_flight  # those to the process before are closed
            self._turned_cold(server, server.start)
            if server.ejected_until is not None and line.state is ServerState.READY:
                self._readmit(server)  # a new process: what the old one did is history

    def _forget_if_gone(self, server: Server) -> None:
        """Keep nothing of a server that left, once its last attempt has ended.

        Guards against growth where servers are replaced all day, and against ejected ones that are long gone
        counting as a part of the list.  One that comes back tells its start time, and is cold by that.
        """
        if server.state is ServerState.REMOVED and server.in_flight == 0:
            if self._servers.get(server.name) is server:
                del self._servers[server.name]
            if server in self._ejected:
                self._ejected.remove(server)

    def _state_heard(self, server: Server, state: ServerState) -> None:
        heard, server.state = server.state is not state, state
        if heard:
            server.state_at = self._now
            self._close_if_leaving(server)

    def _close_if_leaving(self, server: Server) -> None:
        """Close idle connections to a server that drains or is gone, where a rule asks for it.

        On hearing of it, and again whenever an attempt still out there ends and leaves its connection idle.
        """
        if self._settings.rules.close_idle_within_us is not None and server.state is not ServerState.READY:
            self._close_idle(server)

    def _close_idle(self, server: Server) -> None:
        server.lines = server.in_flight
        self._actions.append(CloseIdle(server.name))

    # -----------------------------------------------------------------------------------------------
    # Requests

    def _request_arrived(self, event: RequestArrived) -> None:
        kind = event.kind or self._classes.get(event.service_class)
        if kind is None:
            # A class that the settings do not name: the least is assumed of it.
            kind = ServiceClass(event.service_class, max(event.remaining_us, 1), max(event.remaining_us, 1))
        self._arrivals.add(self._now, 1.0)
        self._extra = min(self._extra + EXTRA_PER_REQUEST, EXTRA_PER_REQUEST * EXTRA_SAVED)
        answer_by = self._now + event.remaining_us - TICKS_EARLY * self._settings.tick_us
        cost = self._relative_cost(kind, event.cost_us)
        most = self._settings.limits.max_attempts
        request = Request(event.request, kind, answer_by, cost, event.sticky_server, most, event.is_complete)
        request.size = max(-3, min(math.frexp(cost)[1], 4))
        self._requests[event.request] = request
        self._schedule(answer_by, event.request, _WHOLE)
        if event.sticky_server is None and self._overloaded_for(kind, event.tenant):
            self._finish(request)
        else:
            self._place(request)

    def _relative_cost(self, kind: ServiceClass, cost_us: int | None) -> float:
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._mean_cost.get(kind.name, float(cost_us))
        self._mean_cost[kind.name] = mean + NORM_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0

    def _place(self, request: Request) -> None:
        """Send the request to the best of k, or answer it where nothing is left to try."""
        server = self._choose(request)
        if server is None or not self._send(request, server):
            if not request.is_out():
                self._finish(request)

    def _request_whole(self, event: RequestCompleted) -> None:
        """Its time runs from here: no server began it before, however long it took to come."""
        request = self._requests.get(event.request)
        if request is None or request.answered:
            return
        request.whole = True
        request.answer_by = self._now + event.remaining_us - TICKS_EARLY * self._settings.tick_us
        self._schedule(request.answer_by, request.ident, _WHOLE)
        for attempt in request.attempts:
            if attempt.pending:
                attempt.sent_at = self._now
                self._passes(attempt, False)
                self._schedule(self._now + self._patience(request, attempt), request.ident, attempt.index)
                self._actions.append(SetAttemptDeadline(request.ident, attempt.index, request.answer_by))

    def _passes(self, attempt: Attempt, passing: bool) -> None:
        """Guards against taking slow clients for busy servers: a large body takes no server's time."""
        by = int(passing) - int(attempt.passing)
        attempt.passing = passing
        attempt.server.passing += by
        self._passing += by

    def _request_gone(self, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.answered:
            self._close(request)

    def _answer_started(self, event: AnswerStarted) -> None:
        request = self._requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            request.attempts[event.attempt].started = True
            self._passes(request.attempts[event.attempt], True)

    # -----------------------------------------------------------------------------------------------
    # Overload: refuse early, the least worthy first

    def _feel(self, spent: float) -> None:
        """Follow how much of its aim the typical answer takes, and size the window by it.

        A geometric mean: one heavy request or slow server moves it little; the further the usual is from
        the level, the more evidence it takes.  Guards small balancers, whose few answers are mostly chance.
        """
        if self._floor is None:
            self._spent = self._floor = min(spent, AIM_SPENT)
        stretch = self._stretch()
        before = max(self._spent, SPENT_LEAST)
        ratio = max(min(spent, LOST_SPENT), SPENT_LEAST) / before
        self._spent = min(before * math.pow(ratio, stretch * TYPICAL_STEP), SPENT_MOST)
        self._late += stretch * LATE_STEP * ((1.0 if spent > 1.0 else 0.0) - self._late)
        load = self._load()
        creep = FLOOR_CREEP if load <= FREE * self._window else FLOOR_CREEP_PRESSED
        self._floor = min(self._floor + creep, max(self._spent, FLOOR_LEAST))
        self._size_window(load)

    def _stretch(self) -> float:
        """How much longer than in a busy balancer it takes here to tell a change from chance."""
        return max(1.0, min(MANY / max(self._mean_load, 1e-9), STRETCH_MOST))

    def _follow_load(self) -> None:
        lapse = self._now - self._load_at
        if lapse > 0:
            self._load_at = self._now
            span = self._stretch() * self._longest_aim
            load = self._load()
            self._mean_load = min(self._mean_load, max(load, self._window, 1.0))  # more delays relief
            self._mean_load += (load - self._mean_load) * (1.0 - math.exp(-lapse / span))

    def _follow_cores(self, busy: float) -> None:
        self._cores = busy if self._cores is None else self._cores + CORES_STEP * (busy - self._cores)

    def _size_window(self, load: int) -> None:
        """Shrink or grow the window by how far the typical answer is from the allowed level.

        In flight is what the window bounds, not arrivals: a surge then meets it at once, and slower servers
        let in less by themselves.  By Little's law, what is answered at this rate within the allowed level
        needs rate times time in flight; below that the window never shrinks, or late news would shut it.
        """
        stretch = self._stretch()
        lapse = min(self._now - self._sized_at, stretch * self._longest_aim / 4)
        self._sized_at = self._now
        level = min(max(AIM_SPENT, FLOOR_ROOM * (self._floor or 0.0)), AIM_SPENT_MOST)
        # The fewer answers there are, the more of the typical one is chance: it must be further off to count.
        chance = (stretch - 1.0) / (STRETCH_MOST - 1.0)
        level = max(level, AIM_SPENT + chance * (AIM_SPENT_FEW - AIM_SPENT))
        excess = (self._spent - level) / level
        if self._cores is not None and stretch > 1.0:
            # Late answers from servers with idle cores tell of a few slow ones, not of too many requests.
            # A busy balancer sees so by itself, and on crowded servers reports tell it too late.
            excess = min(excess, (self._cores - CORES_BUSY) / (1.0 - CORES_BUSY))
        if self._cores is not None and self._cores < CORES_FREE and self._late < LATE_FREE:
            # Guards against a window that its own refusals keep small: they lower the load it is held to.
            excess = min(excess, -0.5)
        excess = max(-1.0, min(excess, 1.0))
        saturated = self._cores is not None and self._cores >= CORES_SATURATED
        if excess > 0.0 and self._late < LATE_ALLOWED and not saturated:
            return  # slower than usual, yet in time
        if excess > 0.0:
            self._window = min(self._window, max(load, self._mean_load / FREE))
        elif not self._bound:
            return  # it refused nothing, so nothing says that it is too small
        self._bound = False
        change = math.exp(-excess * lapse / (WINDOW_AIMS * self._longest_aim))
        self._served_aims.over(stretch * self._longest_aim)
        borne = level * self._served_aims.per_us(self._now)
        self._window = max(self._window * change, min(borne, self._window), LEAST_WINDOW)

    def _load(self) -> int:
        """Own requests in flight, with those given up on, at servers that are not ejected.

        Running counts, not a sum over the list: it is asked for at every event.  Those given up on take no
        more of the window than what refuses nobody: guards against an outage once servers that hung are well.
        """
        while self._ghosts and self._ghosts[0] <= self._now:
            heapq.heappop(self._ghosts)
        load = self._pending - self._stuck - self._passing
        return int(min(len(self._ghosts), FREE * self._window)) + (load if load > 0 else 0)

    def _fill(self) -> float:
        """How much of the window is taken.

        Where it holds few, two at once are chance and say nothing of the fleet: then the mean counts.
        """
        certain = min(self._window / MANY, 1.0)
        return (self._mean_load + certain * (self._load() - self._mean_load)) / self._window

    def _overloaded_for(self, kind: ServiceClass, tenant: str | None) -> bool:
        """Whether to refuse a new request: likelier under more pressure, and for less worth.

        Guards against collapse: a fleet that answers all too late serves nobody, and clients repeat
        what fails late.  As the window fills, the part let in falls by powers, sooner for the less worthy.
        """
        mine = self._mix.get((kind.name, tenant))
        if mine is None:
            mine = self._mix[(kind.name, tenant)] = TrafficShare(
                kind, tenant, DecayingRate(MIX_AIMS * self._longest_aim)
            )
        mine.rate.add(self._now, 1.0)
        fill = self._fill()
        if fill <= FREE:
            return False
        pressure = STEEP * (fill - FREE) / (1.0 - FREE)
        let_in = math.exp(-SLANT * pressure * (1.0 - self._standing(mine)))
        if fill < 1.0 and self._random.random() < let_in:
            return False
        self._bound = True
        return True

    def _standing(self, mine: TrafficShare) -> float:
        """The part of the traffic that is worth less, counting half of what is worth the same.

        A request is worth what its class is, less what its tenant asks beyond its share.  Sidecars see
        different parts of the traffic, so only the tenants' proportions are compared.
        """
        mixes = list(self._mix.values())
        rates = [each.rate.per_us(self._now) for each in mixes]
        all_asked = sum(rates)
        asked: dict[str | None, float] = {}
        for each, rate in zip(mixes, rates, strict=True):
            asked[each.tenant] = asked.get(each.tenant, 0.0) + rate
        worths = [self._worth(each, asked[each.tenant], all_asked) for each in mixes]
        own = worths[mixes.index(mine)]
        below = sum(rate for rate, worth in zip(rates, worths, strict=True) if worth < own)
        same = sum(rate for rate, worth in zip(rates, worths, strict=True) if worth == own)
        return (below + 0.5 * same) / all_asked if all_asked > 0.0 else 0.5

    def _worth(self, mix: TrafficShare, asked: float, all_asked: float) -> float:
        tenant = self._tenants.get(mix.tenant or "")
        if tenant is None or asked <= 0.0:
            return mix.kind.priority_weight
        inside = min(1.0, all_asked * tenant.share / self._all_shares / asked)
        return mix.kind.priority_weight * (
            inside + (1.0 - inside) * self._settings.over_share_priority_weight
        )

    # -----------------------------------------------------------------------------------------------
    # The draw

    def _choose(self, request: Request) -> Server | None:
        """Best of k: of k random distinct servers, the one with the fewest own requests in flight."""
        if request.bound is not None:
            return self._servers.get(request.bound) if not request.attempts else None  # no choice, one try
        trial = self._trial_due(request)
        if trial is not None:
            return trial
        pool = self._within_reach(request)
        if not pool:
            return None
        remote = self._remote_odds()
        power = min(max(1.0, float(request.size)), HEAVY_POWER)
        odds = [
            self._odds(each, power) * (1.0 if each.zone == self._settings.zone else remote) for each in pool
        ]
        best: Server | None = None
        best_rank = (0, 0.0)
        for server in self._drawn(pool, odds, DRAWN << request.said_full):
            busy = self._busy(server)
            if best is None or (busy, server.pace) < best_rank:
                best, best_rank = server, (busy, server.pace)
        return best

    def _within_reach(self, request: Request) -> list[Server]:
        """The first eligible servers in this balancer's own order, as many as its traffic can know.

        Guards against a large fleet seen from many small balancers: each would hold a connection to each
        server, more than servers accept, and learn next to nothing of any.  A busy balancer reaches all.
        """
        reach = self._reach()
        slots = {True: reach, False: reach}  # for servers of the own zone, and for others
        if self._settings.prices.cross_zone > 0.0:
            slots[False] = max(round(reach * self._remote_odds() * self._far_part), 1)
            slots[True] = reach - slots[False]
        pool: list[Server] = []
        spare: list[Server] = []
        shy: list[Server] = []
        for each in self._ready:
            if self._eligible(each, request):
                if self._is_shy(each, request.kind.name):
                    shy.append(each)
                    continue
                near = each.zone == self._settings.zone
                slots[near] -= 1
                (pool if slots[near] >= 0 else spare).append(each)
                if len(pool) >= reach:
                    break
        pool += spare[: reach - len(pool)]
        pool = pool or shy[:reach]
        return pool

    def _is_shy(self, server: Server, kind: str) -> bool:
        shy = server.shy.get(kind)
        return shy is not None and self._now < shy.until

    def _full_heard(self, server: Server, kind: str) -> None:
        """Keep a class off a server that was full for it.

        Guards against servers that turn away one class or tenant while they have room: fleet and server are
        well, only this traffic is unwelcome there.  Also spares redraws where servers turn away early.  It
        gives way where nothing else is left.
        """
        shy = server.shy.setdefault(kind, Shy())
        shy.aims = min(2.0 * shy.aims, SHY_AIMS_MOST) if shy.aims else SHY_AIMS
        shy.until = self._after_about(shy.aims)

    def _reach(self) -> int:
        return int(REACH + REACH_PER_BUSY * self._mean_load)

    def _busy(self, server: Server) -> int:
        """Own requests in flight at a server, with those given up on: they may well run on there.

        Guards against a slow or hung server that looks empty because its attempts were called off.
        """
        if server.ghosts:
            server.ghosts = [until for until in server.ghosts if until > self._now]
        return server.in_flight - server.passing + len(server.ghosts)

    def _drawn(self, pool: list[Server], odds: list[float], count: int) -> list[Server]:
        """Draw distinct servers by their odds; the order is random too, so the first of equals is chance."""
        drawn = []
        left = list(range(len(pool)))
        total = sum(odds)
        for _ in range(min(count, len(pool))):
            point = self._random.random() * total
            at = 0
            while at < len(left) - 1 and point >= odds[left[at]]:
                point -= odds[left[at]]
                at += 1
            index = left.pop(at)
            total -= odds[index]
            drawn.append(pool[index])
        return drawn

    def _odds(self, server: Server, power: float) -> float:
        """Slower servers are drawn less: with few requests most counters are zero, and the draw decides.

        Still less for heavy requests, which only quick servers can answer in time.
        """
        pace = math.pow(max(server.pace, 1.0 / PACE_CLIP), power)
        return 1.0 / pace if server.cold_since is None else self._warmth(server) / pace

    def _remote_odds(self) -> float:
        """Servers of other zones are drawn less while the own zone is as quick as theirs.

        Spares crossings without the trap of a zone that has more traffic than servers: as the own zone's pace
        falls behind, or answers come late anywhere, the odds even out.
        """
        if self._remote_at != self._now:
            self._remote_at, self._remote = self._now, self._weigh_zones()
        return self._remote

    def _weigh_zones(self) -> float:
        if self._settings.prices.cross_zone <= 0.0 or self._late >= LATE_ALLOWED or self._fill() > FREE:
            return 1.0  # room anywhere is worth more than a crossing
        near = far = 0.0
        near_count = far_count = 0
        for each in self._ready:
            if each.ejected_until is not None:
                continue
            if each.zone == self._settings.zone:
                near += each.pace
                near_count += 1
            else:
                far += each.pace
                far_count += 1
        if not near_count or not far_count or far <= 0.0:
            return 1.0
        behind = (near / near_count) / (far / far_count) - 1.0
        heat = (self._spent - REMOTE_SPENT) / REMOTE_SPENT  # the busier, the less may any zone be uneven
        return max(REMOTE_LEAST, min(max(behind / REMOTE_EVEN, heat), 1.0))

    def _eligible(self, server: Server, request: Request) -> bool:
        if server.ejected_until is not None:
            return False
        if request.attempts:
            if server in request.tried or not self._in_group(request, server):
                return False
            if any(each.pending and each.server is server for each in request.attempts):
                return False  # a second copy goes elsewhere
        return server.cold_since is None or self._cold_room(server, request.cost)

    # -----------------------------------------------------------------------------------------------
    # The send gate

    def _send(self, request: Request, server: Server) -> bool:
        """The one way out for an attempt.  Says whether the attempt was allowed and sent."""
        limits = self._settings.limits
        if request.answered or self._now >= request.answer_by:
            return False  # rule 1: nothing after the final answer, nothing that cannot be answered in time
        if not self._has_attempts_left(request):
            return False
        if not limits.allow_hedging and request.is_out():
            return False  # rule 2
        if not self._may_run_again(request) or not self._in_group(request, server):
            return False  # rule 2
        if server.state is not ServerState.READY and not self._may_end_there(request, server):
            return False  # rule 3: at once on hearing, without use of the grace
        if not self._cold_room(server, request.cost):
            return False  # rule 4
        if self._is_cold(server):
            server.allowance -= request.cost
        write_by = self._repeat_by(request)
        attempt = Attempt(len(request.attempts), server, (server.zone, server.cell), self._now, self._answers)
        attempt.idled = self._idle_time(server)
        request.attempts.append(attempt)
        server.in_flight += 1
        attempt.greets = server.in_flight > server.lines
        server.lines = max(server.lines, server.in_flight)
        self._pending += 1
        if server.ejected_until is not None:
            if request.bound is None:
                server.trial = attempt
            self._stuck += 1
        if request.whole:
            self._schedule(self._now + self._patience(request, attempt), request.ident, attempt.index)
        else:
            self._passes(attempt, True)
        self._actions.append(Send(request.ident, server.name, request.answer_by, write_by))
        return True

    def _may_end_there(self, request: Request, server: Server) -> bool:
        """Whether a draining server may still have what only it can serve: the rest of an open session."""
        may = request.bound is not None and server.state is ServerState.DRAINING
        return may and self._now < server.state_at + self._settings.rules.session_drain_grace_us

    def _has_attempts_left(self, request: Request) -> bool:
        """A dial that found nobody was no attempt: nothing was written, so the next may follow at once.

        What guards the fleet against storms of dials is that each takes its server out of the draw.
        """
        made = len(request.attempts) - min(request.turned_down, DIALS_SPARE)
        return made < request.most and made < self._settings.limits.max_attempts

    def _may_run_again(self, request: Request) -> bool:
        """Whether the request's class lets another attempt out now."""
        by = self._repeat_by(request)
        return by is None or self._now < by

    def _repeat_by(self, request: Request) -> int | None:
        """Until when another attempt may begin to run; None: at any time.

        A keyed one before servers forget, counted from the first moment at which an earlier one may have
        begun: less one tick, since the clock is read once a tick, and less the way there.
        """
        first = next((each for each in request.attempts if each.may_have_run), None)
        if first is None or request.kind.repeat is Idempotency.IDEMPOTENT:
            return None
        if request.kind.repeat is Idempotency.NON_IDEMPOTENT:
            return 0
        memory = request.kind.idempotency_window_us
        way = min(WAY_DIALS * self._settings.limits.dial_timeout_us, WAY_MOST * memory)
        return first.sent_at + memory - self._settings.tick_us - int(way)

    @staticmethod
    def _in_group(request: Request, server: Server) -> bool:
        """Whether a keyed request that may have run would have its repeat dropped at this server."""
        if request.kind.repeat is not Idempotency.KEYED or request.kind.group is DeduplicationScope.ALL:
            return True
        for each in request.attempts:
            if each.may_have_run:
                zone, cell = each.group
                return (
                    zone == server.zone
                    if request.kind.group is DeduplicationScope.ZONE
                    else cell == server.cell
                )
        return True

    # -----------------------------------------------------------------------------------------------
    # The final answer gate

    def _finish(self, request: Request) -> None:
        """The one way out for an answer that is not a server's: a refusal where legal, else a failure."""
        if request.answered:
            return
        harmless = request.kind.repeat is Idempotency.IDEMPOTENT or not any(
            a.may_have_run for a in request.attempts
        )
        if request.kind.repeat is Idempotency.KEYED and request.kind.group is DeduplicationScope.ALL:
            harmless = True
        self._actions.append(
            Refuse(request.ident, self._come_back_in(request)) if harmless else Fail(request.ident)
        )
        self._close(request)

    def _come_back_in(self, request: Request) -> int:
        """When a refused client may as well ask again; by chance, so that not all come back together.

        Guards against storms: clients that ask again at once are refused again, and their requests take the
        time in which others could be served.  Later than within its aim, an answer is worth little.
        """
        limits = self._settings.limits
        if not limits.retry_after:
            return 0
        wait = RETRY_AIMS * request.kind.latency_objective_us * (0.5 + self._random.random())
        return min(int(wait), limits.max_retry_after_us)

    def _close(self, request: Request) -> None:
        """Nothing is owed any more; attempts still out are called off where that is permitted."""
        request.answered = True
        for attempt in request.attempts:
            if attempt.pending and not attempt.started and self._settings.limits.may_cancel:
                self._actions.append(Cancel(request.ident, attempt.index))
        self._forget_if_over(request)

    def _forget_if_over(self, request: Request) -> None:
        if request.answered and not request.is_out():
            self._requests.pop(request.ident, None)

    # -----------------------------------------------------------------------------------------------
    # How attempts end

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.pending:
            return
        attempt.pending = False
        if attempt.passing:
            self._passes(attempt, False)
        attempt.may_have_run = not self._settings.rules.never_ran(event.outcome)
        attempt.server.in_flight -= 1
        self._pending -= 1
        if event.outcome not in (Outcome.DELIVERED, Outcome.FULL, Outcome.REJECTED):
            attempt.server.lines = max(attempt.server.lines - 1, attempt.server.in_flight)
        if attempt.server.ejected_until is not None:
            self._stuck -= 1
        self._close_if_leaving(attempt.server)
        given_up = (
            event.outcome is Outcome.CANCELLED and event.elapsed_us >= request.kind.latency_objective_us
        )
        self._judge(attempt, Outcome.TIMED_OUT if given_up else event.outcome)
        if event.report and "util" in event.report:
            self._follow_cores(min(max(event.report["util"], 0.0), 1.0))
        if event.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            until = self._now + int(GHOST_LIFE * event.elapsed_us)
            attempt.server.ghosts.append(until)
            if attempt.server.ejected_until is None:
                heapq.heappush(self._ghosts, until)
            if event.elapsed_us > self._usual(request) * attempt.server.pace:
                self._pace(attempt.server, request, event.elapsed_us)
        if event.outcome is Outcome.ERROR:
            # A quick error must not look like a quick server: it counts as the slowest answer there is.
            self._pace(attempt.server, request, int(PACE_CLIP * self._usual(request)))
        if event.outcome is Outcome.FULL:
            self._full_heard(attempt.server, request.kind.name)
        if event.outcome is Outcome.DELIVERED:
            attempt.server.shy.pop(request.kind.name, None)
            self._served_aims.add(self._now, request.kind.latency_objective_us)
            # Guards against taking handshakes for load: after a start, or when servers are replaced, most
            # connections are new, and each first answer comes as late as an overloaded server's.  What is
            # late even so does count.
            spent = event.elapsed_us / request.kind.latency_objective_us - GREETING_AIMS * attempt.greets
            if not attempt.greets:
                self._time(attempt.server, request, event.elapsed_us)
            if not attempt.felt and (not attempt.greets or spent > self._spent):
                self._feel(spent)
        if event.answered:
            if not request.answered:
                self._close(request)
        elif event.outcome is Outcome.REJECTED and not request.answered:
            self._actions.append(Fail(request.ident))  # the next server would find the same fault
            self._close(request)
        elif not request.answered:
            request.tried.append(attempt.server)
            if not event.can_retry:
                request.most = 0
            full, turned_down = event.outcome is Outcome.FULL, event.outcome is Outcome.CONNECTION_REFUSED
            request.said_full += full
            request.turned_down += turned_down
            left = self._has_attempts_left(request) and self._may_run_again(request)
            free = full or turned_down  # a redraw on full is the design's own, not a retry
            if left and (free or self._extra >= 1.0):
                self._extra -= 0.0 if free else 1.0
                self._place(request)
            elif not request.is_out():
                self._finish(request)
            if full and request.answered:
                self._feel(LOST_SPENT)  # no redraw found room: the fleet is full, not one server
        self._forget_if_over(request)
        self._forget_if_gone(attempt.server)

    # -----------------------------------------------------------------------------------------------
    # Pace: how long a server takes, relative to the usual for such requests

    def _usual(self, request: Request) -> float:
        """The usual time of such a request, over all servers."""
        return self._norms.get(
            (request.kind.name, request.size), UNSEEN_AIMS * request.kind.latency_objective_us
        )

    def _pace(self, server: Server, request: Request, elapsed_us: int) -> None:
        ratio = min(elapsed_us / max(self._usual(request), 1.0), PACE_CLIP)
        server.pace += PACE_STEP * self._stretch() * (ratio - server.pace)

    def _time(self, server: Server, request: Request, elapsed_us: int) -> None:
        kind = (request.kind.name, request.size)
        usual = self._norms.setdefault(kind, float(elapsed_us))  # the first answer of its kind is usual
        self._pace(server, request, elapsed_us)
        self._norms[kind] = usual + NORM_STEP * (elapsed_us - usual)

    # -----------------------------------------------------------------------------------------------
    # Overdue attempts: silent servers are left, and repeatable requests saved

    def _patience(self, request: Request, attempt: Attempt) -> int:
        usual = PATIENCE * self._usual(request) * max(attempt.server.pace, 1.0)
        least = GREETING_AIMS if attempt.greets else PATIENCE_AIMS
        return int(max(usual, least * request.kind.latency_objective_us, self._settings.tick_us))

    def _overdue(self, request: Request, attempt: Attempt) -> None:
        """An attempt takes far longer than usual.

        Guards against servers that take work and answer nothing, long before time-outs would tell.  A server
        that answered anything since is slow, not silent; if others were as silent, all are overloaded.
        """
        server = attempt.server
        silent = server.last_answer_at <= attempt.sent_at
        waited = self._now - attempt.sent_at
        late = int(request.kind.latency_objective_us * (1.0 + GREETING_AIMS * attempt.greets))
        if waited < late:
            self._schedule(attempt.sent_at + late, request.ident, attempt.index)
        elif not attempt.felt and server.ejected_until is None and not attempt.blames_idle:
            # Late already, though no answer says so yet: waiting for one would see a surge too late.
            attempt.felt = True
            if self._cores is not None:
                self._follow_cores(1.0)  # no answer, no report: reports alone flatter
            self._feel(LOST_SPENT)
        enough = max(
            SILENCE * self._patience(request, attempt), SILENT_AIMS * request.kind.latency_objective_us
        )
        if silent and waited < enough:
            self._schedule(attempt.sent_at + int(enough), request.ident, attempt.index)
        elif (
            silent and server.ejected_until is None and self._answers - attempt.answers_before >= QUIET_PEERS
        ):
            if not self._silent_on_idle(attempt):
                self._eject(server, "silent", SILENT_MOST)
        silent = silent and (server.ejected_until is not None or attempt.blames_idle)
        limits = self._settings.limits
        if not self._may_run_again(request) or not self._has_attempts_left(request):
            return  # waiting is all that is left
        if limits.allow_hedging:
            if silent and self._extra >= 1.0:
                self._extra -= 1.0
                self._place(request)
        elif silent and limits.may_cancel and self._extra >= 1.0:
            if self._is_open_trial(attempt):
                # Its end will say nothing, and the next trial would follow at once.
                server.ejected_until = self._after_about(EJECT_AIMS)
            self._actions.append(Cancel(request.ident, attempt.index))  # its end draws again

    # -----------------------------------------------------------------------------------------------
    # Idle connections that died unseen

    def _idle_time(self, server: Server) -> int:
        """How long the connection that a send would reuse has gone unused; a doubtful one is closed first.

        Guards against idle connections that something on the way drops unseen: what is sent on one gets no
        answer, and neither the server nor the fleet is at fault.  Also covers servers that close early.  It
        costs handshakes while a few hung servers are mistaken for it.
        """
        since, server.idle_since = server.idle_since, None
        idle = 0 if since is None else self._now - since
        if idle < IDLE_LEAST * self._longest_aim or idle >= self._settings.limits.idle_close_us:
            return 0
        if self._stale_odds() >= STALE_ODDS and 2 * idle >= self._stale_idle:
            self._close_idle(server)
            return 0
        return idle

    def _stale_odds(self) -> float:
        fade = math.exp((self._stale_at - self._now) / (STALE_AIMS * self._longest_aim))
        self._stale, self._stale_at = self._stale * fade, self._now
        return self._stale

    def _silent_on_idle(self, attempt: Attempt) -> bool:
        """Learn from an attempt that got no answer; say whether an idle connection may be to blame."""
        if attempt.suspect:
            return attempt.blames_idle
        attempt.suspect = True
        odds = self._stale_odds()
        if not attempt.idled:
            self._stale = odds * (1.0 - STALE_STEP)  # a live connection, and silent all the same
            return False
        if odds < STALE_ODDS or attempt.idled < self._stale_idle:
            self._stale_idle = attempt.idled
        self._stale = odds + STALE_STEP * (1.0 - odds)
        self._close_idle(attempt.server)
        attempt.server.idle_since = None
        return True

    def _answered_on_idle(self, attempt: Attempt) -> None:
        attempt.server.idle_since = self._now
        if attempt.suspect:
            self._stale = 0.0  # it was slow, not dead
        elif attempt.idled and attempt.idled >= self._stale_idle:
            self._stale = self._stale_odds() * (1.0 - STALE_STEP_BACK)

    # -----------------------------------------------------------------------------------------------
    # Outlier ejection

    def _judge(self, attempt: Attempt, outcome: Outcome) -> None:
        """Learn of a server's health from the end of an attempt."""
        server = attempt.server
        trial = self._is_open_trial(attempt)
        if server.trial is attempt:
            server.trial = None
        if outcome in (Outcome.DELIVERED, Outcome.REJECTED):
            self._count_end(server, 0.0)
            server.strikes = server.spoilt = 0
            server.last_answer_at = self._now
            self._answered_on_idle(attempt)
            self._answers += 1
            if not self._is_cold(server):
                self._served_warm.add(self._now, 1.0)
            if server.ejected_until is not None:
                self._readmit(server)
        elif outcome is Outcome.CONNECTION_REFUSED:
            self._eject(server, outcome.value)
            if server.ejected_until is not None:
                server.is_vacant = True
                self._turned_cold(server, self._now)  # who listens there next has just started
        elif outcome is Outcome.MALFORMED:
            # Guards against ejecting servers for what comes spoilt from all of them alike.
            server.spoilt += 1
            server.last_answer_at = self._now
            if trial or (server.spoilt >= SPOILT_STRIKES and server.ejected_until is None):
                self._eject(server, outcome.value)
        elif outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED, Outcome.ERROR):
            if outcome is Outcome.TIMED_OUT and server.last_answer_at > attempt.sent_at:
                return  # it is slow, not sick: it answered others meanwhile
            if (
                outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)
                and self._silent_on_idle(attempt)
                and not trial
            ):
                return
            self._count_end(server, 1.0)
            server.strikes += 1
            enough = max(
                STRIKES_DROPPED if outcome is Outcome.CONNECTION_LOST else STRIKES,
                self._row_by_chance(server),
            )
            if trial or (server.strikes >= enough and server.ejected_until is None):
                self._eject(server, outcome.value)
                if trial and outcome is Outcome.CONNECT_FAILED:
                    # It is down for good, and may come back before the list says so.  Connections that break
                    # say less: the way may do that, and a fleet held for cold has no room for anyone.
                    self._turned_cold(server, self._now)

    def _count_end(self, server: Server, bad: float) -> None:
        for rate in (self._ended, server.ended):
            rate.add(self._now, 1.0)
        if bad:
            for rate in (self._bad, server.bad):
                rate.add(self._now, bad)

    def _row_by_chance(self, server: Server) -> float:
        """The least row of failures at this server that chance does not explain, as often as the others fail.

        Guards against ejecting one after the other on a day that breaks connections to all alike: nobody is
        worse than the rest, and each that is taken out leaves more for them.  Where nothing else fails, no
        row is by chance; where all does, each is, and nobody is ejected for it.
        """
        now = self._now
        ended = self._ended.per_us(now) - server.ended.per_us(now)
        bad = self._bad.per_us(now) - server.bad.per_us(now)
        if ended * self._ended.span_us < ENOUGH_ENDS or bad <= 0.0:
            return 0.0
        return math.log(BY_CHANCE) / math.log(min(bad / ended, 0.99))

    def _eject(self, server: Server, reason: str, most: float = EJECTED_MOST) -> None:
        if server.ejected_until is None:
            ready, vacant = len(self._ready), sum(each.is_vacant for each in self._ejected)
            out, room = len(self._ejected) - vacant, most * min(ready - vacant, self._reach())
            if reason == Outcome.CONNECTION_REFUSED.value:
                # Guards against a list of servers that are gone: it is certain, and takes nobody's room.
                out, room = len(self._ejected), max(most * ready, ready - DRAWN)
            if out + 1 > room:
                return
            self._ejected.append(server)
            self._stuck += server.in_flight
            self._actions.append(Log(f"ejected {server.name}: {reason}"))
        aims = min(EJECT_AIMS * 2**server.ejections, EJECT_AIMS_MOST)
        server.ejections = min(server.ejections + 1, 8)
        server.ejected_until = self._after_about(aims)

    def _after_about(self, aims: float) -> int:
        """The time after about so many of the longest aim; by chance, so that balancers spread out."""
        return self._now + int(aims * self._longest_aim * (0.75 + 0.5 * self._random.random()))

    def _readmit(self, server: Server) -> None:
        server.ejected_until, server.is_vacant = None, False
        self._ejected.remove(server)
        self._stuck -= server.in_flight
        server.ejections = 0
        server.strikes = 0
        if server.cold_since is not None and server.cold_since != server.start:
            self._turned_cold(server, self._now)
        self._actions.append(Log(f"readmitted {server.name}"))

    def _is_open_trial(self, attempt: Attempt) -> bool:
        """Whether it decides on its server's ejection, and has not done so yet."""
        server = attempt.server
        return (
            server.trial is attempt and server.ejected_until is not None and self._now >= server.ejected_until
        )

    def _trial_due(self, request: Request) -> Server | None:
        """An ejected server comes back by one trial at a time, with a request that may be repeated."""
        if request.kind.repeat is not Idempotency.IDEMPOTENT or request.attempts:
            return None
        for server in self._ejected:
            waited = server.ejected_until is not None and self._now >= server.ejected_until
            if waited and server.state is ServerState.READY and server.trial is None:
                if self._cold_room(server, request.cost):
                    return server
        return None

    # -----------------------------------------------------------------------------------------------
    # Slow start

    def _turned_cold(self, server: Server, since: int) -> None:
        server.cold_since = since
        self._cold[server.name] = server
        server.allowance = self._random.random()  # from none, all balancers would fall due together, late
        server.allowance_at = self._now

    def _is_cold(self, server: Server) -> bool:
        return (
            server.cold_since is not None
            and self._now < server.cold_since + self._settings.rules.slow_start_us
        )

    def _warmth(self, server: Server) -> float:
        """The least share of its capacity that the server has by now."""
        rules = self._settings.rules
        if server.cold_since is None or not self._is_cold(server):
            return 1.0
        age = max(self._now - server.cold_since, 0)
        return (
            rules.slow_start_initial_share
            + (1.0 - rules.slow_start_initial_share) * age / rules.slow_start_us
        )

    def _cold_room(self, server: Server, cost: float) -> bool:
        """Whether a cold server's budget has room for a request of this cost.

        Guards rule 4.  The budget fills with a part of what would push the server over, judged by what this
        balancer's warm servers serve for it; all balancers doing so stay under the whole.
        """
        if not self._is_cold(server):
            return True
        rules = self._settings.rules
        bearable = self._bearable_by_mean()
        if self._mean_size > 0.0:
            bearable *= min(server.nominal / self._mean_size, 1.0)
        limit = rules.overload_multiple * self._warmth(server) * bearable
        most = max(1.0, COLD_BURST * limit * rules.overload_window_us)
        filled = COLD_SHARE * limit * max(self._now - server.allowance_at, 0)
        server.allowance = min(server.allowance + filled, most)
        server.allowance_at = self._now
        return server.allowance >= min(cost, most)

    def _bearable_by_mean(self) -> float:
        """What a warm server serves for this balancer; worked out once for each instant."""
        if self._bearable_at != self._now:
            self._bearable_at = self._now
            self._cold = {name: each for name, each in self._cold.items() if self._is_cold(each)}
            cold = [each for each in self._cold.values() if each.state is ServerState.READY]
            count, size = len(self._ready) - len(cold), self._ready_size - sum(each.nominal for each in cold)
            served = self._served_warm
            if not count:  # ejected ones too are counted: they served a part of it
                count, size, served = len(self._ready), self._ready_size, self._arrivals
            self._bearable = served.per_us(self._now) / max(min(count, self._reach()), 1)
            self._mean_size = size / max(count, 1)
        return self._bearable

    # -----------------------------------------------------------------------------------------------
    # Timers: one agenda, and one timer at a time for its head

    def _schedule(self, due: int, what: int, index: int) -> None:
        self._agenda_order += 1
        heapq.heappush(self._agenda, (due, self._agenda_order, what, index))

    def _timer_fired(self) -> None:
        if self._timer_due is not None and self._now >= self._timer_due:
            self._timer_due = None
        while self._agenda and self._agenda[0][0] <= self._now:
            _, _, what, index = heapq.heappop(self._agenda)
            request = self._requests.get(what)
            if what == _ASK:
                if self._ask_due is not None and self._ask_due <= self._now:
                    self._ask()
            elif request is None or request.answered or any(each.started for each in request.attempts):
                pass  # nothing is waited for any more
            elif index == _WHOLE:
                if self._now >= request.answer_by:
                    self._finish(request)
            elif request.attempts[index].pending:
                self._overdue(request, request.attempts[index])

    def _is_idle(self, due: int, what: int, index: int) -> bool:
        """Whether nothing would be done when this entry falls due."""
        if what == _ASK:
            return due != self._ask_due
        request = self._requests.get(what)
        return (
            request is None or request.answered or (index != _WHOLE and not request.attempts[index].pending)
        )

    def _arm_timer(self) -> None:
        agenda = self._agenda
        while agenda and self._is_idle(agenda[0][0], agenda[0][2], agenda[0][3]):
            heapq.heappop(agenda)
        if agenda and (self._timer_due is None or agenda[0][0] < self._timer_due):
            self._timer_due = agenda[0][0]
            self._actions.append(SetTimer(max(agenda[0][0] - self._now, 0), "agenda"))


def _place(server: Server) -> float:
    return server.place


_WHOLE = -1  # the agenda's mark for a request as a whole, not one of its attempts
_ASK = -1  # the agenda's mark for discovery; requests are never negative
