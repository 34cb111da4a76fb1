"""The actions that a balancer returns, in the order in which they are to be carried out.

Times are integers, in microseconds.  Actions are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order they are sent."""

    request: int
    server: str
    until: int  # time at which the attempt is abandoned
    write_by: int | None = None  # no byte of the request may be written later; None: no such limit


@dataclass(slots=True)
class Refuse:
    """Final answer: rejected; sending the request again is safe."""

    request: int
    retry_after_us: int = 0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetAttemptDeadline:
    """Replace the time at which a pending attempt is abandoned."""

    request: int
    attempt: int
    until: int


@dataclass(slots=True)
class SetTimer:
    """Deliver a TimerFired after this time."""

    in_us: int
    token: str


@dataclass(slots=True)
class Probe:
    """Send a health check to a server."""

    server: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one peer, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to changes of the server list, or unsubscribe."""

    wanted: bool = True


@dataclass(slots=True)
class FetchList:
    """Fetch the complete server list once."""


@dataclass(slots=True)
class Log:
    """Write a log line for the operators."""

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
