"""Memory relief: frees memory that no complete request needs."""

from __future__ import annotations

from collections.abc import Callable

from micadeck.http.listener import HttpListener
from micadeck.http.upstream import ConnectionPool
from micadeck.memory.budget import MemoryBudget, PressureLevel
from micadeck.network import Network

_RETRY_S = 0.1
_DROP_DIVISOR = 4  # a step drops this part of the partly received requests, and one more


class MemoryRelief:
    """Drops partly received requests and closes idle connections, step by step, until memory suffices.

    Owns whether a step is scheduled.  A step frees only a part: resident memory shrinks with a delay.
    """

    def __init__(
        self, network: Network, budget: MemoryBudget, listener: HttpListener, upstream: ConnectionPool
    ) -> None:
        """Register as `budget.on_level_change`.

        Args:
            network: The clock and timers.
            budget: The memory budget, whose pressure level decides what is freed.
            listener: Owns the client connections.
            upstream: Owns the connections to servers.
        """
        self._network = network
        self._budget = budget
        self._listener = listener
        self._upstream = upstream
        self._is_scheduled = False
        self.on_level_change: Callable[[PressureLevel], object] = _ignore
        budget.on_level_change = self._change_level

    def _change_level(self, level: PressureLevel) -> None:
        """React to a new pressure level, after the call that charged the memory has returned."""
        self.on_level_change(level)
        if level >= PressureLevel.GIVE_UP and not self._is_scheduled:
            self._is_scheduled = True
            self._network.call_soon(self._run_step)

    def _run_step(self) -> None:
        connections = self._listener.connections
        for _ in range(connections.partial_requests // _DROP_DIVISOR + 1):
            if self._budget.level < PressureLevel.GIVE_UP or not connections.reject_oldest_partial():
                break
        if self._budget.level >= PressureLevel.CLOSE_IDLE:
            connections.close_idle()
            self._upstream.close_all_idle()
        self._is_scheduled = self._budget.level >= PressureLevel.GIVE_UP
        if self._is_scheduled:
            self._network.call_later(_RETRY_S, self._run_step)


def _ignore(_: PressureLevel) -> None:
    """Used while no monitor is set."""
