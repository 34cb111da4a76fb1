"""System clocks, as Unix time in microseconds."""

from __future__ import annotations

import time


class Clock:
    """Unix time that is read once and then advanced by the monotonic clock.

    It is compared with servers' start times; steps of the system clock do not affect timers or deadlines.
    """

    def __init__(self) -> None:
        """Read the system clock."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return microseconds of Unix time that never steps back."""
        return (time.monotonic_ns() + self._offset_ns) // 1_000


def wall() -> int:
    """Return the system clock in microseconds of Unix time; it may step."""
    return time.time_ns() // 1_000
