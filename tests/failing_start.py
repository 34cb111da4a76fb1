"""Runs the program with a call that fails for a while: `python failing_start.py CALL ERRNO SECONDS`."""

from __future__ import annotations

import os
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop

from micadeck.__main__ import main

CALLS = {
    "socket": (socket.socket, "__init__"),
    "bind": (socket.socket, "bind"),
    "listen": (socket.socket, "listen"),
    "setsockopt": (socket.socket, "setsockopt"),
    "getsockname": (socket.socket, "getsockname"),
    "read": (Path, "read_bytes"),
    "loop": (uvloop, "new_event_loop"),  # its epoll descriptor and its own pipes
}


def fail(call: str, number: int, until: float) -> None:
    """Make a call fail with this errno until a time of the monotonic clock."""
    owner, name = CALLS[call]
    real: Callable[..., Any] = getattr(owner, name)

    def failing(*args: Any, **kwargs: Any) -> Any:
        if time.monotonic() < until:
            raise OSError(number, os.strerror(number))
        return real(*args, **kwargs)

    setattr(owner, name, failing)


if __name__ == "__main__":
    fail(sys.argv[1], int(sys.argv[2]), time.monotonic() + float(sys.argv[3]))
    sys.exit(main())
