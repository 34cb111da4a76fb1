"""Watches that fall silent, and lists that servers speak against: both are noticed in time."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from itertools import pairwise
from typing import Any

import pytest
from broken_builds import with_long_polls
from helpers import MS, S

from micadeck.engine import EndpointUpdate
from micadeck.membership.discovery_watcher import DiscoveryWatcher, WatchOptions
from micadeck.membership.watch_health import (
    DIAL_TIMEOUT_S,
    MAX_CALL_GAP_S,
    MAX_RETRY_WAIT_S,
    RESPONSE_TIME_S,
    WatchHealth,
)
from micadeck.simulation.loop import Host, VirtualLoop
from micadeck.simulation.network import VirtualNetwork
from micadeck.simulation.roster import Discovery
from micadeck.simulation.scenario import Fault, Kind, Scenario
from micadeck.simulation.simulated_day import play
from micadeck.simulation.wire import Wire

NOTIFICATION_DEADLINE_S = 6.0
MOMENTS = ("before its first answer", "amid a head", "amid a body", "while a call waits", "between two calls")


class Agent(Discovery):
    """A roster whose open connections fall silent once, at one moment of a watch."""

    def __init__(self, wire: Wire, moment: str, at_s: float, lost: int = 0) -> None:
        super().__init__(wire, 0)
        self._moment, self._at_s = moment, at_s
        self._lost = lost  # connections made after that which get no answer either
        self.deaf_until_s = 0.0  # nor do those made up to here
        self.calls: list[tuple[float, str]] = []
        self.silent_at: float | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        deaf = self._lost > 0 or self._wire.loop.time() < self.deaf_until_s
        loses = self.silent_at is not None and deaf
        self._lost -= loses
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                self.calls.append((self._wire.loop.time(), target))
                if loses:
                    continue
                if self._silences("before its first answer" if len(self.calls) == 1 else "between two calls"):
                    continue
                waits = asyncio.ensure_future(self._answer(target))
                left_s = self._at_s - self._wire.loop.time()
                if self._moment == "while a call waits" and self.silent_at is None and left_s > 0:
                    done, _ = await asyncio.wait([waits], timeout=left_s)
                    if not done and self._silences(self._moment):
                        waits.cancel()
                        continue
                body = json.dumps(await waits, indent=2).encode()  # lists may come indented
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                for moment, size in (("amid a head", 20), ("amid a body", len(answer) - len(body) // 2)):
                    if self._silences(moment):
                        writer.write(answer[:size])
                        answer = b""
                        await reader.read()  # to its end
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _silences(self, moment: str) -> bool:
        now = self._wire.loop.time()
        is_due = now >= self._at_s or moment == "before its first answer"
        if moment != self._moment or not is_due or self.silent_at is not None:
            return False
        self.silent_at = now
        return True


def watch(
    moment: str,
    at_s: float,
    pushed: bool,
    then: Callable[[Agent, DiscoveryWatcher], None],
    length_s: float = 14.0,
    allowed_s: float = 10.0,
    lost: int = 0,
) -> tuple[Agent, list[tuple[float, EndpointUpdate]]]:
    """A roster's client on the virtual clock; a call that failed is repeated 0.5 s later."""
    loop = VirtualLoop(1)  # type: ignore[abstract]
    wire = Wire(loop, random.Random(2))
    agent = Agent(wire, moment, at_s, lost)
    agent.put("s-1", "10.1.0.1:80")
    host = Host("sidecar")
    network = VirtualNetwork(wire.machine(host, "10.0.0.1"))
    updates: list[tuple[float, EndpointUpdate]] = []

    async def work() -> None:
        agent.start_listening()
        roster = DiscoveryWatcher(
            network, agent.listen_address, 0, WatchOptions(pushed, int(allowed_s * S), seed=4)
        )

        def failed() -> None:
            loop.call_later(0.5, roster.watch, True)

        roster.start(lambda listing: updates.append((loop.time(), listing)), failed)
        if not pushed:
            roster.watch(True)
        then(agent, roster)
        await asyncio.sleep(length_s)
        roster.close()

    loop.run_until_complete(loop.create_task(work(), context=host.context.copy()))
    return agent, updates


