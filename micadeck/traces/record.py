"""Records the events that a balancer handles in a file."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from micadeck.policy import Balancer, Settings
from micadeck.policy.actions import Action
from micadeck.policy.events import Event
from micadeck.traces.format import Encoder

_FLUSH_BYTES = 1 << 16
_MAX_FILE_BYTES = 1 << 30  # so that a recording that was left on does not fill the disk


class Recorder:
    """Wraps a balancer.  An error ends the recording; the balancer still gets every event."""

    def __init__(
        self, balancer: Balancer, settings: Settings, seed: int, path: Path, log: Callable[[str], None]
    ) -> None:
        self._balancer = balancer
        self._encoder = Encoder(settings, seed)
        self._log = log
        self._written_bytes = 0
        self._file = path.open("wb", buffering=0)  # the caller handles OSError
        log(f"trace: recording to {path}")

    def handle(self, now: int, event: Event) -> list[Action]:
        """Record an event, and forward it."""
        if not self._file.closed:
            self._record(now, event)
        return self._balancer.handle(now, event)

    def close(self) -> None:
        if not self._file.closed:
            self._write(last=True)
            self._file.close()

    def _record(self, now: int, event: Event) -> None:
        try:
            buffered = self._encoder.add(now, event)
        except Exception as error:
            # Flush, so that the events before this one can be read.
            self._write(last=True)
            self._stop(f"{type(event).__name__}: {error!r}")
            return
        if buffered >= _FLUSH_BYTES:
            self._write()

    def _stop(self, reason: str) -> None:
        if not self._file.closed:
            self._log(f"trace: recording ends: {reason}")
            self._file.close()

    def _write(self, *, last: bool = False) -> None:
        data = self._encoder.take(last=last)
        try:
            self._file.write(data)
            self._written_bytes += len(data)
            if self._written_bytes > _MAX_FILE_BYTES:
                raise OSError(f"over {_MAX_FILE_BYTES} bytes")
        except OSError as error:
            self._stop(str(error))
