"""The policy takes the same actions as release 3c12c64, event by event (tests/fixtures/README.md).

In `CHANGED` the release has more than two attempts of a request in flight: up to the first of these the
actions are the same, from then on those of the commit that mended it.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from policy_cases import CASES, SEEDS
from policy_driver import EVENTS_PER_CHECKPOINT, drive

FIXTURES = Path(__file__).parent / "fixtures"


def recorded(name: str) -> dict[str, dict[str, Any]]:
    results: dict[str, dict[str, Any]] = json.loads((FIXTURES / name).read_text())
    return results


RELEASE = recorded("policy_characterization.json")
CHANGED = recorded("policy_characterization_hedging.json")
EXPECTED = RELEASE | CHANGED
# Of each changed case, the checkpoints before the event in which the release sends a third attempt at once.
SAME_CHECKPOINTS = {"most_servers_hang 1": 2, "most_servers_hang 3": 2}


def test_every_case_has_an_expected_result() -> None:
    assert sorted(EXPECTED) == sorted(f"{name} {seed}" for name in CASES for seed in SEEDS)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", CASES)
def test_decisions_match_the_recorded_release(name: str, seed: int) -> None:
    expected = EXPECTED[f"{name} {seed}"]
    result = drive(name, seed).result()
    for number, (digest, expected_digest) in enumerate(
        zip(result["checkpoints"], expected["checkpoints"], strict=False)
    ):
        last = (number + 1) * EVENTS_PER_CHECKPOINT
        assert digest == expected_digest, (
            f"first difference between events {last - EVENTS_PER_CHECKPOINT} and {last}"
        )
    assert result["counts"] == expected["counts"]
    assert result["state"] == expected["state"]
    assert result == expected


def test_changed_cases_match_the_release_up_to_their_change() -> None:
    assert sorted(CHANGED) == sorted(SAME_CHECKPOINTS)
    for case, count in SAME_CHECKPOINTS.items():
        assert CHANGED[case]["checkpoints"][:count] == RELEASE[case]["checkpoints"][:count]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", CASES)
def test_no_request_has_more_attempts_in_flight_than_allowed(name: str, seed: int) -> None:
    # Guards against a silent attempt that is hedged again at each of its timers.
    assert drive(name, seed).excess_attempts == []
