"""One service of Consul, watched: each answer becomes what it changes in the service's list."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from micadeck.membership.consul.client import ConsulClient
from micadeck.membership.consul.protocol import ConsulError
from micadeck.membership.consul.query import BlockingQuery
from micadeck.membership.consul.states import Names
from micadeck.membership.consul.view import News, ServiceView
from micadeck.network import Network


@dataclass(frozen=True, slots=True)
class Heard:
    """What an answer changes in a service's list, and what is to be known of it."""

    news: News
    lag_s: float  # how old it may be
    agent: str


def _nothing() -> None:
    """Nobody cares."""


class ServiceWatch:
    """Asks for one service's instances for as long as it lives.

    `believes_empty` is asked, with the agent's address, about a list without entries; one that is not
    believed is asked for again, of the next agent.  `on_heard` gets what every other answer changes, and
    `on_failed` what went wrong with a call, in words without the token.  `settle` is called between the
    pieces of a first list: what was made of it by then is there to stay.
    """

    def __init__(
        self,
        network: Network,
        client: ConsulClient,
        service: str,
        query: BlockingQuery,
        believes_empty: Callable[[str], bool],
        on_heard: Callable[[Heard], Awaitable[None]],
        on_failed: Callable[[str], None],
        names: Names | None = None,
        settle: Callable[[], None] = _nothing,
        *,
        of_catalog: bool = False,
    ) -> None:
        self._network = network
        self._settle = settle
        self._client = client
        self._path = f"/v1/{'catalog' if of_catalog else 'health'}/service/{service}"
        self._query = query
        self._believes_empty = believes_empty
        self._on_heard = on_heard
        self._on_failed = on_failed
        self._view = ServiceView(names, of_catalog=of_catalog)
        self._task: asyncio.Task[None] | None = None

    def start(self, spread_s: float = 0.0) -> None:
        """Begin somewhere in this span, so that many sidecars that start together do not ask in step."""
        self._task = self._network.spawn(self._watch(self._query.first_delay(spread_s)))

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._client.close()

    async def _watch(self, delay_s: float) -> None:
        await self._network.sleep(delay_s)
        while True:
            plan = self._query.plan(self._network.time())
            if plan.delay_s:
                await self._network.sleep(plan.delay_s)
            agent = self._client.agents.current
            try:
                body, meta = await self._client.get_raw(
                    self._path, index=plan.index, wait_s=plan.wait_s, within_s=plan.within_s
                )
                for _ in self._view.read(body):
                    if not self._view.has_read:
                        self._settle()
                    await self._network.sleep(0)  # a list of thousands must not hold up requests
            except ConsulError as fault:
                self._query.failed(self._network.time(), fault.retry_after_s)
                self._on_failed(str(fault))
                continue
            self._query.answered(self._network.time(), meta)
            place = f"{agent[0]}:{agent[1]}"
            if not self._view.count() and not self._believes_empty(place):
                self._query.doubted()
                self._client.close()
                self._client.agents.next()
                continue
            news = self._view.taken(self._network.now())
            await self._network.sleep(0)
            await self._on_heard(Heard(news, meta.last_contact_s, place))


def watch(
    network: Network,
    client: ConsulClient,
    service: str,
    believes_empty: Callable[[str], bool],
    on_heard: Callable[[Heard], Awaitable[None]],
    on_failed: Callable[[str], None],
    *,
    seed: int,
    wait_s: float = 30.0,
    names: Names | None = None,
    settle: Callable[[], None] = _nothing,
    of_catalog: bool = False,
) -> ServiceWatch:
    """A watch with a query of its own; `seed` sets its jitter apart from others'."""
    query = BlockingQuery(random.Random(seed), wait_s)
    return ServiceWatch(
        network,
        client,
        service,
        query,
        believes_empty,
        on_heard,
        on_failed,
        names,
        settle,
        of_catalog=of_catalog,
    )
