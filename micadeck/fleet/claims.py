"""What is said of a member, and which of two claims holds.

A claim holds over another if its start is later, else if its incarnation is higher, else if its state is
graver.  A member alone raises its start (a new process) and its incarnation (to refute, or to tell facts): in
whatever order claims arrive, and however often, all who have heard the same ones hold the same.
"""

from __future__ import annotations

from enum import IntEnum, unique

import msgspec


@unique
class State(IntEnum):
    """From the lightest to the gravest."""

    ALIVE = 0
    SUSPECT = 1  # it did not answer; it may refute
    DEAD = 2  # nor did it refute in time
    LEFT = 3  # it said so itself


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """What a member tells of itself."""

    region: str = ""
    per_s: int = 0  # requests, lately
    list_version: int = 0  # of the list of servers that it holds


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """That a member is in a state."""

    name: str
    start: int  # microseconds of Unix time at which its process began
    incarnation: int
    state: State
    host: str = ""  # where it is reached; told with facts, by itself
    port: int = 0
    facts: Facts | None = None  # only while it is alive; None: passed on without them
    by: str = ""  # of a suspicion: who has it

    @property
    def rank(self) -> tuple[int, int, int]:
        """What decides between two claims on one member."""
        return self.start, self.incarnation, int(self.state)

    def over(self, other: Claim | None) -> bool:
        """Whether it holds over another claim on the same member."""
        return other is None or self.rank > other.rank

    @property
    def is_there(self) -> bool:
        """Whether it counts as a member: a suspect does, until it is called dead."""
        return self.state in (State.ALIVE, State.SUSPECT)
