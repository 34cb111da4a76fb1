"""Fairness between streams that are read from in the same iteration of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from micadeck.network.deferred_call import DeferredCall
from micadeck.network.interfaces import Network

MAX_TURN_BYTES = 32 << 10  # read of one stream in an iteration, and one read more


class ReadTurn:
    """Bounds what one stream delivers before others have their turn.

    The event loop reads a stream some 32 times in a row while data is there, in each iteration.

    Attributes:
        is_over: Whether reading is paused until the next iteration.
    """

    __slots__ = ("_bytes", "_deferred", "is_over")

    def __init__(self, network: Network) -> None:
        """Start with nothing read."""
        self._deferred = DeferredCall(network)
        self._bytes = 0
        self.is_over = False

    def count(self, size: int, pause: Callable[[], object], resume: Callable[[], object]) -> None:
        """Count a read; call `pause` where the turn is over, and `resume` in the next iteration."""
        self._bytes = self._bytes + size if self._deferred.is_scheduled else size
        if self._bytes >= MAX_TURN_BYTES and not self.is_over:
            self.is_over = True
            pause()
        self._deferred.schedule(lambda: self._begin(resume))

    def _begin(self, resume: Callable[[], object]) -> None:
        if self.is_over:
            self.is_over = False
            resume()
