"""Full backoff: pauses a class of requests at an endpoint that was full for it.

Some servers reject one class or tenant while they have capacity for others.  Selection skips paused
endpoints as long as there are others.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from micadeck.policy.context import DecisionContext
from micadeck.policy.endpoints import Endpoint

FIRST_BACKOFF_OBJECTIVES: Final = 0.5  # in longest objectives; doubles with every full response in a row
MAX_BACKOFF_OBJECTIVES: Final = 4.0  # in longest objectives


@dataclass(slots=True, eq=False)
class FullBackoff:
    """The pause of one class at one endpoint."""

    objectives: float = 0.0  # length of the pause, in longest objectives
    until: int = 0


def record_full(context: DecisionContext, endpoint: Endpoint, service_class: str) -> None:
    """Begin a pause after a full response, twice as long as the one before it."""
    backoff = endpoint.full_backoffs.setdefault(service_class, FullBackoff())
    doubled = min(2.0 * backoff.objectives, MAX_BACKOFF_OBJECTIVES)
    backoff.objectives = doubled if backoff.objectives else FIRST_BACKOFF_OBJECTIVES
    backoff.until = context.jittered_time_after(backoff.objectives)


def record_response(endpoint: Endpoint, service_class: str) -> None:
    """End the pause after a response, and reset its length."""
    endpoint.full_backoffs.pop(service_class, None)


def is_backing_off(context: DecisionContext, endpoint: Endpoint, service_class: str) -> bool:
    """Return whether the class is paused at the endpoint."""
    backoff = endpoint.full_backoffs.get(service_class)
    return backoff is not None and context.now < backoff.until
