"""What may have caused an incident: candidates, ranked by what came before it and where the harm lies.

Each candidate names the records that speak for it and against it.  How much of the harm it explains is
counted, not guessed: bad attempts at a server beyond its share, bad requests of a sidecar beyond its share,
requests refused while cores are busy.  A candidate that explains too little is no cause, and if none is left
the cause is not known.  No input or output.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from micadeck.incidents.archive import Start
from micadeck.incidents.clocks import Clocks
from micadeck.incidents.endpoint_states import States
from micadeck.incidents.kinds import OUTCOMES, Listed
from micadeck.incidents.series import BIN_US, Ran, Series, ill
from micadeck.policy.outcomes import Outcome

BEFORE_US = 8_000_000  # what came no longer before the onset may have caused it
AFTER_US = 2_000_000  # or is seen so much later: records are a second wide
BODY_US = 20_000_000  # of the incident, in which it is counted where the harm lies
ENOUGH = 0.35  # of the harm explained, for a cause
LAG_US = 150_000  # of an event loop that is short of its processor
BUSY = 0.85  # of the servers' cores
SURGE = 1.25  # times the arrivals of before
RELEASE_LEAST = 3  # servers that left or started anew within an incident
RELEASE_PART = 0.2  # and this part of all
_STALE_US = 4_000_000  # without a word of the list, where calls for it fail


@dataclass(frozen=True, slots=True)
class Evidence:
    """One thing that the records say, with when and whose."""

    text: str
    at: int | None = None
    start: int | None = None


@dataclass(slots=True)
class Cause:
    """A candidate."""

    kind: str  # "server crashed", "server hangs", "server fails", "zone", "release", ...
    where: str  # a server, a zone, a sidecar; empty: the fleet
    explains: float  # part of the harm, 0 to 1
    speaks_for: list[Evidence] = field(default_factory=list)
    speaks_against: list[Evidence] = field(default_factory=list)

    @property
    def rank(self) -> float:
        return self.explains - 0.08 * len(self.speaks_against)


@dataclass(slots=True)
class _Harm:
    """Where the harm lies, within an incident's body and before it."""

    sent: Counter[str] = field(default_factory=Counter)  # attempts, by server
    bad: Counter[str] = field(default_factory=Counter)
    outcomes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    ended: Counter[int] = field(default_factory=Counter)  # requests, by sidecar
    hurt: Counter[int] = field(default_factory=Counter)
    refused: Counter[int] = field(default_factory=Counter)
    lags: dict[int, list[int]] = field(default_factory=lambda: defaultdict(list))
    spans: Counter[int] = field(default_factory=Counter)
    cores: list[float] = field(default_factory=list)
    arrived: float = 0.0
    seconds: float = 0.0
    at_sidecar: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))  # ill attempts
    from_sidecar: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))  # and all

    def rate(self, server: str) -> float:
        """The part of the attempts there that went badly; records may lack of when they were sent."""
        return self.bad[server] / max(self.sent[server], self.bad[server], 1)


def _harm(series: Series, since: int, until: int) -> _Harm:
    told = _Harm(seconds=max((until - since) / 1e6, 1e-9))
    for each in series.between(since, until):
        span, number = each.span, each.start
        told.spans[number] += 1
        told.lags[number].append(span.lag_us)
        if span.cores is not None:
            told.cores.append(span.cores)
        for one in span.classes:
            told.arrived += one.arrived
            told.ended[number] += one.served + one.refused + one.failed
            told.hurt[number] += one.late + one.refused + one.failed
            told.refused[number] += one.refused
        for server in span.servers:
            harmed = ill(server.ended)
            told.sent[server.server] += server.sent
            told.bad[server.server] += harmed
            told.at_sidecar[number][server.server] += harmed
            told.from_sidecar[number][server.server] += server.sent
            for place, count in enumerate(server.ended):
                if count:
                    told.outcomes[server.server][OUTCOMES[place].value] += count
    return told


@dataclass(frozen=True, slots=True)
class Scene:
    """All that is known, for one incident."""

    starts: list[Start]
    clocks: Clocks
    which: list[int]
    series: Series
    states: States
    ran: dict[int, Ran]
    onset: int
    end: int


