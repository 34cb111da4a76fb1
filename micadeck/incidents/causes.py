"""Finds candidate causes of an incident and ranks them by how much of the impact they explain.

Each candidate lists the evidence for and against it.  The explained part is counted from the records: bad
attempts at a server or bad requests of a sidecar beyond the others', or requests refused while cores are
busy.  Candidates that explain too little are dropped; if none is left, the cause is unknown.  No input or
output.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks
from micadeck.incidents.endpoint_states import EndpointStates
from micadeck.incidents.kinds import OUTCOMES, Listed
from micadeck.incidents.series import BIN_US, RunInterval, Series, count_bad_attempts
from micadeck.policy.outcomes import Outcome

BEFORE_US = 8_000_000  # how long before the onset a cause may have occurred
AFTER_US = 2_000_000  # how much later it may be recorded: spans are a second long
IMPACT_WINDOW_US = 20_000_000  # first part of an incident, in which the impact is counted
MIN_EXPLAINED = 0.35  # fraction of the impact
MIN_LAG_US = 150_000  # of an event loop that lacks processor time
MIN_UTILIZATION = 0.85  # of the servers' cores
MIN_SURGE_RATIO = 1.25  # of the arrival rate to that before the onset
MIN_RELEASE_SERVERS = 3  # servers replaced around the onset
MIN_RELEASE_FRACTION = 0.2  # of all servers
_STALE_US = 4_000_000  # age of the list when requests for it fail


@dataclass(frozen=True, slots=True)
class Evidence:
    """A statement from the records, with its time and start."""

    text: str
    at: int | None = None
    start: int | None = None


@dataclass(slots=True)
class Cause:
    """A candidate cause."""

    kind: str  # "server crashed", "server hangs", "server fails", "zone", "release", ...
    where: str  # a server, zone or sidecar; empty: the fleet
    explains: float  # fraction of the impact, 0 to 1
    evidence_for: list[Evidence] = field(default_factory=list)
    evidence_against: list[Evidence] = field(default_factory=list)

    @property
    def rank(self) -> float:
        return self.explains - 0.08 * len(self.evidence_against)


@dataclass(slots=True)
class _ImpactCounts:
    """Counts by server and by sidecar in an interval."""

    sent: Counter[str] = field(default_factory=Counter)  # attempts, by server
    bad_attempts: Counter[str] = field(default_factory=Counter)
    outcomes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    ended: Counter[int] = field(default_factory=Counter)  # requests, by sidecar
    bad_requests: Counter[int] = field(default_factory=Counter)
    refused: Counter[int] = field(default_factory=Counter)
    lags: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    spans: Counter[int] = field(default_factory=Counter)
    cores: list[float] = field(default_factory=list)
    arrived: float = 0.0
    seconds: float = 0.0
    # Attempts by sidecar, then by server.
    bad_by_sidecar: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    sent_by_sidecar: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))

    def rate(self, server: str) -> float:
        """The fraction of bad attempts; the records of their sending may be missing."""
        return self.bad_attempts[server] / max(self.sent[server], self.bad_attempts[server], 1)


def _count_impact(series: Series, since: int, until: int) -> _ImpactCounts:
    counts = _ImpactCounts(seconds=max((until - since) / 1e6, 1e-9))
    for placed in series.between(since, until):
        span, number = placed.span, placed.start
        counts.spans[number] += 1
        counts.lags[number].append(span.lag_us)
        if span.cores is not None:
            counts.cores.append(span.cores)
        for class_counts in span.classes:
            counts.arrived += class_counts.arrived
            counts.ended[number] += class_counts.served + class_counts.refused + class_counts.failed
            counts.bad_requests[number] += class_counts.late + class_counts.refused + class_counts.failed
            counts.refused[number] += class_counts.refused
        for server in span.servers:
            bad = count_bad_attempts(server.ended)
            counts.sent[server.server] += server.sent
            counts.bad_attempts[server.server] += bad
            counts.bad_by_sidecar[number][server.server] += bad
            counts.sent_by_sidecar[number][server.server] += server.sent
            for index, count in enumerate(server.ended):
                if count:
                    counts.outcomes[server.server][OUTCOMES[index].value] += count
    return counts


@dataclass(frozen=True, slots=True)
class IncidentContext:
    """The input for one incident."""

    starts: list[Start]
    clocks: Clocks
    included: list[int]
    series: Series
    states: EndpointStates
    runs: dict[int, RunInterval]
    onset: int
    end: int


def find_causes(context: IncidentContext) -> list[Cause]:
    """The candidates that explain enough, by rank."""
    until = min(context.end, context.onset + IMPACT_WINDOW_US)
    during = _count_impact(context.series, context.onset - BIN_US, until + BIN_US)
    before = _count_impact(context.series, context.onset - IMPACT_WINDOW_US, context.onset - BIN_US)
    candidates: list[Cause] = []
    candidates += _by_sidecar(context, during, before)
    candidates += _by_list(context, during)  # before releases: late lists also remove many at once
    servers = list(_by_server(context, during, before))
    zones = list(_by_zone(context, during, servers))
    candidates += _by_release(context, during, servers)
    candidates += zones or servers
    candidates += _by_restart(context, during)
    candidates += _by_load(during, before)
    sufficient = [cause for cause in candidates if cause.explains >= MIN_EXPLAINED]
    return sorted(sufficient, key=lambda cause: -cause.rank)


def _excess(bad: float, sent: float, usual: float) -> float:
    return max(bad - usual * sent, 0.0)


def _by_server(context: IncidentContext, during: _ImpactCounts, before: _ImpactCounts) -> Iterator[Cause]:
    """Servers that did worse than the others at the same time."""
    total_bad = sum(during.bad_attempts.values())
    if total_bad < 3:
        return
    rates = sorted(during.rate(name) for name, count in during.sent.items() if count >= 3)
    usual = rates[len(rates) // 2] if len(rates) >= 3 else 0.0
    all_excess = sum(_excess(during.bad_attempts[name], count, usual) for name, count in during.sent.items())
    if all_excess < 3:
        return
    for name, sent in during.sent.items():
        excess = _excess(during.bad_attempts[name], sent, usual)
        if excess < max(0.12 * all_excess, 3):
            continue
        kind = _failure_kind(during, name)
        cause = Cause(kind, name, excess / max(all_excess, 0.6 * total_bad))
        outcomes = ", ".join(f"{count} {how}" for how, count in during.outcomes[name].most_common(4))
        cause.evidence_for.append(
            Evidence(f"of {sent} attempts there: {outcomes}; the others' usual is {usual:.0%} bad")
        )
        ejected = [
            change
            for change in context.states.changes
            if change.server == name
            and change.state == "ejected"
            and context.onset - BEFORE_US <= change.moment.at <= context.end + AFTER_US
        ]
        if ejected:
            by = len({change.start for change in ejected})
            first = ejected[0]
            text = f"{by} of {len(context.included)} sidecars ejected it, first for: {first.why}"
            cause.evidence_for.append(Evidence(text, first.moment.at, first.start))
        if before.sent[name] >= 5 and before.rate(name) > 0.5 * during.rate(name):
            cause.evidence_against.append(Evidence("it did as badly before the onset"))
        yield cause


def _failure_kind(during: _ImpactCounts, name: str) -> str:
    counts = during.outcomes[name]
    connection_errors = sum(
        counts[each.value]
        for each in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_REFUSED, Outcome.CONNECTION_LOST)
    )
    errors = counts[Outcome.ERROR.value] + counts[Outcome.MALFORMED.value]
    unanswered = counts[Outcome.TIMED_OUT.value] + counts[Outcome.CANCELLED.value]
    if max(connection_errors, errors, unanswered) == unanswered:
        return "server hangs"
    return "server crashed" if connection_errors >= errors else "server fails"


def _by_zone(context: IncidentContext, during: _ImpactCounts, servers: list[Cause]) -> Iterator[Cause]:
    """Zones most of whose servers fail, while other zones' do not."""
    zones = context.states.zones
    by_zone: dict[str, list[str]] = defaultdict(list)
    for name in during.sent:
        if during.sent[name] >= 2:
            by_zone[zones.get(name, "")].append(name)
    if len(by_zone) < 2:
        return
    rates = sorted(during.rate(name) for names in by_zone.values() for name in names)
    typical = rates[len(rates) // 3]
    total = sum(_excess(during.bad_attempts[name], count, typical) for name, count in during.sent.items())
    for zone, names in by_zone.items():
        failing = [name for name in names if during.rate(name) > max(3 * typical, typical + 0.2)]
        if not zone or len(failing) < max(2, 0.6 * len(names)):
            continue
        excess = sum(_excess(during.bad_attempts[name], during.sent[name], typical) for name in names)
        elsewhere = [name for other, others in by_zone.items() if other != zone for name in others]
        failing_elsewhere = sum(during.rate(name) > max(3 * typical, typical + 0.2) for name in elsewhere)
        if failing_elsewhere > 0.3 * len(elsewhere):
            continue
        cause = Cause("zone", zone, excess / total if total else 0.0)
        outside = f"{failing_elsewhere} of {len(elsewhere)} elsewhere"
        text = f"{len(failing)} of its {len(names)} servers do badly, and {outside}"
        cause.evidence_for.append(Evidence(text))
        for candidate in servers:
            if candidate.where in failing:
                cause.evidence_for += [
                    Evidence(f"{candidate.where}: {evidence.text}", evidence.at, evidence.start)
                    for evidence in candidate.evidence_for[:1]
                ]
        yield cause


def _by_release(context: IncidentContext, during: _ImpactCounts, servers: list[Cause]) -> Iterator[Cause]:
    """More servers that drain, leave or restart around the onset than otherwise."""
    since, until = context.onset - BEFORE_US, min(context.end, context.onset + IMPACT_WINDOW_US)
    replaced: dict[str, int] = {}
    restarted: set[str] = set()
    all_replaced: set[str] = set()
    for each in context.states.changes:
        if each.why != "list":
            continue
        is_near = since <= each.moment.at <= until
        if each.state in ("draining", "gone"):
            all_replaced.add(each.server)
            if is_near:
                replaced.setdefault(each.server, each.moment.at)
        elif is_near and each.state == "ready" and each.started_at is not None:
            if abs(each.started_at - each.moment.at) < 2 * IMPACT_WINDOW_US:
                restarted.add(each.server)
    known = len(context.states.servers)
    recorded_us = context.series.seconds * BIN_US
    usual = len(all_replaced - set(replaced)) * (until - since) / max(recorded_us - (until - since), BIN_US)
    if len(replaced) < max(MIN_RELEASE_SERVERS, MIN_RELEASE_FRACTION * known, 2 * usual):
        return
    total = sum(each.explains for each in servers)
    at_replaced = sum(each.explains for each in servers if each.where in replaced or each.where in restarted)
    failing = [each.where for each in servers if each.where in restarted]
    cause = Cause("release", "", at_replaced / total if total else 0.5)
    cause.evidence_for.append(
        Evidence(
            f"{len(replaced)} of {known} servers drained or left around the onset", min(replaced.values())
        )
    )
    if failing:
        text = (
            f"{len(failing)} of {len(restarted)} that started anew do badly: {', '.join(sorted(failing)[:6])}"
        )
        cause.evidence_for.append(Evidence(text))
    elif servers:
        cause.evidence_against.append(Evidence("none of the servers that started anew does badly"))
    yield cause


def _by_sidecar(context: IncidentContext, during: _ImpactCounts, before: _ImpactCounts) -> Iterator[Cause]:
    """Sidecars that did worse than the others: due to event loop lag or their network path."""
    total, all_bad = sum(during.ended.values()), sum(during.bad_requests.values())
    if len(during.ended) < 2 or all_bad < 5:
        return
    for number, count in during.bad_requests.items():
        others_ended, others_bad = total - during.ended[number], all_bad - count
        usual = others_bad / others_ended if others_ended else 0.0
        excess = _excess(count, during.ended[number], usual)
        if excess < MIN_EXPLAINED * all_bad or count / max(during.ended[number], 1) < 3 * usual + 0.05:
            continue
        name = context.starts[number].name
        lag, lag_before = _median(during.lags[number]), _median(before.lags[number])
        failing_servers = _servers_failing_from(during, number)
        if lag >= MIN_LAG_US and lag > 3 * lag_before:
            cause = Cause("sidecar lags", name, excess / all_bad)
            cause.evidence_for.append(Evidence(f"its event loop came {lag / 1e6:.2f} s late", None, number))
        elif failing_servers >= 3:
            cause = Cause("sidecar's way", name, excess / all_bad)
            cause.evidence_for.append(
                Evidence(f"attempts at {failing_servers} servers went badly from there", None, number)
            )
        else:
            continue
        share = count / max(during.ended[number], 1)
        others = f"of the others' requests {usual:.1%} went badly, of its own {share:.0%}"
        cause.evidence_for.append(Evidence(others, None, number))
        yield cause


def _median(values: list[int]) -> int:
    return sorted(values)[len(values) // 2] if values else 0


def _servers_failing_from(during: _ImpactCounts, number: int) -> int:
    """The number of servers that fail for this sidecar far more than for the others."""
    total = 0
    for name, bad in during.bad_by_sidecar[number].items():
        sent = during.sent_by_sidecar[number][name]
        elsewhere, sent_elsewhere = during.bad_attempts[name] - bad, during.sent[name] - sent
        others = elsewhere / sent_elsewhere if sent_elsewhere else 0.0
        total += bad >= 2 and bad / max(sent, 1) > 3 * others + 0.1
    return total


def _by_list(context: IncidentContext, during: _ImpactCounts) -> Iterator[Cause]:
    """Failed or late lists while servers changed."""
    since, until = context.onset - BEFORE_US, min(context.end, context.onset + IMPACT_WINDOW_US)
    failed: Counter[int] = Counter()
    first: int | None = None
    for number in context.included:
        for record in context.starts[number].records:
            if isinstance(record, Listed) and record.kind == "failed":
                moment = context.clocks.to_common(number, record.at)
                if moment is not None and since <= moment.at <= until:
                    failed[number] += 1
                    first = moment.at if first is None else min(first, moment.at)
    if not failed:
        return
    removed = _removed_late(context, until)
    total = sum(during.bad_attempts.values())
    at_removed = sum(during.bad_attempts[name] for name in removed)
    fraction = len(failed) / max(len(context.included), 1)
    explains = (at_removed / total if total else 0.0) * min(fraction + 0.3, 1.0)
    cause = Cause("list of servers", "", max(explains, 0.3 * fraction))
    cause.evidence_for.append(
        Evidence(f"{len(failed)} of {len(context.included)} sidecars' calls for the list failed", first)
    )
    if removed:
        text = f"{at_removed} of {total} bad attempts went to servers that the list took away only later: "
        cause.evidence_for.append(Evidence(text + ", ".join(sorted(removed)[:6])))
    yield cause


def _removed_late(context: IncidentContext, until: int) -> set[str]:
    """Servers that the list removed after the onset."""
    return {
        change.server
        for change in context.states.changes
        if change.why == "list"
        and change.state in ("draining", "gone")
        and context.onset + BIN_US <= change.moment.at <= until + 2 * IMPACT_WINDOW_US
    }


def _by_restart(context: IncidentContext, during: _ImpactCounts) -> Iterator[Cause]:
    """Sidecars that started or ended around the onset."""
    since, until = context.onset - BEFORE_US, context.onset + AFTER_US
    new = [
        number
        for number, run in context.runs.items()
        if since <= run.begin <= until and run.begin > context.series.begin + 3 * BIN_US
    ]
    last = context.series.at(context.series.seconds)
    ended = [
        number
        for number, run in context.runs.items()
        if since <= run.end <= until and run.end < last - 3 * BIN_US
    ]
    if len(new) + len(ended) < max(1, 0.1 * len(context.included)):
        return
    all_bad = sum(during.bad_requests.values())
    own_bad = sum(during.bad_requests[number] for number in new)
    cause = Cause(
        "sidecars restart", "", max(0.8 * own_bad / all_bad if all_bad else 0.0, 0.3 if ended else 0.0)
    )
    if new:
        text = (
            f"{len(new)} sidecars began around the onset, and {own_bad} of {all_bad} bad requests were theirs"
        )
        cause.evidence_for.append(Evidence(text, min(context.runs[number].begin for number in new)))
    if ended:
        unclean = sum(not context.runs[number].ended_cleanly for number in ended)
        text = f"the records of {len(ended)} end around the onset, {unclean} of them without an end in order"
        cause.evidence_for.append(Evidence(text, min(context.runs[number].end for number in ended)))
    yield cause


def _by_load(during: _ImpactCounts, before: _ImpactCounts) -> Iterator[Cause]:
    """A surge of requests beyond the servers' capacity."""
    if before.seconds <= 0 or before.arrived < 20 or not during.cores:
        return
    growth = (during.arrived / during.seconds) / (before.arrived / before.seconds)
    busy = sorted(during.cores)[len(during.cores) // 2]
    refused, all_bad = sum(during.refused.values()), sum(during.bad_requests.values())
    if growth < MIN_SURGE_RATIO or busy < MIN_UTILIZATION:
        return
    cause = Cause("load", "", min(0.45 + 0.5 * (growth - 1.0), 0.95))
    cause.evidence_for.append(Evidence(f"{growth:.1f} times the requests of before"))
    cause.evidence_for.append(Evidence(f"servers report their cores {busy:.0%} busy"))
    cause.evidence_for.append(Evidence(f"{refused} of {all_bad} bad requests were refused"))
    yield cause
