"""`micadeck console`: shows the state of the fleet, by its records, at any second."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

import click
from rich.markup import escape
from textual import work
from textual.app import App, ComposeResult
from textual.binding import Binding, BindingType
from textual.containers import Vertical
from textual.widgets import DataTable, Footer, Static

from micadeck.incidents.archive import list_files, load
from micadeck.incidents.console_model import ConsoleModel
from micadeck.incidents.report import cause_line, clock, printable, title
from micadeck.incidents.timeline import build_timeline

_RELOAD_INTERVAL_S = 2.0

FileVersions = frozenset[tuple[str, int, int]]


def _cell(text: str) -> str:
    """Escape text from the records for a table cell."""
    return escape(printable(text))


def _file_versions(given: tuple[Path, ...]) -> FileVersions:
    """Sizes and modification times of the files, to detect changes."""
    versions = set()
    for path in list_files(given):
        try:
            stat = path.stat()
        except OSError:
            continue  # deleted by rotation meanwhile
        versions.add((str(path), stat.st_size, stat.st_mtime_ns))
    return frozenset(versions)


class ConsoleApp(App[None]):
    """Shows a table (servers, one server or incidents) below a sparkline."""

    CSS = """
    #head { height: 2 } #line { height: 2 } #what { height: 1 } DataTable { height: 1fr }
    """
    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("left", "move(-1)", "-1 s", priority=True),
        Binding("right", "move(1)", "+1 s", priority=True),
        Binding("[", "move(-10)", "-10 s"),
        Binding("]", "move(10)", "+10 s"),
        Binding("n", "incident(1)", "next incident"),
        Binding("p", "incident(-1)", "previous"),
        Binding("i", "incidents", "incidents"),
        Binding("f", "follow", "follow"),
        Binding("escape", "servers", "servers"),
        Binding("q", "quit", "quit"),
    ]

    def __init__(self, given: tuple[Path, ...], plain: bool = False) -> None:
        super().__init__()
        self._given = given
        self._plain = plain
        self._files = _file_versions(given)
        self.model = ConsoleModel(build_timeline(load(given)))
        self.second = self.model.seconds - 1
        self.follows = True
        self.shows = "servers"  # or "incidents", or "server NAME"

    def compose(self) -> ComposeResult:
        with Vertical():
            yield Static(id="head", markup=False)
            yield Static(id="line", markup=False)
            yield Static(id="what")
            yield DataTable(cursor_type="row")
        yield Footer()

    def on_mount(self) -> None:
        outer = [each for each in self.model.timeline.incidents if each.within is None]
        if outer:
            self.second, self.follows = self.model.timeline.series.second(outer[0].onset), False
        self.draw()
        self.set_interval(_RELOAD_INTERVAL_S, self.reload_changed)

    @work(thread=True, exclusive=True)
    def reload_changed(self) -> None:
        """Reload changed files, on a worker thread since it may take long."""
        files = _file_versions(self._given)
        if files == self._files:
            return
        model = ConsoleModel(build_timeline(load(self._given)))
        self.call_from_thread(self._show_reloaded, files, model)

    def _show_reloaded(self, files: FileVersions, model: ConsoleModel) -> None:
        at = self.model.at(self.second)
        self._files, self.model = files, model
        self.second = model.seconds - 1 if self.follows else model.timeline.series.second(at)
        self.draw()

    # Key bindings

    def action_move(self, seconds: int) -> None:
        self.second = self.model.clamp(self.second + seconds)
        self.follows = False
        self.draw()

    def action_incident(self, step: int) -> None:
        found = self.model.next_incident(self.second, step)
        if found is not None:
            self.second, self.follows = found, False
            self.draw()

    def action_incidents(self) -> None:
        self.shows = "incidents"
        self.draw()

    def action_servers(self) -> None:
        self.shows = "servers"
        self.draw()

    def action_follow(self) -> None:
        self.follows, self.second = True, self.model.seconds - 1
        self.draw()

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        key = event.row_key.value or ""
        if self.shows == "servers":
            self.shows = f"server {key}"
        elif self.shows == "incidents":
            each = self.model.timeline.incidents[int(key)]
            self.second, self.follows = self.model.timeline.series.second(each.onset), False
            self.shows = "servers"
        self.draw()

    # Drawing

    def draw(self) -> None:
        model, second = self.model, self.second
        now = model.totals(second)
        silent = f", {now.not_reporting} whose records lack" if now.not_reporting else ""
        incident = model.incident_at(second)
        description = (
            f"incident {incident.number}: {printable(cause_line(incident))}"
            if incident is not None
            else "no incident claimed here"
        )
        counts = f"{now.ended} ended, {now.late} late, {now.refused} refused, {now.failed} failed"
        self.query_one("#head", Static).update(
            f"{clock(now.at)} UTC  {counts}  ({now.reporting} sidecars{silent})\n{description}"
        )
        marks, at = model.sparkline(second, max(self.size.width - 2, 10), self._plain)
        self.query_one("#line", Static).update(f"{marks}\n{' ' * at}^")
        self.query_one("#what", Static).update(f"[b]{_cell(self.shows)}[/b]")
        table = self.query_one(DataTable)
        place = table.cursor_row
        table.clear(columns=True)
        if self.shows == "servers":
            table.add_columns("server", "zone", "held to be", "tried", "badly", "sidecars disagree")
            for row in model.rows(second):
                cells = (
                    row.name,
                    row.zone,
                    row.state,
                    str(row.attempts),
                    str(row.bad_attempts),
                    row.disagreement,
                )
                table.add_row(*map(_cell, cells), key=row.name)
        elif self.shows == "incidents":
            table.add_columns("no", "when, and how bad", "cause")
            for number, each in enumerate(model.timeline.incidents):
                table.add_row(str(each.number), _cell(title(each)), _cell(cause_line(each)), key=str(number))
        else:
            table.add_columns("sidecar", "holds it to be", "why", "since")
            for view in model.server(self.shows.removeprefix("server "), second):
                since = clock(view.since) if view.since is not None else ""
                table.add_row(*map(_cell, (view.sidecar, view.state, view.why, since)))
        if table.row_count:
            table.move_cursor(row=min(place, table.row_count - 1))


@click.command("console")
@click.argument("given", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--plain", is_flag=True, help="Marks of plain ASCII, for terminals without more.")
def command(given: tuple[Path, ...], plain: bool) -> None:
    """Browse the records of sidecars; follows folders that grow."""
    try:
        app = ConsoleApp(given, plain)
    except OSError as error:
        click.echo(f"micadeck: console: {error}", err=True)
        raise SystemExit(2) from None
    if not app.model.timeline.archive.starts:
        click.echo("micadeck: console: no records were found", err=True)
        raise SystemExit(2)
    app.run()
