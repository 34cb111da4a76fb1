"""Daemon and library with the same seed: the same random workload gets the same answers and attempts.

A workload has requests of every class and form, and what the server does on each attempt.  The clock moves
only between requests, so that differences in speed can't affect the decisions.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import Any

import loopback
import pytest
from loopback import ERROR, FULL, OK, ReceivedRequest, request, run_async, run_harness, until

import micadeck.network.loop

STEP_US = 10_000
START_US = 1_700_000_000_000_000
MALFORMED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\nserved"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: a/b\r\n\r\n6\r\nserved\r\n0\r\n\r\n"
)


class SteppedClock:
    """A clock that tests move."""

    at = START_US

    def now(self) -> int:
        return SteppedClock.at


@dataclass
class Workload:
    """Requests in order, what happens to the first three attempts at each, and what was seen."""

    requests: list[bytes] = field(default_factory=list)
    attempt_results: list[list[Any]] = field(default_factory=list)
    sends: list[tuple[Any, ...]] = field(default_factory=list)
    answers: list[tuple[Any, ...]] = field(default_factory=list)


def draw_workload(seed: int) -> Workload:
    rng = random.Random(seed)
    workload = Workload()
    unusual_headers = [
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
        service_class = rng.choice(["check", "check", "amend", "lodge"])
        headers = rng.choice(unusual_headers) if rng.random() < 0.5 else {}
        size = 0 if service_class == "check" else rng.choice([0, 5, 65_536])
        body = bytes(rng.choices(b"abc\r\n\0", k=size))
        if rng.random() < 0.05 and service_class != "check":
            body = b"x" * 65_536  # the daemon streams larger ones, and does not retry those
        target = f"/api/{rng.randrange(5)}?n={number}"
        headers = {"Request-Id": f"{seed:04x}{number:04x}", **headers}
        parameters = {name.replace("-", "_"): value for name, value in headers.items()}
        raw = request(service_class, body=body, target=target, **parameters)
        if rng.random() < 0.05:
            raw = raw.replace(raw[: raw.index(b" ")], rng.choice([b"HEAD", b"PUT", b"GET", b"POST"]), 1)
        workload.requests.append(raw)
        results = [OK, OK, OK, CHUNKED, ERROR, FULL, MALFORMED, "hang up"]
        workload.attempt_results.append([rng.choice(results) for _ in range(3)])
    return workload


async def _run(workload: Workload) -> Workload:
    """Run a workload in the current way (`loopback.way`)."""
    SteppedClock.at = START_US
    current = 0

    async def respond(received: ReceivedRequest) -> bytes | None:
        attempt = sum(1 for sent in workload.sends if sent[0] == current)
        server_number = next(n for n, server in enumerate(setup.servers) if received in server.received)
        headers = {name: value for name, value in received.headers.items() if name != "request-timeout"}
        fields = (received.method, received.target, tuple(sorted(headers.items())), received.body)
        workload.sends.append((current, server_number, *fields))
        result = workload.attempt_results[current][min(attempt, 2)]
        if isinstance(result, bytes):
            return result
        received.writer.transport.abort()
        return None

    async with run_harness(*[respond] * 5) as setup:
        await until(lambda: len(setup.discovery.received) >= 2)
        await asyncio.sleep(0.01)
        for current, raw in enumerate(workload.requests):  # noqa: B007 - `respond` reads it
            client = await setup.client()
            client.send(raw)
            answer = await client.answer()
            compared = ("content-type", "retry-after")
            headers = {name: value for name, value in answer.headers.items() if name in compared}
            workload.answers.append((answer.status, tuple(sorted(headers.items())), answer.body))
            client.close()
            await until(lambda: setup.sidecar.open_requests == 0)
            SteppedClock.at += STEP_US
    return workload


@pytest.mark.parametrize("way", ["library", "middleware"])
@pytest.mark.parametrize("seed", range(12))
def test_a_random_workload_runs_the_same_as_through_the_daemon(
    seed: int, way: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(micadeck.network.loop, "Clock", SteppedClock)

    async def work() -> None:
        monkeypatch.setattr(loopback, "way", "daemon")
        by_daemon = await _run(draw_workload(seed))
        monkeypatch.setattr(loopback, "way", way)
        by_other = await _run(draw_workload(seed))
        assert by_daemon.answers == by_other.answers
        assert by_daemon.sends == by_other.sends
        assert len(by_daemon.sends) > 10
        assert len({sent[1] for sent in by_daemon.sends}) > 2  # servers

    run_async(work)
