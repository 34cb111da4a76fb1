"""Watches one service of Consul, and delivers what each answer changes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from micadeck.membership.consul.client import ConsulClient
from micadeck.membership.consul.protocol import ConsulError
from micadeck.membership.consul.query import BlockingQuery
from micadeck.membership.consul.states import InstanceMapping
from micadeck.membership.consul.view import EntriesChange, ServiceView
from micadeck.network import Network


@dataclass(frozen=True, slots=True)
class ServiceUpdate:
    """What an answer changes in a service's list, its maximum age and the agent that sent it."""

    change: EntriesChange
    lag_s: float
    agent: str


@dataclass(frozen=True, slots=True)
class WatchTarget:
    """What to watch.

    Attributes:
        service: The name of the service.
        mapping: Where to read an instance's properties.
        is_catalog: Whether to read the catalogue, which has no checks.
    """

    service: str
    mapping: InstanceMapping | None = None
    is_catalog: bool = False

    @property
    def path(self) -> str:
        """The path of the API."""
        return f"/v1/{'catalog' if self.is_catalog else 'health'}/service/{self.service}"


def _ignore() -> None:
    """Ignore the event."""


@dataclass(frozen=True, slots=True)
class WatchCallbacks:
    """Callbacks of a watch.

    Attributes:
        accepts_empty: Receives the agent that sent an empty list; returns whether to accept it.  If not,
            the next agent is called.
        on_update: Receives the changes of every other answer.
        on_failed: Receives the error of a failed call, without the token.
        on_partial_list: Called between the steps of reading a first list; what was read is kept.
    """

    accepts_empty: Callable[[str], bool]
    on_update: Callable[[ServiceUpdate], Awaitable[None]]
    on_failed: Callable[[str], None]
    on_partial_list: Callable[[], None] = _ignore


class ServiceWatch:
    """Polls one service's instances until it is closed.  Owns its task, and closes its client."""

    def __init__(
        self,
        network: Network,
        client: ConsulClient,
        target: WatchTarget,
        query: BlockingQuery,
        callbacks: WatchCallbacks,
    ) -> None:
        """Create a watch that is idle until `start`."""
        self._network = network
        self._client = client
        self._path = target.path
        self._query = query
        self._callbacks = callbacks
        self._target = target
        self._view = self._new_view()
        self._task: asyncio.Task[None] | None = None

    def start(self, spread_s: float = 0.0) -> None:
        """Start after a random delay within a span, so that many sidecars do not poll in step."""
        self._task = self._network.spawn(self._watch(self._query.first_delay(spread_s)))

    def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
        self._client.close()

    def _new_view(self) -> ServiceView:
        return ServiceView(self._target.mapping, is_catalog=self._target.is_catalog)

    async def _watch(self, delay_s: float) -> None:
        await self._network.sleep(delay_s)
        while True:
            try:
                await self._poll_and_deliver()
            except Exception as error:
                # Catches everything: if the watch ended, its last list would stay in use for ever.
                self._restart(error)

    async def _poll_and_deliver(self) -> None:
        update = await self._poll()
        if update is not None:
            await self._network.sleep(0)
            await self._callbacks.on_update(update)

    def _restart(self, error: Exception) -> None:
        """Read the complete list with the next call: this one may be delivered in part."""
        self._view = self._new_view()
        self._query.discard_answer()
        self._query.record_failure()
        self._callbacks.on_failed(f"internal error: {error!r}")

    async def _poll(self) -> ServiceUpdate | None:
        """Make the next call; return None if it failed, or its list is not accepted."""
        poll = self._query.next_poll(self._network.time())
        if poll.delay_s:
            await self._network.sleep(poll.delay_s)
        host, port = self._client.agents.current
        try:
            body, meta = await self._client.get_raw(
                self._path, index=poll.index, wait_s=poll.wait_s, timeout_s=poll.timeout_s
            )
            await self._read(body)
        except ConsulError as error:
            self._query.record_failure(error.retry_after_s)
            self._callbacks.on_failed(str(error))
            return None
        self._query.record_answer(self._network.time(), meta)
        agent = f"{host}:{port}"
        if not self._view.entry_count() and not self._callbacks.accepts_empty(agent):
            self._query.discard_answer()
            self._client.close()
            self._client.agents.advance()
            return None
        change = self._view.take_change(self._network.now())
        return ServiceUpdate(change, meta.last_contact_s, agent)

    async def _read(self, body: bytes) -> None:
        for _ in self._view.read(body):
            if not self._view.has_list:
                self._callbacks.on_partial_list()
            await self._network.sleep(0)  # a list of thousands of entries must not delay requests
