"""The cost of one list change, in interpreter instructions, does not grow with the size of the list."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from types import FrameType
from typing import Any

import pytest
from helpers import PolicyHarness, settings

from micadeck.membership.consul.view import ENTRIES_PER_STEP, ServiceView
from micadeck.membership.endpoint_merge import EndpointMerge
from micadeck.membership.endpoint_observation import Observation, Precedence
from micadeck.policy.events import ListedServer, ListKind, ServersListed, ServerState

FEW, MANY = 100, 3_000


def instructions(work: Callable[[], object]) -> int:
    """Count the interpreter instructions that a call takes."""
    count = 0

    def trace(frame: FrameType, event: str, _: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


def _address(number: int) -> tuple[str, int]:
    return f"10.0.{number // 250}.{number % 250 + 1}", 80


def _merge_change(count: int, flip: Precedence) -> Callable[[], object]:
    merge = EndpointMerge()
    for source in ("roster", "consul"):
        merge.add(source)
        merge.observe(1.0, source, [Observation(_address(n), Precedence.READY) for n in range(count)])
    merge.take_changes(1.0)

    def work() -> None:
        merge.observe_changes(2.0, "consul", [Observation(_address(7), flip)])
        update = merge.take_changes(2.0)
        assert update is not None and len(update.entries) == 1

    return work


def _policy_changes(count: int) -> Callable[[], object]:
    harness = PolicyHarness(settings(rules={"cold_us": 10_000_000}))
    harness.list_servers([ListedServer(f"s-{n}", zone="east") for n in range(count)])
    harness.serve(5)
    changed = ListedServer("s-7", zone="east", state=ServerState.DRAINING)
    returned = ListedServer("s-7", zone="east", started_at=harness.now)

    def work() -> None:
        balancer, now = harness.balancer, harness.now
        for version, each in ((2, changed), (3, returned)):
            balancer.handle(now, ServersListed(ListKind.CHANGES, [each], version))
        server = balancer._endpoints.by_name["s-7"]
        assert balancer._slow_start.is_cold(server) and balancer._slow_start.has_budget(server, 1.0) in (
            True,
            False,
        )

    return work


def _body(count: int, critical: int = -1) -> bytes:
    entries = []
    for n in range(count):
        host, port = _address(n)
        checks = [
            {"CheckID": "c", "Status": "critical" if n == critical else "passing", "ServiceID": f"t-{n}"}
        ]
        service = {"ID": f"t-{n}", "Address": host, "Port": port}
        entries.append({"Node": {"Node": "n", "Address": "10.9.9.9"}, "Service": service, "Checks": checks})
    return json.dumps(entries).encode()


@pytest.mark.parametrize(
    "made",
    [
        lambda count: _merge_change(count, Precedence.DRAINING),
        lambda count: _merge_change(count, Precedence.UNHEALTHY),
        _policy_changes,
    ],
    ids=[
        "a drain in the merge",
        "an unhealthy endpoint in the merge",
        "a drain and a cold return in the decisions",
    ],
)
def test_the_cost_of_a_change_does_not_grow_with_the_list(
    made: Callable[[int], Callable[[], object]],
) -> None:
    few, many = instructions(made(FEW)), instructions(made(MANY))
    assert 20 < few and many < 1.5 * few  # a binary search takes a few steps more


def test_only_changed_entries_of_a_polled_list_are_parsed(monkeypatch: pytest.MonkeyPatch) -> None:
    parsed: list[Any] = []
    parse = ServiceView._parse_entry

    def record_parse(view: ServiceView, raw: Any, number: int) -> Any:
        parsed.append(number)
        return parse(view, raw, number)

    monkeypatch.setattr(ServiceView, "_parse_entry", record_parse)
    view = ServiceView()
    steps = sum(1 for _ in view.read(_body(MANY)))
    assert steps == 1 + MANY // ENTRIES_PER_STEP and len(parsed) == MANY
    assert len(list(view.take_change(1).observations)) == MANY
    parsed.clear()
    assert sum(1 for _ in view.read(_body(MANY, critical=9))) == steps
    change = view.take_change(2)
    assert len(parsed) == 1 and not change.removed and not change.is_complete
    assert [(each.address, each.precedence) for each in change.observations] == [
        (_address(9), Precedence.UNHEALTHY)
    ]


def test_incremental_changes_and_a_complete_list_give_the_same_view() -> None:
    """Compare incremental changes with the same answers read by a new view each time."""
    view = ServiceView()
    held: dict[tuple[str, int], Precedence] = {}
    for turn in range(60):
        body = json.dumps(_answer(turn)).encode()
        list(view.read(body))
        change = view.take_change(turn)
        for address in change.removed:
            del held[address]
        held.update({each.address: each.precedence for each in change.observations})
        fresh = ServiceView()
        list(fresh.read(body))
        assert held == {each.address: each.precedence for each in fresh.take_change(turn).observations}


def _answer(turn: int) -> list[dict[str, Any]]:
    return list(_entries(turn))


def _entries(turn: int) -> Iterator[dict[str, Any]]:
    for n in range(8):
        if (turn * 7 + n * 5) % 4 == 0:
            continue
        status = ("passing", "critical", "warning")[(turn + n * n) % 3]
        address, port = _address((n * 3 + turn) % 5)  # several registrations at one address
        yield {
            "Node": {"Node": f"n-{n % 2}", "Address": address},
            "Service": {"ID": f"t-{n}", "Address": address, "Port": port},
            "Checks": [{"CheckID": "c", "Status": status, "ServiceID": f"t-{n}"}],
        }
