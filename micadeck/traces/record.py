"""Writes what the decisions hear to a file as it happens."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from micadeck.policy import Balancer, Settings
from micadeck.policy.actions import Action
from micadeck.policy.events import Event
from micadeck.traces.format import Encoder

_AT_ONCE = 1 << 16  # bytes before they are written
_MOST_BYTES = 1 << 30  # of a file: a recording that was forgotten must not fill a disk


class Recorder:
    """Stands before a balancer.  Whatever goes wrong ends the recording, and costs the balancer no event."""

    def __init__(
        self, balancer: Balancer, settings: Settings, seed: int, path: Path, log: Callable[[str], None]
    ) -> None:
        self._balancer = balancer
        self._encoder = Encoder(settings, seed)
        self._log = log
        self._written = 0
        self._file = path.open("wb", buffering=0)  # OSError is the caller's
        log(f"trace: recording to {path}")

    def handle(self, now: int, event: Event) -> list[Action]:
        """Record an event, and pass it on."""
        if not self._file.closed:
            self._record(now, event)
        return self._balancer.handle(now, event)

    def close(self) -> None:
        if not self._file.closed:
            self._write(last=True)
            self._file.close()

    def _record(self, now: int, event: Event) -> None:
        try:
            waiting = self._encoder.add(now, event)
        except Exception as error:
            # What was recorded before stays readable.
            self._write(last=True)
            self._end(f"{type(event).__name__}: {error!r}")
            return
        if waiting >= _AT_ONCE:
            self._write()

    def _end(self, reason: str) -> None:
        if not self._file.closed:
            self._log(f"trace: recording ends: {reason}")
            self._file.close()

    def _write(self, *, last: bool = False) -> None:
        data = self._encoder.take(last=last)
        try:
            self._file.write(data)
            self._written += len(data)
            if self._written > _MOST_BYTES:
                raise OSError(f"over {_MOST_BYTES} bytes")
        except OSError as error:
            self._end(str(error))
