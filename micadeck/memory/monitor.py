"""Looks at the process's memory a few times a second, gives back what is free, and says how it stands."""

from __future__ import annotations

import ctypes
import gc
from collections.abc import Callable

from micadeck.memory.budget import MemoryBudget, MemoryUse, PressureLevel
from micadeck.memory.resident import MB, anonymous_bytes
from micadeck.network import Network, Timer

LOOK_EVERY_S = 0.25
_TRIM_AT_MB = 4  # resident beyond what is booked and the idle process, before it is given back
_TRIM_EVERY_S = 1.0
_TRIM_LEAST_EVERY_S = 8.0  # where trims give back little: what is resident may be in use for now
_WORTH_MB = 1  # of a trim
_YOUNG = 1  # the generations that a collection looks at: the rest was frozen at the start
_TENTHS = 10


class MemoryMonitor:
    """Feeds an account with the resident memory, from `start` to `close`."""

    def __init__(
        self,
        network: Network,
        account: MemoryBudget,
        log: Callable[[str], None],
        count: Callable[[], None] = lambda: None,
    ) -> None:
        """`count` books in the account what is only counted now and then."""
        self._network = network
        self._account = account
        self._log = log
        self._count = count
        self._timer: Timer | None = None
        self._trimmed_at = 0.0
        self._trim_every_s = _TRIM_EVERY_S
        self._due = 0.0
        self._tenth = 0  # of the limit, the highest that was told

    def start(self) -> None:
        """Take the memory of now for that of the idle process."""
        self._account.starts_at(anonymous_bytes())
        self._tenth = self._tenth_of(self._account.resident)
        self._later()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def told_stage(self, stage: PressureLevel) -> None:
        """Log a stage that is entered."""
        self._log(f"memory: {stage.name.lower().replace('_', ' ')}: {self._words()}")

    def _later(self) -> None:
        self._due = self._network.time() + LOOK_EVERY_S
        self._timer = self._network.call_later(LOOK_EVERY_S, self._look)

    def _look(self) -> None:
        self._account.loop_lag_s = max(self._network.time() - self._due, 0.0)
        self._count()
        resident = anonymous_bytes()
        self._account.saw_resident(resident)
        if self._is_worth_a_trim():
            resident = self._give_back()
        self._tell_tenth(resident)
        self._later()

    def _is_worth_a_trim(self) -> bool:
        is_due = self._network.time() - self._trimmed_at >= self._trim_every_s
        return is_due and self._account.unaccounted > _TRIM_AT_MB * MB

    def _give_back(self) -> int:
        """Have the allocator give free memory back to the system; give the resident memory after.

        Guards against trimming over and over what is in use, though nobody books it: each trim that gives
        back little is followed by a longer pause.
        """
        self._trimmed_at = self._network.time()
        before = self._account.resident
        gc.collect(_YOUNG)
        trim_heap()
        resident = anonymous_bytes()
        self._account.saw_resident(resident)
        is_worth = before - resident >= _WORTH_MB * MB
        pause_s = _TRIM_EVERY_S if is_worth else 2.0 * self._trim_every_s
        self._trim_every_s = min(pause_s, _TRIM_LEAST_EVERY_S)
        return resident

    def _tenth_of(self, resident: int) -> int:
        return resident * _TENTHS // max(self._account.limit_bytes, 1)

    def _tell_tenth(self, resident: int) -> None:
        tenth = self._tenth_of(resident)
        if tenth > self._tenth:
            self._tenth = tenth
            self._log(f"memory: {self._words()}")

    def _words(self) -> str:
        account = self._account
        kinds = ", ".join(f"{kind} {account.booked[kind] / MB:.1f}" for kind in MemoryUse)
        resident = f"{account.resident / MB:.1f} of {account.limit_bytes / MB:.0f} MB resident"
        return f"{resident}; {kinds}, unaccounted {account.unaccounted / MB:.1f}"


def trim_heap() -> None:
    """Give the C library's free memory back to the system, where the library can (glibc)."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        pass  # another C library
