"""Which version of the settings applies to a request while they change.  No I/O.

Clients learn of new settings independently of the sidecar: for a while they still name the old classes, and
send requests in their form.  So each version of the settings takes effect `_PROPAGATION_US` after it was
announced, whatever is announced after it, or with the first request that is valid only under it.  For
`OVERLAP_US` after a version was replaced, a request that is valid only under it is still served by its rules.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from micadeck.policy.settings import Idempotency, ServiceClass, Settings

_PROPAGATION_US = 1_200_000  # from announcing new settings until clients follow them
OVERLAP_US = 300_000  # how much longer requests under replaced settings may still arrive
_MAX_PENDING = 64  # versions; over it the latest pending one is replaced, and the others keep their times


@dataclass(frozen=True, slots=True)
class _PendingVersion:
    """Announced settings that are not in force yet."""

    settings: Settings
    due_us: int

    def find(self, name: str, idempotency: Idempotency) -> ServiceClass | None:
        """The class of this name and idempotency."""
        return next(
            (
                entry
                for entry in self.settings.classes
                if entry.name == name and entry.idempotency is idempotency
            ),
            None,
        )


@dataclass(frozen=True, slots=True)
class _RetiredVersion:
    """The classes of settings that were in force, and until when requests under them may arrive."""

    classes: Mapping[str, ServiceClass]
    until_us: int


class SettingsVersions:
    """The settings in force, those that wait for their time, and those replaced a short time ago."""

    def __init__(self, settings: Settings) -> None:
        self._activate(settings)
        self._pending: deque[_PendingVersion] = deque()  # in the order in which they take effect
        self._retired: list[_RetiredVersion] = []  # the latest one last

    def _activate(self, settings: Settings) -> None:
        self.settings = settings
        self.tenants = frozenset(tenant.name for tenant in settings.tenants)
        self.classes = {entry.name: entry for entry in settings.classes}  # in force, by name

    @property
    def is_settled(self) -> bool:
        """Whether only one version can apply."""
        return not self._pending and not self._retired

    def announce(self, settings: Settings, now_us: int) -> int | None:
        """Schedule new settings behind those that are already scheduled.

        Returns:
            When they are due, in microseconds; None: they are the latest ones already.
        """
        latest = self._pending[-1].settings if self._pending else self.settings
        if settings == latest:
            return None
        if len(self._pending) == _MAX_PENDING:
            self._pending.pop()
        due_us = now_us + _PROPAGATION_US
        self._pending.append(_PendingVersion(settings, due_us))
        return due_us

    def apply_due(self, now_us: int) -> bool:
        """Activate the next due settings and drop expired ones; return whether any were activated.

        Several versions may be due: call it until it returns false.
        """
        self._drop_expired(now_us)
        if not self._pending or now_us < self._pending[0].due_us:
            return False
        self._advance(now_us)
        return True

    def _drop_expired(self, now_us: int) -> None:
        if self._retired:
            self._retired = [version for version in self._retired if now_us < version.until_us]

    def _advance(self, now_us: int) -> None:
        """Replace the settings in force by the next pending ones."""
        self._drop_expired(now_us)
        self._retired.append(_RetiredVersion(self.classes, now_us + OVERLAP_US))
        self._activate(self._pending.popleft().settings)

    def find(self, name: str, idempotency: Idempotency, now_us: int) -> tuple[ServiceClass, bool] | None:
        """The class for a request of this name and idempotency, and whether it is from previous settings.

        A request that is valid only under a pending version brings it into force: its client follows it, and
        so has passed those before it.  If it is valid under a version in its overlap, it gets that one.

        None: there is no class of this name.  A class of another idempotency is still returned, so that the
        caller can report the error.
        """
        service_class = self.classes.get(name)
        if service_class is not None and service_class.idempotency is idempotency:
            return service_class, False
        retired = self._find_retired(name, idempotency, now_us)
        if retired is not None:
            return retired, True
        upcoming = self._find_pending(name, idempotency, now_us)
        if upcoming is not None:
            return upcoming, False
        return None if service_class is None else (service_class, False)

    def _find_pending(self, name: str, idempotency: Idempotency, now_us: int) -> ServiceClass | None:
        """The class in the first pending version that has it, which takes effect."""
        for number, version in enumerate(self._pending):
            found = version.find(name, idempotency)
            if found is not None:
                for _ in range(number + 1):
                    self._advance(now_us)
                return found
        return None

    def _find_retired(self, name: str, idempotency: Idempotency, now_us: int) -> ServiceClass | None:
        """The class in the latest retired version that has it."""
        for version in reversed(self._retired):
            found = version.classes.get(name)
            if found is not None and found.idempotency is idempotency and now_us < version.until_us:
                return found
        return None
