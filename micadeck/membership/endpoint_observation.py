"""What one source reports about one endpoint, and how far the source is trusted."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum, unique

from micadeck.engine import EndpointEntry
from micadeck.network import Address


@unique
class Precedence(IntEnum):
    """The state that a source reports; of several for one endpoint, the highest holds."""

    READY = 0
    UNHEALTHY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """One source's report about one endpoint.

    Attributes:
        address: Identifies the endpoint.
        precedence: The reported state.
        reason: Why the source reports it, as text.
        name: The source's id of the endpoint; empty if it is named by its address.
        zone: The locality.
        kind: The type of the server.
        cell: The number of the cell; 0 if unknown.
        weight: The load balancing weight.
        started_at: When the process started, in microseconds of Unix time; None if unknown.
    """

    address: Address
    precedence: Precedence
    reason: str = ""
    name: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: int | None = None

    @classmethod
    def from_entry(cls, entry: EndpointEntry, precedence: Precedence, reason: str = "") -> Observation:
        """Return an entry of the engine's list as an observation; the entry must have an address."""
        assert entry.address is not None
        listed = entry.endpoint
        return cls(
            address=entry.address,
            precedence=precedence,
            reason=reason,
            name=listed.server,
            zone=listed.zone,
            kind=listed.kind,
            cell=listed.cell,
            weight=listed.nominal,
            started_at=listed.started_at,
        )


@dataclass(frozen=True, slots=True)
class SourceTrust:
    """How far a source is trusted; times in seconds.

    Attributes:
        max_silence_s: Its list is used this long without an answer.
        empty_confirm_s: An empty list is accepted when it is repeated this much later.
        panic_threshold: The fraction of its endpoints that stays in use when too many are unhealthy.
        flap_threshold: The number of transitions within the window that count as flapping.
        flap_window_s: The window of flap detection.
        removal_hold_s: How long an endpoint that it removed stays out of use if others list it.
        is_available_at: Whether its nodes are available at this Unix time; None if they always are.
    """

    max_silence_s: float = 3_600.0
    empty_confirm_s: float = 2.0
    panic_threshold: float = 0.5
    flap_threshold: int = 4
    flap_window_s: float = 30.0
    removal_hold_s: float = 60.0
    is_available_at: Callable[[float], bool] | None = None


FULL_TRUST = SourceTrust(
    max_silence_s=float("inf"), empty_confirm_s=0.0, panic_threshold=0.0, flap_threshold=1 << 30
)
"""For a source without panic threshold, flap detection or expiry."""
