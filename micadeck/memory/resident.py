"""What the operating system reports of this process: anonymous resident memory and open descriptors."""

from __future__ import annotations

import os
from pathlib import Path

MB = 1 << 20
_STATM = Path("/proc/self/statm")
_RESIDENT_FIELD, _SHARED_FIELD = 1, 2  # both in pages
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """Return how many descriptors this process has open; 0 where the system doesn't report it."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # without the one that lists the directory
    except OSError:
        return 0


def anonymous_bytes() -> int:
    """Return the resident memory that is neither shared nor backed by files, in bytes; 0 if unknown.

    This is what counts against a memory limit.
    """
    try:
        fields = _STATM.read_bytes().split()
        return (int(fields[_RESIDENT_FIELD]) - int(fields[_SHARED_FIELD])) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
