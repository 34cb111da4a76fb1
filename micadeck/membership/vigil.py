"""Whether a watch on the list of servers is still believed, and when to begin it anew.  No input or output.

A watch that fell silent looks like one without news.  Two things tell them apart.  Each of its calls waits
for a short while only, so that an answer, be it an empty one, is due by then.  And what the servers show,
such as a dial turned down where the list has one, speaks against a list that nothing confirmed since.
"""

from __future__ import annotations

import random

_WAIT = 0.2  # how long a call waits for news, of the time allowed without asking
_WAIT_LEAST_S, _WAIT_MOST_S = 0.5, 4.0
_WAIT_PUSHED_S = 1.0  # of an agent on this machine, which answers at no cost
_LATE = 0.5  # how much later than its wait an answer may come, of that wait: discovery may be busy
_LATE_LEAST_S, _LATE_MOST_S = 0.5, 2.0
_SPREAD = 0.25  # of the wait: sidecars that are turned down together must not all ask together
_APART = 0.25  # of the wait: the least from one doubt's call to the next, doubled while they bring nothing


class Vigil:
    """One watch, from call to call.  Times are whole microseconds of any one clock."""

    def __init__(self, allowed_us: int, chance: random.Random, *, is_pushed: bool = False) -> None:
        """`allowed_us`: how long the settings let a sidecar go on without having asked."""
        self._chance = chance
        self._is_pushed = is_pushed
        self.allow(allowed_us)
        self._confirmed_at: int | None = None
        self._doubted_at: int | None = None  # when, as long as a renewal is planned for it
        self._renewed_at: int | None = None  # the last renewal for a doubt
        self._in_vain = 0  # renewals in a row that brought nothing

    def allow(self, allowed_us: int) -> None:
        """Go by this time from the next call on."""
        wait_s = min(max(_WAIT * allowed_us / 1e6, _WAIT_LEAST_S), _WAIT_MOST_S)
        if self._is_pushed:
            wait_s = min(wait_s, _WAIT_PUSHED_S)
        self.wait_ms = round(wait_s * 1e3)
        """How long a call of the watch asks discovery to wait for news, in milliseconds."""
        self.within_s = wait_s + min(max(_LATE * wait_s, _LATE_LEAST_S), _LATE_MOST_S)
        """How long it may take to be answered; from then on the watch has fallen silent."""

    def confirmed(self, now: int, *, brought_news: bool) -> None:
        """An answer of the watch came: until then its list was discovery's own."""
        self._confirmed_at = now
        if brought_news:
            self._in_vain = 0

    def doubted(self, now: int) -> int | None:
        """Something speaks against the list; say when to ask `is_due`, or None if that is planned already."""
        if self._doubted_at is not None:
            return None
        self._doubted_at = now
        wait_us = self.wait_ms * 1_000
        due = now + int(_SPREAD * wait_us * self._chance.random())
        if self._renewed_at is not None:
            apart = min(_APART * 2**self._in_vain, 1.0) * wait_us
            due = max(due, self._renewed_at + int(apart * (1.0 + _SPREAD * self._chance.random())))
        return due

    def is_due(self, now: int) -> bool:
        """Whether to begin the watch anew, with the whole list: nothing confirmed it since it was doubted."""
        doubted_at, self._doubted_at = self._doubted_at, None
        if doubted_at is None or (self._confirmed_at is not None and self._confirmed_at > doubted_at):
            return False
        self._renewed_at = now
        self._in_vain = min(self._in_vain + 1, 8)
        return True

    def moved(self) -> None:
        """The watch is at another discovery now: what was doubted was the old one's."""
        self._confirmed_at = self._doubted_at = self._renewed_at = None
        self._in_vain = 0
