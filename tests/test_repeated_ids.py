"""Guards against a second effect of a request whose id comes again after its client left."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from loopback import HOST, OK, ReceivedRequest, async_test, request, run_async, run_harness, soon, until
from test_program import run_program, start_process

from micadeck.engine.recent_ids import MAX_RECENT_IDS, RECENT_SPAN_US, RecentIds

ID = "00000000000000aa"
WORK_S = 0.3


async def works(received: ReceivedRequest) -> bytes:
    await asyncio.sleep(WORK_S)
    return OK


@pytest.mark.parametrize("after_s", [0.0, 0.1, 2 * WORK_S])
@pytest.mark.parametrize("kind", ["lodge", "amend"])
@async_test
async def test_an_id_whose_client_left_is_not_sent_again(kind: str, after_s: float) -> None:
    async with run_harness(works, works) as harness:
        leaving = await harness.client()
        leaving.send(request(kind, Request_Id=ID))
        await until(lambda: len(harness.received) == 1)
        leaving.close()
        await asyncio.sleep(after_s)
        if after_s > WORK_S:
            await until(lambda: harness.sidecar.open_requests == 0)
        for _ in range(2):
            assert (await harness.exchange(kind, Request_Id=ID)).status == 409
        assert len(harness.received) == 1
        assert (await harness.exchange(kind)).status == 200  # another id


@async_test
async def test_the_id_of_a_failed_request_that_may_have_run_is_not_sent_again() -> None:
    async with run_harness(None, None) as harness:
        assert (await harness.exchange("lodge", Request_Id=ID, timeout="0.3")).status == 504
        await until(lambda: harness.sidecar.open_requests == 0)
        assert (await harness.exchange("lodge", Request_Id=ID)).status == 409
        assert len(harness.received) == 1


@async_test
async def test_an_id_that_has_not_run_or_may_run_again_is_sent_again() -> None:
    async with run_harness(works, listed=False) as harness:
        assert (await harness.exchange("lodge", Request_Id=ID)).status == 503
        assert (await harness.exchange("lodge", Request_Id=ID)).status == 503
    async with run_harness(works) as harness:
        leaving = await harness.client()
        leaving.send(request("check", Request_Id=ID))
        await until(lambda: len(harness.received) == 1)
        leaving.close()
        await until(lambda: harness.sidecar.open_requests == 0)
        assert (await harness.exchange("check", Request_Id=ID)).status == 200


def test_few_ids_are_remembered_for_a_while() -> None:
    recent = RecentIds()
    forgotten = [each for number in range(3 * MAX_RECENT_IDS) for each in recent.add(number, b"%d" % number)]
    assert forgotten == [b"%d" % number for number in range(2 * MAX_RECENT_IDS)]
    assert len(recent.add(3 * MAX_RECENT_IDS + RECENT_SPAN_US, b"late")) == MAX_RECENT_IDS


@pytest.mark.parametrize("is_old_alive", [True, False])
def test_an_id_whose_client_left_the_old_process_is_not_sent_by_the_new_one(
    tmp_path: Path, is_old_alive: bool
) -> None:
    async def work() -> None:
        async with run_program(works, tmp_path) as running:
            given = json.loads(running.config.read_text())
            path = tmp_path / "second.json"
            path.write_text(json.dumps({**given, "listen": f"{HOST}:{running.port}"}))
            leaving = await running.client()
            leaving.send(request("lodge", Request_Id=ID))
            await until(lambda: len(running.server.received) == 1)
            leaving.close()
            second = await start_process(path)
            assert second.stderr is not None
            assert b"serves on" in await soon(second.stderr.readline())
            if not is_old_alive:
                running.process.terminate()
                await soon(running.process.wait())
                await asyncio.sleep(0.5)  # the new process has noticed
            for _ in range(12):  # the kernel distributes them to the processes
                again = await running.client()
                assert (await again.exchange("lodge", Request_Id=ID)).status == 409
                again.close()
            assert len(running.server.received) == 1
            second.kill()
            await second.wait()

    run_async(work)
