"""What all parts of one balancer share while an event is handled: time, randomness, settings, actions."""

from __future__ import annotations

import random

from micadeck.policy.actions import Action
from micadeck.policy.settings import Settings


class DecisionContext:
    """The inputs of a decision and the list of actions that it fills.

    The balancer alone writes `now`, `actions` and the settings; its parts read them and append actions.
    """

    def __init__(self, settings: Settings, generator: random.Random) -> None:
        """Start at time 0 with these settings and the one source of randomness."""
        self.now = 0  # microseconds, of the event that is being handled
        self.actions: list[Action] = []
        self.random = generator
        self.settings = settings
        self.longest_objective_us = _longest_objective_us(settings)

    def replace_settings(self, settings: Settings) -> None:
        """Put other settings in force."""
        self.settings = settings
        self.longest_objective_us = _longest_objective_us(settings)

    def jittered_time_after(self, objectives: float) -> int:
        """Return the time after about so many of the longest latency objective.

        The jitter of a quarter either way keeps balancers from acting at the same moment.
        """
        return self.now + int(objectives * self.longest_objective_us * (0.75 + 0.5 * self.random.random()))


def _longest_objective_us(settings: Settings) -> int:
    return max(each.latency_objective_us for each in settings.classes)
