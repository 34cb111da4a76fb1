"""The engine for response handlers on other threads, which compete with it for the GIL."""

from __future__ import annotations

from typing import Any

from micadeck.engine import Engine
from micadeck.policy.events import AttemptEnded, Event, RequestArrived
from micadeck.policy.outcomes import Outcome

_PAUSE_US = 1_000  # between requests, at low load; also how long an event is deferred


class HandlerFirstEngine(Engine):
    """Lets the response handler run before the policy processes the end of the served attempt.

    At low load, when requests arrive with pauses between them, the policy receives that event a millisecond
    later or right before the next event; otherwise at once.  The order of events is the same.
    """

    def __init__(self, *args: Any) -> None:
        """Take the arguments of `Engine`."""
        super().__init__(*args)
        self._served_at = 0
        self._is_low_load = False  # whether the last request came after a pause
        self._deferred: AttemptEnded | None = None

    def _post(self, event: Event) -> None:
        self._post_deferred(self._deferred)
        if isinstance(event, RequestArrived):
            self._is_low_load = self._network.now() - self._served_at > _PAUSE_US
        elif isinstance(event, AttemptEnded) and event.outcome is Outcome.DELIVERED:
            self._served_at = self._network.now()
            if self._is_low_load:
                self._deferred = event
                self._network.call_later(_PAUSE_US / 1e6, self._post_deferred, event)
                return
        super()._post(event)

    def _post_deferred(self, event: AttemptEnded | None) -> None:
        """Pass a deferred event to the policy, unless already done."""
        if event is not None and event is self._deferred:
            self._deferred = None
            super()._post(event)
