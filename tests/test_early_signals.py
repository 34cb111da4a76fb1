"""Series of signals to the program from its start to the end of its shutdown."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tomllib
from pathlib import Path

import pytest
from loopback import HOST, run_async, soon, until
from test_program import GOOD, ROOT

HUP, TERM, INT = signal.SIGHUP, signal.SIGTERM, signal.SIGINT
SIGNAL_INTERVAL_S = 0.003
SIGNAL_DELAYS_S = [0.0, 0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.4]  # after the interpreter's start
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


async def run_as_deployed(config: Path) -> asyncio.subprocess.Process:
    """Start the deploy file's command and wait until its shell has started Python."""
    process = await asyncio.create_subprocess_shell(
        RUN,
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(config), "TMPDIR": str(config.parent)},
        stderr=asyncio.subprocess.PIPE,
    )
    command = Path(f"/proc/{process.pid}/cmdline")
    await until(lambda: b"python" in command.read_bytes().partition(b"\0")[0])
    return process


async def start_and_signal(
    folder: Path, after_s: float, *signals: signal.Signals
) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(GOOD))
    process = await run_as_deployed(path)
    await asyncio.sleep(after_s)
    for number, each in enumerate(signals, 1):
        # Replaced atomically, as a platform does: the program may be reading it. The last one must win.
        new_file = path.with_suffix(".new")
        new_file.write_text(json.dumps({**GOOD, "discovery": f"{HOST}:{number}"}))
        new_file.replace(path)
        if process.returncode is None:
            process.send_signal(each)
        await asyncio.sleep(SIGNAL_INTERVAL_S)
    return process


@pytest.mark.parametrize("after_s", SIGNAL_DELAYS_S)
@pytest.mark.parametrize("count", [1, 4])
def test_a_start_survives_sighup(after_s: float, count: int, tmp_path: Path) -> None:
    async def work() -> None:
        process = await start_and_signal(tmp_path, after_s, *[HUP] * count)
        assert process.stderr is not None
        lines = b""
        while b"serves on" not in lines:
            line = await soon(process.stderr.readline())
            assert line, lines
            lines += line
        process.send_signal(TERM)
        lines += await soon(process.stderr.read())
        assert await soon(process.wait()) == 0
        reloads = [each for each in lines.decode().splitlines() if each.startswith("reloaded")]
        assert not reloads or reloads[-1].endswith(f"{HOST}:{count}")

    run_async(work)


@pytest.mark.parametrize("after_s", SIGNAL_DELAYS_S)
@pytest.mark.parametrize("signals", [(TERM,), (INT, TERM), (HUP, TERM, HUP), (TERM, TERM, INT, HUP)])
def test_a_start_that_gets_sigterm_or_sigint_exits_0(
    after_s: float, signals: tuple[signal.Signals, ...], tmp_path: Path
) -> None:
    async def work() -> None:
        process = await start_and_signal(tmp_path, after_s, *signals)
        assert await soon(process.wait()) == 0

    run_async(work)


@pytest.mark.parametrize("seed", range(4))
def test_signals_during_shutdown_do_not_change_the_exit_code(seed: int, tmp_path: Path) -> None:
    async def work() -> None:
        process = await start_and_signal(tmp_path, 0.6, TERM)
        for number in range(400):
            if process.returncode is not None:
                break
            process.send_signal((HUP, TERM, INT)[(number + seed) % 3])
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        assert await soon(process.wait()) == 0

    run_async(work)
