"""The account of memory: stages that do not flap, what is done in each, and nothing taken that is lost."""

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
def test_a_stage_is_entered_at_its_share_and_left_at_a_lower_one(
    kind: MemoryUse, stage_: PressureLevel
) -> None:
    told: list[PressureLevel] = []
    account = MemoryBudget(LIMIT, told.append)
    enters = at(ENTER_AT_CHARGED[stage_])
    account.charge(kind, enters - 1)
    assert account.level is PressureLevel(stage_ - 1)
    account.charge(kind, 1)
    assert account.level is stage_
    account.set_charge(kind, int(LEAVE_FACTOR * enters))
    assert account.level is stage_
    account.charge(kind, -1)
    assert account.level < stage_
    account.set_charge(kind, 0)
    assert account.level is PressureLevel.NORMAL and told[-1] is PressureLevel.NORMAL


@pytest.mark.parametrize("kind", [MemoryUse.BODIES, MemoryUse.UNSENT])
def test_what_has_a_bound_of_its_own_refuses_nobody(kind: MemoryUse) -> None:
    account = MemoryBudget(LIMIT)
    account.charge(kind, LIMIT)
    assert account.level is PressureLevel.NORMAL and account.charged_bytes[kind] == LIMIT


def test_resident_memory_that_nobody_booked_leads_to_a_stage_as_well() -> None:
    account = MemoryBudget(LIMIT)
    account.set_idle_baseline(at(0.2))
    stages = []
    for resident in (0.2, 0.5, 0.57, 0.69, 0.77, 0.85, 0.6, 0.45, 0.2):
        account.update_resident(at(resident))
        stages.append(account.level.value)
    assert stages == [0, 0, 1, 2, 3, 4, 2, 0, 0]


def test_a_limit_that_the_idle_process_nearly_takes_still_lets_a_trickle_through() -> None:
    account = MemoryBudget(16 * MB)
    account.set_idle_baseline(15 * MB)
    stages = []
    for resident_mb in (15.0, 15.2, 15.9):
        account.charge(MemoryUse.REQUESTS, 20_000)
        account.update_resident(int(resident_mb * MB))
        stages.append(account.level)
    assert stages == [PressureLevel.NORMAL, PressureLevel.NORMAL, PressureLevel.CLOSE_IDLE]


