"""Stand-in servers and a roster in a process of their own, told what to do by lines of JSON.

`python -m micadeck.stand_ins.world COUNT` prints a line with the addresses, then answers each line on its
standard input with one on its standard output, until the input ends:

    {"do": "mode", "server": "s-0", "mode": "hangs", "takes_s": 0.2}
    {"do": "list", "server": "s-0", "state": "leaving"}      or "active", or "left"
    {"do": "add", "server": "s-9"}                           a new process, cold
    {"do": "start", "server": "s-9"}                         a server that the roster does not list
    {"do": "note", ...}                                      what was done elsewhere, kept with its time
    {"do": "die", "server": "s-0"}
    {"do": "later", "s": 1.5, "what": {"do": ...}}
    {"do": "heard"}                                          all that came, in the order it came

Times are seconds on the machine's monotonic clock.  With `forget` behind COUNT, nothing is kept of what came.
"""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import asdict
from typing import Any

import uvloop

from micadeck.stand_ins.discovery_server import StandInRoster
from micadeck.stand_ins.http_server import Mode, StandInServer


class World:
    """Servers and the roster that lists them."""

    def __init__(self, *, keeps: bool = True) -> None:
        self._keeps = keeps
        self.roster = StandInRoster()
        self.servers: dict[str, StandInServer] = {}
        self.told: list[dict[str, Any]] = []  # what was done, and when

    async def start(self, count: int) -> World:
        await self.roster.start()
        for number in range(count):
            await self.add(f"s-{number}", is_new=False)
        return self

    async def add(self, name: str, *, is_new: bool) -> StandInServer:
        server = await self.start_server(name)
        self.roster.put(name, server.address, is_new=is_new)
        return server

    async def start_server(self, name: str) -> StandInServer:
        server = self.servers[name] = await StandInServer(name).start()
        server.keeps = self._keeps
        return server

    def addresses(self) -> dict[str, Any]:
        return {
            "roster": self.roster.address,
            "servers": {name: each.address for name, each in self.servers.items()},
            "known": self.roster.whole(),
        }

    async def do(self, what: dict[str, Any]) -> Any:
        """Carry out one line; raise KeyError or ValueError on nonsense."""
        name = what.get("server", "")
        self.told.append({**what, "at": asyncio.get_running_loop().time()})
        match what["do"]:
            case "mode":
                self.servers[name].mode = Mode(what["mode"])
                self.servers[name].takes_s = float(what.get("takes_s", 0.0))
            case "list" if what["state"] == "left":
                self.roster.remove(name)
            case "list":
                self.roster.put(name, self.servers[name].address, what["state"])
            case "add":
                await self.add(name, is_new=True)
            case "start":
                return {"address": (await self.start_server(name)).address}
            case "note":
                pass
            case "die":
                self.servers[name].die()
            case "later":
                asyncio.get_running_loop().call_later(float(what["s"]), self._do_soon, what["what"])
            case "heard":
                return {
                    "heard": sorted(
                        (asdict(heard) for each in self.servers.values() for heard in each.heard),
                        key=lambda heard: heard["at"],
                    ),
                    "abandoned": {name: each.abandoned for name, each in self.servers.items()},
                    "connections": {name: each.connections for name, each in self.servers.items()},
                    "told": self.told,
                }
            case _:
                raise ValueError(f"nobody knows how to {what['do']}")
        return {"at": self.told[-1]["at"]}

    def _do_soon(self, what: dict[str, Any]) -> None:
        self._task = asyncio.get_running_loop().create_task(self.do(what))


async def _serve(count: int, *, keeps: bool) -> None:
    world = await World(keeps=keeps).start(count)
    print(json.dumps(world.addresses()), flush=True)
    reader = asyncio.StreamReader(limit=1 << 20)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await world.do(json.loads(line))), flush=True)


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(int(sys.argv[1]), keeps=sys.argv[2:] != ["forget"]))
