"""Timeouts for another machine's work in which this process's own scheduling delay does not count.

A dial with a login takes several iterations of the event loop.  Where the process is short of CPU, an
iteration takes tens of milliseconds, which a plain timeout would attribute to the other side.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from micadeck.network.interfaces import Network

_STEPS = 25  # in which the time is measured; each is one iteration of an event loop that is on time
_MAX_COUNTED_STEPS = 1.5  # counted for a step, however long it took

T = TypeVar("T")


async def wait_excluding_lag(network: Network, seconds: float, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of the work, with a timeout that pauses while the event loop is late.

    The elapsed time has no bound of its own; the caller has one.

    Args:
        network: The network on which the work runs.
        seconds: The timeout, measured on an event loop that is on time.
        work: What to run.

    Raises:
        TimeoutError: The time is up; the work was cancelled.
    """
    task = network.spawn(work)
    step_s = seconds / _STEPS
    left_s = seconds
    try:
        while left_s > 0.0:
            step_started_at = network.time()
            done, _ = await asyncio.wait((task,), timeout=step_s)
            if done:
                return task.result()
            left_s -= min(network.time() - step_started_at, step_s * _MAX_COUNTED_STEPS)
    finally:
        await _cancel(task)
    raise TimeoutError


async def _cancel(task: asyncio.Task[T]) -> None:
    """Cancel a task that has not ended, and wait for its end."""
    if task.done():
        return
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()  # marks it as retrieved: nobody waits for it any more
