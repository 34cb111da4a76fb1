"""Which version of the settings applies to a request while they change.  No I/O.

Clients learn of new settings independently of the sidecar: for a while they still name the old classes, and
send requests in their form.  So new settings take effect `_PROPAGATION_US` after they are read, or with the
first request that is valid only under them.  For `OVERLAP_US` after that, a request that is valid only under
the previous settings is still served by their rules.
"""

from __future__ import annotations

from micadeck.policy.settings import Idempotency, ServiceClass, Settings

_PROPAGATION_US = 1_200_000  # from reading new settings until clients follow them
OVERLAP_US = 300_000  # how much longer requests under the previous settings may still arrive


class SettingsVersions:
    """The settings in force, the next ones, and the previous ones."""

    def __init__(self, settings: Settings) -> None:
        self._activate(settings)
        self._next: Settings | None = None
        self._due = 0
        self._previous: dict[str, ServiceClass] = {}
        self._previous_until = 0

    def _activate(self, settings: Settings) -> None:
        self.settings = settings
        self.tenants = frozenset(tenant.name for tenant in settings.tenants)
        self.classes = {entry.name: entry for entry in settings.classes}  # in force, by name

    @property
    def is_settled(self) -> bool:
        """Whether only one version can apply."""
        return self._next is None and not self._previous

    def announce(self, settings: Settings, now_us: int) -> int:
        """Schedule new settings; they replace any that were scheduled before.

        Returns:
            When they are due, in microseconds.
        """
        self._next, self._due = settings, now_us + _PROPAGATION_US
        if settings == self.settings:
            self._next = None  # back to the settings in force: nothing is left to change
        return self._due

    def apply_due(self, now_us: int) -> bool:
        """Activate due settings and drop expired ones; return whether any were activated."""
        if now_us >= self._previous_until:
            self._previous = {}
        if self._next is None or now_us < self._due:
            return False
        self._advance(now_us)
        return True

    def _advance(self, now_us: int) -> None:
        assert self._next is not None
        self._previous, self._previous_until = self.classes, now_us + OVERLAP_US
        self._activate(self._next)
        self._next = None

    def find(self, name: str, idempotency: Idempotency, now_us: int) -> tuple[ServiceClass, bool] | None:
        """The class for a request of this name and idempotency, and whether it is from previous settings.

        None: there is no class of this name.  A class of another idempotency is still returned, so that the
        caller can report the error.
        """
        service_class = self.classes.get(name)
        if service_class is not None and service_class.idempotency is idempotency:
            return service_class, False
        if self._next is not None:
            upcoming = next((entry for entry in self._next.classes if entry.name == name), None)
            if upcoming is not None and upcoming.idempotency is idempotency:
                self._advance(now_us)
                return upcoming, False
        if self._previous and now_us < self._previous_until:
            previous = self._previous.get(name)
            if previous is not None and previous.idempotency is idempotency:
                return previous, True
        return None if service_class is None else (service_class, False)
