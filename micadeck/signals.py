"""Handles SIGTERM, SIGINT and SIGHUP, in any number and order, from the process's start to its exit.

It imports nothing that is slow to load, because the handlers are installed before anything else.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable

_END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_ALL_SIGNALS = (*_END_SIGNALS, signal.SIGHUP)


class ProcessSignals:
    """The signals that the process received.

    Handlers run between two instructions of the main thread: a blocked event loop reacts late, but the
    recorded time of the signal is right.

    Attributes:
        ended_at: When the end was first requested, on the monotonic clock in seconds; None: it was not.
        ended_by: By which signal.
        reload_requested_at: When a reload was last requested, on the same clock; None: it was not.
    """

    def __init__(self) -> None:
        """Start without a signal; `listen` installs the handlers."""
        self.ended_at: float | None = None
        self.ended_by: signal.Signals | None = None
        self.reload_requested_at: float | None = None
        self._call: Callable[[Callable[[], object]], object] | None = None
        self._on_end: Callable[[], object] = _nothing
        self._on_reload: Callable[[], object] = _nothing

    def listen(self) -> None:
        """Install the handlers; from now on none of these signals ends the process by itself.

        It also unblocks the signals: the parent may have blocked them, and earlier ones are pending.
        """
        for number in _END_SIGNALS:
            signal.signal(number, self._end)
        signal.signal(signal.SIGHUP, self._reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _ALL_SIGNALS)

    def attach(
        self,
        call: Callable[[Callable[[], object]], object],
        on_end: Callable[[], object],
        on_reload: Callable[[], object],
    ) -> None:
        """Report signals from now on, and earlier ones at once.

        Args:
            call: Schedules a callback on the event loop; safe in a signal handler.
            on_end: Called for the first SIGTERM or SIGINT.
            on_reload: Called for every SIGHUP.
        """
        self._on_end, self._on_reload, self._call = on_end, on_reload, call
        if self.reload_requested_at is not None:
            call(on_reload)
        if self.ended_at is not None:
            call(on_end)

    def ignore(self) -> None:
        """Ignore all signals: the process is about to exit."""
        for number in _ALL_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        self._call = None

    def _end(self, number: int, _frame: object) -> None:
        if self.ended_at is not None:
            return
        self.ended_at = time.monotonic()
        self.ended_by = signal.Signals(number)
        if self._call is not None:
            self._call(self._on_end)

    def _reload(self, _number: int, _frame: object) -> None:
        self.reload_requested_at = time.monotonic()
        if self._call is not None:
            self._call(self._on_reload)


def _nothing() -> None:
    """Used before `attach` is called."""
