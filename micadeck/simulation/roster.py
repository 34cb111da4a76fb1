"""The simulated discovery: the stand-in roster with delays, stale lists and outages."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

from micadeck.simulation.loop import Host
from micadeck.simulation.network import EPOCH_US, VirtualNetwork
from micadeck.simulation.wire import Machine, Wire
from micadeck.stand_ins.discovery_server import StandInRoster


class Discovery(StandInRoster):
    """A roster on its own host; its faults are counted, so that they can overlap."""

    def __init__(self, wire: Wire, number: int) -> None:
        super().__init__()
        self.listen_address = (f"10.2.0.{number}", 7070)
        self.delays_s: list[float] = []
        self._wire = wire
        self._number = number
        self._frozen: list[StandInRoster] = []
        self._outages = 0
        self._machine: Machine

    def now_ms(self) -> int:
        return (EPOCH_US + self._wire.loop.now_us) // 1_000

    @property
    def address(self) -> str:
        return f"{self.listen_address[0]}:{self.listen_address[1]}"

    def start_listening(self) -> None:
        host = Host(f"discovery-{self._number}")
        self._machine = self._wire.machine(host, self.listen_address[0])
        network = VirtualNetwork(self._machine)

        def make() -> asyncio.Protocol:
            reader = asyncio.StreamReader(loop=self._wire.loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=self._wire.loop)

        network.listen(make, self.listen_address, 64)

    def go_down(self) -> None:
        self._outages += 1
        if self._outages == 1:
            self._machine.kill()

    def recover(self) -> None:
        self._outages -= 1
        if not self._outages:
            self.start_listening()

    def freeze(self) -> None:
        """Serve the present list until `unfreeze`."""
        if self._frozen:
            self._frozen.append(self._frozen[-1])
            return
        copied = StandInRoster()
        copied.version, copied.entries = self.version, copy.deepcopy(self.entries)
        copied._change_versions = dict(self._change_versions)
        copied._removed = copy.deepcopy(self._removed)
        self._frozen.append(copied)

    def unfreeze(self) -> None:
        self._frozen.pop()._notify_watches()

    async def _answer(self, target: str) -> dict[str, Any]:
        for seconds in list(self.delays_s):
            await asyncio.sleep(seconds)
        if self._frozen:
            return await self._frozen[-1]._answer(target)
        return await super()._answer(target)
