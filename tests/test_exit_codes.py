"""Exit codes and last log lines: a process that ends without such a line was killed."""

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
FATAL_SIGNALS = [signal.SIGSEGV, signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGILL]


async def start_serving(folder: Path) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(GOOD))
    process = await start_process(path)
    assert process.stderr is not None
    assert b"serves on" in await soon(process.stderr.readline())
    return process


@pytest.mark.parametrize("what", FATAL_SIGNALS)
def test_a_fatal_signal_logs_a_stack_trace(what: signal.Signals, tmp_path: Path) -> None:
    async def work() -> None:
        process = await start_serving(tmp_path)
        process.send_signal(what)
        _, log = await soon(process.communicate())
        assert process.returncode == -what
        assert b"Fatal Python error" in log and b"daemon.py" in log

    run_async(work)


@pytest.mark.parametrize("what", [signal.SIGTERM, signal.SIGINT])
def test_a_requested_shutdown_logs_its_signal_and_exit_code(what: signal.Signals, tmp_path: Path) -> None:
    async def work() -> None:
        process = await start_serving(tmp_path)
        process.send_signal(what)
        _, log = await soon(process.communicate())
        assert process.returncode == 0
        assert log.decode().splitlines()[-1] == f"ended: code 0, received {what.name}"

    run_async(work)


def test_an_unexpected_exception_is_one_line_and_exit_code_3(tmp_path: Path) -> None:
    async def work() -> None:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(GOOD))
        broken = f"import micadeck.daemon as daemon; daemon.Sidecar = None; {MAIN}"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", broken, cwd=ROOT, stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(tmp_path)},
        )  # fmt: skip
        _, log = await soon(process.communicate())
        assert process.returncode == 3
        assert log.decode().splitlines()[-1].startswith("ended: code 3, TypeError")

    run_async(work)


def test_a_memory_limit_below_the_idle_process_is_a_configuration_error(
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
        _, log = await soon(process.communicate())
        assert process.returncode == 2
        assert log.startswith(b"micadeck: config: limits.memory_mb: 16")

    run_async(work)


def test_each_error_has_its_own_advice_and_keeps_its_text() -> None:
    kinds: list[type[OperatorError]] = [ConfigError, ConfigUnreadableError, RequestIdInUseError, ListenError]
    assert all(issubclass(kind, OperatorError) and kind.advice.endswith(".") for kind in kinds)
    assert len({OperatorError.advice, *(kind.advice for kind in kinds)}) == len(kinds) + 1
    assert str(ConfigError("seed", "digits are needed")) == "seed: digits are needed"
    assert str(ConfigError("", "an object is needed")) == "an object is needed"
    assert str(ListenError("listen: taken")) == "listen: taken"
