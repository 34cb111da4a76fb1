"""Open requests: accepted, and unanswered or with an attempt in flight.  No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from micadeck.engine.ports import Request, ResponseHandler
from micadeck.engine.recent_ids import RecentIds
from micadeck.policy.outcomes import Outcome


class OpenRequest:
    """A request from its acceptance until it is answered and its attempts have ended.

    Attributes:
        handler: Gets the final answer; None once it was given or the client has disconnected.
        request: The request as the listener made it.
        deadline_us: Its deadline, on the network's clock.
        attempts: The transport's handles of its attempts, in the order they were sent.
        in_flight: How many of these have not ended.
        is_id_kept: Whether the client got no answer: its id stays in use while an attempt is in flight,
            and after it if one may have run.
        last_outcome: Outcome of the attempt that ended last.
        may_have_run: Whether a server may have started on it, by the attempts that have ended.
        sent: For each attempt, its server and when it was sent, in microseconds.
        answering: Index of the attempt whose answer is being passed on; None: no answer has started.
        completed_at: When its last byte was received, if that was after its acceptance; else 0.
        response_delay_us: How long the answer's first part took; None: no part was delivered.
    """

    __slots__ = (
        "answering",
        "attempts",
        "completed_at",
        "deadline_us",
        "handler",
        "in_flight",
        "is_id_kept",
        "last_outcome",
        "may_have_run",
        "request",
        "response_delay_us",
        "sent",
    )

    def __init__(self, handler: ResponseHandler, request: Request, deadline_us: int) -> None:
        """Open a request without attempts."""
        self.handler: ResponseHandler | None = handler
        self.request = request
        self.deadline_us = deadline_us
        self.attempts: list[Any] = []
        self.in_flight = 0
        self.is_id_kept = False
        self.last_outcome: Outcome | None = None
        self.may_have_run = False
        self.sent: list[tuple[str, int]] = []
        self.answering: int | None = None
        self.completed_at = 0
        self.response_delay_us: int | None = None


class OpenRequests(dict[int, OpenRequest]):
    """The open requests by number; owns their numbering and the ids in use.

    Attributes:
        ids_in_use: Ids of unanswered requests, and of those that may have run without an answer.
        unanswered: How many requests have no final answer.
    """

    def __init__(self, now_us: Callable[[], int]) -> None:
        """Start with no request, on this clock."""
        super().__init__()
        self.ids_in_use: set[bytes] = set()
        self.unanswered = 0
        self._now_us = now_us
        self._recent_ids = RecentIds()
        self._next_number = 1

    def add(self, handler: ResponseHandler, request: Request, deadline_us: int) -> int:
        """Open a request, and return its number."""
        number = self._next_number
        self._next_number += 1
        self[number] = OpenRequest(handler, request, deadline_us)
        self.ids_in_use.add(request.request_id)
        self.unanswered += 1
        return number

    def is_answered(self, number: int) -> bool:
        """Whether a request has its final answer or needs none any more."""
        opened = self.get(number)
        return opened is None or opened.handler is None

    def is_settled(self, number: int) -> bool:
        """Whether no other attempt can answer a request: it is answered, or an answer is being passed on."""
        opened = self.get(number)
        return opened is None or opened.handler is None or opened.answering is not None

    def take_handler(self, opened: OpenRequest, *, keeps_id: bool) -> ResponseHandler | None:
        """Mark a request as answered; return its handler, None if it was answered before.

        Args:
            opened: The request.
            keeps_id: Whether its client gets no answer of a server, and no promise that a retry is harmless.
        """
        handler, opened.handler = opened.handler, None
        if handler is not None:
            self.unanswered -= 1
            opened.is_id_kept = keeps_id
            if not keeps_id:
                self.ids_in_use.discard(opened.request.request_id)
        return handler

    def remove_if_over(self, number: int) -> None:
        """Forget a request once it is answered and has no attempt in flight."""
        opened = self.get(number)
        if opened is not None and opened.handler is None and opened.in_flight == 0:
            del self[number]
            if opened.is_id_kept:
                self._release_id(opened)

    def _release_id(self, opened: OpenRequest) -> None:
        """Forget the id of a request whose attempts have ended, or remember it if it may have run."""
        request = opened.request
        forgotten = [request.request_id]
        if opened.may_have_run and request.write:
            forgotten = self._recent_ids.add(self._now_us(), request.request_id)
        for request_id in forgotten:
            self.ids_in_use.discard(request_id)

    def store_ids_in(self, ids: set[bytes]) -> None:
        """Store the ids in use in this set, the present ones too."""
        for request_id in self.ids_in_use:
            ids.add(request_id)
        self.ids_in_use = ids
