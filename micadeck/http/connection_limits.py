"""Limits and states of client connections."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, unique


@dataclass(frozen=True, slots=True)
class DownstreamLimits:
    """Limits on client connections; times in seconds."""

    header_timeout_s: float = 2.5  # to the complete head, from the connect or a later request's first byte
    request_timeout_s: float = 2.6  # from the same point to the last byte of a small request
    min_bytes_per_s: float = 48e3  # a larger request gets more time while it arrives at this rate
    stall_s: float = 2.0  # maximum time without a byte of a request
    write_stall_s: float = 15.0  # maximum time that a client reads nothing of an answer
    idle_timeout_s: float = 5.0  # without a request after an answer, while there is spare capacity
    first_request_grace_s: float = 0.25  # how long a new connection without data is kept
    linger_s: float = 0.5  # how long a half-closed connection may keep sending before it is aborted
    upload_linger_s: float = 5.0  # the same, if the answer preceded the end of the request body
    sweep_s: float = 0.1  # interval between timeout checks
    max_bytes: int = 4 << 20  # of complete and partial requests, over all connections


@unique
class ConnectionState(IntEnum):
    """State of a client connection.

    An IntEnum, as the states are dictionary keys looked up several times per request, and a plain Enum's
    hash is computed in Python.
    """

    CLOSING = 1  # the last answer is written
    NEW = 2  # no byte received yet
    IDLE = 3  # all requests are answered
    READING = 4  # a request is partly received
    UPLOADING = 5  # a request was submitted whose body is still being received
    SERVING = 6  # an answer is pending; evicted only if its client does not read it
