"""Writes the packets of responses to one MySQL client."""

from __future__ import annotations

import asyncio

from micadeck.mysql.protocol.answers import Part, Row, encode
from micadeck.mysql.protocol.constants import MAX_PAYLOAD_BYTES, Capability
from micadeck.mysql.protocol.packets import frame


class ResponseWriter:
    """Numbers and writes packets; owns the sequence number of the exchange.

    Attributes:
        transport: The client's connection, once there is one.
        sequence: The number of the next packet.
        capabilities: What the client and this program have agreed on, which determines how parts are encoded.
    """

    def __init__(self) -> None:
        """Start without a connection, at the first packet."""
        self.transport: asyncio.Transport | None = None
        self.sequence = 0
        self.capabilities = Capability(0)

    def write(self, payload: bytes) -> None:
        """Write one payload, in as many packets as it needs."""
        data, self.sequence = frame(payload, self.sequence)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def write_part(self, part: Part) -> None:
        """Write one part of a response, unless the client does not expect it."""
        payload = encode(part, self.capabilities)
        if payload is not None:
            self.write(payload)

    def write_parts(self, parts: list[Part]) -> None:
        """Write many parts at once."""
        out, sequence, capabilities = bytearray(), self.sequence, self.capabilities
        for part in parts:
            payload = part.payload if type(part) is Row else encode(part, capabilities)
            if payload is None:
                continue
            if len(payload) < MAX_PAYLOAD_BYTES:
                out += len(payload).to_bytes(3, "little")
                out.append(sequence)
                out += payload
                sequence = (sequence + 1) & 0xFF
            else:
                data, sequence = frame(payload, sequence)
                out += data
        self.sequence = sequence
        if out and self.transport is not None and not self.transport.is_closing():
            self.transport.write(bytes(out))
