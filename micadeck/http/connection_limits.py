"""Limits on clients' connections, and the states that a connection passes through."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, unique


@dataclass(frozen=True, slots=True)
class DownstreamLimits:
    """What clients may take of the sidecar; times in seconds."""

    header_timeout_s: float = (
        2.5  # from the connection, or the first byte of a further request, to its whole head
    )
    request_timeout_s: float = 2.6  # and to its last byte
    min_bytes_per_s: float = 48e3  # and longer for a large one, as long as so much of it comes
    stall_s: float = 2.0  # but never so long without a byte of it
    reading_s: float = 15.0  # how long a client may take nothing of an answer that is passed on
    idle_timeout_s: float = 5.0  # without a request after an answer, while there is room
    greeting_s: float = 0.25  # how long one that connected is spared before its silence counts against it
    linger_s: float = 0.5  # how long a client that was rejected may go on sending before it is cut off
    upload_linger_s: float = 5.0  # or one that was answered while its request still came
    sweep_s: float = 0.1  # how often the times are looked at
    max_bytes: int = 4 << 20  # of requests, read in part or whole, over all connections


@unique
class ConnectionState(IntEnum):
    """What a client's connection is about.

    Numbers, since they are keys that are looked up several times a request: those of a plain Enum are hashed
    by a call.
    """

    CLOSING = 1  # it has its last answer
    NEW = 2  # not a byte came yet
    IDLE = 3  # its requests are answered
    READING = 4  # a part of a request came
    UPLOADING = 5  # and more than that: a request was taken whose body is still coming
    SERVING = 6  # an answer is due; never closed for room
