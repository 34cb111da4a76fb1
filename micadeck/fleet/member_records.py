"""Records of members and the order in which they supersede one another.

A record supersedes another one about the same member if its process started later, else if its incarnation is
higher, else if its state is more severe.  Only the member itself raises its start (a new process) and its
incarnation (to refute a suspicion or to publish metadata), so members that received the same records hold the
same ones, whatever their order and number.
"""

from __future__ import annotations

from enum import IntEnum, unique
from typing import Annotated

import msgspec

from micadeck.network import Address

MAX_NAME_BYTES = 40  # a datagram holds the sender's name and records of others
MemberName = Annotated[str, msgspec.Meta(pattern=rf"^[!-~]{{1,{MAX_NAME_BYTES}}}$")]
Host = Annotated[str, msgspec.Meta(pattern=r"^[0-9A-Fa-f.:]{0,45}$")]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


@unique
class MemberState(IntEnum):
    """State of a member, by increasing severity; the values are on the wire."""

    ALIVE = 0
    SUSPECT = 1  # did not answer a probe and may refute
    DEAD = 2  # did not refute in time
    LEFT = 3  # announced that it leaves


class Metadata(msgspec.Struct, frozen=True, array_like=True):
    """What a member publishes about itself."""

    region: Annotated[str, msgspec.Meta(max_length=32)] = ""
    requests_per_s: NonNegativeInt = 0
    endpoint_list_version: NonNegativeInt = 0


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """The state of a member as one member knows it and passes it on."""

    name: MemberName
    start_us: NonNegativeInt  # Unix time at which its process started
    incarnation: Incarnation
    state: MemberState
    host: Host = ""  # its address, sent by the member itself
    port: Port = 0
    metadata: Metadata | None = None  # None in records that omit it
    suspected_by: MemberName | None = None

    @classmethod
    def of_process(cls, name: str, start_us: int, address: Address) -> MemberRecord:
        """Return the first record of a process.

        Args:
            name: The name of the member.
            start_us: Unix time at which its process started, in microseconds.
            address: Its address for others.
        """
        host, port = address
        return cls(name, start_us, 0, MemberState.ALIVE, host, port, Metadata())

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The key that orders records about one member."""
        return self.start_us, self.incarnation, int(self.state)

    @property
    def is_live(self) -> bool:
        """Whether it counts as a member: a suspect does until it is declared dead."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def observed_as(self, state: MemberState, suspected_by: str | None = None) -> MemberRecord:
        """Return the record that another member issues: without address and metadata.

        Args:
            state: The state to report.
            suspected_by: The member that issues a suspicion.
        """
        return msgspec.structs.replace(
            self, state=state, host="", port=0, metadata=None, suspected_by=suspected_by
        )

    def supersedes(self, other: MemberRecord | None) -> bool:
        """Whether it replaces another record about the same member, or None."""
        return other is None or self.precedence > other.precedence
