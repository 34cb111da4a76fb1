"""An event loop on a virtual clock, which advances only when no callback is ready.

It has no sockets.  Timers due at the same instant run in an order drawn from the seed, which exposes races
between them; `call_soon` keeps its order, as in asyncio.  Callbacks belong to hosts: a host with a CPU cost
runs its callbacks one after another, while the other hosts' time goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from typing import Any, TypeVar, TypeVarTuple

T = TypeVar("T")
Ts = TypeVarTuple("Ts")

_CURRENT_HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar("host", default=None)


class Host:
    """A process whose callbacks take CPU time.

    `cost_us` is the CPU time of a callback; with 0 they take no virtual time.
    """

    def __init__(self, name: str, cost_us: float = 0.0) -> None:
        self.name = name
        self.cost_us = cost_us
        self.extra_us = 0.0  # further CPU time of the running callback
        self.is_dead = False  # killed: its callbacks no longer run
        self.busy_until_us = 0.0
        self.waiting: deque[asyncio.Handle] = deque()
        self.context = contextvars.copy_context()
        self.context.run(_CURRENT_HOST.set, self)


class Exhausted(Exception):
    """The step limit was reached, or no timer is left to wait for."""


class VirtualLoop(asyncio.AbstractEventLoop):
    """Runs coroutines on virtual time, counted in whole microseconds from 0."""

    def __init__(self, seed: int, max_steps: int = 1_000_000) -> None:
        self._rng = random.Random(seed)
        self._ready: deque[tuple[asyncio.Handle, Host | None]] = deque()
        self._timers: list[tuple[int, int, int, asyncio.Handle, Host | None]] = []
        self._sequence = 0
        self._max_steps = max_steps
        self.now_us = 0
        self.steps = 0
        self.races = 0  # instants at which more than one timer was due
        self.unhandled_errors: list[str] = []  # uncaught exceptions
        self.tasks: dict[asyncio.Task[Any], Host | None] = {}  # unfinished, in order of creation
        self._is_closed = False

    # Time and calls

    def time(self) -> float:
        return self.now_us / 1e6

    def call_soon(
        self, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append((handle, _CURRENT_HOST.get() if context is None else context.get(_CURRENT_HOST)))
        return handle

    def call_soon_threadsafe(
        self, callback: Callable[[*Ts], object], *args: *Ts, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        return self.call_soon(callback, *args, context=context)  # the loop has one thread

    def call_later(
        self,
        delay: float,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        return self._schedule(self.now_us + max(_ceil_us(delay), 0), callback, args, context)

    def call_at(
        self,
        when: float,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        return self._schedule(max(_ceil_us(when), self.now_us), callback, args, context)

    def call_after_us(
        self, delay_us: int, callback: Callable[[*Ts], object], *args: *Ts, host: Host | None = None
    ) -> asyncio.TimerHandle:
        """Call later on that host; None: outside of all hosts."""
        context = host.context if host is not None else _NO_HOST
        return self._schedule(self.now_us + max(delay_us, 0), callback, args, context)

    def call_soon_on(self, host: Host, callback: Callable[[*Ts], object], *args: *Ts) -> None:
        """Call soon, on that host."""
        self._ready.append((asyncio.Handle(callback, args, self, host.context), host))

    def _schedule(
        self,
        when: int,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        context: contextvars.Context | None,
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when / 1e6, callback, args, self, context)
        host = _CURRENT_HOST.get() if context is None else context.get(_CURRENT_HOST)
        self._sequence += 1
        heapq.heappush(self._timers, (when, self._rng.getrandbits(30), self._sequence, handle, host))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass  # a cancelled timer is discarded when it is due

    # Running

    def run_until_complete(self, future: Any) -> Any:
        """Run until the future is done; raise its exception, or Exhausted if it does not end."""
        asyncio._set_running_loop(self)
        try:
            task: asyncio.Future[Any] = asyncio.ensure_future(future, loop=self)
            while not task.done():
                self._run_once()
            return task.result()
        finally:
            asyncio._set_running_loop(None)

    def _run_once(self) -> None:
        """Run the ready callbacks; if there are none, advance the clock to the next timer."""
        ready = self._ready
        if not ready:
            self._advance_clock()
        for _ in range(len(ready)):
            handle, host = ready.popleft()
            if handle.cancelled():
                continue
            if host is not None:
                if host.is_dead:
                    continue
                if host.waiting or host.busy_until_us > self.now_us:
                    if not host.waiting:
                        self.call_after_us(int(host.busy_until_us) - self.now_us, self._run_waiting, host)
                    host.waiting.append(handle)
                    continue
            self._run_handle(handle, host)

    def _run_handle(self, handle: asyncio.Handle, host: Host | None) -> None:
        self.steps += 1
        if self.steps > self._max_steps:
            raise Exhausted(f"{self.steps} callbacks, at {self.time():.6f} s")
        handle._run()
        if host is not None and (host.cost_us or host.extra_us):
            host.busy_until_us = max(host.busy_until_us, self.now_us) + host.cost_us + host.extra_us
            host.extra_us = 0.0

    def _run_waiting(self, host: Host) -> None:
        """Run a host's waiting callbacks until one of them takes CPU time."""
        waiting, host.waiting = host.waiting, deque()
        while waiting and not host.is_dead:
            if host.busy_until_us > self.now_us:
                host.waiting = waiting
                self.call_after_us(int(host.busy_until_us) - self.now_us + 1, self._run_waiting, host)
                return
            handle = waiting.popleft()
            if not handle.cancelled():
                host.waiting = waiting  # new callbacks queue behind these
                self._run_handle(handle, host)
        host.waiting = waiting

    def _advance_clock(self) -> None:
        timers = self._timers
        while timers and timers[0][3].cancelled():
            heapq.heappop(timers)
        if not timers:
            raise Exhausted(f"nothing is left to happen, at {self.time():.6f} s")
        self.now_us = max(self.now_us, timers[0][0])
        count = 0
        while timers and timers[0][0] <= self.now_us:
            _, _, _, handle, host = heapq.heappop(timers)
            if not handle.cancelled():
                self._ready.append((handle, host))
                count += 1
        self.races += count > 1

    def close(self) -> None:
        """Drop all callbacks and tasks; what is left unfinished is no error."""
        self._is_closed = True
        for task in list(self.tasks):
            with contextlib.suppress(RuntimeError):  # the coroutine awaits something in its cleanup
                task.get_coro().close()
        self._ready.clear()
        self._timers.clear()

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return self._is_closed

    def get_debug(self) -> bool:
        return False

    # Futures, tasks, errors

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Coroutine[Any, Any, T] | Generator[Any, None, T],
        *,
        name: object = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        task = asyncio.Task(coro, loop=self, name=name, context=context)  # type: ignore[arg-type]
        self.tasks[task] = _CURRENT_HOST.get() if context is None else context.get(_CURRENT_HOST)
        task.add_done_callback(self._forget_task, context=_NO_HOST)
        return task

    def _forget_task(self, task: asyncio.Task[Any]) -> None:
        del self.tasks[task]

    def host_of(self, task: asyncio.Task[Any]) -> Host | None:
        """The host that a task runs on."""
        return self.tasks[task]

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if self._is_closed:
            return
        error = context.get("exception")
        self.unhandled_errors.append(f"{context.get('message', '')}: {error!r}")

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.call_exception_handler(context)


def _ceil_us(seconds: float) -> int:
    """Round up: a timer that fires before its time would be set again with no delay."""
    return math.ceil(seconds * 1e6)


_NO_HOST = contextvars.copy_context()


def current_host() -> Host:
    """The host whose code is running."""
    host = _CURRENT_HOST.get()
    if host is None:
        raise RuntimeError("no host's code runs")
    return host
