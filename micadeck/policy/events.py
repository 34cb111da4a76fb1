"""The events that a balancer handles.

Times are integers, in microseconds.  Events are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import ServiceClass, Settings


@unique
class ServerState(Enum):
    """The state that the server list gives a server."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@unique
class ListKind(Enum):
    """How to read a server list."""

    CHANGES = "changes"  # changed entries only
    COMPLETE = "complete"  # all servers: one that is missing is removed
    REMEMBERED = "remembered"  # all servers, as cached before a restart
    FAILED = "failed"  # a call failed or the subscription broke; nothing changes


@dataclass(slots=True)
class ListedServer:
    """An entry of the server list."""

    server: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: ServerState = ServerState.READY
    nominal: float = 1.0
    started_at: int | None = None  # None: long ago, it is not cold


@dataclass(slots=True)
class ServersListed:
    """The server list was received, or a call for it failed."""

    kind: ListKind
    servers: Sequence[ListedServer] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request arrived; it must get exactly one final answer."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # the client's estimate of the work, if given
    client_retry: bool = False
    write: bool = False
    sticky_server: str | None = None  # session affinity: the only server that can serve it
    kind: ServiceClass | None = None  # None: the class of that name in the settings in force
    is_complete: bool = True  # False: RequestCompleted follows with its last byte


@dataclass(slots=True)
class RequestCompleted:
    """The last byte of a request was received; its time counts from here."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class AnswerStarted:
    """The response to an attempt has started and is being streamed to the client."""

    request: int
    attempt: int
    server: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.  `answered`: the client has its final answer, by this outcome or an earlier one."""

    request: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed_us: int
    answered: bool
    report: Mapping[str, float] | None = None
    can_retry: bool = True  # False: the request is not fully buffered, so it cannot be sent again


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected; the request needs no answer any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(slots=True)
class ProbeEnded:
    """A health check ended."""

    server: str
    outcome: Outcome
    elapsed_us: int
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from here on; open requests keep the class that they arrived with.

    The instance's zone and number and the discovery mode never change.
    """

    settings: Settings


@dataclass(slots=True)
class MessageReceived:
    """A message from a peer arrived."""

    sender: int
    payload: bytes


Event = (
    ServersListed
    | RequestArrived
    | RequestCompleted
    | AnswerStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | MessageReceived
    | SettingsChanged
)
