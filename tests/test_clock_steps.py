"""Server start times from a stepped or skewed wall clock: slow start applies all the same."""

from __future__ import annotations

import pytest
from helpers import S, settings

from micadeck.policy import Balancer
from micadeck.policy.actions import Send
from micadeck.policy.events import AttemptEnded, ListedServer, ListKind, RequestArrived, ServersListed
from micadeck.policy.outcomes import Outcome

NAMES = [f"s-{number}" for number in range(6)]
COLD = NAMES[0]
BEGIN = 100_000 * S
STEPS_S = [-3600.0, -60.0, -1.0, -0.1, 0.0, 0.1, 1.0, 60.0, 3600.0]
COUNT, INTERVAL_US = 600, 1_000


def update_list(balancer: Balancer, now: int, kind: ListKind, *entries: ListedServer) -> None:
    balancer.handle(now, ServersListed(kind, list(entries), version=now))


def sent_to_cold(balancer: Balancer, start: int) -> int:
    """Send requests a millisecond apart, each answered at once; count those to the cold server."""
    count = 0
    for number in range(COUNT):
        now = start + number * INTERVAL_US  # also the request's number
        for action in balancer.handle(now, RequestArrived(now, "look", None, None, S, None)):
            if isinstance(action, Send):
                count += action.server == COLD
                ended = AttemptEnded(now, 0, action.server, Outcome.DELIVERED, 500, False, None)
                balancer.handle(now, ended)
    return count


def sent_after_restart(step_s: float, *, is_new: bool) -> int:
    """A server restarts or joins with a stepped clock; the list has it within a second."""
    balancer = Balancer(settings(rules={"cold_us": 10 * S, "cold_from": 0.1}), seed=3)
    before = NAMES[1:] if is_new else NAMES
    update_list(balancer, BEGIN, ListKind.COMPLETE, *(ListedServer(each, started_at=S) for each in before))
    sent_to_cold(balancer, BEGIN + S)
    listed_at = BEGIN + 3 * S
    update_list(balancer, listed_at - S, ListKind.CHANGES)
    started_at = listed_at + int(step_s * S)
    update_list(balancer, listed_at, ListKind.CHANGES, ListedServer(COLD, started_at=started_at))
    return sent_to_cold(balancer, listed_at)


@pytest.mark.parametrize("is_new", [False, True])
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_start_time_from_a_stepped_clock_is_treated_as_cold(step_s: float, is_new: bool) -> None:
    expected = sent_after_restart(0.0, is_new=is_new)
    allowed = 6 if is_new else 1  # seconds by which its age may be overestimated
    assert sent_after_restart(step_s, is_new=is_new) <= expected + 12 * allowed


def test_a_start_time_an_hour_ahead_is_warm_after_the_slow_start_period() -> None:
    balancer = Balancer(settings(rules={"cold_us": 10 * S, "cold_from": 0.1}), seed=3)
    update_list(balancer, BEGIN, ListKind.COMPLETE, *(ListedServer(each, started_at=S) for each in NAMES))
    sent_to_cold(balancer, BEGIN + S)
    update_list(balancer, BEGIN + 3 * S, ListKind.CHANGES, ListedServer(COLD, started_at=BEGIN + 3_603 * S))
    assert sent_to_cold(balancer, BEGIN + 14 * S) >= COUNT / len(NAMES) / 2
