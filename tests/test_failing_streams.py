"""What the system does not tell of a connection, and what fails in a callback, leaves nobody waiting."""

from __future__ import annotations

import asyncio
import errno

import pytest
from loopback import OK, played, stage

from micadeck.network import loop


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
    real, failing = loop.socket_of, Failing(times)

    def socket_of(transport: asyncio.BaseTransport) -> object:
        failing()
        return real(transport)

    async with stage(OK) as scene:
        monkeypatch.setattr(loop, "socket_of", socket_of)
        for _ in range(3):
            assert (await scene.ask("lodge")).status == 200
        assert failing.times == 0
