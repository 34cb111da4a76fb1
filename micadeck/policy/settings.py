"""What goes into the balancer and what comes out of it: settings, events and actions.

Times are whole microseconds.  Events and actions are plain slotted dataclasses; treat them as values.

Settings carry what a decision, or the program around the balancer, can act on; the balancer itself does not
read all of them.  Left out on purpose: the names of zones, tiers and the kind of service (a decision that
followed a name would be wrong elsewhere), and the prices of things that no action here can cause.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, TypeVar

TOLD_US = 6_000_000
"""What discovery has, and could be reached for, counts as told so long after, whatever became of the calls.

The one clock of all that is asked of discovery: each wait before a call and each limit on one is a part of
it (`micadeck.membership.watch_health` adds them up), however long the settings allow for asking.
"""

# ---------------------------------------------------------------------------------------------------
# Vocabulary


@unique
class Repeat(Enum):
    """What a class of requests says of a second attempt."""

    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # repeats are dropped inside one group of servers, for a while
    UNSAFE = "unsafe"  # must never run twice


@unique
class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class Discovery(Enum):
    """Whether changes of the server list come unasked."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class Weights(Enum):
    """What a server's nominal figure means."""

    SILENT = "silent"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@unique
class ReportSource(Enum):
    """Where load reports come from."""

    ANSWERS = "answers"
    PROBES = "probes"
    SILENT = "silent"


@unique
class WorthBy(Enum):
    """What a class's worth is counted for."""

    REQUEST = "request"
    WORK = "work"


