"""The daemon's process: start with retries, event loop, signals and exit codes."""

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
from micadeck.rate_limited_log import RateLimitedLog
from micadeck.sidecar import Sidecar
from micadeck.signals import ProcessSignals

EXIT_OK = 0
EXIT_NO_START = 1
EXIT_BAD_CONFIGURATION = 2
_MIN_REQUEST_MEMORY_MB = 2  # on top of the idle process's memory
# Kept: a loop that failed as it ran can't be closed, and owns the descriptor that signals are written to.
_created_loops: list[asyncio.AbstractEventLoop] = []


def reload(sidecar: Sidecar, log: RateLimitedLog, requested_at: float | None = None) -> None:
    """Reload the configuration; if the new one is invalid, the old one stays in force."""
    try:
        sidecar.reload(load(os.environ), requested_at)
    except ConfigError as error:
        sidecar.count_rejected_config()
        log(f"reload: the old configuration stays in force: {error}".replace("\n", " "))


async def serve(config: Config, signals: ProcessSignals, on_loop_running: Callable[[], None]) -> None:
    """Run until SIGTERM or SIGINT, then drain; SIGHUP reloads the configuration.

    Args:
        config: The configuration.
        signals: The signals of the process.
        on_loop_running: Called first, once the event loop is known to work.
    """
    on_loop_running()
    network = LoopNetwork()
    log = RateLimitedLog(network.time)
    loop = _running_loop(log)
    if signals.ended_at is not None:
        _log_cancelled_start(signals, log)
        return
    end = asyncio.Event()
    hot_restart = HotRestart(os.environ.get("TMPDIR"), config.name)
    sidecar = Sidecar(config, network, log, hot_restart=hot_restart)

    def reload_unless_ending() -> None:
        if not end.is_set():
            reload(sidecar, log, signals.reload_requested_at)

    signals.attach(loop.call_soon_threadsafe, end.set, reload_unless_ending)
    monitor = MemoryMonitor(network, sidecar.memory, log, sidecar.count_memory)
    sidecar.memory_relief.on_level_change = monitor.log_level_change
    try:
        await sidecar.start(end.is_set)
    except StartCancelledError:
        sidecar.close()
        _log_cancelled_start(signals, log)
        return
    except OSError:
        sidecar.close()
        raise
    _log_start(sidecar, config, log)
    gc.freeze()  # these objects live as long as the process: collections skip them
    monitor.start()
    await end.wait()
    log("draining")
    await sidecar.stop(signals.ended_at)
    monitor.close()
    log("drained")
    signals.ignore()


def _running_loop(log: RateLimitedLog) -> asyncio.AbstractEventLoop:
    """The event loop, with logging of unhandled exceptions."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: log(f"internal error: {context['message']}: {context.get('exception')!r}")
    )
    return loop


def _log_start(sidecar: Sidecar, config: Config, log: RateLimitedLog) -> None:
    admin = ""
    if sidecar.admin is not None and config.operator is not None:
        admin = f", operators on {config.operator[0]}:{sidecar.admin.port}"
    compiled = ", decisions compiled" if IS_COMPILED else ""
    log(f"{config.name} serves on {config.listen[0]}:{sidecar.listener.port}{admin}{compiled}")


def _log_cancelled_start(signals: ProcessSignals, log: RateLimitedLog) -> None:
    log("startup: cancelled by a signal; no request was accepted")
    signals.ignore()


def check_memory(config: Config) -> None:
    """Check the memory limit against the memory of the idle process.

    Raises:
        ConfigError: The idle process uses more.
    """
    idle_mb = -(-anonymous_bytes() // MB)
    if idle_mb > config.memory_mb:
        raise ConfigError(
            "limits.memory_mb",
            f"{config.memory_mb} is less than the {idle_mb} MB of the idle process"
            f"; at least {idle_mb + _MIN_REQUEST_MEMORY_MB} are needed",
        )


def _wait_for_retry(retry: StartupRetry, error: OSError, text: str, signals: ProcessSignals) -> bool:
    """Wait before the next attempt to start; log only the first wait.

    Returns:
        Whether to try again.

    Raises:
        StartCancelledError: A signal ends the process.
    """
    is_first = not retry.has_failed
    retry_s = retry.next_delay_s(error, time.monotonic())
    if retry_s is None:
        return False
    if is_first:
        print(f"startup: retrying: {text}", file=sys.stderr, flush=True)
    if signals.ended_at is None:
        time.sleep(retry_s)
    if signals.ended_at is not None:
        raise StartCancelledError
    return True


def _load_config(signals: ProcessSignals) -> Config:
    """Read the configuration; retry while the file can't be read."""
    retry = StartupRetry(time.monotonic())
    while True:
        try:
            config = load(os.environ)
        except ConfigUnreadableError as error:
            if not _wait_for_retry(retry, error.os_error, str(error), signals):
                raise
        else:
            check_memory(config)
            return config


def _new_event_loop() -> asyncio.AbstractEventLoop:
    """Create an event loop, and run it once.

    A loop that fails as it begins to run can be neither run again nor closed: a socket pair is tried first.

    Raises:
        OSError: The system lacks descriptors or memory.
    """
    for end in socket.socketpair():
        end.close()
    loop = uvloop.new_event_loop()
    _created_loops.append(loop)
    loop.call_soon(loop.stop)
    loop.run_forever()
    return loop


def _run_loop(config: Config, signals: ProcessSignals) -> None:
    """Serve on an event loop; retry while one can't be created or fails as it begins to run."""
    retry = StartupRetry(time.monotonic())
    has_run = False

    def on_loop_running() -> None:
        nonlocal has_run
        has_run = True

    while True:
        runner = asyncio.Runner(loop_factory=_new_event_loop)
        try:
            runner.get_loop()  # creates the loop
            runner.run(serve(config, signals, on_loop_running))
        except OSError as error:
            if has_run:
                runner.close()
                raise
            if not _wait_for_retry(retry, error, f"event loop: {error}", signals):
                raise
        except BaseException:
            runner.close()
            raise
        else:
            runner.close()
            return


def run(signals: ProcessSignals) -> int:
    """Load the configuration and serve; return the exit code."""
    try:
        _run_loop(_load_config(signals), signals)
    except ConfigError as error:
        print(f"micadeck: config: {error}".replace("\n", " "), file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    except StartCancelledError:
        print("startup: cancelled by a signal; no request was accepted", file=sys.stderr)
    except OSError as error:
        print(f"micadeck: can't listen: {error}", file=sys.stderr)
        return EXIT_NO_START
    signal_name = signals.ended_by.name if signals.ended_by is not None else "no signal"
    print(f"ended: code {EXIT_OK}, received {signal_name}", file=sys.stderr, flush=True)
    return EXIT_OK
