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

    def __init__(self, what: str) -> None:
        """Describe the error in one sentence."""
        super().__init__(what)

    def __str__(self) -> str:
        """What happened, and what to do."""
        return f"{self.args[0]} {self.advice}"
