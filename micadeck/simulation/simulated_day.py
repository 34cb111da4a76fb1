"""Runs a scenario: sidecars, servers, discovery and clients on the virtual network; fault injection."""

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

_RECOVERY_S = 2.0  # of the quiet period, for the fleet to find restarted servers and recover
_MIN_SERVED_SHARE = 0.85  # of the answers after that
_MAX_CHECKED_LOAD = 0.6  # of capacity; recovery is not checked above it
_SETTLE_S = 3.0  # after the last answer, for idle connections to close
_IDLE_CLOSE_US = 1_500_000
_MAX_IDLE_STREAMS = 3  # of an idle sidecar: its watch, and a fetch that has just ended
_MAX_IDLE_TASKS = 3
_SAMPLE_INTERVAL_S = 0.1
_RESTART_DELAY_S = 0.1  # from the end of a process to its restart
_KILL_TIMEOUT_S = 3.0  # from SIGTERM to SIGKILL

CLASSES = [
    {"name": "check", "giveUpUs": 1_000_000, "promiseUs": 300_000, "repeat": "read_like"},
    {
        "name": "amend",
        "giveUpUs": 1_200_000,
        "promiseUs": 300_000,
        "repeat": "idempotency_key",
        "group": "cell",
        "memorySpanUs": int(servers.DEDUPLICATION_S * 1e6),
    },
    {"name": "lodge", "giveUpUs": 1_600_000, "promiseUs": 400_000, "repeat": "non_idempotent"},
]


@dataclass(slots=True)
class Result:
    """The outcome of a run."""

    scenario: Scenario
    violations: list[Violation]
    digest: str
    counts: dict[str, int]
    virtual_s: float
    steps: int
    trace: list[str] = field(default_factory=list)

    @property
    def rules(self) -> list[str]:
        """The violated invariants, in order of first violation."""
        return list(dict.fromkeys(violation.rule for violation in self.violations))


