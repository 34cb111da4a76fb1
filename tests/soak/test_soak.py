"""Short soak runs with fixed seeds; `soak_run.py` runs longer ones with any seeds."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from soak_plan import Fault, draw_plan
from soak_run import play, replace_text, report

SHORT_S = 5.0
REPLACEMENTS = 2_000
# Reads the file until it holds "end"; fails as soon as it is neither "0" nor "end".
READER = """
import pathlib, sys
path = pathlib.Path(sys.argv[1])
print("ready", flush=True)
while (text := path.read_text()) != "end":
    assert text == "0", repr(text)
"""


def assert_rules_hold(seed: int, *only: Fault) -> None:
    result = play(draw_plan(seed, SHORT_S, frozenset(only) or None))
    assert result.verdict.requests > 500  # fewer requests prove nothing
    assert not result.verdict.violations, report(result, is_full=True)


@pytest.mark.parametrize("seed", [3, 5, 8, 12])
def test_the_rules_hold_under_overlapping_faults(seed: int) -> None:
    assert_rules_hold(seed)


@pytest.mark.parametrize("seed", [1, 3])
def test_second_responses_reach_no_other_request(seed: int) -> None:
    assert_rules_hold(seed, Fault.SECOND_RESPONSE)


def test_sidecars_read_whole_files_while_a_run_replaces_them(tmp_path: Path) -> None:
    # Guards against a start that reads the clock's offset while it is written, and ends with code 3.
    path = tmp_path / "clock"
    replace_text(path, "0")
    with subprocess.Popen([sys.executable, "-c", READER, str(path)], stdout=subprocess.PIPE) as reader:
        assert reader.stdout is not None
        assert reader.stdout.readline() == b"ready\n"
        for _ in range(REPLACEMENTS):
            replace_text(path, "0")
        replace_text(path, "end")
        assert reader.wait() == 0
