"""Stale connections: idle ones that something on the path dropped without notice."""

from __future__ import annotations

import math
from typing import Final

from micadeck.policy.context import DecisionContext
from micadeck.policy.endpoints import Endpoint, EndpointRegistry
from micadeck.policy.open_requests import Attempt

MIN_IDLE_OBJECTIVES: Final = 0.25  # in longest objectives: a connection idle for less is assumed to be alive
FAILURE_WEIGHT: Final = 0.5  # one silent idle connection raises the probability from 0 to a half
ANSWER_WEIGHT: Final = 0.3  # lower: other servers' idle connections may be stale in spite of an answer
MEMORY_OBJECTIVES: Final = 16.0  # in longest objectives: time constant of the probability's decay
DISTRUST_PROBABILITY: Final = 0.25  # from here on idle connections are closed, not reused


class StaleConnectionDetector:
    """Decides whether an idle connection may be reused, from answers and silence on earlier ones.

    Owns the probability that an idle connection is stale, and the shortest idle time at which one was.  A
    request on a stale connection gets no answer although the endpoint is healthy; this prevents its
    ejection.  Hung servers look the same, and cost handshakes.
    """

    def __init__(self, context: DecisionContext, endpoints: EndpointRegistry) -> None:
        """Start with probability 0."""
        self._context = context
        self._endpoints = endpoints
        self._probability = 0.0  # as of _updated_at
        self._updated_at = 0
        self._shortest_idle_us = 0

    def take_connection(self, endpoint: Endpoint) -> int:
        """Return how long the connection to reuse has been idle; close it if it may be stale.

        Returns:
            Microseconds; 0 if the connection is new or recently used.
        """
        since, endpoint.idle_since = endpoint.idle_since, None
        idle = 0 if since is None else self._context.now - since
        min_idle = MIN_IDLE_OBJECTIVES * self._context.longest_objective_us
        if idle < min_idle or idle >= self._context.settings.limits.idle_close_us:
            return 0
        if self._current_probability() >= DISTRUST_PROBABILITY and 2 * idle >= self._shortest_idle_us:
            self._endpoints.close_idle(endpoint)
            return 0
        return idle

    def record_silence(self, attempt: Attempt) -> bool:
        """Learn from a silent attempt; return whether a stale connection may be the cause."""
        if attempt.is_silence_recorded:
            return attempt.suspects_stale_connection
        attempt.is_silence_recorded = True
        probability = self._current_probability()
        if not attempt.connection_idle_us:
            self._probability = probability * (1.0 - FAILURE_WEIGHT)  # silent without being idle
            return False
        if probability < DISTRUST_PROBABILITY or attempt.connection_idle_us < self._shortest_idle_us:
            self._shortest_idle_us = attempt.connection_idle_us
        self._probability = probability + FAILURE_WEIGHT * (1.0 - probability)
        self._endpoints.close_idle(attempt.endpoint)
        attempt.endpoint.idle_since = None
        return True

    def record_answer(self, attempt: Attempt) -> None:
        """Learn from an answered attempt, whose connection is idle from now on."""
        attempt.endpoint.idle_since = self._context.now
        idle = attempt.connection_idle_us
        if attempt.is_silence_recorded:
            self._probability = 0.0  # it was slow, not stale
        elif idle and idle >= self._shortest_idle_us:
            self._probability = self._current_probability() * (1.0 - ANSWER_WEIGHT)

    def _current_probability(self) -> float:
        now = self._context.now
        span = MEMORY_OBJECTIVES * self._context.longest_objective_us
        fade = math.exp((self._updated_at - now) / span)
        self._probability, self._updated_at = self._probability * fade, now
        return self._probability
