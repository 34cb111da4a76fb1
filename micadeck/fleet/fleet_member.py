"""One member of the fleet: coordinates failure detection, dissemination and anti-entropy.

In each probe interval one other member is pinged.  If it does not answer in time, further members ping it
too; if no answer comes by the end of the interval, it is suspected, and declared dead unless it refutes that.
Updates and digests are piggybacked on these messages; anti-entropy starts where digests differ.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from micadeck.fleet.anti_entropy import AntiEntropy
from micadeck.fleet.authentication import DatagramAuthenticator, Keys
from micadeck.fleet.broadcast_queue import BroadcastQueue
from micadeck.fleet.dissemination import Dissemination
from micadeck.fleet.failure_detector import FailureDetector
from micadeck.fleet.local_health import LocalHealth
from micadeck.fleet.local_member import LocalMember
from micadeck.fleet.member_records import MemberRecord, Metadata
from micadeck.fleet.member_table import MemberCount, MemberTable
from micadeck.fleet.messages import (
    MAX_ENDPOINT_BYTES,
    UNACKNOWLEDGED,
    Ack,
    BranchDigests,
    BranchRecords,
    EndpointHint,
    Message,
    Nack,
    PiggybackMessage,
    Ping,
    PingRequest,
)
from micadeck.fleet.outbox import Outbox, Output
from micadeck.fleet.peer_digests import PeerDigests
from micadeck.fleet.probe_round import ProbeRound
from micadeck.fleet.settings import FleetSettings
from micadeck.fleet.suspicion import SuspicionTracker
from micadeck.fleet.timers import (
    IndirectProbeTimeoutTimer,
    ProbeIntervalTimer,
    ProbeTimeoutTimer,
    SuspicionTimer,
    Timer,
    TimerQueue,
)
from micadeck.network import Address

_REMOVAL_INTERVALS = 8  # probe intervals between removals of expired members
_LOST_PROBE_INTERVALS = 4  # probe intervals between probes of lost members
_MAX_EXTRA_LOST_PROBES = 3  # per interval, after members recovered
_DEPARTURE_RECEIVERS = 6  # members that are notified of a departure directly


class FleetMember:
    """One member, without I/O: its host passes in time and datagrams, and sends the resulting output.

    In all methods `now` is on a monotonic clock and `wall` is Unix time, both in microseconds.
    """

    def __init__(
        self, identity: MemberRecord, keys: Keys, random_seed: int, settings: FleetSettings, now: int
    ) -> None:
        """Start a member that knows only itself.

        Args:
            identity: The name, start and address of this process.
            keys: The keys in force.
            random_seed: The seed of this member's random choices.
            settings: The protocol's settings.
            now: The current time.
        """
        rng = random.Random(random_seed)
        self.name = identity.name
        self.settings = settings
        self.table = MemberTable()
        self.authenticator = DatagramAuthenticator(identity.name, identity.start_us, keys)
        self.health = LocalHealth(settings.max_health_score)
        self.timers = TimerQueue(now)
        self.malformed_messages = 0  # from holders of a key
        self._local = LocalMember(identity, self.authenticator, now)
        self._digests = PeerDigests(self.table, self.timers, self.health, settings)
        self._anti_entropy = AntiEntropy(self.table, rng, self.authenticator.max_message_bytes())
        broadcasts = BroadcastQueue()
        self._outbox = Outbox(self.authenticator, self._local, self.table, broadcasts, self.timers, settings)
        self._suspicions = SuspicionTracker(self.table, self.timers, self.health, settings)
        probe_round = ProbeRound(self.table, self.name, rng)
        self._dissemination = Dissemination(
            local=self._local,
            table=self.table,
            broadcasts=broadcasts,
            suspicions=self._suspicions,
            probe_round=probe_round,
            health=self.health,
            outbox=self._outbox,
            timers=self.timers,
            settings=settings,
            rng=rng,
        )
        self._detector = FailureDetector(
            local=self._local,
            table=self.table,
            probe_round=probe_round,
            digests=self._digests,
            dissemination=self._dissemination,
            health=self.health,
            outbox=self._outbox,
            timers=self.timers,
            settings=settings,
            rng=rng,
        )
        self._rng = rng
        self._join_addresses: list[Address] = []
        self._intervals = 0
        self._dissemination.publish_self()
        self.timers.schedule(rng.randrange(settings.probe_interval_us), ProbeIntervalTimer())

    @property
    def next_due(self) -> int:
        """When `tick` is to be called next."""
        return self.timers.next_due

    @property
    def record(self) -> MemberRecord:
        """The record that this member publishes about itself."""
        return self._local.record

    @property
    def metadata(self) -> Metadata:
        """What this member publishes about itself."""
        return self._local.metadata

    @property
    def is_superseded(self) -> bool:
        """Whether a later process has this name."""
        return self._local.is_superseded

    @property
    def is_settled(self) -> bool:
        """Whether the peers that this member received from last hold the same table."""
        return self._digests.is_settled

    def count_members(self) -> MemberCount:
        """Return bounds of the number of members, as far as this one knows."""
        return self._digests.count_members()

    def join(self, addresses: Iterable[Address]) -> None:
        """Contact these addresses while no member is known there; one answer is enough."""
        self._join_addresses = [address for address in addresses if address != self._local.address]

    def tick(self, now: int, wall: int) -> Output:
        """Fire the timers that are due."""
        self._start_step(now, wall)
        if now - self.next_due > self.settings.probe_interval_us:
            self._recover_from_pause()
        while (timer := self.timers.pop_due(now)) is not None:
            self._fire(timer)
        return self._outbox.finish_step()

    def receive(self, now: int, wall: int, source: Address, datagram: bytes) -> Output:
        """Process a datagram.

        Args:
            now: The current time.
            wall: Unix time.
            source: The address of its sender.
            datagram: Its bytes, which may be anything.
        """
        self._start_step(now, wall)
        decoded = self.authenticator.decode(wall, datagram)
        if decoded is not None and decoded[0] != self.name and not self._local.is_silenced:
            sender, raw_message = decoded
            try:
                self._receive_message(sender, source, msgspec.convert(raw_message, Message))
            except msgspec.ValidationError:
                self.malformed_messages += 1
        return self._outbox.finish_step()

    def set_metadata(self, now: int, metadata: Metadata) -> None:
        """Publish changed metadata, at limited intervals."""
        if self._local.set_metadata(metadata):
            self.timers.advance(now)
            self._dissemination.publish_metadata_if_due()

    def broadcast_hint(self, now: int, hint: EndpointHint) -> None:
        """Pass on a change of an endpoint that this member learned from discovery."""
        self.timers.advance(now)
        if len(hint.endpoint) <= MAX_ENDPOINT_BYTES:  # a longer name does not fit a datagram
            self._dissemination.pass_on_hint(hint)

    def leave(self, now: int, wall: int) -> Output:
        """Announce that this member leaves; it sends nothing afterwards."""
        self._start_step(now, wall)
        departure = self._local.departure()
        peers = self.table.live_names(exclude=self.name)
        for name in self._rng.sample(peers, min(_DEPARTURE_RECEIVERS, len(peers))):
            ping = Ping(UNACKNOWLEDGED, self.table.digest)
            self._outbox.send(self._detector.address_of(name), ping, [departure])
        self._local.has_left = True
        return self._outbox.finish_step()

    def _start_step(self, now: int, wall: int) -> None:
        self.timers.advance(now)
        self._outbox.start_step(wall)

    def _fire(self, timer: Timer) -> None:
        match timer:
            case ProbeIntervalTimer():
                self._start_probe_interval()
            case ProbeTimeoutTimer():
                self._detector.send_indirect_probes(timer)
            case IndirectProbeTimeoutTimer():
                self._detector.send_nack(timer)
            case SuspicionTimer():
                dead = self._suspicions.expire(timer)
                if dead is not None:
                    self._dissemination.apply(dead)

    def _start_probe_interval(self) -> None:
        self._detector.finish_probe()
        interval_us = self.settings.probe_interval_us * self.health.timeout_factor
        self.timers.schedule(interval_us, ProbeIntervalTimer())
        if self._local.is_silenced:
            return
        self._anti_entropy.start_interval()
        self._dissemination.publish_metadata_if_due()
        if self._intervals % _REMOVAL_INTERVALS == 0:
            self._remove_expired_members()
        has_probed = self._detector.probe_next_member()
        self._intervals += 1
        self._probe_lost_members(has_probed=has_probed)

    def _remove_expired_members(self) -> None:
        settings = self.settings
        removed = self.table.remove_expired(
            self.timers.now, settings.dead_retention_us, settings.tombstone_retention_us
        )
        for name in removed:
            self._digests.remove(name)

    def _probe_lost_members(self, *, has_probed: bool) -> None:
        """Probe members that may be on the other side of a partition, more of them while some recover."""
        is_regular = not has_probed or self._intervals % _LOST_PROBE_INTERVALS == 0
        extra_probes = min(self._dissemination.take_recovered_members(), _MAX_EXTRA_LOST_PROBES)
        for _ in range(extra_probes + is_regular):
            self._detector.probe_lost_member(self._join_addresses)

    def _recover_from_pause(self) -> None:
        """Discard all in flight: this process was paused, so missing answers say nothing about peers."""
        self.health.degrade_fully()
        self._detector.discard_probes()
        self._digests.clear()
        for suspicion in self.timers.remove_all_but_probe_interval():
            self._suspicions.restart(suspicion)

    def _receive_message(self, sender: str, source: Address, message: Message) -> None:
        if isinstance(message, PiggybackMessage):
            self._dissemination.receive(message.updates)
        # The address that a member publishes is preferred: NAT or a proxy on the path may hide it.
        address = self._detector.address_of(sender) if sender in self.table.entries else source
        match message:
            case Ping(sequence):
                self._receive_digest(sender, address, message.digest)
                ack = Ack(sequence, self.table.digest)
                self._outbox.send(address, ack, self._detector.priority_records(sender))
            case Ack(sequence):
                self._detector.receive_ack(sequence)
                self._receive_digest(sender, address, message.digest)
            case PingRequest():
                self._receive_digest(sender, address, message.digest)
                self._detector.receive_ping_request(address, message)
            case Nack(sequence):
                self._detector.receive_nack(sequence)
            case BranchDigests():
                self._outbox.send_all(address, self._anti_entropy.receive_branch_digests(message))
            case BranchRecords():
                self._dissemination.receive(message.records)
                self._outbox.send_all(address, self._anti_entropy.receive_branch_records(message))

    def _receive_digest(self, sender: str, address: Address, digest: int) -> None:
        self._digests.record(sender, digest)
        self._outbox.send_all(address, self._anti_entropy.receive_table_digest(digest))
