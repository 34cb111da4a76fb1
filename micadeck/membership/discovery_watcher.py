"""Watches discovery's endpoint list, and fetches it on request."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from micadeck.engine import EndpointUpdate
from micadeck.membership.discovery_client import DiscoveryClient
from micadeck.membership.endpoint_list import decode_endpoint_update
from micadeck.membership.errors import DiscoveryCallError, EndpointListError
from micadeck.membership.watch_health import WatchHealth
from micadeck.network import Address, Network, Timer

_MAX_CONCURRENT_CALLS = 8  # further fetches fail without a call


@dataclass(frozen=True, slots=True)
class WatchOptions:
    """How discovery is watched.

    Attributes:
        is_pushed: Whether a local agent pushes the lists from the start on.
        max_poll_interval_us: How long a sidecar may go without a call.
        grace_us: How long requests may be sent after the notification of a drain.
        seed: The seed of the jitter.
    """

    is_pushed: bool = False
    max_poll_interval_us: int = 10_000_000
    grace_us: int = 1_000_000
    seed: int | str = 0


class DiscoveryWatcher:
    """The endpoint source that reads discovery.

    Every `fetch` and every started `watch` leads to a call of `on_list` or `on_failed`.  Owns the known
    version, the tasks of all calls and the timer of a renewal.
    """

    def __init__(
        self,
        network: Network,
        address: Address,
        version: int | None,
        options: WatchOptions | None = None,
        log: Callable[[str], None] | None = None,
    ) -> None:
        """Create a source that is idle until `start`.

        Args:
            network: Dials, sleeps and has the clock.
            address: The address of discovery, or of the local agent.
            version: The version of the list that is known from before; None if none is.
            options: How to watch; by default, as one poller with default settings.
            log: Receives a line about the first malformed list in a row.
        """
        options = options or WatchOptions()
        self._network = network
        self._address = address
        self._version = version
        self._is_pushed = options.is_pushed
        self._health = WatchHealth(
            options.max_poll_interval_us,
            random.Random(options.seed),
            is_pushed=options.is_pushed,
            grace_us=options.grace_us,
        )
        self._log = log
        self._has_logged_malformed = False  # since the last list that could be read
        self._renewal: Timer | None = None
        self._wants_complete_list = False  # whether the next watch starts with the complete list
        self._on_list: Callable[[EndpointUpdate], None] = _ignore
        self._on_failed: Callable[[], None] = _ignore_failure
        self._is_wanted = options.is_pushed
        self._generation = 0  # incremented when an update is accepted or the address changes
        self._watch: asyncio.Task[None] | None = None
        self._watch_answered = False
        self._fetches: set[asyncio.Task[None]] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, on_list: Callable[[EndpointUpdate], None], on_failed: Callable[[], None]) -> None:
        """Set the callbacks; where lists are pushed, start to receive them."""
        self._on_list, self._on_failed = on_list, on_failed
        if self._is_pushed:
            self._watch = self._spawn(self._receive_pushed())

    @property
    def is_watching(self) -> bool:
        """Whether a watch is established or being started."""
        return self._watch is not None and not self._watch.done()

    def watch(self, wanted: bool) -> None:
        """Start the watch, or stop it.

        A watch that waits for its first answer is kept: a new call would lose its place in discovery's
        queue, and calls that are restarted again and again would never be answered.
        """
        if self._is_pushed:
            return
        self._is_wanted = wanted
        if self._watch is not None and self.is_watching:
            if wanted and not self._watch_answered:
                return
            self._watch.cancel()
            self._watch = None
        if wanted:
            self._watch_answered = False
            self._watch = self._spawn(self._run_watch())

    def update_limits(self, max_poll_interval_us: int, grace_us: int) -> None:
        """Apply other settings; see `WatchOptions`."""
        self._health.update_limits(max_poll_interval_us, grace_us)

    def suspect_stale(self) -> None:
        """Schedule a restart of the watch, unless an answer confirms the list before."""
        now = self._network.now()
        due = self._health.suspect(now)
        if due is not None:
            self._renewal = self._network.call_later((due - now) / 1e6, self._renew)

    def _renew(self) -> None:
        """Restart the watch with the complete list, as the known version itself may be wrong.

        A watch that waits for its first answer, or has failed and is retried by the engine, is left alone, so
        that a slow discovery is not flooded.
        """
        self._renewal = None
        is_due = self._health.take_due_renewal(self._network.now())
        if not is_due or self._watch is None or self._watch.done() or not self._watch_answered:
            return
        self._watch.cancel()
        self._watch_answered = False
        self._wants_complete_list = True
        self._watch = self._spawn(self._receive_pushed() if self._is_pushed else self._run_watch())

    def fetch(self) -> None:
        """Request the complete list once."""
        if len(self._tasks) >= _MAX_CONCURRENT_CALLS:
            self._network.call_soon(self._on_failed)
            return
        fetch = self._spawn(self._fetch())
        self._fetches.add(fetch)
        fetch.add_done_callback(self._fetches.discard)

    def change_address(self, address: Address) -> None:
        """Leave the current discovery at once and use another one.

        Open calls are repeated there, without a failure.  Versions of the other discovery are not comparable,
        so its first answer is always accepted.
        """
        self._address = address
        self._version = None
        self._generation += 1
        fetches = len(self._fetches)
        for task in list(self._tasks):
            task.cancel()
        self._tasks.clear()
        self._fetches.clear()
        self._watch, self._watch_answered = None, False
        self._health.reset()
        if self._is_wanted:
            self._watch = self._spawn(self._receive_pushed() if self._is_pushed else self._run_watch())
        for _ in range(fetches):
            self.fetch()

    def close(self) -> None:
        """Cancel all calls and timers."""
        if self._renewal is not None:
            self._renewal.cancel()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._network.spawn(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _fetch(self) -> None:
        client, generation = self._client(), self._generation
        try:
            update, _ = await client.call(None, self._health.first_call, _ignore)
        except DiscoveryCallError:
            self._on_failed()
        except Exception as error:
            self._log_internal_error(error)
            self._on_failed()
        else:
            if self._version is not None and update.version > self._version:
                self.suspect_stale()  # the watch should have delivered this version
            self._accept(update, generation)
        finally:
            client.close()

    async def _run_watch(self) -> None:
        try:
            await self._watch_until_failure()
        except DiscoveryCallError:
            self._watch = None
            self._on_failed()

    async def _receive_pushed(self) -> None:
        while True:
            try:
                await self._watch_until_failure()
            except DiscoveryCallError:
                # The engine does not retry pushed lists.
                await self._network.sleep(self._health.blocking_call.hedge_interval_s)

    async def _watch_until_failure(self) -> None:
        """Make calls one by one; the first does not block, so that it is answered soon.

        Raises:
            DiscoveryCallError: A call failed, or the handling of its answer.
        """
        client, timeout = self._client(), self._health.first_call
        try:
            while True:
                generation = self._generation
                after = None if self._wants_complete_list else self._version

                def accept_early(update: EndpointUpdate, generation: int = generation) -> None:
                    self._accept(update, generation)

                update, is_watch = await client.call(after, timeout, accept_early)
                self._wants_complete_list = False
                self._health.confirm(self._network.now(), has_changes=update.version != self._version)
                if update.full or update.entries or not self._watch_answered:
                    self._watch_answered = True
                    self._accept(update, generation)
                is_established = is_watch and timeout.wait_ms > 0
                timeout = self._health.blocking_call if is_established else self._health.second_call
        except DiscoveryCallError:
            raise
        except Exception as error:
            # Catches everything: if the watch ended, its last list would stay in use for ever.
            self._wants_complete_list = True
            self._log_internal_error(error)
            raise DiscoveryCallError(str(error)) from error
        finally:
            client.close()

    def _log_internal_error(self, error: Exception) -> None:
        if self._log is not None:
            self._log(f"internal error: discovery: {error!r}")

    def _client(self) -> DiscoveryClient[EndpointUpdate]:
        return DiscoveryClient(self._network, self._address, self._decode)

    def _decode(self, body: bytes) -> EndpointUpdate:
        """Read a response; log the first malformed one in a row."""
        try:
            update = decode_endpoint_update(body)
        except (ValueError, RecursionError) as error:
            if self._log is not None and not self._has_logged_malformed:
                self._log(f"discovery: {error}; its last list stays in use")
            self._has_logged_malformed = True
            raise EndpointListError(str(error)) from None
        self._has_logged_malformed = False
        return update

    def _accept(self, update: EndpointUpdate, generation: int) -> None:
        """Deliver the answer to a call that started at this generation.

        A fetch and a watch run concurrently, and the older call may end last: its list is then outdated, and
        delivered as an update without changes.  Otherwise, a lower version is accepted: discovery has
        restarted.
        """
        known = self._version
        if generation != self._generation and known is not None and update.version < known:
            update = EndpointUpdate(known, False, ())
        else:
            self._version = update.version
            self._generation += 1
        self._on_list(update)


def _ignore(_: object) -> None:
    """Ignore the result."""


def _ignore_failure() -> None:
    """Ignore a failure before `start`."""
