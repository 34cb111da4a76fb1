"""Datagrams between the sidecars of a tier."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from micadeck.network import Address, Network

MAX_DATAGRAM_BYTES = 256  # longer ones are not sent


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends datagrams to the sidecars of the tier by number, and identifies senders.

    Owns the socket and the addresses of the peers.
    """

    def __init__(
        self, network: Network, peers: tuple[Address, ...], broadcast: Address | None, own_number: int
    ) -> None:
        """Set the peers; `listen` opens the socket.

        Args:
            network: Opens the socket.
            peers: The addresses of all sidecars of the tier, this one's too, by number.
            broadcast: An address that reaches all of them; None: each is sent its own datagram.
            own_number: The number of this sidecar.
        """
        self._network = network
        self.set_peers(peers, broadcast)
        self._own_number = own_number
        self._on_message: Callable[[int, bytes], None] = _ignore
        self._transport: asyncio.DatagramTransport | None = None
        self._on_datagram: Callable[[Address, bytes], None] | None = None

    def receive_raw(self, on_datagram: Callable[[Address, bytes], None]) -> None:
        """Pass datagrams to `on_datagram`, which authenticates senders, and not to `on_message`."""
        self._on_datagram = on_datagram

    def send_raw(self, to: Address, payload: bytes) -> None:
        """Send to an address, without a guarantee of delivery."""
        if self._transport is not None:
            with suppress(OSError, ValueError):  # the address is invalid or can't be reached
                self._transport.sendto(payload, to)

    def set_peers(self, peers: tuple[Address, ...], broadcast: Address | None) -> None:
        """Replace the addresses of the tier's sidecars."""
        self._peers = peers
        self._broadcast = broadcast
        self._numbers = {address: number for number, address in enumerate(peers)}

    async def listen(self, address: Address, on_message: Callable[[int, bytes], None]) -> None:
        """Receive datagrams at an address; `on_message` gets the sender's number and the payload."""
        self._on_message = on_message
        await self._network.datagrams(lambda: self, address)

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send to one sidecar, or to all (None); return whether it was sent."""
        if self._transport is None or len(payload) > MAX_DATAGRAM_BYTES:
            return False
        if receiver is not None:
            if not 0 <= receiver < len(self._peers):
                return False
            self._transport.sendto(payload, self._peers[receiver])
        elif self._broadcast is not None:
            self._transport.sendto(payload, self._broadcast)
        else:
            for number, address in enumerate(self._peers):
                if number != self._own_number:
                    self._transport.sendto(payload, address)
        return True

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the open transport."""
        # uvloop's transports don't derive from asyncio's, so there is nothing to check at run time.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Report a datagram from a sidecar of the tier; ignore others."""
        if self._on_datagram is not None:
            self._on_datagram((addr[0], addr[1]), data)
            return
        number = self._numbers.get((addr[0], addr[1]))
        if number is None or number == self._own_number or len(data) > MAX_DATAGRAM_BYTES:
            return
        self._on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors: any datagram may be lost."""


def _ignore(number: int, payload: bytes) -> None:
    """Drop a datagram; `listen` was not called yet."""
