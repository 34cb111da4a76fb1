"""A bound on the time that another machine takes, in which this process's own lateness does not count.

A dial with a log-in takes several rounds of the event loop.  Where the process is short of CPU, a round takes
tens of milliseconds, and a plain timeout would take that for the other side's silence.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from micadeck.network.interfaces import Network

_STEPS = 25  # in which the time is looked at; on an event loop that is in time, each is one round
_MOST_COUNTED = 1.5  # of a step, however long it took to come round

T = TypeVar("T")


async def within_own_time(network: Network, seconds: float, work: Coroutine[Any, Any, T]) -> T:
    """What the work gives; raise TimeoutError, the work cancelled, after so much time of a loop that runs.

    The wall-clock time has no bound of its own: whoever waits has one.
    """
    task = network.spawn(work)
    step_s = seconds / _STEPS
    left_s = seconds
    try:
        while left_s > 0.0:
            began = network.time()
            done, _ = await asyncio.wait((task,), timeout=step_s)
            if done:
                return task.result()
            left_s -= min(network.time() - began, step_s * _MOST_COUNTED)
    finally:
        if not task.done():
            task.cancel()
            await asyncio.wait((task,))
            if not task.cancelled():
                task.exception()  # it is nobody's: the time was over, or nobody waits any more
    raise TimeoutError
