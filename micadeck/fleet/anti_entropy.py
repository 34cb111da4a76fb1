"""Finds where two views differ, by branches, and brings each what the other holds.

A view settles by this even if every piece of news was lost.  It has so many datagrams a period, and no more.
"""

from __future__ import annotations

import random

import msgspec

from micadeck.fleet.member_records import Claim
from micadeck.fleet.member_table import LEVELS, View
from micadeck.fleet.messages import Branches, Leaf, Path, size

_MOST = 16  # datagrams in a period; what is over waits for the next
_SMALL = 6  # members: a branch with so few is told whole
_PATIENCE = 2  # digests in a row that may differ before views are compared: the news is on its way


class Comparison:
    """One member's side of comparing its view with others'."""

    def __init__(self, view: View, chance: random.Random, room: int) -> None:
        """`room`: bytes that a message may take."""
        self._view = view
        self._chance = chance
        self._room = room
        self._left = _MOST
        self._apart = 0  # digests in a row that told of another view

    def period(self) -> None:
        """Another period begins."""
        self._left = _MOST

    def digest_heard(self, digest: int) -> list[Branches]:
        """Another member's view has this digest."""
        self._apart = self._apart + 1 if digest != self._view.digest else 0
        return self._branches(()) if self._apart > _PATIENCE else []

    def branches_heard(self, theirs: Branches) -> list[Branches | Leaf]:
        """Look into each branch that differs."""
        ours = self._view.branches(theirs.path)
        differ = [
            at for at, (one, other) in enumerate(zip(ours, theirs.digests, strict=True)) if one != other
        ]
        self._chance.shuffle(differ)
        said: list[Branches | Leaf] = []
        for at in differ:
            below = (*theirs.path, at)
            is_small = len(below) == LEVELS or sum(1 for _ in self._view.under(below)) <= _SMALL
            said += self._leaf(below, False) if is_small else self._branches(below)
        return said

    def leaf_heard(self, theirs: Leaf) -> list[Leaf]:
        """Once its claims were taken: tell what they lack, or hold too lightly."""
        told = {claim.name: claim for claim in theirs.claims}
        if theirs.is_answer or not any(
            each.over(told.get(each.name)) for each in self._view.under(theirs.path)
        ):
            return []
        return self._leaf(theirs.path, True)

    def _branches(self, path: Path) -> list[Branches]:
        if self._left <= 0:
            return []
        self._left -= 1
        return [Branches(path, tuple(self._view.branches(path)))]

    def _leaf(self, path: Path, is_answer: bool) -> list[Leaf]:
        """As many as the claims need, each as full as a datagram gets."""
        claims = [_brief(each) for each in self._view.under(path)]
        said: list[Leaf] = []
        while self._left > 0:
            self._left -= 1
            room = self._room - size(Leaf(path, is_answer, ()))
            fit: list[Claim] = []
            while claims and size(claims[-1]) <= room:
                room -= size(claims[-1])
                fit.append(claims.pop())
            said.append(Leaf(path, is_answer, tuple(fit)))
            if not claims:
                break
        return said


def _brief(claim: Claim) -> Claim:
    return msgspec.structs.replace(claim, facts=None, by=None)
