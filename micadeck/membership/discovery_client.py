"""Calls to the roster: each gets one answer, by whichever of its connections brings one first.

A connection that fell silent can't be told from one without news until its answer is late.  Then it is asked
on a fresh connection beside it, so that neither is lost if it was only slow; `vigil` says when.

Where discovery works through calls in turn, one that begins a watch may stand in its line.  Asking beside it
for the same watch again would be a second place for the same, and where the line is full both are refused:
so the whole list is asked for beside it, which is no watch, and what that brings is told meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from micadeck.http.client import ClientConnection, Failure
from micadeck.http.h1 import Request, Response
from micadeck.membership.watch_health import DIAL_WITHIN_S, ResponseTimeout
from micadeck.network import Address, Network

_PATH = "/catalog/members"
_MOST_BYTES = 4 << 20  # of a whole list
_EARLY_S = 0.001  # how much a timer may fire early

L = TypeVar("L")


class DiscoveryCallError(Exception):
    """Discovery did not answer a call, or not with a list."""


class DiscoveryClient(Generic[L]):
    """Calls one after another, over one connection as long as it answers in time.

    Whatever comes, `call` ends by `until_s`; when it ends, at most one connection is open.
    """

    def __init__(self, network: Network, address: Address, parse: Callable[[bytes], L]) -> None:
        """`parse` reads an answer's body, and raises ValueError on nonsense."""
        self._network = network
        self._address = address
        self._parse = parse
        self._line = self._fresh()
        self._out: dict[asyncio.Task[L], _Line[L]] = {}  # the oldest first

    def _fresh(self) -> _Line[L]:
        return _Line(self._network, self._address, self._parse)

    def close(self) -> None:
        self._drop_all()
        self._line.close()

    async def call(
        self, after: int | None, patience: ResponseTimeout, told: Callable[[L], None]
    ) -> tuple[L, bool]:
        """The list as it is now, or what changed since `after`, and whether that was an answer of the watch.

        `told` takes what came of the whole list while a call of the watch is still out.  Raise CallFailed
        when nobody tells.
        """
        self._begin(self._line, after, patience)
        began = self._network.time()
        due = began + patience.late_s
        in_line = patience.in_line  # whether a call of the watch may wait for its turn
        fault = DiscoveryCallError("no answer")
        while self._out:
            left_s = max(due - self._network.time(), 0.0)
            ended, _ = await asyncio.wait(self._out, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
            for each in [each for each in self._out if each in ended]:
                line = self._out.pop(each)
                if each.exception() is not None:
                    line.close()
                    fault = DiscoveryCallError(str(each.exception()))
                elif line.is_watch or not any(other.is_watch for other in self._out.values()):
                    self._line = line
                    self._drop_all()
                    return each.result(), line.is_watch
                else:
                    line.close()
                    told(each.result())
            now = self._network.time()
            if now >= began + patience.until_s - _EARLY_S:
                self._drop_all()
            elif self._out and now >= due - _EARLY_S:
                due = min(now + patience.apart_s, began + patience.until_s)
                self._ask_beside(None if in_line else after, patience)
                in_line = not patience.drops_newest
        raise fault

    def _drop_all(self) -> None:
        for task, line in self._out.items():
            task.cancel()
            line.close()
        self._out.clear()

    def _ask_beside(self, after: int | None, patience: ResponseTimeout) -> None:
        if len(self._out) >= patience.at_once:
            if not patience.drops_newest:
                return
            newest, line = self._out.popitem()
            newest.cancel()
            line.close()
        self._begin(self._fresh(), after, patience.again())

    def _begin(self, line: _Line[L], after: int | None, patience: ResponseTimeout) -> None:
        work = line.call(after, patience.wait_ms, patience.within_s)
        line.is_watch = after is not None
        self._out[self._network.spawn(work)] = line


class _Line(Generic[L]):
    """One connection, and the calls over it; a broken one is dialled again at the next call."""

    def __init__(self, network: Network, address: Address, parse: Callable[[bytes], L]) -> None:
        self._network = network
        self._address = address
        self._parse = parse
        self._connection: ClientConnection | None = None
        self.is_watch = False  # whether its call is one of the watch, not for the whole list

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()

    async def call(self, after: int | None, wait_ms: int, within_s: float) -> L:
        target = _PATH if after is None else f"{_PATH}?after={after}&wait_ms={wait_ms}"
        try:
            async with self._network.timeout(within_s):
                response = await self._get(target.encode(), within_s)
        except (OSError, TimeoutError) as fault:
            raise DiscoveryCallError(str(fault)) from None
        if isinstance(response, Failure) or response.status != 200:
            raise DiscoveryCallError("no list")
        try:
            return self._parse(response.body)
        except ValueError as nonsense:
            raise DiscoveryCallError(str(nonsense)) from None

    async def _get(self, target: bytes, within_s: float) -> Response | Failure:
        if self._connection is None or not self._connection.is_usable():
            self.close()
            self._connection = await self._dial(within_s)
        answer: asyncio.Future[Response | Failure] = asyncio.Future()

        def ended(how: Response | Failure) -> None:
            if not answer.done():
                answer.set_result(how)

        host = f"{self._address[0]}:{self._address[1]}".encode()
        self._connection.exchange(Request(b"GET", target, [(b"host", host)]), ended)
        return await answer

    async def _dial(self, stall_s: float) -> ClientConnection:
        def made() -> ClientConnection:
            return ClientConnection(self._network, _MOST_BYTES, _ignore, _ignore, stall_s)

        async with self._network.timeout(DIAL_WITHIN_S):
            return await self._network.dial(made, self._address)


def _ignore(_: object) -> None:
    """Nothing is kept of it."""
