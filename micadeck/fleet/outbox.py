"""Datagrams and events of one step, with updates piggybacked on the messages."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from micadeck.fleet.authentication import DatagramAuthenticator
from micadeck.fleet.broadcast_queue import BroadcastQueue
from micadeck.fleet.local_member import LocalMember
from micadeck.fleet.member_records import MemberRecord
from micadeck.fleet.member_table import MemberTable
from micadeck.fleet.messages import EndpointHint, Message, PiggybackMessage, Update, encoded_size
from micadeck.fleet.settings import FleetSettings
from micadeck.fleet.timers import TimerQueue
from micadeck.network import Address

_ARRAY_GROWTH_BYTES = 4  # the header of the array of updates may grow by this much


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """A member joined, changed its state or was restarted."""

    record: MemberRecord


Event = MemberChanged | EndpointHint


@dataclass(slots=True)
class Output:
    """The datagrams to send, in order, and events."""

    datagrams: list[tuple[Address, bytes]] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Outbox:
    """Owns the output of the current step."""

    authenticator: DatagramAuthenticator
    local: LocalMember
    table: MemberTable
    broadcasts: BroadcastQueue
    timers: TimerQueue
    settings: FleetSettings
    _wall_us: int = field(default=0, init=False)
    _output: Output = field(default_factory=Output, init=False)

    def start_step(self, wall_us: int) -> None:
        """Reset the output, and set the Unix time in microseconds that datagrams carry."""
        self._wall_us = wall_us
        self._output = Output()

    def finish_step(self) -> Output:
        """Return the output of the step."""
        output, self._output = self._output, Output()
        return output

    def emit(self, event: Event) -> None:
        """Report an event."""
        self._output.events.append(event)

    def send(
        self, to: Address, message: PiggybackMessage, priority_records: Sequence[MemberRecord] = ()
    ) -> None:
        """Send a message with updates.

        Args:
            to: The receiver.
            message: The message without updates.
            priority_records: Sent ahead of queued updates; those that don't fit are left out.
        """
        remaining_bytes = self.authenticator.max_message_bytes() - encoded_size(message) - _ARRAY_GROWTH_BYTES
        updates: list[Update] = []
        for record in priority_records:
            size = encoded_size(record)
            if size <= remaining_bytes:
                remaining_bytes -= size
                updates.append(record)
        transmit_limit = self.settings.transmit_limit(self.table.live_members)
        excluded = {record.name for record in priority_records}
        updates += self.broadcasts.select(self.timers.now, remaining_bytes, transmit_limit, excluded)
        self.send_all(to, [msgspec.structs.replace(message, updates=tuple(updates))])

    def send_all(self, to: Address, messages: Iterable[Message]) -> None:
        """Send messages without updates, unless this process was silenced."""
        if self.local.is_silenced:
            return
        for message in messages:
            self._output.datagrams.append((to, self.authenticator.encode(self._wall_us, message)))