class _SidecarProcess:
    """A sidecar, across the restarts of its process."""

    def __init__(self, day: SimulatedDay, number: int) -> None:
        self.day = day
        self.number = number
        self.name = f"sidecar-{number}"
        self.address: Address = (f"10.0.0.{number + 1}", 9000)
        self.discovery = day.discovery
        self.start_count = 0
        self.machine: Machine
        self.sidecar: Sidecar | None = None
        self._stopping: asyncio.Task[None] | None = None

    def config(self, known: dict[str, Any] | None = None, max_attempts: int = 3) -> dict[str, Any]:
        peers = [f"10.0.0.{number + 1}:9100" for number in range(self.day.scenario.sidecars)]
        return {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": self.discovery.address,
            "seed": f"{self.day.scenario.seed * 131 + self.number * 17 + self.start_count:x}",
            "known": known,
            "peer_listen": peers[self.number],
            "peers": peers,
            "limits": {"sockets": 400, "memory_mb": 32},
            "settings": {
                "lanes": CLASSES,
                "zone": "a",
                "me": self.number,
                "quantumUs": 5_000,
                "discovery": "pushed" if self.day.scenario.pushed else "on_request",
                "report": {"columns": ["util", "inflight"], "source": "piggyback"},
                "bounds": {
                    "sendCap": max_attempts,
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
                    "coldFrom": servers.COLD_SHARE,
                    "coldUs": int(servers.SLOW_START_S * 1e6),
                    "fallMultiple": 3.0,
                    "fallUs": 1_000_000,
                },
            },
        }  # fmt: skip

    def start(self, known: dict[str, Any]) -> None:
        """Start a process with this list."""
        day, scenario = self.day, self.day.scenario
        self.start_count += 1
        host = Host(self.name, scenario.call_us)
        self.machine = day.wire.machine(host, self.address[0], scenario.descriptors)
        ahead_us = int(scenario.ahead_ms * 1e3) if self.number == 1 else 0
        network = VirtualNetwork(self.machine, ahead_us)
        day.oracles.on_sidecar_started(self.name, known)
        day.oracles.trace_event(f"{self.name} starts")
        config = self.read(self.config(known))

        async def begin() -> None:
            self.sidecar = Sidecar(config, network, self._log)
            await self.sidecar.start()

        day.loop.create_task(begin(), context=host.context.copy())

    def read(self, given: dict[str, Any]) -> Config:
        """Parse a configuration, with Consul in place of discovery if the scenario says so."""
        config = parse(given)
        if self.day.registry is None:
            return config
        return replace(config, discovery=None, consul=self.day.registry.config())

    def _log(self, text: str) -> None:
        self.day.oracles.counts["log line"] += 1
        self.day.oracles.trace_event(f"{self.name} says {text}")

    def kill(self) -> None:
        self.day.oracles.trace_event(f"{self.name} is killed")
        self.day.oracles.on_sidecar_killed(self.number)
        self.sidecar = None
        self.machine.kill()

    def term(self) -> None:
        sidecar = self.sidecar
        if sidecar is None or self._stopping is not None:
            return
        self.day.oracles.trace_event(f"{self.name} gets SIGTERM")
        machine = self.machine

        async def stop() -> None:
            await sidecar.stop()
            self._restart_after_term(machine)

        self._stopping = self.day.loop.create_task(stop(), context=self.machine.host.context.copy())
        self.day.call_later(_KILL_TIMEOUT_S, self._restart_after_term, machine)

    def _restart_after_term(self, machine: Machine) -> None:
        if self._stopping is None or machine is not self.machine:
            return
        self._stopping = None
        self.sidecar = None
        self.day.oracles.trace_event(f"{self.name} has ended")
        self.day.call_later(0.0, machine.kill)
        self.day.call_later(_RESTART_DELAY_S, self.start, self.day.discovery.snapshot())

    def restart(self) -> None:
        if self.sidecar is None and self._stopping is None and self.machine.host.is_dead:
            self.start(self.day.initial_list)

    def reload(self, given: dict[str, Any]) -> None:
        """Reload as the daemon does on SIGHUP."""
        sidecar = self.sidecar
        if sidecar is None:
            return

        def apply() -> None:
            try:
                sidecar.reload(self.read(given))
            except ConfigError as error:
                sidecar.count_rejected_config()
                self._log(f"not reloaded: {error}")

        self.day.loop.call_soon_on(self.machine.host, apply)

    def leaks(self) -> list[str]:
        """What an idle sidecar should have released."""
        sidecar, found = self.sidecar, []
        if sidecar is None:
            return []
        if sidecar.open_requests:
            found.append(f"{sidecar.open_requests} open requests")
        pending = sidecar._engine._policy._concurrency.pending_attempts
        if pending:
            found.append(f"{pending} attempts in its decisions")
        if len(self.machine.streams) > _MAX_IDLE_STREAMS:
            found.append(f"{len(self.machine.streams)} streams")
        host = self.machine.host
        tasks = [task for task in self.day.loop.tasks if self.day.loop.host_of(task) is host]
        if len(tasks) > _MAX_IDLE_TASKS:
            found.append(f"{len(tasks)} tasks")
        return found


