"""A tier of balancers and the servers behind them: what all of them together send to servers that start.

Pure decisions on one clock.  Servers do `1 / WORK_S` requests a second when warm, one after another; what
is counted is what reaches each server that has just started.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field
from typing import Any

from helpers import S, settings

from micadeck.policy import Balancer
from micadeck.policy.actions import Refuse, Send, SetTimer
from micadeck.policy.events import (
    AttemptEnded,
    ListedServer,
    ListKind,
    RequestArrived,
    ServersListed,
    TimerFired,
)
from micadeck.policy.outcomes import Outcome

WORK_S = 0.06
COLD_FROM, COLD_S, FALL_MULTIPLE, FALL_S = 0.14, 20.0, 3.0, 2.0
START = 1_700_000_000 * S


@dataclass
class Day:
    """How a tier of so many fares."""

    sidecars: int
    servers: int = 30
    cold: int = 10  # of these start together
    load: float = 0.55  # of what all servers can do when warm
    uneven: bool = False  # some sidecars get several times the mean
    burst: float = 1.0  # as much more comes in the seconds after the start
    seed: int = 1
    length_s: float = 30.0
    starts_at_s: float = 12.0
    arrived: dict[str, list[float]] = field(default_factory=dict)  # at the cold servers
    asked: int = 0
    refused: int = 0

    def play(self) -> Day:
        drawn = random.Random(self.seed)
        rules = {
            "cold_from": COLD_FROM,
            "cold_us": int(COLD_S * S),
            "fall_multiple": FALL_MULTIPLE,
            "fall_us": int(FALL_S * S),
        }
        kind = {"name": "look", "deadline_us": 3 * S, "aim_us": int(0.75 * S), "repeat": "safe"}
        given = settings(classes=[kind], rules=rules, discovery="pushed", limits={"second_copies": False})
        names = [f"10.0.0.{number}:80" for number in range(self.servers)]
        cold = set(names[: self.cold])
        self.arrived = {name: [] for name in cold}
        balancers = [Balancer(given, drawn.getrandbits(32)) for _ in range(self.sidecars)]
        weights = [drawn.choice([0.3, 0.7, 1.0, 4.0]) if self.uneven else 1.0 for _ in balancers]
        total = self.load * self.servers / WORK_S
        events: list[Any] = []
        order = itertools.count()
        free_at = dict.fromkeys(names, 0.0)  # each works through its requests in turn

        def put(at: float, what: str, *more: Any) -> None:
            heapq.heappush(events, (at, next(order), what, more))

        def act(now: float, who: int, event: Any) -> None:
            for action in balancers[who].handle(START + int(now * S), event):
                if isinstance(action, SetTimer):
                    put(now + action.in_us / S, "timer", who, action.token)
                elif isinstance(action, Refuse):
                    self.refused += 1
                elif isinstance(action, Send):
                    server = action.server
                    if server in cold and now >= self.starts_at_s:
                        self.arrived[server].append(now)
                    warmth = self.warmth(now) if server in cold else 1.0
                    work = drawn.expovariate(1 / WORK_S) / warmth
                    free_at[server] = max(free_at[server], now) + work
                    put(free_at[server], "done", who, action.request, server, now)

        lines = [ListedServer(name, zone="east") for name in names]
        for who in range(self.sidecars):
            act(0.0, who, ServersListed(ListKind.COMPLETE, lines, 1))
            put(drawn.random(), "ask", who)
        numbers = itertools.count(1)
        started = [
            ListedServer(name, zone="east", started_at=START + int(self.starts_at_s * S))
            for name in sorted(cold)
        ]
        for who in range(self.sidecars):
            put(self.starts_at_s + 0.05 * drawn.random(), "list", who)
        while events and events[0][0] < self.length_s:
            now, _, what, more = heapq.heappop(events)
            if what == "ask":
                (who,) = more
                rate = total * weights[who] / sum(weights)
                rate *= self.burst if self.starts_at_s <= now < self.starts_at_s + 6.0 else 1.0
                put(now + drawn.expovariate(rate), "ask", who)
                if now >= self.starts_at_s:
                    self.asked += 1
                act(now, who, RequestArrived(next(numbers), "look", None, None, 3 * S))
            elif what == "timer":
                act(now, more[0], TimerFired(more[1]))
            elif what == "list":
                act(now, more[0], ServersListed(ListKind.CHANGES, started, 2))
            else:
                who, request, server, sent_at = more
                took = int((now - sent_at) * S)
                act(now, who, AttemptEnded(request, 0, server, Outcome.DELIVERED, took, True))
        return self

    def warmth(self, now: float) -> float:
        return min(COLD_FROM + (1.0 - COLD_FROM) * max(now - self.starts_at_s, 0.0) / COLD_S, 1.0)

    def fullest(self) -> tuple[float, float]:
        """Of all windows: the most beyond what is put down to chance, as a part of it, and of N itself."""
        worst = used = 0.0
        for times in self.arrived.values():
            for index, at in enumerate(times):
                since = next(i for i, other in enumerate(times) if other > at - FALL_S)
                count = index - since + 1
                allowed = FALL_MULTIPLE * self.warmth(at) / WORK_S * FALL_S
                worst = max(worst, count / (allowed + 2.0 * math.sqrt(allowed) + 2.0))
                used = max(used, count / allowed)
        return worst, used

    def part_used(self, from_s: float, to_s: float) -> float:
        """What cold servers got in a span after the start, as a part of what they can do by then."""
        began, end = self.starts_at_s + from_s, self.starts_at_s + to_s
        got = sum(began <= at < end for times in self.arrived.values() for at in times)
        steps = [began + (end - began) * (n + 0.5) / 50 for n in range(50)]
        can = sum(self.warmth(at) for at in steps) / 50 * (end - began) / WORK_S * len(self.arrived)
        return got / can
