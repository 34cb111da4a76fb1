"""Consul in the virtual world: the project's stand-in, which may be late, lag or be down."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from micadeck.membership.consul.config import ConsulConfig, parse
from micadeck.simulation.loop import Host
from micadeck.simulation.network import VirtualNetwork
from micadeck.simulation.wire import Machine, Wire
from micadeck.stand_ins.consul import NODE, StandInConsul, State

SERVICE = "tariff"
_PLACE = ("10.2.1.1", 8500)
_LAGS_S = 1e6  # a follower that hears of nothing


class Registry(StandInConsul):
    """One agent on a host of its own; its faults are counted, so that they may overlap."""

    def __init__(self, wire: Wire, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.late_s: list[float] = []
        self._wire = wire
        self._stuck = self._downs = 0
        self._machine: Machine

    @staticmethod
    def config() -> ConsulConfig:
        """What a sidecar is told of it."""
        service = {"name": SERVICE, "mode": "stale", "doubt_s": 0}
        address = f"{_PLACE[0]}:{_PLACE[1]}"
        return parse({"agents": [address], "services": [service], "wait_s": 2.0, "spread_s": 0.0})

    def up(self) -> None:
        self._machine = self._wire.machine(Host("consul"), _PLACE[0])

        def make() -> asyncio.Protocol:
            reader = asyncio.StreamReader(loop=self._wire.loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=self._wire.loop)

        VirtualNetwork(self._machine).listen(make, _PLACE, 64)

    def go_down(self) -> None:
        self._downs += 1
        if self._downs == 1:
            self._machine.kill()
            self._writers.clear()

    def come_back(self) -> None:
        self._downs -= 1
        if not self._downs:
            self.up()

    def stick(self) -> None:
        """Tell nothing new from here on, as a follower cut off from its leader."""
        self._stuck += 1
        self.stale_by_s = _LAGS_S

    def move_on(self) -> None:
        self._stuck -= 1
        if not self._stuck:
            self.stale_by_s = 0.0
            self.change(lambda state: None)

    def put(self, entry: dict[str, Any]) -> None:
        """List a server as the roster's entry says."""
        self.change(lambda state: _put(state, entry))

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        for seconds in list(self.late_s):
            await asyncio.sleep(seconds)
        return await super()._answer(method, target, headers, body, writer)


def _put(state: State, entry: dict[str, Any]) -> None:
    name, maintenance = entry["id"], f"_service_maintenance:{entry['id']}"
    host, _, port = entry["addr"].rpartition(":")
    meta = {
        "zone": entry["zone"],
        "cell": str(entry["cell"]),
        "started_ms": str(entry["started_ms"] or 1),  # without a word on it, a new one is cold
    }
    state.put_service(NODE, {"Name": SERVICE, "ID": name, "Address": host, "Port": int(port), "Meta": meta})
    if entry["state"] == "leaving":
        state.put_check(NODE, maintenance, "critical", name)
    else:
        state.drop_check(NODE, maintenance)


def listing(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """What an answer on a service's health says, as the roster would word it."""
    servers = [
        {
            "id": row["Service"]["ID"],
            "state": "leaving" if any(c["Status"] == "critical" for c in row["Checks"]) else "active",
            "started_ms": int(row["Service"]["Meta"]["started_ms"]),
        }
        for row in rows
    ]
    return {"full": True, "servers": servers}
