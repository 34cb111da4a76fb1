"""Start times that the wall clock of another moment or machine tells: a cold server is cold all the same."""

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
COUNT, SPACING_US = 600, 1_000


def hear(balancer: Balancer, now: int, kind: ListKind, *lines: ListedServer) -> None:
    balancer.handle(now, ServersListed(kind, list(lines), version=now))


def sent_to_cold(balancer: Balancer, begin: int) -> int:
    """Requests a millisecond apart, each answered at once: how many go to the cold server."""
    count = 0
    for number in range(COUNT):
        now = begin + number * SPACING_US  # it names the request as well
        for action in balancer.handle(now, RequestArrived(now, "look", None, None, S, None)):
            if isinstance(action, Send):
                count += action.server == COLD
                ended = AttemptEnded(now, 0, action.server, Outcome.DELIVERED, 500, False, None)
                balancer.handle(now, ended)
    return count


def sent_after_restart(step_s: float, *, is_new: bool) -> int:
    """A server restarts, or joins, by a clock that was stepped; the list says so within a second."""
    balancer = Balancer(settings(rules={"cold_us": 10 * S, "cold_from": 0.1}), seed=3)
    before = NAMES[1:] if is_new else NAMES
    hear(balancer, BEGIN, ListKind.COMPLETE, *(ListedServer(each, started_at=S) for each in before))
    sent_to_cold(balancer, BEGIN + S)
    heard_at = BEGIN + 3 * S
    hear(balancer, heard_at - S, ListKind.CHANGES)
    told = heard_at + int(step_s * S)
    hear(balancer, heard_at, ListKind.CHANGES, ListedServer(COLD, started_at=told))
    return sent_to_cold(balancer, heard_at)


@pytest.mark.parametrize("is_new", [False, True])
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_start_told_by_a_stepped_clock_is_as_cold_as_one_told_right(step_s: float, is_new: bool) -> None:
    right = sent_after_restart(0.0, is_new=is_new)
    allowed = 6 if is_new else 1  # seconds older than it is it may count, at the most
    assert sent_after_restart(step_s, is_new=is_new) <= right + 12 * allowed


def test_a_start_told_for_an_hour_ahead_is_warm_after_its_own_time() -> None:
    balancer = Balancer(settings(rules={"cold_us": 10 * S, "cold_from": 0.1}), seed=3)
    hear(balancer, BEGIN, ListKind.COMPLETE, *(ListedServer(each, started_at=S) for each in NAMES))
    sent_to_cold(balancer, BEGIN + S)
    hear(balancer, BEGIN + 3 * S, ListKind.CHANGES, ListedServer(COLD, started_at=BEGIN + 3_603 * S))
    assert sent_to_cold(balancer, BEGIN + 14 * S) >= COUNT / len(NAMES) / 2
