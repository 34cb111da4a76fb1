"""A client reads a large answer slowly and steadily; the sidecar takes it for stalled and cuts it off."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

from harness_2 import (
    HAS_TROUBLE,
    HOST,
    Message,
    Record,
    Roster,
    Server,
    Sidecar,
    now,
    request_head,
    run_case,
    service_class,
    settings,
)

ANSWER_BYTES = 8 << 20  # the pages: up to 32 MB
BYTES_PER_S = 64_000.0  # the pages' rate of a slow client
READ_BYTES = 16 << 10
NOTE_S = 5.0  # between notes of the progress
READ_FOR_S = 80.0  # of the two minutes that the whole answer would take
BODY = bytes(range(256)) * (ANSWER_BYTES // 256)


def read_answer(port: int, name: str, record: Record) -> bool:
    """Ask, and read at a steady rate; return whether all that was read in that time is the answer."""
    with socket.create_connection((HOST, port)) as connection:
        connection.sendall(request_head(name, "lodge", "POST", 4.0, "Content-Length: 0\r\n"))
        received, is_cut_off = bytearray(), False
        begin, noted = time.monotonic(), now()
        while time.monotonic() < begin + READ_FOR_S and not received.endswith(BODY):
            try:
                data = connection.recv(READ_BYTES)
            except OSError as error:
                record(f"client {name}: {error!r}")
                data = b""
            if not data:
                record(f"client {name}: the connection ended")
                is_cut_off = True
                break
            received += data
            if now() - noted >= NOTE_S:
                noted = now()
                record(f"client {name} has read {len(received)} bytes")
            if HAS_TROUBLE:
                time.sleep(max(begin + len(received) / BYTES_PER_S - time.monotonic(), 0.0))
    head, _, body = received.partition(b"\r\n\r\n")
    record(f"client {name}: {head.decode('latin-1')!r}, {len(body)} of {ANSWER_BYTES} bytes")
    return not is_cut_off and BODY.startswith(bytes(body))


async def case(record: Record, folder: Path) -> bool:
    """Ask for a large answer; the client must get what the server gives, for as long as it reads."""

    async def answer(message: Message, writer: asyncio.StreamWriter) -> None:
        name = message.headers["request-id"]
        record(f"the server runs {name}")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode() + BODY)
        await writer.drain()
        record(f"the server has given all of {name}")

    roster = await Roster().start()
    for name in ("s0", "s1"):
        roster.put(name, (await Server(name, answer).start()).address)
    classes = [service_class("lodge", "non_idempotent", 4.0)]
    config = {"discovery": roster.address, "settings": settings(classes), "known": roster.snapshot()}
    sidecar = await Sidecar(folder, config).start()
    try:
        return await asyncio.to_thread(read_answer, sidecar.port, "r0", record)
    finally:
        await sidecar.stop()
        record(f"log: {sidecar.log()}")


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
