"""What members say to one another, as it lies in a datagram; what cannot be is refused in reading.

Every message is an array that begins with its kind's number.  Times are none of its business.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from micadeck.fleet.member_records import Claim, Host, Name, Port, Whole
from micadeck.fleet.member_table import BRANCHES, LEVELS


class Rumour(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What a member was told of a server: a reason to be cautious there, never to trust it."""

    server: Annotated[str, msgspec.Meta(min_length=1, max_length=80)]
    word: Annotated[str, msgspec.Meta(max_length=16)]
    version: Whole  # of the list that told so; a higher one holds


News = Claim | Rumour
Path = tuple[Annotated[int, msgspec.Meta(ge=0, lt=BRANCHES)], ...]  # which branch at each level


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Answer me; `number` 0: no answer is waited for."""

    number: Whole
    digest: Whole
    news: tuple[News, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """I am here, or the one is that I was asked to ask."""

    number: Whole
    digest: Whole
    news: tuple[News, ...] = ()


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Ask this member for me."""

    number: Whole
    name: Name
    host: Host
    port: Port
    digest: Whole
    news: tuple[News, ...] = ()


class Silent(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The one that I was asked to ask did not answer me either."""

    number: Whole
    digest: Whole
    news: tuple[News, ...] = ()


class Branches(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The digests of one branch of my view: look where yours differ."""

    path: Annotated[Path, msgspec.Meta(max_length=LEVELS - 1)]
    digests: Annotated[tuple[Whole, ...], msgspec.Meta(min_length=BRANCHES, max_length=BRANCHES)]


class Leaf(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """What is claimed in one branch of my view; tell me what you hold that is newer, unless you answer."""

    path: Annotated[Path, msgspec.Meta(max_length=LEVELS)]
    is_answer: bool
    claims: tuple[Claim, ...]


WithNews = Ping | Ack | Ask | Silent
Message = Ping | Ack | Ask | Silent | Branches | Leaf


def size(piece: Message | News) -> int:
    """How many bytes it takes in a datagram."""
    return len(msgspec.msgpack.encode(piece))
