"""Shuts sockets down while a system call fails; prints what their peers read and how many stay open."""

from __future__ import annotations

import asyncio
import os
import socket

import uvloop

from micadeck.network.stream_socket import StreamSocket

CONNECTIONS = 10


async def shut_down() -> bytes:
    """Return what the peer of a connection reads that is shut down."""
    ours, peer = socket.socketpair()
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(asyncio.Protocol, sock=ours)
    StreamSocket(transport).shutdown(discard_unsent=False)
    peer.settimeout(0.0)
    try:
        return peer.recv(1)
    except BlockingIOError:
        return b"the connection is still open"
    finally:
        transport.abort()
        peer.close()
        await asyncio.sleep(0.01)  # the event loop closes its socket


async def main() -> None:
    await shut_down()  # opens what the event loop keeps
    before = len(os.listdir("/proc/self/fd"))
    ends = {await shut_down() for _ in range(CONNECTIONS)}
    print(ends, len(os.listdir("/proc/self/fd")) - before)


uvloop.run(main())
