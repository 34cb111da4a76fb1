"""Decides when the time of a large request runs out although its body is not read to the end; no I/O.

The time counts from the request's last byte.  While a server takes the body slowly, that byte may lie unread
in a socket, the client's or this process's, and only what has arrived here can be seen.  Two observations
tell enough:

- With an announced length, all of the body has arrived: the time counts from then.
- The client may have written a byte that has not been passed on within the time that it waits for its answer.
  Whatever it writes later would take as long, so the request can't be answered in time.

While bytes wait in this process's socket, the client's socket may hold more.  Then it is assumed that the
client wrote as much as that can hold: a request that is ended too early is only failed, one that is ended too
late has no answer in time.
"""

from __future__ import annotations

from micadeck.http.body_stream import BodyStream

_MAX_CLIENT_SOCKET_BYTES = 4 << 20  # Linux's default upper limit of a send buffer


class UploadClock:
    """The clock of one large request, from its first look to its last byte."""

    def __init__(self, stream: BodyStream, wait_s: float) -> None:
        """Start the clock of a request whose client waits this long, from its last byte."""
        self._stream = stream
        self._wait_s = wait_s
        self._mark = 0  # position of the last byte that the client may have written when the mark was set
        self._marked_at: float | None = None  # None: nothing waits

    def time_left_s(self, now: float, arrived_at: float, received: int, unread: int) -> float | None:
        """Return how long the client still waits; None while that is unknown.

        Args:
            now: The time, in seconds.
            arrived_at: When the last byte arrived.
            received: Bytes of the request that were read from the socket.
            unread: Bytes that wait in the socket.
        """
        stream = self._stream
        if stream.length is not None and stream.received + unread >= stream.length:
            return arrived_at + self._wait_s - now
        passed = received - stream.held
        if self._marked_at is None or passed >= self._mark:
            self._mark = self._possibly_written(received, unread)
            self._marked_at = arrived_at if self._mark > passed else None
        if self._marked_at is None or now - self._marked_at < self._wait_s:
            return None
        return self._marked_at + self._wait_s - now

    def _possibly_written(self, received: int, unread: int) -> int:
        """Return how many bytes of the request the client has written at most."""
        if not unread:
            return received
        written = received + unread + _MAX_CLIENT_SOCKET_BYTES
        length = self._stream.length
        return written if length is None else min(written, received - self._stream.received + length)
