"""The demo's second part: a tariff schedule read over MySQL while one server drains and one dies.

Everything runs in this process, on loopback.  Readers read, clerks lodge in transactions; what each was told
is then held against what the servers ran.
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
from micadeck.stand_ins.mysql import Fault, Point, StandInMysql, What

HOST = "127.0.0.1"
PASSWORD = b"desk"
DAY_S = 2.0
ROWS = 50
GRACE_S = 0.5


class Told:
    """What clients were told."""

    def __init__(self) -> None:
        self.schedules: Counter[str] = Counter()
        self.lodgings: dict[str, str] = {}


async def _ask(link: ServerConnection, text: str) -> tuple[int | None, list[bytes]]:
    """The error's code, if there is one, and the rows."""
    rows: list[bytes] = []

    def part(each: Part) -> None:
        if isinstance(each, Row):
            rows.append(each.payload)

    reader = await link.exchange(b"\x03" + text.encode(), ResponseKind.RESULT, part)
    return (reader.error.code if reader.error is not None else None), rows


async def _connect(network: LoopNetwork, port: int) -> ServerConnection:
    def make() -> ServerConnection:
        credentials = Credentials("desk", PASSWORD)
        return ServerConnection(
            network, "", credentials, found_rows=False, max_packet_bytes=1 << 24, on_closed=lambda _: None
        )

    return await ServerConnection.open(make, network, (HOST, port))


async def _read(link: ServerConnection, told: Told, until: float) -> None:
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        error, rows = await _ask(link, "SELECT code, rate FROM tariff ORDER BY code")
        is_whole = error is None and len(rows) == ROWS and sorted(rows) == rows
        told.schedules["whole" if is_whole else f"error {error}" if error else "BROKEN"] += 1
        await asyncio.sleep(0.01)


async def _lodge(link: ServerConnection, told: Told, who: int, until: float) -> None:
    loop = asyncio.get_running_loop()
    number = 0
    while loop.time() < until:
        ident, number = f"{who}-{number}", number + 1
        error = None
        for text in ("BEGIN", f"INSERT INTO lodged VALUES ('{ident}')", "COMMIT"):
            error = (await _ask(link, text))[0]
            if error is not None:
                break  # what follows would no longer be in the transaction
        word = "done" if error is None else "unknown" if error == 1105 else "harmless"
        told.lodgings[ident] = word
        await asyncio.sleep(0.02)


def judge(
    told: Told, effects: Counter[str], ran: dict[str, list[float]], drained: dict[str, float]
) -> list[str]:
    """What is wrong; nothing, if all is well."""
    wrong = []
    if told.schedules["BROKEN"] or not told.schedules["whole"]:
        wrong.append(f"schedules: {dict(told.schedules)}")
    for ident, word in told.lodgings.items():
        times = effects[ident]
        if times > 1 or times != {"done": 1, "harmless": 0}.get(word, times):
            wrong.append(f"lodging {ident}: told {word}, took effect {times} times")
    for name, at in drained.items():
        late = [each for each in ran[name] if each > at + GRACE_S]
        if late:
            wrong.append(f"{name}: {len(late)} statements later than {GRACE_S} s after word of its drain")
    return wrong


async def main() -> bool:
    """Play it and print what came of it; whether all was well."""
    network, loop = LoopNetwork(), asyncio.get_running_loop()
    servers = [StandInMysql(f"m-{number}", takes_s=0.005) for number in range(3)]
    roster = await StandInRoster().start()
    for each in servers:
        each.database.run("CREATE TABLE tariff (code TEXT, rate INT)")
        each.database.run("CREATE TABLE lodged (id TEXT)")
        each.database.append_only.add("lodged")
        for number in range(ROWS):
            each.database.run(f"INSERT INTO tariff VALUES ('{number:04}', {number})")
        await each.start()
        roster.put(each.name, each.address)
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
    told, drained = Told(), dict[str, float]()
    links = [await _connect(network, service.port) for _ in range(12)]
    until = loop.time() + DAY_S
    work = [_read(link, told, until) for link in links[:8]]
    work += [_lodge(link, told, who, until) for who, link in enumerate(links[8:])]
    running = asyncio.gather(*work)
    await asyncio.sleep(DAY_S * 0.3)
    drained[servers[0].name] = loop.time()
    roster.put(servers[0].name, servers[0].address, "leaving")
    servers[1].faults.append(Fault("tariff", Point.ROWS, What.RESET, rows=ROWS // 2, times=3))
    await asyncio.sleep(DAY_S * 0.3)
    servers[1].die()
    await running
    effects = Counter(ident for each in servers for (ident,) in each.database.run("SELECT id FROM lodged"))
    ran = {each.name: [one.at for one in each.ran] for each in servers}
    wrong = judge(told, effects, ran, drained)
    lodged = Counter(told.lodgings.values())
    print(
        f"  {sum(told.schedules.values())} schedules read, {told.schedules['whole']} of them whole;"
        f" {len(told.lodgings)} lodgings: " + ", ".join(f"{count} {word}" for word, count in lodged.items())
    )
    for fault in wrong:
        print(f"  BROKEN  {fault}")
    if not wrong:
        print("  held    each statement one answer, no lodging twice, nothing new to the drained server")
    for link in links:
        link.close()
    service.close()
    roster.close()
    for each in servers:
        each.die()
    return not wrong
