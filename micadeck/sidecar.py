"""The HTTP daemon: the engine between an HTTP front, an HTTP carrier, the roster and the tier's messages."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from micadeck.config import Config
from micadeck.engine import Engine
from micadeck.http.body_stream import BufferBudget
from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.listener import HttpListener
from micadeck.http.upstream import ConnectionPool
from micadeck.membership.discovery_watcher import DiscoveryWatcher, WatchOptions
from micadeck.memory.budget import MemoryBudget, MemoryUse, PressureLevel
from micadeck.memory.resident import MB, open_descriptors
from micadeck.network import Address, Network, format_address
from micadeck.operations import (
    AdminThread,
    ConnectionsToClose,
    HotRestart,
    Lifecycle,
    Phase,
    RequestIdRegistry,
    RuntimeStatistics,
    divide_limit,
    format_report,
)
from micadeck.operations.shutdown_budget import CLIENT_FLUSH_S, KILL_GRACE_S, answer_deadline
from micadeck.operations.startup_retry import StartCancelledError, StartupRetry
from micadeck.peer_datagrams import PeerDatagrams
from micadeck.policy import IS_COMPILED
from micadeck.policy.settings import DiscoveryMode

if TYPE_CHECKING:
    from micadeck.fleet.host import FleetHost
    from micadeck.incidents.recording import Recording
    from micadeck.membership.sources import EndpointSources
    from micadeck.mysql.service import MysqlService
    from micadeck.policy import Balancer, Settings
    from micadeck.traces.record import Recorder

_RESERVED = 48  # descriptors for everything but clients and servers
_LEAST_ROOM = 16  # of the rest, however many processes share it
_FOR_CLIENTS = 0.5  # of the rest
_REQUESTS_OF_MEMORY = (1 << 20) // 8  # for each MB of the limit: what unanswered requests may take of it
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
_LIST_WITHIN_S = 2.0  # of the start; after that the list in the configuration has to do
_LOOK_BESIDE_S = 0.1  # for another process of this sidecar
_NEW_FOR_S = 0.4  # how long after SIGTERM new connections may go on coming
_QUIET_S = 0.05  # and how long none must have come before the listener closes
_RELIEVE_EVERY_S = 0.1  # while memory is so short that half-sent requests are given up
_GIVEN_UP_AT_ONCE = 4  # one of so many of them
_SHOWN_BESIDE_S = 0.1  # beyond a look, until another process of this sidecar shows what it has open


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
        rules, seed = settings.rules, f"{config.seed} {config.name}"
        options = WatchOptions(is_pushed, rules.max_poll_interval_us, rules.drain_grace_us, seed)
        self.roster = (
            DiscoveryWatcher(network, config.discovery, config.known.version, options, log)
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
        from micadeck.membership.sources import DiscoveryState, EndpointSources

        discovery = DiscoveryState(self.roster, config.known)
        return EndpointSources(
            self.network, discovery, config.consul, f"{config.seed} {config.name}", self._log
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
            self.roster.update_limits(settings.rules.max_poll_interval_us, settings.rules.drain_grace_us)
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
            self.roster.change_address(config.discovery)
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
        places = [format_address(config.discovery)] if config.discovery else []
        if config.consul is not None:
            places += [f"consul ({', '.join(each.name for each in config.consul.services)})"]
        self._log(f"reloaded: discovery at {' and '.join(places)}{waits}")

    def _divide_descriptors(self) -> None:
        room = max(divide_limit(self.config.sockets, self.others) - _RESERVED, _LEAST_ROOM)
        self.for_clients = int(room * _FOR_CLIENTS)
        self.upstream.most = room - self.for_clients
        memory_mb = divide_limit(self.config.memory_mb, self.others)
        self.budget.max_bytes = memory_mb * _PASSED_ON_OF_MEMORY
        self.memory.set_limit(memory_mb * MB)

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


class Sidecar:
    """One daemon from its start to its end."""

    def __init__(
        self,
        config: Config,
        network: Network,
        log: Callable[[str], None],
        client_limits: DownstreamLimits | None = None,
        beside: HotRestart | None = None,
    ) -> None:
        self._beside = beside
        self._watching: asyncio.Task[None] | None = None
        self._ids: RequestIdRegistry | None = None  # only while there are others
        self._network = network
        self._log = log
        self._core = Core(config, network, log)
        self._engine = self._core.engine
        if self._core.sources is not None:
            # A list of thousands comes after the start: a collection that looks at all of it takes 50 ms.
            self._core.sources.on_partial_list = gc.freeze
        client_limits = client_limits or DownstreamLimits(max_bytes=config.memory_mb * _REQUESTS_OF_MEMORY)
        self.frontend = HttpListener(config.settings, client_limits, self._engine, network, self._core.budget)
        self.frontend.connections.max_connections = self._core.for_clients
        self.frontend.on_settings = self._core.retune
        self._engine.memory = self._core.memory  # a host's own memory is not this library's to ration
        self._core.memory.on_level_change = self._relieve_soon
        self.mysql = self._with_mysql(config, network, log)
        self.life = Lifecycle()
        self.door = AdminThread(network, self) if config.operator is not None else None
        self._leaving: asyncio.Task[None] | None = None
        self.on_memory_stage: Callable[[PressureLevel], object] = _nothing
        self._is_relieving = False
        self._loads = self._load_errors = 0
        self._started_at = 0.0

    @staticmethod
    def _with_mysql(config: Config, network: Network, log: Callable[[str], None]) -> MysqlService | None:
        """A second front with an engine of its own; without it, nothing of it is loaded."""
        if config.mysql is None:
            return None
        from micadeck.mysql.service import MysqlService

        return MysqlService(config.mysql, network, config.seed, log)

    async def start(self, is_ending: Callable[[], bool] = lambda: False) -> None:
        """Take up the last known list, then listen, clients last.

        Raises CannotListen once that can't pass, and StartCalledOff if the process is to end while it waits.
        """
        await self._core.start()
        if self._beside is not None:
            self._beside.register()
            self._share()
            if self._beside.sibling_count:
                # Guards rule 2: by then the others show which requests they have open.
                await self._network.sleep(_LOOK_BESIDE_S + _SHOWN_BESIDE_S)
            self._watching = self._network.spawn(self._watch_beside(self._beside))
        config = self._core.config
        if self.door is not None and config.operator is not None:
            await self._listen("operator", config.operator, self.door.listen, is_ending)
        await self._listen("listen", config.listen, self.frontend.listen, is_ending)
        if self.mysql is not None:
            self.mysql.start()
        self._started_at = self._network.time()
        self.life.mark_started(self._started_at)
        self._live_on()

    async def _listen(
        self, key: str, address: Address, listen: Callable[[Address], None], is_ending: Callable[[], bool]
    ) -> None:
        """Listen at the address of this key, and wait out what fails for a moment."""
        wait = StartupRetry(self._network.time())
        while True:
            try:
                listen(address)
                return
            except OSError as fault:
                is_first = not wait.has_failed
                retry_s = wait.next_delay_s(fault, self._network.time())
                told = f"{key}: {format_address(address)}: {fault}"
            if retry_s is None:
                raise ListenError(told)
            if is_first:
                self._log(f"waits to listen: {told}")
            await self._network.sleep(retry_s)
            if is_ending():
                raise StartCancelledError

    @property
    def open_requests(self) -> int:
        """Requests that are not over: unanswered, or with an attempt still out."""
        return self._engine.open_requests

    def reload(self, config: Config) -> None:
        """Take over what a new configuration may change in a running sidecar; name what it may not."""
        self._core.reload(config, self.frontend.announce)
        self._loads += 1
        self.frontend.connections.max_connections = self._core.for_clients
        if self.mysql is not None and config.mysql is not None:
            self.mysql.reload(config.mysql)

    async def _watch_beside(self, beside: HotRestart) -> None:
        while True:
            await self._network.sleep(_LOOK_BESIDE_S)
            if beside.refresh():
                self._share()

    def _share(self) -> None:
        """Share with the other processes: the limits, and which requests are open."""
        assert self._beside is not None
        ids = self._beside.open_registry() if self._beside.sibling_count else None
        self._engine.hold_ids(set() if ids is None else ids)
        if self._ids is not None:
            self._ids.close(keep_file=ids is not None)
        self._ids = ids
        self._core.beside(self._beside.sibling_count)
        self.frontend.connections.max_connections = self._core.for_clients
        self.frontend.connections.trim()

    def turned_down(self) -> None:
        """Count a configuration that can't be used."""
        self._load_errors += 1

    # Memory

    @property
    def memory(self) -> MemoryBudget:
        """What is kept of what others send."""
        return self._core.memory

    def count_memory(self) -> None:
        """Book what is not counted with each message."""
        self.memory.set_charge(MemoryUse.UNSENT, self.frontend.connections.unsent_bytes)
        self.memory.set_charge(MemoryUse.BODIES, self._core.budget.held)

    def _relieve_soon(self, stage: PressureLevel) -> None:
        """Act on a stage, but not within whatever booked something just now."""
        self.on_memory_stage(stage)
        if stage >= PressureLevel.GIVE_UP and not self._is_relieving:
            self._is_relieving = True
            self._network.call_soon(self._relieve)

    def _relieve(self) -> None:
        """Free a part of what no answer is due to, again and again while memory is short."""
        connections = self.frontend.connections
        for _ in range(connections.partial_requests // _GIVEN_UP_AT_ONCE + 1):
            if self.memory.level < PressureLevel.GIVE_UP or not connections.reject_oldest_partial():
                break
        if self.memory.level >= PressureLevel.CLOSE_IDLE:
            self.frontend.connections.close_idle()
            self._core.upstream.close_all_idle()
        self._is_relieving = self.memory.level >= PressureLevel.GIVE_UP
        if self._is_relieving:
            self._network.call_later(_RELIEVE_EVERY_S, self._relieve)

    # What the operators' door asks, on a thread of its own

    @property
    def phase(self) -> Phase:
        return self.life.phase

    def unready_reason(self) -> str | None:
        if not self.life.can_serve:
            return self.life.phase.value
        waited = self._network.time() >= self._started_at + _LIST_WITHIN_S
        return None if self._engine.has_list or waited else "no list of servers yet"

    def statistics_report(self) -> bytes:
        engine = self._engine
        counts = RuntimeStatistics(
            in_progress=engine.in_progress + self.frontend.connections.trailing_answers,
            known_servers=engine.known_servers,
            skipped_servers=engine.skipped_servers,
            attempts=self._core.upstream.tries,
            config_loads=self._loads,
            config_load_errors=self._load_errors,
            resident_bytes=self.memory.resident_bytes,
            peak_resident_bytes=self.memory.peak_resident_bytes,
            memory_pressure=int(self.memory.level),
            memory_shed=engine.shed,
            buffered_bytes={str(kind): booked for kind, booked in self.memory.charged_bytes.items()},
            loop_lag_ms=int(self.memory.loop_lag_s * 1e3),
            descriptors=open_descriptors(),
        )
        return format_report(engine.account, (c.name for c in self._core.config.settings.classes), counts)

    def drain(self) -> bool:
        """Send clients away; the process runs on."""
        if self.life.drain(self._network.time()):
            self._log("draining, by an operator's word")
            self._live_on()
        return self.life.phase is not Phase.STOPPING

    def undrain(self) -> bool:
        """Take clients again."""
        if self.life.undrain(self._network.time()):
            self._log("taking clients again, by an operator's word")
            self._live_on()
        return self.life.phase is not Phase.STOPPING

    def _live_on(self) -> None:
        """Do as the phase of life says."""
        self.frontend.is_healthy = self.life.is_healthy
        self.frontend.is_draining = self.life.is_draining
        if self._core.recording is not None:
            self._core.recording.phase(self.life.phase.value)
        if self.life.is_draining and (self._leaving is None or self._leaving.done()):
            self._leaving = self._network.spawn(self._let_go())

    async def _let_go(self) -> None:
        """Close clients' connections for as long as they are to leave."""
        while self.life.is_draining:
            what = self.life.connections_to_close(self._network.time())
            if what is ConnectionsToClose.SAFE_IDLE:
                self.frontend.connections.close_idle()
            elif what is ConnectionsToClose.ALL_IDLE:
                self.frontend.connections.close_unowed()
            await self._network.sleep(_LOOK_AGAIN_S)

    # The end

    async def stop(self, asked_at: float | None = None) -> None:
        """Answer all that was taken and is still coming, then let go of everything.

        `asked_at`: when that was asked for, on the network's clock.  What is unanswered is killed so long
        after, whenever the event loop came to hear of it.
        """
        network, engine, frontend = self._network, self._engine, self.frontend
        began = network.time() if asked_at is None else asked_at
        classes = self._core.config.settings.classes
        until = answer_deadline(began, (each.deadline_us / 1e6 for each in classes))
        left_s = max(until - network.time(), 0.0)
        engine.stop_by(network.now() + int(left_s * 1e6))
        self.life.stop(began)
        self._live_on()
        second = network.spawn(self.mysql.drain(left_s)) if self.mysql is not None else None
        await network.sleep(max(began + _NEW_FOR_S - network.time(), 0.0))
        closes_by = min(began + KILL_GRACE_S, until)
        while network.time() < min(frontend.connections.last_opened_at + _QUIET_S, closes_by):
            await network.sleep(_QUIET_S / 2)
        frontend.stop_listening()
        while self._is_needed() and network.time() < until:
            await network.sleep(_LOOK_AGAIN_S)
        engine.fail_open_requests()
        if second is not None:
            await second
        frontend.connections.close_all()
        while len(frontend.connections) and network.time() < until + CLIENT_FLUSH_S:
            await network.sleep(_LOOK_AGAIN_S)  # until clients have their last answers, and ended their side
        self.close()

    def _is_needed(self) -> bool:
        """Whether an answer is owed, or a client may still send a request that would be."""
        frontend = self.frontend
        return bool(self._engine.owed_answers or len(frontend.connections) or frontend.is_accepting)

    def close(self) -> None:
        for task in (self._leaving, self._watching):
            if task is not None:
                task.cancel()
        if self._ids is not None:
            self._ids.close(keep_file=False)
        if self._beside is not None:
            self._beside.unregister()
        if self.door is not None:
            self.door.close()
        self._core.close()
        if self._core.recorder is not None:
            self._core.recorder.close()
        if self._core.recording is not None:
            self._core.recording.close()
        self.frontend.stop_listening()
        if self.mysql is not None:
            self.mysql.close()


def _nothing(_: object) -> None:
    """Nobody hears of it."""


class ListenError(OSError):
    """An address of the configuration is taken, or not this machine's; the text begins with its key."""
