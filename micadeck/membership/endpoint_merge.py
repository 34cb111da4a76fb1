"""One list of servers out of many sources.  No input or output: sightings go in, changes come out.

A server is its address.  What holds when sources differ, or are silent, or take their word back:

- One source says drains or doubtful, another ready: the more cautious word.
- A source that said drains does not list it any more, another does: drains, until that source lists it as
  ready or all have dropped it.
- A source that said anything else does not list it any more, another does: drains for `forget_s`, so that a
  source that lags can't bring back what is gone; after that it has no word on it.
- Ready, from an answer no younger than the one that said drains: drains. A lagging server can't undo it.
- No source lists it: gone.
- A source is silent: its last list, for `keep_s`; after that its servers drain.
- An empty list after a full one: the full one, until it is empty again `doubt_s` later, or another agent says
  so too.
- More than `1 - in_use` of a source's servers are doubtful at once: as many doubtful ones as make up
  `in_use` are used.
- A server turned from ready and back `flaps` times in `flap_s`: doubtful, until it was quiet for `flap_s`.
- A source whose nodes are lent, outside its hours: its servers drain.

Drains are never held back by any of this: each rule leaves a server with less new work, or undoes a doubt,
not a drain.

What one change costs does not grow with the list: what may have changed is kept as a set, and only that is
judged anew.
"""

from __future__ import annotations

import hashlib
import heapq
from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum, unique

from micadeck.engine import EndpointEntry, EndpointUpdate
from micadeck.network import Address, place
from micadeck.policy.events import ListedServer, ServerState


@unique
class Precedence(IntEnum):
    """How much a word keeps from a server: the higher one holds."""

    READY = 0
    DOUBTFUL = 1
    DRAINS = 2


@dataclass(frozen=True, slots=True)
class Observation:
    """What one source says of one server."""

    address: Address
    caution: Precedence
    why: str = ""
    name: str = ""  # the source's own id of it; empty: named by its address
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at: int | None = None  # microseconds of Unix time


@dataclass(frozen=True, slots=True)
class SourceTrust:
    """What a source's word is worth; times in seconds."""

    keep_s: float = 3_600.0  # its list holds for so long without an answer
    doubt_s: float = 2.0  # an empty list is believed when seen again so much later
    in_use: float = 0.5  # this part of its servers stays in use when its checks fail on masses of them
    flaps: int = 4
    flap_s: float = 30.0
    forget_s: float = 60.0  # so long it vouches that what it dropped is gone, whoever else lists it
    lent: Callable[[float], bool] | None = None  # whether its nodes are lent at this Unix time; None: its own


TO_THE_LETTER = SourceTrust(keep_s=float("inf"), doubt_s=0.0, in_use=0.0, flaps=1 << 30)
"""For a source whose every word is meant: nothing of it is doubted, damped or outlived."""

_Key = tuple[int, Address]  # a doubtful server's place in the order in which they are put to use


@dataclass(slots=True)
class _Seen:
    """One server, as one source has told of it so far."""

    sighting: Observation
    key: _Key
    drained_as_of: float | None = None  # since when, in the source's own time; None: it is not draining
    turns: deque[float] = field(default_factory=deque)  # when it turned from ready, or back to it
    is_listed: bool = True
    vouched_until: float | None = None  # of one no more listed: None: for as long as anybody lists it
    held_back: Observation | None = None  # a word too old to undo the drain
    counted: Precedence | None = None  # as what it is counted in its source

    def word(self, trust: SourceTrust, now: float) -> Observation:
        """The source's word on it, damped."""
        sighting = self.sighting
        if not self.is_listed:
            return replace(
                sighting, caution=Precedence.DRAINS, why=f"no more listed ({sighting.why or 'ready'})"
            )
        while self.turns and now - self.turns[0] > trust.flap_s:
            self.turns.popleft()
        if sighting.caution is Precedence.READY and len(self.turns) >= trust.flaps:
            return replace(sighting, caution=Precedence.DOUBTFUL, why=f"flapping: {len(self.turns)} turns")
        return sighting


