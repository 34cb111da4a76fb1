"""Transient errors of `accept` while a listener is open and as it closes."""

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
# Transient errors that accept(2) names, of the network and of this machine.
TRANSIENT = [
    errno.ECONNABORTED, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO,
    errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH,
    errno.EOPNOTSUPP, errno.ENETUNREACH,
]  # fmt: skip


@contextlib.contextmanager
def failing_accept(codes: dict[int, int]) -> Iterator[list[float]]:
    """Fail the calls with these numbers; yield the times of all calls."""
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


@pytest.mark.parametrize("code", TRANSIENT, ids=errno.errorcode.get)
@pytest.mark.parametrize("at", [1, 5])
def test_queued_connections_are_served_as_the_listener_closes_though_accept_fails(code: int, at: int) -> None:
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


def test_accept_does_not_busy_loop_without_descriptors() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            failing = dict.fromkeys(range(1, 10_000), errno.EMFILE)
            with failing_accept(failing) as calls:
                with raw_client(harness) as client:
                    client.sendall(request())
                    began = time.process_time()
                    await asyncio.sleep(0.5)
                    spent_s = time.process_time() - began
                    failing.clear()
                    client.setblocking(False)
                    loop = asyncio.get_running_loop()
                    assert (await soon(loop.sock_recv(client, 4_096))).startswith(b"HTTP/1.1 200")
            assert len(calls) < 100 and spent_s < 0.25, (len(calls), spent_s)

    run_async(work)


@pytest.mark.parametrize("seed", range(4))
def test_all_clients_are_served_though_accept_fails_now_and_then(seed: int) -> None:
    async def work() -> None:
        drawn = random.Random(seed)
        codes = {number: drawn.choice(TRANSIENT) for number in range(1, 400) if drawn.random() < 0.4}
        async with run_harness(OK) as harness:
            with failing_accept(codes):
                for _ in range(CLIENTS):
                    client = await harness.client()
                    assert (await client.exchange()).status == 200
            await until(lambda: len(harness.received) == CLIENTS)

    run_async(work)


def test_a_closed_listener_frees_its_port() -> None:
    async def work() -> None:
        async with run_harness(OK) as harness:
            port = harness.sidecar.listener.port
            harness.sidecar.listener.stop_listening()
            with pytest.raises(OSError):
                socket.create_connection((HOST, port), timeout=1.0)

    run_async(work)
