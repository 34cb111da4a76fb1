"""The HTTP daemon: the engine between an HTTP front, an HTTP carrier, the roster and the tier's messages."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from typing import TYPE_CHECKING

from micadeck.config import Config
from micadeck.http.listener import DownstreamLimits, HttpListener
from micadeck.memory.budget import MemoryBudget, MemoryUse, PressureLevel
from micadeck.memory.resident import open_descriptors
from micadeck.network import Address, Network, place
from micadeck.operations import (
    AdminThread,
    ConnectionsToClose,
    HotRestart,
    Lifecycle,
    Phase,
    RequestIdRegistry,
    RuntimeStatistics,
    report,
)
from micadeck.operations.shutdown_budget import FLUSH_S, KILLED_AFTER_S, answered_by
from micadeck.operations.startup_retry import StartCancelledError, StartupRetry
from micadeck.runtime import Core

if TYPE_CHECKING:
    from micadeck.mysql.service import MysqlService

_REQUESTS_OF_MEMORY = (1 << 20) // 8  # for each MB of the limit: what unanswered requests may take of it
_LOOK_AGAIN_S = 0.01  # while it drains
_LIST_WITHIN_S = 2.0  # of the start; after that the list in the configuration has to do
_LOOK_BESIDE_S = 0.1  # for another process of this sidecar
_NEW_FOR_S = 0.4  # how long after SIGTERM new connections may go on coming
_QUIET_S = 0.05  # and how long none must have come before the listener closes
_RELIEVE_EVERY_S = 0.1  # while memory is so short that half-sent requests are given up
_GIVEN_UP_AT_ONCE = 4  # one of so many of them
_SHOWN_BESIDE_S = 0.1  # beyond a look, until another process of this sidecar shows what it has open


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
            self._core.sources.settle = gc.freeze
        client_limits = client_limits or DownstreamLimits(most_bytes=config.memory_mb * _REQUESTS_OF_MEMORY)
        self.frontend = HttpListener(config.settings, client_limits, self._engine, network, self._core.budget)
        self.frontend.most = self._core.for_clients
        self.frontend.on_settings = self._core.retune
        self._engine.memory = self._core.memory  # a host's own memory is not this library's to ration
        self._core.memory.on_stage = self._relieve_soon
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
            self._beside.enter()
            self._share()
            if self._beside.others:
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
        self.life.started(self._started_at)
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
                is_first = wait.is_first
                retry_s = wait.retry_in_s(fault, self._network.time())
                told = f"{key}: {place(address)}: {fault}"
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
        self.frontend.most = self._core.for_clients
        if self.mysql is not None and config.mysql is not None:
            self.mysql.reload(config.mysql)

    async def _watch_beside(self, beside: HotRestart) -> None:
        while True:
            await self._network.sleep(_LOOK_BESIDE_S)
            if beside.look():
                self._share()

    def _share(self) -> None:
        """Share with the other processes: the limits, and which requests are open."""
        assert self._beside is not None
        ids = self._beside.ids() if self._beside.others else None
        self._engine.hold_ids(set() if ids is None else ids)
        if self._ids is not None:
            self._ids.close(keeps_file=ids is not None)
        self._ids = ids
        self._core.beside(self._beside.others)
        self.frontend.most = self._core.for_clients
        self.frontend.trim()

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
        self.memory.set(MemoryUse.UNSENT, self.frontend.unsent_bytes)
        self.memory.set(MemoryUse.BODIES, self._core.budget.held)

    def _relieve_soon(self, stage: PressureLevel) -> None:
        """Act on a stage, but not within whatever booked something just now."""
        self.on_memory_stage(stage)
        if stage >= PressureLevel.GIVE_UP and not self._is_relieving:
            self._is_relieving = True
            self._network.call_soon(self._relieve)

    def _relieve(self) -> None:
        """Free what may be freed, for as long as memory is short: nothing that is owed an answer.

        A part at a time: what is resident is only seen to shrink a moment later.
        """
        for _ in range(self.frontend.half_sent // _GIVEN_UP_AT_ONCE + 1):
            if self.memory.stage < PressureLevel.GIVE_UP or not self.frontend.give_up_oldest():
                break
        if self.memory.stage >= PressureLevel.CLOSE_IDLE:
            self.frontend.close_idle()
            self._core.upstream.close_all_idle()
        self._is_relieving = self.memory.stage >= PressureLevel.GIVE_UP
        if self._is_relieving:
            self._network.call_later(_RELIEVE_EVERY_S, self._relieve)

    # What the operators' door asks, on a thread of its own

    @property
    def phase(self) -> Phase:
        return self.life.phase

    def is_ready(self) -> str | None:
        if not self.life.can_serve:
            return self.life.phase.value
        waited = self._network.time() >= self._started_at + _LIST_WITHIN_S
        return None if self._engine.has_list or waited else "no list of servers yet"

    def figures(self) -> bytes:
        engine = self._engine
        counts = RuntimeStatistics(
            in_progress=engine.in_progress + self.frontend.tails,
            known_servers=engine.known_servers,
            skipped_servers=engine.skipped_servers,
            tries=self._core.upstream.tries,
            loads=self._loads,
            load_errors=self._load_errors,
            resident_bytes=self.memory.resident,
            resident_most_bytes=self.memory.resident_most,
            memory_stage=int(self.memory.stage),
            memory_shed=engine.shed,
            booked_bytes={str(kind): booked for kind, booked in self.memory.booked.items()},
            loop_lag_ms=int(self.memory.loop_lag_s * 1e3),
            descriptors=open_descriptors(),
        )
        return report(engine.account, (each.name for each in self._core.config.settings.classes), counts)

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
        self.frontend.is_draining = self.life.is_leaving
        if self._core.recording is not None:
            self._core.recording.phase(self.life.phase.value)
        if self.life.is_leaving and (self._leaving is None or self._leaving.done()):
            self._leaving = self._network.spawn(self._let_go())

    async def _let_go(self) -> None:
        """Close clients' connections for as long as they are to leave."""
        while self.life.is_leaving:
            what = self.life.lets_go(self._network.time())
            if what is ConnectionsToClose.IDLE:
                self.frontend.close_idle()
            elif what is ConnectionsToClose.RESTING:
                self.frontend.close_resting()
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
        until = answered_by(began, (each.deadline_us / 1e6 for each in classes))
        left_s = max(until - network.time(), 0.0)
        engine.stop_by(network.now() + int(left_s * 1e6))
        self.life.stop(began)
        self._live_on()
        second = network.spawn(self.mysql.drain(left_s)) if self.mysql is not None else None
        await network.sleep(max(began + _NEW_FOR_S - network.time(), 0.0))
        closes_by = min(began + KILLED_AFTER_S, until)
        while network.time() < min(frontend.last_opened + _QUIET_S, closes_by):
            await network.sleep(_QUIET_S / 2)
        frontend.stop_listening()
        while self._is_needed() and network.time() < until:
            await network.sleep(_LOOK_AGAIN_S)
        engine.fail_open_requests()
        if second is not None:
            await second
        frontend.close_all()
        while frontend.open_connections and network.time() < until + FLUSH_S:
            await network.sleep(_LOOK_AGAIN_S)  # until clients have their last answers, and ended their side
        self.close()

    def _is_needed(self) -> bool:
        """Whether an answer is owed, or a client may still send a request that would be."""
        frontend = self.frontend
        return bool(self._engine.owed_answers or frontend.open_connections or frontend.is_accepting)

    def close(self) -> None:
        for task in (self._leaving, self._watching):
            if task is not None:
                task.cancel()
        if self._ids is not None:
            self._ids.close(keeps_file=False)
        if self._beside is not None:
            self._beside.leave()
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
