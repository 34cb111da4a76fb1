"""The members as one of them holds them, and a digest by which two views are compared.

The digest is the sum of a hash for each member, so that a change costs the same whatever the view's size; it
is kept by sixteen branches of sixteen, so that two views that differ find where in three steps.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

import msgspec

from micadeck.fleet.member_records import Claim, State

BRANCHES = 16
LEVELS = 2  # of branches below the whole: 256 leaves
_MASK = (1 << 63) - 1


class Count(msgspec.Struct, frozen=True):
    """How many members there are, itself included: at least so many, at most so many."""

    least: int  # that were heard of lately by evidence
    most: int  # with those that may only be cut off


class Held(msgspec.Struct):
    """One member, in one view."""

    claim: Claim
    since: int  # when the claim came to hold, by this member's clock
    weight: int = 0  # its part of the digest


class View:
    """All members and what is claimed of them; claims that hold are taken, the others are not."""

    def __init__(self) -> None:
        self.members: dict[str, Held] = {}
        self.states = [0] * len(State)  # how many members are in each
        self._gone: dict[str, tuple[tuple[int, int, int], int]] = {}  # dropped: rank, and when
        self._branches = [[0] * BRANCHES ** (level + 1) for level in range(LEVELS)]
        self._leaves: list[dict[str, None]] = [{} for _ in range(BRANCHES**LEVELS)]
        self.digest = 0
        self.changed_at = 0  # when the digest last did

    @property
    def there(self) -> int:
        """Those that are alive or suspect."""
        return self.states[State.ALIVE] + self.states[State.SUSPECT]

    def get(self, name: str) -> Claim | None:
        held = self.members.get(name)
        return held.claim if held is not None else None

    def take(self, now: int, claim: Claim) -> bool:
        """Hold a claim if it holds over what was known; say whether anything changed."""
        held = self.members.get(claim.name)
        if held is None:
            gone = self._gone.get(claim.name)
            if gone is not None:
                if claim.rank <= gone[0]:
                    return False  # a slow piece of gossip about one that was forgotten
                if claim.is_there:
                    del self._gone[claim.name]
            if not claim.is_there:
                # Nothing is known that it ends; only that older claims are void.
                self._gone[claim.name] = (claim.rank, now)
                return False
            held = self.members[claim.name] = Held(claim, now)
            self._leaves[_leaf(claim.name)][claim.name] = None
            self.states[claim.state] += 1
        else:
            if not claim.over(held.claim):
                return False
            self._weigh(now, held, -1)
            before, is_same = held.claim, held.claim.start == claim.start
            self.states[before.state] -= 1
            self.states[claim.state] += 1
            held.claim = _with_facts(claim, before) if is_same else claim
            held.since = now
        held.weight = _weight(held.claim)
        self._weigh(now, held, 1)
        return True

    def forget(self, now: int, forget_us: int, remember_us: int) -> list[str]:
        """Drop those that are gone for long; what was claimed of them last is remembered for longer still."""
        old = [
            name
            for name, held in self.members.items()
            if not held.claim.is_there and now - held.since >= forget_us
        ]
        for name in old:
            held = self.members.pop(name)
            self.states[held.claim.state] -= 1
            self._weigh(now, held, -1)
            del self._leaves[_leaf(name)][name]
            self._gone[name] = (held.claim.rank, now)
        for name in [name for name, (_, at) in self._gone.items() if now - at >= remember_us]:
            del self._gone[name]
        return old

    def _weigh(self, now: int, held: Held, sign: int) -> None:
        # One that is gone weighs nothing: views differ in when they forget it.
        if not held.claim.is_there:
            return
        self.changed_at = now
        leaf = _leaf(held.claim.name)
        self.digest = (self.digest + sign * held.weight) & _MASK
        for level, branches in enumerate(self._branches):
            at = leaf // BRANCHES ** (LEVELS - 1 - level)
            branches[at] = (branches[at] + sign * held.weight) & _MASK

    # Comparing

    def branches(self, path: tuple[int, ...]) -> list[int]:
        """The digests of a branch's sixteen branches, each cut to 32 bits."""
        first = 0
        for each in path:
            first = (first + each) * BRANCHES
        return [each & 0xFFFFFFFF for each in self._branches[len(path)][first : first + BRANCHES]]

    def under(self, path: tuple[int, ...]) -> Iterator[Claim]:
        """What is claimed of the members in a branch, the gone ones included."""
        width = BRANCHES ** (LEVELS - len(path))
        first = 0
        for each in path:
            first = first * BRANCHES + each
        for leaf in range(first * width, (first + 1) * width):
            for name in self._leaves[leaf]:
                yield self.members[name].claim


def _with_facts(claim: Claim, before: Claim) -> Claim:
    """What is claimed of a member's state by others says nothing of its place and its facts."""
    if claim.host:
        return claim
    return msgspec.structs.replace(claim, host=before.host, port=before.port, facts=before.facts)


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _leaf(name: str) -> int:
    return _hash(name) % int(BRANCHES**LEVELS)


def _weight(claim: Claim) -> int:
    # Who is suspected is a matter of moments, and no two views agree on it for long.
    state = State.ALIVE if claim.is_there else claim.state
    return _hash(f"{claim.name} {claim.start} {claim.incarnation} {int(state)}")
