"""The engine for response handlers on other threads, which compete with it for the interpreter's lock."""

from __future__ import annotations

from typing import Any

from micadeck.engine import Engine
from micadeck.policy.events import AttemptEnded, Event, RequestArrived
from micadeck.policy.outcomes import Outcome

_PAUSE_US = 1_000


class HandlerFirstEngine(Engine):
    """Lets the response handler run before the policy processes the attempt that served it.

    While requests come with pauses between them, the policy receives the end of a served attempt a
    millisecond later, or right before the next event, whichever is first; otherwise at once.  The order of
    events is the same.
    """

    def __init__(self, *args: Any) -> None:
        """Make an engine; the arguments are those of `Engine`."""
        super().__init__(*args)
        self._served_at = 0
        self._requests_have_pauses = False  # whether a pause preceded the last request
        self._deferred: AttemptEnded | None = None

    def _post(self, event: Event) -> None:
        self._post_deferred(self._deferred)
        if isinstance(event, RequestArrived):
            self._requests_have_pauses = self._network.now() - self._served_at > _PAUSE_US
        elif isinstance(event, AttemptEnded) and event.outcome is Outcome.DELIVERED:
            self._served_at = self._network.now()
            if self._requests_have_pauses:
                self._deferred = event
                self._network.call_later(_PAUSE_US / 1e6, self._post_deferred, event)
                return
        super()._post(event)

    def _post_deferred(self, event: AttemptEnded | None) -> None:
        """Pass a deferred event to the policy, unless that was done."""
        if event is not None and event is self._deferred:
            self._deferred = None
            super()._post(event)
