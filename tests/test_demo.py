"""The demo's judge: each of the four rules can be broken, and is seen to be."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from micadeck.stand_ins import mysql_demo
from micadeck.stand_ins.demo import CORES, SERVICE_TIME_S, ClientRequest, judge

DRAIN = {"do": "list", "server": "s-1", "state": "leaving", "at": 10.0}
ADD = {"do": "add", "server": "s-new", "at": 10.0}


def _heard(ident: str = "a", server: str = "s-0", at: float = 9.0) -> dict[str, Any]:
    return {"ident": ident, "server": server, "at": at, "ran": True}


def _asked(*statuses: int, kind: str = "lodge", after: float = 0.1) -> ClientRequest:
    return ClientRequest("a", kind, 9.0, 3.0, 9.0 + after, statuses)


@pytest.mark.parametrize(
    ("asked", "heard", "done", "broken"),
    [
        (_asked(200), [_heard()], [DRAIN, ADD], None),
        (_asked(), [], [], "one final answer"),
        (_asked(200, 200), [_heard()], [], "one final answer"),
        (_asked(200, after=3.2), [_heard()], [], "one final answer"),
        (_asked(200), [_heard(), _heard(server="s-1")], [], "no effect twice"),
        (_asked(503), [_heard()], [], "no effect twice"),
        (_asked(502), [_heard()], [], None),
        (_asked(200, kind="check"), [_heard(), _heard()], [], None),
        (_asked(200), [_heard(server="s-1", at=10.4)], [DRAIN], None),
        (_asked(200), [_heard(server="s-1", at=10.6)], [DRAIN], "nothing to a server"),
        (
            _asked(200),
            [_heard(str(n), "s-new", 10.1) for n in range(int(3 * 0.25 * 2 * CORES / SERVICE_TIME_S))],
            [ADD],
            "no cold server",
        ),
    ],
)
def test_each_rule_is_judged(
    asked: ClientRequest, heard: list[dict[str, Any]], done: list[dict[str, Any]], broken: str | None
) -> None:
    told = judge([asked], {"heard": heard, "told": done})
    faulted = [rule for rule, faults in told.items() if faults]
    assert len(faulted) == (broken is not None)
    assert all(rule.startswith(broken or "") for rule in faulted)


@pytest.mark.parametrize(
    ("schedules", "lodging", "effects", "ran_at", "is_broken"),
    [
        ("complete", "done", 1, 10.4, False),
        ("complete", "unknown", 1, 9.0, False),
        ("BROKEN", "done", 1, 9.0, True),
        ("complete", "done", 0, 9.0, True),
        ("complete", "no effect", 1, 9.0, True),
        ("complete", "unknown", 2, 9.0, True),
        ("complete", "done", 1, 10.6, True),
    ],
)
def test_the_part_over_mysql_is_judged(
    schedules: str, lodging: str, effects: int, ran_at: float, is_broken: bool
) -> None:
    told = mysql_demo.ClientResults()
    told.reads[schedules] += 1
    told.writes["a"] = lodging
    wrong = mysql_demo.judge(told, Counter({"a": effects}), {"m": [ran_at]}, {"m": 10.0})
    assert bool(wrong) is is_broken
