"""Short soak runs with fixed seeds; `soak_run.py` runs longer ones with any seeds."""

from __future__ import annotations

import pytest
from soak_plan import Fault, draw_plan
from soak_run import play, report

SHORT_S = 5.0


def assert_rules_hold(seed: int, *only: Fault) -> None:
    result = play(draw_plan(seed, SHORT_S, frozenset(only) or None))
    assert result.verdict.requests > 500  # fewer requests prove nothing
    assert not result.verdict.violations, report(result, is_full=True)


@pytest.mark.parametrize("seed", [3, 5, 8, 12])
def test_the_rules_hold_under_overlapping_faults(seed: int) -> None:
    assert_rules_hold(seed)


@pytest.mark.parametrize("seed", [1, 3])
def test_second_responses_reach_no_other_request(seed: int) -> None:
    assert_rules_hold(seed, Fault.SECOND_RESPONSE)