class _Source:
    """One source's servers, and how many of them are fit for use."""

    def __init__(self, trust: SourceTrust) -> None:
        self.trust = trust
        self.seen: dict[Address, _Seen] = {}
        self.listed = 0
        self.heard_at: float | None = None
        self.empty_since: float | None = None
        self.empty_by = ""
        self.is_silent = False
        self.is_lent = True
        self.held_back: set[Address] = set()
        self._ready = 0
        self._doubtful: list[_Key] = []
        self._border: _Key | None = None  # the last doubtful one that is put to use

    def count(self, seen: _Seen, now: float, *, is_kept: bool = True) -> None:
        """Count a server as what it is now, or not at all."""
        before = seen.counted
        seen.counted = seen.word(self.trust, now).caution if is_kept else None
        if before is seen.counted:
            return
        self._ready += (seen.counted is Precedence.READY) - (before is Precedence.READY)
        if before is Precedence.DOUBTFUL:
            del self._doubtful[bisect_left(self._doubtful, seen.key)]
        if seen.counted is Precedence.DOUBTFUL:
            insort(self._doubtful, seen.key)

    def settle(self) -> list[Address]:
        """Put doubtful servers to use when too many are; give those for which that changed.

        Then it is the check that is broken, more likely.  Those that drain want nothing new, whatever the
        checks are worth: they are no part of the whole.
        """
        whole = self._ready + len(self._doubtful)
        lacking = min(int(whole * self.trust.in_use + 0.999) - self._ready, len(self._doubtful))
        before, self._border = self._border, self._doubtful[lacking - 1] if lacking > 0 else None
        if before == self._border:
            return []
        ends = [
            bisect_right(self._doubtful, each) if each is not None else 0 for each in (before, self._border)
        ]
        return [address for _, address in self._doubtful[min(ends) : max(ends)]]

    def word(self, seen: _Seen, now: float) -> Observation:
        """What it says of a server, with what its trust makes of it."""
        word = seen.word(self.trust, now)
        if not seen.is_listed:
            return word
        if self.is_silent:
            return replace(word, caution=Precedence.DRAINS, why="its source is silent for too long")
        if not self.is_lent:
            return replace(word, caution=Precedence.DRAINS, why="not lent at this hour")
        if word.caution is Precedence.DOUBTFUL and self._border is not None and seen.key <= self._border:
            return replace(word, caution=Precedence.READY, why=f"in use though {word.why}: too many are")
        return word


@dataclass(frozen=True, slots=True)
class Row:
    """A line of the merged list, for people: who says what, and what holds."""

    name: str
    address: Address
    state: ServerState
    says: tuple[tuple[str, Precedence, str], ...]  # source, its word, why


