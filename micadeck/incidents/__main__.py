"""`micadeck incident`: finds incidents in the sidecars' records.

Exit codes: 0; 1 if `check` finds damaged files or missing records; 2 if nothing can be read, or the report
can't be written.
"""

from __future__ import annotations

import gc
import sys
from collections import Counter
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Console
from rich.markup import escape
from rich.table import Table

from micadeck.incidents.archive import Archive, FileStatus, load
from micadeck.incidents.timeline import Incident, Timeline, build_timeline

_PATHS = click.argument("given", nargs=-1, required=True, type=click.Path(path_type=Path))
_DEFAULT_WIDTH = 200  # where the output is not a terminal


def _load(given: tuple[Path, ...]) -> Archive:
    gc.disable()  # there may be millions of records, and none is part of a cycle
    try:
        archive = load(given)
    except OSError as error:
        click.echo(f"micadeck: incident: {error}", err=True)
        raise SystemExit(2) from None
    if not archive.starts:
        click.echo("micadeck: incident: no records were found", err=True)
        raise SystemExit(2)
    return archive


def _time(context: click.Context, parameter: click.Parameter, value: str | None) -> int | None:
    if value is None:
        return None
    try:
        parsed = datetime.fromisoformat(value)
    except ValueError:
        raise click.BadParameter(f"{value}: YYYY-MM-DDTHH:MM:SS is needed") from None
    return int((parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp() * 1e6)


_SINCE = click.option("--from", "since", callback=_time, help="Only incidents that end after this (UTC).")
_UNTIL = click.option("--to", "until", callback=_time, help="Only incidents that begin before this (UTC).")


def _console() -> Console:
    return Console(width=None if sys.stdout.isatty() else _DEFAULT_WIDTH)


@click.group("incident")
def command() -> None:
    """Find incidents in the records of a fleet's sidecars."""


@command.command()
@_PATHS
def check(given: tuple[Path, ...]) -> None:
    """Find files that are cut, spoilt, twice or foreign, and missing records."""
    archive = _load(given)
    table = Table("file", "is", "offset", "why")
    for each in archive.files:
        if each.found is not FileStatus.INTACT:
            offset = str(each.damages[0].offset) if each.damages else ""
            why = each.why or "; ".join(one.reason for one in each.damages[:3])
            table.add_row(escape(str(each.path)), each.found.value, offset, escape(why))
    for start in archive.starts:
        for since, until in start.missing:
            table.add_row(escape(start.name), "missing", "", f"{(until - since) / 1e6:.1f} s of records lack")
    console = _console()
    found = Counter(each.found for each in archive.files)
    if table.row_count:
        console.print(table)
    console.print(", ".join(f"{found[each]} {each.value}" for each in FileStatus if found[each]))
    raise SystemExit(1 if table.row_count else 0)


@command.command("list")
@_PATHS
@_SINCE
@_UNTIL
def list_(given: tuple[Path, ...], since: int | None, until: int | None) -> None:
    """List the incidents."""
    from micadeck.incidents.report import cause_line, clock, printable

    timeline = build_timeline(_load(given), since, until)
    table = Table("no", "from", "to", "± s", "badly", "cause")
    for each in timeline.incidents:
        number = f"{each.number} in {each.within}" if each.within else str(each.number)
        badly = "contained" if each.is_contained else f"{each.share:.0%}"
        end = clock(each.end) if each.is_over else "goes on"
        table.add_row(
            number,
            clock(each.onset),
            end,
            f"{each.uncertainty / 1e6:.1f}",
            badly,
            escape(printable(cause_line(each))),
        )
    console = _console()
    console.print(table if table.row_count else "no incident is claimed")


@command.command()
@_PATHS
@click.option("--number", type=int, help="Only this incident.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def show(given: tuple[Path, ...], number: int | None, as_json: bool) -> None:
    """Show incidents with their causes, the evidence for and against, and the impact."""
    from micadeck.incidents.report import cause_line, printable, title

    timeline = build_timeline(_load(given))
    chosen = [incident for incident in timeline.incidents if number in (None, incident.number)]
    if as_json:
        click.echo(
            msgspec.json.format(
                msgspec.json.encode([_as_json(timeline, incident) for incident in chosen])
            ).decode()
        )
        return
    lines = []
    for incident in chosen:
        lines += [f"{incident.number} {title(incident)}", f"  {cause_line(incident)}"]
        for cause in incident.causes[:4]:
            lines.append(f"  {cause.kind} {cause.where}: {min(cause.explains, 1.0):.0%}")
            lines += [f"    + {one.text}" for one in cause.evidence_for]
            lines += [f"    - {one.text}" for one in cause.evidence_against]
    lines += [f"rule {violation.rule} broken: {violation.text}" for violation in timeline.rules.violations]
    for line in lines if chosen else [*lines, "no incident is claimed"]:
        click.echo(printable(line))


def _as_json(timeline: Timeline, incident: Incident) -> dict[str, Any]:
    return {
        "number": incident.number,
        "within": incident.within,
        "onset_us": incident.onset,
        "end_us": incident.end if incident.is_over else None,
        "doubt_us": incident.uncertainty,
        "contained": incident.is_contained,
        "usual": incident.baseline,
        "share": incident.share,
        "badly": incident.bad,
        "records_missing": incident.missing,
        "causes": [
            {
                "kind": cause.kind,
                "where": cause.where,
                "explains": min(cause.explains, 1.0),
                "for": [one.text for one in cause.evidence_for],
                "against": [one.text for one in cause.evidence_against],
            }
            for cause in incident.causes
        ],
        "classes": {name: dict(counts) for name, counts in incident.impact.by_class.items()},
        "may_have_run": [one.decode("ascii", "backslashreplace") for one in incident.impact.may_have_run],
        "clock_of": timeline.start(timeline.clocks.reference).name,
    }


@command.command()
@_PATHS
@click.option(
    "-o", "--output", type=click.Path(path_type=Path), required=True, help="The HTML file to write."
)
@_SINCE
@_UNTIL
def report(given: tuple[Path, ...], output: Path, since: int | None, until: int | None) -> None:
    """Write the report as one HTML file that needs no network."""
    from micadeck.incidents.report import html

    try:
        output.write_text(html(build_timeline(_load(given), since, until)), encoding="utf-8")
    except OSError as error:
        click.echo(f"micadeck: incident: {output}: {error}", err=True)
        raise SystemExit(2) from None
    click.echo(f"{output}")


if __name__ == "__main__":
    command()
