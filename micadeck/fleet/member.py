"""One member of the fleet: what it sends and concludes when time passes and datagrams come.

Each period one other member is asked (in a shuffled round, so that everybody's turn comes).  If it does not
answer in time, helpers ask it too; if nothing comes by the end of the period it is suspected, and unless it
refutes that, dead.  What is news rides on these datagrams, and so do digests, by which views are compared.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

import msgspec

from micadeck.fleet.anti_entropy import Comparison
from micadeck.fleet.authentication import Keys, Seal
from micadeck.fleet.broadcast_queue import Gossip
from micadeck.fleet.member_records import Claim, Facts, State
from micadeck.fleet.member_table import Count, View
from micadeck.fleet.messages import (
    Ack,
    Ask,
    Branches,
    Leaf,
    Message,
    News,
    Ping,
    Rumour,
    Silent,
    WithNews,
    size,
)
from micadeck.fleet.settings import FleetSettings
from micadeck.network import Address

_HEARD_PERIODS = 6  # whom an answer came from in these counts as heard
_HEARD_FROM = 4  # so many have to hold the same view for it to be settled
_MOST_DIGESTS = 96  # of others, the last to be heard
_FACTS_APART_US = 5_000_000  # the least between two changes of facts that are told
_FACTS_APART_EACH_US = 20_000  # and for each member: what all tell together stays bounded
_LOOK_TOO = 6  # members, of all, that ask a suspect next
_SWEEP_PERIODS = 8  # in each so many, those that are gone for long are dropped
_LOST_MOST = 3  # more in a period, while some of them come back
_LOST_PERIODS = 4  # in each so many, one is asked that is called dead
_MISSED_STEP = 0.05  # of the last twenty questions or so
_MISSED_USUAL = 0.1  # a member that died leaves as many unanswered
_LEAVE_TO = 6  # members that are told by the one that leaves
_NEWS_FOR_US = 60_000_000  # a piece of news is passed on no longer
_MOST_RUMOURS = 2_000


@dataclass(frozen=True, slots=True)
class Changed:
    """Another claim holds on a member from now on."""

    claim: Claim


@dataclass(slots=True)
class Output:
    """What to send, in order, and what is new."""

    datagrams: list[tuple[Address, bytes]] = field(default_factory=list)
    events: list[Changed | Rumour] = field(default_factory=list)


@dataclass(slots=True)
class _Probe:
    """The question of one period."""

    number: int
    claim: Claim
    asked: int = 0  # helpers
    said_none: int = 0  # of these
    answered: bool = False
    missed: bool = False  # whether it did not answer by itself in time


class Fleet:
    """One member.  `now` is any clock that never steps back, `wall` Unix time; both in microseconds."""

    def __init__(
        self,
        name: str,
        start: int,
        address: Address,
        keys: Keys,
        seed: int,
        settings: FleetSettings,
        now: int,
    ) -> None:
        self.name = name
        self.view = View()
        self.seal = Seal(name, start, keys)
        self.settings = settings
        self.slow = 0  # how slow this member takes itself to be, from 0
        self.is_superseded = False  # a later process has its name
        self.malformed = 0  # messages of members that can't be: of another make, or lies
        self._now = now
        self._wall = 0
        self._chance = random.Random(seed)
        self._out = Output()
        self._me = Claim(name, start, 0, State.ALIVE, *address, Facts())
        self._gossip = Gossip()
        self._known: list[Address] = []  # where somebody may be, until somebody was heard
        self._round: list[str] = []
        self._probe: _Probe | None = None
        self._numbers = 0
        self._missed = 0.0  # part of the questions that were not answered by themselves
        self._for_others: dict[
            int, tuple[Address, int]
        ] = {}  # asked as a helper: whom to tell, and its number
        self._agenda: list[tuple[int, int, str, Any]] = []
        self._order = 0
        self._accusers: dict[str, set[str | None]] = {}
        self._digests: dict[str, tuple[int, int]] = {}  # what others hold: digest, and when they said so
        self._comparison = Comparison(self.view, self._chance, self.seal.room())
        self._rumours: dict[str, int] = {}  # what was told of servers: the version
        self._facts_told_at = now - _FACTS_APART_US
        self._facts_due = False
        self._has_left = False
        self._is_established = False  # whether anybody answered a question of this process
        self._periods = 0
        self._found = 0  # of the dead, who came back in this period: a cut has healed, and there are more
        self._hold(self._me)
        self._schedule(self._chance.randrange(settings.period_us), "period")

    # What its host calls

    @property
    def due(self) -> int:
        """When `tick` is to be called next."""
        return self._agenda[0][0]

    def join(self, addresses: Iterable[Address]) -> None:
        """Somebody may be at these addresses; any one of them is enough."""
        self._known = [each for each in addresses if each != (self._me.host, self._me.port)]

    def tick(self, now: int, wall: int) -> Output:
        """Do what is due."""
        self._begin(now, wall)
        if now - self.due > self.settings.period_us:
            self._woke()
        while self._agenda and self._agenda[0][0] <= now:
            _, _, what, about = heapq.heappop(self._agenda)
            if what == "period":
                self._period()
            elif what == "unanswered":
                self._unanswered(about)
            elif what == "silent":
                self._helped_in_vain(about)
            else:
                self._suspicion_ends(*about)
        return self._end()

    def heard(self, now: int, wall: int, source: Address, data: bytes) -> Output:
        """A datagram came."""
        self._begin(now, wall)
        read = self.seal.read(wall, data)
        if read is not None and read[0] != self.name and not self._is_mute:
            sender, message = read
            try:
                self._take(sender, source, msgspec.convert(message, Message))
            except msgspec.ValidationError:
                self.malformed += 1
        return self._end()

    def tell(self, now: int, facts: Facts) -> None:
        """Tell these facts of itself from now on; they go out a few seconds apart at most."""
        if facts == self._me.facts:
            return
        self._me = msgspec.structs.replace(self._me, facts=facts)
        self._facts_due = True
        self._now = now
        self._tell_facts_if_due()

    @property
    def facts(self) -> Facts:
        """What it tells of itself."""
        return self._me.facts or Facts()

    def rumour(self, now: int, server: str, word: str, version: int) -> None:
        """Pass on what this member was told of a server: that it drains, is gone, or started."""
        self._now = now
        if len(server) <= 80:  # else it fits no datagram
            self._pass_on(Rumour(server, word, version))

    def leave(self, now: int, wall: int) -> Output:
        """Say that this member leaves; nothing is said after it."""
        self._begin(now, wall)
        gone = msgspec.structs.replace(self._me, state=State.LEFT, facts=None)
        others = self._others()
        for name in self._chance.sample(others, min(_LEAVE_TO, len(others))):
            self._send(self._place(name), Ping(0, self.view.digest), [gone])
        self._has_left = True
        return self._end()

    @property
    def _is_mute(self) -> bool:
        """Whether this process says nothing more: it left, or another one is the member."""
        return self._has_left or self.is_superseded

    @property
    def settled(self) -> bool:
        """Whether those that were heard last, since the view last changed, hold the same one."""
        wanted = min(_HEARD_FROM, self.view.there - 1)
        last = list(islice(reversed(self._digests.values()), wanted))
        return len(last) == wanted and all(
            digest == self.view.digest and at > self.view.changed_at and self._is_lately(at)
            for digest, at in last
        )

    def count(self) -> Count:
        """How many members there are, by what this one knows.

        Settled, the fleet has agreed, and only suspects are in doubt.  Else nothing is certain but whom this
        member heard itself, and whoever was called dead lately may live on the other side of a cut.
        """
        if self.settled:
            return Count(self.view.states[State.ALIVE], self.view.there)
        lately = (
            self.view.members.get(name) for name, (_, at) in self._digests.items() if self._is_lately(at)
        )
        heard = sum(each is not None and each.claim.is_there for each in lately)
        return Count(heard + 1, self.view.there + self.view.states[State.DEAD])

    def _is_lately(self, at: int) -> bool:
        return self._now - at <= _HEARD_PERIODS * self.settings.period_us * (1 + self.slow)

    # Time

    def _begin(self, now: int, wall: int) -> None:
        self._now, self._wall, self._out = max(now, self._now), wall, Output()

    def _end(self) -> Output:
        out, self._out = self._out, Output()
        return out

    def _schedule(self, wait_us: int, what: str, about: Any = None) -> None:
        self._order += 1
        heapq.heappush(self._agenda, (self._now + wait_us, self._order, what, about))

    def _period(self) -> None:
        self._judge_probe()
        self._schedule(self.settings.period_us * (1 + self.slow), "period")
        if self._is_mute:
            return
        self._comparison.period()
        self._tell_facts_if_due()
        if self._periods % _SWEEP_PERIODS == 0:
            for name in self.view.forget(self._now, self.settings.forget_us, self.settings.remember_us):
                self._digests.pop(name, None)
        target = self._next()
        if target is not None:
            self._ask(target)
        self._periods += 1
        looks = min(self._found, _LOST_MOST) + (target is None or self._periods % _LOST_PERIODS == 0)
        self._found = 0
        for _ in range(looks):
            self._look_for_lost()

    def _look_for_lost(self) -> None:
        """Ask one that is called dead, or an address where somebody was to be: a cut may have healed.

        It hears first of all what is said of it, so that it can refute.
        """
        dead = [name for name, held in self.view.members.items() if held.claim.state is State.DEAD]
        places = [(self._place(name), name) for name in dead]
        there = {self._place(name) for name in self._others()}
        places += [
            (each, "") for each in self._known if each not in there and all(each != p for p, _ in places)
        ]
        if places:
            place, name = self._chance.choice(places)
            self._send(place, Ping(0, self.view.digest), self._to_tell(name))

    def _woke(self) -> None:
        """This process stood still: what it missed says nothing of the others.

        Guards against a member that was stopped, and calls everybody dead when it goes on.
        """
        self.slow = self.settings.slow_most
        self._probe = None
        self._digests.clear()
        self._for_others.clear()
        ours = [each for each in self._agenda if each[2] == "suspicion"]
        self._agenda = [each for each in self._agenda if each[2] == "period"]
        heapq.heapify(self._agenda)
        for *_, (name, start, incarnation) in ours:
            held = self.view.members.get(name)
            if held is not None:
                held.since = self._now  # the suspect has all its time once more
                self._believe_after(name, start, incarnation)

    # Asking

    def _others(self) -> list[str]:
        return [name for name, held in self.view.members.items() if name != self.name and held.claim.is_there]

    def _place(self, name: str) -> Address:
        claim = self.view.members[name].claim
        return claim.host, claim.port

    def _next(self) -> Claim | None:
        while True:
            if not self._round:
                self._round = self._others()
                self._chance.shuffle(self._round)
                if not self._round:
                    return None
            claim = self.view.get(self._round.pop())
            if claim is not None and claim.is_there:
                return claim

    def _ask(self, target: Claim) -> None:
        self._numbers += 1
        self._probe = _Probe(self._numbers, target)
        place, about = (target.host, target.port), self._to_tell(target.name)
        self._send(place, Ping(self._numbers, self.view.digest), about)
        self._schedule(self.settings.answer_within_us * (1 + self.slow), "unanswered", self._numbers)

    def _unanswered(self, number: int) -> None:
        probe = self._probe
        if probe is None or probe.number != number or probe.answered:
            return
        probe.missed = True
        others = [each for each in self._others() if each != probe.claim.name]
        for name in self._chance.sample(others, min(self.settings.helpers, len(others))):
            probe.asked += 1
            claim = probe.claim
            self._send(self._place(name), Ask(number, claim.name, claim.host, claim.port, self.view.digest))

    def _judge_probe(self) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if probe.claim.state is State.ALIVE:
            self._missed += _MISSED_STEP * (probe.missed - self._missed)
        if probe.answered:
            self.slow = max(self.slow - 1, 0)
            return
        # Helpers that say that they got nothing either show that this member's own link works.
        unheard = max(probe.asked - probe.said_none - 1, 0)
        self.slow = min(self.slow + (not probe.said_none) + unheard, self.settings.slow_most)
        claim = self.view.get(probe.claim.name)
        if claim is not None and claim.is_there and claim.rank[:2] == probe.claim.rank[:2]:
            self._claim(claim.said(State.SUSPECT, by=self.name))

    def _suspicion_us(self, name: str) -> int:
        """How long a suspicion lasts: where much is lost on the way, a refutation takes several tries."""
        confirmed = max(len(self._accusers.get(name, ())) - 1, 0)
        plain = self.settings.suspicion_us(self.view.there, confirmed)
        return int(plain * (1.0 + self.settings.suspicion_lossy * max(self._missed - _MISSED_USUAL, 0.0)))

    def _believe_after(self, name: str, start: int, incarnation: int) -> None:
        """Believe a suspicion once it has lasted; by more accusers sooner, so this may be said again."""
        left_us = max(self.view.members[name].since + self._suspicion_us(name) - self._now, 0)
        self._schedule(left_us, "suspicion", (name, start, incarnation))

    def _suspicion_ends(self, name: str, start: int, incarnation: int) -> None:
        held = self.view.members.get(name)
        if held is None or held.claim.rank != (start, incarnation, State.SUSPECT):
            return
        if self._now - held.since < self._suspicion_us(name):
            self._believe_after(name, start, incarnation)
        else:
            self._claim(held.claim.said(State.DEAD))

    # Hearing

    def _take(self, sender: str, source: Address, message: Message) -> None:
        if isinstance(message, WithNews):
            for each in message.news:
                self._news_heard(each)
        # A member says itself where it is reached: what lies between may hide that.
        place = self._place(sender) if sender in self.view.members else source
        match message:
            case Ping(number):
                self._digest_heard(sender, place, message.digest)
                self._send(place, Ack(number, self.view.digest), self._to_tell(sender))
            case Ack(number):
                self._answered(number)
                self._digest_heard(sender, place, message.digest)
            case Ask(number, name, host, port):
                self._digest_heard(sender, place, message.digest)
                self._numbers += 1
                self._for_others[self._numbers] = (place, number)
                self._send((host, port), Ping(self._numbers, self.view.digest), self._to_tell(name))
                self._schedule(self.settings.answer_within_us, "silent", self._numbers)
            case Silent(number):
                if self._probe is not None and self._probe.number == number:
                    self._probe.said_none += 1
            case Branches():
                self._say(place, self._comparison.branches_heard(message))
            case Leaf():
                for each in message.claims:
                    self._news_heard(each)
                self._say(place, self._comparison.leaf_heard(message))

    def _to_tell(self, name: str) -> list[Claim]:
        """What goes ahead of other news to this member.

        That it is suspected, or dead, so that it can refute; and who this one is, unless it is seen to know.
        """
        about: list[Claim] = []
        claim = self.view.get(name)
        if claim is not None and claim.state is not State.ALIVE:
            about.append(claim)
        known = self._digests.get(name)
        if known is None or known[0] != self.view.digest:
            about.append(self._me)
        return about

    def _answered(self, number: int) -> None:
        probe = self._probe
        if probe is not None and probe.number == number:
            probe.answered = self._is_established = True
        for_other = self._for_others.pop(number, None)
        if for_other is not None:
            place, their_number = for_other
            self._send(place, Ack(their_number, self.view.digest))

    def _helped_in_vain(self, number: int) -> None:
        """A helper's question was not answered: that is told, so that the asker knows that it was heard."""
        for_other = self._for_others.pop(number, None)
        if for_other is not None:
            place, their_number = for_other
            self._send(place, Silent(their_number, self.view.digest))

    # News

    def _news_heard(self, news: News) -> None:
        if isinstance(news, Rumour):
            if news.version > self._rumours.get(news.server, -1):
                self._pass_on(news)
                self._out.events.append(news)
        elif news.name == self.name:
            self._about_me(news)
        elif news.host or news.name in self.view.members or not news.is_there:
            self._claim(news)

    def _about_me(self, claim: Claim) -> None:
        if claim.start > self._me.start:
            if self._is_established:
                self.is_superseded = True  # a later process has taken over
                return
            # Nobody answers the earlier start: a clock was set back, and this is the later process.
            self._me = msgspec.structs.replace(self._me, start=claim.start + 1, incarnation=0)
            self.seal.start = self._me.start
            self._hold(self._me)
        elif claim.start == self._me.start and claim.state is not State.ALIVE:
            if claim.incarnation >= self._me.incarnation:
                self._me = msgspec.structs.replace(self._me, incarnation=claim.incarnation + 1)
                self.slow = min(self.slow + 1, self.settings.slow_most)
                self._hold(self._me, urgent=True)

    def _claim(self, claim: Claim) -> None:
        """Hold a claim, and pass it on, if it is news."""
        before = self.view.get(claim.name)
        if claim.state is State.SUSPECT and before is not None and before.rank == claim.rank:
            self._confirm(claim)
            return
        if not self.view.take(self._now, claim):
            return
        held = self.view.members[claim.name].claim
        self._accusers.pop(claim.name, None)
        if held.state is State.SUSPECT:
            self._accusers[claim.name] = {claim.by}
            if self._chance.random() * self.view.there < _LOOK_TOO:
                # Several look at once, so that it is soon refuted or soon confirmed.
                self._round.append(held.name)
            self._believe_after(held.name, held.start, held.incarnation)
        urgent = held.state is not State.ALIVE or (before is not None and before.state is not State.ALIVE)
        self._gossip.put(claim.name, claim, self._now + _NEWS_FOR_US, urgent=urgent)
        if before is not None and not before.is_there and held.is_there:
            self._found += 1
        if before is None or (before.start, before.state) != (held.start, held.state):
            self._out.events.append(Changed(held))
        if before is None and held.is_there:
            self._round.insert(self._chance.randrange(len(self._round) + 1), held.name)

    def _confirm(self, claim: Claim) -> None:
        """Another member suspects it too: the suspicion is believed sooner, and that is news, up to a few."""
        accusers = self._accusers.setdefault(claim.name, set())
        if not claim.by or claim.by in accusers or len(accusers) > self.settings.helpers:
            return
        accusers.add(claim.by)
        self._gossip.put(claim.name, claim, self._now + _NEWS_FOR_US, urgent=True)
        self._believe_after(claim.name, claim.start, claim.incarnation)

    def _hold(self, claim: Claim, *, urgent: bool = False) -> None:
        self.view.take(self._now, claim)
        self._gossip.put(claim.name, claim, self._now + _NEWS_FOR_US, urgent=urgent)

    def _tell_facts_if_due(self) -> None:
        apart = max(_FACTS_APART_US, _FACTS_APART_EACH_US * self.view.there)
        if not self._facts_due or self._now - self._facts_told_at < apart:
            return
        self._facts_due, self._facts_told_at = False, self._now
        self._me = msgspec.structs.replace(self._me, incarnation=self._me.incarnation + 1)
        self._hold(self._me)

    def _pass_on(self, rumour: Rumour) -> None:
        self._rumours.pop(rumour.server, None)
        self._rumours[rumour.server] = rumour.version
        while len(self._rumours) > _MOST_RUMOURS:
            del self._rumours[next(iter(self._rumours))]
        # No member's name has a space.
        until = self._now + self.settings.rumours_us
        self._gossip.put(f"server {rumour.server}", rumour, until, urgent=True)

    def _digest_heard(self, sender: str, place: Address, digest: int) -> None:
        self._digests.pop(sender, None)
        self._digests[sender] = (digest, self._now)
        while len(self._digests) > _MOST_DIGESTS:
            del self._digests[next(iter(self._digests))]
        self._say(place, self._comparison.digest_heard(digest))

    # Sending

    def _send(self, to: Address, message: Ping | Ack | Ask | Silent, ahead: Sequence[Claim] = ()) -> None:
        """Send a message with news: first these claims, then as much as fits."""
        room = self.seal.room() - size(message) - 4
        news: list[News] = []
        for claim in ahead:
            if size(claim) <= room:
                room -= size(claim)
                news.append(claim)
        times = self.settings.times_passed_on(self.view.there)
        news += self._gossip.pick(self._now, room, times, {each.name for each in ahead})
        self._say(to, [msgspec.structs.replace(message, news=tuple(news))])

    def _say(self, to: Address, messages: Iterable[Message]) -> None:
        if not self._is_mute:
            self._out.datagrams += [(to, self.seal.make(self._wall, each)) for each in messages]
