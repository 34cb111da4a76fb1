"""The admin server: a listener of its own, with clients bounded in number and time."""

from __future__ import annotations

import asyncio
from typing import cast

from micadeck.network import Address, Listener, Network, Timer
from micadeck.operations.admin_protocol import (
    AdminTarget,
    BadCommandError,
    CommandReader,
    error_reply,
    execute,
)

MAX_CLIENTS = 16  # descriptors that the sidecar reserves for them
_COMMAND_TIMEOUT_S = 3.0  # for a client to send its command
_REPLY_TIMEOUT_S = 2.0  # for a client to read its reply


class AdminServer:
    """Executes commands, one per connection.  The data plane's client limits don't apply.

    It owns the set of admin connections.
    """

    def __init__(self, network: Network, target: AdminTarget) -> None:
        """Create a server that does not listen yet.

        Args:
            network: The network of the thread on which the server runs.
            target: What the commands act on.
        """
        self.network = network
        self.target = target
        self._listener: Listener | None = None
        self._connections: dict[_AdminConnection, None] = {}  # oldest first

    def listen(self, address: Address) -> None:
        """Start to listen.

        Raises:
            OSError: The address is in use, or not this machine's.
        """
        self._listener = self.network.listen(lambda: _AdminConnection(self), address, MAX_CLIENTS)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._listener is not None
        return self._listener.port

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections):
            connection.abort()

    def register(self, connection: _AdminConnection) -> None:
        """Add a connection; at the limit, abort the oldest, so that idle clients block no others."""
        if len(self._connections) >= MAX_CLIENTS:
            next(iter(self._connections)).abort()
        self._connections[connection] = None

    def unregister(self, connection: _AdminConnection) -> None:
        """Remove a connection that is closed."""
        self._connections.pop(connection, None)


class _AdminConnection(asyncio.Protocol):
    """One client: a command, its reply, and a timeout for each."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._reader = CommandReader()
        self._transport: asyncio.Transport | None = None
        self._timer: Timer | None = None
        self._has_replied = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports don't derive from asyncio's, so there is nothing to check at run time.
        self._transport = cast(asyncio.Transport, transport)
        self._server.register(self)
        self._timer = self._server.network.call_later(_COMMAND_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        if self._has_replied:
            return
        try:
            line = self._reader.feed(data)
        except BadCommandError as error:
            self._reply(error_reply(str(error)))
        else:
            if line is not None:
                self._reply(execute(line, self._server.target))

    def eof_received(self) -> bool:
        if not self._has_replied:
            self._reply(execute(self._reader.finish(), self._server.target))
        return True  # keep the transport open: the reply is still to be sent

    def connection_lost(self, _error: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._server.unregister(self)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._server.unregister(self)

    def _reply(self, text: bytes) -> None:
        assert self._transport is not None
        assert self._timer is not None
        self._has_replied = True
        self._timer.cancel()
        self._timer = self._server.network.call_later(_REPLY_TIMEOUT_S, self.abort)
        self._transport.write(text)
        self._transport.close()