class SimulatedDay:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, keeps_trace: bool = False) -> None:
        self.scenario = scenario
        seed = scenario.seed
        self.loop = VirtualLoop(seed * 4 + 1)  # type: ignore[abstract]  # like asyncio's own loops
        self.rng = random.Random(seed * 4 + 2)
        self.wire = Wire(self.loop, random.Random(seed * 4 + 3))
        self.trace: list[str] = []
        self.oracles = Oracles(self.wire, self.trace if keeps_trace else None)
        self.wire.tap = self.oracles.observe
        self.discovery = Discovery(self.wire, 0)
        self.registry = Registry(self.wire, seed) if scenario.consul else None
        key_expiries: list[dict[str, float]] = [{} for _ in range(scenario.cells)]
        work_s = scenario.work_ms / 1e3
        self.servers = [
            servers.Server(
                self.wire, number, number % scenario.cells, scenario.cores, work_s,
                key_expiries[number % scenario.cells], self.oracles, random.Random(seed * 64 + number),
            )
            for number in range(scenario.servers)
        ]  # fmt: skip
        self.oracles.servers = {server.host_name: server for server in self.servers}
        self.initial_list: dict[str, Any] = {}
        self.sidecars = [_SidecarProcess(self, number) for number in range(scenario.sidecars)]
        self.clients: list[clients.Clients] = []

    def call_later(self, seconds: float, callback: Callable[..., Any], *args: Any) -> None:
        self.loop.call_after_us(int(seconds * 1e6), callback, *args)

    def play(self) -> Result:
        """Run to the end."""
        oracles, scenario = self.oracles, self.scenario
        try:
            self.loop.run_until_complete(self._run_day())
        except Exhausted as exhausted:
            oracles.add_violation("an end", str(exhausted))
        for error in self.loop.unhandled_errors:
            oracles.add_violation("no defect", error)
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

    async def _run_day(self) -> None:
        scenario, sleep = self.scenario, asyncio.sleep
        self.discovery.start_listening()
        if self.registry is not None:
            self.registry.start_listening()
        for server in self.servers:
            server.start(cold=False)
            self._publish(server)
        self.initial_list = self.discovery.snapshot()
        for process in self.sidecars:
            process.start(self.initial_list)
            machine = self.wire.machine(Host(f"clients-{process.number}"), f"10.3.0.{process.number + 1}")
            self.clients.append(
                clients.Clients(
                    machine, process.address, scenario.connections, scenario.reconnects, self.oracles
                )
            )
        for order in orders(scenario):
            senders = self.clients[order.sidecar]
            self.loop.call_after_us(int(order.at_s * 1e6), senders.submit, order, host=senders.machine.host)
        for fault in scenario.faults:
            self.call_later(fault.at_s, self._inject, fault)
        self.call_later(_SAMPLE_INTERVAL_S, self._sample)
        await sleep(scenario.quiet_from_s + _RECOVERY_S)
        before = self.oracles.counts.copy()
        await sleep(QUIET_S - _RECOVERY_S + max(clients.TIMEOUTS_S.values()) + clients.DISCONNECT_DELAY_S)
        self._check_recovery(before)
        for senders in self.clients:
            senders.close()
        await sleep(_SETTLE_S)
        for process in self.sidecars:
            for leak in process.leaks():
                self.oracles.add_violation("no leak", f"{process.name} at rest holds {leak}")

    def _sample(self) -> None:
        """Sample the count of ejections."""
        for process in self.sidecars:
            if process.sidecar is not None:
                self.oracles.counts["ejected"] += process.sidecar._engine.statistics().ejected
        self.call_later(_SAMPLE_INTERVAL_S, self._sample)

    def _check_recovery(self, before: Any) -> None:
        counts = self.oracles.counts
        since = self.loop.time() - servers.SLOW_START_S - QUIET_S
        cold = sum(one.started_at is not None and one.started_at > since for one in self.servers)
        if self.scenario.load > _MAX_CHECKED_LOAD:
            counts["overloaded at the end"] += 1
            return
        if cold * 2 > len(self.servers):
            counts["cold fleet at the end"] += 1  # slow start limits what it serves until it is warm
            return
        answered = sum(counts[key] - before[key] for key in counts if key.startswith("answer "))
        served = counts["answer 200"] - before["answer 200"]
        if answered >= 20 and served < _MIN_SERVED_SHARE * answered:
            self.oracles.add_violation(
                "service returns", f"{served} of {answered} are served, {_RECOVERY_S} s after the last fault"
            )

    def _publish(self, server: servers.Server, state: str = "active") -> None:
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
        self.oracles.on_listed(server.name, state)
        if self.registry is not None:
            self.registry.put(entry)

    # Faults

    def _inject(self, fault: Fault) -> None:
        self.oracles.trace_event(f"fault: {fault.kind.value}, {fault}")
        end = _FAULTS[fault.kind](self, fault)
        self.oracles.counts[f"fault {fault.kind.value}"] += 1
        if end is not None:
            self.call_later(fault.for_s, end)

    def _target_server(self, fault: Fault) -> servers.Server:
        return self.servers[fault.target % len(self.servers)]

    def _target_sidecar(self, fault: Fault) -> _SidecarProcess:
        return self.sidecars[fault.target % len(self.sidecars)]

    def _crash(self, fault: Fault) -> Callable[[], None] | None:
        server = self._target_server(fault)
        if not server.is_up:
            return None
        server.kill()
        return lambda: self._restart(server)

    def _restart(self, server: servers.Server, moved: bool = False) -> None:
        if not server.is_up:
            server.start(cold=True, moved=moved)
            self._publish(server)

    def _move(self, fault: Fault) -> Callable[[], None] | None:
        server = self._target_server(fault)
        if not server.is_up:
            return None
        server.kill()
        return lambda: self._restart(server, moved=True)

    def _hang(self, fault: Fault) -> Callable[[], None]:
        health = self._target_server(fault).health
        health.hang_count += 1

        def end() -> None:
            health.hang_count -= 1

        return end

    def _slow(self, fault: Fault) -> Callable[[], None]:
        return _apply(self._target_server(fault).health.slowdown_factors, fault.amount)

    def _errors(self, fault: Fault) -> Callable[[], None]:
        return _apply(self._target_server(fault).health.error_rates, fault.amount)

    def _spoil(self, fault: Fault) -> Callable[[], None]:
        return _apply(self._target_server(fault).health.malformed_rates, fault.amount)

    def _break(self, fault: Fault) -> Callable[[], None]:
        return _apply(self._target_server(fault).health.reset_rates, fault.amount)

    def _cut(self, fault: Fault) -> Callable[[], None]:
        server = self._target_server(fault).host_name
        sidecar = self.sidecars[fault.other % len(self.sidecars)].name
        links = [(sidecar, server), (server, sidecar)]
        if fault.amount in (1.0, 2.0):
            links = [links[int(fault.amount) - 1]]
        for link in links:
            self.wire.cut(*link)

        def end() -> None:
            for link in links:
                self.wire.heal(*link)

        return end

    def _drain(self, fault: Fault) -> Callable[[], None] | None:
        server = self._target_server(fault)
        if not server.is_up:
            return None
        self._publish(server, "leaving")

        def end() -> None:
            if server.is_up:
                server.kill()
            self._restart(server)

        return end

    def _late_lists(self, fault: Fault) -> Callable[[], None]:
        return self._discovery_fault([_apply(source.delays_s, fault.amount) for source in self._sources()])

    def _sources(self) -> list[Discovery | Registry]:
        return [self.discovery] if self.registry is None else [self.discovery, self.registry]

    def _old_lists(self, fault: Fault) -> Callable[[], None]:
        sources = self._sources()
        for source in sources:
            source.freeze()
        return self._discovery_fault(source.unfreeze for source in sources)

    def _discovery_fault(self, ends: Iterable[Callable[[], None]]) -> Callable[[], None]:
        """Note a fault of discovery that ends when the result is called."""
        self.oracles.on_discovery_fault(True)
        return _combine([*ends, lambda: self.oracles.on_discovery_fault(False)])

    def _down(self, fault: Fault) -> Callable[[], None]:
        sources = self._sources()
        for source in sources:
            source.go_down()
        return self._discovery_fault(source.recover for source in sources)

    def _silent(self, fault: Fault) -> None:
        """Silence roster watches of one or all sidecars; with Consul there are none."""
        towards = None if fault.amount else self._target_sidecar(fault).address[0]
        self.oracles.counts["watch fell silent"] += self.discovery.mute_watches(towards)

    def _new_discovery(self, fault: Fault) -> None:
        """Reload all sidecars with a new address, then stop the old one."""
        old = self.discovery
        new = Discovery(self.wire, self.oracles.counts["fault new discovery"] + 1)
        new.start_listening()
        self.discovery = new
        for server in self.servers:
            if server.name in old.entries:
                new._put_entry(server.name, old.entries[server.name])
        for process in self.sidecars:
            process.discovery = new
            process.reload(process.config(self.initial_list))
        self._discovery_fault([])()  # restarts the time limit for list changes
        self.call_later(0.3, old.go_down)

    def _kill(self, fault: Fault) -> Callable[[], None] | None:
        process = self._target_sidecar(fault)
        if process.sidecar is None:
            return None
        process.kill()
        return process.restart

    def _term(self, fault: Fault) -> None:
        self._target_sidecar(fault).term()

    def _reload(self, fault: Fault) -> None:
        process = self._target_sidecar(fault)
        process.reload(process.config(self.initial_list, max_attempts=2 + self.rng.randrange(3)))

    def _broken_file(self, fault: Fault) -> None:
        process = self._target_sidecar(fault)
        given = process.config(self.initial_list)
        del given["settings"][self.rng.choice(sorted(given["settings"]))]
        given["settings"].pop("lanes", None)
        process.reload(given)

    def _datagrams(self, fault: Fault) -> Callable[[], None]:
        conditions = self.wire.conditions
        conditions.loss_rate, conditions.duplicate_rate, conditions.extra_delay_us = 0.4, 0.3, 40_000

        def end() -> None:
            conditions.loss_rate, conditions.duplicate_rate, conditions.extra_delay_us = 0.0, 0.0, 0

        return end

    def _descriptors(self, fault: Fault) -> Callable[[], None]:
        machine, limit = self._target_sidecar(fault).machine, self.scenario.descriptors
        machine.max_descriptors = int(fault.amount)

        def end() -> None:
            machine.max_descriptors = limit
            machine.descriptor_freed()

        return end

    def _surge(self, fault: Fault) -> None:
        pass  # `orders` reads the surges from the scenario

    def _give_up(self, fault: Fault) -> Callable[[], None]:
        return _combine(_apply(one.early_disconnect_rates, fault.amount) for one in self.clients)

    def _pieces(self, fault: Fault) -> Callable[[], None]:
        conditions = self.wire.conditions
        conditions.split_rate, conditions.window_bytes = 0.7, 700

        def end() -> None:
            conditions.split_rate, conditions.window_bytes = 0.0, 64 << 10

        return end


