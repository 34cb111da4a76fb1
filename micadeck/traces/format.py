"""The trace format: gzip over MessagePack, one array for each record.  No I/O.

The first record is `["micadeck trace", version, settings, seed]`, each other one `[now, kind, fields ...]`:
the clock in microseconds, the event type's index in `KINDS`, and its fields in order.  A trace may be cut off
anywhere: complete records are read.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import fields
from operator import attrgetter
from typing import Any

import msgspec

from micadeck.policy import Settings
from micadeck.policy.events import (
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    Event,
    MessageReceived,
    ProbeEnded,
    RequestArrived,
    RequestCompleted,
    ServersListed,
    SettingsChanged,
    TimerFired,
)

VERSION = 1
_MAGIC = "micadeck trace"
# Indexes are stored and never change; append new types, and new fields of a type, at the end.
KINDS: tuple[type[Any], ...] = (
    ServersListed,
    RequestArrived,
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    TimerFired,
    ProbeEnded,
    MessageReceived,
    SettingsChanged,
    RequestCompleted,
)
_TYPES_WITH_SETTINGS = (RequestArrived, SettingsChanged)  # these hold a ServiceClass or Settings
_INDEXES = {event_type: index for index, event_type in enumerate(KINDS)}
_EVENT_FIELDS = [tuple(item.name for item in fields(event_type)) for event_type in KINDS]
_GET_VALUES = [attrgetter(*names) for names in _EVENT_FIELDS]
_STORED_NAMES = {
    "allow_hedging": "second_copies",
    "deduplication_scope": "group",
    "idempotency": "repeat",
    "idempotency_window_us": "memory_us",
    "late_priority_weight": "late_worth",
    "latency_objective_us": "aim_us",
    "max_poll_interval_us": "ask_within_us",
    "objective_scaling": "aim_stretch",
    "over_share_priority_weight": "over_share_worth",
    "overall": "whole",
    "overload_multiple": "fall_multiple",
    "overload_window_us": "fall_us",
    "priority_weight": "worth",
    "priority_weight_unit": "worth_by",
    "session_drain_grace_us": "bound_grace_us",
    "slow_start_initial_share": "cold_from",
    "slow_start_us": "cold_us",
}
"""Fields of settings that traces store under another name than the attribute's."""

_ATTRIBUTE_NAMES = {stored: name for name, stored in _STORED_NAMES.items()}
_GZIP_WBITS = 31  # zlib's largest window, with gzip's header and trailer


def _rename_keys(value: Any, names: Mapping[str, str]) -> Any:
    """A copy of nested mappings and sequences with these keys renamed."""
    if isinstance(value, dict):
        return {names.get(key, key): _rename_keys(item, names) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_rename_keys(item, names) for item in value]
    return value


class TraceError(ValueError):
    """The data is not a readable trace; the text says where."""


