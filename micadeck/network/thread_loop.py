"""An event loop on a separate thread, for work that must not wait for the main one."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import TypeVar

import uvloop

from micadeck.network.interfaces import Network

_RESULT_TIMEOUT_S = 5.0  # the thread has little to do; if it takes longer, it hangs

T = TypeVar("T")


class ThreadLoop:
    """Owns a thread with an event loop, until `stop`.  The thread does not keep the process alive."""

    network: Network

    def __init__(self, name: str, make_network: Callable[[], Network]) -> None:
        """Start the thread and wait until its event loop runs.

        Args:
            name: The name of the thread.
            make_network: Creates the thread's network; called on its running event loop.
        """
        self._make_network = make_network
        self._started: Future[None] = Future()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stopping: asyncio.Event | None = None
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._thread.start()
        self._started.result(_RESULT_TIMEOUT_S)

    def run(self, work: Callable[[], T]) -> T:
        """Call `work` on the thread and return its result, or raise its exception."""
        assert self._loop is not None
        result: Future[T] = Future()

        def call() -> None:
            try:
                result.set_result(work())
            except BaseException as error:  # re-raised in the caller
                result.set_exception(error)

        self._loop.call_soon_threadsafe(call)
        return result.result(_RESULT_TIMEOUT_S)

    def stop(self) -> None:
        """End the event loop and wait for the thread."""
        if self._loop is not None and self._stopping is not None and self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._stopping.set)
            self._thread.join(_RESULT_TIMEOUT_S)

    def _run(self) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self._main())

    async def _main(self) -> None:
        self.network = self._make_network()
        self._loop, self._stopping = asyncio.get_running_loop(), asyncio.Event()
        self._started.set_result(None)
        await self._stopping.wait()
        await asyncio.sleep(0)  # connections closed just now need one more iteration
