"""A system call of the daemon fails intermittently; it must keep running and answer every request.

The shim needs a C compiler; cases without the shim are in `tests/test_failing_streams.py`.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from loopback import run_async, soon
from test_program import GOOD, ROOT

from micadeck.stand_ins.hostile.daemon_under_load import Daemon, is_served
from micadeck.stand_ins.hostile.loads import LOADS

SOURCE = Path(__file__).parent / "failing_calls.c"
COMPILER = shutil.which("cc")
FAILURES_PER_1000 = 100
ROUNDS = 40
CONCURRENT_REQUESTS = 10

CALLS = [
    ("getsockname", errno.ENOBUFS),
    ("getpeername", errno.ENOBUFS),
    ("epoll_ctl", errno.ENOMEM),
    ("epoll_ctl", errno.ENOSPC),
    ("accept4", errno.ENFILE),
    ("accept4", errno.ECONNABORTED),
    ("setsockopt", errno.ENOBUFS),  # uvloop sets an option on each accepted connection
    ("setsockopt", errno.ENOMEM),
    ("socket", errno.EMFILE),
    ("connect", errno.ENETUNREACH),
    ("shutdown", errno.ENOBUFS),
    ("dup", errno.EMFILE),
    ("recv", errno.EINTR),
    ("read", errno.EINTR),
    ("send", errno.ENOBUFS),
    ("sendmsg", errno.ENOBUFS),
]


@pytest.fixture(scope="module")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    if COMPILER is None:
        pytest.skip("no C compiler on this machine")
    library = tmp_path_factory.mktemp("shim") / "failing_calls.so"
    subprocess.run([COMPILER, "-O1", "-shared", "-fPIC", "-o", library, SOURCE, "-ldl"], check=True)
    return library


@pytest.mark.parametrize(("call", "number"), CALLS, ids=lambda each: errno.errorcode.get(each, each))
def test_an_intermittently_failing_call_fails_no_request(call: str, number: int, shim: Path) -> None:
    async def work() -> None:
        faults = {"SHIM_CALL": call, "SHIM_ERRNO": number, "SHIM_SHARE": FAILURES_PER_1000, "SHIM_SEED": 7}
        environment = {"LD_PRELOAD": str(shim), **{key: str(value) for key, value in faults.items()}}
        async with Daemon([LOADS["request: clients that leave at once"]], environment=environment) as daemon:
            served = []
            for _ in range(ROUNDS):
                served += await asyncio.gather(*(is_served(daemon.port) for _ in range(CONCURRENT_REQUESTS)))
                await asyncio.sleep(0.01)
            assert daemon.exit_code is None, daemon.log
            assert served.count(False) == 0, daemon.log
            assert len(os.listdir(f"/proc/{daemon.pid}/fd")) < 100
            assert "internal error" not in daemon.log

    run_async(work)


def test_a_connection_is_shut_down_although_its_name_is_not_available(shim: Path) -> None:
    # Guards against a connection that stays open for good, with its descriptor, where getsockname fails.
    faults = {
        "SHIM_CALL": "getsockname",
        "SHIM_ERRNO": str(errno.ENOBUFS),
        "SHIM_SHARE": "1000",
        "SHIM_SEED": "7",
    }
    environment = {**os.environ, **faults, "LD_PRELOAD": str(shim), "PYTHONPATH": str(ROOT)}
    program = [sys.executable, str(SOURCE.parent / "failing_shutdown.py")]
    output = subprocess.run(program, env=environment, check=True, capture_output=True, timeout=20).stdout
    assert output == b"{b''} 0\n"


@pytest.mark.parametrize("number", [errno.ENOMEM, errno.ENOSPC], ids=errno.errorcode.get)
def test_startup_retries_while_the_event_loop_fails_to_start(number: int, shim: Path, tmp_path: Path) -> None:
    """The daemon could end with code 3: a loop that failed to start can't be run again or closed."""
    config = tmp_path / "config.json"
    config.write_text(json.dumps(GOOD))
    faults = {"LD_PRELOAD": str(shim), "SHIM_CALL": "epoll_ctl", "SHIM_ERRNO": str(number)}
    paths = {"BALANCER_CONFIG": str(config), "TMPDIR": str(tmp_path), "PYTHONPATH": str(ROOT)}

    async def work() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(SOURCE.parent / "failing_begin.py"),
            str(shim),
            "1.0",
            cwd=ROOT,
            env={**os.environ, **faults, **paths},
            stderr=asyncio.subprocess.PIPE,
        )
        assert process.stderr is not None
        waits, serves = [(await soon(process.stderr.readline())).decode() for _ in range(2)]
        assert waits == f"startup: retrying: event loop: [Errno {number}] {os.strerror(number)}\n"
        assert "serves on" in serves
        process.send_signal(signal.SIGTERM)
        ended = (await soon(process.stderr.read())).decode()
        assert ended == "draining\ndrained\nended: code 0, received SIGTERM\n"
        assert await soon(process.wait()) == 0

    run_async(work)
