"""The memory budget: pressure levels without flapping, their effects, and no accepted request lost."""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import OK, reply, request, run_async, run_harness, until
from test_program import GOOD

from micadeck.config import parse
from micadeck.memory.budget import ENTER_AT_CHARGED, LEAVE_FACTOR, MemoryBudget, MemoryUse, PressureLevel
from micadeck.memory.monitor import MemoryMonitor
from micadeck.memory.resident import MB
from micadeck.network import LoopNetwork
from micadeck.policy.outcomes import Outcome
from micadeck.runtime import Runtime

LIMIT = 100 * MB


def at(share: float) -> int:
    return int(LIMIT * share)


@pytest.mark.parametrize("stage_", [each for each in PressureLevel if each is not PressureLevel.NORMAL])
@pytest.mark.parametrize("kind", [MemoryUse.REQUESTS, MemoryUse.ANSWERS])
def test_a_level_is_entered_at_its_share_and_left_at_a_lower_one(
    kind: MemoryUse, stage_: PressureLevel
) -> None:
    entered: list[PressureLevel] = []
    budget = MemoryBudget(LIMIT, entered.append)
    enters = at(ENTER_AT_CHARGED[stage_])
    budget.charge(kind, enters - 1)
    assert budget.level is PressureLevel(stage_ - 1)
    budget.charge(kind, 1)
    assert budget.level is stage_
    budget.set_charge(kind, int(LEAVE_FACTOR * enters))
    assert budget.level is stage_
    budget.charge(kind, -1)
    assert budget.level < stage_
    budget.set_charge(kind, 0)
    assert budget.level is PressureLevel.NORMAL and entered[-1] is PressureLevel.NORMAL


@pytest.mark.parametrize("kind", [MemoryUse.BODIES, MemoryUse.UNSENT])
def test_uses_with_their_own_limit_do_not_raise_the_level(kind: MemoryUse) -> None:
    budget = MemoryBudget(LIMIT)
    budget.charge(kind, LIMIT)
    assert budget.level is PressureLevel.NORMAL and budget.charged_bytes[kind] == LIMIT


def test_resident_memory_that_is_not_charged_raises_the_level() -> None:
    budget = MemoryBudget(LIMIT)
    budget.set_idle_baseline(at(0.2))
    levels = []
    for resident in (0.2, 0.5, 0.57, 0.69, 0.77, 0.85, 0.6, 0.45, 0.2):
        budget.update_resident(at(resident))
        levels.append(budget.level.value)
    assert levels == [0, 0, 1, 2, 3, 4, 2, 0, 0]


def test_a_limit_barely_above_the_idle_process_admits_some_requests() -> None:
    budget = MemoryBudget(16 * MB)
    budget.set_idle_baseline(15 * MB)
    levels = []
    for resident_mb in (15.0, 15.2, 15.9):
        budget.charge(MemoryUse.REQUESTS, 20_000)
        budget.update_resident(int(resident_mb * MB))
        levels.append(budget.level)
    assert levels == [PressureLevel.NORMAL, PressureLevel.NORMAL, PressureLevel.CLOSE_IDLE]


