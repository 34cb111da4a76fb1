"""Whether a watch on the list of servers is still believed, and when to begin it anew.  No input or output.

A watch that fell silent looks like one without news.  Two things tell them apart.  Each of its calls waits
for a short while only, so that an answer, be it an empty one, is due by then.  And what the servers show,
such as a dial turned down where the list has one, speaks against a list that nothing confirmed since.

One clock rules all of it: what a silent watch misses counts as told `TOLD_S` after the silence began, or
`_TOLD_LATE_S` after the wait of its call is over, if that is later.  So wait, lateness and two further calls,
the first of them lost, end within `TOLD_S`, however long the settings allow for asking.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace

TOLD_S = 6.0
_TOLD_LATE_S = 2.0
_WAIT = 0.2  # how long a call waits for news, of the time allowed without asking
_WAIT_LEAST_S, _WAIT_MOST_S = 0.5, 2.0
_WAIT_PUSHED_S = 1.0  # of an agent on this machine, which answers at no cost
_LATE_S, _LATE_PUSHED_S = 0.5, 0.3  # how much later than its wait an answer may come: discovery may be busy
_FIRST_LATE_S = 2.5  # and that of a call with which a watch begins, as many may at once
_APART_S, _APART_PUSHED_S = 1.5, 0.25  # from one call for a late answer to the next
_ANSWER_WITHIN_S = 5.0  # a call that waits for nothing
_AT_ONCE, _AT_ONCE_PUSHED = 3, 4  # calls that may be out for one answer
_SPREAD = 0.25  # of the wait: sidecars that are turned down together must not all ask together
_DOUBTS_APART = (
    0.25  # of the wait: the least from one doubt's call to the next, doubled while they bring nothing
)


@dataclass(frozen=True, slots=True)
class Patience:
    """How long one answer is waited for; times in seconds from the call on."""

    wait_ms: int  # how long discovery is asked to wait for news
    within_s: float  # how long the call may take, all told
    late_s: float  # from here on it is asked anew beside it, on a connection of its own
    apart_s: float  # and again after each further so much
    until_s: float  # but not from here on: then it fails once all that was asked has failed
    at_once: int  # calls that may be out at a time
    drops_newest: bool  # whether one more takes the newest one's place, or is not made

    def again(self) -> Patience:
        """Of a call that is answered at once: one with which a watch begins, or beside one that is late."""
        late_s = self.apart_s if self.drops_newest else _FIRST_LATE_S
        return replace(self, wait_ms=0, within_s=_ANSWER_WITHIN_S, late_s=late_s)


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
        late_s, apart_s, at_once = _LATE_S, _APART_S, _AT_ONCE
        if self._is_pushed:
            wait_s = min(wait_s, _WAIT_PUSHED_S)
            late_s, apart_s, at_once = _LATE_PUSHED_S, _APART_PUSHED_S, _AT_ONCE_PUSHED
        self.waiting = Patience(
            wait_ms=round(wait_s * 1e3),
            within_s=wait_s + _TOLD_LATE_S,
            late_s=wait_s + late_s,
            apart_s=apart_s,
            # Guards a discovery that is down against being asked on and on: the decisions ask ever rarer.
            until_s=math.inf if self._is_pushed else TOLD_S,
            at_once=at_once,
            # An agent that was silent is heard soon after it is back.  Where discovery works through calls in
            # turn, the one that waits longest is answered next, and more of them only make the line longer.
            drops_newest=self._is_pushed,
        )
        """Of a call of the watch that waits for news."""
        self.first = self.waiting.again()
        """Of the one with which a watch begins."""

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
        wait_us = self.waiting.wait_ms * 1_000
        due = now + int(_SPREAD * wait_us * self._chance.random())
        if self._renewed_at is not None:
            apart = min(_DOUBTS_APART * 2**self._in_vain, 1.0) * wait_us
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
