"""Lifeguard's local health: how reliable this member's own failure detection is."""

from __future__ import annotations

_MISSED_SMOOTHING = 0.05  # of an exponential moving average over about 20 probes
_MISSED_BASELINE = 0.1  # a single dead member leaves about this fraction of probes unanswered


class LocalHealth:
    """Owns the health score and the fraction of missed probes of one member."""

    def __init__(self, max_score: int) -> None:
        """Start healthy.

        Args:
            max_score: The highest health score.
        """
        self.score = 0  # 0: healthy; timeouts are multiplied by 1 + score
        self._max_score = max_score
        self._missed_fraction = 0.0

    @property
    def timeout_factor(self) -> int:
        """The factor for timeouts and the probe interval."""
        return 1 + self.score

    @property
    def excess_missed_fraction(self) -> float:
        """The fraction of direct probes missed beyond what a single dead member explains."""
        return max(self._missed_fraction - _MISSED_BASELINE, 0.0)

    def degrade(self, amount: int = 1) -> None:
        """Raise the score, up to its limit."""
        self.score = min(self.score + amount, self._max_score)

    def degrade_fully(self) -> None:
        """Raise the score to its limit."""
        self.score = self._max_score

    def improve(self) -> None:
        """Lower the score by one, down to 0."""
        self.score = max(self.score - 1, 0)

    def record_probe(self, *, missed: bool) -> None:
        """Count a direct probe of a member that was alive."""
        self._missed_fraction += _MISSED_SMOOTHING * (missed - self._missed_fraction)
