"""The MySQL service: an engine of its own between the front, the carrier and the sources of its servers."""

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
from micadeck.network import Network

_LOOK_AGAIN_S = 0.01
_SPARE_S = 0.1


class Static:
    """Servers that only a reload changes."""

    def __init__(self, listing: EndpointUpdate) -> None:
        self._listing = listing
        self._on_list: Callable[[EndpointUpdate], None] = lambda _: None

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None:
        self._on_list = on_list

    def watch(self, wanted: bool) -> None:
        if wanted:
            self._on_list(self._listing)

    def fetch(self) -> None:
        self._on_list(self._listing)

    def suspect_stale(self) -> None:
        """There is nobody to ask."""

    def replace(self, listing: EndpointUpdate) -> None:
        """Put another list in force, unless it is."""
        if listing.entries == self._listing.entries:
            return
        self._listing = EndpointUpdate(self._listing.version + 1, True, listing.entries)
        self._on_list(self._listing)

    def close(self) -> None:
        """Nothing is open."""


class _NoMessages:
    """There are no datagrams between the sidecars of this service."""

    def send(self, receiver: int | None, payload: bytes) -> bool:
        return False

    def close(self) -> None:
        """Nothing is open."""


class MysqlService:
    """One listener for MySQL clients, from its start to its end."""

    def __init__(self, config: MysqlConfig, network: Network, seed: int, log: Callable[[str], None]) -> None:
        self._network = network
        self._log = log
        self._config = config
        settings = config.settings
        self.carrier = MysqlTransport(network, settings, config.credentials, config.carrier, log)
        self._source: EndpointSource
        self._static: Static | None = None
        roster: DiscoveryWatcher | None = None
        if config.discovery is not None:
            options = WatchOptions(
                max_poll_interval_us=settings.rules.max_poll_interval_us, seed=f"{seed} {config.name}"
            )
            roster = DiscoveryWatcher(network, config.discovery, 0, options, log)
        if config.consul is not None:
            discovery = DiscoveryState(roster, config.known)
            self._source = EndpointSources(network, discovery, config.consul, f"{seed} {config.name}", log)
        elif roster is not None:
            self._source = roster
        else:
            self._source = self._static = Static(config.known)
        ports = EnginePorts(network, self.carrier, self._source, _NoMessages())
        self.engine = Engine(settings, seed, ports, log)
        self.users = Users(config.users)
        self.front = MysqlListener(
            network, self.engine, self.carrier, self.users, self._routes(config), config.front, log
        )

    @staticmethod
    def _routes(config: MysqlConfig) -> Routes:
        classes = {each.name: each for each in config.settings.classes}
        return Routes(config.rules, classes, [each.name for each in config.settings.tenants])

    def start(self) -> None:
        self.engine.start(self._config.known)
        self.front.listen(self._config.listen)

    @property
    def port(self) -> int:
        return self.front.port

    def reload(self, config: MysqlConfig) -> None:
        """Take over users, rules and a static list; what else differs is named, and waits for a restart."""
        before = self._config
        kept = [
            key
            for key in ("listen", "settings", "credentials", "discovery", "consul", "front", "carrier")
            if getattr(config, key) != getattr(before, key)
        ]
        if "settings" in kept:
            rules = " (and with them the rules)"
        else:
            rules = ""
            self.front.routes = self._routes(config)
        self.users.replace(config.users)
        # A file without a static list has another source of servers, which waits for a restart.
        if self._static is not None and config.known.entries:
            self._static.replace(config.known)
        waits = f"; only a restart takes up {', '.join(kept)}{rules}" if kept else ""
        self._log(f"mysql: reloaded: {len(config.users)} users{waits}")

    async def drain(self, within_s: float) -> None:
        """Answer what was taken, let transactions end, then let go of everything."""
        network = self._network
        until = network.time() + within_s
        self.engine.set_drain_deadline(network.now() + int(max(within_s - _SPARE_S, 0.0) * 1e6))
        self.front.drain()
        while self.front.busy and network.time() < until - _SPARE_S:
            await network.sleep(_LOOK_AGAIN_S)
        self.engine.fail_open_requests()
        await network.sleep(0)
        self.close()

    def close(self) -> None:
        self.front.close()
        self.engine.close()
