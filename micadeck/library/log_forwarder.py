"""Forwards log lines from the engine's thread to the host's logging, which may block."""

from __future__ import annotations

import logging
import queue
import threading

_MAX_QUEUE_SIZE = 1_000


class LogForwarder:
    """Passes lines to a logger on a separate thread, which the first line starts.

    A blocking log handler of the host therefore never blocks the engine.
    """

    def __init__(self, logger: logging.Logger) -> None:
        """Forward to a logger."""
        self._logger = logger
        self._queue: queue.Queue[str | None] = queue.Queue(_MAX_QUEUE_SIZE)  # None: stop
        self._thread: threading.Thread | None = None
        self._dropped_count = 0

    def __call__(self, text: str) -> None:
        """Forward a line, or drop it if the queue is full; for the engine's thread only."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._forward, name="micadeck-log", daemon=True)
            self._thread.start()
        try:
            if self._dropped_count:
                self._queue.put_nowait(f"left out {self._dropped_count} lines")
                self._dropped_count = 0
            self._queue.put_nowait(text)
        except queue.Full:
            self._dropped_count += 1

    def close(self, timeout_s: float) -> None:
        """Wait until the queued lines are forwarded.

        Args:
            timeout_s: The limit of each of two waits: for space in the queue, and for the thread.
        """
        if self._thread is None:
            return
        try:
            self._queue.put(None, timeout=timeout_s)
        except queue.Full:
            return  # the host's log handler blocks; the daemon thread ends with the process
        self._thread.join(timeout_s)

    def _forward(self) -> None:
        while (text := self._queue.get()) is not None:
            level = logging.WARNING if "internal error" in text else logging.INFO
            self._logger.log(level, "%s", text)
