"""A callback in the next iteration of the event loop, requested once or many times."""

from __future__ import annotations

from collections.abc import Callable

from micadeck.network.interfaces import Network


class DeferredCall:
    """Calls a function once in the next iteration, however often it was scheduled until then.

    For work that would otherwise hold up the event loop: it goes on after others had their turn.
    The function is kept only while scheduled, so that its owner is freed without a garbage collection.

    Attributes:
        is_scheduled: Whether the call is still to come.
    """

    __slots__ = ("_network", "is_scheduled")

    def __init__(self, network: Network) -> None:
        """Start with nothing scheduled."""
        self.is_scheduled = False
        self._network = network

    def schedule(self, callback: Callable[[], object]) -> None:
        """Call the function in the next iteration, unless a call is scheduled."""
        if not self.is_scheduled:
            self.is_scheduled = True
            self._network.call_soon(self._run, callback)

    def _run(self, callback: Callable[[], object]) -> None:
        self.is_scheduled = False
        callback()
