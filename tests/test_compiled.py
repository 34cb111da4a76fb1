"""Which form of the decisions is loaded: the compiled one of exactly these sources, or the sources."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
VARIABLES = ("MICADECK_INTERPRETED", "MAGPIEMUX_INTERPRETED")  # the second: the former name
STAND_IN = "Balancer, Settings = 'compiled', None\n"


@pytest.fixture
def tree(tmp_path: Path) -> Path:
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "micadeck" / "policy", tmp_path / "micadeck" / "policy", ignore=ignored)
    shutil.copy(ROOT / "micadeck" / "__init__.py", tmp_path / "micadeck")
    shutil.copytree(ROOT / "deploy", tmp_path / "deploy")
    return tmp_path


def told(tree: Path, probe: str, **environ: str) -> str:
    """What a new process prints that has the tree's package."""
    given = {key: value for key, value in os.environ.items() if key not in VARIABLES}
    return subprocess.run(
        [sys.executable, "-c", probe],
        cwd=tree,
        env={**given, **environ},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()


def put(tree: Path) -> Path:
    """Something in place of a compiled form, where that of these sources belongs."""
    folder = Path(told(tree, "from micadeck.policy import compiled; print(compiled.folder())"))
    (folder / "micadeck" / "policy").mkdir(parents=True)
    for name in ("balancer", "settings"):
        (folder / "micadeck" / "policy" / f"{name}.py").write_text(STAND_IN)
    return folder


WHICH = "import micadeck.policy; print(micadeck.policy.IS_COMPILED, micadeck.policy.Balancer == 'compiled')"


def test_without_a_compiled_form_the_sources_run(tree: Path) -> None:
    assert told(tree, WHICH) == "False False"


@pytest.mark.parametrize("variable", VARIABLES)
def test_the_compiled_form_of_these_sources_is_taken_up(tree: Path, variable: str) -> None:
    put(tree)
    assert told(tree, WHICH) == "True True"
    assert told(tree, WHICH, **{variable: "1"}) == "False False"


@pytest.mark.parametrize("name", ["balancer", "settings", "decaying_rate"])
def test_what_was_compiled_of_other_sources_is_left(tree: Path, name: str) -> None:
    put(tree)
    with (tree / "micadeck" / "policy" / f"{name}.py").open("a") as file:
        file.write("\n# changed\n")
    assert told(tree, WHICH) == "False False"


def test_a_build_without_a_compiler_says_so_and_goes_on(tree: Path) -> None:
    (tree / "deploy" / "compile-requirements.txt").write_text("")
    environ = {**os.environ, "CC": "/nowhere/cc", "PATH": "/nowhere"}
    ended = subprocess.run(
        [sys.executable, "deploy/compile.py"], cwd=tree, env=environ, capture_output=True, text=True
    )
    assert ended.returncode == 0 and "the decisions run interpreted: " in ended.stderr
    assert told(tree, WHICH) == "False False"
    assert not any((tree / ".compiled").iterdir())
