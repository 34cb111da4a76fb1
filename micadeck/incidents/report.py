"""The report: one HTML file that needs no network.  No input or output.

All text from the records is escaped.
"""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from html import escape

import plotly.graph_objects as go
import plotly.io
from hdrh.histogram import HdrHistogram

from micadeck.incidents.archive import FileStatus
from micadeck.incidents.console_model import STATES, ConsoleModel
from micadeck.incidents.endpoint_states import StateChange
from micadeck.incidents.kinds import unpack_times
from micadeck.incidents.series import BIN_US
from micadeck.incidents.timeline import Incident, Timeline

_MAX_LATENCY_US = 120_000_000
_MAX_CHANGES = 200  # state changes listed per incident
_GROUP_WITHIN_US = 5_000_000  # sidecars that report the same change within this share a row
_MAX_SERVERS = 60  # rows of the state chart; most ejected first
_STATES = ("unknown", *STATES)
_COLOURS = ("#e6e6e6", "#9fd6a4", "#f2cf66", "#8a8a8a", "#d9534f")
_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 72rem; margin: 2rem auto; color: #222 }
table { border-collapse: collapse; margin: .6rem 0 }
td, th { border: 1px solid #ccc; padding: .2rem .6rem; text-align: left }
.cause { margin: .4rem 0 .4rem 1rem } .against { color: #a33 } .note { color: #666 }
"""


def printable(text: str) -> str:
    """Escape control characters, which a terminal might interpret."""
    return "".join(each if each.isprintable() else f"\\x{ord(each):02x}" for each in text)


def clock(at: int) -> str:
    """A time of the common clock, in UTC."""
    return datetime.fromtimestamp(at / 1e6, UTC).strftime("%H:%M:%S")


def day(at: int) -> str:
    return datetime.fromtimestamp(at / 1e6, UTC).strftime("%Y-%m-%d")


def title(incident: Incident) -> str:
    """An incident in one line."""
    until = clock(incident.end) if incident.is_over else "the end of the records"
    felt = (
        "clients hardly felt it" if incident.is_contained else f"{incident.share:.0%} of requests went badly"
    )
    return f"{clock(incident.onset)} to {until} (give or take {incident.uncertainty / 1e6:.1f} s): {felt}"


def cause_line(incident: Incident) -> str:
    """The most likely cause, in one line."""
    if not incident.causes:
        return "cause not known: no candidate explains enough of the harm"
    first = incident.causes[0]
    place = f" {first.where}" if first.where else ""
    return f"{first.kind}{place}, which explains {min(first.explains, 1.0):.0%} of the harm"


def quantiles(timeline: Timeline, onset: int, end: int) -> dict[str, tuple[int, float, float]]:
    """By class: number of answers, median and 99th percentile in milliseconds."""
    histograms: dict[str, HdrHistogram] = {}
    for placed in timeline.series.between(onset, end):
        for class_counts in placed.span.classes:
            times = unpack_times(class_counts)
            if times:
                histogram = histograms.setdefault(class_counts.name, HdrHistogram(1, _MAX_LATENCY_US, 2))
                for latency_us in times:
                    histogram.record_value(min(max(latency_us, 1), _MAX_LATENCY_US))
    return {
        name: (
            histogram.get_total_count(),
            histogram.get_value_at_percentile(50) / 1e3,
            histogram.get_value_at_percentile(99) / 1e3,
        )
        for name, histogram in sorted(histograms.items())
    }


def html(timeline: Timeline) -> str:
    """The whole report."""
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8><title>micadeck incident report</title>",
        f"<style>{_STYLE}</style><body><h1>What the sidecars saw</h1>",
        _summary(timeline),
        _embed(_request_chart(timeline), first=True),
        _embed(_state_chart(timeline)),
    ]
    for each in timeline.incidents:
        parts.append(_incident(timeline, each))
    parts += [_rule_report(timeline), _sidecars(timeline), _unknown(timeline), "</body></html>"]
    return "\n".join(parts)


def _embed(figure: go.Figure, *, first: bool = False) -> str:
    return str(plotly.io.to_html(figure, full_html=False, include_plotlyjs=first))


def _summary(timeline: Timeline) -> str:
    series = timeline.series
    if not series.seconds:
        return "<p>No records that can be laid on one clock.</p>"
    begin, end = series.at(0), series.at(series.seconds)
    ended, bad = series.ended.sum(), series.bad.sum()
    share = f" ({bad / ended:.2%})" if ended else ""
    parts = [
        f"<p>{day(begin)}, {clock(begin)} to {clock(end)} UTC by the clock of"
        f" {escape(timeline.start(timeline.clocks.reference).name)}: {len(timeline.linked)} sidecars,"
        f" {len(timeline.states.servers)} servers, {ended:.0f} requests ended, {bad:.0f} of them badly"
        f"{share}: late, refused or failed.</p>"
    ]
    outer = [incident for incident in timeline.incidents if incident.within is None]
    if not outer:
        parts.append("<p><b>No incident is claimed.</b></p>")
    else:
        rows = "".join(
            f"<li><a href='#incident-{incident.number}'>{escape(title(incident))}</a>;"
            f" {escape(cause_line(incident))}</li>"
            for incident in outer
        )
        parts.append(f"<ol>{rows}</ol>")
    return "".join(parts)


def _times(timeline: Timeline) -> list[datetime]:
    return [datetime.fromtimestamp(timeline.series.at(n) / 1e6, UTC) for n in range(timeline.series.seconds)]


def _request_chart(timeline: Timeline) -> go.Figure:
    series, times = timeline.series, _times(timeline)
    figure = go.Figure()
    served = series.served - series.late
    for name, counts, colour in (
        ("served in time", served, "#9fd6a4"),
        ("late", series.late, "#f2cf66"),
        ("refused", series.refused, "#f0954a"),
        ("failed", series.failed, "#d9534f"),
    ):
        # Gaps are left where no sidecar reported.
        values = [float(c) if s else None for c, s in zip(counts, series.reporting, strict=True)]
        figure.add_scatter(
            x=times, y=values, name=name, mode="lines", line={"color": colour}, connectgaps=False
        )
    not_reporting = [float(each) if each else None for each in series.not_reporting]
    figure.add_scatter(
        x=times, y=not_reporting, name="sidecars whose records lack", mode="lines", line={"dash": "dot"}
    )
    for each in timeline.incidents:
        if each.within is None:
            begin, end = (datetime.fromtimestamp(at / 1e6, UTC) for at in (each.onset, each.end))
            figure.add_vrect(x0=begin, x1=end, fillcolor="#d9534f", opacity=0.12, line_width=0)
    figure.update_layout(title="Requests a second", height=340, margin={"t": 50, "b": 20})
    return figure


def _state_chart(timeline: Timeline) -> go.Figure:
    """The most frequent state of each server over time."""
    ejections: Counter[str] = Counter()
    for each in timeline.states.changes:
        ejections[each.server] += each.state == "ejected"
    servers = sorted(timeline.states.servers, key=lambda name: (-ejections[name], name))[:_MAX_SERVERS]
    model = ConsoleModel(timeline)
    step = max(timeline.series.seconds // 600, 1)
    seconds = range(0, timeline.series.seconds, step)
    times = [datetime.fromtimestamp(timeline.series.at(n) / 1e6, UTC) for n in seconds]
    rows: list[list[int]] = [[] for _ in servers]
    labels: list[list[str]] = [[] for _ in servers]
    for second in seconds:
        by_name = {each.name: each for each in model.rows(second, worst_first=False)}
        for index, name in enumerate(servers):
            row = by_name[name]
            rows[index].append(STATES.index(row.state) + 1 if row.state in STATES else 0)
            labels[index].append(row.disagreement or row.state)
    scale = [
        [edge, colour]
        for index, colour in enumerate(_COLOURS)
        for edge in (index / len(_COLOURS), (index + 1) / len(_COLOURS))
    ]
    names = [escape(each) for each in servers]
    figure = go.Figure(
        go.Heatmap(
            x=times,
            y=names,
            z=rows,
            text=labels,
            zmin=-0.5,
            zmax=len(_STATES) - 0.5,
            colorscale=scale,
            colorbar={"tickvals": list(range(len(_STATES))), "ticktext": list(_STATES)},
            hovertemplate="%{y} at %{x}<br>%{text}<extra></extra>",
        )
    )
    height = 120 + 16 * max(len(servers), 4)
    figure.update_layout(
        title="Servers, as most sidecars held them", height=height, margin={"t": 50, "b": 20}
    )
    return figure


def _incident(timeline: Timeline, incident: Incident) -> str:
    within = f" (within incident {incident.within})" if incident.within else ""
    what = "attempts" if incident.is_contained else "requests"
    parts = [
        f"<h2 id='incident-{incident.number}'>Incident {incident.number}{within}</h2>"
        f"<p><b>{escape(title(incident))}</b>."
    ]
    parts.append(f" Usual is {incident.baseline:.2%}. {incident.bad:.0f} {what} went badly.")
    if incident.missing:
        parts.append(f" {incident.missing:.0%} of the sidecars' records for this time lack.")
    parts.append("</p><h3>Why</h3>")
    if not incident.causes:
        parts.append(f"<p>{escape(cause_line(incident).capitalize())}.</p>")
    for cause in incident.causes[:5]:
        place = f" <b>{escape(cause.where)}</b>" if cause.where else ""
        parts.append(f"<div class=cause>{escape(cause.kind)}{place}: {min(cause.explains, 1.0):.0%}<ul>")
        for evidence in cause.evidence_for:
            when = f" ({clock(evidence.at)})" if evidence.at is not None else ""
            parts.append(f"<li>{escape(evidence.text)}{when}</li>")
        parts += [
            f"<li class=against>against it: {escape(evidence.text)}</li>"
            for evidence in cause.evidence_against
        ]
        parts.append("</ul></div>")
    parts.append("<h3>Whom it hurt</h3>" + _impact(timeline, incident))
    parts.append("<h3>What servers were held to be</h3>" + _state_changes(timeline, incident))
    return "".join(parts)


def _impact(timeline: Timeline, incident: Incident) -> str:
    times = quantiles(timeline, incident.onset, incident.end)
    rows = ["<table><tr><th>class<th>ended<th>late<th>refused<th>failed<th>median ms<th>99th ms</tr>"]
    for name, counts in sorted(incident.impact.by_class.items()):
        _, median, p99 = times.get(name, (0, 0.0, 0.0))
        cells = "".join(f"<td>{counts[key]}" for key in ("ended", "late", "refused", "failed"))
        rows.append(f"<tr><td>{escape(name)}{cells}<td>{median:.0f}<td>{p99:.0f}</tr>")
    rows.append("</table>")
    if incident.impact.may_have_run:
        shown = ", ".join(
            escape(one.decode("ascii", "backslashreplace")) for one in incident.impact.may_have_run[:40]
        )
        more = (
            f" and {len(incident.impact.may_have_run) - 40} more"
            if len(incident.impact.may_have_run) > 40
            else ""
        )
        rows.append(f"<p>Failed, and may have run: {len(incident.impact.may_have_run)} ({shown}{more}).</p>")
    worst = incident.impact.by_sidecar.most_common(5)
    names = ", ".join(f"{escape(timeline.start(number).name)} {count}" for number, count in worst if count)
    rows.append(f"<p>By sidecar: {names or 'none'}.</p>")
    return "".join(rows)


def _state_changes(timeline: Timeline, incident: Incident) -> str:
    """State changes around an incident; sidecars that agree share a row."""
    since, until = incident.onset - 5 * BIN_US, incident.end + 5 * BIN_US
    current: dict[tuple[str, str, str], list[StateChange]] = {}
    groups: list[list[StateChange]] = []
    for change in timeline.states.changes:
        if not since <= change.moment.at <= until:
            continue
        key = (change.server, change.state, change.why)
        if key not in current or change.moment.at - current[key][0].moment.at > _GROUP_WITHIN_US:
            current[key] = []
            groups.append(current[key])
        current[key].append(change)
    if not groups:
        return "<p>Nothing changed.</p>"
    rows = []
    for group in groups[:_MAX_CHANGES]:
        first, last = group[0], group[-1]
        uncertainty = f" ±{first.moment.uncertainty / 1e6:.1f}" if first.moment.uncertainty else ""
        by = len({change.start for change in group})
        name = escape(timeline.start(first.start).name)
        reporters = f"{name} alone" if by == 1 else f"{by} of {len(timeline.linked)}, {name} first"
        spread_s = (last.moment.at - first.moment.at) / 1e6
        spread = f"; the last {spread_s:.1f} s later" if by > 1 else ""
        rows.append(
            f"<tr><td>{clock(first.moment.at)}{uncertainty}<td>{escape(first.server)}<td>{escape(first.state)}"
            f"<td>{escape(first.why)}<td>{reporters}{spread}</tr>"
        )
    more = f"<p class=note>{len(groups) - _MAX_CHANGES} more.</p>" if len(groups) > _MAX_CHANGES else ""
    head = "<tr><th>when, s<th>server<th>held to be<th>why<th>by</tr>"
    return f"<table>{head}{''.join(rows)}</table>{more}"


def _rule_report(timeline: Timeline) -> str:
    parts = ["<h2>The four rules</h2>"]
    if timeline.rules.violations:
        parts.append("<ul>")
        for violation in timeline.rules.violations:
            parts.append(
                f"<li><b>Rule {violation.rule} broken</b>: {escape(violation.text)}"
                f"<br><code>{escape(repr(violation.first[1]))}</code><br><code>{escape(repr(violation.second[1]))}</code></li>"
            )
        parts.append("</ul>")
    else:
        parts.append("<p>No two records show one broken.</p>")
    rows = "".join(f"<li>{escape(each)}</li>" for each in timeline.rules.undetermined)
    return "".join(parts) + f"<p>What can't be said:</p><ul>{rows}</ul>"


def _sidecars(timeline: Timeline) -> str:
    rows = ["<h2>Sidecars</h2><table><tr><th>sidecar<th>from<th>to<th>ended<th>requests<th>badly</tr>"]
    ended: Counter[int] = Counter()
    bad: Counter[int] = Counter()
    for each in timeline.series.spans:
        for one in each.span.classes:
            ended[each.start] += one.served + one.refused + one.failed
            bad[each.start] += one.late + one.refused + one.failed
    for number, run in sorted(timeline.runs.items(), key=lambda pair: -bad[pair[0]]):
        how = "in order" if run.ended_cleanly else "its records break off"
        rows.append(
            f"<tr><td>{escape(timeline.start(number).name)}<td>{clock(run.begin)}<td>{clock(run.end)}<td>{how}"
            f"<td>{ended[number]}<td>{bad[number]}</tr>"
        )
    rows.append("</table>")
    for number, incidents in timeline.unlinked_incidents.items():
        lines = "".join(f"<li>{escape(title(each))}; {escape(cause_line(each))}</li>" for each in incidents)
        rows.append(
            f"<p>{escape(timeline.start(number).name)}, alone and by its own clock:</p><ul>{lines}</ul>"
        )
    return "".join(rows)


def _unknown(timeline: Timeline) -> str:
    found = Counter(each.found for each in timeline.archive.files)
    files = ", ".join(f"{found[each]} {each.value}" for each in FileStatus if found[each])
    lines = "".join(f"<li>{escape(each)}</li>" for each in timeline.unknowns)
    return f"<h2>What is not known</h2><p>Files: {files or 'none'}.</p><ul>{lines}</ul>"
