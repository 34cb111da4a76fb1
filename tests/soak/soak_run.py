"""Plays soak runs: real processes on loopback, faults that overlap, the rules as the oracle.

`python tests/soak/soak_run.py --seeds 1:51` plays fifty, one line each, and prints the faults in order and
the story of the first broken rule for each run that broke one; it exits with 1 then.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from soak_oracle import Oracle, ProcessRecord, Verdict, kill_after_s, memory_limit_mb
from soak_plan import (
    DEADLINES_S,
    DEDUPLICATION_WINDOW_S,
    HOST,
    IDEMPOTENCY,
    Event,
    Fault,
    Kind,
    Plan,
    draw_plan,
)
from soak_server import STALL_THRESHOLD_S, Log

from micadeck.stand_ins.discovery_server import StandInRoster
from micadeck.stand_ins.hostile.daemon_under_load import anonymous_mb

ROOT = Path(__file__).parent.parent.parent
HERE = Path(__file__).parent
READY_WITHIN_S = 10.0
SIGNAL_SPACING_S = 0.02
MAX_PAUSE_S = 0.15
MEMORY_SAMPLE_S = 0.1
# As the deploy file starts the program: signals are blocked until its handlers are set.
AS_DEPLOYED = "trap '' HUP; exec env --block-signal=HUP --block-signal=INT --block-signal=TERM \"$@\""
SOCKETS = 256


def settings() -> dict[str, Any]:
    classes = []
    for kind in Kind:
        given: dict[str, Any] = {
            "name": str(kind),
            "giveUpUs": int(DEADLINES_S[kind] * 1e6),
            "promiseUs": int(DEADLINES_S[kind] * 0.4e6),
            "repeat": IDEMPOTENCY[kind],
        }
        if kind is Kind.KEYED:
            given |= {"group": "all", "memorySpanUs": int(DEDUPLICATION_WINDOW_S * 1e6)}
        classes.append(given)
    return {
        "lanes": classes,
        "zone": "a",
        "discovery": "on_request",
        "guarantees": {"drainGraceUs": 500_000, "coldFrom": 0.3, "coldUs": 2_000_000, "fallMultiple": 3.0},
        "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 200_000},
    }


def replace_text(path: Path, text: str) -> None:
    """Replace a file in one step: a concurrent reader gets the old or the new text, whole."""
    new = path.with_suffix(".new")
    new.write_text(text)
    new.replace(path)


def free_port() -> int:
    with socket.socket() as found:
        found.bind((HOST, 0))
        return int(found.getsockname()[1])


@dataclass(slots=True)
class Sidecar:
    """One sidecar and its current process."""

    number: int
    port: int
    process: asyncio.subprocess.Process | None = None
    record: ProcessRecord | None = None


class Run:
    """One soak run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.process_records: list[ProcessRecord] = []
        self.drains: list[tuple[int, float, float]] = []
        self.start = 0.0
        self._rng = random.Random(f"run {plan.seed}")
        self._rosters = [StandInRoster(), StandInRoster()]
        self._sidecars = [Sidecar(number, free_port()) for number in range(plan.sidecars)]
        self._addresses: list[str] = []
        self._accept_errors = max((each.figure for each in plan.of(Fault.ACCEPT_ERRORS)), default=0.0)
        self._is_over = False
        self._log = Log(folder / "servers-driver.json")

    async def play(self) -> Verdict:
        self.plan.save(self.folder / "plan.json")
        (self.folder / "clock").write_text("0")
        (self.folder / "ports.json").write_text(json.dumps([each.port for each in self._sidecars]))
        lag = asyncio.create_task(self._log.watch_lag())
        memory = asyncio.create_task(self._watch_memory())
        for roster in self._rosters:
            await roster.start()
        self.start = time.monotonic() + 1.5
        servers = [
            await self._spawn("soak_server.py", number) for number in range(self.plan.server_processes)
        ]
        for process in servers:
            assert process.stdout is not None
            self._addresses += [f"{HOST}:{port}" for port in json.loads(await process.stdout.readline())]
        for number, address in enumerate(self._addresses):
            for roster in self._rosters:
                roster.put(f"s-{number}", address)
        try:
            await asyncio.gather(*(self._start_sidecar(each) for each in self._sidecars))
            self.start = max(self.start, time.monotonic())
            clients = [
                await self._spawn("soak_client.py", number) for number in range(self.plan.client_processes)
            ]
            await asyncio.gather(*(self._inject(event) for event in self.plan.events), self._stop_all())
            for process in clients:
                assert await process.wait() == 0
        finally:
            for sidecar in self._sidecars:
                if sidecar.process is not None and sidecar.process.returncode is None:
                    sidecar.process.kill()
        for process in servers:
            assert process.stdin is not None
            process.stdin.close()
            assert await process.wait() == 0
        for roster in self._rosters:
            roster.close()
        lag.cancel()
        memory.cancel()
        self._log.save()
        return Oracle(self.folder, self.plan, self.process_records, self.drains).judge()

    async def _watch_memory(self) -> None:
        while True:
            for sidecar in self._sidecars:
                record, process = sidecar.record, sidecar.process
                if record is not None and process is not None and process.returncode is None:
                    record.peak_mb = max(record.peak_mb, anonymous_mb(process.pid))
            await asyncio.sleep(MEMORY_SAMPLE_S)

    async def _spawn(self, script: str, number: int) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / script), str(self.folder), str(number), str(self.start),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, cwd=ROOT,
        )  # fmt: skip

    # Sidecars

    def _config(self, sidecar: Sidecar, roster: StandInRoster) -> str:
        return json.dumps(
            {
                "name": f"n{sidecar.number}",
                "listen": f"{HOST}:{sidecar.port}",
                "discovery": roster.address,
                "seed": f"{self.plan.seed * 100 + sidecar.number:x}",
                "limits": {"cores": 1.0, "memory_mb": memory_limit_mb(self.plan), "sockets": SOCKETS},
                "settings": settings(),
            }
        )

    def _config_path(self, sidecar: Sidecar) -> Path:
        return self.folder / f"n{sidecar.number}.json"

    async def _start_sidecar(self, sidecar: Sidecar) -> None:
        """Start a process and wait until it is ready."""
        path = self._config_path(sidecar)
        replace_text(path, self._config(sidecar, self._rosters[0]))
        with (self.folder / f"n{sidecar.number}.log").open("ab") as log:
            sidecar.process = await asyncio.create_subprocess_exec(
                "sh",
                "-c",
                AS_DEPLOYED,
                "sh",
                sys.executable, str(HERE / "soak_sidecar.py"), str(self.folder), str(self._accept_errors),
                f"{self.plan.seed} {sidecar.number}", str(int(bool(self.plan.of(Fault.SMALL_BUFFERS)))),
                cwd=ROOT, stderr=log,
                env={**os.environ, "BALANCER_CONFIG": str(path), "TMPDIR": str(self.folder)},
            )  # fmt: skip
        sidecar.record = ProcessRecord(sidecar.number, time.monotonic())
        self.process_records.append(sidecar.record)
        for event in self.plan.of(Fault.EARLY_SIGNALS):
            await asyncio.sleep(self._rng.uniform(0.0, event.figure))
            for _ in range(self._rng.randint(1, 3)):
                self._signal(sidecar, signal.SIGHUP)
                await asyncio.sleep(SIGNAL_SPACING_S)
        by = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < by and not await self._is_ready(sidecar):
            if sidecar.process.returncode is not None:
                sidecar.record.code, sidecar.record.ended_at = sidecar.process.returncode, time.monotonic()
                return
            await asyncio.sleep(0.02)

    async def _is_ready(self, sidecar: Sidecar) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            async with asyncio.timeout(1.0):
                line = await reader.readline()
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b"200" in line

    @staticmethod
    def _signal(sidecar: Sidecar, what: signal.Signals) -> None:
        if sidecar.process is not None and sidecar.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                sidecar.process.send_signal(what)

    async def _stop(self, sidecar: Sidecar, signals: int) -> None:
        """Send several SIGTERMs, and SIGKILL at the earliest allowed time."""
        process, record = sidecar.process, sidecar.record
        if process is None or record is None or process.returncode is not None:
            return
        record.term_at = time.monotonic()
        for number in range(signals):
            self._signal(
                sidecar, self._rng.choice([signal.SIGTERM, signal.SIGINT]) if number else signal.SIGTERM
            )
            await asyncio.sleep(SIGNAL_SPACING_S)
            if self._rng.random() < 0.3:
                self._signal(sidecar, signal.SIGHUP)
        try:
            async with asyncio.timeout(record.term_at + kill_after_s() - time.monotonic()):
                record.code = await process.wait()
        except TimeoutError:
            record.kill_at = time.monotonic()
            process.kill()
            process.send_signal(signal.SIGCONT)
            record.code = await process.wait()
        record.ended_at = time.monotonic()

    async def _stop_all(self) -> None:
        await self._until(self.plan.duration_s)
        self._is_over = True
        await asyncio.gather(*(self._stop(each, self._rng.randint(1, 3)) for each in self._sidecars))

    # Faults

    async def _until(self, at_s: float) -> None:
        await asyncio.sleep(max(self.start + at_s - time.monotonic(), 0.0))

    async def _inject(self, event: Event) -> None:
        await self._until(event.begins_s)
        match event.fault:
            case Fault.DRAIN:
                await self._drain(event)
            case Fault.RELOAD:
                await self._reload(self._sidecars[event.target], int(event.figure))
            case Fault.RESTART if not self._is_over:
                sidecar = self._sidecars[event.target]
                await self._stop(sidecar, int(event.figure))
                if not self._is_over:
                    await self._start_sidecar(sidecar)
            case Fault.PAUSE:
                sidecar = self._sidecars[event.target]
                began = time.monotonic()
                self._signal(sidecar, signal.SIGSTOP)
                await self._until(event.ends_s)
                self._signal(sidecar, signal.SIGCONT)
                took_s = time.monotonic() - began
                if took_s > MAX_PAUSE_S + STALL_THRESHOLD_S:
                    # Timing violations during a pause beyond the documented bound are not judged.
                    self._log.lags.append((began, took_s))
            case Fault.SILENT_DISCOVERY:
                for roster in self._rosters:
                    roster.mute_watches()
            case Fault.CLOCK_STEP:
                replace_text(self.folder / "clock", str(event.figure))
            case _:
                pass  # servers and clients inject these themselves

    async def _drain(self, event: Event) -> None:
        name, address = f"s-{event.target}", self._addresses[event.target]
        drained_at = time.monotonic()
        for roster in self._rosters:
            roster.put(name, address, "leaving")
        await self._until(event.ends_s)
        self.drains.append((event.target, drained_at, time.monotonic()))
        for roster in self._rosters:
            roster.put(name, address)

    async def _reload(self, sidecar: Sidecar, signals: int) -> None:
        path = self._config_path(sidecar)
        # Startup with a truncated file ends with code 2, by design: truncate only for running sidecars.
        restarts = any(each.target == sidecar.number for each in self.plan.of(Fault.RESTART))
        for number in range(signals):
            text = self._config(sidecar, self._rosters[number % 2])
            is_cut = not restarts and self._rng.random() < 0.2
            replace_text(path, text[: len(text) // 2] if is_cut else text)
            self._signal(sidecar, signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))
        replace_text(path, self._config(sidecar, self._rosters[signals % 2]))
        self._signal(sidecar, signal.SIGHUP)


def _names_a_failed_end(line: str) -> bool:
    """Whether a line of a sidecar's log belongs to an end that nobody asked for."""
    return "Traceback" in line or (line.startswith("ended: code") and not line.startswith("ended: code 0"))


@dataclass(slots=True)
class RunResult:
    """A completed run."""

    plan: Plan
    verdict: Verdict
    details: list[str]


def play(plan: Plan) -> RunResult:
    """Play one run in its own folder."""
    with tempfile.TemporaryDirectory(prefix=f"soak-{plan.seed}-") as name:
        folder = Path(name)
        run = Run(plan, folder)
        verdict = asyncio.run(run.play())
        oracle = Oracle(folder, plan, run.process_records, run.drains)
        details = [
            f"  {each.rule} {each.text} at {each.at - run.start:.3f}\n{oracle.history(each.ident, run.start)}"
            for each in verdict.violations[:MAX_DETAILS]
        ]
        for log in sorted(folder.glob("n*.log")):
            for line in log.read_text(errors="replace").splitlines():
                if "internal error" in line or _names_a_failed_end(line):
                    details.append(f"  {log.name}: {line}")
                if "invariant violated" in line:
                    details.append(f"  {log.name}: {line}")
                    verdict.logged_violations += 1
        return RunResult(plan, verdict, details)


MAX_DETAILS = 6


def report(result: RunResult, *, is_full: bool) -> str:
    verdict = result.verdict
    rules = Counter(each.rule for each in verdict.violations)
    faults = sorted({str(each.fault) for each in result.plan.events})
    lines = [
        f"seed {result.plan.seed}: {result.plan.sidecars} sidecars, {verdict.requests} asked, "
        f"{verdict.served} served, {verdict.refused} refused, {verdict.failed} failed, "
        f"{verdict.closed_unread} crossed, {verdict.unjudged} unjudged, {len(verdict.violations)} broken, "
        f"{verdict.peak_mb:.1f} MB at most, faults: {', '.join(faults)}"
    ]
    lines += [f"  {count} x {rule}" for rule, count in rules.most_common()]
    if verdict.violations and is_full:
        lines += [
            f"  fault: {each.fault} {each.target} {each.begins_s:.2f} to {each.ends_s:.2f} {each.figure:.3f}"
            for each in result.plan.events
            if each.fault is not Fault.PAUSE
        ]
    if verdict.violations:
        lines += result.details
    return "\n".join(lines)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1:4", help="FIRST:END")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--only", default="", help="kinds of fault, separated by commas")
    parser.add_argument("--full", action="store_true", help="print all faults of runs that broke a rule")
    given = parser.parse_args()
    first, end = (int(each) for each in given.seeds.split(":"))
    only = frozenset(Fault(each) for each in given.only.split(",")) if given.only else None
    total: Counter[str] = Counter()
    bad = 0
    for seed in range(first, end):
        result = play(draw_plan(seed, given.seconds, only))
        print(report(result, is_full=given.full), flush=True)
        total.update(each.rule for each in result.verdict.violations)
        bad += bool(result.verdict.violations)
    print(f"{end - first} runs, {bad} with a broken rule: {dict(total)}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
