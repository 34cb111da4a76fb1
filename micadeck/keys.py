"""Reorders msgspec (schema library) errors like configuration errors: the invalid key first."""

from __future__ import annotations

import re

_NAMED_FIELD = re.compile(r"(?:unknown|missing required) field `([^`]*)`")


def key_and_text(error_text: str) -> tuple[str, str, bool]:
    """Split the text of a `msgspec.ValidationError`.

    Returns:
        The path of the key (empty for the file itself); what is wrong; and whether the key is missing or
        unknown, in which case msgspec names it in the text and not in the path.
    """
    text, _, location = error_text.partition(" - at `$")
    path = location.rstrip("`").lstrip(".")
    named_field = _NAMED_FIELD.search(text)
    if named_field is not None:
        path = ".".join(part for part in (path, named_field[1]) if part)
        text = "there is no such key" if "unknown" in text else "it is needed"
    return path, text, named_field is not None
