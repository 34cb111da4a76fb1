"""Runs a fleet member on the sidecars' datagrams: sockets, timers, log lines, and hints to discovery."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from micadeck.engine import EndpointUpdate
from micadeck.fleet.config import FleetConfig
from micadeck.fleet.fleet_member import FleetMember
from micadeck.fleet.member_records import MemberRecord, MemberState, Metadata
from micadeck.fleet.messages import EndpointHint
from micadeck.fleet.outbox import MemberChanged, Output
from micadeck.network import Address, Network, Timer
from micadeck.peer_datagrams import PeerDatagrams
from micadeck.policy.events import ServerState

_HINTED_CHANGES = {ServerState.DRAINING: "draining", ServerState.REMOVED: "gone"}  # values on the wire
_LOGGED_STATES = {
    MemberState.ALIVE: "is alive",
    MemberState.DEAD: "is declared dead",
    MemberState.LEFT: "has left",
}
_SETTLED = "settled"
_MAX_HINTS_PER_UPDATE = 64  # a larger update is a new list rather than single changes


@dataclass(slots=True, eq=False)
class FleetHost:
    """Owns the fleet member of one sidecar, its timer, and what was logged last.

    It sends nothing until `start`.
    """

    network: Network
    peers: PeerDatagrams
    config: FleetConfig
    name: str
    listen: Address  # where this sidecar receives datagrams
    join_addresses: tuple[Address, ...]  # where other members may be
    random_seed: int
    log: Callable[[str], None]
    suspect_stale: Callable[[], None]  # makes the sidecar query discovery, as its endpoint list may be stale
    member: FleetMember = field(init=False)
    _timer: Timer | None = field(default=None, init=False)
    _timer_due: int = field(default=0, init=False)
    _is_closed: bool = field(default=False, init=False)
    _logged_count: str = field(default="", init=False)

    def __post_init__(self) -> None:
        """Make the member and receive its datagrams."""
        address = self.config.advertise or self.listen
        identity = MemberRecord.of_process(self.name, self.network.now(), address)
        config = self.config
        self.member = FleetMember(identity, config.keys, self.random_seed, config.settings, self._now())
        self.member.set_metadata(self._now(), Metadata(config.region))
        self.member.join(self.join_addresses)
        self.peers.receive_raw(self._receive)

    def start(self) -> None:
        """Start to probe the other members."""
        self._set_timer()

    def reload(self, config: FleetConfig) -> None:
        """Use other keys and publish another region; other changes need a restart."""
        self.member.authenticator.set_keys(config.keys)
        metadata = msgspec.structs.replace(self.member.metadata, region=config.region)
        self.member.set_metadata(self._now(), metadata)

    def publish_endpoint_update(self, update: EndpointUpdate) -> None:
        """Pass on which endpoints drain or were removed, for members that can't reach discovery."""
        now = self._now()
        metadata = msgspec.structs.replace(self.member.metadata, endpoint_list_version=update.version)
        self.member.set_metadata(now, metadata)
        if update.full or len(update.entries) > _MAX_HINTS_PER_UPDATE:
            return
        for entry in update.entries:
            change = _HINTED_CHANGES.get(entry.endpoint.state)
            if change is not None:
                self.member.broadcast_hint(now, EndpointHint(entry.endpoint.server, change, update.version))

    def close(self) -> None:
        """Leave the fleet."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._process(self.member.leave(self._now(), self.network.wall()))

    def _now(self) -> int:
        return int(self.network.time() * 1e6)

    def _receive(self, source: Address, datagram: bytes) -> None:
        self._process(self.member.receive(self._now(), self.network.wall(), source, datagram))

    def _tick(self) -> None:
        self._timer = None
        self._process(self.member.tick(self._now(), self.network.wall()))

    def _set_timer(self) -> None:
        """Schedule a tick for the member's next timer, which a datagram may bring forward."""
        due = self.member.next_due
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = self.network.call_later(max(due - self._now(), 0) / 1e6, self._tick)

    def _process(self, output: Output) -> None:
        for address, datagram in output.datagrams:
            self.peers.send_raw(address, datagram)
        for event in output.events:
            match event:
                case MemberChanged(record) if record.state in _LOGGED_STATES:
                    self.log(f"fleet: {record.name} {_LOGGED_STATES[record.state]}")
                case EndpointHint():
                    self.suspect_stale()
                case _:
                    pass
        if not self._is_closed:
            self._log_member_count()
            self._set_timer()

    def _log_member_count(self) -> None:
        """Log the number of members when it changes; bounds only after a settled number."""
        member = self.member
        count = member.count_members()
        if member.is_superseded:
            text = "superseded by a later process with this name"
        elif member.is_settled:
            text = f"{count.max_members} members, {_SETTLED}"
        elif count.min_members < count.max_members:
            text = f"from {count.min_members} to {count.max_members} members"
        else:
            return
        is_certain = member.is_settled or member.is_superseded
        if text != self._logged_count and (is_certain or _SETTLED in self._logged_count):
            self._logged_count = text
            self.log(f"fleet: {text}")
