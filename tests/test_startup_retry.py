"""A start retries transient errors, logs them once, and ends only at permanent ones."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import sys
import time
from pathlib import Path

import pytest
from loopback import run_async, soon
from test_program import GOOD, ROOT

FAILS_S = 1.5
READY_WITHIN_S = 10.0  # after the error's end
SCRIPT = Path(__file__).parent / "failing_start.py"

TRANSIENT = [
    ("socket", errno.ENFILE),
    ("socket", errno.EMFILE),
    ("socket", errno.ENOBUFS),
    ("socket", errno.ENOMEM),
    ("socket", errno.EACCES),
    ("bind", errno.EADDRINUSE),
    ("bind", errno.ENOBUFS),
    ("listen", errno.EADDRINUSE),
    ("listen", errno.ENOBUFS),
    ("setsockopt", errno.ENOBUFS),
    ("setsockopt", errno.EINVAL),
    ("setsockopt", errno.ENOMEM),
    ("getsockname", errno.ENOBUFS),
    ("loop", errno.ENOMEM),
    ("loop", errno.ENOSPC),
    ("loop", errno.EMFILE),
    ("read", errno.EMFILE),
    ("read", errno.EIO),
]


async def start_failing(folder: Path, call: str, number: int, seconds: float) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(GOOD))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(SCRIPT),
        call,
        str(number),
        str(seconds),
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(folder), "PYTHONPATH": str(ROOT)},
        stderr=asyncio.subprocess.PIPE,
    )


@pytest.mark.parametrize(("call", "number"), TRANSIENT, ids=lambda each: errno.errorcode.get(each, each))
def test_a_start_retries_a_call_that_fails_transiently(call: str, number: int, tmp_path: Path) -> None:
    async def work() -> None:
        began = time.monotonic()
        process = await start_failing(tmp_path, call, number, FAILS_S)
        assert process.stderr is not None
        lines: list[bytes] = []
        while not lines or b"serves on" not in lines[-1]:
            lines.append(await soon(process.stderr.readline()))
            assert lines[-1], lines
        assert time.monotonic() - began <= FAILS_S + READY_WITHIN_S
        waits = [each for each in lines if os.strerror(number).encode() in each]
        assert len(waits) == 1 and len(lines) == 2, lines
        process.send_signal(signal.SIGTERM)
        assert await soon(process.wait()) == 0

    run_async(work)


@pytest.mark.parametrize("what", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize(("call", "number"), [("bind", errno.ENOBUFS), ("loop", errno.EMFILE)])
def test_a_start_that_retries_ends_at_a_signal(
    call: str, number: int, what: signal.Signals, tmp_path: Path
) -> None:
    async def work() -> None:
        process = await start_failing(tmp_path, call, number, 60.0)
        assert process.stderr is not None
        assert os.strerror(number).encode() in await soon(process.stderr.readline())
        began = time.monotonic()
        process.send_signal(what)
        assert await soon(process.wait()) == 0
        assert time.monotonic() - began <= 1.0

    run_async(work)


def test_a_start_ends_at_once_if_the_address_does_not_exist(tmp_path: Path) -> None:
    async def work() -> None:
        began = time.monotonic()
        process = await start_failing(tmp_path, "bind", errno.EADDRNOTAVAIL, 60.0)
        _, log = await soon(process.communicate())
        assert process.returncode == 1 and time.monotonic() - began <= 5.0
        assert log.startswith(b"micadeck: can't listen: listen: ") and log.count(b"\n") == 1

    run_async(work)
