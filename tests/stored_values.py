"""Converts stored values to lists by field position, without Python names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

import msgspec


def by_position(value: Any) -> Any:
    """Convert a value to JSON types: objects to lists of their fields, enums to their values."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, msgspec.Struct):
        return [by_position(each) for each in msgspec.structs.astuple(value)]
    if is_dataclass(value):
        return [by_position(getattr(value, each.name)) for each in fields(value)]
    if isinstance(value, Mapping):
        return {str(key): by_position(each) for key, each in value.items()}
    if isinstance(value, (list, tuple)):
        return [by_position(each) for each in value]
    return value


class RecordingTransport:
    """Stand-in for a socket that records what is sent."""

    def __init__(self) -> None:
        self.sent: list[list[Any]] = []

    def sendto(self, data: bytes, to: tuple[str, int]) -> None:
        """Record a datagram and its receiver."""
        self.sent.append([list(to), data.hex()])


def peer_exchange(make_peers: Any) -> dict[str, Any]:
    """Datagrams between the sidecars of a fleet: those sent, and how those received are handled."""
    addresses = tuple((f"10.0.0.{number}", 7946) for number in range(3))
    result: dict[str, Any] = {}
    for label, everyone in (("one by one", None), ("broadcast", ("10.0.0.255", 7946))):
        peers, transport = make_peers(None, addresses, everyone, 0), RecordingTransport()
        received: list[list[Any]] = []
        peers._on_message = lambda sender, data, received=received: received.append([sender, data.hex()])
        peers.connection_made(transport)
        send = getattr(peers, "send", None) or peers.tell  # the method's name in the release
        accepted = [
            send(receiver, payload)
            for receiver in (1, 2, 3, None)
            for payload in (b"\x00\xffpayload", b"x" * 256, b"x" * 257)
        ]
        for address in (*addresses, ("10.0.0.9", 7946), ("10.0.0.2", 1)):
            for payload in (b"", b"\x00\xffpayload", b"x" * 256, b"x" * 257):
                peers.datagram_received(payload, address)
        result[label] = {"accepted": accepted, "sent": transport.sent, "received": received}
    return result
