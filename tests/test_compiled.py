"""Which policy modules are loaded: those compiled from exactly these sources, or the sources."""

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


def run_probe(tree: Path, probe: str, **environ: str) -> str:
    """Return what the probe prints in a new process."""
    inherited = {key: value for key, value in os.environ.items() if key not in VARIABLES}
    return subprocess.run(
        [sys.executable, "-c", probe],
        cwd=tree,
        env={**inherited, **environ},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()


def put_stand_in(tree: Path) -> Path:
    """Put stand-ins where the modules compiled from these sources belong."""
    folder = Path(run_probe(tree, "from micadeck.policy import compiled; print(compiled.folder())"))
    (folder / "micadeck" / "policy").mkdir(parents=True)
    for name in ("balancer", "settings"):
        (folder / "micadeck" / "policy" / f"{name}.py").write_text(STAND_IN)
    return folder


PROBE = "import micadeck.policy; print(micadeck.policy.IS_COMPILED, micadeck.policy.Balancer == 'compiled')"


def test_without_compiled_modules_the_sources_are_loaded(tree: Path) -> None:
    assert run_probe(tree, PROBE) == "False False"


@pytest.mark.parametrize("variable", VARIABLES)
def test_modules_compiled_from_these_sources_are_loaded(tree: Path, variable: str) -> None:
    put_stand_in(tree)
    assert run_probe(tree, PROBE) == "True True"
    assert run_probe(tree, PROBE, **{variable: "1"}) == "False False"


@pytest.mark.parametrize("name", ["balancer", "settings", "decaying_rate"])
def test_modules_compiled_from_other_sources_are_not_loaded(tree: Path, name: str) -> None:
    put_stand_in(tree)
    with (tree / "micadeck" / "policy" / f"{name}.py").open("a") as file:
        file.write("\n# changed\n")
    assert run_probe(tree, PROBE) == "False False"


def test_a_build_without_a_compiler_reports_it_and_succeeds(tree: Path) -> None:
    (tree / "deploy" / "compile-requirements.txt").write_text("")
    environ = {**os.environ, "CC": "/nowhere/cc", "PATH": "/nowhere"}
    process = subprocess.run(
        [sys.executable, "deploy/compile.py"], cwd=tree, env=environ, capture_output=True, text=True
    )
    assert process.returncode == 0 and "the decisions run interpreted: " in process.stderr
    assert run_probe(tree, PROBE) == "False False"
    assert not any((tree / ".compiled").iterdir())


SUMS = """
def sums(numbers: list[float]) -> list[float]:
    return [each * 1.1 + each for each in numbers]
"""
COMPARE_SUMS = """
import importlib.util, pathlib, random, sys
sys.path.insert(0, "deploy")
import compile as build
folder = pathlib.Path("sums")
folder.mkdir()
(folder / "sums.py").write_text(sys.argv[1])
build.run_mypyc(["sums.py"], folder)
sys.path.insert(0, str(folder.resolve()))
import sums
assert sums.__file__.endswith(".so")
source = {}
exec(sys.argv[1], source)
generator = random.Random(7)
numbers = [generator.random() for _ in range(1000)]
print(sums.sums(numbers) == source["sums"](numbers))
"""


@pytest.mark.skipif(shutil.which("cc") is None, reason="without a C compiler the policy runs interpreted")
def test_compiled_arithmetic_rounds_as_the_interpreter_does(tree: Path) -> None:
    # Guards against fused multiply-adds, which compilers use on arm64: timers were due a microsecond later.
    process = subprocess.run(
        [sys.executable, "-c", COMPARE_SUMS, SUMS], cwd=tree, capture_output=True, text=True, check=False
    )
    assert process.stdout.strip() == "True", process.stderr
