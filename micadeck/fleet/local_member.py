"""This member's own record, and whether it is still active."""

from __future__ import annotations

import msgspec

from micadeck.fleet.authentication import DatagramAuthenticator
from micadeck.fleet.member_records import MemberRecord, MemberState, Metadata
from micadeck.network import Address

_METADATA_INTERVAL_US = 5_000_000  # minimum between two publications
_METADATA_INTERVAL_PER_MEMBER_US = 20_000  # bounds the total rate of all members' publications


class LocalMember:
    """Owns the record of this process, its incarnation and the publication of its metadata."""

    def __init__(self, record: MemberRecord, authenticator: DatagramAuthenticator, now: int) -> None:
        """Start with a record.

        Args:
            record: The record of this process, alive, at incarnation 0.
            authenticator: Signs with the start time of this process.
            now: This member's clock in microseconds.
        """
        self.record = record
        self.is_superseded = False  # a later process has this name
        self.is_established = False  # a peer acknowledged a probe of this process
        self.has_left = False
        self._authenticator = authenticator
        self._metadata_published_at = now - _METADATA_INTERVAL_US
        self._has_unpublished_metadata = False

    @property
    def name(self) -> str:
        """The name of this member."""
        return self.record.name

    @property
    def address(self) -> Address:
        """The address of this member for others."""
        return self.record.host, self.record.port

    @property
    def metadata(self) -> Metadata:
        """What this member publishes about itself."""
        return self.record.metadata or Metadata()

    @property
    def is_silenced(self) -> bool:
        """Whether this process sends nothing more: it left, or was superseded."""
        return self.has_left or self.is_superseded

    def departure(self) -> MemberRecord:
        """Return the record that announces that this member leaves."""
        return msgspec.structs.replace(self.record, state=MemberState.LEFT, metadata=None)

    def refute(self, incarnation: int) -> None:
        """Supersede a record about this process with this incarnation."""
        self.record = msgspec.structs.replace(self.record, incarnation=incarnation + 1)

    def restart_after(self, start_us: int) -> None:
        """Supersede an earlier process with a later start time."""
        self.record = msgspec.structs.replace(self.record, start_us=start_us + 1, incarnation=0)
        self._authenticator.start_us = self.record.start_us

    def set_metadata(self, metadata: Metadata) -> bool:
        """Change the metadata; False if it is the same."""
        if metadata == self.record.metadata:
            return False
        self.record = msgspec.structs.replace(self.record, metadata=metadata)
        self._has_unpublished_metadata = True
        return True

    def publish_metadata_if_due(self, now: int, members: int) -> bool:
        """Raise the incarnation for changed metadata, if the last publication is old enough.

        Args:
            now: This member's clock in microseconds.
            members: The number of live members.

        Returns:
            Whether the record changed and is to be passed on.
        """
        interval_us = max(_METADATA_INTERVAL_US, _METADATA_INTERVAL_PER_MEMBER_US * members)
        if not self._has_unpublished_metadata or now - self._metadata_published_at < interval_us:
            return False
        self._has_unpublished_metadata = False
        self._metadata_published_at = now
        self.record = msgspec.structs.replace(self.record, incarnation=self.record.incarnation + 1)
        return True
