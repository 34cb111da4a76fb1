"""The program, with a system call that fails for a while as its event loop starts to serve.

`LD_PRELOAD=SHIM SHIM_CALL=epoll_ctl SHIM_ERRNO=12 python failing_begin.py SHIM SECONDS`.
"""

from __future__ import annotations

import asyncio
import ctypes
import sys
from typing import Any

from micadeck.__main__ import main

_original_run = asyncio.Runner.run
_started: list[asyncio.Runner] = []


def run(runner: asyncio.Runner, work: Any, **named: Any) -> Any:
    runner.get_loop()  # by now the loop has run once without an error
    if not _started:
        ctypes.CDLL(sys.argv[1]).fail_from_now(ctypes.c_double(float(sys.argv[2])))
    _started.append(runner)
    return _original_run(runner, work, **named)


if __name__ == "__main__":
    asyncio.Runner.run = run  # type: ignore[method-assign, assignment]
    sys.exit(main())
