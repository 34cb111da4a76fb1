"""Checks the records against the four rules; two records together prove a violation.

No input or output.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks
from micadeck.incidents.kinds import Attempt, End, Head, Record, Span, State

_SLACK_US = 5_000  # between a decision and its record


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violation of a rule, proved by two records."""

    rule: int
    text: str
    first: tuple[int, Record]  # start and record
    second: tuple[int, Record]


@dataclass(frozen=True, slots=True)
class RuleReport:
    """The result of the check."""

    violations: list[RuleViolation]
    undetermined: list[str]  # what the records can't show


def check_rules(starts: list[Start], clocks: Clocks) -> RuleReport:
    """Find violations in all records."""
    violations: list[RuleViolation] = []
    undetermined: list[str] = []
    ends: dict[tuple[int, bytes], list[End]] = defaultdict(list)
    may_have_run: dict[bytes, list[tuple[int, Attempt]]] = defaultdict(list)
    idempotency = {kind.name: kind.repeat for start in starts for kind in start.head.kinds}
    for number, start in enumerate(starts):
        violations += _sends_after_drain(number, start)
        omitted = 0
        for record in start.records:
            if isinstance(record, End) and record.ident:
                ends[(number, record.ident)].append(record)
            elif isinstance(record, Attempt) and record.ident and record.may_have_run:
                may_have_run[record.ident].append((number, record))
            elif isinstance(record, Span):
                omitted += record.omitted
        if start.missing:
            places = len(start.missing)
            undetermined.append(
                f"{start.name}: records lack in {places} places; what happened there is not known"
            )
        if omitted:
            undetermined.append(
                f"{start.name}: {omitted} attempts were left out while too much went wrong at once"
            )
        if not any(getattr(record, "phase", "") == "ended" for record in start.records):
            undetermined.append(f"{start.name}: its records break off; requests open then may have run")
    for (number, ident), several in ends.items():
        several.sort(key=lambda end: end.at)
        for first, second in pairwise(several):
            if second.arrived_at <= first.arrived_at and second.how != "gone" != first.how:
                text = f"request {_printable(ident)} got two final answers: {first.how}, then {second.how}"
                violations.append(RuleViolation(1, text, (number, first), (number, second)))
    for ident, attempts in may_have_run.items():
        if len(attempts) > 1 and idempotency.get(attempts[0][1].service_class) == "unsafe":
            (one_at, one), (other_at, other) = attempts[0], attempts[1]
            text = (
                f"request {_printable(ident)} of the unsafe class {one.service_class} may have run twice:"
                f" at {one.server} and at {other.server}"
            )
            violations.append(RuleViolation(2, text, (one_at, one), (other_at, other)))
    undetermined.append(
        "rule 4: that a cold server was pushed over is told by the server alone; none is asked here"
    )
    return RuleReport(violations, undetermined)


def _printable(ident: bytes) -> str:
    return ident.decode("ascii", "backslashreplace")


def _sends_after_drain(number: int, start: Start) -> list[RuleViolation]:
    """Attempts sent to a server after the grace period that follows its draining."""
    violations: list[RuleViolation] = []
    since: dict[str, State] = {}
    grace = start.head.grace_us
    for record in start.records:
        if isinstance(record, Head):
            grace = record.grace_us
        elif isinstance(record, State):
            if record.state in ("draining", "gone"):
                since.setdefault(record.server, record)
            elif record.state == "ready":
                since.pop(record.server, None)
        elif isinstance(record, Span):
            for count in record.servers:
                state = since.get(count.server)
                if state is not None and count.last_sent_at > state.at + grace + _SLACK_US:
                    late = (count.last_sent_at - state.at) / 1e6
                    text = f"{start.name} sent to {count.server} {late:.3f} s after it heard of {state.state}"
                    violations.append(RuleViolation(3, text, (number, state), (number, record)))
                    del since[count.server]
    return violations
