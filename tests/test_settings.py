"""Settings: unknown keys, defaults, and values that are rejected."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from micadeck.policy import Balancer, Settings
from micadeck.policy.events import RequestArrived
from micadeck.policy.settings import DiscoveryMode, Idempotency

MINIMAL = {"classes": [{"name": "a", "deadline_us": 1_000_000}]}


def test_absent_keys_get_the_cautious_default() -> None:
    given = Settings.from_mapping(MINIMAL)
    assert given.classes[0].idempotency is Idempotency.NON_IDEMPOTENT
    assert given.classes[0].latency_objective_us == 1_000_000
    assert given.discovery is DiscoveryMode.ON_REQUEST
    assert not given.limits.allow_hedging and given.limits.max_attempts == 1
    assert given.rules.drain_grace_us == 0


def test_unknown_keys_are_skipped_and_null_counts_as_absent() -> None:
    assert Settings.from_mapping(
        {**MINIMAL, "news": 1, "limits": {"x": 2}, "rules": None}
    ) == Settings.from_mapping(MINIMAL)


@pytest.mark.parametrize(
    ("given", "key"),
    [
        ({}, "classes"),
        ({"classes": 5}, "classes"),
        ({"classes": [{"name": "a"}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 0}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": float("nan")}]}, "classes[0].deadline_us"),
        ({"classes": [{"name": "a", "deadline_us": 9, "repeat": "maybe"}]}, "classes[0].repeat"),
        ({"classes": [*MINIMAL["classes"], *MINIMAL["classes"]]}, "classes"),
        ({**MINIMAL, "limits": {"max_attempts": -1}}, "limits.max_attempts"),
        ({**MINIMAL, "limits": {"second_copies": 1}}, "limits.second_copies"),
        ({**MINIMAL, "rules": {"cold_from": 2}}, "rules.cold_from"),
        ({**MINIMAL, "rules": {"fall_us": "long"}}, "rules.fall_us"),
        ({**MINIMAL, "report": {"columns": "util"}}, "report.columns"),
        ({**MINIMAL, "tenants": [3]}, "tenants[0]"),
        ({**MINIMAL, "group_size": 0}, "group_size"),
        ({**MINIMAL, "prices": []}, "prices"),
    ],
)
def test_invalid_settings_are_named_in_the_error(given: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError) as error:
        Settings.from_mapping(given)
    assert str(error.value).startswith(key + ":")


values = (
    st.none() | st.booleans() | st.integers(-5, 10**9) | st.floats() | st.sampled_from(["safe", "cell", "x"])
)


@hypothesis_settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.dictionaries(
        st.sampled_from(["deadline_us", "aim_us", "worth", "repeat", "group", "memory_us", "streaming"]),
        values,
    ),
    st.dictionaries(
        st.sampled_from(["max_attempts", "second_copies", "may_cancel", "cold_from", "cold_us", "fall_us"]),
        values,
    ),
)
def test_any_settings_give_a_working_balancer_or_a_complaint(
    kind: dict[str, Any], rest: dict[str, Any]
) -> None:
    try:
        given = Settings.from_mapping({"classes": [{"name": "a", **kind}], "limits": rest, "rules": rest})
    except ValueError:
        return
    balancer = Balancer(given, 1)
    assert len(balancer.handle(5_000_000, RequestArrived(1, "a", None, None, 500_000))) > 0
