"""A new version starts beside the running one, in a deployment that serves MySQL too, and ends at once."""

from __future__ import annotations

import asyncio
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

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

INTERVAL_S = 0.05  # between requests
BEFORE_S = 2.0  # of load on the old version alone
READY_WITHIN_S = 6.0  # the pages: until the new process says yes
KILL_AFTER_S = 3.7  # the pages: the longest deadline and 0.7 s after SIGTERM
AFTER_S = 2.0  # of load on the new version alone
CLASSES = [service_class("check", "read_like", 3.0), service_class("lodge", "non_idempotent", 3.0)]
MYSQL = """listen = "{listen}"
name = "desk"

[servers]
user = "sidecar"
password_file = "{password_file}"
static = [{{name = "tariff-0", address = "{server}"}}]

[[users]]
name = "desk"
verifier = "scrypt$00112233445566778899aabbccddeeff${digits}"

[[classes]]
name = "read"
repeat = "safe"
aim_ms = 250
deadline_ms = 2000

[[classes]]
name = "write"
repeat = "unsafe"
aim_ms = 500
deadline_ms = 3000

[[rules]]
read = "read"
write = "write"
"""


def write_mysql_file(folder: Path, listen: str) -> Path:
    """Write the file that the configuration names as `mysql`; its one server is never asked."""
    password_file = folder / "password"
    password_file.write_text("server-secret\n")
    server, digits = f"{HOST}:{free_port()}", "0" * 64
    path = folder / "mysql.toml"
    path.write_text(MYSQL.format(listen=listen, password_file=password_file, server=server, digits=digits))
    return path


async def operator_says(address: str, call: str) -> str:
    """Return the first line of the answer at the operators' door; empty without one in time."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"{call}\n".encode())
                return (await reader.readline()).decode().strip()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return ""


def greets(port: int) -> bool:
    """Return whether a MySQL client gets the greeting of a server."""
    try:
        with socket.create_connection((HOST, port), 1.0) as connection:
            connection.settimeout(1.0)
            return connection.recv(5)[4:] == b"\x0a"  # the protocol's version, behind the packet's head
    except OSError:
        return False


class Deployment:
    """The sidecar's two versions: the same configuration and folder, each with a door of its own."""

    def __init__(self, record: Record, folder: Path, config: dict[str, object]) -> None:
        self.record = record
        self.folder = folder
        self.config = config
        self.port = free_port()
        self.old = self._version("old")
        self.new = self._version("new")

    def _version(self, name: str) -> Sidecar:
        (self.folder / name).mkdir()
        config = {**self.config, "operator": f"{HOST}:{free_port()}"}
        return Sidecar(self.folder / name, config, self.port, temporary=self.folder)

    async def upgrade(self) -> bool:
        """Start the new version beside the old one, and end the old one; return whether the new one lives."""
        self.record("the new version is started beside the old one")
        await self.new.launch()
        begin, answer = now(), ""
        while now() < begin + READY_WITHIN_S and not answer.startswith("200") and self.new.is_running:
            await asyncio.sleep(0.1)
            answer = await operator_says(str(self.new.config["operator"]), "READY")
        self.record(f"the new version: {answer or 'no answer to READY'}, exit code {self.new.exit_code}")
        if not self.new.is_running:
            return False
        self.record("SIGTERM to the old version")
        self.old.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S)
        await self.old.stop()
        await asyncio.sleep(AFTER_S)
        self.record(f"the new version at the end: exit code {self.new.exit_code}")
        return self.new.is_running


async def load(port: int, record: Record) -> None:
    """Ask on connections of their own until cancelled."""
    number = 0
    while True:
        number += 1
        reply = await ask(port, request_head(f"r{number}", "check", "GET", 3.0), 4.0)
        if reply.status != 200:
            record(f"client: r{number}: {reply}")
        await asyncio.sleep(INTERVAL_S)


async def case(record: Record, folder: Path) -> bool:
    """Bring a new version under load; it must say yes in time and live on."""
    # In a process of its own: nothing of the program is imported here.
    subprocess.run([ROOT / ".venv/bin/python", "-c", "import cryptography, msgspec, sqlglot"], check=True)

    async def answer(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(response(message.headers["request-id"].encode()))

    roster = await Roster().start()
    for name in ("s0", "s1"):
        roster.put(name, (await Server(name, answer).start()).address)
    mysql_port = free_port()
    mysql = write_mysql_file(folder, f"{HOST}:{mysql_port}")
    config = {"discovery": roster.address, "settings": settings(CLASSES), "known": roster.snapshot()}
    deployment = Deployment(record, folder, {**config, "mysql": str(mysql)})
    clients: asyncio.Task[None] | None = None
    try:
        await deployment.old.start()
        clients = asyncio.create_task(load(deployment.port, record))
        await asyncio.sleep(BEFORE_S)
        record(f"MySQL clients of the old version are greeted: {await asyncio.to_thread(greets, mysql_port)}")
        if HAS_TROUBLE:
            return await deployment.upgrade()
        await asyncio.sleep(READY_WITHIN_S + AFTER_S)
        return deployment.old.is_running and await asyncio.to_thread(greets, mysql_port)
    finally:
        if clients is not None:
            clients.cancel()
        for name, version in (("old", deployment.old), ("new", deployment.new)):
            await version.stop()
            record(f"log of the {name} version: {version.log().strip()}")
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
