"""The engine: a request in, exactly one answer out.

It owns the decision module, its timers, the open requests, their attempts and the list of servers.  Fronts
bring requests, a carrier takes attempts to servers, a source tells who the servers are; `ports` says what
each must do.
"""

from micadeck.engine.engine import Engine, RequestIdInUseError
from micadeck.engine.outcome_counters import OutcomeCounters, OutcomeCounts
from micadeck.engine.ports import (
    AttemptCallback,
    EndpointEntry,
    EndpointSource,
    EndpointUpdate,
    FailureCause,
    PeerTransport,
    Request,
    ResponseHandler,
    Transport,
)

__all__ = [
    "AttemptCallback",
    "EndpointEntry",
    "EndpointSource",
    "EndpointUpdate",
    "Engine",
    "FailureCause",
    "OutcomeCounters",
    "OutcomeCounts",
    "PeerTransport",
    "Request",
    "RequestIdInUseError",
    "ResponseHandler",
    "Transport",
]
