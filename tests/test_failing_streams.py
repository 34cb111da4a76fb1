"""What the system does not tell of a connection, and what fails in a callback, leaves nobody waiting."""

from __future__ import annotations

import asyncio
import errno
import time

import pytest
from loopback import OK, played, request, soon, stage, until

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
@played
async def test_a_socket_that_is_not_told_at_once_is_asked_for_again(
    times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, failing = stream_socket.socket_of, Failing(times)

    def socket_of(transport: asyncio.BaseTransport) -> object:
        failing()
        return real(transport)

    async with stage(OK) as scene:
        monkeypatch.setattr(stream_socket, "socket_of", socket_of)
        for _ in range(3):
            assert (await scene.ask("lodge")).status == 200
        assert failing.times == 0


@played
async def test_a_connection_whose_socket_is_never_told_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    def never(transport: asyncio.BaseTransport) -> object:
        raise OSError(errno.ENOBUFS, "drawn")

    async with stage(OK) as scene:
        monkeypatch.setattr(stream_socket, "socket_of", never)
        client = await scene.client()
        client.send(request("lodge"))
        began = time.monotonic()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await soon(client.reader.readexactly(1))
        assert time.monotonic() - began < 1.0
        monkeypatch.undo()
        assert (await scene.ask("lodge")).status == 200
        assert len(scene.sidecar.listener.connections) <= 1


@played
async def test_a_server_whose_socket_is_never_told_fails_the_dial_and_nothing_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with stage(OK) as scene:
        client = await scene.client()
        await until(lambda: len(scene.sidecar.listener.connections) == 1)

        def never(transport: asyncio.BaseTransport) -> object:
            raise OSError(errno.ENOBUFS, "drawn")

        monkeypatch.setattr(stream_socket, "socket_of", never)
        began = time.monotonic()
        answer = await client.ask("lodge", timeout="1.5")
        assert answer.status in (502, 503, 504) and time.monotonic() - began < 1.8
        await until(lambda: scene.sidecar.open_requests == 0)


@played
async def test_a_defect_as_a_request_is_read_is_one_answer_and_one_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def broken(*given: object) -> None:
        raise ZeroDivisionError("drawn")

    async with stage(OK) as scene:
        client = await scene.client()
        monkeypatch.setattr(listener, "read_request", broken)
        client.send(request("lodge"))
        assert (await client.answer()).status == 500
        monkeypatch.undo()
        assert (await scene.ask("lodge")).status == 200
        told = next(each for each in scene.log if "ZeroDivisionError" in each)
        assert told.startswith("internal error: ")


@played
async def test_a_defect_in_a_dial_ends_its_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*given: object, **named: object) -> None:
        raise ZeroDivisionError("drawn")

    async with stage(OK) as scene:
        client = await scene.client()
        monkeypatch.setattr(upstream, "ClientConnection", broken)
        began = time.monotonic()
        answer = await client.ask("lodge", timeout="1.5")
        assert answer.status in (502, 503) and time.monotonic() - began < 1.0
        await until(lambda: scene.sidecar.open_requests == 0)
