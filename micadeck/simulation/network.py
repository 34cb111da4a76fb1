"""The engine's network interface on the virtual clock and network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVar

from micadeck.network import Address, LoopScheduler, Reservation, Stream
from micadeck.simulation.loop import Host
from micadeck.simulation.wire import Machine, VirtualDatagrams, VirtualListener

EPOCH_US = 1_700_000_000_000_000  # the hosts' wall clocks at virtual time 0
_BACKLOG = 1_024

P = TypeVar("P", bound=asyncio.BaseProtocol)
T = TypeVar("T")


class VirtualNetwork(LoopScheduler):
    """`Network` for one host, whose wall clock is `ahead_us` ahead of virtual time."""

    def __init__(self, machine: Machine, ahead_us: int = 0) -> None:
        super().__init__(machine.wire.loop)
        self.machine = machine
        self._ahead_us = ahead_us

    @property
    def host(self) -> Host:
        return self.machine.host

    def now(self) -> int:
        return EPOCH_US + self._ahead_us + self.machine.wire.loop.now_us

    def wall(self) -> int:
        return self.now()

    def start_thread(self, name: str) -> SameThread:
        return SameThread(self)

    async def dial(self, make: Callable[[], P], address: Address) -> P:
        protocol: P = await self.machine.dial(make, address)
        return protocol

    def listen(
        self,
        make: Callable[[], asyncio.BaseProtocol],
        address: Address,
        max_accepts: int,
        *,
        shared: bool = False,
    ) -> VirtualListener:
        if not shared and address in self.machine.wire.listeners:
            raise OSError(98, "address already in use")
        return VirtualListener(self.machine, make, address, max_accepts, _BACKLOG)

    def reserve(self, address: Address) -> Reservation:
        return _NoReservation()

    async def datagrams(self, make: Callable[[], asyncio.DatagramProtocol], address: Address) -> None:
        protocol = make()
        protocol.connection_made(VirtualDatagrams(self.machine, protocol, address))

    def stream(self, transport: asyncio.BaseTransport) -> Stream:
        return transport  # type: ignore[return-value]  # a VirtualTransport implements Stream


class _NoReservation:
    """No other program takes an address of the virtual network."""

    def close(self) -> None:
        pass


class SameThread:
    """Stands in for a worker thread; runs work at once."""

    def __init__(self, network: VirtualNetwork) -> None:
        self.network = network

    def run(self, work: Callable[[], T]) -> T:
        return work()

    def stop(self) -> None:
        pass
