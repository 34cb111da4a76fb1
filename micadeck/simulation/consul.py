"""The simulated Consul: the stand-in with delays, stale answers and outages."""

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
_ADDRESS = ("10.2.1.1", 8500)
_STALE_BY_S = 1e6  # a follower that receives no updates


class Registry(StandInConsul):
    """One agent on its own host; its faults are counted, so that they can overlap."""

    def __init__(self, wire: Wire, seed: int) -> None:
        super().__init__()
        self.rng = random.Random(seed)
        self.delays_s: list[float] = []
        self._wire = wire
        self._freezes = self._outages = 0
        self._machine: Machine

    @staticmethod
    def config() -> ConsulConfig:
        """The configuration of the sidecars."""
        service = {"name": SERVICE, "mode": "stale", "doubt_s": 0}
        address = f"{_ADDRESS[0]}:{_ADDRESS[1]}"
        return parse({"agents": [address], "services": [service], "wait_s": 2.0, "spread_s": 0.0})

    def start_listening(self) -> None:
        self._machine = self._wire.machine(Host("consul"), _ADDRESS[0])

        def make() -> asyncio.Protocol:
            reader = asyncio.StreamReader(loop=self._wire.loop)
            return asyncio.StreamReaderProtocol(reader, self._serve, loop=self._wire.loop)

        VirtualNetwork(self._machine).listen(make, _ADDRESS, 64)

    def go_down(self) -> None:
        self._outages += 1
        if self._outages == 1:
            self._machine.kill()
            self._writers.clear()

    def recover(self) -> None:
        self._outages -= 1
        if not self._outages:
            self.start_listening()

    def freeze(self) -> None:
        """Serve stale answers until `unfreeze`, as a follower partitioned from its leader."""
        self._freezes += 1
        self.stale_by_s = _STALE_BY_S

    def unfreeze(self) -> None:
        self._freezes -= 1
        if not self._freezes:
            self.stale_by_s = 0.0
            self.change(lambda state: None)

    def put(self, entry: dict[str, Any]) -> None:
        """Register a server from its roster entry."""
        self.change(lambda state: _put(state, entry))

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        for seconds in list(self.delays_s):
            await asyncio.sleep(seconds)
        return await super()._answer(method, target, headers, body, writer)


def _put(state: State, entry: dict[str, Any]) -> None:
    name, maintenance = entry["id"], f"_service_maintenance:{entry['id']}"
    host, _, port = entry["addr"].rpartition(":")
    meta = {
        "zone": entry["zone"],
        "cell": str(entry["cell"]),
        "started_ms": str(entry["started_ms"] or 1),  # without it a new server counts as cold
    }
    state.put_service(NODE, {"Name": SERVICE, "ID": name, "Address": host, "Port": int(port), "Meta": meta})
    if entry["state"] == "leaving":
        state.put_check(NODE, maintenance, "critical", name)
    else:
        state.drop_check(NODE, maintenance)


def roster_list(rows: list[dict[str, Any]]) -> dict[str, Any]:
    """Convert a response of the health endpoint to the roster's list format."""
    servers = [
        {
            "id": row["Service"]["ID"],
            "state": "leaving" if any(c["Status"] == "critical" for c in row["Checks"]) else "active",
            "started_ms": int(row["Service"]["Meta"]["started_ms"]),
        }
        for row in rows
    ]
    return {"full": True, "servers": servers}