def test_two_processes_that_share_a_limit_shed_at_half_of_it() -> None:
    budget = MemoryBudget(LIMIT)
    budget.charge(MemoryUse.REQUESTS, at(0.07))
    levels = [budget.level]
    for limit in (LIMIT // 2, LIMIT):
        budget.set_limit(limit)
        levels.append(budget.level)
    budget.charge(MemoryUse.REQUESTS, -at(0.01))
    levels.append(budget.level)
    # PASS_ON is entered at 0.08 of the limit and left at 0.064.
    assert levels == [PressureLevel.NORMAL, PressureLevel.SHED, PressureLevel.PASS_ON, PressureLevel.NORMAL]


@given(st.lists(st.tuples(st.sampled_from(MemoryUse), st.integers(-(20 * MB), 20 * MB)), max_size=40))
def test_the_level_depends_only_on_amounts_and_the_previous_level(steps: list[tuple[MemoryUse, int]]) -> None:
    budget = MemoryBudget(LIMIT)
    for kind, more in steps:
        before = budget.level
        budget.charge(kind, more)
        charged = budget.charged_bytes[MemoryUse.REQUESTS] + budget.charged_bytes[MemoryUse.ANSWERS]
        assert budget.pressure_bytes == charged
        enters = max(
            each
            for each in PressureLevel
            if charged >= at(ENTER_AT_CHARGED[each]) or each is PressureLevel.NORMAL
        )
        stays = max(
            each
            for each in PressureLevel
            if each is PressureLevel.NORMAL
            or (each <= before and charged >= LEAVE_FACTOR * at(ENTER_AT_CHARGED[each]))
        )
        assert budget.level is max(enters, stays)


def test_new_requests_are_refused_and_open_ones_answered_under_pressure() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def answer(received: object) -> bytes:
            await release.wait()
            return OK

        bounds = {"maxRetryAfterUs": 300_000}
        async with run_harness(answer, bounds=bounds) as harness:
            memory = harness.sidecar.memory
            accepted = await harness.client()
            accepted.send(request("lodge"))
            await until(lambda: len(harness.received) == 1)
            memory.charge(MemoryUse.ANSWERS, int(memory.limit_bytes * ENTER_AT_CHARGED[PressureLevel.SHED]))
            refused = await harness.exchange("lodge")
            assert refused.status == 503 and refused.headers["retry-after"] == "0.300"
            release.set()
            assert (await accepted.answer()).status == 200
            memory.set_charge(MemoryUse.ANSWERS, 0)
            assert (await harness.exchange("lodge")).status == 200
            assert len(harness.received) == 2  # the refused one was not forwarded
            assert harness.sidecar._engine.shed_requests == 1

    run_async(work)


def test_only_partial_requests_are_dropped_under_pressure() -> None:
    async def work() -> None:
        async with run_harness(None) as harness:
            memory = harness.sidecar.memory
            partial, complete = await harness.client(), await harness.client()
            complete.send(request("lodge", timeout="10"))
            await until(lambda: len(harness.received) == 1)
            partial.send(request("lodge", body=b"x" * 1_000)[:-1])
            await until(lambda: harness.sidecar.listener.connections.partial_requests == 1)
            memory.charge(
                MemoryUse.ANSWERS, int(memory.limit_bytes * ENTER_AT_CHARGED[PressureLevel.CLOSE_IDLE])
            )
            assert (await partial.answer()).status == 503
            await asyncio.sleep(0.3)
            assert harness.sidecar.open_requests == 1  # the complete request stays open
            memory.set_charge(MemoryUse.ANSWERS, 0)

    run_async(work)


def test_smaller_bodies_are_streamed_under_pressure() -> None:
    async def work() -> None:
        body = b"y" * 30_000

        async def partial(received: object) -> bytes:
            return reply(body)[:20_000]

        async with run_harness(partial) as harness:
            memory = harness.sidecar.memory
            client = await harness.client()
            memory.charge(
                MemoryUse.REQUESTS, int(memory.limit_bytes * ENTER_AT_CHARGED[PressureLevel.PASS_ON])
            )
            client.send(request("lodge"))
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head and b"content-length: 30000" in head

    run_async(work)


def test_all_charges_are_released_once_all_is_answered() -> None:
    async def work() -> None:
        async with run_harness(reply(b"z" * 40_000)) as harness:
            clients = [await harness.client() for _ in range(4)]
            for client in clients:
                client.send(request("lodge", body=b"x" * 30_000) * 3)
            for client in clients:
                for _ in range(3):
                    assert (await client.answer()).status == 200
            partial = await harness.client()
            partial.send(request("lodge", body=b"x" * 30_000)[:-1])
            await until(lambda: harness.sidecar.memory.charged_bytes[MemoryUse.REQUESTS] > 30_000)
            partial.close()
            await until(lambda: not any(harness.sidecar.memory.charged_bytes.values()))

    run_async(work)


class _Clock:
    """A network whose timers advance its clock."""

    def __init__(self) -> None:
        self.at = 0.0

    def time(self) -> float:
        return self.at

    def call_later(self, delay_s: float, callback: object) -> None:
        self.at += delay_s


def test_each_new_tenth_of_the_limit_is_one_log_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    resident = [at(0.12)]
    monkeypatch.setattr("micadeck.memory.monitor.anonymous_bytes", lambda: resident[0])
    monkeypatch.setattr("micadeck.memory.monitor.trim_heap", lambda: None)
    budget = MemoryBudget(LIMIT)
    monitor = MemoryMonitor(_Clock(), budget, lines.append)  # type: ignore[arg-type]
    monitor.start()
    for share in (0.15, 0.21, 0.25, 0.33, 0.22, 0.35, 0.41):
        resident[0] = at(share)
        budget.set_charge(MemoryUse.REQUESTS, at(0.05))
        monitor._sample()
    assert len(lines) == 3
    assert lines[0] == (
        "memory: 21.0 of 100 MB resident; requests 5.0, answers 0.0, unsent 0.0, bodies 0.0, unaccounted 4.0"
    )
    assert json.dumps(budget.charged_bytes)  # keys are strings, as in the statistics


def test_free_memory_is_trimmed_after_an_earlier_trim_without_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    used, trims = [at(0.1)], [0]
    resident = [at(0.1)]

    def trim() -> None:
        trims[0] += 1
        resident[0] = used[0]

    monkeypatch.setattr("micadeck.memory.monitor.anonymous_bytes", lambda: resident[0])
    monkeypatch.setattr("micadeck.memory.monitor.trim_heap", trim)
    budget = MemoryBudget(LIMIT)
    clock = _Clock()
    monitor = MemoryMonitor(clock, budget, lambda _: None)  # type: ignore[arg-type]
    monitor.start()
    used[0] = resident[0] = at(0.4)  # in use, and not charged
    while clock.time() < 60.0:
        monitor._sample()
    assert trims[0] <= 12  # at growing intervals
    used[0] = at(0.1)
    freed_at = clock.time()
    while resident[0] > at(0.1) and clock.time() - freed_at <= 8.5:
        monitor._sample()
    assert resident[0] == at(0.1)


def test_a_probe_answered_with_34_mb_is_aborted_at_the_head() -> None:
    async def work() -> None:
        ended: list[object] = []
        async with run_harness(
            b"HTTP/1.1 200 OK\r\nContent-Length: 34000000\r\n\r\n" + b"x" * 100_000
        ) as harness:
            upstream = harness.sidecar._runtime.upstream
            began = upstream._network.time()
            until_us = upstream._network.now() + 5_000_000
            upstream.probe("s-0", until_us, lambda outcome, *_: ended.append(outcome))
            await until(lambda: bool(ended))
            assert ended == [Outcome.MALFORMED]
            assert upstream._network.time() - began < 0.2  # by its head, not by the 0.25 s stall timeout
            assert harness.sidecar.memory.charged_bytes[MemoryUse.ANSWERS] == 0

    run_async(work)


def test_the_library_does_not_refuse_requests_for_memory() -> None:
    async def work() -> None:
        runtime = Runtime(parse(GOOD), LoopNetwork(), lambda _: None)
        assert runtime.engine.memory is None
        runtime.close()

    run_async(work)


def test_memory_that_can_not_be_released_does_not_shed_requests() -> None:
    """Guards against refusing every request after a load, for memory that nobody holds."""
    budget = MemoryBudget(100 * MB)

    def level() -> PressureLevel:
        return budget.level

    budget.set_idle_baseline(20 * MB)
    budget.update_resident(75 * MB)
    assert level() is PressureLevel.SHED
    budget.raise_baseline()
    assert level() is PressureLevel.NORMAL
    budget.charge(MemoryUse.UNSENT, 20 * MB)
    budget.update_resident(96 * MB)
    assert level() is PressureLevel.CLOSE_IDLE
    budget.raise_baseline()  # what is charged is in use
    assert level() is PressureLevel.CLOSE_IDLE
    budget.charge(MemoryUse.UNSENT, -20 * MB)
    budget.update_resident(20 * MB)  # it was released after all
    budget.update_resident(75 * MB)
    assert level() is PressureLevel.SHED
