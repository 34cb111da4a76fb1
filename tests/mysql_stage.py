"""Stand-in MySQL servers, a stand-in roster and the MySQL service round clients that nobody here wrote."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiomysql
from loopback import soon, until
from pymysql.err import MySQLError

from micadeck.mysql.auth import Verifier, native_stored
from micadeck.mysql.config import MysqlConfig, parse
from micadeck.mysql.service import MysqlService
from micadeck.network import LoopNetwork
from micadeck.stand_ins.discovery_server import StandInRoster
from micadeck.stand_ins.mysql import StandInMysql

PASSWORD = "desk-secret"
ROWS = [("0101", 5, "live horses"), ("0202", 12, "beef"), ("0303", 0, None)]
_VERIFIER = Verifier.of(PASSWORD.encode()).text()  # once: each costs tens of milliseconds
_NATIVE = "*" + native_stored(PASSWORD.encode()).hex()

with tempfile.NamedTemporaryFile("w", prefix="mysql-password-", delete=False) as _file:
    _file.write("server-secret\n")
PASSWORD_FILE = Path(_file.name)


def given(roster: str = "", **changes: Any) -> dict[str, Any]:
    """A configuration file's content."""
    return {
        "listen": "127.0.0.1:0",
        "servers": {"user": "sidecar", "password_file": str(PASSWORD_FILE), "roster": roster},
        "users": [
            {"name": "desk", "verifier": _VERIFIER, "native": _NATIVE},
            {"name": "clerk", "verifier": _VERIFIER, "schemas": ["tariff"]},
        ],
        "classes": [
            {"name": "read", "deadline_ms": 3_000, "aim_ms": 750, "repeat": "safe"},
            {"name": "write", "deadline_ms": 4_000, "aim_ms": 1_200, "repeat": "unsafe"},
        ],
        "rules": [{"read": "read", "write": "write"}],
        **changes,
    }


def configured(roster: str = "", **changes: Any) -> MysqlConfig:
    return parse(given(roster, **changes))


def load(server: StandInMysql) -> None:
    server.database.run("CREATE TABLE tariff (code TEXT PRIMARY KEY, rate INT, note TEXT)")
    server.database.run("CREATE TABLE lodged (id TEXT, who TEXT)")
    for row in ROWS:
        server.database._connection.execute("INSERT INTO tariff VALUES (?, ?, ?)", row)


@dataclass
class Scene:
    """One service and what stands round it."""

    service: MysqlService
    roster: StandInRoster
    servers: list[StandInMysql]
    log: list[str]
    clients: list[Any] = field(default_factory=list)

    async def connect(self, **how: Any) -> Any:
        wanted = {"user": "desk", "password": PASSWORD, "db": "tariff", "autocommit": None, **how}
        wanted.setdefault("connect_timeout", 10)
        client = await soon(aiomysql.connect(host="127.0.0.1", port=self.service.port, **wanted))
        self.clients.append(client)
        return client

    def ran(self, part: str) -> list[str]:
        """All that began at the servers and contains this."""
        return [text for server in self.servers for text in server.texts(part)]

    def lodged(self, ident: str) -> int:
        """How often a lodging took effect, at all servers together."""
        asked = f"SELECT COUNT(*) FROM lodged WHERE id = '{ident}'"
        return sum(int(server.database.run(asked)[0][0]) for server in self.servers)

    def server_of(self, part: str) -> StandInMysql:
        return next(server for server in self.servers if server.texts(part))

    async def drain(self, server: StandInMysql) -> None:
        """Until the carrier has heard of it."""
        self.roster.put(server.name, server.address, "leaving")
        carrier = self.service.carrier
        await until(lambda: carrier._servers[server.name].is_leaving)


async def ask(client: Any, text: str, *arguments: Any) -> Any:
    """The rows of a statement, or how many it changed; the code and the message where it fails."""
    try:
        async with client.cursor() as cursor:
            changed = await soon(cursor.execute(text, arguments or None))
            return list(await cursor.fetchall()) if cursor.description else changed
    except MySQLError as fault:
        return fault.args


@asynccontextmanager
async def scene(
    count: int = 2, servers: list[StandInMysql] | None = None, **changes: Any
) -> AsyncIterator[Scene]:
    made = servers or [StandInMysql(f"m-{number}") for number in range(count)]
    roster = StandInRoster()
    await roster.start()
    for each in made:
        load(each)
        await each.start()
        roster.put(each.name, each.address)
    log: list[str] = []
    service = MysqlService(configured(roster.address, **changes), LoopNetwork(), 7, log.append)
    service.start()
    await until(lambda: len(service.carrier._servers) == len(made))
    stage = Scene(service, roster, made, log)
    try:
        yield stage
    finally:
        for each in stage.clients:
            each.close()
        service.close()
        roster.close()
        assert [defect for server in made for defect in server.defects] == []
        for server in made:
            server.die()
            server.database.close()
        await asyncio.sleep(0)
