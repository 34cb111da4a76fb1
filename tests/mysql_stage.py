"""The MySQL service with stand-in servers, a stand-in roster and third-party clients."""

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
_VERIFIER = Verifier.of(PASSWORD.encode()).text()  # made once: each takes tens of milliseconds
_NATIVE = "*" + native_stored(PASSWORD.encode()).hex()

with tempfile.NamedTemporaryFile("w", prefix="mysql-password-", delete=False) as _file:
    _file.write("server-secret\n")
PASSWORD_FILE = Path(_file.name)


def config_document(roster: str = "", **changes: Any) -> dict[str, Any]:
    """The content of a configuration file."""
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


def make_config(roster: str = "", **changes: Any) -> MysqlConfig:
    return parse(config_document(roster, **changes))


def create_tables(server: StandInMysql) -> None:
    server.database.run("CREATE TABLE tariff (code TEXT PRIMARY KEY, rate INT, note TEXT)")
    server.database.run("CREATE TABLE lodged (id TEXT, who TEXT)")
    for row in ROWS:
        server.database._connection.execute("INSERT INTO tariff VALUES (?, ?, ?)", row)


@dataclass
class MysqlEnvironment:
    """A service, its servers and its clients."""

    service: MysqlService
    roster: StandInRoster
    servers: list[StandInMysql]
    log: list[str]
    clients: list[Any] = field(default_factory=list)

    async def connect(self, **changes: Any) -> Any:
        options = {"user": "desk", "password": PASSWORD, "db": "tariff", "autocommit": None, **changes}
        options.setdefault("connect_timeout", 10)
        client = await soon(aiomysql.connect(host="127.0.0.1", port=self.service.port, **options))
        self.clients.append(client)
        return client

    def statements(self, part: str) -> list[str]:
        """Statements that contain `part` and started at a server."""
        return [text for server in self.servers for text in server.texts(part)]

    def count_lodged(self, ident: str) -> int:
        """How often an INSERT took effect, at all servers."""
        query = f"SELECT COUNT(*) FROM lodged WHERE id = '{ident}'"
        return sum(int(server.database.run(query)[0][0]) for server in self.servers)

    def server_of(self, part: str) -> StandInMysql:
        return next(server for server in self.servers if server.texts(part))

    async def drain(self, server: StandInMysql) -> None:
        """Drain a server; return when the transport knows."""
        self.roster.put(server.name, server.address, "leaving")
        transport = self.service.transport
        await until(lambda: transport._servers[server.name].is_leaving)


async def execute(client: Any, text: str, *arguments: Any) -> Any:
    """Return a statement's rows or affected rows; on an error, its code and message."""
    try:
        async with client.cursor() as cursor:
            affected = await soon(cursor.execute(text, arguments or None))
            return list(await cursor.fetchall()) if cursor.description else affected
    except MySQLError as error:
        return error.args


@asynccontextmanager
async def mysql_environment(
    count: int = 2, servers: list[StandInMysql] | None = None, **changes: Any
) -> AsyncIterator[MysqlEnvironment]:
    servers = servers or [StandInMysql(f"m-{number}") for number in range(count)]
    roster = StandInRoster()
    await roster.start()
    for server in servers:
        create_tables(server)
        await server.start()
        roster.put(server.name, server.address)
    log: list[str] = []
    service = MysqlService(make_config(roster.address, **changes), LoopNetwork(), 7, log.append)
    service.start()
    await until(lambda: len(service.transport._servers) == len(servers))
    env = MysqlEnvironment(service, roster, servers, log)
    try:
        yield env
    finally:
        for client in env.clients:
            client.close()
        service.close()
        roster.close()
        assert [defect for server in servers for defect in server.defects] == []
        for server in servers:
            server.die()
            server.database.close()
        await asyncio.sleep(0)
