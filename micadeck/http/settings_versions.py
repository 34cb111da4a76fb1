"""Which version of the settings a request falls under while they change.  No input or output.

New settings are known from the moment that they are read, but clients learn of them on their own: for a while
they go on naming the old classes, and sending requests in the form of the old ones.  So the settings in force
change `_PROPAGATION_US` later, or with the first request that only the new ones explain; and for a moment
after that a request that only the old ones explain still falls under them, and is served by their rules.
"""

from __future__ import annotations

from micadeck.policy.settings import Idempotency, ServiceClass, Settings

_PROPAGATION_US = 1_200_000  # from reading new settings to clients that follow them
OVERLAP_US = 300_000  # how much later a request by the old ones may still be on its way


class SettingsVersions:
    """The settings in force, the next ones, and the previous ones."""

    def __init__(self, settings: Settings) -> None:
        self._take(settings)
        self._next: Settings | None = None
        self._due = 0
        self._previous: dict[str, ServiceClass] = {}
        self._previous_until = 0

    def _take(self, settings: Settings) -> None:
        self.settings = settings
        self.tenants = frozenset(each.name for each in settings.tenants)
        self.classes = {each.name: each for each in settings.classes}  # in force, by name

    @property
    def is_settled(self) -> bool:
        """Whether one version alone can apply, at any time."""
        return self._next is None and not self._previous

    def announce(self, settings: Settings, now_us: int) -> int:
        """Put these in force later; a version that was still to come is dropped.

        Returns:
            When they are due, in microseconds.
        """
        self._next, self._due = settings, now_us + _PROPAGATION_US
        if settings == self.settings:
            self._next = None  # a change that was still to come is undone
        return self._due

    def turn(self, now_us: int) -> bool:
        """Put what is due in force, and forget what has expired; say whether anything came into force."""
        if now_us >= self._previous_until:
            self._previous = {}
        if self._next is None or now_us < self._due:
            return False
        self._advance(now_us)
        return True

    def _advance(self, now_us: int) -> None:
        assert self._next is not None
        self._previous, self._previous_until = self.classes, now_us + OVERLAP_US
        self._take(self._next)
        self._next = None

    def find(self, name: str, repeat: Idempotency, now_us: int) -> tuple[ServiceClass, bool] | None:
        """The class that a request of this name and form falls under, and whether it is a previous one.

        None: there is no class of this name.  A class that does not go with the form is given all the same,
        for whoever reports the error.
        """
        service_class = self.classes.get(name)
        if service_class is not None and service_class.idempotency is repeat:
            return service_class, False
        if self._next is not None:
            upcoming = next((each for each in self._next.classes if each.name == name), None)
            if upcoming is not None and upcoming.idempotency is repeat:
                self._advance(now_us)
                return upcoming, False
        if self._previous and now_us < self._previous_until:
            previous = self._previous.get(name)
            if previous is not None and previous.idempotency is repeat:
                return previous, True
        return None if service_class is None else (service_class, False)
