"""Discovery in the virtual world: the project's stand-in roster, which may be late, stuck or down."""

from __future__ import annotations

import asyncio
import copy
from typing import Any

from micadeck.simulation.loop import Host
from micadeck.simulation.network import EPOCH_US, VirtualNetwork
from micadeck.simulation.wire import Machine, Wire
from micadeck.stand_ins.discovery_server import StandInRoster


class Discovery(StandInRoster):
    """A roster on a host of its own; its faults are counted, so that they may overlap."""

    def __init__(self, wire: Wire, number: int) -> None:
        super().__init__()
        self.place = (f"10.2.0.{number}", 7070)
        self.late_s: list[float] = []
        self._wire = wire
        self._number = number
        self._stuck: list[StandInRoster] = []
        self._downs = 0
        self._machine: Machine

    def now_ms(self) -> int:
        return (EPOCH_US + self._wire.loop.now_us) // 1_000

    @property
    def address(self) -> str:
        return f"{self.place[0]}:{self.place[1]}"

    def up(self) -> None:
        host = Host(f"discovery-{self._number}")
        self._machine = self._wire.machine(host, self.place[0])
        network = VirtualNetwork(self._machine)

        def make() -> asyncio.Protocol:
            reader = asyncio.StreamReader(loop=self._wire.loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=self._wire.loop)

        network.listen(make, self.place, 64)

    def go_down(self) -> None:
        self._downs += 1
        if self._downs == 1:
            self._machine.kill()

    def come_back(self) -> None:
        self._downs -= 1
        if not self._downs:
            self.up()

    def stick(self) -> None:
        """Tell nothing new from here on."""
        if self._stuck:
            self._stuck.append(self._stuck[-1])
            return
        frozen = StandInRoster()
        frozen.version, frozen.entries = self.version, copy.deepcopy(self.entries)
        frozen._change_versions = dict(self._change_versions)
        frozen._removed = copy.deepcopy(self._removed)
        self._stuck.append(frozen)

    def move_on(self) -> None:
        self._stuck.pop()._notify_watches()

    async def _answer(self, target: str) -> dict[str, Any]:
        for seconds in list(self.late_s):
            await asyncio.sleep(seconds)
        if self._stuck:
            return await self._stuck[-1]._answer(target)
        return await super()._answer(target)
