"""Guards against a memory limit that is passed by what many clients send in part or do not read."""

from __future__ import annotations

import pytest
from loopback import run_async

from micadeck.stand_ins.hostile import LOADS, LoadResult, Side, run_loads
from micadeck.stand_ins.hostile.daemon_under_load import CONTROL_REQUESTS

SECONDS = 2.5
SOCKETS = 1_024
CROWDS = [
    "request: answers of 60 kB unread",
    "request: 40 piped, answers of 60 kB unread",
    "request: answers of 32 MB unread",
    "request: answers of 32 MB read slowly",
    "request: bodies of 60 kB half sent",
    "request: bodies of 60 kB, servers hang",
    "request: bodies of 32 MB, servers hang",
    "request: bodies of 32 MB half sent",
    "request: bodies of 32 MB sent slowly",
    "request: 95 headers, servers hang",
    "request: 95 headers of four bytes, the head half sent",
]
LIMITS_MB = [32, 64, 80]


def play(name: str, memory_mb: int) -> LoadResult:
    return run_async(
        lambda: run_loads(LOADS[name], seconds=SECONDS, settle_s=0.0, memory_mb=memory_mb, sockets=SOCKETS)
    )


@pytest.mark.parametrize("memory_mb", LIMITS_MB)
@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_stays_within_the_memory_limit(name: str, memory_mb: int) -> None:
    played = play(name, memory_mb)
    assert played.exit_code is None, played.log
    assert played.peak_mb < memory_mb
    if LOADS[name].side is Side.CLIENTS:
        assert played.served_after == CONTROL_REQUESTS


@pytest.mark.parametrize("memory_mb", LIMITS_MB)
@pytest.mark.parametrize("name", [name for name in CROWDS if LOADS[name].side is Side.SERVERS])
def test_requests_are_served_after_a_crowd_whose_servers_hang(name: str, memory_mb: int) -> None:
    assert play(name, memory_mb).served_after == CONTROL_REQUESTS
