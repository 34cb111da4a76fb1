"""Reads settings from plain nested mappings; each complaint names the path of the key."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

_Choice = TypeVar("_Choice", bound=Enum)
_LARGEST = 2**53  # every whole number up to here survives a double


class MappingReader:
    """Reads one mapping; each complaint names the path of the key.  A null counts as absent."""

    def __init__(self, given: object, path: str) -> None:
        if not isinstance(given, Mapping):
            raise ValueError(f"{path}: a mapping is needed")
        self._given = given
        self._path = "" if path == "settings" else path + "."

    def _value(self, key: str) -> Any:
        return self._given.get(key)

    def _nonsense(self, key: str, needed: str) -> ValueError:
        return ValueError(f"{self._path}{key}: {needed} is needed, not {self._value(key)!r:.60}")

    def part(self, key: str) -> MappingReader:
        value = self._value(key)
        return MappingReader({} if value is None else value, self._path + key)

    def parts(self, key: str) -> list[MappingReader]:
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._nonsense(key, "a list")
        return [MappingReader(each, f"{self._path}{key}[{index}]") for index, each in enumerate(value)]

    def text(self, key: str, default: str | None = None) -> str:
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._nonsense(key, "a text")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._nonsense(key, "a list of texts")
        if not all(isinstance(each, str) for each in value):
            raise self._nonsense(key, "a list of texts")
        return tuple(value)

    def flag(self, key: str, default: bool) -> bool:
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._nonsense(key, "true or false")
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = _LARGEST) -> float:
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise self._nonsense(key, f"a number from {low:g} to {high:g}")
        return float(value)

    def whole(self, key: str, default: int | None, low: int = 0) -> int:
        value = self._value(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= _LARGEST:
            raise self._nonsense(key, f"a whole number from {low}")
        if value != int(value):
            raise self._nonsense(key, "a whole number")
        return int(value)

    def optional_whole(self, key: str) -> int | None:
        return None if self._value(key) is None else self.whole(key, None)

    def choice(self, key: str, kind: type[_Choice], default: _Choice) -> _Choice:
        value = self._value(key)
        if value is None:
            return default
        for each in kind:
            if value == each.value:
                return each
        raise self._nonsense(key, "one of " + ", ".join(str(each.value) for each in kind))
