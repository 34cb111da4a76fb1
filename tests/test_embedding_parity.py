"""The list of tests that only the daemon runs names existing tests and stays short."""

from __future__ import annotations

import importlib

import embedding_parity


def test_every_listed_name_is_a_test_of_the_suite() -> None:
    known_names = {
        name for module in embedding_parity.SUITE for name in vars(importlib.import_module(module))
    }
    assert set(embedding_parity.HTTP_ONLY) | set(embedding_parity.RAW_INPUT_TESTS) <= known_names


def test_most_of_the_suite_is_shared() -> None:
    tests = [
        name
        for module in embedding_parity.SUITE
        for name in vars(importlib.import_module(module))
        if name.startswith("test_") and name not in embedding_parity.HTTP_ONLY
    ]
    assert len(tests) > 1.5 * len(embedding_parity.HTTP_ONLY)
