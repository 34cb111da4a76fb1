"""One day: sidecars, servers, discovery and clients on the virtual network, and the faults that come."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from micadeck.config import Config, ConfigError, parse
from micadeck.network import Address
from micadeck.sidecar import Sidecar
from micadeck.simulation import clients, servers
from micadeck.simulation.consul import Registry
from micadeck.simulation.loop import Exhausted, Host, VirtualLoop
from micadeck.simulation.network import VirtualNetwork
from micadeck.simulation.oracles import Oracles, Violation
from micadeck.simulation.roster import Discovery
from micadeck.simulation.scenario import QUIET_S, Fault, Kind, Scenario, orders
from micadeck.simulation.wire import Machine, Wire

_BACK_S = 2.0  # of the quiet: by then servers that returned are found, and service is back
_SERVED_LEAST = 0.85  # of what is asked from then on
_HAS_ROOM = 0.6  # a load under which that is expected
_REST_S = 3.0  # after the last answer, until everything idle is closed
_IDLE_CLOSE_US = 1_500_000
_LEFT_OVER = 3  # streams that a sidecar at rest may have: its watch, and a fetch that has just ended
_TASKS_LEFT = 3  # and tasks
_LOOK_S = 0.1
_TERM_PAUSE_S = 0.1  # between the end of a process and the next one's start
_KILLED_AFTER_S = 3.0  # SIGTERM is followed by SIGKILL

CLASSES = [
    {"name": "check", "giveUpUs": 1_000_000, "promiseUs": 300_000, "repeat": "read_like"},
    {
        "name": "amend",
        "giveUpUs": 1_200_000,
        "promiseUs": 300_000,
        "repeat": "idempotency_key",
        "group": "cell",
        "memorySpanUs": int(servers.MEMORY_S * 1e6),
    },
    {"name": "lodge", "giveUpUs": 1_600_000, "promiseUs": 400_000, "repeat": "non_idempotent"},
]


@dataclass(slots=True)
class Result:
    """How a day went."""

    scenario: Scenario
    violations: list[Violation]
    digest: str
    counts: dict[str, int]
    virtual_s: float
    steps: int
    trace: list[str] = field(default_factory=list)

    @property
    def rules(self) -> list[str]:
        """Those that broke, each once, in the order they did."""
        return list(dict.fromkeys(each.rule for each in self.violations))


class _Process:
    """A sidecar under its name, through all its processes."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"sidecar-{number}"
        self.address: Address = (f"10.0.0.{number + 1}", 9000)
        self.discovery = world.discovery
        self.starts = 0
        self.machine: Machine
        self.sidecar: Sidecar | None = None
        self._stopping: asyncio.Task[None] | None = None

    def config(self, known: dict[str, Any] | None = None, sends: int = 3) -> dict[str, Any]:
        peers = [f"10.0.0.{number + 1}:9100" for number in range(self.world.scenario.sidecars)]
        return {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": self.discovery.address,
            "seed": f"{self.world.scenario.seed * 131 + self.number * 17 + self.starts:x}",
            "known": known,
            "peer_listen": peers[self.number],
            "peers": peers,
            "limits": {"sockets": 400, "memory_mb": 32},
            "settings": {
                "lanes": CLASSES,
                "zone": "a",
                "me": self.number,
                "quantumUs": 5_000,
                "discovery": "pushed" if self.world.scenario.pushed else "on_request",
                "report": {"columns": ["util", "inflight"], "source": "piggyback"},
                "bounds": {
                    "sendCap": sends,
                    "mayCancel": True,
                    "mayTell": True,
                    "retryAfter": True,
                    "maxRetryAfterUs": 500_000,
                    "dialTimeoutUs": 200_000,
                    "idleCloseUs": _IDLE_CLOSE_US,
                },
                "guarantees": {
                    "answerSlackUs": 20_000,
                    "askWithinUs": 3_000_000,
                    "drainGraceUs": 500_000,
                    "coldFrom": servers.COLD_FROM,
                    "coldUs": int(servers.COLD_S * 1e6),
                    "fallMultiple": 3.0,
                    "fallUs": 1_000_000,
                },
            },
        }  # fmt: skip

    def start(self, known: dict[str, Any]) -> None:
        """Begin a process that knows this list."""
        world, scenario = self.world, self.world.scenario
        self.starts += 1
        host = Host(self.name, scenario.call_us)
        self.machine = world.wire.machine(host, self.address[0], scenario.descriptors)
        ahead_us = int(scenario.ahead_ms * 1e3) if self.number == 1 else 0
        network = VirtualNetwork(self.machine, ahead_us)
        world.oracles.restarted(self.name, known)
        world.oracles.note(f"{self.name} starts")
        config = self.read(self.config(known))

        async def begin() -> None:
            self.sidecar = Sidecar(config, network, self._log)
            await self.sidecar.start()

        world.loop.create_task(begin(), context=host.context.copy())

    def read(self, given: dict[str, Any]) -> Config:
        """Read a configuration; where there is Consul, its file is taken as read."""
        config = parse(given)
        if self.world.registry is None:
            return config
        return replace(config, discovery=None, consul=self.world.registry.config())

    def _log(self, text: str) -> None:
        self.world.oracles.counts["log line"] += 1
        self.world.oracles.note(f"{self.name} says {text}")

    def kill(self) -> None:
        self.world.oracles.note(f"{self.name} is killed")
        self.world.oracles.excuse(self.number)
        self.sidecar = None
        self.machine.kill()

    def term(self) -> None:
        sidecar = self.sidecar
        if sidecar is None or self._stopping is not None:
            return
        self.world.oracles.note(f"{self.name} gets SIGTERM")
        machine = self.machine

        async def stop() -> None:
            await sidecar.stop()
            self._ended(machine)

        self._stopping = self.world.loop.create_task(stop(), context=self.machine.host.context.copy())
        self.world.later(_KILLED_AFTER_S, self._ended, machine)

    def _ended(self, machine: Machine) -> None:
        if self._stopping is None or machine is not self.machine:
            return
        self._stopping = None
        self.sidecar = None
        self.world.oracles.note(f"{self.name} has ended")
        self.world.later(0.0, machine.kill)
        self.world.later(_TERM_PAUSE_S, self.start, self.world.discovery.snapshot())

    def restart(self) -> None:
        if self.sidecar is None and self._stopping is None and self.machine.host.is_dead:
            self.start(self.world.first_list)

    def reload(self, given: dict[str, Any]) -> None:
        """As the daemon does on SIGHUP."""
        sidecar = self.sidecar
        if sidecar is None:
            return

        def take() -> None:
            try:
                sidecar.reload(self.read(given))
            except ConfigError as fault:
                sidecar.count_rejected_config()
                self._log(f"not reloaded: {fault}")

        self.world.loop.soon(self.machine.host, take)

    def owes(self) -> list[str]:
        """What a sidecar still holds that it should not, at rest."""
        sidecar, found = self.sidecar, []
        if sidecar is None:
            return []
        if sidecar.open_requests:
            found.append(f"{sidecar.open_requests} open requests")
        pending = sidecar._engine._policy._concurrency.pending_attempts
        if pending:
            found.append(f"{pending} attempts in its decisions")
        if len(self.machine.streams) > _LEFT_OVER:
            found.append(f"{len(self.machine.streams)} streams")
        host = self.machine.host
        tasks = [each for each in self.world.loop.tasks if self.world.loop.host_of(each) is host]
        if len(tasks) > _TASKS_LEFT:
            found.append(f"{len(tasks)} tasks")
        return found


