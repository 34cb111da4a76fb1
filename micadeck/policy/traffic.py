"""What is asked for, by tenant and class.  It decides nothing."""

from __future__ import annotations

from dataclasses import dataclass

from micadeck.policy.decaying_rate import DecayingRate
from micadeck.policy.settings import ServiceClass


@dataclass(slots=True, eq=False)
class TrafficShare:
    """One tenant's traffic of one class."""

    kind: ServiceClass
    tenant: str | None
    rate: DecayingRate
