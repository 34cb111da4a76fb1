"""`micadeck incident`: what sidecars recorded, made one story.

Exit codes: 0; 1 if `check` finds files that are not whole, or records that lack; 2 if nothing can be read, or
the report not written.
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
from micadeck.incidents.timeline import Incident, Story, tell

_FOLDERS = click.argument("given", nargs=-1, required=True, type=click.Path(path_type=Path))
_WIDE = 200  # where nobody's screen sets a width


def _load(given: tuple[Path, ...]) -> Archive:
    gc.disable()  # millions of records, none of which is part of a cycle
    try:
        archive = load(given)
    except OSError as fault:
        click.echo(f"micadeck: incident: {fault}", err=True)
        raise SystemExit(2) from None
    if not archive.starts:
        click.echo("micadeck: incident: no records were found", err=True)
        raise SystemExit(2)
    return archive


def _time(context: click.Context, parameter: click.Parameter, value: str | None) -> int | None:
    if value is None:
        return None
    try:
        told = datetime.fromisoformat(value)
    except ValueError:
        raise click.BadParameter(f"{value}: YYYY-MM-DDTHH:MM:SS is needed") from None
    return int((told if told.tzinfo else told.replace(tzinfo=UTC)).timestamp() * 1e6)


_SINCE = click.option("--from", "since", callback=_time, help="Only incidents that end after this (UTC).")
_UNTIL = click.option("--to", "until", callback=_time, help="Only incidents that begin before this (UTC).")


def _console() -> Console:
    return Console(width=None if sys.stdout.isatty() else _WIDE)


@click.group("incident")
def command() -> None:
    """The fleet as its sidecars saw it, from their own records."""


@command.command()
@_FOLDERS
def check(given: tuple[Path, ...]) -> None:
    """Which records are whole, cut, spoilt, twice or foreign, and where some lack."""
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
@_FOLDERS
@_SINCE
@_UNTIL
def list_(given: tuple[Path, ...], since: int | None, until: int | None) -> None:
    """The incidents, a line each."""
    from micadeck.incidents.report import cause_line, clock, printable

    story = tell(_load(given), since, until)
    table = Table("no", "from", "to", "± s", "badly", "cause")
    for each in story.incidents:
        number = f"{each.number} in {each.within}" if each.within else str(each.number)
        badly = "contained" if each.is_contained else f"{each.share:.0%}"
        end = clock(each.end) if each.is_over else "goes on"
        table.add_row(
            number,
            clock(each.onset),
            end,
            f"{each.doubt / 1e6:.1f}",
            badly,
            escape(printable(cause_line(each))),
        )
    console = _console()
    console.print(table if table.row_count else "no incident is claimed")


@command.command()
@_FOLDERS
@click.option("--number", type=int, help="Only this incident.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, for programs.")
def show(given: tuple[Path, ...], number: int | None, as_json: bool) -> None:
    """Incidents with their causes, what speaks for and against them, and whom they hurt."""
    from micadeck.incidents.report import cause_line, printable, title

    story = tell(_load(given))
    chosen = [each for each in story.incidents if number in (None, each.number)]
    if as_json:
        click.echo(
            msgspec.json.format(msgspec.json.encode([_plain(story, each) for each in chosen])).decode()
        )
        return
    lines = []
    for each in chosen:
        lines += [f"{each.number} {title(each)}", f"  {cause_line(each)}"]
        for cause in each.causes[:4]:
            lines.append(f"  {cause.kind} {cause.where}: {min(cause.explains, 1.0):.0%}")
            lines += [f"    + {one.text}" for one in cause.speaks_for]
            lines += [f"    - {one.text}" for one in cause.speaks_against]
    lines += [f"rule {breach.rule} broken: {breach.text}" for breach in story.verdict.breaches]
    for line in lines if chosen else [*lines, "no incident is claimed"]:
        click.echo(printable(line))


def _plain(story: Story, each: Incident) -> dict[str, Any]:
    return {
        "number": each.number,
        "within": each.within,
        "onset_us": each.onset,
        "end_us": each.end if each.is_over else None,
        "doubt_us": each.doubt,
        "contained": each.is_contained,
        "usual": each.usual,
        "share": each.share,
        "badly": each.bad,
        "records_missing": each.missing,
        "causes": [
            {
                "kind": cause.kind,
                "where": cause.where,
                "explains": min(cause.explains, 1.0),
                "for": [one.text for one in cause.speaks_for],
                "against": [one.text for one in cause.speaks_against],
            }
            for cause in each.causes
        ],
        "classes": {name: dict(counts) for name, counts in each.hurt.by_class.items()},
        "may_have_run": [one.decode("ascii", "backslashreplace") for one in each.hurt.may_have_run],
        "clock_of": story.start(story.clocks.reference).name,
    }


@command.command()
@_FOLDERS
@click.option(
    "-o", "--output", type=click.Path(path_type=Path), required=True, help="The HTML file to write."
)
@_SINCE
@_UNTIL
def report(given: tuple[Path, ...], output: Path, since: int | None, until: int | None) -> None:
    """One HTML file that opens without a network."""
    from micadeck.incidents.report import html

    try:
        output.write_text(html(tell(_load(given), since, until)), encoding="utf-8")
    except OSError as fault:
        click.echo(f"micadeck: incident: {output}: {fault}", err=True)
        raise SystemExit(2) from None
    click.echo(f"{output}")


if __name__ == "__main__":
    command()
