"""The system's clocks, as Unix time in microseconds."""

from __future__ import annotations

import time


class Clock:
    """Unix time that is read once and then advanced by the monotonic clock.

    Servers' start times are compared with it, and no step of the system's clock moves a timer or a deadline.
    """

    def __init__(self) -> None:
        """Read the system's clock."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Return microseconds of Unix time that never step back."""
        return (time.monotonic_ns() + self._offset_ns) // 1_000


def wall() -> int:
    """Return the system's clock in microseconds of Unix time; it may step."""
    return time.time_ns() // 1_000
