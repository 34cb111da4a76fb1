"""Reads settings from plain nested mappings; errors name the path of the key."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

_EnumType = TypeVar("_EnumType", bound=Enum)
_MAX_INTEGER = 2**53  # a double represents all integers up to here exactly


class SettingsError(ValueError):
    """A setting is invalid; the message names its key and the value needed."""

    def __init__(self, key: str, problem: str) -> None:
        """Name the key and its problem."""
        super().__init__(f"{key}: {problem}")


class MappingReader:
    """Reads one mapping; errors name the path of the key.  A null counts as absent.

    All methods raise SettingsError if the value has another type or is out of range.
    """

    def __init__(self, given: object, path: str) -> None:
        """Read this mapping, whose path is `path`."""
        if not isinstance(given, Mapping):
            raise SettingsError(path, "a mapping is needed")
        self._given = given
        self._path = "" if path == "settings" else path + "."

    def _value(self, key: str) -> Any:
        return self._given.get(key)

    def _error(self, key: str, needed: str) -> SettingsError:
        return SettingsError(f"{self._path}{key}", f"{needed} is needed, not {self._value(key)!r:.60}")

    def mapping(self, key: str) -> MappingReader:
        """Return a reader of a nested mapping, empty if absent."""
        value = self._value(key)
        return MappingReader({} if value is None else value, self._path + key)

    def mappings(self, key: str) -> list[MappingReader]:
        """Return readers of a list of mappings, empty if absent."""
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            raise self._error(key, "a list")
        return [MappingReader(item, f"{self._path}{key}[{index}]") for index, item in enumerate(value)]

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._error(key, "a string")
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of strings, empty if absent."""
        value = self._value(key)
        if value is None:
            return ()
        if not isinstance(value, Sequence) or isinstance(value, str):
            raise self._error(key, "a list of strings")
        if not all(isinstance(item, str) for item in value):
            raise self._error(key, "a list of strings")
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
        """Return an integer of at least `low`; a float is accepted if integral."""
        value = self._value(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= _MAX_INTEGER:
            raise self._error(key, f"an integer of at least {low}")
        if value != int(value):
            raise self._error(key, "an integer")
        return int(value)

    def optional_integer(self, key: str) -> int | None:
        """Return an integer of at least 0, or None if absent."""
        return None if self._value(key) is None else self.integer(key, None)

    def choice(self, key: str, kind: type[_EnumType], default: _EnumType) -> _EnumType:
        """Return the member of an enumeration that has this value."""
        value = self._value(key)
        if value is None:
            return default
        for member in kind:
            if value == member.value:
                return member
        raise self._error(key, "one of " + ", ".join(str(member.value) for member in kind))
