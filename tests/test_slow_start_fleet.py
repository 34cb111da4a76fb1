"""Rule 4 over a fleet: what all sidecars together send to cold servers within one time window."""

from __future__ import annotations

from typing import Any
from unittest import mock

import pytest
from slow_start_fleet import FleetSimulation

from micadeck.policy.admission import AdmissionControl
from micadeck.policy.latency import LatencyEstimates
from micadeck.policy.selection import EndpointSelector
from micadeck.policy.slow_start import SlowStart

SCENARIOS: dict[str, dict[str, Any]] = {
    "a third restarts": {},
    "in a burst, some with several times the mean": {"uneven": True, "burst": 2.0},
    "all restart": {"cold": 30, "load": 0.5},
    "two thirds restart, uneven": {"cold": 20, "load": 0.4, "uneven": True},
}


@pytest.mark.parametrize("sidecars", [1, 30, 230])
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_all_sidecars_together_stay_within_the_slow_start_share(sidecars: int, scenario: str) -> None:
    # The settings allow N requests per window; 2 * sqrt(N) + 2 more are allowed for chance.
    worst, _ = FleetSimulation(sidecars, **SCENARIOS[scenario]).run().max_window_use()
    assert 0.0 < worst < 0.6


@pytest.mark.parametrize("sidecars", [30, 230])
def test_a_fleet_that_exceeds_the_slow_start_share_is_detected(sidecars: int) -> None:
    # Cold servers are drawn as if they were warm, and their latency is not learnt.
    def keep_latency(self: Any, endpoint: Any, request: Any, elapsed_us: int) -> None:
        """Keep the relative latency as it is."""

    with (
        mock.patch.object(SlowStart, "is_cold", lambda self, endpoint: False),
        mock.patch.object(AdmissionControl, "is_shed", lambda self, service_class, tenant: False),
        mock.patch.object(LatencyEstimates, "adjust_endpoint", keep_latency),
        mock.patch.object(EndpointSelector, "requests_at", lambda self, endpoint: 0),
    ):
        worst, _ = FleetSimulation(sidecars, load=0.9, uneven=True, burst=2.0).run().max_window_use()
    assert worst > 1.0


@pytest.mark.parametrize(("sidecars", "min_share"), [(1, 0.3), (30, 0.1), (230, 0.05)])
def test_cold_servers_get_a_share_of_their_capacity(sidecars: int, min_share: float) -> None:
    # A share of their capacity; the fewer requests a sidecar has, the later it sends them any.
    assert FleetSimulation(sidecars).run().capacity_use(3.0, 8.0) > min_share
