"""The engine: a request in, exactly one answer out.

It owns the decision module, its timers, the open requests, their attempts and the list of servers.  Fronts
bring requests, a carrier takes attempts to servers, a source tells who the servers are; `ports` says what
each must do.
"""

from micadeck.engine.engine import Engine, IdInUse
from micadeck.engine.outcome_counters import Account, Ends
from micadeck.engine.ports import (
    Carrier,
    Cause,
    Done,
    Entry,
    Listing,
    Messages,
    Request,
    Source,
    Waiter,
)

__all__ = [
    "Account",
    "Carrier",
    "Cause",
    "Done",
    "Ends",
    "Engine",
    "Entry",
    "IdInUse",
    "Listing",
    "Messages",
    "Request",
    "Source",
    "Waiter",
]
