"""One service's list as it was last answered, and what a new answer changes in it.  No input or output.

Consul sends a service's whole list for each change.  An entry whose bytes were seen in the last answer means
what it meant then, so only entries that are new are read, and what follows from an answer is what changed.
A list is read a few entries at a time, so that the caller can let others run between.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Set
from dataclasses import dataclass, field

import msgspec

from micadeck.membership.consul.entries import parse_catalog, parse_health
from micadeck.membership.consul.protocol import ConsulError
from micadeck.membership.consul.states import Health, Names, Restarts, Word, more_cautious, word_of
from micadeck.membership.endpoint_merge import Observation, Precedence
from micadeck.network import Address

ENTRIES_AT_ONCE = 32
_MOST_TOLD = 5  # doubts that are put in words
_CAUTIONS = {
    Health.READY: Precedence.READY,
    Health.DOUBTFUL: Precedence.DOUBTFUL,
    Health.DRAINS: Precedence.DRAINS,
}
_LIST = msgspec.json.Decoder(list[msgspec.Raw])


@dataclass(slots=True)
class News:
    """What an answer changes: whole, if nothing was known before."""

    is_whole: bool
    count: int  # entries in the answer
    sightings: Iterator[Observation]  # worked out as they are taken: to be used up before the next answer
    gone: list[Address]
    addresses: Set[Address]  # all that the answer lists
    doubts: tuple[str, ...]  # entries that were left out or contradict one another, in words


@dataclass(slots=True)
class _Reading:
    """An answer that is being read."""

    entries: dict[bytes, Word | str] = field(default_factory=dict)  # by digest: the word, or what was wrong
    new: list[bytes] = field(default_factory=list)


class ServiceView:
    """The entries of one service, by the digest of their bytes."""

    def __init__(self, names: Names | None = None, *, of_catalog: bool = False) -> None:
        self._names = names or Names()
        self._parse = parse_catalog if of_catalog else parse_health
        self._entries: dict[bytes, Word | str] = {}
        self._at: dict[Address, dict[bytes, Word]] = {}  # registrations by address
        self._restarts = Restarts()
        self._reading = _Reading()
        self.has_read = False

    def read(self, body: bytes) -> Iterator[None]:
        """Read an answer, `ENTRIES_AT_ONCE` entries a step; raise ConsulError if it is no list."""
        try:
            raws = _LIST.decode(body)
        except (msgspec.DecodeError, ValueError, RecursionError) as fault:
            raise ConsulError(f"the body is no list of entries in JSON: {fault}") from None
        reading = self._reading = _Reading()
        yield
        for number, raw in enumerate(raws):
            digest = hashlib.blake2b(raw, digest_size=16).digest()
            entry = self._entries.get(digest)
            if entry is None:
                entry = self._parsed(raw, number)
                reading.new.append(digest)
            reading.entries[digest] = entry
            if number % ENTRIES_AT_ONCE == ENTRIES_AT_ONCE - 1:
                yield

    def _parsed(self, raw: msgspec.Raw, number: int) -> Word | str:
        try:
            instances, faults = self._parse([msgspec.json.decode(raw)])
        except (msgspec.DecodeError, ValueError, RecursionError) as fault:
            return f"[{number}]: {fault}"
        if faults:
            return faults[0].replace("[0]", f"[{number}]", 1)
        return word_of(instances[0], self._names)

    def count(self) -> int:
        """Entries in the answer that was read."""
        return len(self._reading.entries)

    def taken(self, now: int) -> News:
        """Take the answer that was read for what holds, heard at `now` (microseconds of Unix time)."""
        reading, self._reading = self._reading, _Reading()
        touched: dict[Address, None] = {}
        for digest in self._entries.keys() - reading.entries.keys():
            before = self._entries[digest]
            if isinstance(before, Word):
                del self._at[before.address][digest]
                touched[before.address] = None
        for digest in reading.new:
            word = reading.entries[digest]
            if isinstance(word, Word):
                self._at.setdefault(word.address, {})[digest] = word
                touched[word.address] = None
        self._entries = reading.entries
        gone = [address for address in touched if not self._at[address]]
        for address in gone:
            del self._at[address]
        sightings = self._sightings(now, [each for each in touched if each in self._at])
        is_whole, self.has_read = not self.has_read, True
        self._restarts.left(gone)
        return News(is_whole, len(reading.entries), sightings, gone, self._at.keys(), self._doubts())

    def _sightings(self, now: int, touched: list[Address]) -> Iterator[Observation]:
        for address in touched:
            word = more_cautious(self._at[address].values())
            yield _sighting(word, self._restarts.heard(now, word))
        self._restarts.has_looked()

    def _doubts(self) -> tuple[str, ...]:
        doubts = [each for each in self._entries.values() if isinstance(each, str)]
        doubts += [
            f"{next(iter(words.values())).server} is registered {len(words)} times"
            for words in self._at.values()
            if len(words) > 1
        ]
        more = len(doubts) - _MOST_TOLD
        return (*doubts[:_MOST_TOLD], *([f"and {more} more"] if more > 0 else []))


def _sighting(word: Word, started_at: int | None) -> Observation:
    return Observation(
        address=word.address,
        caution=_CAUTIONS[word.health],
        why=word.why,
        zone=word.zone,
        kind=word.kind,
        cell=word.cell,
        weight=word.weight,
        started_at=started_at,
    )
