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
    CONNECTION_REFUSED = "turned_down"  # nobody listens there, and the dial was told so at once
    CONNECTION_LOST = "dropped"
    CANCELLED = "cancelled"
    NOT_SENT = "unsent"
    MALFORMED = "spoilt"  # an answer came that can't be used; nothing is said of the server's health
    REJECTED = "rejected"  # the server is well and found fault with the request