@unique
class ServerState(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@unique
class ListKind(Enum):
    """How a server list is to be read."""

    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # who is missing is gone
    REMEMBERED = "remembered"  # complete, but as last held before a restart
    FAILED = "failed"  # a call failed or the subscription broke; nothing changes


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    EXPIRED = "expired"
    DIAL_FAILED = "dial_failed"
    TURNED_DOWN = "turned_down"  # nobody listens there, and the dial was told so at once
    DROPPED = "dropped"
    CANCELLED = "cancelled"
    UNSENT = "unsent"
    SPOILT = "spoilt"  # an answer came that can't be used; nothing is said of the server's health
    REJECTED = "rejected"  # the server is well and found fault with the request


# ---------------------------------------------------------------------------------------------------
# Settings


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests."""

    name: str
    deadline_us: int
    aim_us: int
    worth: float = 1.0
    late_worth: float = 0.0
    repeat: Repeat = Repeat.UNSAFE
    group: Group = Group.CELL
    memory_us: int = 0
    streaming: bool = False
    aim_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and what it may ask of the whole fleet."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    max_attempts: int = 1
    second_copies: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_message: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    dial_timeout_us: int = 250_000
    idle_close_us: int = 15_000_000
    streams_per_connection: int = 1
    max_open: int | None = None  # requests held at once, kept by the sidecar; None: no limit
    cpu_us_per_s: int | None = None  # of CPU, for the whole instance
    cpu_us_per_request: float = 0.0  # of CPU, for a request with its outcomes, on average; 0: no limit


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures of the rules.  The defaults are the cautious ends."""

    answer_slack_us: int = 0
    ask_within_us: int = 10_000_000
    drain_grace_us: int = 0
    bound_grace_us: int = 0  # of that, from hearing of a drain: what bound requests may use
    cold_from: float = 0.1
    cold_us: int = 30_000_000
    fall_multiple: float = 1.0
    fall_us: int = 2_000_000
    full_may_have_run: bool = False  # servers may answer full for work that they had begun
    close_idle_within_us: int | None = None  # idle connections to draining servers go; None: no such rule

    def never_ran(self, outcome: Outcome) -> bool:
        """Whether the outcome proves that the server did nothing of the request: the one place to ask."""
        if outcome is Outcome.FULL:
            return not self.full_may_have_run
        return outcome in (Outcome.DIAL_FAILED, Outcome.TURNED_DOWN, Outcome.UNSENT)


@dataclass(frozen=True, slots=True)
class Prices:
    """What extra traffic costs, as a part of all service, mostly for one a request."""

    cross_zone: float = 0.0
    probe: float = 0.0
    message: float = 0.0  # for 256 bytes a request, delivered
    waste: float = 0.0  # for server work without an answer, as much as was asked for
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections a server
    discovery: float = 0.0  # for a hundred list lines a request
    late_fail: float = 0.0  # for all worth ending unserved after its aim


@dataclass(frozen=True, slots=True)
class Goal:
    """What counts how much of the whole; all zero: not told."""

    whole: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_slack: float = 0.0  # the part of requests that may miss their aim before the tail shrinks


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an instance is told at its start."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    me: int = 0
    group_size: int = 1
    tick_us: int = 1_000
    discovery: Discovery = Discovery.ON_REQUEST
    weights: Weights = Weights.SILENT
    worth_by: WorthBy = WorthBy.REQUEST
    over_share_worth: float = 1.0
    report_source: ReportSource = ReportSource.SILENT
    report_columns: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: Prices = field(default_factory=Prices)
    goal: Goal = field(default_factory=Goal)
    kinds: tuple[str, ...] = ()  # the kinds of machines that lists may name
    clients_mark_retries: bool = False
    warm_keys: bool = False  # a server that met a key lately needs less work for it

    @staticmethod
    def from_mapping(given: Mapping[str, Any]) -> Settings:
        """Read settings from plain nested mappings; raise ValueError, naming the key, on nonsense."""
        top = _Reader(given, "settings")
        classes = tuple(_service_class(each) for each in top.parts("classes"))
        if not classes:
            raise ValueError("classes: at least one class of requests is needed")
        tenants = tuple(
            Tenant(each.text("name"), each.number("share", 1.0), each.number("quota_per_s", 0.0))
            for each in top.parts("tenants")
        )
        for label, names in (("classes", [c.name for c in classes]), ("tenants", [t.name for t in tenants])):
            if len(set(names)) != len(names):
                raise ValueError(f"{label}: a name stands twice")
        report = top.part("report")
        limits, rules, prices = top.part("limits"), top.part("rules"), top.part("prices")
        goal, habits, domain = top.part("goal"), top.part("client_habits"), top.part("domain")
        return Settings(
            classes=classes,
            tenants=tenants,
            zone=top.text("zone", ""),
            me=top.whole("me", 0),
            group_size=top.whole("group_size", 1, low=1),
            tick_us=top.whole("tick_us", 1_000, low=1),
            discovery=top.choice("discovery", Discovery, Discovery.ON_REQUEST),
            weights=top.choice("weights", Weights, Weights.SILENT),
            worth_by=top.choice("worth_by", WorthBy, WorthBy.REQUEST),
            over_share_worth=top.number("over_share_worth", 1.0, high=1.0),
            report_source=report.choice("source", ReportSource, ReportSource.SILENT),
            report_columns=report.texts("columns"),
            limits=Limits(
                max_attempts=limits.whole("max_attempts", 1),
                second_copies=limits.flag("second_copies", False),
                may_cancel=limits.flag("may_cancel", False),
                may_probe=limits.flag("may_probe", False),
                may_message=limits.flag("may_message", False),
                retry_after=limits.flag("retry_after", False),
                max_retry_after_us=limits.whole("max_retry_after_us", 0),
                dial_timeout_us=limits.whole("dial_timeout_us", 250_000),
                idle_close_us=limits.whole("idle_close_us", 15_000_000),
                streams_per_connection=limits.whole("streams_per_connection", 1, low=1),
                max_open=limits.optional_whole("max_open"),
                cpu_us_per_s=limits.optional_whole("cpu_us_per_s"),
                cpu_us_per_request=limits.number("cpu_us_per_request", 0.0),
            ),
            rules=Rules(
                answer_slack_us=rules.whole("answer_slack_us", 0),
                ask_within_us=rules.whole("ask_within_us", 10_000_000, low=1),
                drain_grace_us=rules.whole("drain_grace_us", 0),
                bound_grace_us=rules.whole("bound_grace_us", 0),
                cold_from=rules.number("cold_from", 0.1, low=0.001, high=1.0),
                cold_us=rules.whole("cold_us", 30_000_000),
                fall_multiple=rules.number("fall_multiple", 1.0, low=0.001),
                fall_us=rules.whole("fall_us", 2_000_000, low=1),
                full_may_have_run=rules.flag("full_may_have_run", False),
                close_idle_within_us=rules.optional_whole("close_idle_within_us"),
            ),
            prices=Prices(
                cross_zone=prices.number("cross_zone", 0.0),
                probe=prices.number("probe", 0.0),
                message=prices.number("message", 0.0),
                waste=prices.number("waste", 0.0),
                handshake=prices.number("handshake", 0.0),
                connection=prices.number("connection", 0.0),
                discovery=prices.number("discovery", 0.0),
                late_fail=prices.number("late_fail", 0.0),
            ),
            goal=Goal(
                whole=goal.number("whole", 0.0),
                worst_window=goal.number("worst_window", 0.0),
                worst_class=goal.number("worst_class", 0.0),
                worst_tenant=goal.number("worst_tenant", 0.0),
                tail=goal.number("tail", 0.0),
                tail_slack=goal.number("tail_slack", 0.0, high=1.0),
            ),
            kinds=top.texts("kinds"),
            clients_mark_retries=habits.flag("mark_retries", False),
            warm_keys=domain.flag("warm_keys", False),
        )


def _service_class(each: _Reader) -> ServiceClass:
    deadline = each.whole("deadline_us", None, low=1)
    return ServiceClass(
        name=each.text("name"),
        deadline_us=deadline,
        aim_us=min(each.whole("aim_us", deadline, low=1), deadline),
        worth=each.number("worth", 1.0),
        late_worth=each.number("late_worth", 0.0),
        repeat=each.choice("repeat", Repeat, Repeat.UNSAFE),
        group=each.choice("group", Group, Group.CELL),
        memory_us=each.whole("memory_us", 0),
        streaming=each.flag("streaming", False),
        aim_stretch=each.number("aim_stretch", 0.0),
    )


_Choice = TypeVar("_Choice", bound=Enum)
_LARGEST = 2**53  # every whole number up to here survives a double


class _Reader:
    """Reads one mapping; each complaint names the path of the key.  A null counts as absent."""

    def __init__(self, given: object, path: str) -> None:
        if not isinstance(given, Mapping):
            raise ValueError(f"{path}: a mapping is needed")
        self._given = given
        self._path = "" if path == "settings" else path + "."

    def _value(self, key: str) -> Any:
        return self._given.get(key)

    def _nonsense(self, key: str, needed: str) -> ValueError:
        return ValueError(f"{self._path}{key}: {needed} is needed, not {self._value(key)!r:.60}")

    def part(self, key: str) -> _Reader:
        value = self._value(key)
        return _Reader({} if value is None else value, self._path + key)

    def parts(self, key: str) -> list[_Reader]:
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._nonsense(key, "a list")
        return [_Reader(each, f"{self._path}{key}[{index}]") for index, each in enumerate(value)]

    def text(self, key: str, default: str | None = None) -> str:
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._nonsense(key, "a text")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._nonsense(key, "a list of texts")
        if not all(isinstance(each, str) for each in value):
            raise self._nonsense(key, "a list of texts")
        return tuple(value)

    def flag(self, key: str, default: bool) -> bool:
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._nonsense(key, "true or false")
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = _LARGEST) -> float:
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise self._nonsense(key, f"a number from {low:g} to {high:g}")
        return float(value)

    def whole(self, key: str, default: int | None, low: int = 0) -> int:
        value = self._value(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= _LARGEST:
            raise self._nonsense(key, f"a whole number from {low}")
        if value != int(value):
            raise self._nonsense(key, "a whole number")
        return int(value)

    def optional_whole(self, key: str) -> int | None:
        return None if self._value(key) is None else self.whole(key, None)

    def choice(self, key: str, kind: type[_Choice], default: _Choice) -> _Choice:
        value = self._value(key)
        if value is None:
            return default
        for each in kind:
            if value == each.value:
                return each
        raise self._nonsense(key, "one of " + ", ".join(str(each.value) for each in kind))


# ---------------------------------------------------------------------------------------------------
# Events


@dataclass(slots=True)
class ListedServer:
    """A line of the server list."""

    server: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    nominal: float = 1.0
    started_at: int | None = None  # None: long ago


@dataclass(slots=True)
class ServersListed:
    """The server list was heard, or a call for it failed."""

    kind: ListKind
    servers: Sequence[ListedServer] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; one final answer is owed from here on."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # a hint of the work, where the client gave one
    client_retry: bool = False
    write: bool = False
    bound: str | None = None  # the one server that can serve it, which holds its session
    kind: ServiceClass | None = None  # None: the class of that name that is in force
    whole: bool = True  # False: its last byte has not come; RequestWhole follows, and no server begins before


@dataclass(slots=True)
class RequestWhole:
    """The last byte of a request came that was taken before; its time counts from here."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class AnswerStarted:
    """The streamed answer of an attempt has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.  `answered`: the client has its final answer, by this outcome or an earlier one."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    answered: bool
    report: Mapping[str, float] | None = None
    again: bool = True  # False: a part of the request is not kept, so it can be sent to nobody else


@dataclass(slots=True)
class RequestGone:
    """The client went away; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(slots=True)
class ProbeEnded:
    """A probe came back."""

    server: str
    outcome: Outcome
    elapsed_us: int
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class SettingsChanged:
    """Other settings are in force from here on; open requests keep the class that they came with.

    What the instance was told once and for all stays: its zone, its number, and how discovery is asked.
    """

    settings: Settings


@dataclass(slots=True)
class MessageReceived:
    """A message from another balancer of the tier."""

    sender: int
    payload: bytes


Event = (
    ServersListed
    | RequestArrived
    | RequestWhole
    | AnswerStarted
    | AttemptEnded
    | RequestGone
    | TimerFired
    | ProbeEnded
    | MessageReceived
    | SettingsChanged
)

# ---------------------------------------------------------------------------------------------------
# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order they are sent."""

    request: int
    server: str
    until: int  # clock time at which the attempt is abandoned
    write_by: int | None = None  # its last byte is written by then or never; None: any time


@dataclass(frozen=True, slots=True)
class Figures:
    """How a balancer stands, for those who look on."""

    load: int  # own requests in flight that count
    window: float  # how many the fleet bears in time; infinite until a limit was needed
    spent: float  # the part of its aim that the typical answer takes
    late: float  # part of the answers that come after their aim
    cores: float | None  # how busy servers report their cores; None: not at all
    ejected: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; trying again is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; nothing is promised."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Bound:
    """Abandon an attempt that is out at another time than its Send said."""

    request: int
    attempt: int
    until: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired."""

    in_us: int
    token: str


@dataclass(slots=True)
class Probe:
    """Test a server."""

    server: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True)
class Tell:
    """Send a message to one balancer of the tier, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class Follow:
    """Subscribe to changes of the server list, or end that."""

    wanted: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask once for the complete server list."""


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    Send | Refuse | Fail | Cancel | Bound | SetTimer | Probe | CloseIdle | Tell | Follow | FetchList | Log
)
