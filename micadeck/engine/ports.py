"""Ports of the engine: requests and who handles their answers, transports, endpoint sources and peers.

Times are whole microseconds; `deadline_us` is a point on the network's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Protocol

from micadeck.network import Address, Network
from micadeck.policy.events import ListedServer, ListKind, ServersListed
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import ServiceClass

# ---------------------------------------------------------------------------------------------------
# Towards listeners


@dataclass(slots=True)
class Request:
    """What the decisions need to know of a request.  Subclasses hold what their transport needs too."""

    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None
    client_retry: bool
    request_id: bytes  # the client's; no two open requests share one
    write: bool
    sticky_server: str | None = field(default=None, kw_only=True)  # the only server that can serve it
    is_complete: bool = field(default=True, kw_only=True)  # False: its body is still coming
    retired_class: ServiceClass | None = field(default=None, kw_only=True)  # its class, if no longer in force

    def can_go_again(self) -> bool:
        """Whether all of it is buffered for another attempt; called when an attempt has ended."""
        return True

    def check_client(self) -> None:
        """Find out whether the client has left, where that may lie unread on its connection.

        If so, it calls `Engine.client_disconnected`.  It is called before another attempt begins, and before
        one is written after its dial.
        """


@unique
class FailureCause(Enum):
    """Why a request failed."""

    SERVERS = "servers"  # they answered with errors, broke off, or sent what can't be used
    TIME = "time"  # there was no answer in its time
    DEFECT = "defect"  # this program went wrong


class ResponseHandler(Protocol):
    """Gets the one final answer of a request: exactly one of these is called, once."""

    def served(self, response: Any) -> None:
        """Take a server's answer, as the transport made it."""

    def refused(self, retry_after_us: int) -> None:
        """Take a refusal: a retry is harmless, but not before so long, if that is above 0."""

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        """Take a failure; `may_have_run` is false only if no server can have started on the request."""


# ---------------------------------------------------------------------------------------------------
# Towards servers

AttemptCallback = Callable[[Outcome, Any, Mapping[str, float] | None], None]
"""How an attempt ended, the answer if there is one, and the load report that it carried."""


class Transport(Protocol):
    """Carries attempts to servers.  Calls each `on_done` exactly once, never from within these methods."""

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Take over an endpoint list or its changes, before any action that follows from it."""

    def start(
        self,
        server: str,
        deadline_us: int,
        request: Any,
        on_done: AttemptCallback,
        write_deadline_us: int | None = None,
    ) -> Any:
        """Begin an attempt.

        Args:
            server: The server's name on the endpoint list.
            deadline_us: When the attempt is given up.
            request: The request, as the listener made it.
            on_done: Is called with how the attempt ended.
            write_deadline_us: What has not been written in full by then is not written at all, and ends as
                unsent; None: any time.

        Returns:
            The attempt's name for `set_deadline`, `cancel` and `withdraw`.
        """

    def set_deadline(self, attempt: Any, deadline_us: int) -> None:
        """Give the attempt up at another time than was said at its start."""

    def cancel(self, attempt: Any) -> None:
        """Stop waiting.  Nothing is written for it from here on, and on return it is over."""

    def withdraw(self, attempt: Any) -> None:
        """Nobody waits for it: if it is not written in full yet, it never is, and ends as unsent."""

    def probe(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None:
        """Send a health check to a server."""

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""

    def close(self) -> None:
        """Close all connections."""


# ---------------------------------------------------------------------------------------------------
# Towards membership


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One server of an endpoint list, with where it can be reached from here."""

    listed: ListedServer
    address: Address | None  # None: it left


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An endpoint list, or the changes of one."""

    version: int
    full: bool
    entries: tuple[EndpointEntry, ...]

    def event(self, kind: ListKind | None = None) -> ServersListed:
        """The event for the decisions; its kind follows from `full` unless it is given."""
        default_kind = ListKind.COMPLETE if self.full else ListKind.CHANGES
        return ServersListed(kind or default_kind, [entry.listed for entry in self.entries], self.version)


class EndpointSource(Protocol):
    """Reports the endpoint list.  Every `watch` and `fetch` is answered by an update or a failure."""

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None:
        """Report updates and failed calls to these from now on."""

    def watch(self, wanted: bool) -> None:
        """Report changes from now on, or no longer."""

    def fetch(self) -> None:
        """Report the complete list once."""

    def suspect_stale(self) -> None:
        """Check whether the list is still discovery's own: a listed server refused a connection."""

    def close(self) -> None:
        """Report nothing any more, and close all connections."""


# ---------------------------------------------------------------------------------------------------
# Towards other sidecars


class PeerTransport(Protocol):
    """Carries short messages between the sidecars of a tier."""

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send to one sidecar, or to all (None); return whether it could be sent at all."""

    def close(self) -> None:
        """Close the socket."""


@dataclass(frozen=True, slots=True)
class EnginePorts:
    """What an engine is connected to.

    Attributes:
        network: The clock and timers.
        transport: Carries attempts to servers.
        source: Reports the endpoint list.
        peers: Carries messages to other sidecars.
    """

    network: Network
    transport: Transport
    source: EndpointSource
    peers: PeerTransport
