"""One of eight servers is slow; its late answer is written into the answer of the second copy."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
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

SERVERS = 8
ANSWER_BYTES = 512 << 10
PIECE_BYTES, PIECE_S = 32 << 10, 0.05  # 640 kB a second
SERVICE_S = 0.02
SLOW_S = 1.0  # the service time of the slow server; clients wait for 3 s
INTERVAL_S = 0.02  # between requests
TROUBLE_AFTER_S = 4.0
DURATION_S = 14.0
CLASSES = [service_class("check", "read_like", 3.0, promiseUs=750_000)]


def answer_to(ident: str) -> bytes:
    """Return the answer that every server gives to a request."""
    if ident.startswith("c"):
        return ident.encode()
    return (f"{ident}." * (ANSWER_BYTES // (len(ident) + 1) + 1)).encode()[:ANSWER_BYTES]


class Fleet:
    """The servers, of which one becomes slow as it gets a request for a large answer."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.slow = ""
        self.is_slowness_due = False
        self._open: Counter[str] = Counter()

    async def start(self, roster: Roster) -> None:
        """Start the servers, and list them."""
        for number in range(SERVERS):
            name = f"s{number}"

            async def answer(message: Message, writer: asyncio.StreamWriter, name: str = name) -> None:
                self._open[name] += 1
                try:
                    await self._answer(name, message.headers["request-id"], writer)
                finally:
                    self._open[name] -= 1

            roster.put(name, (await Server(name, answer).start()).address)

    async def _answer(self, name: str, ident: str, writer: asyncio.StreamWriter) -> None:
        if self.is_slowness_due and ident.startswith("L") and self._open[name] == 1:
            self.is_slowness_due, self.slow = False, name
            self.record(f"{name} is slow from now on: {SLOW_S:g} s a request")
        await asyncio.sleep(SLOW_S if name == self.slow else SERVICE_S)
        body = answer_to(ident)
        if ident.startswith("c"):
            writer.write(response(body))
            return
        self.record(f"{name} begins to answer {ident}")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode())
        for at in range(0, len(body), PIECE_BYTES):
            writer.write(body[at : at + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        self.record(f"{name} has answered {ident}")


async def case(record: Record, folder: Path) -> bool:
    """Ask for small and large answers; each 200 must hold what the servers answer to that request."""
    roster, fleet = await Roster().start(), Fleet(record)
    await fleet.start(roster)
    config = {"discovery": roster.address, "settings": settings(CLASSES, secondCopies=True)}
    sidecar = await Sidecar(folder, {**config, "known": roster.snapshot()}).start()
    wrong: list[str] = []

    async def send(ident: str) -> None:
        reply = await ask(sidecar.port, request_head(ident, "check", "GET", 3.0), 8.0)
        is_wrong = reply.status == 200 and reply.is_whole and reply.body != answer_to(ident)
        record(f"client: {ident}: {reply}{': NOT THE ANSWER TO IT' if is_wrong else ''}")
        if is_wrong:
            wrong.append(ident)
            at = reply.body.find(b"HTTP/1.1")
            record(f"client: {ident}: from byte {at}: {reply.body[at : at + 60]!r}")

    try:
        begin, tasks = now(), []
        while now() < begin + DURATION_S:
            ident = f"{'L' if len(tasks) % 10 == 0 else 'c'}{len(tasks):05x}"
            tasks.append(asyncio.create_task(send(ident)))
            if HAS_TROUBLE and not fleet.slow:
                fleet.is_slowness_due = now() > begin + TROUBLE_AFTER_S
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
    finally:
        await sidecar.stop()
        record(f"log: {sidecar.log()}")
    return not wrong


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
