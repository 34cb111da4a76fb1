"""What can be told of a text that is too long to be parsed, in little time and memory.  No I/O.

Regular expressions and lists of tokens take seconds and gigabytes for megabytes of SQL.  Here single bytes
are searched for, in windows.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

_WINDOW_BYTES = 1 << 16
_HEAD_BYTES = 1 << 12  # of a text: its first word and shape lie in it
_BLANKS = b" \t\r\n"
_CONTROL_CHARACTERS = bytes({*range(0x20), 0x7F} - {0x09, 0x0A, 0x0D})
# What makes it depend on `sql_mode` or on the version how a server reads a text, or where its literals end.
_AMBIGUOUS_MARKS = (b"--", b"#", b"/*", b"\\", b'"', b"`")
_NOT_QUOTE_OR_SEPARATOR = bytes({*range(256)} - {ord("'"), ord(";")})
_QUOTED_THEN_SEPARATOR = re.compile(rb"(?:'[^']*+')*+;")
LEADING_COMMENT = re.compile(rb"\s*/\*(?![!+M])[^*/]*\*/")


def _windows(text: bytes) -> range:
    return range(0, len(text), _WINDOW_BYTES)


def _is_ambiguous(text: bytes) -> bool:
    """Whether servers may read this text in different ways."""
    if any(mark in text for mark in _AMBIGUOUS_MARKS):
        return True
    for start in _windows(text):
        window = text[start : start + _WINDOW_BYTES]
        if len(window.translate(None, _CONTROL_CHARACTERS)) != len(window):
            return True
    return False


def has_further_statement(text: bytes) -> bool:
    """Whether a separator of statements may stand before the text's end.

    Literals are passed over where their bounds are certain; elsewhere any `;` counts.
    """
    text = text.rstrip(b";" + _BLANKS)
    if b";" not in text:
        return False
    if _is_ambiguous(text):
        return True
    is_quoted = False
    for start in _windows(text):
        marks = text[start : start + _WINDOW_BYTES].translate(None, _NOT_QUOTE_OR_SEPARATOR)
        if is_quoted:
            marks = b"'" + marks
        is_quoted = marks.count(b"'") % 2 == 1
        # Literals without a separator are gone after this, so that few are left to match.
        if _QUOTED_THEN_SEPARATOR.match(marks.replace(b"''", b"")):
            return True
    return False


def words_in(text: bytes, words: Iterable[str]) -> frozenset[str]:
    """Which of these words in lower case stand in a text, in whatever case; literals count too."""
    lowered = text.lower()
    return frozenset(word for word in words if word.encode() in lowered)


def head_of(text: bytes) -> bytes:
    """The beginning of a text behind its blanks and comments, with nothing of a literal that is cut off."""
    head = text.lstrip()[:_HEAD_BYTES]
    position = 0
    while (comment := LEADING_COMMENT.match(head, position)) is not None:
        position = comment.end()
    head = head[position:]
    if head.count(b"'") % 2 == 1:
        head = head[: head.rindex(b"'")]
    return head


def first_words(text: bytes) -> list[str]:
    """The words at the beginning of a text, behind blanks and comments, in lower case."""
    return head_of(text).decode("latin-1").lower().split()
