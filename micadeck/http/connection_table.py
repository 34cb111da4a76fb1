"""The open connections of clients by state: which are closed to make room, and what memory they hold.

Owns the state of every connection, their order in it, and the bytes that their unanswered requests cost.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice

from micadeck.http.body_stream import BufferBudget
from micadeck.http.connection_limits import ConnectionState, DownstreamLimits
from micadeck.http.downstream_connection import DownstreamConnection
from micadeck.http.idle_connections import IdleConnections
from micadeck.memory.budget import MemoryUse
from micadeck.network import Network


class ConnectionTable:
    """All connections of clients, never more than `max_connections`."""

    def __init__(self, limits: DownstreamLimits, network: Network, budget: BufferBudget) -> None:
        self.max_connections = 0  # set by whoever knows how many descriptors there are
        self.last_opened_at = 0.0  # seconds on the network's clock
        self._limits = limits
        self._network = network
        self._budget = budget
        self._by_state: dict[ConnectionState, dict[DownstreamConnection, None]] = {
            each: {} for each in ConnectionState
        }
        self._idle: IdleConnections[DownstreamConnection] = IdleConnections()
        self._held_bytes = 0

    def __len__(self) -> int:
        return sum(len(each) for each in self._by_state.values())

    def __iter__(self) -> Iterator[DownstreamConnection]:
        for each in self._by_state.values():
            yield from each

    def in_state(self, state: ConnectionState) -> list[DownstreamConnection]:
        """The connections in a state, the one that came to it first in front; any thread may ask."""
        return list(self._by_state[state])

    # What connections report

    def add(self, connection: DownstreamConnection) -> None:
        """Take a new connection in, or cut it where there is no room for it."""
        self.last_opened_at = connection.since = self._network.time()
        if len(self) >= self.max_connections and not self._make_room():
            connection.state = ConnectionState.CLOSING
            connection.cut()
            return
        self._by_state[ConnectionState.NEW][connection] = None

    def move(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Put a connection into another state."""
        before = connection.state
        if state is before:
            return
        self._by_state[before].pop(connection, None)
        self._by_state[state][connection] = None
        connection.state = state
        if state is ConnectionState.READING:
            if before is ConnectionState.NEW:
                return  # its time runs from the connection on
            if before is ConnectionState.IDLE:
                self._idle.used_again(connection)
        connection.since = self._network.time()
        if state is ConnectionState.IDLE or state is ConnectionState.CLOSING:
            self.release_memory(connection)
        if state is ConnectionState.IDLE:
            self._idle.became_idle(connection, connection.answers, self.max_connections)
            if self._idle.excess(self.max_connections):
                # After this round, so that a request that came in one piece with the last one is seen.
                self._network.call_soon(self._close_excess_idle)

    def remove(self, connection: DownstreamConnection) -> None:
        """Forget a connection that has ended."""
        self._by_state[connection.state].pop(connection, None)
        self._idle.closed(connection)
        self.release_memory(connection)

    # Memory

    def hold_memory(self, connection: DownstreamConnection, cost: int) -> None:
        """Count what a connection's requests cost of memory.

        Over the limit, the oldest partial request is rejected.  Guards against many clients that each send a
        part of a large request, and no more.

        Args:
            connection: Whose requests they are.
            cost: All of them together, in bytes.
        """
        self._set_held(connection, cost)
        while self._held_bytes > self._limits.max_bytes and self.reject_oldest_partial():
            pass

    def release_memory(self, connection: DownstreamConnection) -> None:
        """Count nothing for a connection any more."""
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
        """How many connections there are on which a request has come in part."""
        return len(self._by_state[ConnectionState.READING])

    @property
    def unsent_bytes(self) -> int:
        """How much clients have not taken of their answers."""
        return sum(each.unsent_bytes for each in self)

    @property
    def trailing_answers(self) -> int:
        """Answers that servers have sent completely and clients have not; any thread may ask."""
        return sum(each.is_trailing for each in self.in_state(ConnectionState.SERVING))

    def reject_oldest_partial(self) -> bool:
        """Reject the request that has been partly sent for longest; say whether there was one."""
        oldest = next(self._partial(), None)
        if oldest is None:
            return False
        oldest.reject(503)
        return True

    def _partial(self) -> Iterator[DownstreamConnection]:
        """Connections on which only a part of a request has come, the oldest first."""
        return (each for each in self._by_state[ConnectionState.READING] if not each.has_complete_request)

    # Closing what is idle

    def close_idle(self) -> None:
        """Close idle connections; one that has just connected has its request on the way."""
        new_since = self._network.time() - self._limits.greeting_s
        for each in [each for each in self if each.is_idle]:
            if each.state is not ConnectionState.NEW or each.since <= new_since:
                each.close()

    def close_unowed(self) -> None:
        """Close every connection on which no answer is due and no request has begun.

        One with a request unread is left for now: it is read in the next round, and its answer is the last.
        """
        for state in (ConnectionState.IDLE, ConnectionState.NEW):
            for each in self.in_state(state):
                if each.has_unsent:
                    each.cut()
                elif each.is_idle:
                    each.close()

    def close_all(self) -> None:
        """Close every connection; for when no answer is due any more."""
        for each in list(self):
            each.close()

    def trim(self) -> None:
        """Close idle connections beyond `max_connections`, the one idle longest first."""
        idle = (each for each in self.in_state(ConnectionState.IDLE) if each.is_idle)
        for each in islice(idle, max(len(self) - self.max_connections, 0)):
            each.close()

    def _close_excess_idle(self) -> None:
        """Close idle connections beyond their part of the room, and none with a request unread.

        Guards against clients that ask once on each connection and keep it: they may hold only so many, and
        when all of those are idle here, no request can come until some are closed.
        """
        idle = (each for each in self._idle.closable(self.max_connections) if each.is_idle)
        for each in list(islice(idle, self._idle.excess(self.max_connections))):
            self._idle.closed(each)
            each.close()

    # Making room

    def _make_room(self) -> bool:
        """Close the connection that is missed least, never one whose client takes the answer that is due.

        Returns:
            Whether there was one.
        """
        evicted = next(self._by_eviction_order(), None)
        if evicted is None:
            return False
        self._by_state[evicted.state].pop(evicted)
        evicted.cut()
        return True

    def _by_eviction_order(self) -> Iterator[DownstreamConnection]:
        by_state = self._by_state
        now = self._network.time()
        new_since, unsent_since = now - self._limits.greeting_s, now - self._limits.stall_s
        return chain(
            (each for each in by_state[ConnectionState.CLOSING] if not each.has_unsent),
            # Guards against closing a client that has just connected, its request on the way, while
            # others are idle: it would be left without an answer.
            (each for each in islice(by_state[ConnectionState.NEW], 1) if each.since <= new_since),
            (each for each in by_state[ConnectionState.IDLE] if each.is_idle),
            # Guards those who have just connected against clients that take all the room with requests that
            # never end.
            self._oldest_without_request(),
            # Its last byte has not come, so no server began it: guards against bodies that come for ever.
            by_state[ConnectionState.UPLOADING],
            # Its last answer has not left: late, and not before it had its time.
            (each for each in by_state[ConnectionState.CLOSING] if each.since <= unsent_since),
            # Guards against clients that ask for large answers and take nothing of them: last of all.
            self._longest_blocked(unsent_since),
        )

    def _longest_blocked(self, blocked_before: float) -> Iterator[DownstreamConnection]:
        """Of those that have taken nothing of their answer since then, the one that did so for longest."""
        blocked = [
            (each.blocked_since, number, each)
            for number, each in enumerate(self._by_state[ConnectionState.SERVING])
            if each.blocked_since is not None and each.blocked_since <= blocked_before
        ]
        if blocked:
            yield min(blocked)[2]

    def _oldest_without_request(self) -> list[DownstreamConnection]:
        """The oldest of those that have sent no complete request."""
        first = [*islice(self._by_state[ConnectionState.NEW], 1), *islice(self._partial(), 1)]
        return [min(first, key=lambda each: each.since)] if first else []
