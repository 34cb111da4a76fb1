"""Timeouts of client connections, so that stalled clients don't use up the descriptors of others."""

from __future__ import annotations

from micadeck.http.connection_limits import ConnectionState, DownstreamLimits
from micadeck.http.connection_table import ConnectionTable
from micadeck.http.downstream_connection import DownstreamConnection
from micadeck.http.idle_connections import idle_timeout_s
from micadeck.network import Network, Timer


class TimeoutSweeper:
    """Checks all connections periodically and closes those that timed out."""

    def __init__(self, table: ConnectionTable, limits: DownstreamLimits, network: Network) -> None:
        self._table = table
        self._limits = limits
        self._network = network
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start the periodic sweep."""
        self._timer = self._network.call_later(self._limits.sweep_s, self._sweep)

    def stop(self) -> None:
        """Stop sweeping."""
        if self._timer is not None:
            self._timer.cancel()

    def _sweep(self) -> None:
        self.start()  # first, so that an exception below doesn't stop the sweeps
        now = self._network.time()
        self._close_late_heads(now)
        for connection in self._table.in_state(ConnectionState.UPLOADING):
            connection.check_upload_time(now)
        self._reject_late_bodies(now)
        self._abort_abandoned(now)
        self._close_idle(now)
        self._abort_lingering(now)

    def _close_late_heads(self, now: float) -> None:
        for connection in self._table.in_state(ConnectionState.NEW):
            if now - connection.since >= self._limits.header_timeout_s:
                connection.close()
        for connection in self._table.in_state(ConnectionState.READING):
            if now - connection.since >= self._limits.header_timeout_s and not connection.has_head:
                connection.reject(408)

    def _reject_late_bodies(self, now: float) -> None:
        reading = self._table.in_state(ConnectionState.READING)
        for connection in [*reading, *self._table.in_state(ConnectionState.UPLOADING)]:
            if connection.has_head and connection.is_waiting_for_client and self._is_late(connection, now):
                connection.reject(408)

    def _is_late(self, connection: DownstreamConnection, now: float) -> bool:
        """Whether a body is slower than the minimum rate, or stalled."""
        limits = self._limits
        allowed_s = limits.request_timeout_s + connection.received_bytes / limits.min_bytes_per_s
        return now - connection.since >= allowed_s or now - connection.received_at >= limits.stall_s

    def _abort_abandoned(self, now: float) -> None:
        """Abort connections whose client does not read its answer or has disconnected."""
        for connection in self._table.in_state(ConnectionState.SERVING):
            if (
                connection.blocked_since is not None
                and now - connection.blocked_since >= self._limits.write_stall_s
            ):
                connection.abort()
        serving = self._table.in_state(ConnectionState.SERVING)
        for connection in [*serving, *self._table.in_state(ConnectionState.UPLOADING)]:
            if connection.has_unread_eof:
                connection.abort_disconnected()

    def _close_idle(self, now: float) -> None:
        table = self._table
        idle_s = idle_timeout_s(self._limits.idle_timeout_s, len(table), table.max_connections)
        for connection in table.in_state(ConnectionState.IDLE):
            if now - connection.since < idle_s:
                break  # they are in the order in which they became idle
            if connection.is_idle:
                connection.close()
            elif connection.has_unsent:
                connection.abort()  # otherwise an unread request is read in the next loop iteration

    def _abort_lingering(self, now: float) -> None:
        limits = self._limits
        for connection in self._table.in_state(ConnectionState.CLOSING):
            if connection.has_unsent and now - connection.since < limits.write_stall_s:
                continue  # its last answer is still being sent
            lingers = now - connection.since < connection.linger_s
            is_uploading = connection.linger_s > limits.linger_s
            if not lingers or (is_uploading and now - connection.received_at >= limits.linger_s):
                connection.abort()
