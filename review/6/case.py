"""A server hangs while a large keyed request is out; the second copy of it reaches another server empty."""

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
BODY_BYTES = 100 << 10
CHUNK_BYTES = 16 << 10
SERVICE_S = 0.02
INTERVAL_S = 0.02  # between requests
TROUBLE_AFTER_S = 4.0
HANG_S = 9.0  # the pages: 8.9 to 23 s, up to 19% of the servers; here one of eight
DURATION_S = 14.0
CLASSES = [
    service_class("check", "read_like", 3.0, promiseUs=750_000),
    service_class("amend", "idempotency_key", 2.0, promiseUs=600_000, memorySpanUs=2_000_000),
]


def body_of(ident: str) -> bytes:
    """Return the body of a request, which its server can check."""
    return (f"{ident}." * (BODY_BYTES // (len(ident) + 1) + 1)).encode()


def encode(ident: str) -> bytes:
    """Return a client's request: an amendment in chunks, or a check."""
    if ident.startswith("c"):
        return request_head(ident, "check", "GET", 3.0)
    body = body_of(ident)
    chunks = [body[at : at + CHUNK_BYTES] for at in range(0, len(body), CHUNK_BYTES)]
    head = request_head(
        ident, "amend", "POST", 2.0, f"Idempotency-Key: {ident}\r\nTransfer-Encoding: chunked\r\n"
    )
    return head + b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"


class Fleet:
    """The servers, of which one hangs from the moment at which it gets an amendment."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.hung = ""
        self.hangs_until = 0.0
        self.is_hang_due = False
        self.wrong = 0
        self._received: Counter[str] = Counter()
        self._ran: set[str] = set()  # all servers share the keys that they have seen

    async def start(self, roster: Roster) -> None:
        """Start the servers, and list them."""
        for number in range(SERVERS):
            name = f"s{number}"

            async def answer(message: Message, writer: asyncio.StreamWriter, name: str = name) -> None:
                await self._answer(name, message)
                writer.write(response(message.headers["request-id"].encode()))

            roster.put(name, (await Server(name, answer).start()).address)

    async def _answer(self, name: str, message: Message) -> None:
        ident = message.headers["request-id"]
        is_amendment = ident.startswith("a")
        self._received[name] += 1
        if is_amendment:
            self.record(f"{name} received {ident}: {len(message.body)} bytes")
            if self.is_hang_due and self._received.most_common(1)[0][0] == name:
                self.is_hang_due, self.hung, self.hangs_until = False, name, now() + HANG_S
                self.record(f"{name} hangs for {HANG_S:g} s")
        if name == self.hung and now() < self.hangs_until:
            await asyncio.sleep(self.hangs_until - now())
        await asyncio.sleep(SERVICE_S)
        if is_amendment:
            self._run(name, ident, message.body)

    def _run(self, name: str, ident: str, body: bytes) -> None:
        if ident in self._ran:
            self.record(f"{name} drops a repeat of {ident}")
            return
        self._ran.add(ident)
        is_right = body == body_of(ident)
        self.wrong += not is_right
        what = "as it was sent" if is_right else f"WITH A BODY OF {len(body)} BYTES THAT NOBODY SENT"
        self.record(f"{name} runs {ident} {what}")


async def case(record: Record, folder: Path) -> bool:
    """Send amendments and checks; every amendment that runs must be the one that its client sent."""
    roster, fleet = await Roster().start(), Fleet(record)
    await fleet.start(roster)
    config = {"discovery": roster.address, "settings": settings(CLASSES, secondCopies=True)}
    sidecar = await Sidecar(folder, {**config, "known": roster.snapshot()}).start()

    async def send(ident: str) -> None:
        reply = await ask(sidecar.port, encode(ident), 4.0)
        record(f"client: {ident}: {reply}")

    try:
        begin, tasks = now(), []
        while now() < begin + DURATION_S:
            ident = f"{'c' if len(tasks) % 4 == 0 else 'a'}{len(tasks):05x}"
            tasks.append(asyncio.create_task(send(ident)))
            if HAS_TROUBLE and not fleet.hung:
                fleet.is_hang_due = now() > begin + TROUBLE_AFTER_S
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
    finally:
        await sidecar.stop()
        record(f"log: {sidecar.log()}")
    return not fleet.wrong


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
