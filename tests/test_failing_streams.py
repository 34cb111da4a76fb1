"""Failing socket look-ups and exceptions in callbacks leave no client waiting."""

from __future__ import annotations

import asyncio
import errno
import time
from collections.abc import Callable
from typing import Any

import pytest
from loopback import OK, Harness, async_test, request, run_harness, soon, until
from mysql_stage import ROWS, execute, mysql_environment

from micadeck.http import listener, upstream
from micadeck.mysql.server_connection import ServerConnection
from micadeck.network import Address, LoopNetwork, parse_address, stream_socket

LOOP_DIAL = LoopNetwork.dial


class Failing:
    """Raises an error a given number of times."""

    def __init__(self, times: int) -> None:
        self.times = times

    def __call__(self) -> None:
        if self.times:
            self.times -= 1
            raise OSError(errno.ENOBUFS, "drawn")


@pytest.mark.parametrize("times", [1, 2, 3])
@async_test
async def test_a_failed_socket_lookup_is_retried(times: int, monkeypatch: pytest.MonkeyPatch) -> None:
    real, failing = stream_socket.socket_of, Failing(times)

    def socket_of(transport: asyncio.BaseTransport) -> object:
        failing()
        return real(transport)

    async with run_harness(OK) as harness:
        monkeypatch.setattr(stream_socket, "socket_of", socket_of)
        for _ in range(3):
            assert (await harness.exchange("lodge")).status == 200
        assert failing.times == 0


def fail_dials_to(harness: Harness, failing: Failing, monkeypatch: pytest.MonkeyPatch) -> None:
    """Make dials to the first server fail; others, as to discovery, do not."""

    async def dial(self: LoopNetwork, make: Callable[[], Any], address: Address) -> Any:
        if address == parse_address(harness.servers[0].address):
            failing()
        return await LOOP_DIAL(self, make, address)

    monkeypatch.setattr(LoopNetwork, "dial", dial)


@pytest.mark.parametrize("times", [3, 4])
@async_test
async def test_a_request_outlasts_dials_that_fail_for_lack_of_a_resource(
    times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a 503 when as many dials as a request may have attempts fail within a millisecond.
    failing = Failing(times)
    async with run_harness(OK, bounds={"sendCap": 1}) as harness:
        fail_dials_to(harness, failing, monkeypatch)
        assert (await harness.exchange("lodge")).status == 200
        assert failing.times == 0 and len(harness.servers[0].received) == 1


@async_test
async def test_a_statement_outlasts_dials_that_fail_for_lack_of_a_resource(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    failing, real = Failing(4), ServerConnection.open

    async def dial(network: LoopNetwork, make: Callable[[], Any], address: Address) -> Any:
        failing()
        return await LOOP_DIAL(network, make, address)

    async def open_connection(*arguments: Any) -> ServerConnection:
        monkeypatch.setattr(LoopNetwork, "dial", dial)  # not for discovery
        try:
            return await real(*arguments)
        finally:
            monkeypatch.undo()

    async with mysql_environment(1) as env:
        client = await env.connect()
        monkeypatch.setattr(ServerConnection, "open", open_connection)
        assert await execute(client, "SELECT COUNT(*) FROM tariff") == [(len(ROWS),)]
        assert failing.times == 0


@async_test
async def test_a_request_is_refused_soon_while_no_dial_succeeds(monkeypatch: pytest.MonkeyPatch) -> None:
    failing = Failing(1_000)
    async with run_harness(OK) as harness:
        fail_dials_to(harness, failing, monkeypatch)
        began = time.monotonic()
        assert (await harness.exchange("lodge")).status == 503  # nothing was sent
        assert time.monotonic() - began < 1.0 and failing.times > 900
        assert not harness.servers[0].received


@async_test
async def test_a_client_connection_without_a_socket_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    def never(transport: asyncio.BaseTransport) -> object:
        raise OSError(errno.ENOBUFS, "drawn")

    async with run_harness(OK) as harness:
        monkeypatch.setattr(stream_socket, "socket_of", never)
        client = await harness.client()
        client.send(request("lodge"))
        began = time.monotonic()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await soon(client.reader.readexactly(1))
        assert time.monotonic() - began < 1.0
        monkeypatch.undo()
        assert (await harness.exchange("lodge")).status == 200
        assert len(harness.sidecar.listener.connections) <= 1


@async_test
async def test_a_server_connection_without_a_socket_fails_the_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_harness(OK) as harness:
        client = await harness.client()
        await until(lambda: len(harness.sidecar.listener.connections) == 1)

        def never(transport: asyncio.BaseTransport) -> object:
            raise OSError(errno.ENOBUFS, "drawn")

        monkeypatch.setattr(stream_socket, "socket_of", never)
        began = time.monotonic()
        answer = await client.exchange("lodge", timeout="1.5")
        assert answer.status in (502, 503, 504) and time.monotonic() - began < 1.8
        await until(lambda: harness.sidecar.open_requests == 0)


@async_test
async def test_an_exception_while_reading_a_request_is_a_500_and_a_log_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def broken(*args: object) -> None:
        raise ZeroDivisionError("drawn")

    async with run_harness(OK) as harness:
        client = await harness.client()
        monkeypatch.setattr(listener, "read_request", broken)
        client.send(request("lodge"))
        assert (await client.answer()).status == 500
        monkeypatch.undo()
        assert (await harness.exchange("lodge")).status == 200
        line = next(each for each in harness.log if "ZeroDivisionError" in each)
        assert line.startswith("internal error: ")


@async_test
async def test_an_exception_while_connecting_ends_the_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*args: object, **kwargs: object) -> None:
        raise ZeroDivisionError("drawn")

    async with run_harness(OK) as harness:
        client = await harness.client()
        monkeypatch.setattr(upstream, "ClientConnection", broken)
        began = time.monotonic()
        answer = await client.exchange("lodge", timeout="1.5")
        assert answer.status in (502, 503) and time.monotonic() - began < 1.0
        await until(lambda: harness.sidecar.open_requests == 0)
