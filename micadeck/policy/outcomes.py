"""How an attempt at a server can end."""

from __future__ import annotations

from enum import Enum, unique


@unique
class Outcome(Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"
    ERROR = "error"
    FULL = "full"
    EXPIRED = "expired"
    DIAL_FAILED = "dial_failed"
    TURNED_DOWN = "turned_down"  # nobody listens there, and the dial was told so at once
    DROPPED = "dropped"
    CANCELLED = "cancelled"
    UNSENT = "unsent"
    SPOILT = "spoilt"  # an answer came that can't be used; nothing is said of the server's health
    REJECTED = "rejected"  # the server is well and found fault with the request
