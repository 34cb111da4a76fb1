"""Finds the compiled modules of the decisions, if they were built from exactly these sources.

`deploy/compile.py` puts them into a folder named by a digest of the sources, the interpreter's ABI and the
compiler's flags, so modules of other sources are never loaded.  Without them the decisions run interpreted,
and slower.
"""

from __future__ import annotations

import hashlib
import os
import sys
from importlib.machinery import EXTENSION_SUFFIXES
from pathlib import Path

MODULES = (
    "actions",
    "admission",
    "balancer",
    "concurrency_limit",
    "context",
    "decaying_rate",
    "discovery_polling",
    "endpoint_updates",
    "endpoints",
    "events",
    "full_backoff",
    "latency",
    "locality",
    "open_requests",
    "outcome_recording",
    "outcomes",
    "outlier_detection",
    "overdue_attempts",
    "retry_policy",
    "selection",
    "settings",
    "settings_reader",
    "slow_start",
    "stale_connections",
    "statistics",
    "timers",
)
ROOT = Path(__file__).parent
PACKAGE_PATH = Path("micadeck", "policy")
"""The package of the compiled modules, below the folder of one build."""
COMPILER_FLAGS = "-ffp-contract=off"
"""Without fused multiply-adds, which round otherwise than the interpreter does."""

_INTERPRETED_VARIABLES = ("MICADECK_INTERPRETED", "MAGPIEMUX_INTERPRETED")  # the second is the former name


def folder() -> Path:
    """Return the folder of the compiled modules, whether it exists or not.

    Raises:
        OSError: The sources cannot be read.
    """
    digest = hashlib.blake2b(EXTENSION_SUFFIXES[0].encode(), digest_size=12)  # names the interpreter's ABI
    digest.update(COMPILER_FLAGS.encode())
    for name in MODULES:
        digest.update((ROOT / f"{name}.py").read_bytes())
    return ROOT.parent.parent / ".compiled" / digest.hexdigest()


def use_if_built(paths: list[str]) -> bool:
    """Put the compiled modules before the sources on a package's `__path__`, if they exist.

    `MICADECK_INTERPRETED` in the environment disables this, for tests that patch the sources.

    Args:
        paths: The `__path__` of the package.

    Returns:
        Whether they are used.
    """
    if any(os.environ.get(name) for name in _INTERPRETED_VARIABLES):
        return False
    try:
        found = folder()
    except OSError:  # installed without sources
        return False
    if not (found / PACKAGE_PATH).is_dir():
        return False
    paths.insert(0, str(found / PACKAGE_PATH))
    sys.path.append(str(found))  # for mypyc's shared library, which the modules import
    return True
