"""A server writes a large answer of unknown length slowly; the sidecar cuts it off after the timeout."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness_2 import (
    HAS_TROUBLE,
    HOST,
    Message,
    Record,
    Roster,
    Server,
    Sidecar,
    request_head,
    run_case,
    service_class,
    settings,
)

ANSWER_BYTES = 256 << 10  # over the 64 KiB from which on only the first bytes are timed
PIECE_BYTES = 8 << 10
BYTES_PER_S = 64_000.0  # the pages' rate of a slow body
SERVICE_S = 0.1
TIMEOUT_S = 0.7  # the pages: a try is given up after 34% to 100% of the class's 2 s
REQUESTS = 5
WAIT_S = 15.0  # of a client, for the whole answer
BODY = bytes(range(256)) * (ANSWER_BYTES // 256)
LAST_CHUNK = b"0\r\n\r\n"


def decoded(chunked: bytes) -> bytes:
    """Return the body of the whole chunks that a client got."""
    body = b""
    while chunked:
        size, _, chunked = chunked.partition(b"\r\n")
        length = int(size or b"0", 16)
        if not length:
            break
        body, chunked = body + chunked[:length], chunked[length + 2 :]
    return body


async def read_answer(port: int, name: str, record: Record) -> bool:
    """Ask, and read as fast as the answer comes; return whether it is whole."""
    reader, writer = await asyncio.open_connection(HOST, port)
    more = f"Idempotency-Key: {name}\r\nContent-Length: 0\r\n"
    writer.write(request_head(name, "amend", "POST", TIMEOUT_S, more))
    received = b""
    try:
        async with asyncio.timeout(WAIT_S):
            while not received.endswith(LAST_CHUNK) and (data := await reader.read(1 << 16)):
                if not received:
                    record(f"client: {name}: the first bytes: {data[:15].decode('latin-1')}")
                received += data
    except (OSError, TimeoutError) as error:
        record(f"client: {name}: {error!r}")
    finally:
        writer.close()
    body = decoded(received.partition(b"\r\n\r\n")[2])
    is_whole = received.startswith(b"HTTP/1.1 200") and received.endswith(LAST_CHUNK) and body == BODY
    record(f"client: {name}: {len(body)} of {ANSWER_BYTES} bytes, {'whole' if is_whole else 'CUT OFF'}")
    return is_whole


async def case(record: Record, folder: Path) -> bool:
    """Ask for large answers in chunks; clients must get all that the server gives."""

    async def answer(message: Message, writer: asyncio.StreamWriter) -> None:
        name = message.headers["request-id"]
        record(f"the server runs {name}, told to answer within {message.headers['request-timeout']} s")
        await asyncio.sleep(SERVICE_S)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for at in range(0, ANSWER_BYTES, PIECE_BYTES):
            piece = BODY[at : at + PIECE_BYTES]
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            if HAS_TROUBLE:
                await asyncio.sleep(PIECE_BYTES / BYTES_PER_S)
        writer.write(LAST_CHUNK)
        record(f"the server has given all of {name}")

    roster = await Roster().start()
    for name in ("s0", "s1"):
        roster.put(name, (await Server(name, answer).start()).address)
    classes = [service_class("amend", "idempotency_key", 2.0, promiseUs=600_000)]
    config = {"discovery": roster.address, "settings": settings(classes), "known": roster.snapshot()}
    sidecar = await Sidecar(folder, config).start()
    try:
        whole = [await read_answer(sidecar.port, f"r{number}", record) for number in range(REQUESTS)]
    finally:
        await sidecar.stop()
        record(f"log: {sidecar.log()}")
    return all(whole)


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).parent))
