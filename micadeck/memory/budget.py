"""The memory budget: charges for buffered data, and the pressure level.  No I/O.

A level is entered at a fraction of the limit and left at a lower one, so that it does not flap.  Either of
two measurements raises it: the charged bytes, which change with each message, and the resident memory of the
process, which is sampled a few times a second and also covers what is not charged.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum, StrEnum, unique

# Overhead of Python objects beyond their payload in bytes, by tracemalloc (docs/design/memory.md).
REQUEST_COST = 300  # a request that was parsed
HEADER_COST = 130  # a name, a value, their pair and its slot in a list
OPEN_REQUEST_COST = 4_000  # an open request: in the engine and the balancer, with an attempt and its timers
_NO_BOUND = 1 << 62


@unique
class MemoryUse(StrEnum):
    """What memory is charged for; the values appear in log lines and metric names."""

    REQUESTS = "requests"  # partly received, waiting or open, with their buffered bodies
    ANSWERS = "answers"  # buffered until they are complete
    # The following raise the level through resident memory only: rejecting requests would not reduce them.
    UNSENT = "unsent"  # written to clients or servers, and not taken by the kernel
    BODIES = "bodies"  # large bodies that are being streamed; they have a limit of their own


@unique
class PressureLevel(IntEnum):
    """The measures against a memory shortage; each level includes those below.

    The names appear in log lines.
    """

    NORMAL = 0
    PASS_ON = 1  # smaller bodies than usual are streamed instead of buffered
    SHED = 2  # new requests are rejected
    GIVE_UP = 3  # partly received requests are aborted, the oldest first
    CLOSE_IDLE = 4  # idle connections are closed


ENTER_AT_CHARGED = (0.0, 0.08, 0.12, 0.15, 0.18)  # fraction of the limit, by level
ENTER_AT_RESIDENT = (0.0, 0.45, 0.60, 0.70, 0.80)  # fraction of the limit less the baseline
MAX_BASELINE_FRACTION = 0.75  # of the limit
LEAVE_FACTOR = 0.8  # of the threshold at which the level is entered
_USES_RAISING_LEVEL = frozenset((MemoryUse.REQUESTS, MemoryUse.ANSWERS))


class MemoryBudget:
    """Owns the charged bytes and the pressure level of one process."""

    def __init__(
        self, limit_bytes: int, on_level_change: Callable[[PressureLevel], object] = lambda _: None
    ) -> None:
        """Start without charges.

        Args:
            limit_bytes: The memory limit of the process.
            on_level_change: Called with each level that is entered.
        """
        self.charged_bytes: dict[MemoryUse, int] = dict.fromkeys(MemoryUse, 0)
        self.on_level_change = on_level_change
        self.level = PressureLevel.NORMAL
        self._pressure_bytes = 0
        self._resident_bytes = 0
        self.peak_resident_bytes = 0
        self.loop_lag_s = 0.0  # how late the event loop was at the last sample
        self._idle_bytes = 0
        self._baseline_bytes = 0  # resident memory that does not count towards a level
        self.limit_bytes = 0
        self.set_limit(limit_bytes)

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit, as when two processes share one."""
        self.limit_bytes = limit_bytes
        self._update_level()

    def charge(self, use: MemoryUse, delta_bytes: int) -> None:
        """Add to the charge for a use; a negative number of bytes reduces it."""
        self.charged_bytes[use] += delta_bytes
        if use in _USES_RAISING_LEVEL:
            self._pressure_bytes += delta_bytes
            if not self._lower_bound <= self._pressure_bytes < self._upper_bound:
                self._update_level()

    def set_charge(self, use: MemoryUse, total_bytes: int) -> None:
        """Set the charge for a use to a total that was counted elsewhere."""
        self.charge(use, total_bytes - self.charged_bytes[use])

    def set_idle_baseline(self, resident_bytes: int) -> None:
        """Record the resident memory of the idle process."""
        self._idle_bytes = self._baseline_bytes = self._resident_bytes = resident_bytes
        self._update_level()

    def raise_baseline(self) -> None:
        """Record that the memory which nothing is charged for can't be released.

        It is free within the process, or in use whatever becomes of requests: new ones reuse it, and
        rejecting them would not reduce it.
        """
        uncharged_bytes = self._resident_bytes - sum(self.charged_bytes.values())
        highest_bytes = int(MAX_BASELINE_FRACTION * self.limit_bytes)
        self._baseline_bytes = max(self._idle_bytes, min(uncharged_bytes, highest_bytes))
        self._update_level()

    def update_resident(self, resident_bytes: int) -> None:
        """Record a sample of the resident memory; 0 where it is unknown."""
        self._resident_bytes = resident_bytes
        self.peak_resident_bytes = max(self.peak_resident_bytes, resident_bytes)
        self._baseline_bytes = max(self._idle_bytes, min(self._baseline_bytes, resident_bytes))
        self._update_level()

    @property
    def pressure_bytes(self) -> int:
        """The charged bytes that count towards a level."""
        return self._pressure_bytes

    @property
    def resident_bytes(self) -> int:
        """The last sample of the resident memory."""
        return self._resident_bytes

    @property
    def unaccounted_bytes(self) -> int:
        """Resident memory beyond that of the idle process which is not charged."""
        return max(self._resident_bytes - self._idle_bytes - sum(self.charged_bytes.values()), 0)

    def _charged_threshold(self, level: PressureLevel) -> int:
        return int(self.limit_bytes * ENTER_AT_CHARGED[level])

    def _is_reached(self, level: PressureLevel) -> bool:
        """Return whether this level is to be entered or kept."""
        factor = LEAVE_FACTOR if level <= self.level else 1.0
        if self._pressure_bytes >= factor * self._charged_threshold(level):
            return True
        available_bytes = max(self.limit_bytes - self._baseline_bytes, 0)
        used_bytes = self._resident_bytes - self._baseline_bytes
        return used_bytes > factor * available_bytes * ENTER_AT_RESIDENT[level]

    def _update_level(self) -> None:
        """Update the level, and the bounds of charged bytes between which it can't change."""
        previous = self.level
        reached = [level for level in PressureLevel if level and self._is_reached(level)]
        self.level = max(reached, default=PressureLevel.NORMAL)
        higher_thresholds = [self._charged_threshold(level) for level in PressureLevel if level > self.level]
        self._upper_bound = min(higher_thresholds, default=_NO_BOUND)
        self._lower_bound = -_NO_BOUND
        if self.level:
            self._lower_bound = int(LEAVE_FACTOR * self._charged_threshold(self.level))
        if self.level is not previous:
            self.on_level_change(self.level)
