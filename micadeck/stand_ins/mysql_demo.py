"""The demo's MySQL part: reads of a table and transactions while one server drains and one is killed.

Everything runs in this process, on loopback.  The clients' results are then compared with what the servers
ran.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from pathlib import Path

from micadeck.mysql.auth import Verifier
from micadeck.mysql.config import parse
from micadeck.mysql.protocol.answers import Part, ResponseKind, Row
from micadeck.mysql.server_connection import Credentials, ServerConnection
from micadeck.mysql.service import MysqlService
from micadeck.network import LoopNetwork
from micadeck.stand_ins.discovery_server import StandInRoster
from micadeck.stand_ins.mysql import Fault, FaultAction, Point, StandInMysql

HOST = "127.0.0.1"
PASSWORD = b"desk"
DURATION_S = 2.0
ROWS = 50
GRACE_S = 0.5


class ClientResults:
    """What clients observed."""

    def __init__(self) -> None:
        self.reads: Counter[str] = Counter()  # by result
        self.writes: dict[str, str] = {}  # result by id


async def _execute(link: ServerConnection, text: str) -> tuple[int | None, list[bytes]]:
    """The error code or None, and the rows."""
    rows: list[bytes] = []

    def on_part(part: Part) -> None:
        if isinstance(part, Row):
            rows.append(part.payload)

    reader = await link.exchange(b"\x03" + text.encode(), ResponseKind.RESULT, on_part)
    return (reader.error.code if reader.error is not None else None), rows


async def _connect(network: LoopNetwork, port: int) -> ServerConnection:
    def make() -> ServerConnection:
        credentials = Credentials("desk", PASSWORD)
        return ServerConnection(
            network, "", credentials, found_rows=False, max_packet_bytes=1 << 24, on_closed=lambda _: None
        )

    return await ServerConnection.open(make, network, (HOST, port))


async def _read(link: ServerConnection, results: ClientResults, until: float) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        error, rows = await _execute(link, "SELECT code, rate FROM tariff ORDER BY code")
        is_complete = error is None and len(rows) == ROWS and sorted(rows) == rows
        results.reads["complete" if is_complete else f"error {error}" if error else "BROKEN"] += 1
        await asyncio.sleep(0.01)


async def _write(link: ServerConnection, results: ClientResults, client: int, until: float) -> None:
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until:
        ident, number = f"{client}-{number}", number + 1
        error = None
        for text in ("BEGIN", f"INSERT INTO lodged VALUES ('{ident}')", "COMMIT"):
            error = (await _execute(link, text))[0]
            if error is not None:
                break  # the transaction is over
        result = "done" if error is None else "unknown" if error == 1105 else "no effect"
        results.writes[ident] = result
        await asyncio.sleep(0.02)


def judge(
    results: ClientResults, effects: Counter[str], ran: dict[str, list[float]], drained: dict[str, float]
) -> list[str]:
    """The violations."""
    violations = []
    if results.reads["BROKEN"] or not results.reads["complete"]:
        violations.append(f"reads: {dict(results.reads)}")
    for ident, result in results.writes.items():
        times = effects[ident]
        if times > 1 or times != {"done": 1, "no effect": 0}.get(result, times):
            violations.append(f"write {ident}: result {result}, took effect {times} times")
    for name, at in drained.items():
        late = [started for started in ran[name] if started > at + GRACE_S]
        if late:
            violations.append(
                f"{name}: {len(late)} statements more than {GRACE_S} s after its drain was announced"
            )
    return violations


async def main() -> bool:
    """Run it and print the results; return whether all rules held."""
    network, loop = LoopNetwork(), asyncio.get_running_loop()
    servers = [StandInMysql(f"m-{number}", takes_s=0.005) for number in range(3)]
    roster = await StandInRoster().start()
    for server in servers:
        server.database.run("CREATE TABLE tariff (code TEXT, rate INT)")
        server.database.run("CREATE TABLE lodged (id TEXT)")
        server.database.append_only.add("lodged")
        for number in range(ROWS):
            server.database.run(f"INSERT INTO tariff VALUES ('{number:04}', {number})")
        await server.start()
        roster.put(server.name, server.address)
    with tempfile.NamedTemporaryFile("wb", suffix=".password", delete=False) as secret:
        secret.write(b"server-secret")
    config = parse(
        {
            "listen": f"{HOST}:0",
            "servers": {"user": "sidecar", "password_file": secret.name, "roster": roster.address},
            "users": [{"name": "desk", "verifier": Verifier.of(PASSWORD).text()}],
            "classes": [
                {"name": "read", "deadline_ms": 2_000, "aim_ms": 500, "repeat": "safe"},
                {"name": "write", "deadline_ms": 2_000, "aim_ms": 500, "repeat": "unsafe"},
            ],
            "rules": [{"read": "read", "write": "write"}],
        }
    )
    Path(secret.name).unlink()
    service = MysqlService(config, network, 1, lambda _: None)
    service.start()
    results, drained = ClientResults(), dict[str, float]()
    links = [await _connect(network, service.port) for _ in range(12)]
    until = loop.time() + DURATION_S
    work = [_read(link, results, until) for link in links[:8]]
    work += [_write(link, results, client, until) for client, link in enumerate(links[8:])]
    running = asyncio.gather(*work)
    await asyncio.sleep(DURATION_S * 0.3)
    drained[servers[0].name] = loop.time()
    roster.put(servers[0].name, servers[0].address, "leaving")
    servers[1].faults.append(Fault("tariff", Point.ROWS, FaultAction.RESET, rows=ROWS // 2, times=3))
    await asyncio.sleep(DURATION_S * 0.3)
    servers[1].die()
    await running
    effects = Counter(
        ident for server in servers for (ident,) in server.database.run("SELECT id FROM lodged")
    )
    ran = {server.name: [statement.at for statement in server.ran] for server in servers}
    violations = judge(results, effects, ran, drained)
    writes = Counter(results.writes.values())
    print(
        f"  {sum(results.reads.values())} reads, {results.reads['complete']} of them complete;"
        f" {len(results.writes)} writes: "
        + ", ".join(f"{count} {result}" for result, count in writes.items())
    )
    for violation in violations:
        print(f"  BROKEN  {violation}")
    if not violations:
        print("  held    each statement one answer, no write twice, nothing new to the drained server")
    for link in links:
        link.close()
    service.close()
    roster.close()
    for server in servers:
        server.die()
    return not violations
