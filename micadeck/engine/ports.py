"""What meets the engine: requests and those who wait for their answers, carriers, sources, messages.

Times are whole microseconds; `deadline_us` is a point on the network's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any, Protocol

from micadeck.network import Address
from micadeck.policy.events import ListedServer, ListKind, ServersListed
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import ServiceClass

# ---------------------------------------------------------------------------------------------------
# Towards fronts


@dataclass(slots=True)
class Request:
    """What the decisions need to know of a request.  What a carrier needs beside it, a subclass holds."""

    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None
    client_retry: bool
    request_id: bytes  # the client's name for it; no two open requests share one
    write: bool
    sticky_server: str | None = field(default=None, kw_only=True)  # the one server that can serve it
    is_complete: bool = field(default=True, kw_only=True)  # False: its body is still coming
    retired_class: ServiceClass | None = field(default=None, kw_only=True)  # its class, if no longer in force

    def can_go_again(self) -> bool:
        """Whether all of it is kept; it is asked when an attempt has ended."""
        return True

    def check_client(self) -> None:
        """Find out whether the client has left, where that may lie unread.

        It then calls `Engine.client_disconnected`.

        It is asked before another attempt begins, and before one is written after its dial.
        """


@unique
class FailureCause(Enum):
    """Why a request failed."""

    SERVERS = "servers"  # they answered with errors, broke off, or sent what can't be used
    TIME = "time"  # no answer came in its time
    DEFECT = "defect"  # this program went wrong


class ResponseHandler(Protocol):
    """Whoever waits for the one answer of a request: exactly one of these is called, once."""

    def served(self, response: Any) -> None:
        """Take a server's answer, as the carrier made it."""

    def refused(self, retry_after_us: int) -> None:
        """Trying again is harmless; not before so long, if that is above 0."""

    def failed(self, cause: FailureCause, may_have_run: bool) -> None:
        """Nothing is promised; `may_have_run` is false only if no server can have begun it."""


# ---------------------------------------------------------------------------------------------------
# Towards servers

AttemptCallback = Callable[[Outcome, Any, Mapping[str, float] | None], None]
"""How an attempt ended, the answer if there is one, and the load report that came with it."""


class Transport(Protocol):
    """Carries attempts to servers.  Calls each `on_done` exactly once, never from within these methods."""

    def update_endpoints(self, listing: EndpointUpdate) -> None:
        """Take over a list or its changes, before any action that follows from it."""

    def start(
        self,
        server: str,
        deadline_us: int,
        request: Any,
        on_done: AttemptCallback,
        write_deadline_us: int | None = None,
    ) -> Any:
        """Begin an attempt; the result names it to `cancel`.

        What has not been written whole at `write_deadline_us` is not written at all, and ends unsent.
        """

    def set_deadline(self, attempt: Any, deadline_us: int) -> None:
        """Give the attempt up at another time than was said at its start."""

    def cancel(self, attempt: Any) -> None:
        """Stop waiting.  Nothing is written for it from here on, and what is out has ended on return."""

    def withdraw(self, attempt: Any) -> None:
        """Nobody waits for it: if it is not written whole yet, it never is, and ends unsent."""

    def probe(self, server: str, deadline_us: int, on_done: AttemptCallback) -> None: ...

    def close_idle(self, server: str) -> None: ...

    def close(self) -> None: ...


# ---------------------------------------------------------------------------------------------------
# Towards membership


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """A line of the list, with where the server can be reached from here."""

    listed: ListedServer
    address: Address | None  # None: it left


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The list of servers, or what changed in it."""

    version: int
    full: bool
    entries: tuple[EndpointEntry, ...]

    def event(self, kind: ListKind | None = None) -> ServersListed:
        by_form = ListKind.COMPLETE if self.full else ListKind.CHANGES
        return ServersListed(kind or by_form, [each.listed for each in self.entries], self.version)


class EndpointSource(Protocol):
    """Tells who the servers are.  Every `follow` and `fetch` is answered by a list or by a failure."""

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None: ...

    def watch(self, wanted: bool) -> None:
        """Tell changes from now on, or no longer."""

    def fetch(self) -> None:
        """Tell the whole list once."""

    def suspect_stale(self) -> None:
        """Nobody listens where the list has a server: see whether the list is still discovery's own."""

    def close(self) -> None: ...


# ---------------------------------------------------------------------------------------------------
# Towards other sidecars


class PeerTransport(Protocol):
    """Short messages between the sidecars of a tier."""

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send to one sidecar, or to all; say whether it could be sent at all."""

    def close(self) -> None: ...
