"""A member on the sidecars' datagrams: sockets and timers for `Fleet`, and what follows for the sidecar."""

from __future__ import annotations

from collections.abc import Callable

from micadeck.engine import EndpointUpdate
from micadeck.fleet.claims import Facts, State
from micadeck.fleet.config import FleetConfig
from micadeck.fleet.core import Changed, Fleet, Output
from micadeck.fleet.messages import Rumour
from micadeck.network import Address, Network, Timer
from micadeck.peer_datagrams import PeerDatagrams
from micadeck.policy.events import ServerState

_GONE = {ServerState.DRAINING: "draining", ServerState.REMOVED: "gone"}
_WORDS = {State.ALIVE: "is there", State.DEAD: "is taken for dead", State.LEFT: "has left"}
_MOST_RUMOURS = 64  # of one list: a list that is all news says nothing of single servers


class FleetHost:
    """One sidecar's membership, from its start to its end."""

    def __init__(
        self,
        network: Network,
        peers: PeerDatagrams,
        config: FleetConfig,
        name: str,
        listen: Address,
        others: tuple[Address, ...],
        seed: int,
        log: Callable[[str], None],
        doubt: Callable[[], None],
    ) -> None:
        self._network = network
        self._peers = peers
        self._log = log
        self._doubt = doubt
        self._timer: Timer | None = None
        self._timer_due = 0
        self._is_closed = False
        self._said = ""
        place = config.advertise or listen
        self.fleet = Fleet(name, network.now(), place, config.keys, seed, config.settings, self._now())
        self.fleet.tell(self._now(), Facts(config.region))
        self.fleet.join(others)
        peers.receive_raw(self._heard)

    def start(self) -> None:
        self._arm()

    def reload(self, config: FleetConfig) -> None:
        """Use other keys, and tell another region; the rest waits for a restart."""
        self.fleet.seal.change(config.keys)
        facts = self.fleet.facts
        self.fleet.tell(self._now(), Facts(config.region, facts.per_s, facts.list_version))

    def listed(self, listing: EndpointUpdate) -> None:
        """What this sidecar is told of servers is news for those whose discovery is silent."""
        now = self._now()
        facts = self.fleet.facts
        self.fleet.tell(now, Facts(facts.region, facts.per_s, listing.version))
        if listing.full or len(listing.entries) > _MOST_RUMOURS:
            return
        for entry in listing.entries:
            word = _GONE.get(entry.listed.state)
            if word is not None:
                self.fleet.rumour(now, entry.listed.server, word, listing.version)

    def close(self) -> None:
        """Leave the fleet in good order."""
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._carry_out(self.fleet.leave(self._now(), self._network.wall()))

    def _now(self) -> int:
        return int(self._network.time() * 1e6)

    def _heard(self, source: Address, data: bytes) -> None:
        self._carry_out(self.fleet.heard(self._now(), self._network.wall(), source, data))

    def _tick(self) -> None:
        self._timer = None
        self._carry_out(self.fleet.tick(self._now(), self._network.wall()))

    def _arm(self) -> None:
        """Wait for what is due next; what came may have brought that forward."""
        due = self.fleet.due
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._network.call_later(max(due - self._now(), 0) / 1e6, self._tick)

    def _carry_out(self, output: Output) -> None:
        for place, data in output.datagrams:
            self._peers.send_raw(place, data)
        for event in output.events:
            match event:
                case Changed(claim) if claim.state in _WORDS:
                    self._log(f"fleet: {claim.name} {_WORDS[claim.state]}")
                case Rumour():
                    # Word from a peer only makes cautious: discovery is asked what became of the server.
                    self._doubt()
                case _:
                    pass
        if not self._is_closed:
            self._say()
            self._arm()

    def _say(self) -> None:
        """Tell operators how the view stands, when that changes."""
        fleet = self.fleet
        count = fleet.count()
        if fleet.is_superseded:
            said = "a later process has this name: it is the member"
        elif fleet.settled:
            said = f"{count.most} members, settled"
        elif count.least < count.most:
            said = f"from {count.least} to {count.most} members"
        else:
            return
        if said != self._said and (fleet.settled or fleet.is_superseded or "settled" in self._said):
            self._said = said
            self._log(f"fleet: {said}")