class EndpointMerge:
    """The sources of one sidecar and the list that they make together.

    Times are seconds of Unix time that do not step back.  `salt` differs between sidecars, so that they do
    not all put the same doubtful servers to use.
    """

    def __init__(self, salt: int = 0) -> None:
        self._salt = salt
        self._sources: dict[str, _Source] = {}
        self._told: dict[Address, EndpointEntry] = {}
        self._owners: dict[str, Address] = {}  # by name, of what was told
        self._orphans: list[EndpointEntry] = []  # told under names that are no server's here
        self._urgent: dict[Address, None] = {}  # may have changed, and for the worse
        self._dirty: dict[Address, None] = {}  # may have changed
        self._due: list[tuple[float, str, Address]] = []  # what time alone changes, soonest first
        self.version = 0

    def add(self, source: str, trust: SourceTrust | None = None) -> None:
        self._sources[source] = _Source(trust or SourceTrust())

    @property
    def sources(self) -> tuple[str, ...]:
        return tuple(self._sources)

    def trust(self, source: str, trust: SourceTrust) -> None:
        """Weigh a source's word anew."""
        held = self._sources[source]
        held.trust = trust
        self._dirty |= dict.fromkeys(held.seen)

    def remove(self, source: str) -> None:
        """Nobody asks this source any more: it has no word on anything."""
        self._dirty |= dict.fromkeys(self._sources.pop(source).seen)

    def remembered(self, source: str, listing: EndpointUpdate) -> None:
        """Take a list held before a restart for told: it is this source's word until that speaks."""
        held = self._sources[source]
        for entry in listing.entries:
            if entry.address is None:
                continue
            if entry.address in self._told:
                # Two ids at one address are one server here.
                self._orphans.append(EndpointEntry(replace(entry.listed, state=ServerState.REMOVED), None))
                continue
            caution = Precedence.READY if entry.listed.state is ServerState.READY else Precedence.DRAINS
            self._sighted(held, 0.0, 0.0, sighting_of(entry, caution))
            self._told[entry.address] = entry
            self._owners[entry.listed.server] = entry.address

    def addresses(self, source: str) -> set[Address]:
        """The servers that a source lists."""
        return {address for address, seen in self._sources[source].seen.items() if seen.is_listed}

    # What is heard

    def heard(
        self,
        now: float,
        source: str,
        sightings: Iterable[Observation],
        *,
        lag_s: float = 0.0,
        agent: str = "",
    ) -> bool:
        """Take a source's whole list in, as it was `lag_s` ago; False if it is doubted: read it again."""
        current = {each.address: each for each in sightings}
        if not current and not self.believes_empty(now, source, agent):
            return False
        gone = self.addresses(source) - current.keys()
        self.changed(now, source, current.values(), gone, lag_s=lag_s)
        return True

    def believes_empty(self, now: float, source: str, agent: str = "") -> bool:
        """Whether a list without any server is to be taken for true: it may be that of an agent's restart."""
        held = self._sources[source]
        held.heard_at = now
        if not held.listed:
            return True
        if held.empty_since is None:
            held.empty_since, held.empty_by = now, agent
        return now - held.empty_since >= held.trust.doubt_s or agent != held.empty_by

    def changed(
        self,
        now: float,
        source: str,
        sightings: Iterable[Observation],
        gone: Iterable[Address] = (),
        *,
        lag_s: float = 0.0,
    ) -> None:
        """Take only what changed in; nothing, if the source said the same again."""
        held = self._sources[source]
        held.heard_at = now
        held.empty_since = None
        as_of = now - lag_s
        for address in gone:
            self._dropped(source, held, now, as_of, address)
        for sighting in sightings:
            seen = self._sighted(held, now, as_of, sighting)
            if len(seen.turns) >= held.trust.flaps:
                heapq.heappush(
                    self._due, (seen.turns[-held.trust.flaps] + held.trust.flap_s, source, sighting.address)
                )
        for address in list(held.held_back):
            waiting = held.seen[address]
            if waiting.held_back is None:
                held.held_back.discard(address)
            elif as_of > (waiting.drained_as_of or 0.0):
                self._sighted(held, now, as_of, waiting.held_back)

    def _dropped(self, source: str, held: _Source, now: float, as_of: float, address: Address) -> None:
        seen = held.seen.get(address)
        if seen is None or not seen.is_listed:
            return
        seen.is_listed, seen.held_back = False, None
        held.listed -= 1
        held.held_back.discard(address)
        if seen.drained_as_of is None:
            seen.drained_as_of = as_of
            seen.vouched_until = now + held.trust.forget_s
            heapq.heappush(self._due, (seen.vouched_until, source, address))
        held.count(seen, now)
        self._urgent[address] = None

    def _sighted(self, held: _Source, now: float, as_of: float, sighting: Observation) -> _Seen:
        address = sighting.address
        seen = held.seen.get(address)
        if seen is None:
            seen = held.seen[address] = _Seen(sighting, self._key(address))
            held.listed += 1
        else:
            held.listed += not seen.is_listed
            if (seen.sighting.caution is Precedence.READY) != (sighting.caution is Precedence.READY):
                seen.turns.append(now)
        seen.is_listed, seen.vouched_until, seen.held_back = True, None, None
        if sighting.caution is Precedence.DRAINS:
            seen.drained_as_of = max(as_of, seen.drained_as_of or as_of)
        elif seen.drained_as_of is not None:
            if as_of < now and as_of <= seen.drained_as_of:
                seen.held_back = sighting  # to be taken up once an answer is younger
                held.held_back.add(address)
                sighting = replace(
                    sighting, caution=Precedence.DRAINS, why=f"{sighting.why}, but told to drain since"
                )
            else:
                seen.drained_as_of = None
        seen.sighting = sighting
        held.count(seen, now)
        (self._dirty if sighting.caution is Precedence.READY else self._urgent)[address] = None
        return seen

    # What holds

    def changes(self, now: float, most: int | None = None) -> EndpointUpdate | None:
        """What is to be told since the last call; None if nothing is.

        At most so many servers are judged in one call, first those that may have to be left: call again
        while `is_behind`.
        """
        self._pass_time(now)
        for held in self._sources.values():
            self._dirty |= dict.fromkeys(held.settle())
        entries, self._orphans = self._orphans, []
        left = len(self._urgent) + len(self._dirty) if most is None else most
        while left > 0 and self.is_behind:
            left -= 1
            # An address in both is judged once for each; the second finds nothing to tell.
            queue = self._urgent or self._dirty
            address = next(iter(queue))
            del queue[address]
            self._judge(address, now, entries)
        if not entries:
            return None
        self.version += 1
        return EndpointUpdate(self.version, False, tuple(entries))

    @property
    def is_behind(self) -> bool:
        """Whether servers wait to be judged."""
        return bool(self._urgent or self._dirty)

    def whole(self) -> EndpointUpdate:
        """All that was told so far, as one list."""
        return EndpointUpdate(self.version, True, tuple(self._told.values()))

    def rows(self, now: float) -> list[Row]:
        """Every server that is listed, with each source's word."""
        self._pass_time(now)
        rows = []
        for address in dict.fromkeys(address for held in self._sources.values() for address in held.seen):
            words = self._words(address, now)
            if words is not None:
                entry = self._one(address, words)
                says = tuple((source, each.caution, each.why) for source, each in words)
                rows.append(Row(entry.listed.server, address, entry.listed.state, says))
        return rows

    def _pass_time(self, now: float) -> None:
        """Take in what time alone has changed."""
        for held in self._sources.values():
            is_silent = held.heard_at is not None and now - held.heard_at > held.trust.keep_s
            is_lent = held.trust.lent is None or held.trust.lent(now)
            if (is_silent, is_lent) != (held.is_silent, held.is_lent):
                held.is_silent, held.is_lent = is_silent, is_lent
                self._dirty |= dict.fromkeys(held.seen)
        while self._due and self._due[0][0] < now:
            _, source, address = heapq.heappop(self._due)
            due = self._sources.get(source)
            seen = due.seen.get(address) if due is not None else None
            if due is None or seen is None:
                continue
            if seen.vouched_until is not None and seen.vouched_until < now:
                self._forget(due, address)
            else:
                due.count(seen, now)
            self._dirty[address] = None

    @staticmethod
    def _forget(held: _Source, address: Address) -> None:
        seen = held.seen.pop(address)
        held.listed -= seen.is_listed
        held.held_back.discard(address)
        held.count(seen, 0.0, is_kept=False)

    def _judge(self, address: Address, now: float, entries: list[EndpointEntry]) -> None:
        told = self._told.get(address)
        words = self._words(address, now)
        if words is None:
            # Only words of what is gone are left of it: all sources have dropped it, and with it these.
            for held in self._sources.values():
                if address in held.seen:
                    self._forget(held, address)
            if told is not None:
                del self._told[address]
                del self._owners[told.listed.server]
                entries.append(EndpointEntry(replace(told.listed, state=ServerState.REMOVED), None))
            return
        entry = self._one(address, words)
        if entry != told:
            before = self._owners.get(entry.listed.server, address)
            if before != address:
                del self._told[before]
            self._told[address] = entry
            self._owners[entry.listed.server] = address
            entries.append(entry)

    def _words(self, address: Address, now: float) -> list[tuple[str, Observation]] | None:
        """Each source's word on a server; None if none lists it."""
        words, is_listed = [], False
        for source, held in self._sources.items():
            seen = held.seen.get(address)
            if seen is not None:
                words.append((source, held.word(seen, now)))
                is_listed = is_listed or seen.is_listed
        return words if is_listed else None

    def _one(self, address: Address, words: list[tuple[str, Observation]]) -> EndpointEntry:
        caution = max(sighting.caution for _, sighting in words)
        told = self._told.get(address)
        starts = [sighting.started_at for _, sighting in words if sighting.started_at is not None]
        listed = ListedServer(
            server=self._name(address, words),
            zone=next((each.zone for _, each in words if each.zone), ""),
            kind=next((each.kind for _, each in words if each.kind), ""),
            cell=next((each.cell for _, each in words if each.cell), 0),
            state=ServerState.READY if caution is Precedence.READY else ServerState.DRAINING,
            nominal=min(each.weight for _, each in words),
            # The later start is the more cautious word; that nobody tells it any more is no other start.
            started_at=max(starts, default=told.listed.started_at if told is not None else None),
        )
        return EndpointEntry(listed, address)

    def _name(self, address: Address, words: list[tuple[str, Observation]]) -> str:
        """The name under which a server is told.

        Kept once given: a name that changed would be another server to the decisions, cold connections and
        all.  One that a source took along to another address goes with it, once the old address is gone.
        """
        told = self._told.get(address)
        if told is not None:
            return told.listed.server
        named = next((sighting.name for _, sighting in words if sighting.name), "")
        owner = self._owners.get(named)
        if not named or (owner is not None and owner != address and self._is_listed(owner)):
            return place(address)
        return named

    def _is_listed(self, address: Address) -> bool:
        return any(
            (seen := held.seen.get(address)) is not None and seen.is_listed for held in self._sources.values()
        )

    def _key(self, address: Address) -> _Key:
        # No checksum: those are linear, and all salts would choose between two halves.
        salted = f"{self._salt} {address[0]} {address[1]}".encode()
        return int.from_bytes(hashlib.blake2b(salted, digest_size=8).digest(), "big"), address


def sighting_of(entry: EndpointEntry, caution: Precedence, why: str = "") -> Observation:
    """An entry of a list in the engine's form as a source's word."""
    assert entry.address is not None
    listed = entry.listed
    return Observation(
        address=entry.address,
        caution=caution,
        why=why,
        name=listed.server,
        zone=listed.zone,
        kind=listed.kind,
        cell=listed.cell,
        weight=listed.nominal,
        started_at=listed.started_at,
    )
