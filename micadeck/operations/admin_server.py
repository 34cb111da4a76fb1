"""The operators' door: a listener of its own, and callers bounded in number and time."""

from __future__ import annotations

import asyncio
from typing import cast

from micadeck.network import Address, Listener, Network, Timer
from micadeck.operations.admin_protocol import AdminTarget, BadCommandError, CommandReader, answer, refusal

MOST_CALLERS = 16  # descriptors that the sidecar sets aside for them
_CALL_WITHIN_S = 3.0  # a caller that has not finished its line by then is cut off
_READ_WITHIN_S = 2.0  # and one that has not read its answer


class AdminServer:
    """Answers calls, one line to a connection.  No limit of clients binds it."""

    def __init__(self, network: Network, staffed: AdminTarget) -> None:
        self.network = network
        self.staffed = staffed
        self._listener: Listener | None = None
        self._callers: dict[_Caller, None] = {}  # the one that came first stands first

    def listen(self, address: Address) -> None:
        """Raises OSError if the address is taken, or not this machine's."""
        self._listener = self.network.listen(lambda: _Caller(self), address, MOST_CALLERS)

    @property
    def port(self) -> int:
        assert self._listener is not None
        return self._listener.port

    def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        for each in list(self._callers):
            each.cut()

    def opened(self, caller: _Caller) -> None:
        """Guards against callers that connect and say nothing: they hold back nobody, the oldest goes."""
        if len(self._callers) >= MOST_CALLERS:
            next(iter(self._callers)).cut()
        self._callers[caller] = None

    def closed(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)


class _Caller(asyncio.Protocol):
    def __init__(self, door: AdminServer) -> None:
        self._door = door
        self._reader = CommandReader()
        self._transport: asyncio.Transport | None = None
        self._timer: Timer | None = None
        self._is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        self._door.opened(self)
        self._timer = self._door.network.call_later(_CALL_WITHIN_S, self.cut)

    def data_received(self, data: bytes) -> None:
        if self._is_answered:
            return
        try:
            line = self._reader.feed(data)
        except BadCommandError as fault:
            self._say(refusal(str(fault)))
        else:
            if line is not None:
                self._say(answer(line, self._door.staffed))

    def eof_received(self) -> bool:
        if not self._is_answered:
            self._say(answer(self._reader.end(), self._door.staffed))
        return True  # the answer still goes out

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._door.closed(self)

    def cut(self) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._door.closed(self)

    def _say(self, text: bytes) -> None:
        assert self._transport is not None and self._timer is not None
        self._is_answered = True
        self._timer.cancel()
        self._timer = self._door.network.call_later(_READ_WITHIN_S, self.cut)
        self._transport.write(text)
        self._transport.close()