class Encoder:
    """Encodes events incrementally."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._pack = msgspec.msgpack.Encoder()
        self._gzip = zlib.compressobj(1, zlib.DEFLATED, _GZIP_WBITS)
        stored = _rename_keys(msgspec.to_builtins(settings), _STORED_NAMES)
        self._buffer = bytearray(self._pack.encode((_MAGIC, VERSION, stored, seed)))

    def add(self, now: int, event: Event) -> int:
        """Encode an event; return the size of the buffer."""
        index = _INDEXES[type(event)]
        values = _GET_VALUES[index](event)
        if len(_EVENT_FIELDS[index]) == 1:
            values = (values,)
        if KINDS[index] in _TYPES_WITH_SETTINGS:
            values = _rename_keys(msgspec.to_builtins(values), _STORED_NAMES)
        self._buffer += self._pack.encode((now, index, *values))
        return len(self._buffer)

    def take(self, *, last: bool = False) -> bytes:
        """Return the buffered data, flushed so that a reader can decode it."""
        data = self._gzip.compress(bytes(self._buffer))
        self._buffer.clear()
        return data + self._gzip.flush(zlib.Z_FINISH if last else zlib.Z_SYNC_FLUSH)


class Trace:
    """A decoded trace."""

    def __init__(
        self, settings: Settings, seed: int, events: list[tuple[int, Event]], is_complete: bool
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.events = events
        self.is_complete = is_complete  # False: cut off, as when the process was killed


def decode(data: bytes) -> Trace:
    """Decode a trace, up to where it is cut off; raise TraceError if the data is not a trace."""
    decompressor = zlib.decompressobj(_GZIP_WBITS)
    try:
        plain = decompressor.decompress(data)
    except zlib.error as error:
        raise TraceError(f"it is no gzip: {error}") from None
    records = _decode_records(plain)
    try:
        magic, version, settings, seed = next(records)
        if magic != _MAGIC or version != VERSION:
            raise TraceError(f"it is no trace of version {VERSION}")
        current_settings = msgspec.convert(_rename_keys(settings, _ATTRIBUTE_NAMES), Settings)
    except StopIteration:
        raise TraceError("it is empty") from None
    except (TypeError, ValueError, msgspec.ValidationError) as error:
        raise TraceError(f"its head can't be read: {error}") from None
    events: list[tuple[int, Event]] = []
    for number, record in enumerate(records, 1):
        try:
            now, index, *values = record
            names = _EVENT_FIELDS[index]
            if len(values) > len(names):
                raise ValueError(f"{len(values)} fields, where {KINDS[index].__name__} has {len(names)}")
            if KINDS[index] in _TYPES_WITH_SETTINGS:
                values = _rename_keys(values, _ATTRIBUTE_NAMES)
            event = msgspec.convert(dict(zip(names, values, strict=False)), KINDS[index])
        except (TypeError, ValueError, IndexError, msgspec.ValidationError) as error:
            raise TraceError(f"record {number}: {error}") from None
        events.append((now, event))
    return Trace(current_settings, seed, events, decompressor.eof)


def _decode_records(plain: bytes) -> Iterator[Any]:
    """Yield complete records; skip one that is cut off."""
    position, view = 0, memoryview(plain)
    while position < len(plain):
        end = _value_end(plain, position)
        if end is None:
            return
        try:
            yield msgspec.msgpack.decode(view[position:end])
        except msgspec.DecodeError as error:
            raise TraceError(f"byte {position}: {error}") from None
        position = end


# Of MessagePack's formats, by the first byte: bytes of data, bytes of the length field,
# and bytes of the count field with the values of an entry.
_DATA_WIDTHS = {0xC0: 0, 0xC2: 0, 0xC3: 0, 0xCA: 4, 0xCB: 8, 0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
_DATA_WIDTHS |= {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
_LENGTH_WIDTHS = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}
_COUNT_WIDTHS = {0xDC: (2, 1), 0xDD: (4, 1), 0xDE: (2, 2), 0xDF: (4, 2)}


def _value_end(data: bytes, start: int) -> int | None:
    """The end of the MessagePack value that begins at `start`, or None if it is cut off."""
    position = start
    values_left = 1
    while values_left:
        if position >= len(data):
            return None
        first_byte = data[position]
        position += 1
        values_left -= 1
        if first_byte < 0x80 or first_byte >= 0xE0:
            continue
        if first_byte < 0x90:
            values_left += 2 * (first_byte & 0x0F)
        elif first_byte < 0xA0:
            values_left += first_byte & 0x0F
        elif first_byte < 0xC0:
            position += first_byte & 0x1F
        elif first_byte in _DATA_WIDTHS:
            position += _DATA_WIDTHS[first_byte]
        elif first_byte in _LENGTH_WIDTHS:
            width = _LENGTH_WIDTHS[first_byte]
            position += width + int.from_bytes(data[position : position + width], "big")
        elif first_byte in _COUNT_WIDTHS:
            width, values_per_entry = _COUNT_WIDTHS[first_byte]
            values_left += values_per_entry * int.from_bytes(data[position : position + width], "big")
            position += width
        else:
            raise TraceError(f"byte {position}: 0x{first_byte:02x} begins nothing that a trace holds")
    return position if position <= len(data) else None


def encode(settings: Settings, seed: int, events: Iterable[tuple[int, Event]]) -> bytes:
    """Encode a complete trace."""
    encoder = Encoder(settings, seed)
    for now, event in events:
        encoder.add(now, event)
    return encoder.take(last=True)
