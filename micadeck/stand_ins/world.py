"""Stand-in servers and a roster in a process of their own, controlled by lines of JSON.

`python -m micadeck.stand_ins.world COUNT` prints a line with the addresses, then answers each line on
standard input with one on standard output, until the input ends:

    {"do": "mode", "server": "s-0", "mode": "hangs", "takes_s": 0.2}
    {"do": "list", "server": "s-0", "state": "leaving"}      or "active", or "left"
    {"do": "add", "server": "s-9"}                           a new process, in slow start
    {"do": "start", "server": "s-9"}                         a new process, not listed
    {"do": "note", ...}                                      only recorded, with its time
    {"do": "die", "server": "s-0"}
    {"do": "later", "s": 1.5, "what": {"do": ...}}
    {"do": "heard"}                                          all requests, in order of arrival

Times are seconds on the machine's monotonic clock.  With `forget` after COUNT, requests are not recorded.
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
    """Servers and their roster."""

    def __init__(self, *, record_requests: bool = True) -> None:
        self._record_requests = record_requests
        self.roster = StandInRoster()
        self.servers: dict[str, StandInServer] = {}
        self.commands: list[dict[str, Any]] = []  # with their times

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
        server.records_requests = self._record_requests
        return server

    def addresses(self) -> dict[str, Any]:
        return {
            "roster": self.roster.address,
            "servers": {name: server.address for name, server in self.servers.items()},
            "known": self.roster.snapshot(),
        }

    async def execute(self, command: dict[str, Any]) -> Any:
        """Execute a command; raise KeyError or ValueError if it is invalid."""
        name = command.get("server", "")
        self.commands.append({**command, "at": asyncio.get_running_loop().time()})
        match command["do"]:
            case "mode":
                self.servers[name].mode = Mode(command["mode"])
                self.servers[name].takes_s = float(command.get("takes_s", 0.0))
            case "list" if command["state"] == "left":
                self.roster.remove(name)
            case "list":
                self.roster.put(name, self.servers[name].address, command["state"])
            case "add":
                await self.add(name, is_new=True)
            case "start":
                return {"address": (await self.start_server(name)).address}
            case "note":
                pass
            case "die":
                self.servers[name].die()
            case "later":
                asyncio.get_running_loop().call_later(float(command["s"]), self._start_task, command["what"])
            case "heard":
                return {
                    "heard": sorted(
                        (asdict(request) for server in self.servers.values() for request in server.received),
                        key=lambda request: request["at"],
                    ),
                    "abandoned": {name: server.abandoned for name, server in self.servers.items()},
                    "connections": {name: server.connections for name, server in self.servers.items()},
                    "told": self.commands,
                }
            case _:
                raise ValueError(f"unknown command: {command['do']}")
        return {"at": self.commands[-1]["at"]}

    def _start_task(self, command: dict[str, Any]) -> None:
        self._task = asyncio.get_running_loop().create_task(self.execute(command))


async def _serve(count: int, *, record_requests: bool) -> None:
    world = await World(record_requests=record_requests).start(count)
    print(json.dumps(world.addresses()), flush=True)
    reader = asyncio.StreamReader(limit=1 << 20)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        print(json.dumps(await world.execute(json.loads(line))), flush=True)


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(int(sys.argv[1]), record_requests=sys.argv[2:] != ["forget"]))
