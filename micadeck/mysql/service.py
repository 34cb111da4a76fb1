"""The MySQL service: an engine of its own with a listener, a transport and an endpoint source."""

from __future__ import annotations

from collections.abc import Callable

from micadeck.engine import EndpointSource, EndpointUpdate, Engine, EnginePorts
from micadeck.membership.discovery_watcher import DiscoveryWatcher, WatchOptions
from micadeck.membership.sources import DiscoveryState, EndpointSources
from micadeck.mysql.auth import Users
from micadeck.mysql.config import MysqlConfig
from micadeck.mysql.listener import MysqlListener
from micadeck.mysql.routes import Routes
from micadeck.mysql.transport import MysqlTransport
from micadeck.network import Address, Network

_DRAIN_POLL_INTERVAL_S = 0.01
_DRAIN_SLACK_S = 0.1


class StaticSource:
    """A configured list, which only a reload changes."""

    def __init__(self, update: EndpointUpdate) -> None:
        self._update = update
        self._on_list: Callable[[EndpointUpdate], None] = lambda _: None

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None:
        self._on_list = on_list

    def watch(self, wanted: bool) -> None:
        if wanted:
            self._on_list(self._update)

    def fetch(self) -> None:
        self._on_list(self._update)

    def suspect_stale(self) -> None:
        """A configured list is not stale."""

    def replace(self, update: EndpointUpdate) -> None:
        """Replace the list if it differs."""
        if update.entries == self._update.entries:
            return
        self._update = EndpointUpdate(self._update.version + 1, True, update.entries)
        self._on_list(self._update)

    def close(self) -> None:
        """Do nothing."""


class _NoMessages:
    """A peer transport for a service without peer messages."""

    def send(self, receiver: int | None, payload: bytes) -> bool:
        return False

    def close(self) -> None:
        """Do nothing."""


class MysqlService:
    """One listener for MySQL clients."""

    def __init__(self, config: MysqlConfig, network: Network, seed: int, log: Callable[[str], None]) -> None:
        self._network = network
        self._log = log
        self._config = config
        settings = config.settings
        self.transport = MysqlTransport(network, settings, config.credentials, config.transport, log)
        self._source: EndpointSource
        self._static: StaticSource | None = None
        watcher: DiscoveryWatcher | None = None
        if config.discovery is not None:
            options = WatchOptions(
                max_poll_interval_us=settings.rules.max_poll_interval_us, seed=f"{seed} {config.name}"
            )
            watcher = DiscoveryWatcher(network, config.discovery, 0, options, log)
        if config.consul is not None:
            discovery = DiscoveryState(watcher, config.known)
            self._source = EndpointSources(network, discovery, config.consul, f"{seed} {config.name}", log)
        elif watcher is not None:
            self._source = watcher
        else:
            self._source = self._static = StaticSource(config.known)
        ports = EnginePorts(network, self.transport, self._source, _NoMessages())
        self.engine = Engine(settings, seed, ports, log)
        self.users = Users(config.users)
        self.listener = MysqlListener(
            network, self.engine, self.transport, self.users, self._routes(config), config.listener, log
        )

    @staticmethod
    def _routes(config: MysqlConfig) -> Routes:
        classes = {service_class.name: service_class for service_class in config.settings.classes}
        return Routes(config.rules, classes, [tenant.name for tenant in config.settings.tenants])

    def start(self) -> None:
        """Connect to the endpoint source, and listen at the configured address.

        Raises:
            OSError: It can't listen.
        """
        self.start_engine()
        self.listen(self.address)

    def start_engine(self) -> None:
        """Use the configured endpoints, and subscribe to updates from their source."""
        self.engine.start(self._config.known)

    def listen(self, address: Address) -> None:
        """Accept clients at this address; it may be called again after a failure.

        Raises:
            OSError: It can't listen.
        """
        self.listener.listen(address)

    @property
    def address(self) -> Address:
        """The configured address for clients."""
        return self._config.listen

    @property
    def has_list(self) -> bool:
        """Whether the servers are known."""
        return self._static is not None or self.engine.has_list

    @property
    def port(self) -> int:
        return self.listener.port

    def reload(self, config: MysqlConfig) -> None:
        """Apply users, rules and a static list; log other changed keys, which need a restart."""
        before = self._config
        restart_keys = [
            key
            for key in ("listen", "settings", "credentials", "discovery", "consul", "listener", "transport")
            if getattr(config, key) != getattr(before, key)
        ]
        if "settings" in restart_keys:
            rules = " (and with them the rules)"
        else:
            rules = ""
            self.listener.routes = self._routes(config)
        self.users.replace(config.users)
        # A file without a static list has another endpoint source, which needs a restart.
        if self._static is not None and config.known.entries:
            self._static.replace(config.known)
        restart = f"; a restart is needed for {', '.join(restart_keys)}{rules}" if restart_keys else ""
        self._log(f"mysql: reloaded: {len(config.users)} users{restart}")

    async def drain(self, within_s: float) -> None:
        """Answer running statements, let transactions end, then close."""
        network = self._network
        deadline = network.time() + within_s
        self.engine.set_drain_deadline(network.now() + int(max(within_s - _DRAIN_SLACK_S, 0.0) * 1e6))
        self.listener.drain()
        while self.listener.busy_count and network.time() < deadline - _DRAIN_SLACK_S:
            await network.sleep(_DRAIN_POLL_INTERVAL_S)
        self.engine.fail_open_requests()
        await network.sleep(0)
        self.close()

    def close(self) -> None:
        self.listener.close()
        self.engine.close()
