"""Time limits on clients' connections: every descriptor that a client holds for nothing is another's."""

from __future__ import annotations

from micadeck.http.connection_limits import ConnectionState, DownstreamLimits
from micadeck.http.connection_table import ConnectionTable
from micadeck.http.downstream_connection import DownstreamConnection
from micadeck.http.idle_connections import idle_timeout_s
from micadeck.network import Network, Timer


class TimeoutSweeper:
    """Closes, at short intervals, the connections that have taken too long."""

    def __init__(self, table: ConnectionTable, limits: DownstreamLimits, network: Network) -> None:
        self._table = table
        self._limits = limits
        self._network = network
        self._timer: Timer | None = None

    def start(self) -> None:
        """Sweep now and then from here on."""
        self._timer = self._network.call_later(self._limits.sweep_s, self._sweep)

    def stop(self) -> None:
        """Sweep no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _sweep(self) -> None:
        self.start()  # whatever comes of this one
        now = self._network.time()
        self._close_late_heads(now)
        self._reject_late_bodies(now)
        self._end_abandoned(now)
        self._close_idle(now)
        self._cut_lingering(now)

    def _close_late_heads(self, now: float) -> None:
        for each in self._table.in_state(ConnectionState.NEW):
            if now - each.since >= self._limits.header_timeout_s:
                each.close()
        for each in self._table.in_state(ConnectionState.READING):
            if now - each.since >= self._limits.header_timeout_s and not each.has_head:
                each.reject(408)

    def _reject_late_bodies(self, now: float) -> None:
        reading = self._table.in_state(ConnectionState.READING)
        for each in [*reading, *self._table.in_state(ConnectionState.UPLOADING)]:
            if each.has_head and each.is_waiting_for_more and self._is_late(each, now):
                each.reject(408)

    def _is_late(self, connection: DownstreamConnection, now: float) -> bool:
        """Whether a body is late: it comes at its pace, as long as it comes at all."""
        limits = self._limits
        allowed_s = limits.request_timeout_s + connection.received_bytes / limits.min_bytes_per_s
        return now - connection.since >= allowed_s or now - connection.received_at >= limits.stall_s

    def _end_abandoned(self, now: float) -> None:
        """End those that take nothing of their answer, or whose client has left unseen."""
        for each in self._table.in_state(ConnectionState.SERVING):
            if each.blocked_since is not None and now - each.blocked_since >= self._limits.reading_s:
                each.cut()
        serving = self._table.in_state(ConnectionState.SERVING)
        for each in [*serving, *self._table.in_state(ConnectionState.UPLOADING)]:
            if each.has_left:
                each.leave()

    def _close_idle(self, now: float) -> None:
        table = self._table
        idle_s = idle_timeout_s(self._limits.idle_timeout_s, len(table), table.max_connections)
        for each in table.in_state(ConnectionState.IDLE):
            if now - each.since < idle_s:
                break  # they stand in the order in which they became idle
            if each.is_idle:
                each.close()
            elif each.has_unsent:
                each.cut()  # else a request lies unread, and is read in the next round

    def _cut_lingering(self, now: float) -> None:
        limits = self._limits
        for each in self._table.in_state(ConnectionState.CLOSING):
            if each.has_unsent and now - each.since < limits.reading_s:
                continue  # its last answer still goes out
            lingers = now - each.since < each.linger_s
            is_uploading = each.linger_s > limits.linger_s
            if not lingers or (is_uploading and now - each.received_at >= limits.linger_s):
                each.cut()