@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("at_s", [0.5, 1.9, 2.02, 3.3])
@pytest.mark.parametrize("allowed_s", [1.0, 10.0, 60.0])
@pytest.mark.parametrize(("lost", "late_s"), [(0, 0.0), (1, 0.0), (1, 1.5)])
def test_a_silent_watch_is_restarted_before_the_notification_deadline(
    moment: str, at_s: float, pushed: bool, allowed_s: float, lost: int, late_s: float
) -> None:
    def then(agent: Agent, roster: DiscoveryWatcher) -> None:
        def look() -> None:
            # What the silence hides: a server leaves right after it began, and discovery is slow from there.
            if agent.silent_at is None:
                agent._wire.loop.call_later(0.01, look)
            else:
                agent.put("s-1", "10.1.0.1:80", "leaving")
                agent.delays_s.append(late_s)

        agent._wire.loop.call_later(0.01, look)

    agent, updates = watch(moment, at_s, pushed, then, allowed_s=allowed_s, lost=lost)
    assert agent.silent_at is not None
    drained_at = [
        at for at, listing in updates for each in listing.entries if each.endpoint.state.value == "draining"
    ]
    assert drained_at and drained_at[0] - agent.silent_at < NOTIFICATION_DEADLINE_S
    # And it polls little more often than its calls wait.
    max_calls = 6 + 14.0 / (0.5 if allowed_s < 2 else 1.0 if pushed else 2.0)
    assert len(agent.calls) < max_calls or late_s


def test_a_silent_agent_is_polled_on_and_answers_soon_after_it_is_back() -> None:
    def then(agent: Agent, roster: DiscoveryWatcher) -> None:
        agent.deaf_until_s = 8.0  # no earlier call is ever answered
        agent._wire.loop.call_later(7.9, agent.put, "s-1", "10.1.0.1:80", "leaving")

    agent, updates = watch("while a call waits", 1.0, True, then)
    drained_at = [
        at for at, listing in updates for each in listing.entries if each.endpoint.state.value == "draining"
    ]
    assert 8.0 < drained_at[0] < 8.3
    assert agent.silent_at is not None and len(agent.calls) < 45


def test_a_discovery_that_is_silent_for_good_fails_after_a_limited_number_of_calls() -> None:
    def then(agent: Agent, roster: DiscoveryWatcher) -> None:
        agent.deaf_until_s = 1e9
        agent._wire.loop.call_later(
            0.1, setattr, roster, "_on_failed", lambda: failed.append(loop_time(agent))
        )

    def loop_time(agent: Agent) -> float:
        return agent._wire.loop.time()

    failed: list[float] = []
    agent, _ = watch("while a call waits", 1.0, False, then, length_s=30.0)
    assert agent.silent_at is not None and len(failed) == 1  # the balancer decides when to retry
    assert len([at for at, _ in agent.calls if at > agent.silent_at]) == 3


def test_many_suspicions_request_the_complete_list_once() -> None:
    def then(agent: Agent, roster: DiscoveryWatcher) -> None:
        for number in range(300):
            agent._wire.loop.call_later(0.3 + number / 1e3, roster.suspect_stale)

    agent, _ = watch("never", 0.0, True, then, length_s=1.2)
    assert [target for _, target in agent.calls if "after" not in target] == ["/catalog/members"]
    assert len(agent.calls) == 4  # the first, the watch, the complete list, the watch again


def test_where_discovery_is_shared_a_suspicion_requests_nothing() -> None:
    def then(agent: Agent, roster: DiscoveryWatcher) -> None:
        for number in range(1_000):
            agent._wire.loop.call_later(0.3 + number / 1e2, roster.suspect_stale)
        agent._wire.loop.call_later(5.0, agent.put, "s-1", "10.1.0.1:80", "leaving")

    agent, updates = watch("never", 0.0, False, then, length_s=11.0)
    calm, _ = watch("never", 0.0, False, lambda agent, roster: None, length_s=11.0)
    assert [target for _, target in agent.calls if "after" not in target] == []
    assert len(agent.calls) <= len(calm.calls) + 1  # one more follows the news
    assert updates[-1][0] == pytest.approx(5.0, abs=0.01)  # by the watch that was up all along


def test_futile_renewals_back_off() -> None:
    def then(agent: Agent, roster: DiscoveryWatcher) -> None:
        for number in range(1_000):
            agent._wire.loop.call_later(0.3 + number / 1e2, roster.suspect_stale)

    agent, _ = watch("never", 0.0, True, then, length_s=5.5)
    complete = [at for at, target in agent.calls if "after" not in target]
    assert 3 <= len(complete) <= 8
    intervals = [later - at for at, later in pairwise(complete)]
    assert intervals[0] < 0.6 and intervals[-1] >= 0.95  # at last no sooner than the watch's own calls


@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
def test_a_suspicion_starts_nothing_while_discovery_is_down_or_slow(pushed: bool) -> None:
    def calls(suspicions: int) -> list[tuple[float, str]]:
        def then(agent: Agent, roster: DiscoveryWatcher) -> None:
            agent.delays_s.append(3.0)
            for number in range(suspicions):
                agent._wire.loop.call_later(0.1 + number / 1e2, roster.suspect_stale)

        agent, updates = watch("never", 0.0, pushed, then, length_s=3.2)
        assert updates[0][0] == pytest.approx(3.0, abs=0.1)  # the first call kept its place, and was answered
        return agent.calls

    assert [target for _, target in calls(100)] == [target for _, target in calls(0)]
    assert pushed or len(calls(0)) <= 3  # the first, its hedge, and the watch


