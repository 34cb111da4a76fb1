"""Which version of the settings applies to a request while they change.  No I/O.

New settings are known once they are read, but clients learn of them on their own: for a while they still send
the old classes and the old forms of requests.  So new settings come into force `_PROPAGATION_US` later, or
with the first request that only they explain.  For `FORMER_SETTINGS_US` after that, a request that only the
former settings explain is served by those.
"""

from __future__ import annotations

from typing import NamedTuple

from micadeck.policy.settings import Idempotency, ServiceClass, Settings

_PROPAGATION_US = 1_200_000  # from reading new settings to clients that follow them
FORMER_SETTINGS_US = 300_000  # how much later a request by the former settings may still arrive


class ClassMatch(NamedTuple):
    """The class that applies to a request."""

    service_class: ServiceClass
    is_former: bool  # whether it is one of the former settings


class SettingsVersions:
    """Owns the settings in force, those that are announced, and the former ones."""

    def __init__(self, settings: Settings) -> None:
        """Put the first settings in force."""
        self._apply(settings)
        self._announced: Settings | None = None
        self._due_at = 0
        self._former: dict[str, ServiceClass] = {}
        self._former_until = 0

    def _apply(self, settings: Settings) -> None:
        self.settings = settings
        self.tenants = frozenset(tenant.name for tenant in settings.tenants)
        self.classes = {each.name: each for each in settings.classes}  # in force, by name

    @property
    def is_settled(self) -> bool:
        """Whether only one version applies, so that the time does not matter."""
        return self._announced is None and not self._former

    def announce(self, settings: Settings, now_us: int) -> int:
        """Announce new settings in place of any others announced; return when they come into force."""
        self._due_at = now_us + _PROPAGATION_US
        # Announcing the settings in force takes back a pending change.
        self._announced = None if settings == self.settings else settings
        return self._due_at

    def apply_due(self, now_us: int) -> bool:
        """Put settings in force that are due and drop expired ones; return whether any came into force."""
        if now_us >= self._former_until:
            self._former = {}
        if self._announced is None or now_us < self._due_at:
            return False
        self._apply_announced(self._announced, now_us)
        return True

    def _apply_announced(self, announced: Settings, now_us: int) -> None:
        self._former, self._former_until = self.classes, now_us + FORMER_SETTINGS_US
        self._apply(announced)
        self._announced = None

    def find(self, name: str, idempotency: Idempotency, now_us: int) -> ClassMatch | None:
        """Return the class that applies to a request; it may put announced settings in force.

        Args:
            name: The name of the class.
            idempotency: What the form of the request says of repeating it.
            now_us: The time, in microseconds.

        Returns:
            None if no class has this name.  A class that does not match the form is returned all the same,
            for the caller to report.
        """
        current = self.classes.get(name)
        if current is not None and current.repeat is idempotency:
            return ClassMatch(current, is_former=False)
        announced = self._announced
        if announced is not None:
            coming = next((each for each in announced.classes if each.name == name), None)
            if coming is not None and coming.repeat is idempotency:
                self._apply_announced(announced, now_us)
                return ClassMatch(coming, is_former=False)
        if self._former and now_us < self._former_until:
            former = self._former.get(name)
            if former is not None and former.repeat is idempotency:
                return ClassMatch(former, is_former=True)
        return None if current is None else ClassMatch(current, is_former=False)
