"""What the system does not tell of a connection, and what fails in a callback, leaves nobody waiting."""

from __future__ import annotations

import asyncio
import errno
import time

import pytest
from loopback import OK, async_test, request, run_harness, soon, until

from micadeck.http import listener, upstream
from micadeck.network import stream_socket


class Failing:
    """Fails so many times, and counts."""

    def __init__(self, times: int) -> None:
        self.times = times

    def __call__(self) -> None:
        if self.times:
            self.times -= 1
            raise OSError(errno.ENOBUFS, "drawn")


@pytest.mark.parametrize("times", [1, 2, 3])
@async_test
async def test_a_socket_that_is_not_told_at_once_is_asked_for_again(
    times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, failing = stream_socket.socket_of, Failing(times)

    def socket_of(transport: asyncio.BaseTransport) -> object:
        failing()
        return real(transport)

    async with run_harness(OK) as harness:
        monkeypatch.setattr(stream_socket, "socket_of", socket_of)
        for _ in range(3):
            assert (await harness.exchange("lodge")).status == 200
        assert failing.times == 0


@async_test
async def test_a_connection_whose_socket_is_never_told_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
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
async def test_a_server_whose_socket_is_never_told_fails_the_dial_and_nothing_waits(
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
async def test_a_defect_as_a_request_is_read_is_one_answer_and_one_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def broken(*given: object) -> None:
        raise ZeroDivisionError("drawn")

    async with run_harness(OK) as harness:
        client = await harness.client()
        monkeypatch.setattr(listener, "read_request", broken)
        client.send(request("lodge"))
        assert (await client.answer()).status == 500
        monkeypatch.undo()
        assert (await harness.exchange("lodge")).status == 200
        told = next(each for each in harness.log if "ZeroDivisionError" in each)
        assert told.startswith("internal error: ")


@async_test
async def test_a_defect_in_a_dial_ends_its_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*given: object, **named: object) -> None:
        raise ZeroDivisionError("drawn")

    async with run_harness(OK) as harness:
        client = await harness.client()
        monkeypatch.setattr(upstream, "ClientConnection", broken)
        began = time.monotonic()
        answer = await client.exchange("lodge", timeout="1.5")
        assert answer.status in (502, 503) and time.monotonic() - began < 1.0
        await until(lambda: harness.sidecar.open_requests == 0)
