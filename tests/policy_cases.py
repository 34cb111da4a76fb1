"""Cases for `policy_driver`: settings and the behaviour of clients, servers and discovery."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MS = 1_000
S = 1_000_000
ARRIVALS = 600

LOOKUP = {"name": "lookup", "deadline_us": 2 * S, "aim_us": 500 * MS, "worth": 1, "repeat": "safe"}
PAYMENT = {"name": "payment", "deadline_us": 2 * S, "aim_us": 400 * MS, "worth": 10, "repeat": "unsafe"}
UPDATE: dict[str, Any] = {
    "name": "update",
    "deadline_us": 4 * S,
    "aim_us": 800 * MS,
    "worth": 3,
    "late_worth": 0.5,
    "repeat": "keyed",
    "group": "zone",
    "memory_us": 2 * S,
}
FEED = {"name": "feed", "deadline_us": 3 * S, "aim_us": 600 * MS, "repeat": "safe", "streaming": True}


def settings_mapping(limits: dict[str, Any], rules: dict[str, Any], **overrides: Any) -> dict[str, Any]:
    """Permissive settings as a mapping, with the given limits, rules and other keys merged in."""
    given: dict[str, Any] = {
        "classes": [LOOKUP, PAYMENT, UPDATE],
        "zone": "east",
        "tick_us": 5 * MS,
        "limits": {"max_attempts": 4, "may_cancel": True, **limits},
        "rules": {
            "cold_from": 0.2,
            "cold_us": 5 * S,
            "drain_grace_us": 500 * MS,
            "fall_multiple": 3,
            "fall_us": 2 * S,
            "ask_within_us": 10 * S,
            **rules,
        },
    }
    return {**given, **overrides}


@dataclass(frozen=True)
class Case:
    """Parameters of one case; fields that end in `_odds` are probabilities."""

    settings: list[dict[str, Any]] = field(default_factory=lambda: [settings_mapping({}, {})])
    outcomes: dict[str, float] = field(default_factory=lambda: {"error": 0.02, "dial_failed": 0.01})
    arrival_gap_us: int = 12 * MS
    work_us: int = 60 * MS
    servers: int = 8
    slots: float = 6.0  # concurrent requests per server before it slows down
    queue: float = 4.0  # a server answers full beyond this multiple of its slots
    faulty_servers: int = 1  # servers that fail most attempts during the middle third of the run
    partial_odds: float = 0.0  # the policy gets a request before its last byte
    bound_odds: float = 0.0
    own_class_odds: float = 0.0  # a request carries its own service class
    final_odds: float = 0.0  # a failed attempt can't be retried
    stream_odds: float = 0.0
    abandon_odds: float = 0.02
    silent_odds: float = 0.0  # an attempt gets no response
    report_odds: float = 0.0
    probe_odds: float = 0.0
    heavy_odds: float = 0.0  # a request costs many times the mean
    slow_zone_factor: int = 1  # slowdown of the balancer's own zone during the middle third
    list_odds: float = 0.02  # the endpoint list changes at an arrival
    list_failure_odds: float = 0.0
    restart_odds: float = 0.0
    settings_every: int = 0  # arrivals between settings changes
    tenants: tuple[str | None, ...] = (None,)


_LIST: dict[str, Any] = {"list_odds": 0.08, "list_failure_odds": 0.3, "restart_odds": 0.3}
_TENANTS = [{"name": "gold", "share": 3, "quota_per_s": 20}, {"name": "free", "share": 1}]

CASES: dict[str, Case] = {
    "plain": Case(),
    "settings_change": Case(
        settings=[
            settings_mapping({}, {}),
            settings_mapping({"max_attempts": 1, "second_copies": True}, {"fall_us": 5 * S, "cold_us": S}),
            settings_mapping({"max_attempts": 2}, {}, classes=[{**LOOKUP, "aim_us": 90 * MS}, FEED]),
        ],
        settings_every=45,
        own_class_odds=0.2,
        report_odds=0.3,
        arrival_gap_us=6 * MS,
    ),
    "request_completes_late": Case(partial_odds=0.5, outcomes={"error": 0.04, "dropped": 0.04}),
    "request_completes_late_unsafe": Case(
        settings=[settings_mapping({"second_copies": True}, {}, classes=[PAYMENT, UPDATE])],
        partial_odds=0.7,
        final_odds=0.3,
        outcomes={"dial_failed": 0.05, "full": 0.05, "unsent": 0.05},
        abandon_odds=0.1,
    ),
    "bound_to_a_server": Case(
        settings=[settings_mapping({}, {"bound_grace_us": 300 * MS, "close_idle_within_us": 800 * MS})],
        bound_odds=0.5,
        list_odds=0.06,
        outcomes={"error": 0.03, "dropped": 0.03, "turned_down": 0.02},
    ),
    "faulty_requests": Case(outcomes={"rejected": 0.4, "error": 0.05}, report_odds=0.2),
    "no_further_attempt": Case(
        final_odds=0.6, outcomes={"error": 0.1, "dropped": 0.08, "full": 0.08, "dial_failed": 0.08}
    ),
    "health_checks": Case(
        settings=[settings_mapping({"may_probe": True, "may_message": True}, {})], probe_odds=0.5
    ),
    "spoilt_answers": Case(outcomes={"spoilt": 0.25}, faulty_servers=3),
    "dials_fail": Case(
        settings=[settings_mapping({}, {}, classes=[LOOKUP, {**UPDATE, "group": "all"}])],
        outcomes={"dial_failed": 0.2, "error": 0.02},
        faulty_servers=3,
    ),
    "nobody_listens": Case(outcomes={"turned_down": 0.2}, faulty_servers=4, restart_odds=0.2),
    "reports_under_load": Case(
        report_odds=0.9, arrival_gap_us=4 * MS, work_us=110 * MS, slots=4.0, servers=6
    ),
    "tenants_under_load": Case(
        settings=[
            settings_mapping(
                {"retry_after": True, "max_retry_after_us": S}, {}, tenants=_TENANTS, over_share_worth=0.25
            )
        ],
        tenants=("gold", "free", None, "unknown"),
        arrival_gap_us=4 * MS,
        work_us=110 * MS,
        slots=4.0,
        servers=6,
    ),
    "streams": Case(
        settings=[settings_mapping({"second_copies": True}, {}, classes=[FEED, LOOKUP, UPDATE])],
        stream_odds=0.6,
        outcomes={"dropped": 0.08},
    ),
    "silent_servers": Case(
        settings=[settings_mapping({"second_copies": True}, {"full_may_have_run": True})],
        silent_odds=0.08,
        outcomes={"dropped": 0.05, "full": 0.05},
    ),
    "idle_connections": Case(
        settings=[settings_mapping({"idle_close_us": 4 * S}, {"close_idle_within_us": 500 * MS})],
        arrival_gap_us=350 * MS,
        outcomes={"dropped": 0.12},
        list_odds=0.1,
    ),
    "lists_on_request": Case(**_LIST),
    "lists_pushed": Case(
        settings=[
            settings_mapping({}, {}, discovery="pushed", weights="nominal", prices={"cross_zone": 0.1})
        ],
        **_LIST,
    ),
    "heavy_requests": Case(heavy_odds=0.05, arrival_gap_us=6 * MS, report_odds=0.5),
    "slow_zone": Case(slow_zone_factor=8, arrival_gap_us=8 * MS, servers=12),
    "slow_zone_at_a_price": Case(
        settings=[settings_mapping({}, {}, prices={"cross_zone": 0.5})],
        slow_zone_factor=8,
        arrival_gap_us=8 * MS,
        servers=12,
    ),
    "failures_everywhere": Case(
        settings=[settings_mapping({}, {}, classes=[{**LOOKUP, "aim_us": S}])],
        outcomes={"error": 0.2},
        arrival_gap_us=4 * MS,
        servers=12,
    ),
    "most_servers_hang": Case(
        settings=[settings_mapping({"second_copies": True}, {})],
        outcomes={"silent": 0.03, "error": 0.01},
        faulty_servers=9,
        servers=12,
    ),
    "most_servers_vanish": Case(
        settings=[settings_mapping({"max_attempts": 2}, {})],
        outcomes={"turned_down": 0.1},
        faulty_servers=20,
        servers=24,
        arrival_gap_us=8 * MS,
    ),
    "everything": Case(
        settings=[
            settings_mapping({"second_copies": True, "may_probe": True}, {"close_idle_within_us": 600 * MS}),
            settings_mapping({"max_attempts": 2}, {"bound_grace_us": 200 * MS}, tenants=_TENANTS),
        ],
        outcomes={"rejected": 0.05, "spoilt": 0.05, "turned_down": 0.03, "dropped": 0.03, "error": 0.03},
        partial_odds=0.2,
        bound_odds=0.15,
        own_class_odds=0.1,
        final_odds=0.2,
        stream_odds=0.1,
        abandon_odds=0.05,
        silent_odds=0.03,
        report_odds=0.5,
        probe_odds=0.1,
        settings_every=90,
        tenants=("gold", "free", None),
        arrival_gap_us=5 * MS,
        slots=3.0,
        **_LIST,
    ),
}
SEEDS = (1, 2, 3)
