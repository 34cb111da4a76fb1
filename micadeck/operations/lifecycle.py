"""The life of one sidecar, a process or a library's: starting, ready, draining, ready again, stopping, ended.

No input or output.  All that depends on the phase is asked here: what `/_health` says, whether a request is
taken, whether an answer closes its connection, and which connections are let go.  Times are seconds on one
clock that never steps back.

    from       | started | drain    | undrain | stop     | end
    STARTING   | READY   | DRAINING | -       | STOPPING | ENDED
    READY      | -       | DRAINING | -       | STOPPING | ENDED
    DRAINING   | -       | -        | READY   | STOPPING | ENDED
    STOPPING   | -       | -        | -       | -        | ENDED
    ENDED      | -       | -        | -       | -        | -

A dash keeps the phase; whether that is an error is the caller's to say.  A drain asked for while the process
starts holds once it has started, so that it never says yes in between.
"""

from __future__ import annotations

from enum import Enum, unique

_SPARED_S = 0.4  # from the drain on: connections at rest are left alone, most end with their next answer
_ALL_GO_S = 3.4  # after that, what rests goes whatever it looks like: 4 s is when clients have to be gone


@unique
class Phase(Enum):
    """What the process is about."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"  # by an operator's word; it can be taken back
    STOPPING = "stopping"  # by a signal; it can't
    ENDED = "ended"  # nothing runs any more, whatever ended it


@unique
class ConnectionsToClose(Enum):
    """Which of the clients' connections are closed now."""

    NONE = "none"
    IDLE = "idle"  # those whose end loses nothing, not even a request on its way
    RESTING = "resting"  # every one on which no answer is owed and no request has begun


_NEXT: dict[tuple[Phase, str], Phase] = {
    (Phase.STARTING, "started"): Phase.READY,
    (Phase.STARTING, "drain"): Phase.DRAINING,
    (Phase.STARTING, "stop"): Phase.STOPPING,
    (Phase.READY, "drain"): Phase.DRAINING,
    (Phase.READY, "stop"): Phase.STOPPING,
    (Phase.DRAINING, "undrain"): Phase.READY,
    (Phase.DRAINING, "stop"): Phase.STOPPING,
    **{(phase, "end"): Phase.ENDED for phase in Phase if phase is not Phase.ENDED},
}


class Lifecycle:
    """The phase of one process, and since when it is leaving."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.has_started = False
        self._leaving_since = 0.0

    def started(self, now: float) -> bool:
        """Take note that it can serve; say whether the phase changed, as all of these do."""
        self.has_started = True
        return self._go("started", now)

    def drain(self, now: float) -> bool:
        return self._go("drain", now)

    def undrain(self, now: float) -> bool:
        return self._go("undrain", now)

    def stop(self, now: float) -> bool:
        return self._go("stop", now)

    def end(self, now: float) -> bool:
        return self._go("end", now)

    def _go(self, event: str, now: float) -> bool:
        after = _NEXT.get((self.phase, event))
        if after is None:
            return False
        if after in (Phase.DRAINING, Phase.STOPPING) and self.phase is not Phase.DRAINING:
            self._leaving_since = now  # a stop within a drain does not begin the time again
        self.phase = after
        return True

    @property
    def can_serve(self) -> bool:
        """Whether this process serves what reaches it; a drain only asks clients to go elsewhere."""
        return self.has_started and self.phase not in (Phase.STOPPING, Phase.ENDED)

    @property
    def is_healthy(self) -> bool:
        """Whether clients should come here."""
        return self.phase is Phase.READY

    @property
    def is_leaving(self) -> bool:
        """Whether every answer closes its connection."""
        return self.phase in (Phase.DRAINING, Phase.STOPPING)

    def lets_go(self, now: float) -> ConnectionsToClose:
        """Which connections are to be closed at this time."""
        if not self.is_leaving or now < self._leaving_since + _SPARED_S:
            return ConnectionsToClose.NONE
        return (
            ConnectionsToClose.IDLE if now < self._leaving_since + _ALL_GO_S else ConnectionsToClose.RESTING
        )
