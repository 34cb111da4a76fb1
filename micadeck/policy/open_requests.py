"""Records of the open requests and of their attempts.  They decide nothing."""

from __future__ import annotations

from dataclasses import dataclass, field

from micadeck.policy.endpoints import Endpoint
from micadeck.policy.settings import ServiceClass


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    index: int
    endpoint: Endpoint
    zone: str  # of the endpoint as the attempt was sent: a list may move it
    cell: int
    sent_at: int
    answers_before: int  # answers of all endpoints until then
    is_pending: bool = True
    may_have_run: bool = True  # until an outcome proves that it did not
    is_transferring: bool = False  # its request or its response is in transfer, and nothing is worked on
    response_started: bool = False
    connection_idle_us: int = 0  # 0: its connection was new or in steady use
    is_silence_recorded: bool = False  # the stale connection detector has counted its silence
    opens_connection: bool = False  # it is the first on its connection, and pays for the handshake
    is_overload_recorded: bool = False  # the concurrency limit has counted its lateness

    @property
    def suspects_stale_connection(self) -> bool:
        """Whether its silence is attributed to a connection that had been idle."""
        return self.is_silence_recorded and self.connection_idle_us > 0


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that was admitted; it is kept until it is answered and its last attempt has ended."""

    request_id: int
    service_class: ServiceClass
    answer_by: int
    relative_cost: float  # 1.0: the mean of its class
    sticky_endpoint: str | None  # the one endpoint that can serve it
    attempt_limit: int  # as allowed at its arrival; 0 once its content cannot be sent again
    is_complete: bool  # its last byte was received
    cost_exponent: int = 0  # of its relative cost, by powers of two
    attempts: list[Attempt] = field(default_factory=list)
    failed_endpoints: list[Endpoint] = field(default_factory=list)  # full ones included
    full_responses: int = 0
    refused_connections: int = 0  # attempts of which nothing was written, since nobody listened
    is_answered: bool = False

    def has_pending_attempt(self) -> bool:
        """Return whether an attempt has not ended yet."""
        return any(each.is_pending for each in self.attempts)
