"""New configurations follow one another within 1.2 s; a class's new rules do not bind in time."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from harness_2 import (
    HAS_TROUBLE,
    Message,
    Record,
    Roster,
    Server,
    Sidecar,
    ask,
    now,
    request_head,
    response,
    run_case,
    service_class,
    settings,
)

SERVERS, CELLS = 8, 2
INTERVAL_S = 0.04  # between requests
WARM_UP_S = 2.0  # before the first SIGHUP: the pages allow none in the first second
BINDS_AFTER_S = 1.2  # the pages: from a SIGHUP until clients follow the new classes
FURTHER = 3  # configurations after the first one
SPACING_S = 1.0  # between configurations
MEMORY_S = 2.0  # for how long servers drop repeats
RESET_EVERY = 4  # of the requests, one in so many runs and has its connection reset


def amend(group: str) -> dict[str, object]:
    """Return the class whose effect the first new configuration changes."""
    return service_class("amend", "idempotency_key", 2.0, group=group, memorySpanUs=int(MEMORY_S * 1e6))


CHECK = service_class("check", "read_like", 3.0)
QUOTE = service_class("quote", "read_like", 3.0)
BEFORE = settings([CHECK, amend("all")])
FIRST = settings([CHECK, amend("cell")])
LATER = [
    settings([CHECK, amend("cell"), QUOTE]),  # a class is added
    settings([amend("cell"), QUOTE]),  # another is dropped
    settings([amend("cell"), QUOTE], sendCap=2),  # the number of attempts changes
]


class Fleet:
    """Servers in cells; until the new rules bind all share the keys they have seen, then each cell."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.binds_at = float("inf")
        self.ran: dict[str, list[tuple[float, int]]] = {}  # time and cell of each run, by key
        self._requests = 0

    async def start(self, roster: Roster) -> None:
        """Start the servers, and list them."""
        for number in range(SERVERS):
            name, cell = f"s{number}", 1 + number % CELLS

            async def answer(
                message: Message, writer: asyncio.StreamWriter, name: str = name, cell: int = cell
            ) -> None:
                self._answer(f"{name} (cell {cell})", cell, message, writer)

            roster.put(name, (await Server(name, answer).start()).address, cell=cell)

    def _answer(self, name: str, cell: int, message: Message, writer: asyncio.StreamWriter) -> None:
        key = message.headers["idempotency-key"]
        runs = self.ran.setdefault(key, [])
        if any(self._is_remembered(run, cell) for run in runs):
            self.record(f"{name} drops a repeat of {key}")
        else:
            runs.append((now(), cell))
            self.record(f"{name} runs {key}")
            self._requests += len(runs) == 1
            if len(runs) == 1 and self._requests % RESET_EVERY == 0:
                self.record(f"the connection of {key} is reset")
                writer.transport.abort()
                return
        writer.write(response(key.encode()))

    def _is_remembered(self, run: tuple[float, int], cell: int) -> bool:
        at, ran_in = run
        return now() - at < MEMORY_S and (at < self.binds_at or ran_in == cell)


async def reload(sidecar: Sidecar, new: dict[str, object], record: Record) -> None:
    """Replace the file of the configuration and send SIGHUP."""
    sidecar.config["settings"] = new
    sidecar.write_config()
    sidecar.signal(signal.SIGHUP)
    record("SIGHUP: a new configuration")


async def change(sidecar: Sidecar, fleet: Fleet, record: Record) -> None:
    """Bring the new rule of the class, and with trouble further configurations that keep it."""
    await asyncio.sleep(WARM_UP_S)
    await reload(sidecar, FIRST, record)
    fleet.binds_at = now() + BINDS_AFTER_S
    for later in LATER[:FURTHER] if HAS_TROUBLE else []:
        await asyncio.sleep(SPACING_S)
        await reload(sidecar, later, record)


async def case(record: Record, folder: Path) -> bool:
    """Send keyed requests; none that is sent after the new rules bind may run in two cells."""
    roster, fleet = await Roster().start(), Fleet(record)
    await fleet.start(roster)
    config = {"discovery": roster.address, "settings": BEFORE, "known": roster.snapshot()}
    sidecar = await Sidecar(folder, config).start()
    sent: dict[str, float] = {}

    async def send(ident: str) -> None:
        sent[ident] = now()
        more = f"Idempotency-Key: {ident}\r\nContent-Length: 0\r\n"
        reply = await ask(sidecar.port, request_head(ident, "amend", "POST", 2.0, more), 3.0)
        record(f"client: {ident}, sent at {sent[ident]:.3f}: {reply}")

    try:
        changes = asyncio.create_task(change(sidecar, fleet, record))
        begin, tasks = now(), []
        while now() < begin + WARM_UP_S + (1 + FURTHER) * SPACING_S + BINDS_AFTER_S:
            tasks.append(asyncio.create_task(send(f"a{len(tasks):05x}")))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(changes, *tasks)
    finally:
        await sidecar.stop()
        record(f"log: {sidecar.log()}")
    twice = [key for key, runs in fleet.ran.items() if len(runs) > 1 and sent[key] >= fleet.binds_at]
    for key in twice:
        late_s = sent[key] - fleet.binds_at
        record(f"RAN TWICE: {key}, sent {late_s:.3f} s after the new rule binds, in cells {fleet.ran[key]}")
    return not twice


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
