"""Datagrams between sidecars."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from micadeck.network import Address, Network

MOST_BYTES = 256  # of a datagram; a longer one is never sent


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends to sidecars of the tier by number, and tells who a datagram came from."""

    def __init__(
        self, network: Network, peers: tuple[Address, ...], everyone: Address | None, me: int
    ) -> None:
        self._network = network
        self.rename(peers, everyone)
        self._me = me
        self._on_message: Callable[[int, bytes], None] = _ignore
        self._transport: asyncio.DatagramTransport | None = None
        self._on_raw: Callable[[Address, bytes], None] | None = None

    def hear_raw(self, on_raw: Callable[[Address, bytes], None]) -> None:
        """Give all that comes to this in place of `on_message`: it knows by itself who is a member."""
        self._on_raw = on_raw

    def send_raw(self, to: Address, payload: bytes) -> None:
        """Send to an address; it may be lost, also here."""
        if self._transport is not None:
            with suppress(OSError, ValueError):  # no such address
                self._transport.sendto(payload, to)

    def rename(self, peers: tuple[Address, ...], everyone: Address | None) -> None:
        """Reach the tier's sidecars at these addresses from now on."""
        self._peers = peers
        self._everyone = everyone
        self._numbers = {address: number for number, address in enumerate(peers)}

    async def listen(self, address: Address, on_message: Callable[[int, bytes], None]) -> None:
        """Hear from the others; `on_message` gets the sender's number and what it said."""
        self._on_message = on_message
        await self._network.datagrams(lambda: self, address)

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send to one sidecar, or to all; say whether it could be sent at all."""
        if self._transport is None or len(payload) > MOST_BYTES:
            return False
        if receiver is not None:
            if not 0 <= receiver < len(self._peers):
                return False
            self._transport.sendto(payload, self._peers[receiver])
        elif self._everyone is not None:
            self._transport.sendto(payload, self._everyone)
        else:
            for number, address in enumerate(self._peers):
                if number != self._me:
                    self._transport.sendto(payload, address)
        return True

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The event loop's own class is none of DatagramTransport, so there is nothing to check.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self._on_raw is not None:
            self._on_raw((addr[0], addr[1]), data)
            return
        number = self._numbers.get((addr[0], addr[1]))
        if number is None or number == self._me or len(data) > MOST_BYTES:
            return  # not from a sidecar of the tier
        self._on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        """A datagram may be lost; that is all an error says."""


def _ignore(number: int, payload: bytes) -> None:
    """Nobody listens yet."""
