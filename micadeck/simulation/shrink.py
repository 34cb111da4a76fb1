"""Shrink a failing scenario: fewer faults and requests that violate the same invariant."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from micadeck.simulation.scenario import Scenario, orders

T = TypeVar("T")
Fails = Callable[[Scenario], bool]


def shrink(scenario: Scenario, fails: Fails, max_runs: int = 400) -> Scenario:
    """Return the smallest scenario found in `max_runs` runs that `fails` still accepts.

    Faults are removed first, since each changes all that follows; then options, then requests.  Removal is
    Zeller's ddmin: halves, then quarters, until no single item can go.
    """
    runs = 0

    def still_fails(candidate: Scenario) -> bool:
        nonlocal runs
        runs += 1
        return runs <= max_runs and fails(candidate)

    def change(**changes: object) -> Scenario:
        return msgspec.structs.replace(scenario, **changes)

    scenario = change(
        faults=tuple(_minimize(scenario.faults, lambda kept: still_fails(change(faults=tuple(kept)))))
    )
    for simpler in (
        {"sidecars": 1},
        {"call_us": 0.0},
        {"reconnects": False},
        {"ahead_ms": 0.0},
        {"cells": 1},
        {"servers": 2},
        {"servers": 3},
    ):
        key, value = next(iter(simpler.items()))
        if getattr(scenario, key) > value and still_fails(change(**simpler)):
            scenario = change(**simpler)
    # Leaving orders out does not change the others, since all are drawn first.
    numbers = [order.number for order in orders(scenario)]
    scenario = change(only=tuple(_minimize(numbers, lambda kept: still_fails(change(only=tuple(kept))))))
    return scenario


def _minimize(items: Sequence[T], still_fails: Callable[[Sequence[T]], bool]) -> Sequence[T]:
    """Minimize the items with ddmin, in their order, while `still_fails` holds."""
    kept = list(items)
    if not kept or still_fails([]):
        return []
    parts = 2
    while len(kept) > 1:
        size = max(len(kept) // parts, 1)
        pieces = [kept[start : start + size] for start in range(0, len(kept), size)]
        for index in range(len(pieces)):
            rest = [item for number, piece in enumerate(pieces) if number != index for item in piece]
            if still_fails(rest):
                kept = rest
                parts = max(parts - 1, 2)
                break
        else:
            if size == 1:
                break
            parts = min(parts * 2, len(kept))
    return kept
