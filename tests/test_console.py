"""The incident console: keys on a small screen, growing files, large fleets, bad input."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from click.testing import CliRunner
from loopback import async_test
from test_incidents import day, write_records
from textual.widgets import DataTable, Static

from micadeck.cli import main
from micadeck.incidents.archive import Archive, Start
from micadeck.incidents.console import ConsoleApp
from micadeck.incidents.console_model import ConsoleModel
from micadeck.incidents.kinds import ClassCount, Head, Listed, Record, ServerCount, Span, State
from micadeck.incidents.timeline import build_timeline

S = 1_000_000


def widget_text(app: ConsoleApp, name: str) -> str:
    return str(app.query_one(f"#{name}", Static).render())


@async_test
async def test_keys_move_through_time_servers_and_incidents_at_80_by_24(tmp_path: Path) -> None:
    records = write_records(day(2, "zone"), tmp_path / "day")
    app = ConsoleApp((records,), plain=True)
    async with app.run_test(size=(80, 24)) as pilot:
        await pilot.pause()
        assert "incident 1: zone" in widget_text(app, "head")  # the cursor starts at the first incident
        table = app.query_one(DataTable)
        assert table.row_count == len(app.model.servers) and table.size.height >= 10
        second = app.second
        await pilot.press("right", "right", "left", "]")
        assert app.second == second + 11
        await pilot.press("p")
        assert app.second == second
        marks, cursor = widget_text(app, "line").split("\n")
        assert marks.isascii() and cursor.strip() == "^" and len(marks) <= 80
        await pilot.press("enter")
        assert app.shows.startswith("server s-") and table.row_count == 6
        await pilot.press("escape", "i")
        assert app.shows == "incidents" and table.row_count == len(app.model.timeline.incidents)
        await pilot.press("right", "enter")
        assert app.shows == "servers" and app.second == second
        await pilot.press("f")
        assert app.second == app.model.seconds - 1 and app.follows


@async_test
async def test_growing_files_are_followed(tmp_path: Path) -> None:
    records = write_records(day(2, "zone"), tmp_path / "day")
    contents = {path: path.read_bytes() for path in records.iterdir()}
    for path, data in contents.items():
        path.write_bytes(data[: len(data) // 3])
    app = ConsoleApp((records,))
    async with app.run_test(size=(80, 24)) as pilot:
        await pilot.pause()
        await pilot.press("f")
        before = app.model.seconds
        for path, data in contents.items():
            path.write_bytes(data)
        app.reload_changed()
        await app.workers.wait_for_complete()
        await pilot.pause()
        assert app.model.seconds > 2 * before and app.second == app.model.seconds - 1
        assert app.model.timeline.incidents


def test_server_rows_show_the_recorded_states() -> None:
    timeline = build_timeline(day(2, "crash").archive())
    model = ConsoleModel(timeline)
    for second in range(0, model.seconds, 7):
        for row in model.rows(second):
            # A state that changes within this second may be shown as before or after the change.
            possible_states = {
                timeline.states.consensus(row.name, model.at(second) + part * S // 4, timeline.linked).state
                for part in range(5)
            }
            assert row.state in possible_states
    assert sum(row.attempts for second in range(model.seconds) for row in model.rows(second)) > 1_000


def test_seconds_without_reports_are_marked_unknown() -> None:
    timeline = build_timeline(day(2, "calm").archive())
    model = ConsoleModel(timeline)
    timeline.series.reporting[10:13] = 0
    marks, at = model.sparkline(11, 40)
    assert marks[10:13] == "???" and "?" not in marks[:10] and at == 11


def test_a_second_of_200_sidecars_by_200_servers_is_drawn_within_100_ms() -> None:
    starts = []
    for number in range(200):
        head = Head(1, f"n{number}", f"{number:016x}", 0, 0, 0, [], 0, 0)
        records: list[Record] = [head]
        records += [State(0, f"s-{each}", "ready", "list", "east", 1, True) for each in range(200)]
        records += [Listed(second * S, second, "changes", 1) for second in range(120)]
        for second in range(120):
            servers = [ServerCount(f"s-{each}", 1, 0, [1]) for each in range(number % 10, 200, 40)]
            counts = ClassCount("look", 5, 5, 0, 0, 0, 0, b"")
            records.append(Span(second * S, (second + 1) * S, 0, 0, 1, None, 0.0, None, [counts], servers, 0))
        starts.append(Start(head, records))
    model = ConsoleModel(build_timeline(Archive(starts, [])))
    assert not model.timeline.clocks.unlinked
    began = time.process_time()
    for second in range(20):
        assert len(model.rows(second)) == 200
        model.server("s-7", second)
        model.sparkline(second, 80)
    assert (time.process_time() - began) / 20 < 0.1


def test_unreadable_input_ends_with_an_error_message(tmp_path: Path) -> None:
    for path, message in ((tmp_path / "nowhere", "nowhere"), (tmp_path, "no records were found")):
        result = CliRunner().invoke(main, ["console", str(path)])
        assert result.exit_code == 2 and message in result.output


@pytest.mark.parametrize("width", [20, 200])
def test_the_sparkline_fits_its_width_at_every_second(width: int) -> None:
    recorded_day = day(2, "zone")
    model = ConsoleModel(build_timeline(recorded_day.archive()))
    for second in (0, model.seconds // 2, model.seconds - 1):
        marks, at = model.sparkline(second, width)
        assert len(marks) <= width and 0 <= at < len(marks)
