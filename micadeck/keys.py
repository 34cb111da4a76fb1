"""Complaints of the schema library turned round: the key at fault first, as configurations say it."""

from __future__ import annotations

import re

_NAMED = re.compile(r"(?:unknown|missing required) field `([^`]*)`")


def key_and_text(fault: str) -> tuple[str, str, bool]:
    """The key of a msgspec.ValidationError ("" for the whole), what is wrong, and whether the key is missing
    or unknown: then it stands in the library's text, not in its path.
    """
    text, _, at = fault.partition(" - at `$")
    path = at.rstrip("`").lstrip(".")
    named = _NAMED.search(text)
    if named is not None:
        path = ".".join(each for each in (path, named[1]) if each)
        text = "there is no such key" if "unknown" in text else "it is needed"
    return path, text, named is not None
