"""HTTP client for Consul's agents, over persistent connections."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from micadeck.http.client import ClientConnection, Failure
from micadeck.http.messages import Request, Response
from micadeck.http.reuse_delay import ReuseDelay
from micadeck.membership.consul.protocol import (
    MAX_BODY_BYTES,
    ConsulError,
    RequestOptions,
    ResponseMeta,
    check_status,
    decompressed,
    read_body,
    read_meta,
    redirect_target,
    require_object,
)
from micadeck.network import Address, Network, format_address

_DIAL_TIMEOUT_S = 1.0
_BODY_TIMEOUT_S = 5.0  # from the first byte of a response to its last
_CALL_TIMEOUT_S = 5.0  # of a call that does not block
_MAX_REDIRECTS = 3


class Agents:
    """The addresses of the agents, used in rotation."""

    def __init__(self, addresses: tuple[Address, ...], rng: random.Random | None = None) -> None:
        """Start with the first address, or with a random one.

        Raises:
            ValueError: There is no address.
        """
        if not addresses:
            message = "agents: at least one address is needed"
            raise ValueError(message)
        self._addresses = addresses
        self._current = rng.randrange(len(addresses)) if rng is not None else 0

    @property
    def current(self) -> Address:
        """The agent in use."""
        return self._addresses[self._current]

    def __contains__(self, address: Address) -> bool:
        """Return whether an address is that of a configured agent."""
        return address in self._addresses

    def advance(self) -> None:
        """Use the next agent, after a failure of this one."""
        self._current = (self._current + 1) % len(self._addresses)


class ConsulClient:
    """Makes one call at a time to the agent in use.  Owns the connection to it and its reuse delay."""

    def __init__(self, network: Network, agents: Agents, options: RequestOptions) -> None:
        """Create a client without a connection."""
        self._network = network
        self.agents = agents
        self._options = options
        self._connection: ClientConnection | None = None
        self._connected_to: Address | None = None
        self._reuse_delay = ReuseDelay()
        self._answered_at = 0  # microseconds, when the connection became idle

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def get(
        self, path: str, *, index: int = 0, wait_s: float = 0.0, timeout_s: float = _CALL_TIMEOUT_S
    ) -> tuple[Any, ResponseMeta]:
        """Return the JSON at a path, and the headers.

        Args:
            path: The path of the API.
            index: The index to wait on; 0 for a call that does not block.
            wait_s: How long the query may block.
            timeout_s: How long the call may take.

        Raises:
            ConsulError: The call failed; the text names the agent.  If the agent is at fault, the next call
                goes to another one.
        """
        with self._agent_errors() as agent:
            request = self._options.request(path, format_address(agent), index=index, wait_s=wait_s)
            response = await self._call(agent, request, timeout_s)
            return read_body(response), read_meta(response)

    async def get_raw(
        self, path: str, *, index: int = 0, wait_s: float = 0.0, timeout_s: float = _CALL_TIMEOUT_S
    ) -> tuple[bytes, ResponseMeta]:
        """Return the decompressed body unparsed, and the headers; see `get`.

        Parsing a large body at once would block the event loop for a millisecond.
        """
        with self._agent_errors() as agent:
            request = self._options.request(path, format_address(agent), index=index, wait_s=wait_s)
            response = await self._call(agent, request, timeout_s)
            check_status(response)
            pieces = []
            for piece in decompressed(response):
                pieces.append(piece)
                await self._network.sleep(0)
            return b"".join(pieces), read_meta(response)

    async def describe_agent(self) -> str:
        """Describe the agent in use and the leader of its servers; raise ConsulError."""
        agent, _ = await self.get("/v1/agent/self")
        leader, _ = await self.get("/v1/status/leader")
        config = require_object(require_object(agent, "the body").get("Config"), "Config")
        return (
            f"{config.get('NodeName')} in {config.get('Datacenter')}, Consul {config.get('Version')}, "
            f"{f'leader {leader}' if leader else 'without a leader'}"
        )

    @contextmanager
    def _agent_errors(self) -> Iterator[Address]:
        """Yield the agent in use; turn errors of a call into ConsulErrors that name it."""
        address = self.agents.current
        try:
            yield address
        except ConsulError as error:
            self._drop_connection(is_agent_at_fault=not error.is_forbidden)
            message = f"{format_address(address)}: {error}"
            raise ConsulError(
                message, retry_after_s=error.retry_after_s, is_forbidden=error.is_forbidden
            ) from None
        except (OSError, TimeoutError) as error:
            self._drop_connection(is_agent_at_fault=True)
            message = f"{format_address(address)}: {str(error) or 'no answer in time'}"
            raise ConsulError(message) from None

    def _drop_connection(self, *, is_agent_at_fault: bool) -> None:
        self.close()
        if is_agent_at_fault:
            self.agents.advance()

    async def _call(self, address: Address, request: Request, timeout_s: float) -> Response:
        async with self._network.timeout(timeout_s):
            return await self._follow_redirects(address, request)

    async def _follow_redirects(self, address: Address, request: Request) -> Response:
        for _ in range(_MAX_REDIRECTS + 1):
            response = await self._exchange(address, request)
            redirect = redirect_target(response)
            if redirect is None:
                return response
            address, target = redirect
            # A redirect must not send the token to any address but that of a configured agent.
            kept = [
                (name, value)
                for name, value in request.headers
                if name != b"host" and (name != b"x-consul-token" or address in self.agents)
            ]
            request = Request(request.method, target, [(b"host", format_address(address).encode()), *kept])
        message = f"more than {_MAX_REDIRECTS} redirects"
        raise ConsulError(message)

    async def _exchange(self, address: Address, request: Request) -> Response:
        await self._wait_for_late_bytes()
        connection = self._connection
        if connection is None or self._connected_to != address or not connection.is_usable():
            self.close()
            connection = self._connection = await self._dial(address)
            self._connected_to = address
        result: asyncio.Future[Response | Failure] = asyncio.Future()

        def on_end(outcome: Response | Failure) -> None:
            if not result.done():
                result.set_result(outcome)

        connection.exchange(request, on_end)
        outcome = await result
        self._answered_at = self._network.now()
        if isinstance(outcome, Response):
            return outcome
        if outcome is Failure.MALFORMED:
            message = "the response is not HTTP, is truncated or is over 4 MiB"
        else:
            message = "the connection was lost before the end of the response"
        raise ConsulError(message)

    async def _wait_for_late_bytes(self) -> None:
        """Wait until the connection may be reused; a duplicate of the last response closes it meanwhile."""
        connection = self._connection
        if connection is None or not connection.is_usable():
            return  # the call dials
        now = self._network.now()
        delay_us = self._reuse_delay.delay_us_at(now, connection.min_round_trip_us())
        left_us = self._answered_at + delay_us - now
        if left_us > 0:
            await self._network.sleep(left_us / 1e6)

    async def _dial(self, address: Address) -> ClientConnection:
        def make_connection() -> ClientConnection:
            return ClientConnection(
                self._network, MAX_BODY_BYTES, _ignore, self._connection_closed, _BODY_TIMEOUT_S
            )

        async with self._network.timeout(_DIAL_TIMEOUT_S):
            return await self._network.dial(make_connection, address)

    def _connection_closed(self, connection: ClientConnection) -> None:
        if connection.received_unexpected_bytes:
            now = self._network.now()
            self._reuse_delay.record_late_bytes(now, now - self._answered_at)


def _ignore(_: ClientConnection) -> None:
    """Ignore the event: the client tracks the connection itself."""
