"""The settings of one balancer.

Times are integers, in microseconds.  Settings hold what the balancer or the program around it can act on;
the balancer does not read all of them.  Left out on purpose: the names of zones, tiers and kinds of service
(a decision by name would be wrong in other deployments), and prices of what no action here can cause.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Final

from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings_reader import MappingReader, SettingsError

NOTIFICATION_DEADLINE_US = 6_000_000
"""Deadline for receiving a change from discovery while it is reachable, after any earlier failures.

Backoffs and timeouts of calls to discovery must fit into it, however long a poll interval the settings allow;
`micadeck.membership.watch_health` adds them up.
"""


@unique
class Idempotency(Enum):
    """Whether requests of a class may run more than once."""

    IDEMPOTENT = "safe"  # may run any number of times
    KEYED = "keyed"  # carry an idempotency key, which some servers remember for a while
    NON_IDEMPOTENT = "unsafe"  # must never run twice


@unique
class DeduplicationScope(Enum):
    """Which servers share their memory of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Whether discovery pushes changes of the server list, or has to be polled."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


@unique
class CapacityWeights(Enum):
    """What the nominal size of a server means."""

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
class PriorityWeightUnit(Enum):
    """What the priority weight of a class is counted for."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests."""

    name: str
    deadline_us: int
    latency_objective_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    idempotency_window_us: int = 0
    streaming: bool = False
    objective_scaling: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant and its quota of all traffic."""

    name: str
    share: float = 1.0
    quota_per_s: float = 0.0


_HEDGED_ATTEMPTS: Final = 2  # in flight at once, where hedging is allowed


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits."""

    max_attempts: int = 1
    allow_hedging: bool = False
    may_cancel: bool = False
    may_probe: bool = False
    may_message: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    dial_timeout_us: int = 250_000
    idle_close_us: int = 15_000_000
    streams_per_connection: int = 1
    max_open: int | None = None  # open requests, enforced by the sidecar; None: no limit
    cpu_us_per_s: int | None = None  # of CPU, for the whole instance
    cpu_us_per_request: float = 0.0  # of CPU, for a request with its outcomes, on average; 0: no limit

    @property
    def max_attempts_in_flight(self) -> int:
        """How many attempts of a request may be in flight at once."""
        return _HEDGED_ATTEMPTS if self.allow_hedging else 1


