"""A sidecar's recording: writes the observer's records each second."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from micadeck.incidents.frames import MAGIC, Encoder
from micadeck.incidents.kinds import Phase, Record
from micadeck.incidents.observer import EngineView, EventHandler, Observer
from micadeck.incidents.segments import Limits, Rotation
from micadeck.incidents.writer import Writer
from micadeck.network import Network, Timer
from micadeck.policy import Settings

_SPAN_S = 1.0


class Recording:
    """Records until `close`; raises OSError if the folder can't be created."""

    def __init__(
        self,
        sidecar: str,
        folder: Path,
        limits: Limits,
        network: Network,
        log: Callable[[str], None],
    ) -> None:
        self._network = network
        self._sidecar = sidecar
        self._start = f"{network.now():016x}"
        self._rotation = Rotation(limits, sidecar, self._start)
        self._log = log
        self._writer = Writer(folder, self._rotation, log)
        self._encoder = Encoder()
        self._observer: Observer | None = None
        self._timer: Timer | None = None
        self._due_at_s = 0.0
        self._pending_phases: list[Record] = []
        log(f"records: recording to {folder}")

    def wrap(self, balancer: EventHandler, settings: Settings, engine: EngineView) -> Observer:
        """The observer that the engine calls instead of the balancer."""
        self._observer = Observer(balancer, settings, engine, self._sidecar, self._start)
        self._schedule_tick()
        return self._observer

    def phase(self, phase: str) -> None:
        """Record a phase of the sidecar's lifecycle."""
        self._pending_phases.append(Phase(self._network.now(), phase))

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.phase("ended")
        self._write(0)
        self._writer.close()

    def _schedule_tick(self) -> None:
        self._due_at_s = self._network.time() + _SPAN_S
        self._timer = self._network.call_later(_SPAN_S, self._tick)

    def _tick(self) -> None:
        error = self._observer.error if self._observer is not None else None
        if error is not None:
            self._log(f"records: recording ends: {error!r}")
            self._timer = None
            return
        self._write(max(int((self._network.time() - self._due_at_s) * 1e6), 0))
        if self._writer.has_failed:
            self._timer = None  # nothing is written any more, but the observer keeps counting
        else:
            self._schedule_tick()

    def _write(self, lag_us: int) -> None:
        if self._observer is None or self._observer.error is not None:
            return
        now, wall = self._network.now(), self._network.wall()
        phases, self._pending_phases = self._pending_phases, []
        records = [*phases, *self._observer.take(now, wall, lag_us)]
        if self._rotation.is_due(now):
            name = self._rotation.begin(now)
            records = [*self._observer.head(now, wall, name.segment), *records]
            data = MAGIC + b"".join(map(self._encoder.frame, records))
            self._writer.put(data, name)
        else:
            data = b"".join(map(self._encoder.frame, records))
            if not self._writer.put(data):
                return
        self._rotation.add_written(len(data))
