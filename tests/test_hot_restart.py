"""Two processes of one sidecar: they see each other, share the limits, and survive each other's end."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from loopback import (
    HOST,
    OK,
    Client,
    ReceivedRequest,
    async_test,
    request,
    run_async,
    run_harness,
    soon,
    until,
)
from test_program import run_program, start_process

from micadeck.operations import HotRestart, RequestIdRegistry, divide_limit
from micadeck.runtime import _MIN_DESCRIPTORS, _RESERVED_DESCRIPTORS

ROOT = Path(__file__).parent.parent
_OTHER = """
import sys
from micadeck.operations import HotRestart
beside = HotRestart(sys.argv[1], sys.argv[2])
beside.register()
print("there", flush=True)
sys.stdin.read()
beside.unregister()
"""


@contextmanager
def other(folder: Path, name: str = "n0") -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, "-c", _OTHER, str(folder), name],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    assert process.stdout.readline() == "there\n"
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def test_a_process_sees_another_of_its_name_and_its_end_however_it_ended(tmp_path: Path) -> None:
    beside = HotRestart(str(tmp_path), "n0")
    beside.register()
    assert beside.sibling_count == 0 and not beside.refresh()
    with other(tmp_path) as second, other(tmp_path, "n1"):
        assert beside.refresh() and beside.sibling_count == 1
        assert not beside.refresh()
        second.kill()
        second.wait()
        assert beside.refresh() and beside.sibling_count == 0
    with other(tmp_path) as third:
        assert beside.refresh() and beside.sibling_count == 1
        third.communicate()  # it ends in order
        assert beside.refresh() and beside.sibling_count == 0
    beside.unregister()
    assert [each.name for each in tmp_path.glob("micadeck-n0-*")] == []


def test_a_dead_processs_file_and_nonsense_count_for_nothing(tmp_path: Path) -> None:
    (tmp_path / "micadeck-n0-1").write_bytes(b"cut o")
    (tmp_path / "micadeck-n0-2").mkdir()
    beside = HotRestart(str(tmp_path), "n0")
    beside.register()
    assert beside.sibling_count == 0
    beside.unregister()


def test_without_a_folder_nothing_is_said_and_nobody_is_seen(tmp_path: Path) -> None:
    for folder in (None, "", str(tmp_path / "not there")):
        beside = HotRestart(folder, "n0")
        beside.register()
        assert beside.sibling_count == 0 and not beside.refresh()
        beside.unregister()


def test_a_folder_that_vanishes_ends_nothing(tmp_path: Path) -> None:
    folder = tmp_path / "common"
    folder.mkdir()
    beside = HotRestart(str(folder), "n0")
    beside.register()
    for each in folder.iterdir():
        each.unlink()
    folder.rmdir()
    assert not beside.refresh()
    beside.unregister()


@async_test
async def test_the_limits_hold_over_both_and_come_back_with_the_end_of_one(tmp_path: Path) -> None:
    limits = {"memory_mb": 64, "sockets": 256}
    async with run_harness(OK, overrides={"operator": f"{HOST}:0", "limits": limits}) as harness:
        sidecar = harness.sidecar
        runtime = sidecar._runtime
        whole = runtime.max_client_connections + runtime.upstream.max_connections
        assert whole == 256 - _RESERVED_DESCRIPTORS
        resting = [await harness.client() for _ in range(60)]
        for each in resting:
            assert (await each.exchange()).status == 200
        beside = sidecar._hot_restart = HotRestart(str(tmp_path), "n0")
        beside.register()
        with other(tmp_path):
            assert beside.refresh()
            sidecar._share_limits()
            assert (
                runtime.max_client_connections + runtime.upstream.max_connections
                == 256 // 2 - _RESERVED_DESCRIPTORS
            )
            assert runtime.buffer_budget.max_bytes == 32 * (1 << 20) // 8
            await until(lambda: len(sidecar.listener.connections) <= runtime.max_client_connections)
        assert beside.refresh()
        sidecar._share_limits()
        assert runtime.max_client_connections + runtime.upstream.max_connections == whole


def test_a_limit_is_shared_in_whole_numbers() -> None:
    assert [divide_limit(385, siblings) for siblings in (0, 1, 2)] == [385, 192, 128]
    assert _MIN_DESCRIPTORS > 0


@async_test
async def test_what_waits_in_the_kernel_is_taken_before_a_listener_closes() -> None:
    # Guards against requests turned back unheard: a close resets what has connected and was not accepted.
    async with run_harness(OK) as harness:
        frontend = harness.sidecar.listener
        waiting = [
            socket.create_connection((HOST, frontend.port)) for _ in range(50)
        ]  # the loop stands still
        frontend.stop_listening()
        for each in waiting:
            each.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=each)
            client = Client(reader, writer)
            assert (await client.exchange("lodge")).status == 200
            client.close()


# Which requests are open


def tables(folder: Path) -> tuple[RequestIdRegistry, RequestIdRegistry, Path]:
    """Two processes' tables, and the second's file."""
    paths = [folder / "one", folder / "two"]
    fds = [os.open(each, os.O_RDWR | os.O_CREAT) for each in paths]
    return RequestIdRegistry(fds[0], paths[1:]), RequestIdRegistry(fds[1], paths[:1]), paths[1]


def test_an_id_is_in_use_for_both_processes_until_it_is_over(tmp_path: Path) -> None:
    one, two, _ = tables(tmp_path)
    drawn = random.Random(7)
    open_ids: set[bytes] = set()
    for _ in range(3_000):
        ident = b"%016x" % drawn.randrange(600)
        holder = one if drawn.random() < 0.5 else two
        if ident in open_ids:
            assert ident in one and ident in two
            one.discard(ident)
            two.discard(ident)
            open_ids.discard(ident)
        else:
            assert ident not in one and ident not in two
            holder.add(ident)
            open_ids.add(ident)
    assert len(one) + len(two) == len(open_ids) > 100
    two.close(keep_file=False)
    assert all((ident in one) == (ident in set(one)) for ident in open_ids)


def test_a_table_that_is_cut_off_or_of_another_form_holds_nothing_and_a_full_one_is_no_error(
    tmp_path: Path,
) -> None:
    one, two, path = tables(tmp_path)
    many = [b"%016x" % each for each in range(20_000)]
    for ident in many:
        two.add(ident)
    shown = sum(ident in one for ident in many)
    assert 8_000 < shown <= 8 * 1024 and all(ident in two for ident in many)
    whole = path.read_bytes()
    for length in (0, 3, 17, len(whole) // 2):
        path.write_bytes(whole[:length])
        assert sum(ident in one for ident in many) <= length / 8
    path.write_bytes(b"micadeck ids 2\n\0" + whole[16:])
    assert not any(ident in one for ident in many)
    path.unlink()
    assert many[0] not in one


def test_an_id_that_is_open_in_the_old_process_is_in_use_in_the_new_one(tmp_path: Path) -> None:
    async def work() -> None:
        answered = asyncio.Event()

        async def slow(received: ReceivedRequest) -> bytes:
            await answered.wait()
            return OK

        async with run_program(slow, tmp_path) as running:
            given = json.loads(running.config.read_text())
            path = tmp_path / "second.json"
            path.write_text(json.dumps({**given, "listen": f"{HOST}:{running.port}"}))
            first = await running.client()
            first.send(request("lodge", Request_Id="00000000000000aa", timeout="4.0"))
            await until(lambda: len(running.server.received) == 1)
            second = await start_process(path)
            assert second.stderr is not None
            assert b"serves on" in await soon(second.stderr.readline())
            for _ in range(24):  # the kernel gives some to each
                again = await running.client()
                assert (await again.exchange("lodge", Request_Id="00000000000000aa")).status == 409
                again.close()
            answered.set()
            assert (await first.answer()).status == 200
            after = await running.client()
            assert (await after.exchange("lodge", Request_Id="00000000000000aa")).status == 200
            assert len(running.server.received) == 2
            second.kill()
            await second.wait()

    run_async(work)
