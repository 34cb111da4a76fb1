"""Which of the clients' connections at rest are kept: for how long, and how many.  No input or output.

A connection at rest is worth its place while clients use it again, and takes a place from a new one when
they don't.  So reuse is seen, not guessed: a connection that asked a second time is proven and rests for as
long as there is room.  Those that asked once share a part of the room that follows how many come back.
Closing early would hide whether they do, so a few are witnesses: they are left alone, and only they are
counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

_PART_AT_LEAST = 0.25  # of the room, for those that asked once, when none of them comes back
_PART_AT_MOST = 0.75  # when all do: clients may hold fewer connections than there is room for
_WITNESSES = 0.125  # of the room, at most
_WITNESS_EACH = 4  # of those that ask once, as long as there are not too many
_WEIGHT = 1 / 16  # of one witness in the estimate
_LONG_UP_TO = 0.5  # of the room in use: so far each may rest for the whole time
_SHORTEST = 0.2  # of the whole time, when the room is used up

C = TypeVar("C")


class IdleConnections(Generic[C]):
    """The connections at rest that asked once, and what is known of such."""

    def __init__(self) -> None:
        self.comes_back = 0.0  # the part of those that asked once that asked again; none until it is seen
        self._once: dict[C, bool] = {}  # at rest, the one that rests longest first; True: a witness
        self._witnesses = 0
        self._since_witness = 0

    def rests(self, connection: C, served: int, room: int) -> None:
        """Take note that a connection came to rest, having served so many requests."""
        if served == 1:
            self._since_witness += 1
            is_witness = self._since_witness >= _WITNESS_EACH and self._witnesses < max(room * _WITNESSES, 1)
            self._once[connection] = is_witness
            if is_witness:
                self._witnesses += 1
                self._since_witness = 0

    def asks(self, connection: C) -> None:
        """Take note that a request began to come on a connection at rest."""
        self._leave(connection, came_back=True)

    def ends(self, connection: C) -> None:
        """Take note that a connection ended, whoever closed it."""
        self._leave(connection, came_back=False)

    def _leave(self, connection: C, came_back: bool) -> None:
        if self._once.pop(connection, False):
            self._witnesses -= 1
            self.comes_back += (float(came_back) - self.comes_back) * _WEIGHT

    def most_once(self, room: int) -> int:
        """How many that asked once may rest, of so much room."""
        return int(room * (_PART_AT_LEAST + (_PART_AT_MOST - _PART_AT_LEAST) * self.comes_back))

    def spare(self, room: int) -> Iterator[C]:
        """Those that may be closed, in this order; none while there are not `too_many`."""
        if self.too_many(room):
            yield from (each for each, is_witness in self._once.items() if not is_witness)

    def too_many(self, room: int) -> int:
        """How many that asked once rest beyond their part of the room."""
        return max(len(self._once) - self.most_once(room), 0)


def rest_for_s(longest_s: float, used: int, room: int) -> float:
    """How long a connection may rest, in seconds, while so much of the room is in use."""
    full = used / room if room > 0 else 1.0
    if full <= _LONG_UP_TO:
        return longest_s
    beyond = min((full - _LONG_UP_TO) / (1.0 - _LONG_UP_TO), 1.0)
    return longest_s * (1.0 - beyond * (1.0 - _SHORTEST))
