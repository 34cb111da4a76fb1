"""The sidecar's clock."""

from __future__ import annotations

import time


class Clock:
    """Whole microseconds of Unix time, read once; from there on only the monotonic clock moves it.

    Servers' start times compare with it, and no step of the system's clock disturbs a timer or a deadline.
    """

    def __init__(self) -> None:
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self._offset_ns) // 1_000
