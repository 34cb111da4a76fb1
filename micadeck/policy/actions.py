"""The actions that a balancer asks for, in the order in which they are to be carried out.

Times are whole microseconds.  Actions are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order they are sent."""

    request: int
    server: str
    until: int  # clock time at which the attempt is abandoned
    write_by: int | None = None  # its last byte is written by then or never; None: any time


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; trying again is harmless."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; nothing is promised."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetAttemptDeadline:
    """Abandon an attempt that is out at another time than its Send said."""

    request: int
    attempt: int
    until: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired."""

    in_us: int
    token: str


@dataclass(slots=True)
class Probe:
    """Test a server."""

    server: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one balancer of the tier, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the server list, or end that."""

    wanted: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask once for the complete server list."""


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | SetAttemptDeadline
    | SetTimer
    | Probe
    | CloseIdle
    | SendPeerMessage
    | WatchEndpoints
    | FetchList
    | Log
)
