"""What is still to be passed on: the urgent first, then what was told least, as much as fits a datagram."""

from __future__ import annotations

from collections.abc import Container

from micadeck.fleet.messages import News, size

_MOST_WAITING = 4_000
_LEAST = 24  # bytes: no piece of news takes less


class Gossip:
    """Pieces of news by subject; a newer piece on a subject replaces the older."""

    def __init__(self) -> None:
        self._told: dict[str, int] = {}  # how often each was
        self._pieces: dict[str, News] = {}
        self._until: dict[str, int] = {}
        self._later: dict[str, bool] = {}  # what gives way to urgent news

    def __len__(self) -> int:
        return len(self._pieces)

    def put(self, subject: str, piece: News, until: int, *, urgent: bool = False) -> None:
        """Pass this on from now on, until that time; urgent news goes ahead of the other.

        Guards against a death that waits behind two hundred births.
        """
        self._told[subject] = 0
        self._later[subject] = not urgent
        self._pieces[subject] = piece
        self._until[subject] = until
        if len(self._pieces) > _MOST_WAITING:
            self.drop(max(self._told, key=lambda each: self._told[each]))

    def drop(self, subject: str) -> None:
        self._told.pop(subject, None)
        self._pieces.pop(subject, None)
        self._until.pop(subject, None)
        self._later.pop(subject, None)

    def pick(self, now: int, room: int, times: int, but: Container[str] = ()) -> list[News]:
        """Pieces for one datagram of so much room; each leaves once it was told so many times.

        `but`: subjects that are told there already.
        """
        picked: list[News] = []
        for subject in sorted(self._told, key=lambda each: (self._later[each], self._told[each])):
            if subject in but:
                continue
            piece = self._pieces[subject]
            if now >= self._until[subject]:
                self.drop(subject)
                continue
            if size(piece) > room:
                continue
            room -= size(piece)
            picked.append(piece)
            self._told[subject] += 1
            if self._told[subject] >= times:
                self.drop(subject)
            if room < _LEAST:
                break
        return picked
