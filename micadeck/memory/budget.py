"""What is kept of what others send, in bytes that it really costs, and the stage that follows.  No I/O.

A stage is entered at a share of the limit and left at a lower one, so that it does not flap.  Two figures
lead to one: what is booked here, which moves with each message, and the resident memory of the process, which
is read a few times a second and also shows what nobody booked.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum, StrEnum, unique

# What a Python object costs beside its bytes, as measured with tracemalloc (docs/design/memory.md).
REQUEST_COST = 300  # a request that was read
HEADER_COST = 130  # a name, a value, their pair and its place in a list
OPEN_REQUEST_COST = 4_000  # one that is open: in the engine, in the decisions, with an attempt and its timers


@unique
class MemoryUse(StrEnum):
    """What is booked."""

    REQUESTS = "requests"  # read in part, waiting or open, with their kept bodies
    ANSWERS = "answers"  # parts of answers that are kept until they are whole
    # No stage follows from these but by the resident memory: refusing requests would not make them less.
    UNSENT = "unsent"  # answers that clients have not taken
    BODIES = "bodies"  # large ones on their way; they have a bound of their own


@unique
class PressureLevel(IntEnum):
    """What is done against a shortage of memory; each includes those before it."""

    NORMAL = 0
    PASS_ON = 1  # bodies are passed on as they come from a smaller size on
    SHED = 2  # new requests are refused
    GIVE_UP = 3  # requests that are half sent are given up, the oldest first
    CLOSE_IDLE = 4  # connections at rest are closed


ENTERED_AT_BOOKED = (0.0, 0.08, 0.12, 0.15, 0.18)  # of the limit, by stage
ENTERED_AT_RESIDENT = (0.0, 0.45, 0.60, 0.70, 0.80)  # of what the limit leaves above the idle process
LEFT_AT = 0.8  # of where the stage is entered
_COUNTED = frozenset((MemoryUse.REQUESTS, MemoryUse.ANSWERS))


class MemoryBudget:
    """The account of one process.  `on_stage` is called with each stage that is entered."""

    def __init__(
        self, limit_bytes: int, on_stage: Callable[[PressureLevel], object] = lambda _: None
    ) -> None:
        self.booked: dict[MemoryUse, int] = dict.fromkeys(MemoryUse, 0)
        self.on_stage = on_stage
        self.stage = PressureLevel.NORMAL
        self._counted = 0
        self._resident = 0
        self.resident_most = 0  # bytes, the most that was seen
        self.loop_lag_s = 0.0  # how late the event loop came to the last look
        self._idle = 0
        self.limit_bytes = 0
        self.limit(limit_bytes)

    def limit(self, limit_bytes: int) -> None:
        """Hold to another limit, as when two processes share one."""
        self.limit_bytes = limit_bytes
        self._move()

    def book(self, kind: MemoryUse, more: int) -> None:
        """Count so many bytes more, or less where it is negative."""
        self.booked[kind] += more
        if kind in _COUNTED:
            self._counted += more
            if not self._stays_at <= self._counted < self._next_at:
                self._move()

    def set(self, kind: MemoryUse, amount: int) -> None:
        """Book what was counted elsewhere."""
        self.book(kind, amount - self.booked[kind])

    def starts_at(self, resident: int) -> None:
        """Take note of the resident memory of the idle process, in bytes."""
        self._idle = self._resident = resident
        self._move()

    def saw_resident(self, resident: int) -> None:
        """Take note of the resident memory, in bytes; 0 where it is not known."""
        self._resident = resident
        self.resident_most = max(self.resident_most, resident)
        self._move()

    @property
    def counted(self) -> int:
        """What counts towards a stage, in bytes."""
        return self._counted

    @property
    def resident(self) -> int:
        """The resident memory that was seen last, in bytes."""
        return self._resident

    @property
    def unaccounted(self) -> int:
        """Resident memory beyond that of the idle process that nobody booked, in bytes."""
        return max(self._resident - self._idle - sum(self.booked.values()), 0)

    def _threshold(self, stage: PressureLevel) -> int:
        return int(self.limit_bytes * ENTERED_AT_BOOKED[stage])

    def _is_in(self, stage: PressureLevel) -> bool:
        """Whether this stage is in force, or stays so."""
        factor = LEFT_AT if stage <= self.stage else 1.0
        room = max(self.limit_bytes - self._idle, 0)
        above_idle = self._resident - self._idle
        return (
            self._counted >= factor * self._threshold(stage)
            or above_idle > factor * room * ENTERED_AT_RESIDENT[stage]
        )

    def _move(self) -> None:
        """Find the stage, and between which booked amounts it can't change."""
        before = self.stage
        self.stage = max(
            stage for stage in PressureLevel if stage is PressureLevel.NORMAL or self._is_in(stage)
        )
        above = [self._threshold(each) for each in PressureLevel if each > self.stage]
        self._next_at = min(above, default=1 << 62)
        self._stays_at = int(LEFT_AT * self._threshold(self.stage)) if self.stage else -(1 << 62)
        if self.stage is not before:
            self.on_stage(self.stage)
