"""The report: one HTML file that opens without a network.  No input or output.

Text from outside is escaped, wherever it stands.
"""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from html import escape

import plotly.graph_objects as go
import plotly.io
from hdrh.histogram import HdrHistogram

from micadeck.incidents.archive import FileStatus
from micadeck.incidents.console_model import STATES, Board
from micadeck.incidents.endpoint_states import Held
from micadeck.incidents.kinds import unpack_times
from micadeck.incidents.series import BIN_US
from micadeck.incidents.timeline import Incident, Story

_LONGEST_US = 120_000_000
_MOST_ROWS = 200  # of what changed around an incident
_SAME_US = 5_000_000  # in which sidecars that say the same of a server stand in one line
_MOST_SERVERS = 60  # rows of the picture; the worst first
_STATES = ("unknown", *STATES)
_COLOURS = ("#e6e6e6", "#9fd6a4", "#f2cf66", "#8a8a8a", "#d9534f")
_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; max-width: 72rem; margin: 2rem auto; color: #222 }
table { border-collapse: collapse; margin: .6rem 0 }
td, th { border: 1px solid #ccc; padding: .2rem .6rem; text-align: left }
.cause { margin: .4rem 0 .4rem 1rem } .against { color: #a33 } .note { color: #666 }
"""


def printable(text: str) -> str:
    """Text from outside as a terminal may show it: what would steer the terminal is spelt out."""
    return "".join(each if each.isprintable() else f"\\x{ord(each):02x}" for each in text)


def clock(at: int) -> str:
    """A time of the common clock, in UTC."""
    return datetime.fromtimestamp(at / 1e6, UTC).strftime("%H:%M:%S")


def day(at: int) -> str:
    return datetime.fromtimestamp(at / 1e6, UTC).strftime("%Y-%m-%d")


def title(each: Incident) -> str:
    """An incident in a line."""
    until = clock(each.end) if each.is_over else "the end of the records"
    felt = "clients hardly felt it" if each.is_contained else f"{each.share:.0%} of requests went badly"
    return f"{clock(each.onset)} to {until} (give or take {each.doubt / 1e6:.1f} s): {felt}"


def cause_line(each: Incident) -> str:
    """What is held to have caused it, in a line."""
    if not each.causes:
        return "cause not known: no candidate explains enough of the harm"
    first = each.causes[0]
    place = f" {first.where}" if first.where else ""
    return f"{first.kind}{place}, which explains {min(first.explains, 1.0):.0%} of the harm"


def quantiles(story: Story, onset: int, end: int) -> dict[str, tuple[int, float, float]]:
    """By class: answers counted, and their median and 99th percentile in milliseconds."""
    told: dict[str, HdrHistogram] = {}
    for each in story.series.between(onset, end):
        for one in each.span.classes:
            times = unpack_times(one)
            if times:
                histogram = told.setdefault(one.name, HdrHistogram(1, _LONGEST_US, 2))
                for took in times:
                    histogram.record_value(min(max(took, 1), _LONGEST_US))
    return {
        name: (
            histogram.get_total_count(),
            histogram.get_value_at_percentile(50) / 1e3,
            histogram.get_value_at_percentile(99) / 1e3,
        )
        for name, histogram in sorted(told.items())
    }


def html(story: Story) -> str:
    """The whole report."""
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8><title>micadeck incident report</title>",
        f"<style>{_STYLE}</style><body><h1>What the sidecars saw</h1>",
        _summary(story),
        _figure(_counts(story), first=True),
        _figure(_pacts(story)),
    ]
    for each in story.incidents:
        parts.append(_incident(story, each))
    parts += [_rules(story), _sidecars(story), _unknown(story), "</body></html>"]
    return "\n".join(parts)


def _figure(figure: go.Figure, *, first: bool = False) -> str:
    return str(plotly.io.to_html(figure, full_html=False, include_plotlyjs=first))


def _summary(story: Story) -> str:
    series = story.series
    if not series.seconds:
        return "<p>No records that can be laid on one clock.</p>"
    begin, end = series.at(0), series.at(series.seconds)
    ended, bad = series.ended.sum(), series.bad.sum()
    share = f" ({bad / ended:.2%})" if ended else ""
    told = [
        f"<p>{day(begin)}, {clock(begin)} to {clock(end)} UTC by the clock of"
        f" {escape(story.start(story.clocks.reference).name)}: {len(story.linked)} sidecars,"
        f" {len(story.states.servers)} servers, {ended:.0f} requests ended, {bad:.0f} of them badly"
        f"{share}: late, refused or failed.</p>"
    ]
    outer = [each for each in story.incidents if each.within is None]
    if not outer:
        told.append("<p><b>No incident is claimed.</b></p>")
    else:
        rows = "".join(
            f"<li><a href='#incident-{each.number}'>{escape(title(each))}</a>;"
            f" {escape(cause_line(each))}</li>"
            for each in outer
        )
        told.append(f"<ol>{rows}</ol>")
    return "".join(told)


def _times(story: Story) -> list[datetime]:
    return [datetime.fromtimestamp(story.series.at(n) / 1e6, UTC) for n in range(story.series.seconds)]


def _counts(story: Story) -> go.Figure:
    series, times = story.series, _times(story)
    figure = go.Figure()
    served = series.served - series.late
    for name, counts, colour in (
        ("served in time", served, "#9fd6a4"),
        ("late", series.late, "#f2cf66"),
        ("refused", series.refused, "#f0954a"),
        ("failed", series.failed, "#d9534f"),
    ):
        # Where no sidecar spoke there is no line: what is missing is never bridged.
        values = [float(c) if s else None for c, s in zip(counts, series.speaking, strict=True)]
        figure.add_scatter(
            x=times, y=values, name=name, mode="lines", line={"color": colour}, connectgaps=False
        )
    silent = [float(each) if each else None for each in series.silent]
    figure.add_scatter(
        x=times, y=silent, name="sidecars whose records lack", mode="lines", line={"dash": "dot"}
    )
    for each in story.incidents:
        if each.within is None:
            begin, end = (datetime.fromtimestamp(at / 1e6, UTC) for at in (each.onset, each.end))
            figure.add_vrect(x0=begin, x1=end, fillcolor="#d9534f", opacity=0.12, line_width=0)
    figure.update_layout(title="Requests a second", height=340, margin={"t": 50, "b": 20})
    return figure


def _pacts(story: Story) -> go.Figure:
    """What most sidecars held each server to be, second by second."""
    harm: Counter[str] = Counter()
    for each in story.states.news:
        harm[each.server] += each.state == "ejected"
    servers = sorted(story.states.servers, key=lambda name: (-harm[name], name))[:_MOST_SERVERS]
    board = Board(story)
    step = max(story.series.seconds // 600, 1)
    seconds = range(0, story.series.seconds, step)
    times = [datetime.fromtimestamp(story.series.at(n) / 1e6, UTC) for n in seconds]
    rows: list[list[int]] = [[] for _ in servers]
    words: list[list[str]] = [[] for _ in servers]
    for second in seconds:
        held = {each.name: each for each in board.rows(second, worst_first=False)}
        for place, name in enumerate(servers):
            row = held[name]
            rows[place].append(STATES.index(row.state) + 1 if row.state in STATES else 0)
            words[place].append(row.split or row.state)
    scale = [
        [edge, colour]
        for place, colour in enumerate(_COLOURS)
        for edge in (place / len(_COLOURS), (place + 1) / len(_COLOURS))
    ]
    names = [escape(each) for each in servers]
    figure = go.Figure(
        go.Heatmap(
            x=times,
            y=names,
            z=rows,
            text=words,
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


def _incident(story: Story, each: Incident) -> str:
    within = f" (within incident {each.within})" if each.within else ""
    what = "attempts" if each.is_contained else "requests"
    told = [
        f"<h2 id='incident-{each.number}'>Incident {each.number}{within}</h2><p><b>{escape(title(each))}</b>."
    ]
    told.append(f" Usual is {each.usual:.2%}. {each.bad:.0f} {what} went badly.")
    if each.missing:
        told.append(f" {each.missing:.0%} of the sidecars' records for this time lack.")
    told.append("</p><h3>Why</h3>")
    if not each.causes:
        told.append(f"<p>{escape(cause_line(each).capitalize())}.</p>")
    for cause in each.causes[:5]:
        place = f" <b>{escape(cause.where)}</b>" if cause.where else ""
        told.append(f"<div class=cause>{escape(cause.kind)}{place}: {min(cause.explains, 1.0):.0%}<ul>")
        for one in cause.speaks_for:
            when = f" ({clock(one.at)})" if one.at is not None else ""
            told.append(f"<li>{escape(one.text)}{when}</li>")
        told += [f"<li class=against>against it: {escape(one.text)}</li>" for one in cause.speaks_against]
        told.append("</ul></div>")
    told.append("<h3>Whom it hurt</h3>" + _hurt(story, each))
    told.append("<h3>What servers were held to be</h3>" + _news(story, each))
    return "".join(told)


def _hurt(story: Story, each: Incident) -> str:
    times = quantiles(story, each.onset, each.end)
    rows = ["<table><tr><th>class<th>ended<th>late<th>refused<th>failed<th>median ms<th>99th ms</tr>"]
    for name, counts in sorted(each.hurt.by_class.items()):
        _, middle, far = times.get(name, (0, 0.0, 0.0))
        cells = "".join(f"<td>{counts[key]}" for key in ("ended", "late", "refused", "failed"))
        rows.append(f"<tr><td>{escape(name)}{cells}<td>{middle:.0f}<td>{far:.0f}</tr>")
    rows.append("</table>")
    if each.hurt.may_have_run:
        shown = ", ".join(
            escape(one.decode("ascii", "backslashreplace")) for one in each.hurt.may_have_run[:40]
        )
        more = f" and {len(each.hurt.may_have_run) - 40} more" if len(each.hurt.may_have_run) > 40 else ""
        rows.append(f"<p>Failed, and may have run: {len(each.hurt.may_have_run)} ({shown}{more}).</p>")
    worst = each.hurt.by_sidecar.most_common(5)
    names = ", ".join(f"{escape(story.start(number).name)} {count}" for number, count in worst if count)
    rows.append(f"<p>By sidecar: {names or 'none'}.</p>")
    return "".join(rows)


def _news(story: Story, each: Incident) -> str:
    """What changed around an incident, the sidecars that said the same of a server in one line."""
    since, until = each.onset - 5 * BIN_US, each.end + 5 * BIN_US
    lines: dict[tuple[str, str, str], list[Held]] = {}
    done: list[list[Held]] = []
    for held in story.states.news:
        if not since <= held.moment.at <= until:
            continue
        key = (held.server, held.state, held.why)
        if key not in lines or held.moment.at - lines[key][0].moment.at > _SAME_US:
            lines[key] = []
            done.append(lines[key])
        lines[key].append(held)
    if not done:
        return "<p>Nothing changed.</p>"
    rows = []
    for some in done[:_MOST_ROWS]:
        first, last = some[0], some[-1]
        doubt = f" ±{first.moment.doubt / 1e6:.1f}" if first.moment.doubt else ""
        by = len({held.start for held in some})
        name = escape(story.start(first.start).name)
        whom = f"{name} alone" if by == 1 else f"{by} of {len(story.linked)}, {name} first"
        took = (last.moment.at - first.moment.at) / 1e6
        spread = f"; the last {took:.1f} s later" if by > 1 else ""
        rows.append(
            f"<tr><td>{clock(first.moment.at)}{doubt}<td>{escape(first.server)}<td>{escape(first.state)}"
            f"<td>{escape(first.why)}<td>{whom}{spread}</tr>"
        )
    more = f"<p class=note>{len(done) - _MOST_ROWS} more.</p>" if len(done) > _MOST_ROWS else ""
    head = "<tr><th>when, s<th>server<th>held to be<th>why<th>by</tr>"
    return f"<table>{head}{''.join(rows)}</table>{more}"


def _rules(story: Story) -> str:
    told = ["<h2>The four rules</h2>"]
    if story.verdict.breaches:
        told.append("<ul>")
        for each in story.verdict.breaches:
            told.append(
                f"<li><b>Rule {each.rule} broken</b>: {escape(each.text)}"
                f"<br><code>{escape(repr(each.one[1]))}</code><br><code>{escape(repr(each.other[1]))}</code></li>"
            )
        told.append("</ul>")
    else:
        told.append("<p>No two records show one broken.</p>")
    rows = "".join(f"<li>{escape(each)}</li>" for each in story.verdict.cannot_say)
    return "".join(told) + f"<p>What can't be said:</p><ul>{rows}</ul>"


def _sidecars(story: Story) -> str:
    rows = ["<h2>Sidecars</h2><table><tr><th>sidecar<th>from<th>to<th>ended<th>requests<th>badly</tr>"]
    ended: Counter[int] = Counter()
    hurt: Counter[int] = Counter()
    for each in story.series.spans:
        for one in each.span.classes:
            ended[each.start] += one.served + one.refused + one.failed
            hurt[each.start] += one.late + one.refused + one.failed
    for number, ran in sorted(story.ran.items(), key=lambda pair: -hurt[pair[0]]):
        how = "in order" if ran.ended_in_order else "its records break off"
        rows.append(
            f"<tr><td>{escape(story.start(number).name)}<td>{clock(ran.begin)}<td>{clock(ran.end)}<td>{how}"
            f"<td>{ended[number]}<td>{hurt[number]}</tr>"
        )
    rows.append("</table>")
    for number, incidents in story.alone.items():
        lines = "".join(f"<li>{escape(title(each))}; {escape(cause_line(each))}</li>" for each in incidents)
        rows.append(f"<p>{escape(story.start(number).name)}, alone and by its own clock:</p><ul>{lines}</ul>")
    return "".join(rows)


def _unknown(story: Story) -> str:
    found = Counter(each.found for each in story.archive.files)
    files = ", ".join(f"{found[each]} {each.value}" for each in FileStatus if found[each])
    lines = "".join(f"<li>{escape(each)}</li>" for each in story.not_known)
    return f"<h2>What is not known</h2><p>Files: {files or 'none'}.</p><ul>{lines}</ul>"
