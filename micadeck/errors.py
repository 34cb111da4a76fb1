"""Base classes of the program's own errors, with advice for operators."""

from __future__ import annotations

from typing import ClassVar


class OperatorError(Exception):
    """An error that an operator can act on.

    Attributes:
        advice: What to do, in one sentence.
    """

    advice: ClassVar[str] = "Report it with the surrounding log lines."


class MicadeckError(OperatorError):
    """An error whose text ends with its advice."""

    def __init__(self, problem: str) -> None:
        """Describe the error in one sentence."""
        super().__init__(problem)

    def __str__(self) -> str:
        """The problem, then the advice."""
        return f"{self.args[0]} {self.advice}"
