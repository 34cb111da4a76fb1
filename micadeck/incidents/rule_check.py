"""What the records show of the four rules: broken where two records say so, else kept or not to be told.

No input or output.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks
from micadeck.incidents.kinds import Attempt, End, Head, Record, Span, State

_SLACK_US = 5_000  # between the decision and its record


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that two records together show broken."""

    rule: int
    text: str
    one: tuple[int, Record]  # start and record
    other: tuple[int, Record]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What can be said of the rules."""

    breaches: list[Breach]
    cannot_say: list[str]  # where records lack, or never told it


def audit(starts: list[Start], clocks: Clocks) -> Verdict:
    """Look for breaches in all records."""
    breaches: list[Breach] = []
    unknown: list[str] = []
    ends: dict[tuple[int, bytes], list[End]] = defaultdict(list)
    ran: dict[bytes, list[tuple[int, Attempt]]] = defaultdict(list)
    kinds = {each.name: each.repeat for start in starts for each in start.head.kinds}
    for number, start in enumerate(starts):
        breaches += _drains(number, start)
        omitted = 0
        for each in start.records:
            if isinstance(each, End) and each.ident:
                ends[(number, each.ident)].append(each)
            elif isinstance(each, Attempt) and each.ident and each.may_have_run:
                ran[each.ident].append((number, each))
            elif isinstance(each, Span):
                omitted += each.omitted
        if start.missing:
            places = len(start.missing)
            unknown.append(f"{start.name}: records lack in {places} places; what happened there is not known")
        if omitted:
            unknown.append(
                f"{start.name}: {omitted} attempts were left out while too much went wrong at once"
            )
        if not any(getattr(each, "phase", "") == "ended" for each in start.records):
            unknown.append(f"{start.name}: its records break off; requests open then may have run")
    for (number, ident), several in ends.items():
        several.sort(key=lambda each: each.at)
        for first, second in pairwise(several):
            if second.arrived_at <= first.arrived_at and second.how != "gone" != first.how:
                text = f"request {_shown(ident)} got two final answers: {first.how}, then {second.how}"
                breaches.append(Breach(1, text, (number, first), (number, second)))
    for ident, attempts in ran.items():
        if len(attempts) > 1 and kinds.get(attempts[0][1].service_class) == "unsafe":
            (one_at, one), (other_at, other) = attempts[0], attempts[1]
            text = (
                f"request {_shown(ident)} of the unsafe class {one.service_class} may have run twice:"
                f" at {one.server} and at {other.server}"
            )
            breaches.append(Breach(2, text, (one_at, one), (other_at, other)))
    unknown.append(
        "rule 4: that a cold server was pushed over is told by the server alone; none is asked here"
    )
    return Verdict(breaches, unknown)


def _shown(ident: bytes) -> str:
    return ident.decode("ascii", "backslashreplace")


def _drains(number: int, start: Start) -> list[Breach]:
    """Attempts sent to a server past the grace after this sidecar had heard that it drains."""
    told: list[Breach] = []
    since: dict[str, State] = {}
    grace = start.head.grace_us
    for each in start.records:
        if isinstance(each, Head):
            grace = each.grace_us
        elif isinstance(each, State):
            if each.state in ("draining", "gone"):
                since.setdefault(each.server, each)
            elif each.state == "ready":
                since.pop(each.server, None)
        elif isinstance(each, Span):
            for count in each.servers:
                state = since.get(count.server)
                if state is not None and count.last_sent_at > state.at + grace + _SLACK_US:
                    late = (count.last_sent_at - state.at) / 1e6
                    text = f"{start.name} sent to {count.server} {late:.3f} s after it heard of {state.state}"
                    told.append(Breach(3, text, (number, state), (number, each)))
                    del since[count.server]
    return told
