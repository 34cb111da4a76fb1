"""What the daemon and the library share: the engine with its transport, endpoint sources and peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from micadeck.config import Config
from micadeck.engine import Engine
from micadeck.http.body_stream import BufferBudget
from micadeck.http.upstream import ConnectionPool
from micadeck.membership.discovery_watcher import DiscoveryWatcher
from micadeck.memory.budget import MemoryBudget
from micadeck.memory.resident import MB
from micadeck.network import Network, place
from micadeck.operations import share_of
from micadeck.peer_datagrams import PeerDatagrams
from micadeck.policy import IS_COMPILED
from micadeck.policy.settings import DiscoveryMode

if TYPE_CHECKING:
    from micadeck.fleet.host import FleetHost
    from micadeck.incidents.recording import Recording
    from micadeck.membership.sources import EndpointSources
    from micadeck.policy import Balancer, Settings
    from micadeck.traces.record import Recorder

_RESERVED = 48  # descriptors for everything but clients and servers
_LEAST_ROOM = 16  # of the rest, however many processes share it
_FOR_CLIENTS = 0.5  # of the rest
_PASSED_ON_OF_MEMORY = (1 << 20) // 8  # and what bodies may that are passed on as they come
_ONLY_AT_START = (
    "trace",
    "records",
    "records_mb",
    "name",
    "listen",
    "operator",
    "peer_listen",
    "seed",
    "memory_mb",
)
_SETTINGS_AT_START = ("zone", "me", "discovery")  # of the settings
_LOOK_AGAIN_S = 0.01  # while it drains


class Core:
    """An engine with its HTTP carrier, roster and messages, as one configuration asks for them."""

    def __init__(
        self,
        config: Config,
        network: Network,
        log: Callable[[str], None],
        make_engine: Callable[..., Engine] = Engine,
    ) -> None:
        settings = config.settings
        self.config = config
        self.network = network
        self.others = 0  # processes of this sidecar that share its limits
        self._log = log
        self.memory = MemoryBudget(config.memory_mb * MB)
        self.budget = BufferBudget(config.memory_mb * _PASSED_ON_OF_MEMORY, self.memory)
        self.upstream = ConnectionPool(network, settings, self.budget)
        is_pushed = settings.discovery is DiscoveryMode.PUSHED
        self.roster = (
            DiscoveryWatcher(
                network,
                config.discovery,
                config.known.version,
                is_pushed,
                allowed_us=settings.rules.max_poll_interval_us,
                grace_us=settings.rules.drain_grace_us,
                seed=f"{config.seed} {config.name}",
                log=log,
            )
            if config.discovery
            else None
        )
        self.sources = self._with_consul(config)
        source = self.sources or self.roster
        assert source is not None  # the configuration has one of them
        self.peers = PeerDatagrams(network, config.peers, config.peers_all, settings.me)
        self.engine = make_engine(settings, config.seed, network, self.upstream, source, self.peers, log)
        self.fleet = self._with_fleet(config, source.suspect_stale)
        self.recorder = self._recorded(config) if config.trace else None
        self.recording = self._with_records(config) if config.records else None
        self._divide_descriptors()

    def _recorded(self, config: Config) -> Recorder | None:
        """Record what the decisions hear; without the wish for it, nothing of it is loaded."""
        if IS_COMPILED:  # the compiled types can't be written down
            self._log("trace: no recording: the decisions are compiled, set MICADECK_INTERPRETED")
            return None
        from micadeck.traces.record import Recorder

        recorders: list[Recorder] = []

        def around(balancer: Balancer) -> Balancer:
            recorder = Recorder(balancer, config.settings, config.seed, Path(config.trace), self._log)
            recorders.append(recorder)
            return recorder  # type: ignore[return-value]  # all that the engine calls is `handle`

        try:
            self.engine.record(around)
        except OSError as fault:
            self._log(f"trace: no recording: {fault}")
        return recorders[0] if recorders else None

    def _with_fleet(self, config: Config, doubt: Callable[[], None]) -> FleetHost | None:
        """A member of the fleet; without the wish for it, nothing of it is loaded."""
        if config.fleet is None:
            return None
        assert config.peer_listen is not None  # the configuration sees to it
        from micadeck.fleet.host import FleetHost

        listen, me = config.peer_listen, config.settings.me
        others = tuple(each for number, each in enumerate(config.peers) if number != me)
        fleet = FleetHost(
            self.network, self.peers, config.fleet, config.name, listen, others, config.seed, self._log, doubt
        )
        self.engine.on_listed = fleet.listed
        return fleet

    def _with_records(self, config: Config) -> Recording | None:
        """Record what happens, for whoever looks into an incident; else nothing of it is loaded."""
        from micadeck.incidents.recording import Recording
        from micadeck.incidents.segments import Limits

        limits = Limits(most_bytes=config.records_mb << 20)
        try:
            recording = Recording(config.name, Path(config.records), limits, self.network, self._log)
        except OSError as fault:
            self._log(f"records: no recording: {fault}")
            return None
        self.engine.record(
            lambda balancer: recording.around(balancer, config.settings, self.engine)  # type: ignore[return-value, arg-type]
        )
        return recording

    def _with_consul(self, config: Config) -> EndpointSources | None:
        """The roster and Consul as one source; without Consul, nothing of it is loaded."""
        if config.consul is None:
            return None
        from micadeck.membership.sources import EndpointSources

        return EndpointSources(
            self.network, self.roster, config.known, config.consul, config.seed, config.name, self._log
        )

    async def start(self) -> None:
        """Take up the last known list."""
        config = self.config
        if config.settings.limits.may_message and config.peer_listen is not None:
            await self.peers.listen(config.peer_listen, self.engine.receive_peer_message)
            if self.fleet is not None:
                self.fleet.start()
        self.engine.start(config.known)

    def retune(self, settings: Settings) -> None:
        """Put other settings in force."""
        if settings == self.config.settings:
            return
        self.config = replace(self.config, settings=settings)
        self.upstream.retune(settings)
        if self.roster is not None:
            self.roster.allow(settings.rules.max_poll_interval_us, settings.rules.drain_grace_us)
        self.engine.retune(settings)

    def reload(self, config: Config, announce: Callable[[Settings], object] | None = None) -> None:
        """Take over what a new configuration may change in a running engine; name what it may not.

        Its settings, changed or not, are given to `announce`, which has them put in force (`retune`); without
        it, they are in force at once.  Raises ConfigError, and changes nothing, if keys are missing that the
        running configuration has.
        """
        before = self.config
        config.replaces(before)
        announce = announce or self.retune
        kept = [key for key in _ONLY_AT_START if getattr(config, key) != getattr(before, key)]
        # Whether there is a roster, and whether Consul, is settled at the start.
        kept += [
            key
            for key in ("discovery", "consul", "mysql", "fleet")
            if (getattr(config, key) is None) != (getattr(before, key) is None)
        ]
        if self.roster is not None and config.discovery not in (None, before.discovery):
            self.roster.move(config.discovery)
        if self.sources is not None and config.consul not in (None, before.consul):
            self.sources.reload(config.consul)
        self.peers.rename(config.peers, config.peers_all)
        if self.fleet is not None and config.fleet is not None:
            self.fleet.reload(config.fleet)
        in_force = {key: getattr(before.settings, key) for key in _SETTINGS_AT_START}
        kept += [
            f"settings.{key}" for key, value in in_force.items() if getattr(config.settings, key) != value
        ]
        announce(replace(config.settings, **in_force))
        by_name = {key: getattr(before, key) for key in kept if "." not in key}
        self.config = replace(config, settings=before.settings, **by_name)
        self._divide_descriptors()
        waits = f"; only a restart takes up {', '.join(kept)}" if kept else ""
        places = [place(config.discovery)] if config.discovery else []
        if config.consul is not None:
            places += [f"consul ({', '.join(each.name for each in config.consul.services)})"]
        self._log(f"reloaded: discovery at {' and '.join(places)}{waits}")

    def _divide_descriptors(self) -> None:
        room = max(share_of(self.config.sockets, self.others) - _RESERVED, _LEAST_ROOM)
        self.for_clients = int(room * _FOR_CLIENTS)
        self.upstream.most = room - self.for_clients
        memory_mb = share_of(self.config.memory_mb, self.others)
        self.budget.most = memory_mb * _PASSED_ON_OF_MEMORY
        self.memory.limit(memory_mb * MB)

    def beside(self, others: int) -> None:
        """Share the limits with so many other processes of this sidecar."""
        self.others = others
        self._divide_descriptors()
        self.upstream.trim()

    def close(self) -> None:
        """Let go of everything, at once."""
        if self.fleet is not None:
            self.fleet.close()
        self.engine.close()

    async def drain(self, within_s: float) -> None:
        """Wait until all that was taken has its answer; what has none by then has failed."""
        network, engine = self.network, self.engine
        until = network.time() + within_s
        engine.stop_by(network.now() + int(within_s * 1e6))
        while engine.owed_answers and network.time() < until:
            await network.sleep(_LOOK_AGAIN_S)
        engine.fail_open_requests()
