"""Records of the open requests and their attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from micadeck.policy.endpoints import Endpoint
from micadeck.policy.settings import ServiceClass


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    index: int
    endpoint: Endpoint
    zone: str  # of the endpoint when the attempt was sent: a later list may change it
    cell: int
    sent_at: int  # or when the request was complete, if that was later
    answers_before: int  # count of answers by all endpoints when it was sent
    is_pending: bool = True
    may_have_run: bool = True  # until an outcome proves that it did not
    is_transferring: bool = False  # its request or response is in transfer, the server is not working on it
    response_started: bool = False
    connection_idle_us: int = 0  # 0: its connection was new or recently used
    is_silence_recorded: bool = False  # the stale connection detector has counted its silence
    opens_connection: bool = False  # it is the first on its connection and includes the handshake
    is_overload_recorded: bool = False  # the concurrency limit has counted its lateness
    is_hedged: bool = False  # another attempt was sent while this one was silent

    @property
    def suspects_stale_connection(self) -> bool:
        """Whether its silence is attributed to a connection that had been idle."""
        return self.is_silence_recorded and self.connection_idle_us > 0


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that has arrived; kept until it is answered and its last attempt ended."""

    request_id: int
    service_class: ServiceClass
    answer_by: int
    relative_cost: float  # 1.0: the mean of its class
    sticky_endpoint: str | None  # session affinity: the only endpoint that can serve it
    attempt_limit: int  # by the settings at its arrival; 0 once it cannot be sent again
    is_complete: bool  # its last byte has been received
    cost_exponent: int = 0  # binary exponent of its relative cost
    attempts: list[Attempt] = field(default_factory=list)
    failed_endpoints: list[Endpoint] = field(default_factory=list)  # including full ones
    full_responses: int = 0
    refused_connections: int = 0  # attempts that wrote nothing, since no server listened
    is_answered: bool = False

    def has_pending_attempt(self) -> bool:
        """Return whether an attempt has not ended yet."""
        return any(attempt.is_pending for attempt in self.attempts)

    def pending_attempts(self) -> int:
        """Return how many attempts have not ended yet."""
        return sum(attempt.is_pending for attempt in self.attempts)
