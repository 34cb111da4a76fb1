"""Timeouts for remote work that exclude the scheduling delay of this process.

A dial with a login takes several iterations of the event loop.  When the process is short of CPU, an
iteration takes tens of milliseconds, which a plain timeout would attribute to the remote side.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from micadeck.network.interfaces import Network

_STEPS = 25  # per timeout; a step takes one iteration of an event loop that is not delayed
_MAX_COUNTED_STEPS = 1.5  # a step counts at most as long as this many undelayed steps

T = TypeVar("T")


async def wait_excluding_lag(network: Network, seconds: float, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of the work, with a timeout that pauses while the event loop is delayed.

    The elapsed time is not bounded here, but by the caller.

    Args:
        network: The network on which the work runs.
        seconds: The timeout, excluding delays of the event loop.
        work: The coroutine to run.

    Raises:
        TimeoutError: The timeout has expired; the work was cancelled.
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
    """Cancel a task unless it has ended, and wait for its end."""
    if task.done():
        return
    task.cancel()
    await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()  # marks the exception as retrieved, since nothing awaits the task
