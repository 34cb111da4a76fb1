"""Known failures name an existing test and the command that runs it."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest
from known_failures import PATH, KnownFailure, read


def _is_defined(entry: KnownFailure) -> bool:
    file, _, name = entry.test.partition("[")[0].partition("::")
    tree = ast.parse((PATH.parent / file).read_text())
    return name in {
        each.name for each in tree.body if isinstance(each, (ast.FunctionDef, ast.AsyncFunctionDef))
    }


def test_each_entry_names_a_test_once_and_what_plays_it() -> None:
    entries = read()
    assert [each.test for each in entries if not _is_defined(each)] == []
    assert len({each.test for each in entries}) == len(entries)
    for each in entries:
        assert each.test.partition("::")[0] in each.command


@pytest.mark.parametrize(
    "line",
    ["tests/a.py::t | c | s | seen", "tests/a.py::t | c | | seen | 1", "tests/a.py::t | c | s | seen | one"],
)
def test_an_entry_without_all_its_parts_is_rejected(line: str, tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_text(f"# a comment\n{line}\n")
    with pytest.raises(ValueError, match=r"test \| command \| seed \| seen \| issue are needed"):
        read(path)
