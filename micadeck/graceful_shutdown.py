"""Graceful shutdown of the HTTP daemon, and the drain of client connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from micadeck.engine import Engine
from micadeck.http.listener import HttpListener
from micadeck.network import Network
from micadeck.operations import ConnectionsToClose, Lifecycle
from micadeck.operations.shutdown_budget import CLIENT_FLUSH_S, KILL_GRACE_S, answer_deadline

if TYPE_CHECKING:
    from micadeck.mysql.service import MysqlService

_POLL_S = 0.01
_NEW_CONNECTIONS_S = 0.4  # after SIGTERM, clients may still open connections
_QUIET_PERIOD_S = 0.05  # without a new connection, before the listener closes


async def drain_engine(network: Network, engine: Engine, timeout_s: float) -> None:
    """Wait until all requests are answered; fail those that are not after `timeout_s`."""
    deadline = network.time() + timeout_s
    engine.set_drain_deadline(network.now() + int(timeout_s * 1e6))
    while engine.unanswered_requests and network.time() < deadline:
        await network.sleep(_POLL_S)
    engine.fail_open_requests()


class ConnectionDrain:
    """Closes client connections in a background task while the process is draining."""

    def __init__(self, network: Network, lifecycle: Lifecycle, listener: HttpListener) -> None:
        """Drain the connections of `listener` for as long as `lifecycle` is draining."""
        self._network = network
        self._lifecycle = lifecycle
        self._listener = listener
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task, unless it is running."""
        if self._task is None or self._task.done():
            self._task = self._network.spawn(self._run())

    def close(self) -> None:
        """Cancel the task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while self._lifecycle.is_draining:
            which = self._lifecycle.connections_to_close(self._network.time())
            if which is ConnectionsToClose.SAFE_IDLE:
                self._listener.connections.close_idle()
            elif which is ConnectionsToClose.ALL_IDLE:
                self._listener.connections.close_without_pending_answer()
            await self._network.sleep(_POLL_S)


class GracefulShutdown:
    """Answers all accepted requests and those still arriving, then closes client connections.

    `Lifecycle` owns the phase of the process; this class keeps no state between the steps.
    """

    def __init__(
        self, network: Network, engine: Engine, listener: HttpListener, mysql: MysqlService | None
    ) -> None:
        """Shut these down, in the order of `run`."""
        self._network = network
        self._engine = engine
        self._listener = listener
        self._mysql = mysql

    async def run(
        self,
        requested_at: float | None,
        deadlines_s: Iterable[float],
        enter_stopping: Callable[[float], None],
    ) -> None:
        """Run all steps.

        Args:
            requested_at: When the end was requested, on the network's clock in seconds; None: now.  The time
                until SIGKILL counts from then, however late the event loop reacts.
            deadlines_s: The deadlines of the service classes, in seconds.
            enter_stopping: Enters the stopping phase; gets `requested_at`, or now.
        """
        network, engine, listener = self._network, self._engine, self._listener
        started = network.time() if requested_at is None else requested_at
        answers_due = answer_deadline(started, deadlines_s)
        left_s = max(answers_due - network.time(), 0.0)
        engine.set_drain_deadline(network.now() + int(left_s * 1e6))
        enter_stopping(started)
        mysql_drain = network.spawn(self._mysql.drain(left_s)) if self._mysql is not None else None
        await self._await_last_connections(started, min(started + KILL_GRACE_S, answers_due))
        listener.stop_listening()
        while self._has_work() and network.time() < answers_due:
            await network.sleep(_POLL_S)
        engine.fail_open_requests()
        if mysql_drain is not None:
            await mysql_drain
        listener.connections.close_all()
        # Wait until clients have received their last answers and closed their side.
        while len(listener.connections) and network.time() < answers_due + CLIENT_FLUSH_S:
            await network.sleep(_POLL_S)

    async def _await_last_connections(self, started: float, latest: float) -> None:
        """Wait until clients open no more connections, at most until `latest`."""
        network = self._network
        await network.sleep(max(started + _NEW_CONNECTIONS_S - network.time(), 0.0))
        while network.time() < min(self._listener.connections.last_opened_at + _QUIET_PERIOD_S, latest):
            await network.sleep(_QUIET_PERIOD_S / 2)

    def _has_work(self) -> bool:
        """Whether a request is unanswered, or a client may still send one."""
        listener = self._listener
        return bool(self._engine.unanswered_requests or len(listener.connections) or listener.is_accepting)
