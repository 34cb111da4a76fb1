"""Reads settings from plain nested mappings; each error names the path of the key."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

_Choice = TypeVar("_Choice", bound=Enum)
_MAX_INTEGER = 2**53  # every integer up to here survives a double


class SettingsError(ValueError):
    """A setting that cannot be used; the text names its key and what is needed there."""

    def __init__(self, key: str, problem: str) -> None:
        """Describe the problem with one key."""
        super().__init__(f"{key}: {problem}")


class MappingReader:
    """Reads one mapping; each error names the path of the key.  A null counts as absent.

    All methods raise SettingsError where the value has another type or is out of range.
    """

    def __init__(self, given: object, path: str) -> None:
        """Read this mapping, which stands at this path."""
        if not isinstance(given, Mapping):
            raise SettingsError(path, "a mapping is needed")
        self._given = given
        self._path = "" if path == "settings" else path + "."

    def _value(self, key: str) -> Any:
        return self._given.get(key)

    def _error(self, key: str, needed: str) -> SettingsError:
        return SettingsError(f"{self._path}{key}", f"{needed} is needed, not {self._value(key)!r:.60}")

    def mapping(self, key: str) -> MappingReader:
        """Return a reader of a nested mapping, of an empty one where it is absent."""
        value = self._value(key)
        return MappingReader({} if value is None else value, self._path + key)

    def mappings(self, key: str) -> list[MappingReader]:
        """Return readers of a list of mappings, none where it is absent."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._error(key, "a list")
        return [MappingReader(each, f"{self._path}{key}[{index}]") for index, each in enumerate(value)]

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._error(key, "a text")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of strings, none where it is absent."""
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._error(key, "a list of texts")
        if not all(isinstance(each, str) for each in value):
            raise self._error(key, "a list of texts")
        return tuple(value)

    def flag(self, key: str, default: bool) -> bool:
        """Return a boolean."""
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            raise self._error(key, "true or false")
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = _MAX_INTEGER) -> float:
        """Return a number from `low` to `high`."""
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            raise self._error(key, f"a number from {low:g} to {high:g}")
        return float(value)

    def integer(self, key: str, default: int | None, low: int = 0) -> int:
        """Return an integer of at least `low`; a float counts if it is one."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= _MAX_INTEGER:
            raise self._error(key, f"a whole number from {low}")
        if value != int(value):
            raise self._error(key, "a whole number")
        return int(value)

    def optional_integer(self, key: str) -> int | None:
        """Return an integer of at least 0, or None where it is absent."""
        return None if self._value(key) is None else self.integer(key, None)

    def choice(self, key: str, kind: type[_Choice], default: _Choice) -> _Choice:
        """Return the member of an enumeration that has this value."""
        value = self._value(key)
        if value is None:
            return default
        for each in kind:
            if value == each.value:
                return each
        raise self._error(key, "one of " + ", ".join(str(each.value) for each in kind))
