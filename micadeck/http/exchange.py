"""One request to one server over a connection of the pool."""

from __future__ import annotations

from collections.abc import Callable

from micadeck.engine import AttemptCallback
from micadeck.http.client import ANSWER_TIMEOUT_S, STREAM_DEADLINE_GRACE_S, ClientConnection
from micadeck.http.messages import Request, Response
from micadeck.http.request_validation import ValidatedRequest
from micadeck.network import Network, Timer

_MIN_RETRY_TIME_S = 2 * ANSWER_TIMEOUT_S  # left, for a retry to be worth giving up an answer that stalls


class Exchange:
    """One request to one server: an attempt, or a health check.

    `on_done` is called exactly once, never from within `start` or `cancel`.
    """

    __slots__ = (
        "_network",
        "connection",
        "deadline_us",
        "ended",
        "is_answer_unwanted",
        "message",
        "on_done",
        "request",
        "server",
        "timer",
        "write_deadline_us",
    )

    def __init__(
        self,
        network: Network,
        server: str,
        deadline_us: int,
        message: Callable[[int], Request],
        on_done: AttemptCallback,
        *,
        request: ValidatedRequest | None = None,
        write_deadline_us: int | None = None,
    ) -> None:
        self._network = network
        self.server = server
        self.deadline_us = deadline_us
        self.message = message  # builds the request, given the remaining time in microseconds
        self.on_done = on_done
        self.request = request  # None: a health check
        self.write_deadline_us = write_deadline_us  # when an unwritten request is dropped; None: no limit
        self.ended = False
        self.is_answer_unwanted = False  # its answer began, and nobody takes it
        self.connection: ClientConnection | None = None  # set once writing starts
        self.timer: Timer | None = None

    @property
    def is_unwritten(self) -> bool:
        """Whether a part of it is unsent, so that no server can have started on it."""
        return self.connection is None or self.connection.is_unwritten

    @property
    def is_body_spent(self) -> bool:
        """Whether a part of the body was passed on by another attempt, and is not kept."""
        return self.request is not None and not self.request.can_retry()

    @property
    def is_probe(self) -> bool:
        """Whether it is a health check."""
        return self.request is None

    @property
    def start_streaming(self) -> Callable[[Response], bool] | None:
        """Takes an answer that is too large to buffer; None: nobody does."""
        return None if self.request is None else self.request.start_streaming

    def check_client(self) -> None:
        """Check whether the client has disconnected, which ends the exchange."""
        if self.request is not None:
            self.request.check_client()

    def time_left_s(self) -> float:
        """How long until the deadline, in seconds; see `RetryOutlook`."""
        return (self.deadline_us - self._network.now()) / 1e6

    def is_possible(self) -> bool:
        """Whether another server would be asked in time; see `RetryOutlook`."""
        has_time = self.time_left_s() >= _MIN_RETRY_TIME_S
        return has_time and (self.request is None or self.request.has_retry())

    def response_deadline(self) -> float:
        """When a streamed answer has to be complete, on the network's clock."""
        return self._network.time() + self.time_left_s() + STREAM_DEADLINE_GRACE_S

    def start_streaming_answer(self, response: Response) -> bool:
        """Start streaming an answer that is too large to buffer; return False if nobody takes it."""
        connection = self.connection
        if self.ended or self.start_streaming is None or connection is None or connection.is_unwritten:
            return False  # nobody waits, or the response precedes the end of the request
        if self.timer is not None:
            self.timer.cancel()  # from here on the connection enforces the deadline
        connection.set_response_deadline(self.response_deadline())
        response.abandon = connection.abandon
        response.attempt = self
        self.is_answer_unwanted = not self.start_streaming(response)
        return not self.is_answer_unwanted
