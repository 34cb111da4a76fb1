"""Errors of the endpoint sources."""

from __future__ import annotations

from micadeck.errors import OperatorError


class MembershipError(OperatorError):
    """An endpoint source cannot be read; the last list stays in use."""

    advice = "Check the service that is named, and the path to it; the last list stays in use."


class DiscoveryCallError(MembershipError):
    """Discovery did not answer a call, or answered without a usable list."""

    def __init__(self, what: str = "no list") -> None:
        """Describe the error; by default, that the response was no list."""
        super().__init__(what)


class EndpointListError(MembershipError, ValueError):
    """A list from discovery is malformed."""

    advice = "Correct the list that discovery serves."


class FieldError(EndpointListError):
    """One field of a list has a value of the wrong type or range."""

    def __init__(self, field: str, expected: str, value: object, key: str = "") -> None:
        """Name the field, or a key of its entries, what it must be and the value read instead."""
        path = f"{field}: {key}" if key else field
        super().__init__(f"{path}: {expected} is needed, not {value!r:.60}")
