"""Rule 4 over a whole tier: what all sidecars send together to servers that start, in one window of time."""

from __future__ import annotations

from typing import Any
from unittest import mock

import pytest
from slow_start_fleet import Day

from micadeck.policy.admission import AdmissionControl
from micadeck.policy.latency import LatencyEstimates
from micadeck.policy.selection import EndpointSelector
from micadeck.policy.slow_start import SlowStart

DAYS: dict[str, dict[str, Any]] = {
    "a third restarts": {},
    "in a burst, some with several times the mean": {"uneven": True, "burst": 2.0},
    "all restart": {"cold": 30, "load": 0.5},
    "two thirds restart, uneven": {"cold": 20, "load": 0.4, "uneven": True},
}


@pytest.mark.parametrize("sidecars", [1, 30, 230])
@pytest.mark.parametrize("day", DAYS)
def test_the_sum_of_all_sidecars_stays_within_what_is_put_down_to_chance(sidecars: int, day: str) -> None:
    # N requests by the settings and 2 x root of N + 2 for chance, in any window that the settings name.
    worst, _ = Day(sidecars, **DAYS[day]).play().fullest()
    assert 0.0 < worst < 0.6


@pytest.mark.parametrize("sidecars", [30, 230])
def test_a_tier_that_sends_more_than_its_part_is_found(sidecars: int) -> None:
    # Servers that start are drawn as if they were warm, whatever is learnt of their pace.
    def learn_nothing(self: Any, endpoint: Any, request: Any, elapsed_us: int) -> None:
        """Keep the relative latency as it is."""

    with (
        mock.patch.object(SlowStart, "is_cold", lambda self, endpoint: False),
        mock.patch.object(AdmissionControl, "is_shed", lambda self, service_class, tenant: False),
        mock.patch.object(LatencyEstimates, "adjust_endpoint", learn_nothing),
        mock.patch.object(EndpointSelector, "requests_at", lambda self, endpoint: 0),
    ):
        worst, _ = Day(sidecars, load=0.9, uneven=True, burst=2.0).play().fullest()
    assert worst > 1.0


@pytest.mark.parametrize(("sidecars", "least"), [(1, 0.3), (30, 0.1), (230, 0.05)])
def test_servers_that_start_are_put_to_use(sidecars: int, least: float) -> None:
    # Of what they can do by then; the fewer requests a sidecar has, the later it comes to send them any.
    assert Day(sidecars).play().part_used(3.0, 8.0) > least
