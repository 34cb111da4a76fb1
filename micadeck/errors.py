"""Roots of the program's own errors: what happened, and what an operator can do about it."""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """An error that an operator can act on.

    Attributes:
        advice: One sentence on what to do.
    """

    advice: ClassVar[str] = "Report it with the lines around it."


class MicadeckError(OperatorError):
    """An error whose text ends with its advice."""

    def __init__(self, what: str) -> None:
        """Say what happened, in one sentence."""
        super().__init__(what)

    def __str__(self) -> str:
        """What happened, and what to do."""
        return f"{self.args[0]} {self.advice}"