def test_two_processes_that_share_a_limit_shed_at_half_of_it() -> None:
    account = MemoryBudget(LIMIT)
    account.charge(MemoryUse.REQUESTS, at(0.07))
    stages = [account.level]
    for limit in (LIMIT // 2, LIMIT):
        account.set_limit(limit)
        stages.append(account.level)
    account.charge(MemoryUse.REQUESTS, -at(0.01))
    stages.append(account.level)
    # Passing on is entered at 0.08 of the limit and left at 0.064.
    assert stages == [PressureLevel.NORMAL, PressureLevel.SHED, PressureLevel.PASS_ON, PressureLevel.NORMAL]


@given(st.lists(st.tuples(st.sampled_from(MemoryUse), st.integers(-(20 * MB), 20 * MB)), max_size=40))
def test_the_stage_is_that_of_the_amounts_however_they_came(steps: list[tuple[MemoryUse, int]]) -> None:
    account = MemoryBudget(LIMIT)
    for kind, more in steps:
        before = account.level
        account.charge(kind, more)
        booked = account.charged_bytes[MemoryUse.REQUESTS] + account.charged_bytes[MemoryUse.ANSWERS]
        assert account.pressure_bytes == booked
        enters = max(
            each
            for each in PressureLevel
            if booked >= at(ENTER_AT_CHARGED[each]) or each is PressureLevel.NORMAL
        )
        stays = max(
            each
            for each in PressureLevel
            if each is PressureLevel.NORMAL
            or (each <= before and booked >= LEAVE_FACTOR * at(ENTER_AT_CHARGED[each]))
        )
        assert account.level is max(enters, stays)


def test_new_requests_are_refused_and_taken_ones_answered_while_memory_is_short() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def answer(received: object) -> bytes:
            await release.wait()
            return OK

        bounds = {"maxRetryAfterUs": 300_000}
        async with run_harness(answer, bounds=bounds) as harness:
            memory = harness.sidecar.memory
            taken = await harness.client()
            taken.send(request("lodge"))
            await until(lambda: len(harness.received) == 1)
            memory.charge(MemoryUse.ANSWERS, int(memory.limit_bytes * ENTER_AT_CHARGED[PressureLevel.SHED]))
            refused = await harness.exchange("lodge")
            assert refused.status == 503 and refused.headers["retry-after"] == "0.300"
            release.set()
            assert (await taken.answer()).status == 200
            memory.set_charge(MemoryUse.ANSWERS, 0)
            assert (await harness.exchange("lodge")).status == 200
            assert len(harness.received) == 2  # the refused one was sent on to nobody
            assert harness.sidecar._engine.shed_requests == 1

    run_async(work)


def test_half_sent_requests_are_given_up_and_no_whole_one_is() -> None:
    async def work() -> None:
        async with run_harness(None) as harness:
            memory = harness.sidecar.memory
            half, whole = await harness.client(), await harness.client()
            whole.send(request("lodge", timeout="10"))
            await until(lambda: len(harness.received) == 1)
            half.send(request("lodge", body=b"x" * 1_000)[:-1])
            await until(lambda: harness.sidecar.listener.connections.partial_requests == 1)
            memory.charge(
                MemoryUse.ANSWERS, int(memory.limit_bytes * ENTER_AT_CHARGED[PressureLevel.CLOSE_IDLE])
            )
            assert (await half.answer()).status == 503
            await asyncio.sleep(0.3)
            assert harness.sidecar.open_requests == 1  # it is owed its answer
            memory.set_charge(MemoryUse.ANSWERS, 0)

    run_async(work)


def test_bodies_are_passed_on_from_a_smaller_size_while_memory_is_short() -> None:
    async def work() -> None:
        body = b"y" * 30_000

        async def half(received: object) -> bytes:
            return reply(body)[:20_000]

        async with run_harness(half) as harness:
            memory = harness.sidecar.memory
            client = await harness.client()
            memory.charge(
                MemoryUse.REQUESTS, int(memory.limit_bytes * ENTER_AT_CHARGED[PressureLevel.PASS_ON])
            )
            client.send(request("lodge"))
            head = await client.reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head and b"content-length: 30000" in head

    run_async(work)


def test_all_that_was_booked_is_free_once_all_is_answered() -> None:
    async def work() -> None:
        async with run_harness(reply(b"z" * 40_000)) as harness:
            clients = [await harness.client() for _ in range(4)]
            for client in clients:
                client.send(request("lodge", body=b"x" * 30_000) * 3)
            for client in clients:
                for _ in range(3):
                    assert (await client.answer()).status == 200
            half = await harness.client()
            half.send(request("lodge", body=b"x" * 30_000)[:-1])
            await until(lambda: harness.sidecar.memory.charged_bytes[MemoryUse.REQUESTS] > 30_000)
            half.close()
            await until(lambda: not any(harness.sidecar.memory.charged_bytes.values()))

    run_async(work)


class _Clock:
    """A network that only tells the time and keeps the one timer."""

    def __init__(self) -> None:
        self.at = 0.0

    def time(self) -> float:
        return self.at

    def call_later(self, delay_s: float, callback: object) -> None:
        self.at += delay_s


def test_each_new_tenth_of_the_limit_is_one_line_with_what_holds_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[str] = []
    resident = [at(0.12)]
    monkeypatch.setattr("micadeck.memory.monitor.anonymous_bytes", lambda: resident[0])
    monkeypatch.setattr("micadeck.memory.monitor.trim_heap", lambda: None)
    account = MemoryBudget(LIMIT)
    keeper = MemoryMonitor(_Clock(), account, lines.append)  # type: ignore[arg-type]
    keeper.start()
    for share in (0.15, 0.21, 0.25, 0.33, 0.22, 0.35, 0.41):
        resident[0] = at(share)
        account.set_charge(MemoryUse.REQUESTS, at(0.05))
        keeper._sample()
    assert len(lines) == 3
    assert lines[0] == (
        "memory: 21.0 of 100 MB resident; requests 5.0, answers 0.0, unsent 0.0, bodies 0.0, unaccounted 4.0"
    )
    assert json.dumps(account.charged_bytes)  # kinds are words, as figures name them


def test_free_memory_is_given_back_also_where_an_earlier_trim_found_it_in_use(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    used, trims = [at(0.1)], [0]
    resident = [at(0.1)]

    def trim() -> None:
        trims[0] += 1
        resident[0] = used[0]

    monkeypatch.setattr("micadeck.memory.monitor.anonymous_bytes", lambda: resident[0])
    monkeypatch.setattr("micadeck.memory.monitor.trim_heap", trim)
    account = MemoryBudget(LIMIT)
    clock = _Clock()
    keeper = MemoryMonitor(clock, account, lambda _: None)  # type: ignore[arg-type]
    keeper.start()
    used[0] = resident[0] = at(0.4)  # in use, and nobody books it
    while clock.time() < 60.0:
        keeper._sample()
    assert trims[0] <= 12  # ever rarer
    used[0] = at(0.1)
    freed_at = clock.time()
    while resident[0] > at(0.1) and clock.time() - freed_at <= 8.5:
        keeper._sample()
    assert resident[0] == at(0.1)


def test_a_probe_that_is_answered_with_34_mb_is_cut_off_at_its_head() -> None:
    async def work() -> None:
        ended: list[object] = []
        async with run_harness(
            b"HTTP/1.1 200 OK\r\nContent-Length: 34000000\r\n\r\n" + b"x" * 100_000
        ) as harness:
            carrier = harness.sidecar._runtime.upstream
            began = carrier._network.time()
            until_us = carrier._network.now() + 5_000_000
            carrier.probe("s-0", until_us, lambda outcome, *_: ended.append(outcome))
            await until(lambda: bool(ended))
            assert ended == [Outcome.MALFORMED]
            assert carrier._network.time() - began < 0.2  # by its head, not by its stall of 0.25 s
            assert harness.sidecar.memory.charged_bytes[MemoryUse.ANSWERS] == 0

    run_async(work)


def test_the_library_refuses_nobody_for_its_hosts_memory() -> None:
    async def work() -> None:
        runtime = Runtime(parse(GOOD), LoopNetwork(), lambda _: None)
        assert runtime.engine.memory is None
        runtime.close()

    run_async(work)
