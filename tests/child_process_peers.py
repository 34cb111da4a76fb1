"""Servers and a roster in a child process, for tests that stall or end this one."""

from __future__ import annotations

import json
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from loopback import CLASSES

ROOT = Path(__file__).parent.parent


class StandInProcess:
    """Stand-in servers; any thread may send commands."""

    def __init__(self, child: subprocess.Popen[str]) -> None:
        self._child = child
        self._lock = threading.Lock()
        self.addresses = self._read_reply()

    def _read_reply(self) -> dict[str, Any]:
        assert self._child.stdout is not None
        reply: dict[str, Any] = json.loads(self._child.stdout.readline())
        return reply

    def do(self, do: str, server: str = "", **how: Any) -> dict[str, Any]:
        assert self._child.stdin is not None
        with self._lock:
            self._child.stdin.write(json.dumps({"do": do, "server": server, **how}) + "\n")
            self._child.stdin.flush()
            return self._read_reply()

    def received(self) -> list[dict[str, Any]]:
        received: list[dict[str, Any]] = self.do("heard")["heard"]
        return received

    def config(self, **bounds: Any) -> dict[str, Any]:
        """Return a library's configuration with these servers."""
        return {
            "discovery": self.addresses["roster"],
            "seed": "8c1f",
            "known": self.addresses["known"],
            "settings": {
                "lanes": CLASSES,
                "zone": "a",
                "discovery": "on_request",
                "rules": {
                    "drainGraceUs": 500_000,
                    "coldFrom": 0.2,
                    "coldUs": 10_000_000,
                    "fallMultiple": 3.0,
                    "fallUs": 2_000_000,
                },
                "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True, **bounds},
            },
        }


@contextmanager
def run_stand_ins(count: int) -> Iterator[StandInProcess]:
    child = subprocess.Popen(
        [sys.executable, "-m", "micadeck.stand_ins.world", str(count)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield StandInProcess(child)
    finally:
        child.kill()
        child.wait()
        for pipe in (child.stdin, child.stdout):
            assert pipe is not None
            pipe.close()
