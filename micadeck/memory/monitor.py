"""Samples the process's memory a few times a second, trims the heap, and logs how memory is used."""

from __future__ import annotations

import contextlib
import ctypes
import gc
from collections.abc import Callable

from micadeck.memory.budget import MemoryBudget, MemoryUse, PressureLevel
from micadeck.memory.resident import MB, anonymous_bytes
from micadeck.network import Network, Timer

SAMPLE_INTERVAL_S = 0.25
_TRIM_THRESHOLD_BYTES = 4 * MB  # the heap is trimmed above this much unaccounted memory
_TRIM_INTERVAL_S = 1.0
_MAX_TRIM_INTERVAL_S = 8.0  # upper bound while trims release little
_EFFECTIVE_TRIM_BYTES = 1 * MB
_YOUNG_GENERATIONS = 1  # generations 0 and 1; the objects created at startup are frozen
_TENTHS = 10


class MemoryMonitor:
    """Feeds a budget with samples of the resident memory, from `start` to `close`.

    It owns the sampling timer and the schedule of heap trims.
    """

    def __init__(
        self,
        network: Network,
        budget: MemoryBudget,
        log: Callable[[str], None],
        refresh_charges: Callable[[], None] = lambda: None,
    ) -> None:
        """Prepare a monitor; nothing is sampled before `start`.

        Args:
            network: For the clock and timers.
            budget: Records the samples.
            log: Called with each log line.
            refresh_charges: Called before each sample, to set charges that are not updated by message.
        """
        self._network = network
        self._budget = budget
        self._log = log
        self._refresh_charges = refresh_charges
        self._timer: Timer | None = None
        self._trimmed_at = 0.0
        self._trim_interval_s = _TRIM_INTERVAL_S
        self._sample_due_at = 0.0
        self._logged_tenth = 0  # the highest tenth of the limit logged so far

    def start(self) -> None:
        """Record the current memory as that of the idle process, and begin to sample."""
        self._budget.set_idle_baseline(anonymous_bytes())
        self._logged_tenth = self._tenth_of_limit(self._budget.resident_bytes)
        self._schedule_sample()

    def close(self) -> None:
        """Stop sampling."""
        if self._timer is not None:
            self._timer.cancel()

    def log_level_change(self, level: PressureLevel) -> None:
        """Log a level that was entered."""
        self._log(f"memory: {level.name.lower().replace('_', ' ')}: {self._describe()}")

    def _schedule_sample(self) -> None:
        self._sample_due_at = self._network.time() + SAMPLE_INTERVAL_S
        self._timer = self._network.call_later(SAMPLE_INTERVAL_S, self._sample)

    def _sample(self) -> None:
        self._budget.loop_lag_s = max(self._network.time() - self._sample_due_at, 0.0)
        self._schedule_sample()  # first, so that sampling continues if this sample fails
        self._refresh_charges()
        resident_bytes = anonymous_bytes()
        self._budget.update_resident(resident_bytes)
        if self._should_trim():
            resident_bytes = self._trim()
        self._log_new_tenth(resident_bytes)

    def _should_trim(self) -> bool:
        is_due = self._network.time() - self._trimmed_at >= self._trim_interval_s
        return is_due and self._budget.unaccounted_bytes > _TRIM_THRESHOLD_BYTES

    def _trim(self) -> int:
        """Trim the heap and return the resident memory after it, in bytes.

        Each trim that releases little doubles the interval: the memory may be in use without being charged.
        """
        self._trimmed_at = self._network.time()
        before_bytes = self._budget.resident_bytes
        gc.collect(_YOUNG_GENERATIONS)
        trim_heap()
        resident_bytes = anonymous_bytes()
        self._budget.update_resident(resident_bytes)
        is_effective = before_bytes - resident_bytes >= _EFFECTIVE_TRIM_BYTES
        if not is_effective:
            self._budget.raise_baseline()
        interval_s = _TRIM_INTERVAL_S if is_effective else 2.0 * self._trim_interval_s
        self._trim_interval_s = min(interval_s, _MAX_TRIM_INTERVAL_S)
        return resident_bytes

    def _tenth_of_limit(self, resident_bytes: int) -> int:
        return resident_bytes * _TENTHS // max(self._budget.limit_bytes, 1)

    def _log_new_tenth(self, resident_bytes: int) -> None:
        tenth = self._tenth_of_limit(resident_bytes)
        if tenth > self._logged_tenth:
            self._logged_tenth = tenth
            self._log(f"memory: {self._describe()}")

    def _describe(self) -> str:
        budget = self._budget
        uses = ", ".join(f"{use} {budget.charged_bytes[use] / MB:.1f}" for use in MemoryUse)
        resident = f"{budget.resident_bytes / MB:.1f} of {budget.limit_bytes / MB:.0f} MB resident"
        return f"{resident}; {uses}, unaccounted {budget.unaccounted_bytes / MB:.1f}"


def trim_heap() -> None:
    """Return the C library's free memory to the operating system, where the library can (glibc)."""
    with contextlib.suppress(OSError, AttributeError):  # another C library
        ctypes.CDLL(None).malloc_trim(0)
