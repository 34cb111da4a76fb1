"""HTTP client for discovery, with hedged calls.

A silent connection looks like one without changes until its answer is late.  Then a hedged call goes out on
another connection, and the first answer is used; `watch_health` has the limits.

A late call that starts a watch may still be queued at discovery.  A second one for the same watch would take
a second place in the queue, and both are refused if it is full.  Such a call is hedged by one for the
complete list, which is not queued; its result is delivered while the watch call stays open.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from micadeck.http.client import ClientConnection, Failure
from micadeck.http.messages import Request, Response
from micadeck.membership.errors import DiscoveryCallError
from micadeck.membership.watch_health import DIAL_TIMEOUT_S, ResponseTimeout
from micadeck.network import Address, Network

_PATH = "/catalog/members"
_MAX_BODY_BYTES = 4 << 20
_TIMER_TOLERANCE_S = 0.001  # a timer may fire this early

Result = TypeVar("Result")


class DiscoveryClient(Generic[Result]):
    """Makes one call at a time, over one connection for as long as it answers in time.

    Every call ends by its `give_up_s`, and leaves at most one connection open.  Owns the connection in use
    and the tasks of all open calls.
    """

    def __init__(self, network: Network, address: Address, parse: Callable[[bytes], Result]) -> None:
        """Create a client without connections.

        Args:
            network: Dials, and has the clock.
            address: The address of discovery.
            parse: Reads the body of a response; raises ValueError if it is malformed.
        """
        self._network = network
        self._address = address
        self._parse = parse
        self._current = self._new_connection()
        self._calls: dict[asyncio.Task[Result], _Connection[Result]] = {}  # oldest first

    def close(self) -> None:
        """Cancel all calls and close all connections."""
        self._cancel_calls()
        self._current.close()

    async def call(
        self, after: int | None, timeout: ResponseTimeout, on_early_result: Callable[[Result], None]
    ) -> tuple[Result, bool]:
        """Request the list as it is now, or its changes.

        Args:
            after: The version whose changes to wait for; None requests the complete list.
            timeout: The limits of the call and its hedges.
            on_early_result: Receives a complete list that arrives while a watch call is open.

        Returns:
            The result, and whether it answers a watch call.

        Raises:
            DiscoveryCallError: No call brought a result in time.
        """
        self._start_call(self._current, after, timeout)
        started_at = self._network.time()
        hedge_at = started_at + timeout.hedge_after_s
        may_queue = timeout.may_queue
        error = DiscoveryCallError("no answer")
        while self._calls:
            wait_s = max(hedge_at - self._network.time(), 0.0)
            done, _ = await asyncio.wait(self._calls, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            for task in [task for task in self._calls if task in done]:
                connection = self._calls.pop(task)
                failure = task.exception()
                if failure is None and (connection.is_watch or not self._has_watch_call()):
                    self._current = connection
                    self._cancel_calls()
                    return task.result(), connection.is_watch
                connection.close()
                if failure is None:
                    on_early_result(task.result())
                else:
                    error = DiscoveryCallError(str(failure))
            now = self._network.time()
            if now >= started_at + timeout.give_up_s - _TIMER_TOLERANCE_S:
                self._cancel_calls()
            elif self._calls and now >= hedge_at - _TIMER_TOLERANCE_S:
                hedge_at = min(now + timeout.hedge_interval_s, started_at + timeout.give_up_s)
                self._hedge(None if may_queue else after, timeout)
                may_queue = not timeout.replaces_newest
        raise error

    def _new_connection(self) -> _Connection[Result]:
        return _Connection(self._network, self._address, self._parse)

    def _has_watch_call(self) -> bool:
        return any(connection.is_watch for connection in self._calls.values())

    def _cancel_calls(self) -> None:
        for task, connection in self._calls.items():
            task.cancel()
            connection.close()
        self._calls.clear()

    def _hedge(self, after: int | None, timeout: ResponseTimeout) -> None:
        if len(self._calls) >= timeout.max_calls:
            if not timeout.replaces_newest:
                return
            newest, connection = self._calls.popitem()
            newest.cancel()
            connection.close()
        self._start_call(self._new_connection(), after, timeout.non_blocking())

    def _start_call(
        self, connection: _Connection[Result], after: int | None, timeout: ResponseTimeout
    ) -> None:
        call = connection.call(after, timeout.wait_ms, timeout.timeout_s)
        connection.is_watch = after is not None
        self._calls[self._network.spawn(call)] = connection


class _Connection(Generic[Result]):
    """One connection and the calls over it; a broken one is dialled again at the next call."""

    def __init__(self, network: Network, address: Address, parse: Callable[[bytes], Result]) -> None:
        self._network = network
        self._address = address
        self._parse = parse
        self._connection: ClientConnection | None = None
        self.is_watch = False  # whether its last call waits for changes

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()

    async def call(self, after: int | None, wait_ms: int, timeout_s: float) -> Result:
        target = _PATH if after is None else f"{_PATH}?after={after}&wait_ms={wait_ms}"
        try:
            async with self._network.timeout(timeout_s):
                response = await self._get(target.encode(), timeout_s)
        except (OSError, TimeoutError) as error:
            raise DiscoveryCallError(str(error)) from None
        if isinstance(response, Failure) or response.status != 200:
            raise DiscoveryCallError
        try:
            return self._parse(response.body)
        except ValueError as error:
            raise DiscoveryCallError(str(error)) from None

    async def _get(self, target: bytes, timeout_s: float) -> Response | Failure:
        if self._connection is None or not self._connection.is_usable():
            self.close()
            self._connection = await self._dial(timeout_s)
        result: asyncio.Future[Response | Failure] = asyncio.Future()

        def on_end(outcome: Response | Failure) -> None:
            if not result.done():
                result.set_result(outcome)

        host = f"{self._address[0]}:{self._address[1]}".encode()
        self._connection.exchange(Request(b"GET", target, [(b"host", host)]), on_end)
        return await result

    async def _dial(self, stall_s: float) -> ClientConnection:
        def make_connection() -> ClientConnection:
            return ClientConnection(self._network, _MAX_BODY_BYTES, _ignore, _ignore, stall_s)

        async with self._network.timeout(DIAL_TIMEOUT_S):
            return await self._network.dial(make_connection, self._address)


def _ignore(_: object) -> None:
    """Ignore the event."""
