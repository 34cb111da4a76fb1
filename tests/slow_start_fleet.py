"""Simulates a fleet of balancers and counts what all of them together send to servers in slow start.

Only the policy runs, on one virtual clock.  A warm server serves `1 / WORK_S` requests a second, one after
another.
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
class FleetSimulation:
    """Parameters and results of one simulated fleet."""

    sidecars: int
    servers: int = 30
    cold: int = 10  # servers that start together
    load: float = 0.55  # share of the capacity of all servers when warm
    uneven: bool = False  # some sidecars get several times the mean load
    burst: float = 1.0  # factor on the load for 6 s after the start
    seed: int = 1
    length_s: float = 30.0
    starts_at_s: float = 12.0
    arrived: dict[str, list[float]] = field(default_factory=dict)  # times of requests at the cold servers
    requests: int = 0
    refused: int = 0

    def run(self) -> FleetSimulation:
        rng = random.Random(self.seed)
        rules = {
            "cold_from": COLD_FROM,
            "cold_us": int(COLD_S * S),
            "fall_multiple": FALL_MULTIPLE,
            "fall_us": int(FALL_S * S),
        }
        service_class = {"name": "look", "deadline_us": 3 * S, "aim_us": int(0.75 * S), "repeat": "safe"}
        given = settings(
            classes=[service_class], rules=rules, discovery="pushed", limits={"second_copies": False}
        )
        names = [f"10.0.0.{number}:80" for number in range(self.servers)]
        cold = set(names[: self.cold])
        self.arrived = {name: [] for name in cold}
        balancers = [Balancer(given, rng.getrandbits(32)) for _ in range(self.sidecars)]
        weights = [rng.choice([0.3, 0.7, 1.0, 4.0]) if self.uneven else 1.0 for _ in balancers]
        total = self.load * self.servers / WORK_S
        events: list[Any] = []
        order = itertools.count()
        free_at = dict.fromkeys(names, 0.0)  # each server processes its requests in order

        def schedule(at: float, kind: str, *details: Any) -> None:
            heapq.heappush(events, (at, next(order), kind, details))

        def handle(now: float, sidecar: int, event: Any) -> None:
            for action in balancers[sidecar].handle(START + int(now * S), event):
                if isinstance(action, SetTimer):
                    schedule(now + action.in_us / S, "timer", sidecar, action.token)
                elif isinstance(action, Refuse):
                    self.refused += 1
                elif isinstance(action, Send):
                    server = action.server
                    if server in cold and now >= self.starts_at_s:
                        self.arrived[server].append(now)
                    warmth = self.warmth(now) if server in cold else 1.0
                    work = rng.expovariate(1 / WORK_S) / warmth
                    free_at[server] = max(free_at[server], now) + work
                    schedule(free_at[server], "done", sidecar, action.request, server, now)

        entries = [ListedServer(name, zone="east") for name in names]
        for sidecar in range(self.sidecars):
            handle(0.0, sidecar, ServersListed(ListKind.COMPLETE, entries, 1))
            schedule(rng.random(), "request", sidecar)
        numbers = itertools.count(1)
        started = [
            ListedServer(name, zone="east", started_at=START + int(self.starts_at_s * S))
            for name in sorted(cold)
        ]
        for sidecar in range(self.sidecars):
            schedule(self.starts_at_s + 0.05 * rng.random(), "list", sidecar)
        while events and events[0][0] < self.length_s:
            now, _, kind, details = heapq.heappop(events)
            if kind == "request":
                (sidecar,) = details
                rate = total * weights[sidecar] / sum(weights)
                rate *= self.burst if self.starts_at_s <= now < self.starts_at_s + 6.0 else 1.0
                schedule(now + rng.expovariate(rate), "request", sidecar)
                if now >= self.starts_at_s:
                    self.requests += 1
                handle(now, sidecar, RequestArrived(next(numbers), "look", None, None, 3 * S))
            elif kind == "timer":
                handle(now, details[0], TimerFired(details[1]))
            elif kind == "list":
                handle(now, details[0], ServersListed(ListKind.CHANGES, started, 2))
            else:
                sidecar, request, server, sent_at = details
                elapsed_us = int((now - sent_at) * S)
                handle(now, sidecar, AttemptEnded(request, 0, server, Outcome.DELIVERED, elapsed_us, True))
        return self

    def warmth(self, now: float) -> float:
        return min(COLD_FROM + (1.0 - COLD_FROM) * max(now - self.starts_at_s, 0.0) / COLD_S, 1.0)

    def max_window_use(self) -> tuple[float, float]:
        """Maximum over all windows, as a share of the limit N plus its allowance for chance, and of N."""
        of_allowance = of_limit = 0.0
        for times in self.arrived.values():
            for index, at in enumerate(times):
                since = next(i for i, other in enumerate(times) if other > at - FALL_S)
                count = index - since + 1
                allowed = FALL_MULTIPLE * self.warmth(at) / WORK_S * FALL_S
                of_allowance = max(of_allowance, count / (allowed + 2.0 * math.sqrt(allowed) + 2.0))
                of_limit = max(of_limit, count / allowed)
        return of_allowance, of_limit

    def capacity_use(self, from_s: float, to_s: float) -> float:
        """Requests at cold servers in a period after the start, as a share of their capacity in it."""
        begin, end = self.starts_at_s + from_s, self.starts_at_s + to_s
        received = sum(begin <= at < end for times in self.arrived.values() for at in times)
        steps = [begin + (end - begin) * (n + 0.5) / 50 for n in range(50)]
        capacity = sum(self.warmth(at) for at in steps) / 50 * (end - begin) / WORK_S * len(self.arrived)
        return received / capacity
