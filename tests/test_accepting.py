"""`accept` fails for a moment, in each way of its manual page, while a listener lives and as it closes."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import random
import socket
import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import pytest
from loopback import HOST, OK, raw_client, read_rest, request, run_async, run_harness, soon, until

CLIENTS = 20
# accept(2): those that pass, of the network and of this machine.
PASSING = [
    errno.ECONNABORTED, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO,
    errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH,
    errno.EOPNOTSUPP, errno.ENETUNREACH,
]  # fmt: skip


@contextlib.contextmanager
def failing_accept(codes: dict[int, int]) -> Iterator[list[float]]:
    """Fail the calls with these numbers; give when each call was made."""
    real = socket.socket.accept
    calls: list[float] = []

    def accept(self: socket.socket) -> tuple[socket.socket, Any]:
        calls.append(time.monotonic())
        code = codes.get(len(calls))
        if code is not None:
            raise OSError(code, os.strerror(code))
        return real(self)

    with mock.patch.object(socket.socket, "accept", accept):
        yield calls


@pytest.mark.parametrize("code", PASSING, ids=errno.errorcode.get)
@pytest.mark.parametrize("at", [1, 5])
def test_who_waits_in_the_kernel_as_the_listener_closes_is_heard_though_accept_fails(
    code: int, at: int
) -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            with failing_accept({at: code}), contextlib.ExitStack() as held:
                clients = [held.enter_context(raw_client(harness)) for _ in range(CLIENTS)]
                for client in clients:
                    client.sendall(request("lodge"))
                harness.sidecar.listener.is_draining = True
                harness.sidecar.listener.stop_listening()
                for client in clients:
                    assert (await read_rest(client)).startswith(b"HTTP/1.1 200")

    run_async(work)


def test_no_descriptor_is_left_for_a_while_and_accepting_does_not_spin() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            for_long = dict.fromkeys(range(1, 10_000), errno.EMFILE)
            with failing_accept(for_long) as calls:
                with raw_client(harness) as client:
                    client.sendall(request())
                    began = time.process_time()
                    await asyncio.sleep(0.5)
                    spent_s = time.process_time() - began
                    for_long.clear()
                    client.setblocking(False)
                    loop = asyncio.get_running_loop()
                    assert (await soon(loop.sock_recv(client, 4_096))).startswith(b"HTTP/1.1 200")
            assert len(calls) < 100 and spent_s < 0.25, (len(calls), spent_s)

    run_async(work)


@pytest.mark.parametrize("seed", range(4))
def test_accept_fails_now_and_then_and_everybody_is_heard(seed: int) -> None:
    async def work() -> None:
        drawn = random.Random(seed)
        codes = {number: drawn.choice(PASSING) for number in range(1, 400) if drawn.random() < 0.4}
        async with run_harness(OK) as harness:
            with failing_accept(codes):
                for _ in range(CLIENTS):
                    client = await harness.client()
                    assert (await client.exchange()).status == 200
            await until(lambda: len(harness.received) == CLIENTS)

    run_async(work)


def test_a_listener_that_closes_gives_its_port_back() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            port = harness.sidecar.listener.port
            harness.sidecar.listener.stop_listening()
            with pytest.raises(OSError):
                socket.create_connection((HOST, port), timeout=1.0)

    run_async(work)
