"""The program with machine faults: `python soak_sidecar.py FOLDER ACCEPT_ERRORS SEED SMALL_BUFFERS`.

The wall clock is off by the seconds that the file `clock` of the folder holds, and `accept` fails with the
given probability in one of the ways that Linux documents.  With SMALL_BUFFERS of 1 the kernel takes little
of what it writes at once.
"""

from __future__ import annotations

import asyncio
import errno
import os
import random
import socket
import sys
import time
from pathlib import Path
from typing import Any

from micadeck.__main__ import main
from micadeck.http.client import ClientConnection

SMALL_BUFFER_BYTES = 16 << 10
_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EPROTO, errno.EINTR)


def step_clock(folder: Path) -> None:
    """Offset the wall clock by the file's seconds."""
    real = time.time_ns
    clock = folder / "clock"

    def stepped() -> int:
        return real() + int(float(clock.read_text()) * 1e9)

    time.time_ns = stepped


def fail_accept(probability: float, seed: str) -> None:
    """Fail `accept` with this probability, whether or not a connection is waiting."""
    rng = random.Random(seed)
    real = socket.socket.accept

    def accept(self: socket.socket) -> tuple[socket.socket, Any]:
        if rng.random() < probability:
            raise OSError(rng.choice(_ERRORS), "drawn")
        return real(self)

    socket.socket.accept = accept  # type: ignore[method-assign]


def shrink_buffers() -> None:
    """Give accepted connections, and those to servers, small send buffers in the kernel."""
    real_accept, real_made = socket.socket.accept, ClientConnection.connection_made

    def accept(self: socket.socket) -> tuple[socket.socket, Any]:
        accepted, address = real_accept(self)
        _shrink(accepted)
        return accepted, address

    def connection_made(self: ClientConnection, transport: asyncio.BaseTransport) -> None:
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as own:
            _shrink(own)
        real_made(self, transport)

    socket.socket.accept = accept  # type: ignore[method-assign]
    ClientConnection.connection_made = connection_made  # type: ignore[method-assign]


def _shrink(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)


if __name__ == "__main__":
    if sys.argv[4] == "1":
        shrink_buffers()
    step_clock(Path(sys.argv[1]))
    if float(sys.argv[2]) > 0.0:
        fail_accept(float(sys.argv[2]), sys.argv[3])
    sys.exit(main())
