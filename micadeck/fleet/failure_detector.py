"""Failure detection: direct and indirect probes, and probes of members that may have recovered."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from micadeck.fleet.dissemination import Dissemination
from micadeck.fleet.local_health import LocalHealth
from micadeck.fleet.local_member import LocalMember
from micadeck.fleet.member_records import MemberRecord, MemberState
from micadeck.fleet.member_table import MemberTable
from micadeck.fleet.messages import UNACKNOWLEDGED, Ack, Nack, Ping, PingRequest
from micadeck.fleet.outbox import Outbox
from micadeck.fleet.peer_digests import PeerDigests
from micadeck.fleet.probe_round import ProbeRound
from micadeck.fleet.settings import FleetSettings
from micadeck.fleet.timers import IndirectProbeTimeoutTimer, ProbeTimeoutTimer, TimerQueue
from micadeck.network import Address


@dataclass(slots=True)
class _Probe:
    """The probe of the current interval."""

    sequence: int
    target: MemberRecord
    requests: int = 0  # ping requests sent to other members
    nacks: int = 0
    is_acknowledged: bool = False
    is_missed: bool = False  # not answered directly in time


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    """A probe for another member."""

    requester: Address
    requester_sequence: int


@dataclass(slots=True, eq=False)
class FailureDetector:
    """Owns the probe of the current interval and the probes for others."""

    local: LocalMember
    table: MemberTable
    probe_round: ProbeRound
    digests: PeerDigests
    dissemination: Dissemination
    health: LocalHealth
    outbox: Outbox
    timers: TimerQueue
    settings: FleetSettings
    rng: random.Random
    _sequence: int = field(default=0, init=False)
    _probe: _Probe | None = field(default=None, init=False)
    _relayed_probes: dict[int, _RelayedProbe] = field(default_factory=dict, init=False)

    def probe_next_member(self) -> bool:
        """Probe the next member of the round; False if there is no other."""
        target = self.probe_round.next_target()
        if target is None:
            return False
        self._sequence += 1
        self._probe = _Probe(self._sequence, target)
        records = self.priority_records(target.name)
        self.outbox.send((target.host, target.port), Ping(self._sequence, self.table.digest), records)
        timeout_us = self.settings.probe_timeout_us * self.health.timeout_factor
        self.timers.schedule(timeout_us, ProbeTimeoutTimer(self._sequence))
        return True

    def finish_probe(self) -> None:
        """Evaluate the ending interval's probe; suspect a target that did not answer."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if probe.target.state is MemberState.ALIVE:
            self.health.record_probe(missed=probe.is_missed)
        if probe.is_acknowledged:
            self.health.improve()
            return
        # Nacks show that this member's own link works; missing ones suggest that it may not.
        missing_nacks = max(probe.requests - probe.nacks - 1, 0)
        self.health.degrade((not probe.nacks) + missing_nacks)
        current = self.table.get(probe.target.name)
        if current is not None and current.is_live and _same_incarnation(current, probe.target):
            self.dissemination.apply(current.observed_as(MemberState.SUSPECT, suspected_by=self.local.name))

    def send_indirect_probes(self, timer: ProbeTimeoutTimer) -> None:
        """Send ping requests to some members for a target that did not answer in time."""
        probe = self._probe
        if probe is None or probe.sequence != timer.sequence or probe.is_acknowledged:
            return
        probe.is_missed = True
        target = probe.target
        relays = [name for name in self.table.live_names(exclude=self.local.name) if name != target.name]
        for name in self.rng.sample(relays, min(self.settings.indirect_probes, len(relays))):
            probe.requests += 1
            request = PingRequest(probe.sequence, target.name, target.host, target.port, self.table.digest)
            self.outbox.send(self.address_of(name), request)

    def receive_ack(self, sequence: int) -> None:
        """Count the answer to a probe, for this member or another."""
        probe = self._probe
        if probe is not None and probe.sequence == sequence:
            probe.is_acknowledged = True
            self.local.is_established = True
        relayed = self._relayed_probes.pop(sequence, None)
        if relayed is not None:
            self.outbox.send(relayed.requester, Ack(relayed.requester_sequence, self.table.digest))

    def receive_nack(self, sequence: int) -> None:
        """Count an indirect probe that got no answer from the target."""
        if self._probe is not None and self._probe.sequence == sequence:
            self._probe.nacks += 1

    def receive_ping_request(self, requester: Address, request: PingRequest) -> None:
        """Probe a target for another member."""
        self._sequence += 1
        self._relayed_probes[self._sequence] = _RelayedProbe(requester, request.sequence)
        ping = Ping(self._sequence, self.table.digest)
        self.outbox.send((request.host, request.port), ping, self.priority_records(request.target))
        self.timers.schedule(self.settings.probe_timeout_us, IndirectProbeTimeoutTimer(self._sequence))

    def send_nack(self, timer: IndirectProbeTimeoutTimer) -> None:
        """Report that the target of a probe for another member did not answer in time."""
        relayed = self._relayed_probes.pop(timer.sequence, None)
        if relayed is not None:
            self.outbox.send(relayed.requester, Nack(relayed.requester_sequence, self.table.digest))

    def probe_lost_member(self, join_addresses: Sequence[Address]) -> None:
        """Ping a dead member, or a configured address without a member: a partition may have healed.

        Args:
            join_addresses: The configured addresses of members.
        """
        dead = [name for name, entry in self.table.entries.items() if entry.record.state is MemberState.DEAD]
        candidates = [(self.address_of(name), name) for name in dead]
        known = {self.address_of(name) for name in self.table.live_names(exclude=self.local.name)}
        known |= {address for address, _ in candidates}
        candidates += [(address, "") for address in join_addresses if address not in known]
        if candidates:
            address, name = self.rng.choice(candidates)
            self.outbox.send(address, Ping(UNACKNOWLEDGED, self.table.digest), self.priority_records(name))

    def discard_probes(self) -> None:
        """Discard the probes in flight, without a result."""
        self._probe = None
        self._relayed_probes.clear()

    def priority_records(self, name: str) -> list[MemberRecord]:
        """Return the records to send to a member ahead of other updates.

        These are the one that suspects it or declares it dead, so that it can refute, and this member's own,
        unless the receiver is in sync.
        """
        records: list[MemberRecord] = []
        record = self.table.get(name)
        if record is not None and record.state is not MemberState.ALIVE:
            records.append(record)
        if not self.digests.is_in_sync(name):
            records.append(self.local.record)
        return records

    def address_of(self, name: str) -> Address:
        """Return the address of a member in the table."""
        record = self.table.entries[name].record
        return record.host, record.port


def _same_incarnation(first: MemberRecord, second: MemberRecord) -> bool:
    return (first.start_us, first.incarnation) == (second.start_us, second.incarnation)
