"""Each end of the process has its exit code and its line: an end without one is a kill."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest
from loopback import run_async, soon
from test_program import GOOD, ROOT, start_process

from micadeck.config import ConfigError, ConfigUnreadableError
from micadeck.engine import RequestIdInUseError
from micadeck.errors import OperatorError
from micadeck.sidecar import ListenError

MAIN = "from micadeck.__main__ import main; raise SystemExit(main())"
FAULTS = [signal.SIGSEGV, signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGILL]


async def serving(folder: Path) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(GOOD))
    process = await start_process(path)
    assert process.stderr is not None
    assert b"serves on" in await soon(process.stderr.readline())
    return process


@pytest.mark.parametrize("what", FAULTS)
def test_an_end_by_a_fault_of_the_c_level_says_where(what: signal.Signals, tmp_path: Path) -> None:
    async def work() -> None:
        process = await serving(tmp_path)
        process.send_signal(what)
        _, told = await soon(process.communicate())
        assert process.returncode == -what
        assert b"Fatal Python error" in told and b"daemon.py" in told

    run_async(work)


@pytest.mark.parametrize("what", [signal.SIGTERM, signal.SIGINT])
def test_an_end_that_was_asked_for_says_so_with_its_code(what: signal.Signals, tmp_path: Path) -> None:
    async def work() -> None:
        process = await serving(tmp_path)
        process.send_signal(what)
        _, told = await soon(process.communicate())
        assert process.returncode == 0
        assert told.decode().splitlines()[-1] == f"ended: code 0, received {what.name}"

    run_async(work)


def test_an_end_by_a_defect_is_one_line_and_code_3(tmp_path: Path) -> None:
    async def work() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(GOOD))
        broken = f"import micadeck.daemon as daemon; daemon.Sidecar = None; {MAIN}"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", broken, cwd=ROOT, stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(tmp_path)},
        )  # fmt: skip
        _, told = await soon(process.communicate())
        assert process.returncode == 3
        assert told.decode().splitlines()[-1].startswith("ended: code 3, TypeError")

    run_async(work)


def test_a_limit_of_memory_that_the_idle_process_passes_is_a_fault_of_the_configuration(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps({**GOOD, "limits": {"memory_mb": 16}}))
        hungry = f"kept = bytearray(b'x') * (32 << 20); {MAIN}"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", hungry, cwd=ROOT, stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(tmp_path)},
        )  # fmt: skip
        _, told = await soon(process.communicate())
        assert process.returncode == 2
        assert told.startswith(b"micadeck: config: limits.memory_mb: 16")

    run_async(work)


def test_each_error_has_advice_of_its_own_and_keeps_its_text() -> None:
    kinds: list[type[OperatorError]] = [ConfigError, ConfigUnreadableError, RequestIdInUseError, ListenError]
    assert all(issubclass(kind, OperatorError) and kind.advice.endswith(".") for kind in kinds)
    assert len({OperatorError.advice, *(kind.advice for kind in kinds)}) == len(kinds) + 1
    assert str(ConfigError("seed", "digits are needed")) == "seed: digits are needed"
    assert str(ConfigError("", "an object is needed")) == "an object is needed"
    assert str(ListenError("listen: taken")) == "listen: taken"
