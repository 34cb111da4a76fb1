"""The anonymous resident memory of this process, as the system tells it: what counts against a limit."""

from __future__ import annotations

import os
from pathlib import Path

MB = 1 << 20
_STATM = Path("/proc/self/statm")
_PAGE = os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """How many descriptors this process has open; 0 where the system does not tell."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # one of them reads the folder
    except OSError:
        return 0


def anonymous_bytes() -> int:
    """Resident pages that are neither of files nor shared, in bytes; 0 where the system does not tell."""
    try:
        fields = _STATM.read_bytes().split()
        return (int(fields[1]) - int(fields[2])) * _PAGE
    except (OSError, ValueError, IndexError):
        return 0
