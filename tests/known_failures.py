"""Reads `KNOWN-RED.txt`, the list of known test failures."""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One entry.

    Attributes:
        test: Test or one of its cases.
        command: Command that runs it.
        seed: Seed, or what varies between runs.
        seen: What failed and how often.
        issue: Number of the open issue.
    """

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def read(path: Path = PATH) -> list[KnownFailure]:
    """Read the list.

    Raises:
        ValueError: A line lacks one of its parts.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    return [_parse(line) for line in lines if line and not line.startswith("#")]


def _parse(line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split("|")]
    names = [each.name for each in fields(KnownFailure)]
    if len(parts) != len(names) or not all(parts) or not parts[-1].isdecimal():
        raise ValueError(f"{PATH.name}: {' | '.join(names)} are needed, not {line:.60}")
    return KnownFailure(*parts)
