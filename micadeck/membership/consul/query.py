"""The schedule of one blocking query: when to poll and with which index.  No input or output.

Rules of https://developer.hashicorp.com/consul/api-docs/features/blocking: an index that goes back, or is 0,
is discarded and everything is read again; the server may add up to a sixteenth of the wait; a client whose
queries keep returning at once must limit its rate.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum, unique

from micadeck.membership.consul.protocol import ResponseMeta

WAIT_S = 30.0
_JITTER_FRACTION = 1 / 16  # of the wait: the most that the server adds, and that our jitter subtracts
_EXTRA_TIMEOUT_S = 2.0  # beyond the wait and the server's jitter
_BURST = 10  # consecutive answers after which the next call starts without delay
_REFILL_S = 1.0  # for each further answer without delay
_RATE_LIMIT_DELAY_S = 0.1  # short enough for a drain to take effect within half a second
_IDLE_DELAY_S = 1.0  # after an answer that neither waited nor changed
_RECHECK_DELAY_S = 0.5  # after an answer that is not accepted yet
_MIN_BACKOFF_S, _MAX_BACKOFF_S = 0.1, 5.0
_MAX_BACKOFF_EXPONENT = 10


@unique
class IndexChange(Enum):
    """How an answer's index differs."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    INDEX_RESET = "index reset"  # lower than before: of another or a restored server; read as a change


@dataclass(frozen=True, slots=True)
class NextPoll:
    """The next call.

    Attributes:
        delay_s: How long to wait before it.
        index: The index to wait on; 0 reads everything at once.
        wait_s: How long the query may block.
        timeout_s: How long the call may take.
    """

    delay_s: float
    index: int
    wait_s: float
    timeout_s: float


class BlockingQuery:
    """The state of one query.  Times are seconds of any clock that does not step back.

    Owns the index, the rate limit and the backoff.
    """

    def __init__(self, rng: random.Random, wait_s: float = WAIT_S) -> None:
        """Start without an index.

        Args:
            rng: The source of jitter.
            wait_s: How long the query may block.
        """
        self._rng = rng
        self._wait_s = wait_s
        self.index = 0
        self._failures = 0
        self._tokens = float(_BURST)
        self._refilled_at: float | None = None
        self._delay_s = 0.0
        self._polled_at = 0.0
        self._polled_index = 0

    def first_delay(self, spread_s: float) -> float:
        """Return a random delay within a span, so that many sidecars do not poll in step."""
        return self._rng.random() * spread_s

    def next_poll(self, now: float) -> NextPoll:
        """Return the next call, and record it as made."""
        # Jitter, so that the waits of many sidecars do not end together.
        wait_s = self._wait_s * (1.0 - _JITTER_FRACTION * self._rng.random()) if self.index else 0.0
        self._polled_at, self._polled_index = now + self._delay_s, self.index
        timeout_s = wait_s * (1.0 + _JITTER_FRACTION) + _EXTRA_TIMEOUT_S
        return NextPoll(self._delay_s, self.index, wait_s, timeout_s)

    def record_answer(self, now: float, meta: ResponseMeta) -> IndexChange:
        """Record the answer to the last call."""
        self._failures = 0
        before = self._polled_index
        has_reset = meta.index < before
        is_unchanged = meta.index == before != 0
        # 0 cannot be waited on, and a wait on a lower index may never end: the next call reads everything.
        self.index = 0 if has_reset else meta.index
        self._refill(now)
        has_waited = now - self._polled_at >= self._wait_s / 2
        if meta.index == 0 or (is_unchanged and not has_waited):
            self._delay_s = _IDLE_DELAY_S
        elif self._tokens >= 1.0:
            self._tokens -= 1.0
            self._delay_s = 0.0
        else:
            self._delay_s = _RATE_LIMIT_DELAY_S
        if has_reset:
            return IndexChange.INDEX_RESET
        return IndexChange.UNCHANGED if is_unchanged else IndexChange.CHANGED

    def discard_answer(self) -> None:
        """Read everything again soon: the answer is not accepted."""
        self.index = 0
        self._delay_s = _RECHECK_DELAY_S * (0.5 + 0.5 * self._rng.random())

    def record_failure(self, retry_after_s: float = 0.0) -> None:
        """Back off after a failed call; the index stays."""
        backoff_s = min(_MIN_BACKOFF_S * 2**self._failures, _MAX_BACKOFF_S)
        self._failures = min(self._failures + 1, _MAX_BACKOFF_EXPONENT)
        self._delay_s = max(backoff_s * (0.5 + 0.5 * self._rng.random()), retry_after_s)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) / _REFILL_S
            self._tokens = min(self._tokens + refill, float(_BURST))
        self._refilled_at = now
