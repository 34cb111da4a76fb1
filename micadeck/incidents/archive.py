"""Reads folders of records and classifies their segment files."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from pathlib import Path

from micadeck.incidents.frames import Damage, Segment, SegmentError, read
from micadeck.incidents.kinds import Head, Record
from micadeck.incidents.segments import parse

_MAX_FILE_BYTES = 64 << 20  # sidecars write far smaller files


@unique
class FileStatus(Enum):
    """The condition of a file."""

    INTACT = "whole"
    TRUNCATED = "cut"  # it ends within a record, as after the process was killed
    CORRUPT = "spoilt"  # records within it can't be read
    DUPLICATE = "twice"  # the same segment as another file
    FOREIGN = "foreign"  # not a segment, or in another format


@dataclass(frozen=True, slots=True)
class File:
    """A file that was examined."""

    path: Path
    found: FileStatus
    damages: tuple[Damage, ...] = ()
    why: str = ""


@dataclass(slots=True)
class Start:
    """All records of one start of one sidecar."""

    head: Head
    records: list[Record] = field(default_factory=list)  # in order
    missing: list[tuple[int, int]] = field(default_factory=list)  # intervals without records

    @property
    def name(self) -> str:
        """The sidecar, and which start of it."""
        return f"{self.head.sidecar}@{self.head.start[-8:]}"


@dataclass(slots=True)
class Archive:
    """The contents of some folders."""

    starts: list[Start]
    files: list[File]


def list_files(folders: Iterable[Path]) -> Iterator[Path]:
    """The given files, and all files below the given folders."""
    for path in folders:
        if path.is_dir():
            yield from sorted(inner for inner in path.rglob("*") if inner.is_file())
        else:
            yield path


def load(folders: Iterable[Path]) -> Archive:
    """Read all readable files; raises OSError only if a given path does not exist."""
    files: list[File] = []
    segments: dict[tuple[str, str, int], Segment] = {}
    for path in list_files(folders):
        try:
            if path.stat().st_size > _MAX_FILE_BYTES:
                raise SegmentError(f"it is over {_MAX_FILE_BYTES} bytes")
            segment = read(path.read_bytes())
        except SegmentError as error:
            files.append(File(path, FileStatus.FOREIGN, why=str(error)))
            continue
        except OSError as error:
            if parse(path.name) is None and not path.exists():
                raise
            files.append(File(path, FileStatus.FOREIGN, why=str(error)))
            continue
        key = (segment.head.sidecar, segment.head.start, segment.head.segment)
        before = segments.get(key)
        if before is not None and len(before.records) >= len(segment.records):
            files.append(File(path, FileStatus.DUPLICATE))
            continue
        segments[key] = segment  # of two copies the longer one is used
        files.append(File(path, _file_status(segment), tuple(segment.damages)))
    return Archive(assemble(segments), files)


def _file_status(segment: Segment) -> FileStatus:
    if not segment.damages:
        return FileStatus.INTACT
    is_truncated = len(segment.damages) == 1 and segment.damages[0].reason == "it breaks off"
    return FileStatus.TRUNCATED if is_truncated else FileStatus.CORRUPT


def assemble(segments: dict[tuple[str, str, int], Segment]) -> list[Start]:
    """Group segments, keyed by sidecar, start and number, into starts."""
    starts: dict[tuple[str, str], Start] = {}
    expected: dict[tuple[str, str], int] = {}
    last_at: dict[tuple[str, str], int] = {}
    for sidecar, start, number in sorted(segments):
        segment, key = segments[(sidecar, start, number)], (sidecar, start)
        assembled = starts.get(key)
        if assembled is None:
            assembled = starts[key] = Start(segment.head)
        for index, record in segment.records:
            at = record_time(record)
            if key in expected and index != expected[key]:
                assembled.missing.append((last_at[key], at))
            expected[key] = index + 1
            last_at[key] = max(at, last_at.get(key, at))
            assembled.records.append(record)
    return sorted(starts.values(), key=lambda each: (each.head.sidecar, each.head.start))


def record_time(record: Record) -> int:
    """The approximate time a record was written; for a span, its end."""
    return getattr(record, "until", record.at)