class World:
    """Plays a scenario."""

    def __init__(self, scenario: Scenario, keeps_trace: bool = False) -> None:
        self.scenario = scenario
        seed = scenario.seed
        self.loop = VirtualLoop(seed * 4 + 1)  # type: ignore[abstract]  # as asyncio's own
        self.drawn = random.Random(seed * 4 + 2)
        self.wire = Wire(self.loop, random.Random(seed * 4 + 3))
        self.trace: list[str] = []
        self.oracles = Oracles(self.wire, self.trace if keeps_trace else None)
        self.wire.tap = self.oracles.listen_in
        self.discovery = Discovery(self.wire, 0)
        self.registry = Registry(self.wire, seed) if scenario.consul else None
        memories: list[dict[str, float]] = [{} for _ in range(scenario.cells)]
        work_s = scenario.work_ms / 1e3
        self.servers = [
            servers.Server(
                self.wire, number, number % scenario.cells, scenario.cores, work_s,
                memories[number % scenario.cells], self.oracles, random.Random(seed * 64 + number),
            )
            for number in range(scenario.servers)
        ]  # fmt: skip
        self.oracles.servers = {each.host_name: each for each in self.servers}
        self.first_list: dict[str, Any] = {}
        self.sidecars = [_Process(self, number) for number in range(scenario.sidecars)]
        self.clients: list[clients.Clients] = []

    def later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        self.loop.after_us(int(seconds * 1e6), callback, *args)

    def play(self) -> Result:
        """Play it to its end."""
        oracles, scenario = self.oracles, self.scenario
        try:
            self.loop.run_until_complete(self._day())
        except Exhausted as stuck:
            oracles.broke("an end", str(stuck))
        for fault in self.loop.faults:
            oracles.broke("no defect", fault)
        counts = dict(oracles.counts)
        counts["races"] = self.loop.races
        result = Result(
            scenario=scenario,
            violations=oracles.violations,
            digest=oracles.digest(),
            counts=counts,
            virtual_s=self.loop.time(),
            steps=self.loop.steps,
            trace=self.trace,
        )
        self.loop.close()
        return result

    async def _day(self) -> None:
        scenario, sleep = self.scenario, asyncio.sleep
        self.discovery.up()
        if self.registry is not None:
            self.registry.up()
        for server in self.servers:
            server.start(cold=False)
            self._list(server)
        self.first_list = self.discovery.snapshot()
        for process in self.sidecars:
            process.start(self.first_list)
            machine = self.wire.machine(Host(f"clients-{process.number}"), f"10.3.0.{process.number + 1}")
            self.clients.append(
                clients.Clients(
                    machine, process.address, scenario.connections, scenario.reconnects, self.oracles
                )
            )
        for order in orders(scenario):
            asks = self.clients[order.sidecar]
            self.loop.after_us(int(order.at_s * 1e6), asks.want, order, host=asks.machine.host)
        for fault in scenario.faults:
            self.later(fault.at_s, self._begin, fault)
        self.later(_LOOK_S, self._look)
        await sleep(scenario.quiet_from_s + _BACK_S)
        before = self.oracles.counts.copy()
        await sleep(QUIET_S - _BACK_S + max(clients.TIMES_S.values()) + clients.PATIENCE_S)
        self._is_back(before)
        for each in self.clients:
            each.close()
        await sleep(_REST_S)
        for process in self.sidecars:
            for what in process.owes():
                self.oracles.broke("no leak", f"{process.name} at rest holds {what}")

    def _look(self) -> None:
        """Count what only the decisions know."""
        for process in self.sidecars:
            if process.sidecar is not None:
                self.oracles.counts["ejected"] += process.sidecar._engine.statistics().ejected
        self.later(_LOOK_S, self._look)

    def _is_back(self, before: Any) -> None:
        counts = self.oracles.counts
        since = self.loop.time() - servers.COLD_S - QUIET_S
        cold = sum(each.started_at is not None and each.started_at > since for each in self.servers)
        if self.scenario.load > _HAS_ROOM:
            counts["overloaded at the end"] += 1
            return
        if cold * 2 > len(self.servers):
            counts["cold fleet at the end"] += 1  # it serves what budgets let it, until it is warm
            return
        told = sum(counts[key] - before[key] for key in counts if key.startswith("answer "))
        served = counts["answer 200"] - before["answer 200"]
        if told >= 20 and served < _SERVED_LEAST * told:
            self.oracles.broke(
                "service returns", f"{served} of {told} are served, {_BACK_S} s after the last fault"
            )

    def _list(self, server: servers.Server, state: str = "active") -> None:
        entry = {
            "id": server.name,
            "addr": f"{server.address[0]}:{server.address[1]}",
            "zone": "a",
            "kind": "",
            "cell": server.cell,
            "weight": 1.0,
            "state": state,
            "started_ms": 0
            if server.started_at is None
            else 1_700_000_000_000 + int(server.started_at * 1e3),
        }
        self.discovery._put_entry(server.name, entry)
        self.oracles.listed(server.name, state)
        if self.registry is not None:
            self.registry.put(entry)

    # Faults

    def _begin(self, fault: Fault) -> None:
        self.oracles.note(f"fault: {fault.kind.value}, {fault}")
        end = _FAULTS[fault.kind](self, fault)
        self.oracles.counts[f"fault {fault.kind.value}"] += 1
        if end is not None:
            self.later(fault.for_s, end)

    def _server(self, fault: Fault) -> servers.Server:
        return self.servers[fault.target % len(self.servers)]

    def _process(self, fault: Fault) -> _Process:
        return self.sidecars[fault.target % len(self.sidecars)]

    def _crash(self, fault: Fault) -> Callable[[], None] | None:
        server = self._server(fault)
        if not server.is_up:
            return None
        server.kill()
        return lambda: self._return(server)

    def _return(self, server: servers.Server, moved: bool = False) -> None:
        if not server.is_up:
            server.start(cold=True, moved=moved)
            self._list(server)

    def _move(self, fault: Fault) -> Callable[[], None] | None:
        server = self._server(fault)
        if not server.is_up:
            return None
        server.kill()
        return lambda: self._return(server, moved=True)

    def _hang(self, fault: Fault) -> Callable[[], None]:
        health = self._server(fault).health
        health.hangs += 1

        def end() -> None:
            health.hangs -= 1

        return end

    def _slow(self, fault: Fault) -> Callable[[], None]:
        return _among(self._server(fault).health.slow, fault.amount)

    def _errors(self, fault: Fault) -> Callable[[], None]:
        return _among(self._server(fault).health.errs, fault.amount)

    def _spoil(self, fault: Fault) -> Callable[[], None]:
        return _among(self._server(fault).health.spoils, fault.amount)

    def _break(self, fault: Fault) -> Callable[[], None]:
        return _among(self._server(fault).health.breaks, fault.amount)

    def _cut(self, fault: Fault) -> Callable[[], None]:
        server = self._server(fault).host_name
        sidecar = self.sidecars[fault.other % len(self.sidecars)].name
        ways = [(sidecar, server), (server, sidecar)]
        if fault.amount in (1.0, 2.0):
            ways = [ways[int(fault.amount) - 1]]
        for way in ways:
            self.wire.cut(*way)

        def end() -> None:
            for way in ways:
                self.wire.heal(*way)

        return end

    def _drain(self, fault: Fault) -> Callable[[], None] | None:
        server = self._server(fault)
        if not server.is_up:
            return None
        self._list(server, "leaving")

        def end() -> None:
            if server.is_up:
                server.kill()
            self._return(server)

        return end

    def _late_lists(self, fault: Fault) -> Callable[[], None]:
        return self._unheard([_among(each.late_s, fault.amount) for each in self._sources()])

    def _sources(self) -> list[Discovery | Registry]:
        return [self.discovery] if self.registry is None else [self.discovery, self.registry]

    def _old_lists(self, fault: Fault) -> Callable[[], None]:
        sources = self._sources()
        for each in sources:
            each.stick()
        return self._unheard(each.move_on for each in sources)

    def _unheard(self, ends: Iterable[Callable[[], None]]) -> Callable[[], None]:
        """Nobody can be told anything until these have been called."""
        self.oracles.told_nothing(True)
        return _all([*ends, lambda: self.oracles.told_nothing(False)])

    def _down(self, fault: Fault) -> Callable[[], None]:
        sources = self._sources()
        for each in sources:
            each.go_down()
        return self._unheard(each.come_back for each in sources)

    def _silent(self, fault: Fault) -> None:
        """For one sidecar or for all; where Consul tells the servers, it is the roster of nobody."""
        towards = None if fault.amount else self._process(fault).address[0]
        self.oracles.counts["watch fell silent"] += self.discovery.mute_watches(towards)

    def _new_discovery(self, fault: Fault) -> None:
        """All sidecars are told; the old one goes on until then, and ends."""
        old = self.discovery
        new = Discovery(self.wire, self.oracles.counts["fault new discovery"] + 1)
        new.up()
        self.discovery = new
        for server in self.servers:
            if server.name in old.entries:
                new._put_entry(server.name, old.entries[server.name])
        for process in self.sidecars:
            process.discovery = new
            process.reload(process.config(self.first_list))
        self._unheard([])()  # what was told of the old one's list is told anew
        self.later(0.3, old.go_down)

    def _kill(self, fault: Fault) -> Callable[[], None] | None:
        process = self._process(fault)
        if process.sidecar is None:
            return None
        process.kill()
        return process.restart

    def _term(self, fault: Fault) -> None:
        self._process(fault).term()

    def _reload(self, fault: Fault) -> None:
        process = self._process(fault)
        process.reload(process.config(self.first_list, sends=2 + self.drawn.randrange(3)))

    def _broken_file(self, fault: Fault) -> None:
        process = self._process(fault)
        given = process.config(self.first_list)
        del given["settings"][self.drawn.choice(sorted(given["settings"]))]
        given["settings"].pop("lanes", None)
        process.reload(given)

    def _datagrams(self, fault: Fault) -> Callable[[], None]:
        ways = self.wire.ways
        ways.lost, ways.doubled, ways.late_us = 0.4, 0.3, 40_000

        def end() -> None:
            ways.lost, ways.doubled, ways.late_us = 0.0, 0.0, 0

        return end

    def _descriptors(self, fault: Fault) -> Callable[[], None]:
        machine, most = self._process(fault).machine, self.scenario.descriptors
        machine.most = int(fault.amount)

        def end() -> None:
            machine.most = most
            machine.freed()

        return end

    def _surge(self, fault: Fault) -> None:
        pass  # the orders know

    def _give_up(self, fault: Fault) -> Callable[[], None]:
        return _all(_among(each.gives_up, fault.amount) for each in self.clients)

    def _pieces(self, fault: Fault) -> Callable[[], None]:
        ways = self.wire.ways
        ways.in_pieces, ways.window = 0.7, 700

        def end() -> None:
            ways.in_pieces, ways.window = 0.0, 64 << 10

        return end


