"""Ports of the engine: requests and their handlers, transports, endpoint sources and peers.

Times are whole microseconds; `deadline_us` is a time on the network's clock.
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
# Listeners


def _has_retry() -> bool:
    """The answer for requests that no engine has accepted."""
    return True


@dataclass(slots=True)
class Request:
    """What the decisions need to know of a request.  Subclasses add what their transport needs."""

    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None
    client_retry: bool
    request_id: bytes  # set by the client; unique among open requests
    write: bool
    sticky_server: str | None = field(default=None, kw_only=True)  # the only server that can serve it
    is_complete: bool = field(default=True, kw_only=True)  # False: its body is still being received
    retired_class: ServiceClass | None = field(default=None, kw_only=True)  # its class, if no longer in force
    has_retry: Callable[[], bool] = field(default=_has_retry, kw_only=True)  # set by the engine
    """Whether another attempt would follow if the one in flight failed now."""

    def can_retry(self) -> bool:
        """Whether it is buffered completely, or none of it was sent, so that it can be sent again.

        Called when an attempt ends, and before one is written: another may be in flight.
        """
        return True

    def check_client(self) -> None:
        """Check the client's connection for an unread disconnect.

        If there is one, call `Engine.client_disconnected`.  Called before another attempt begins, and before
        one is written after its dial.
        """


@unique
class FailureCause(Enum):
    """Why a request failed."""

    SERVERS = "servers"  # errors, lost connections or malformed responses
    TIME = "time"  # no answer before the deadline
    DEFECT = "defect"  # a defect of this program


class ResponseHandler(Protocol):
    """Gets the final answer of a request: exactly one of these methods is called, once."""

    def served(self, response: Any) -> None:
        """Handle a server's answer, as the transport made it."""

    def refused(self, retry_after_us: int) -> None:
        """Handle a refusal: a retry is harmless, after this delay if it is above 0."""

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        """Handle a failure; `may_have_run` is false only if no server can have started on the request."""


# ---------------------------------------------------------------------------------------------------
# Servers

AttemptCallback = Callable[[Outcome, Any, Mapping[str, float] | None], None]
"""Gets an attempt's outcome, the response if there is one, and the load report it carried."""


class Transport(Protocol):
    """Sends attempts to servers.  Calls each `on_done` exactly once, never from within these methods."""

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Apply an endpoint list or its changes, before any action that follows from it."""

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
            deadline_us: When the attempt times out.
            request: The request, as the listener made it.
            on_done: Called when the attempt has ended.
            write_deadline_us: An attempt that is not written in full by then is not written at all, and ends
                as unsent; None: no limit.

        Returns:
            A handle of the attempt for `set_deadline`, `cancel` and `withdraw`.
        """

    def set_deadline(self, attempt: Any, deadline_us: int) -> None:
        """Change the deadline of an attempt."""

    def cancel(self, attempt: Any) -> None:
        """Stop the attempt: nothing more is written for it, and on return it has ended."""

    def withdraw(self, attempt: Any) -> None:
        """End the attempt as unsent unless it is written in full: it is no longer needed."""

    def probe(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None:
        """Send a health check to a server."""

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server."""

    def close(self) -> None:
        """Close all connections."""


# ---------------------------------------------------------------------------------------------------
# Membership


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One server of an endpoint list, with the address at which this process reaches it."""

    endpoint: ListedServer
    address: Address | None  # None: it was removed


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A complete endpoint list, or changes to it."""

    version: int
    full: bool
    entries: tuple[EndpointEntry, ...]

    def event(self, kind: ListKind | None = None) -> ServersListed:
        """The event for the decisions; `kind` defaults to the one that `full` implies."""
        default_kind = ListKind.COMPLETE if self.full else ListKind.CHANGES
        return ServersListed(kind or default_kind, [entry.endpoint for entry in self.entries], self.version)


class EndpointSource(Protocol):
    """Reports the endpoint list.  Every `watch` and `fetch` is answered by an update or a failure."""

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None:
        """Start to report updates and failed calls."""

    def watch(self, wanted: bool) -> None:
        """Start or stop reporting changes."""

    def fetch(self) -> None:
        """Report the complete list once."""

    def suspect_stale(self) -> None:
        """Check whether the list is out of date: a listed server refused a connection."""

    def close(self) -> None:
        """Stop reporting, and close all connections."""


# ---------------------------------------------------------------------------------------------------
# Other sidecars


class PeerTransport(Protocol):
    """Sends short messages between the sidecars of a tier."""

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send to one sidecar, or to all (None); return whether it could be sent at all."""

    def close(self) -> None:
        """Close the socket."""


@dataclass(frozen=True, slots=True)
class EnginePorts:
    """What an engine is connected to.

    Attributes:
        network: The clock and timers.
        transport: Sends attempts to servers.
        source: Reports the endpoint list.
        peers: Sends messages to other sidecars.
    """

    network: Network
    transport: Transport
    source: EndpointSource
    peers: PeerTransport
