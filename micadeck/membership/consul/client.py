"""Calls to Consul's agents, one after another, over connections that are kept."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from micadeck.http.client import ClientConnection, Failure
from micadeck.http.h1 import Request, Response
from micadeck.membership.consul.protocol import (
    MOST_BODY,
    Ask,
    ConsulError,
    Meta,
    check_status,
    object_of,
    read_body,
    read_meta,
    redirected,
    unpacked,
)
from micadeck.network import Address, Network, place

_DIAL_WITHIN_S = 1.0
_ANSWER_WITHIN_S = 5.0  # from an answer's first byte to its last
_CALL_WITHIN_S = 5.0  # for a call that waits for nothing
_MOST_REDIRECTS = 3


class Agents:
    """The agents' addresses, the one in use first in turn; with chance, the first one is drawn."""

    def __init__(self, addresses: tuple[Address, ...], chance: random.Random | None = None) -> None:
        if not addresses:
            raise ValueError("agents: at least one address is needed")
        self._addresses = addresses
        self._turn = chance.randrange(len(addresses)) if chance is not None else 0

    @property
    def current(self) -> Address:
        return self._addresses[self._turn]

    def has(self, address: Address) -> bool:
        return address in self._addresses

    def next(self) -> None:
        """Go on to the next one, after a failure of this."""
        self._turn = (self._turn + 1) % len(self._addresses)


class ConsulClient:
    """One call at a time to the agent that is in use."""

    def __init__(self, network: Network, agents: Agents, ask: Ask) -> None:
        self._network = network
        self.agents = agents
        self._ask = ask
        self._connection: ClientConnection | None = None
        self._connected_to: Address | None = None

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def get(
        self, path: str, *, index: int = 0, wait_s: float = 0.0, within_s: float = _CALL_WITHIN_S
    ) -> tuple[Any, Meta]:
        """The JSON at a path, and what the answer says of itself; raise ConsulError, naming the agent.

        After a failure that is the agent's own, the next call goes to the next agent.
        """
        with self._naming() as agent:
            response = await self._answer(agent, path, index, wait_s, within_s)
            return read_body(response), read_meta(response)

    async def get_raw(
        self, path: str, *, index: int = 0, wait_s: float = 0.0, within_s: float = _CALL_WITHIN_S
    ) -> tuple[bytes, Meta]:
        """The same, the body unpacked but unread: a large one holds the event loop up for a millisecond."""
        with self._naming() as agent:
            response = await self._answer(agent, path, index, wait_s, within_s)
            check_status(response)
            pieces = []
            for piece in unpacked(response):
                pieces.append(piece)
                await self._network.sleep(0)
            return b"".join(pieces), read_meta(response)

    async def about(self) -> str:
        """Who the agent in use is, and whether its servers have a leader; raise ConsulError."""
        told, _ = await self.get("/v1/agent/self")
        leader, _ = await self.get("/v1/status/leader")
        config = object_of(object_of(told, "the body").get("Config"), "Config")
        return (
            f"{config.get('NodeName')} in {config.get('Datacenter')}, Consul {config.get('Version')}, "
            f"{f'leader {leader}' if leader else 'without a leader'}"
        )

    @contextmanager
    def _naming(self) -> Iterator[Address]:
        """Names the agent in use in whatever goes wrong with a call to it."""
        address = self.agents.current
        try:
            yield address
        except ConsulError as fault:
            self._failed(is_agents=not fault.is_denied)
            raise ConsulError(
                f"{place(address)}: {fault}", retry_after_s=fault.retry_after_s, is_denied=fault.is_denied
            ) from None
        except (OSError, TimeoutError) as fault:
            self._failed(is_agents=True)
            raise ConsulError(f"{place(address)}: {str(fault) or 'no answer in time'}") from None

    async def _answer(
        self, address: Address, path: str, index: int, wait_s: float, within_s: float
    ) -> Response:
        request = self._ask.request(path, place(address), index=index, wait_s=wait_s)
        async with self._network.timeout(within_s):
            return await self._get(address, request)

    def _failed(self, *, is_agents: bool) -> None:
        self.close()
        if is_agents:
            self.agents.next()

    async def _get(self, address: Address, request: Request) -> Response:
        for _ in range(_MOST_REDIRECTS + 1):
            response = await self._exchange(address, request)
            onward = redirected(response)
            if onward is None:
                return response
            address, target = onward
            # The token is for the agents of the configuration, wherever one of them may send us.
            kept = [
                each
                for each in request.headers
                if each[0] != b"host" and (each[0] != b"x-consul-token" or self.agents.has(address))
            ]
            request = Request(request.method, target, [(b"host", place(address).encode()), *kept])
        raise ConsulError("sent on from place to place")

    async def _exchange(self, address: Address, request: Request) -> Response:
        connection = self._connection
        if connection is None or self._connected_to != address or not connection.is_usable():
            self.close()
            connection = self._connection = await self._dial(address)
            self._connected_to = address
        answer: asyncio.Future[Response | Failure] = asyncio.Future()

        def ended(how: Response | Failure) -> None:
            if not answer.done():
                answer.set_result(how)

        connection.exchange(request, ended)
        how = await answer
        if isinstance(how, Response):
            return how
        if how is Failure.SPOILT:
            raise ConsulError("the answer is no HTTP, breaks off, or is over 4 MiB")
        raise ConsulError("the connection broke before the answer was whole")

    async def _dial(self, address: Address) -> ClientConnection:
        def made() -> ClientConnection:
            return ClientConnection(self._network, MOST_BODY, _ignore, _ignore, _ANSWER_WITHIN_S)

        async with self._network.timeout(_DIAL_WITHIN_S):
            return await self._network.dial(made, address)


def _ignore(_: ClientConnection) -> None:
    """The client looks after it."""
