"""Long-running balancers: bounded state, and no server ejected without cause."""

from __future__ import annotations

from helpers import MS, S, Stage, names, settings

from micadeck.policy.actions import Fail, Log, Refuse
from micadeck.policy.events import ListedServer, ListKind, ServerState
from micadeck.policy.outcomes import Outcome
from micadeck.policy.settings import Idempotency


def _ejected(stage: Stage) -> list[str]:
    return [each.text for each in stage.said(Log) if each.text.startswith("ejected")]


def test_no_state_is_kept_of_replaced_servers() -> None:
    # Guards against unbounded state when all servers are replaced repeatedly under new ids.
    stage = Stage(settings(limits={"second_copies": False}))
    for round_ in range(200):
        stage.servers([f"{name}-{round_}" for name in names(5)])
        for _ in range(5):
            request = stage.request()
            stage.wait(20 * MS)
            while request in stage.balancer._requests:
                stage.end(request, Outcome.DELIVERED if round_ % 7 else Outcome.CONNECTION_LOST)
    stage.wait(20 * S)
    balancer = stage.balancer
    assert len(balancer._endpoints.by_name) == 5
    assert len(balancer._requests) == len(balancer._concurrency.abandoned_until) == 0
    assert len(balancer._timers.entries) <= 2
    assert all(each.state is ServerState.READY for each in balancer._endpoints.ejected)


def test_a_removed_server_is_kept_until_its_last_attempt_ends() -> None:
    stage = Stage()
    stage.servers(names(1))
    request = stage.request("pay")
    (server,) = names(1)
    stage.servers([ListedServer(server, state=ServerState.REMOVED)], ListKind.CHANGES)
    assert server in stage.balancer._endpoints.by_name
    stage.end(request)
    assert stage.balancer._endpoints.by_name == {}
    assert stage.balancer._concurrency.load() == 0


def test_malformed_responses_eject_a_server_only_without_good_ones() -> None:
    # Guards against ejecting half the fleet for corruption on the network that affects all servers alike.
    stage = Stage()
    stage.servers(names(4))
    for number in range(60):
        request = stage.request("pay")
        stage.wait(20 * MS)
        stage.end(request, Outcome.DELIVERED if number % 3 else Outcome.MALFORMED)
    assert _ejected(stage) == []
    for _ in range(60):
        request = stage.request("pay")
        stage.wait(20 * MS)
        stage.end(request, Outcome.MALFORMED)
    assert any(each.endswith("spoilt") for each in _ejected(stage))


def test_a_request_with_a_malformed_response_may_have_run() -> None:
    stage = Stage()
    stage.servers(names(4))
    for kind in ("look", "pay"):
        request = stage.request(kind)
        stage.end(request, Outcome.MALFORMED)
        again = len(stage.sends(request)) == 2
        assert again == (stage.balancer._classes[kind].idempotency is Idempotency.IDEMPOTENT)
    assert len(stage.said(Fail)) == 1


def test_a_rejected_request_fails_at_once_and_ejects_no_server() -> None:
    stage = Stage()
    stage.servers(names(4))
    for _ in range(20):
        request = stage.request()
        stage.end(request, Outcome.REJECTED)
        assert len(stage.sends(request)) == 1
    assert len(stage.said(Fail)) == 20
    assert _ejected(stage) == []


def test_handshakes_are_not_taken_for_overload_or_silence() -> None:
    # Guards the first second after a start: every connection is new, and its first answer is slow.
    def refused(every_answer_us: int, first_answer_us: int) -> int:
        stage = Stage()
        stage.servers(names(12))
        for round_ in range(8):
            requests = [stage.request("pay") for _ in range(24)]
            stage.wait(first_answer_us if round_ == 0 else every_answer_us)
            for request in requests:
                if request in stage.balancer._requests:
                    stage.end(request)
        assert not any("silent" in each for each in _ejected(stage))
        return len(stage.said(Refuse))

    assert refused(30 * MS, 240 * MS) == 0
    assert refused(700 * MS, 700 * MS) > 10


def test_retry_after_of_a_refusal_is_within_the_latency_objective() -> None:
    for allowed, max_us in ((True, 2 * S), (True, 20 * MS), (False, 2 * S)):
        stage = Stage(settings(limits={"retry_after": allowed, "max_retry_after_us": max_us}))
        stage.servers([])
        for _ in range(20):
            stage.request()
        advice = [each.retry_after_us for each in stage.said(Refuse)]
        assert len(advice) == 20
        if allowed:
            assert all(0 < each <= min(max_us, 250 * MS) for each in advice)
        else:
            assert not any(advice)
