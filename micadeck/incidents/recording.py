"""A sidecar's recording: the observer, its segments and its writer, once a second."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from micadeck.incidents.frames import MARK, Encoder
from micadeck.incidents.kinds import Phase, Record
from micadeck.incidents.observer import Decides, LooksOn, Observer
from micadeck.incidents.segments import Limits, Rotation
from micadeck.incidents.writer import Writer
from micadeck.network import Network, Timer
from micadeck.policy import Settings

_SPAN_S = 1.0


class Recording:
    """Records until `close`; raises OSError if the folder can't be made."""

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
        self._due = 0.0
        self._later: list[Record] = []
        log(f"records: recording to {folder}")

    def around(self, balancer: Decides, settings: Settings, look: LooksOn) -> Observer:
        """What the engine is to call in the balancer's place."""
        self._observer = Observer(balancer, settings, look, self._sidecar, self._start)
        self._wait()
        return self._observer

    def phase(self, phase: str) -> None:
        """Note where the sidecar is in its life."""
        self._later.append(Phase(self._network.now(), phase))

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.phase("ended")
        self._write(0)
        self._writer.close()

    def _wait(self) -> None:
        self._due = self._network.time() + _SPAN_S
        self._timer = self._network.call_later(_SPAN_S, self._tick)

    def _tick(self) -> None:
        defect = self._observer.defect if self._observer is not None else None
        if defect is not None:
            self._log(f"records: recording ends: {defect!r}")
            self._timer = None
            return
        self._write(max(int((self._network.time() - self._due) * 1e6), 0))
        if self._writer.is_over:
            self._timer = None  # and the observer goes on counting what nobody reads: a few numbers
        else:
            self._wait()

    def _write(self, lag_us: int) -> None:
        if self._observer is None or self._observer.defect is not None:
            return
        now, wall = self._network.now(), self._network.wall()
        later, self._later = self._later, []
        records = [*later, *self._observer.take(now, wall, lag_us)]
        if self._rotation.is_due(now):
            name = self._rotation.begin(now)
            records = [*self._observer.head(now, wall, name.segment), *records]
            data = MARK + b"".join(map(self._encoder.frame, records))
            self._writer.put(data, name)
        else:
            data = b"".join(map(self._encoder.frame, records))
            if not self._writer.put(data):
                return
        self._rotation.written(len(data))
