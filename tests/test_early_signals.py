"""Signals in series from the first moment of a start to the last of an end, at the program itself."""

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
APART_S = 0.003  # between the signals of one series
MOMENTS_S = [0.0, 0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.4]  # after the interpreter's first instruction
RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]


async def run_as_deployed(config: Path) -> asyncio.subprocess.Process:
    """The command of the deploy file, past the shell that begins it."""
    process = await asyncio.create_subprocess_shell(
        RUN,
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(config), "TMPDIR": str(config.parent)},
        stderr=asyncio.subprocess.PIPE,
    )
    command = Path(f"/proc/{process.pid}/cmdline")
    await until(lambda: b"python" in command.read_bytes().partition(b"\0")[0])
    return process


async def at_start(folder: Path, after_s: float, *signals: signal.Signals) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(GOOD))
    process = await run_as_deployed(path)
    await asyncio.sleep(after_s)
    for number, each in enumerate(signals, 1):
        # Put there whole, as a platform does: the program may be reading it.  The last one is to hold.
        coming = path.with_suffix(".new")
        coming.write_text(json.dumps({**GOOD, "discovery": f"{HOST}:{number}"}))
        coming.replace(path)
        if process.returncode is None:
            process.send_signal(each)
        await asyncio.sleep(APART_S)
    return process


@pytest.mark.parametrize("after_s", MOMENTS_S)
@pytest.mark.parametrize("count", [1, 4])
def test_a_start_survives_sighup(after_s: float, count: int, tmp_path: Path) -> None:
    async def work() -> None:
        process = await at_start(tmp_path, after_s, *[HUP] * count)
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


@pytest.mark.parametrize("after_s", MOMENTS_S)
@pytest.mark.parametrize("signals", [(TERM,), (INT, TERM), (HUP, TERM, HUP), (TERM, TERM, INT, HUP)])
def test_a_start_that_is_told_to_end_does_so_with_code_0(
    after_s: float, signals: tuple[signal.Signals, ...], tmp_path: Path
) -> None:
    async def work() -> None:
        process = await at_start(tmp_path, after_s, *signals)
        assert await soon(process.wait()) == 0

    run_async(work)


@pytest.mark.parametrize("seed", range(4))
def test_signals_at_any_instant_of_an_end_change_nothing(seed: int, tmp_path: Path) -> None:
    async def work() -> None:
        process = await at_start(tmp_path, 0.6, TERM)
        for number in range(400):
            if process.returncode is not None:
                break
            process.send_signal((HUP, TERM, INT)[(number + seed) % 3])
            await asyncio.sleep(APART_S)
        assert await soon(process.wait()) == 0

    run_async(work)
