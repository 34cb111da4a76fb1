"""The lifecycle of a sidecar, as a daemon or in a library: starting, ready, draining, stopping, ended.

No I/O.  Everything that depends on the phase is decided here: the health that `/_health` reports, whether a
request is accepted, whether an answer closes its connection, and which connections are closed.  Times are
seconds on one monotonic clock.

    from       | started | drain    | undrain | stop     | end
    STARTING   | READY   | DRAINING | -       | STOPPING | ENDED
    READY      | -       | DRAINING | -       | STOPPING | ENDED
    DRAINING   | -       | -        | READY   | STOPPING | ENDED
    STOPPING   | -       | -        | -       | -        | ENDED
    ENDED      | -       | -        | -       | -        | -

A dash keeps the phase; whether that is an error is for the caller to decide.  A drain during the start
persists after it, so that the sidecar never reports itself healthy in between.
"""

from __future__ import annotations

from enum import Enum, unique

_IDLE_GRACE_S = 0.4  # idle connections stay open this long: their next answer closes them without loss
# Every idle connection is closed after this time, because clients have to have moved within 4 s.
_SAFE_IDLE_ONLY_S = 3.4


@unique
class Phase(Enum):
    """The phases; the values appear in admin replies and records."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"  # by an operator; can be undone
    STOPPING = "stopping"  # by a signal; can't be undone
    ENDED = "ended"


@unique
class ConnectionsToClose(Enum):
    """Which of the clients' connections are to be closed now."""

    NONE = "none"
    SAFE_IDLE = "safe idle"  # idle ones that can be closed without losing a request that is on its way
    ALL_IDLE = "all idle"  # all without an unanswered or partly received request


@unique
class _Event(Enum):
    """The events that cause transitions."""

    STARTED = "started"
    DRAIN = "drain"
    UNDRAIN = "undrain"
    STOP = "stop"
    END = "end"


_TRANSITIONS: dict[tuple[Phase, _Event], Phase] = {
    (Phase.STARTING, _Event.STARTED): Phase.READY,
    (Phase.STARTING, _Event.DRAIN): Phase.DRAINING,
    (Phase.STARTING, _Event.STOP): Phase.STOPPING,
    (Phase.READY, _Event.DRAIN): Phase.DRAINING,
    (Phase.READY, _Event.STOP): Phase.STOPPING,
    (Phase.DRAINING, _Event.UNDRAIN): Phase.READY,
    (Phase.DRAINING, _Event.STOP): Phase.STOPPING,
    **{(phase, _Event.END): Phase.ENDED for phase in Phase if phase is not Phase.ENDED},
}


class Lifecycle:
    """Owns the phase of one sidecar.

    Each transition takes the current time and returns whether the phase changed.
    """

    def __init__(self) -> None:
        """Begin in the phase STARTING."""
        self.phase = Phase.STARTING
        self.has_started = False
        self._draining_since = 0.0

    def mark_started(self, now: float) -> bool:
        """Record that the sidecar can serve."""
        self.has_started = True
        return self._apply(_Event.STARTED, now)

    def drain(self, now: float) -> bool:
        """Ask clients to use other sidecars until `undrain` or `stop`."""
        return self._apply(_Event.DRAIN, now)

    def undrain(self, now: float) -> bool:
        """Accept clients again after a drain."""
        return self._apply(_Event.UNDRAIN, now)

    def stop(self, now: float) -> bool:
        """Begin the shutdown."""
        return self._apply(_Event.STOP, now)

    def end(self, now: float) -> bool:
        """Record that the sidecar has ended, for whatever reason."""
        return self._apply(_Event.END, now)

    def _apply(self, event: _Event, now: float) -> bool:
        next_phase = _TRANSITIONS.get((self.phase, event))
        if next_phase is None:
            return False
        if next_phase in (Phase.DRAINING, Phase.STOPPING) and self.phase is not Phase.DRAINING:
            self._draining_since = now  # a stop during a drain does not restart its timeouts
        self.phase = next_phase
        return True

    @property
    def can_serve(self) -> bool:
        """Whether new requests are served; a drain only asks clients to use other sidecars."""
        return self.has_started and self.phase not in (Phase.STOPPING, Phase.ENDED)

    @property
    def is_healthy(self) -> bool:
        """Whether clients should connect to this process."""
        return self.phase is Phase.READY

    @property
    def is_draining(self) -> bool:
        """Whether every answer closes its connection: while draining and while stopping."""
        return self.phase in (Phase.DRAINING, Phase.STOPPING)

    def connections_to_close(self, now: float) -> ConnectionsToClose:
        """Return which connections are to be closed at this time."""
        if not self.is_draining or now < self._draining_since + _IDLE_GRACE_S:
            return ConnectionsToClose.NONE
        if now < self._draining_since + _SAFE_IDLE_ONLY_S:
            return ConnectionsToClose.SAFE_IDLE
        return ConnectionsToClose.ALL_IDLE
