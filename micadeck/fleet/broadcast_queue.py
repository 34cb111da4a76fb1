"""Queue of the updates to piggyback: urgent ones first, then those sent fewest times."""

from __future__ import annotations

from collections.abc import Container

import msgspec

from micadeck.fleet.messages import Update, encoded_size

_MAX_UPDATES = 4_000
_MIN_UPDATE_BYTES = 24


class _Broadcast(msgspec.Struct):
    """An update with its transmission state."""

    update: Update
    expires_at: int
    is_urgent: bool
    transmissions: int = 0

    @property
    def priority(self) -> tuple[bool, int]:
        """The key that orders broadcasts; the lowest goes first."""
        return not self.is_urgent, self.transmissions


class BroadcastQueue:
    """Owns the updates that are still to be passed on, one per subject."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._broadcasts: dict[str, _Broadcast] = {}

    def __len__(self) -> int:
        """Return the number of updates."""
        return len(self._broadcasts)

    def enqueue(self, subject: str, update: Update, expires_at: int, *, urgent: bool = False) -> None:
        """Queue an update, replacing an older one on its subject.

        Args:
            subject: The member or endpoint that it is about.
            update: What to pass on.
            expires_at: When to drop it, by this member's clock in microseconds.
            urgent: Whether it precedes others, so that a death is not queued behind many joins.
        """
        self._broadcasts[subject] = _Broadcast(update, expires_at, urgent)
        if len(self._broadcasts) > _MAX_UPDATES:
            self._remove_one()

    def select(
        self, now: int, max_bytes: int, transmit_limit: int, exclude: Container[str] = ()
    ) -> list[Update]:
        """Choose the updates of one datagram and count their transmission.

        Args:
            now: This member's clock in microseconds.
            max_bytes: The maximum of their total size.
            transmit_limit: After how many transmissions an update leaves the queue.
            exclude: Subjects that the datagram already contains.
        """
        selected: list[Update] = []
        remaining = max_bytes
        for subject, broadcast in sorted(self._broadcasts.items(), key=lambda item: item[1].priority):
            if subject in exclude:
                continue
            if now >= broadcast.expires_at:
                del self._broadcasts[subject]
                continue
            size = encoded_size(broadcast.update)
            if size > remaining:
                continue
            remaining -= size
            selected.append(broadcast.update)
            broadcast.transmissions += 1
            if broadcast.transmissions >= transmit_limit:
                del self._broadcasts[subject]
            if remaining < _MIN_UPDATE_BYTES:
                break
        return selected

    def _remove_one(self) -> None:
        """Remove the update with the highest number of transmissions."""
        subject = max(self._broadcasts, key=lambda name: self._broadcasts[name].transmissions)
        del self._broadcasts[subject]
