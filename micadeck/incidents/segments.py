"""Naming, rotation and retention of segment files.  No input or output."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

_UNSAFE_CHARS = re.compile(r"[^A-Za-z0-9_-]")
_FILE_NAME = re.compile(
    r"(?P<sidecar>[A-Za-z0-9_-]{1,80})\.(?P<start>[0-9a-f]{16})\.(?P<segment>[0-9]{6})\.records"
)


@dataclass(frozen=True, slots=True, order=True)
class SegmentName:
    """The name of a segment file; names sort by start time first."""

    start: str
    segment: int
    sidecar: str

    def __str__(self) -> str:
        return f"{self.sidecar}.{self.start}.{self.segment:06d}.records"


def safe_name(name: str) -> str:
    """A sidecar's name as used in file names."""
    return _UNSAFE_CHARS.sub("_", name)[:80] or "_"


def parse(name: str) -> SegmentName | None:
    """Parse a file name; None if it is not that of a segment."""
    match = _FILE_NAME.fullmatch(name)
    return SegmentName(match["start"], int(match["segment"]), match["sidecar"]) if match else None


@dataclass(frozen=True, slots=True)
class Limits:
    """Disk space limits for one sidecar's records."""

    max_bytes: int = 64 << 20  # all of its segments together
    segment_bytes: int = 1 << 20  # a segment ends at this size
    segment_us: int = 600_000_000  # or at this age

    def __post_init__(self) -> None:
        if self.segment_bytes * 2 > self.max_bytes:
            object.__setattr__(self, "segment_bytes", max(self.max_bytes // 4, 1))


class Rotation:
    """The segments of one start."""

    def __init__(self, limits: Limits, sidecar: str, start: str) -> None:
        self._limits = limits
        self._sidecar = safe_name(sidecar)
        self._start = start
        self._segment = 0
        self._written_bytes = 0
        self._began_at: int | None = None

    def is_due(self, now: int) -> bool:
        """Whether the next write begins a new segment."""
        if self._began_at is None:
            return True
        return (
            self._written_bytes >= self._limits.segment_bytes
            or now - self._began_at >= self._limits.segment_us
        )

    def begin(self, now: int) -> SegmentName:
        """The next segment's name."""
        name = SegmentName(self._start, self._segment, self._sidecar)
        self._segment += 1
        self._written_bytes, self._began_at = 0, now
        return name

    def add_written(self, count: int) -> None:
        self._written_bytes += count

    def files_to_delete(self, files: Iterable[tuple[str, int]]) -> list[str]:
        """The oldest of this sidecar's files (name, bytes) past the limit; never the current one."""
        own = sorted(
            (parsed, size, name)
            for name, size in files
            if (parsed := parse(name)) is not None and parsed.sidecar == self._sidecar
        )
        total_bytes = sum(size for _, size, _ in own)
        to_delete: list[str] = []
        for parsed, size, name in own:
            is_current = parsed.start == self._start and parsed.segment == self._segment - 1
            if total_bytes <= self._limits.max_bytes - self._limits.segment_bytes or is_current:
                break
            to_delete.append(name)
            total_bytes -= size
        return to_delete
