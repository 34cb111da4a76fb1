"""How an attempt at a server can end."""

from __future__ import annotations

from enum import Enum, unique


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "expired"
    CONNECT_FAILED = "dial_failed"
    CONNECTION_REFUSED = "turned_down"  # no server listens there
    CONNECTION_LOST = "dropped"
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"
    MALFORMED = "spoilt"  # an unusable response, which says little about the server's health
    REJECTED = "rejected"  # a healthy server found the request invalid
