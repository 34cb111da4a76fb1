"""The bytes of a trace: gzip over MessagePack, one array for each record.  No I/O.

The first record is `["micadeck trace", version, settings, seed]`, each other one `[now, kind, fields ...]`:
the clock in microseconds, the event's place in `KINDS`, and its fields in their order.  A trace may end
anywhere: what is whole is read.
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
_MARK = "micadeck trace"
# A place never changes; new kinds, and new fields of a kind, go behind the last.
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
_WITH_SETTINGS = (RequestArrived, SettingsChanged)  # a class of requests, or all settings
_PLACES = {kind: place for place, kind in enumerate(KINDS)}
_NAMES = [tuple(each.name for each in fields(kind)) for kind in KINDS]
_VALUES = [attrgetter(*names) for names in _NAMES]
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
"""The fields of settings that traces store under another name than the program has for them."""

_FIELD_NAMES = {stored: name for name, stored in _STORED_NAMES.items()}
_GZIP = 31  # zlib's window for gzip's frame


def _renamed(value: Any, names: Mapping[str, str]) -> Any:
    """A tree of mappings and sequences with these keys of its mappings renamed."""
    if isinstance(value, dict):
        return {names.get(key, key): _renamed(each, names) for key, each in value.items()}
    if isinstance(value, (list, tuple)):
        return [_renamed(each, names) for each in value]
    return value


class TraceError(ValueError):
    """These bytes are no trace that can be read; the text says where."""


class Encoder:
    """Events in, bytes out, in pieces."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._pack = msgspec.msgpack.Encoder()
        self._gzip = zlib.compressobj(1, zlib.DEFLATED, _GZIP)
        stored = _renamed(msgspec.to_builtins(settings), _STORED_NAMES)
        self._waiting = bytearray(self._pack.encode((_MARK, VERSION, stored, seed)))

    def add(self, now: int, event: Event) -> int:
        """Take an event; how many bytes wait to be written."""
        place = _PLACES[type(event)]
        values = _VALUES[place](event)
        if len(_NAMES[place]) == 1:
            values = (values,)
        if KINDS[place] in _WITH_SETTINGS:
            values = _renamed(msgspec.to_builtins(values), _STORED_NAMES)
        self._waiting += self._pack.encode((now, place, *values))
        return len(self._waiting)

    def take(self, *, last: bool = False) -> bytes:
        """All that waits, so that a reader finds it whole."""
        data = self._gzip.compress(bytes(self._waiting))
        self._waiting.clear()
        return data + self._gzip.flush(zlib.Z_FINISH if last else zlib.Z_SYNC_FLUSH)


class Trace:
    """A trace that was read."""

    def __init__(
        self, settings: Settings, seed: int, events: list[tuple[int, Event]], is_whole: bool
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.events = events
        self.is_whole = is_whole  # False: it breaks off, as that of a process that was killed


def decode(data: bytes) -> Trace:
    """Read a trace; raise TraceError if it is none, and read up to where it breaks off otherwise."""
    gunzip = zlib.decompressobj(_GZIP)
    try:
        plain = gunzip.decompress(data)
    except zlib.error as fault:
        raise TraceError(f"it is no gzip: {fault}") from None
    records = _records(plain)
    try:
        mark, version, settings, seed = next(records)
        if mark != _MARK or version != VERSION:
            raise TraceError(f"it is no trace of version {VERSION}")
        known = msgspec.convert(_renamed(settings, _FIELD_NAMES), Settings)
    except StopIteration:
        raise TraceError("it is empty") from None
    except (TypeError, ValueError, msgspec.ValidationError) as fault:
        raise TraceError(f"its head can't be read: {fault}") from None
    events: list[tuple[int, Event]] = []
    for number, record in enumerate(records, 1):
        try:
            now, place, *values = record
            names = _NAMES[place]
            if len(values) > len(names):
                raise ValueError(f"{len(values)} fields, where {KINDS[place].__name__} has {len(names)}")
            if KINDS[place] in _WITH_SETTINGS:
                values = _renamed(values, _FIELD_NAMES)
            event = msgspec.convert(dict(zip(names, values, strict=False)), KINDS[place])
        except (TypeError, ValueError, IndexError, msgspec.ValidationError) as fault:
            raise TraceError(f"record {number}: {fault}") from None
        events.append((now, event))
    return Trace(known, seed, events, gunzip.eof)


def _records(plain: bytes) -> Iterator[Any]:
    """Whole records; one that breaks off is left out."""
    at, view = 0, memoryview(plain)
    while at < len(plain):
        end = _end(plain, at)
        if end is None:
            return
        try:
            yield msgspec.msgpack.decode(view[at:end])
        except msgspec.DecodeError as fault:
            raise TraceError(f"byte {at}: {fault}") from None
        at = end


_FIXED = {0xC0: 0, 0xC2: 0, 0xC3: 0, 0xCA: 4, 0xCB: 8, 0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}
_FIXED |= {0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
_LONG = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}
_MANY = {0xDC: (2, 1), 0xDD: (4, 1), 0xDE: (2, 2), 0xDF: (4, 2)}


def _end(data: bytes, at: int) -> int | None:
    """Where the value that begins here ends (MessagePack's specification), or None if it breaks off."""
    left = 1  # values
    while left:
        if at >= len(data):
            return None
        head = data[at]
        at += 1
        left -= 1
        if head < 0x80 or head >= 0xE0:
            continue
        if head < 0x90:
            left += 2 * (head & 0x0F)
        elif head < 0xA0:
            left += head & 0x0F
        elif head < 0xC0:
            at += head & 0x1F
        elif head in _FIXED:
            at += _FIXED[head]
        elif head in _LONG:
            width = _LONG[head]
            at += width + int.from_bytes(data[at : at + width], "big")
        elif head in _MANY:
            width, each = _MANY[head]
            left += each * int.from_bytes(data[at : at + width], "big")
            at += width
        else:
            raise TraceError(f"byte {at}: 0x{head:02x} begins nothing that a trace holds")
    return at if at <= len(data) else None


def encode(settings: Settings, seed: int, events: Iterable[tuple[int, Event]]) -> bytes:
    """A whole trace at once."""
    encoder = Encoder(settings, seed)
    for now, event in events:
        encoder.add(now, event)
    return encoder.take(last=True)