def test_a_suspicion_while_discovery_was_slow_does_not_hide_later_ones() -> None:
    def then(agent: Agent, roster: DiscoveryWatcher) -> None:
        agent.delays_s.append(1.5)  # its first answer is due after the renewal
        agent._wire.loop.call_later(0.1, roster.suspect_stale)
        agent._wire.loop.call_later(4.4, roster.suspect_stale)

    agent, _ = watch("never", 0.0, True, then, length_s=7.0)
    assert [at for at, target in agent.calls if "after" not in target and at > 4.4]


def test_a_list_that_was_confirmed_since_is_not_renewed() -> None:
    health = WatchHealth(10 * S, random.Random(1), is_pushed=True)
    assert health.suspect(100) is not None
    assert health.suspect(200) is None  # one look is planned
    health.confirm(300, has_changes=False)
    assert not health.take_due_renewal(400)
    due = health.suspect(500)
    assert due is not None and health.take_due_renewal(due)
    again = health.suspect(due + 1)
    assert again is not None and again >= due + 250 * MS
    health.reset()
    assert not health.take_due_renewal(again)


@pytest.mark.parametrize(
    ("allowed_s", "pushed", "wait_ms", "late_s"),
    [(10, False, 2_000, 2.5), (10, True, 1_000, 1.3), (60, False, 2_000, 2.5), (0.1, False, 500, 1.0)],
)
def test_how_long_a_watch_may_be_silent_follows_from_the_settings(
    allowed_s: float, pushed: bool, wait_ms: int, late_s: float
) -> None:
    health = WatchHealth(int(allowed_s * S), random.Random(1), is_pushed=pushed)
    waiting, first = health.blocking_call, health.first_call
    assert (waiting.wait_ms, waiting.hedge_after_s) == (wait_ms, late_s)
    # Silent for good, then a renewal that is lost, then one more: 1.5 s are left for its answer.
    assert RESPONSE_TIME_S >= 1.5 and max(waiting.hedge_after_s, first.hedge_after_s) <= MAX_CALL_GAP_S
    assert waiting.hedge_after_s + waiting.hedge_interval_s <= NOTIFICATION_DEADLINE_S - RESPONSE_TIME_S
    assert (
        first.wait_ms == 0
        and first.hedge_after_s + first.hedge_interval_s <= NOTIFICATION_DEADLINE_S - RESPONSE_TIME_S
    )
    assert (
        MAX_RETRY_WAIT_S + DIAL_TIMEOUT_S + RESPONSE_TIME_S <= NOTIFICATION_DEADLINE_S - RESPONSE_TIME_S
    )  # a host that is not there, then one more dial
    for each in (waiting, first, health.second_call):  # all out and silent, then the decisions' wait
        last_s = max(each.hedge_after_s + n * each.hedge_interval_s for n in range(3))
        assert (
            pushed
            or min(each.give_up_s, last_s + each.hedge_interval_s)
            + MAX_RETRY_WAIT_S
            - min(last_s, each.give_up_s)
            <= MAX_CALL_GAP_S
        )
    health.update_limits(10 * S, S)
    assert health.blocking_call.wait_ms == (1_000 if pushed else 2_000)


def silent_day(sidecars: int, amount: float, **more: Any) -> Scenario:
    """Watches fall silent, and a third of the servers leave for good, one after another."""
    silent = [Fault(at_s=2.0, kind=Kind.SILENT, amount=amount)]
    leave = [Fault(at_s=2.5 + 0.3 * n, kind=Kind.DRAIN, for_s=8.5, target=n) for n in range(10)]
    return Scenario(
        seed=5,
        sidecars=sidecars,
        servers=30,
        cells=3,
        rate=1.0,
        length_s=7.0,
        faults=(*silent, *leave),
        **more,
    )


@pytest.mark.parametrize(
    ("amount", "pushed"),
    [(0.0, False), (1.0, False), (1.0, True)],
    ids=["one watch", "all watches", "pushed"],
)
def test_two_hundred_sidecars_send_nothing_to_who_left_while_watches_were_silent(
    amount: float, pushed: bool
) -> None:
    result = play(silent_day(200, amount, pushed=pushed))
    assert [str(each) for each in result.violations] == []
    assert result.counts["watch fell silent"] == (200 if amount else 1)
    assert result.counts["answer 200"] == result.counts["requests"] > 2_000


def test_a_build_that_waits_long_for_silent_watches_is_found() -> None:
    with with_long_polls():
        assert "lists" in play(silent_day(10, 1.0)).rules
