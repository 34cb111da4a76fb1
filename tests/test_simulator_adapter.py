"""The simulator protocol: what is accepted and rejected, and no added behaviour."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from micadeck.simulator_adapter import run, settings_from_wire

SETTINGS: dict[str, Any] = {
    "bounds": {"sendCap": 3, "secondCopies": True, "mayCancel": True, "streamsPerConn": 1},
    "discovery": "on_request",
    "guarantees": {"askWithinUs": 10_000_000, "coldFrom": 0.3, "coldUs": 8_000_000},
    "lanes": [
        {"name": "look", "giveUpUs": 2_000_000, "promiseUs": 500_000, "repeat": "read_like", "group": "all"}
    ],
    "report": {"source": "piggyback", "columns": ["util"]},
    "something_new": [1, 2],
}
PAGE = [
    "PAGE",
    0,
    [["10.0.0.1:80", "east", "box", 0, "ready", 1, None], ["10.0.0.2:80", "east", "box", 0, "ready", 1]],
]


def begin(sidecar: str = "sidecar-1", settings: Any = None) -> list[list[Any]]:
    return [
        ["BEGIN", sidecar, 7, SETTINGS if settings is None else settings],
        PAGE,
        ["TARGETS", sidecar, "cached", 0, 1],
    ]


def run_batches(*batches: list[list[Any]]) -> tuple[int, list[list[Any]], str]:
    messages = []
    for index, batch in enumerate(batches):
        messages += [["FRAME", 1_000_000 + 5_000 * index], *batch, ["COMMIT"]]
    return run_text("".join(json.dumps(each) + "\n" for each in messages))


def run_text(text: str) -> tuple[int, list[list[Any]], str]:
    out, err = io.StringIO(), io.StringIO()
    code = run(io.StringIO(text), out, err)
    return code, [json.loads(each) for each in out.getvalue().splitlines()], err.getvalue()


def test_an_empty_batch_is_answered_by_done() -> None:
    assert run_batches([]) == (0, [["DONE"]], "")


def test_a_request_is_assigned() -> None:
    work = ["WORK_ITEM", "sidecar-1", 5, "look", 0, None, 900_000, 12_000, 1, "a field to come"]
    code, reply, _ = run_batches(begin(), [work])
    sends = [each for each in reply if each[0] == "ASSIGN"]
    assert code == 0
    assert (
        len(sends) == 1
        and sends[0][1:3] == ["sidecar-1", 5]
        and sends[0][3] in ("10.0.0.1:80", "10.0.0.2:80")
    )


def test_a_killed_instance_loses_its_state_and_may_restart_in_the_same_batch() -> None:
    work = ["WORK_ITEM", "sidecar-1", 5, "look", None, None, 900_000, None, 0]
    end = ["ATTEMPT_END", "sidecar-1", 5, 0, "10.0.0.1:80", "delivered", 100, True, {"util": 0.5}]
    code, reply, _ = run_batches(begin(), [work, ["EXIT", "sidecar-1"], *begin()], [end])
    assert code == 0
    assert [each[0] for each in reply].count("FOLLOW") == 2


def test_a_page_number_may_be_used_again_within_a_batch() -> None:
    other = ["PAGE", 0, [["10.0.0.9:80", "east", "box", 0, "ready", 1, None]]]
    work = [["WORK_ITEM", f"sidecar-{n}", n, "look", None, None, 900_000, None, 0] for n in (1, 2)]
    batch = [
        *begin(),
        ["BEGIN", "sidecar-2", 8, SETTINGS],
        other,
        ["TARGETS", "sidecar-2", "cached", 0, 1],
        *work,
    ]
    _, reply, _ = run_batches(batch)
    targets = {each[1]: each[3] for each in reply if each[0] == "ASSIGN"}
    assert targets["sidecar-2"] == "10.0.0.9:80" and targets["sidecar-1"] != "10.0.0.9:80"


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("nonsense", "not JSON"),
        ("[" * 100_000, "not JSON"),
        ("{}", "array"),
        ("[]", "array"),
        ('["NEWS","sidecar-1"]', "unknown message"),
        ('["FRAME"]', "inside a batch"),
        ('["WORK_ITEM","sidecar-1",5]', "needs 8 values"),
        ('["WAKE","sidecar-9","x"]', "has not begun"),
        ('["CLIENT_GONE","sidecar-1","five"]', "an integer is needed"),
        ('["TARGETS","sidecar-1","rumour",0,1]', "unknown value"),
        ('["TARGETS","sidecar-1","full",9,1]', "not given"),
        ('["ATTEMPT_END","sidecar-1",5,0,"a:1","lost",1,true,null]', "unknown value"),
        ('["PAGE",0,[["a:1"]]]', "at least 6"),
        ('["MEMO","sidecar-1",0,"xyz"]', "hex"),
        ('["BEGIN","sidecar-2",1,{"lanes":[]}]', "classes"),
        ('["BEGIN","sidecar-2",1,{"lanes":[{"name":"a","giveUpUs":-1}]}]', "classes[0].deadline_us"),
    ],
)
def test_bad_input_is_named_with_its_line_and_ends_the_run(line: str, message: str) -> None:
    good = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *begin()))
    code, _, err = run_text(good + line + "\n")
    assert code != 0
    assert err.startswith("line 5: ") and message in err and err.count("\n") == 1


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.one_of(
            st.text(max_size=30),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
                lambda inner: (
                    st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
                ),
            ).map(json.dumps),
            st.tuples(
                st.sampled_from(
                    ["WORK_ITEM", "ATTEMPT_END", "TARGETS", "PAGE", "BEGIN", "WAKE", "FIRST", "SAMPLED"]
                ),
                st.lists(
                    st.sampled_from(
                        ["sidecar-1", "look", "full", "delivered", 0, 1, -5, 2**70, None, True, 1.5, {}, []]
                    ),
                    max_size=9,
                ),
            ).map(lambda each: json.dumps([each[0], *each[1]])),
        ),
        max_size=5,
    )
)
def test_no_line_makes_a_traceback(lines: list[str]) -> None:
    start = "".join(json.dumps(each) + "\n" for each in (["FRAME", 1], *begin()))
    body = "".join(each.replace("\n", " ").replace("\r", " ") + "\n" for each in lines)
    code, _, err = run_text(start + body + '["COMMIT"]\n')
    assert (code == 0) == (err == "")


def test_the_same_events_give_the_same_actions_whatever_the_hash_seed() -> None:
    script = [["FRAME", 1_000_000], *begin(), ["COMMIT"]]
    for number in range(60):
        work = ["WORK_ITEM", "sidecar-1", number, "look", None, None, 900_000, None, 0]
        script += [["FRAME", 1_000_000 + 5_000 * number], work, ["COMMIT"]]
    text = "".join(json.dumps(each) + "\n" for each in script)
    replies = [
        subprocess.run(
            [sys.executable, "-m", "micadeck.simulator_adapter"],
            input=text,
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert replies[0] == replies[1] and replies[0].count("ASSIGN") == 60


def _settings_with_rules(guarantees: dict[str, Any]) -> Any:
    return {**SETTINGS, "guarantees": {**SETTINGS["guarantees"], **guarantees}, "lanes": [
        {"name": "pay", "giveUpUs": 2_000_000, "repeat": "non_idempotent"}
    ]}  # fmt: skip


@pytest.mark.parametrize(("late", "answer"), [(True, "SURRENDER"), (False, "ASSIGN"), (None, "ASSIGN")])
def test_late_shedding_reaches_the_decision(late: bool | None, answer: str) -> None:
    settings = _settings_with_rules({} if late is None else {"lateShedding": late})
    work = ["WORK_ITEM", "sidecar-1", 5, "pay", None, None, 900_000, None, 0]
    _, reply, _ = run_batches(begin(settings=settings), [work])
    server = next(each[3] for each in reply if each[0] == "ASSIGN")
    shed = ["ATTEMPT_END", "sidecar-1", 5, 0, server, "shed", 900, False, None]
    _, again, _ = run_batches(begin(settings=settings), [work], [shed])
    assert answer in [each[0] for each in again[len(reply) :]]


def test_the_idle_close_setting_reaches_the_decision() -> None:
    drain = ["PAGE", 1, [["10.0.0.1:80", "east", "box", 0, "draining", 1]]]
    drain_messages = [drain, ["TARGETS", "sidecar-1", "delta", 1, 2]]
    _, reply, _ = run_batches(begin(settings=_settings_with_rules({"letGoInUs": 500_000})), drain_messages)
    assert ["SHUT_IDLE", "sidecar-1", "10.0.0.1:80"] in reply
    _, reply, _ = run_batches(begin(settings=_settings_with_rules({})), drain_messages)
    assert "SHUT_IDLE" not in [each[0] for each in reply]


def test_every_supported_wire_setting_is_read() -> None:
    given = settings_from_wire(
        {
            **SETTINGS,
            "bounds": {"maxOpen": 9, "cpuUsPerS": 8, "cpuUsPerRequest": 0.5},
            "guarantees": {"letGoInUs": 7, "lateShedding": True, "drainGraceUs": 50_000, "fallMultiple": 1.5},
            "prices": {"lateFail": 0.05, "discovery": 0.01, "connection": 0.02, "handshake": 0.03},
            "goal": {"whole": 0.5, "tail": 0.2, "tailSlack": 0.02, "worstTenant": 0.1, "worstWindow": 0.2},
            "kinds": ["a", "b"],
            "clientHabits": {"marksRetry": True},
            "domain": {"warmKeys": True},
        }
    )
    assert (given.limits.max_open, given.limits.cpu_us_per_s, given.limits.cpu_us_per_request) == (9, 8, 0.5)
    assert given.rules.close_idle_within_us == 7 and given.rules.full_may_have_run
    assert given.rules.drain_grace_us == 50_000 and given.rules.overload_multiple == 1.5
    assert given.prices.late_fail == 0.05 and given.prices.discovery == 0.01
    assert given.prices.connection == 0.02 and given.prices.handshake == 0.03
    assert given.goal.tail == 0.2 and given.goal.tail_slack == 0.02 and given.goal.worst_tenant == 0.1
    assert given.kinds == ("a", "b") and given.clients_mark_retries and given.warm_keys
