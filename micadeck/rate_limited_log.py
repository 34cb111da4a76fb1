"""The daemon's log: rate-limited lines on standard error."""

from __future__ import annotations

import sys
from collections.abc import Callable

_RATE_PER_S = 20.0
_MAX_BURST = 200.0


class RateLimitedLog:
    """Writes lines to standard error by a token bucket, so as not to fill a disk."""

    def __init__(self, time: Callable[[], float]) -> None:
        """Start with a full bucket; `time` gives seconds that never step back."""
        self._time = time
        self._tokens = _MAX_BURST
        self._refilled_at = 0.0
        self._dropped_count = 0

    def __call__(self, text: str) -> None:
        """Write a line, unless the bucket is empty."""
        now = self._time()
        self._tokens = min(self._tokens + (now - self._refilled_at) * _RATE_PER_S, _MAX_BURST)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._dropped_count += 1
            return
        self._tokens -= 1.0
        if self._dropped_count:
            print(f"left out {self._dropped_count} lines", file=sys.stderr)
            self._dropped_count = 0
        print(text, file=sys.stderr, flush=True)
