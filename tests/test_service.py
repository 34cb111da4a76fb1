"""Long-running balancers: bounded state, and no server ejected without cause."""

from __future__ import annotations

from helpers import MS, PolicyHarness, S, names, settings

from micadeck.policy.actions import Fail, Log, Refuse
from micadeck.policy.events import ListedServer, ListKind, ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import Idempotency


def _ejected(harness: PolicyHarness) -> list[str]:
    return [each.text for each in harness.actions(Log) if each.text.startswith("ejected")]


def test_no_state_is_kept_of_replaced_servers() -> None:
    # Guards against unbounded state when all servers are replaced repeatedly under new ids.
    harness = PolicyHarness(settings(limits={"second_copies": False}))
    for round_ in range(200):
        harness.list_servers([f"{name}-{round_}" for name in names(5)])
        for _ in range(5):
            request = harness.request()
            harness.advance(20 * MS)
            while request in harness.balancer._requests:
                harness.end_attempt(request, Outcome.DELIVERED if round_ % 7 else Outcome.CONNECTION_LOST)
    harness.advance(20 * S)
    balancer = harness.balancer
    assert len(balancer._endpoints.by_name) == 5
    assert len(balancer._requests) == len(balancer._concurrency.abandoned_until) == 0
    assert len(balancer._timers.entries) <= 2
    assert all(each.state is ServerState.READY for each in balancer._endpoints.ejected)


def test_a_removed_server_is_kept_until_its_last_attempt_ends() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(1))
    request = harness.request("pay")
    (server,) = names(1)
    harness.list_servers([ListedServer(server, state=ServerState.REMOVED)], ListKind.CHANGES)
    assert server in harness.balancer._endpoints.by_name
    harness.end_attempt(request)
    assert harness.balancer._endpoints.by_name == {}
    assert harness.balancer._concurrency.load() == 0


def test_malformed_responses_eject_a_server_only_without_good_ones() -> None:
    # Guards against ejecting half the fleet for corruption on the network that affects all servers alike.
    harness = PolicyHarness()
    harness.list_servers(names(4))
    for number in range(60):
        request = harness.request("pay")
        harness.advance(20 * MS)
        harness.end_attempt(request, Outcome.DELIVERED if number % 3 else Outcome.MALFORMED)
    assert _ejected(harness) == []
    for _ in range(60):
        request = harness.request("pay")
        harness.advance(20 * MS)
        harness.end_attempt(request, Outcome.MALFORMED)
    assert any(each.endswith("spoilt") for each in _ejected(harness))


def test_a_request_with_a_malformed_response_may_have_run() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(4))
    for kind in ("look", "pay"):
        request = harness.request(kind)
        harness.end_attempt(request, Outcome.MALFORMED)
        again = len(harness.sends(request)) == 2
        assert again == (harness.balancer._classes[kind].idempotency is Idempotency.IDEMPOTENT)
    assert len(harness.actions(Fail)) == 1


def test_a_rejected_request_fails_at_once_and_ejects_no_server() -> None:
    harness = PolicyHarness()
    harness.list_servers(names(4))
    for _ in range(20):
        request = harness.request()
        harness.end_attempt(request, Outcome.REJECTED)
        assert len(harness.sends(request)) == 1
    assert len(harness.actions(Fail)) == 20
    assert _ejected(harness) == []


def test_handshakes_are_not_taken_for_overload_or_silence() -> None:
    # Guards the first second after a start: every connection is new, and its first answer is slow.
    def refused(every_answer_us: int, first_answer_us: int) -> int:
        harness = PolicyHarness()
        harness.list_servers(names(12))
        for round_ in range(8):
            requests = [harness.request("pay") for _ in range(24)]
            harness.advance(first_answer_us if round_ == 0 else every_answer_us)
            for request in requests:
                if request in harness.balancer._requests:
                    harness.end_attempt(request)
        assert not any("silent" in each for each in _ejected(harness))
        return len(harness.actions(Refuse))

    assert refused(30 * MS, 240 * MS) == 0
    assert refused(700 * MS, 700 * MS) > 10


def test_retry_after_of_a_refusal_is_within_the_latency_objective() -> None:
    for allowed, max_us in ((True, 2 * S), (True, 20 * MS), (False, 2 * S)):
        harness = PolicyHarness(settings(limits={"retry_after": allowed, "max_retry_after_us": max_us}))
        harness.list_servers([])
        for _ in range(20):
            harness.request()
        advice = [each.retry_after_us for each in harness.actions(Refuse)]
        assert len(advice) == 20
        if allowed:
            assert all(0 < each <= min(max_us, 250 * MS) for each in advice)
        else:
            assert not any(advice)
