"""Compile the policy with mypyc, from the root: `.venv/bin/python deploy/compile.py`.

A step of the build.  If it fails, as without a compiler, the policy runs interpreted; a message says so, and
the exit code is 0.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from micadeck.policy import compiled

_REQUIREMENTS = Path(__file__).parent / "compile-requirements.txt"
_COMMAND_TIMEOUT_S = 300


def compile_into(target: Path) -> None:
    """Raise OSError or subprocess.SubprocessError on failure."""
    with tempfile.TemporaryDirectory(dir=target.parent) as work_path:
        work = Path(work_path)
        package = work / compiled.PACKAGE_PATH
        package.mkdir(parents=True)
        for folder in (package.parent, package):
            (folder / "__init__.py").touch()
        for name in compiled.MODULES:
            shutil.copy(compiled.ROOT / f"{name}.py", package)
        _run(sys.executable, "-m", "pip", "-q", "--disable-pip-version-check", "install", "-r", _REQUIREMENTS)
        sources = [str(compiled.PACKAGE_PATH / f"{name}.py") for name in compiled.MODULES]
        run_mypyc(sources, work)
        for path in (work / "build", work / ".mypy_cache", *package.parent.rglob("*.py")):
            shutil.rmtree(path) if path.is_dir() else path.unlink()
        _run(
            sys.executable,
            "-c",
            "import micadeck.policy.balancer as b; assert b.__file__.endswith('.so')",
            cwd=work,
        )
        for old in target.parent.iterdir():
            if old != work:
                shutil.rmtree(old, ignore_errors=True)
        shutil.copytree(work, target)


def run_mypyc(sources: Sequence[str], cwd: Path) -> None:
    """Compile modules in place; raise OSError or subprocess.SubprocessError on failure."""
    flags = f"{os.environ.get('CFLAGS', '')} {compiled.COMPILER_FLAGS}".strip()
    _run(sys.executable, "-m", "mypyc", *sources, cwd=cwd, environment={"CFLAGS": flags})


def _run(*command: object, cwd: Path | None = None, environment: Mapping[str, str] | None = None) -> None:
    subprocess.run(
        [str(argument) for argument in command],
        cwd=cwd,
        env={**os.environ, **(environment or {})},
        check=True,
        capture_output=True,
        text=True,
        timeout=_COMMAND_TIMEOUT_S,
    )


def main() -> None:
    target = compiled.folder()
    if (target / compiled.PACKAGE_PATH).is_dir():
        return
    target.parent.mkdir(exist_ok=True)
    try:
        compile_into(target)
    except (OSError, subprocess.SubprocessError) as error:
        shutil.rmtree(target, ignore_errors=True)
        output = getattr(error, "stderr", None) or str(error)
        print(f"the decisions run interpreted: {output.strip().splitlines()[-1]}", file=sys.stderr)


if __name__ == "__main__":
    main()
