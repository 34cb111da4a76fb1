"""Hot restart: two processes detect each other and share limits."""

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
_OTHER_PROCESS = """
import sys
from micadeck.operations import HotRestart
hot_restart = HotRestart(sys.argv[1], sys.argv[2])
hot_restart.register()
print("there", flush=True)
sys.stdin.read()
hot_restart.unregister()
"""


@contextmanager
def other_process(folder: Path, name: str = "n0") -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, "-c", _OTHER_PROCESS, str(folder), name],
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


def test_a_process_detects_another_of_its_name_and_its_end(tmp_path: Path) -> None:
    hot_restart = HotRestart(str(tmp_path), "n0")
    hot_restart.register()
    assert hot_restart.sibling_count == 0 and not hot_restart.refresh()
    with other_process(tmp_path) as second, other_process(tmp_path, "n1"):
        assert hot_restart.refresh() and hot_restart.sibling_count == 1
        assert not hot_restart.refresh()
        second.kill()
        second.wait()
        assert hot_restart.refresh() and hot_restart.sibling_count == 0
    with other_process(tmp_path) as third:
        assert hot_restart.refresh() and hot_restart.sibling_count == 1
        third.communicate()  # closes its input, so that it unregisters and exits
        assert hot_restart.refresh() and hot_restart.sibling_count == 0
    hot_restart.unregister()
    assert [each.name for each in tmp_path.glob("micadeck-n0-*")] == []


def test_stale_and_malformed_files_are_ignored(tmp_path: Path) -> None:
    (tmp_path / "micadeck-n0-1").write_bytes(b"cut o")
    (tmp_path / "micadeck-n0-2").mkdir()
    hot_restart = HotRestart(str(tmp_path), "n0")
    hot_restart.register()
    assert hot_restart.sibling_count == 0
    hot_restart.unregister()


def test_without_a_folder_no_sibling_is_seen(tmp_path: Path) -> None:
    for folder in (None, "", str(tmp_path / "not there")):
        hot_restart = HotRestart(folder, "n0")
        hot_restart.register()
        assert hot_restart.sibling_count == 0 and not hot_restart.refresh()
        hot_restart.unregister()


def test_a_removed_folder_is_not_an_error(tmp_path: Path) -> None:
    folder = tmp_path / "common"
    folder.mkdir()
    hot_restart = HotRestart(str(folder), "n0")
    hot_restart.register()
    for each in folder.iterdir():
        each.unlink()
    folder.rmdir()
    assert not hot_restart.refresh()
    hot_restart.unregister()


@async_test
async def test_limits_are_shared_and_restored_when_the_other_process_ends(tmp_path: Path) -> None:
    limits = {"memory_mb": 64, "sockets": 256}
    async with run_harness(OK, overrides={"operator": f"{HOST}:0", "limits": limits}) as harness:
        sidecar = harness.sidecar
        runtime = sidecar._runtime
        full_limit = runtime.max_client_connections + runtime.upstream.max_connections
        assert full_limit == 256 - _RESERVED_DESCRIPTORS
        idle = [await harness.client() for _ in range(60)]
        for each in idle:
            assert (await each.exchange()).status == 200
        hot_restart = sidecar._hot_restart = HotRestart(str(tmp_path), "n0")
        hot_restart.register()
        with other_process(tmp_path):
            assert hot_restart.refresh()
            sidecar._share_limits()
            assert (
                runtime.max_client_connections + runtime.upstream.max_connections
                == 256 // 2 - _RESERVED_DESCRIPTORS
            )
            assert runtime.buffer_budget.max_bytes == 32 * (1 << 20) // 8
            await until(lambda: len(sidecar.listener.connections) <= runtime.max_client_connections)
        assert hot_restart.refresh()
        sidecar._share_limits()
        assert runtime.max_client_connections + runtime.upstream.max_connections == full_limit


def test_a_limit_is_divided_into_integers() -> None:
    assert [divide_limit(385, siblings) for siblings in (0, 1, 2)] == [385, 192, 128]
    assert _MIN_DESCRIPTORS > 0


@async_test
async def test_queued_connections_are_accepted_before_a_listener_closes() -> None:
    # Guards against lost requests: closing a listener resets connections that were not accepted yet.
    async with run_harness(OK) as harness:
        frontend = harness.sidecar.listener
        waiting = [socket.create_connection((HOST, frontend.port)) for _ in range(50)]  # not accepted yet
        frontend.stop_listening()
        for each in waiting:
            each.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=each)
            client = Client(reader, writer)
            assert (await client.exchange("lodge")).status == 200
            client.close()


# Ids of open requests


def registries(folder: Path) -> tuple[RequestIdRegistry, RequestIdRegistry, Path]:
    """Return the registries of two processes, and the file of the second."""
    paths = [folder / "one", folder / "two"]
    fds = [os.open(each, os.O_RDWR | os.O_CREAT) for each in paths]
    return RequestIdRegistry(fds[0], paths[1:]), RequestIdRegistry(fds[1], paths[:1]), paths[1]


def test_an_id_is_in_use_in_both_processes_until_it_is_discarded(tmp_path: Path) -> None:
    one, two, _ = registries(tmp_path)
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


def test_a_truncated_or_foreign_registry_is_empty_and_a_full_one_is_no_error(
    tmp_path: Path,
) -> None:
    one, two, path = registries(tmp_path)
    many = [b"%016x" % each for each in range(20_000)]
    for ident in many:
        two.add(ident)
    shown = sum(ident in one for ident in many)
    assert 8_000 < shown <= 8 * 1024 and all(ident in two for ident in many)
    content = path.read_bytes()
    for length in (0, 3, 17, len(content) // 2):
        path.write_bytes(content[:length])
        assert sum(ident in one for ident in many) <= length / 8
    path.write_bytes(b"micadeck ids 2\n\0" + content[16:])
    assert not any(ident in one for ident in many)
    path.unlink()
    assert many[0] not in one


def test_an_id_open_in_the_old_process_is_in_use_in_the_new_one(tmp_path: Path) -> None:
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
            for _ in range(24):  # the kernel distributes them to both processes
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