@dataclass(frozen=True, slots=True)
class Rules:
    """The parameters of the rules.  The defaults are cautious."""

    answer_slack_us: int = 0
    max_poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    session_drain_grace_us: int = 0  # of drain_grace_us, for requests with session affinity
    slow_start_initial_share: float = 0.1
    slow_start_us: int = 30_000_000
    overload_multiple: float = 1.0  # of what a warm server of equal capacity serves: a cold one may get it
    overload_window_us: int = 2_000_000
    full_may_have_run: bool = False  # a full response does not prove that the request did not run
    close_idle_within_us: int | None = None  # idle connections to draining servers; None: no such rule

    def never_ran(self, outcome: Outcome) -> bool:
        """Return whether the outcome proves that the request did not run."""
        if outcome is Outcome.FULL:
            return not self.full_may_have_run
        return outcome in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_REFUSED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class TrafficPrices:
    """What extra traffic costs, as a part of all service; unless noted, for one per request."""

    cross_zone: float = 0.0
    probe: float = 0.0
    message: float = 0.0  # for 256 delivered bytes per request
    waste: float = 0.0  # for as much unanswered server work as was requested
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections per server
    discovery: float = 0.0  # for a hundred list entries per request
    late_fail: float = 0.0  # for all priority weight that is unserved after its latency objective


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the goals; all zero: not given."""

    overall: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_slack: float = 0.0  # part of the requests that may miss their objective at no loss of the tail goal


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one instance."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    me: int = 0
    group_size: int = 1
    tick_us: int = 1_000
    discovery: DiscoveryMode = DiscoveryMode.ON_REQUEST
    weights: CapacityWeights = CapacityWeights.SILENT
    priority_weight_unit: PriorityWeightUnit = PriorityWeightUnit.REQUEST
    over_share_priority_weight: float = 1.0
    report_source: ReportSource = ReportSource.SILENT
    report_columns: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    prices: TrafficPrices = field(default_factory=TrafficPrices)
    goal: Goal = field(default_factory=Goal)
    kinds: tuple[str, ...] = ()  # the kinds of machines that lists may name
    clients_mark_retries: bool = False
    warm_keys: bool = False  # a server that has seen a key lately needs less work for it

    @staticmethod
    def from_mapping(given: Mapping[str, Any]) -> Settings:
        """Read settings from plain nested mappings.

        Raises:
            SettingsError: A value cannot be used; the text names its key.
        """
        top = MappingReader(given, "settings")
        classes = tuple(_read_service_class(reader) for reader in top.mappings("classes"))
        if not classes:
            raise SettingsError("classes", "at least one class of requests is needed")
        tenants = tuple(
            Tenant(reader.text("name"), reader.number("share", 1.0), reader.number("quota_per_s", 0.0))
            for reader in top.mappings("tenants")
        )
        for label, names in (("classes", [c.name for c in classes]), ("tenants", [t.name for t in tenants])):
            if len(set(names)) != len(names):
                raise SettingsError(label, "a name occurs twice")
        report = top.mapping("report")
        limits, rules, prices = top.mapping("limits"), top.mapping("rules"), top.mapping("prices")
        goal, habits, domain = top.mapping("goal"), top.mapping("client_habits"), top.mapping("domain")
        return Settings(
            classes=classes,
            tenants=tenants,
            zone=top.text("zone", ""),
            me=top.integer("me", 0),
            group_size=top.integer("group_size", 1, low=1),
            tick_us=top.integer("tick_us", 1_000, low=1),
            discovery=top.choice("discovery", DiscoveryMode, DiscoveryMode.ON_REQUEST),
            weights=top.choice("weights", CapacityWeights, CapacityWeights.SILENT),
            priority_weight_unit=top.choice("worth_by", PriorityWeightUnit, PriorityWeightUnit.REQUEST),
            over_share_priority_weight=top.number("over_share_worth", 1.0, high=1.0),
            report_source=report.choice("source", ReportSource, ReportSource.SILENT),
            report_columns=report.texts("columns"),
            limits=_limits(limits),
            rules=_rules(rules),
            prices=_prices(prices),
            goal=_goal(goal),
            kinds=top.texts("kinds"),
            clients_mark_retries=habits.flag("mark_retries", False),
            warm_keys=domain.flag("warm_keys", False),
        )


def _read_service_class(reader: MappingReader) -> ServiceClass:
    deadline = reader.integer("deadline_us", None, low=1)
    return ServiceClass(
        name=reader.text("name"),
        deadline_us=deadline,
        latency_objective_us=min(reader.integer("aim_us", deadline, low=1), deadline),
        priority_weight=reader.number("worth", 1.0),
        late_priority_weight=reader.number("late_worth", 0.0),
        idempotency=reader.choice("repeat", Idempotency, Idempotency.NON_IDEMPOTENT),
        deduplication_scope=reader.choice("group", DeduplicationScope, DeduplicationScope.CELL),
        idempotency_window_us=reader.integer("memory_us", 0),
        streaming=reader.flag("streaming", False),
        objective_scaling=reader.number("aim_stretch", 0.0),
    )


def _limits(limits: MappingReader) -> Limits:
    return Limits(
        max_attempts=limits.integer("max_attempts", 1),
        allow_hedging=limits.flag("second_copies", False),
        may_cancel=limits.flag("may_cancel", False),
        may_probe=limits.flag("may_probe", False),
        may_message=limits.flag("may_message", False),
        retry_after=limits.flag("retry_after", False),
        max_retry_after_us=limits.integer("max_retry_after_us", 0),
        dial_timeout_us=limits.integer("dial_timeout_us", 250_000),
        idle_close_us=limits.integer("idle_close_us", 15_000_000),
        streams_per_connection=limits.integer("streams_per_connection", 1, low=1),
        max_open=limits.optional_integer("max_open"),
        cpu_us_per_s=limits.optional_integer("cpu_us_per_s"),
        cpu_us_per_request=limits.number("cpu_us_per_request", 0.0),
    )


def _rules(rules: MappingReader) -> Rules:
    return Rules(
        answer_slack_us=rules.integer("answer_slack_us", 0),
        max_poll_interval_us=rules.integer("ask_within_us", 10_000_000, low=1),
        drain_grace_us=rules.integer("drain_grace_us", 0),
        session_drain_grace_us=rules.integer("bound_grace_us", 0),
        slow_start_initial_share=rules.number("cold_from", 0.1, low=0.001, high=1.0),
        slow_start_us=rules.integer("cold_us", 30_000_000),
        overload_multiple=rules.number("fall_multiple", 1.0, low=0.001),
        overload_window_us=rules.integer("fall_us", 2_000_000, low=1),
        full_may_have_run=rules.flag("full_may_have_run", False),
        close_idle_within_us=rules.optional_integer("close_idle_within_us"),
    )


def _prices(prices: MappingReader) -> TrafficPrices:
    return TrafficPrices(
        cross_zone=prices.number("cross_zone", 0.0),
        probe=prices.number("probe", 0.0),
        message=prices.number("message", 0.0),
        waste=prices.number("waste", 0.0),
        handshake=prices.number("handshake", 0.0),
        connection=prices.number("connection", 0.0),
        discovery=prices.number("discovery", 0.0),
        late_fail=prices.number("late_fail", 0.0),
    )


def _goal(goal: MappingReader) -> Goal:
    return Goal(
        overall=goal.number("whole", 0.0),
        worst_window=goal.number("worst_window", 0.0),
        worst_class=goal.number("worst_class", 0.0),
        worst_tenant=goal.number("worst_tenant", 0.0),
        tail=goal.number("tail", 0.0),
        tail_slack=goal.number("tail_slack", 0.0, high=1.0),
    )
