"""The daemon as a process: its configuration, its event loop, its log and its exit codes."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
import sys
import time
from collections.abc import Callable

import uvloop

from micadeck.config import Config, ConfigError, ConfigUnreadableError, load
from micadeck.memory.monitor import MemoryMonitor
from micadeck.memory.resident import MB, anonymous_bytes
from micadeck.network import LoopNetwork
from micadeck.operations import HotRestart
from micadeck.operations.startup_retry import StartCancelledError, StartupRetry
from micadeck.policy import IS_COMPILED
from micadeck.sidecar import Sidecar
from micadeck.signals import ProcessSignals

EXIT_TOLD = 0
EXIT_NO_START = 1
EXIT_BAD_CONFIGURATION = 2
_LEAST_FOR_REQUESTS_MB = 2  # beside what the idle process takes
_LINES_PER_S = 20.0
_LINES_AT_ONCE = 200.0


class LineLog:
    """Writes lines to standard error, not more than so many a second: a log must not fill a disk."""

    def __init__(self, time: Callable[[], float]) -> None:
        self._time = time
        self._allowance = _LINES_AT_ONCE
        self._at = 0.0
        self._left_out = 0

    def __call__(self, text: str) -> None:
        now = self._time()
        self._allowance = min(self._allowance + (now - self._at) * _LINES_PER_S, _LINES_AT_ONCE)
        self._at = now
        if self._allowance < 1.0:
            self._left_out += 1
            return
        self._allowance -= 1.0
        if self._left_out:
            print(f"left out {self._left_out} lines", file=sys.stderr)
            self._left_out = 0
        print(text, file=sys.stderr, flush=True)


def reload(sidecar: Sidecar, log: LineLog) -> None:
    """Read the configuration anew; one that can't be used leaves the old one in force."""
    try:
        sidecar.reload(load(os.environ))
    except ConfigError as fault:
        sidecar.count_rejected_config()
        log(f"reload: the old configuration stays in force: {fault}".replace("\n", " "))


async def serve(config: Config, signals: ProcessSignals, began: Callable[[], None]) -> None:
    """Run until SIGTERM or SIGINT, then drain; SIGHUP reads the configuration anew.

    `began` is called first of all: from then on the event loop is known to work.
    """
    began()
    network = LoopNetwork()
    log = LineLog(network.time)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, what: log(f"internal error: {what['message']}: {what.get('exception')!r}")
    )
    if signals.ended_at is not None:
        _called_off(signals, log)
        return
    end = asyncio.Event()
    sidecar = Sidecar(config, network, log, hot_restart=HotRestart(os.environ.get("TMPDIR"), config.name))

    def read_anew() -> None:
        if not end.is_set():  # a process that ends has no use for it
            reload(sidecar, log)

    signals.attach(loop.call_soon_threadsafe, end.set, read_anew)
    keeper = MemoryMonitor(network, sidecar.memory, log, sidecar.count_memory)
    sidecar.memory_relief.on_level = keeper.log_level_change
    try:
        await sidecar.start(end.is_set)
    except StartCancelledError:
        sidecar.close()
        _called_off(signals, log)
        return
    door = sidecar.admin
    staff = f", operators on {config.operator[0]}:{door.port}" if door and config.operator else ""
    how = ", decisions compiled" if IS_COMPILED else ""
    log(f"{config.name} serves on {config.listen[0]}:{sidecar.frontend.port}{staff}{how}")
    gc.freeze()  # what is there now stays: collections need not look at it
    keeper.start()
    await end.wait()
    log("draining")
    await sidecar.stop(signals.ended_at)
    keeper.close()
    log("drained")
    signals.ignore()


def _called_off(signals: ProcessSignals, log: LineLog) -> None:
    log("told to end before the start: nothing was taken")
    signals.ignore()


def check_memory(config: Config) -> None:
    """Raise ConfigError where the idle process takes more than the limit that it is given."""
    taken_mb = -(-anonymous_bytes() // MB)
    if taken_mb > config.memory_mb:
        raise ConfigError(
            f"limits.memory_mb: {config.memory_mb} is less than the {taken_mb} MB of the idle process"
            f"; at least {taken_mb + _LEAST_FOR_REQUESTS_MB} are needed"
        )


def _wait(wait: StartupRetry, fault: OSError, text: str, signals: ProcessSignals) -> bool:
    """Wait before the next try, and say so once; False: it can't pass.  Raises StartCalledOff."""
    is_first = not wait.has_failed
    retry_s = wait.next_delay_s(fault, time.monotonic())
    if retry_s is None:
        return False
    if is_first:
        print(f"waits to start: {text}", file=sys.stderr, flush=True)
    if signals.ended_at is None:
        time.sleep(retry_s)
    if signals.ended_at is not None:
        raise StartCancelledError
    return True


def _configuration(signals: ProcessSignals) -> Config:
    """Read the configuration, and wait out a file that can't be read for a moment."""
    wait = StartupRetry(time.monotonic())
    while True:
        try:
            config = load(os.environ)
            check_memory(config)
            return config
        except ConfigUnreadableError as unread:
            if not _wait(wait, unread.fault, str(unread), signals):
                raise


def _working_loop() -> asyncio.AbstractEventLoop:
    """An event loop that was seen to run; raise OSError where the machine has no room for one.

    A loop that fails as it begins to run can be neither run again nor closed: what it takes is tried first.
    """
    for each in socket.socketpair():
        each.close()
    loop = uvloop.new_event_loop()
    loop.call_soon(loop.stop)
    loop.run_forever()
    return loop


def _run_loop(config: Config, signals: ProcessSignals) -> None:
    """Serve on an event loop, and wait out one that can't be made for a moment."""
    wait = StartupRetry(time.monotonic())
    has_begun = False

    def began() -> None:
        nonlocal has_begun
        has_begun = True

    while True:
        try:
            with asyncio.Runner(loop_factory=_working_loop) as runner:
                runner.run(serve(config, signals, began))
            return
        except OSError as fault:
            if has_begun or not _wait(wait, fault, f"event loop: {fault}", signals):
                raise


def run(signals: ProcessSignals) -> int:
    """Load the configuration and serve; give the exit code."""
    try:
        _run_loop(_configuration(signals), signals)
    except ConfigError as fault:
        print(f"micadeck: config: {fault}".replace("\n", " "), file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except StartCancelledError:
        print("told to end before the start: nothing was taken", file=sys.stderr)
    except OSError as fault:
        print(f"micadeck: can't listen: {fault}", file=sys.stderr)
        return EXIT_NO_START
    by = signals.ended_by.name if signals.ended_by is not None else "nobody"
    print(f"ended: code {EXIT_TOLD}, told by {by}", file=sys.stderr, flush=True)
    return EXIT_TOLD
