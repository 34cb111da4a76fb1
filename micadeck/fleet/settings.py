"""Settings of the membership protocol, by their keys in the fleet's file."""

from __future__ import annotations

import math

import msgspec

_CONFIGURATION_KEYS = {
    "probe_interval_us": "period_us",
    "probe_timeout_us": "answer_within_us",
    "indirect_probes": "helpers",
    "suspicion_multiplier": "suspicion_periods",
    "suspicion_max_factor": "suspicion_most",
    "suspicion_loss_factor": "suspicion_lossy",
    "max_health_score": "slow_most",
    "retransmit_multiplier": "spread",
    "dead_retention_us": "forget_us",
    "tombstone_retention_us": "remember_us",
    "hint_lifetime_us": "rumours_us",
}


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename=_CONFIGURATION_KEYS):
    """Intervals and limits of the protocol; all members of a fleet should have the same."""

    probe_interval_us: int = 500_000
    probe_timeout_us: int = 200_000  # until indirect probes are sent
    indirect_probes: int = 3
    suspicion_multiplier: float = 1.5  # shortest suspicion, in probe intervals per factor of ten in members
    suspicion_max_factor: float = 3.0  # longest suspicion, as a multiple of the shortest
    suspicion_loss_factor: float = 8.0  # weight of the fraction of missed probes that prolongs a suspicion
    max_health_score: int = 8  # Lifeguard's local health: timeouts are multiplied by up to 1 + this
    retransmit_multiplier: float = 3.0  # transmissions of an update per doubling of the members
    dead_retention_us: int = 60_000_000  # until a dead member is removed from the table
    tombstone_retention_us: int = 600_000_000  # until the last record of a removed member is dropped
    hint_lifetime_us: int = 10_000_000  # how long an endpoint hint is passed on

    def suspicion_timeout_us(self, members: int, confirmations: int) -> int:
        """Return how long a suspicion lasts, in microseconds.

        Args:
            members: The number of live members.
            confirmations: The number of further members with the same suspicion; each shortens it.
        """
        shortest = self.suspicion_multiplier * max(1.0, math.log10(max(members, 1))) * self.probe_interval_us
        longest = self.suspicion_max_factor * shortest
        expected_confirmations = min(self.indirect_probes, max(members - 2, 0))
        if not expected_confirmations:
            return int(shortest)
        confirmed = math.log(confirmations + 1) / math.log(expected_confirmations + 1)
        return int(max(longest - (longest - shortest) * confirmed, shortest))

    def transmit_limit(self, members: int) -> int:
        """Return how often one member sends an update, by the number of live members."""
        return math.ceil(self.retransmit_multiplier * math.log2(members + 2))
