"""The engine: exactly one final answer for every request.

It owns the decisions, their timers, the open requests and their attempts.  Listeners submit requests, a
transport sends attempts to servers, a source reports the endpoint list; `ports` defines them.
"""

from micadeck.engine.engine import Engine, RequestIdInUseError
from micadeck.engine.outcome_counters import OutcomeCounters, OutcomeCounts
from micadeck.engine.ports import (
    AttemptCallback,
    EndpointEntry,
    EndpointSource,
    EndpointUpdate,
    EnginePorts,
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
    "EnginePorts",
    "FailureCause",
    "OutcomeCounters",
    "OutcomeCounts",
    "PeerTransport",
    "Request",
    "RequestIdInUseError",
    "ResponseHandler",
    "Transport",
]