def causes(scene: Scene) -> list[Cause]:
    """The candidates that explain enough, the likeliest first."""
    until = min(scene.end, scene.onset + BODY_US)
    body = _harm(scene.series, scene.onset - BIN_US, until + BIN_US)
    before = _harm(scene.series, scene.onset - BODY_US, scene.onset - BIN_US)
    told: list[Cause] = []
    told += _by_sidecar(scene, body, before)
    told += _by_list(scene, body)  # before releases: servers that leave late leave in numbers too
    servers = list(_by_server(scene, body, before))
    zones = list(_by_zone(scene, body, servers))
    told += _by_release(scene, body, servers)
    told += zones or servers
    told += _by_restart(scene, body)
    told += _by_load(body, before)
    strong = [each for each in told if each.explains >= ENOUGH]
    return sorted(strong, key=lambda each: -each.rank)


def _excess(bad: float, sent: float, usual: float) -> float:
    return max(bad - usual * sent, 0.0)


def _by_server(scene: Scene, body: _Harm, before: _Harm) -> Iterator[Cause]:
    """Servers that did worse than the others did in the same time."""
    total_bad = sum(body.bad.values())
    if total_bad < 3:
        return
    rates = sorted(body.rate(name) for name, count in body.sent.items() if count >= 3)
    usual = rates[len(rates) // 2] if len(rates) >= 3 else 0.0
    all_excess = sum(_excess(body.bad[name], count, usual) for name, count in body.sent.items())
    if all_excess < 3:
        return
    for name, sent in body.sent.items():
        excess = _excess(body.bad[name], sent, usual)
        if excess < max(0.12 * all_excess, 3):
            continue
        kind = _sickness(body, name)
        cause = Cause(kind, name, excess / max(all_excess, 0.6 * total_bad))
        many = ", ".join(f"{count} {how}" for how, count in body.outcomes[name].most_common(4))
        cause.speaks_for.append(
            Evidence(f"of {sent} attempts there: {many}; the others' usual is {usual:.0%} bad")
        )
        ejected = [
            each
            for each in scene.states.news
            if each.server == name
            and each.state == "ejected"
            and scene.onset - BEFORE_US <= each.moment.at <= scene.end + AFTER_US
        ]
        if ejected:
            by = len({each.start for each in ejected})
            first = ejected[0]
            text = f"{by} of {len(scene.which)} sidecars ejected it, first for: {first.why}"
            cause.speaks_for.append(Evidence(text, first.moment.at, first.start))
        if before.sent[name] >= 5 and before.rate(name) > 0.5 * body.rate(name):
            cause.speaks_against.append(Evidence("it did as badly before the onset"))
        yield cause


def _sickness(body: _Harm, name: str) -> str:
    counts = body.outcomes[name]
    quick = sum(
        counts[each.value]
        for each in (Outcome.CONNECT_FAILED, Outcome.CONNECTION_REFUSED, Outcome.CONNECTION_LOST)
    )
    errors = counts[Outcome.ERROR.value] + counts[Outcome.MALFORMED.value]
    silent = counts[Outcome.TIMED_OUT.value] + counts[Outcome.CANCELLED.value]
    if max(quick, errors, silent) == silent:
        return "server hangs"
    return "server crashed" if quick >= errors else "server fails"


def _by_zone(scene: Scene, body: _Harm, servers: list[Cause]) -> Iterator[Cause]:
    """Servers of one zone that do badly together, while the other zones' do not."""
    zones = scene.states.zones
    by_zone: dict[str, list[str]] = defaultdict(list)
    for name in body.sent:
        if body.sent[name] >= 2:
            by_zone[zones.get(name, "")].append(name)
    if len(by_zone) < 2:
        return
    usual = sorted(body.rate(name) for names in by_zone.values() for name in names)
    middle = usual[len(usual) // 3]
    total = sum(_excess(body.bad[name], count, middle) for name, count in body.sent.items())
    for zone, names in by_zone.items():
        sick = [name for name in names if body.rate(name) > max(3 * middle, middle + 0.2)]
        if not zone or len(sick) < max(2, 0.6 * len(names)):
            continue
        excess = sum(_excess(body.bad[name], body.sent[name], middle) for name in names)
        elsewhere = [name for other, those in by_zone.items() if other != zone for name in those]
        sick_elsewhere = sum(body.rate(name) > max(3 * middle, middle + 0.2) for name in elsewhere)
        if sick_elsewhere > 0.3 * len(elsewhere):
            continue
        cause = Cause("zone", zone, excess / total if total else 0.0)
        outside = f"{sick_elsewhere} of {len(elsewhere)} elsewhere"
        text = f"{len(sick)} of its {len(names)} servers do badly, and {outside}"
        cause.speaks_for.append(Evidence(text))
        for each in servers:
            if each.where in sick:
                cause.speaks_for += [
                    Evidence(f"{each.where}: {one.text}", one.at, one.start) for one in each.speaks_for[:1]
                ]
        yield cause


def _by_release(scene: Scene, body: _Harm, servers: list[Cause]) -> Iterator[Cause]:
    """Many servers that drain, leave or start anew around the onset: more than on the rest of the day."""
    since, until = scene.onset - BEFORE_US, min(scene.end, scene.onset + BODY_US)
    replaced: dict[str, int] = {}
    new: set[str] = set()
    all_day: set[str] = set()
    for each in scene.states.news:
        if each.why != "list":
            continue
        is_here = since <= each.moment.at <= until
        if each.state in ("draining", "gone"):
            all_day.add(each.server)
            if is_here:
                replaced.setdefault(each.server, each.moment.at)
        elif is_here and each.state == "ready" and each.started_at is not None:
            if abs(each.started_at - each.moment.at) < 2 * BODY_US:
                new.add(each.server)
    known = len(scene.states.servers)
    days = scene.series.seconds * BIN_US
    usual = len(all_day - set(replaced)) * (until - since) / max(days - (until - since), BIN_US)
    if len(replaced) < max(RELEASE_LEAST, RELEASE_PART * known, 2 * usual):
        return
    total = sum(each.explains for each in servers)
    at_them = sum(each.explains for each in servers if each.where in replaced or each.where in new)
    sick = [each.where for each in servers if each.where in new]
    cause = Cause("release", "", at_them / total if total else 0.5)
    cause.speaks_for.append(
        Evidence(
            f"{len(replaced)} of {known} servers drained or left around the onset", min(replaced.values())
        )
    )
    if sick:
        text = f"{len(sick)} of {len(new)} that started anew do badly: {', '.join(sorted(sick)[:6])}"
        cause.speaks_for.append(Evidence(text))
    elif servers:
        cause.speaks_against.append(Evidence("none of the servers that started anew does badly"))
    yield cause


def _by_sidecar(scene: Scene, body: _Harm, before: _Harm) -> Iterator[Cause]:
    """Sidecars that did worse than the others: by their own lag, or on their way to the servers."""
    total, hurt = sum(body.ended.values()), sum(body.hurt.values())
    if len(body.ended) < 2 or hurt < 5:
        return
    for number, count in body.hurt.items():
        others_ended, others_hurt = total - body.ended[number], hurt - count
        usual = others_hurt / others_ended if others_ended else 0.0
        excess = _excess(count, body.ended[number], usual)
        if excess < ENOUGH * hurt or count / max(body.ended[number], 1) < 3 * usual + 0.05:
            continue
        name = scene.starts[number].name
        lag, lag_before = _middle(body.lags[number]), _middle(before.lags[number])
        sick_servers = _ill_from_here(body, number)
        if lag >= LAG_US and lag > 3 * lag_before:
            cause = Cause("sidecar lags", name, excess / hurt)
            cause.speaks_for.append(Evidence(f"its event loop came {lag / 1e6:.2f} s late", None, number))
        elif sick_servers >= 3:
            cause = Cause("sidecar's way", name, excess / hurt)
            cause.speaks_for.append(
                Evidence(f"attempts at {sick_servers} servers went badly from there", None, number)
            )
        else:
            continue
        share = count / max(body.ended[number], 1)
        others = f"of the others' requests {usual:.1%} went badly, of its own {share:.0%}"
        cause.speaks_for.append(Evidence(others, None, number))
        yield cause


def _middle(values: list[int]) -> int:
    return sorted(values)[len(values) // 2] if values else 0


def _ill_from_here(body: _Harm, number: int) -> int:
    """Servers that do badly for this sidecar, and by far not so for the others."""
    told = 0
    for name, harmed in body.at_sidecar[number].items():
        sent = body.from_sidecar[number][name]
        elsewhere, sent_elsewhere = body.bad[name] - harmed, body.sent[name] - sent
        others = elsewhere / sent_elsewhere if sent_elsewhere else 0.0
        told += harmed >= 2 and harmed / max(sent, 1) > 3 * others + 0.1
    return told


def _by_list(scene: Scene, body: _Harm) -> Iterator[Cause]:
    """A list that could not be had, or came late, while servers changed."""
    since, until = scene.onset - BEFORE_US, min(scene.end, scene.onset + BODY_US)
    failed: Counter[int] = Counter()
    first: int | None = None
    for number in scene.which:
        for each in scene.starts[number].records:
            if isinstance(each, Listed) and each.kind == "failed":
                moment = scene.clocks.place(number, each.at)
                if moment is not None and since <= moment.at <= until:
                    failed[number] += 1
                    first = moment.at if first is None else min(first, moment.at)
    if not failed:
        return
    left = _told_late(scene, until)
    total = sum(body.bad.values())
    at_left = sum(body.bad[name] for name in left)
    part = len(failed) / max(len(scene.which), 1)
    explains = (at_left / total if total else 0.0) * min(part + 0.3, 1.0)
    cause = Cause("list of servers", "", max(explains, 0.3 * part))
    cause.speaks_for.append(
        Evidence(f"{len(failed)} of {len(scene.which)} sidecars' calls for the list failed", first)
    )
    if left:
        text = f"{at_left} of {total} bad attempts went to servers that the list took away only later: "
        cause.speaks_for.append(Evidence(text + ", ".join(sorted(left)[:6])))
    yield cause


def _told_late(scene: Scene, until: int) -> set[str]:
    """Servers that the list took away after the onset."""
    return {
        each.server
        for each in scene.states.news
        if each.why == "list"
        and each.state in ("draining", "gone")
        and scene.onset + BIN_US <= each.moment.at <= until + 2 * BODY_US
    }


def _by_restart(scene: Scene, body: _Harm) -> Iterator[Cause]:
    """Sidecars that began, or broke off, around the onset."""
    since, until = scene.onset - BEFORE_US, scene.onset + AFTER_US
    began = [
        number
        for number, each in scene.ran.items()
        if since <= each.begin <= until and each.begin > scene.series.begin + 3 * BIN_US
    ]
    last = scene.series.at(scene.series.seconds)
    ended = [
        number
        for number, each in scene.ran.items()
        if since <= each.end <= until and each.end < last - 3 * BIN_US
    ]
    if len(began) + len(ended) < max(1, 0.1 * len(scene.which)):
        return
    hurt = sum(body.hurt.values())
    own = sum(body.hurt[number] for number in began)
    cause = Cause("sidecars restart", "", max(0.8 * own / hurt if hurt else 0.0, 0.3 if ended else 0.0))
    if began:
        text = f"{len(began)} sidecars began around the onset, and {own} of {hurt} bad requests were theirs"
        cause.speaks_for.append(Evidence(text, min(scene.ran[number].begin for number in began)))
    if ended:
        broke = sum(not scene.ran[number].ended_in_order for number in ended)
        text = f"the records of {len(ended)} end around the onset, {broke} of them without an end in order"
        cause.speaks_for.append(Evidence(text, min(scene.ran[number].end for number in ended)))
    yield cause


def _by_load(body: _Harm, before: _Harm) -> Iterator[Cause]:
    """More requests than the servers bear."""
    if before.seconds <= 0 or before.arrived < 20 or not body.cores:
        return
    times = (body.arrived / body.seconds) / (before.arrived / before.seconds)
    busy = sorted(body.cores)[len(body.cores) // 2]
    refused, hurt = sum(body.refused.values()), sum(body.hurt.values())
    if times < SURGE or busy < BUSY:
        return
    cause = Cause("load", "", min(0.45 + 0.5 * (times - 1.0), 0.95))
    cause.speaks_for.append(Evidence(f"{times:.1f} times the requests of before"))
    cause.speaks_for.append(Evidence(f"servers report their cores {busy:.0%} busy"))
    cause.speaks_for.append(Evidence(f"{refused} of {hurt} bad requests were refused"))
    yield cause
