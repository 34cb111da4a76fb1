"""The HTTP daemon: a runtime with listeners, admin server, memory relief and graceful shutdown."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from contextlib import ExitStack, suppress
from typing import TYPE_CHECKING, TypeVar

from micadeck.config import Config
from micadeck.engine.recent_ids import RECENT_SPAN_US
from micadeck.errors import OperatorError
from micadeck.graceful_shutdown import ConnectionDrain, GracefulShutdown
from micadeck.http.connection_limits import DownstreamLimits
from micadeck.http.listener import HttpListener
from micadeck.memory.budget import MemoryBudget, MemoryUse
from micadeck.memory.resident import open_descriptors
from micadeck.memory_relief import MemoryRelief
from micadeck.network import Address, Network, format_address
from micadeck.operations import (
    AdminThread,
    DepartedIds,
    HotRestart,
    Lifecycle,
    Phase,
    RequestIdRegistry,
    RuntimeStatistics,
    format_report,
)
from micadeck.operations.startup_retry import StartCancelledError, StartupRetry
from micadeck.runtime import Runtime

if TYPE_CHECKING:
    from micadeck.mysql.service import MysqlService

_REQUEST_BYTES_PER_MB = (1 << 20) // 8  # for unanswered requests, per MB of the memory limit
_LIST_TIMEOUT_S = 2.0  # after the start; from then on it is ready with the list in the configuration alone
_LIST_POLL_S = 0.01
_SIBLING_POLL_S = 0.1
_SIBLING_IDS_S = 0.1  # after a poll, until a sibling has published the ids of its open requests

T = TypeVar("T")


class Sidecar:
    """The daemon: owns the listeners, the phase of the process and the background tasks.

    Attributes:
        listener: The listener for the application's HTTP connections.
        mysql: The MySQL service; None if not configured.
        lifecycle: The phase of the process.
        admin: The admin server; None if not configured.
        memory_relief: Frees memory while the process is short of it.
    """

    def __init__(
        self,
        config: Config,
        network: Network,
        log: Callable[[str], None],
        client_limits: DownstreamLimits | None = None,
        hot_restart: HotRestart | None = None,
    ) -> None:
        """Create all components; `start` runs them.

        Args:
            config: The configuration.
            network: The clock, timers and sockets.
            log: Writes one line.
            client_limits: Limits of the application's connections; None: the defaults.
            hot_restart: Finds other processes of this sidecar; None: there are none.
        """
        self._network = network
        self._log = log
        self._hot_restart = hot_restart
        self._sibling_watch: asyncio.Task[None] | None = None
        self._request_ids: RequestIdRegistry | None = None  # only while there are siblings
        runtime = self._runtime = Runtime(config, network, log)
        engine = self._engine = runtime.engine
        self._departed_ids = DepartedIds(network.time, RECENT_SPAN_US / 1e6)
        engine.foreign_ids = self._departed_ids
        if runtime.sources is not None:
            # Thousands of servers arrive after the start: a collection that visits all of them takes 50 ms.
            runtime.sources.on_partial_list = gc.freeze
        client_limits = client_limits or DownstreamLimits(max_bytes=config.memory_mb * _REQUEST_BYTES_PER_MB)
        self.listener = HttpListener(config.settings, client_limits, engine, network, runtime.buffer_budget)
        self.listener.connections.max_connections = runtime.max_client_connections
        self.listener.on_settings = runtime.apply_settings
        engine.memory = runtime.memory  # not in the library, which leaves its host's memory alone
        self.memory_relief = MemoryRelief(network, runtime.memory, self.listener, runtime.upstream)
        self.mysql = self._make_mysql(config, network, log)
        if self.mysql is not None:
            self.mysql.listener.statement_memory.process = runtime.memory
        self.lifecycle = Lifecycle()
        self.admin = AdminThread(network, self) if config.operator is not None else None
        self._connection_drain = ConnectionDrain(network, self.lifecycle, self.listener)
        self._config_loads = self._config_load_errors = 0
        self._started_at = 0.0

    @staticmethod
    def _make_mysql(config: Config, network: Network, log: Callable[[str], None]) -> MysqlService | None:
        """A second listener with its own engine; without the key, its modules are not loaded."""
        if config.mysql is None:
            return None
        from micadeck.mysql.service import MysqlService

        return MysqlService(config.mysql, network, config.seed, log)

    async def start(self, is_ending: Callable[[], bool] = lambda: False) -> None:
        """Start the runtime, then listen, for clients last.

        No client is accepted before every address is bound: otherwise one that can't be bound would end a
        process that already serves clients.

        Args:
            is_ending: Whether the process is to end; checked between retries.

        Raises:
            ListenError: It can't listen on an address, and a retry won't help.
            StartCancelledError: The process is to end, and no client was accepted.
        """
        await self._runtime.start()
        if self.mysql is not None:
            self.mysql.start_engine()
        if self._hot_restart is not None:
            await self._join_siblings(self._hot_restart)
        config = self._runtime.config
        if self.admin is not None and config.operator is not None:
            await self._bind("operator", config.operator, self.admin.listen, is_ending)
        with ExitStack() as reservations:
            if self.mysql is not None:
                for key, address in (("mysql", self.mysql.address), ("listen", config.listen)):
                    reservation = await self._bind(key, address, self._network.reserve, is_ending)
                    reservations.callback(reservation.close)
            await self._bind("listen", config.listen, self.listener.listen, is_ending)
            if self.mysql is not None:
                await self._listen_for_mysql(self.mysql, is_ending)
        self._started_at = self._network.time()
        self.lifecycle.mark_started(self._started_at)
        self._apply_phase()

    async def _listen_for_mysql(self, mysql: MysqlService, is_ending: Callable[[], bool]) -> None:
        """Accept MySQL clients once the servers are known, or after `_LIST_TIMEOUT_S`.

        Clients that connect before would get errors that another process of this sidecar spares them.  If the
        process is to end meanwhile, this returns: HTTP clients are accepted already, so it ends by `stop`.
        """
        latest = self._network.time() + _LIST_TIMEOUT_S
        while not mysql.has_list and self._network.time() < latest and not is_ending():
            await self._network.sleep(_LIST_POLL_S)
        if is_ending():
            return
        with suppress(StartCancelledError):
            await self._bind("mysql", mysql.address, mysql.listen, is_ending)

    async def _bind(
        self, key: str, address: Address, bind: Callable[[Address], T], is_ending: Callable[[], bool]
    ) -> T:
        """Bind the address of this key, or listen on it; retry temporary failures."""
        retry = StartupRetry(self._network.time())
        while True:
            try:
                return bind(address)
            except OSError as error:
                is_first = not retry.has_failed
                retry_s = retry.next_delay_s(error, self._network.time())
                failure = f"{key}: {format_address(address)}: {error}"
            if retry_s is None:
                raise ListenError(failure)
            if is_first:
                self._log(f"startup: can't listen yet, retrying: {failure}")
            await self._network.sleep(retry_s)
            if is_ending():
                raise StartCancelledError

    @property
    def open_requests(self) -> int:
        """Number of requests that are unanswered or have an attempt in flight."""
        return self._engine.open_requests

    # Configuration

    def reload(self, config: Config, requested_at: float | None = None) -> None:
        """Apply the changes that a running sidecar can make; log the keys that need a restart.

        Args:
            config: The reloaded configuration.
            requested_at: When this was requested, on the network's clock in seconds; None: now.

        Raises:
            ConfigError: Keys of the running configuration are missing; nothing has changed.
        """
        self._runtime.reload(config, lambda settings: self.listener.announce(settings, requested_at))
        self._config_loads += 1
        self.listener.connections.max_connections = self._runtime.max_client_connections
        if self.mysql is not None and config.mysql is not None:
            self.mysql.reload(config.mysql)

    def count_rejected_config(self) -> None:
        """Count an invalid configuration."""
        self._config_load_errors += 1

    # Other processes of this sidecar, as in a hot restart

    async def _join_siblings(self, hot_restart: HotRestart) -> None:
        hot_restart.register()
        self._share_limits()
        if hot_restart.sibling_count:
            # A request must not run twice: wait until the siblings have published the ids of their open ones.
            await self._network.sleep(_SIBLING_POLL_S + _SIBLING_IDS_S)
        self._sibling_watch = self._network.spawn(self._watch_siblings(hot_restart))

    async def _watch_siblings(self, hot_restart: HotRestart) -> None:
        while True:
            await self._network.sleep(_SIBLING_POLL_S)
            try:
                if hot_restart.refresh():
                    self._share_limits()
            except Exception as error:
                # The task must go on: without it, other processes of this sidecar would go unnoticed.
                self._log(f"internal error: siblings: {error!r}")

    def _share_limits(self) -> None:
        """Share the limits and the ids of open requests with the siblings."""
        assert self._hot_restart is not None
        request_ids = self._hot_restart.open_registry() if self._hot_restart.sibling_count else None
        self._engine.share_request_ids(set() if request_ids is None else request_ids)
        if self._request_ids is not None:
            self._departed_ids.add(self._request_ids.tables_of_departed(self._hot_restart.siblings))
            self._request_ids.close(keep_file=request_ids is not None)
        self._request_ids = request_ids
        self._runtime.share_limits(self._hot_restart.sibling_count)
        self.listener.connections.max_connections = self._runtime.max_client_connections
        self.listener.connections.trim()

    # Memory

    @property
    def memory(self) -> MemoryBudget:
        """The memory budget of the process."""
        return self._runtime.memory

    def count_memory(self) -> None:
        """Update the memory charges that are not updated with every message."""
        self.memory.set_charge(MemoryUse.UNSENT, self._runtime.buffer_budget.unsent)
        self.memory.set_charge(MemoryUse.BODIES, self._runtime.buffer_budget.held)

    # Called by the admin server, on its own thread

    @property
    def phase(self) -> Phase:
        """The phase of the process."""
        return self.lifecycle.phase

    def unready_reason(self) -> str | None:
        """Why it can't serve yet; None if it can."""
        if not self.lifecycle.can_serve:
            return self.lifecycle.phase.value
        is_list_overdue = self._network.time() >= self._started_at + _LIST_TIMEOUT_S
        return None if self._engine.has_list or is_list_overdue else "no list of servers yet"

    def statistics_report(self) -> bytes:
        """The statsd report; every line ends with a newline."""
        engine = self._engine
        statistics = RuntimeStatistics(
            in_progress=engine.in_progress + self.listener.connections.flushing_answers,
            known_servers=engine.known_servers,
            skipped_servers=engine.skipped_servers,
            attempts=self._runtime.upstream.attempts_written,
            config_loads=self._config_loads,
            config_load_errors=self._config_load_errors,
            resident_bytes=self.memory.resident_bytes,
            peak_resident_bytes=self.memory.peak_resident_bytes,
            memory_pressure=int(self.memory.level),
            memory_shed=engine.shed_requests,
            buffered_bytes={str(kind): charged for kind, charged in self.memory.charged_bytes.items()},
            loop_lag_ms=int(self.memory.loop_lag_s * 1e3),
            descriptors=open_descriptors(),
        )
        classes = self._runtime.config.settings.classes
        return format_report(engine.outcomes, (service_class.name for service_class in classes), statistics)

    def drain(self) -> bool:
        """Drain clients while the process runs on; return false if it is stopping."""
        if self.lifecycle.drain(self._network.time()):
            self._log("draining, requested by an operator")
            self._apply_phase()
        return self.lifecycle.phase is not Phase.STOPPING

    def undrain(self) -> bool:
        """Accept clients again; return false if the process is stopping."""
        if self.lifecycle.undrain(self._network.time()):
            self._log("accepting clients again, requested by an operator")
            self._apply_phase()
        return self.lifecycle.phase is not Phase.STOPPING

    def _apply_phase(self) -> None:
        """Apply the phase to the listener, the records and the connection drain."""
        self.listener.is_healthy = self.lifecycle.is_healthy
        self.listener.is_draining = self.lifecycle.is_draining
        if self._runtime.recording is not None:
            self._runtime.recording.phase(self.lifecycle.phase.value)
        if self.lifecycle.is_draining:
            self._connection_drain.start()

    # Shutdown

    async def stop(self, requested_at: float | None = None) -> None:
        """Answer all accepted requests and those still arriving, then close everything.

        Args:
            requested_at: When this was requested, on the network's clock in seconds; None: now.
        """
        shutdown = GracefulShutdown(self._network, self._engine, self.listener, self.mysql)
        classes = self._runtime.config.settings.classes
        deadlines_s = [service_class.deadline_us / 1e6 for service_class in classes]
        await shutdown.run(requested_at, deadlines_s, self._enter_stopping)
        self.close()

    def _enter_stopping(self, requested_at: float) -> None:
        self.lifecycle.stop(requested_at)
        self._apply_phase()

    def close(self) -> None:
        """Close everything, at once."""
        self._connection_drain.close()
        if self._sibling_watch is not None:
            self._sibling_watch.cancel()
        if self._request_ids is not None:
            self._request_ids.close(keep_file=True)  # the process that takes over reads it to the end
        if self._hot_restart is not None:
            self._hot_restart.unregister()
        if self.admin is not None:
            self.admin.close()
        self._runtime.close()
        if self._runtime.recorder is not None:
            self._runtime.recorder.close()
        if self._runtime.recording is not None:
            self._runtime.recording.close()
        self.listener.stop_listening()
        if self.mysql is not None:
            self.mysql.close()


class ListenError(OperatorError, OSError):
    """An address of the configuration is in use or not local; the text begins with its key."""

    advice = "Free the address, or change the key that the text begins with."
