"""What the parts of a balancer share while an event is handled: time, randomness, settings, actions."""

from __future__ import annotations

import random

from micadeck.policy.actions import Action
from micadeck.policy.settings import Settings


class DecisionContext:
    """The inputs of a decision and the list of its actions.

    Only the balancer sets `now`, `actions` and the settings; its parts read them and append actions.
    """

    def __init__(self, settings: Settings, generator: random.Random) -> None:
        """Start at time 0; `generator` is the only source of randomness."""
        self.now = 0  # time of the event that is being handled, in microseconds
        self.actions: list[Action] = []
        self.random = generator
        self.settings = settings
        self.longest_objective_us = _longest_objective_us(settings)  # of all classes' latency objectives

    def replace_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self.settings = settings
        self.longest_objective_us = _longest_objective_us(settings)

    def jittered_time_after(self, objectives: float) -> int:
        """Return the time after this many longest objectives, with jitter.

        The jitter of 25% either way keeps balancers from acting at the same moment.
        """
        return self.now + int(objectives * self.longest_objective_us * (0.75 + 0.5 * self.random.random()))


def _longest_objective_us(settings: Settings) -> int:
    return max(service_class.latency_objective_us for service_class in settings.classes)