def _among(values: list[float], value: float) -> Callable[[], None]:
    """Put the value in force beside others, and say how to take it back."""
    values.append(value)
    return lambda: values.remove(value)


def _all(ends: Iterable[Callable[[], None]]) -> Callable[[], None]:
    """All of these at once."""
    kept = list(ends)

    def end() -> None:
        for each in kept:
            each()

    return end


_FAULTS: dict[Kind, Callable[[World, Fault], Callable[[], None] | None]] = {
    Kind.CRASH: World._crash,
    Kind.HANG: World._hang,
    Kind.SLOW: World._slow,
    Kind.ERRORS: World._errors,
    Kind.SPOIL: World._spoil,
    Kind.BREAK: World._break,
    Kind.CUT: World._cut,
    Kind.DRAIN: World._drain,
    Kind.MOVE: World._move,
    Kind.LATE_LISTS: World._late_lists,
    Kind.OLD_LISTS: World._old_lists,
    Kind.DOWN: World._down,
    Kind.SILENT: World._silent,
    Kind.NEW_DISCOVERY: World._new_discovery,
    Kind.KILL: World._kill,
    Kind.TERM: World._term,
    Kind.RELOAD: World._reload,
    Kind.BROKEN_FILE: World._broken_file,
    Kind.DATAGRAMS: World._datagrams,
    Kind.DESCRIPTORS: World._descriptors,
    Kind.SURGE: World._surge,
    Kind.GIVE_UP: World._give_up,
    Kind.PIECES: World._pieces,
}


def play(scenario: Scenario, keeps_trace: bool = False) -> Result:
    """Play one day."""
    return World(scenario, keeps_trace).play()
