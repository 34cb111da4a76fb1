"""Whatever clients, servers or discovery send, the process lives and stays far under its limit of memory."""

from __future__ import annotations

import pytest
from loopback import run_async as played_by

from micadeck.stand_ins.hostile import LOADS, Side, run_loads
from micadeck.stand_ins.hostile.daemon_under_load import CONTROL_REQUESTS, MEMORY_MB

SECONDS = 1.5
SETTLES_S = 4.0
PEAK_MB = 0.6 * MEMORY_MB
SETTLED_MB = 30.0
BESIDE = 8  # requests of ten that are served beside a load by clients alone

SHORT = [
    "answer: headers without end",
    "answer: one trailer without end",
    "request: 3800 headers of four bytes, servers hang",
    "request: the same, four piped, unread",
    "list: tiny headers without end",
    "request: 40 piped, answers of 60 kB unread",
]


@pytest.mark.parametrize("name", SHORT)
def test_memory_stays_far_under_its_limit(name: str) -> None:
    load = LOADS[name]
    played = played_by(lambda: run_loads(load, seconds=SECONDS, settle_s=SETTLES_S))
    assert played.exit_code is None, played.log
    assert played.peak_mb <= PEAK_MB
    assert played.settled_mb <= SETTLED_MB
    assert played.served_after == CONTROL_REQUESTS
    if load.side is Side.CLIENTS:
        assert played.served_during >= BESIDE
