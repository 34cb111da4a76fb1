"""`micadeck console`: the fleet as its sidecars saw it, at a moment that can be moved through time."""

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
from micadeck.incidents.console_model import Board
from micadeck.incidents.report import cause_line, clock, printable, title
from micadeck.incidents.timeline import tell

_LOOK_AGAIN_S = 2.0

Known = frozenset[tuple[str, int, int]]


def _cell(text: str) -> str:
    """Text from outside as a cell shows it."""
    return escape(printable(text))


def _known(given: tuple[Path, ...]) -> Known:
    """What the files look like: as long as it is the same, they need not be read again."""
    told = set()
    for each in list_files(given):
        try:
            state = each.stat()
        except OSError:
            continue  # rotated away while we looked
        told.add((str(each), state.st_size, state.st_mtime_ns))
    return frozenset(told)


class ConsoleApp(App[None]):
    """Three tables in turn (servers, one server, incidents) under a line of the seconds around."""

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
        self._files = _known(given)
        self.board = Board(tell(load(given)))
        self.second = self.board.seconds - 1
        self.follows = True
        self.shows = "servers"  # or "incidents", or a server's name behind "server "

    def compose(self) -> ComposeResult:
        with Vertical():
            yield Static(id="head", markup=False)
            yield Static(id="line", markup=False)
            yield Static(id="what")
            yield DataTable(cursor_type="row")
        yield Footer()

    def on_mount(self) -> None:
        outer = [each for each in self.board.story.incidents if each.within is None]
        if outer:
            self.second, self.follows = self.board.story.series.second(outer[0].onset), False
        self.draw()
        self.set_interval(_LOOK_AGAIN_S, self.look_again)

    @work(thread=True, exclusive=True)
    def look_again(self) -> None:
        """Read again what has grown; off the screen's thread, since it may take a while."""
        files = _known(self._given)
        if files == self._files:
            return
        board = Board(tell(load(self._given)))
        self.call_from_thread(self._take, files, board)

    def _take(self, files: Known, board: Board) -> None:
        at = self.board.at(self.second)
        self._files, self.board = files, board
        self.second = board.seconds - 1 if self.follows else board.story.series.second(at)
        self.draw()

    # What keys do

    def action_move(self, seconds: int) -> None:
        self.second = self.board.clamp(self.second + seconds)
        self.follows = False
        self.draw()

    def action_incident(self, step: int) -> None:
        found = self.board.next_incident(self.second, step)
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
        self.follows, self.second = True, self.board.seconds - 1
        self.draw()

    def on_data_table_row_selected(self, event: DataTable.RowSelected) -> None:
        key = event.row_key.value or ""
        if self.shows == "servers":
            self.shows = f"server {key}"
        elif self.shows == "incidents":
            each = self.board.story.incidents[int(key)]
            self.second, self.follows = self.board.story.series.second(each.onset), False
            self.shows = "servers"
        self.draw()

    # The screen

    def draw(self) -> None:
        board, second = self.board, self.second
        now = board.totals(second)
        silent = f", {now.silent} whose records lack" if now.silent else ""
        here = board.incident_at(second)
        what = (
            f"incident {here.number}: {printable(cause_line(here))}"
            if here is not None
            else "no incident claimed here"
        )
        counts = f"{now.ended} ended, {now.late} late, {now.refused} refused, {now.failed} failed"
        self.query_one("#head", Static).update(
            f"{clock(now.at)} UTC  {counts}  ({now.speaking} sidecars{silent})\n{what}"
        )
        marks, at = board.line(second, max(self.size.width - 2, 10), self._plain)
        self.query_one("#line", Static).update(f"{marks}\n{' ' * at}^")
        self.query_one("#what", Static).update(f"[b]{_cell(self.shows)}[/b]")
        table = self.query_one(DataTable)
        place = table.cursor_row
        table.clear(columns=True)
        if self.shows == "servers":
            table.add_columns("server", "zone", "held to be", "tried", "badly", "sidecars disagree")
            for row in board.rows(second):
                cells = (row.name, row.zone, row.state, str(row.tried), str(row.ill), row.split)
                table.add_row(*map(_cell, cells), key=row.name)
        elif self.shows == "incidents":
            table.add_columns("no", "when, and how bad", "cause")
            for number, each in enumerate(board.story.incidents):
                table.add_row(str(each.number), _cell(title(each)), _cell(cause_line(each)), key=str(number))
        else:
            table.add_columns("sidecar", "holds it to be", "why", "since")
            for view in board.server(self.shows.removeprefix("server "), second):
                since = clock(view.since) if view.since is not None else ""
                table.add_row(*map(_cell, (view.sidecar, view.state, view.why, since)))
        if table.row_count:
            table.move_cursor(row=min(place, table.row_count - 1))


@click.command("console")
@click.argument("given", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--plain", is_flag=True, help="Marks of plain ASCII, for terminals without more.")
def command(given: tuple[Path, ...], plain: bool) -> None:
    """Walk through what sidecars recorded; folders that grow are followed."""
    try:
        app = ConsoleApp(given, plain)
    except OSError as fault:
        click.echo(f"micadeck: console: {fault}", err=True)
        raise SystemExit(2) from None
    if not app.board.story.archive.starts:
        click.echo("micadeck: console: no records were found", err=True)
        raise SystemExit(2)
    app.run()
