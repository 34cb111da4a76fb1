"""Client connections by state: which are evicted for new ones, and the memory of their requests.

Owns the state of every connection, the order within each state, and the bytes of unanswered requests.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice

from micadeck.http.buffer_budget import BufferBudget
from micadeck.http.connection_limits import ConnectionState, DownstreamLimits
from micadeck.http.downstream_connection import DownstreamConnection
from micadeck.http.idle_connections import IdleConnections
from micadeck.memory.budget import MemoryUse
from micadeck.network import Network


class ConnectionTable:
    """All client connections, at most `max_connections`."""

    def __init__(self, limits: DownstreamLimits, network: Network, budget: BufferBudget) -> None:
        self.max_connections = 0  # set by the sidecar from the descriptor limit
        self.last_opened_at = 0.0  # seconds on the network's clock
        self._limits = limits
        self._network = network
        self._budget = budget
        self._by_state: dict[ConnectionState, dict[DownstreamConnection, None]] = {
            state: {} for state in ConnectionState
        }
        self._idle: IdleConnections[DownstreamConnection] = IdleConnections()
        self._held_bytes = 0

    def __len__(self) -> int:
        return sum(len(connections) for connections in self._by_state.values())

    def __iter__(self) -> Iterator[DownstreamConnection]:
        for connections in self._by_state.values():
            yield from connections

    def in_state(self, state: ConnectionState) -> list[DownstreamConnection]:
        """The connections in a state, in the order in which they entered it; thread-safe."""
        return list(self._by_state[state])

    # What connections report

    def add(self, connection: DownstreamConnection) -> None:
        """Add a new connection, or abort it if the table is full and nothing can be evicted."""
        self.last_opened_at = connection.since = self._network.time()
        if len(self) >= self.max_connections and not self._evict_one():
            connection.state = ConnectionState.CLOSING
            connection.abort()
            return
        self._by_state[ConnectionState.NEW][connection] = None

    def move(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Move a connection to another state."""
        before = connection.state
        if state is before:
            return
        self._by_state[before].pop(connection, None)
        self._by_state[state][connection] = None
        connection.state = state
        if state is ConnectionState.READING:
            if before is ConnectionState.NEW:
                return  # its timeout runs from the connect
            if before is ConnectionState.IDLE:
                self._idle.record_reuse(connection)
        connection.since = self._network.time()
        if state is ConnectionState.IDLE or state is ConnectionState.CLOSING:
            self.release_memory(connection)
        if state is ConnectionState.IDLE:
            self._idle.record_idle(connection, connection.answers, self.max_connections)
            if self._idle.excess(self.max_connections):
                # In the next loop iteration, so that a request received together with the last one is seen.
                self._network.call_soon(self._close_excess_idle)

    def remove(self, connection: DownstreamConnection) -> None:
        """Remove a closed connection."""
        self._by_state[connection.state].pop(connection, None)
        self._idle.record_closed(connection)
        self.release_memory(connection)

    # Memory

    def hold_memory(self, connection: DownstreamConnection, cost: int) -> None:
        """Set the memory charged for a connection's requests.

        Above the limit, the oldest partial requests are rejected, as many clients may each send a part of a
        large request and then stop.

        Args:
            connection: The connection.
            cost: The memory of all its requests, in bytes.
        """
        self._set_held(connection, cost)
        while self._held_bytes > self._limits.max_bytes and self.reject_oldest_partial():
            pass

    def release_memory(self, connection: DownstreamConnection) -> None:
        """Stop charging memory for a connection."""
        self._set_held(connection, 0)

    def _set_held(self, connection: DownstreamConnection, cost: int) -> None:
        more = cost - connection.held_bytes
        if not more:
            return
        connection.held_bytes = cost
        self._held_bytes += more
        if self._budget.memory is not None:
            self._budget.memory.charge(MemoryUse.REQUESTS, more)

    @property
    def partial_requests(self) -> int:
        """Number of connections with a partial request."""
        return len(self._by_state[ConnectionState.READING])

    @property
    def flushing_answers(self) -> int:
        """Number of answers received completely and still being sent; thread-safe."""
        return sum(connection.is_flushing_answer for connection in self.in_state(ConnectionState.SERVING))

    def reject_oldest_partial(self) -> bool:
        """Reject the oldest partial request; return False if there is none."""
        oldest = next(self._partial(), None)
        if oldest is None:
            return False
        oldest.reject(503)
        return True

    def _partial(self) -> Iterator[DownstreamConnection]:
        """Connections with nothing but a partial request, oldest first."""
        return (
            connection
            for connection in self._by_state[ConnectionState.READING]
            if not connection.has_complete_request
        )

    # Closing idle connections

    def close_idle(self) -> None:
        """Close idle connections, except new ones whose first request may be on its way."""
        new_since = self._network.time() - self._limits.first_request_grace_s
        for connection in [connection for connection in self if connection.is_idle]:
            if connection.state is not ConnectionState.NEW or connection.since <= new_since:
                connection.close()

    def close_without_pending_answer(self) -> None:
        """Close every connection without a pending answer or a started request.

        One with an unread request stays: it is read in the next loop iteration, and closed by its answer.
        """
        for state in (ConnectionState.IDLE, ConnectionState.NEW):
            for connection in self.in_state(state):
                if connection.has_unsent:
                    connection.abort()
                elif connection.is_idle:
                    connection.close()

    def close_all(self) -> None:
        """Close every connection, once no answer is pending."""
        for connection in list(self):
            connection.close()

    def trim(self) -> None:
        """Close idle connections above `max_connections`, the longest idle first."""
        idle = (connection for connection in self.in_state(ConnectionState.IDLE) if connection.is_idle)
        for connection in islice(idle, max(len(self) - self.max_connections, 0)):
            connection.close()

    def _close_excess_idle(self) -> None:
        """Close single-use idle connections above their share, except those with an unread request.

        Clients that send one request per connection and keep it have limits of their own: once all they may
        hold are idle here, they can't send until some are closed.
        """
        idle = (connection for connection in self._idle.closable(self.max_connections) if connection.is_idle)
        for connection in list(islice(idle, self._idle.excess(self.max_connections))):
            self._idle.record_closed(connection)
            connection.close()

    # Eviction

    def _evict_one(self) -> bool:
        """Abort the connection of lowest value, never one whose client reads a pending answer.

        Returns:
            Whether there was one.
        """
        evicted = next(self._by_eviction_order(), None)
        if evicted is None:
            return False
        self._by_state[evicted.state].pop(evicted)
        evicted.abort()
        return True

    def _by_eviction_order(self) -> Iterator[DownstreamConnection]:
        by_state = self._by_state
        now = self._network.time()
        new_since, unsent_since = now - self._limits.first_request_grace_s, now - self._limits.stall_s
        return chain(
            (connection for connection in by_state[ConnectionState.CLOSING] if not connection.has_unsent),
            # New connections have a grace period: the first request may be on its way, and would stay
            # unanswered although idle connections could be closed instead.
            (
                connection
                for connection in islice(by_state[ConnectionState.NEW], 1)
                if connection.since <= new_since
            ),
            (connection for connection in by_state[ConnectionState.IDLE] if connection.is_idle),
            # Otherwise clients with requests that never end could occupy the whole table, and new clients
            # would be aborted.
            self._oldest_without_request(),
            # Guards against endless bodies; no server has started on an incomplete request.
            by_state[ConnectionState.UPLOADING],
            # The last answer is not sent completely: evicted late, and only after the stall timeout.
            (
                connection
                for connection in by_state[ConnectionState.CLOSING]
                if connection.since <= unsent_since
            ),
            # Clients that request large answers and don't read them are evicted last.
            self._longest_blocked(unsent_since),
        )

    def _longest_blocked(self, blocked_before: float) -> Iterator[DownstreamConnection]:
        """The connection blocked longest, if its client has read nothing since `blocked_before`."""
        blocked = [
            (connection.blocked_since, number, connection)
            for number, connection in enumerate(self._by_state[ConnectionState.SERVING])
            if connection.blocked_since is not None and connection.blocked_since <= blocked_before
        ]
        if blocked:
            yield min(blocked)[2]

    def _oldest_without_request(self) -> list[DownstreamConnection]:
        """The oldest connection without a complete request."""
        first = [*islice(self._by_state[ConnectionState.NEW], 1), *islice(self._partial(), 1)]
        return [min(first, key=lambda connection: connection.since)] if first else []
