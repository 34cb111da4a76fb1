"""The policy takes the same actions as release 3c12c64, event by event (tests/fixtures/README.md)."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from policy_cases import CASES, SEEDS
from policy_driver import EVENTS_PER_CHECKPOINT, drive

EXPECTED: dict[str, dict[str, Any]] = json.loads(
    (Path(__file__).parent / "fixtures" / "policy_characterization.json").read_text()
)


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
