"""Extreme settings: limits of 0, absent or very large, unusual names, no zones, no load reports."""

from __future__ import annotations

from typing import Any

import pytest
from loopback import OK, run_async, run_harness, until

from micadeck.config import ConfigError

LARGEST = 2**53
KIND = {"giveUpUs": 3_000_000, "promiseUs": 750_000}
CLASSES = [
    {**KIND, "name": "check", "repeat": "read_like"},
    {**KIND, "name": "amend", "repeat": "idempotency_key", "group": "zone", "memorySpanUs": 300_000},
    {**KIND, "name": "lodge", "repeat": "non_idempotent"},
]
VALUES = [0, 1, LARGEST]
LIMITS = ("sendCap", "maxOpen", "dialTimeoutUs", "idleCloseUs", "maxRetryAfterUs", "cpuUsPerS")
RULES = ("drainGraceUs", "coldUs", "fallUs", "askWithinUs", "answerSlackUs", "letGoInUs")


def check_requests_answered(**settings: Any) -> None:
    """A sidecar with these settings answers every request and has no internal error."""

    async def work() -> None:
        async with run_harness(OK, **{"lanes": CLASSES, **settings}) as harness:
            for kind in ("check", "amend", "lodge") * 2:
                assert (await harness.exchange(kind, timeout="0.5")).status in (200, 503, 504)
            harness.servers[0].hang_up()
            assert (await harness.exchange("check", timeout="0.5")).status in (200, 503, 504)
            await until(lambda: harness.sidecar.open_requests == 0)
            assert not [each for each in harness.log if "internal error" in each]

    run_async(work)


@pytest.mark.parametrize("value", VALUES)
@pytest.mark.parametrize("key", LIMITS)
def test_requests_are_answered_with_extreme_limits(key: str, value: int) -> None:
    if (key, value) == ("sendCap", 0):
        with pytest.raises(ConfigError, match=r"settings\.limits\.max_attempts: at least 1"):
            check_requests_answered(bounds={key: value})
    else:
        check_requests_answered(bounds={key: value})


@pytest.mark.parametrize("value", [1, LARGEST])
@pytest.mark.parametrize("key", RULES)
def test_requests_are_answered_with_extreme_rules(key: str, value: int) -> None:
    check_requests_answered(guarantees={key: value})


@pytest.mark.parametrize("discovery", ["pushed", "on_request"])
@pytest.mark.parametrize(
    "settings",
    [
        {"zone": ""},
        {"zone": "nowhere"},
        {"quantumUs": LARGEST},
        {"report": {}},
        {"bounds": {"mayCancel": False, "sendCap": 1}},
        {"prices": {"crossZone": 1e6, "waste": 1e6}},
        {"lanes": [{**each, "giveUpUs": LARGEST, "promiseUs": LARGEST} for each in CLASSES]},
        {"lanes": [{**each, "giveUpUs": 1, "promiseUs": 1} for each in CLASSES]},
        {"lanes": [{**each, "giveUpUs": 30_000_000 // 300**n} for n, each in enumerate(CLASSES)]},
        {"lanes": [{**each, "worth": 0} for each in CLASSES]},
        {"lanes": [*CLASSES, {**KIND, "name": " odd/näme:\u2603\x00,\"'", "repeat": "read_like"}]},
        {"lanes": [{**each, "memorySpanUs": 0} for each in CLASSES]},
    ],
    ids=str,
)
def test_requests_are_answered_with_unusual_settings(settings: dict[str, Any], discovery: str) -> None:
    check_requests_answered(discovery=discovery, **settings)
