"""A MySQL client sends one statement of 12 MiB; the sidecar stands still and takes over a gigabyte for it."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

import mysql_stage
from harness_2 import (
    HAS_TROUBLE,
    HOST,
    ROOT,
    Message,
    Record,
    Roster,
    Server,
    Sidecar,
    ask,
    free_port,
    now,
    request_head,
    response,
    run_case,
    service_class,
    settings,
)

LITERAL_BYTES = 12 << 20 if HAS_TROUBLE else 12 << 10  # the pages: bodies of up to 32 MB
MEMORY_MB = 192  # the most that the pages give a sidecar on the days that are scored
TIMEOUT_S = 1.02  # of HTTP clients; the pages: 34% to 100% of the class's 3 s
LOST_AFTER_S = 0.5  # the pages: an answer that comes this long after its time is lost
INTERVAL_S = 0.05  # between HTTP requests
BEFORE_S, AFTER_S = 2.0, 4.0  # of HTTP load before and after the statement
STATEMENT_WITHIN_S = 30.0
SAMPLE_S = 0.05


class ThreadSafeRecord:
    """Passes what the MySQL stand-in notes on to the event loop's thread."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._loop = asyncio.get_running_loop()

    def add(self, text: str) -> None:
        """Write one line, cut to a readable length."""
        self._loop.call_soon_threadsafe(self._record, f"{text[:60]}... ({len(text)} characters)")


class Platform:
    """Watches the sidecar's memory, and asks over HTTP meanwhile."""

    def __init__(self, sidecar: Sidecar, record: Record) -> None:
        self.sidecar = sidecar
        self.record = record
        self.peak_mb = 0
        self.lost = 0

    def memory_mb(self) -> int:
        """Return the anonymous memory of the process: what a memory limit counts."""
        assert self.sidecar.process is not None
        status = Path(f"/proc/{self.sidecar.process.pid}/status").read_text()
        return next(
            int(line.split()[1]) // 1024 for line in status.splitlines() if line.startswith("RssAnon")
        )

    async def watch(self) -> None:
        """Sample the memory until cancelled."""
        while self.sidecar.is_running:
            memory_mb = self.memory_mb()
            if memory_mb > max(self.peak_mb, MEMORY_MB):
                self.record(f"the sidecar has {memory_mb} MB; its limit is {MEMORY_MB} MB")
            self.peak_mb = max(self.peak_mb, memory_mb)
            await asyncio.sleep(SAMPLE_S)

    async def load(self) -> None:
        """Ask on connections of their own until cancelled."""
        number = 0
        async with asyncio.TaskGroup() as group:
            while True:
                number += 1
                group.create_task(self._ask(f"r{number}"))
                await asyncio.sleep(INTERVAL_S)

    async def _ask(self, ident: str) -> None:
        begin = now()
        reply = await ask(
            self.sidecar.port, request_head(ident, "check", "GET", TIMEOUT_S), TIMEOUT_S + LOST_AFTER_S
        )
        if not reply.is_whole:
            self.lost += 1
            self.record(f"client: {ident}: LOST: no answer {now() - begin:.2f} s after it was sent")


async def insert(port: int, record: Record) -> None:
    """Send the statement; any answer will do."""
    client = await asyncio.to_thread(mysql_stage.MysqlClient, port, STATEMENT_WITHIN_S)
    text = f"INSERT INTO documents VALUES ('{'x' * LITERAL_BYTES}')"
    record(f"MySQL client: an INSERT of {len(text)} bytes")
    try:
        record(f"MySQL client: {await asyncio.to_thread(client.query, text)}")
    except OSError as error:
        record(f"MySQL client: {error!r}")
    finally:
        client.close()


async def start(record: Record, folder: Path) -> tuple[Sidecar, int]:
    """Start servers, lists and the sidecar; return it and its MySQL port."""

    async def answer(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(response(message.headers["request-id"].encode()))

    notes = ThreadSafeRecord(record)
    roster, mysql_roster = await Roster().start(), await Roster().start()
    for name in ("s0", "s1"):
        roster.put(name, (await Server(name, answer).start()).address)
    server = mysql_stage.MysqlServer("m0", lambda _, text: notes.add(f"m0 runs {text}"), notes)
    mysql_roster.put("m0", server.address)
    port, password = free_port(), folder / "password"
    password.write_text(mysql_stage.SERVER_PASSWORD)
    file = folder / "mysql.toml"
    file.write_text(mysql_stage.config_text(port, mysql_roster.address, str(password)))
    config = {
        "discovery": roster.address,
        "known": roster.snapshot(),
        "settings": settings([service_class("check", "read_like", 3.0)]),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "mysql": str(file),
    }
    return await Sidecar(folder, config).start(), port


async def case(record: Record, folder: Path) -> bool:
    """Send one statement beside HTTP requests: memory keeps under its limit, and each gets its answer."""
    # In a process of its own: nothing of the program is imported here.
    subprocess.run([ROOT / ".venv/bin/python", "-c", "import cryptography, msgspec, sqlglot"], check=True)
    sidecar, port = await start(record, folder)
    platform = Platform(sidecar, record)
    tasks = [asyncio.create_task(platform.watch()), asyncio.create_task(platform.load())]
    try:
        await asyncio.sleep(BEFORE_S)
        record(f"the sidecar at {HOST} has {platform.memory_mb()} MB before the statement")
        await insert(port, record)
        await asyncio.sleep(AFTER_S)
        is_alive = sidecar.is_running
    finally:
        for task in tasks:
            task.cancel()
        await sidecar.stop()
        record(f"log: {sidecar.log()}")
    record(f"peak memory {platform.peak_mb} MB of {MEMORY_MB}; {platform.lost} HTTP requests lost")
    return is_alive and platform.peak_mb <= MEMORY_MB and not platform.lost


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
