"""A second event loop on a thread of its own, for what must not wait until the first has come round."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import TypeVar

import uvloop

from micadeck.network.loop import LoopNetwork

_ANSWER_WITHIN_S = 5.0  # the thread has little to do; one that takes longer hangs

T = TypeVar("T")


class ThreadLoop:
    """Runs until `stop`; a process that ends without it does not wait for it."""

    def __init__(self, name: str) -> None:
        self._up: Future[None] = Future()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stopping: asyncio.Event | None = None
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()
        self._up.result(_ANSWER_WITHIN_S)

    def run(self, work: Callable[[], T]) -> T:
        """Have the thread do this, and wait for what comes of it; raises what it raises."""
        assert self._loop is not None
        done: Future[T] = Future()

        def do() -> None:
            try:
                done.set_result(work())
            except BaseException as fault:
                done.set_exception(fault)  # it is the caller's

        self._loop.call_soon_threadsafe(do)
        return done.result(_ANSWER_WITHIN_S)

    def stop(self) -> None:
        """Let the thread end; nothing is run on it any more."""
        if self._loop is not None and self._stopping is not None and self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stopping.set)
            self._thread.join(_ANSWER_WITHIN_S)

    def _run(self) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self._main())

    async def _main(self) -> None:
        self.network = LoopNetwork()
        self._loop, self._stopping = asyncio.get_running_loop(), asyncio.Event()
        self._up.set_result(None)
        await self._stopping.wait()
        await asyncio.sleep(0)  # what was closed last ends in a later round of the loop
