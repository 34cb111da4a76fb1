"""Whether a watch on the list of servers is still believed, and when to begin it anew.  No input or output.

A watch that fell silent looks like one without news.  Two things tell them apart.  Each of its calls waits
for a short while only, so that an answer, be it an empty one, is due by then.  And what the servers show,
such as a dial turned down where the list has one, speaks against a list that nothing confirmed since.

Where discovery is one service for all, only the first of the two is heeded: servers turn all sidecars down
together, and if each gave up its watch to ask anew, most would stand in one line and none would be told.

One clock rules all of it: what discovery has and could be reached for counts as told `TOLD_S` after,
whatever became of the calls.  So, asked, in each state a fresh call is out or begun within `GAP_S`:

    state                                        the next fresh call is begun within
    no call yet, moved by SIGHUP                 0
    failed and waiting                           AGAIN_S, the longest wait of the decisions
    dialling a host that is not there            DIAL_WITHIN_S + AGAIN_S
    a first call out, silent                     _FIRST_LATE_S
    a watch up, silent                           its wait and _LATE_S
    more calls out, all silent                   _APART_S, or to the end of them all and AGAIN_S

and `GAP_S`, one more call that is lost (`_APART_S`) and an answer of `ANSWER_S` end within `TOLD_S`.  Where
lists are pushed, what the agent has counts as told at once when it is back: a fresh call is begun within a
part of the drain's grace as long as none was answered.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, replace

from micadeck.policy.discovery_polling import MAX_BACKOFF_NOTIFICATION_FRACTION
from micadeck.policy.settings import NOTIFICATION_DEADLINE_US

TOLD_S = NOTIFICATION_DEADLINE_US / 1e6
AGAIN_S = MAX_BACKOFF_NOTIFICATION_FRACTION * TOLD_S  # the longest wait after a failed call
DIAL_WITHIN_S = 1.0
GAP_S = 3.2
ANSWER_S = 1.5
_TOLD_LATE_S = 2.0
_WAIT = 0.2  # how long a call waits for news, of the time allowed without asking
_WAIT_LEAST_S, _WAIT_MOST_S = 0.5, 2.0
_WAIT_PUSHED_S = 1.0  # of an agent on this machine, which answers at no cost
_LATE_S, _LATE_PUSHED_S = 0.5, 0.3  # how much later than its wait an answer may come: discovery may be busy
_FIRST_LATE_S = GAP_S  # and that of a call that begins a watch: many may at once, and stand in line
_APART_S = 1.2  # from one call for a late answer to the next
_APART_PUSHED = 0.4  # of the grace, so that what an agent has when it is back is heard in it
_APART_PUSHED_LEAST_S, _APART_PUSHED_MOST_S = 0.1, 0.25
_ANSWER_WITHIN_S = 5.0  # a call that waits for nothing
_AT_ONCE = 4  # calls that may be out for one answer
_SPREAD = 0.25  # of the wait: sidecars that are turned down together must not all ask together
_DOUBTS_APART = (
    0.25  # of the wait: the least from one doubt's call to the next, doubled while they bring nothing
)


@dataclass(frozen=True, slots=True)
class ResponseTimeout:
    """How long one answer is waited for; times in seconds from the call on."""

    wait_ms: int  # how long discovery is asked to wait for news
    within_s: float  # how long the call may take, all told
    late_s: float  # from here on it is asked anew beside it, on a connection of its own
    apart_s: float  # and again after each further so much
    until_s: float  # but from here on it has failed, whatever is out
    at_once: int  # calls that may be out at a time
    drops_newest: bool  # whether one more takes the newest one's place, or is not made
    in_line: bool = False  # whether it may wait for its turn at discovery, as one that begins a watch does

    def again(self) -> ResponseTimeout:
        """Of a call that is answered at once: one with which a watch begins, or beside one that is late."""
        if self.drops_newest:
            return replace(self, wait_ms=0, within_s=_ANSWER_WITHIN_S, late_s=self.apart_s)
        return replace(self, wait_ms=0, late_s=_FIRST_LATE_S, until_s=_until(_FIRST_LATE_S), in_line=True)


def _until(late_s: float) -> float:
    """Where discovery is asked: when all is given up that was asked since, the last a while before."""
    return min(late_s + (_AT_ONCE - 1) * _APART_S, TOLD_S)


class WatchHealth:
    """One watch, from call to call.  Times are whole microseconds of any one clock."""

    def __init__(
        self,
        allowed_us: int,
        chance: random.Random,
        *,
        is_pushed: bool = False,
        grace_us: int = 1_000_000,
    ) -> None:
        """By the settings: how long a sidecar may go on without having asked, and for how long after word of
        a drain it may send."""
        self._chance = chance
        self._is_pushed = is_pushed
        self.allow(allowed_us, grace_us)
        self._confirmed_at: int | None = None
        self._doubted_at: int | None = None  # when, as long as a renewal is planned for it
        self._renewed_at: int | None = None  # the last renewal for a doubt
        self._in_vain = 0  # renewals in a row that brought nothing

    def allow(self, allowed_us: int, grace_us: int) -> None:
        """Go by these times from the next call on."""
        wait_s = min(max(_WAIT * allowed_us / 1e6, _WAIT_LEAST_S), _WAIT_MOST_S)
        late_s, apart_s = _LATE_S, _APART_S
        if self._is_pushed:
            wait_s = min(wait_s, _WAIT_PUSHED_S)
            late_s = _LATE_PUSHED_S
            apart_s = min(max(_APART_PUSHED * grace_us / 1e6, _APART_PUSHED_LEAST_S), _APART_PUSHED_MOST_S)
        self.waiting = ResponseTimeout(
            wait_ms=round(wait_s * 1e3),
            within_s=wait_s + _TOLD_LATE_S if self._is_pushed else TOLD_S,
            late_s=wait_s + late_s,
            apart_s=apart_s,
            # Guards against calls that are all lost and hold the place of the one that would be answered.
            until_s=math.inf if self._is_pushed else _until(wait_s + late_s),
            at_once=_AT_ONCE,
            # An agent that was silent is heard soon after it is back.  Where discovery works through calls in
            # turn, the one that waits longest is answered next, and more of them only make the line longer.
            drops_newest=self._is_pushed,
        )
        """Of a call of the watch that waits for news."""
        self.first = self.waiting.again()
        """Of the one with which a watch begins."""
        self.second = self.waiting
        """Of the one after it, with which it may only begin in truth."""
        if not self._is_pushed:
            self.second = replace(self.first, wait_ms=self.waiting.wait_ms)

    def confirmed(self, now: int, *, brought_news: bool) -> None:
        """An answer of the watch came: until then its list was discovery's own."""
        self._confirmed_at = now
        if brought_news:
            self._in_vain = 0

    def doubted(self, now: int) -> int | None:
        """Something speaks against the list; say when to ask `is_due`, or None if nothing is to be planned.

        Nothing is where discovery is one for all: guards against all sidecars giving up at once the watches
        that would have told them, for places in one line.  A silent watch's answer is late soon.
        """
        if self._doubted_at is not None or not self._is_pushed:
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
