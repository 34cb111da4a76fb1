"""Case 1: a second answer that comes some milliseconds late is served to the client of another request."""

from __future__ import annotations

import asyncio
import gc
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cross_zone  # noqa: E402  # beside this folder
import stage  # noqa: E402
import uvloop  # noqa: E402

SIDECARS = 24
CLIENTS = 3  # of each sidecar
SERVERS = 3
TAKES_S = 0.035  # the mean work of a check is 29 to 52 ms
MAX_ONE_WAY_S = 0.0268  # 20 ms and 0.34 of it; what a slower message led to is not judged
LINK = cross_zone.Link(one_way_s=0.0145, jitter=0.31)
SECOND = cross_zone.SecondAnswers(share=0.05, least_s=0.005, most_s=0.009)
NO_SECOND = cross_zone.SecondAnswers(share=0.0, least_s=0.0, most_s=0.0)
PAUSE_S = (0.005, 0.020)  # of a client, between an answer and its next request
TIMEOUT_S = 2.0
PLAY_S = 3.5  # of a round
ROUNDS = 14  # each with new sidecars, until the rule is broken
LAST_BEGINS_S = 95.0  # no round begins later


class Client:
    """A connection with one request at a time."""

    def __init__(self, name: str, record: stage.Record, owners: dict[bytes, str]) -> None:
        """Describe it; `owners` names the request of each body."""
        self._name = name
        self._record = record
        self._owners = owners
        self._rng = random.Random(name)
        self.foreign: list[tuple[str, str]] = []  # request, and the one that its answer was made for
        self.answers = 0

    async def run(self, port: int, until: float) -> None:
        """Ask until it is time to end; a connection that the sidecar ends is opened anew."""
        number = 0
        while time.monotonic() < until:
            reader, writer = await asyncio.open_connection(stage.HOST, port)
            try:
                while time.monotonic() < until:
                    number += 1
                    async with asyncio.timeout(TIMEOUT_S + 1.0):
                        await self._ask(f"{self._name}-{number}", reader, writer)
                    await asyncio.sleep(self._rng.uniform(*PAUSE_S))
            except (EOFError, OSError) as error:
                self._record.add(f"client: the connection of {self._name}-{number} ended: {error!r}")
            finally:
                writer.close()

    async def _ask(self, ident: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._owners[stage.body_for(ident, 64)] = ident
        writer.write(stage.encode_request(ident, "check", TIMEOUT_S))
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = int(head.partition(b"content-length:")[2].split(b"\r\n")[0])
        self._judge(ident, int(head.split(b" ")[1]), await reader.readexactly(length))

    def _judge(self, ident: str, status: int, body: bytes) -> None:
        self.answers += 1
        if status == 200 and body != stage.body_for(ident, 64):
            owner = self._owners.get(body, "nothing")
            self._record.add(f"client: {ident} is served with the answer made for {owner}")
            self.foreign.append((ident, owner))


def _start(roster: stage.Roster, record: stage.Record, sidecars: list[stage.Sidecar]) -> None:
    sidecars.append(stage.start_sidecar(roster, record))


async def play(record: stage.Record, has_trouble: bool, number: int) -> list[str]:
    """Play a round: run the sidecars and their clients, and judge the answers."""
    record.add(f"round {number}")
    second = SECOND if has_trouble else NO_SECOND
    servers = [
        await cross_zone.Server(f"s-{number}-{server}", record, LINK, second, TAKES_S).start()
        for server in range(SERVERS)
    ]
    roster = stage.Roster(servers)
    sidecars: list[stage.Sidecar] = []
    clients: list[Client] = []
    owners: dict[bytes, str] = {}
    try:
        starts = [asyncio.to_thread(_start, roster, record, sidecars) for _ in range(SIDECARS)]
        for result in await asyncio.gather(*starts, return_exceptions=True):
            if isinstance(result, BaseException):
                raise result
        until = time.monotonic() + PLAY_S
        runs = []
        for place, sidecar in enumerate(sidecars):
            for client_number in range(CLIENTS):
                client = Client(f"r{number}-n{place}-c{client_number}", record, owners)
                clients.append(client)
                runs.append(client.run(sidecar.port, until))
        await asyncio.gather(*runs)
    finally:
        for sidecar in sidecars:
            sidecar.end()
        for service in (roster, *servers):
            service.close()
    delays = sorted(delay for server in servers for delay in server.delays_s)
    record.add(
        f"{sum(client.answers for client in clients)} answers to clients,"
        f" {sum(server.second_answers for server in servers)} second answers; the link took"
        f" {delays[0] * 1e3:.1f} to {delays[-1] * 1e3:.1f} ms"
    )
    slowest_s = {ident: slowest[0] for server in servers for ident, slowest in server.slowest_s.items()}
    return [
        f"lost: {ident} is served with the answer made for {owner}"
        for client in clients
        for ident, owner in client.foreign
        if slowest_s.get(owner, 0.0) <= MAX_ONE_WAY_S
    ]


def case(record: stage.Record, has_trouble: bool) -> list[str]:
    """Play rounds until the rule is broken."""
    violations: list[str] = []
    gc.disable()  # a collection would hold up the stand-ins, and so would long turns of other threads
    sys.setswitchinterval(0.0005)
    for number in range(ROUNDS):
        violations = uvloop.run(play(record, has_trouble, number))
        if violations or record.now() > LAST_BEGINS_S:
            break
    return violations


if __name__ == "__main__":
    sys.exit(stage.play(FOLDER, case))
