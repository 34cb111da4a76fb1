"""The root of the program's own errors: each says what happened, and what an operator can do."""

from __future__ import annotations


class MicadeckError(Exception):
    """Something that an operator can mend; `advice` is one sentence on how."""

    advice = "Report it with the lines around it."

    def __init__(self, what: str) -> None:
        super().__init__(what)

    def __str__(self) -> str:
        return f"{self.args[0]} {self.advice}"
