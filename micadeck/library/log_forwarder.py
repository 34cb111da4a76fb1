"""Log lines from the engine's thread to the host's logging, which may take its time."""

from __future__ import annotations

import logging
import queue
import threading

_MOST_WAITING = 1_000


class LogLines:
    """Passes lines to a logger on a thread of its own, begun with the first line.

    Guards against a host that stalls in a log handler, its lock held: the engine would stall with it.
    """

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger
        self._waiting: queue.Queue[str | None] = queue.Queue(_MOST_WAITING)
        self._thread: threading.Thread | None = None
        self._left_out = 0

    def __call__(self, text: str) -> None:
        """Pass a line on, or leave it out if too many wait; called on the engine's thread only."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._pass_on, name="micadeck-log", daemon=True)
            self._thread.start()
        try:
            if self._left_out:
                self._waiting.put_nowait(f"left out {self._left_out} lines")
                self._left_out = 0
            self._waiting.put_nowait(text)
        except queue.Full:
            self._left_out += 1

    def close(self, within_s: float) -> None:
        """Let the lines that wait be passed on, for so long at most."""
        if self._thread is None:
            return
        try:
            self._waiting.put(None, timeout=within_s)
        except queue.Full:
            return  # the host's logging hangs; the thread is a daemon and ends with the process
        self._thread.join(within_s)

    def _pass_on(self) -> None:
        while (text := self._waiting.get()) is not None:
            self._logger.warning("%s", text) if "internal error" in text else self._logger.info("%s", text)
