"""The console: what it shows of a moment, by keys, on a small screen, and while files grow."""

from __future__ import annotations

import time
from pathlib import Path

import pytest
from click.testing import CliRunner
from loopback import async_test
from test_incidents import day, folder
from textual.widgets import DataTable, Static

from micadeck.cli import main
from micadeck.incidents.archive import Archive, Start
from micadeck.incidents.console import ConsoleApp
from micadeck.incidents.console_model import ConsoleModel
from micadeck.incidents.kinds import ClassCount, Head, Listed, Record, ServerCount, Span, State
from micadeck.incidents.timeline import build_timeline

S = 1_000_000


def shown(app: ConsoleApp, name: str) -> str:
    return str(app.query_one(f"#{name}", Static).render())


@async_test
async def test_keys_walk_through_time_servers_and_incidents_at_80_by_24(tmp_path: Path) -> None:
    told = folder(day(2, "zone"), tmp_path / "day")
    app = ConsoleApp((told,), plain=True)
    async with app.run_test(size=(80, 24)) as pilot:
        await pilot.pause()
        assert "incident 1: zone" in shown(app, "head")  # it begins where the first incident does
        table = app.query_one(DataTable)
        assert table.row_count == len(app.model.servers) and table.size.height >= 10
        second = app.second
        await pilot.press("right", "right", "left", "]")
        assert app.second == second + 11
        await pilot.press("p")
        assert app.second == second
        marks, cursor = shown(app, "line").split("\n")
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
async def test_files_that_grow_are_followed(tmp_path: Path) -> None:
    told = folder(day(2, "zone"), tmp_path / "day")
    whole = {each: each.read_bytes() for each in told.iterdir()}
    for each, data in whole.items():
        each.write_bytes(data[: len(data) // 3])
    app = ConsoleApp((told,))
    async with app.run_test(size=(80, 24)) as pilot:
        await pilot.pause()
        await pilot.press("f")
        before = app.model.seconds
        for each, data in whole.items():
            each.write_bytes(data)
        app.reload_changed()
        await app.workers.wait_for_complete()
        await pilot.pause()
        assert app.model.seconds > 2 * before and app.second == app.model.seconds - 1
        assert app.model.timeline.incidents


def test_a_board_s_servers_are_what_the_states_say() -> None:
    story = build_timeline(day(2, "crash").archive())
    board = ConsoleModel(story)
    for second in range(0, board.seconds, 7):
        for row in board.rows(second):
            # Within the second: a state that changed in it may show as before or after.
            near = {
                story.states.consensus(row.name, board.at(second) + part * S // 4, story.linked).state
                for part in range(5)
            }
            assert row.state in near
    assert sum(row.attempts for second in range(board.seconds) for row in board.rows(second)) > 1_000


def test_seconds_without_a_word_are_marked_as_such() -> None:
    story = build_timeline(day(2, "calm").archive())
    board = ConsoleModel(story)
    story.series.reporting[10:13] = 0
    marks, at = board.sparkline(11, 40)
    assert marks[10:13] == "???" and "?" not in marks[:10] and at == 11


def test_two_hundred_sidecars_by_two_hundred_servers_are_walked_without_stutter() -> None:
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
    board = ConsoleModel(build_timeline(Archive(starts, [])))
    assert not board.timeline.clocks.unlinked
    began = time.process_time()
    for second in range(20):
        assert len(board.rows(second)) == 200
        board.server("s-7", second)
        board.sparkline(second, 80)
    assert (time.process_time() - began) / 20 < 0.1


def test_what_can_t_be_read_is_said_in_a_line(tmp_path: Path) -> None:
    for given, said in ((tmp_path / "nowhere", "nowhere"), (tmp_path, "no records were found")):
        done = CliRunner().invoke(main, ["console", str(given)])
        assert done.exit_code == 2 and said in done.output


@pytest.mark.parametrize("width", [20, 200])
def test_the_line_keeps_to_its_width_and_to_its_seconds(width: int) -> None:
    told = day(2, "zone")
    board = ConsoleModel(build_timeline(told.archive()))
    for second in (0, board.seconds // 2, board.seconds - 1):
        marks, at = board.sparkline(second, width)
        assert len(marks) <= width and 0 <= at < len(marks)
