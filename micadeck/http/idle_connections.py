"""Idle connections of clients: how many are kept, and for how long.  No input or output.

An idle connection is useful while its client uses it again, and takes a place from a new one otherwise.
Reuse is observed: a connection that sent a second request is kept as long as there is room.  Those that sent
one request share a part of the room that follows how many are used again.  Closing early would hide whether
they are, so a few are samples: they are left alone, and only they are counted.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

_MIN_SHARE = 0.25  # of the room, for those that sent one request, when none is used again
_MAX_SHARE = 0.75  # when all do: clients may hold fewer connections than there is room for
_SAMPLED_SHARE = 0.125  # of the room, at most
_SAMPLE_INTERVAL = 4  # every fourth that sent one request, while there are not too many
_WEIGHT = 1 / 16  # of one sample in the estimate
_FULL_TIMEOUT_UP_TO = 0.5  # of the room in use: so far the full time holds
_MIN_TIMEOUT_SHARE = 0.2  # of the full time, when the room is used up

C = TypeVar("C")


class IdleConnections(Generic[C]):
    """The idle connections that sent one request, and how many such are used again."""

    def __init__(self) -> None:
        self.reuse_ratio = 0.0  # of the samples; 0 until one is used again
        self._single_use: dict[C, bool] = {}  # the one idle longest first; True: a sample
        self._samples = 0
        self._since_sample = 0

    def became_idle(self, connection: C, served: int, room: int) -> None:
        """Record that a connection became idle, having served so many requests."""
        if served == 1:
            self._since_sample += 1
            is_sample = self._since_sample >= _SAMPLE_INTERVAL and self._samples < max(
                room * _SAMPLED_SHARE, 1
            )
            self._single_use[connection] = is_sample
            if is_sample:
                self._samples += 1
                self._since_sample = 0

    def used_again(self, connection: C) -> None:
        """Record that a request began on an idle connection."""
        self._leave(connection, was_reused=True)

    def closed(self, connection: C) -> None:
        """Record that a connection ended, whoever closed it."""
        self._leave(connection, was_reused=False)

    def _leave(self, connection: C, was_reused: bool) -> None:
        if self._single_use.pop(connection, False):
            self._samples -= 1
            self.reuse_ratio += (float(was_reused) - self.reuse_ratio) * _WEIGHT

    def max_single_use(self, room: int) -> int:
        """How many that sent one request may be idle, of so much room."""
        return int(room * (_MIN_SHARE + (_MAX_SHARE - _MIN_SHARE) * self.reuse_ratio))

    def closable(self, room: int) -> Iterator[C]:
        """Those that may be closed, in this order; none while there is no `excess`."""
        if self.excess(room):
            yield from (each for each, is_sample in self._single_use.items() if not is_sample)

    def excess(self, room: int) -> int:
        """How many that sent one request are idle beyond their part of the room."""
        return max(len(self._single_use) - self.max_single_use(room), 0)


def idle_timeout_s(max_s: float, used: int, room: int) -> float:
    """How long a connection may be idle, in seconds, while so much of the room is in use."""
    full = used / room if room > 0 else 1.0
    if full <= _FULL_TIMEOUT_UP_TO:
        return max_s
    beyond = min((full - _FULL_TIMEOUT_UP_TO) / (1.0 - _FULL_TIMEOUT_UP_TO), 1.0)
    return max_s * (1.0 - beyond * (1.0 - _MIN_TIMEOUT_SHARE))