def _apply(values: list[float], value: float) -> Callable[[], None]:
    """Add a value in force; the result removes it."""
    values.append(value)
    return lambda: values.remove(value)


def _combine(ends: Iterable[Callable[[], None]]) -> Callable[[], None]:
    """Combine functions into one."""
    kept = list(ends)

    def end() -> None:
        for stop in kept:
            stop()

    return end


_FAULTS: dict[Kind, Callable[[SimulatedDay, Fault], Callable[[], None] | None]] = {
    Kind.CRASH: SimulatedDay._crash,
    Kind.HANG: SimulatedDay._hang,
    Kind.SLOW: SimulatedDay._slow,
    Kind.ERRORS: SimulatedDay._errors,
    Kind.SPOIL: SimulatedDay._spoil,
    Kind.BREAK: SimulatedDay._break,
    Kind.CUT: SimulatedDay._cut,
    Kind.DRAIN: SimulatedDay._drain,
    Kind.MOVE: SimulatedDay._move,
    Kind.LATE_LISTS: SimulatedDay._late_lists,
    Kind.OLD_LISTS: SimulatedDay._old_lists,
    Kind.DOWN: SimulatedDay._down,
    Kind.SILENT: SimulatedDay._silent,
    Kind.NEW_DISCOVERY: SimulatedDay._new_discovery,
    Kind.KILL: SimulatedDay._kill,
    Kind.TERM: SimulatedDay._term,
    Kind.RELOAD: SimulatedDay._reload,
    Kind.BROKEN_FILE: SimulatedDay._broken_file,
    Kind.DATAGRAMS: SimulatedDay._datagrams,
    Kind.DESCRIPTORS: SimulatedDay._descriptors,
    Kind.SURGE: SimulatedDay._surge,
    Kind.GIVE_UP: SimulatedDay._give_up,
    Kind.PIECES: SimulatedDay._pieces,
}


def play(scenario: Scenario, keeps_trace: bool = False) -> Result:
    """Run a scenario."""
    return SimulatedDay(scenario, keeps_trace).play()
