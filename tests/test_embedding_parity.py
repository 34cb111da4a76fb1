"""The list of tests that the three ways do not share is true, short, and no longer than it says."""

from __future__ import annotations

import importlib

import embedding_parity


def test_every_name_on_the_list_is_a_test_of_the_suite() -> None:
    there = {name for module in embedding_parity.SUITE for name in vars(importlib.import_module(module))}
    assert set(embedding_parity.HTTP_ONLY) | set(embedding_parity.RAW) <= there


def test_most_of_the_suite_is_shared() -> None:
    tests = [
        name
        for module in embedding_parity.SUITE
        for name in vars(importlib.import_module(module))
        if name.startswith("test_") and name not in embedding_parity.HTTP_ONLY
    ]
    assert len(tests) > 1.5 * len(embedding_parity.HTTP_ONLY)
