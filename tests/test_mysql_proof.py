"""Hundreds of clients, thousands of statements, servers that drain, die and spoil by seed; all is counted.

Every statement has exactly one final answer; what was told harmless did not take effect, what was told done
did once, transactions are whole or not at all; no rows and no session state of another client are seen; and
nothing began at a server later than the grace after word that it drains.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

import pytest
from loopback import run_async
from mysql_stage import MysqlEnvironment, create_tables, execute, mysql_environment
from pymysql.err import MySQLError

from micadeck.stand_ins.mysql import Fault, FaultAction, Point, StandInMysql

CLIENTS = 200
TURNS = 8
GRACE_S = 0.5
_POINTS = [Point.START, Point.RAN, Point.HEAD, Point.COLUMNS, Point.LAST]
_WHATS = [FaultAction.RESET, FaultAction.CORRUPT, FaultAction.SHUT_DOWN]

Told = dict[str, str]  # what was told of each lodging: "done", "harmless" or "unknown"


def _word(answer: Any) -> str:
    if answer in (0, 1):
        return "done"
    assert isinstance(answer, tuple), answer
    if answer[0] in (1213, 1205):
        return "harmless"
    assert answer[0] in (1105, 1317, 2006, 2013, 3024), answer
    return "unknown"


class Desk:
    """One client: it reads, lodges and runs transactions, and checks all that it is told."""

    def __init__(
        self, stage: MysqlEnvironment, number: int, chance: random.Random, counts: Counter[str]
    ) -> None:
        self.stage = stage
        self.number = number
        self.chance = chance
        self.counts = counts
        self.told: Told = {}
        self.pairs: list[tuple[str, str]] = []
        self.client: Any = None
        self.zone = ""

    async def work(self) -> None:
        await asyncio.sleep(self.chance.random() * 1.5)
        for turn in range(TURNS):
            if self.client is None or self.client._writer is None:
                await self._connect()
            try:
                await self.chance.choice([self._read, self._read, self._lodge, self._pair, self._state])(turn)
            except MySQLError as fault:
                self.counts[f"ended {fault.args[0]}"] += 1
                self.client = None
            await asyncio.sleep(self.chance.random())

    async def _connect(self) -> None:
        self.client = await self.stage.connect(autocommit=True)
        zone = f"+{self.number % 14:02}:00"
        while (answer := await execute(self.client, f"SET time_zone = '{zone}'")) != 0:
            assert answer[0] == 1213, answer
        self.zone = zone

    async def _ask(self, text: str) -> Any:
        self.counts["asked"] += 1
        answer = await execute(self.client, text)
        self.counts["answered"] += 1
        if isinstance(answer, tuple):
            self.counts[str(answer[0])] += 1
        if isinstance(answer, tuple) and answer[0] in (2006, 2013, 2014):
            self.client.close()
            self.client = None
        return answer

    async def _read(self, turn: int) -> None:
        mark = f"{self.number}-{turn}"
        answer = await self._ask(f"SELECT '{mark}', code, @@time_zone FROM tariff ORDER BY code")
        if not isinstance(answer, tuple):
            assert [row[0] for row in answer] == [mark] * 3  # its own rows, all of them
            assert {row[2] for row in answer} == {self.zone}  # with its own session

    async def _lodge(self, turn: int) -> None:
        ident = f"L{self.number}-{turn}"
        self.told[ident] = _word(await self._ask(f"INSERT INTO lodged VALUES ('{ident}', 'd')"))

    async def _pair(self, turn: int) -> None:
        pair = (f"A{self.number}-{turn}", f"B{self.number}-{turn}")
        self.pairs.append(pair)
        word = "harmless"
        if (await self._ask("BEGIN")) == 0:
            for ident in pair:
                word = _word(await self._ask(f"INSERT INTO lodged VALUES ('{ident}', 'd')"))
                if word != "done":
                    break
            if self.client is None:
                word = "unknown"
            elif word == "done":
                word = _word(await self._ask("COMMIT"))
            else:
                assert await self._ask("ROLLBACK") == 0
        for ident in pair:
            self.told[ident] = word

    async def _state(self, turn: int) -> None:
        mark = f"{self.number}:{turn}"
        if await self._ask(f"SET @mark = '{mark}'") == 0:
            answer = await self._ask("SELECT @mark, @@time_zone")
            if not isinstance(answer, tuple):
                assert answer == [(mark, self.zone)]
        if self.client is not None:
            self.client.close()  # and with it, its variables
            self.client = None


async def _trouble(stage: MysqlEnvironment, chance: random.Random, drained: dict[str, float]) -> None:
    loop = asyncio.get_running_loop()
    for number in range(10):
        await asyncio.sleep(0.4)
        ready = [each for each in stage.servers if each.name not in drained]
        victim = chance.choice(ready)
        # One of each kind that must be told apart, and some by chance.
        for match in ("VALUES ('L", "VALUES ('A"):
            chance.choice(ready).faults.append(Fault(match, Point.RAN, FaultAction.RESET))
        for _ in range(6):
            where = chance.choice(ready)
            match = chance.choice(["lodged", "tariff", "COMMIT", "@mark", "BEGIN"])
            where.faults.append(Fault(match, chance.choice(_POINTS), chance.choice(_WHATS)))
        if number % 3 == 2:
            # One goes, drained or killed, and a new one comes in its place.
            fresh = StandInMysql(f"m-{len(stage.servers)}")
            create_tables(fresh)
            fresh.database.append_only.add("lodged")
            await fresh.start()
            stage.servers.append(fresh)
            stage.roster.put(fresh.name, fresh.address)
            drained[victim.name] = loop.time()
            if chance.random() < 0.5:
                stage.roster.put(victim.name, victim.address, "leaving")
                loop.call_later(1.0, victim.die)
            else:
                victim.die()
                loop.call_later(0.1, stage.roster.remove, victim.name)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_statement_has_one_true_answer_while_servers_drain_and_die(seed: int) -> None:
    async def work() -> None:
        chance, counts = random.Random(seed), Counter[str]()
        async with mysql_environment(4, limits={"connections_per_server": 64}) as stage:
            for server in stage.servers:
                server.takes_s = 0.002
                server.database.append_only.add("lodged")
            desks = [Desk(stage, n, random.Random(seed * 1_000 + n), counts) for n in range(CLIENTS)]
            drained: dict[str, float] = {}
            trouble = asyncio.create_task(_trouble(stage, chance, drained))
            await asyncio.gather(*(desk.work() for desk in desks))
            await trouble
            effects = Counter(
                ident for server in stage.servers for (ident,) in server.database.run("SELECT id FROM lodged")
            )
            for desk in desks:
                for ident, word in desk.told.items():
                    times = effects[ident]
                    assert times == {"done": 1, "harmless": 0}.get(word, min(times, 1)), (ident, word, times)
                for one, other in desk.pairs:
                    assert effects[one] == effects[other]  # whole, or not at all
            for server in stage.servers:
                if server.name in drained:
                    assert all(each.at <= drained[server.name] + GRACE_S for each in server.ran)
                begun = Counter(each.text for each in server.ran if each.text.startswith("INSERT"))
                assert all(times == 1 for times in begun.values())
            assert counts["asked"] == counts["answered"] >= CLIENTS * TURNS
            assert counts["1213"] and counts["1105"] and len(drained) == 3  # it was no calm day
            told = Counter(word for desk in desks for word in desk.told.values())
            assert told["done"] > 0.5 * sum(told.values()), (told, counts)

    run_async(work)
