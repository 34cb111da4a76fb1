"""Messages between members, as msgspec encodes them; values out of bounds are rejected in decoding.

Every message is an array; its first item is its type's tag.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from micadeck.fleet.member_records import Host, MemberName, MemberRecord, NonNegativeInt, Port
from micadeck.fleet.member_table import BRANCHES, LEVELS

MAX_ENDPOINT_BYTES = 80
UNACKNOWLEDGED = 0  # the sequence number of a ping whose ack is ignored


class EndpointHint(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A change of an endpoint that a member learned from discovery.

    It is a reason to query discovery, never one to trust an endpoint.
    """

    endpoint: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ENDPOINT_BYTES)]
    change: Annotated[str, msgspec.Meta(max_length=16)]
    list_version: NonNegativeInt  # of the endpoint list with the change; a higher version supersedes


Update = MemberRecord | EndpointHint
BranchPath = tuple[Annotated[int, msgspec.Meta(ge=0, lt=BRANCHES)], ...]  # the branch at each level


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Requests an ack from the receiver."""

    sequence: NonNegativeInt
    digest: NonNegativeInt
    updates: tuple[Update, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Answers a ping, or a ping request whose target has answered."""

    sequence: NonNegativeInt
    digest: NonNegativeInt
    updates: tuple[Update, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Requests that the receiver ping a target for the sender (an indirect probe)."""

    sequence: NonNegativeInt
    target: MemberName
    host: Host
    port: Port
    digest: NonNegativeInt
    updates: tuple[Update, ...] = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Answers a ping request whose target did not answer in time."""

    sequence: NonNegativeInt
    digest: NonNegativeInt
    updates: tuple[Update, ...] = ()


class BranchDigests(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The digests of one branch of the sender's table, for the receiver to compare."""

    path: Annotated[BranchPath, msgspec.Meta(max_length=LEVELS - 1)]
    digests: Annotated[tuple[NonNegativeInt, ...], msgspec.Meta(min_length=BRANCHES, max_length=BRANCHES)]


class BranchRecords(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The records of one branch; a receiver with newer ones sends its own, unless this is a reply."""

    path: Annotated[BranchPath, msgspec.Meta(max_length=LEVELS)]
    is_reply: bool
    records: tuple[MemberRecord, ...]


PiggybackMessage = Ping | Ack | PingRequest | Nack
AntiEntropyMessage = BranchDigests | BranchRecords
Message = Ping | Ack | PingRequest | Nack | BranchDigests | BranchRecords


def encoded_size(part: Message | Update) -> int:
    """Return the number of bytes that a message or update takes in a datagram."""
    return len(msgspec.msgpack.encode(part))
