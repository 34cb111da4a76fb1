"""Silent watches and stale lists are detected within the notification deadline.

A watch can lose its connection without an error, and servers can contradict a list that is out of date.
Either would keep a sidecar sending to servers that have left.
"""

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
    """A roster whose open connections fall silent once, at a given moment of a watch."""

    def __init__(self, wire: Wire, moment: str, at_s: float, unanswered_connections: int = 0) -> None:
        super().__init__(wire, 0)
        self._moment, self._at_s = moment, at_s
        # The number of later connections that get no answer either.
        self._unanswered_connections = unanswered_connections
        self.silent_until_s = 0.0  # connections made before this time get no answer
        self.calls: list[tuple[float, str]] = []
        self.silent_at: float | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_silent = self._unanswered_connections > 0 or self._wire.loop.time() < self.silent_until_s
        is_unanswered = self.silent_at is not None and is_silent
        self._unanswered_connections -= is_unanswered
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                self.calls.append((self._wire.loop.time(), target))
                if is_unanswered:
                    continue
                if self._silences("before its first answer" if len(self.calls) == 1 else "between two calls"):
                    continue
                pending = asyncio.ensure_future(self._answer(target))
                left_s = self._at_s - self._wire.loop.time()
                if self._moment == "while a call waits" and self.silent_at is None and left_s > 0:
                    done, _ = await asyncio.wait([pending], timeout=left_s)
                    if not done and self._silences(self._moment):
                        pending.cancel()
                        continue
                body = json.dumps(await pending, indent=2).encode()  # lists may come indented
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                for moment, size in (("amid a head", 20), ("amid a body", len(answer) - len(body) // 2)):
                    if self._silences(moment):
                        writer.write(answer[:size])
                        answer = b""
                        await reader.read()  # until the client closes the connection
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
    schedule_events: Callable[[Agent, DiscoveryWatcher], None],
    length_s: float = 14.0,
    max_poll_interval_s: float = 10.0,
    unanswered_connections: int = 0,
) -> tuple[Agent, list[tuple[float, EndpointUpdate]]]:
    """Run a discovery watch on the virtual clock, repeating a failed call after 0.5 s."""
    loop = VirtualLoop(1)  # type: ignore[abstract]
    wire = Wire(loop, random.Random(2))
    agent = Agent(wire, moment, at_s, unanswered_connections)
    agent.put("s-1", "10.1.0.1:80")
    host = Host("sidecar")
    network = VirtualNetwork(wire.machine(host, "10.0.0.1"))
    updates: list[tuple[float, EndpointUpdate]] = []

    async def work() -> None:
        agent.start_listening()
        watcher = DiscoveryWatcher(
            network, agent.listen_address, 0, WatchOptions(pushed, int(max_poll_interval_s * S), seed=4)
        )

        def failed() -> None:
            loop.call_later(0.5, watcher.watch, True)

        watcher.start(lambda update: updates.append((loop.time(), update)), failed)
        if not pushed:
            watcher.watch(True)
        schedule_events(agent, watcher)
        await asyncio.sleep(length_s)
        watcher.close()

    loop.run_until_complete(loop.create_task(work(), context=host.context.copy()))
    return agent, updates


@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("at_s", [0.5, 1.9, 2.02, 3.3])
@pytest.mark.parametrize("max_poll_interval_s", [1.0, 10.0, 60.0])
@pytest.mark.parametrize(("unanswered_connections", "answer_delay_s"), [(0, 0.0), (1, 0.0), (1, 1.5)])
def test_a_silent_watch_is_restarted_before_the_notification_deadline(
    moment: str,
    at_s: float,
    pushed: bool,
    max_poll_interval_s: float,
    unanswered_connections: int,
    answer_delay_s: float,
) -> None:
    def schedule_events(agent: Agent, watcher: DiscoveryWatcher) -> None:
        def check_silence() -> None:
            # A server leaves right after the watch fell silent, and discovery answers slowly from then on.
            if agent.silent_at is None:
                agent._wire.loop.call_later(0.01, check_silence)
            else:
                agent.put("s-1", "10.1.0.1:80", "leaving")
                agent.delays_s.append(answer_delay_s)

        agent._wire.loop.call_later(0.01, check_silence)

    agent, updates = watch(
        moment,
        at_s,
        pushed,
        schedule_events,
        max_poll_interval_s=max_poll_interval_s,
        unanswered_connections=unanswered_connections,
    )
    assert agent.silent_at is not None
    drained_at = [
        at for at, update in updates for entry in update.entries if entry.endpoint.state.value == "draining"
    ]
    assert drained_at and drained_at[0] - agent.silent_at < NOTIFICATION_DEADLINE_S
    # It polls hardly more often than once per blocking call.
    max_calls = 6 + 14.0 / (0.5 if max_poll_interval_s < 2 else 1.0 if pushed else 2.0)
    assert len(agent.calls) < max_calls or answer_delay_s


def test_a_silent_agent_is_polled_until_it_answers_again() -> None:
    def schedule_events(agent: Agent, watcher: DiscoveryWatcher) -> None:
        agent.silent_until_s = 8.0  # no earlier call is ever answered
        agent._wire.loop.call_later(7.9, agent.put, "s-1", "10.1.0.1:80", "leaving")

    agent, updates = watch("while a call waits", 1.0, True, schedule_events)
    drained_at = [
        at for at, update in updates for entry in update.entries if entry.endpoint.state.value == "draining"
    ]
    assert 8.0 < drained_at[0] < 8.3
    assert agent.silent_at is not None and len(agent.calls) < 45


def test_a_permanently_silent_discovery_fails_after_a_limited_number_of_calls() -> None:
    def schedule_events(agent: Agent, watcher: DiscoveryWatcher) -> None:
        agent.silent_until_s = 1e9
        agent._wire.loop.call_later(
            0.1, setattr, watcher, "_on_failed", lambda: failed.append(loop_time(agent))
        )

    def loop_time(agent: Agent) -> float:
        return agent._wire.loop.time()

    failed: list[float] = []
    agent, _ = watch("while a call waits", 1.0, False, schedule_events, length_s=30.0)
    assert agent.silent_at is not None and len(failed) == 1  # the balancer decides when to retry
    assert len([at for at, _ in agent.calls if at > agent.silent_at]) == 3


def test_many_suspicions_request_the_complete_list_once() -> None:
    def schedule_events(agent: Agent, watcher: DiscoveryWatcher) -> None:
        for number in range(300):
            agent._wire.loop.call_later(0.3 + number / 1e3, watcher.suspect_stale)

    agent, _ = watch("never", 0.0, True, schedule_events, length_s=1.2)
    assert [target for _, target in agent.calls if "after" not in target] == ["/catalog/members"]
    assert len(agent.calls) == 4  # first call, watch, complete list, watch again


def test_where_discovery_is_shared_a_suspicion_requests_nothing() -> None:
    def schedule_events(agent: Agent, watcher: DiscoveryWatcher) -> None:
        for number in range(1_000):
            agent._wire.loop.call_later(0.3 + number / 1e2, watcher.suspect_stale)
        agent._wire.loop.call_later(5.0, agent.put, "s-1", "10.1.0.1:80", "leaving")

    agent, updates = watch("never", 0.0, False, schedule_events, length_s=11.0)
    baseline, _ = watch("never", 0.0, False, lambda agent, watcher: None, length_s=11.0)
    assert [target for _, target in agent.calls if "after" not in target] == []
    assert len(agent.calls) <= len(baseline.calls) + 1  # one more call follows the change
    assert updates[-1][0] == pytest.approx(5.0, abs=0.01)  # through the watch, which stayed open


def test_futile_renewals_back_off() -> None:
    def schedule_events(agent: Agent, watcher: DiscoveryWatcher) -> None:
        for number in range(1_000):
            agent._wire.loop.call_later(0.3 + number / 1e2, watcher.suspect_stale)

    agent, _ = watch("never", 0.0, True, schedule_events, length_s=5.5)
    complete = [at for at, target in agent.calls if "after" not in target]
    assert 3 <= len(complete) <= 8
    intervals = [later - at for at, later in pairwise(complete)]
    assert intervals[0] < 0.6 and intervals[-1] >= 0.95  # finally no more frequent than the watch's own calls


@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
def test_a_suspicion_starts_no_call_while_discovery_is_down_or_slow(pushed: bool) -> None:
    def calls(suspicions: int) -> list[tuple[float, str]]:
        def schedule_events(agent: Agent, watcher: DiscoveryWatcher) -> None:
            agent.delays_s.append(3.0)
            for number in range(suspicions):
                agent._wire.loop.call_later(0.1 + number / 1e2, watcher.suspect_stale)

        agent, updates = watch("never", 0.0, pushed, schedule_events, length_s=3.2)
        assert updates[0][0] == pytest.approx(3.0, abs=0.1)  # the first call was kept, and answered
        return agent.calls

    assert [target for _, target in calls(100)] == [target for _, target in calls(0)]
    assert pushed or len(calls(0)) <= 3  # first call, its hedge, watch


def test_a_suspicion_while_discovery_was_slow_does_not_hide_later_ones() -> None:
    def schedule_events(agent: Agent, watcher: DiscoveryWatcher) -> None:
        agent.delays_s.append(1.5)  # its first answer is due after the renewal
        agent._wire.loop.call_later(0.1, watcher.suspect_stale)
        agent._wire.loop.call_later(4.4, watcher.suspect_stale)

    agent, _ = watch("never", 0.0, True, schedule_events, length_s=7.0)
    assert [at for at, target in agent.calls if "after" not in target and at > 4.4]


def test_a_list_confirmed_after_the_suspicion_is_not_renewed() -> None:
    health = WatchHealth(10 * S, random.Random(1), is_pushed=True)
    assert health.suspect(100) is not None
    assert health.suspect(200) is None  # a renewal is already planned
    health.confirm(300, has_changes=False)
    assert not health.take_due_renewal(400)
    due = health.suspect(500)
    assert due is not None and health.take_due_renewal(due)
    next_due = health.suspect(due + 1)
    assert next_due is not None and next_due >= due + 250 * MS
    health.reset()
    assert not health.take_due_renewal(next_due)


@pytest.mark.parametrize(
    ("max_poll_interval_s", "pushed", "wait_ms", "hedge_after_s"),
    [(10, False, 2_000, 2.5), (10, True, 1_000, 1.3), (60, False, 2_000, 2.5), (0.1, False, 500, 1.0)],
)
def test_how_long_a_watch_may_be_silent_follows_from_the_settings(
    max_poll_interval_s: float, pushed: bool, wait_ms: int, hedge_after_s: float
) -> None:
    health = WatchHealth(int(max_poll_interval_s * S), random.Random(1), is_pushed=pushed)
    blocking, first = health.blocking_call, health.first_call
    assert (blocking.wait_ms, blocking.hedge_after_s) == (wait_ms, hedge_after_s)
    # A permanently silent watch, a lost renewal, then a second one: 1.5 s are left for its answer.
    assert RESPONSE_TIME_S >= 1.5 and max(blocking.hedge_after_s, first.hedge_after_s) <= MAX_CALL_GAP_S
    assert blocking.hedge_after_s + blocking.hedge_interval_s <= NOTIFICATION_DEADLINE_S - RESPONSE_TIME_S
    assert (
        first.wait_ms == 0
        and first.hedge_after_s + first.hedge_interval_s <= NOTIFICATION_DEADLINE_S - RESPONSE_TIME_S
    )
    assert (
        MAX_RETRY_WAIT_S + DIAL_TIMEOUT_S + RESPONSE_TIME_S <= NOTIFICATION_DEADLINE_S - RESPONSE_TIME_S
    )  # an unreachable host, then one more dial
    for call in (blocking, first, health.second_call):  # all calls unanswered, then the policy's retry delay
        last_s = max(call.hedge_after_s + n * call.hedge_interval_s for n in range(3))
        assert (
            pushed
            or min(call.give_up_s, last_s + call.hedge_interval_s)
            + MAX_RETRY_WAIT_S
            - min(last_s, call.give_up_s)
            <= MAX_CALL_GAP_S
        )
    health.update_limits(10 * S, S)
    assert health.blocking_call.wait_ms == (1_000 if pushed else 2_000)


def silent_watch_scenario(sidecars: int, amount: float, **fields: Any) -> Scenario:
    """Watches fall silent, and a third of the servers leave permanently, one after another."""
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
        **fields,
    )


@pytest.mark.parametrize(
    ("amount", "pushed"),
    [(0.0, False), (1.0, False), (1.0, True)],
    ids=["one watch", "all watches", "pushed"],
)
def test_two_hundred_sidecars_send_nothing_to_servers_that_left_while_watches_were_silent(
    amount: float, pushed: bool
) -> None:
    result = play(silent_watch_scenario(200, amount, pushed=pushed))
    assert [str(violation) for violation in result.violations] == []
    assert result.counts["watch fell silent"] == (200 if amount else 1)
    assert result.counts["answer 200"] == result.counts["requests"] > 2_000


def test_a_build_that_waits_too_long_for_silent_watches_is_detected() -> None:
    with with_long_polls():
        assert "lists" in play(silent_watch_scenario(10, 1.0)).rules
