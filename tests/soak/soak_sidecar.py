"""The program with machine faults: `python soak_sidecar.py FOLDER ACCEPT_ERRORS SEED`.

The wall clock is off by the seconds that the file `clock` of the folder holds, and `accept` fails with the
given probability in one of the ways that Linux documents.
"""

from __future__ import annotations

import errno
import random
import socket
import sys
import time
from pathlib import Path
from typing import Any

from micadeck.__main__ import main

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


if __name__ == "__main__":
    step_clock(Path(sys.argv[1]))
    if float(sys.argv[2]) > 0.0:
        fail_accept(float(sys.argv[2]), sys.argv[3])
    sys.exit(main())
