"""Daemon and library on the same seed: the same days bring the same answers and the same sends.

The days are drawn: requests of every class and form, and for each attempt what its server does.  Both run on
a clock that moves only between requests, so that no difference in their speed reaches the decisions.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import loopback
import pytest
from loopback import ERROR, FULL, OK, Heard, play, request, stage, until

import micadeck.network.loop

STEP_US = 10_000
START_US = 1_700_000_000_000_000
SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\nserved"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: a/b\r\n\r\n6\r\nserved\r\n0\r\n\r\n"
)


class SteppedClock:
    """A clock that stands still until it is moved."""

    at = START_US

    def now(self) -> int:
        return SteppedClock.at


@dataclass
class Day:
    """Requests in their order, and what becomes of the first, second, third attempt at each."""

    requests: list[bytes] = field(default_factory=list)
    fates: list[list[Any]] = field(default_factory=list)
    sends: list[tuple[Any, ...]] = field(default_factory=list)
    answers: list[tuple[Any, ...]] = field(default_factory=list)


def drawn(seed: int) -> Day:
    chance = random.Random(seed)
    day = Day()
    odd = [
        {"Connection": "tenant, x-note"},
        {"X-Note": "a, b; c=\xe9"},
        {"Te": "trailers", "Keep-Alive": "5", "Upgrade": "h2c"},
        {"Accept-Encoding": "gzip", "Cookie": "a=b; c=d"},
        {"Work-Hint": "1500"},
        {"Work-Hint": "much"},
        {"Client-Retry": "1"},
        {"Request-Class": "unheard-of"},
        {"Request-Timeout": "0"},
        {"Idempotency-Key": "5c0f"},
        {"Tenant": ""},
    ]
    for number in range(25):
        kind = chance.choice(["check", "check", "amend", "lodge"])
        headers = chance.choice(odd) if chance.random() < 0.5 else {}
        size = 0 if kind == "check" else chance.choice([0, 5, 65_536])
        body = bytes(chance.choices(b"abc\r\n\0", k=size))
        if chance.random() < 0.05 and kind != "check":
            body = b"x" * 65_536  # a larger one is passed on by the daemon, and goes nowhere else
        target = f"/api/{chance.randrange(5)}?n={number}"
        given = {"Request-Id": f"{seed:04x}{number:04x}", **headers}
        raw = request(kind, body=body, target=target, **{k.replace("-", "_"): v for k, v in given.items()})
        if chance.random() < 0.05:
            raw = raw.replace(raw[: raw.index(b" ")], chance.choice([b"HEAD", b"PUT", b"GET", b"POST"]), 1)
        day.requests.append(raw)
        fates = [OK, OK, OK, CHUNKED, ERROR, FULL, SPOILT, "hang up"]
        day.fates.append([chance.choice(fates) for _ in range(3)])
    return day


async def _played(day: Day) -> Day:
    """Play a day through whatever way the stage is set to."""
    SteppedClock.at = START_US
    current = 0

    async def fate(heard: Heard) -> bytes | None:
        attempt = sum(1 for each in day.sends if each[0] == current)
        by = next(n for n, server in enumerate(scene.servers) if heard in server.heard)
        passed = {k: v for k, v in heard.headers.items() if k != "request-timeout"}
        day.sends.append((current, by, heard.method, heard.target, tuple(sorted(passed.items())), heard.body))
        what = day.fates[current][min(attempt, 2)]
        if isinstance(what, bytes):
            return what
        heard.writer.transport.abort()
        return None

    async with stage(*[fate] * 5) as scene:
        await until(lambda: len(scene.discovery.heard) >= 2)
        await asyncio.sleep(0.01)
        for current, raw in enumerate(day.requests):  # noqa: B007 - `fate` reads it
            client = await scene.client()
            client.send(raw)
            answer = await client.answer()
            kept = {k: v for k, v in answer.headers.items() if k in ("content-type", "retry-after")}
            day.answers.append((answer.status, tuple(sorted(kept.items())), answer.body))
            client.close()
            await until(lambda: scene.sidecar.open_requests == 0)
            SteppedClock.at += STEP_US
    return day


@pytest.mark.parametrize("way", ["library", "middleware"])
@pytest.mark.parametrize("seed", range(12))
def test_a_drawn_day_is_the_same_as_through_the_daemon(
    seed: int, way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(micadeck.network.loop, "Clock", SteppedClock)

    async def work() -> None:
        monkeypatch.setattr(loopback, "way", "daemon")
        by_daemon = await _played(drawn(seed))
        monkeypatch.setattr(loopback, "way", way)
        by_other = await _played(drawn(seed))
        assert by_daemon.answers == by_other.answers
        assert by_daemon.sends == by_other.sends
        assert len(by_daemon.sends) > 10
        assert len({each[1] for each in by_daemon.sends}) > 2  # of the servers

    play(work)
