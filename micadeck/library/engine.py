"""The engine for waiters on other threads of this process, who can't run while the engine's thread does."""

from __future__ import annotations

from typing import Any

from micadeck.engine import Engine
from micadeck.policy.events import AttemptEnded, Event, RequestArrived
from micadeck.policy.outcomes import Outcome

_PAUSE_US = 1_000


class HandlerFirstEngine(Engine):
    """Lets a waiter run before the decisions hear of the attempt that served it.

    While requests come with pauses between, they hear a millisecond later, or right before the next event,
    whichever is first; otherwise at once.  The order of events is the same.
    """

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self._served_at = 0
        self._are_pauses = False  # whether the last answer was followed by one
        self._held: AttemptEnded | None = None

    def _post(self, event: Event) -> None:
        self._release(self._held)
        if isinstance(event, RequestArrived):
            self._are_pauses = self._network.now() - self._served_at > _PAUSE_US
        elif isinstance(event, AttemptEnded) and event.outcome is Outcome.DELIVERED:
            self._served_at = self._network.now()
            if self._are_pauses:
                self._held = event
                self._network.call_later(_PAUSE_US / 1e6, self._release, event)
                return
        super()._post(event)

    def _release(self, event: AttemptEnded | None) -> None:
        """Tell the decisions of this attempt, unless they have heard."""
        if event is not None and event is self._held:
            self._held = None
            super()._post(event)
