"""What is said of a member, and which of two claims holds.

A claim holds over another if its start is later, else if its incarnation is higher, else if its state is
graver.  A member alone raises its start (a new process) and its incarnation (to refute, or to tell facts): in
whatever order claims arrive, and however often, all who have heard the same ones hold the same.
"""

from __future__ import annotations

from enum import IntEnum, unique
from typing import Annotated

import msgspec

MOST_NAME = 40  # bytes: a datagram holds the sender's, and claims on others
Name = Annotated[str, msgspec.Meta(pattern=rf"^[!-~]{{1,{MOST_NAME}}}$")]
Host = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Fa-f.:]{0,45}$")]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


@unique
class State(IntEnum):
    """From the lightest to the gravest."""

    ALIVE = 0
    SUSPECT = 1  # it did not answer; it may refute
    DEAD = 2  # nor did it refute in time
    LEFT = 3  # it said so itself


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """What a member tells of itself."""

    region: Annotated[str, msgspec.Meta(max_length=32)] = ""
    per_s: Whole = 0  # requests, lately
    list_version: Whole = 0  # of the list of servers that it holds


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """That a member is in a state."""

    name: Name
    start: Whole  # microseconds of Unix time at which its process began
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    state: State
    host: Host = ""  # where it is reached; told with facts, by itself
    port: Port = 0
    facts: Facts | None = None  # only while it is alive; None: passed on without them
    by: Name | None = None  # of a suspicion: who has it

    @property
    def rank(self) -> tuple[int, int, int]:
        """What decides between two claims on one member."""
        return self.start, self.incarnation, int(self.state)

    def said(self, state: State, by: str | None = None) -> Claim:
        """What another member says of it: nothing of where it is reached, nor its facts."""
        return msgspec.structs.replace(self, state=state, host="", port=0, facts=None, by=by)

    def over(self, other: Claim | None) -> bool:
        """Whether it holds over another claim on the same member."""
        return other is None or self.rank > other.rank

    @property
    def is_there(self) -> bool:
        """Whether it counts as a member: a suspect does, until it is called dead."""
        return self.state in (State.ALIVE, State.SUSPECT)
