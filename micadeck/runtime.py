"""The runtime of the daemon and the library: the engine with transport, endpoint sources and peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from micadeck.config import Config
from micadeck.engine import Engine, EnginePorts
from micadeck.graceful_shutdown import drain_engine
from micadeck.http.buffer_budget import BufferBudget
from micadeck.http.upstream import ConnectionPool
from micadeck.membership.discovery_watcher import DiscoveryWatcher, WatchOptions
from micadeck.memory.budget import MemoryBudget
from micadeck.memory.resident import MB
from micadeck.network import Network, format_address
from micadeck.operations import divide_limit
from micadeck.peer_datagrams import PeerDatagrams
from micadeck.policy import IS_COMPILED
from micadeck.policy.settings import DiscoveryMode
from micadeck.reload import plan_reload

if TYPE_CHECKING:
    from micadeck.fleet.host import FleetHost
    from micadeck.incidents.recording import Recording
    from micadeck.membership.sources import EndpointSources
    from micadeck.policy import Balancer, Settings
    from micadeck.traces.record import Recorder

_RESERVED_DESCRIPTORS = 48  # for everything except connections to clients and servers
_MIN_DESCRIPTORS = 16  # for clients and servers, however many processes share the limit
_CLIENT_FRACTION = 0.5  # of the descriptors for clients and servers
_BUFFER_BYTES_PER_MB = (1 << 20) // 8  # for streamed bodies, per MB of the memory limit


class Runtime:
    """The engine with its transport, endpoint sources and peers, as one configuration defines them.

    Owns the configuration in force, and this process's part of limits shared by several processes.

    Attributes:
        config: The configuration in force.
        network: The clock, timers and sockets.
        memory: The memory budget of the process.
        buffer_budget: The budget for streamed bodies.
        upstream: The HTTP transport: attempts and the pool of connections to servers.
        discovery: The watcher of the platform's list; None if only Consul is configured.
        sources: Discovery and Consul as one source; None without Consul.
        peers: Datagrams between the sidecars of the tier.
        engine: The engine.
        fleet: This sidecar's fleet membership; None if not configured.
        recorder: Writes the trace of the decisions' events; None if not configured or not writable.
        recording: Writes the incident records; None if not configured or not writable.
        max_client_connections: Limit of open client connections.
    """

    def __init__(
        self,
        config: Config,
        network: Network,
        log: Callable[[str], None],
        make_engine: Callable[..., Engine] = Engine,
    ) -> None:
        """Create all components; `start` runs them.

        Args:
            config: The configuration.
            network: The clock, timers and sockets.
            log: Writes one line.
            make_engine: Creates the engine.
        """
        settings = config.settings
        self.config = config
        self.network = network
        self.max_client_connections = 0
        self._sibling_count = 0  # other processes of this sidecar
        self._log = log
        self.memory = MemoryBudget(config.memory_mb * MB)
        self.buffer_budget = BufferBudget(config.memory_mb * _BUFFER_BYTES_PER_MB, self.memory)
        self.upstream = ConnectionPool(network, settings, self.buffer_budget)
        self.discovery = self._make_discovery()
        self.sources = self._make_sources()
        source = self.sources or self.discovery
        assert source is not None  # the configuration has one of them
        self.peers = PeerDatagrams(network, config.peers, config.peers_all, settings.me)
        ports = EnginePorts(network, self.upstream, source, self.peers)
        self.engine = make_engine(settings, config.seed, ports, log)
        self.fleet = self._make_fleet(source.suspect_stale)
        self.recorder = self._make_recorder() if config.trace else None
        self.recording = self._make_recording() if config.records else None
        self._divide_limits()

    def _make_discovery(self) -> DiscoveryWatcher | None:
        config, settings = self.config, self.config.settings
        if config.discovery is None:
            return None
        rules = settings.rules
        options = WatchOptions(
            settings.discovery is DiscoveryMode.PUSHED,
            rules.max_poll_interval_us,
            rules.drain_grace_us,
            f"{config.seed} {config.name}",
        )
        return DiscoveryWatcher(self.network, config.discovery, config.known.version, options, self._log)

    def _make_sources(self) -> EndpointSources | None:
        """Discovery and Consul as one source; without Consul, its modules are not loaded."""
        config = self.config
        if config.consul is None:
            return None
        from micadeck.membership.sources import DiscoveryState, EndpointSources

        discovery = DiscoveryState(self.discovery, config.known)
        return EndpointSources(
            self.network, discovery, config.consul, f"{config.seed} {config.name}", self._log
        )

    def _make_fleet(self, suspect_stale: Callable[[], None]) -> FleetHost | None:
        """The fleet membership; without the key, its modules are not loaded."""
        config = self.config
        if config.fleet is None:
            return None
        assert config.peer_listen is not None  # checked by the configuration
        from micadeck.fleet.host import FleetHost

        own_number = config.settings.me
        fleet = FleetHost(
            self.network,
            self.peers,
            config.fleet,
            config.name,
            config.peer_listen,
            tuple(address for number, address in enumerate(config.peers) if number != own_number),
            config.seed,
            self._log,
            suspect_stale,
        )
        self.engine.on_endpoint_update = fleet.publish_endpoint_update
        return fleet

    def _make_recorder(self) -> Recorder | None:
        """The trace recorder; without the key, its modules are not loaded."""
        if IS_COMPILED:  # compiled types can't be serialized
            self._log("trace: no recording: the decisions are compiled, set MICADECK_INTERPRETED")
            return None
        from micadeck.traces.record import Recorder

        config = self.config
        recorders: list[Recorder] = []

        def wrap(balancer: Balancer) -> Balancer:
            recorder = Recorder(balancer, config.settings, config.seed, Path(config.trace), self._log)
            recorders.append(recorder)
            return recorder  # type: ignore[return-value]  # the engine calls only `handle`

        try:
            self.engine.wrap_balancer(wrap)
        except OSError as error:
            self._log(f"trace: no recording: {error}")
        return recorders[0] if recorders else None

    def _make_recording(self) -> Recording | None:
        """The incident records; without the key, their modules are not loaded."""
        from micadeck.incidents.recording import Recording
        from micadeck.incidents.segments import Limits

        config = self.config
        limits = Limits(max_bytes=config.records_mb << 20)
        try:
            recording = Recording(config.name, Path(config.records), limits, self.network, self._log)
        except OSError as error:
            self._log(f"records: no recording: {error}")
            return None
        self.engine.wrap_balancer(
            lambda balancer: recording.wrap(balancer, config.settings, self.engine)  # type: ignore[return-value, arg-type]
        )
        return recording

    async def start(self) -> None:
        """Listen to peers, and start the engine with the last known endpoint list."""
        config = self.config
        if config.settings.limits.may_message and config.peer_listen is not None:
            await self.peers.listen(config.peer_listen, self.engine.receive_peer_message)
            if self.fleet is not None:
                self.fleet.start()
        self.engine.start(config.known)

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings, unless they are in force."""
        if settings == self.config.settings:
            return
        self.config = replace(self.config, settings=settings)
        self.upstream.apply_settings(settings)
        if self.discovery is not None:
            self.discovery.update_limits(settings.rules.max_poll_interval_us, settings.rules.drain_grace_us)
        self.engine.apply_settings(settings)

    def reload(self, config: Config, announce: Callable[[Settings], object] | None = None) -> None:
        """Apply the changes that a running process can make, and log the keys that need a restart.

        Args:
            config: The reloaded configuration.
            announce: Gets the settings, changed or not, and has `apply_settings` called with them; None: they
                are applied at once.

        Raises:
            ConfigError: Keys of the running configuration are missing; nothing has changed.
        """
        before = self.config
        plan = plan_reload(before, config)
        if self.discovery is not None and config.discovery not in (None, before.discovery):
            self.discovery.change_address(config.discovery)
        if self.sources is not None and config.consul not in (None, before.consul):
            self.sources.reload(config.consul)
        self.peers.set_peers(config.peers, config.peers_all)
        if self.fleet is not None and config.fleet is not None:
            self.fleet.reload(config.fleet)
        self.config = plan.config
        # Last, because settings that are applied at once replace those in `self.config`.
        (announce or self.apply_settings)(plan.settings)
        self._divide_limits()
        self._log_reload(config, plan.restart_keys)

    def _log_reload(self, config: Config, restart_keys: tuple[str, ...]) -> None:
        sources = [format_address(config.discovery)] if config.discovery else []
        if config.consul is not None:
            sources += [f"consul ({', '.join(service.name for service in config.consul.services)})"]
        restart = f"; a restart is needed for {', '.join(restart_keys)}" if restart_keys else ""
        self._log(f"reloaded: discovery at {' and '.join(sources)}{restart}")

    def share_limits(self, sibling_count: int) -> None:
        """Divide the limits among this and `sibling_count` other processes of this sidecar."""
        self._sibling_count = sibling_count
        self._divide_limits()
        self.upstream.trim()

    def _divide_limits(self) -> None:
        sockets = divide_limit(self.config.sockets, self._sibling_count)
        descriptors = max(sockets - _RESERVED_DESCRIPTORS, _MIN_DESCRIPTORS)
        self.max_client_connections = int(descriptors * _CLIENT_FRACTION)
        self.upstream.max_connections = descriptors - self.max_client_connections
        memory_mb = divide_limit(self.config.memory_mb, self._sibling_count)
        self.buffer_budget.max_bytes = memory_mb * _BUFFER_BYTES_PER_MB
        self.buffer_budget.max_connections = self.max_client_connections
        self.memory.set_limit(memory_mb * MB)

    async def drain(self, timeout_s: float) -> None:
        """Wait until all requests are answered; fail those that are not after `timeout_s`."""
        await drain_engine(self.network, self.engine, timeout_s)

    def close(self) -> None:
        """Close all sockets, at once."""
        if self.fleet is not None:
            self.fleet.close()
        self.engine.close()
