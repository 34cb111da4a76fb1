"""SIGTERM, SIGINT and SIGHUP of the process, in series and in any order, from its first line to its last.

This module imports nothing that takes long to load: whoever starts the program listens here first.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

_ENDS = (signal.SIGTERM, signal.SIGINT)
_ALL = (*_ENDS, signal.SIGHUP)


class ProcessSignals:
    """What the process was told.  Handlers run between two instructions of whatever the main thread does.

    So a loop that is held up hears late, but the time of the signal is right.
    """

    def __init__(self) -> None:
        self.ended_at: float | None = None  # when the end was first asked for, on the monotonic clock
        self.ended_by: signal.Signals | None = None
        self._reload_asked = False
        self._tell: Callable[[Callable[[], object]], object] | None = None
        self._on_end: Callable[[], object] = _nothing
        self._on_reload: Callable[[], object] = _nothing

    def listen(self) -> None:
        """Take over the handlers; nothing ends the process by signal from here on but SIGKILL.

        Whoever started the process may have blocked them, so that what came before waits for this.
        """
        for number in _ENDS:
            signal.signal(number, self._end)
        signal.signal(signal.SIGHUP, self._reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _ALL)

    def attach(
        self,
        tell: Callable[[Callable[[], object]], object],
        on_end: Callable[[], object],
        on_reload: Callable[[], object],
    ) -> None:
        """Have `tell` call these, for each reload and the first end; what came before is told now."""
        self._on_end, self._on_reload, self._tell = on_end, on_reload, tell
        if self._reload_asked:
            tell(on_reload)
        if self.ended_at is not None:
            tell(on_end)

    def ignore(self) -> None:
        """Hear no more: the process is about to end by itself."""
        for number in _ALL:
            signal.signal(number, signal.SIG_IGN)
        self._tell = None

    def _end(self, number: int, frame: object) -> None:
        if self.ended_at is not None:
            return
        self.ended_at = time.monotonic()
        self.ended_by = signal.Signals(number)
        if self._tell is not None:
            self._tell(self._on_end)

    def _reload(self, number: int, frame: object) -> None:
        self._reload_asked = True
        if self._tell is not None:
            self._tell(self._on_reload)


def _nothing() -> None:
    """Nobody listens yet."""
