"""What h11 lets pass in a message's head, and this sidecar does not.

h11 takes a line that ends in a bare line feed, a folded header, a `Content-Length` beside a
`Transfer-Encoding` and a length that is written twice or as a list, and settles on one reading of each.  The
peer may have meant the other one, and then what follows belongs to another message than one would think.
"""

from __future__ import annotations

import re

_END_OF_HEAD = re.compile(rb"\n\r?\n")
_LAYOUT = re.compile(rb"(?<!\r)\n|\n[ \t]")
_FRAMING = re.compile(rb"\n(content-length|transfer-encoding)[ \t]*:[ \t]*([^\r\n]*?)[ \t]*\r", re.IGNORECASE)
_LENGTH = re.compile(rb"[0-9]{1,15}")


def fault_in_head(raw: bytes) -> str | None:
    """What is wrong with the framing of the head that `raw` begins with, if it is whole."""
    end = _END_OF_HEAD.search(raw)
    if end is None:
        return None
    head = raw[: end.end()]
    if _LAYOUT.search(head):
        return "a line is folded or has no carriage return"
    found = _FRAMING.findall(head)
    if len(found) > 1:
        return "there is more than one length"
    if found and found[0][0].lower() == b"content-length" and not _LENGTH.fullmatch(found[0][1]):
        return "content-length is nonsense"
    return None
